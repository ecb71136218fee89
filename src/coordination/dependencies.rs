//! The leader's handling of jobs with dependencies.
//!
//! Such a job is blocked until all its dependencies are done, is cancelled with any of them, and
//! passes its priority and deadline on to them (priority inheritance).
//!
//! The job API owns the dependency graph, which contains only committed facts; this module applies
//! the graph's changes to the leader's jobs, once in each tick. A blocked job is not described in
//! the write-ahead log: every node, also a new leader, reads it from the pages of acceptances.

use super::api::{DependentJob, JobApi};
use super::log::queues::UndescribedJob;
use super::state::{Job, LeaderState};
use super::{ClusterConfig, Controller, JobId};
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_dependencies::{DependencyChange, DependencyState, Inherited};
use glenhaven_group_commit::{WaitHistogram, Waited};
use std::collections::{BTreeMap, BTreeSet};

/// Inherited priorities and deadlines are recomputed this often, and when the graph changes.
const INHERITANCE_INTERVAL: Micros = Micros::from_millis(2000);
/// The time that a job takes in addition to running its tasks and fetching their image: commits,
/// commands and heartbeats.
const STAGE_OVERHEAD_S: f64 = 3.0;
/// The typical ratio of a job's longest task duration to the estimated one.
const LONGEST_TASK_FACTOR: f64 = 1.4;

/// The leader's state of jobs with dependencies.
#[derive(Default)]
pub struct BlockedJobs {
    /// Blocked jobs whose state in the graph has to be checked.
    to_check: BTreeSet<JobId>,
    /// Whether the blocked jobs in the job API's dependency graph have been adopted.
    adopted: bool,
    next_inheritance_at: Micros,
    /// Jobs that have an inherited priority or deadline.
    inheriting: BTreeSet<JobId>,
    /// How long tasks of jobs with dependencies waited from the end of the last dependency to their
    /// start.
    waits: WaitHistogram,
}

impl BlockedJobs {
    /// Records how long a task waited after the last dependency of its job was done.
    pub fn record_wait(&mut self, after: Micros) {
        self.waits.record(after);
    }

    /// Returns how long the tasks recorded since the last call waited after the last dependency.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }
}

impl LeaderState {
    /// Adds a job with dependencies, which was submitted at `submitted_ms` (milliseconds since 1970)
    /// and accepted at revision `version`. It stays blocked until all its dependencies are done.
    pub fn block_until_dependencies_done(&mut self, (spec, submitted_ms): (JobSpec, u64), version: u64, now: Micros) {
        let mut job = Job::new(&spec.id.clone(), spec, version, 0, now);
        job.blocked = true;
        job.submitted_at = self.submission_time(submitted_ms, now);
        tracing::debug!(job = %job.id, class = job.spec.class, needs = ?job.spec.dependencies, "job blocked by its dependencies");
        self.last_acceptance_revision = self.last_acceptance_revision.max(version);
        self.blocked_jobs.to_check.insert(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
    }

    /// Converts a time of day, in milliseconds since 1970, to a time on this process's clock that is
    /// at most `now`. Returns `now` if `day_ms` is 0, which means that the time of day is unknown.
    pub fn submission_time(&self, day_ms: u64, now: Micros) -> Micros {
        match day_ms {
            0 => now,
            ms => Micros::from_millis(ms.saturating_sub(self.clock_origin_ms)).min(now),
        }
    }

    /// Adopts, once for each leadership, the jobs with dependencies from the job API's dependency
    /// graph: those that the write-ahead log does not describe, and for the others the dependencies
    /// that an older release did not write to the log.
    fn adopt_blocked_jobs(&mut self, api: &JobApi, now: Micros) {
        self.blocked_jobs.adopted = true;
        for (id, dependent) in api.dependency_graph().jobs() {
            if self.log_writer.is_closed(id) {
                continue;
            }
            let DependentJob {
                spec,
                version,
                submitted_ms,
            } = dependent;
            let submission_time = self.submission_time(*submitted_ms, now);
            match self.jobs.get_mut(id) {
                Some(job) => {
                    job.spec = spec.clone();
                    job.submitted_at = submission_time;
                    if job.blocked {
                        self.blocked_jobs.to_check.insert(job.id.clone());
                    }
                }
                None => {
                    let mut job = Job::new(id, spec.clone(), *version, 0, now);
                    job.blocked = true;
                    job.restored = true;
                    job.submitted_at = submission_time;
                    self.blocked_jobs.to_check.insert(job.id.clone());
                    self.jobs.insert(job.id.clone(), job);
                }
            }
        }
        tracing::info!(
            waiting = self.blocked_jobs.to_check.len(),
            "adopted the blocked jobs of the dependency graph"
        );
    }

    /// Unblocks a job whose dependencies are all recorded as done. The scheduler treats the job as
    /// arriving at `now`.
    fn unblock(&mut self, id: &JobId, now: Micros) {
        let order = self.last_acceptance_revision;
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.blocked) else {
            return;
        };
        job.blocked = false;
        if job.described_in.is_none() || job.arrival_unknown {
            job.arrived_at = now;
            job.arrival_unknown = false;
            job.queue_order = order.max(job.queue_order);
        }
        tracing::debug!(job = %id, after_s = now.since(job.submitted_at).secs(), "job unblocked: its dependencies are done");
        let entry = UndescribedJob::new(job.acceptance_revision, id.clone());
        if job.described_in.is_none() {
            self.log_writer.undescribed.insert(entry);
        }
        self.needs_scheduling = true;
    }

