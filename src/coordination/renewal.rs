//! The one place that decides whether an answer may renew a worker's lease, and what such an
//! answer says of cancelled jobs.
//!
//! The invariant: a cancellation that a user was told of at C has no task left, and none that
//! may still begin, at C + `cancel_s`. Every answer that renews a lease rests on an instant K:
//! what was read by requests sent at K or later proves the term and every cancellation that
//! anybody had confirmed before K. The lease that it gives ends by K + `cancel_s`, with
//! drifting clocks. If C is after K, the lease ends in time by itself. If C is before K, the
//! cancellation is known here, and the answer stops its tasks; a start of it that may still be
//! on its way is either refused by the worker because of the answer's higher fence, or the
//! answer renews nothing that lasts beyond C + `cancel_s`. `docs/design/renewals.md` goes
//! through every path.
//!
//! K is when the state service was asked. While it answers nobody, the leader's K can move on by
//! the word of all other controllers, each of which says for this very question what it has
//! confirmed and that it knows no later term: who confirms cancellations is one of them. One
//! that is missing, or that began after what this node knows, may have confirmed anything:
//! then K stands still. A node that answers without the leader has no such K: it doesn't know
//! which starts the leader has on their way, and relies on the leader to raise the term.

use super::book::{Leader, MachineId, Stage};
use super::desk::Desk;
use super::leadership::{Leadership, Role};
use super::{Core, Effect, Site};
use crate::bookkeeping::records::{JobValue, VOUCHES};
use crate::protocol::peer::PeerMessage;
use crate::protocol::users::Phase;
use crate::protocol::workers::{Order, Orders, Report, TaskPhase};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Orders in one message, well under the 64 KiB for responses.
pub const ORDERS: usize = 300;
/// Without an answer of the state service for this long the others are asked.
const ASK_AFTER: Micros = Micros::from_millis(2500);
const ASK_EVERY: Micros = Micros::from_millis(1000);
/// Cancellations in one word at the most, well under the limit of a frame.
const VOUCHED: usize = 8000;
/// A start that is no longer wanted is waited for so long before the term is raised.
const SETTLES: Micros = Micros::from_millis(3000);

/// What the other controllers said while the state service did not answer.
pub struct Vouchers {
    /// The number of the question that is out, when it was sent, and who has yet to answer.
    round: u64,
    sent: Micros,
    missing: BTreeSet<String>,
    next: Micros,
    /// When the last question was sent that all have answered.
    proven: Micros,
}

impl Vouchers {
    pub fn new(now: Micros) -> Vouchers {
        Vouchers {
            round: 0,
            sent: now,
            missing: BTreeSet::new(),
            next: now,
            proven: Micros::ZERO,
        }
    }

    /// The instant K: every cancellation that was confirmed before it is known here.
    pub fn proven(&self, lead: &Leadership) -> Micros {
        match lead.role() {
            Role::Leader => lead.fresh().max(self.proven),
            Role::Follower => lead.fresh(),
        }
    }

    /// Whether a lease that is renewed now ends by K + `cancel_s`.
    pub fn may_renew(&self, lead: &Leadership, site: &Site, now: Micros) -> bool {
        lead.is_known() && now.since(self.proven(lead)) < site.knowledge_limit()
    }

    /// An answer that renews the lease of a worker which reported this, if one may be given.
    /// `orders` are what the leader has for it.
    pub fn renewal(
        &self,
        lead: &Leadership,
        desk: &Desk,
        site: &Site,
        report: &Report,
        mut orders: Vec<Order>,
        now: Micros,
    ) -> Option<Orders> {
        if !self.may_renew(lead, site, now) || report.fence > lead.term() {
            return None;
        }
        add_stops(desk, report, &mut orders);
        let fence = lead.term();
        Some(Orders { fence, orders })
    }

    /// Begins to ask the others.
    pub fn ask(&mut self, round: u64, peers: impl Iterator<Item = String>, now: Micros) {
        self.round = round;
        self.sent = now;
        self.missing = peers.collect();
    }

    /// One has answered, and knows this term; whether K has moved on. One that knows a later
    /// term than this node proves the opposite.
    pub fn answered(&mut self, lead: &Leadership, node: &str, round: u64, term: u64) -> bool {
        if round != self.round || term > lead.term() || !self.missing.remove(node) || !self.missing.is_empty() {
            return false;
        }
        self.proven = self.proven.max(self.sent);
        true
    }
}

/// An answer that a worker has to drop: it waits for its next report, renews nothing, and no
/// other controller answers this one in its stead.
pub fn dropped() -> Orders {
    Orders {
        fence: 0,
        orders: vec![],
    }
}

/// Every task of a job that is known here to be cancelled is stopped, without saving.
pub fn add_stops(desk: &Desk, report: &Report, orders: &mut Vec<Order>) {
    for t in report.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
        let cancelled =
            super::workers::parse_task(&t.task).is_some_and(|(job, _)| desk.phase(job) == Some(Phase::Cancelled));
        let stopped = |o: &Order| matches!(o, Order::Stop { task, attempt, grace_s } if *task == t.task && *attempt == t.attempt && *grace_s == 0.0);
        if cancelled && orders.len() < ORDERS && !orders.iter().any(stopped) {
            orders.push(Order::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            });
        }
    }
}

