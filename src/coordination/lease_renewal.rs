//! Lease renewal: decides whether a response may renew an agent's lease, and which stops of
//! cancelled jobs such a response contains. No other module renews leases.
//!
//! Invariant: if a cancellation was confirmed to a user at time C, then at C + `cancel_s` no task of
//! the job runs and none can start any more. Each response that renews a lease is based on a time K,
//! the cancellation watermark: reads of the state service that were sent at K or later prove the
//! term, and every cancellation that was confirmed to a user before K. The renewed lease ends by
//! K + `cancel_s`, also with clock drift.
//!
//! - If C is after K, the lease expires in time without further action.
//! - If C is before K, the cancellation is known here and the response stops the job's tasks. A start
//!   that may still be in flight is either refused by the agent, because of the response's higher
//!   fencing token, or the response renews no lease beyond C + `cancel_s`.
//!
//! `docs/design/renewals.md` covers every path.
//!
//! K is the time of the last read of the state service. While the service does not answer, the
//! leader's K can advance by attestations of all other controllers: in answer to one request, each
//! attests which cancellations it may have confirmed, and that it has seen no later term. Only
//! controllers confirm cancellations. A controller that does not answer, or whose process started
//! after the revision that this node has read, may have confirmed any cancellation: then K does not
//! advance. A follower's K does not advance by attestations, because a follower has no record of the
//! leader's starts that are in flight; it relies on the leader to raise the term.

use super::api::{Cancellation, JobApi};
use super::election::{Election, Role};
use super::state::{LeaderState, MachineId, NewTermReason, PlacementPhase};
use super::{ClusterConfig, Controller, Effect};
use crate::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, TaskPhase};
use crate::protocol::peer::PeerMessage;
use crate::protocol::users::Phase;
use crate::storage::records::{JobValue, RELEASE_ATTESTATIONS};
use crate::time::Micros;
use std::collections::BTreeSet;

/// The most commands in one message, well under the limit of 64 KiB for responses.
pub const MAX_COMMANDS: usize = 300;
/// The time without an answer of the state service after which the leader requests attestations.
const ATTEST_AFTER: Micros = Micros::from_millis(2500);
/// The time between two rounds of attestation requests.
const ATTEST_INTERVAL: Micros = Micros::from_millis(1000);
/// The most cancellations in one attestation, well under the size limit of a frame.
const MAX_ATTESTED: usize = 8000;
/// How long the leader waits, after it requested the stop of a task of a cancelled job, before it
/// raises the term because of a start that may be in flight.
const START_SETTLE_TIME: Micros = Micros::from_millis(3000);

/// The other controllers' attestations of cancellations while the state service does not answer.
pub struct CancellationAttestations {
    /// The number of the last round of requests.
    round: u64,
    /// When the requests of the last round were sent.
    round_sent_at: Micros,
    /// The controllers that have not answered the last round yet.
    unanswered: BTreeSet<String>,
    next_round_at: Micros,
    /// When the requests of the last completely answered round were sent.
    cancellation_watermark: Micros,
}

impl CancellationAttestations {
    /// Creates the state without any attestation.
    pub fn new(now: Micros) -> CancellationAttestations {
        CancellationAttestations {
            round: 0,
            round_sent_at: now,
            unanswered: BTreeSet::new(),
            next_round_at: now,
            cancellation_watermark: Micros::ZERO,
        }
    }

    /// The cancellation watermark K: every cancellation that was confirmed before K is known here.
    pub fn cancellation_watermark(&self, election: &Election) -> Micros {
        match election.role() {
            Role::Leader => election.verified_at().max(self.cancellation_watermark),
            Role::Follower => election.verified_at(),
        }
    }

    /// Whether a lease that is renewed at `now` ends by K + `cancel_s`.
    pub fn may_renew(&self, election: &Election, cluster: &ClusterConfig, now: Micros) -> bool {
        election.is_initialized() && now.since(self.cancellation_watermark(election)) < cluster.max_watermark_age()
    }

    /// Returns a response to this heartbeat that renews the agent's lease, or `None` if the lease
    /// may not be renewed. `commands` are the leader's commands for the agent.
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
        add_stops_of_cancelled(api, heartbeat, &mut commands);
        let fencing_token = election.term();
        Some(HeartbeatResponse {
            fencing_token,
            commands,
        })
    }

    /// Begins a round of attestation requests to these peers.
    pub fn begin_round(&mut self, round: u64, peers: impl Iterator<Item = String>, now: Micros) {
        self.round = round;
        self.round_sent_at = now;
        self.unanswered = peers.collect();
    }

    /// Records a node's attestation and returns whether K has advanced. An attestation under a later
    /// term than this node's is ignored.
    pub fn on_answer(&mut self, election: &Election, node: &str, round: u64, term: u64) -> bool {
        let is_current = round == self.round && term <= election.term();
        if !is_current || !self.unanswered.remove(node) || !self.unanswered.is_empty() {
            return false;
        }
        self.cancellation_watermark = self.cancellation_watermark.max(self.round_sent_at);
        true
    }
}

/// Returns a response that the agent has to drop: it renews no lease, and keeps other controllers
/// from answering the heartbeat in place of this one.
pub fn non_renewing_response() -> HeartbeatResponse {
    HeartbeatResponse {
        fencing_token: 0,
        commands: vec![],
    }
}

