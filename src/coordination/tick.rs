//! What a controller does after every batch of commands, and at times of its own: it says that it
//! is alive, lets the leader act, and logs.

use super::leadership::Role;
use super::{Core, Effect, HEARD};
use crate::protocol::peer::PeerMessage;
use crate::time::Micros;

impl Core {
    pub(super) fn tick(&mut self) {
        let now = self.sh.now;
        self.tick_links();
        self.tick_lead();
        self.tick_say();
        self.tick_chains();
        self.tick_audit();
        let seen = self.lead.jobs_seen_if_known();
        self.desk.tick(&mut self.sh, &self.site, seen);
        self.tick_vouchers();
        self.care
            .tick(&mut self.sh, &self.lead, &self.vouchers, &self.desk, &self.site);
        self.tick_cloud();
        self.tick_leader();
        if now >= self.next_alive {
            self.next_alive = now + Micros::from_millis(500);
            let message = PeerMessage::Alive {
                node: self.site.settings.node.clone(),
                term: self.lead.term(),
                fresh: now.since(self.lead.fresh()) < Micros::from_secs(2.5),
                leads: self.lead.role() == Role::Leader,
                wants: (self.share_changes() * 1000.0).min(4e9) as u32,
                serves: self.care.serves(now, self.lead.role() == Role::Leader),
                at: now.0,
                links: self.tell_links(),
            };
            for peer in &self.site.settings.peers {
                self.sh.out.push(Effect::Peer {
                    to: peer.node.clone(),
                    message: message.clone(),
                });
            }
            if let Some(leader) = self.leader.as_mut() {
                let changed = leader.changed_progress();
                if !changed.is_empty() {
                    for peer in &self.site.settings.peers {
                        self.sh.out.push(Effect::Peer {
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
            if let Some(waited) = self.desk.take_waits() {
                let (open, pages) = self.desk.pages();
                tracing::debug!(?waited, open, pages, "accepted");
            }
            let (answered, asked_anew) = self.desk.take_answered();
            if !answered.is_empty() {
                tracing::info!(?answered, asked_anew, "answers, by what they rested on");
            }
            let refused = self.desk.take_refusals();
            if !refused.is_empty() {
                let (open, pages) = self.desk.pages();
                tracing::info!(?refused, open, pages, "requests were refused");
            }
            if let Some(leader) = self.leader.as_mut() {
                if let Some(waited) = leader.chained.take_waits() {
                    tracing::info!(?waited, "tasks of jobs that waited for others began");
                }
                leader.log_summary(&self.site, now);
                leader.log_account(&self.site, now);
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
            term = self.lead.term(),
            leads = self.leader.is_some(),
            jobs_seen = self.lead.jobs_seen_if_known(),
            round_trips = ?self.sh.store.take_round_trips(),
            longest_pause_ms = longest_pause.0 / 1000,
            broken_invariants = self.broken_invariants,
            "state service"
        );
    }

    fn tick_leader(&mut self) {
        self.ask_recall();
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.is_loaded() {
            leader.load(&mut self.sh);
            return;
        }
        // After a standstill, another node may lead by now.
        if self.lead.in_doubt() {
            return;
        }
        let sure = self.lead.is_sure(self.sh.now);
        for (name, peer) in &self.peers {
            leader.hear_node(name, peer.at, HEARD, self.sh.now);
        }
        leader.tick_machines(&mut self.sh, &self.site, sure);
        leader.look_at_invariants(&self.site, self.sh.now);
        self.broken_invariants += std::mem::take(&mut leader.broken_invariants);
        leader.schedule(&mut self.sh, &self.site);
        // A leader that may have been deposed returns no machines: the next one
        // may be using them.
        if sure {
            leader.tick_fleet(&mut self.sh, &self.site, &mut self.cloud);
        }
        leader.pump_commit(&mut self.sh, &self.site, &self.lead);
        if let Some(why) = leader.wants_new_term(self.sh.now) {
            self.lead.raise(&mut self.sh, why);
        }
        let now = self.sh.now;
        let carry = &self.carry;
        let reached = |node: &str| carry.reaches(node, now);
        leader.flush_outboxes(&mut self.sh, &self.lead, &self.desk, reached);
    }
}
