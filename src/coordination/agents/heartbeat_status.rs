//! Applies heartbeats to the leader's state: to the machine, and to the records of the tasks that
//! are placed on it.
//!
//! A heartbeat is applied only if it is newer than the last one of its machine. Invariant: a record
//! is freed only with a `VoidProof` that no start of the record can be executed any more or that
//! its task has exited.

use super::outbox::{Attempt, CommandReasons, TaskRef};
use super::parse_task;
use crate::coordination::state::void_proof::VoidProof;
use crate::coordination::state::{
    LeaderState, Machine, MachineId, MachineState, NewTermReason, PlacementPhase, TaskState,
};
use crate::coordination::{ClusterConfig, JobId};
use crate::protocol::agents::{Cause, Heartbeat, TaskPhase, TaskStatus};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a task whose start was sent may stay unlisted after its stop was requested, before the
/// term is raised.
const MAX_UNLISTED_STOP: Micros = Micros::from_millis(3000);
/// The time for which a replica of a service must run before earlier failures of the service are
/// forgotten.
const RECOVERED_RUN_TIME: Micros = Micros::from_millis(120_000);

/// A heartbeat while it is compared with the records of its machine.
struct AppliedHeartbeat<'a> {
    cluster: &'a ClusterConfig,
    machine: &'a MachineId,
    heartbeat: &'a Heartbeat,
    now: Micros,
}

impl LeaderState {
    /// Applies a heartbeat that an agent sent at about `at` to this node or to the controller
    /// `via`, and returns the reasons for commands in its response.
    pub fn apply_heartbeat(
        &mut self,
        cluster: &ClusterConfig,
        heartbeat: &Heartbeat,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> CommandReasons {
        // An agent has one heartbeat in flight at a time. The next one shows that the response to
        // the last one has arrived or never will arrive.
        let is_newer = |m: &Machine| (heartbeat.incarnation, heartbeat.sequence) > (m.incarnation, m.sequence);
        if let Some(machine) = self
            .machines
            .get_mut(heartbeat.machine.as_str())
            .filter(|m| is_newer(m))
        {
            machine.outbox.sent_starts.on_next_heartbeat();
        }
        self.apply_heartbeat_content(cluster, heartbeat, via, at, now)
    }

    /// Applies the content of a heartbeat.
    ///
    /// The heartbeat may also be the answer to a push, which does not show whether the responses to
    /// earlier heartbeats have arrived.
    pub fn apply_heartbeat_content(
        &mut self,
        cluster: &ClusterConfig,
        heartbeat: &Heartbeat,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> CommandReasons {
        let name: MachineId = heartbeat.machine.as_str().into();
        if !self.accepts_heartbeat(&name, heartbeat, now) {
            return CommandReasons::default();
        }
        self.apply_machine_state(cluster, &name, heartbeat, via, at, now);
        self.apply_interruption_notice(&name, heartbeat, now);
        let mut reasons = CommandReasons::default();
        let applied = AppliedHeartbeat {
            cluster,
            machine: &name,
            heartbeat,
            now,
        };
        self.compare_records(&applied, &mut reasons);
        self.update_orphans(&name, heartbeat, &mut reasons);
        reasons
    }

    /// Returns whether a heartbeat is to be applied: it is newer than the last one of its machine,
    /// the machine was not released, and the fencing token is not higher than this leader's term.
    ///
    /// An unknown machine is added to the state.
    fn accepts_heartbeat(&mut self, name: &MachineId, heartbeat: &Heartbeat, now: Micros) -> bool {
        if self.released_machines.contains(name) {
            return false;
        }
        if heartbeat.fencing_token > self.term {
            // This leader never issued the token: another node leads by now, or the token is wrong.
            // The heartbeat would prove nothing about the starts that this leader has sent.
            return false;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = %name, "received the first heartbeat of an unknown machine");
            Machine::unknown(name.clone(), now)
        });
        if heartbeat.incarnation < machine.incarnation {
            tracing::warn!(machine = %name, incarnation = heartbeat.incarnation, last = machine.incarnation, "heartbeat dropped: it is from an earlier agent incarnation");
        }
        // The task list of a late heartbeat is older than the list that was applied last.
        (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
    }

    /// Applies the state of the machine itself from a heartbeat.
    fn apply_machine_state(
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
        let is_new_incarnation = heartbeat.incarnation > machine.incarnation;
        if at == now {
            machine.note_heartbeat_route(via, now);
        }
        machine.heartbeats_received += 1;
        machine.incarnation = heartbeat.incarnation;
        machine.sequence = heartbeat.sequence;
        machine.last_heartbeat = if is_new_incarnation || machine.state == MachineState::Booting {
            at
        } else {
            machine.last_heartbeat.max(at)
        };
        if machine.heartbeat_proxy.as_deref() != via {
            machine.heartbeat_proxy = via.map(Rc::from);
        }
        machine.address.clone_from(&heartbeat.addr);
        machine.describe(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
        if heartbeat.fencing_token > machine.fencing_token {
            machine.fencing_token = heartbeat.fencing_token;
            machine.outbox.sent_starts.drop_below(machine.fencing_token);
        }
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            let machine_type = cluster.catalogue.get(&heartbeat.machine_type);
            if let (Some(rented_at), Some(machine_type)) = (machine.rented_at, machine_type) {
                let kind = (heartbeat.machine_type.clone(), heartbeat.zone.clone(), heartbeat.spot);
                self.provisioning
                    .boot_times
                    .record_boot(kind, at.since(rented_at), machine_type.boot_s, now);
            }
            self.needs_scheduling = true;
            let boot_s = now.since(machine.known_since).secs();
            tracing::debug!(machine = %name, boot_s, "machine up");
        }
        if is_new_incarnation {
            machine.outbox.on_new_incarnation();
            self.drop_images(name);
            self.needs_scheduling = true;
        }
    }

    /// Records when the cloud will reclaim a spot machine, if the heartbeat has an interruption
    /// notice.
    fn apply_interruption_notice(&mut self, name: &MachineId, heartbeat: &Heartbeat, now: Micros) {
        let Some(notice) = heartbeat.notice_s else { return };
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.interruption_at.is_none()) else {
            return;
        };
        tracing::debug!(machine = %name, notice, "received a spot interruption notice");
        machine.interruption_at = Some(now + Micros::from_secs(notice));
        self.needs_scheduling = true;
    }

