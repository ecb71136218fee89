//! Machines that are heard and don't hear: their reports arrive, answers and commands don't
//! reach them. From one report alone such a machine can't be told from a healthy one. But a
//! worker that gets no answer tries the next controller, every time: its reports wander,
//! while those of a worker that hears stay where they are answered.
//!
//! A machine whose reports wander gets nothing new and is asked, with a command that does
//! nothing, whether it hears. What runs there is left alone: its lease ends by itself, and
//! the report of its next session proves that everything of it is gone.

use super::book::{Leader, Machine, MachineState};
use super::workers::SentDirect;
use super::{Effect, Shared};
use crate::protocol::workers::Direct;
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
    pub fn is_deaf(&self) -> bool {
        self.moves >= DEAF
    }

    /// A report came by way of this controller; `None`: here.
    pub fn listens(&mut self, via: Option<&str>, now: Micros) {
        if self.session > 0 && self.via.as_deref() != via {
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
        if self.is_deaf() && sent > Micros::ZERO {
            tracing::info!(machine = %self.name, "machine hears again");
        }
        self.moves = 0;
    }
}

impl Leader {
    /// Asks machines whose reports wander whether they hear.
    pub fn ask_the_deaf(&mut self, sh: &mut Shared, now: Micros) {
        let fence = self.term;
        let due = |m: &&mut Machine| {
            m.moves >= ASKED
                && m.state == MachineState::Up
                && m.outbox.in_flight.is_none()
                && now.since(m.asked_at) > AGAIN
        };
        for m in self.machines.values_mut().filter(due).take(AT_ONCE) {
            m.asked_at = now;
            let id = sh.id();
            m.outbox.in_flight = Some(id);
            let sent = SentDirect {
                machine: m.name.clone(),
                orders: vec![],
                fence,
                relayed: false,
                at: now,
            };
            self.direct.insert(id, sent);
            sh.out.push(Effect::Direct {
                id,
                addr: m.addr.clone(),
                body: Direct {
                    fence,
                    session: m.session,
                    orders: vec![],
                },
                timeout: LIMIT,
            });
        }
    }
}
