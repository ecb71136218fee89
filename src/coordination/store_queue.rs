//! The queue of requests to the state service: a priority queue that keeps within the controller's
//! rate limits.
//!
//! All components of a controller push their requests here; after each batch, the controller takes
//! the requests that may be sent. The queue is independent of the purpose of a request: each request
//! has a continuation, which the queue returns when the answer arrives or the request expires.
//!
//! Invariant: each pushed continuation is returned exactly once.

use crate::protocol::store::StoreRequest;
use crate::time::Micros;
use crate::transport::rate_limit::TokenBucket;
use glenhaven_group_commit::{WaitHistogram, Waited};
use std::collections::{BTreeMap, VecDeque};

/// How urgent a request is; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases, takeovers and watches.
    Leadership,
    /// Starts and cancellations.
    Start,
    /// Acceptances and polls.
    User,
    /// Everything that can wait.
    Later,
}

/// The share of the buckets that each urgency leaves to more urgent requests.
const RESERVED_SHARES: [f64; 4] = [0.0, 0.04, 0.08, 0.2];
/// The number of requests in flight, not counting watches, from which only watches and requests of
/// [`Urgency::Leadership`] are sent. The limit bounds sockets and memory.
const MAX_IN_FLIGHT: usize = 24;
/// The time after which a waiting request expires and is not sent any more: the component that
/// pushed the request has given up by then, or decides again.
const EXPIRY: Micros = Micros::from_millis(4000);
/// The time without a refusal in which a rate grows from its minimum to its maximum, in seconds.
const GROWTH_S: f64 = 8.0;
/// The shortest time between two raises of the rates, in seconds.
const GROWTH_STEP_S: f64 = 0.25;
/// The factor by which a refusal multiplies a rate.
const REFUSAL_FACTOR: f64 = 0.6;
/// The half-life of the measured demand for changes, in seconds.
const DEMAND_HALF_LIFE_S: f64 = 1.5;

/// The bounds of a rate, per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBounds {
    /// The rate that is always allowed.
    pub min: f64,
    /// The highest rate, which is reached while the state service refuses nothing.
    pub max: f64,
}

/// A rate that grows while nothing is refused, and the token bucket that enforces it.
struct AdaptiveRate {
    bucket: TokenBucket,
    bounds: RateBounds,
    current: f64,
}

impl AdaptiveRate {
    fn new(rate: f64, now: Micros) -> AdaptiveRate {
        AdaptiveRate {
            bucket: TokenBucket::new(rate, now),
            bounds: RateBounds { min: rate, max: rate },
            current: rate,
        }
    }

    fn set_bounds(&mut self, bounds: RateBounds, now: Micros) {
        self.bounds = bounds;
        self.set(bounds.min, now);
    }

    fn set(&mut self, rate: f64, now: Micros) {
        self.current = rate;
        self.bucket.set_rate(rate, now);
    }

    /// Raises the rate in proportion to a span without a refusal, in seconds.
    fn grow(&mut self, span_s: f64, now: Micros) {
        let RateBounds { min, max } = self.bounds;
        let raised = self.current + (max - min) * span_s / GROWTH_S;
        self.set(raised.clamp(min, max), now);
    }

    /// Lowers the rate after a refusal, and removes one token from the bucket.
    fn on_refusal(&mut self, now: Micros) {
        self.bucket.take_available(1.0, now);
        self.set((self.current * REFUSAL_FACTOR).max(self.bounds.min), now);
    }
}

/// The number of changes a second that this controller wants to make.
struct ChangeDemand {
    /// Changes pushed since the last measurement.
    pushed: f64,
    /// The decaying average up to the last measurement, in changes a second.
    per_s: f64,
    measured_at: Micros,
}

impl ChangeDemand {
    /// The demand as of now, in changes a second.
    fn measure(&mut self, now: Micros) -> f64 {
        let span_s = now.since(self.measured_at).secs();
        if span_s > 0.0 {
            let keep = 0.5f64.powf(span_s / DEMAND_HALF_LIFE_S);
            self.per_s = self.per_s * keep + self.pushed / span_s.max(0.1) * (1.0 - keep);
            self.pushed = 0.0;
            self.measured_at = now;
        }
        self.per_s
    }
}

