//! This controller's share of the rates that the state service accepts.
//!
//! Called by the controller when its role changes, when it announces itself, and for each answer
//! of the state service. It sets the rates of the store queue; it never holds back a request
//! itself. All controllers' shares of changes together stay below the limit.

use super::election::Role;
use super::peers::PeerStatus;
use super::store_queue::Growth;
use super::Controller;
use crate::protocol::store::StoreResponse;
use crate::time::Micros;

/// So many changes refused within `LIMITED_WITHIN`, although all controllers together make fewer
/// than the present limit allows, show that a lower limit applies.
const LIMITED: usize = 3;
const LIMITED_WITHIN: Micros = Micros::from_millis(4000);
/// A controller not heard from for longer than this counts as wanting an even share.
const WANTS_KNOWN: Micros = Micros::from_millis(2500);

impl Controller {
    /// Sets what this controller may always ask of the state service, and what it may grow to while
    /// the service refuses nothing: users come to the controllers unevenly.
    ///
    /// Changes of all controllers together stay below the limit. At the limit, the service would
    /// accept the job submissions, one change each, and refuse the leader's larger transactions
    /// again and again.
    pub(super) fn set_rates(&mut self) {
        let all_requests = self.cluster.limits.requests_per_s();
        let all_changes = self.cluster.limits.changes_per_s();
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let (requests, changes) = if self.leader.is_some() {
            (
                Growth {
                    least: all_requests * 0.4,
                    most: all_requests * 0.6,
                },
                Growth {
                    least: all_changes * 0.45,
                    most: all_changes * 0.45,
                },
            )
        } else {
            // With two controllers, the even share of the one that doesn't lead is more than what
            // one of many may grow to.
            let even = all_requests * 0.55 / others;
            (
                Growth {
                    least: even,
                    most: even.max(all_requests * 0.3),
                },
                Growth {
                    least: all_changes * 0.35 / others,
                    most: all_changes * 0.5 / others,
                },
            )
        };
        self.context.store.set_rates(requests, changes, self.context.now);
    }

    /// Sets this controller's share of the changes that the state service accepts, by what each
    /// controller said it wants; returns how many changes a second this one wants.
    ///
    /// Users come to the controllers unevenly, and the leader does not always need its share.
    pub(super) fn update_change_share(&mut self) -> f64 {
        let now = self.context.now;
        let own = self.context.store.wants(now);
        let share = self.change_share(own);
        self.context.store.set_write_rate(share, now);
        own
    }

    /// This controller's share of the changes, in changes a second, if it wants `own`.
    fn change_share(&self, own: f64) -> f64 {
        let now = self.context.now;
        let all = self.cluster.limits.changes_used();
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let even = all * 0.5 / others;
        let is_known = |peer: &&PeerStatus| now.since(peer.last_contact) < WANTS_KNOWN;
        let peers = &self.cluster.settings.peers;
        let known: Vec<&PeerStatus> = peers
            .iter()
            .filter_map(|p| self.peers.get(&p.node))
            .filter(is_known)
            .collect();
        let unknown = (peers.len() - known.len()) as f64;
        // The leader's transactions are large and come in bursts.
        let leader_share = |wanted: f64| (wanted * 1.5 + 2.0).clamp(all * 0.3, all * 0.6);
        if self.election.role() == Role::Leader {
            return leader_share(own);
        }
        let leader = known.iter().find(|peer| peer.leads);
        let for_leader = leader.map_or(all * 0.5, |peer| leader_share(peer.wanted_changes_per_s));
        let rest = all - for_leader;
        let wanted_by_others = known
            .iter()
            .filter(|peer| !peer.leads)
            .map(|peer| peer.wanted_changes_per_s);
        let demand: f64 = wanted_by_others.sum::<f64>() + own + unknown * even;
        // A part of the share is even, so that a sudden need is met before others learn of it.
        let by_demand = if demand > 0.01 { own / demand } else { 1.0 / others };
        rest * (0.4 / others + 0.6 * by_demand)
    }

    /// Counts a change refused because there are too many. Several in a short time show that the
    /// lower limits apply. Returns the answer as the rest of the controller sees it.
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
