//! A transaction of the log: what one is made of while it is drafted, and what has to be known
//! of it until the state service has answered.

use super::super::JobId;
use super::packing::{entry_bytes, SegmentPacker};
use crate::protocol::store::{Change, Condition, Transaction};
use crate::protocol::users::Phase;
use crate::storage::keys;
use crate::storage::records::{to_value, ClaimValue, Entry, JobValue, TaskRangeRecord};
use ciborium::Value;
use std::collections::BTreeSet;

/// Conditions that the state service takes for each change that it takes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// A page that is written, and the slot that it goes to.
pub struct WrittenSegment {
    pub slot: u32,
    pub seq: u64,
}

/// A job's description.
pub struct WrittenDescription {
    pub job: JobId,
    pub segment: u64,
    /// The log did not have it, or not as it is now; otherwise it only moves to a later page.
    pub was_due: bool,
}

/// A part of a job's records.
pub struct WrittenTaskRange {
    pub job: JobId,
    pub range_index: u32,
    /// The page that says all of it, if one does.
    pub segment: Option<u64>,
    pub done: BTreeSet<u32>,
    pub void: BTreeSet<u32>,
}

/// The record of a start.
pub struct WrittenStart {
    pub job: JobId,
    pub task: u32,
    pub attempt: u64,
}

/// A rental request.
pub struct WrittenClaim {
    pub claim: String,
    pub segment: u64,
}

/// A transaction that is sent, or about to be.
#[derive(Default)]
pub struct PendingTransaction {
    pub txn: Transaction,
    pub segments: Vec<WrittenSegment>,
    /// Pages before this one say nothing any more once it is executed.
    pub oldest: u64,
    /// What the jobs' keys said up to this revision is in the log once it is executed.
    pub seen_revision: u64,
    pub descriptions: Vec<WrittenDescription>,
    pub task_ranges: Vec<WrittenTaskRange>,
    pub starts: Vec<WrittenStart>,
    /// Arrays that are recorded as done.
    pub completed: Vec<JobId>,
    /// Jobs that are withdrawn with one that they need.
    pub withdrawn: Vec<JobId>,
    /// Cancelled jobs of which nothing is left.
    pub ended: Vec<JobId>,
    pub claims: Vec<WrittenClaim>,
    pub settled: Vec<String>,
    /// It went unanswered once: it may be executed at any time.
    pub outcome_unknown: bool,
}

impl PendingTransaction {
    /// It is executed only while the key has this version; 0: while there is no such key.
    pub fn require(&mut self, key: String, version: u64) {
        self.txn.conditions.push(Condition { key, version });
    }

    /// Writes a value under a key that has this version.
    pub fn put(&mut self, key: String, version: u64, value: Value) {
        self.require(key.clone(), version);
        let lease = None;
        self.txn.changes.push(Change::Put { key, value, lease });
    }

    /// Whether it records this start.
    pub fn records_start(&self, job: &JobId, task: u32) -> bool {
        self.starts.iter().any(|s| s.task == task && s.job == *job)
    }

    /// The version that its condition on this key names.
    pub fn expected_version(&self, key: &str) -> u64 {
        let condition = self.txn.conditions.iter().find(|c| c.key == key);
        condition.map_or(0, |c| c.version)
    }

    /// The key whose version tells whether it was executed: one that only the leader writes.
    pub fn probe_key(&self) -> String {
        match self.segments.first() {
            Some(segment) => keys::segment(segment.slot),
            None => keys::TERM.into(),
        }
    }
}

/// A transaction that is being put together.
pub struct Draft {
    pub pending: PendingTransaction,
    pub packer: SegmentPacker,
    /// The number of its first page.
    pub first_seq: u64,
    /// What stands in pages before this one is to be written again.
    pub compact_before: u64,
    /// Changes that the state service takes in a transaction.
    pub max_changes: usize,
}

impl Draft {
    fn max_conditions(&self) -> usize {
        CONDITIONS_PER_CHANGE * self.max_changes
    }

    fn segment_seq(&self, index: usize) -> u64 {
        self.first_seq + index as u64
    }

    /// Whether it writes the job's description.
    pub fn describes(&self, job: &JobId) -> bool {
        self.pending.descriptions.iter().any(|d| d.job == *job)
    }

    /// Whether it writes this part of the job.
    pub fn has_task_range(&self, job: &JobId, range_index: u32) -> bool {
        self.pending
            .task_ranges
            .iter()
            .any(|p| p.range_index == range_index && p.job == *job)
    }

    /// Whether it says that the job is over.
    pub fn ends(&self, job: &JobId) -> bool {
        let pending = &self.pending;
        pending.completed.contains(job) || pending.ended.contains(job) || pending.withdrawn.contains(job)
    }

    /// Whether it holds only while this key is as it was.
    pub fn has_condition(&self, key: &str) -> bool {
        self.pending.txn.conditions.iter().any(|c| c.key == key)
    }

    /// Whether it may have one condition more: room is left for those on the pages' own keys.
    pub fn fits_condition(&self) -> bool {
        let segments = self.packer.segment_limit();
        self.pending.txn.conditions.len() + segments < self.max_conditions()
    }

    /// Adds an entry; the number of its page, or `None` if there is no room left.
    pub fn add(&mut self, entry: Entry) -> Option<u64> {
        let index = self.packer.add(entry)?;
        Some(self.segment_seq(index))
    }

    /// Adds a part; the number of its first page, or `None` if there is no room for all of it.
    pub fn add_task_range(&mut self, record: TaskRangeRecord) -> Option<u64> {
        let index = self.packer.add_task_range(record)?;
        Some(self.segment_seq(index))
    }

    /// Adds a rental request, if there is room.
    pub fn add_claim(&mut self, claim: String, value: ClaimValue) {
        if let Some(segment) = self.add(Entry::Claim(claim.clone(), value)) {
            self.pending.claims.push(WrittenClaim { claim, segment });
        }
    }

    /// Adds the end of a job: its final phase, on condition that its key is as it was. False
    /// if there is no room left for it, with the pages there are and the one that says so.
    pub fn add_end(&mut self, job: &JobId, key_version: u64, phase: Phase) -> bool {
        let over = Entry::Over(job.to_string());
        let segments = self.packer.segments_with(entry_bytes(&over));
        if !self.fits_job_end(segments) {
            return false;
        }
        self.packer.raise_budget(segments);
        if self.packer.add(over).is_none() {
            return false;
        }
        let value = to_value(&JobValue { phase, spec: None });
        self.pending.put(keys::job(job), key_version, value);
        true
    }

    /// Each page takes a change and a condition: no more are opened than what is left of both.
    pub fn limit_segments(&mut self) {
        let txn = &self.pending.txn;
        let changes_left = self.max_changes.saturating_sub(txn.changes.len());
        let conditions_left = self.max_conditions().saturating_sub(txn.conditions.len());
        self.packer.lower_limit(changes_left.min(conditions_left));
    }

    /// Whether one change and one condition more fit beside those of so many pages.
    fn fits_job_end(&self, segments: usize) -> bool {
        let changes = self.pending.txn.changes.len() + 1 + segments;
        let conditions = self.pending.txn.conditions.len() + 1 + segments;
        changes <= self.max_changes && conditions <= self.max_conditions() && segments <= self.packer.segment_limit()
    }
}
