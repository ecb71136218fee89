//! Jobs with dependencies on the leader: they are blocked until all their dependencies are done,
//! cancelled with any of these, and pass their priority and deadline on to them (priority
//! inheritance).
//!
//! The graph belongs to the job API and contains only committed facts; this module applies its
//! changes to the leader's jobs, once in each tick. A blocked job is not described in the
//! write-ahead log: every node reads it from the pages of acceptances, and so does a new leader.

use super::api::{DependentJob, JobApi};
use super::log::queues::Undescribed;
use super::state::{Job, LeaderState};
use super::{ClusterConfig, Controller, JobId};
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_dependencies::{DependencyChange, DependencyState, Inherited};
use glenhaven_group_commit::{Waited, Waits};
use std::collections::{BTreeMap, BTreeSet};

/// Inherited priorities and deadlines are recomputed after this long, and when the graph changes.
const INHERITANCE_INTERVAL: Micros = Micros::from_millis(2000);
/// The time that a job takes beside its tasks and their image: commits, commands and heartbeats.
const STAGE_OVERHEAD_S: f64 = 3.0;
/// The longest of a job's tasks takes about this many times as long as the estimate.
const LONGEST_TASK_FACTOR: f64 = 1.4;

/// The leader's state of jobs with dependencies.
#[derive(Default)]
pub struct BlockedJobs {
    /// Blocked jobs whose state in the graph has to be checked.
    to_check: BTreeSet<JobId>,
    /// Whether the blocked jobs that the job API knows were adopted.
    adopted: bool,
    next_inheritance_at: Micros,
    /// Jobs that have an inherited priority or deadline.
    inheriting: BTreeSet<JobId>,
    /// How long tasks of such jobs waited from the end of the last dependency to their start.
    waits: Waits,
}

impl BlockedJobs {
    /// Records how long a task waited after the last dependency of its job was done.
    pub fn record_wait(&mut self, after: Micros) {
        self.waits.record(after);
    }

    /// How long such tasks waited since the last call.
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
        tracing::debug!(job = %job.id, class = job.spec.class, needs = ?job.spec.needs, "job blocked by its dependencies");
        self.last_acceptance_revision = self.last_acceptance_revision.max(version);
        self.blocked_jobs.to_check.insert(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
    }

    /// A time of day, in milliseconds since 1970, on this process's clock; `now` if it is 0, which
    /// means that it is not known.
    pub fn submission_time(&self, day_ms: u64, now: Micros) -> Micros {
        match day_ms {
            0 => now,
            ms => Micros::from_millis(ms.saturating_sub(self.clock_origin_ms)).min(now),
        }
    }

    /// Adopts, once for each leadership, the jobs with dependencies that the job API knows: those
    /// that the write-ahead log does not describe, and the dependencies that an older release left
    /// out there.
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
        tracing::info!(waiting = self.blocked_jobs.to_check.len(), "blocked jobs adopted");
    }

    /// Unblocks a job whose dependencies are all recorded as done: for the scheduler it arrives now.
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
        let entry = Undescribed::new(job.acceptance_revision, id.clone());
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

    /// Queues the record that a blocked job is cancelled with one of its dependencies.
    fn cancel_with_dependency(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.blocked && j.is_live()) else {
            return;
        };
        tracing::debug!(job = %job.id, "job cancelled with a dependency");
        self.log_writer.withdrawn.insert(id.clone());
    }

    /// How long a job takes from its start to its end, about.
    fn stage_duration(&self, cluster: &ClusterConfig, spec: &JobSpec) -> Micros {
        let rate = cluster
            .catalogue
            .values()
            .map(|t| t.fetch_gb_per_s)
            .fold(0.05, f64::max);
        let run_s = spec.estimate_s * self.slo.bias(&spec.class) * LONGEST_TASK_FACTOR;
        Micros::from_secs(run_s + spec.image_gb / rate + STAGE_OVERHEAD_S)
    }

    /// Sets the priority and deadline that jobs inherit from those that depend on them, and removes
    /// them from jobs that inherit nothing any more.
    fn inherit_priorities(&mut self, api: &JobApi, cluster: &ClusterConfig) {
        let due = |spec: &JobSpec, submitted_at: Micros| spec.deadline_s.map(|d| submitted_at + Micros::from_secs(d));
        let inherited: BTreeMap<&str, Inherited<Priority>> = api.dependency_graph().inherit(
            |id, dependent| Inherited {
                priority: dependent.spec.priority,
                due: self.jobs.get(id).and_then(|j| due(&j.spec, j.submitted_at)),
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
            job.inherited_deadline = inherited.due;
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
            // Jobs that other nodes accepted are known once all pages have been read.
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
                // The graph reports when that changes.
                Some(DependencyState::Blocked | DependencyState::Undetermined) => {}
                // The page that accepts it, or its end, has yet to be read here.
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

    /// Tells the job API of ends that the leader has recorded, so that jobs which depend on these
    /// follow at once.
    pub(super) fn learn_recorded_ends(&mut self, ends: super::log::RecordedEnds, revision: u64) {
        for id in ends.done {
            self.api.learn(&id, revision, crate::protocol::users::Phase::Done);
        }
        for id in ends.withdrawn {
            self.api.learn(&id, revision, crate::protocol::users::Phase::Cancelled);
        }
    }
}
