//! What a worker's report says of the tasks that the leader has records of.

use super::parse_task;
use crate::coordination::book::{Leader, Machine, MachineId, MachineState, Stage, TaskState};
use crate::coordination::renewal::ORDERS;
use crate::coordination::{times, JobId, Site};
use crate::protocol::workers::{Cause, Order, Report, TaskPhase};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Leader {
    /// Takes in a report that a worker sent at about `at`, here or to another
    /// node; returns the orders for its answer.
    pub fn on_report(
        &mut self,
        site: &Site,
        report: &Report,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Vec<Order> {
        // A worker has one report on its way at a time: its next one says that the answer to
        // the last has come, or never will.
        let newer = |m: &Machine| (report.session, report.serial) > (m.session, m.serial);
        if let Some(m) = self.machines.get_mut(report.machine.as_str()).filter(|m| newer(m)) {
            m.answered.clear();
        }
        let orders = self.take_report(site, report, via, at, now);
        if let Some(m) = self.machines.get_mut(report.machine.as_str()) {
            for order in &orders {
                if let Order::Start { task, attempt } = order {
                    m.answered.insert((task.clone(), *attempt));
                }
            }
        }
        orders
    }

    /// The same of a report that is not a worker's own: it came with the answer to a command,
    /// and says nothing of the answers to its reports.
    pub fn take_report(
        &mut self,
        site: &Site,
        report: &Report,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Vec<Order> {
        let name: MachineId = report.machine.as_str().into();
        if self.gone.contains(&name) {
            return vec![];
        }
        // A token that this leader never gave out: another one leads by now, or nobody ever
        // gave it. As a proof that starts are refused it would be worth nothing.
        if report.fence > self.term {
            return vec![];
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = report.machine, "a machine that was not expected reports");
            Machine::unknown(name.clone(), now)
        });
        if (report.session, report.serial) <= (machine.session, machine.serial) {
            // A late message: its task list is older than what we know.
            return vec![];
        }
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
        let seen_fence = machine.fence;
        machine.in_doubt.retain(|_, fence| *fence >= seen_fence);
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            if let (Some(rented), Some(t)) = (machine.rented_at, site.catalogue.get(&report.machine_type)) {
                let kind = (report.machine_type.clone(), report.zone.clone(), report.spot);
                self.boots.came_up(kind, at.since(rented), t.boot_s, now);
            }
            self.dirty = true;
            tracing::debug!(
                machine = report.machine,
                boot_s = now.since(machine.since).secs(),
                "machine up"
            );
        }
        if new_session {
            machine.in_doubt.clear();
            machine.urgent.clear();
            self.drop_images(&name);
            self.dirty = true;
        }
        let Some(machine) = self.machines.get_mut(&name) else {
            return vec![];
        };
        if let Some(notice) = report.notice_s {
            if machine.taken_at.is_none() {
                tracing::debug!(machine = report.machine, notice, "the cloud takes a machine back");
                machine.taken_at = Some(now + Micros::from_secs(notice));
                self.dirty = true;
            }
        }
        let listed: BTreeMap<(&str, u32), &crate::protocol::workers::TaskReport> = report
            .tasks
            .iter()
            .filter_map(|t| parse_task(&t.task).map(|key| (key, t)))
            .collect();
        let mut orders = vec![];
        let records: Vec<(JobId, u32)> = machine.tasks.iter().cloned().collect();
        for (id, task) in records {
            let entry = listed.get(&(&*id, task)).copied();
            self.match_record(site, &name, &id, task, entry, report, now, &mut orders);
        }
        // What is listed without a record.
        let mut strangers = 0;
        for t in &report.tasks {
            let known = parse_task(&t.task).is_some_and(|(job, task)| {
                self.jobs
                    .get(job)
                    .and_then(|j| j.placed.get(&task))
                    .is_some_and(|p| p.machine == name && p.attempt == t.attempt && p.session == report.session)
            });
            if known || orders.len() >= ORDERS {
                continue;
            }
            if t.phase == TaskPhase::Exited {
                if self.may_forget(&name, &t.task, t.attempt) {
                    orders.push(Order::Forget {
                        task: t.task.clone(),
                        attempt: t.attempt,
                    });
                }
            } else {
                strangers += 1;
                orders.push(Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                });
            }
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            if machine.strangers != strangers {
                self.dirty = true;
            }
            machine.strangers = strangers;
        }
        orders
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
            self.on_report(site, report, via.as_deref(), at, now);
        }
    }

    /// Forgetting while a start of the same attempt may be on its way would let
    /// that start run the task again.
    pub(super) fn may_forget(&self, machine: &MachineId, task: &str, attempt: u64) -> bool {
        let flying = self.direct.values().any(|d| {
            d.machine == *machine
                && d.orders
                    .iter()
                    .any(|o| matches!(o, Order::Start { task: t, attempt: a } if t == task && *a == attempt))
        });
        let key = (task.to_string(), attempt);
        let doubted = self
            .machines
            .get(machine)
            .is_some_and(|m| m.in_doubt.contains_key(&key) || m.answered.contains(&key));
        !flying && !doubted
    }

    /// Compares one record with a report.
    #[allow(clippy::too_many_arguments)]
    fn match_record(
        &mut self,
        site: &Site,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: Option<&crate::protocol::workers::TaskReport>,
        report: &Report,
        now: Micros,
        orders: &mut Vec<Order>,
    ) {
        let term = self.term;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let live = job.is_live();
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(p) = job.placed.get_mut(&task) else { return };
        if p.stage == Stage::Committing {
            return;
        }
        if report.session > p.session {
            // The session that the record was made for is over, and everything
            // of it was killed.
            tracing::debug!(job = %id, task, machine = %name, "lost with its session");
            self.free(id, task, now);
            return;
        }
        let text = format!("{id}/{task}");
        match entry.filter(|e| e.attempt == p.attempt) {
            Some(e) if e.phase == TaskPhase::Exited => {
                let cause = e.cause.unwrap_or(Cause::Other);
                let attempt = p.attempt;
                let first = !matches!(p.stage, Stage::Exited(_));
                p.stage = Stage::Exited(cause);
                let helper = p.helper;
                let cancelled = job.cancelled.is_some();
                if first {
                    job.vacates(helper);
                    if let Some(m) = self.machines.get_mut(name) {
                        m.take(&job.spec, -1.0);
                    }
                }
                if first {
                    self.exited(site, name, id, task, cause, now);
                }
                // A completion stays on the machine until it is recorded.
                if cause != Cause::Done || cancelled {
                    if self.may_forget(name, &text, attempt) && orders.len() < ORDERS {
                        orders.push(Order::Forget { task: text, attempt });
                    }
                    self.free(id, task, now);
                }
            }
            Some(e) => {
                if e.phase == TaskPhase::Running && p.running_since.is_none() {
                    p.running_since = Some(now);
                    if !p.restored && !job.ageless {
                        let (s, waited) = (&job.spec, now.since(job.arrived));
                        self.account.started(&s.class, &s.team, s.cpus, waited, now);
                    }
                    if !p.restored && !job.spec.needs.is_empty() {
                        self.chained.began(now.since(job.arrived));
                    }
                    tracing::debug!(
                        job = %id,
                        task,
                        class = job.spec.class,
                        machine = %name,
                        try_ = p.attempt,
                        waited_s = now.since(job.arrived).secs(),
                        placed_s = now.since(p.since).secs(),
                        "task runs"
                    );
                }
                if !matches!(p.stage, Stage::Exited(_)) {
                    p.stage = Stage::Seen(e.phase);
                }
                if let Some(grace_s) = p.stop {
                    if orders.len() < ORDERS {
                        orders.push(Order::Stop {
                            task: text,
                            attempt: p.attempt,
                            grace_s,
                        });
                    }
                }
                if e.phase == TaskPhase::Running {
                    let cache = site
                        .catalogue
                        .get(&report.machine_type)
                        .map_or(f64::INFINITY, |t| t.cache_gb);
                    self.use_image(name, &image, image_gb, cache);
                }
            }
            None if report.fence > p.fence => {
                // Starts sent under the record's term are refused from here on,
                // and the machine does not have the task.
                tracing::debug!(job = %id, task, machine = %name, "not on its machine");
                self.free(id, task, now);
            }
            None if p.stop.is_some() || !live => {
                if now.since(p.stop_at) > Micros::from_secs(3.0) {
                    self.new_term = Some("a start that is no longer wanted may still be on its way");
                }
            }
            None if matches!(p.stage, Stage::Sent) && p.sent => {
                if orders.len() < ORDERS {
                    p.fence = term;
                    orders.push(Order::Start {
                        task: text,
                        attempt: p.attempt,
                    });
                }
            }
            None => {}
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
