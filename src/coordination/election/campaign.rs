//! The campaign for leadership: requesting and renewing the lease, taking over when there is no
//! leader, raising the term of a leader, and stepping down.
//!
//! Invariant: the key `term` is changed only by a compare-and-set on the version that this node has
//! read or written, so that at most one node leads in each term.

use super::super::state::LeaderState;
use super::super::store_queue::Urgency;
use super::super::{Continuation, Controller, Effect};
use super::{ElectionContinuation, Role, StepDownReason, Versioned};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::keys;
use crate::storage::records::{to_value, Term};
use crate::time::Micros;
use glenhaven_connectivity::{Host, LinkState};

/// Additional delay of a node that recently gave up the leadership or that restarts repeatedly.
const YIELD_DELAY: Micros = Micros::from_millis(1500);
/// Additional delay of a node for each peer that is better connected.
const DELAY_PER_RANK: Micros = Micros::from_millis(60);
/// Delay of a node for each node whose name sorts before its own, if there is no term yet or the
/// node led before its restart.
const DELAY_PER_INDEX: Micros = Micros::from_millis(150);
/// Random part of the delay before a takeover.
const CAMPAIGN_JITTER: Micros = Micros::from_millis(40);
/// How long after its start a node without the catalogue of machine types waits for the catalogue
/// before a takeover.
const CATALOGUE_WAIT_S: f64 = 3.0;
/// Pause before the next attempt to take over after a failed one.
const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// Pause before the next renewal of the lease after a failed one.
const RENEWAL_RETRY_PAUSE: Micros = Micros::from_millis(200);
/// Timeout of the request for a lease.
const GRANT_TIMEOUT: Micros = Micros::from_millis(500);
/// Timeout of any other write.
const WRITE_TIMEOUT: Micros = Micros::from_millis(600);

impl Controller {
    /// Handles the answer to the request for a lease that was sent at `sent`.
    pub(super) fn on_lease_granted(&mut self, sent: Micros, answer: StoreResponse) {
        let now = self.context.now;
        self.election.lease_requested = false;
        if let StoreResponse::Lease(lease) = answer {
            self.election.lease = Some(lease);
            self.election.lease_renewed_at = sent;
            self.election.next_renewal_at = sent + Micros(self.election.lease_ttl.0 / 3);
            self.write_term();
        } else {
            let pause = self.context.jitter(RETRY_PAUSE);
            self.election.campaign_at = Some(now + pause);
        }
    }

    /// Handles the answer to a renewal of the lease that was sent at `sent`.
    pub(super) fn on_lease_renewed(&mut self, sent: Micros, lease: u64, answer: StoreResponse) {
        let now = self.context.now;
        if self.election.lease != Some(lease) {
            return;
        }
        match answer {
            StoreResponse::Lease(_) | StoreResponse::Committed { .. } => {
                self.election.lease_renewed_at = self.election.lease_renewed_at.max(sent);
                if self.election.lease_unverified_since.is_some_and(|at| sent >= at) {
                    self.election.lease_unverified_since = None;
                    self.answer_early_heartbeats();
                }
            }
            StoreResponse::NoLease => {
                // The lease has ended, but perhaps no other node has taken over yet. Raising the
                // term by compare-and-set shows whether this node still leads.
                self.election.lease = None;
                if self.election.role == Role::Leader {
                    self.election.raise_pending = true;
                }
            }
            _ => self.election.next_renewal_at = now + self.context.jitter(RENEWAL_RETRY_PAUSE),
        }
    }

    /// Ends the leadership of this node, if it leads, and drops the leader's state.
    pub(in crate::coordination) fn step_down(&mut self, reason: StepDownReason) {
        if self.election.role == Role::Leader {
            let why = reason.as_str();
            tracing::warn!(why, term = self.election.term(), "no longer the leader");
        }
        self.election.role = Role::Follower;
        self.election.lease_unverified_since = None;
        self.election.lease = None;
        self.election.raise_pending = false;
        if let Some(leader) = self.leader.take() {
            leader.abandon(&mut self.context);
        }
        self.set_rates();
    }