    /// Queues a check of every blocked job.
    pub fn recheck_blocked_jobs(&mut self) {
        let blocked = self.jobs.values().filter(|j| j.blocked && j.is_live());
        self.blocked_jobs.to_check.extend(blocked.map(|j| j.id.clone()));
    }

    /// Queues the record of a blocked job's cancellation because of a cancelled dependency.
    fn cancel_with_dependency(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.blocked && j.is_live()) else {
            return;
        };
        tracing::debug!(job = %job.id, "job cancelled with a dependency");
        self.log_writer.cancelled_by_dependency.insert(id.clone());
    }

    /// The estimated time from a job's start to its end.
    fn stage_duration(&self, cluster: &ClusterConfig, spec: &JobSpec) -> Micros {
        let rate = cluster
            .catalogue
            .values()
            .map(|t| t.fetch_gb_per_s)
            .fold(0.05, f64::max);
        let run_s = spec.estimate_s * self.slo.run_time_bias(&spec.class) * LONGEST_TASK_FACTOR;
        Micros::from_secs(run_s + spec.image_gb / rate + STAGE_OVERHEAD_S)
    }

    /// Sets the priorities and deadlines that jobs inherit from the jobs that depend on them, and
    /// resets those of jobs that inherit nothing any more.
    fn inherit_priorities(&mut self, api: &JobApi, cluster: &ClusterConfig) {
        let due = |spec: &JobSpec, submitted_at: Micros| spec.deadline_s.map(|d| submitted_at + Micros::from_secs(d));
        let inherited: BTreeMap<&str, Inherited<Priority>> = api.dependency_graph().inherit(
            |id, dependent| Inherited {
                priority: dependent.spec.priority,
                deadline: self.jobs.get(id).and_then(|j| due(&j.spec, j.submitted_at)),
            },
            |_, dependent| self.stage_duration(cluster, &dependent.spec),
        );
        let mut inheriting: BTreeSet<JobId> = BTreeSet::new();
        for (id, inherited) in inherited {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let priority = job.spec.priority.max(inherited.priority);
            if priority != job.priority {
                job.set_priority(priority);
                self.needs_scheduling = true;
            }
            job.inherited_deadline = inherited.deadline;
            inheriting.insert(job.id.clone());
        }
        for id in self.blocked_jobs.inheriting.difference(&inheriting) {
            if let Some(job) = self.jobs.get_mut(id) {
                job.set_priority(job.spec.priority);
                job.inherited_deadline = None;
            }
        }
        self.blocked_jobs.inheriting = inheriting;
    }
}

impl Controller {
    /// Applies the changes of the dependency graph to the leader's jobs.
    pub(super) fn run_dependencies(&mut self) {
        let changes = self.api.take_dependency_changes();
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        if !leader.blocked_jobs.adopted {
            // The jobs that other nodes accepted are complete once all pages have been read.
            if !self.api.is_ready() {
                return;
            }
            leader.clock_origin_ms = self.context.clock_origin_ms;
            leader.adopt_blocked_jobs(&self.api, now);
        }
        let changed = !changes.is_empty() || !leader.blocked_jobs.to_check.is_empty();
        for DependencyChange::Ready(id) | DependencyChange::Cancelled(id) in changes {
            leader.blocked_jobs.to_check.insert(id.as_str().into());
        }
        for id in std::mem::take(&mut leader.blocked_jobs.to_check) {
            match self.api.dependency_graph().state(&id) {
                Some(DependencyState::Ready) => leader.unblock(&id, now),
                Some(DependencyState::Cancelled) => leader.cancel_with_dependency(&id),
                // The graph reports a change of this state.
                Some(DependencyState::Blocked | DependencyState::Undetermined) => {}
                // The page that accepts the job, or the job's end, has not been read here yet.
                None => {
                    if leader.jobs.get(&id).is_some_and(|j| j.blocked && j.is_live()) {
                        leader.blocked_jobs.to_check.insert(id);
                    }
                }
            }
        }
        if changed || now >= leader.blocked_jobs.next_inheritance_at {
            leader.blocked_jobs.next_inheritance_at = now + INHERITANCE_INTERVAL;
            leader.inherit_priorities(&self.api, &self.cluster);
        }
    }

    /// Passes the ends of jobs that the leader has recorded to the job API, so that dependent jobs
    /// are unblocked or cancelled at once.
    pub(super) fn apply_recorded_ends(&mut self, ends: super::log::RecordedEnds, revision: u64) {
        for id in ends.done {
            self.api
                .record_phase(&id, revision, crate::protocol::users::Phase::Done);
        }
        for id in ends.cancelled_by_dependency {
            self.api
                .record_phase(&id, revision, crate::protocol::users::Phase::Cancelled);
        }
    }
}
