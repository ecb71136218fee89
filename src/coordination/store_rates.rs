//! This controller's share of the rates that the state service accepts.
//!
//! Called by the controller when its role changes, when it announces itself, and for each answer
//! of the state service. This module sets the rates of the store queue; it never holds back a
//! request itself.
//!
//! Invariant: the shares of changes of all controllers together stay below the limit.

use super::election::Role;
use super::peers::PeerStatus;
use super::store_queue::RateBounds;
use super::Controller;
use crate::protocol::store::StoreResponse;
use crate::time::Micros;

/// The number of refused changes within `LIMIT_REFUSAL_WINDOW` that shows that a lower limit
/// applies, since all controllers together make fewer changes than the present limit allows.
const LIMIT_REFUSALS: usize = 3;
/// The time span in which refused changes are counted.
const LIMIT_REFUSAL_WINDOW: Micros = Micros::from_millis(4000);
/// A controller without a message for longer than this counts as wanting an even share.
const DEMAND_MAX_AGE: Micros = Micros::from_millis(2500);

impl Controller {
    /// Sets the rates that this controller may always use, and those that it may grow to while the
    /// state service refuses nothing. The rates may grow because users are distributed unevenly over
    /// the controllers.
    ///
    /// The changes of all controllers together stay below the limit. At the limit, the service would
    /// accept the job submissions, one change each, and repeatedly refuse the leader's larger
    /// transactions.
    pub(super) fn set_rates(&mut self) {
        let all_requests = self.cluster.limits.requests_per_s();
        let all_changes = self.cluster.limits.changes_per_s();
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let (requests, changes) = if self.leader.is_some() {
            (
                RateBounds {
                    min: all_requests * 0.4,
                    max: all_requests * 0.6,
                },
                RateBounds {
                    min: all_changes * 0.45,
                    max: all_changes * 0.45,
                },
            )
        } else {
            // With only two controllers, the even share of the follower exceeds the 30 % that
            // otherwise bounds the growth, so the even share is the bound.
            let even = all_requests * 0.55 / others;
            (
                RateBounds {
                    min: even,
                    max: even.max(all_requests * 0.3),
                },
                RateBounds {
                    min: all_changes * 0.35 / others,
                    max: all_changes * 0.5 / others,
                },
            )
        };
        self.context.store.set_rates(requests, changes, self.context.now);
    }

    /// Sets this controller's share of the changes that the state service accepts, according to the
    /// demand that each controller has announced. Returns this controller's demand, in changes a
    /// second.
    ///
    /// The share follows the demand because users are distributed unevenly over the controllers, and
    /// because the leader does not always need its share.
    pub(super) fn update_change_share(&mut self) -> f64 {
        let now = self.context.now;
        let own = self.context.store.change_demand(now);
        let share = self.change_share(own);
        self.context.store.set_write_rate(share, now);
        own
    }

    /// This controller's share of the changes for a demand of `own`, both in changes a second.
    fn change_share(&self, own: f64) -> f64 {
        let now = self.context.now;
        let all = self.cluster.limits.usable_changes_per_s();
        let others = (self.cluster.nodes() - 1).max(1) as f64;
        let even = all * 0.5 / others;
        let is_known = |peer: &&PeerStatus| now.since(peer.last_contact) < DEMAND_MAX_AGE;
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
        // A part of the share is even, so that a sudden demand is met before the other controllers
        // receive its announcement.
        let by_demand = if demand > 0.01 { own / demand } else { 1.0 / others };
        rest * (0.4 / others + 0.6 * by_demand)
    }

    /// Counts a request that the state service refused because of its limit on changes; several such
    /// refusals in a short time show that the lower limits apply. Returns the answer for the rest of
    /// the controller, which handles such a refusal like any other.
    pub(super) fn record_limit_refusal(&mut self, answer: StoreResponse) -> StoreResponse {
        if answer != StoreResponse::Limited {
            return answer;
        }
        let now = self.context.now;
        self.limited_at.push_back(now);
        while self
            .limited_at
            .front()
            .is_some_and(|at| now.since(*at) > LIMIT_REFUSAL_WINDOW)
        {
            self.limited_at.pop_front();
        }
        if self.limited_at.len() >= LIMIT_REFUSALS && self.cluster.limits.apply_announced() {
            tracing::warn!(
                changes_per_s = self.cluster.limits.changes_per_s(),
                "changes are refused: the lower limits of the state service apply"
            );
            self.set_rates();
        }
        StoreResponse::Refused
    }
}