impl Leader {
    /// Machines that may still hold, or get, a task of a cancelled job. One whose start was
    /// never seen, sent under the present term, may reach its machine at any time, also one
    /// that only another controller hears: with a higher term, answers of whoever answers
    /// the machine raise its fence.
    pub fn look_for_unsettled(&mut self, now: Micros) {
        self.unsettled.clear();
        let mut flies = false;
        for job in self.jobs.values().filter(|j| j.cancelled.is_some()) {
            for p in job.placed.values().filter(|p| now.since(p.stop_at) > SETTLES) {
                flies |= p.sent && p.stage == Stage::Sent && p.fence >= self.term;
                self.unsettled.insert(p.machine.clone());
            }
        }
        if flies {
            self.new_term = Some("a start of a cancelled job may still be on its way");
        }
    }

    /// Whether an answer to this report would let a start that may still be on its way run
    /// too long after its job was cancelled: its fence would not refuse that start, and the
    /// lease would outlast the time in which the task must be gone.
    pub fn must_lapse(&self, site: &Site, report: &Report, now: Micros) -> bool {
        let name: MachineId = report.machine.as_str().into();
        if !self.unsettled.contains(&name) {
            return false;
        }
        let Some(machine) = self.machines.get(&name) else {
            return false;
        };
        // The same bound as for what is not known here at all: K is when the cancellation
        // was not yet confirmed, as far as known here.
        let too_long = |unknown_at: Micros| now.since(unknown_at) >= site.knowledge_limit();
        machine.tasks.iter().any(|(id, task)| {
            let Some(job) = self.jobs.get(id).filter(|j| j.cancelled.is_some()) else {
                return false;
            };
            let Some(p) = job.placed.get(task) else { return false };
            let listed = || {
                let text = format!("{id}/{task}");
                report.tasks.iter().any(|t| t.task == text && t.attempt == p.attempt)
            };
            let flies = p.sent && p.session >= report.session && p.fence >= self.term && !listed();
            flies && too_long(job.unknown_at)
        })
    }
}

impl Core {
    /// While the state service does not answer the leader, it asks the others what they
    /// confirmed.
    pub(super) fn tick_vouchers(&mut self) {
        let now = self.sh.now;
        if self.lead.role() != Role::Leader
            || now < self.vouchers.next
            || !self.lead.is_known()
            || now.since(self.lead.fresh()) < ASK_AFTER
        {
            return;
        }
        self.vouchers.next = now + ASK_EVERY;
        let peers = &self.site.settings.peers;
        // One that runs an earlier release can't say, and the others' word is not enough.
        if !peers.iter().all(|p| self.lead.release(&p.node) >= VOUCHES) {
            return;
        }
        let round = self.sh.id();
        self.vouchers.ask(round, peers.iter().map(|p| p.node.clone()), now);
        for peer in peers {
            let message = PeerMessage::Inquire {
                node: self.site.settings.node.clone(),
                round,
                seen: self.lead.jobs_seen(),
            };
            self.sh.out.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
    }

    /// Another controller asks which cancellations this one knows beyond what it has seen.
    /// An earlier life of this process may have confirmed what was made before this one
    /// began to read: of that it can say nothing.
    pub(super) fn on_inquire(&mut self, node: String, round: u64, seen: u64) {
        if self.lead.read_from().is_none_or(|from| seen < from) {
            return;
        }
        let Some(cancelled) = self.desk.cancelled_after(seen).filter(|c| c.len() <= VOUCHED) else {
            return;
        };
        let message = PeerMessage::Vouched {
            node: self.site.settings.node.clone(),
            round,
            term: self.lead.term(),
            cancelled,
        };
        self.sh.out.push(Effect::Peer { to: node, message });
    }

    /// What another controller knows to be cancelled: made by the state service, as it read.
    pub(super) fn on_vouched(&mut self, node: &str, round: u64, term: u64, cancelled: Vec<(String, u64)>) {
        let now = self.sh.now;
        for (job, version) in cancelled {
            if self.desk.phase(&job).is_some_and(Phase::is_final) {
                continue;
            }
            self.desk.learn(&job, version, Phase::Cancelled);
            if let Some(leader) = self.leader.as_mut() {
                let value = JobValue {
                    phase: Phase::Cancelled,
                    spec: None,
                };
                leader.on_job_event(&job, version, version, value, now);
            }
        }
        if self.vouchers.answered(&self.lead, node, round, term) {
            self.prove_to_leader();
        }
    }

    /// The leader's book counts what it learns from here on as unknown until now.
    pub(super) fn prove_to_leader(&mut self) {
        let proven = self.vouchers.proven(&self.lead);
        if let Some(leader) = self.leader.as_mut() {
            leader.proven = proven;
        }
    }
}
