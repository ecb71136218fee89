//! How long users waited for their acceptances, by deciles for an operator's log.

use glenhaven_units::Micros;
use hdrhistogram::Histogram;

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
        // Two digits fit any range; without a histogram nothing is recorded.
        Waits(Histogram::new(2).ok())
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
