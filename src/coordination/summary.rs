//! What an operator wants to see of the leader, in the log: machines, the book, and what each team
//! holds and waits for.

use super::state::{LeaderState, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Sums of cores differ by less than this from what they should be.
const OVER_LIMIT: f64 = 1e-6;

/// What a team's jobs hold and wait for, in cores, and how long the oldest has waited.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// What counts towards the team's limit.
    held: f64,
    /// Of it: starts that are recorded or are being recorded and that no machine has reported.
    unseen: f64,
    /// Of it: tasks that were asked to stop.
    stopping: f64,
    /// Recorded tasks that have exited and count no longer.
    exited: f64,
    wanted: f64,
    oldest: Micros,
}

impl TeamShare {
    fn count(&mut self, placement: &Placement, cpus: f64) {
        match placement.phase {
            PlacementPhase::Exited(_) => self.exited += cpus,
            PlacementPhase::Committing | PlacementPhase::Sent => self.unseen += cpus,
            PlacementPhase::Seen(_) => {}
        }
        let holds = !matches!(placement.phase, PlacementPhase::Exited(_));
        if holds && placement.stop.is_some() {
            self.stopping += cpus;
        }
    }
}

impl LeaderState {
    /// What each team that has jobs holds and waits for.
    fn team_shares(&self, now: Micros) -> BTreeMap<&str, TeamShare> {
        let mut shares: BTreeMap<&str, TeamShare> = BTreeMap::new();
        for job in self.jobs.values() {
            let share = shares.entry(&job.spec.team).or_default();
            share.held += f64::from(job.held) * job.spec.cpus;
            for placement in job.placements.values() {
                share.count(placement, job.spec.cpus);
            }
            if job.may_run() && !job.waiting.is_empty() {
                share.wanted += job.waiting.len() as f64 * job.spec.cpus;
                share.oldest = share.oldest.max(now.since(job.arrived));
            }
        }
        shares
    }

    /// Records of earlier leaders that no machine has confirmed or disproved.
    fn inherited(&self) -> usize {
        let placements = self.jobs.values().flat_map(|job| job.placements.values());
        placements
            .filter(|p| p.restored && p.phase == PlacementPhase::Sent)
            .count()
    }

    /// What an operator wants to see: what each team holds and what waits.
    pub fn log_summary(&self, cluster: &ClusterConfig, now: Micros) {
        let up = self.machines.values().filter(|m| m.state == MachineState::Up).count();
        let booting = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Booting)
            .count();
        let waiting: usize = self
            .jobs
            .values()
            .filter(|j| j.may_run())
            .map(|j| j.waiting.len())
            .sum();
        let placed: usize = self.jobs.values().map(|j| j.placements.len()).sum();
        tracing::info!(
            term = self.term,
            jobs = self.jobs.len(),
            placed,
            waiting,
            up,
            booting,
            doomed = self.machines.len() - up - booting,
            inherited = self.inherited(),
            unexplained = self.machines.values().map(|m| m.orphaned_attempts.len()).sum::<usize>(),
            helpers = self.scheduler.helpers[0],
            pools = ?self.scheduler.pools.iter().map(|(k, v)| format!("{}x{}={}", k.class, k.need, v)).collect::<Vec<_>>(),
            "fleet"
        );
        let c = &self.log_writer;
        tracing::info!(
            pages = c.live_segments(),
            transactions = c.written.transactions,
            changes = c.written.changes,
            unrecorded = c.changed.len(),
            starting = c.starting.len(),
            undescribed = c.undescribed.len(),
            "book"
        );
        let shares = self.team_shares(now);
        for team in &cluster.settings.params.teams {
            let share = shares.get(team.name.as_str()).copied().unwrap_or_default();
            if share.held > 0.0 || share.wanted > 0.0 {
                tracing::info!(
                    team = team.name,
                    term = self.term,
                    holds_cpus = share.held,
                    unseen_cpus = share.unseen,
                    stopping_cpus = share.stopping,
                    exited_cpus = share.exited,
                    guaranteed = team.cpus,
                    limit = team.cpus_max,
                    waiting_cpus = share.wanted,
                    oldest_wait_s = share.oldest.secs(),
                    "team"
                );
            }
            if team.cpus_max > 0.0 && share.held > team.cpus_max + OVER_LIMIT {
                // Records of an earlier leader, some of which are not proven void yet: nothing of the
                // team starts until they are. What machines list is another matter (invariants.rs).
                tracing::warn!(
                    team = team.name,
                    term = self.term,
                    holds_cpus = share.held,
                    limit = team.cpus_max,
                    "a team's records are more than its limit: it gets no start"
                );
            }
        }
    }
}
