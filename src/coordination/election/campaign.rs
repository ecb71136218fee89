//! The election: the lease, taking the lead over when nobody has it, raising the own term, and
//! giving the lead up.

use super::super::state::LeaderState;
use super::super::store_queue::Urgency;
use super::super::{Continuation, Controller, Effect};
use super::{ElectionContinuation, Role};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::keys;
use crate::storage::records::{to_value, Term};
use crate::time::Micros;
use glenhaven_connectivity::{Host, LinkState};

/// A node that gave up the lead lets all others go first by this.
const AFTER_GIVING: Micros = Micros::from_millis(1500);
/// A node that others reach far more than takes over this much later for each of them.
const BEHIND: u64 = 60_000;

impl Controller {
    /// A lease was asked for.
    pub(super) fn on_grant(&mut self, sent: Micros, answer: StoreResponse) {
        let now = self.context.now;
        self.election.granting = false;
        if let StoreResponse::Lease(lease) = answer {
            self.election.lease = Some(lease);
            self.election.lease_at = sent;
            self.election.next_renew = sent + Micros(self.election.ttl.0 / 3);
            self.take();
        } else {
            let pause = self.context.jitter(Micros::from_millis(150));
            self.election.elect_at = Some(now + pause);
        }
    }

    /// The lease was to be renewed.
    pub(super) fn on_renew(&mut self, sent: Micros, lease: u64, answer: StoreResponse) {
        let now = self.context.now;
        if self.election.lease != Some(lease) {
            return;
        }
        match answer {
            StoreResponse::Lease(_) | StoreResponse::Committed { .. } => {
                self.election.lease_at = self.election.lease_at.max(sent);
                if self.election.doubts_since.is_some_and(|at| sent >= at) {
                    self.election.doubts_since = None;
                    self.take_early_reports();
                }
            }
            StoreResponse::NoLease => {
                // Our lease ended. Nobody may have noticed: raising our
                // own term by compare-and-set settles it either way.
                self.election.lease = None;
                if self.election.role == Role::Leader {
                    self.election.want_raise = true;
                }
            }
            _ => self.election.next_renew = now + self.context.jitter(Micros::from_millis(200)),
        }
    }

    pub(in crate::coordination) fn step_down(&mut self, why: &str) {
        if self.election.role == Role::Leader {
            tracing::warn!(why, term = self.election.term(), "no longer the leader");
        }
        self.election.role = Role::Follower;
        self.election.doubts_since = None;
        self.election.lease = None;
        self.election.want_raise = false;
        if let Some(leader) = self.leader.take() {
            leader.abandon(&mut self.context);
        }
        self.set_rates();
    }

    /// Gives up the lead: this node stops first, then says so to the others and ends its
    /// lease, which they see by their watches. Lost on the way, the lease ends by itself.
    /// What it still has under way carries a term that the next leader's replaces.
    pub(in crate::coordination) fn give_up_lead(&mut self, to: Option<String>, why: &str) {
        let (lease, term) = (self.election.lease, self.election.term());
        self.step_down(why);
        self.election.prefer(to.clone(), self.context.now);
        for peer in &self.cluster.settings.peers {
            let message = PeerMessage::TransferLeadership {
                node: self.election.node.clone(),
                term,
                to: to.clone(),
            };
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        if let Some(lease) = lease {
            let request = StoreRequest::Drop { lease };
            let continuation = Continuation::Election(ElectionContinuation::Care);
            self.context
                .store
                .push(Urgency::Lead, request, continuation, Micros::from_millis(600));
        }
    }

    /// Makes or renews the lease and starts a takeover when nobody leads.
    pub(in crate::coordination) fn run_election(&mut self) {
        let now = self.context.now;
        if self.election.role == Role::Leader {
            if let Some(lease) = self.election.lease {
                // A lease that is renewed without anybody hearing of it keeps all others
                // from taking over. Answers are waited for by trying the link instead;
                // after an outage every lease has its full time again.
                if now >= self.election.next_renew && self.forwarder.receives_store_answers(now) {
                    self.election.next_renew = now + Micros(self.election.ttl.0 / 3);
                    let continuation = Continuation::Election(ElectionContinuation::Renew { sent: now, lease });
                    self.context.store.push(
                        Urgency::Lead,
                        StoreRequest::Renew { lease },
                        continuation,
                        Micros::from_millis(600),
                    );
                }
            }
            if self.election.want_raise && !self.election.taking {
                match self.election.lease {
                    Some(_) => self.take(),
                    None => self.grant(),
                }
            }
            return;
        }
        if !self.election.known || self.election.terms_at == Micros::ZERO || self.election.taking {
            return;
        }
        // An earlier life of this process led: nobody else will miss its lease.
        // One that keeps ending would take the lead again every time, for a moment: it lets
        // its old lease end, and then the others go first.
        let ends = self.election.leaves_lead.is_some_and(|until| now < until);
        let own = self
            .election
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.election.node)
            && !self.election.has_led
            && !ends;
        if self.election.live.is_some() && !own {
            self.election.elect_at = None;
            return;
        }
        // Whoever has the state service only by way of others leaves the lead to them.
        let host = Host::State;
        if self.forwarder.link_table.own_link(&host, now) == LinkState::Down
            && self.forwarder.link_table.is_reached_by_any(&host, now)
        {
            self.election.elect_at = None;
            return;
        }
        if self.cluster.catalogue.is_empty() && now.since(self.started_at) < Micros::from_secs(3.0) {
            return;
        }
        match self.election.elect_at {
            None => {
                let pause = if own || self.election.current.is_none() {
                    Micros(self.election.index as u64 * 150_000)
                } else {
                    let rank = u64::from(self.forwarder.link_table.rank(now));
                    let last = ends || self.gave_up_lead_recently();
                    let given = if last { AFTER_GIVING } else { Micros::ZERO };
                    Micros(rank * BEHIND + self.context.rng.u64(0..40_000)) + given + self.election.deference(now)
                };
                self.election.elect_at = Some(now + pause);
            }
            Some(at) if now >= at => match self.election.lease {
                // A lease from an earlier try may be about to end.
                Some(_) if now.since(self.election.lease_at) < Micros(self.election.ttl.0 / 2) => self.take(),
                _ => self.grant(),
            },
            Some(_) => {}
        }
    }

