//! The status of the other controllers, and the dispatch of their messages.
//!
//! The controller calls this module for each message from a peer. The module stores the status that
//! peers announce and passes all other messages to the component that handles them.
//!
//! Invariant: a peer's status is only a hint; it proves neither who leads nor that anything was
//! executed.

use super::election::StepDownReason;
use super::{Controller, Effect};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;
use std::collections::BTreeSet;

/// The status of a peer without a message for longer than this does not count in determining
/// whether the state service is lost.
const RECENT_CONTACT: Micros = Micros::from_millis(2000);
/// A peer without a message for longer than this is not a member of the next term and is not
/// considered to be the leader.
const MEMBER_CONTACT: Micros = Micros::from_millis(3000);

/// The last status that a peer announced.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerStatus {
    /// When the announcement was received.
    pub last_contact: Micros,
    /// Whether the peer's last verified read of the state service is recent.
    pub store_is_current: bool,
    /// The latest term that the peer has seen.
    pub term: u64,
    /// Whether the peer leads that term.
    pub leads: bool,
    /// The changes to the state service that the peer wants to make each second.
    pub wanted_changes_per_s: f64,
    /// The number of agents that send their heartbeats to the peer.
    pub reporting_agents: u32,
    /// The peer's steady clock, in microseconds. A clock that goes back belongs to a new incarnation
    /// of the peer's process.
    pub sender_clock: u64,
    /// When the first announcement of this incarnation of the peer was received.
    pub known_since: Micros,
}

/// Commands that this controller sent to an agent for another controller.
#[derive(Clone, Debug)]
pub(super) struct RelayedPush {
    /// The controller that waits for the result.
    pub requester: String,
    /// The requester's number for the commands.
    pub request_id: u64,
}

impl Controller {
    /// Handles a message from another controller.
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
                    tracing::info!(node, to, "the leader transfers the leadership to another controller");
                    self.election.prefer_successor(to, self.context.now);
                }
            }
        }
    }

    /// Handles the announcement of a controller that it is alive, with its status.
    fn on_alive(&mut self, message: PeerMessage) {
        let PeerMessage::Alive {
            node,
            term,
            store_verified,
            leads,
            changes_per_1000_s,
            agent_count,
            sent_at_us,
            links,
        } = message
        else {
            return;
        };
        let now = self.context.now;
        if self.is_peer(&node) {
            self.forwarder.on_alive(&node, sent_at_us, &links, now);
            let same_incarnation = self.peers.get(&node).filter(|peer| peer.sender_clock <= sent_at_us);
            let status = PeerStatus {
                last_contact: now,
                store_is_current: store_verified,
                term,
                leads,
                wanted_changes_per_s: f64::from(changes_per_1000_s) / 1000.0,
                reporting_agents: agent_count,
                sender_clock: sent_at_us,
                known_since: same_incarnation.map_or(now, |peer| peer.known_since),
            };
            self.peers.insert(node, status);
        }
        if leads && term > self.election.term() && self.leader.is_some() {
            // Only the state service could refute the peer's claim, and the service does not answer
            // this controller. If this controller continued to lead, its agents would stay with it,
            // and the new leader would consider them lost.
            self.step_down(StepDownReason::LaterTermAtPeer);
        }
    }

    /// Whether the settings list another controller with this name.
    pub(super) fn is_peer(&self, node: &str) -> bool {
        self.cluster.settings.peers.iter().any(|p| p.node == node)
    }

    /// The status of the peers that have sent a message recently.
    pub(super) fn recent_peers(&self) -> impl Iterator<Item = &PeerStatus> {
        let now = self.context.now;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.last_contact) < RECENT_CONTACT)
    }

    /// The peer that leads the latest term, if that term is later than this controller's.
    pub(super) fn leader_of_later_term(&self) -> Option<String> {
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

    /// The members of the next term: the names of this controller and of the peers that have sent a
    /// message recently.
    pub(super) fn next_term_members(&self) -> Vec<String> {
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
