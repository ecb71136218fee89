//! A transaction of the log, while it is drafted and while it is in flight.
//!
//! `PendingTransaction` remembers every change that the transaction records, so that `outcome`
//! can apply or undo each of them once the state service has answered.

use super::super::JobId;
use super::packing::{entry_bytes, SegmentPacker};
use crate::protocol::store::{Change, Condition, Transaction};
use crate::protocol::users::Phase;
use crate::storage::keys;
use crate::storage::records::{to_value, ClaimValue, Entry, JobValue, TaskRangeRecord};
use ciborium::Value;
use std::collections::BTreeSet;

/// Ratio of the conditions to the changes that the state service accepts in a transaction.
const CONDITIONS_PER_CHANGE: usize = 4;

/// A segment that the transaction writes.
pub(super) struct WrittenSegment {
    /// The slot of its key.
    pub slot: u32,
    /// Its sequence number.
    pub seq: u64,
}

/// A job's description that the transaction writes.
pub(super) struct WrittenDescription {
    /// The job.
    pub job: JobId,
    /// The sequence number of the segment that contains it.
    pub segment: u64,
    /// Whether the log lacked its current form; otherwise compaction rewrites it.
    pub was_due: bool,
}

/// A task range of a job that the transaction writes.
pub(super) struct WrittenTaskRange {
    /// The job.
    pub job: JobId,
    /// The number of the task range in its job.
    pub range_index: u32,
    /// The sequence number of the segment, if the record is full.
    pub segment: Option<u64>,
    /// Tasks that are recorded as completed.
    pub done: BTreeSet<u32>,
    /// Tasks whose earlier placement is recorded as void.
    pub void: BTreeSet<u32>,
}

/// A start that the transaction records.
pub(super) struct WrittenStart {
    /// The job of the task.
    pub job: JobId,
    /// The task to start.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: u64,
}

/// A rental request that the transaction records.
pub(super) struct WrittenClaim {
    /// The id of the request.
    pub claim: String,
    /// The sequence number of the segment that contains it.
    pub segment: u64,
}

/// A transaction that is drafted or in flight, with all changes recorded by it.
#[derive(Default)]
pub(super) struct PendingTransaction {
    /// The request to the state service.
    pub txn: Transaction,
    /// The segments that it writes, in sequence.
    pub segments: Vec<WrittenSegment>,
    /// Segments before this one are obsolete once the transaction is executed.
    pub oldest: u64,
    /// Once the transaction is executed, the log contains all changes of the jobs' keys up to this
    /// revision.
    pub seen_revision: u64,
    /// Descriptions of jobs, new or rewritten.
    pub descriptions: Vec<WrittenDescription>,
    /// Task ranges, changed or rewritten.
    pub task_ranges: Vec<WrittenTaskRange>,
    /// Starts in those task ranges.
    pub starts: Vec<WrittenStart>,
    /// Arrays that are recorded as done.
    pub completed: Vec<JobId>,
    /// Jobs that are recorded as cancelled because a job that they depend on was cancelled.
    pub cancelled_by_dependency: Vec<JobId>,
    /// Cancelled jobs without any placement left, which are removed from the log.
    pub fully_cancelled: Vec<JobId>,
    /// Rental requests, new or rewritten.
    pub claims: Vec<WrittenClaim>,
    /// Ids of rental requests that are removed from the log.
    pub settled: Vec<String>,
    /// Whether the transaction went unanswered once: a copy of it may have been executed, or may
    /// be executed later.
    pub outcome_unknown: bool,
}

impl PendingTransaction {
    /// Adds the condition that the key has this version; 0 requires that the key does not exist.
    pub(super) fn require(&mut self, key: String, version: u64) {
        self.txn.conditions.push(Condition { key, version });
    }

    /// Adds the write of a value, on condition that the key has this version.
    pub(super) fn put(&mut self, key: String, version: u64, value: Value) {
        self.require(key.clone(), version);
        let lease = None;
        self.txn.changes.push(Change::Put { key, value, lease });
    }

    /// Whether the transaction changes this key.
    pub(super) fn writes(&self, key: &str) -> bool {
        self.txn.changes.iter().any(|change| change.key() == key)
    }

    /// Whether the transaction records a start of this task.
    pub(super) fn records_start(&self, job: &JobId, task: u32) -> bool {
        self.starts.iter().any(|s| s.task == task && s.job == *job)
    }

    /// The version that the condition on this key requires; 0 if there is no such condition.
    pub(super) fn expected_version(&self, key: &str) -> u64 {
        let condition = self.txn.conditions.iter().find(|c| c.key == key);
        condition.map_or(0, |c| c.version)
    }

