//! Operations on placements that keep a job, its machines and the log writer consistent.
//!
//! Called by the scheduler, by heartbeat processing and when jobs are cancelled. The callers make
//! the decisions; this module only checks whether a proof covers a record.
//!
//! Invariants: a placement is in its job's `placements` if and only if its task is in the `tasks`
//! of its machine, if the leader has a record of that machine. A placement is charged to its
//! machine and counted in its job's `held_tasks` until its exit is reported. It is removed only
//! with a [`VoidProof`] that covers it, or together with its job.

use super::void_proof::VoidProof;
use super::{LeaderState, Machine, MachineId, Placement, PlacementPhase};
use crate::coordination::decision_log::Decided;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::log::queues::UndescribedJob;
use crate::coordination::JobId;
use crate::protocol::users::JobSpec;
use crate::time::Micros;

/// The maximum number of released machines that are remembered.
const MAX_RELEASED_MACHINES: usize = 20_000;

impl Machine {
    /// Adds the placement record of a task, and charges the machine for the task.
    pub fn add_task(&mut self, job: &JobId, task: u32, spec: &JobSpec) {
        self.charge(spec);
        self.tasks.insert((job.clone(), task));
    }

    /// Removes the placement record of a task, and discharges the machine unless the task has
    /// exited.
    pub fn remove_task(&mut self, job: &JobId, task: u32, spec: &JobSpec, placement: &Placement) {
        self.tasks.remove(&(job.clone(), task));
        if placement.uses_resources() {
            self.discharge(spec);
        }
    }
}

impl LeaderState {
    /// Marks a job as cancelled: none of its tasks starts any more, and those on machines are
    /// stopped.
    pub fn cancel(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.cancelled_at.is_some() {
            return;
        }
        tracing::debug!(job = id, on_machines = job.placements.len(), "job cancelled");
        job.cancelled_at = Some(now);
        job.cancel_unconfirmed_until = self.cancellation_watermark;
        job.waiting.clear();
        let entry = UndescribedJob::new(job.acceptance_revision, job.id.clone());
        self.log_writer.undescribed.insert(entry);
        if job.placements.is_empty() {
            self.log_writer.fully_cancelled.insert(job.id.clone());
        }
        let tasks: Vec<u32> = job.placements.keys().copied().collect();
        for task in tasks {
            self.stop(id, task, 0.0, now);
        }
        self.drop_unrecorded(id, now);
        self.needs_scheduling = true;
    }

    /// Removes the placements of a cancelled or closing job whose records are not in the log and
    /// not in flight to it.
    ///
    /// Such records were never written and their starts never sent, so they are void. If they were
    /// kept, every transaction that contains them would fail on the job's key, and the starts of
    /// other jobs in the same transaction with them.
    pub fn drop_unrecorded(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.is_live()) else {
            return;
        };
        let id = job.id.clone();
        let unrecorded = |(task, p): (&u32, &Placement)| {
            let in_flight = self.log_writer.records_start(&id, *task);
            (p.phase == PlacementPhase::Committing && !in_flight).then_some(*task)
        };
        let tasks: Vec<u32> = job.placements.iter().filter_map(unrecorded).collect();
        for task in tasks {
            self.free(&id, task, VoidProof::NotRecorded, now);
        }
    }

    /// Requests that a task stops. The request is sent at once, and again in the response to every
    /// heartbeat of the machine; a task for which nothing was ever sent is removed instead.
    pub fn stop(&mut self, id: &str, task: u32, grace_s: f64, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        let is_first = placement.stop_grace_s.is_none();
        if is_first {
            placement.stop_requested_at = now;
        }
        placement.stop_grace_s = Some(grace_s);
        let (phase, sent) = (placement.phase, placement.sent);
        let id = job.id.clone();
        if is_first {
            if let Some(placement) = job.placements.get(&task) {
                let decision = job.decision(task, placement, Decided::Stop, now);
                self.invariants.decisions.record(decision);
            }
        }
        if is_injected(InjectedFault::FreesWithoutProof) {
            return self.free(&id, task, VoidProof::MachineReleased, now);
        }
        match (phase, sent) {
            // The record of the start is being committed; the start will not be sent.
            (PlacementPhase::Committing, _) => {}
            // Only this leadership could have sent a start for this record, and it has not: the
            // record is void without a report from the machine.
            (PlacementPhase::Sent, false) => self.free(&id, task, VoidProof::NeverSent, now),
            _ => self.queue_stop(&id, task),
        }
    }

    /// Removes a task's placement, whose record `proof` shows to be void. If the proof does not
    /// cover the record, the placement stays and a broken invariant is counted.
    pub fn free(&mut self, id: &JobId, task: u32, proof: VoidProof, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        if !proof.covers(placement) {
            tracing::error!(job = %id, task, ?proof, ?placement, "placement record not removed: the proof does not cover it");
            self.invariants.broken += 1;
            return;
        }
        let decision = job.decision(task, placement, Decided::Freed(proof), now);
        self.invariants.decisions.record(decision);
        let is_live = job.is_live();
        let Some(placement) = job.remove_placement(task, self.tasks_per_range) else {
            return;
        };
        if !is_live {
            job.waiting.remove(&task);
        }
        if job.cancelled_at.is_some() && job.placements.is_empty() {
            self.log_writer.fully_cancelled.insert(id.clone());
        }
        if placement.uses_resources() {
            job.release_task(placement.on_helper_slots);
        }
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.remove_task(id, task, &job.spec, &placement);
        }
        self.mark_task_range_changed(id, task / self.tasks_per_range, now);
        self.needs_scheduling = true;
    }

    /// Removes a machine that the cloud has reported as released, with all placements on it.
    pub fn machine_released(&mut self, name: &MachineId, now: Micros) {
        self.released_machines.insert(name.clone());
        while self.released_machines.len() > MAX_RELEASED_MACHINES {
            self.released_machines.pop_first();
        }
        self.drop_images(name);
        self.agents.outboxes.remove(name);
        if let Some(machine) = self.machines.remove(name) {
            for (job, task) in machine.tasks {
                self.free(&job, task, VoidProof::MachineReleased, now);
            }
        }
        self.needs_scheduling = true;
    }
}
