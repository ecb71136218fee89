//! A rate limit for calls to a service, which keeps calls below the rate at which the service
//! refuses them.

use crate::time::Micros;

/// A token bucket that holds the calls of one second, and at least one call.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Calls per second.
    rate: f64,
    /// The maximum number of calls that the bucket holds.
    capacity: f64,
    /// The number of calls that the bucket holds; negative after a call with a large cost.
    tokens: f64,
    /// The time at which `tokens` was last updated.
    filled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that allows `rate` calls per second.
    pub fn new(rate: f64, now: Micros) -> TokenBucket {
        let capacity = rate.max(1.0);
        TokenBucket {
            rate,
            capacity,
            tokens: capacity,
            filled_at: now,
        }
    }

    /// Changes the rate. The bucket keeps its calls, up to the new capacity.
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

    /// Returns whether `cost` calls may be sent while `reserve`, a share of the capacity, is left
    /// for more urgent calls.
    pub fn allows(&mut self, cost: f64, reserve: f64, now: Micros) -> bool {
        self.fill(now);
        // Calls that cost more than the capacity are sent when the bucket is full.
        self.tokens >= (cost + reserve * self.capacity).min(self.capacity)
    }

    /// Takes `cost` calls from the bucket; the rest may be negative.
    pub fn take(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.tokens -= cost;
    }

    /// Takes up to `cost` calls from the bucket without making the rest negative, so that the
    /// bucket recovers quickly. Otherwise the refused calls of an outage of one minute would hold
    /// back other calls for minutes.
    pub fn take_available(&mut self, cost: f64, now: Micros) {
        self.fill(now);
        self.tokens = (self.tokens - cost).max(self.tokens.min(0.0));
    }
}