/// A request that is waiting to be sent.
struct Queued<W> {
    request: StoreRequest,
    continuation: W,
    timeout: Micros,
    /// When the request was first found waiting; the time until its expiry counts from then.
    queued_at: Option<Micros>,
}

/// A request that is queued at a later time.
struct Delayed<W> {
    urgency: Urgency,
    queued: Queued<W>,
}

/// A request that was sent and has not been answered.
struct InFlight<W> {
    continuation: W,
    is_watch: bool,
    sent_at: Micros,
}

/// The queue of requests. `W` is the type of the continuation of a request.
pub struct StoreQueue<W> {
    requests: AdaptiveRate,
    changes: AdaptiveRate,
    /// When the rates were last raised or lowered.
    rates_changed_at: Micros,
    /// The waiting requests, by urgency.
    queues: [VecDeque<Queued<W>>; 4],
    /// The requests that are queued later, by time and number.
    delayed: BTreeMap<(Micros, u64), Delayed<W>>,
    in_flight: BTreeMap<u64, InFlight<W>>,
    watches_in_flight: usize,
    /// The round-trip times of the requests answered since the last log, not counting watches.
    round_trips: WaitHistogram,
    last_id: u64,
    demand: ChangeDemand,
    /// The number of changes that wait outside this queue until they may be sent.
    held_back_changes: f64,
}

