//! Jobs that are left waiting, once all troubles are over, while a machine that fits has room and
//! their team is under its limit, all the time.

use crate::fleet::Fleet;
use glenhaven_fakes::user::{job_of, User};
use glenhaven_fakes::SEC;
use std::collections::{BTreeMap, BTreeSet};

/// How long a job may wait like this.
const MOST: u64 = 90 * SEC;

/// Since when jobs have waited like this, and those that did for too long.
#[derive(Default)]
pub(crate) struct Stranded {
    since: BTreeMap<String, u64>,
    found: BTreeSet<String>,
}

impl Stranded {
    /// Looks at all jobs; to be called about once a second.
    pub(crate) fn check(&mut self, now: u64, fleet: &Fleet) {
        let waiting = could_begin(fleet);
        self.since.retain(|job, _| waiting.contains(job));
        for job in waiting {
            let since = *self.since.entry(job.clone()).or_insert(now);
            if now - since > MOST {
                self.found.insert(job);
            }
        }
    }

    /// Jobs that waited for too long.
    pub(crate) fn found(self) -> Vec<String> {
        self.found.into_iter().collect()
    }
}

/// Jobs of which no task is on a machine, though one could begin.
fn could_begin(fleet: &Fleet) -> BTreeSet<String> {
    let machines = fleet.workers.values().filter(|worker| !worker.dead);
    let live: BTreeSet<&str> = machines.flat_map(|worker| worker.live()).map(job_of).collect();
    let open = |user: &&User| {
        let over = user.done.is_some() || user.cancelled.is_some() || user.wants_abort;
        user.accepted.is_some() && !over && !live.contains(user.spec.id.as_str())
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
