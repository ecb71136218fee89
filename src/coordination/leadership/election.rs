//! The election: the lease, taking the lead over when nobody has it, raising the own term, and
//! giving the lead up.

use super::super::book::Leader;
use super::super::store_queue::Urgency;
use super::super::{Core, Effect, Wait};
use super::{LeadWait, Role};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{to_value, Term};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Change, Condition, StoreAnswer, StoreRequest, Txn};
use crate::time::Micros;
use glenhaven_links::{Host, Sure};

/// A node that gave up the lead lets all others go first by this.
const AFTER_GIVING: Micros = Micros::from_millis(1500);
/// A node that others reach far more than takes over this much later for each of them.
const BEHIND: u64 = 60_000;

impl Core {
    /// A lease was asked for.
    pub(super) fn on_grant(&mut self, sent: Micros, answer: StoreAnswer) {
        let now = self.sh.now;
        self.lead.granting = false;
        if let StoreAnswer::Lease(lease) = answer {
            self.lead.lease = Some(lease);
            self.lead.lease_at = sent;
            self.lead.next_renew = sent + Micros(self.lead.ttl.0 / 3);
            self.take();
        } else {
            let pause = self.sh.jitter(Micros::from_millis(150));
            self.lead.elect_at = Some(now + pause);
        }
    }

    /// The lease was to be renewed.
    pub(super) fn on_renew(&mut self, sent: Micros, lease: u64, answer: StoreAnswer) {
        let now = self.sh.now;
        if self.lead.lease != Some(lease) {
            return;
        }
        match answer {
            StoreAnswer::Lease(_) | StoreAnswer::Committed { .. } => {
                self.lead.lease_at = self.lead.lease_at.max(sent);
                if self.lead.doubts_since.is_some_and(|at| sent >= at) {
                    self.lead.doubts_since = None;
                    self.take_early_reports();
                }
            }
            StoreAnswer::NoLease => {
                // Our lease ended. Nobody may have noticed: raising our
                // own term by compare-and-set settles it either way.
                self.lead.lease = None;
                if self.lead.role == Role::Leader {
                    self.lead.want_raise = true;
                }
            }
            _ => self.lead.next_renew = now + self.sh.jitter(Micros::from_millis(200)),
        }
    }

    pub(in crate::coordination) fn step_down(&mut self, why: &str) {
        if self.lead.role == Role::Leader {
            tracing::warn!(why, term = self.lead.term(), "no longer the leader");
        }
        self.lead.role = Role::Follower;
        self.lead.doubts_since = None;
        self.lead.lease = None;
        self.lead.want_raise = false;
        if let Some(leader) = self.leader.take() {
            leader.abandon(&mut self.sh);
        }
        self.set_rates();
    }

    /// Gives up the lead: this node stops first, then says so to the others and ends its
    /// lease, which they see by their watches. Lost on the way, the lease ends by itself.
    /// What it still has under way carries a term that the next leader's replaces.
    pub(in crate::coordination) fn give_up_lead(&mut self, to: Option<String>, why: &str) {
        let (lease, term) = (self.lead.lease, self.lead.term());
        self.step_down(why);
        self.lead.prefer(to.clone(), self.sh.now);
        for peer in &self.site.settings.peers {
            let message = PeerMessage::Yield {
                node: self.lead.node.clone(),
                term,
                to: to.clone(),
            };
            self.sh.out.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        if let Some(lease) = lease {
            let request = StoreRequest::Drop { lease };
            let wait = Wait::Lead(LeadWait::Care);
            self.sh
                .store
                .push(Urgency::Lead, request, wait, Micros::from_millis(600));
        }
    }

    /// Makes or renews the lease and starts a takeover when nobody leads.
    pub(in crate::coordination) fn tick_lead(&mut self) {
        let now = self.sh.now;
        if self.lead.role == Role::Leader {
            if let Some(lease) = self.lead.lease {
                // A lease that is renewed without anybody hearing of it keeps all others
                // from taking over. Answers are waited for by trying the link instead;
                // after an outage every lease has its full time again.
                if now >= self.lead.next_renew && self.carry.hears_state(now) {
                    self.lead.next_renew = now + Micros(self.lead.ttl.0 / 3);
                    let wait = Wait::Lead(LeadWait::Renew { sent: now, lease });
                    self.sh.store.push(
                        Urgency::Lead,
                        StoreRequest::Renew { lease },
                        wait,
                        Micros::from_millis(600),
                    );
                }
            }
            if self.lead.want_raise && !self.lead.taking {
                match self.lead.lease {
                    Some(_) => self.take(),
                    None => self.grant(),
                }
            }
            return;
        }
        if !self.lead.known || self.lead.terms_at == Micros::ZERO || self.lead.taking {
            return;
        }
        // An earlier life of this process led: nobody else will miss its lease.
        // One that keeps ending would take the lead again every time, for a moment: it lets
        // its old lease end, and then the others go first.
        let ends = self.lead.leaves_lead.is_some_and(|until| now < until);
        let own = self
            .lead
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.lead.node)
            && !self.lead.has_led
            && !ends;
        if self.lead.live.is_some() && !own {
            self.lead.elect_at = None;
            return;
        }
        // Whoever has the state service only by way of others leaves the lead to them.
        let host = Host::State;
        if self.carry.picture.own(&host, now) == Sure::Down && self.carry.picture.someone_reaches(&host, now) {
            self.lead.elect_at = None;
            return;
        }
        if self.site.catalogue.is_empty() && now.since(self.began) < Micros::from_secs(3.0) {
            return;
        }
        match self.lead.elect_at {
            None => {
                let pause = if own || self.lead.current.is_none() {
                    Micros(self.lead.index as u64 * 150_000)
                } else {
                    let rank = u64::from(self.carry.picture.rank(now));
                    let last = ends || self.gave_lately();
                    let given = if last { AFTER_GIVING } else { Micros::ZERO };
                    Micros(rank * BEHIND + self.sh.rng.u64(0..40_000)) + given + self.lead.deference(now)
                };
                self.lead.elect_at = Some(now + pause);
            }
            Some(at) if now >= at => match self.lead.lease {
                // A lease from an earlier try may be about to end.
                Some(_) if now.since(self.lead.lease_at) < Micros(self.lead.ttl.0 / 2) => self.take(),
                _ => self.grant(),
            },
            Some(_) => {}
        }
    }

