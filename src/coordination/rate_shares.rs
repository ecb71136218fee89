//! This controller's share of what the state service takes.

use super::election::Role;
use super::{Controller, PeerStatus};
use crate::protocol::store::StoreResponse;
use crate::time::Micros;

/// So many changes refused within this time, though all controllers together make fewer
/// than the present limit allows, show that a lower one holds.
const LIMITED: usize = 3;
const LIMITED_WITHIN: Micros = Micros::from_millis(4000);

impl Controller {
    /// What this node may always ask of the state service, and what it may ask
    /// while the service refuses nothing: users come to the nodes unevenly.
    /// Changes of all nodes together stay below the limit. At the limit, the
    /// service would take the acceptances, one change each, and refuse the
    /// leader's larger transactions time and again.
    pub(super) fn set_rates(&mut self) {
        let (all_rps, all_writes) = (
            self.cluster.limits.requests_per_s(),
            self.cluster.limits.changes_per_s(),
        );
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let (rps, writes) = if self.leader.is_some() {
            ((all_rps * 0.4, all_rps * 0.6), (all_writes * 0.45, all_writes * 0.45))
        } else {
            // Of two controllers the one that doesn't lead has an even part that is more than
            // what many may grow to.
            let even = all_rps * 0.55 / others;
            (
                (even, even.max(all_rps * 0.3)),
                (all_writes * 0.35 / others, all_writes * 0.5 / others),
            )
        };
        self.context.store.set_rates(rps, writes, self.context.now);
    }

    /// Sets this node's share of the changes that the state service takes, by what
    /// each node said it wants; returns what this one wants. Users come to the
    /// nodes unevenly, and the leader does not always need its part. A node that
    /// is not heard counts as wanting an even part.
    pub(super) fn update_change_share(&mut self) -> f64 {
        let now = self.context.now;
        let own = self.context.store.wants(now);
        let all = self.cluster.limits.changes_used();
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let even = all * 0.5 / others;
        let heard = |p: &&PeerStatus| now.since(p.last_contact) < Micros::from_secs(2.5);
        let peers = &self.cluster.settings.peers;
        let views: Vec<&PeerStatus> = peers
            .iter()
            .filter_map(|p| self.peers.get(&p.node))
            .filter(heard)
            .collect();
        let unheard = (peers.len() - views.len()) as f64;
        let leads = self.election.role() == Role::Leader;
        // The leader's transactions are large and come in bursts.
        let for_leader = |wants: f64| (wants * 1.5 + 2.0).clamp(all * 0.3, all * 0.6);
        let share = if leads {
            for_leader(own)
        } else {
            let leader = views
                .iter()
                .find(|p| p.leads)
                .map_or(all * 0.5, |p| for_leader(p.wanted_changes_per_s));
            let rest = all - leader;
            let demand: f64 = views
                .iter()
                .filter(|p| !p.leads)
                .map(|p| p.wanted_changes_per_s)
                .sum::<f64>()
                + own
                + unheard * even;
            // A part is even, so that a sudden need is met while it is told.
            let by_demand = if demand > 0.01 { own / demand } else { 1.0 / others };
            rest * (0.4 / others + 0.6 * by_demand)
        };
        self.context.store.set_write_rate(share, now);
        own
    }

    /// A change was refused because there are too many of them. More than now and then, this
    /// means that the lower limits hold.
    pub(super) fn note_limits(&mut self, answer: StoreResponse) -> StoreResponse {
        if answer != StoreResponse::Limited {
            return answer;
        }
        let now = self.context.now;
        self.limited_at.push_back(now);
        while self
            .limited_at
            .front()
            .is_some_and(|at| now.since(*at) > LIMITED_WITHIN)
        {
            self.limited_at.pop_front();
        }
        if self.limited_at.len() >= LIMITED && self.cluster.limits.lower() {
            tracing::warn!(
                changes_per_s = self.cluster.limits.changes_per_s(),
                "changes are refused: the lower limits of the state service hold"
            );
            self.set_rates();
        }
        StoreResponse::Refused
    }
}
