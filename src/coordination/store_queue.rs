//! The queue of requests to the state service: paced, urgent first.

use crate::protocol::store::StoreRequest;
use crate::time::Micros;
use crate::transport::rate_limit::Bucket;
use glenhaven_group_commit::{Waited, Waits};
use std::collections::{BTreeMap, VecDeque};

/// How urgent a request is; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases, takeovers and watches.
    Lead,
    /// Starts and aborts.
    Start,
    /// Acceptances and polls.
    User,
    /// Everything that can wait.
    Later,
}

/// Share of the bucket that each urgency leaves to more urgent ones.
const RESERVE: [f64; 4] = [0.0, 0.04, 0.08, 0.2];
/// Requests in flight, watches aside; keeps sockets and memory bounded.
const IN_FLIGHT: usize = 24;

struct Queued<W> {
    request: StoreRequest,
    continuation: W,
    timeout: Micros,
    /// When it was queued, or was to be.
    at: Option<Micros>,
}

/// A request that was sent and has not been answered.
struct InFlight<W> {
    continuation: W,
    watch: bool,
    sent: Micros,
}

/// What has waited here for longer is not sent any more: whoever wanted it has
/// given up, or decides anew.
const TOO_OLD: Micros = Micros::from_millis(4000);

/// The queue; `W` says what a request's answer is for.
pub struct StoreQueue<W> {
    requests: Bucket,
    writes: Bucket,
    queues: [VecDeque<Queued<W>>; 4],
    delayed: BTreeMap<(Micros, u64), (Urgency, Queued<W>)>,
    in_flight: BTreeMap<u64, InFlight<W>>,
    watches: usize,
    /// How long requests took that were answered since the last log, watches aside.
    round_trips: Waits,
    next: u64,
    /// The least and the most of requests and changes a second, the present
    /// rates, and when they were last raised.
    least: (f64, f64),
    most: (f64, f64),
    rates: (f64, f64),
    raised: Micros,
    /// Changes asked for since the last look, their decayed rate, and when that
    /// was.
    asked: f64,
    wanted: f64,
    /// Changes that wait outside this queue until they may go out.
    held: f64,
    looked: Micros,
}

/// A rate grows to its most over so many seconds without a refusal.
const GROWTH_S: f64 = 8.0;

