//! Applies or undoes the transaction in flight once its outcome is known.
//!
//! If it was executed, its facts are durable and the starts that it records are sent; otherwise
//! every change in it is queued again for a later transaction. `answers` determines the outcome.

use super::super::state::{LeaderState, PlacementPhase, TaskState};
use super::super::{Context, JobId};
use super::queues::{QueuedStarts, UndescribedJob};
use super::replay::{FreeSlot, LiveSegment};
use super::transaction::{PendingTransaction, WrittenStart, WrittenTaskRange};
use super::{LogWriter, RecordedEnds, MAX_SEGMENTS};
use crate::coordination::state::void_proof::VoidProof;
use crate::storage::keys;
use crate::time::Micros;

impl LogWriter {
    /// Adds the segments of an executed transaction to the log and frees those that it makes
    /// obsolete.
    fn segments_written(&mut self, pending: &PendingTransaction, revision: u64) {
        for segment in &pending.segments {
            self.last_seq = self.last_seq.max(segment.seq);
            self.segments.push_back(LiveSegment {
                slot: segment.slot,
                seq: segment.seq,
                version: revision,
            });
        }
        let oldest = pending.oldest;
        while let Some(segment) = self.segments.front().copied().filter(|s| s.seq < oldest) {
            self.segments.pop_front();
            self.free_slots.push(FreeSlot {
                slot: segment.slot,
                version: segment.version,
            });
        }
        self.seen_revision = pending.seen_revision;
        self.segment_budget = (self.segment_budget + 1).min(MAX_SEGMENTS);
    }

    /// Frees the slots of a transaction that was not executed.
    fn release_slots(&mut self, pending: &PendingTransaction) {
        for segment in &pending.segments {
            let slot = segment.slot;
            let version = pending.expected_version(&keys::segment(slot));
            self.free_slots.push(FreeSlot { slot, version });
        }
    }
}

impl LeaderState {
    /// Queues again all changes of the transaction in flight, which was not executed.
    pub(super) fn undo_transaction(&mut self, now: Micros) {
        let Some(pending) = self.log_writer.in_flight.take() else {
            return;
        };
        self.log_writer.release_slots(&pending);
        self.undo_ends(&pending);
        for description in pending.descriptions {
            let job = self.jobs.get(&description.job);
            if let (true, Some(job)) = (description.was_due, job) {
                let entry = UndescribedJob::new(job.acceptance_revision, description.job);
                self.log_writer.undescribed.insert(entry);
            }
        }
        for written in pending.task_ranges {
            self.undo_task_range(written, now);
        }
    }

    /// Queues the ends of jobs in an unexecuted transaction again.
    fn undo_ends(&mut self, pending: &PendingTransaction) {
        for id in &pending.completed {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.closing = false;
            self.log_writer.completed.insert(id.clone());
            if job.described_in.is_none() {
                let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
                self.log_writer.undescribed.insert(entry);
            }
        }
        for id in &pending.cancelled_by_dependency {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.closing = false;
            self.log_writer.cancelled_by_dependency.insert(id.clone());
        }
        for id in &pending.fully_cancelled {
            if let Some(job) = self.jobs.get(id) {
                let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
                self.log_writer.undescribed.insert(entry);
            }
            self.log_writer.fully_cancelled.insert(id.clone());
        }
    }

    /// Queues a task range of an unexecuted transaction again.
    fn undo_task_range(&mut self, written: WrittenTaskRange, now: Micros) {
        let from = written.range_index * self.tasks_per_range;
        let tasks = from..from + self.tasks_per_range;
        let Some(job) = self.jobs.get_mut(&written.job) else {
            return;
        };
        let starts = job
            .placements
            .range(tasks)
            .any(|(_, p)| p.phase == PlacementPhase::Committing);
        let Some(task_range) = job.task_ranges.get_mut(&written.range_index) else {
            return;
        };
        task_range.completed.extend(written.done);
        task_range.voided.extend(written.void);
        if starts {
            let priority = *task_range.queued_priority.get_or_insert(job.priority);
            let entry = QueuedStarts::new(
                priority,
                job.acceptance_revision,
                written.job.clone(),
                written.range_index,
            );
            self.log_writer.starting.insert(entry);
        }
        self.mark_task_range_changed(&written.job, written.range_index, now);
        self.drop_unrecorded(&written.job, now);
    }

