//! Points in time and durations as whole microseconds.
//!
//! Arithmetic saturates: a time never goes below the start of the clock and never overflows.
#![forbid(unsafe_code)]

use std::ops::{Add, Sub};

/// A point in time of a monotonic clock, or a duration, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The start of the clock, or the zero duration.
    pub const ZERO: Micros = Micros(0);

    /// Converts seconds into a duration. Returns [`Micros::ZERO`] if `seconds` is not a positive
    /// finite number, because the value may come from outside input.
    pub fn from_secs(seconds: f64) -> Micros {
        if seconds.is_finite() && seconds > 0.0 {
            Micros((seconds * 1e6) as u64)
        } else {
            Micros::ZERO
        }
    }

    /// Converts milliseconds into a duration.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1000)
    }

    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}
