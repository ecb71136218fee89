//! A sum that forgets.

use glenhaven_time::Micros;

/// A sum in which what was added a half life ago counts half.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Decayed {
    sum: f64,
    at: Micros,
}

impl Decayed {
    pub fn add(&mut self, amount: f64, half_life: Micros, now: Micros) {
        self.sum = self.get(half_life, now) + amount;
        self.at = self.at.max(now);
    }

    /// The sum as of now.
    pub fn get(&self, half_life: Micros, now: Micros) -> f64 {
        let halves = now.since(self.at).secs() / half_life.secs().max(1e-6);
        self.sum * 0.5f64.powf(halves)
    }

    /// The rate a second that keeps the sum where it is.
    pub fn rate(&self, half_life: Micros, now: Micros) -> f64 {
        self.get(half_life, now) * std::f64::consts::LN_2 / half_life.secs().max(1e-6)
    }
}
