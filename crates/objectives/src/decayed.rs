//! A sum that decays exponentially with a half-life.

use glenhaven_time::Micros;

/// A sum in which an amount that was added one half-life ago counts half.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Decayed {
    sum: f64,
    /// When `sum` was computed.
    updated_at: Micros,
}

impl Decayed {
    /// Adds an amount at `now`.
    pub fn add(&mut self, amount: f64, half_life: Micros, now: Micros) {
        self.sum = self.get(half_life, now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the sum decayed to `now`.
    pub fn get(&self, half_life: Micros, now: Micros) -> f64 {
        let halves = now.since(self.updated_at).secs() / half_life.secs().max(1e-6);
        self.sum * 0.5f64.powf(halves)
    }

    /// Returns the rate of additions, per second, that would keep the sum constant.
    pub fn rate(&self, half_life: Micros, now: Micros) -> f64 {
        self.get(half_life, now) * std::f64::consts::LN_2 / half_life.secs().max(1e-6)
    }
}
