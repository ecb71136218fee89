//! The simulated state service: requests that are lost or executed late, and watches.

use super::links::End;
use super::{ScheduledEvent, World, MS, SEC};
use glenhaven::coordination::Event;
use glenhaven::protocol::store::{StoreRequest, StoreResponse};

/// A watch without an answer so far.
pub(super) struct Watch {
    node: usize,
    life: u64,
    id: u64,
    prefix: String,
    after: u64,
    ends: u64,
}

impl World {
    fn is_late_write(&mut self, request: &StoreRequest) -> bool {
        let StoreRequest::Transaction(txn) = request else {
            return false;
        };
        let writes = |prefix: &String| txn.changes.iter().any(|c| c.key().starts_with(prefix.as_str()));
        let shares = self
            .active_faults
            .late_writes
            .values()
            .filter(|(_, prefix)| writes(prefix));
        let share = shares.map(|(share, _)| *share).fold(0.0, f64::max);
        share > 0.0 && self.rng.f64() < share
    }

    fn is_refused(&self, n: usize) -> bool {
        self.active_faults.state_refuses.values().any(|d| *d == n)
    }

    /// Returns whether the state service no longer has the changes that this watch asks for, because
    /// a step of the scenario says so for one watch of this controller.
    fn takes_compaction(&mut self, n: usize, request: &StoreRequest) -> bool {
        let StoreRequest::Watch {
            prefix, wait_ms: 1.., ..
        } = request
        else {
            return false;
        };
        let watches = &mut self.active_faults.compacted_watches;
        let found = watches.iter().position(|watch| *watch == (n, prefix.clone()));
        found.map(|at| watches.remove(at)).is_some()
    }

    pub(crate) fn store_request(&mut self, n: usize, life: u64, id: u64, request: StoreRequest) {
        let now = self.now;
        self.store.expire(now);
        let hop = self.hop();
        let delay = self.state_delay(&request);
        let mut lost = false;
        // A late transaction was received before: it is executed regardless of rate limits and
        // of the other faults, except an outage.
        let late = life == u64::MAX && matches!(request, StoreRequest::Transaction(_));
        let answer = if late && !self.store.unavailable {
            self.store.answer(&request, now)
        } else if self.store.unavailable || self.is_refused(n) {
            StoreResponse::Refused
        } else {
            let writes = match &request {
                StoreRequest::Transaction(txn) => txn.changes.len() as f64,
                _ => 0.0,
            };
            if let Err(refused) = self.store.allow(writes, now) {
                refused
            } else if self.takes_compaction(n, &request) {
                StoreResponse::Compacted
            } else if let StoreRequest::Watch {
                prefix,
                after,
                wait_ms: wait_ms @ 1..,
            } = request
            {
                let watch = self.id();
                self.watches.insert(
                    watch,
                    Watch {
                        node: n,
                        life,
                        id,
                        prefix,
                        after,
                        ends: now + wait_ms * MS,
                    },
                );
                self.after(wait_ms * MS, ScheduledEvent::WatchEnds(watch));
                self.answer_ready_watches();
                return;
            } else if self.is_late_write(&request) {
                // The sender gets no answer, and newer transactions are executed first.
                let late = 2 * SEC + self.rng.u64(0..10 * SEC);
                self.after(late, ScheduledEvent::Store(n, u64::MAX, id, request));
                return;
            } else if let (StoreRequest::Transaction(txn), Some(late)) =
                (&request, self.active_faults.lost_txn_answers.values().copied().next())
            {
                // The answer is lost. The transaction is executed now, or late, after its sender
                // has timed out.
                if !txn.changes.is_empty() {
                    lost = true;
                    if late > 0 && self.rng.bool() {
                        let _ = hop;
                        let request = StoreRequest::Transaction(txn.clone());
                        // No process has this life, so the answer is dropped.
                        self.after(late, ScheduledEvent::Store(n, u64::MAX, id, request));
                        return;
                    }
                }
                self.store.answer(&request, now)
            } else {
                lost = self.loses_reply(&request);
                self.store.answer(&request, now)
            }
        };
        if let (StoreRequest::Transaction(txn), StoreResponse::Committed { .. }) = (&request, &answer) {
            self.answers.written(&txn.changes, now);
            let writes = |key: &String| txn.changes.iter().any(|c| c.key().starts_with(key.as_str()));
            let found = self
                .active_faults
                .crash_on_write
                .iter()
                .position(|(key, _)| writes(key));
            if let Some(at) = found {
                let (_, lasts) = self.active_faults.crash_on_write.remove(at);
                self.crash_node(n);
                self.after(lasts, ScheduledEvent::Start(n));
            }
        }
        self.answer_ready_watches();
        if !lost && self.passes(&End::State, &End::Node(n)) {
            self.after(hop + delay, ScheduledEvent::Event(n, life, Event::Store { id, answer }));
        }
    }

    /// Answers the watches with new events; during an outage they stay open.
    pub(crate) fn answer_ready_watches(&mut self) {
        if self.store.unavailable {
            return;
        }
        let ready: Vec<u64> = self
            .watches
            .iter()
            .filter(|(_, w)| !self.is_refused(w.node))
            .filter(|(_, w)| self.store.has_events_since(&w.prefix, w.after))
            .map(|(id, _)| *id)
            .collect();
        for watch in ready {
            self.answer_watch(watch);
        }
    }

    pub(crate) fn watch_ends(&mut self, watch: u64) {
        let Some(w) = self.watches.get(&watch) else {
            return;
        };
        if self.store.unavailable || self.is_refused(w.node) {
            // The watch stays open past its time limit.
            self.after(100 * MS, ScheduledEvent::WatchEnds(watch));
            return;
        }
        if self.now >= w.ends {
            self.store.expire(self.now);
            self.answer_watch(watch);
            self.answer_ready_watches();
        }
    }

    fn answer_watch(&mut self, watch: u64) {
        let Some(w) = self.watches.remove(&watch) else {
            return;
        };
        let answer = self.store.changes_or_compacted(&w.prefix, w.after);
        let hop = self.hop();
        if self.passes(&End::State, &End::Node(w.node)) {
            self.after(
                hop,
                ScheduledEvent::Event(w.node, w.life, Event::Store { id: w.id, answer }),
            );
        }
    }
}
