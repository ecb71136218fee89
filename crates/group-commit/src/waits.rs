//! A histogram of waiting times, for periodic log messages.

use glenhaven_time::Micros;
use hdrhistogram::Histogram;

/// The longest recorded wait, a day; longer waits are recorded as this one.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;

/// The distribution of the waits since the last call of [`WaitHistogram::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waited {
    /// The number of waits.
    pub count: u64,
    /// The median, in milliseconds to two digits.
    pub p50_ms: u64,
    /// The 99th percentile, in milliseconds to two digits.
    pub p99_ms: u64,
    /// The longest wait, in milliseconds to two digits.
    pub most_ms: u64,
}

/// A histogram of waits, which is empty after each call of [`WaitHistogram::take`].
pub struct WaitHistogram(Option<Histogram<u64>>);

impl Default for WaitHistogram {
    fn default() -> Self {
        // The range is fixed: with automatic resizing, `saturating_record` would not resize and
        // would lower every longer wait to the initial, smallest bound. Without a histogram nothing
        // is recorded.
        WaitHistogram(Histogram::new_with_bounds(1, MAX_WAIT_MS, 2).ok())
    }
}

impl WaitHistogram {
    /// Records one wait.
    pub fn record(&mut self, waited: Micros) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(waited.0 / 1000);
        }
    }

    /// Returns the distribution of the waits since the last call; `None` if there were none.
    pub fn take(&mut self) -> Option<Waited> {
        let histogram = self.0.as_mut().filter(|h| !h.is_empty())?;
        let waited = Waited {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            most_ms: histogram.max(),
        };
        histogram.reset();
        Some(waited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against automatic resizing, with which the histogram recorded 2 ms for every wait.
    #[test]
    fn waits_are_recorded_unchanged() {
        let mut waits = WaitHistogram::default();
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
