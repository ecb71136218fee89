//! The leader's periodic summary in the log: machines, the write-ahead log, and the cores that each
//! team holds and waits for.
//!
//! Called by the controller's periodic work. This module changes no state.

use super::state::{Job, LeaderState, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::settings::Team;
use crate::time::Micros;
use std::collections::BTreeMap;

/// The tolerance for rounding errors in sums of cores.
const ROUNDING: f64 = 1e-6;

/// The cores that a team's jobs hold and wait for, and the longest waiting time.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    /// The cores that count towards the team's limit.
    held: f64,
    /// The part of `held` for starts that are recorded or being recorded and that no machine has
    /// reported.
    unreported: f64,
    /// The part of `held` for tasks that have been requested to stop.
    stopping: f64,
    /// The cores of recorded tasks that have exited, which no longer count towards the limit.
    exited: f64,
    /// The cores that the waiting tasks need.
    waiting: f64,
    /// The part of `waiting` that no machine can take that is up, booting or claimed.
    without_machine: f64,
    /// How long the oldest job with waiting tasks has waited.
    oldest_wait: Micros,
}

impl TeamUsage {
    fn add_job(&mut self, job: &Job, now: Micros) {
        self.held += f64::from(job.held_tasks) * job.spec.cpus;
        for placement in job.placements.values() {
            self.add_placement(placement, job.spec.cpus);
        }
        if job.may_run() && !job.waiting.is_empty() {
            let waiting = job.waiting.len() as f64 * job.spec.cpus;
            self.waiting += waiting;
            if job.without_machine_since.is_some() {
                self.without_machine += waiting;
            }
            self.oldest_wait = self.oldest_wait.max(now.since(job.arrived_at));
        }
    }

    fn add_placement(&mut self, placement: &Placement, cpus: f64) {
        match placement.phase {
            PlacementPhase::Exited(_) => self.exited += cpus,
            PlacementPhase::Committing | PlacementPhase::Sent => self.unreported += cpus,
            PlacementPhase::Seen(_) => {}
        }
        if placement.uses_resources() && placement.stop_grace_s.is_some() {
            self.stopping += cpus;
        }
    }
}

impl LeaderState {
    /// Logs the summary.
    pub fn log_summary(&self, cluster: &ClusterConfig, now: Micros) {
        self.log_fleet();
        self.log_write_ahead_log();
        let usage = self.team_usage(now);
        for team in &cluster.settings.params.teams {
            let usage = usage.get(team.name.as_str()).copied().unwrap_or_default();
            self.log_team(team, usage);
        }
    }

    /// The use of each team that has jobs.
    fn team_usage(&self, now: Micros) -> BTreeMap<&str, TeamUsage> {
        let mut usage: BTreeMap<&str, TeamUsage> = BTreeMap::new();
        for job in self.jobs.values() {
            usage.entry(&job.spec.team).or_default().add_job(job, now);
        }
        usage
    }

    /// The number of earlier leaders' records that no machine has confirmed or disproved.
    fn unconfirmed_inherited_records(&self) -> usize {
        let placements = self.jobs.values().flat_map(|job| job.placements.values());
        placements
            .filter(|p| p.restored && p.phase == PlacementPhase::Sent)
            .count()
    }

    fn log_fleet(&self) {
        let in_state = |state: MachineState| self.machines.values().filter(|m| m.state == state).count();
        let (up, booting) = (in_state(MachineState::Up), in_state(MachineState::Booting));
        let runnable = self.jobs.values().filter(|j| j.may_run());
        let waiting: usize = runnable.map(|j| j.waiting.len()).sum();
        let placed: usize = self.jobs.values().map(|j| j.placements.len()).sum();
        tracing::info!(
            term = self.term,
            jobs = self.jobs.len(),
            placed,
            waiting,
            up,
            booting,
            doomed = self.machines.len() - up - booting,
            inherited = self.unconfirmed_inherited_records(),
            retained_exits = self.machines.values().map(|m| m.retained_exits).sum::<usize>(),
            unexplained = self.machines.values().map(|m| m.orphaned_attempts.len()).sum::<usize>(),
            helpers = self.scheduler.helpers.cores,
            pools = ?self.scheduler.pools.iter().map(|(k, v)| format!("{}x{}={}", k.class, k.slots_per_task, v)).collect::<Vec<_>>(),
            "fleet"
        );
    }

    fn log_write_ahead_log(&self) {
        let log = &self.log_writer;
        tracing::info!(
            pages = log.live_segments(),
            transactions = log.written.transactions,
            changes = log.written.changes,
            unrecorded = log.changed.len(),
            starting = log.starting.len(),
            undescribed = log.undescribed.len(),
            "write-ahead log"
        );
    }

    fn log_team(&self, team: &Team, usage: TeamUsage) {
        if usage.held > 0.0 || usage.waiting > 0.0 {
            tracing::info!(
                team = team.name,
                term = self.term,
                holds_cpus = usage.held,
                unseen_cpus = usage.unreported,
                stopping_cpus = usage.stopping,
                exited_cpus = usage.exited,
                guaranteed = team.cpus,
                limit = team.cpus_max,
                waiting_cpus = usage.waiting,
                without_machine_cpus = usage.without_machine,
                oldest_wait_s = usage.oldest_wait.secs(),
                "team"
            );
        }
        if team.cpus_max > 0.0 && usage.held > team.cpus_max + ROUNDING {
            // This happens with records of an earlier leader, some of which are not proven void yet.
            // No task of the team starts until they are. The module `invariants` checks the tasks
            // that machines list against the limit.
            tracing::warn!(
                team = team.name,
                term = self.term,
                holds_cpus = usage.held,
                limit = team.cpus_max,
                "a team's recorded tasks exceed its limit: none of its tasks start until they no longer do"
            );
        }
    }
}
