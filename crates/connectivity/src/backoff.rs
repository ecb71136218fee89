//! Retries that do not storm what comes back.

use glenhaven_time::Micros;

/// Pauses between tries of one thing that fails: each up to twice as long as the one
/// before, jittered over their whole length, so that those who lost a link together
/// do not come back together.
///
/// ```
/// use glenhaven_connectivity::Backoff;
/// use glenhaven_time::Micros;
///
/// let mut backoff = Backoff::new(Micros::from_millis(100), Micros::from_millis(800));
/// let longest: Vec<u64> = (0..5).map(|_| backoff.next(1.0).0 / 1000).collect();
/// assert_eq!(longest, [100, 200, 400, 800, 800]);
/// backoff.worked();
/// assert_eq!(backoff.next(0.0), Micros::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Micros,
    most: Micros,
    tries: u32,
}

impl Backoff {
    /// Pauses from about `first` up to `most`.
    pub fn new(first: Micros, most: Micros) -> Backoff {
        Backoff { first, most, tries: 0 }
    }

    /// The pause before the next try; `luck` is drawn evenly from 0 to 1. No pause is
    /// shorter than half of its longest.
    pub fn next(&mut self, luck: f64) -> Micros {
        let longest = Micros(self.first.0.saturating_mul(1 << self.tries.min(16))).min(self.most);
        self.tries = self.tries.saturating_add(1);
        Micros(longest.0 / 2 + (longest.0 as f64 / 2.0 * luck.clamp(0.0, 1.0)) as u64)
    }

    /// A try worked: the next failure starts anew.
    pub fn worked(&mut self) {
        self.tries = 0;
    }
}
