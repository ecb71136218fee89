//! What has to hold at every moment, looked at while the leader runs. A broken invariant is an
//! error line with the decisions that led to it; it never ends the process.

use super::decision_log::Decisions;
use super::scheduling::orphaned_attempt_specs;
use super::state::{Job, LeaderState, PlacementPhase};
use super::ClusterConfig;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How often the leader looks.
const EVERY: Micros = Micros::from_millis(2000);
/// Sums of cores differ by less than this from what they should be.
const ROUNDING: f64 = 1e-6;

/// CPUs and GPUs of tasks that machines list.
type ListedMachine = (f64, f64);

/// What was found broken, and the decisions that preceded it.
pub struct InvariantMonitor {
    /// The latest decisions about starts.
    pub(super) decisions: Decisions,
    next_check: Micros,
    /// Broken invariants that the process has not counted yet.
    pub(super) broken: u64,
    /// Teams whose listed tasks exceed their limits.
    over_limit: BTreeSet<String>,
}

impl InvariantMonitor {
    /// A monitor that has found nothing broken.
    pub fn new(now: Micros) -> InvariantMonitor {
        InvariantMonitor {
            decisions: Decisions::default(),
            next_check: now,
            broken: 0,
            over_limit: BTreeSet::new(),
        }
    }
}

impl LeaderState {
    /// Looks at the invariants when it is time.
    pub fn check_invariants(&mut self, cluster: &ClusterConfig, now: Micros) {
        if now < self.invariants.next_check {
            return;
        }
        self.invariants.next_check = now + EVERY;
        self.check_quotas(cluster);
        let miscounted = self.jobs.values().filter(|job| !is_counted_right(job)).count();
        self.invariants.broken += miscounted as u64;
    }

    /// No team's tasks, as machines list them since this leadership began, exceed its limit. What an
    /// earlier report says may have ended before something else began.
    fn check_quotas(&mut self, cluster: &ClusterConfig) {
        let listed = self.listed_use();
        let exceeds = |team: &str| {
            let (cpus, gpus) = listed.get(team).copied().unwrap_or_default();
            let (max_cpus, max_gpus) = cluster.limits(team);
            cpus > max_cpus + ROUNDING || gpus > max_gpus + ROUNDING
        };
        let over: Vec<String> = listed.keys().filter(|team| exceeds(team)).cloned().collect();
        for team in &over {
            if self.invariants.over_limit.insert(team.clone()) {
                self.invariants.broken += 1;
                self.log_quota_violation(cluster, team, listed[team]);
            }
        }
        self.invariants.over_limit.retain(|team| over.contains(team));
    }

    /// What machines list, by team, with a record or without.
    fn listed_use(&self) -> BTreeMap<String, ListedMachine> {
        let mut listed: BTreeMap<String, ListedMachine> = BTreeMap::new();
        let mut add = |team: &str, cpus: f64, gpus: f64| {
            let held = listed.entry(team.to_string()).or_default();
            held.0 += cpus;
            held.1 += gpus;
        };
        for job in self.jobs.values().filter(|job| job.held > 0) {
            let confirmed = job.placements.values().filter(|placement| {
                let machine = self.machines.get(&placement.machine);
                let is_current = machine.is_some_and(|machine| machine.fencing_token >= self.first_term);
                is_current && matches!(placement.phase, PlacementPhase::Seen(_))
            });
            let count = confirmed.count() as f64;
            add(&job.spec.team, count * job.spec.cpus, count * job.spec.gpus);
        }
        for spec in orphaned_attempt_specs(&self.jobs, &self.machines) {
            add(&spec.team, spec.cpus, spec.gpus);
        }
        listed
    }

    fn log_quota_violation(&self, cluster: &ClusterConfig, team: &str, listed: ListedMachine) {
        let limit = cluster.limits(team);
        tracing::error!(
            team,
            term = self.term,
            since_term = self.first_term,
            ?listed,
            ?limit,
            "machines list more of a team's tasks than its limit allows"
        );
        for decision in self.invariants.decisions.of_team(team) {
            tracing::info!(team, ?decision, "a decision before it");
        }
    }
}

/// What is counted of a job as it changes is what its records say.
fn is_counted_right(job: &Job) -> bool {
    let records = job.holding().count();
    let right = records == job.held as usize;
    if !right {
        tracing::error!(job = %job.id, held = job.held, records, "a job's count differs from its records");
    }
    right
}
