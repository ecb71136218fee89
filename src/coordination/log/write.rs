//! Drafts and sends the transactions of the log.
//!
//! `LeaderState::write_log` runs at each tick. It sends at most one transaction at a time and adds
//! the waiting changes in the order of their urgency: rental requests and starts, ends of jobs,
//! descriptions, outcomes, and last the facts that compaction rewrites.

use super::super::election::Election;
use super::super::state::{Job, LeaderState, PlacementPhase, TaskState};
use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation, JobId};
use super::packing::SegmentPacker;
use super::queues::{ChangedTaskRange, QueuedStarts, UndescribedJob};
use super::transaction::{
    Draft, PendingTransaction, WrittenDescription, WrittenSegment, WrittenStart, WrittenTaskRange,
};
use super::{LogContinuation, MAX_SEGMENTS};
use crate::protocol::store::{StoreRequest, Transaction};
use crate::protocol::users::{Phase, Priority};
use crate::storage::keys;
use crate::storage::records::{self, ranges, to_value, ClaimValue, Entry, Segment, TaskRangeRecord};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Timeout of a transaction, after which its outcome counts as unknown.
const COMMIT_TIMEOUT: Micros = Micros::from_millis(700);
/// Maximum time for which the outcome of a task waits before a transaction is due.
const MAX_OUTCOME_DELAY: Micros = Micros::from_millis(1000);
/// Minimum interval between transactions with starts below production priority, rental requests,
/// descriptions of jobs or ends of jobs.
const BATCH_DELAY: Micros = Micros::from_millis(80);
/// Minimum interval between transactions with only changes that no user waits for.
const DEFERRED_BATCH_DELAY: Micros = Micros::from_millis(400);
/// Maximum number of rental requests that a transaction records, and that it removes.
const MAX_CLAIM_CHANGES: usize = 20;
/// Size of an entry that describes a job, without the description.
const JOB_ENTRY_BYTES: usize = 50;

/// Rental requests to be recorded in the log or removed from it.
struct ClaimChanges {
    /// Requests to be recorded, by id.
    to_record: Vec<(String, ClaimValue)>,
    /// Ids of those to be removed.
    to_remove: Vec<String>,
}

impl LeaderState {
    /// Builds and sends the next transaction if one is due and none is in flight, or sends an
    /// unanswered transaction again.
    pub fn write_log(&mut self, context: &mut Context, cluster: &ClusterConfig, election: &Election) {
        let now = context.now;
        if let Some(at) = self.log_writer.resend_at {
            if now >= at {
                self.resend(context);
            }
            return;
        }
        if self.log_writer.in_flight.is_some() || election.is_writing_term() {
            return;
        }
        let claims = ClaimChanges {
            to_record: self.provisioning.claims_to_record(MAX_CLAIM_CHANGES),
            to_remove: self.provisioning.claims_to_remove(MAX_CLAIM_CHANGES),
        };
        if !self.is_write_due(&claims, now) {
            return;
        }
        let value_bytes = cluster.limits.max_value_bytes();
        let mut draft = self.begin_draft(cluster.limits.max_changes(), value_bytes, election);
        let starts = self.add_changes(&mut draft, claims, now);
        self.compact(&mut draft, value_bytes);
        if draft.packer.is_empty() {
            return;
        }
        let pending = self.build_transaction(draft, election, now);
        self.send_first(context, pending, starts);
    }

    /// Whether a change waits and the interval for changes of its urgency is over.
    fn is_write_due(&self, claims: &ClaimChanges, now: Micros) -> bool {
        let log_writer = &self.log_writer;
        let first_start = log_writer.starting.first();
        let is_urgent = first_start.is_some_and(|s| s.priority() == Priority::Production);
        let ends = !log_writer.completed.is_empty() || !log_writer.cancelled_by_dependency.is_empty();
        let soon = first_start.is_some() || ends || !log_writer.undescribed.is_empty() || !claims.to_record.is_empty();
        let pause = match (is_urgent, soon) {
            (true, _) => Micros::ZERO,
            (_, true) => BATCH_DELAY,
            _ => DEFERRED_BATCH_DELAY,
        };
        if now.since(log_writer.last_sent) < pause {
            return false;
        }
        let first_change = log_writer.changed.front();
        let outcome_due = first_change.is_some_and(|c| now.since(c.since) > MAX_OUTCOME_DELAY);
        soon || outcome_due || !log_writer.fully_cancelled.is_empty() || !claims.to_remove.is_empty()
    }

