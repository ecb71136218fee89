//! The fairness check of a finished run: at least half of the jobs of each class, of each team and
//! of the largest of each class were served, and the largest jobs began in time. The check uses
//! submissions and the starts on machines only.

use super::users::User;
use super::{World, SEC};
use std::collections::BTreeMap;

/// Least time between the moment at which a job could begin and the end of the run for the job to
/// count as served or not.
const MIN_OPPORTUNITY: u64 = 60 * SEC;
/// Limit for the start of the largest jobs of a class, from the moment at which they could begin.
const LARGEST_START_LIMIT: u64 = 240 * SEC;

/// Returns when a job could begin: after its acceptance and the end of all its dependencies.
fn startable_since(world: &World, user: &User) -> Option<u64> {
    let mut since = user.accepted?;
    for need in &user.spec.dependencies {
        since = since.max(world.users.get(need)?.done?);
    }
    Some(since)
}

/// Returns the violations in a finished run.
pub(crate) fn below_half(world: &World) -> Vec<String> {
    let mut shares: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    let mut wrong = vec![];
    let counts = |u: &&User| !u.always_fails && !u.wants_abort && u.cancelled.is_none();
    let mut sizes: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for user in world.users.values().filter(counts) {
        let size = f64::from(user.spec.tasks) * user.spec.cpus;
        sizes.entry(&user.spec.class).or_default().push(size);
    }
    for sizes in sizes.values_mut() {
        sizes.sort_by(f64::total_cmp);
    }
    for (id, user) in world.users.iter().filter(|(_, u)| counts(u)) {
        let Some(startable) = startable_since(world, user) else {
            continue;
        };
        let first = world.rules.first_start.get(&format!("{id}/0")).copied();
        let began = (0..user.spec.tasks)
            .filter_map(|t| world.rules.first_start.get(&format!("{id}/{t}")))
            .min()
            .copied()
            .or(first);
        let all = &sizes[user.spec.class.as_str()];
        let tenth = all[all.len() - all.len().div_ceil(10)];
        let largest = all.len() >= 10 && f64::from(user.spec.tasks) * user.spec.cpus >= tenth && tenth > all[0];
        if largest
            && world.now > startable + LARGEST_START_LIMIT
            && began.is_none_or(|at| at > startable + LARGEST_START_LIMIT)
        {
            wrong.push(format!(
                "one of the largest of its class, {id}, did not begin within four minutes"
            ));
        }
        if world.now < startable + MIN_OPPORTUNITY {
            continue;
        }
        let served = user.done.is_some() || {
            let started = |t: u32| world.rules.first_start.contains_key(&format!("{id}/{t}"));
            (0..user.spec.tasks).all(started)
        };
        let mut of = vec![format!("class {}", user.spec.class), format!("team {}", user.spec.team)];
        if largest {
            of.push(format!("the largest of class {}", user.spec.class));
        }
        for name in of {
            let share = shares.entry(name).or_default();
            share.0 += usize::from(served);
            share.1 += 1;
        }
    }
    for (name, (served, all)) in shares {
        if served * 2 < all {
            wrong.push(format!("below half: {served} of {all} jobs of {name} were served"));
        }
    }
    wrong
}
