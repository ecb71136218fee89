//! Commands to workers, sent straight to their machines.

use super::parse_task;
use crate::coordination::book::{Leader, Machine, MachineId};
use crate::coordination::leadership::{Leadership, Role};
use crate::coordination::renewal::ORDERS;
use crate::coordination::{DirectAnswer, Effect, JobId, Shared};
use crate::protocol::peer::PeerMessage;
use crate::protocol::workers::{Direct, Order};
use crate::time::Micros;
use std::collections::BTreeMap;

/// A direct order with no answer by then is in doubt.
pub(super) const DIRECT_TIMEOUT: Micros = Micros::from_millis(1500);
/// The same by way of another node.
pub(super) const RELAY_LIMIT: Micros = Micros::from_millis(2600);

/// Direct orders on their way.
pub struct SentDirect {
    pub machine: MachineId,
    pub orders: Vec<Order>,
    pub fence: u64,
    /// By way of another node, since then.
    pub relayed: bool,
    pub at: Micros,
}

impl Leader {
    /// Sends what is urgent straight to the machines, one message at a time for
    /// each.
    /// They go by way of the node that the machine reports to, if that is heard:
    /// it has a way to the machine even where this one has none.
    pub fn flush_direct(&mut self, sh: &mut Shared, lead: &Leadership, reached: impl Fn(&str) -> bool) {
        if lead.role() != Role::Leader {
            return;
        }
        let mut starts: Vec<(JobId, u32)> = vec![];
        let names: Vec<MachineId> = self.urgent.iter().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                self.urgent.remove(&name);
                continue;
            };
            if m.urgent.is_empty() {
                self.urgent.remove(&name);
                continue;
            }
            if m.flying.is_some() || m.addr.is_empty() {
                continue;
            }
            let rest = m.urgent.split_off(m.urgent.len().min(ORDERS));
            let orders = std::mem::replace(&mut m.urgent, rest);
            for order in &orders {
                if let Order::Start { task, .. } = order {
                    if let Some((job, n)) = parse_task(task) {
                        starts.push((job.into(), n));
                    }
                }
            }
            let by = m.via.clone().filter(|node| reached(node));
            sh_send(sh, &mut self.direct, m, orders, lead, by.as_deref());
        }
        for (id, task) in starts {
            if let Some(p) = self.jobs.get_mut(&id).and_then(|j| j.placed.get_mut(&task)) {
                p.fence = p.fence.max(lead.term());
            }
        }
    }

    /// What came of orders sent straight to a machine.
    pub fn on_direct(&mut self, id: u64, answer: DirectAnswer) {
        let Some(sent) = self.direct.remove(&id) else { return };
        if let Some(m) = self.machines.get_mut(&sent.machine) {
            m.flying = None;
            if matches!(answer, DirectAnswer::Done(_) | DirectAnswer::Rejected(_)) {
                m.hears(sent.at);
            }
            if answer == DirectAnswer::Unknown {
                for order in &sent.orders {
                    if let Order::Start { task, attempt } = order {
                        m.in_doubt.insert((task.clone(), *attempt), sent.fence);
                    }
                }
            }
        }
        if let DirectAnswer::Done(report) | DirectAnswer::Rejected(report) = answer {
            if report.machine == *sent.machine {
                self.direct_reports.push(report);
            }
        }
    }
}

fn sh_send(
    sh: &mut Shared,
    direct: &mut BTreeMap<u64, SentDirect>,
    m: &mut Machine,
    orders: Vec<Order>,
    lead: &Leadership,
    by: Option<&str>,
) {
    let id = sh.id();
    let fence = lead.term();
    m.flying = Some(id);
    let body = Direct {
        fence,
        session: m.session,
        orders: orders.clone(),
    };
    let addr = m.addr.clone();
    sh.out.push(match by {
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
        machine: m.name.clone(),
        orders,
        fence,
        relayed: by.is_some(),
        at: sh.now,
    };
    direct.insert(id, sent);
}