    /// Creates a draft with only the condition that this node leads the current term.
    fn begin_draft(&self, max_changes: usize, value_bytes: usize, election: &Election) -> Draft {
        let log_writer = &self.log_writer;
        // Ends of jobs take changes of their own: some changes are reserved for them.
        let waiting_ends = log_writer.completed.len() + log_writer.cancelled_by_dependency.len();
        let ends = waiting_ends.min((max_changes / 4).max(1));
        let segment_budget = MAX_SEGMENTS
            .min(max_changes * 3 / 4)
            .min(log_writer.segment_budget.max(1));
        let mut draft = Draft {
            pending: PendingTransaction::default(),
            packer: SegmentPacker::new(value_bytes, segment_budget, max_changes - ends),
            first_seq: log_writer.last_seq + 1,
            compact_before: self.first_segment_to_keep(value_bytes),
            max_changes,
        };
        draft.pending.txn.conditions.push(election.term_condition());
        draft
    }

    /// Adds the waiting changes, the most urgent first, and returns how many starts `write_starts`
    /// has added.
    fn add_changes(&mut self, draft: &mut Draft, claims: ClaimChanges, now: Micros) -> usize {
        for (id, value) in claims.to_record {
            draft.add_claim(id, value);
        }
        self.write_starts(draft);
        let starts = draft.pending.starts.len();
        self.write_completed(draft);
        self.write_cancelled_by_dependency(draft);
        draft.limit_segments();
        self.write_new_descriptions(draft);
        self.write_fully_cancelled(draft);
        write_settled(draft, claims.to_remove);
        self.write_outcomes(draft, now);
        starts
    }

    /// Adds task ranges with starts to be recorded.
    fn write_starts(&mut self, draft: &mut Draft) {
        let max_ranges = 4 * draft.max_changes;
        let queued = self.log_writer.starting.iter().take(max_ranges);
        let task_ranges: Vec<(JobId, u32)> = queued.map(|s| (s.job.clone(), s.range_index)).collect();
        for (id, range_index) in task_ranges {
            if !self.write_task_range(draft, &id, range_index) {
                break;
            }
        }
    }

