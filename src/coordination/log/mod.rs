//! The leader's write-ahead log in the state service.
//!
//! Invariant: no start is sent to a machine before the record of its placement is durable here.
//! A new leader restores its state from this log and from nothing else.
//!
//! The log is a sequence of segments, each stored as one value of the state service. A
//! transaction writes the changes of all jobs to new segments, so that its cost depends on the
//! number of changes and not on the number of jobs. At most one transaction is in flight,
//! and each is conditional on the current term. The leader alone uses this module, from its tick
//! (`LeaderState::write_log`) and for answers of the state service
//! (`Controller::on_log_answer`).
//!
//! - `read_log`: reads the segments, and the changes of jobs since, at a takeover;
//! - `replay`: folds the segments into the state that they describe;
//! - `restore`: builds the leader's state from the replay;
//! - `queues`: changes that wait to be written;
//! - `write`: drafts and sends a transaction, the most urgent changes first;
//! - `transaction` and `packing`: the parts of a transaction, and how entries are packed into
//!   its segments;
//! - `compaction`: rewrites the facts of the oldest segments, so that their keys can be reused;
//! - `answers` and `outcome`: determine whether a transaction was executed, and apply or undo
//!   its changes.

mod answers;
pub mod compaction;
mod outcome;
pub mod packing;
pub mod queues;
mod read_log;
pub mod replay;
mod restore;
mod transaction;
mod write;

use super::state::LeaderState;
use super::JobId;
use crate::time::Micros;
use queues::{ChangedTaskRange, QueuedStarts, UndescribedJob, WriteCounters};
use read_log::LogReader;
use replay::{FreeSlot, LiveSegment};
use std::collections::{BTreeSet, VecDeque};
use transaction::PendingTransaction;

/// The purpose of a request to the state service, which determines how its answer is handled.
#[derive(Clone, Debug)]
pub enum LogContinuation {
    /// Segments of the log.
    Segments,
    /// Changes of the jobs' keys since the log was last written.
    JobChanges,
    /// All the jobs' keys, if the service no longer has the changes since the log was last
    /// written.
    AllJobs,
    /// The machines whose heartbeats other nodes answer.
    ProxiedMachines,
    /// Pages of acceptances, read by the audit to find accepted jobs that this leader lacks.
    Audit,
    /// The transaction in flight.
    Commit,
    /// A key that shows whether an unanswered transaction was executed.
    Probe,
}

/// Maximum number of segments in a transaction, which large task ranges, ends of jobs and
/// compaction may exceed.
const MAX_SEGMENTS: usize = 6;
/// Maximum number of closed jobs that the leader remembers.
const MAX_CLOSED_JOBS: usize = 20_000;

/// The state of the log: its segments, the transaction in flight and the changes that wait.
#[derive(Default)]
pub struct LogWriter {
    /// Reads the log at a takeover; `None` before and after.
    reader: Option<Box<LogReader>>,
    /// Whether the log has been read and the leader's state restored.
    loaded: bool,
    /// The transaction that was sent and whose outcome is not known yet.
    in_flight: Option<Box<PendingTransaction>>,
    /// When the transaction in flight is sent again, or the next one may be sent.
    resend_at: Option<Micros>,
    /// When the last new transaction was sent.
    last_sent: Micros,
    /// The log's clock minus this process's clock, in milliseconds.
    clock_offset_ms: i64,
    /// Jobs that this leader has closed: late events of their acceptance are ignored.
    closed_jobs: BTreeSet<JobId>,
    /// Segments with facts that no later segment repeats, oldest first.
    segments: VecDeque<LiveSegment>,
    /// Slots whose keys may be overwritten.
    free_slots: Vec<FreeSlot>,
    /// The number of slots ever used, which is also the number of the next new slot.
    slot_count: u32,
    /// The sequence number of the last segment.
    last_seq: u64,
    /// The log contains all changes of the jobs' keys up to this revision.
    seen_revision: u64,
    /// Maximum number of segments in the next transaction: reduced to one after a refusal, and
    /// raised by one up to `MAX_SEGMENTS` after each executed transaction.
    segment_budget: usize,
    /// Task ranges with starts to be recorded, the most urgent first.
    pub starting: BTreeSet<QueuedStarts>,
    /// Task ranges that differ from the log, in the order in which they changed.
    pub changed: VecDeque<ChangedTaskRange>,
    /// Jobs whose description or cancellation is not in the log.
    pub undescribed: BTreeSet<UndescribedJob>,
    /// Arrays all of whose tasks have completed, to be recorded as done.
    pub completed: BTreeSet<JobId>,
    /// Jobs to be recorded as cancelled because a job that they depend on was cancelled.
    pub cancelled_by_dependency: BTreeSet<JobId>,
    /// Cancelled jobs without any placement left, to be removed from the log.
    pub fully_cancelled: BTreeSet<JobId>,
    /// Totals for the periodic log message.
    pub written: WriteCounters,
}

impl LogWriter {
    /// Whether this leader has closed the job.
    pub fn is_closed(&self, id: &str) -> bool {
        self.closed_jobs.contains(id)
    }

    /// Whether the transaction in flight records this start.
    pub fn records_start(&self, id: &JobId, task: u32) -> bool {
        let pending = self.in_flight.as_ref();
        pending.is_some_and(|p| p.records_start(id, task))
    }

    /// The number of segments with facts that no later segment repeats.
    pub fn live_segments(&self) -> usize {
        self.segments.len()
    }

    /// Whether the transaction in flight may have been executed without an answer to confirm it.
    fn is_outcome_unknown(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|p| p.outcome_unknown)
    }

    /// Converts a time of this process's clock to milliseconds of the log's clock.
    fn to_log_ms(&self, at: Micros) -> u64 {
        ((at.0 / 1000) as i64 + self.clock_offset_ms).max(1) as u64
    }

    /// Converts milliseconds of the log's clock to a time of this process's clock.
    fn local_time(&self, ms: u64) -> Micros {
        Micros((ms as i64 - self.clock_offset_ms).max(0) as u64 * 1000)
    }

    /// Returns a slot for a new segment: a free one, or else the next unused one.
    fn take_slot(&mut self) -> FreeSlot {
        self.free_slots.pop().unwrap_or_else(|| {
            let slot = self.slot_count;
            self.slot_count += 1;
            FreeSlot { slot, version: 0 }
        })
    }

    /// Records that this leader has closed the job. Beyond `MAX_CLOSED_JOBS`, the jobs with the
    /// lowest ids are dropped.
    fn remember_closed(&mut self, id: JobId) {
        self.closed_jobs.insert(id);
        while self.closed_jobs.len() > MAX_CLOSED_JOBS {
            self.closed_jobs.pop_first();
        }
    }
}

/// Jobs whose ends an executed transaction has recorded.
#[derive(Default)]
pub struct RecordedEnds {
    /// Arrays that are done.
    pub done: Vec<JobId>,
    /// Jobs that were cancelled because a job that they depend on was cancelled.
    pub cancelled_by_dependency: Vec<JobId>,
}

impl LeaderState {
    /// Queues a task range of a job that differs from the log, unless it is queued already.
    pub fn mark_task_range_changed(&mut self, id: &JobId, range_index: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let task_range = job.task_ranges.entry(range_index).or_default();
        if task_range.dirty_since.is_none() {
            task_range.dirty_since = Some(now);
            self.log_writer.changed.push_back(ChangedTaskRange {
                since: now,
                job: id.clone(),
                range_index,
            });
        }
    }
}
