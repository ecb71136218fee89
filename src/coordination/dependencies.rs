//! What the leader does about jobs that name others: holds them back, lets them come once
//! all they need is done, has them withdrawn with one before them, and treats those before
//! as having the priority and the time of those that need them.
//!
//! What follows for a job from the others the desk's `glenhaven-dependencies` says, from what is
//! committed alone. Such a job is not described in the book before it may begin: the pages
//! of acceptances have it, every node reads them, and a new leader takes it from there.

use super::api::{DependentJob, JobApi};
use super::log::queues::Undescribed;
use super::state::{Job, LeaderState};
use super::{ClusterConfig, Controller, JobId};
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_dependencies::{Lent, News, Stand};
use glenhaven_group_commit::{Waited, Waits};
use std::collections::{BTreeMap, BTreeSet};

/// What is lent is worked out anew so often, or when a chain has changed.
const LEND_EVERY: Micros = Micros::from_millis(2000);
/// What a stage takes beside its tasks and their image: commits, orders and reports.
const BETWEEN_S: f64 = 3.0;
/// Of the tasks of a stage, the longest ends it: so many times as long as they say.
const LONGEST: f64 = 1.4;

/// Jobs that name others, as far as the leader has to look at them.
#[derive(Default)]
pub struct BlockedJobs {
    /// Blocked; where they stand has to be looked at.
    fresh: BTreeSet<JobId>,
    /// What the desk knows of open jobs was taken over.
    adopted: bool,
    next_lend: Micros,
    /// Jobs that are treated by what they were lent.
    borrowers: BTreeSet<JobId>,
    /// How long tasks of such jobs waited from when all they need was done to their start.
    waits: Waits,
}

impl BlockedJobs {
    /// A task began of a job that waited for others.
    pub fn began(&mut self, after: Micros) {
        self.waits.record(after);
    }

    /// How long such tasks waited since the last call.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }
}

impl LeaderState {
    /// A job that names others came: it is held back until the desk says that all it needs
    /// is done.
    pub fn hold_back(&mut self, (spec, submitted_ms): (JobSpec, u64), version: u64, now: Micros) {
        let mut job = Job::new(&spec.id.clone(), spec, version, 0, now);
        job.blocked = true;
        job.submitted_at = self.came(submitted_ms, now);
        tracing::debug!(job = %job.id, class = job.spec.class, needs = ?job.spec.needs, "job waits for others");
        self.last_version = self.last_version.max(version);
        self.blocked_jobs.fresh.insert(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
    }

    /// A time of day on this process's clock; `now` if it is not known.
    pub fn came(&self, day_ms: u64, now: Micros) -> Micros {
        match day_ms {
            0 => now,
            ms => Micros::from_millis(ms.saturating_sub(self.day_ms)).min(now),
        }
    }

    /// All that is known of open jobs that name others is taken over, once: those that the
    /// book does not describe, and the names that an older version left out there.
    fn adopt(&mut self, api: &JobApi, now: Micros) {
        self.blocked_jobs.adopted = true;
        for (id, held) in api.dependency_graph().jobs() {
            if self.log_writer.is_closed(id) {
                continue;
            }
            let DependentJob {
                spec,
                version,
                submitted_ms,
            } = held;
            let came = self.came(*submitted_ms, now);
            match self.jobs.get_mut(id) {
                Some(job) => {
                    job.spec = spec.clone();
                    job.submitted_at = came;
                    if job.blocked {
                        self.blocked_jobs.fresh.insert(job.id.clone());
                    }
                }
                None => {
                    let mut job = Job::new(id, spec.clone(), *version, 0, now);
                    job.blocked = true;
                    job.restored = true;
                    job.submitted_at = came;
                    self.blocked_jobs.fresh.insert(job.id.clone());
                    self.jobs.insert(job.id.clone(), job);
                }
            }
        }
        tracing::info!(waiting = self.blocked_jobs.fresh.len(), "jobs that wait for others");
    }

    /// All that the job needs is recorded as done: it arrives, in the paper's sense.
    fn release(&mut self, id: &JobId, now: Micros) {
        let order = self.last_version;
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.blocked) else {
            return;
        };
        job.blocked = false;
        if job.described_in.is_none() || job.arrival_unknown {
            job.arrived = now;
            job.arrival_unknown = false;
            job.order = order.max(job.order);
        }
        tracing::debug!(job = %id, after_s = now.since(job.submitted_at).secs(), "all that the job needs is done");
        let entry = Undescribed::new(job.version, id.clone());
        if job.described_in.is_none() {
            self.log_writer.undescribed.insert(entry);
        }
        self.dirty = true;
    }

