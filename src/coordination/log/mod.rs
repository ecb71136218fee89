//! The leader's write-ahead log in the state service: nothing is sent to a machine before its
//! record stands here, and a new leader begins with what it reads here.
//!
//! The log is a list of pages, each a value of the state service. A transaction writes what has
//! changed to pages of its own, whatever jobs it is about, so that its cost follows what changed
//! and not how many jobs it concerns. There is one transaction at a time, and every one holds
//! only under the present term.
//!
//! - `read_log`: reading the pages, and what happened to jobs since, at a takeover;
//! - `replay`: what the pages say together;
//! - `restore`: the leader's state from that;
//! - `queues`: what is to be written, as it waits;
//! - `write`: drafting and sending a transaction, the most urgent changes first;
//! - `transaction` and `packing`: what one is made of, and how entries fit into its pages;
//! - `compaction`: writing again what stands in the oldest pages, so that their keys can be
//!   used anew;
//! - `answers` and `outcome`: whether a transaction was executed, and what follows.

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
use queues::{ChangedTaskRange, QueuedStarts, Undescribed, WriteCounters};
use read_log::LogReader;
use replay::{FreeSlot, LiveSegment};
use std::collections::{BTreeSet, VecDeque};
use transaction::PendingTransaction;

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum LogContinuation {
    /// Pages of the log.
    Segments,
    /// What happened to jobs since the log was last written.
    JobChanges,
    /// All jobs' keys, if the service has forgotten that far back.
    AllJobs,
    /// Which machines other nodes keep.
    ProxiedMachines,
    /// Pages of acceptances, for jobs that are missing here.
    Audit,
    /// A transaction was sent.
    Commit,
    /// A transaction went unanswered; this key tells whether it was executed.
    Probe,
}

/// Pages that a transaction writes at most.
const MAX_SEGMENTS: usize = 6;
/// How many closed jobs are remembered.
const MAX_CLOSED_JOBS: usize = 20_000;

/// Writes the log, and remembers which jobs it has closed.
#[derive(Default)]
pub struct LogWriter {
    /// Reads the log at a takeover.
    reader: Option<Box<LogReader>>,
    loaded: bool,
    in_flight: Option<Box<PendingTransaction>>,
    /// When the transaction in flight is sent again, or the next one may be.
    resend_at: Option<Micros>,
    last_sent: Micros,
    /// What the log's clock is ahead of this process's, in milliseconds.
    clock_offset_ms: i64,
    /// Jobs closed by this leader, against late news of their acceptance.
    closed_jobs: BTreeSet<JobId>,
    /// Pages that still say something, oldest first.
    segments: VecDeque<LiveSegment>,
    /// Slots whose keys may be written over.
    free: Vec<FreeSlot>,
    /// Slots that were ever used.
    slots: u32,
    /// The number of the last page.
    last_seq: u64,
    /// What the jobs' keys said up to this revision is in the log.
    seen_revision: u64,
    /// Pages that a transaction writes at most, less while it is refused.
    segment_budget: usize,
    /// Parts with starts to be recorded, the most urgent first.
    pub starting: BTreeSet<QueuedStarts>,
    /// Parts that differ from the log, in the order in which they changed.
    pub changed: VecDeque<ChangedTaskRange>,
    /// Jobs whose description, or cancellation, is not in the log.
    pub undescribed: BTreeSet<Undescribed>,
    /// Arrays whose every task has completed.
    pub complete: BTreeSet<JobId>,
    /// Jobs that are withdrawn with one that they need, which is to be recorded.
    pub withdrawn: BTreeSet<JobId>,
    /// Cancelled jobs with nothing left on machines.
    pub ended: BTreeSet<JobId>,
    /// How much was written, for an operator's log.
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

    /// Pages that still say something.
    pub fn live_segments(&self) -> usize {
        self.segments.len()
    }

    /// The leader's term was raised. A transaction in flight either was executed under the old
    /// term or fails on its condition; its answer tells which.
    pub fn term_raised(&mut self) {}

    /// Whether the transaction in flight may be executed without a word of it.
    fn is_outcome_unknown(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|p| p.outcome_unknown)
    }

    /// The log's clock, in milliseconds.
    fn to_log_ms(&self, at: Micros) -> u64 {
        ((at.0 / 1000) as i64 + self.clock_offset_ms).max(1) as u64
    }

    /// A time of the log's clock on this process's.
    fn local_time(&self, ms: u64) -> Micros {
        Micros((ms as i64 - self.clock_offset_ms).max(0) as u64 * 1000)
    }

    /// A slot for a page: one whose page says nothing any more, or a new one.
    fn take_slot(&mut self) -> FreeSlot {
        self.free.pop().unwrap_or_else(|| {
            let slot = self.slots;
            self.slots += 1;
            FreeSlot { slot, version: 0 }
        })
    }

    fn remember_closed(&mut self, id: JobId) {
        self.closed_jobs.insert(id);
        while self.closed_jobs.len() > MAX_CLOSED_JOBS {
            self.closed_jobs.pop_first();
        }
    }
}

/// Jobs whose ends a transaction has recorded.
#[derive(Default)]
pub struct RecordedEnds {
    pub done: Vec<JobId>,
    pub withdrawn: Vec<JobId>,
}

impl LeaderState {
    /// A part of a job differs from what the log says.
    pub fn mark_task_range_changed(&mut self, id: &JobId, range_index: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let task_range = job.task_ranges.entry(range_index).or_default();
        if task_range.dirty.is_none() {
            task_range.dirty = Some(now);
            self.log_writer.changed.push_back(ChangedTaskRange {
                since: now,
                job: id.clone(),
                range_index,
            });
        }
    }
}
