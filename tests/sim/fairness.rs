//! Whether any class, team or the largest jobs of a class were served less than half, and
//! whether the largest began in time. Worked out from what machines did and users asked.

use super::users::User;
use super::{World, SEC};
use std::collections::BTreeMap;

/// A job counts if it had so long, from when it could begin to the end of the play.
const TIME: u64 = 60 * SEC;
/// The largest jobs of a class begin within this.
const LARGEST_BEGIN: u64 = 240 * SEC;

/// When a job could begin: accepted, and all it needs done.
fn from(world: &World, user: &User) -> Option<u64> {
    let mut from = user.accepted?;
    for dependency in &user.spec.dependencies {
        from = from.max(world.users.get(dependency)?.done?);
    }
    Some(from)
}

/// What is wrong with the shares of a play that is over.
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
        let Some(from) = from(world, user) else { continue };
        let first = world.rules.first_start.get(&format!("{id}/0")).copied();
        let began = (0..user.spec.tasks)
            .filter_map(|t| world.rules.first_start.get(&format!("{id}/{t}")))
            .min()
            .copied()
            .or(first);
        let all = &sizes[user.spec.class.as_str()];
        let tenth = all[all.len() - all.len().div_ceil(10)];
        let largest = all.len() >= 10 && f64::from(user.spec.tasks) * user.spec.cpus >= tenth && tenth > all[0];
        if largest && world.now > from + LARGEST_BEGIN && began.is_none_or(|at| at > from + LARGEST_BEGIN) {
            wrong.push(format!(
                "one of the largest of its class, {id}, did not begin within four minutes"
            ));
        }
        if world.now < from + TIME {
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