    /// Where every job that is held back stands is looked at once more.
    pub fn check_blocked(&mut self) {
        let blocked = self.jobs.values().filter(|j| j.blocked && j.is_live());
        self.blocked_jobs.fresh.extend(blocked.map(|j| j.id.clone()));
    }

    /// Something that the job needs is withdrawn: that it is too is to be recorded.
    fn withdraw(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.blocked && j.is_live()) else {
            return;
        };
        tracing::debug!(job = %job.id, "withdrawn with a job that it needs");
        self.log_writer.withdrawn.insert(id.clone());
    }

    /// How long a stage takes from its beginning to its end.
    fn stage_takes(&self, cluster: &ClusterConfig, spec: &JobSpec) -> Micros {
        let rate = cluster
            .catalogue
            .values()
            .map(|t| t.fetch_gb_per_s)
            .fold(0.05, f64::max);
        let run_s = spec.estimate_s * self.slo.bias(&spec.class) * LONGEST;
        Micros::from_secs(run_s + spec.image_gb / rate + BETWEEN_S)
    }

    /// Jobs before others get the priority and the time of those, or lose them again.
    fn lend(&mut self, api: &JobApi, cluster: &ClusterConfig) {
        let due = |spec: &JobSpec, submitted_at: Micros| spec.deadline_s.map(|d| submitted_at + Micros::from_secs(d));
        let lent: BTreeMap<&str, Lent<Priority>> = api.dependency_graph().lend(
            |id, held| Lent {
                priority: held.spec.priority,
                due: self.jobs.get(id).and_then(|j| due(&j.spec, j.submitted_at)),
            },
            |_, held| self.stage_takes(cluster, &held.spec),
        );
        let mut borrowers: BTreeSet<JobId> = BTreeSet::new();
        for (id, lent) in lent {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let priority = job.spec.priority.max(lent.priority);
            if priority != job.priority {
                job.set_priority(priority);
                self.dirty = true;
            }
            job.inherited_due = lent.due;
            borrowers.insert(job.id.clone());
        }
        for id in self.blocked_jobs.borrowers.difference(&borrowers) {
            if let Some(job) = self.jobs.get_mut(id) {
                job.set_priority(job.spec.priority);
                job.inherited_due = None;
            }
        }
        self.blocked_jobs.borrowers = borrowers;
    }
}

impl Controller {
    /// Jobs that name others: what became true of them is acted on by the leader.
    pub(super) fn run_dependencies(&mut self) {
        let news = self.api.take_dependency_changes();
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        if !leader.blocked_jobs.adopted {
            // What other nodes accepted is known once all pages are read.
            if !self.api.is_ready() {
                return;
            }
            leader.day_ms = self.context.day_ms;
            leader.adopt(&self.api, now);
        }
        let changed = !news.is_empty() || !leader.blocked_jobs.fresh.is_empty();
        for News::Free(id) | News::Withdrawn(id) in news {
            leader.blocked_jobs.fresh.insert(id.as_str().into());
        }
        for id in std::mem::take(&mut leader.blocked_jobs.fresh) {
            match self.api.dependency_graph().stand(&id) {
                Some(Stand::Free) => leader.release(&id, now),
                Some(Stand::Withdrawn) => leader.withdraw(&id),
                // It is told when that changes.
                Some(Stand::Waits | Stand::Unsettled) => {}
                // Its page is on its way here, or its end.
                None => {
                    if leader.jobs.get(&id).is_some_and(|j| j.blocked && j.is_live()) {
                        leader.blocked_jobs.fresh.insert(id);
                    }
                }
            }
        }
        if changed || now >= leader.blocked_jobs.next_lend {
            leader.blocked_jobs.next_lend = now + LEND_EVERY;
            leader.lend(&self.api, &self.cluster);
        }
    }

    /// Ends that the leader has recorded: what follows for other jobs follows at once.
    pub(super) fn learn_ends(&mut self, ends: super::log::RecordedEnds, revision: u64) {
        for id in ends.done {
            self.api.learn(&id, revision, crate::protocol::users::Phase::Done);
        }
        for id in ends.withdrawn {
            self.api.learn(&id, revision, crate::protocol::users::Phase::Cancelled);
        }
    }
}
