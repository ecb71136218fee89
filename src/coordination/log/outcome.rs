//! What follows once it is known whether the transaction in flight was executed: its facts
//! stand in the log and starts go out, or all of it is to be written anew.

use super::super::state::{LeaderState, PlacementPhase, TaskState};
use super::super::{Context, JobId};
use super::queues::{QueuedStarts, Undescribed};
use super::replay::{FreeSlot, LiveSegment};
use super::transaction::{PendingTransaction, WrittenStart, WrittenTaskRange};
use super::{LogWriter, RecordedEnds, MAX_SEGMENTS};
use crate::coordination::state::void_proof::VoidProof;
use crate::storage::keys;
use crate::time::Micros;

impl LogWriter {
    /// The pages of an executed transaction stand in the log; older ones may say nothing any
    /// more.
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
        while let Some(segment) = self.segments.front().copied().filter(|p| p.seq < oldest) {
            self.segments.pop_front();
            self.free.push(FreeSlot {
                slot: segment.slot,
                version: segment.version,
            });
        }
        self.seen_revision = pending.seen_revision;
        self.segment_budget = (self.segment_budget + 1).min(MAX_SEGMENTS);
    }

    /// The slots of a transaction that was not executed are free again.
    fn give_back_slots(&mut self, pending: &PendingTransaction) {
        for segment in &pending.segments {
            let slot = segment.slot;
            let version = pending.expected_version(&keys::segment(slot));
            self.free.push(FreeSlot { slot, version });
        }
    }
}

impl LeaderState {
    /// Nothing of the transaction in flight was executed: all of it is to be written anew.
    pub(super) fn undo(&mut self, now: Micros) {
        let Some(pending) = self.log_writer.in_flight.take() else {
            return;
        };
        self.log_writer.give_back_slots(&pending);
        self.undo_ends(&pending);
        for description in pending.descriptions {
            let job = self.jobs.get(&description.job);
            if let (true, Some(job)) = (description.was_due, job) {
                let entry = Undescribed::new(job.version, description.job);
                self.log_writer.undescribed.insert(entry);
            }
        }
        for written in pending.task_ranges {
            self.undo_task_range(written, now);
        }
    }

    fn undo_ends(&mut self, pending: &PendingTransaction) {
        for id in &pending.completed {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.closing = false;
            self.log_writer.complete.insert(id.clone());
            if job.base == 0 {
                let entry = Undescribed::new(job.version, id.clone());
                self.log_writer.undescribed.insert(entry);
            }
        }
        for id in &pending.withdrawn {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.closing = false;
            self.log_writer.withdrawn.insert(id.clone());
        }
        for id in &pending.ended {
            if let Some(job) = self.jobs.get(id) {
                let entry = Undescribed::new(job.version, id.clone());
                self.log_writer.undescribed.insert(entry);
            }
            self.log_writer.ended.insert(id.clone());
        }
    }

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
        task_range.done.extend(written.done);
        task_range.void.extend(written.void);
        if starts {
            let priority = *task_range.queued.get_or_insert(job.priority);
            let entry = QueuedStarts::new(priority, job.version, written.job.clone(), written.range_index);
            self.log_writer.starting.insert(entry);
        }
        self.mark_task_range_changed(&written.job, written.range_index, now);
        self.drop_unrecorded(&written.job, now);
    }

    /// The transaction in flight was executed at this revision.
    pub(super) fn apply(&mut self, context: &mut Context, revision: u64) -> RecordedEnds {
        let Some(pending) = self.log_writer.in_flight.take() else {
            return RecordedEnds::default();
        };
        let now = context.now;
        self.log_writer.segments_written(&pending, revision);
        for description in pending.descriptions {
            if let Some(job) = self.jobs.get_mut(&description.job) {
                job.base = description.segment;
            }
        }
        for written in pending.task_ranges {
            self.apply_task_range(written);
        }
        for start in pending.starts {
            tracing::debug!(
                job = %start.job,
                task = start.task,
                attempt = start.attempt,
                term = self.term,
                revision,
                "start recorded"
            );
            self.apply_start(start, now);
        }
        for id in &pending.completed {
            self.close_completed(id, now);
        }
        for id in pending.ended.into_iter().chain(pending.withdrawn.iter().cloned()) {
            self.jobs.remove(&id);
            self.log_writer.remember_closed(id);
        }
        for claim in pending.claims {
            self.provisioning.claim_recorded(&claim.claim, claim.segment);
        }
        self.provisioning.claims_dropped(&pending.settled);
        RecordedEnds {
            done: pending.completed,
            withdrawn: pending.withdrawn,
        }
    }

    /// A part stands in the log, and with it that tasks have completed.
    fn apply_task_range(&mut self, written: WrittenTaskRange) {
        let Some(job) = self.jobs.get_mut(&written.job) else {
            return;
        };
        if let (Some(segment), Some(task_range)) = (written.segment, job.task_ranges.get_mut(&written.range_index)) {
            task_range.base = segment;
        }
        for task in written.done {
            if job.states[task as usize] != TaskState::Finished {
                continue;
            }
            job.states[task as usize] = TaskState::Recorded;
            // The exited task may be forgotten now; its report will show it without a record.
            let Some(placed) = job.placements.remove(&task) else {
                continue;
            };
            if let Some(machine) = self.machines.get_mut(&placed.machine) {
                machine.tasks.remove(&(written.job.clone(), task));
                machine.to_forget = true;
            }
        }
    }

    /// The record of a start stands in the log: the start goes out, unless its reason is gone.
    fn apply_start(&mut self, start: WrittenStart, now: Micros) {
        let WrittenStart { job: id, task, attempt } = start;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let live = job.is_live();
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if placement.attempt != attempt || placement.phase != PlacementPhase::Committing {
            return;
        }
        placement.phase = PlacementPhase::Sent;
        placement.since = now;
        let machine = self.machines.get(&placement.machine);
        let stays = machine.is_some_and(|m| m.incarnation == placement.incarnation && m.release_sent.is_none());
        if !live || placement.stop.is_some() || !stays {
            // Nothing was ever sent for this record, and only this leader could have: it is
            // void without a word from the machine.
            self.free(&id, task, VoidProof::NeverSent, now);
            return;
        }
        self.queue_start(&id, task);
    }

    /// An array is recorded as done; its machines may forget its tasks.
    fn close_completed(&mut self, id: &JobId, now: Micros) {
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(job = %id, took_s = now.since(job.arrived).secs(), "job done");
            for (task, placement) in &job.placements {
                let Some(machine) = self.machines.get_mut(&placement.machine) else {
                    continue;
                };
                machine.tasks.remove(&(id.clone(), *task));
                machine.to_forget = true;
                if !matches!(placement.phase, PlacementPhase::Exited(_)) {
                    machine.take(&job.spec, -1.0);
                }
            }
        }
        self.log_writer.remember_closed(id.clone());
    }
}
