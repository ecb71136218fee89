//! How long users waited for their acceptances, by deciles for an operator's log.

use glenhaven_time::Micros;
use hdrhistogram::Histogram;

/// Longer waits count as this: a day.
const LONGEST_MS: u64 = 24 * 3600 * 1000;

/// What was recorded since the last look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waited {
    pub count: u64,
    /// Half, and 99 of 100, waited no longer than this; milliseconds, to two digits.
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub most_ms: u64,
}

/// A histogram of waits, empty again after each look.
pub struct Waits(Option<Histogram<u64>>);

impl Default for Waits {
    fn default() -> Self {
        // A range of its own: one that grows by itself does so only for records that may fail,
        // and would cut all others off at its first, smallest end. Without a histogram
        // nothing is recorded.
        Waits(Histogram::new_with_bounds(1, LONGEST_MS, 2).ok())
    }
}

impl Waits {
    /// Records one wait.
    pub fn record(&mut self, waited: Micros) {
        if let Some(h) = &mut self.0 {
            h.saturating_record(waited.0 / 1000);
        }
    }

    /// What was recorded since the last call; nothing if there was nothing.
    pub fn take(&mut self) -> Option<Waited> {
        let h = self.0.as_mut().filter(|h| !h.is_empty())?;
        let waited = Waited {
            count: h.len(),
            p50_ms: h.value_at_quantile(0.5),
            p99_ms: h.value_at_quantile(0.99),
            most_ms: h.max(),
        };
        h.reset();
        Some(waited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Seen to say 2 ms of every wait: the histogram's range had to be given.
    #[test]
    fn waits_are_told_as_they_were() {
        let mut waits = Waits::default();
        assert_eq!(waits.take(), None);
        for ms in [5, 40, 900, 84_300, 1_000_000_000] {
            waits.record(Micros::from_millis(ms));
        }
        let waited = waits.take().expect("five were recorded");
        assert_eq!(waited.count, 5);
        assert!((890..=910).contains(&waited.p50_ms), "{waited:?}");
        assert!(waited.most_ms >= 86_000_000, "{waited:?}");
        assert_eq!(waits.take(), None);
    }
}
