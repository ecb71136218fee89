//! Writing the log: one transaction at a time, the most urgent changes first.

use super::super::election::Election;
use super::super::state::{Job, LeaderState, PlacementPhase, TaskState};
use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation, JobId};
use super::packing::SegmentPacker;
use super::queues::{ChangedTaskRange, QueuedStarts, Undescribed};
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

/// How long an answer is awaited before the transaction is in doubt.
const COMMIT_TIMEOUT: Micros = Micros::from_millis(700);
/// Outcomes are recorded after this long at the latest.
const MAX_OUTCOME_DELAY: Micros = Micros::from_millis(1000);
/// Starts of ordinary work, acceptances and ends are gathered for this long.
const BATCH_DELAY: Micros = Micros::from_millis(80);
/// What nobody waits for is gathered for this long.
const DEFERRED_BATCH_DELAY: Micros = Micros::from_millis(400);
/// Rental requests that a transaction records, or drops, at most.
const MAX_CLAIM_CHANGES: usize = 20;
/// What an entry says of a job beside its description.
const JOB_ENTRY_BYTES: usize = 50;

/// Rental requests that the log is to name, or no longer to name.
struct ClaimChanges {
    wanted: Vec<(String, ClaimValue)>,
    settled: Vec<String>,
}

impl LeaderState {
    /// Builds and sends the next transaction, if there is something to write and none is on its
    /// way; sends one again that went unanswered.
    pub fn write_log(&mut self, context: &mut Context, cluster: &ClusterConfig, election: &Election) {
        let now = context.now;
        if let Some(at) = self.log_writer.resend_at {
            if now >= at {
                self.resend(context);
            }
            return;
        }
        if self.log_writer.in_flight.is_some() || election.is_taking() {
            return;
        }
        let claims = ClaimChanges {
            wanted: self.provisioning.claims_to_record(MAX_CLAIM_CHANGES),
            settled: self.provisioning.claims_to_drop(MAX_CLAIM_CHANGES),
        };
        if !self.is_write_due(&claims, now) {
            return;
        }
        let value_bytes = cluster.limits.value_bytes();
        let mut draft = self.begin_draft(cluster.limits.changes(), value_bytes, election);
        let starts = self.add_changes(&mut draft, claims, now);
        self.compact(&mut draft, value_bytes);
        if draft.packer.is_empty() {
            return;
        }
        let pending = self.build_transaction(draft, election, now);
        self.send_first(context, pending, starts);
    }

    /// Whether something has waited for company long enough.
    fn is_write_due(&self, claims: &ClaimChanges, now: Micros) -> bool {
        let log_writer = &self.log_writer;
        let first_start = log_writer.starting.first();
        let hurry = first_start.is_some_and(|s| s.priority() == Priority::Production);
        let ends = !log_writer.complete.is_empty() || !log_writer.withdrawn.is_empty();
        let soon = first_start.is_some() || ends || !log_writer.undescribed.is_empty() || !claims.wanted.is_empty();
        let pause = match (hurry, soon) {
            (true, _) => Micros::ZERO,
            (_, true) => BATCH_DELAY,
            _ => DEFERRED_BATCH_DELAY,
        };
        if now.since(log_writer.last_sent) < pause {
            return false;
        }
        let first_change = log_writer.changed.front();
        let outcome_due = first_change.is_some_and(|c| now.since(c.since) > MAX_OUTCOME_DELAY);
        soon || outcome_due || !log_writer.ended.is_empty() || !claims.settled.is_empty()
    }

    /// A transaction with nothing in it but the condition that this leader leads.
    fn begin_draft(&self, max_changes: usize, value_bytes: usize, election: &Election) -> Draft {
        let log_writer = &self.log_writer;
        // Ends of jobs take changes of their own; whatever else there is, some go out.
        let waiting_ends = log_writer.complete.len() + log_writer.withdrawn.len();
        let ends = waiting_ends.min((max_changes / 4).max(1));
        let segment_budget = MAX_SEGMENTS
            .min(max_changes * 3 / 4)
            .min(log_writer.segment_budget.max(1));
        let mut draft = Draft {
            pending: PendingTransaction::default(),
            packer: SegmentPacker::new(value_bytes, segment_budget, max_changes - ends),
            first_seq: log_writer.last_seq + 1,
            compact_before: self.compaction_goal(value_bytes),
            max_changes,
        };
        draft.pending.txn.conditions.push(election.condition());
        draft
    }

    /// Adds what has changed, the most urgent first; how many starts were in a hurry.
    fn add_changes(&mut self, draft: &mut Draft, claims: ClaimChanges, now: Micros) -> usize {
        for (id, value) in claims.wanted {
            draft.add_claim(id, value);
        }
        self.write_starts(draft);
        let starts = draft.pending.starts.len();
        self.write_completed(draft);
        self.write_withdrawn(draft);
        draft.limit_segments();
        self.write_new_descriptions(draft);
        self.write_ended(draft);
        write_settled(draft, claims.settled);
        self.write_outcomes(draft, now);
        starts
    }

