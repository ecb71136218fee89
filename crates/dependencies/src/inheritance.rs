//! Priority inheritance: a job has at least the priority of every open job that depends on it, and
//! has to be done early enough for each of these jobs to meet its deadline.

use super::{DependencyGraph, Phase};
use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// The priority and deadline that a job inherits from the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inherited<P> {
    /// The highest priority among the dependents.
    pub priority: P,
    /// The time by which the job has to be done; `None` if no dependent has a deadline.
    pub deadline: Option<Micros>,
}

impl<P: Ord + Copy> Inherited<P> {
    /// Returns the higher priority and the earlier deadline of the two.
    fn join(self, other: Inherited<P>) -> Inherited<P> {
        Inherited {
            priority: self.priority.max(other.priority),
            deadline: match (self.deadline, other.deadline) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

impl<J> DependencyGraph<J> {
    /// Returns the inherited priority and deadline of every job that has not ended and that an open
    /// job depends on, directly or transitively. Nothing is inherited from cancelled jobs.
    ///
    /// `own` returns the priority and deadline that a job with dependencies has itself, and
    /// `run_time` the time that the job takes from its start to its end.
    ///
    /// Visits jobs after all their dependents (in reverse topological order), and each edge once.
    pub fn inherit<P: Ord + Copy>(
        &self,
        own: impl Fn(&str, &J) -> Inherited<P>,
        run_time: impl Fn(&str, &J) -> Micros,
    ) -> BTreeMap<&str, Inherited<P>> {
        let mut inherited: BTreeMap<&str, Inherited<P>> = BTreeMap::new();
        // The number of dependents of each job that have not been visited yet.
        let mut dependents_left: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ready: Vec<&str> = vec![];
        for (id, node) in &self.nodes {
            match node.dependents.len() {
                0 => ready.push(id),
                n => {
                    dependents_left.insert(id, n);
                }
            }
        }
        while let Some(id) = ready.pop() {
            let Some(node) = self.nodes.get(id) else { continue };
            let job = node.job.as_ref().filter(|_| !node.cancelled);
            let passed_on = job.map(|job| {
                let own = own(id, job);
                let total = inherited
                    .get(id)
                    .map_or(own, |from_dependents| own.join(*from_dependents));
                let deadline = total.deadline.map(|deadline| deadline - run_time(id, job));
                let priority = total.priority;
                Inherited { priority, deadline }
            });
            for dependency_id in &node.dependencies {
                let Some((dependency_id, dependency)) = self.nodes.get_key_value(dependency_id) else {
                    continue;
                };
                let has_ended = !matches!(dependency.phase, Phase::Open | Phase::Unknown);
                if let Some(passed_on) = passed_on.filter(|_| !has_ended) {
                    inherited
                        .entry(dependency_id)
                        .and_modify(|total| *total = total.join(passed_on))
                        .or_insert(passed_on);
                }
                if let Some(left) = dependents_left.get_mut(dependency_id.as_str()) {
                    *left -= 1;
                    if *left == 0 {
                        ready.push(dependency_id);
                    }
                }
            }
        }
        inherited
    }
}