    /// Compares the records of a machine's tasks with the tasks that the heartbeat lists.
    fn compare_records(&mut self, applied: &AppliedHeartbeat, reasons: &mut CommandReasons) {
        let (name, heartbeat) = (applied.machine, applied.heartbeat);
        let malformed = heartbeat.tasks.iter().filter(|t| parse_task(&t.task).is_none()).count();
        if malformed > 0 {
            tracing::warn!(machine = %name, malformed, "a heartbeat lists tasks with malformed names");
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
            let status = listed.get(&(&*id, task, attempt)).copied();
            let record = TaskRef { job: id, task };
            self.compare_record(applied, &record, status, reasons);
        }
    }

    /// Records the listed attempts that have no record, and adds reasons to stop those that run and
    /// to forget those that have exited.
    fn update_orphans(&mut self, name: &MachineId, heartbeat: &Heartbeat, reasons: &mut CommandReasons) {
        let mut orphaned_attempts = vec![];
        let mut retained_exits = 0;
        for listed in &heartbeat.tasks {
            let attempt = Attempt {
                task: listed.task.clone(),
                number: listed.attempt,
            };
            if self.has_record(name, &attempt) {
                continue;
            }
            if listed.phase == TaskPhase::Exited {
                let cause = listed.cause.unwrap_or(Cause::Other);
                if self.may_forget(name, &attempt, cause) {
                    reasons.forgets.insert(attempt, cause);
                } else {
                    retained_exits += 1;
                }
            } else {
                self.check_orphan(name, &attempt);
                orphaned_attempts.push(attempt.clone());
                reasons.orphaned_attempts.insert(attempt);
            }
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.retained_exits = retained_exits;
        if machine.orphaned_attempts != orphaned_attempts {
            machine.orphaned_attempts = orphaned_attempts;
            self.needs_scheduling = true;
        }
    }

    /// Returns whether a message under the present term may forget an attempt that has ended.
    fn may_forget(&self, name: &MachineId, attempt: &Attempt, cause: Cause) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let proof = machine.outbox.sent_starts.forget_proof(attempt, cause, self.term);
        proof.is_some()
    }