    /// Adds the ends of arrays all of whose tasks have completed.
    fn write_completed(&mut self, draft: &mut Draft) {
        let complete: Vec<JobId> = self.log_writer.completed.iter().cloned().collect();
        for id in complete {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.log_writer.completed.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.key_version, Phase::Done) {
                break;
            }
            job.closing = true;
            self.log_writer.completed.remove(&id);
            let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
            self.log_writer.undescribed.remove(&entry);
            draft.pending.completed.push(id);
        }
    }

    /// Adds the ends of jobs that are cancelled because a job that they depend on was cancelled.
    fn write_cancelled_by_dependency(&mut self, draft: &mut Draft) {
        let cancelled: Vec<JobId> = self.log_writer.cancelled_by_dependency.iter().cloned().collect();
        for id in cancelled {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.log_writer.cancelled_by_dependency.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.key_version, Phase::Cancelled) {
                break;
            }
            job.closing = true;
            self.log_writer.cancelled_by_dependency.remove(&id);
            draft.pending.cancelled_by_dependency.push(id);
        }
    }

    /// Adds jobs whose description or cancellation is not in the log.
    fn write_new_descriptions(&mut self, draft: &mut Draft) {
        let undescribed = self.log_writer.undescribed.iter();
        let jobs: Vec<JobId> = undescribed.map(|u| u.job.clone()).collect();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.cancelled_at.is_some() && job.placements.is_empty() {
                continue; // `write_fully_cancelled` records its end instead.
            }
            if !self.write_description(draft, &id) {
                break;
            }
        }
    }

    /// Adds the ends of cancelled jobs without any placement left.
    fn write_fully_cancelled(&mut self, draft: &mut Draft) {
        let fully_cancelled: Vec<JobId> = self.log_writer.fully_cancelled.iter().cloned().collect();
        let is_fully_cancelled = |job: &&Job| job.cancelled_at.is_some() && job.placements.is_empty();
        for id in fully_cancelled {
            let Some(job) = self.jobs.get(&id).filter(is_fully_cancelled) else {
                self.log_writer.fully_cancelled.remove(&id);
                continue;
            };
            if draft.add(Entry::Ended(id.to_string())).is_none() {
                break;
            }
            let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
            self.log_writer.undescribed.remove(&entry);
            self.log_writer.fully_cancelled.remove(&id);
            draft.pending.fully_cancelled.push(id);
        }
    }

    /// Adds task ranges that have differed from the log for long enough. Outcomes are batched, so
    /// that the range of a busy array is not written for each outcome.
    fn write_outcomes(&mut self, draft: &mut Draft, now: Micros) {
        while let Some(ChangedTaskRange {
            since,
            job: id,
            range_index,
        }) = self.log_writer.changed.front().cloned()
        {
            if now.since(since) <= MAX_OUTCOME_DELAY {
                break;
            }
            let differs = |job: &Job| {
                job.task_ranges
                    .get(&range_index)
                    .is_some_and(|c| c.dirty_since == Some(since))
            };
            let is_due = self.jobs.get(&id).is_some_and(differs);
            if is_due && !self.write_task_range(draft, &id, range_index) {
                break;
            }
            self.log_writer.changed.pop_front();
        }
    }

    /// Adds a task range, with its job's description if that is not in the log; returns false if
    /// they don't fit.
    pub(super) fn write_task_range(&mut self, draft: &mut Draft, id: &JobId, range_index: u32) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        if job.closing || draft.has_task_range(id, range_index) || !job.task_ranges.contains_key(&range_index) {
            return true;
        }
        let starts = self.unrecorded_starts(job, range_index);
        let key = keys::job(id);
        let needs_condition = !starts.is_empty() && !draft.has_condition(&key);
        if needs_condition && !draft.fits_condition() {
            return false;
        }
        if !self.write_description(draft, id) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return true };
        // Without a description, the next leader could not interpret the placements.
        if job.described_in.is_none() && !draft.describes(id) {
            return true;
        }
        let full = needs_full_record(job, range_index, draft.compact_before);
        let Some(segment) = draft.add_task_range(task_range_record(job, range_index, self.tasks_per_range, full))
        else {
            if draft.packer.is_empty() {
                tracing::error!(job = %id, range_index, "a task range doesn't fit into a transaction");
            }
            return false;
        };
        // A start must not be recorded after a cancellation: the transaction requires that the
        // job's key is as it was at acceptance, absent or with that version.
        if needs_condition {
            draft.pending.require(key, job.key_version);
        }
        let written = self.take_task_range_changes(id, range_index, full.then_some(segment));
        draft.pending.task_ranges.extend(written);
        draft.pending.starts.extend(starts);
        true
    }

    /// Returns the starts in a task range that are not in the log.
    fn unrecorded_starts(&self, job: &Job, range_index: u32) -> Vec<WrittenStart> {
        let from = range_index * self.tasks_per_range;
        let to = from + self.tasks_per_range;
        let placed = job.placements.range(from..to);
        let unrecorded = placed.filter(|(_, p)| p.phase == PlacementPhase::Committing);
        let start = |task: u32, attempt: u64| WrittenStart {
            job: job.id.clone(),
            task,
            attempt,
        };
        unrecorded.map(|(task, p)| start(*task, p.attempt)).collect()
    }

    /// Removes the changes of a task range in the draft from the queues and returns them.
    fn take_task_range_changes(
        &mut self,
        id: &JobId,
        range_index: u32,
        segment: Option<u64>,
    ) -> Option<WrittenTaskRange> {
        let job = self.jobs.get_mut(id)?;
        let task_range = job.task_ranges.get_mut(&range_index)?;
        if let Some(priority) = task_range.queued_priority.take() {
            let entry = QueuedStarts::new(priority, job.acceptance_revision, id.clone(), range_index);
            self.log_writer.starting.remove(&entry);
        }
        task_range.dirty_since = None;
        Some(WrittenTaskRange {
            job: id.clone(),
            range_index,
            segment,
            done: std::mem::take(&mut task_range.completed),
            void: std::mem::take(&mut task_range.voided),
        })
    }

    /// Adds a job's description if the log lacks its current form or has it in a segment to be
    /// compacted; returns false if it doesn't fit.
    pub(super) fn write_description(&mut self, draft: &mut Draft, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
        let is_old = job.described_in.unwrap_or_default() < draft.compact_before;
        let due = self.log_writer.undescribed.contains(&entry) || is_old;
        if !due || job.closing || draft.describes(id) {
            return true;
        }
        let Some(description) = self.description(job, draft.packer.segment_bytes()) else {
            // Neither the description nor any placement of the job is recorded, so that none of
            // its tasks starts.
            tracing::error!(job = %id, "the description doesn't fit into a segment of the write-ahead log");
            return true;
        };
        let Some(segment) = draft.add(description) else {
            return false;
        };
        let was_due = self.log_writer.undescribed.remove(&entry);
        draft.pending.descriptions.push(WrittenDescription {
            job: id.clone(),
            segment,
            was_due,
        });
        true
    }

    /// Returns the entry that describes a job; `None` if it doesn't fit into a segment.
    fn description(&self, job: &Job, segment_bytes: usize) -> Option<Entry> {
        let submitted_ms = self.clock_origin_ms + job.submitted_at.0 / 1000;
        // A description that this release accepted fits, but an older release may have accepted a
        // larger one.
        let bytes = segment_bytes.saturating_sub(JOB_ENTRY_BYTES);
        let spec = Box::new(records::to_record(&job.spec, submitted_ms, bytes)?);
        let cancelled = job.cancelled_at.is_some();
        Some(match job.key_version {
            0 => Entry::Accepted(job.acceptance_revision, cancelled, spec),
            _ => Entry::Open(job.acceptance_revision, cancelled, spec),
        })
    }

    /// Turns the draft into a transaction that writes its segments.
    fn build_transaction(&mut self, draft: Draft, election: &Election, now: Micros) -> PendingTransaction {
        let Draft {
            mut pending,
            packer,
            first_seq,
            ..
        } = draft;
        pending.seen_revision = self.seen_revision_after(election);
        let written_log_ms = self.log_writer.to_log_ms(now);
        for (seq, entries) in (first_seq..).zip(packer.into_segments()) {
            let segment = Segment {
                term: election.term(),
                seq,
                oldest: pending.oldest,
                seen_revision: pending.seen_revision,
                written_log_ms,
                submitted_log_ms: self.submission_times(&entries),
                entries,
            };
            let free = self.log_writer.take_slot();
            pending.put(keys::segment(free.slot), free.version, to_value(&segment));
            pending.segments.push(WrittenSegment { slot: free.slot, seq });
        }
        pending
    }

    /// Returns the revision up to which the log will contain all changes of the jobs' keys: the
    /// last one before the first change that still waits.
    fn seen_revision_after(&self, election: &Election) -> u64 {
        let change_of = |entry: &UndescribedJob| {
            let job = self.jobs.get(&entry.job)?;
            let cancellation = job.cancel_version.filter(|_| job.cancelled_at.is_some());
            Some(cancellation.unwrap_or(entry.acceptance_revision))
        };
        let first = self.log_writer.undescribed.iter().filter_map(change_of).min();
        let known = election.jobs_revision();
        let seen_revision = first.map_or(known, |revision| known.min(revision.saturating_sub(1)));
        seen_revision.max(self.log_writer.seen_revision)
    }

    /// Returns when the jobs that these entries describe were submitted, in milliseconds of the
    /// log's clock; 0 if the time is not known.
    fn submission_times(&self, entries: &[Entry]) -> Vec<u64> {
        let submission_time = |entry: &Entry| {
            let job = self.jobs.get(entry.job_spec()?.id.as_str());
            let job = job.filter(|j| !j.arrival_unknown);
            Some(job.map_or(0, |j| self.log_writer.to_log_ms(j.arrived_at)))
        };
        entries.iter().filter_map(submission_time).collect()
    }

    /// Sends a new transaction.
    fn send_first(&mut self, context: &mut Context, pending: PendingTransaction, starts: usize) {
        let urgent = starts > 0 || !pending.claims.is_empty();
        let urgency = if urgent { Urgency::Start } else { Urgency::User };
        self.log_writer.written.transactions += 1;
        self.log_writer.written.changes += pending.txn.changes.len() as u64;
        tracing::debug!(
            segments = pending.segments.len(),
            descriptions = pending.descriptions.len(),
            task_ranges = pending.task_ranges.len(),
            rewritten = pending.task_ranges.iter().filter(|r| r.segment.is_some()).count(),
            starts,
            completed = pending.completed.len(),
            ended = pending.fully_cancelled.len(),
            "transaction sent"
        );
        let txn = pending.txn.clone();
        self.log_writer.last_sent = context.now;
        self.log_writer.in_flight = Some(Box::new(pending));
        self.send(context, txn, urgency);
    }

    /// Sends the transaction in flight again.
    fn resend(&mut self, context: &mut Context) {
        self.log_writer.resend_at = None;
        if let Some(pending) = &self.log_writer.in_flight {
            self.send(context, pending.txn.clone(), Urgency::Start);
        }
    }

    fn send(&self, context: &mut Context, txn: Transaction, urgency: Urgency) {
        let continuation = Continuation::Log(self.incarnation, LogContinuation::Commit);
        context
            .store
            .push(urgency, StoreRequest::Transaction(txn), continuation, COMMIT_TIMEOUT);
    }
}

