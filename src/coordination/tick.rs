//! The periodic work of a controller's components, which runs after every batch of events.
//!
//! Called by [`Controller::handle`]. The order of the steps is fixed: the election runs before
//! the steps that depend on which controller leads, and the leader's own work runs last.

use super::agents::LeaseRenewer;
use super::api::{AnswerSummary, SubmissionAnswers};
use super::election::Role;
use super::Controller;
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;

/// A controller without a message for longer than this is not expected to answer agents.
const CONTACT_TIMEOUT: Micros = Micros::from_millis(1600);
/// How often this controller announces to the others that it is alive.
const ALIVE_PERIOD: Micros = Micros::from_millis(500);
/// A last verified read of the state service that is older than this is not announced as current.
const STORE_CURRENT_AGE: Micros = Micros::from_millis(2500);
/// How often the summary is logged.
const LOG_PERIOD: Micros = Micros::from_millis(10_000);

impl Controller {
    /// Runs the periodic work that is due.
    pub(super) fn tick(&mut self) {
        let now = self.context.now;
        self.run_link_probes();
        self.run_election();
        self.run_announcements();
        self.run_dependencies();
        self.run_acceptance_audit();
        let seen = self.election.known_jobs_revision();
        self.api.tick(&mut self.context, &self.cluster, seen);
        self.run_attestations();
        let renewer = LeaseRenewer {
            election: &self.election,
            attestations: &self.attestations,
            api: &self.api,
            cluster: &self.cluster,
        };
        self.heartbeat_proxy.tick(&mut self.context, &renewer);
        self.refresh_catalogue();
        self.run_leader();
        if now >= self.next_alive_at {
            self.next_alive_at = now + ALIVE_PERIOD;
            self.announce_alive();
            self.publish_progress();
        }
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_PERIOD;
            self.log_state_service();
            self.log_api();
            self.log_leader();
        }
    }

    /// Announces to the other controllers that this one is alive, with its status and links.
    fn announce_alive(&mut self) {
        let now = self.context.now;
        let leads = self.election.role() == Role::Leader;
        let message = PeerMessage::Alive {
            node: self.cluster.settings.node.clone(),
            term: self.election.term(),
            store_verified: now.since(self.election.verified_at()) < STORE_CURRENT_AGE,
            leads,
            changes_per_1000_s: (self.update_change_share() * 1000.0).min(4e9) as u32,
            agent_count: self.heartbeat_proxy.agent_count(now, leads),
            sent_at_us: now.0,
            links: self.observed_links(),
        };
        self.broadcast(&message);
    }

    /// Sends the changed task counts of jobs to the other controllers, which report them to users.
    fn publish_progress(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        let changed = leader.changed_progress();
        if !changed.is_empty() {
            self.broadcast(&PeerMessage::Progress(changed));
        }
    }

    /// Logs the term this controller acts under, the revision up to which it has read the state
    /// service, how long answers took, and the longest pause of this process. The last two
    /// distinguish a slow service from a controller that waits for a processor.
    fn log_state_service(&mut self) {
        let longest_pause = std::mem::take(&mut self.longest_pause);
        tracing::info!(
            term = self.election.term(),
            leads = self.leader.is_some(),
            jobs_seen = self.election.known_jobs_revision(),
            round_trips = ?self.context.store.take_round_trips(),
            longest_pause_ms = longest_pause.0 / 1000,
            broken_invariants = self.broken_invariants,
            "state service"
        );
    }

    /// Logs what the job API has accepted, answered and refused since the last summary.
    fn log_api(&mut self) {
        if let Some(waited) = self.api.take_waits() {
            let (open, pages) = self.api.pages();
            tracing::debug!(?waited, open, pages, "accepted");
        }
        let AnswerSummary {
            by_source: answered,
            asked_anew,
            submissions,
            refused,
            ..
        } = self.api.take_answers();
        if !answered.is_empty() {
            tracing::info!(
                ?answered,
                asked_anew,
                "answered user requests, by the source of the proof"
            );
        }
        if submissions != SubmissionAnswers::default() {
            let SubmissionAnswers {
                new,
                known_already,
                in_later_page,
                without_read,
            } = submissions;
            tracing::info!(
                new,
                known_already,
                in_later_page,
                without_read,
                "answered submissions of accepted jobs"
            );
        }
        if !refused.is_empty() {
            tracing::info!(
                ?refused,
                "refused requests for jobs that were never accepted, by status"
            );
        }
        let refused = self.api.take_refusals();
        if !refused.is_empty() {
            let (open, pages) = self.api.pages();
            tracing::info!(?refused, open, pages, "refused user requests, by reason");
        }
    }

    fn log_leader(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(waited) = leader.blocked_jobs.take_waits() {
            tracing::info!(
                ?waited,
                "tasks of jobs with dependencies started; time since the last dependency was done"
            );
        }
        leader.log_summary(&self.cluster, self.context.now);
        leader.log_slo_accounting(&self.cluster, self.context.now);
    }

    fn run_leader(&mut self) {
        self.request_last_heartbeats();
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.is_loaded() {
            leader.load(&mut self.context);
            return;
        }
        // After a pause of the process, another controller may have become the leader.
        if self.election.is_lease_unverified() {
            return;
        }
        let now = self.context.now;
        let holds_lease = self.election.holds_lease(now);
        for (name, peer) in &self.peers {
            leader.record_controller_contact(name, peer.last_contact, CONTACT_TIMEOUT, now);
        }
        leader.run_machine_checks(&mut self.context, &self.cluster, holds_lease);
        leader.check_invariants(&self.cluster, &self.api, now);
        self.broken_invariants += std::mem::take(&mut leader.invariants.broken);
        leader.schedule(&mut self.context, &self.cluster);
        // A leader that may have been deposed releases no machines: its successor may be using them.
        if holds_lease {
            leader.run_provisioning(&mut self.context, &self.cluster, &mut self.cloud_calls);
        }
        leader.write_log(&mut self.context, &self.cluster, &self.election);
        if let Some(reason) = leader.new_term_reason {
            self.election.request_term_raise(&mut self.context, reason.as_str());
        }
        let forwarder = &self.forwarder;
        let is_reachable = |node: &str| forwarder.reaches(node, now);
        leader.flush_outboxes(&mut self.context, &self.election, &self.api, is_reachable);
    }
}