    /// The key whose version shows whether the transaction was executed; only leaders write it.
    pub(super) fn probe_key(&self) -> String {
        match self.segments.first() {
            Some(segment) => keys::segment(segment.slot),
            None => keys::TERM.into(),
        }
    }
}

/// A transaction that is being built.
pub(super) struct Draft {
    /// The transaction as drafted so far.
    pub pending: PendingTransaction,
    /// The entries of its segments.
    pub packer: SegmentPacker,
    /// The sequence number of its first segment.
    pub first_seq: u64,
    /// Facts of segments before this one are to be rewritten.
    pub compact_before: u64,
    /// Maximum number of changes that the state service accepts in a transaction.
    pub max_changes: usize,
}

impl Draft {
    fn max_conditions(&self) -> usize {
        CONDITIONS_PER_CHANGE * self.max_changes
    }

    fn segment_seq(&self, index: usize) -> u64 {
        self.first_seq + index as u64
    }

    /// Whether the draft writes the job's description.
    pub(super) fn describes(&self, job: &JobId) -> bool {
        self.pending.descriptions.iter().any(|d| d.job == *job)
    }

    /// Whether the draft writes this task range of the job.
    pub(super) fn has_task_range(&self, job: &JobId, range_index: u32) -> bool {
        self.pending
            .task_ranges
            .iter()
            .any(|r| r.range_index == range_index && r.job == *job)
    }

    /// Whether the draft records the end of the job.
    pub(super) fn ends(&self, job: &JobId) -> bool {
        let pending = &self.pending;
        pending.completed.contains(job)
            || pending.fully_cancelled.contains(job)
            || pending.cancelled_by_dependency.contains(job)
    }

    /// Whether the draft has a condition on this key.
    pub(super) fn has_condition(&self, key: &str) -> bool {
        self.pending.txn.conditions.iter().any(|c| c.key == key)
    }

    /// Whether another condition fits in addition to those on the keys of the segments.
    pub(super) fn fits_condition(&self) -> bool {
        let segments = self.packer.segment_limit();
        self.pending.txn.conditions.len() + segments < self.max_conditions()
    }

    /// Adds an entry and returns the sequence number of its segment; `None` if it doesn't fit.
    pub(super) fn add(&mut self, entry: Entry) -> Option<u64> {
        let index = self.packer.add(entry)?;
        Some(self.segment_seq(index))
    }

    /// Adds a task range and returns the sequence number of its first segment; `None` if not all
    /// of it fits.
    pub(super) fn add_task_range(&mut self, record: TaskRangeRecord) -> Option<u64> {
        let index = self.packer.add_task_range(record)?;
        Some(self.segment_seq(index))
    }

    /// Adds a rental request, if it fits.
    pub(super) fn add_claim(&mut self, claim: String, value: ClaimValue) {
        if let Some(segment) = self.add(Entry::Claim(claim.clone(), value)) {
            self.pending.claims.push(WrittenClaim { claim, segment });
        }
    }

    /// Adds the end of a job: its final phase under its key, on condition that the key has this
    /// version, and an entry that removes it from the log. Returns false if they don't fit.
    pub(super) fn add_end(&mut self, job: &JobId, key_version: u64, phase: Phase) -> bool {
        let end = Entry::Ended(job.to_string());
        let segments = self.packer.segments_with(entry_bytes(&end));
        if !self.fits_job_end(segments) {
            return false;
        }
        self.packer.raise_budget(segments);
        if self.packer.add(end).is_none() {
            return false;
        }
        let value = to_value(&JobValue { phase, spec: None });
        self.pending.put(keys::job(job), key_version, value);
        true
    }

    /// Limits the number of segments to the changes and conditions that are left: each segment
    /// takes one change and one condition.
    pub(super) fn limit_segments(&mut self) {
        let txn = &self.pending.txn;
        let changes_left = self.max_changes.saturating_sub(txn.changes.len());
        let conditions_left = self.max_conditions().saturating_sub(txn.conditions.len());
        self.packer.lower_limit(changes_left.min(conditions_left));
    }

    /// Whether another change and another condition fit in addition to those of this number of
    /// segments.
    fn fits_job_end(&self, segments: usize) -> bool {
        let changes = self.pending.txn.changes.len() + 1 + segments;
        let conditions = self.pending.txn.conditions.len() + 1 + segments;
        changes <= self.max_changes && conditions <= self.max_conditions() && segments <= self.packer.segment_limit()
    }
}
