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

use super::api::JobApi;
use super::election::{Election, Role};
use super::state::{LeaderState, MachineId, NewTermReason, PlacementPhase};
use super::{ClusterConfig, Controller, Effect};
use crate::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, TaskPhase};
use crate::protocol::peer::PeerMessage;
use crate::protocol::users::Phase;
use crate::storage::records::{JobValue, RELEASE_ATTESTATIONS};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Orders in one message, well under the 64 KiB for responses.
pub const ORDERS: usize = 300;
/// Without an answer of the state service for this long the others are asked.
const ASK_AFTER: Micros = Micros::from_millis(2500);
const ASK_EVERY: Micros = Micros::from_millis(1000);
/// Cancellations in one word at the most, well under the limit of a frame.
const MAX_ATTESTED: usize = 8000;
/// A start that is no longer wanted is waited for so long before the term is raised.
const SETTLES: Micros = Micros::from_millis(3000);

/// What the other controllers said while the state service did not answer.
pub struct CancellationAttestations {
    /// The number of the question that is out, when it was sent, and who has yet to answer.
    round: u64,
    sent: Micros,
    missing: BTreeSet<String>,
    next: Micros,
    /// When the last question was sent that all have answered.
    cancellation_watermark: Micros,
}

impl CancellationAttestations {
    pub fn new(now: Micros) -> CancellationAttestations {
        CancellationAttestations {
            round: 0,
            sent: now,
            missing: BTreeSet::new(),
            next: now,
            cancellation_watermark: Micros::ZERO,
        }
    }

    /// The instant K: every cancellation that was confirmed before it is known here.
    pub fn cancellation_watermark(&self, election: &Election) -> Micros {
        match election.role() {
            Role::Leader => election.verified_at().max(self.cancellation_watermark),
            Role::Follower => election.verified_at(),
        }
    }

    /// Whether a lease that is renewed now ends by K + `cancel_s`.
    pub fn may_renew(&self, election: &Election, cluster: &ClusterConfig, now: Micros) -> bool {
        election.is_initialized() && now.since(self.cancellation_watermark(election)) < cluster.knowledge_limit()
    }

    /// An answer that renews the lease of a worker which reported this, if one may be given.
    /// `commands` are what the leader has for it.
    pub fn renewal(
        &self,
        election: &Election,
        api: &JobApi,
        cluster: &ClusterConfig,
        heartbeat: &Heartbeat,
        mut commands: Vec<AgentCommand>,
        now: Micros,
    ) -> Option<HeartbeatResponse> {
        if !self.may_renew(election, cluster, now) || heartbeat.fencing_token > election.term() {
            return None;
        }
        add_stops(api, heartbeat, &mut commands);
        let fencing_token = election.term();
        Some(HeartbeatResponse {
            fencing_token,
            commands,
        })
    }

    /// Begins to ask the others.
    pub fn ask(&mut self, round: u64, peers: impl Iterator<Item = String>, now: Micros) {
        self.round = round;
        self.sent = now;
        self.missing = peers.collect();
    }

    /// One has answered, and knows this term; whether K has moved on. One that knows a later
    /// term than this node proves the opposite.
    pub fn answered(&mut self, election: &Election, node: &str, round: u64, term: u64) -> bool {
        if round != self.round || term > election.term() || !self.missing.remove(node) || !self.missing.is_empty() {
            return false;
        }
        self.cancellation_watermark = self.cancellation_watermark.max(self.sent);
        true
    }
}

/// An answer that a worker has to drop: it waits for its next report, renews nothing, and no
/// other controller answers this one in its stead.
pub fn dropped() -> HeartbeatResponse {
    HeartbeatResponse {
        fencing_token: 0,
        commands: vec![],
    }
}

/// Every task of a job that is known here to be cancelled is stopped, without saving.
pub fn add_stops(api: &JobApi, heartbeat: &Heartbeat, commands: &mut Vec<AgentCommand>) {
    for t in heartbeat.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
        let cancelled =
            super::agents::parse_task(&t.task).is_some_and(|(job, _)| api.phase(job) == Some(Phase::Cancelled));
        let stopped = |o: &AgentCommand| matches!(o, AgentCommand::Stop { task, attempt, grace_s } if *task == t.task && *attempt == t.attempt && *grace_s == 0.0);
        if cancelled && commands.len() < ORDERS && !commands.iter().any(stopped) {
            commands.push(AgentCommand::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            });
        }
    }
}

