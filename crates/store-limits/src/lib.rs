//! What the state service accepts, in one place: the present limits, lower ones that are announced
//! for later, and which of them apply.
//!
//! Sizes follow the lower limits from the start: what was never written larger needs no repair when
//! they come into force, and a value that is refused for its size can't be told from a malformed one
//! in time. Rates follow the present limit until a refusal shows that the lower one applies, and the
//! lower one from then on.
//!
//! Whoever writes to the state service asks here; nothing here sends or counts requests.
//!
//! ```
//! use glenhaven_store_limits::{Bounds, Limits};
//!
//! let present = Bounds { value_kb: 8.0, changes: 24, changes_per_s: 50.0 };
//! let announced = Bounds { value_kb: 2.0, changes: 8, changes_per_s: 35.0 };
//! let mut limits = Limits::new(200.0, present, Some(announced));
//! assert_eq!((limits.value_bytes(), limits.changes(), limits.conditions()), (2048, 8, 32));
//! assert_eq!(limits.changes_per_s(), 50.0);
//! assert!(limits.lower());
//! assert_eq!(limits.changes_per_s(), 35.0);
//! ```
#![forbid(unsafe_code)]

/// The size of a transaction, in bytes as JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Conditions in a transaction for each change in it.
const CONDITIONS_PER_CHANGE: usize = 4;
/// The part of the changes a second that all controllers use together. At the limit, the service
/// would accept job submissions, one change each, and refuse the leader's larger transactions again
/// and again.
const USED_SHARE: f64 = 0.95;

/// The limits that apply at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The size of a value, in KiB as JSON.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub changes: usize,
    /// Puts and deletes a second, of all controllers together.
    pub changes_per_s: f64,
}

/// The state service's limits as far as this controller knows them.
#[derive(Clone, Debug)]
pub struct Limits {
    requests_per_s: f64,
    present: Bounds,
    announced: Option<Bounds>,
    is_lowered: bool,
}

impl Limits {
    /// The present limits and those that are announced. The one on requests doesn't change.
    pub fn new(requests_per_s: f64, present: Bounds, announced: Option<Bounds>) -> Limits {
        Limits {
            requests_per_s,
            present,
            announced,
            is_lowered: false,
        }
    }

    /// The lower of the present and the announced value of a limit.
    fn lower_of<T: PartialOrd>(&self, limit: impl Fn(&Bounds) -> T) -> T {
        let present = limit(&self.present);
        match self.announced.as_ref().map(limit) {
            Some(announced) if announced < present => announced,
            _ => present,
        }
    }

    /// The size of a value that is written, in bytes as JSON.
    pub fn value_bytes(&self) -> usize {
        (self.lower_of(|b| b.value_kb) * 1024.0) as usize
    }

    /// The size of a transaction, in bytes as JSON.
    pub fn txn_bytes(&self) -> usize {
        MAX_TRANSACTION_BYTES
    }

    /// Puts and deletes in a transaction.
    pub fn changes(&self) -> usize {
        self.lower_of(|b| b.changes)
    }

    /// Conditions in a transaction.
    pub fn conditions(&self) -> usize {
        CONDITIONS_PER_CHANGE * self.changes()
    }

    /// Requests a second, of all controllers together.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Changes a second, of all controllers together.
    pub fn changes_per_s(&self) -> f64 {
        if self.is_lowered {
            self.lower_of(|b| b.changes_per_s)
        } else {
            self.present.changes_per_s
        }
    }

    /// The changes a second that all controllers together make.
    pub fn changes_used(&self) -> f64 {
        self.changes_per_s() * USED_SHARE
    }

    /// The size of a value by the present limit, in bytes. Only the size of task ranges in the
    /// write-ahead log follows it, because all releases have to agree on it.
    pub fn present_value_bytes(&self) -> f64 {
        self.present.value_kb * 1024.0
    }

    /// Whether lower limits are announced that are not known to apply yet.
    pub fn may_lower(&self) -> bool {
        self.announced.is_some() && !self.is_lowered
    }

    /// Whether the lower limits are known to apply.
    pub fn is_lowered(&self) -> bool {
        self.is_lowered
    }

    /// The lower limits apply from now on. Returns whether that is news.
    pub fn lower(&mut self) -> bool {
        self.announced.is_some() && !std::mem::replace(&mut self.is_lowered, true)
    }
}
