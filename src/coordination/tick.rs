//! What a controller does after every batch of commands, and at times of its own: it says that it
//! is alive, lets the leader act, and logs.

use super::agents::LeaseRenewer;
use super::election::Role;
use super::{Controller, Effect, HEARD};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;

impl Controller {
    pub(super) fn tick(&mut self) {
        let now = self.context.now;
        self.run_link_probes();
        self.run_election();
        self.run_announcements();
        self.run_dependencies();
        self.run_acceptance_audit();
        let seen = self.election.jobs_seen_if_known();
        self.api.tick(&mut self.context, &self.cluster, seen);
        self.run_attestations();
        let renewer = LeaseRenewer {
            election: &self.election,
            attestations: &self.attestations,
            api: &self.api,
            cluster: &self.cluster,
        };
        self.heartbeat_proxy.tick(&mut self.context, &renewer);
        self.run_cloud_calls();
        self.run_leader();
        if now >= self.next_alive {
            self.next_alive = now + Micros::from_millis(500);
            let message = PeerMessage::Alive {
                node: self.cluster.settings.node.clone(),
                term: self.election.term(),
                fresh: now.since(self.election.verified_at()) < Micros::from_secs(2.5),
                leads: self.election.role() == Role::Leader,
                wants: (self.share_changes() * 1000.0).min(4e9) as u32,
                serves: self
                    .heartbeat_proxy
                    .agent_count(now, self.election.role() == Role::Leader),
                at: now.0,
                links: self.observed_links(),
            };
            for peer in &self.cluster.settings.peers {
                self.context.out.push(Effect::Peer {
                    to: peer.node.clone(),
                    message: message.clone(),
                });
            }
            if let Some(leader) = self.leader.as_mut() {
                let changed = leader.changed_progress();
                if !changed.is_empty() {
                    for peer in &self.cluster.settings.peers {
                        self.context.out.push(Effect::Peer {
                            to: peer.node.clone(),
                            message: PeerMessage::Progress(changed.clone()),
                        });
                    }
                }
            }
        }
        if now >= self.next_log {
            self.next_log = now + Micros::from_secs(10.0);
            self.log_state_service();
            if let Some(waited) = self.api.take_waits() {
                let (open, pages) = self.api.pages();
                tracing::debug!(?waited, open, pages, "accepted");
            }
            let (answered, asked_anew) = self.api.take_answered();
            if !answered.is_empty() {
                tracing::info!(?answered, asked_anew, "answers, by what they rested on");
            }
            let refused = self.api.take_refusals();
            if !refused.is_empty() {
                let (open, pages) = self.api.pages();
                tracing::info!(?refused, open, pages, "requests were refused");
            }
            if let Some(leader) = self.leader.as_mut() {
                if let Some(waited) = leader.blocked_jobs.take_waits() {
                    tracing::info!(?waited, "tasks of jobs that waited for others began");
                }
                leader.log_summary(&self.cluster, now);
                leader.log_slo_accounting(&self.cluster, now);
            }
        }
    }

    /// Invariants that were seen broken in this life of the process (`invariants.rs`).
    pub fn broken_invariants(&self) -> u64 {
        self.broken_invariants
    }

    /// Whose token this controller acts under, up to which revision it has read the state
    /// service, how long answers took, and how long this process did nothing: it tells a slow
    /// service from a controller that waits for its processor.
    fn log_state_service(&mut self) {
        let longest_pause = std::mem::take(&mut self.longest_pause);
        tracing::info!(
            term = self.election.term(),
            leads = self.leader.is_some(),
            jobs_seen = self.election.jobs_seen_if_known(),
            round_trips = ?self.context.store.take_round_trips(),
            longest_pause_ms = longest_pause.0 / 1000,
            broken_invariants = self.broken_invariants,
            "state service"
        );
    }

    fn run_leader(&mut self) {
        self.request_last_heartbeats();
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.is_loaded() {
            leader.load(&mut self.context);
            return;
        }
        // After a standstill, another node may lead by now.
        if self.election.is_lease_unverified() {
            return;
        }
        let sure = self.election.holds_lease(self.context.now);
        for (name, peer) in &self.peers {
            leader.record_controller_contact(name, peer.at, HEARD, self.context.now);
        }
        leader.run_machine_checks(&mut self.context, &self.cluster, sure);
        leader.check_invariants(&self.cluster, self.context.now);
        self.broken_invariants += std::mem::take(&mut leader.invariants.broken);
        leader.schedule(&mut self.context, &self.cluster);
        // A leader that may have been deposed returns no machines: the next one
        // may be using them.
        if sure {
            leader.run_provisioning(&mut self.context, &self.cluster, &mut self.cloud);
        }
        leader.write_log(&mut self.context, &self.cluster, &self.election);
        if let Some(why) = leader.wants_new_term(self.context.now) {
            self.election.raise(&mut self.context, why);
        }
        let now = self.context.now;
        let carry = &self.forwarder;
        let reached = |node: &str| carry.reaches(node, now);
        leader.flush_outboxes(&mut self.context, &self.election, &self.api, reached);
    }
}
