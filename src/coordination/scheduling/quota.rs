//! What each team uses, and whether its limit admits one more task.
//!
//! This module alone decides whether a limit admits a task, for starts as well as for the
//! preemption of a team's own work. A pass builds one ledger from the leader's state and charges
//! every start to it.
//!
//! Invariant: usage is never counted too low. A placement is counted until it is proven void, and
//! an attempt that a machine reports and that has no record is counted like a placement.

use super::super::agents::parse_task;
use super::super::state::{Job, Machine, MachineId, TaskState};
use super::super::{ClusterConfig, JobId};
use super::EPSILON;
use crate::protocol::users::JobSpec;
use std::collections::BTreeMap;

/// What the tasks of one team use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUsage {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl TeamUsage {
    /// Adds `tasks` tasks of a job.
    pub fn add(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus += tasks * spec.cpus;
        self.gpus += tasks * spec.gpus;
    }
}

/// The usage of all teams, as recorded by the leader and reported by machines.
pub(super) struct QuotaLedger {
    usage: BTreeMap<String, TeamUsage>,
}

impl QuotaLedger {
    /// Counts every placement that is not proven void, and every orphaned attempt that a machine
    /// reports.
    pub(super) fn of(jobs: &BTreeMap<JobId, Job>, machines: &BTreeMap<MachineId, Machine>) -> QuotaLedger {
        let mut ledger = QuotaLedger {
            usage: usage_by_team(jobs),
        };
        for spec in orphaned_attempt_specs(jobs, machines.values()) {
            ledger.charge(spec);
        }
        ledger
    }

    /// What a team uses.
    pub(super) fn of_team(&self, team: &str) -> TeamUsage {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// What each team uses, in the order of the teams' names.
    pub(super) fn teams(&self) -> impl Iterator<Item = (&String, &TeamUsage)> {
        self.usage.iter()
    }

    /// Whether the limit of the job's team admits one more of its tasks.
    pub(super) fn admits(&self, cluster: &ClusterConfig, spec: &JobSpec) -> bool {
        let usage = self.of_team(&spec.team);
        let (max_cpus, max_gpus) = cluster.limits(&spec.team);
        usage.cpus + spec.cpus <= max_cpus + EPSILON && usage.gpus + spec.gpus <= max_gpus + EPSILON
    }

    /// Charges one task of this job to its team.
    pub(super) fn charge(&mut self, spec: &JobSpec) {
        self.usage.entry(spec.team.clone()).or_default().add(spec, 1.0);
    }
}

/// What each team uses: CPUs and GPUs of every placement that is not proven void.
pub fn usage_by_team(jobs: &BTreeMap<JobId, Job>) -> BTreeMap<String, TeamUsage> {
    let mut usage: BTreeMap<String, TeamUsage> = BTreeMap::new();
    for job in jobs.values().filter(|j| j.held_tasks > 0) {
        // The name is copied for the first job of a team only.
        if !usage.contains_key(&job.spec.team) {
            usage.insert(job.spec.team.clone(), TeamUsage::default());
        }
        if let Some(team) = usage.get_mut(&job.spec.team) {
            team.add(&job.spec, f64::from(job.held_tasks));
        }
    }
    usage
}

/// Returns the job specs of the orphaned attempts: attempts that machines report and no record
/// explains. Attempts of jobs that are no longer open are left out, and so are attempts at completed
/// tasks, which exit with the kept result and do not run; a spec is repeated for each attempt.
pub fn orphaned_attempt_specs<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    machines: impl Iterator<Item = &'a Machine>,
) -> impl Iterator<Item = &'a JobSpec> {
    let attempts = machines.flat_map(|machine| &machine.orphaned_attempts);
    attempts.filter_map(|attempt| {
        let (job, task) = parse_task(&attempt.task)?;
        let job = jobs.get(job)?;
        let state = job.task_states.get(task as usize);
        let is_completed = matches!(state, Some(TaskState::Finished | TaskState::Recorded));
        (!is_completed).then_some(&job.spec)
    })
}