    /// Transfers the leadership: this node first steps down, then notifies its peers and drops its
    /// lease.
    ///
    /// The peers observe the drop through their watches. If the request to drop the lease is lost,
    /// the lease expires. Requests that are still in flight have a term that the next leader's term
    /// replaces.
    pub(in crate::coordination) fn give_up_leadership(&mut self, successor: Option<String>, reason: StepDownReason) {
        let (lease, term) = (self.election.lease, self.election.term());
        self.step_down(reason);
        self.election.prefer_successor(successor.clone(), self.context.now);
        for peer in &self.cluster.settings.peers {
            let message = PeerMessage::TransferLeadership {
                node: self.election.node.clone(),
                term,
                to: successor.clone(),
            };
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        if let Some(lease) = lease {
            self.send_election_request(
                StoreRequest::Drop { lease },
                ElectionContinuation::Unacknowledged,
                WRITE_TIMEOUT,
            );
        }
    }

    /// Renews the lease and raises the term if this node is the leader; advances a takeover if it
    /// is a follower and there is no leader.
    pub(in crate::coordination) fn run_election(&mut self) {
        if self.election.role == Role::Leader {
            self.renew_lease();
            self.raise_term();
        } else {
            self.campaign();
        }
    }

    /// Renews the leader's lease when a renewal is due.
    ///
    /// The lease is not renewed while no answers of the state service arrive: if requests arrived
    /// but answers were lost, the renewed lease would prevent all other nodes from taking over.
    /// The forwarder probes the link during this time, and after an outage every lease has its full
    /// duration again.
    fn renew_lease(&mut self) {
        let now = self.context.now;
        let Some(lease) = self.election.lease else { return };
        if now >= self.election.next_renewal_at && self.forwarder.receives_store_answers(now) {
            self.election.next_renewal_at = now + Micros(self.election.lease_ttl.0 / 3);
            self.send_election_request(
                StoreRequest::Renew { lease },
                ElectionContinuation::RenewLease { sent: now, lease },
                WRITE_TIMEOUT,
            );
        }
    }

    /// Raises the leader's term if a raise is pending; requests a new lease first if there is none.
    fn raise_term(&mut self) {
        if self.election.raise_pending && !self.election.writing_term {
            match self.election.lease {
                Some(_) => self.write_term(),
                None => self.request_lease(),
            }
        }
    }

    /// Advances the takeover of a follower: waits for the node's delay, then requests a lease and
    /// writes the term with it.
    fn campaign(&mut self) {
        let now = self.context.now;
        let election = &self.election;
        if !election.initialized || election.term_verified_at == Micros::ZERO || election.writing_term {
            return;
        }
        let keeps_restarting = election.yields_until.is_some_and(|until| now < until);
        let resumes_lead = election.led_before_restart() && !keeps_restarting;
        let has_leader = election.live_leader.is_some() && !resumes_lead;
        if has_leader || self.has_only_forwarded_store(now) {
            self.election.campaign_at = None;
            return;
        }
        if self.cluster.catalogue.is_empty() && now.since(self.started_at) < Micros::from_secs(CATALOGUE_WAIT_S) {
            return;
        }
        match self.election.campaign_at {
            None => {
                let delay = self.campaign_delay(resumes_lead, keeps_restarting, now);
                self.election.campaign_at = Some(now + delay);
            }
            Some(at) if now >= at => match self.election.lease {
                // The lease of an earlier attempt is used only in the first half of its duration,
                // because it could expire too soon otherwise.
                Some(_) if now.since(self.election.lease_renewed_at) < Micros(self.election.lease_ttl.0 / 2) => {
                    self.write_term()
                }
                _ => self.request_lease(),
            },
            Some(_) => {}
        }
    }

    /// Returns whether this node reaches the state service only through peers, in which case it
    /// leaves the leadership to them.
    fn has_only_forwarded_store(&self, now: Micros) -> bool {
        let host = Host::State;
        let link_table = &self.forwarder.link_table;
        link_table.own_link(&host, now) == LinkState::Down && link_table.is_reached_by_any(&host, now)
    }

    /// Returns the delay before this node takes over, which is shortest on the best candidate.
    fn campaign_delay(&mut self, resumes_lead: bool, keeps_restarting: bool, now: Micros) -> Micros {
        if resumes_lead || self.election.current.is_none() {
            return Micros(self.election.index as u64 * DELAY_PER_INDEX.0);
        }
        let rank = u64::from(self.forwarder.link_table.rank(now));
        let yields = keeps_restarting || self.gave_up_leadership_recently();
        let penalty = if yields { YIELD_DELAY } else { Micros::ZERO };
        let jitter = self.context.rng.u64(0..CAMPAIGN_JITTER.0);
        Micros(rank * DELAY_PER_RANK.0 + jitter) + penalty + self.election.successor_delay(now)
    }

    /// Requests a lease, unless a request for one is in flight.
    fn request_lease(&mut self) {
        if self.election.lease_requested {
            return;
        }
        self.election.lease_requested = true;
        self.election.lease = None;
        let request = StoreRequest::Grant {
            ttl_ms: self.election.lease_ttl.0 / 1000,
        };
        let continuation = ElectionContinuation::GrantLease { sent: self.context.now };
        self.send_election_request(request, continuation, GRANT_TIMEOUT);
    }

    /// Sends the compare-and-set that raises the term by one and names this node as its leader.
    pub(super) fn write_term(&mut self) {
        let Some(lease) = self.election.lease else { return };
        if self.election.writing_term {
            return;
        }
        // The lease was requested when there was no leader. If another node has taken over since
        // then, during a pause of this process, this write would depose that node.
        if self.election.is_led_by_other() {
            self.election.campaign_at = None;
            return;
        }
        self.election.writing_term = true;
        self.election.raise_pending = false;
        let term = Term {
            term: self.election.term() + 1,
            leader: self.election.node.clone(),
            members: self.next_term_members(),
        };
        let txn = self.term_transaction(&term, lease);
        self.send_election_request(
            StoreRequest::Transaction(txn),
            ElectionContinuation::WriteTerm { term, lease },
            WRITE_TIMEOUT,
        );
    }

    /// Builds the transaction that writes a term and attaches the key `term-live` to the lease, on
    /// condition that both keys still have the versions that this node has.
    fn term_transaction(&self, term: &Term, lease: u64) -> Transaction {
        Transaction {
            conditions: vec![
                self.election.term_condition(),
                Condition {
                    key: keys::TERM_LIVE.into(),
                    version: self.election.live_leader.as_ref().map_or(0, |live| live.version),
                },
            ],
            changes: vec![
                Change::Put {
                    key: keys::TERM.into(),
                    value: to_value(term),
                    lease: None,
                },
                Change::Put {
                    key: keys::TERM_LIVE.into(),
                    value: to_value(&self.election.node),
                    lease: Some(lease),
                },
            ],
        }
    }

    /// Handles the answer to the compare-and-set of the term.
    pub(super) fn on_term_written(&mut self, term: Term, lease: u64, answer: StoreResponse) {
        self.election.writing_term = false;
        match answer {
            StoreResponse::Committed { revision } => self.lead(term, lease, revision),
            StoreResponse::NoLease | StoreResponse::Malformed => {
                self.election.lease = None;
                if self.election.role == Role::Leader {
                    self.election.raise_pending = true;
                } else {
                    self.election.campaign_at = None;
                }
            }
            // The write was not executed, another node's write came first, or the outcome is
            // unknown; the watch will show which. A leader whose own raise has an unknown outcome
            // has to read the term again, because a successful raise changes the condition of every
            // write.
            other => {
                if self.election.role == Role::Leader {
                    if matches!(other, StoreResponse::Refused) {
                        self.election.raise_pending = true;
                    } else {
                        self.step_down(StepDownReason::TermWriteUnknown);
                    }
                }
                self.election.campaign_at = Some(self.context.now + self.context.jitter(RETRY_PAUSE));
            }
        }
    }

    /// Leads the term that this node has written at this revision, unless a later term is known.
    fn lead(&mut self, term: Term, lease: u64, revision: u64) {
        let known = self.election.current.as_ref();
        if known.is_some_and(|current| current.version > revision) {
            return;
        }
        let raised = self.election.role == Role::Leader;
        tracing::info!(term = term.term, raised, revision, "leading");
        self.election.current = Some(Versioned {
            value: term,
            version: revision,
        });
        self.election.live_leader = Some(Versioned {
            value: self.election.node.clone(),
            version: revision,
        });
        self.election.role = Role::Leader;
        self.election.has_led = true;
        self.election.campaign_at = None;
        self.election.lease = Some(lease);
        if raised {
            self.continue_leading();
        } else {
            self.start_leading();
        }
    }

    /// Continues the leadership under a raised term.
    fn continue_leading(&mut self) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term_raised(self.election.term());
        }
        // The compare-and-set on this node's own term proves that no other node has led since.
        if self.election.lease_unverified_since.take().is_some() {
            self.answer_early_heartbeats();
        }
    }

    /// Starts a new leadership, whose state is first restored from the write-ahead log.
    fn start_leading(&mut self) {
        let incarnation = self.context.next_id();
        let mut leader = LeaderState::new(incarnation, self.election.term(), self.context.now);
        leader.clock_origin_ms = self.context.clock_origin_ms;
        self.leader = Some(leader);
        self.update_leader_watermark();
        self.set_rates();
    }

    /// Queues a request for the election at the highest urgency.
    fn send_election_request(&mut self, request: StoreRequest, continuation: ElectionContinuation, timeout: Micros) {
        let continuation = Continuation::Election(continuation);
        self.context
            .store
            .push(Urgency::Leadership, request, continuation, timeout);
    }
}
