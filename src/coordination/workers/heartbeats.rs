//! Ways of a worker's report: here, to the leader, and to a new leader from memory.

use super::caretaker::{answer_alone, Forwarded};
use super::direct::DIRECT_TIMEOUT;
use super::outbox::{starts_cancelled, Leave};
use super::parse_task;
use crate::coordination::book::EarlyReport;
use crate::coordination::leadership::Role;
use crate::coordination::renewal::{self};
use crate::coordination::{times, Core, DirectAnswer, Effect};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::to_cbor;
use crate::protocol::workers::{Direct, Elsewhere, Order, Orders, Report, TaskPhase};
use crate::time::Micros;
use glenhaven_links::{Host, Sure};

/// Reports that wait until a new leader can answer them.
const EARLY: usize = 4000;
/// Reports in one message to a new leader, well under the limit of a frame.
const RECALLED: usize = 30;
/// A node takes this many workers more than a third beyond the one with the
/// fewest before it sends new ones there.
const UNEVEN: u32 = 16;
/// Share of its workers that a node which hears no other one sends on in a second.
const SENT_ON: f64 = 0.25;

impl Core {
    /// Whether messages reach this node and come back, directly or by way of another.
    fn reaches_node(&self, node: &str) -> bool {
        self.carry.reaches(node, self.sh.now)
    }

    /// A node with far fewer workers, for one that reports here for the first
    /// time.
    fn less_busy(&mut self, machine: &str) -> Option<String> {
        let now = self.sh.now;
        let known = self.care.served.get(machine);
        let lease = Micros::from_secs(self.site.settings.params.workers.lease_s);
        if known.is_some_and(|(at, _)| now.since(*at) < lease) || self.care.came_back(machine, now) {
            return None;
        }
        self.care.unreached.retain(|_, until| now < *until);
        let own = self.care.serves(now, self.lead.role() == Role::Leader);
        let (node, least) = self
            .peers
            .iter()
            .filter(|(name, p)| p.fresh && self.reaches_node(name) && !self.care.unreached.contains_key(*name))
            // One that keeps ending has few workers every time that it is back.
            .filter(|(_, p)| now.since(p.since) > times::SETTLED)
            .map(|(name, p)| (name.clone(), p.serves))
            .min_by_key(|(_, serves)| *serves)?;
        (own > least + least / 3 + UNEVEN).then_some(node)
    }

