//! What a worker's report says of the tasks that the leader has records of.

use super::outbox::{Attempt, Due, TaskRef};
use super::parse_task;
use crate::coordination::state::void_proof::VoidProof;
use crate::coordination::state::{
    LeaderState, Machine, MachineId, MachineState, NewTermReason, PlacementPhase, TaskState,
};
use crate::coordination::{timing, ClusterConfig, JobId};
use crate::protocol::agents::{Cause, Heartbeat, TaskPhase, TaskStatus};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A stopped task whose start was never seen is waited for so long before the term is raised.
const UNSEEN_STOP: Micros = Micros::from_millis(3000);

impl LeaderState {
    /// Takes in a heartbeat: a report that a worker sent by itself at about `at`, here or to
    /// another controller. Says what its answer should command.
    pub fn take_heartbeat(
        &mut self,
        cluster: &ClusterConfig,
        heartbeat: &Heartbeat,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Due {
        // A worker has one report on its way at a time: its next one says that the answer to
        // the last has come, or never will.
        let newer = |m: &Machine| (heartbeat.incarnation, heartbeat.sequence) > (m.incarnation, m.sequence);
        if let Some(machine) = self.machines.get_mut(heartbeat.machine.as_str()).filter(|m| newer(m)) {
            machine.outbox.answer_arrived();
        }
        self.take_report(cluster, heartbeat, via, at, now)
    }

    /// The same of a report that is not a heartbeat: it came with the answer to a direct message,
    /// and says nothing of the answers to heartbeats.
    pub fn take_report(
        &mut self,
        cluster: &ClusterConfig,
        heartbeat: &Heartbeat,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Due {
        let name: MachineId = heartbeat.machine.as_str().into();
        if !self.is_news(&name, heartbeat, now) {
            return Due::default();
        }
        self.take_machine_state(cluster, &name, heartbeat, via, at, now);
        self.take_notice(&name, heartbeat, now);
        let mut due = Due::default();
        self.match_records(cluster, &name, heartbeat, now, &mut due);
        self.note_orphans(&name, heartbeat, &mut due);
        due
    }

    /// Whether a report says something new of a machine that may still be there. One from a
    /// machine that nobody expected makes it known.
    fn is_news(&mut self, name: &MachineId, heartbeat: &Heartbeat, now: Micros) -> bool {
        if self.released_machines.contains(name) {
            return false;
        }
        if heartbeat.fencing_token > self.term {
            // A token that this leader never gave out: another one leads by now, or nobody ever
            // gave it. As a proof that starts are refused it would be worth nothing.
            return false;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = %name, "a machine that was not expected reports");
            Machine::unknown(name.clone(), now)
        });
        if heartbeat.incarnation < machine.incarnation {
            tracing::warn!(machine = %name, incarnation = heartbeat.incarnation, last = machine.incarnation, "report dropped: of an earlier session");
        }
        // The task list of a late message is older than what is known.
        (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
    }

    /// What a report says of the machine itself.
    fn take_machine_state(
        &mut self,
        cluster: &ClusterConfig,
        name: &MachineId,
        heartbeat: &Heartbeat,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let new_session = heartbeat.incarnation > machine.incarnation;
        if at == now {
            machine.note_heartbeat_route(via, now);
        }
        machine.heartbeats_received += 1;
        machine.incarnation = heartbeat.incarnation;
        machine.sequence = heartbeat.sequence;
        machine.last_heartbeat = if new_session || machine.state == MachineState::Booting {
            at
        } else {
            machine.last_heartbeat.max(at)
        };
        if machine.heartbeat_proxy.as_deref() != via {
            machine.heartbeat_proxy = via.map(Rc::from);
        }
        machine.address.clone_from(&heartbeat.addr);
        machine.describe(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
        machine.fencing_token = machine.fencing_token.max(heartbeat.fencing_token);
        machine.outbox.refuses_below(machine.fencing_token);
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            if let (Some(rented), Some(t)) = (machine.rented_at, cluster.catalogue.get(&heartbeat.machine_type)) {
                let kind = (heartbeat.machine_type.clone(), heartbeat.zone.clone(), heartbeat.spot);
                self.provisioning
                    .boot_times
                    .record_boot(kind, at.since(rented), t.boot_s, now);
            }
            self.needs_scheduling = true;
            let boot_s = now.since(machine.known_since).secs();
            tracing::debug!(machine = %name, boot_s, "machine up");
        }
        if new_session {
            machine.outbox.session_ended();
            self.drop_images(name);
            self.needs_scheduling = true;
        }
    }

    /// The cloud takes the machine back.
    fn take_notice(&mut self, name: &MachineId, heartbeat: &Heartbeat, now: Micros) {
        let Some(notice) = heartbeat.notice_s else { return };
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.interruption_at.is_none()) else {
            return;
        };
        tracing::debug!(machine = %name, notice, "the cloud takes a machine back");
        machine.interruption_at = Some(now + Micros::from_secs(notice));
        self.needs_scheduling = true;
    }

