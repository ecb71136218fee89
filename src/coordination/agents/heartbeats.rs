//! The path of a heartbeat from the agent through any controller to the leader, and of the response
//! back to the agent.
//!
//! A new leader also requests the last heartbeats from all other controllers. An agent is
//! redirected to another controller if this one serves far more agents, is isolated, or can't reach
//! the leader.

use super::heartbeat_proxy::{
    answer_without_leader, ForwardedHeartbeat, HeartbeatNumber, LeaseRenewer, ReceivedHeartbeat, SentRedirect,
};
use super::outbox::{starts_cancelled, SendContext};
use super::parse_task;
use super::push::PUSH_TIMEOUT;
use crate::coordination::election::Role;
use crate::coordination::lease_renewal;
use crate::coordination::peers::RelayedPush;
use crate::coordination::state::{EarlyHeartbeat, HeartbeatOrigin};
use crate::coordination::{timing, Controller, Effect, PushResult};
use crate::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, PushedCommands, Redirect, TaskPhase};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::to_cbor;
use crate::time::Micros;
use glenhaven_connectivity::{Host, LinkState};

/// The maximum number of heartbeats that are queued until a new leader can answer them.
const MAX_EARLY_HEARTBEATS: usize = 4000;
/// The number of heartbeats in one message to a new leader, well under the size limit of a frame.
const HEARTBEATS_PER_MESSAGE: usize = 30;
/// A controller redirects new agents to the peer with the fewest agents if its own number of agents
/// exceeds four thirds of the peer's by more than this.
const MIN_IMBALANCE: u32 = 16;
/// The share of its agents that an isolated controller redirects per second.
const REDIRECTED_SHARE_PER_S: f64 = 0.25;

impl Controller {
    /// Returns whether messages from this node to `node` and back arrive, directly or relayed.
    fn reaches_node(&self, node: &str) -> bool {
        self.forwarder.reaches(node, self.context.now)
    }

    /// Returns a peer that serves far fewer agents, if the agent has not sent a heartbeat here
    /// recently and has not just returned from a redirect.
    fn less_loaded_peer(&mut self, machine: &str) -> Option<String> {
        let now = self.context.now;
        let known = self.heartbeat_proxy.last_heartbeats.get(machine);
        let lease = Micros::from_secs(self.cluster.settings.params.workers.lease_s);
        if known.is_some_and(|received| now.since(received.at) < lease)
            || self.heartbeat_proxy.returned_from_redirect(machine, now)
        {
            return None;
        }
        self.heartbeat_proxy.unreachable.retain(|_, until| now < *until);
        let own_count = self
            .heartbeat_proxy
            .agent_count(now, self.election.role() == Role::Leader);
        let (node, fewest) = self
            .peers
            .iter()
            .filter(|(name, p)| {
                p.store_is_current && self.reaches_node(name) && !self.heartbeat_proxy.unreachable.contains_key(*name)
            })
            // A process that restarts repeatedly has few agents after each start.
            .filter(|(_, p)| now.since(p.known_since) > timing::CONTROLLER_SETTLED)
            .map(|(name, p)| (name.clone(), p.reporting_agents))
            .min_by_key(|(_, agents)| *agents)?;
        (own_count > fewest + fewest / 3 + MIN_IMBALANCE).then_some(node)
    }

