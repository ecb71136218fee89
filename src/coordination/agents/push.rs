//! Messages sent straight to machines: one at a time for each, by way of the controller that the
//! machine reports to if that is heard.

use super::outbox::{Attempt, Leave};
use crate::coordination::api::JobApi;
use crate::coordination::election::{Election, Role};
use crate::coordination::state::{LeaderState, Machine, MachineId};
use crate::coordination::{ClusterConfig, Context, Effect, PushResult};
use crate::protocol::agents::{AgentCommand, Heartbeat, PushedCommands, TaskPhase};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;

/// A direct message with no answer by then is in doubt.
pub(super) const DIRECT_TIMEOUT: Micros = Micros::from_millis(1500);
/// The same by way of another controller.
pub(super) const RELAY_LIMIT: Micros = Micros::from_millis(2600);

/// A direct message on its way.
pub struct SentPush {
    pub machine: MachineId,
    pub commands: Vec<AgentCommand>,
    pub fencing_token: u64,
    /// By way of another controller.
    pub relayed: bool,
    pub at: Micros,
}

impl LeaderState {
    /// Sends what is due straight to the machines. It goes by way of the controller that the
    /// machine reports to, if that is heard: it has a way to the machine even where this one has
    /// none.
    pub fn flush_outboxes(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        reached: impl Fn(&str) -> bool,
    ) {
        if election.role() != Role::Leader {
            return;
        }
        let names: Vec<MachineId> = self.agents.outboxes.iter().cloned().collect();
        for name in names {
            self.flush_outbox(context, election, api, &name, &reached);
        }
    }

    fn flush_outbox(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        name: &MachineId,
        reached: impl Fn(&str) -> bool,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            self.agents.outboxes.remove(name);
            return;
        };
        if machine.outbox.in_flight.is_some() || machine.address.is_empty() {
            return;
        }
        let mut due = std::mem::take(&mut machine.outbox.due);
        let asks_for_report = std::mem::take(&mut due.asks_for_report);
        let leave = Leave {
            fencing_token: election.term(),
            api,
            now: context.now,
        };
        let commands = self.build_commands(name, &mut due, &leave);
        if due.is_empty() {
            self.agents.outboxes.remove(name);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.outbox.due = due;
        if commands.is_empty() && !asks_for_report {
            return;
        }
        let relay = machine.heartbeat_proxy.clone().filter(|node| reached(node));
        let (id, sent) = send(context, election, machine, commands, relay.as_deref());
        machine.outbox.in_flight = Some(id);
        self.agents.pushes_in_flight.insert(id, sent);
    }

    /// What came of a direct message.
    pub fn on_direct(&mut self, id: u64, answer: PushResult) {
        let Some(sent) = self.agents.pushes_in_flight.remove(&id) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&sent.machine) {
            machine.outbox.in_flight = None;
            match answer {
                PushResult::Done(_) | PushResult::Rejected(_) => machine.note_delivery(sent.at),
                PushResult::Unknown => machine.outbox.doubt(&sent.commands, sent.fencing_token),
                PushResult::NotSent => {}
            }
        }
        if let PushResult::Done(heartbeat) | PushResult::Rejected(heartbeat) = answer {
            if heartbeat.machine == *sent.machine {
                self.agents.push_heartbeats.push(heartbeat);
            }
        }
    }

    /// Takes in the reports that came as answers to direct messages.
    pub(super) fn take_direct_reports(&mut self, cluster: &ClusterConfig, now: Micros) {
        for heartbeat in std::mem::take(&mut self.agents.push_heartbeats) {
            let name: MachineId = heartbeat.machine.as_str().into();
            let via = self.machines.get(&name).and_then(|m| m.heartbeat_proxy.clone());
            self.take_report(cluster, &heartbeat, via.as_deref(), now, now);
            self.queue_forgets(&name, &heartbeat);
        }
    }

    /// Attempts that ended are forgotten at once; starts and stops go again with the answer to
    /// the machine's next report if need be.
    fn queue_forgets(&mut self, name: &MachineId, heartbeat: &Heartbeat) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let ended = heartbeat.tasks.iter().filter(|t| t.phase == TaskPhase::Exited);
        let attempts = ended.map(|t| Attempt {
            task: t.task.clone(),
            number: t.attempt,
        });
        machine.outbox.due.forgets.extend(attempts);
        if !machine.outbox.due.is_empty() {
            self.agents.outboxes.insert(name.clone());
        }
    }
}

/// Sends commands to a machine, directly or by way of another controller.
fn send(
    context: &mut Context,
    election: &Election,
    machine: &Machine,
    commands: Vec<AgentCommand>,
    relay: Option<&str>,
) -> (u64, SentPush) {
    let id = context.id();
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
            timeout: DIRECT_TIMEOUT,
        },
    });
    let sent = SentPush {
        machine: machine.name.clone(),
        commands,
        fencing_token,
        relayed: relay.is_some(),
        at: context.now,
    };
    (id, sent)
}