/// The number of changes that a request makes.
fn changes(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Transaction(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

impl<W> StoreQueue<W> {
    /// Creates an empty queue with fixed rates of requests and changes a second.
    pub fn new(requests_per_s: f64, changes_per_s: f64, now: Micros) -> Self {
        StoreQueue {
            requests: AdaptiveRate::new(requests_per_s, now),
            changes: AdaptiveRate::new(changes_per_s, now),
            rates_changed_at: now,
            queues: Default::default(),
            delayed: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            watches_in_flight: 0,
            round_trips: WaitHistogram::default(),
            last_id: 1,
            demand: ChangeDemand {
                pushed: 0.0,
                per_s: 0.0,
                measured_at: now,
            },
            held_back_changes: 0.0,
        }
    }

    /// The changes a second that this controller wants to make, including those that are waiting.
    pub fn change_demand(&mut self, now: Micros) -> f64 {
        let per_s = self.demand.measure(now);
        let waiting: f64 = self.queues.iter().flatten().map(|q| changes(&q.request)).sum();
        per_s + waiting + self.held_back_changes
    }

    /// Sets the number of changes that wait elsewhere until
    /// [`write_allowed`](StoreQueue::write_allowed) permits them.
    pub fn set_held_back_changes(&mut self, changes: f64) {
        self.held_back_changes = changes;
    }

    /// Sets a fixed rate of changes; the rate of requests stays.
    pub fn set_write_rate(&mut self, rate: f64, now: Micros) {
        let bounds = RateBounds { min: rate, max: rate };
        self.changes.set_bounds(bounds, now);
    }

    /// Sets this controller's share of the service's limits for requests and changes.
    pub fn set_rates(&mut self, requests: RateBounds, changes: RateBounds, now: Micros) {
        self.rates_changed_at = now;
        self.requests.set_bounds(requests, now);
        self.changes.set_bounds(changes, now);
    }

    /// Raises the rates gradually. Controllers whose requests are refused lower their rates, so that
    /// all controllers together converge near the service's limits, however users are distributed
    /// over them.
    fn grow(&mut self, now: Micros) {
        let span_s = now.since(self.rates_changed_at).secs();
        if span_s < GROWTH_STEP_S {
            return;
        }
        self.rates_changed_at = now;
        self.requests.grow(span_s, now);
        self.changes.grow(span_s, now);
    }

    /// Queues a request. `timeout` is the time to wait for the answer after the request is sent.
    pub fn push(&mut self, urgency: Urgency, request: StoreRequest, continuation: W, timeout: Micros) {
        self.demand.pushed += changes(&request);
        self.queues[urgency as usize].push_back(Queued {
            request,
            continuation,
            timeout,
            queued_at: None,
        });
    }

    /// Queues a request that is sent no earlier than `at`.
    pub fn push_at(&mut self, at: Micros, urgency: Urgency, request: StoreRequest, continuation: W, timeout: Micros) {
        self.last_id += 1;
        let queued = Queued {
            request,
            continuation,
            timeout,
            queued_at: None,
        };
        self.delayed.insert((at, self.last_id), Delayed { urgency, queued });
    }

    /// The number of waiting user requests, which determines whether more are accepted.
    pub fn user_backlog(&self) -> usize {
        self.queues[Urgency::User as usize].len()
    }

    /// Whether the rate of changes allows a transaction of `changes` changes now.
    pub fn write_allowed(&mut self, changes: f64, urgency: Urgency, now: Micros) -> bool {
        self.changes
            .bucket
            .allows(changes, RESERVED_SHARES[urgency as usize], now)
    }

    /// Removes the requests that have waited for too long, for instance during a pause of the
    /// process, and returns their continuations. These requests were never sent.
    pub fn expire(&mut self, now: Micros) -> Vec<W> {
        let mut expired = vec![];
        for queue in &mut self.queues {
            let mut at = 0;
            while at < queue.len() {
                if now.since(*queue[at].queued_at.get_or_insert(now)) > EXPIRY {
                    expired.extend(queue.remove(at).map(|q| q.continuation));
                } else {
                    at += 1;
                }
            }
        }
        expired
    }

    /// Returns the round-trip times of the requests answered since the last call, not counting
    /// watches. A request without an answer counts with its timeout.
    pub fn take_round_trips(&mut self) -> Option<Waited> {
        self.round_trips.take()
    }

    /// Returns a number for a request that does not go through this queue.
    pub fn reserve_request_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Queues the delayed requests whose time has come.
    fn queue_delayed(&mut self, now: Micros) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let Delayed { urgency, queued } = entry.remove();
            self.queues[urgency as usize].push_back(queued);
        }
    }

    /// Removes and returns the requests that may be sent now, with their numbers and timeouts.
    pub fn take_sendable(&mut self, now: Micros) -> Vec<(u64, StoreRequest, Micros)> {
        self.grow(now);
        self.queue_delayed(now);
        let mut out = vec![];
        // While a large transaction waits for the rate of changes to allow it, no less urgent
        // transaction is sent: smaller ones would otherwise starve it.
        let mut is_saving = false;
        for (level, reserve) in RESERVED_SHARES.iter().enumerate() {
            while let Some(head) = self.queues[level].front() {
                let cost = changes(&head.request);
                let is_watch = matches!(head.request, StoreRequest::Watch { .. });
                let in_flight = self.in_flight.len() - self.watches_in_flight;
                if !is_watch && level > 0 && in_flight >= MAX_IN_FLIGHT {
                    break;
                }
                if !self.requests.bucket.allows(1.0, *reserve, now) {
                    break;
                }
                if cost > 0.0 && (is_saving || !self.changes.bucket.allows(cost, *reserve, now)) {
                    is_saving = true;
                    break;
                }
                self.requests.bucket.take(1.0, now);
                self.changes.bucket.take(cost, now);
                if let Some(queued) = self.queues[level].pop_front() {
                    out.push(self.send(queued, is_watch, now));
                }
            }
        }
        out
    }

    /// Records a request as sent; returns its number, the request and its timeout.
    fn send(&mut self, queued: Queued<W>, is_watch: bool, now: Micros) -> (u64, StoreRequest, Micros) {
        self.last_id += 1;
        self.watches_in_flight += usize::from(is_watch);
        let sent = InFlight {
            continuation: queued.continuation,
            is_watch,
            sent_at: now,
        };
        self.in_flight.insert(self.last_id, sent);
        (self.last_id, queued.request, queued.timeout)
    }

    /// Records an answer and returns the request's continuation; `None` if no such request is in
    /// flight. A refusal lowers the rates, so that controllers whose shares together exceed the
    /// service's limits all slow down.
    pub fn answered(&mut self, id: u64, is_refused: bool, now: Micros) -> Option<W> {
        let answered = self.in_flight.remove(&id)?;
        if answered.is_watch {
            self.watches_in_flight -= 1;
        } else {
            self.round_trips.record(now.since(answered.sent_at));
        }
        if is_refused {
            self.rates_changed_at = now;
            self.requests.on_refusal(now);
            self.changes.on_refusal(now);
        }
        Some(answered.continuation)
    }
}
