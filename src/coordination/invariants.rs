//! Runtime checks of the leader's invariants.
//!
//! Called by the leader's periodic work. A violation is logged as an error, with the decisions that
//! led to it, and counted; a violation never ends the process and changes no decision.

use super::agents::{parse_task, Attempt};
use super::api::JobApi;
use super::decision_log::Decisions;
use super::scheduling::orphaned_attempt_specs;
use super::state::{Job, LeaderState, Machine, MachineId, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::users::Phase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How often the invariants are checked.
const CHECK_PERIOD: Micros = Micros::from_millis(2000);
/// The tolerance for rounding errors in sums of cores.
const ROUNDING: f64 = 1e-6;

/// The CPUs and GPUs of a team's tasks that machines list in their heartbeats.
type ListedUse = (f64, f64);

/// The violations found, and the latest decisions about attempts.
pub struct InvariantMonitor {
    /// The latest decisions about attempts.
    pub(super) decisions: Decisions,
    next_check: Micros,
    /// Violations that have not yet been added to the controller's count.
    pub(super) broken: u64,
    /// Teams whose listed tasks exceeded their limits at the last check.
    over_limit: BTreeSet<String>,
}

impl InvariantMonitor {
    /// Creates a monitor without any violation.
    pub fn new(now: Micros) -> InvariantMonitor {
        InvariantMonitor {
            decisions: Decisions::default(),
            next_check: now,
            broken: 0,
            over_limit: BTreeSet::new(),
        }
    }

    /// Returns the number of violations that have not yet been added to the controller's count.
    pub fn broken(&self) -> u64 {
        self.broken
    }
}

impl LeaderState {
    /// Checks the invariants, if a check is due.
    pub fn check_invariants(&mut self, cluster: &ClusterConfig, api: &JobApi, now: Micros) {
        if now < self.invariants.next_check {
            return;
        }
        self.invariants.next_check = now + CHECK_PERIOD;
        self.check_quotas(cluster);
        let miscounted = self.jobs.values().filter(|job| !is_count_consistent(job)).count();
        self.invariants.broken += miscounted as u64;
        self.check_cancellations(api);
    }

    /// Checks that the leader's state has every cancellation that the job API knows. Otherwise a
    /// lease could be renewed while a start of a cancelled job is in flight.
    fn check_cancellations(&mut self, api: &JobApi) {
        let mut missed = 0;
        for job in self.missed_cancellations(api) {
            missed += 1;
            tracing::error!(job = %job.id, term = self.term, "the leader's state lacks a cancellation that the job API knows");
        }
        self.invariants.broken += missed;
    }

    /// Returns the jobs that are known to be cancelled to the job API and not to the leader's state.
    pub(super) fn missed_cancellations<'a>(&'a self, api: &'a JobApi) -> impl Iterator<Item = &'a Job> {
        let is_missed = |job: &&Job| job.cancelled_at.is_none() && api.phase(&job.id) == Some(Phase::Cancelled);
        self.jobs.values().filter(is_missed)
    }

    /// Checks that an attempt which a machine lists without a record was not started under the present
    /// term: its record was freed too early, or it was forgotten too early and started again.
    pub(super) fn check_orphan(&mut self, name: &MachineId, attempt: &Attempt) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let is_known = machine.orphaned_attempts.contains(attempt);
        if is_known || !machine.outbox.sent_starts.was_pushed_under(attempt, self.term) {
            return;
        }
        self.invariants.broken += 1;
        tracing::error!(
            machine = %name,
            task = attempt.task,
            attempt = attempt.number,
            term = self.term,
            incarnation = machine.incarnation,
            "a machine lists an attempt without a record that was started under the present term"
        );
        let Some((job, task)) = parse_task(&attempt.task) else {
            return;
        };
        for decision in self.invariants.decisions.of_task(job, task) {
            tracing::info!(machine = %name, ?decision, "a decision before the violation");
        }
    }

    /// Checks that no team's tasks, as machines have listed them since this leadership began, exceed
    /// the team's limit. Earlier heartbeats don't count: a task that they list may have ended before
    /// another one began.
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

    /// The resources of the tasks that machines list, by team, including tasks without a record.
    fn listed_use(&self) -> BTreeMap<String, ListedUse> {
        let mut listed: BTreeMap<String, ListedUse> = BTreeMap::new();
        let mut add = |team: &str, cpus: f64, gpus: f64| {
            let held = listed.entry(team.to_string()).or_default();
            held.0 += cpus;
            held.1 += gpus;
        };
        let is_recent = |machine: &Machine| machine.fencing_token >= self.first_term;
        for job in self.jobs.values().filter(|job| job.held_tasks > 0) {
            let confirmed = job.placements.values().filter(|placement| {
                let machine = self.machines.get(&placement.machine);
                machine.is_some_and(is_recent) && matches!(placement.phase, PlacementPhase::Seen(_))
            });
            let count = confirmed.count() as f64;
            add(&job.spec.team, count * job.spec.cpus, count * job.spec.gpus);
        }
        let recent = self.machines.values().filter(|machine| is_recent(machine));
        for spec in orphaned_attempt_specs(&self.jobs, recent) {
            add(&spec.team, spec.cpus, spec.gpus);
        }
        listed
    }

    fn log_quota_violation(&self, cluster: &ClusterConfig, team: &str, listed: ListedUse) {
        let limit = cluster.limits(team);
        tracing::error!(
            team,
            term = self.term,
            since_term = self.first_term,
            ?listed,
            ?limit,
            "machines list more of a team's tasks than its limit allows"
        );
        for machine in self.machines.values().filter(|m| !m.orphaned_attempts.is_empty()) {
            let (attempts, token) = (&machine.orphaned_attempts, machine.fencing_token);
            tracing::info!(machine = %machine.name, ?attempts, token, "attempts without a record at the violation");
        }
        for decision in self.invariants.decisions.of_team(team) {
            tracing::info!(team, ?decision, "a decision before the violation");
        }
    }
}

/// Whether a job's count of held tasks equals the number of its active placements.
fn is_count_consistent(job: &Job) -> bool {
    let records = job.active_placements().count();
    let is_consistent = records == job.held_tasks as usize;
    if !is_consistent {
        tracing::error!(job = %job.id, held = job.held_tasks, records, "a job's count of held tasks differs from its records");
    }
    is_consistent
}
