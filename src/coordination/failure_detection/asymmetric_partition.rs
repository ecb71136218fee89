//! Machines that are heard and don't hear: their reports arrive, answers and commands don't
//! reach them. From one report alone such a machine can't be told from a healthy one. But a
//! worker that gets no answer tries the next controller, every time: its reports wander,
//! while those of a worker that hears stay where they are answered.
//!
//! A machine whose reports wander gets nothing new and is asked, with a command that does
//! nothing, whether it hears. What runs there is left alone: its lease ends by itself, and
//! the report of its next session proves that everything of it is gone.

use crate::coordination::agents::SentPush;
use crate::coordination::state::{LeaderState, Machine, MachineState};
use crate::coordination::{Context, Effect};
use crate::protocol::agents::PushedCommands;
use crate::time::Micros;

/// Reports that wander before the machine is asked, and before it is taken for deaf. One
/// controller that ends or is cut off makes each of its workers move once.
const ASKED: u32 = 2;
const DEAF: u32 = 3;
/// Such a machine is asked again after this long, and so many at a time, so that many deaf
/// ones take few of this node's connections.
const AGAIN: Micros = Micros::from_millis(5000);
const AT_ONCE: usize = 12;
/// No answer by then is none: commands arrive in milliseconds or not at all.
const LIMIT: Micros = Micros::from_millis(1500);

impl Machine {
    /// Its reports arrive, and it most likely gets no answers.
    pub fn is_asymmetrically_partitioned(&self) -> bool {
        self.moves >= DEAF
    }

    /// A report came by way of this controller; `None`: here.
    pub fn listens(&mut self, via: Option<&str>, now: Micros) {
        if self.incarnation > 0 && self.via.as_deref() != via {
            self.moves += 1;
            if self.moves == DEAF {
                tracing::info!(machine = %self.name, tasks = self.tasks.len(), "machine doubted: it seems to get no answers");
            }
        } else {
            self.hears(now);
        }
    }

    /// It got what was sent to it at this time.
    pub fn hears(&mut self, sent: Micros) {
        if self.is_asymmetrically_partitioned() && sent > Micros::ZERO {
            tracing::info!(machine = %self.name, "machine hears again");
        }
        self.moves = 0;
    }
}

impl LeaderState {
    /// Asks machines whose reports wander whether they hear.
    pub fn probe_asymmetric_partitions(&mut self, context: &mut Context, now: Micros) {
        let fencing_token = self.term;
        let due = |m: &&mut Machine| {
            m.moves >= ASKED
                && m.state == MachineState::Up
                && m.outbox.in_flight.is_none()
                && now.since(m.asked_at) > AGAIN
        };
        for m in self.machines.values_mut().filter(due).take(AT_ONCE) {
            m.asked_at = now;
            let id = context.id();
            m.outbox.in_flight = Some(id);
            let sent = SentPush {
                machine: m.name.clone(),
                commands: vec![],
                fencing_token,
                relayed: false,
                sent_at: now,
            };
            self.agents.pushes_in_flight.insert(id, sent);
            context.out.push(Effect::PushedCommands {
                id,
                addr: m.addr.clone(),
                body: PushedCommands {
                    fencing_token,
                    incarnation: m.incarnation,
                    commands: vec![],
                },
                timeout: LIMIT,
            });
        }
    }
}
