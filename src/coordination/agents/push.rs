//! Pushes: commands that the leader sends to agents outside of responses to heartbeats.
//!
//! At most one push is in flight to each machine. The push is relayed by the controller to which
//! the agent sends its heartbeats, if that controller can be reached. A push may be executed, or
//! executed again, at any time, so its starts are recorded in the machine's outbox.

use super::outbox::{Attempt, SendContext};
use crate::coordination::api::JobApi;
use crate::coordination::election::{Election, Role};
use crate::coordination::state::{LeaderState, Machine, MachineId};
use crate::coordination::{ClusterConfig, Context, Effect, PushResult};
use crate::protocol::agents::{AgentCommand, Cause, Heartbeat, PushedCommands, TaskPhase};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;

/// How long a push may go unanswered before its outcome counts as unknown.
pub(super) const PUSH_TIMEOUT: Micros = Micros::from_millis(1500);
/// [`PUSH_TIMEOUT`] for a push that another controller relays.
pub(super) const RELAY_TIMEOUT: Micros = Micros::from_millis(2600);

/// A push in flight.
pub struct SentPush {
    /// The machine of the agent.
    pub machine: MachineId,
    /// The commands in the push.
    pub commands: Vec<AgentCommand>,
    /// The fencing token of the push.
    pub fencing_token: u64,
    /// Whether another controller relays the push.
    pub relayed: bool,
    /// When the push was sent.
    pub sent_at: Micros,
}

impl LeaderState {
    /// Sends a push to each machine whose outbox has a reason and no push in flight.
    ///
    /// The push is relayed by the controller to which the agent sends its heartbeats if
    /// `is_reachable` returns true for that controller, because that controller reaches the machine
    /// even if this node does not.
    pub fn flush_outboxes(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        is_reachable: impl Fn(&str) -> bool,
    ) {
        if election.role() != Role::Leader {
            return;
        }
        let names: Vec<MachineId> = self.agents.outboxes.iter().cloned().collect();
        for name in names {
            self.flush_outbox(context, election, api, &name, &is_reachable);
        }
    }

    /// Sends the next push to one machine, if a command or a heartbeat is due.
    fn flush_outbox(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        name: &MachineId,
        is_reachable: impl Fn(&str) -> bool,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            self.agents.outboxes.remove(name);
            return;
        };
        if machine.outbox.in_flight.is_some() || machine.address.is_empty() {
            return;
        }
        let mut reasons = std::mem::take(&mut machine.outbox.reasons);
        if !machine.accepts_pushed_starts() {
            // The response to the next heartbeat, which doesn't list these tasks, starts them.
            reasons.starts.clear();
        }
        let wants_heartbeat = std::mem::take(&mut reasons.wants_heartbeat);
        let send_context = SendContext {
            fencing_token: election.term(),
            api,
            now: context.now,
        };
        let commands = self.build_commands(name, &mut reasons, &send_context);
        if reasons.is_empty() {
            self.agents.outboxes.remove(name);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.outbox.reasons = reasons;
        if commands.is_empty() && !wants_heartbeat {
            return;
        }
        let relay = machine.heartbeat_proxy.clone().filter(|node| is_reachable(node));
        let (id, sent) = send_push(context, election, machine, commands, relay.as_deref());
        machine.outbox.in_flight = Some(id);
        machine
            .outbox
            .sent_starts
            .record_push(&sent.commands, sent.fencing_token);
        self.agents.pushes_in_flight.insert(id, sent);
    }

    /// Handles the result of a push.
    pub fn on_push_result(&mut self, id: u64, answer: PushResult) {
        let Some(sent) = self.agents.pushes_in_flight.remove(&id) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&sent.machine) {
            machine.outbox.in_flight = None;
            match answer {
                PushResult::Done(_) | PushResult::Rejected(_) => {
                    machine.note_delivery(sent.sent_at);
                    machine.outbox.sent_starts.on_push_answer(&sent.commands);
                }
                PushResult::NotSent => machine.outbox.sent_starts.on_push_answer(&sent.commands),
                PushResult::Unknown => {}
            }
        }
        if let PushResult::Done(heartbeat) | PushResult::Rejected(heartbeat) = answer {
            if heartbeat.machine == *sent.machine {
                self.agents.push_heartbeats.push(heartbeat);
            }
        }
    }

    /// Applies the heartbeats that were received as answers to pushes.
    pub(super) fn apply_push_heartbeats(&mut self, cluster: &ClusterConfig, now: Micros) {
        for heartbeat in std::mem::take(&mut self.agents.push_heartbeats) {
            let name: MachineId = heartbeat.machine.as_str().into();
            let via = self.machines.get(&name).and_then(|m| m.heartbeat_proxy.clone());
            self.apply_heartbeat_content(cluster, &heartbeat, via.as_deref(), now, now);
            self.queue_forgets(&name, &heartbeat);
        }
    }

    /// Queues the attempts that have exited, so that the agent is commanded to forget them. Starts
    /// and stops are repeated in the response to the machine's next heartbeat if necessary.
    fn queue_forgets(&mut self, name: &MachineId, heartbeat: &Heartbeat) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        for ended in heartbeat.tasks.iter().filter(|t| t.phase == TaskPhase::Exited) {
            let attempt = Attempt {
                task: ended.task.clone(),
                number: ended.attempt,
            };
            let cause = ended.cause.unwrap_or(Cause::Other);
            let proof = machine.outbox.sent_starts.forget_proof(&attempt, cause, self.term);
            if proof.is_some() {
                machine.outbox.reasons.forgets.insert(attempt, cause);
            }
        }
        if !machine.outbox.reasons.is_empty() {
            self.agents.outboxes.insert(name.clone());
        }
    }
}

/// Sends commands to a machine, directly or through the controller `relay`; returns the request
/// number and the push.
fn send_push(
    context: &mut Context,
    election: &Election,
    machine: &Machine,
    commands: Vec<AgentCommand>,
    relay: Option<&str>,
) -> (u64, SentPush) {
    let id = context.next_id();
    let fencing_token = election.term();
    let addr = machine.address.clone();
    let body = PushedCommands {
        fencing_token,
        incarnation: machine.incarnation,
        commands: commands.clone(),
    };
    context.effects.push(match relay {
        Some(node) => Effect::Peer {
            to: node.to_string(),
            message: PeerMessage::RelayPush {
                node: election.node().to_string(),
                id,
                addr,
                body,
            },
        },
        None => Effect::PushedCommands {
            id,
            addr,
            body,
            timeout: PUSH_TIMEOUT,
        },
    });
    tracing::debug!(machine = %machine.name, push = id, relay, token = fencing_token, commands = commands.len(), "push sent");
    let sent = SentPush {
        machine: machine.name.clone(),
        commands,
        fencing_token,
        relayed: relay.is_some(),
        sent_at: context.now,
    };
    (id, sent)
}
