//! A sum that decays with a half life.

use glenhaven_time::Micros;

/// A sum in which what was added a half life ago counts half.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Decayed {
    sum: f64,
    /// When the sum was this.
    updated_at: Micros,
}

impl Decayed {
    /// Adds an amount now.
    pub fn add(&mut self, amount: f64, half_life: Micros, now: Micros) {
        self.sum = self.get(half_life, now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// The sum as of now.
    pub fn get(&self, half_life: Micros, now: Micros) -> f64 {
        let halves = now.since(self.updated_at).secs() / half_life.secs().max(1e-6);
        self.sum * 0.5f64.powf(halves)
    }

    /// The rate for a second that would keep the sum as it is.
    pub fn rate(&self, half_life: Micros, now: Micros) -> f64 {
        self.get(half_life, now) * std::f64::consts::LN_2 / half_life.secs().max(1e-6)
    }
}