    /// Compares the records of a machine's tasks with what it lists.
    fn match_records(
        &mut self,
        cluster: &ClusterConfig,
        name: &MachineId,
        heartbeat: &Heartbeat,
        now: Micros,
        due: &mut Due,
    ) {
        let unnamed = heartbeat.tasks.iter().filter(|t| parse_task(&t.task).is_none()).count();
        if unnamed > 0 {
            tracing::warn!(machine = %name, unnamed, "a report lists tasks whose names don't parse");
        }
        // A machine may list several attempts at one task.
        let listed: BTreeMap<(&str, u32, u64), &TaskStatus> = heartbeat
            .tasks
            .iter()
            .filter_map(|t| parse_task(&t.task).map(|(job, task)| ((job, task, t.attempt), t)))
            .collect();
        let Some(machine) = self.machines.get(name) else { return };
        let records: Vec<(JobId, u32)> = machine.tasks.iter().cloned().collect();
        for (id, task) in records {
            let placement = self.jobs.get(&id).and_then(|job| job.placements.get(&task));
            let Some(attempt) = placement.map(|p| p.attempt) else {
                continue;
            };
            let entry = listed.get(&(&*id, task, attempt)).copied();
            let record = TaskRef { job: id, task };
            self.match_record(cluster, name, &record, entry, heartbeat, now, due);
        }
    }

    /// What is listed without a record: what runs is stopped, what has ended is forgotten.
    fn note_orphans(&mut self, name: &MachineId, heartbeat: &Heartbeat, due: &mut Due) {
        let mut orphaned_attempts = vec![];
        for listed in &heartbeat.tasks {
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
                orphaned_attempts.push(attempt.clone());
                due.orphaned_attempts.insert(attempt);
            }
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.orphaned_attempts != orphaned_attempts {
            machine.orphaned_attempts = orphaned_attempts;
            self.needs_scheduling = true;
        }
    }

    /// What workers reported to a node that this one can't hear, by way of the state
    /// service. Good for what it says, as any late report; it does not tell that the
    /// machines are reached, and nobody waits for orders.
    pub fn take_proxied_heartbeat(&mut self, cluster: &ClusterConfig, heartbeats: &[Heartbeat], now: Micros) {
        for heartbeat in heartbeats {
            let Some(m) = self.machines.get(heartbeat.machine.as_str()) else {
                continue;
            };
            let (via, at) = (m.heartbeat_proxy.clone(), m.last_heartbeat);
            self.take_heartbeat(cluster, heartbeat, via.as_deref(), at, now);
        }
    }

