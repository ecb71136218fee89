//! Ways of a worker's report: here, to the leader, and to a new leader from memory.

use super::heartbeat_proxy::{answer_alone, Forwarded};
use super::outbox::{starts_cancelled, Leave};
use super::parse_task;
use super::push::DIRECT_TIMEOUT;
use crate::coordination::election::Role;
use crate::coordination::lease_renewal::{self};
use crate::coordination::peers::RelayedPush;
use crate::coordination::state::{EarlyHeartbeat, HeartbeatOrigin};
use crate::coordination::{timing, Controller, Effect, PushResult};
use crate::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, PushedCommands, Redirect, TaskPhase};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::to_cbor;
use crate::time::Micros;
use glenhaven_connectivity::{Host, LinkState};

/// Reports that wait until a new leader can answer them.
const EARLY: usize = 4000;
/// Reports in one message to a new leader, well under the limit of a frame.
const RECALLED: usize = 30;
/// A node takes this many workers more than a third beyond the one with the
/// fewest before it sends new ones there.
const UNEVEN: u32 = 16;
/// Share of its workers that a node which hears no other one sends on in a second.
const SENT_ON: f64 = 0.25;

impl Controller {
    /// Whether messages reach this node and come back, directly or by way of another.
    fn reaches_node(&self, node: &str) -> bool {
        self.forwarder.reaches(node, self.context.now)
    }

    /// A node with far fewer workers, for one that reports here for the first
    /// time.
    fn less_busy(&mut self, machine: &str) -> Option<String> {
        let now = self.context.now;
        let known = self.heartbeat_proxy.served.get(machine);
        let lease = Micros::from_secs(self.cluster.settings.params.workers.lease_s);
        if known.is_some_and(|(at, _)| now.since(*at) < lease) || self.heartbeat_proxy.came_back(machine, now) {
            return None;
        }
        self.heartbeat_proxy.unreached.retain(|_, until| now < *until);
        let own = self.heartbeat_proxy.serves(now, self.election.role() == Role::Leader);
        let (node, least) = self
            .peers
            .iter()
            .filter(|(name, p)| {
                p.store_is_current && self.reaches_node(name) && !self.heartbeat_proxy.unreached.contains_key(*name)
            })
            // One that keeps ending has few workers every time that it is back.
            .filter(|(_, p)| now.since(p.known_since) > timing::CONTROLLER_SETTLED)
            .map(|(name, p)| (name.clone(), p.reporting_agents))
            .min_by_key(|(_, serves)| *serves)?;
        (own > least + least / 3 + UNEVEN).then_some(node)
    }

