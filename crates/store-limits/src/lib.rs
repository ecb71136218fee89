//! The limits of the state service: the present ones, lower ones that are announced for later, and
//! which of them apply.
//!
//! Sizes follow the lower limits from the start. Values that were never written larger need no
//! repair when the lower limits come into force, and a value that is refused for its size can't be
//! told from a malformed one in time. Rates follow the present limit until a refusal shows that the
//! lower one applies, and follow the lower one from then on.
//!
//! All code that writes to the state service takes its limits from here; this crate doesn't send or
//! count requests.
//!
//! ```
//! use glenhaven_store_limits::{Bounds, Limits};
//!
//! let present = Bounds { value_kb: 8.0, changes: 24, changes_per_s: 50.0 };
//! let announced = Bounds { value_kb: 2.0, changes: 8, changes_per_s: 35.0 };
//! let mut limits = Limits::new(200.0, present, Some(announced));
//! assert_eq!((limits.max_value_bytes(), limits.max_changes(), limits.max_conditions()), (2048, 8, 32));
//! assert_eq!(limits.changes_per_s(), 50.0);
//! assert!(limits.apply_announced());
//! assert_eq!(limits.changes_per_s(), 35.0);
//! ```
#![forbid(unsafe_code)]

/// Maximum size of a transaction, in bytes as JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of conditions in a transaction for each change that the transaction may hold.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Share of the limit on changes per second that all controllers use together. At the full limit,
/// the service would accept job submissions, with one change each, and repeatedly refuse the
/// leader's larger transactions.
const USED_SHARE: f64 = 0.95;

/// A set of limits that applies at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum size of a value, in KiB as JSON.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub changes: usize,
    /// Maximum puts and deletes per second, of all controllers together.
    pub changes_per_s: f64,
}

/// The state service's present and announced limits, and whether the announced ones apply.
#[derive(Clone, Debug)]
pub struct Limits {
    requests_per_s: f64,
    present: Bounds,
    announced: Option<Bounds>,
    is_lowered: bool,
}

impl Limits {
    /// Creates the limits from the present and the announced ones. The limit on requests per second
    /// doesn't change.
    pub fn new(requests_per_s: f64, present: Bounds, announced: Option<Bounds>) -> Limits {
        Limits {
            requests_per_s,
            present,
            announced,
            is_lowered: false,
        }
    }

    /// Returns the lower of the present and the announced value of a limit.
    fn lower_of<T: PartialOrd>(&self, limit: impl Fn(&Bounds) -> T) -> T {
        let present = limit(&self.present);
        match self.announced.as_ref().map(limit) {
            Some(announced) if announced < present => announced,
            _ => present,
        }
    }

    /// Returns the maximum size of a written value, in bytes as JSON.
    pub fn max_value_bytes(&self) -> usize {
        (self.lower_of(|b| b.value_kb) * 1024.0) as usize
    }

    /// Returns the maximum size of a transaction, in bytes as JSON.
    pub fn max_txn_bytes(&self) -> usize {
        MAX_TRANSACTION_BYTES
    }

    /// Returns the maximum number of puts and deletes in a transaction.
    pub fn max_changes(&self) -> usize {
        self.lower_of(|b| b.changes)
    }

    /// Returns the maximum number of conditions in a transaction.
    pub fn max_conditions(&self) -> usize {
        CONDITIONS_PER_CHANGE * self.max_changes()
    }

    /// Returns the maximum requests per second, of all controllers together.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Returns the maximum changes per second, of all controllers together.
    pub fn changes_per_s(&self) -> f64 {
        if self.is_lowered {
            self.lower_of(|b| b.changes_per_s)
        } else {
            self.present.changes_per_s
        }
    }

    /// Returns the changes per second that all controllers together may use, slightly below the
    /// limit.
    pub fn usable_changes_per_s(&self) -> f64 {
        self.changes_per_s() * USED_SHARE
    }

    /// Returns the maximum size of a value by the present limit, in bytes. Only the size of task
    /// ranges in the write-ahead log follows the present limit, because all releases have to agree
    /// on that size.
    pub fn present_value_bytes(&self) -> f64 {
        self.present.value_kb * 1024.0
    }

    /// Returns whether limits are announced that are not known to apply yet.
    pub fn is_announcement_pending(&self) -> bool {
        self.announced.is_some() && !self.is_lowered
    }

    /// Returns whether the announced limits are known to apply.
    pub fn is_lowered(&self) -> bool {
        self.is_lowered
    }

    /// Applies the announced limits from now on. Returns whether this changed the state: false if
    /// none are announced or they applied already.
    pub fn apply_announced(&mut self) -> bool {
        self.announced.is_some() && !std::mem::replace(&mut self.is_lowered, true)
    }
}
