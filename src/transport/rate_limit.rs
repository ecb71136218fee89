//! A rate limit for calls to a service, so that it refuses none of them.

use crate::time::Micros;

/// A token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Calls a second.
    rate: f64,
    /// The most calls that it holds.
    capacity: f64,
    /// The calls that it holds; negative after a large one.
    tokens: f64,
    /// When the level was last brought up to date.
    filled_at: Micros,
}

impl Bucket {
    /// A full bucket that allows `rate` calls a second.
    pub fn new(rate: f64, now: Micros) -> Bucket {
        let capacity = rate.max(1.0);
        Bucket {
            rate,
            capacity,
            tokens: capacity,
            filled_at: now,
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.fill(now);
        self.rate = rate;
        self.capacity = rate.max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    fn fill(&mut self, now: Micros) {
        self.tokens = (self.tokens + now.since(self.filled_at).secs() * self.rate).min(self.capacity);
        self.filled_at = now;
    }

    /// Whether `cost` calls may go out while `reserve` of a full bucket's share
    /// is left for more urgent ones.
    pub fn allows(&mut self, cost: f64, reserve: f64, now: Micros) -> bool {
        self.fill(now);
        // A cost above the bucket's size goes out when the bucket is full.
        self.tokens >= (cost + reserve * self.capacity).min(self.capacity)
    }

    /// Takes `cost` from the bucket; the level may go below zero.
    pub fn take(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.tokens -= cost;
    }

    /// The same, but never below zero: what is lost is made up for within a moment. The
    /// refusals of a minute's outage would be paid for over minutes otherwise.
    pub fn spill(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.tokens = (self.tokens - cost).max(self.tokens.min(0.0));
    }
}
