//! What this controller knows of the other controllers, and the messages they send.
//!
//! Called by the controller for each message of a peer. It keeps what peers say of themselves and
//! passes everything else to the part it is for. What a peer says is a hint: it proves neither who
//! leads nor that anything was executed.

use super::election::StepDownReason;
use super::{Controller, Effect};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A peer not heard from for longer than this says nothing about whether the service is lost.
const RECENT_CONTACT: Micros = Micros::from_millis(2000);
/// A peer not heard from for longer than this is no member of a next term, nor taken for a leader.
const MEMBER_CONTACT: Micros = Micros::from_millis(3000);

/// What a peer last said of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerStatus {
    /// When it last said so.
    pub last_contact: Micros,
    /// Whether its knowledge of the state service is current.
    pub store_is_current: bool,
    /// The term that it knows.
    pub term: u64,
    /// Whether it leads that term.
    pub leads: bool,
    /// Changes to the state service that it wants to make each second.
    pub wanted_changes_per_s: f64,
    /// Agents that send their heartbeats to it.
    pub reporting_agents: u32,
    /// Its steady clock, in microseconds. A clock that goes back is that of a new incarnation of
    /// its process.
    pub sender_clock: u64,
    /// When this incarnation of it was first heard from.
    pub known_since: Micros,
}

/// Commands that this controller sent to an agent for another controller.
#[derive(Clone, Debug)]
pub(super) struct RelayedPush {
    /// The controller that waits for the result.
    pub requester: String,
    /// Its number for the commands.
    pub request_id: u64,
}

impl Controller {
    /// A message of another controller.
    pub(super) fn on_peer(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Alive { .. } => self.on_alive(message),
            PeerMessage::Progress(list) => {
                if self.leader.is_none() {
                    self.api.on_progress(list);
                }
            }
            PeerMessage::Heartbeat { node, id, heartbeat } => self.on_forwarded_heartbeat(node, id, heartbeat),
            PeerMessage::HeartbeatResponse { id, commands } => {
                self.heartbeat_proxy
                    .on_leader_response(&mut self.context, &self.election, &self.api, id, commands)
            }
            PeerMessage::AttestationRequest { node, round, seen } => self.on_attestation_request(node, round, seen),
            PeerMessage::Attestation {
                node,
                round,
                term,
                cancelled,
            } => self.on_attestation(&node, round, term, cancelled),
            PeerMessage::LastHeartbeatsRequest { node } => self.send_last_heartbeats(node),
            PeerMessage::LastHeartbeats { node, heartbeats } => self.on_last_heartbeats(&node, heartbeats),
            PeerMessage::RelayPush { node, id, addr, body } => self.relay_push(node, id, addr, body),
            PeerMessage::RelayedPushResult { id, answer } => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_push_result(id, answer);
                }
            }
            PeerMessage::ForwardRequest { .. }
            | PeerMessage::ForwardedResponse { .. }
            | PeerMessage::RelayMessage { .. }
            | PeerMessage::RelayedMessage(_) => self.on_forwarded(message),
            PeerMessage::TransferLeadership { node, term, to } => {
                if term == self.election.term() {
                    tracing::info!(node, to, "the leader transfers the leadership");
                    self.election.prefer_successor(to, self.context.now);
                }
            }
        }
    }

    /// A controller says that it is alive, and how it is.
    fn on_alive(&mut self, message: PeerMessage) {
        let PeerMessage::Alive {
            node,
            term,
            fresh,
            leads,
            wants,
            serves,
            at,
            links,
        } = message
        else {
            return;
        };
        let now = self.context.now;
        if self.is_peer(&node) {
            self.forwarder.on_alive(&node, at, &links, now);
            let same_incarnation = self.peers.get(&node).filter(|peer| peer.sender_clock <= at);
            let status = PeerStatus {
                last_contact: now,
                store_is_current: fresh,
                term,
                leads,
                wanted_changes_per_s: f64::from(wants) / 1000.0,
                reporting_agents: serves,
                sender_clock: at,
                known_since: same_incarnation.map_or(now, |peer| peer.known_since),
            };
            self.peers.insert(node, status);
        }
        if leads && term > self.election.term() && self.leader.is_some() {
            // The state service, which alone could say otherwise, does not answer this controller.
            // A leader that stayed would keep agents here that the new leader takes for dead.
            self.step_down(StepDownReason::LaterTermAtPeer);
        }
    }

    /// Whether the settings name another controller like this.
    pub(super) fn is_peer(&self, node: &str) -> bool {
        self.cluster.settings.peers.iter().any(|p| p.node == node)
    }

    /// What peers heard from lately said of themselves.
    pub(super) fn recent_peers(&self) -> impl Iterator<Item = &PeerStatus> {
        let now = self.context.now;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.last_contact) < RECENT_CONTACT)
    }

    /// A peer that leads a later term than the one known here.
    pub(super) fn later_leader(&self) -> Option<String> {
        let now = self.context.now;
        let leads_later = |peer: &PeerStatus| {
            peer.leads && peer.term > self.election.term() && now.since(peer.last_contact) < MEMBER_CONTACT
        };
        self.peers
            .iter()
            .filter(|(_, peer)| leads_later(peer))
            .max_by_key(|(_, peer)| peer.term)
            .map(|(name, _)| name.clone())
    }

    /// The names of this controller and of those heard from lately: the members of the next term.
    pub(super) fn members(&self) -> Vec<String> {
        let now = self.context.now;
        let mut names: BTreeSet<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_contact) < MEMBER_CONTACT)
            .map(|(name, _)| name.clone())
            .collect();
        names.insert(self.cluster.settings.node.clone());
        names.into_iter().collect()
    }

    /// Sends a message to every other controller.
    pub(super) fn broadcast(&mut self, message: &PeerMessage) {
        for peer in &self.cluster.settings.peers {
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message: message.clone(),
            });
        }
    }
}