    /// Returns a peer in this zone to redirect an agent to, if this node is isolated.
    ///
    /// An isolated node exchanges messages with no other controller, not even in its own zone. Most
    /// likely its own links have failed and the agent can reach the peer. Agents are redirected a
    /// few at a time, because each of them loses part of its lease if the peer can't be reached.
    fn better_connected_peer(&mut self, machine: &str) -> Option<String> {
        let now = self.context.now;
        let link_table = &self.forwarder.link_table;
        let is_isolated = self
            .cluster
            .settings
            .peers
            .iter()
            .all(|p| link_table.own_link(&Host::Node(p.node.clone()), now) < LinkState::Slow);
        if !is_isolated || now < self.heartbeat_proxy.next_redirect_at {
            return None;
        }
        if self.heartbeat_proxy.returned_from_redirect(machine, now) {
            return None;
        }
        self.heartbeat_proxy.unreachable.retain(|_, until| now < *until);
        let candidates: Vec<&String> = self
            .cluster
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == self.cluster.settings.zone && !self.heartbeat_proxy.unreachable.contains_key(&p.node))
            .map(|p| &p.node)
            .collect();
        let node = (*candidates.get(self.context.rng.usize(0..candidates.len().max(1)))?).clone();
        let rate = (self.heartbeat_proxy.last_heartbeats.len() as f64 * REDIRECTED_SHARE_PER_S).max(1.0);
        self.heartbeat_proxy.next_redirect_at = now + Micros::from_secs(1.0 / rate);
        Some(node)
    }

    /// Answers a heartbeat with a redirect to another controller.
    fn redirect(&mut self, id: u64, machine: &str, to: String) {
        let redirect = SentRedirect {
            at: self.context.now,
            to: to.clone(),
        };
        self.heartbeat_proxy.redirects.insert(machine.to_string(), redirect);
        self.heartbeat_proxy.last_heartbeats.remove(machine);
        let body = to_cbor(&Redirect { report_to: Some(to) });
        self.context.reply(id, 421, body, None);
    }

    /// Handles a heartbeat of an agent.
    ///
    /// Every controller receives heartbeats and forwards them to the leader, so that no controller
    /// needs a connection to every agent.
    pub(in crate::coordination) fn on_heartbeat(&mut self, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        if let Some(received) = self.heartbeat_proxy.last_heartbeats.get(&heartbeat.machine) {
            let last = &received.heartbeat;
            if HeartbeatNumber::of(last) >= HeartbeatNumber::of(&heartbeat) {
                if heartbeat.incarnation < last.incarnation {
                    tracing::warn!(
                        machine = heartbeat.machine,
                        incarnation = heartbeat.incarnation,
                        last = last.incarnation,
                        "received a heartbeat of an earlier agent incarnation"
                    );
                }
                // The heartbeat is a copy of the last one or is older. No agent waits for the
                // response; the agent must not be redirected, nor its last heartbeat be replaced.
                return self.context.reply(id, 503, vec![], Some(1));
            }
        }
        if let Some(node) = self.less_loaded_peer(&heartbeat.machine) {
            return self.redirect(id, &heartbeat.machine, node);
        }
        self.heartbeat_proxy
            .last_heartbeats
            .insert(heartbeat.machine.clone(), ReceivedHeartbeat::new(now, &heartbeat));
        self.answer_heartbeat(id, heartbeat);
    }

    /// Answers an agent's heartbeat as the leader or as a proxy, or forwards it to the leader,
    /// whose response is then passed on to the agent.
    pub(in crate::coordination) fn answer_heartbeat(&mut self, id: u64, heartbeat: Heartbeat) {
        if self.election.role() == Role::Leader {
            return self.answer_as_leader(id, heartbeat);
        }
        self.read_unknown_jobs(&heartbeat);
        let known = self.election.leader().map(str::to_string);
        match self.leader_of_later_term().or(known) {
            Some(leader) if self.reaches_node(&leader) => self.forward_heartbeat(id, leader, heartbeat),
            Some(leader) => self.answer_cut_off(id, leader, &heartbeat),
            // There is no leader at present; a new one is elected soon.
            None => self.answer_as_proxy(id, &heartbeat),
        }
    }

    /// Answers a heartbeat as the leader, or queues it until the leader can answer it.
    fn answer_as_leader(&mut self, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        if !self.attestations.may_renew(&self.election, &self.cluster, now) || self.has_unknown_token(&heartbeat) {
            return self.context.reply(id, 503, vec![], Some(1));
        }
        // A new leader would consider agents lost that stay with an isolated leader whose lease may
        // have ended.
        if !self.election.holds_lease(now) && !self.forwarder.receives_store_answers(now) {
            if let Some(node) = self.better_connected_peer(&heartbeat.machine) {
                return self.redirect(id, &heartbeat.machine, node);
            }
        }
        let Some(leader) = self.leader.as_mut() else {
            return self.context.reply(id, 503, vec![], Some(1));
        };
        if !leader.is_loaded() || self.election.is_lease_unverified() {
            // Answered once the write-ahead log has been read and the lease is confirmed.
            if leader.early_heartbeats.len() < MAX_EARLY_HEARTBEATS {
                leader.early_heartbeats.push(EarlyHeartbeat {
                    origin: HeartbeatOrigin::Agent(id),
                    heartbeat,
                    received_at: now,
                });
            } else {
                self.context.reply(id, 503, vec![], Some(1));
            }
            return;
        }
        let body = to_cbor(&self.leader_response(&heartbeat, None));
        self.context.reply(id, 200, body, None);
    }

    /// Reads the jobs of the heartbeat's tasks that this node has not read yet, without which it
    /// can't answer the next heartbeat as a proxy.
    fn read_unknown_jobs(&mut self, heartbeat: &Heartbeat) {
        for status in &heartbeat.tasks {
            if let Some((job, _)) = parse_task(&status.task) {
                if status.phase != TaskPhase::Exited && self.api.phase(job).is_none() {
                    self.api.read_job(&mut self.context, job);
                }
            }
        }
    }

    /// Forwards a heartbeat to the leader.
    fn forward_heartbeat(&mut self, id: u64, leader: String, heartbeat: Heartbeat) {
        let number = self.context.next_id();
        let message = PeerMessage::Heartbeat {
            node: self.cluster.settings.node.clone(),
            id: number,
            heartbeat: heartbeat.clone(),
        };
        let forwarded = ForwardedHeartbeat {
            request_id: id,
            heartbeat,
            at: self.context.now,
        };
        self.heartbeat_proxy.forwarded.insert(number, forwarded);
        self.context.effects.push(Effect::Peer { to: leader, message });
    }

    /// Answers a heartbeat on a node that can't reach the leader, with a redirect to the leader or
    /// to a better connected peer, or as a proxy.
    fn answer_cut_off(&mut self, id: u64, leader: String, heartbeat: &Heartbeat) {
        let now = self.context.now;
        // If connections to the leader are refused, its host is reachable, and the agent may be
        // able to connect although this node is not. If packets are lost, the agent would most
        // likely get no answer until its lease has expired.
        let refused = self.peer_links.get(&leader) == Some(&Link::Refused);
        // A leader that last reached the state service only through peers, and that can't be
        // reached now, most likely no longer leads.
        let lost_store = self.forwarder.link_table.last_reported_state(&leader, &Host::State) == LinkState::Down;
        if refused && !lost_store && !self.heartbeat_proxy.returned_from_redirect(&heartbeat.machine, now) {
            return self.redirect(id, &heartbeat.machine, leader);
        }
        if let Some(node) = self.better_connected_peer(&heartbeat.machine) {
            return self.redirect(id, &heartbeat.machine, node);
        }
        self.answer_as_proxy(id, heartbeat);
    }

    /// Answers a heartbeat without the leader, and records the machine as proxied if its lease was
    /// renewed.
    fn answer_as_proxy(&mut self, id: u64, heartbeat: &Heartbeat) {
        let renewer = LeaseRenewer {
            election: &self.election,
            attestations: &self.attestations,
            api: &self.api,
            cluster: &self.cluster,
        };
        if answer_without_leader(&mut self.context, &renewer, id, heartbeat) {
            let now = self.context.now;
            self.heartbeat_proxy.proxied.insert(heartbeat.machine.clone(), now);
        }
    }

    /// Handles a heartbeat that another controller forwarded.
    pub(in crate::coordination) fn on_forwarded_heartbeat(&mut self, node: String, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        match self.leader.as_mut() {
            Some(leader) if !leader.is_loaded() || self.election.is_lease_unverified() => {
                if leader.early_heartbeats.len() < MAX_EARLY_HEARTBEATS {
                    leader.early_heartbeats.push(EarlyHeartbeat {
                        origin: HeartbeatOrigin::Controller(node, id),
                        heartbeat,
                        received_at: now,
                    });
                }
            }
            Some(_) => self.answer_forwarded_heartbeat(node, id, heartbeat),
            // If it gets no response, the other controller answers the heartbeat as a proxy.
            None => {}
        }
    }

    /// Answers the heartbeats that were queued before this leader could answer them.
    pub(in crate::coordination) fn answer_early_heartbeats(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        for early in std::mem::take(&mut leader.early_heartbeats) {
            let (heartbeat, at) = (early.heartbeat, early.received_at);
            match early.origin {
                HeartbeatOrigin::Agent(id) => self.answer_heartbeat(id, heartbeat),
                HeartbeatOrigin::Controller(node, id) => self.answer_forwarded_heartbeat(node, id, heartbeat),
                HeartbeatOrigin::Cached(node) => self.apply_last_heartbeat(&node, &heartbeat, at),
            }
        }
    }

    /// Returns whether a heartbeat has a fencing token higher than this leader's term, which this
    /// leader has never issued.
    fn has_unknown_token(&self, heartbeat: &Heartbeat) -> bool {
        let (fencing_token, term) = (heartbeat.fencing_token, self.election.term());
        if fencing_token > term {
            tracing::warn!(
                machine = heartbeat.machine,
                fencing_token,
                term,
                "heartbeat rejected: this leader never issued its fencing token"
            );
        }
        fencing_token > term
    }

    /// Answers a forwarded heartbeat as the leader, if the lease may be renewed.
    fn answer_forwarded_heartbeat(&mut self, node: String, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        let may_renew = self.attestations.may_renew(&self.election, &self.cluster, now);
        if self.election.role() != Role::Leader || !may_renew || self.has_unknown_token(&heartbeat) {
            return;
        }
        let commands = self.leader_response(&heartbeat, Some(&node));
        let message = PeerMessage::HeartbeatResponse { id, commands };
        self.context.effects.push(Effect::Peer { to: node, message });
    }

    /// Builds the leader's response to a heartbeat that was received here or through the controller
    /// `via`.
    fn leader_response(&mut self, heartbeat: &Heartbeat, via: Option<&str>) -> HeartbeatResponse {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else {
            return lease_renewal::non_renewing_response();
        };
        let reasons = leader.apply_heartbeat(&self.cluster, heartbeat, via, now, now);
        if leader.must_let_lease_lapse(&self.cluster, heartbeat, now) {
            tracing::warn!(
                machine = heartbeat.machine,
                "lease not renewed: a start of a cancelled job may be in flight to the machine"
            );
            return lease_renewal::non_renewing_response();
        }
        let name = heartbeat.machine.as_str().into();
        let context = SendContext {
            fencing_token: self.election.term(),
            api: &self.api,
            now,
        };
        let commands = leader.commands_in_response(&name, reasons, &context);
        let answer = self
            .attestations
            .renewal(&self.election, &self.api, &self.cluster, heartbeat, commands, now);
        answer.unwrap_or_else(lease_renewal::non_renewing_response)
    }

    /// Requests the last heartbeats from all other controllers, once per leadership.
    ///
    /// Without these heartbeats, a new leader would get the state of its machines only over a whole
    /// heartbeat period.
    pub(in crate::coordination) fn request_last_heartbeats(&mut self) {
        let Some(leader) = self
            .leader
            .as_mut()
            .filter(|l| l.incarnation != self.last_heartbeats_requested_for)
        else {
            return;
        };
        self.last_heartbeats_requested_for = leader.incarnation;
        let node = self.cluster.settings.node.clone();
        for peer in &self.cluster.settings.peers {
            let message = PeerMessage::LastHeartbeatsRequest { node: node.clone() };
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        for received in self.heartbeat_proxy.last_heartbeats.values() {
            leader.early_heartbeats.push(EarlyHeartbeat {
                origin: HeartbeatOrigin::Cached(node.clone()),
                heartbeat: received.heartbeat.clone(),
                received_at: received.at,
            });
        }
    }

    /// Sends a new leader the last heartbeats that this node received, with their ages.
    pub(in crate::coordination) fn send_last_heartbeats(&mut self, to: String) {
        let now = self.context.now;
        let lease = Micros::from_secs(self.cluster.settings.params.workers.lease_s);
        let is_recent = |received: &&ReceivedHeartbeat| now.since(received.at) < lease;
        let with_age = |received: &ReceivedHeartbeat| {
            let age_ms = now.since(received.at).0 / 1000;
            (age_ms as u32, received.heartbeat.clone())
        };
        let heartbeats: Vec<(u32, Heartbeat)> = self
            .heartbeat_proxy
            .last_heartbeats
            .values()
            .filter(is_recent)
            .map(with_age)
            .collect();
        for chunk in heartbeats.chunks(HEARTBEATS_PER_MESSAGE) {
            let message = PeerMessage::LastHeartbeats {
                node: self.cluster.settings.node.clone(),
                heartbeats: chunk.to_vec(),
            };
            self.context.effects.push(Effect::Peer {
                to: to.clone(),
                message,
            });
        }
    }

    /// Handles the last heartbeats that another controller received, with their ages in
    /// milliseconds.
    pub(in crate::coordination) fn on_last_heartbeats(&mut self, node: &str, heartbeats: Vec<(u32, Heartbeat)>) {
        let now = self.context.now;
        for (age_ms, heartbeat) in heartbeats {
            let at = Micros(now.0.saturating_sub(u64::from(age_ms) * 1000));
            match self.leader.as_mut() {
                Some(leader) if !leader.is_loaded() => {
                    if leader.early_heartbeats.len() < MAX_EARLY_HEARTBEATS {
                        leader.early_heartbeats.push(EarlyHeartbeat {
                            origin: HeartbeatOrigin::Cached(node.to_string()),
                            heartbeat,
                            received_at: at,
                        });
                    }
                }
                Some(_) => self.apply_last_heartbeat(node, &heartbeat, at),
                None => {}
            }
        }
    }

    /// Applies a heartbeat that was answered before. It is as valid as any late heartbeat, but no
    /// agent waits for a response.
    fn apply_last_heartbeat(&mut self, node: &str, heartbeat: &Heartbeat, at: Micros) {
        let now = self.context.now;
        let via = (node != self.cluster.settings.node).then_some(node);
        if let Some(leader) = self.leader.as_mut() {
            leader.apply_heartbeat(&self.cluster, heartbeat, via, at, now);
        }
    }

    /// Sends commands to an agent on behalf of the leader, unless they are outdated.
    pub(in crate::coordination) fn relay_push(&mut self, node: String, id: u64, addr: String, body: PushedCommands) {
        // The leader may have been replaced, or the job of a start cancelled, since the leader sent
        // the commands.
        let cancelled = |command: &AgentCommand| starts_cancelled(&self.api, command);
        if body.fencing_token < self.election.term() || body.commands.iter().any(cancelled) {
            let answer = PushResult::NotSent;
            let message = PeerMessage::RelayedPushResult { id, answer };
            self.context.effects.push(Effect::Peer { to: node, message });
            return;
        }
        let own = self.context.next_id();
        let push = RelayedPush {
            requester: node,
            request_id: id,
        };
        self.relayed_pushes.insert(own, push);
        self.context.effects.push(Effect::PushedCommands {
            id: own,
            addr,
            body,
            timeout: PUSH_TIMEOUT,
        });
    }
}