impl LeaderState {
    /// Machines that may still hold, or get, a task of a cancelled job. One whose start was
    /// never seen, sent under the present term, may reach its machine at any time, also one
    /// that only another controller hears: with a higher term, answers of whoever answers
    /// the machine raise its fence.
    pub fn check_unsettled(&mut self, now: Micros) {
        self.unsettled_machines.clear();
        let mut flies = false;
        for job in self.jobs.values().filter(|j| j.cancelled_at.is_some()) {
            for p in job
                .placements
                .values()
                .filter(|p| now.since(p.stop_requested_at) > SETTLES)
            {
                flies |= p.sent && p.phase == PlacementPhase::Sent && p.fencing_token >= self.term;
                self.unsettled_machines.insert(p.machine.clone());
            }
        }
        if flies {
            self.new_term_reason = Some(NewTermReason::StartOfCancelledJob);
        }
    }

    /// Whether an answer to this report would let a start that may still be on its way run
    /// too long after its job was cancelled: its fence would not refuse that start, and the
    /// lease would outlast the time in which the task must be gone.
    pub fn must_lapse(&self, cluster: &ClusterConfig, heartbeat: &Heartbeat, now: Micros) -> bool {
        let name: MachineId = heartbeat.machine.as_str().into();
        if !self.unsettled_machines.contains(&name) {
            return false;
        }
        let Some(machine) = self.machines.get(&name) else {
            return false;
        };
        // The same bound as for what is not known here at all: K is when the cancellation
        // was not yet confirmed, as far as known here.
        let too_long =
            |cancel_unconfirmed_until: Micros| now.since(cancel_unconfirmed_until) >= cluster.knowledge_limit();
        machine.tasks.iter().any(|(id, task)| {
            let Some(job) = self.jobs.get(id).filter(|j| j.cancelled_at.is_some()) else {
                return false;
            };
            let Some(p) = job.placements.get(task) else {
                return false;
            };
            let listed = || {
                let text = format!("{id}/{task}");
                heartbeat.tasks.iter().any(|t| t.task == text && t.attempt == p.attempt)
            };
            let flies = p.sent && p.incarnation >= heartbeat.incarnation && p.fencing_token >= self.term && !listed();
            flies && too_long(job.cancel_unconfirmed_until)
        })
    }
}

impl Controller {
    /// While the state service does not answer the leader, it asks the others what they
    /// confirmed.
    pub(super) fn run_attestations(&mut self) {
        let now = self.context.now;
        if self.election.role() != Role::Leader
            || now < self.attestations.next
            || !self.election.is_initialized()
            || now.since(self.election.verified_at()) < ASK_AFTER
        {
            return;
        }
        self.attestations.next = now + ASK_EVERY;
        let peers = &self.cluster.settings.peers;
        // One that runs an earlier release can't say, and the others' word is not enough.
        if !peers
            .iter()
            .all(|p| self.election.release(&p.node) >= RELEASE_ATTESTATIONS)
        {
            return;
        }
        let round = self.context.id();
        self.attestations.ask(round, peers.iter().map(|p| p.node.clone()), now);
        for peer in peers {
            let message = PeerMessage::AttestationRequest {
                node: self.cluster.settings.node.clone(),
                round,
                seen: self.election.jobs_seen(),
            };
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
    }

    /// Another controller asks which cancellations this one knows beyond what it has seen.
    /// An earlier life of this process may have confirmed what was made before this one
    /// began to read: of that it can say nothing.
    pub(super) fn on_inquire(&mut self, node: String, round: u64, seen: u64) {
        if self.election.first_read_revision().is_none_or(|from| seen < from) {
            return;
        }
        let Some(cancelled) = self.api.cancelled_after(seen).filter(|c| c.len() <= MAX_ATTESTED) else {
            return;
        };
        let message = PeerMessage::Attestation {
            node: self.cluster.settings.node.clone(),
            round,
            term: self.election.term(),
            cancelled,
        };
        self.context.effects.push(Effect::Peer { to: node, message });
    }

    /// What another controller knows to be cancelled: made by the state service, as it read.
    pub(super) fn on_vouched(&mut self, node: &str, round: u64, term: u64, cancelled: Vec<(String, u64)>) {
        let now = self.context.now;
        for (job, version) in cancelled {
            if self.api.phase(&job).is_some_and(Phase::is_final) {
                continue;
            }
            self.api.learn(&job, version, Phase::Cancelled);
            if let Some(leader) = self.leader.as_mut() {
                let value = JobValue {
                    phase: Phase::Cancelled,
                    spec: None,
                };
                leader.on_job_event(&job, version, version, value, now);
            }
        }
        if self.attestations.answered(&self.election, node, round, term) {
            self.prove_to_leader();
        }
    }

    /// The leader's book counts what it learns from here on as unknown until now.
    pub(super) fn prove_to_leader(&mut self) {
        let proven = self.attestations.cancellation_watermark(&self.election);
        if let Some(leader) = self.leader.as_mut() {
            leader.cancellation_watermark = proven;
        }
    }
}
