//! What each team holds, and whether its limit admits one more task: the one place that decides it,
//! for starts as for work that is stopped to make room.

use super::super::agents::parse_task;
use super::super::state::{Job, Machine, MachineId};
use super::super::{ClusterConfig, JobId};
use super::rules::team_use;
use super::EPS;
use crate::protocol::users::JobSpec;
use std::collections::BTreeMap;

/// CPUs and GPUs that each team holds: every record that is not proven void, and every attempt
/// without a record that a machine lists.
pub struct QuotaLedger {
    held: BTreeMap<String, (f64, f64)>,
}

impl QuotaLedger {
    /// What teams hold by the records and reports that the leader has.
    pub fn of(jobs: &BTreeMap<JobId, Job>, machines: &BTreeMap<MachineId, Machine>) -> QuotaLedger {
        let mut held = QuotaLedger { held: team_use(jobs) };
        for spec in unexplained(jobs, machines) {
            held.charge(spec);
        }
        held
    }

    /// What a team holds.
    pub fn of_team(&self, team: &str) -> (f64, f64) {
        self.held.get(team).copied().unwrap_or_default()
    }

    /// What all teams hold.
    pub fn teams(&self) -> impl Iterator<Item = (&String, &(f64, f64))> {
        self.held.iter()
    }

    /// Whether a team's limit has room for one more task of this job.
    pub fn admits(&self, cluster: &ClusterConfig, spec: &JobSpec) -> bool {
        let (cpus, gpus) = self.of_team(&spec.team);
        let (max_cpus, max_gpus) = cluster.limits(&spec.team);
        cpus + spec.cpus <= max_cpus + EPS && gpus + spec.gpus <= max_gpus + EPS
    }

    /// One more task of this job is held.
    pub fn charge(&mut self, spec: &JobSpec) {
        let held = self.held.entry(spec.team.clone()).or_default();
        held.0 += spec.cpus;
        held.1 += spec.gpus;
    }
}

/// The jobs of attempts that machines list and no record explains, as far as those are open.
pub fn unexplained<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    machines: &'a BTreeMap<MachineId, Machine>,
) -> impl Iterator<Item = &'a JobSpec> {
    let attempts = machines.values().flat_map(|machine| &machine.orphaned_attempts);
    attempts.filter_map(|attempt| {
        let (job, _) = parse_task(&attempt.task)?;
        jobs.get(job).map(|job| &job.spec)
    })
}
