//! A transaction of the log: what has to be known of it until the state service has answered.

use super::super::JobId;
use crate::bookkeeping::keys;
use crate::protocol::store::{Change, Condition, Txn};
use ciborium::Value;
use std::collections::BTreeSet;

/// A page that is written, and the slot that it goes to.
pub struct WrittenPage {
    pub slot: u32,
    pub seq: u64,
}

/// A job's description.
pub struct WrittenDescription {
    pub job: JobId,
    pub page: u64,
    /// The log did not have it, or not as it is now; otherwise it only moves to a later page.
    pub was_due: bool,
}

/// A part of a job's records.
pub struct WrittenPart {
    pub job: JobId,
    pub part: u32,
    /// The page that says all of it, if one does.
    pub page: Option<u64>,
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
    pub page: u64,
}

/// A transaction that is sent, or about to be.
#[derive(Default)]
pub struct PendingTransaction {
    pub txn: Txn,
    pub pages: Vec<WrittenPage>,
    /// Pages before this one say nothing any more once it is executed.
    pub oldest: u64,
    /// What the jobs' keys said up to this revision is in the log once it is executed.
    pub seen: u64,
    pub descriptions: Vec<WrittenDescription>,
    pub parts: Vec<WrittenPart>,
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
    pub in_doubt: bool,
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
        match self.pages.first() {
            Some(page) => keys::page(page.slot),
            None => keys::TERM.into(),
        }
    }
}