    /// Another node for a worker that this one can do little for: it exchanges nothing
    /// with any other controller, not even in its own zone. Then its own links fail, not
    /// those of the zone, and the worker most likely reaches its neighbours. They are sent on a few at a time: each is lost to this
    /// node's answers, and spends some of its lease, if the guess is wrong.
    fn better_placed(&mut self, machine: &str) -> Option<String> {
        let now = self.sh.now;
        let picture = &self.carry.picture;
        let alone = self
            .site
            .settings
            .peers
            .iter()
            .all(|p| picture.own(&Host::Node(p.node.clone()), now) < Sure::Slow);
        if !alone || now < self.care.next_sent_on {
            return None;
        }
        if self.care.came_back(machine, now) {
            return None;
        }
        self.care.unreached.retain(|_, until| now < *until);
        let near: Vec<&String> = self
            .site
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == self.site.settings.zone && !self.care.unreached.contains_key(&p.node))
            .map(|p| &p.node)
            .collect();
        let node = (*near.get(self.sh.rng.usize(0..near.len().max(1)))?).clone();
        let rate = (self.care.served.len() as f64 * SENT_ON).max(1.0);
        self.care.next_sent_on = now + Micros::from_secs(1.0 / rate);
        Some(node)
    }

    fn send_away(&mut self, id: u64, machine: &str, to: String) {
        let now = self.sh.now;
        self.care.sent_away.insert(machine.to_string(), (now, to.clone()));
        self.care.served.remove(machine);
        let body = to_cbor(&Elsewhere { report_to: Some(to) });
        self.sh.reply(id, 421, body, None);
    }

    /// A worker reports to this node. Every node takes reports, so that none
    /// needs a connection to every worker; they are passed on to the leader.
    pub(in crate::coordination) fn on_report(&mut self, id: u64, report: Report) {
        let now = self.sh.now;
        if let Some((_, last)) = self.care.served.get(&report.machine) {
            if (last.session, last.serial) >= (report.session, report.serial) {
                if report.session < last.session {
                    tracing::warn!(
                        machine = report.machine,
                        session = report.session,
                        last = last.session,
                        "a report of an earlier session"
                    );
                }
                // A copy of a report that was taken in: nobody waits for the answer, and it must
                // move neither the worker nor what is known of it.
                return self.sh.reply(id, 503, vec![], Some(1));
            }
        }
        if let Some(node) = self.less_busy(&report.machine) {
            return self.send_away(id, &report.machine, node);
        }
        self.care.served.insert(report.machine.clone(), (now, report.clone()));
        self.answer_report(id, report);
    }

    /// Answers a worker's report, now or when the leader has.
    pub(in crate::coordination) fn answer_report(&mut self, id: u64, report: Report) {
        let now = self.sh.now;
        if self.lead.role() == Role::Leader {
            if !self.vouchers.may_renew(&self.lead, &self.site, now) || self.is_foreign(&report) {
                return self.sh.reply(id, 503, vec![], Some(1));
            }
            // A leader that can't know any more whether it leads, and hears nobody, would
            // hold workers that another one takes for dead.
            if !self.lead.is_sure(now) && !self.carry.hears_state(now) {
                if let Some(node) = self.better_placed(&report.machine) {
                    return self.send_away(id, &report.machine, node);
                }
            }
            let Some(leader) = self.leader.as_mut() else {
                return self.sh.reply(id, 503, vec![], Some(1));
            };
            if !leader.is_loaded() || self.lead.in_doubt() {
                // Answered as soon as the book is read, or the lease confirmed,
                // which takes moments.
                if leader.early_reports.len() < EARLY {
                    leader.early_reports.push((EarlyReport::Worker(id), report, now));
                } else {
                    self.sh.reply(id, 503, vec![], Some(1));
                }
                return;
            }
            let body = to_cbor(&self.leaders_answer(&report, None));
            return self.sh.reply(id, 200, body, None);
        }
        for t in &report.tasks {
            if let Some((job, _)) = parse_task(&t.task) {
                if t.phase != TaskPhase::Exited && self.desk.phase(job).is_none() {
                    self.desk.read_job(&mut self.sh, job);
                }
            }
        }
        let known = self.lead.leader().map(str::to_string);
        let Some(leader) = self.later_leader().or(known) else {
            // Nobody leads just now; a new leader is moments away.
            return self.keep(id, &report);
        };
        if !self.reaches_node(&leader) {
            // Connections to the leader are refused, but its host is there: the
            // worker may get through where this node does not. Where nothing
            // comes back, it would most likely wait in vain while its lease
            // runs out.
            let refused = self.links.get(&leader) == Some(&Link::Refused);
            // A leader that had the state service by way of others only, and is not
            // heard by now, most likely leads no more.
            let lost = self.carry.picture.last_told(&leader, &Host::State) == Sure::Down;
            if refused && !lost && !self.care.came_back(&report.machine, now) {
                return self.send_away(id, &report.machine, leader);
            }
            if let Some(node) = self.better_placed(&report.machine) {
                return self.send_away(id, &report.machine, node);
            }
            return self.keep(id, &report);
        }
        let number = self.sh.id();
        let message = PeerMessage::Report {
            node: self.site.settings.node.clone(),
            id: number,
            report: report.clone(),
        };
        let passed = Forwarded {
            reply: id,
            report,
            at: now,
        };
        self.care.forwarded.insert(number, passed);
        self.sh.out.push(Effect::Peer { to: leader, message });
    }

    /// Answers a report alone, and remembers the machine as kept here.
    fn keep(&mut self, id: u64, report: &Report) {
        let (lead, vouchers, desk) = (&self.lead, &self.vouchers, &self.desk);
        if answer_alone(&mut self.sh, lead, vouchers, desk, &self.site, id, report) {
            self.care.kept.insert(report.machine.clone(), self.sh.now);
        }
    }

    /// Another node passes on a report.
    pub(in crate::coordination) fn on_passed(&mut self, node: String, id: u64, report: Report) {
        let now = self.sh.now;
        match self.leader.as_mut() {
            Some(leader) if !leader.is_loaded() || self.lead.in_doubt() => {
                if leader.early_reports.len() < EARLY {
                    leader.early_reports.push((EarlyReport::Peer(node, id), report, now));
                }
            }
            Some(_) => self.answer_forward(node, id, report),
            // No answer: the other node decides alone.
            None => {}
        }
    }

    /// Answers the reports that came before this leader could.
    pub(in crate::coordination) fn take_early_reports(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        for (from, report, at) in std::mem::take(&mut leader.early_reports) {
            match from {
                EarlyReport::Worker(id) => self.answer_report(id, report),
                EarlyReport::Peer(node, id) => self.answer_forward(node, id, report),
                EarlyReport::Recalled(node) => self.take_recalled(&node, &report, at),
            }
        }
    }

    /// Whether a report has a token that this leader never gave out: a later leader did, or nobody.
    fn is_foreign(&self, report: &Report) -> bool {
        let (fence, term) = (report.fence, self.lead.term());
        if fence > term {
            tracing::warn!(
                machine = report.machine,
                fence,
                term,
                "a report has a token that was never given out here"
            );
        }
        fence > term
    }

    fn answer_forward(&mut self, node: String, id: u64, report: Report) {
        let now = self.sh.now;
        let current = self.vouchers.may_renew(&self.lead, &self.site, now);
        if self.lead.role() != Role::Leader || !current || self.is_foreign(&report) {
            return;
        }
        let orders = self.leaders_answer(&report, Some(&node));
        let message = PeerMessage::Answered { id, orders };
        self.sh.out.push(Effect::Peer { to: node, message });
    }

    /// What the leader answers to a report, here or by way of another node.
    fn leaders_answer(&mut self, report: &Report, via: Option<&str>) -> Orders {
        let now = self.sh.now;
        let Some(leader) = self.leader.as_mut() else {
            return renewal::dropped();
        };
        let due = leader.take_heartbeat(&self.site, report, via, now, now);
        if leader.must_lapse(&self.site, report, now) {
            tracing::warn!(
                machine = report.machine,
                "not answered: a cancelled job's start may be on its way there"
            );
            return renewal::dropped();
        }
        let name = report.machine.as_str().into();
        let leave = Leave {
            fence: self.lead.term(),
            desk: &self.desk,
            now,
        };
        let orders = leader.commands_in_answer(&name, due, &leave);
        let answer = self
            .vouchers
            .renewal(&self.lead, &self.desk, &self.site, report, orders, now);
        answer.unwrap_or_else(renewal::dropped)
    }

    /// A new leader asks the others, once, what workers reported last: it would
    /// hear of its machines only over a whole report period otherwise.
    pub(in crate::coordination) fn ask_recall(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.incarnation != self.recalled) else {
            return;
        };
        self.recalled = leader.incarnation;
        let node = self.site.settings.node.clone();
        for peer in &self.site.settings.peers {
            let message = PeerMessage::Recall { node: node.clone() };
            self.sh.out.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        for (at, report) in self.care.served.values() {
            let from = EarlyReport::Recalled(node.clone());
            leader.early_reports.push((from, report.clone(), *at));
        }
    }

    /// Tells a new leader what workers reported here last.
    pub(in crate::coordination) fn recall(&mut self, to: String) {
        let now = self.sh.now;
        let lease = Micros::from_secs(self.site.settings.params.workers.lease_s);
        let recent = |at: &Micros| now.since(*at) < lease;
        let reports: Vec<(u32, Report)> = self
            .care
            .served
            .values()
            .filter(|(at, _)| recent(at))
            .map(|(at, report)| ((now.since(*at).0 / 1000) as u32, report.clone()))
            .collect();
        for some in reports.chunks(RECALLED) {
            let message = PeerMessage::Recalled {
                node: self.site.settings.node.clone(),
                reports: some.to_vec(),
            };
            self.sh.out.push(Effect::Peer {
                to: to.clone(),
                message,
            });
        }
    }

    /// What workers reported last to another node.
    pub(in crate::coordination) fn on_recalled(&mut self, node: &str, reports: Vec<(u32, Report)>) {
        let now = self.sh.now;
        for (age_ms, report) in reports {
            let at = Micros(now.0.saturating_sub(u64::from(age_ms) * 1000));
            match self.leader.as_mut() {
                Some(leader) if !leader.is_loaded() => {
                    if leader.early_reports.len() < EARLY {
                        let from = EarlyReport::Recalled(node.to_string());
                        leader.early_reports.push((from, report, at));
                    }
                }
                Some(_) => self.take_recalled(node, &report, at),
                None => {}
            }
        }
    }

    /// A report that was answered before: what it says is as good as of any late
    /// report, but nobody waits for orders.
    fn take_recalled(&mut self, node: &str, report: &Report, at: Micros) {
        let now = self.sh.now;
        let via = (node != self.site.settings.node).then_some(node);
        if let Some(leader) = self.leader.as_mut() {
            leader.take_heartbeat(&self.site, report, via, at, now);
        }
    }

    /// Sends commands to a worker for the leader.
    pub(in crate::coordination) fn relay(&mut self, node: String, id: u64, addr: String, body: Direct) {
        // From a leader that was deposed meanwhile, or held up on the way until its job was
        // cancelled.
        let cancelled = |command: &Order| starts_cancelled(&self.desk, command);
        if body.fence < self.lead.term() || body.orders.iter().any(cancelled) {
            let answer = DirectAnswer::NotSent;
            let message = PeerMessage::Relayed { id, answer };
            self.sh.out.push(Effect::Peer { to: node, message });
            return;
        }
        let own = self.sh.id();
        self.relays.insert(own, (node, id));
        self.sh.out.push(Effect::Direct {
            id: own,
            addr,
            body,
            timeout: DIRECT_TIMEOUT,
        });
    }
}
