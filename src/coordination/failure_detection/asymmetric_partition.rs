//! Asymmetric partitions: machines whose heartbeats arrive, while answers and commands do not reach
//! them.
//!
//! From one heartbeat alone such a machine cannot be told from a healthy one. But an agent that gets
//! no answer tries the next controller, every time: its heartbeats wander, while those of an agent
//! that is answered stay with the controller that answers.
//!
//! A machine whose heartbeats wander gets nothing new and is probed with a command that does
//! nothing. What runs there is left alone: its lease ends by itself, and the heartbeat of its next
//! session proves that everything on it is gone.

use crate::coordination::agents::SentPush;
use crate::coordination::state::{LeaderState, Machine, MachineState};
use crate::coordination::{Context, Effect};
use crate::protocol::agents::PushedCommands;
use crate::time::Micros;

/// Changes of controller in a row after which the machine is probed. One controller that ends or is
/// cut off makes each of its agents change once.
const CHANGES_UNTIL_PROBED: u32 = 2;
/// Changes of controller in a row after which the machine is taken to be partitioned.
const CHANGES_UNTIL_PARTITIONED: u32 = 3;
/// A machine is probed again after this long.
const PROBE_INTERVAL: Micros = Micros::from_millis(5000);
/// Probes sent at a time, so that many partitioned machines take few connections of this node.
const MAX_PROBES: usize = 12;
/// How long the answer to a probe is waited for: commands arrive in milliseconds or not at all.
const PROBE_TIMEOUT: Micros = Micros::from_millis(1500);

impl Machine {
    /// Whether its heartbeats arrive while it most likely gets no answers.
    pub fn is_asymmetrically_partitioned(&self) -> bool {
        self.controller_changes >= CHANGES_UNTIL_PARTITIONED
    }

    /// Notes the controller through which a heartbeat came; `None`: this one.
    pub fn note_heartbeat_route(&mut self, via: Option<&str>, now: Micros) {
        if self.incarnation > 0 && self.heartbeat_proxy.as_deref() != via {
            self.controller_changes += 1;
            if self.controller_changes == CHANGES_UNTIL_PARTITIONED {
                tracing::info!(
                    machine = %self.name,
                    tasks = self.tasks.len(),
                    "machine suspected: it seems to get no answers"
                );
            }
        } else {
            self.note_delivery(now);
        }
    }

    /// Notes that it got what was sent to it at this time; zero if that is not known.
    pub fn note_delivery(&mut self, sent: Micros) {
        if self.is_asymmetrically_partitioned() && sent > Micros::ZERO {
            tracing::info!(machine = %self.name, "machine no longer suspected: it gets answers again");
        }
        self.controller_changes = 0;
    }
}

impl LeaderState {
    /// Probes machines whose heartbeats wander.
    pub fn probe_asymmetric_partitions(&mut self, context: &mut Context, now: Micros) {
        let fencing_token = self.term;
        let due = |m: &&mut Machine| {
            m.controller_changes >= CHANGES_UNTIL_PROBED
                && m.state == MachineState::Up
                && m.outbox.in_flight.is_none()
                && now.since(m.probed_at) > PROBE_INTERVAL
        };
        for machine in self.machines.values_mut().filter(due).take(MAX_PROBES) {
            machine.probed_at = now;
            let id = context.id();
            machine.outbox.in_flight = Some(id);
            let sent = SentPush {
                machine: machine.name.clone(),
                commands: vec![],
                fencing_token,
                relayed: false,
                sent_at: now,
            };
            self.agents.pushes_in_flight.insert(id, sent);
            context.effects.push(Effect::PushedCommands {
                id,
                addr: machine.address.clone(),
                body: PushedCommands {
                    fencing_token,
                    incarnation: machine.incarnation,
                    commands: vec![],
                },
                timeout: PROBE_TIMEOUT,
            });
        }
    }
}
