//! Pacing of calls to a service that limits their rate.

use crate::time::Micros;

/// A token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    cap: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    /// A full bucket that allows `rate` calls a second.
    pub fn new(rate: f64, now: Micros) -> Bucket {
        let cap = rate.max(1.0);
        Bucket {
            rate,
            cap,
            level: cap,
            at: now,
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.fill(now);
        self.rate = rate;
        self.cap = rate.max(1.0);
        self.level = self.level.min(self.cap);
    }

    fn fill(&mut self, now: Micros) {
        self.level = (self.level + now.since(self.at).secs() * self.rate).min(self.cap);
        self.at = now;
    }

    /// Whether `cost` calls may go out while `reserve` of a full bucket's share
    /// is left for more urgent ones.
    pub fn allows(&mut self, cost: f64, reserve: f64, now: Micros) -> bool {
        self.fill(now);
        // A cost above the bucket's size goes out when the bucket is full.
        self.level >= (cost + reserve * self.cap).min(self.cap)
    }

    /// Takes `cost` from the bucket; the level may go below zero.
    pub fn take(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.level -= cost;
    }

    /// The same, but never below zero: what is lost is made up for within a moment. The
    /// refusals of a minute's outage would be paid for over minutes otherwise.
    pub fn spill(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.level = (self.level - cost).max(self.level.min(0.0));
    }
}