    fn grant(&mut self) {
        if self.lead.granting {
            return;
        }
        self.lead.granting = true;
        self.lead.lease = None;
        let wait = Wait::Lead(LeadWait::Grant { sent: self.sh.now });
        let request = StoreRequest::Grant {
            ttl_ms: self.lead.ttl.0 / 1000,
        };
        self.sh
            .store
            .push(Urgency::Lead, request, wait, Micros::from_millis(500));
    }

    /// Compare-and-set on the term: from what is known here to one higher.
    pub(super) fn take(&mut self) {
        let Some(lease) = self.lead.lease else { return };
        if self.lead.taking {
            return;
        }
        // The lease was asked for when nobody led. A node that stood still
        // meanwhile would take the lead from the one that has taken over.
        if self.lead.is_led_by_other() {
            self.lead.elect_at = None;
            return;
        }
        self.lead.taking = true;
        self.lead.want_raise = false;
        let term = Term {
            term: self.lead.term() + 1,
            leader: self.lead.node.clone(),
            members: self.members(),
        };
        let txn = Txn {
            conditions: vec![
                self.lead.condition(),
                Condition {
                    key: keys::TERM_LIVE.into(),
                    version: self.lead.live.as_ref().map_or(0, |(_, v)| *v),
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
                    value: to_value(&self.lead.node),
                    lease: Some(lease),
                },
            ],
        };
        let wait = Wait::Lead(LeadWait::Take { term, lease });
        self.sh
            .store
            .push(Urgency::Lead, StoreRequest::Txn(txn), wait, Micros::from_millis(600));
    }

    pub(super) fn on_take(&mut self, term: Term, lease: u64, answer: StoreAnswer) {
        let now = self.sh.now;
        self.lead.taking = false;
        match answer {
            StoreAnswer::Committed { revision } => {
                if self.lead.current.as_ref().is_some_and(|(_, v)| *v > revision) {
                    // Overtaken before we heard of our success.
                    return;
                }
                let raised = self.lead.role == Role::Leader;
                tracing::info!(term = term.term, raised, revision, "leading");
                self.lead.current = Some((term, revision));
                self.lead.live = Some((self.lead.node.clone(), revision));
                self.lead.role = Role::Leader;
                self.lead.has_led = true;
                self.lead.elect_at = None;
                self.lead.lease = Some(lease);
                if raised {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.term_raised(self.lead.term());
                    }
                    // A compare-and-set from the own term: nobody led meanwhile.
                    if self.lead.doubts_since.take().is_some() {
                        self.take_early_reports();
                    }
                } else {
                    let incarnation = self.sh.id();
                    let mut leader = Leader::new(incarnation, self.lead.term(), now);
                    leader.day_ms = self.sh.day_ms;
                    self.leader = Some(leader);
                    self.prove_to_leader();
                    self.set_rates();
                }
            }
            StoreAnswer::NoLease | StoreAnswer::Malformed => {
                self.lead.lease = None;
                if self.lead.role == Role::Leader {
                    self.lead.want_raise = true;
                } else {
                    self.lead.elect_at = None;
                }
            }
            // Not executed, or lost to another, or unknown: the watch tells
            // which. A leader whose own raise is unknown reads the term anew,
            // since its success changes the condition of every write.
            other => {
                if self.lead.role == Role::Leader {
                    if matches!(other, StoreAnswer::Refused) {
                        self.lead.want_raise = true;
                    } else {
                        self.step_down("a raise of the term is in doubt");
                    }
                }
                self.lead.elect_at = Some(now + self.sh.jitter(Micros::from_millis(150)));
            }
        }
    }
}
