//! What the leader does about jobs that name others: holds them back, lets them come once
//! all they need is done, has them withdrawn with one before them, and treats those before
//! as having the priority and the time of those that need them.
//!
//! What follows for a job from the others the desk's `glenhaven-chains` says, from what is
//! committed alone. Such a job is not described in the book before it may begin: the pages
//! of acceptances have it, every node reads them, and a new leader takes it from there.

use super::book::{Job, Leader};
use super::commit::queues::Undescribed;
use super::desk::{Desk, Held};
use super::{Core, JobId, Site};
use crate::protocol::users::{Priority, Spec};
use crate::time::Micros;
use glenhaven_chains::{Lent, News, Stand};
use glenhaven_intake::{Waited, Waits};
use std::collections::{BTreeMap, BTreeSet};

/// What is lent is worked out anew so often, or when a chain has changed.
const LEND_EVERY: Micros = Micros::from_millis(2000);
/// What a stage takes beside its tasks and their image: commits, orders and reports.
const BETWEEN_S: f64 = 3.0;
/// Of the tasks of a stage, the longest ends it: so many times as long as they say.
const LONGEST: f64 = 1.4;

/// Jobs that name others, as far as the leader has to look at them.
#[derive(Default)]
pub struct Chained {
    /// Held back; where they stand has to be looked at.
    fresh: BTreeSet<JobId>,
    /// What the desk knows of open jobs was taken over.
    adopted: bool,
    next_lend: Micros,
    /// Jobs that are treated by what they were lent.
    borrowers: BTreeSet<JobId>,
    /// How long tasks of such jobs waited from when all they need was done to their start.
    waits: Waits,
}

impl Chained {
    /// A task began of a job that waited for others.
    pub fn began(&mut self, after: Micros) {
        self.waits.record(after);
    }

    /// How long such tasks waited since the last call.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }
}

impl Leader {
    /// A job that names others came: it is held back until the desk says that all it needs
    /// is done.
    pub fn hold_back(&mut self, (spec, came_ms): (Spec, u64), version: u64, now: Micros) {
        let mut job = Job::new(&spec.id.clone(), spec, version, 0, now);
        job.blocked = true;
        job.came = self.came(came_ms, now);
        tracing::debug!(job = %job.id, class = job.spec.class, needs = ?job.spec.needs, "job waits for others");
        self.last_version = self.last_version.max(version);
        self.chained.fresh.insert(job.id.clone());
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
    fn adopt(&mut self, desk: &Desk, now: Micros) {
        self.chained.adopted = true;
        for (id, held) in desk.chains().jobs() {
            if self.committer.is_closed(id) {
                continue;
            }
            let Held { spec, version, came_ms } = held;
            let came = self.came(*came_ms, now);
            match self.jobs.get_mut(id) {
                Some(job) => {
                    job.spec = spec.clone();
                    job.came = came;
                    if job.blocked {
                        self.chained.fresh.insert(job.id.clone());
                    }
                }
                None => {
                    let mut job = Job::new(id, spec.clone(), *version, 0, now);
                    job.blocked = true;
                    job.restored = true;
                    job.came = came;
                    self.chained.fresh.insert(job.id.clone());
                    self.jobs.insert(job.id.clone(), job);
                }
            }
        }
        tracing::info!(waiting = self.chained.fresh.len(), "jobs that wait for others");
    }

    /// All that the job needs is recorded as done: it arrives, in the paper's sense.
    fn release(&mut self, id: &JobId, now: Micros) {
        let order = self.last_version;
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.blocked) else {
            return;
        };
        job.blocked = false;
        if job.base == 0 || job.ageless {
            job.arrived = now;
            job.ageless = false;
            job.order = order.max(job.order);
        }
        tracing::debug!(job = %id, after_s = now.since(job.came).secs(), "all that the job needs is done");
        let entry = Undescribed::new(job.version, id.clone());
        if job.base == 0 {
            self.committer.undescribed.insert(entry);
        }
        self.dirty = true;
    }

