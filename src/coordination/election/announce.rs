//! What this node says of itself in the state service: which release it runs, and that the
//! lower limits hold.

use super::super::store_queue::Urgency;
use super::super::{timing, Continuation, Controller};
use super::ElectionContinuation;
use crate::protocol::store::{Change, StoreRequest, Transaction};
use crate::storage::keys;
use crate::storage::records::{to_value, Release, CURRENT_RELEASE, RELEASE_DEPENDENCIES};
use crate::time::Micros;

/// What is said in the state service is said again after this long, unless it was seen.
const SAY_AGAIN: Micros = Micros::from_millis(3000);
/// A controller that was heard within this time may be listening.
const LISTENS: Micros = Micros::from_millis(2500);

impl Controller {
    /// Says in the state service which release this node runs, once, and that the lower
    /// limits hold, if it was the first to meet them. What was not written is said again.
    pub(in crate::coordination) fn run_announcements(&mut self) {
        let now = self.context.now;
        let cluster = &mut self.cluster;
        if self.election.lowered && cluster.limits.lower() {
            tracing::warn!(
                changes_per_s = cluster.limits.changes_per_s(),
                "the lower limits of the state service hold"
            );
            self.set_rates();
        }
        let lagging = self.lagging();
        if lagging != self.cluster.lagging {
            match &lagging {
                Some(node) => tracing::info!(
                    node,
                    "a controller has yet to get this version: jobs that name others wait"
                ),
                None => tracing::info!("all controllers that are heard run this version"),
            }
            self.cluster.lagging = lagging;
        }
        if !self.election.known || now < self.election.next_say {
            return;
        }
        let said = self.election.releases.get(&self.election.node);
        if self.election.said.release == 0 {
            let began_ms = self.context.time_of_day(self.started_at).max(1);
            let release = CURRENT_RELEASE;
            self.election.said = Release { release, began_ms };
            let before = said.map_or(0, |s| s.began_ms);
            let apart = Micros::from_millis(began_ms.saturating_sub(before));
            if before > 0 && apart < timing::CRASH_LOOP {
                tracing::warn!(
                    after_s = apart.secs(),
                    "this process keeps ending: others lead, if there are any"
                );
                self.election.leaves_lead = Some(now + timing::CRASH_LOOP_DEFERENCE);
            }
        }
        let lowered = self.cluster.limits.is_lowered() && !self.election.lowered;
        let mut changes = vec![];
        if said != Some(&self.election.said) {
            let key = format!("{}{}", keys::RELEASES, self.election.node);
            changes.push((key, to_value(&self.election.said)));
        }
        if lowered {
            changes.push((keys::LIMITS_LOWERED.to_string(), to_value(&true)));
        }
        if changes.is_empty() {
            return;
        }
        // The watch on the term brings it back, here as everywhere.
        self.election.next_say = now + SAY_AGAIN;
        let put = |(key, value)| Change::Put {
            key,
            value,
            lease: None,
        };
        let txn = Transaction {
            conditions: vec![],
            changes: changes.into_iter().map(put).collect(),
        };
        let continuation = Continuation::Election(ElectionContinuation::Say);
        self.context.store.push(
            Urgency::User,
            StoreRequest::Transaction(txn),
            continuation,
            Micros::from_millis(600),
        );
    }

    /// A controller that is heard and has not said that it runs this release.
    fn lagging(&self) -> Option<String> {
        let heard = |p: &&crate::settings::Peer| {
            let view = self.peers.get(&p.node);
            view.is_some_and(|v| self.context.now.since(v.last_contact) < LISTENS)
        };
        let peers = self.cluster.settings.peers.iter().filter(heard);
        let mut behind = peers.filter(|p| {
            self.election
                .releases
                .get(&p.node)
                .is_none_or(|r| r.release < RELEASE_DEPENDENCIES)
        });
        behind.next().map(|p| p.node.clone())
    }
}