    fn grant(&mut self) {
        if self.election.granting {
            return;
        }
        self.election.granting = true;
        self.election.lease = None;
        let continuation = Continuation::Election(ElectionContinuation::Grant { sent: self.context.now });
        let request = StoreRequest::Grant {
            ttl_ms: self.election.ttl.0 / 1000,
        };
        self.context
            .store
            .push(Urgency::Lead, request, continuation, Micros::from_millis(500));
    }

    /// Compare-and-set on the term: from what is known here to one higher.
    pub(super) fn take(&mut self) {
        let Some(lease) = self.election.lease else { return };
        if self.election.taking {
            return;
        }
        // The lease was asked for when nobody led. A node that stood still
        // meanwhile would take the lead from the one that has taken over.
        if self.election.is_led_by_other() {
            self.election.elect_at = None;
            return;
        }
        self.election.taking = true;
        self.election.want_raise = false;
        let term = Term {
            term: self.election.term() + 1,
            leader: self.election.node.clone(),
            members: self.members(),
        };
        let txn = Transaction {
            conditions: vec![
                self.election.condition(),
                Condition {
                    key: keys::TERM_LIVE.into(),
                    version: self.election.live.as_ref().map_or(0, |(_, v)| *v),
                },
            ],
            changes: vec![
                Change::Put {
                    key: keys::TERM.into(),
                    value: to_value(&term),
                    lease: None,
                },
                Change::Put {
                    key: keys::TERM_LIVE.into(),
                    value: to_value(&self.election.node),
                    lease: Some(lease),
                },
            ],
        };
        let continuation = Continuation::Election(ElectionContinuation::Take { term, lease });
        self.context.store.push(
            Urgency::Lead,
            StoreRequest::Transaction(txn),
            continuation,
            Micros::from_millis(600),
        );
    }

    pub(super) fn on_take(&mut self, term: Term, lease: u64, answer: StoreResponse) {
        let now = self.context.now;
        self.election.taking = false;
        match answer {
            StoreResponse::Committed { revision } => {
                if self.election.current.as_ref().is_some_and(|(_, v)| *v > revision) {
                    // Overtaken before we heard of our success.
                    return;
                }
                let raised = self.election.role == Role::Leader;
                tracing::info!(term = term.term, raised, revision, "leading");
                self.election.current = Some((term, revision));
                self.election.live = Some((self.election.node.clone(), revision));
                self.election.role = Role::Leader;
                self.election.has_led = true;
                self.election.elect_at = None;
                self.election.lease = Some(lease);
                if raised {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.term_raised(self.election.term());
                    }
                    // A compare-and-set from the own term: nobody led meanwhile.
                    if self.election.doubts_since.take().is_some() {
                        self.take_early_reports();
                    }
                } else {
                    let incarnation = self.context.id();
                    let mut leader = LeaderState::new(incarnation, self.election.term(), now);
                    leader.clock_origin_ms = self.context.clock_origin_ms;
                    self.leader = Some(leader);
                    self.prove_to_leader();
                    self.set_rates();
                }
            }
            StoreResponse::NoLease | StoreResponse::Malformed => {
                self.election.lease = None;
                if self.election.role == Role::Leader {
                    self.election.want_raise = true;
                } else {
                    self.election.elect_at = None;
                }
            }
            // Not executed, or lost to another, or unknown: the watch tells
            // which. A leader whose own raise is unknown reads the term anew,
            // since its success changes the condition of every write.
            other => {
                if self.election.role == Role::Leader {
                    if matches!(other, StoreResponse::Refused) {
                        self.election.want_raise = true;
                    } else {
                        self.step_down("a raise of the term is in doubt");
                    }
                }
                self.election.elect_at = Some(now + self.context.jitter(Micros::from_millis(150)));
            }
        }
    }
}
