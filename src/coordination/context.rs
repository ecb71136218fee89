//! What the parts of a controller share: the time, the queue to the state service, the effects of
//! the current batch, random numbers and the numbers of requests.
//!
//! Every part gets it as a parameter and adds its effects to it. It knows nothing about jobs,
//! machines or terms.

use super::store_queue::StoreQueue;
use super::{Continuation, Effect};
use crate::time::Micros;
use crate::transport::server::Outgoing;
use glenhaven_store_limits::Limits;

/// The share of the state service's limits that a controller has until it knows its role.
const INITIAL_SHARE: f64 = 0.2;

/// What the parts of a controller share.
pub struct Context {
    /// The time of the current batch, on this process's clock. It never goes back.
    pub now: Micros,
    /// The queue of requests to the state service.
    pub store: StoreQueue<Continuation>,
    /// What the current batch has decided to do outside, in order.
    pub effects: Vec<Effect>,
    /// The only source of random numbers.
    pub rng: fastrand::Rng,
    /// The number that was last given to a request.
    last_id: u64,
    /// The time of day at the start of this process's clock, in milliseconds since 1970.
    pub(super) clock_origin_ms: u64,
}

impl Context {
    /// A context without effects that numbers its requests from `first_id`.
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

    /// A number that this process has not used before.
    pub fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The time of day at a time of this process's clock, in milliseconds since 1970. It decides
    /// about order and rentals only, never about safety.
    pub fn time_of_day(&self, at: Micros) -> u64 {
        self.clock_origin_ms + at.0 / 1000
    }

    /// A random span between half of `around` and one and a half times as much, so that
    /// controllers don't retry in step.
    pub fn jitter(&mut self, around: Micros) -> Micros {
        Micros(around.0 / 2 + self.rng.u64(0..=around.0))
    }

    /// Answers a request over HTTP. `retry_after_s`: after how many seconds the client may try
    /// again.
    pub fn reply(&mut self, id: u64, status: u16, body: Vec<u8>, retry_after_s: Option<u32>) {
        self.effects.push(Effect::Reply {
            id,
            answer: Outgoing {
                status,
                body,
                retry_after_s,
            },
        });
    }
}
