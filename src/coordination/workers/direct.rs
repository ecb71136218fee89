//! Messages sent straight to machines: one at a time for each, by way of the controller that the
//! machine reports to if that is heard.

use super::outbox::{Attempt, Leave};
use crate::coordination::book::{Leader, Machine, MachineId};
use crate::coordination::desk::Desk;
use crate::coordination::leadership::{Leadership, Role};
use crate::coordination::{DirectAnswer, Effect, Shared, Site};
use crate::protocol::peer::PeerMessage;
use crate::protocol::workers::{Direct, Order, Report, TaskPhase};
use crate::time::Micros;

/// A direct message with no answer by then is in doubt.
pub(super) const DIRECT_TIMEOUT: Micros = Micros::from_millis(1500);
/// The same by way of another controller.
pub(super) const RELAY_LIMIT: Micros = Micros::from_millis(2600);

/// A direct message on its way.
pub struct SentDirect {
    pub machine: MachineId,
    pub orders: Vec<Order>,
    pub fence: u64,
    /// By way of another controller.
    pub relayed: bool,
    pub at: Micros,
}

impl Leader {
    /// Sends what is due straight to the machines. It goes by way of the controller that the
    /// machine reports to, if that is heard: it has a way to the machine even where this one has
    /// none.
    pub fn flush_outboxes(&mut self, sh: &mut Shared, lead: &Leadership, desk: &Desk, reached: impl Fn(&str) -> bool) {
        if lead.role() != Role::Leader {
            return;
        }
        let names: Vec<MachineId> = self.outboxes.iter().cloned().collect();
        for name in names {
            self.flush_outbox(sh, lead, desk, &name, &reached);
        }
    }

    fn flush_outbox(
        &mut self,
        sh: &mut Shared,
        lead: &Leadership,
        desk: &Desk,
        name: &MachineId,
        reached: impl Fn(&str) -> bool,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            self.outboxes.remove(name);
            return;
        };
        if machine.outbox.in_flight.is_some() || machine.addr.is_empty() {
            return;
        }
        let mut due = std::mem::take(&mut machine.outbox.due);
        let asks_for_report = std::mem::take(&mut due.asks_for_report);
        let leave = Leave {
            fence: lead.term(),
            desk,
            now: sh.now,
        };
        let commands = self.build_commands(name, &mut due, &leave);
        if due.is_empty() {
            self.outboxes.remove(name);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.outbox.due = due;
        if commands.is_empty() && !asks_for_report {
            return;
        }
        let relay = machine.via.clone().filter(|node| reached(node));
        let (id, sent) = send(sh, lead, machine, commands, relay.as_deref());
        machine.outbox.in_flight = Some(id);
        self.direct.insert(id, sent);
    }

    /// What came of a direct message.
    pub fn on_direct(&mut self, id: u64, answer: DirectAnswer) {
        let Some(sent) = self.direct.remove(&id) else { return };
        if let Some(machine) = self.machines.get_mut(&sent.machine) {
            machine.outbox.in_flight = None;
            match answer {
                DirectAnswer::Done(_) | DirectAnswer::Rejected(_) => machine.hears(sent.at),
                DirectAnswer::Unknown => machine.outbox.doubt(&sent.orders, sent.fence),
                DirectAnswer::NotSent => {}
            }
        }
        if let DirectAnswer::Done(report) | DirectAnswer::Rejected(report) = answer {
            if report.machine == *sent.machine {
                self.direct_reports.push(report);
            }
        }
    }

    /// Takes in the reports that came as answers to direct messages.
    pub(super) fn take_direct_reports(&mut self, site: &Site, now: Micros) {
        for report in std::mem::take(&mut self.direct_reports) {
            let name: MachineId = report.machine.as_str().into();
            let via = self.machines.get(&name).and_then(|m| m.via.clone());
            self.take_report(site, &report, via.as_deref(), now, now);
            self.queue_forgets(&name, &report);
        }
    }

    /// Attempts that ended are forgotten at once; starts and stops go again with the answer to
    /// the machine's next report if need be.
    fn queue_forgets(&mut self, name: &MachineId, report: &Report) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let ended = report.tasks.iter().filter(|t| t.phase == TaskPhase::Exited);
        let attempts = ended.map(|t| Attempt {
            task: t.task.clone(),
            number: t.attempt,
        });
        machine.outbox.due.forgets.extend(attempts);
        if !machine.outbox.due.is_empty() {
            self.outboxes.insert(name.clone());
        }
    }
}

/// Sends commands to a machine, directly or by way of another controller.
fn send(
    sh: &mut Shared,
    lead: &Leadership,
    machine: &Machine,
    orders: Vec<Order>,
    relay: Option<&str>,
) -> (u64, SentDirect) {
    let id = sh.id();
    let fence = lead.term();
    let addr = machine.addr.clone();
    let body = Direct {
        fence,
        session: machine.session,
        orders: orders.clone(),
    };
    sh.out.push(match relay {
        Some(node) => Effect::Peer {
            to: node.to_string(),
            message: PeerMessage::Relay {
                node: lead.node().to_string(),
                id,
                addr,
                body,
            },
        },
        None => Effect::Direct {
            id,
            addr,
            body,
            timeout: DIRECT_TIMEOUT,
        },
    });
    let sent = SentDirect {
        machine: machine.name.clone(),
        orders,
        fence,
        relayed: relay.is_some(),
        at: sh.now,
    };
    (id, sent)
}
