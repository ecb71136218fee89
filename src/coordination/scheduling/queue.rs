//! The order in which a scheduling pass examines the waiting jobs, and which of them are within
//! their team's guarantee.
//!
//! The queue only reads the leader's state and decides the order; the pass decides what starts.

use super::super::state::{Job, LeaderState};
use super::super::{ClusterConfig, JobId};
use super::quota::TeamUsage;
use super::rules::missed_deadlines;
use super::EPSILON;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The jobs with waiting tasks, in the order in which a pass examines them.
pub(super) struct JobQueue {
    pub(super) order: Vec<JobId>,
    /// Jobs within their team's guarantee, whether they wait or not.
    pub(super) guaranteed: BTreeSet<JobId>,
}

/// A job's place in the queue. The fields are compared one after another, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the job leaves the capacity to other work (see [`Job::is_deferred`]).
    is_deferred: bool,
    priority: Reverse<Priority>,
    is_beyond_guarantee: bool,
    /// Number of the job's deadlines that it can no longer meet.
    missed_deadlines: u8,
    /// The job's age: the revision at which the job arrived.
    queue_order: u64,
}

impl LeaderState {
    /// The jobs that may start tasks now, in the order of the queue.
    pub(super) fn job_queue(&self, cluster: &ClusterConfig, now: Micros) -> JobQueue {
        let guaranteed = self.within_guarantee(cluster);
        let mut ranked: Vec<(Rank, &JobId)> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty() && now >= j.backoff_until)
            .map(|j| (self.rank(cluster, j, &guaranteed, now), &j.id))
            .collect();
        ranked.sort();
        let order = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        JobQueue { order, guaranteed }
    }

    fn rank(&self, cluster: &ClusterConfig, job: &Job, guaranteed: &BTreeSet<JobId>, now: Micros) -> Rank {
        Rank {
            is_deferred: job.is_deferred(now),
            priority: Reverse(job.priority),
            is_beyond_guarantee: !guaranteed.contains(&job.id),
            missed_deadlines: missed_deadlines(cluster, job, self.fetch_s(cluster, &job.spec), now),
            queue_order: job.queue_order,
        }
    }

    /// Time until some machine has the job's image, in seconds: zero if any machine already has it,
    /// and the fetch time at the highest rate in the catalogue otherwise.
    fn fetch_s(&self, cluster: &ClusterConfig, spec: &JobSpec) -> f64 {
        let locations = self.image_locations.get(spec.image.as_str());
        if locations.is_some_and(|machines| !machines.is_empty()) {
            return 0.0;
        }
        let rates = cluster.catalogue.values().map(|t| t.fetch_gb_per_s);
        spec.image_gb / rates.fold(0.01, f64::max)
    }

    /// Returns the jobs that fit into their team's guarantee together with the team's earlier
    /// unfinished jobs.
    pub fn within_guarantee(&self, cluster: &ClusterConfig) -> BTreeSet<JobId> {
        let teams = &cluster.settings.params.teams;
        if teams.iter().all(|t| t.cpus <= 0.0 && t.gpus <= 0.0) {
            return BTreeSet::new();
        }
        let unfinished = self.jobs.values().filter(|j| j.cancelled_at.is_none() && !j.blocked);
        let mut jobs: Vec<&Job> = unfinished.collect();
        jobs.sort_by_key(|j| j.acceptance_revision);
        let mut sums: BTreeMap<&str, TeamUsage> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for job in jobs {
            let sum = sums.entry(&job.spec.team).or_default();
            sum.add(&job.spec, f64::from(job.spec.tasks - job.finished_tasks));
            let (cpus, gpus) = cluster.guarantee(&job.spec.team);
            if sum.cpus <= cpus + EPSILON && sum.gpus <= gpus + EPSILON {
                within.insert(job.id.clone());
            }
        }
        within
    }
}