    /// Applies heartbeats that another controller has published in the state service because it
    /// can't reach this one.
    ///
    /// Such heartbeats are as valid as any late heartbeat, but don't prove that the machines are
    /// reachable now, and no agent waits for a response.
    pub fn apply_proxied_heartbeats(&mut self, cluster: &ClusterConfig, heartbeats: &[Heartbeat], now: Micros) {
        for heartbeat in heartbeats {
            let Some(m) = self.machines.get(heartbeat.machine.as_str()) else {
                continue;
            };
            let (via, at) = (m.heartbeat_proxy.clone(), m.last_heartbeat);
            self.apply_heartbeat(cluster, heartbeat, via.as_deref(), at, now);
        }
    }

    /// Compares one record with the status of its attempt, if the heartbeat lists the attempt.
    fn compare_record(
        &mut self,
        applied: &AppliedHeartbeat,
        record: &TaskRef,
        status: Option<&TaskStatus>,
        reasons: &mut CommandReasons,
    ) {
        let (name, heartbeat, now) = (applied.machine, applied.heartbeat, applied.now);
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get(id) else { return };
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        if placement.phase == PlacementPhase::Committing {
            return;
        }
        if heartbeat.incarnation > placement.incarnation {
            // The agent incarnation of the record has ended, with all of its tasks.
            let (incarnation, recorded) = (heartbeat.incarnation, placement.incarnation);
            let attempt = placement.attempt;
            tracing::debug!(job = %id, task, attempt, machine = %name, incarnation, recorded, "task lost: its agent has a new incarnation");
            let proof = VoidProof::LaterIncarnation { reported: incarnation };
            return self.free(id, task, proof, now);
        }
        match status {
            Some(status) if status.phase == TaskPhase::Exited => {
                self.record_exit(applied, record, status.cause.unwrap_or(Cause::Other));
            }
            Some(status) => self.record_seen(applied, record, status.phase, reasons),
            None => self.record_unlisted(applied, record, reasons),
        }
    }

    /// Handles a recorded attempt that the heartbeat does not list: its start may not have arrived
    /// yet, or may never arrive.
    fn record_unlisted(&mut self, applied: &AppliedHeartbeat, record: &TaskRef, reasons: &mut CommandReasons) {
        let (name, heartbeat, now) = (applied.machine, applied.heartbeat, applied.now);
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get(id) else { return };
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        if placement.sent && heartbeat.fencing_token > placement.fencing_token {
            // Every start of the attempt was sent under a lower token, which the agent refuses from
            // now on, and the agent does not have the task.
            let (attempt, sent_under, fencing_token) =
                (placement.attempt, placement.fencing_token, heartbeat.fencing_token);
            tracing::debug!(job = %id, task, attempt, machine = %name, sent_under, fencing_token, "start is void: the machine does not list the task and refuses the start");
            let proof = VoidProof::RefusedByToken {
                reported: fencing_token,
            };
            self.free(id, task, proof, now);
        } else if placement.stop_grace_s.is_some() || !job.is_live() {
            if placement.sent && now.since(placement.stop_requested_at) > MAX_UNLISTED_STOP {
                self.new_term_reason = Some(NewTermReason::UnwantedStart);
            }
        } else if placement.may_be_sent() {
            reasons.starts.insert(record.clone());
        } else if placement.phase == PlacementPhase::Sent {
            // The record was made by an earlier leader. A heartbeat with the current token shows
            // whether the record is void.
            reasons.wants_heartbeat = true;
        }
    }

