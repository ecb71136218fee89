//! What is to be written to the log, as it waits for the next transactions.

use super::super::JobId;
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::cmp::Reverse;

/// A part with starts to be recorded: in the order of priority, then of acceptance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedStarts {
    priority: Reverse<Priority>,
    /// The revision at which the job was accepted.
    version: u64,
    pub job: JobId,
    pub range_index: u32,
}

impl QueuedStarts {
    /// Starts in this part of the job, which was accepted at revision `version`.
    pub fn new(priority: Priority, version: u64, job: JobId, range_index: u32) -> QueuedStarts {
        QueuedStarts {
            priority: Reverse(priority),
            version,
            job,
            range_index,
        }
    }

    /// How urgent they are.
    pub fn priority(&self) -> Priority {
        self.priority.0
    }
}

/// A part that differs from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedTaskRange {
    pub since: Micros,
    pub job: JobId,
    pub range_index: u32,
}

/// A job whose description, or cancellation, is not in the log: in the order of acceptance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Undescribed {
    /// The revision at which the job was accepted.
    pub version: u64,
    pub job: JobId,
}

impl Undescribed {
    /// The job that was accepted at revision `version`.
    pub fn new(version: u64, job: JobId) -> Undescribed {
        Undescribed { version, job }
    }
}

/// How much was written, for an operator's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteCounters {
    pub transactions: u64,
    pub changes: u64,
}
