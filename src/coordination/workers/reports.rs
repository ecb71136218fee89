//! What a worker's report says of the tasks that the leader has records of.

use super::outbox::{Attempt, Due, TaskRef};
use super::parse_task;
use crate::coordination::book::{Leader, Machine, MachineId, MachineState, Stage, TaskState};
use crate::coordination::void::VoidProof;
use crate::coordination::{times, JobId, Site};
use crate::protocol::workers::{Cause, Report, TaskPhase, TaskReport};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A stopped task whose start was never seen is waited for so long before the term is raised.
const UNSEEN_STOP: Micros = Micros::from_millis(3000);

impl Leader {
    /// Takes in a heartbeat: a report that a worker sent by itself at about `at`, here or to
    /// another controller. Says what its answer should command.
    pub fn take_heartbeat(&mut self, site: &Site, report: &Report, via: Option<&str>, at: Micros, now: Micros) -> Due {
        // A worker has one report on its way at a time: its next one says that the answer to
        // the last has come, or never will.
        let newer = |m: &Machine| (report.session, report.serial) > (m.session, m.serial);
        if let Some(machine) = self.machines.get_mut(report.machine.as_str()).filter(|m| newer(m)) {
            machine.outbox.answer_arrived();
        }
        self.take_report(site, report, via, at, now)
    }

    /// The same of a report that is not a heartbeat: it came with the answer to a direct message,
    /// and says nothing of the answers to heartbeats.
    pub fn take_report(&mut self, site: &Site, report: &Report, via: Option<&str>, at: Micros, now: Micros) -> Due {
        let name: MachineId = report.machine.as_str().into();
        if !self.is_news(&name, report, now) {
            return Due::default();
        }
        self.take_machine_state(site, &name, report, via, at, now);
        self.take_notice(&name, report, now);
        let mut due = Due::default();
        self.match_records(site, &name, report, now, &mut due);
        self.note_strangers(&name, report, &mut due);
        due
    }

