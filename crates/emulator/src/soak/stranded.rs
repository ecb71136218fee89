//! Detects stranded jobs. A job is stranded if none of its tasks is on a machine for too long after
//! the last fault, although a machine had capacity and its team was below its limit all that time.

use crate::fleet::Fleet;
use glenhaven_fakes::user::{job_of, User};
use glenhaven_fakes::SEC;
use std::collections::{BTreeMap, BTreeSet};

/// How long a job may wait under these conditions, in microseconds.
const MAX_WAIT_US: u64 = 90 * SEC;

/// Tracks waiting jobs that could start, and collects those that waited for too long.
#[derive(Default)]
pub(crate) struct Stranded {
    since: BTreeMap<String, u64>,
    found: BTreeSet<String>,
}

impl Stranded {
    /// Checks all jobs. Must be called about once a second.
    pub(crate) fn check(&mut self, now: u64, fleet: &Fleet) {
        let waiting = startable_jobs(fleet);
        self.since.retain(|job, _| waiting.contains(job));
        for job in waiting {
            let since = *self.since.entry(job.clone()).or_insert(now);
            if now - since > MAX_WAIT_US {
                self.found.insert(job);
            }
        }
    }

    /// Returns the IDs of the jobs that waited for too long.
    pub(crate) fn found(self) -> Vec<String> {
        self.found.into_iter().collect()
    }
}

/// Returns the open jobs that have no task on a machine although one could start.
fn startable_jobs(fleet: &Fleet) -> BTreeSet<String> {
    let machines = fleet.workers.values().filter(|worker| !worker.dead);
    let live: BTreeSet<&str> = machines
        .flat_map(|worker| worker.unfinished_tasks())
        .map(job_of)
        .collect();
    let open = |user: &&User| {
        let closed = user.done.is_some() || user.cancelled.is_some() || user.wants_abort;
        user.accepted.is_some() && !closed && !live.contains(user.spec.id.as_str())
    };
    let has_capacity = |user: &&User| {
        let in_zone = |zone: &String| user.spec.zone.as_ref().is_none_or(|only| only == zone);
        let mut machines = fleet
            .workers
            .values()
            .filter(|worker| worker.up && in_zone(&worker.zone));
        let fits = machines.any(|worker| worker.has_capacity(&user.spec, &fleet.users));
        fits && fleet.rules.has_capacity(&user.spec, &fleet.workers, &fleet.users)
    };
    let waiting = fleet.users.values().filter(open).filter(has_capacity);
    waiting.map(|user| user.spec.id.clone()).collect()
}
