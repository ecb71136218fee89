//! What the last job of a chain lends to those before it: its priority, and the time by
//! which they have to be done so that it can be in time.

use super::{DependencyGraph, Phase};
use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// What is lent to a job by those that need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent<P> {
    pub priority: P,
    /// When it has to be done at the latest.
    pub due: Option<Micros>,
}

impl<P: Ord + Copy> Lent<P> {
    fn join(self, other: Lent<P>) -> Lent<P> {
        Lent {
            priority: self.priority.max(other.priority),
            due: match (self.due, other.due) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

impl<J> DependencyGraph<J> {
    /// What each job is lent that is not over and that an open job needs, directly or not.
    /// `own` is what a job that names others has of itself, and `takes` how long it takes
    /// from its beginning to its end. Withdrawn jobs lend nothing.
    ///
    /// One pass from the last jobs to the first; each link is looked at once.
    pub fn lend<P: Ord + Copy>(
        &self,
        own: impl Fn(&str, &J) -> Lent<P>,
        takes: impl Fn(&str, &J) -> Micros,
    ) -> BTreeMap<&str, Lent<P>> {
        let mut lent: BTreeMap<&str, Lent<P>> = BTreeMap::new();
        // Jobs that need a job and have not lent yet.
        let mut owing: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ready: Vec<&str> = vec![];
        for (id, link) in &self.links {
            match link.after.len() {
                0 => ready.push(id),
                n => {
                    owing.insert(id, n);
                }
            }
        }
        while let Some(id) = ready.pop() {
            let Some(link) = self.links.get(id) else { continue };
            let gives = link.job.as_ref().filter(|_| !link.lost).map(|job| {
                let has = own(id, job);
                let has = lent.get(id).map_or(has, |l| has.join(*l));
                let begin = has.due.map(|due| due - takes(id, job));
                Lent {
                    priority: has.priority,
                    due: begin,
                }
            });
            for need in &link.needs {
                let Some((need, before)) = self.links.get_key_value(need) else {
                    continue;
                };
                if let Some(gives) = gives.filter(|_| matches!(before.phase, Phase::Open | Phase::Unknown)) {
                    lent.entry(need).and_modify(|l| *l = l.join(gives)).or_insert(gives);
                }
                if let Some(left) = owing.get_mut(need.as_str()) {
                    *left -= 1;
                    if *left == 0 {
                        ready.push(need);
                    }
                }
            }
        }
        lent
    }
}