    /// Whether a report says something new of a machine that may still be there. One from a
    /// machine that nobody expected makes it known.
    fn is_news(&mut self, name: &MachineId, report: &Report, now: Micros) -> bool {
        if self.gone.contains(name) {
            return false;
        }
        if report.fence > self.term {
            // A token that this leader never gave out: another one leads by now, or nobody ever
            // gave it. As a proof that starts are refused it would be worth nothing.
            return false;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = %name, "a machine that was not expected reports");
            Machine::unknown(name.clone(), now)
        });
        if report.session < machine.session {
            tracing::warn!(machine = %name, session = report.session, last = machine.session, "report dropped: of an earlier session");
        }
        // The task list of a late message is older than what is known.
        (report.session, report.serial) > (machine.session, machine.serial)
    }

    /// What a report says of the machine itself.
    fn take_machine_state(
        &mut self,
        site: &Site,
        name: &MachineId,
        report: &Report,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let new_session = report.session > machine.session;
        if at == now {
            machine.listens(via, now);
        }
        machine.reports += 1;
        machine.session = report.session;
        machine.serial = report.serial;
        machine.last_report = if new_session || machine.state == MachineState::Booting {
            at
        } else {
            machine.last_report.max(at)
        };
        if machine.via.as_deref() != via {
            machine.via = via.map(Rc::from);
        }
        machine.addr.clone_from(&report.addr);
        machine.describe(&report.machine_type, &report.zone, report.spot);
        machine.fence = machine.fence.max(report.fence);
        machine.outbox.refuses_below(machine.fence);
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            if let (Some(rented), Some(t)) = (machine.rented_at, site.catalogue.get(&report.machine_type)) {
                let kind = (report.machine_type.clone(), report.zone.clone(), report.spot);
                self.boots.came_up(kind, at.since(rented), t.boot_s, now);
            }
            self.dirty = true;
            let boot_s = now.since(machine.since).secs();
            tracing::debug!(machine = %name, boot_s, "machine up");
        }
        if new_session {
            machine.outbox.session_ended();
            self.drop_images(name);
            self.dirty = true;
        }
    }

    /// The cloud takes the machine back.
    fn take_notice(&mut self, name: &MachineId, report: &Report, now: Micros) {
        let Some(notice) = report.notice_s else { return };
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.taken_at.is_none()) else {
            return;
        };
        tracing::debug!(machine = %name, notice, "the cloud takes a machine back");
        machine.taken_at = Some(now + Micros::from_secs(notice));
        self.dirty = true;
    }

    /// Compares the records of a machine's tasks with what it lists.
    fn match_records(&mut self, site: &Site, name: &MachineId, report: &Report, now: Micros, due: &mut Due) {
        let unnamed = report.tasks.iter().filter(|t| parse_task(&t.task).is_none()).count();
        if unnamed > 0 {
            tracing::warn!(machine = %name, unnamed, "a report lists tasks whose names don't parse");
        }
        // A machine may list several attempts at one task.
        let listed: BTreeMap<(&str, u32, u64), &TaskReport> = report
            .tasks
            .iter()
            .filter_map(|t| parse_task(&t.task).map(|(job, task)| ((job, task, t.attempt), t)))
            .collect();
        let Some(machine) = self.machines.get(name) else { return };
        let records: Vec<(JobId, u32)> = machine.tasks.iter().cloned().collect();
        for (id, task) in records {
            let placement = self.jobs.get(&id).and_then(|job| job.placed.get(&task));
            let Some(attempt) = placement.map(|p| p.attempt) else {
                continue;
            };
            let entry = listed.get(&(&*id, task, attempt)).copied();
            let record = TaskRef { job: id, task };
            self.match_record(site, name, &record, entry, report, now, due);
        }
    }

    /// What is listed without a record: what runs is stopped, what has ended is forgotten.
    fn note_strangers(&mut self, name: &MachineId, report: &Report, due: &mut Due) {
        let mut strangers = vec![];
        for listed in &report.tasks {
            let attempt = Attempt {
                task: listed.task.clone(),
                number: listed.attempt,
            };
            if self.has_record(name, &attempt) {
                continue;
            }
            if listed.phase == TaskPhase::Exited {
                due.forgets.insert(attempt);
            } else {
                strangers.push(attempt.clone());
                due.strangers.insert(attempt);
            }
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.strangers != strangers {
            machine.strangers = strangers;
            self.dirty = true;
        }
    }

    /// What workers reported to a node that this one can't hear, by way of the state
    /// service. Good for what it says, as any late report; it does not tell that the
    /// machines are reached, and nobody waits for orders.
    pub fn told_by_store(&mut self, site: &Site, reports: &[Report], now: Micros) {
        for report in reports {
            let Some(m) = self.machines.get(report.machine.as_str()) else {
                continue;
            };
            let (via, at) = (m.via.clone(), m.last_report);
            self.take_heartbeat(site, report, via.as_deref(), at, now);
        }
    }

    /// Compares one record with what the report lists of its attempt.
    #[allow(clippy::too_many_arguments)]
    fn match_record(
        &mut self,
        site: &Site,
        name: &MachineId,
        record: &TaskRef,
        entry: Option<&TaskReport>,
        report: &Report,
        now: Micros,
        due: &mut Due,
    ) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get(id) else { return };
        let live = job.is_live();
        let Some(placement) = job.placed.get(&task) else { return };
        if placement.stage == Stage::Committing {
            return;
        }
        if report.session > placement.session {
            // The session that the record was made for is over, and everything of it was killed.
            let (session, recorded) = (report.session, placement.session);
            let attempt = placement.attempt;
            tracing::debug!(job = %id, task, attempt, machine = %name, session, recorded, "lost with its session");
            let proof = VoidProof::LaterSession { reported: session };
            return self.free(id, task, proof, now);
        }
        match entry {
            Some(entry) if entry.phase == TaskPhase::Exited => {
                self.record_exit(site, name, record, entry.cause.unwrap_or(Cause::Other), now);
            }
            Some(entry) => self.record_seen(site, name, record, entry.phase, report, now, due),
            None if placement.sent && report.fence > placement.fence => {
                // Every start of it left under a lower token, and is refused from here on; the
                // machine does not have the task.
                let (attempt, sent_under, fence) = (placement.attempt, placement.fence, report.fence);
                tracing::debug!(job = %id, task, attempt, machine = %name, sent_under, fence, "not on its machine");
                let proof = VoidProof::RefusedByToken { reported: fence };
                self.free(id, task, proof, now);
            }
            None if placement.stop.is_some() || !live => {
                if placement.sent && now.since(placement.stop_at) > UNSEEN_STOP {
                    self.new_term = Some("a start that is no longer wanted may still be on its way");
                }
            }
            None if placement.may_be_sent() => {
                due.starts.insert(record.clone());
            }
            // A record of an earlier leader: a report under the present token says whether it is void.
            None if placement.stage == Stage::Sent => due.asks_for_report = true,
            None => {}
        }
    }

    /// The machine has reported that the task exited.
    fn record_exit(&mut self, site: &Site, name: &MachineId, record: &TaskRef, cause: Cause, now: Micros) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placed.get_mut(&task) else {
            return;
        };
        let first = !matches!(placement.stage, Stage::Exited(_));
        placement.stage = Stage::Exited(cause);
        let helper = placement.helper;
        let cancelled = job.cancelled.is_some();
        if first {
            job.vacates(helper);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.take(&job.spec, -1.0);
            }
            self.exited(site, name, id, task, cause, now);
        }
        // A completion stays on the machine until it is recorded.
        if cause != Cause::Done || cancelled {
            self.free(id, task, VoidProof::Exited(cause), now);
        }
    }

    /// The machine has the task.
    #[allow(clippy::too_many_arguments)]
    fn record_seen(
        &mut self,
        site: &Site,
        name: &MachineId,
        record: &TaskRef,
        phase: TaskPhase,
        report: &Report,
        now: Micros,
        due: &mut Due,
    ) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(placement) = job.placed.get_mut(&task) else {
            return;
        };
        if phase == TaskPhase::Running && placement.running_since.is_none() {
            placement.running_since = Some(now);
            let waited = now.since(job.arrived);
            if !placement.restored && !job.ageless {
                let spec = &job.spec;
                self.account.started(&spec.class, &spec.team, spec.cpus, waited, now);
            }
            if !placement.restored && !job.spec.needs.is_empty() {
                self.chained.began(waited);
            }
            tracing::debug!(
                job = %id,
                task,
                class = job.spec.class,
                machine = %name,
                try_ = placement.attempt,
                waited_s = waited.secs(),
                placed_s = now.since(placement.since).secs(),
                "task runs"
            );
        }
        if !matches!(placement.stage, Stage::Exited(_)) {
            placement.stage = Stage::Seen(phase);
        }
        if placement.stop.is_some() {
            due.stops.insert(record.clone());
        }
        if phase == TaskPhase::Running {
            let machine_type = site.catalogue.get(&report.machine_type);
            let cache_gb = machine_type.map_or(f64::INFINITY, |t| t.cache_gb);
            self.use_image(name, &image, image_gb, cache_gb);
        }
    }

    /// A task exited; what it means for its job and its machine.
    fn exited(&mut self, site: &Site, name: &MachineId, id: &JobId, task: u32, cause: Cause, now: Micros) {
        let chunk_tasks = self.chunk_tasks;
        self.dirty = true;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match cause {
            Cause::Done if job.is_live() => {
                let seen = job.placed.get(&task).filter(|p| !p.restored);
                if let Some(since) = seen.and_then(|p| p.running_since) {
                    let ran_s = now.since(since).secs();
                    tracing::debug!(job = %id, task, machine = %name, ran_s, "task done");
                    job.runs.0 += ran_s;
                    job.runs.1 += 1;
                    self.account.ran(&job.spec.class, job.spec.estimate_s, ran_s, now);
                }
                if job.states[task as usize] == TaskState::Placed {
                    job.states[task as usize] = TaskState::Finished;
                    job.finished += 1;
                    job.failures = 0;
                    job.failed_on.clear();
                    job.chunks.entry(task / chunk_tasks).or_default().done.insert(task);
                    if !job.is_service() && job.finished == job.spec.tasks {
                        self.committer.complete.insert(id.clone());
                        self.kept_aims(id, now);
                    }
                    self.touch(id, task / chunk_tasks, now);
                }
                if let Some(m) = self.machines.get_mut(name) {
                    m.faults.pop_first();
                }
            }
            Cause::Error => {
                tracing::debug!(job = %id, task, machine = %name, "task failed");
                job.failed_on.insert(name.clone());
                job.failures += 1;
                if job.is_suspect(now) {
                    // Tries follow each other ever more slowly.
                    let tries = job.failed_on.len().max(2) - 2 + job.failures as usize / job.spec.tasks.max(1) as usize;
                    let pause = Micros::from_secs((2u64 << tries.min(5)) as f64);
                    job.not_before = now + pause;
                    let machines = job.failed_on.clone();
                    for machine in machines {
                        self.exonerate(&machine, id);
                    }
                } else {
                    self.blame(name, id, now);
                }
            }
            Cause::NoRoom | Cause::Busy => {
                // What the machine holds differs from what we count; give its
                // next report time to tell.
                let pause = Micros::from_secs(site.settings.params.workers.report_s);
                if let Some(m) = self.machines.get_mut(name) {
                    m.doubted_until = m.doubted_until.max(now + pause);
                }
            }
            Cause::Unknown => {
                // The job's description is not uploaded yet.
                job.failures += 1;
                job.not_before = now + Micros::from_secs(f64::from(job.failures.min(10)));
            }
            _ => {}
        }
    }

    /// Tasks of this job, which is not known to fail everywhere, failed there.
    /// Failures of one job tell of the machine only if the job does well
    /// elsewhere: a job submitted with a mistake fails on good machines too.
    fn blame(&mut self, name: &MachineId, id: &JobId, now: Micros) {
        let jobs = &self.jobs;
        let Some(m) = self.machines.get_mut(name) else { return };
        *m.faults.entry(id.clone()).or_default() += 1;
        m.faults.retain(|job, _| jobs.contains_key(job));
        let does_well = |job: &JobId| jobs.get(job).is_some_and(|j| j.finished > 0);
        let told = m.faults.iter().any(|(job, n)| *n >= 2 && does_well(job));
        if told || m.faults.len() >= 3 {
            if m.doubted_since.is_none() {
                tracing::info!(machine = %name, jobs = m.faults.len(), "machine doubted: tasks fail on it");
            }
            m.doubted_since.get_or_insert(now);
            m.doubted_until = now + times::DOUBTED;
        }
    }

    /// The job fails wherever it is tried: its failures say nothing of a machine.
    fn exonerate(&mut self, name: &MachineId, id: &JobId) {
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.faults.remove(id).is_some() && m.faults.len() < 3 && m.doubted_since.take().is_some() {
            tracing::info!(machine = %name, job = %id, "machine no longer doubted: the job fails everywhere");
            m.doubted_until = Micros::ZERO;
            self.dirty = true;
        }
    }
}