/// Adds an immediate stop (no grace period) for every task in the heartbeat whose job is known to
/// be cancelled.
pub fn add_stops_of_cancelled(api: &JobApi, heartbeat: &Heartbeat, commands: &mut Vec<AgentCommand>) {
    for t in heartbeat.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
        let cancelled =
            super::agents::parse_task(&t.task).is_some_and(|(job, _)| api.phase(job) == Some(Phase::Cancelled));
        let stopped = |o: &AgentCommand| matches!(o, AgentCommand::Stop { task, attempt, grace_s } if *task == t.task && *attempt == t.attempt && *grace_s == 0.0);
        if cancelled && commands.len() < MAX_COMMANDS && !commands.iter().any(stopped) {
            commands.push(AgentCommand::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            });
        }
    }
}

impl LeaderState {
    /// Determines the machines that may still have, or get, a task of a cancelled job.
    ///
    /// A start that was sent under the current term and whose task was never reported may arrive at
    /// any time, also at a machine that only another controller reaches. Such a start makes the
    /// leader raise the term: then the response of any controller raises the machine's fencing
    /// token, which makes the agent refuse the start.
    pub fn update_unsettled_machines(&mut self, now: Micros) {
        self.unsettled_machines.clear();
        let mut start_in_flight = false;
        for job in self.jobs.values().filter(|j| j.cancelled_at.is_some()) {
            for p in job
                .placements
                .values()
                .filter(|p| now.since(p.stop_requested_at) > START_SETTLE_TIME)
            {
                start_in_flight |= p.sent && p.phase == PlacementPhase::Sent && p.fencing_token >= self.term;
                self.unsettled_machines.insert(p.machine.clone());
            }
        }
        if start_in_flight {
            self.new_term_reason = Some(NewTermReason::StartOfCancelledJob);
        }
    }

    /// Whether the lease must not be renewed in answer to this heartbeat, because a start of a
    /// cancelled job may still be in flight and its task could then run for too long: the response's
    /// fencing token would not make the agent refuse the start, and the renewed lease would outlast
    /// the time within which the task has to end.
    pub fn must_let_lease_lapse(&self, cluster: &ClusterConfig, heartbeat: &Heartbeat, now: Micros) -> bool {
        let name: MachineId = heartbeat.machine.as_str().into();
        if !self.unsettled_machines.contains(&name) {
            return false;
        }
        let Some(machine) = self.machines.get(&name) else {
            return false;
        };
        // The bound is the same as for unknown cancellations; the time up to which this cancellation
        // was certainly not confirmed takes the place of K.
        let too_long = |unconfirmed_until: Micros| now.since(unconfirmed_until) >= cluster.max_watermark_age();
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
            let may_be_in_flight =
                p.sent && p.incarnation >= heartbeat.incarnation && p.fencing_token >= self.term && !listed();
            may_be_in_flight && too_long(job.cancel_unconfirmed_until)
        })
    }
}

impl Controller {
    /// Requests attestations of all other controllers while the state service does not answer the
    /// leader.
    pub(super) fn run_attestations(&mut self) {
        let now = self.context.now;
        if self.election.role() != Role::Leader
            || now < self.attestations.next_round_at
            || !self.election.is_initialized()
            || now.since(self.election.verified_at()) < ATTEST_AFTER
        {
            return;
        }
        self.attestations.next_round_at = now + ATTEST_INTERVAL;
        let peers = &self.cluster.settings.peers;
        // A controller with an earlier release can't attest, and an incomplete set of attestations
        // proves nothing.
        if !peers
            .iter()
            .all(|p| self.election.release(&p.node) >= RELEASE_ATTESTATIONS)
        {
            return;
        }
        let round = self.context.next_id();
        self.attestations
            .begin_round(round, peers.iter().map(|p| p.node.clone()), now);
        for peer in peers {
            let message = PeerMessage::AttestationRequest {
                node: self.cluster.settings.node.clone(),
                round,
                seen: self.election.jobs_revision(),
            };
            self.context.effects.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
    }

    /// Answers another controller's request for the cancellations after the revision `seen` that are
    /// known here.
    ///
    /// An earlier incarnation of this process may have confirmed cancellations before the revision
    /// at which this incarnation began to read. This incarnation can't attest those, so it does not
    /// answer if `seen` is before that revision.
    pub(super) fn on_attestation_request(&mut self, node: String, round: u64, seen: u64) {
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

    /// Handles the attestation of another controller, with the cancellations that the other
    /// controller has read from the state service.
    pub(super) fn on_attestation(&mut self, node: &str, round: u64, term: u64, cancelled: Vec<(String, u64)>) {
        for (job, version) in cancelled {
            self.api.record_phase(&job, version, Phase::Cancelled);
        }
        self.apply_cancellations_to_leader();
        if self.attestations.on_answer(&self.election, node, round, term) {
            tracing::debug!(round, "all other controllers have attested their cancellations");
            self.update_leader_watermark();
        }
    }

    /// Applies the cancellations that the job API has learned of to the leader's state.
    ///
    /// The job API may know a cancellation before the leader's watch on the jobs shows it: this
    /// controller wrote and confirmed the cancellation itself, or read the job's key for a user. The
    /// watermark K must not pass the confirmation before the leader's state has the cancellation.
    pub(super) fn apply_cancellations_to_leader(&mut self) {
        let cancellations = self.api.take_cancellations_for_leader();
        let now = self.context.now;
        // A later leadership reads these cancellations from the state service.
        let Some(leader) = self.leader.as_mut() else { return };
        for Cancellation { job, version } in cancellations {
            let value = JobValue {
                phase: Phase::Cancelled,
                spec: None,
            };
            leader.on_job_event(&job, version, version, value, now);
        }
    }

    /// Sets the leader's watermark to the current one: cancellations that become known to the
    /// leader from now on were not confirmed before that time.
    pub(super) fn update_leader_watermark(&mut self) {
        let proven = self.attestations.cancellation_watermark(&self.election);
        if let Some(leader) = self.leader.as_mut() {
            leader.cancellation_watermark = proven;
        }
    }
}
