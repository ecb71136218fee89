//! What the state service takes, in one place: the present limits, lower ones that are
//! announced for some later moment, and which of them hold.
//!
//! Sizes follow the lower ones from the first second on: what was never written larger
//! needs no mending when they come into force, and a value that is refused for its size
//! can't be told from a malformed one in time. The rate follows the present one until a
//! refusal shows that the lower one holds, and then the lower one for good.
//!
//! ```
//! use glenhaven_store_limits::{Bounds, Limits};
//!
//! let now = Bounds { value_kb: 8.0, changes: 24, changes_per_s: 50.0 };
//! let next = Bounds { value_kb: 2.0, changes: 8, changes_per_s: 35.0 };
//! let mut limits = Limits::new(200.0, now, Some(next));
//! assert_eq!((limits.value_bytes(), limits.changes(), limits.conditions()), (2048, 8, 32));
//! assert_eq!(limits.changes_per_s(), 50.0);
//! assert!(limits.lower());
//! assert_eq!(limits.changes_per_s(), 35.0);
//! ```
#![forbid(unsafe_code)]

/// What a transaction may hold, in bytes as JSON.
const TXN_BYTES: usize = 64 * 1024;
/// Part of the changes a second that all controllers use together. At the limit, the
/// service would take the acceptances, one change each, and refuse the leader's larger
/// transactions time and again.
const USED: f64 = 0.95;

/// Limits that the state service has at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// KiB in a value.
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
    now: Bounds,
    next: Option<Bounds>,
    lowered: bool,
}

impl Limits {
    /// The present limits, and those that are announced. `requests_per_s` doesn't change.
    pub fn new(requests_per_s: f64, now: Bounds, next: Option<Bounds>) -> Limits {
        Limits {
            requests_per_s,
            now,
            next,
            lowered: false,
        }
    }

    fn least<T: PartialOrd>(&self, of: impl Fn(&Bounds) -> T) -> T {
        let now = of(&self.now);
        match self.next.as_ref().map(of) {
            Some(next) if next < now => next,
            _ => now,
        }
    }

    /// Bytes in a value that is written, as JSON.
    pub fn value_bytes(&self) -> usize {
        (self.least(|b| b.value_kb) * 1024.0) as usize
    }

    /// Bytes in a transaction, as JSON.
    pub fn txn_bytes(&self) -> usize {
        TXN_BYTES
    }

    /// Puts and deletes in a transaction.
    pub fn changes(&self) -> usize {
        self.least(|b| b.changes)
    }

    /// Conditions in a transaction.
    pub fn conditions(&self) -> usize {
        4 * self.changes()
    }

    /// Requests a second, of all controllers together.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Changes a second, of all controllers together.
    pub fn changes_per_s(&self) -> f64 {
        if self.lowered {
            self.least(|b| b.changes_per_s)
        } else {
            self.now.changes_per_s
        }
    }

    /// The part of the changes a second that is used.
    pub fn changes_used(&self) -> f64 {
        self.changes_per_s() * USED
    }

    /// Bytes in a value by the present limit. Only the size of parts of the book follows
    /// it, which is a form that all versions share.
    pub fn present_value_bytes(&self) -> f64 {
        self.now.value_kb * 1024.0
    }

    /// Whether lower limits are announced that are not known to hold.
    pub fn may_lower(&self) -> bool {
        self.next.is_some() && !self.lowered
    }

    /// Whether the lower limits are known to hold.
    pub fn is_lowered(&self) -> bool {
        self.lowered
    }

    /// The lower limits hold from now on. Says whether that is news.
    pub fn lower(&mut self) -> bool {
        self.next.is_some() && !std::mem::replace(&mut self.lowered, true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Bounds = Bounds {
        value_kb: 8.0,
        changes: 24,
        changes_per_s: 50.0,
    };

    #[test]
    fn nothing_announced_changes_nothing() {
        let mut limits = Limits::new(200.0, NOW, None);
        assert!(!limits.may_lower() && !limits.lower());
        assert_eq!((limits.value_bytes(), limits.changes()), (8192, 24));
        assert_eq!(limits.changes_per_s(), 50.0);
    }

    /// An announcement that raises a limit is not followed before it holds.
    #[test]
    fn the_smaller_of_both_is_kept() {
        let next = Bounds {
            value_kb: 32.0,
            changes: 8,
            changes_per_s: 80.0,
        };
        let mut limits = Limits::new(200.0, NOW, Some(next));
        assert!(limits.lower() && !limits.lower());
        assert_eq!((limits.value_bytes(), limits.changes()), (8192, 8));
        assert_eq!(limits.changes_per_s(), 50.0);
        assert_eq!(limits.present_value_bytes(), 8192.0);
    }
}