    /// Another node for a worker that this one can do little for: it exchanges nothing
    /// with any other controller, not even in its own zone. Then its own links fail, not
    /// those of the zone, and the worker most likely reaches its neighbours. They are sent on a few at a time: each is lost to this
    /// node's answers, and spends some of its lease, if the guess is wrong.
    fn better_placed(&mut self, machine: &str) -> Option<String> {
        let now = self.context.now;
        let link_table = &self.forwarder.link_table;
        let alone = self
            .cluster
            .settings
            .peers
            .iter()
            .all(|p| link_table.own_link(&Host::Node(p.node.clone()), now) < LinkState::Slow);
        if !alone || now < self.heartbeat_proxy.next_sent_on {
            return None;
        }
        if self.heartbeat_proxy.came_back(machine, now) {
            return None;
        }
        self.heartbeat_proxy.unreached.retain(|_, until| now < *until);
        let near: Vec<&String> = self
            .cluster
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == self.cluster.settings.zone && !self.heartbeat_proxy.unreached.contains_key(&p.node))
            .map(|p| &p.node)
            .collect();
        let node = (*near.get(self.context.rng.usize(0..near.len().max(1)))?).clone();
        let rate = (self.heartbeat_proxy.served.len() as f64 * SENT_ON).max(1.0);
        self.heartbeat_proxy.next_sent_on = now + Micros::from_secs(1.0 / rate);
        Some(node)
    }

    fn send_away(&mut self, id: u64, machine: &str, to: String) {
        let now = self.context.now;
        self.heartbeat_proxy
            .sent_away
            .insert(machine.to_string(), (now, to.clone()));
        self.heartbeat_proxy.served.remove(machine);
        let body = to_cbor(&Redirect { report_to: Some(to) });
        self.context.reply(id, 421, body, None);
    }

    /// A worker reports to this node. Every node takes reports, so that none
    /// needs a connection to every worker; they are passed on to the leader.
    pub(in crate::coordination) fn on_report(&mut self, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        if let Some((_, last)) = self.heartbeat_proxy.served.get(&heartbeat.machine) {
            if (last.incarnation, last.sequence) >= (heartbeat.incarnation, heartbeat.sequence) {
                if heartbeat.incarnation < last.incarnation {
                    tracing::warn!(
                        machine = heartbeat.machine,
                        incarnation = heartbeat.incarnation,
                        last = last.incarnation,
                        "a report of an earlier session"
                    );
                }
                // A copy of a report that was taken in: nobody waits for the answer, and it must
                // move neither the worker nor what is known of it.
                return self.context.reply(id, 503, vec![], Some(1));
            }
        }
        if let Some(node) = self.less_busy(&heartbeat.machine) {
            return self.send_away(id, &heartbeat.machine, node);
        }
        self.heartbeat_proxy
            .served
            .insert(heartbeat.machine.clone(), (now, heartbeat.clone()));
        self.answer_report(id, heartbeat);
    }

    /// Answers a worker's report, now or when the leader has.
    pub(in crate::coordination) fn answer_report(&mut self, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        if self.election.role() == Role::Leader {
            if !self.attestations.may_renew(&self.election, &self.cluster, now) || self.is_foreign(&heartbeat) {
                return self.context.reply(id, 503, vec![], Some(1));
            }
            // A leader that can't know any more whether it leads, and hears nobody, would
            // hold workers that another one takes for dead.
            if !self.election.is_sure(now) && !self.forwarder.receives_store_answers(now) {
                if let Some(node) = self.better_placed(&heartbeat.machine) {
                    return self.send_away(id, &heartbeat.machine, node);
                }
            }
            let Some(leader) = self.leader.as_mut() else {
                return self.context.reply(id, 503, vec![], Some(1));
            };
            if !leader.is_loaded() || self.election.in_doubt() {
                // Answered as soon as the book is read, or the lease confirmed,
                // which takes moments.
                if leader.early_heartbeats.len() < EARLY {
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
            let body = to_cbor(&self.leaders_answer(&heartbeat, None));
            return self.context.reply(id, 200, body, None);
        }
        for t in &heartbeat.tasks {
            if let Some((job, _)) = parse_task(&t.task) {
                if t.phase != TaskPhase::Exited && self.api.phase(job).is_none() {
                    self.api.read_job(&mut self.context, job);
                }
            }
        }
        let known = self.election.leader().map(str::to_string);
        let Some(leader) = self.later_leader().or(known) else {
            // Nobody leads just now; a new leader is moments away.
            return self.keep(id, &heartbeat);
        };
        if !self.reaches_node(&leader) {
            // Connections to the leader are refused, but its host is there: the
            // worker may get through where this node does not. Where nothing
            // comes back, it would most likely wait in vain while its lease
            // runs out.
            let refused = self.peer_links.get(&leader) == Some(&Link::Refused);
            // A leader that had the state service by way of others only, and is not
            // heard by now, most likely leads no more.
            let lost = self.forwarder.link_table.last_reported_state(&leader, &Host::State) == LinkState::Down;
            if refused && !lost && !self.heartbeat_proxy.came_back(&heartbeat.machine, now) {
                return self.send_away(id, &heartbeat.machine, leader);
            }
            if let Some(node) = self.better_placed(&heartbeat.machine) {
                return self.send_away(id, &heartbeat.machine, node);
            }
            return self.keep(id, &heartbeat);
        }
        let number = self.context.id();
        let message = PeerMessage::Heartbeat {
            node: self.cluster.settings.node.clone(),
            id: number,
            heartbeat: heartbeat.clone(),
        };
        let passed = Forwarded {
            reply: id,
            heartbeat,
            at: now,
        };
        self.heartbeat_proxy.forwarded.insert(number, passed);
        self.context.effects.push(Effect::Peer { to: leader, message });
    }

    /// Answers a report alone, and remembers the machine as kept here.
    fn keep(&mut self, id: u64, heartbeat: &Heartbeat) {
        let (election, attestations, api) = (&self.election, &self.attestations, &self.api);
        if answer_alone(
            &mut self.context,
            election,
            attestations,
            api,
            &self.cluster,
            id,
            heartbeat,
        ) {
            self.heartbeat_proxy
                .kept
                .insert(heartbeat.machine.clone(), self.context.now);
        }
    }

    /// Another node passes on a report.
    pub(in crate::coordination) fn on_passed(&mut self, node: String, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        match self.leader.as_mut() {
            Some(leader) if !leader.is_loaded() || self.election.in_doubt() => {
                if leader.early_heartbeats.len() < EARLY {
                    leader.early_heartbeats.push(EarlyHeartbeat {
                        origin: HeartbeatOrigin::Controller(node, id),
                        heartbeat,
                        received_at: now,
                    });
                }
            }
            Some(_) => self.answer_forward(node, id, heartbeat),
            // No answer: the other node decides alone.
            None => {}
        }
    }

    /// Answers the reports that came before this leader could.
    pub(in crate::coordination) fn take_early_reports(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        for early in std::mem::take(&mut leader.early_heartbeats) {
            let (heartbeat, at) = (early.heartbeat, early.received_at);
            match early.origin {
                HeartbeatOrigin::Agent(id) => self.answer_report(id, heartbeat),
                HeartbeatOrigin::Controller(node, id) => self.answer_forward(node, id, heartbeat),
                HeartbeatOrigin::Memory(node) => self.take_recalled(&node, &heartbeat, at),
            }
        }
    }

    /// Whether a report has a token that this leader never gave out: a later leader did, or nobody.
    fn is_foreign(&self, heartbeat: &Heartbeat) -> bool {
        let (fencing_token, term) = (heartbeat.fencing_token, self.election.term());
        if fencing_token > term {
            tracing::warn!(
                machine = heartbeat.machine,
                fencing_token,
                term,
                "a report has a token that was never given out here"
            );
        }
        fencing_token > term
    }

    fn answer_forward(&mut self, node: String, id: u64, heartbeat: Heartbeat) {
        let now = self.context.now;
        let current = self.attestations.may_renew(&self.election, &self.cluster, now);
        if self.election.role() != Role::Leader || !current || self.is_foreign(&heartbeat) {
            return;
        }
        let commands = self.leaders_answer(&heartbeat, Some(&node));
        let message = PeerMessage::HeartbeatResponse { id, commands };
        self.context.effects.push(Effect::Peer { to: node, message });
    }

    /// What the leader answers to a report, here or by way of another node.
    fn leaders_answer(&mut self, heartbeat: &Heartbeat, via: Option<&str>) -> HeartbeatResponse {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else {
            return lease_renewal::dropped();
        };
        let due = leader.take_heartbeat(&self.cluster, heartbeat, via, now, now);
        if leader.must_lapse(&self.cluster, heartbeat, now) {
            tracing::warn!(
                machine = heartbeat.machine,
                "not answered: a cancelled job's start may be on its way there"
            );
            return lease_renewal::dropped();
        }
        let name = heartbeat.machine.as_str().into();
        let leave = Leave {
            fencing_token: self.election.term(),
            api: &self.api,
            now,
        };
        let commands = leader.commands_in_answer(&name, due, &leave);
        let answer = self
            .attestations
            .renewal(&self.election, &self.api, &self.cluster, heartbeat, commands, now);
        answer.unwrap_or_else(lease_renewal::dropped)
    }

    /// A new leader asks the others, once, what workers reported last: it would
    /// hear of its machines only over a whole report period otherwise.
    pub(in crate::coordination) fn ask_recall(&mut self) {
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
        for (at, heartbeat) in self.heartbeat_proxy.served.values() {
            leader.early_heartbeats.push(EarlyHeartbeat {
                origin: HeartbeatOrigin::Memory(node.clone()),
                heartbeat: heartbeat.clone(),
                received_at: *at,
            });
        }
    }

    /// Tells a new leader what workers reported here last.
    pub(in crate::coordination) fn recall(&mut self, to: String) {
        let now = self.context.now;
        let lease = Micros::from_secs(self.cluster.settings.params.workers.lease_s);
        let recent = |at: &Micros| now.since(*at) < lease;
        let heartbeats: Vec<(u32, Heartbeat)> = self
            .heartbeat_proxy
            .served
            .values()
            .filter(|(at, _)| recent(at))
            .map(|(at, heartbeat)| ((now.since(*at).0 / 1000) as u32, heartbeat.clone()))
            .collect();
        for some in heartbeats.chunks(RECALLED) {
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

    /// What workers reported last to another node.
    pub(in crate::coordination) fn on_recalled(&mut self, node: &str, heartbeats: Vec<(u32, Heartbeat)>) {
        let now = self.context.now;
        for (age_ms, heartbeat) in heartbeats {
            let at = Micros(now.0.saturating_sub(u64::from(age_ms) * 1000));
            match self.leader.as_mut() {
                Some(leader) if !leader.is_loaded() => {
                    if leader.early_heartbeats.len() < EARLY {
                        leader.early_heartbeats.push(EarlyHeartbeat {
                            origin: HeartbeatOrigin::Memory(node.to_string()),
                            heartbeat,
                            received_at: at,
                        });
                    }
                }
                Some(_) => self.take_recalled(node, &heartbeat, at),
                None => {}
            }
        }
    }

    /// A report that was answered before: what it says is as good as of any late
    /// report, but nobody waits for orders.
    fn take_recalled(&mut self, node: &str, heartbeat: &Heartbeat, at: Micros) {
        let now = self.context.now;
        let via = (node != self.cluster.settings.node).then_some(node);
        if let Some(leader) = self.leader.as_mut() {
            leader.take_heartbeat(&self.cluster, heartbeat, via, at, now);
        }
    }

    /// Sends commands to a worker for the leader.
    pub(in crate::coordination) fn relay(&mut self, node: String, id: u64, addr: String, body: PushedCommands) {
        // From a leader that was deposed meanwhile, or held up on the way until its job was
        // cancelled.
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
            timeout: DIRECT_TIMEOUT,
        });
    }
}
