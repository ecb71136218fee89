//! What the parts of a controller share: the time, the queue to the state service, effects,
//! random numbers and the numbers of requests.

use super::store_queue::StoreQueue;
use super::{Continuation, Effect};
use crate::time::Micros;
use crate::transport::server::Outgoing;

/// What the parts share: pacing, effects and numbers.
pub struct Context {
    pub now: Micros,
    pub store: StoreQueue<Continuation>,
    pub effects: Vec<Effect>,
    pub rng: fastrand::Rng,
    pub(super) next_id: u64,
    /// The time of day at the start of this process's clock, in milliseconds.
    pub(super) clock_origin_ms: u64,
}

impl Context {
    /// A number never used before by this process.
    pub fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// The time of day at a time of this process's clock, in milliseconds since 1970. It
    /// decides order and rentals only, never safety.
    pub fn time_of_day(&self, at: Micros) -> u64 {
        self.clock_origin_ms + at.0 / 1000
    }

    /// The other way round.
    pub fn own_time(&self, day_ms: u64) -> Micros {
        Micros::from_millis(day_ms.saturating_sub(self.clock_origin_ms))
    }

    /// A span of up to twice `around`, so that nodes do not retry in step.
    pub fn jitter(&mut self, around: Micros) -> Micros {
        Micros(around.0 / 2 + self.rng.u64(0..=around.0))
    }

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
