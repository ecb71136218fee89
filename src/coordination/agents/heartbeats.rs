//! The path of a heartbeat: from the agent to any controller, from there to the leader, and the
//! response back; and the last heartbeats that a new leader requests from all controllers.
//!
//! An agent is redirected to another controller if this one has far more agents or is cut off.

use super::heartbeat_proxy::{
    answer_without_leader, Forwarded, HeartbeatNumber, LeaseRenewer, ReceivedHeartbeat, SentRedirect,
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

/// The most heartbeats that wait until a new leader can answer them.
const MAX_EARLY_HEARTBEATS: usize = 4000;
/// Heartbeats in one message to a new leader, well under the limit of a frame.
const HEARTBEATS_PER_MESSAGE: usize = 30;
/// A controller redirects new agents to the peer with the fewest if it has this many more than four
/// thirds of those.
const MIN_IMBALANCE: u32 = 16;
/// The share of its agents that an isolated controller redirects in a second.
const REDIRECTED_SHARE_PER_S: f64 = 0.25;

impl Controller {
    /// Whether messages to this node arrive and its messages arrive here, directly or relayed.
    fn reaches_node(&self, node: &str) -> bool {
        self.forwarder.reaches(node, self.context.now)
    }

    /// A peer with far fewer agents, for an agent whose first heartbeat comes here.
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
        let own = self
            .heartbeat_proxy
            .agent_count(now, self.election.role() == Role::Leader);
        let (node, least) = self
            .peers
            .iter()
            .filter(|(name, p)| {
                p.store_is_current && self.reaches_node(name) && !self.heartbeat_proxy.unreachable.contains_key(*name)
            })
            // A process that keeps ending has few agents after each start.
            .filter(|(_, p)| now.since(p.known_since) > timing::CONTROLLER_SETTLED)
            .map(|(name, p)| (name.clone(), p.reporting_agents))
            .min_by_key(|(_, serves)| *serves)?;
        (own > least + least / 3 + MIN_IMBALANCE).then_some(node)
    }

    /// A peer in this zone for an agent, if this node is isolated: it exchanges messages with no
    /// other controller, not even in its own zone. Then most likely its own links fail and the
    /// agent reaches the peer. Agents are redirected a few at a time, because each loses some of
    /// its lease if that is wrong.
    fn better_connected_peer(&mut self, machine: &str) -> Option<String> {
        let now = self.context.now;
        let link_table = &self.forwarder.link_table;
        let alone = self
            .cluster
            .settings
            .peers
            .iter()
            .all(|p| link_table.own_link(&Host::Node(p.node.clone()), now) < LinkState::Slow);
        if !alone || now < self.heartbeat_proxy.next_redirect_at {
            return None;
        }
        if self.heartbeat_proxy.returned_from_redirect(machine, now) {
            return None;
        }
        self.heartbeat_proxy.unreachable.retain(|_, until| now < *until);
        let near: Vec<&String> = self
            .cluster
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == self.cluster.settings.zone && !self.heartbeat_proxy.unreachable.contains_key(&p.node))
            .map(|p| &p.node)
            .collect();
        let node = (*near.get(self.context.rng.usize(0..near.len().max(1)))?).clone();
        let rate = (self.heartbeat_proxy.last_heartbeats.len() as f64 * REDIRECTED_SHARE_PER_S).max(1.0);
        self.heartbeat_proxy.next_redirect_at = now + Micros::from_secs(1.0 / rate);
        Some(node)
    }

    /// Answers a heartbeat by a redirect to another controller.
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

    /// Receives a heartbeat of an agent. Every controller receives them, so that none needs a
    /// connection to each agent, and forwards them to the leader.
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
                        "a heartbeat of an earlier incarnation"
                    );
                }
                // A copy of a heartbeat that was received before: nobody waits for the response, and
                // the agent must neither be redirected nor its state be replaced.
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

    /// Answers an agent's heartbeat: as the leader, with the leader's response once it has come, or
    /// as a proxy.
    pub(in crate::coordination) fn answer_heartbeat(&mut self, id: u64, heartbeat: Heartbeat) {
        if self.election.role() == Role::Leader {
            return self.answer_as_leader(id, heartbeat);
        }
        self.read_unknown_jobs(&heartbeat);
        let known = self.election.leader().map(str::to_string);
        match self.later_leader().or(known) {
            Some(leader) if self.reaches_node(&leader) => self.forward_heartbeat(id, leader, heartbeat),
            Some(leader) => self.answer_cut_off(id, leader, &heartbeat),
            // Nobody leads at present; a new leader will soon.
            None => self.answer_as_proxy(id, &heartbeat),
        }
    }

    /// Answers a heartbeat as the leader, or queues it until the leader is able to.
    fn answer_as_leader(&mut self, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        if !self.attestations.may_renew(&self.election, &self.cluster, now) || self.has_unknown_token(&heartbeat) {
            return self.context.reply(id, 503, vec![], Some(1));
        }
        // A leader whose lease may have ended and that is isolated would hold agents that a new
        // leader takes to be lost.
        if !self.election.holds_lease(now) && !self.forwarder.receives_store_answers(now) {
            if let Some(node) = self.better_connected_peer(&heartbeat.machine) {
                return self.redirect(id, &heartbeat.machine, node);
            }
        }
        let Some(leader) = self.leader.as_mut() else {
            return self.context.reply(id, 503, vec![], Some(1));
        };
        if !leader.is_loaded() || self.election.is_lease_unverified() {
            // Answered as soon as the write-ahead log is read or the lease is confirmed.
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

    /// Reads the jobs of the heartbeat's tasks that are not known here: without them this node
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
        let number = self.context.id();
        let message = PeerMessage::Heartbeat {
            node: self.cluster.settings.node.clone(),
            id: number,
            heartbeat: heartbeat.clone(),
        };
        let forwarded = Forwarded {
            reply: id,
            heartbeat,
            at: self.context.now,
        };
        self.heartbeat_proxy.forwarded.insert(number, forwarded);
        self.context.effects.push(Effect::Peer { to: leader, message });
    }

    /// Answers a heartbeat on a node that can't reach the leader: by a redirect to the leader or to
    /// a better connected peer, or else as a proxy.
    fn answer_cut_off(&mut self, id: u64, leader: String, heartbeat: &Heartbeat) {
        let now = self.context.now;
        // If connections to the leader are refused, its host is reachable, and the agent may get
        // through where this node does not. If packets are lost, the agent would most likely wait
        // in vain while its lease runs out.
        let refused = self.peer_links.get(&leader) == Some(&Link::Refused);
        // A leader that last reached the state service only through peers, and can't be reached
        // now, most likely leads no more.
        let lost = self.forwarder.link_table.last_reported_state(&leader, &Host::State) == LinkState::Down;
        if refused && !lost && !self.heartbeat_proxy.returned_from_redirect(&heartbeat.machine, now) {
            return self.redirect(id, &heartbeat.machine, leader);
        }
        if let Some(node) = self.better_connected_peer(&heartbeat.machine) {
            return self.redirect(id, &heartbeat.machine, node);
        }
        self.answer_as_proxy(id, heartbeat);
    }

    /// Answers a heartbeat without the leader, and remembers that the machine is proxied here.
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

    /// Receives a heartbeat that another controller forwards.
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
            // Without a response the other controller answers it as a proxy.
            None => {}
        }
    }

    /// Answers the heartbeats that came before this leader was able to.
    pub(in crate::coordination) fn answer_early_heartbeats(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        for early in std::mem::take(&mut leader.early_heartbeats) {
            let (heartbeat, at) = (early.heartbeat, early.received_at);
            match early.origin {
                HeartbeatOrigin::Agent(id) => self.answer_heartbeat(id, heartbeat),
                HeartbeatOrigin::Controller(node, id) => self.answer_forwarded_heartbeat(node, id, heartbeat),
                HeartbeatOrigin::Memory(node) => self.take_last_heartbeat(&node, &heartbeat, at),
            }
        }
    }

    /// Whether a heartbeat has a fencing token later than this leader's term, which this leader never
    /// gave out.
    fn has_unknown_token(&self, heartbeat: &Heartbeat) -> bool {
        let (fencing_token, term) = (heartbeat.fencing_token, self.election.term());
        if fencing_token > term {
            tracing::warn!(
                machine = heartbeat.machine,
                fencing_token,
                term,
                "a heartbeat has a fencing token that was never given out here"
            );
        }
        fencing_token > term
    }

    /// Answers a forwarded heartbeat as the leader, if the lease may be renewed.
    fn answer_forwarded_heartbeat(&mut self, node: String, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        let current = self.attestations.may_renew(&self.election, &self.cluster, now);
        if self.election.role() != Role::Leader || !current || self.has_unknown_token(&heartbeat) {
            return;
        }
        let commands = self.leader_response(&heartbeat, Some(&node));
        let message = PeerMessage::HeartbeatResponse { id, commands };
        self.context.effects.push(Effect::Peer { to: node, message });
    }

    /// The leader's response to a heartbeat, which came here or through the controller `via`.
    fn leader_response(&mut self, heartbeat: &Heartbeat, via: Option<&str>) -> HeartbeatResponse {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else {
            return lease_renewal::non_renewing_response();
        };
        let due = leader.apply_heartbeat(&self.cluster, heartbeat, via, now, now);
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
        let commands = leader.commands_in_response(&name, due, &context);
        let answer = self
            .attestations
            .renewal(&self.election, &self.api, &self.cluster, heartbeat, commands, now);
        answer.unwrap_or_else(lease_renewal::non_renewing_response)
    }

    /// Requests the last heartbeats from all other controllers, once for each leadership: otherwise
    /// a new leader would learn the state of its machines only over a whole heartbeat period.
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
                origin: HeartbeatOrigin::Memory(node.clone()),
                heartbeat: received.heartbeat.clone(),
                received_at: received.at,
            });
        }
    }

    /// Sends a new leader the last heartbeats that came here, with their ages.
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
        for some in heartbeats.chunks(HEARTBEATS_PER_MESSAGE) {
            let message = PeerMessage::LastHeartbeats {
                node: self.cluster.settings.node.clone(),
                heartbeats: some.to_vec(),
            };
            self.context.effects.push(Effect::Peer {
                to: to.clone(),
                message,
            });
        }
    }

    /// Takes the last heartbeats that came to another controller.
    pub(in crate::coordination) fn on_last_heartbeats(&mut self, node: &str, heartbeats: Vec<(u32, Heartbeat)>) {
        let now = self.context.now;
        for (age_ms, heartbeat) in heartbeats {
            let at = Micros(now.0.saturating_sub(u64::from(age_ms) * 1000));
            match self.leader.as_mut() {
                Some(leader) if !leader.is_loaded() => {
                    if leader.early_heartbeats.len() < MAX_EARLY_HEARTBEATS {
                        leader.early_heartbeats.push(EarlyHeartbeat {
                            origin: HeartbeatOrigin::Memory(node.to_string()),
                            heartbeat,
                            received_at: at,
                        });
                    }
                }
                Some(_) => self.take_last_heartbeat(node, &heartbeat, at),
                None => {}
            }
        }
    }

    /// Applies a heartbeat that was answered before: it is as valid as any late one, but no agent
    /// waits for a response.
    fn take_last_heartbeat(&mut self, node: &str, heartbeat: &Heartbeat, at: Micros) {
        let now = self.context.now;
        let via = (node != self.cluster.settings.node).then_some(node);
        if let Some(leader) = self.leader.as_mut() {
            leader.apply_heartbeat(&self.cluster, heartbeat, via, at, now);
        }
    }

    /// Sends commands to an agent for the leader, unless they are outdated.
    pub(in crate::coordination) fn relay_push(&mut self, node: String, id: u64, addr: String, body: PushedCommands) {
        // The leader may have been replaced meanwhile, or the job of a start been cancelled.
        let cancelled = |command: &AgentCommand| starts_cancelled(&self.api, command);
        if body.fencing_token < self.election.term() || body.commands.iter().any(cancelled) {
            let answer = PushResult::NotSent;
            let message = PeerMessage::RelayedPushResult { id, answer };
            self.context.effects.push(Effect::Peer { to: node, message });
            return;
        }
        let own = self.context.id();
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
