//! Asymmetric partitions: machines whose heartbeats arrive, while answers and commands do not reach
//! them.
//!
//! A single heartbeat of such a machine looks like that of a healthy one. But an agent that
//! receives no answer tries the next controller each time, so its heartbeats keep changing
//! controllers, while those of an agent that receives answers stay with the controller that sends
//! them.
//!
//! A machine whose heartbeats keep changing controllers gets no new work and is probed with an
//! empty list of commands. Its running tasks are left alone: its lease expires, and the heartbeat
//! of the agent's next incarnation proves that all of them are gone.

use crate::coordination::agents::SentPush;
use crate::coordination::state::{LeaderState, Machine, MachineState};
use crate::coordination::{Context, Effect};
use crate::protocol::agents::PushedCommands;
use crate::time::Micros;

/// Consecutive changes of controller after which a machine is probed. A single controller that
/// stops or is cut off causes one change for each of its agents.
const CHANGES_UNTIL_PROBED: u32 = 2;
/// Consecutive changes of controller after which a machine is treated as partitioned.
const CHANGES_UNTIL_PARTITIONED: u32 = 3;
/// Minimum time between two probes of the same machine.
const PROBE_INTERVAL: Micros = Micros::from_millis(5000);
/// Maximum number of probes sent at a time, so that many partitioned machines use few connections
/// of this node.
const MAX_PROBES: usize = 12;
/// Timeout for the answer to a probe: commands arrive within milliseconds or not at all.
const PROBE_TIMEOUT: Micros = Micros::from_millis(1500);

impl Machine {
    /// Whether the machine's heartbeats arrive while it most likely receives no answers.
    pub fn is_asymmetrically_partitioned(&self) -> bool {
        self.controller_changes >= CHANGES_UNTIL_PARTITIONED
    }

    /// Records the controller through which a heartbeat came; `None` stands for this one.
    pub fn note_heartbeat_route(&mut self, via: Option<&str>, now: Micros) {
        if self.incarnation > 0 && self.heartbeat_proxy.as_deref() != via {
            self.controller_changes += 1;
            if self.controller_changes == CHANGES_UNTIL_PARTITIONED {
                tracing::info!(
                    machine = %self.name,
                    tasks = self.tasks.len(),
                    "machine suspected of an asymmetric partition: its agent seems to receive no answers"
                );
            }
        } else {
            self.note_delivery(now);
        }
    }

    /// Records that the machine received what was sent to it at `sent`, which is zero if unknown.
    pub fn note_delivery(&mut self, sent: Micros) {
        if self.is_asymmetrically_partitioned() && sent > Micros::ZERO {
            tracing::info!(
                machine = %self.name,
                "machine no longer suspected of an asymmetric partition: its agent receives answers again"
            );
        }
        self.controller_changes = 0;
    }
}

impl LeaderState {
    /// Probes machines whose heartbeats keep changing controllers.
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
            let id = context.next_id();
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