    /// Parts with starts to be recorded.
    fn write_starts(&mut self, draft: &mut Draft) {
        let most = 4 * draft.max_changes;
        let queued = self.log_writer.starting.iter().take(most);
        let task_ranges: Vec<(JobId, u32)> = queued.map(|s| (s.job.clone(), s.range_index)).collect();
        for (id, range_index) in task_ranges {
            if !self.write_task_range(draft, &id, range_index) {
                break;
            }
        }
    }

    /// Arrays whose every task has completed.
    fn write_completed(&mut self, draft: &mut Draft) {
        let complete: Vec<JobId> = self.log_writer.complete.iter().cloned().collect();
        for id in complete {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.log_writer.complete.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.key_version, Phase::Done) {
                break;
            }
            job.closing = true;
            self.log_writer.complete.remove(&id);
            let entry = Undescribed::new(job.version, id.clone());
            self.log_writer.undescribed.remove(&entry);
            draft.pending.completed.push(id);
        }
    }

    /// Jobs that are withdrawn with one that they need.
    fn write_withdrawn(&mut self, draft: &mut Draft) {
        let withdrawn: Vec<JobId> = self.log_writer.withdrawn.iter().cloned().collect();
        for id in withdrawn {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.log_writer.withdrawn.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.key_version, Phase::Cancelled) {
                break;
            }
            job.closing = true;
            self.log_writer.withdrawn.remove(&id);
            draft.pending.withdrawn.push(id);
        }
    }

    /// Jobs whose description, or cancellation, is not in the log.
    fn write_new_descriptions(&mut self, draft: &mut Draft) {
        let undescribed = self.log_writer.undescribed.iter();
        let jobs: Vec<JobId> = undescribed.map(|u| u.job.clone()).collect();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.cancelled.is_some() && job.placements.is_empty() {
                continue; // Over in a moment; that is said next.
            }
            if !self.write_description(draft, &id) {
                break;
            }
        }
    }

    /// Cancelled jobs with nothing left on machines.
    fn write_ended(&mut self, draft: &mut Draft) {
        let ended: Vec<JobId> = self.log_writer.ended.iter().cloned().collect();
        let is_over = |job: &&Job| job.cancelled.is_some() && job.placements.is_empty();
        for id in ended {
            let Some(job) = self.jobs.get(&id).filter(is_over) else {
                self.log_writer.ended.remove(&id);
                continue;
            };
            if draft.add(Entry::Over(id.to_string())).is_none() {
                break;
            }
            let entry = Undescribed::new(job.version, id.clone());
            self.log_writer.undescribed.remove(&entry);
            self.log_writer.ended.remove(&id);
            draft.pending.ended.push(id);
        }
    }

    /// Parts that have differed from the log for long enough. Outcomes wait for company, so
    /// that a busy array is not written for every one.
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
                    .is_some_and(|c| c.dirty == Some(since))
            };
            let is_due = self.jobs.get(&id).is_some_and(differs);
            if is_due && !self.write_task_range(draft, &id, range_index) {
                break;
            }
            self.log_writer.changed.pop_front();
        }
    }

    /// Adds a part, with its job's description if that is not in the log; false if there is no
    /// room left.
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
        // Without a description, what is placed would mean nothing to the next leader.
        if job.base == 0 && !draft.describes(id) {
            return true;
        }
        let full = needs_full_record(job, range_index, draft.compact_before);
        let Some(segment) = draft.add_task_range(task_range_record(job, range_index, self.tasks_per_range, full))
        else {
            if draft.packer.is_empty() {
                tracing::error!(job = %id, range_index, "a part of a job doesn't fit into a transaction");
            }
            return false;
        };
        // Nothing starts after a cancel: a start holds only while the job's key is as it was
        // when it was accepted, not there or with that version.
        if needs_condition {
            draft.pending.require(key, job.key_version);
        }
        let written = self.take_task_range_changes(id, range_index, full.then_some(segment));
        draft.pending.task_ranges.extend(written);
        draft.pending.starts.extend(starts);
        true
    }

    /// Starts in a part that are not in the log.
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

    /// A part is in the draft: what had changed in it does no longer wait.
    fn take_task_range_changes(
        &mut self,
        id: &JobId,
        range_index: u32,
        segment: Option<u64>,
    ) -> Option<WrittenTaskRange> {
        let job = self.jobs.get_mut(id)?;
        let task_range = job.task_ranges.get_mut(&range_index)?;
        if let Some(priority) = task_range.queued.take() {
            let entry = QueuedStarts::new(priority, job.version, id.clone(), range_index);
            self.log_writer.starting.remove(&entry);
        }
        task_range.dirty = None;
        Some(WrittenTaskRange {
            job: id.clone(),
            range_index,
            segment,
            done: std::mem::take(&mut task_range.done),
            void: std::mem::take(&mut task_range.void),
        })
    }

    /// Adds a job's description if the log does not have it as it is now; false if there is no
    /// room left.
    pub(super) fn write_description(&mut self, draft: &mut Draft, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let entry = Undescribed::new(job.version, id.clone());
        let due = self.log_writer.undescribed.contains(&entry) || job.base < draft.compact_before;
        if !due || job.closing || draft.describes(id) {
            return true;
        }
        let Some(description) = self.description(job, draft.packer.segment_bytes()) else {
            // It stays unwritten, and so does all that is placed of it: nothing starts.
            tracing::error!(job = %id, "the description doesn't fit into a page of the book");
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

    /// The entry that describes a job; `None` if it doesn't fit into a page.
    fn description(&self, job: &Job, segment_bytes: usize) -> Option<Entry> {
        let submitted_ms = self.day_ms + job.submitted_at.0 / 1000;
        // It was accepted into a value of this size; one of an older version may be larger.
        let bytes = segment_bytes.saturating_sub(JOB_ENTRY_BYTES);
        let spec = Box::new(records::kept(&job.spec, submitted_ms, bytes)?);
        let cancelled = job.cancelled.is_some();
        Some(match job.key_version {
            0 => Entry::Accepted(job.version, cancelled, spec),
            _ => Entry::Open(job.version, cancelled, spec),
        })
    }

    /// Turns the entries into pages of the transaction.
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

    /// Up to which revision the jobs' keys are in the log, all but what is still to be
    /// written.
    fn seen_revision_after(&self, election: &Election) -> u64 {
        let change_of = |entry: &Undescribed| {
            let job = self.jobs.get(&entry.job)?;
            let by_cancellation = job.cancelled.is_some() && job.cancel_version > 0;
            Some(if by_cancellation {
                job.cancel_version
            } else {
                entry.version
            })
        };
        let first = self.log_writer.undescribed.iter().filter_map(change_of).min();
        let known = election.jobs_seen();
        let seen_revision = first.map_or(known, |version| known.min(version.saturating_sub(1)));
        seen_revision.max(self.log_writer.seen_revision)
    }

    /// When the jobs came that these entries describe; 0: not known.
    fn submission_times(&self, entries: &[Entry]) -> Vec<u64> {
        let arrival = |entry: &Entry| {
            let job = self.jobs.get(entry.describes()?.id.as_str());
            let job = job.filter(|j| !j.arrival_unknown);
            Some(job.map_or(0, |j| self.log_writer.to_log_ms(j.arrived)))
        };
        entries.iter().filter_map(arrival).collect()
    }

    fn send_first(&mut self, context: &mut Context, pending: PendingTransaction, starts: usize) {
        let urgent = starts > 0 || !pending.claims.is_empty();
        let urgency = if urgent { Urgency::Start } else { Urgency::User };
        self.log_writer.written.transactions += 1;
        self.log_writer.written.changes += pending.txn.changes.len() as u64;
        tracing::debug!(
            segments = pending.segments.len(),
            headers = pending.descriptions.len(),
            task_ranges = pending.task_ranges.len(),
            rewritten = pending.task_ranges.iter().filter(|p| p.segment.is_some()).count(),
            starts,
            closed_jobs = pending.completed.len(),
            over = pending.ended.len(),
            "transaction"
        );
        let txn = pending.txn.clone();
        self.log_writer.last_sent = context.now;
        self.log_writer.in_flight = Some(Box::new(pending));
        self.send(context, txn, urgency);
    }

    /// Sends the transaction again that went unanswered.
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

/// Rental requests that are settled.
fn write_settled(draft: &mut Draft, settled: Vec<String>) {
    for id in settled {
        if draft.add(Entry::Settled(id.clone())).is_none() {
            break;
        }
        draft.pending.settled.push(id);
    }
}

/// Whether all of a part has to be said: no page says it, or one that is to go.
fn needs_full_record(job: &Job, range_index: u32, compact_before: u64) -> bool {
    let segment = job.task_ranges.get(&range_index).map_or(0, |c| c.base);
    segment == 0 || segment < compact_before
}

/// A part as it should be in the log: all of it, or what has changed.
fn task_range_record(job: &Job, range_index: u32, tasks_per_range: u32, full: bool) -> TaskRangeRecord {
    let Some(task_range) = job.task_ranges.get(&range_index) else {
        return TaskRangeRecord::default();
    };
    let from = range_index * tasks_per_range;
    let to = (from + tasks_per_range).min(job.spec.tasks);
    let is_finished = |t: &u32| matches!(job.states[*t as usize], TaskState::Finished | TaskState::Recorded);
    let is_placed = |t: u32| job.states[t as usize] == TaskState::Placed;
    let placements = job
        .placements
        .range(from..to)
        .filter(|(t, p)| is_placed(**t) && (full || p.phase == PlacementPhase::Committing))
        .map(|(t, p)| (*t, p.attempt, p.machine.to_string(), p.incarnation, p.fencing_token))
        .collect();
    let (done, void) = if full {
        (ranges((from..to).filter(is_finished)), vec![])
    } else {
        (ranges_of(&task_range.done), ranges_of(&task_range.void))
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