/// How many changes a request makes.
fn changes(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Transaction(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

impl<W> StoreQueue<W> {
    pub fn new(rps: f64, write_rps: f64, now: Micros) -> Self {
        StoreQueue {
            requests: Bucket::new(rps, now),
            writes: Bucket::new(write_rps, now),
            queues: Default::default(),
            delayed: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            watches: 0,
            round_trips: Waits::default(),
            next: 1,
            least: (rps, write_rps),
            most: (rps, write_rps),
            rates: (rps, write_rps),
            raised: now,
            asked: 0.0,
            wanted: 0.0,
            held: 0.0,
            looked: now,
        }
    }

    /// Changes a second that this node wants to make, with what waits here.
    pub fn wants(&mut self, now: Micros) -> f64 {
        let span = now.since(self.looked).secs();
        if span > 0.0 {
            let keep = 0.5f64.powf(span / 1.5);
            self.wanted = self.wanted * keep + self.asked / span.max(0.1) * (1.0 - keep);
            self.asked = 0.0;
            self.looked = now;
        }
        let waits: f64 = self.queues.iter().flatten().map(|q| changes(&q.request)).sum();
        self.wanted + waits + self.held
    }

    /// How many changes wait elsewhere until [`write_allowed`](StoreQueue::write_allowed)
    /// says that they may go out.
    pub fn set_held_back_changes(&mut self, changes: f64) {
        self.held = changes;
    }

    /// Sets the rate of changes and leaves that of requests.
    pub fn set_write_rate(&mut self, rate: f64, now: Micros) {
        self.least.1 = rate;
        self.most.1 = rate;
        self.rates.1 = rate;
        self.writes.set_rate(rate, now);
    }

    /// This node's share of the service's limits: what it always has, and what
    /// it may grow to while the service refuses nothing.
    pub fn set_rates(&mut self, rps: (f64, f64), write_rps: (f64, f64), now: Micros) {
        self.least = (rps.0, write_rps.0);
        self.most = (rps.1, write_rps.1);
        self.rates = self.least;
        self.raised = now;
        self.requests.set_rate(self.rates.0, now);
        self.writes.set_rate(self.rates.1, now);
    }

    /// Raises the rates little by little. Nodes that are refused fall back, so
    /// that together they settle near the service's limits wherever users come.
    fn grow(&mut self, now: Micros) {
        let span = now.since(self.raised).secs();
        if span < 0.25 {
            return;
        }
        self.raised = now;
        let step = |rate: f64, least: f64, most: f64| (rate + (most - least) * span / GROWTH_S).clamp(least, most);
        self.rates.0 = step(self.rates.0, self.least.0, self.most.0);
        self.rates.1 = step(self.rates.1, self.least.1, self.most.1);
        self.requests.set_rate(self.rates.0, now);
        self.writes.set_rate(self.rates.1, now);
    }

    /// Queues a request.
    pub fn push(&mut self, urgency: Urgency, request: StoreRequest, continuation: W, timeout: Micros) {
        self.asked += changes(&request);
        self.queues[urgency as usize].push_back(Queued {
            request,
            continuation,
            timeout,
            at: None,
        });
    }

    /// Queues a request for later.
    pub fn push_at(&mut self, at: Micros, urgency: Urgency, request: StoreRequest, continuation: W, timeout: Micros) {
        self.next += 1;
        self.delayed.insert(
            (at, self.next),
            (
                urgency,
                Queued {
                    request,
                    continuation,
                    timeout,
                    at: None,
                },
            ),
        );
    }

    /// How many requests of users wait here; refusals are decided by it.
    pub fn user_backlog(&self) -> usize {
        self.queues[Urgency::User as usize].len()
    }

    /// Whether a transaction of `changes` changes could go out now.
    pub fn write_allowed(&mut self, changes: f64, urgency: Urgency, now: Micros) -> bool {
        self.writes.allows(changes, RESERVE[urgency as usize], now)
    }

    /// Requests that have waited for too long, as they do while the process
    /// stands still: they were never sent.
    pub fn expire(&mut self, now: Micros) -> Vec<W> {
        let mut old = vec![];
        for queue in &mut self.queues {
            let mut at = 0;
            while at < queue.len() {
                if now.since(*queue[at].at.get_or_insert(now)) > TOO_OLD {
                    old.extend(queue.remove(at).map(|q| q.continuation));
                } else {
                    at += 1;
                }
            }
        }
        old
    }

    /// How long the requests took that were answered since the last call, watches aside. A
    /// request without an answer counts with its time limit.
    pub fn take_round_trips(&mut self) -> Option<Waited> {
        self.round_trips.take()
    }

    /// A number for a request that does not go through this queue.
    pub fn reserve_request_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The requests that may go out now, with their ids.
    pub fn pump(&mut self, now: Micros) -> Vec<(u64, StoreRequest, Micros)> {
        self.grow(now);
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (urgency, queued) = entry.remove();
            self.queues[urgency as usize].push_back(queued);
        }
        let mut out = vec![];
        // A large transaction that waits for room saves it up: smaller ones of
        // less urgency would take it away for ever.
        let mut saving = false;
        for (level, reserve) in RESERVE.iter().enumerate() {
            while let Some(head) = self.queues[level].front() {
                let cost = changes(&head.request);
                let watch = matches!(head.request, StoreRequest::Watch { .. });
                if !watch && level > 0 && self.in_flight.len() - self.watches >= IN_FLIGHT {
                    break;
                }
                if !self.requests.allows(1.0, *reserve, now) {
                    break;
                }
                if cost > 0.0 && (saving || !self.writes.allows(cost, *reserve, now)) {
                    saving = true;
                    break;
                }
                self.requests.take(1.0, now);
                self.writes.take(cost, now);
                if let Some(queued) = self.queues[level].pop_front() {
                    self.next += 1;
                    self.watches += usize::from(watch);
                    let continuation = queued.continuation;
                    let sent = now;
                    self.in_flight.insert(
                        self.next,
                        InFlight {
                            continuation,
                            watch,
                            sent,
                        },
                    );
                    out.push((self.next, queued.request, queued.timeout));
                }
            }
        }
        out
    }

    /// What an answer is for. A refusal empties the buckets a little, so that
    /// nodes whose shares do not add up slow down together.
    pub fn answered(&mut self, id: u64, refused: bool, now: Micros) -> Option<W> {
        let InFlight {
            continuation,
            watch,
            sent,
        } = self.in_flight.remove(&id)?;
        if watch {
            self.watches -= 1;
        } else {
            self.round_trips.record(now.since(sent));
        }
        if refused {
            self.writes.spill(1.0, now);
            self.requests.spill(1.0, now);
            self.raised = now;
            self.rates.0 = (self.rates.0 * 0.6).max(self.least.0);
            self.rates.1 = (self.rates.1 * 0.6).max(self.least.1);
            self.requests.set_rate(self.rates.0, now);
            self.writes.set_rate(self.rates.1, now);
        }
        Some(continuation)
    }
}
