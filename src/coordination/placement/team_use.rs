//! What each team holds, and whether its limit admits one more task: the one place that decides it,
//! for starts as for work that is stopped to make room.

use super::super::book::{Job, Machine, MachineId};
use super::super::workers::parse_task;
use super::super::{JobId, Site};
use super::rules::team_use;
use super::EPS;
use crate::protocol::users::Spec;
use std::collections::BTreeMap;

/// CPUs and GPUs that each team holds: every record that is not proven void, and every attempt
/// without a record that a machine lists.
pub struct TeamUse {
    held: BTreeMap<String, (f64, f64)>,
}

impl TeamUse {
    /// What teams hold by the records and reports that the leader has.
    pub fn of(jobs: &BTreeMap<JobId, Job>, machines: &BTreeMap<MachineId, Machine>) -> TeamUse {
        let mut held = TeamUse { held: team_use(jobs) };
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
    pub fn admits(&self, site: &Site, spec: &Spec) -> bool {
        let (cpus, gpus) = self.of_team(&spec.team);
        let (max_cpus, max_gpus) = site.limits(&spec.team);
        cpus + spec.cpus <= max_cpus + EPS && gpus + spec.gpus <= max_gpus + EPS
    }

    /// One more task of this job is held.
    pub fn charge(&mut self, spec: &Spec) {
        let held = self.held.entry(spec.team.clone()).or_default();
        held.0 += spec.cpus;
        held.1 += spec.gpus;
    }
}

/// The jobs of attempts that machines list and no record explains, as far as those are open.
pub fn unexplained<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    machines: &'a BTreeMap<MachineId, Machine>,
) -> impl Iterator<Item = &'a Spec> {
    let attempts = machines.values().flat_map(|machine| &machine.strangers);
    attempts.filter_map(|attempt| {
        let (job, _) = parse_task(&attempt.task)?;
        jobs.get(job).map(|job| &job.spec)
    })
}
