//! Entries of the queues in which changes wait for the next transactions of the log.
//!
//! `LogWriter` owns the queues. Code that changes a job's state fills them, and `write` empties
//! them.

use super::super::JobId;
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::cmp::Reverse;

/// A task range with starts to be recorded, ordered by priority, then by acceptance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedStarts {
    priority: Reverse<Priority>,
    /// The revision at which the job was accepted.
    acceptance_revision: u64,
    /// The job of the task range.
    pub job: JobId,
    /// The number of the task range in its job.
    pub range_index: u32,
}

impl QueuedStarts {
    /// Creates the entry of a task range whose job was accepted at revision `acceptance_revision`.
    pub fn new(priority: Priority, acceptance_revision: u64, job: JobId, range_index: u32) -> QueuedStarts {
        QueuedStarts {
            priority: Reverse(priority),
            acceptance_revision,
            job,
            range_index,
        }
    }

    /// The priority of the starts.
    pub fn priority(&self) -> Priority {
        self.priority.0
    }
}

/// A task range that differs from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedTaskRange {
    /// When it began to differ.
    pub since: Micros,
    /// The job of the task range.
    pub job: JobId,
    /// The number of the task range in its job.
    pub range_index: u32,
}

/// A job whose description or cancellation is not in the log, ordered by acceptance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UndescribedJob {
    /// The revision at which the job was accepted.
    pub acceptance_revision: u64,
    /// The job.
    pub job: JobId,
}

impl UndescribedJob {
    /// Creates the entry of a job that was accepted at revision `acceptance_revision`.
    pub fn new(acceptance_revision: u64, job: JobId) -> UndescribedJob {
        UndescribedJob {
            acceptance_revision,
            job,
        }
    }
}

/// How much this leader has written, for the periodic log message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteCounters {
    /// Transactions sent; the second and later sends of a transaction are not counted.
    pub transactions: u64,
    /// Changes in these transactions.
    pub changes: u64,
}