    /// Where every job that is held back stands is looked at once more.
    pub fn look_at_blocked(&mut self) {
        let blocked = self.jobs.values().filter(|j| j.blocked && j.is_live());
        self.chained.fresh.extend(blocked.map(|j| j.id.clone()));
    }

    /// Something that the job needs is withdrawn: that it is too is to be recorded.
    fn withdraw(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.blocked && j.is_live()) else {
            return;
        };
        tracing::debug!(job = %job.id, "withdrawn with a job that it needs");
        self.committer.withdrawn.insert(id.clone());
    }

    /// How long a stage takes from its beginning to its end.
    fn stage_takes(&self, site: &Site, spec: &Spec) -> Micros {
        let rate = site.catalogue.values().map(|t| t.fetch_gb_per_s).fold(0.05, f64::max);
        let run_s = spec.estimate_s * self.account.bias(&spec.class) * LONGEST;
        Micros::from_secs(run_s + spec.image_gb / rate + BETWEEN_S)
    }

    /// Jobs before others get the priority and the time of those, or lose them again.
    fn lend(&mut self, desk: &Desk, site: &Site) {
        let due = |spec: &Spec, came: Micros| spec.deadline_s.map(|d| came + Micros::from_secs(d));
        let lent: BTreeMap<&str, Lent<Priority>> = desk.chains().lend(
            |id, held| Lent {
                priority: held.spec.priority,
                due: self.jobs.get(id).and_then(|j| due(&j.spec, j.came)),
            },
            |_, held| self.stage_takes(site, &held.spec),
        );
        let mut borrowers: BTreeSet<JobId> = BTreeSet::new();
        for (id, lent) in lent {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let priority = job.spec.priority.max(lent.priority);
            if priority != job.priority {
                job.set_priority(priority);
                self.dirty = true;
            }
            job.lent_due = lent.due;
            borrowers.insert(job.id.clone());
        }
        for id in self.chained.borrowers.difference(&borrowers) {
            if let Some(job) = self.jobs.get_mut(id) {
                job.set_priority(job.spec.priority);
                job.lent_due = None;
            }
        }
        self.chained.borrowers = borrowers;
    }
}

impl Core {
    /// Jobs that name others: what became true of them is acted on by the leader.
    pub(super) fn tick_chains(&mut self) {
        let news = self.desk.take_chain_news();
        let now = self.sh.now;
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        if !leader.chained.adopted {
            // What other nodes accepted is known once all pages are read.
            if !self.desk.is_ready() {
                return;
            }
            leader.day_ms = self.sh.day_ms;
            leader.adopt(&self.desk, now);
        }
        let changed = !news.is_empty() || !leader.chained.fresh.is_empty();
        for News::Free(id) | News::Withdrawn(id) in news {
            leader.chained.fresh.insert(id.as_str().into());
        }
        for id in std::mem::take(&mut leader.chained.fresh) {
            match self.desk.chains().stand(&id) {
                Some(Stand::Free) => leader.release(&id, now),
                Some(Stand::Withdrawn) => leader.withdraw(&id),
                // It is told when that changes.
                Some(Stand::Waits | Stand::Unsettled) => {}
                // Its page is on its way here, or its end.
                None => {
                    if leader.jobs.get(&id).is_some_and(|j| j.blocked && j.is_live()) {
                        leader.chained.fresh.insert(id);
                    }
                }
            }
        }
        if changed || now >= leader.chained.next_lend {
            leader.chained.next_lend = now + LEND_EVERY;
            leader.lend(&self.desk, &self.site);
        }
    }

    /// Ends that the leader has recorded: what follows for other jobs follows at once.
    pub(super) fn learn_ends(&mut self, ends: super::commit::Ends, revision: u64) {
        for id in ends.done {
            self.desk.learn(&id, revision, crate::protocol::users::Phase::Done);
        }
        for id in ends.withdrawn {
            self.desk.learn(&id, revision, crate::protocol::users::Phase::Cancelled);
        }
    }
}