    /// Compares one record with what the report lists of its attempt.
    #[allow(clippy::too_many_arguments)]
    fn match_record(
        &mut self,
        cluster: &ClusterConfig,
        name: &MachineId,
        record: &TaskRef,
        entry: Option<&TaskStatus>,
        heartbeat: &Heartbeat,
        now: Micros,
        due: &mut Due,
    ) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get(id) else { return };
        let live = job.is_live();
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        if placement.phase == PlacementPhase::Committing {
            return;
        }
        if heartbeat.incarnation > placement.incarnation {
            // The session that the record was made for is over, and everything of it was killed.
            let (incarnation, recorded) = (heartbeat.incarnation, placement.incarnation);
            let attempt = placement.attempt;
            tracing::debug!(job = %id, task, attempt, machine = %name, incarnation, recorded, "lost with its session");
            let proof = VoidProof::LaterSession { reported: incarnation };
            return self.free(id, task, proof, now);
        }
        match entry {
            Some(entry) if entry.phase == TaskPhase::Exited => {
                self.record_exit(cluster, name, record, entry.cause.unwrap_or(Cause::Other), now);
            }
            Some(entry) => self.record_seen(cluster, name, record, entry.phase, heartbeat, now, due),
            None if placement.sent && heartbeat.fencing_token > placement.fencing_token => {
                // Every start of it left under a lower token, and is refused from here on; the
                // machine does not have the task.
                let (attempt, sent_under, fencing_token) =
                    (placement.attempt, placement.fencing_token, heartbeat.fencing_token);
                tracing::debug!(job = %id, task, attempt, machine = %name, sent_under, fencing_token, "not on its machine");
                let proof = VoidProof::RefusedByToken {
                    reported: fencing_token,
                };
                self.free(id, task, proof, now);
            }
            None if placement.stop_grace_s.is_some() || !live => {
                if placement.sent && now.since(placement.stop_requested_at) > UNSEEN_STOP {
                    self.new_term_reason = Some(NewTermReason::UnwantedStart);
                }
            }
            None if placement.may_be_sent() => {
                due.starts.insert(record.clone());
            }
            // A record of an earlier leader: a report under the present token says whether it is void.
            None if placement.phase == PlacementPhase::Sent => due.asks_for_report = true,
            None => {}
        }
    }

    /// The machine has reported that the task exited.
    fn record_exit(&mut self, cluster: &ClusterConfig, name: &MachineId, record: &TaskRef, cause: Cause, now: Micros) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        let first = !matches!(placement.phase, PlacementPhase::Exited(_));
        placement.phase = PlacementPhase::Exited(cause);
        let helper = placement.on_helper_machine;
        let cancelled = job.cancelled_at.is_some();
        if first {
            job.release_task(helper);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.discharge(&job.spec);
            }
            self.exited(cluster, name, id, task, cause, now);
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
        cluster: &ClusterConfig,
        name: &MachineId,
        record: &TaskRef,
        phase: TaskPhase,
        heartbeat: &Heartbeat,
        now: Micros,
        due: &mut Due,
    ) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if phase == TaskPhase::Running && placement.running_since.is_none() {
            placement.running_since = Some(now);
            let waited = now.since(job.arrived_at);
            if !placement.restored && !job.arrival_unknown {
                let spec = &job.spec;
                self.slo.started(&spec.class, &spec.team, spec.cpus, waited, now);
            }
            if !placement.restored && !job.spec.needs.is_empty() {
                self.blocked_jobs.began(waited);
            }
            tracing::debug!(
                job = %id,
                task,
                class = job.spec.class,
                machine = %name,
                try_ = placement.attempt,
                waited_s = waited.secs(),
                placed_s = now.since(placement.placed_at).secs(),
                "task runs"
            );
        }
        if !matches!(placement.phase, PlacementPhase::Exited(_)) {
            placement.phase = PlacementPhase::Seen(phase);
        }
        if placement.stop_grace_s.is_some() {
            due.stops.insert(record.clone());
        }
        if phase == TaskPhase::Running {
            let machine_type = cluster.catalogue.get(&heartbeat.machine_type);
            let cache_gb = machine_type.map_or(f64::INFINITY, |t| t.cache_gb);
            self.record_image_use(name, &image, image_gb, cache_gb);
        }
    }

    /// A task exited; what it means for its job and its machine.
    fn exited(&mut self, cluster: &ClusterConfig, name: &MachineId, id: &JobId, task: u32, cause: Cause, now: Micros) {
        let tasks_per_range = self.tasks_per_range;
        self.needs_scheduling = true;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match cause {
            Cause::Done if job.is_live() => {
                let seen = job.placements.get(&task).filter(|p| !p.restored);
                if let Some(since) = seen.and_then(|p| p.running_since) {
                    let ran_s = now.since(since).secs();
                    tracing::debug!(job = %id, task, machine = %name, ran_s, "task done");
                    job.completed_runs.record(ran_s);
                    self.slo.ran(&job.spec.class, job.spec.estimate_s, ran_s, now);
                }
                if job.states[task as usize] == TaskState::Placed {
                    job.states[task as usize] = TaskState::Finished;
                    job.finished_tasks += 1;
                    job.consecutive_failures = 0;
                    job.failed_machines.clear();
                    job.task_ranges
                        .entry(task / tasks_per_range)
                        .or_default()
                        .completed
                        .insert(task);
                    if !job.is_service() && job.finished_tasks == job.spec.tasks {
                        self.log_writer.complete.insert(id.clone());
                        self.record_objectives_met(id, now);
                    }
                    self.mark_task_range_changed(id, task / tasks_per_range, now);
                }
                if let Some(m) = self.machines.get_mut(name) {
                    m.task_failures.pop_first();
                }
            }
            Cause::Error => {
                tracing::debug!(job = %id, task, machine = %name, "task failed");
                job.failed_machines.insert(name.clone());
                job.consecutive_failures += 1;
                if job.is_suspect(now) {
                    // Tries follow each other ever more slowly.
                    let tries = job.failed_machines.len().max(2) - 2
                        + job.consecutive_failures as usize / job.spec.tasks.max(1) as usize;
                    let pause = Micros::from_secs((2u64 << tries.min(5)) as f64);
                    job.backoff_until = now + pause;
                    let machines = job.failed_machines.clone();
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
                let pause = Micros::from_secs(cluster.settings.params.workers.report_s);
                if let Some(m) = self.machines.get_mut(name) {
                    m.quarantined_until = m.quarantined_until.max(now + pause);
                }
            }
            Cause::Unknown => {
                // The job's description is not uploaded yet.
                job.consecutive_failures += 1;
                job.backoff_until = now + Micros::from_secs(f64::from(job.consecutive_failures.min(10)));
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
        *m.task_failures.entry(id.clone()).or_default() += 1;
        m.task_failures.retain(|job, _| jobs.contains_key(job));
        let does_well = |job: &JobId| jobs.get(job).is_some_and(|j| j.finished_tasks > 0);
        let told = m.task_failures.iter().any(|(job, n)| *n >= 2 && does_well(job));
        if told || m.task_failures.len() >= 3 {
            if m.quarantined_since.is_none() {
                tracing::info!(machine = %name, jobs = m.task_failures.len(), "machine doubted: tasks fail on it");
            }
            m.quarantined_since.get_or_insert(now);
            m.quarantined_until = now + timing::QUARANTINE;
        }
    }

    /// The job fails wherever it is tried: its failures say nothing of a machine.
    fn exonerate(&mut self, name: &MachineId, id: &JobId) {
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.task_failures.remove(id).is_some() && m.task_failures.len() < 3 && m.quarantined_since.take().is_some() {
            tracing::info!(machine = %name, job = %id, "machine no longer doubted: the job fails everywhere");
            m.quarantined_until = Micros::ZERO;
            self.needs_scheduling = true;
        }
    }
}