    /// Applies the transaction in flight, which was executed at this revision, and returns the
    /// ends of jobs that it has recorded.
    pub(super) fn apply_transaction(&mut self, context: &mut Context, revision: u64) -> RecordedEnds {
        let Some(pending) = self.log_writer.in_flight.take() else {
            return RecordedEnds::default();
        };
        let now = context.now;
        self.log_writer.segments_written(&pending, revision);
        for description in pending.descriptions {
            if let Some(job) = self.jobs.get_mut(&description.job) {
                job.described_in = Some(description.segment);
            }
        }
        for written in pending.task_ranges {
            self.apply_task_range(written);
        }
        for start in pending.starts {
            self.apply_start(start, revision, now);
        }
        for id in &pending.completed {
            self.close_completed(id, now);
        }
        for id in pending
            .fully_cancelled
            .into_iter()
            .chain(pending.cancelled_by_dependency.iter().cloned())
        {
            self.jobs.remove(&id);
            self.log_writer.remember_closed(id);
        }
        for claim in pending.claims {
            self.provisioning.claim_recorded(&claim.claim, claim.segment);
        }
        self.provisioning.claims_removed(&pending.settled);
        RecordedEnds {
            done: pending.completed,
            cancelled_by_dependency: pending.cancelled_by_dependency,
        }
    }

    /// Applies the record of a task range: its completed tasks are durable and their placements
    /// are removed.
    fn apply_task_range(&mut self, written: WrittenTaskRange) {
        let Some(job) = self.jobs.get_mut(&written.job) else {
            return;
        };
        if let (Some(segment), Some(task_range)) = (written.segment, job.task_ranges.get_mut(&written.range_index)) {
            task_range.recorded_in = Some(segment);
        }
        for task in written.done {
            if job.task_states[task as usize] != TaskState::Finished {
                continue;
            }
            job.task_states[task as usize] = TaskState::Recorded;
            // The agent may forget the exited task now. Until then, its heartbeats list the
            // task although the leader no longer has its placement.
            let Some(placed) = job.placements.remove(&task) else {
                continue;
            };
            if let Some(machine) = self.machines.get_mut(&placed.machine) {
                machine.tasks.remove(&(written.job.clone(), task));
            }
        }
    }

    /// Queues a start whose record is durable for sending, or frees the placement if the start is
    /// no longer wanted.
    fn apply_start(&mut self, start: WrittenStart, revision: u64, now: Micros) {
        let WrittenStart { job: id, task, attempt } = start;
        tracing::debug!(job = %id, task, attempt, term = self.term, revision, "start recorded");
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let live = job.is_live();
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if placement.attempt != attempt || placement.phase != PlacementPhase::Committing {
            return;
        }
        placement.phase = PlacementPhase::Sent;
        placement.placed_at = now;
        let machine = self.machines.get(&placement.machine);
        let incarnation_is_kept =
            machine.is_some_and(|m| m.incarnation == placement.incarnation && m.release_requested_at.is_none());
        if !live || placement.stop_grace_s.is_some() || !incarnation_is_kept {
            // Only this leader could have sent the start, and it has not: the record is void, and
            // no heartbeat is needed to prove this.
            self.free(&id, task, VoidProof::NeverSent, now);
            return;
        }
        self.queue_start(&id, task);
    }

    /// Removes an array that is recorded as done; the agents may forget its tasks.
    fn close_completed(&mut self, id: &JobId, now: Micros) {
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(job = %id, took_s = now.since(job.arrived_at).secs(), "job done");
            for (task, placement) in &job.placements {
                let Some(machine) = self.machines.get_mut(&placement.machine) else {
                    continue;
                };
                machine.remove_task(id, *task, &job.spec, placement);
            }
        }
        self.log_writer.remember_closed(id.clone());
    }
}