/// Adds the removal of rental requests that are settled.
fn write_settled(draft: &mut Draft, settled: Vec<String>) {
    for id in settled {
        if draft.add(Entry::Settled(id.clone())).is_none() {
            break;
        }
        draft.pending.settled.push(id);
    }
}

/// Whether a task range has to be recorded in full: it has no full record, or the last one is in a
/// segment to be compacted.
fn needs_full_record(job: &Job, range_index: u32, compact_before: u64) -> bool {
    let task_range = job.task_ranges.get(&range_index);
    let recorded_in = task_range.and_then(|r| r.recorded_in);
    recorded_in.is_none_or(|segment| segment < compact_before)
}

/// Returns the record of a task range: the whole range if `full`, otherwise its changes.
fn task_range_record(job: &Job, range_index: u32, tasks_per_range: u32, full: bool) -> TaskRangeRecord {
    let Some(task_range) = job.task_ranges.get(&range_index) else {
        return TaskRangeRecord::default();
    };
    let from = range_index * tasks_per_range;
    let to = (from + tasks_per_range).min(job.spec.tasks);
    let is_finished = |t: &u32| matches!(job.task_states[*t as usize], TaskState::Finished | TaskState::Recorded);
    let is_placed = |t: u32| job.task_states[t as usize] == TaskState::Placed;
    let placements = job
        .placements
        .range(from..to)
        .filter(|(t, p)| is_placed(**t) && (full || p.phase == PlacementPhase::Committing))
        .map(|(t, p)| (*t, p.attempt, p.machine.to_string(), p.incarnation, p.fencing_token))
        .collect();
    let (done, void) = if full {
        (ranges((from..to).filter(is_finished)), vec![])
    } else {
        (ranges_of(&task_range.completed), ranges_of(&task_range.voided))
    };
    TaskRangeRecord {
        job: job.id.to_string(),
        range_index,
        full,
        last_attempt: task_range.last_attempt,
        done,
        void,
        placements,
    }
}

fn ranges_of(tasks: &BTreeSet<u32>) -> Vec<(u32, u32)> {
    ranges(tasks.iter().copied())
}
