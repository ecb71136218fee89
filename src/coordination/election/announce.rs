//! The announcements that this node publishes to all others in the state service: the release that
//! it runs, and that the lower limits of the service apply.
//!
//! The watch on the term's keys returns the announcements of all nodes, including this node's own.
//! An announcement is repeated until the watch has returned it.

use super::super::store_queue::Urgency;
use super::super::{timing, Continuation, Controller};
use super::ElectionContinuation;
use crate::protocol::store::{Change, StoreRequest, Transaction};
use crate::storage::keys;
use crate::storage::records::{to_value, Release, CURRENT_RELEASE, RELEASE_DEPENDENCIES};
use crate::time::Micros;

/// Interval after which an announcement that the watch has not returned is repeated.
const ANNOUNCE_REPEAT_INTERVAL: Micros = Micros::from_millis(3000);
/// How long after its last message a peer is considered running.
const PEER_ALIVE_TIMEOUT: Micros = Micros::from_millis(2500);
/// Timeout of the write of an announcement.
const ANNOUNCE_TIMEOUT: Micros = Micros::from_millis(600);

impl Controller {
    /// Applies the announcements that were read, and publishes this node's own if they are due.
    pub(in crate::coordination) fn run_announcements(&mut self) {
        let now = self.context.now;
        self.apply_lower_limits();
        self.update_outdated_peer();
        if !self.election.initialized || now < self.election.next_announcement_at {
            return;
        }
        if self.election.own_release.release == 0 {
            self.set_own_release();
        }
        let changes = self.due_announcements();
        if !changes.is_empty() {
            self.election.next_announcement_at = now + ANNOUNCE_REPEAT_INTERVAL;
            self.announce(changes);
        }
    }

    /// Applies the lower limits of the state service once a node has announced them.
    fn apply_lower_limits(&mut self) {
        let limits = &mut self.cluster.limits;
        if self.election.limits_lowered && limits.apply_announced() {
            tracing::warn!(
                changes_per_s = limits.changes_per_s(),
                "the lower limits of the state service apply"
            );
            self.set_rates();
        }
    }

    /// Updates which running peer has a release without job dependencies, if any.
    fn update_outdated_peer(&mut self) {
        let outdated = self.find_outdated_peer();
        if outdated == self.cluster.outdated_peer {
            return;
        }
        match &outdated {
            Some(node) => tracing::info!(
                node,
                "a controller runs a release without job dependencies: jobs with dependencies wait"
            ),
            None => tracing::info!("all running controllers support job dependencies"),
        }
        self.cluster.outdated_peer = outdated;
    }

    /// Sets the release that this process incarnation announces.
    ///
    /// If the previous incarnation of this node started only a short time ago, the process is
    /// restarting repeatedly, and this node yields to other nodes in elections for a while.
    fn set_own_release(&mut self) {
        let began_ms = self.context.time_of_day(self.started_at).max(1);
        let election = &mut self.election;
        let earlier = election.releases.get(&election.node);
        let earlier_began_ms = earlier.map_or(0, |release| release.began_ms);
        election.own_release = Release {
            release: CURRENT_RELEASE,
            began_ms,
        };
        let elapsed = Micros::from_millis(began_ms.saturating_sub(earlier_began_ms));
        if earlier_began_ms > 0 && elapsed < timing::CRASH_LOOP_WINDOW {
            tracing::warn!(
                after_s = elapsed.secs(),
                "this process restarts repeatedly: it yields to other controllers in elections"
            );
            election.yields_until = Some(self.context.now + timing::CRASH_LOOP_DEFERENCE);
        }
    }

    /// Returns the announcements of this node that the state service does not have yet.
    fn due_announcements(&self) -> Vec<Change> {
        let election = &self.election;
        let put = |key: String, value| Change::Put {
            key,
            value,
            lease: None,
        };
        let mut changes = vec![];
        if election.releases.get(&election.node) != Some(&election.own_release) {
            let key = format!("{}{}", keys::RELEASES, election.node);
            changes.push(put(key, to_value(&election.own_release)));
        }
        if self.cluster.limits.is_lowered() && !election.limits_lowered {
            changes.push(put(keys::LIMITS_LOWERED.to_string(), to_value(&true)));
        }
        changes
    }

    fn announce(&mut self, changes: Vec<Change>) {
        let txn = Transaction {
            conditions: vec![],
            changes,
        };
        let continuation = Continuation::Election(ElectionContinuation::Announce);
        self.context.store.push(
            Urgency::User,
            StoreRequest::Transaction(txn),
            continuation,
            ANNOUNCE_TIMEOUT,
        );
    }

    /// Returns a running peer that has not announced a release with job dependencies.
    fn find_outdated_peer(&self) -> Option<String> {
        let is_alive = |p: &&crate::settings::Peer| {
            let view = self.peers.get(&p.node);
            view.is_some_and(|v| self.context.now.since(v.last_contact) < PEER_ALIVE_TIMEOUT)
        };
        let peers = self.cluster.settings.peers.iter().filter(is_alive);
        let mut outdated = peers.filter(|p| {
            let release = self.election.releases.get(&p.node);
            release.is_none_or(|r| r.release < RELEASE_DEPENDENCIES)
        });
        outdated.next().map(|p| p.node.clone())
    }
}