    /// Handles a task that the machine lists as exited.
    fn record_exit(&mut self, applied: &AppliedHeartbeat, record: &TaskRef, cause: Cause) {
        let (cluster, name, now) = (applied.cluster, applied.machine, applied.now);
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        let is_first_report = !matches!(placement.phase, PlacementPhase::Exited(_));
        placement.phase = PlacementPhase::Exited(cause);
        let on_helper_slots = placement.on_helper_slots;
        let cancelled = job.cancelled_at.is_some();
        if is_first_report {
            job.release_task(on_helper_slots);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.discharge(&job.spec);
            }
            self.apply_exit(cluster, name, id, task, cause, now);
        }
        // The placement of a completed task is kept until its outcome is recorded.
        if cause != Cause::Done || cancelled {
            self.free(id, task, VoidProof::Exited(cause), now);
        }
    }

    /// Handles a task that the machine lists in a phase other than exited.
    fn record_seen(
        &mut self,
        applied: &AppliedHeartbeat,
        record: &TaskRef,
        phase: TaskPhase,
        reasons: &mut CommandReasons,
    ) {
        let (name, now) = (applied.machine, applied.now);
        if phase == TaskPhase::Running {
            self.record_running(name, record, now);
        }
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if !matches!(placement.phase, PlacementPhase::Exited(_)) {
            placement.phase = PlacementPhase::Seen(phase);
        }
        if placement.stop_grace_s.is_some() {
            reasons.stops.insert(record.clone());
        }
        let has_recovered = placement.has_run_for(RECOVERED_RUN_TIME, now);
        if has_recovered && job.is_service() {
            job.consecutive_failures = 0;
            job.failures.clear();
        }
        if phase == TaskPhase::Running {
            let machine_type = applied.cluster.catalogue.get(&applied.heartbeat.machine_type);
            let cache_gb = machine_type.map_or(f64::INFINITY, |t| t.cache_gb);
            self.record_image_use(name, &image, image_gb, cache_gb);
        }
    }

    /// Records the start of a task's run the first time that the machine lists the task as running.
    fn record_running(&mut self, name: &MachineId, record: &TaskRef, now: Micros) {
        let (id, task) = (&record.job, record.task);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if placement.running_since.is_some() {
            return;
        }
        placement.running_since = Some(now);
        let waited = now.since(job.arrived_at);
        if !placement.restored && !job.arrival_unknown {
            let spec = &job.spec;
            self.slo.record_start(&spec.class, &spec.team, spec.cpus, waited, now);
        }
        if !placement.restored && !job.spec.dependencies.is_empty() {
            self.blocked_jobs.record_wait(waited);
        }
        tracing::debug!(
            job = %id,
            task,
            class = job.spec.class,
            machine = %name,
            attempt = placement.attempt,
            waited_s = waited.secs(),
            placed_s = now.since(placement.placed_at).secs(),
            "task started running"
        );
    }

    /// Applies the exit of a task to its job and its machine.
    fn apply_exit(
        &mut self,
        cluster: &ClusterConfig,
        name: &MachineId,
        id: &JobId,
        task: u32,
        cause: Cause,
        now: Micros,
    ) {
        self.needs_scheduling = true;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match cause {
            Cause::Done if job.is_live() => self.apply_completion(name, id, task, now),
            Cause::Error => self.apply_failure(name, id, task, now),
            Cause::NoRoom | Cause::Busy => {
                // The machine's free resources differ from the leader's records. The next heartbeat
                // will show the difference.
                let pause = Micros::from_secs(cluster.settings.params.workers.report_s);
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.quarantined_until = machine.quarantined_until.max(now + pause);
                }
            }
            Cause::Unknown => {
                // The job's description has not been uploaded yet.
                job.consecutive_failures += 1;
                job.backoff_until = now + Micros::from_secs(f64::from(job.consecutive_failures.min(10)));
            }
            _ => {}
        }
    }

    /// Applies the completion of a task.
    fn apply_completion(&mut self, name: &MachineId, id: &JobId, task: u32, now: Micros) {
        let range_index = task / self.tasks_per_range;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let seen = job.placements.get(&task).filter(|p| !p.restored);
        if let Some(since) = seen.and_then(|p| p.running_since) {
            let ran_s = now.since(since).secs();
            tracing::debug!(job = %id, task, machine = %name, ran_s, "task completed");
            job.completed_runs.record(ran_s);
            self.slo.record_run(&job.spec.class, job.spec.estimate_s, ran_s, now);
        }
        if job.task_states[task as usize] == TaskState::Placed {
            job.task_states[task as usize] = TaskState::Finished;
            job.finished_tasks += 1;
            job.consecutive_failures = 0;
            job.failures.clear();
            job.task_ranges.entry(range_index).or_default().completed.insert(task);
            if !job.is_service() && job.finished_tasks == job.spec.tasks {
                self.log_writer.completed.insert(id.clone());
                self.record_objectives_met(id, now);
            }
            self.mark_task_range_changed(id, range_index, now);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_completion = Some(now);
            machine.task_failures.pop_first();
        }
    }
}
