//! The context that all components of a controller share: the time, the queue to the state service,
//! the effects of the current batch, random numbers and request numbers.
//!
//! Each component gets the context as a parameter and adds its effects to it. The context contains
//! nothing about jobs, machines or terms.

use super::store_queue::StoreQueue;
use super::{Continuation, Effect};
use crate::time::Micros;
use crate::transport::server::HttpResponse;
use glenhaven_store_limits::Limits;

/// The share of the state service's limits that a controller has until its role is determined.
const INITIAL_SHARE: f64 = 0.2;

/// The state that all components of a controller share.
pub struct Context {
    /// The time of the current batch, on this process's clock. This time never goes back.
    pub now: Micros,
    /// The queue of requests to the state service.
    pub store: StoreQueue<Continuation>,
    /// The effects of the current batch, in the order in which they are carried out.
    pub effects: Vec<Effect>,
    /// The only source of random numbers in a controller.
    pub rng: fastrand::Rng,
    /// The last request number that was assigned.
    last_id: u64,
    /// The time of day at the start of this process's clock, in milliseconds since 1970.
    pub(super) clock_origin_ms: u64,
}

impl Context {
    /// Creates a context without effects whose first request number is `first_id + 1`.
    pub(super) fn new(limits: &Limits, rng: fastrand::Rng, first_id: u64, now: Micros) -> Context {
        let requests_per_s = limits.requests_per_s() * INITIAL_SHARE;
        let changes_per_s = limits.changes_per_s() * INITIAL_SHARE;
        Context {
            now,
            store: StoreQueue::new(requests_per_s, changes_per_s, now),
            effects: vec![],
            rng,
            last_id: first_id,
            clock_origin_ms: 0,
        }
    }

    /// Returns a request number that this process has not used before.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The time of day at `at` on this process's clock, in milliseconds since 1970. The time of day
    /// is used for ordering and rentals only, never for safety.
    pub fn time_of_day(&self, at: Micros) -> u64 {
        self.clock_origin_ms + at.0 / 1000
    }

    /// Returns a random duration between 0.5 and 1.5 times `around`, so that controllers don't
    /// retry at the same time.
    pub fn jitter(&mut self, around: Micros) -> Micros {
        Micros(around.0 / 2 + self.rng.u64(0..=around.0))
    }

    /// Answers an HTTP request. `retry_after_s` is the number of seconds after which the client may
    /// retry.
    pub fn reply(&mut self, id: u64, status: u16, body: Vec<u8>, retry_after_s: Option<u32>) {
        self.effects.push(Effect::Reply {
            id,
            answer: HttpResponse {
                status,
                body,
                retry_after_s,
            },
        });
    }
}
