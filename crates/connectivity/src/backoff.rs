//! Exponential backoff with jitter, so that retries don't overload a recovering service.

use glenhaven_time::Micros;

/// Pauses between retries of a failing operation.
///
/// The maximum pause doubles with each failure. Jitter over half of its length keeps controllers
/// that lost a link together from retrying together.
///
/// ```
/// use glenhaven_connectivity::Backoff;
/// use glenhaven_time::Micros;
///
/// let mut backoff = Backoff::new(Micros::from_millis(100), Micros::from_millis(800));
/// let longest: Vec<u64> = (0..5).map(|_| backoff.next_pause(1.0).0 / 1000).collect();
/// assert_eq!(longest, [100, 200, 400, 800, 800]);
/// backoff.reset();
/// assert_eq!(backoff.next_pause(0.0), Micros::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Micros,
    longest: Micros,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose maximum pause starts at `first` and grows up to `longest`.
    pub fn new(first: Micros, longest: Micros) -> Backoff {
        Backoff {
            first,
            longest,
            failures: 0,
        }
    }

    /// Returns the pause before the next retry, for a `random` number drawn uniformly from 0 to 1.
    /// The pause is at least half of its current maximum.
    pub fn next_pause(&mut self, random: f64) -> Micros {
        let longest = Micros(self.first.0.saturating_mul(1 << self.failures.min(16))).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        Micros(longest.0 / 2 + (longest.0 as f64 / 2.0 * random.clamp(0.0, 1.0)) as u64)
    }

    /// Records a success: the next failure starts with the first pause again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
