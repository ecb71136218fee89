//! Compares the dependency graph with a naive model that derives every state from the reported
//! facts, for facts in random order.

use glenhaven_dependencies::{DependencyChange, DependencyGraph, DependencyState, Inherited};
use glenhaven_time::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const JOBS: usize = 8;

fn name(i: usize) -> String {
    format!("run-{i}")
}

#[derive(Clone, Debug)]
enum Fact {
    Add(usize),
    Open(usize),
    End(usize, bool),
}

/// The reported facts, from which the model derives the expected states.
#[derive(Default)]
struct NaiveModel {
    dependencies: BTreeMap<usize, Vec<usize>>,
    open: BTreeSet<usize>,
    ends: BTreeMap<usize, bool>,
}

impl NaiveModel {
    fn all_dependencies(&self, job: usize) -> BTreeSet<usize> {
        let mut all = BTreeSet::new();
        let mut rest = vec![job];
        while let Some(at) = rest.pop() {
            // A job that has ended has no dependencies.
            for dependency in self
                .dependencies
                .get(&at)
                .filter(|_| !self.ends.contains_key(&at))
                .into_iter()
                .flatten()
            {
                if all.insert(*dependency) {
                    rest.push(*dependency);
                }
            }
        }
        all
    }

    fn state(&self, job: usize) -> Option<DependencyState> {
        let dependencies = self.dependencies.get(&job).filter(|_| !self.ends.contains_key(&job))?;
        let all_dependencies = self.all_dependencies(job);
        let known = |j: &usize| self.ends.contains_key(j) || self.open.contains(j) || self.dependencies.contains_key(j);
        Some(if all_dependencies.iter().any(|j| self.ends.get(j) == Some(&false)) {
            DependencyState::Cancelled
        } else if dependencies.iter().all(|j| self.ends.get(j) == Some(&true)) {
            DependencyState::Ready
        } else if !all_dependencies.iter().all(known) {
            DependencyState::Undetermined
        } else {
            DependencyState::Blocked
        })
    }

    /// Returns the highest priority and earliest deadline over all paths of dependents of a job.
    fn inherited(&self, job: usize) -> Option<(u8, Micros)> {
        let mut best: Option<(u8, Micros)> = None;
        for (dependent, dependencies) in &self.dependencies {
            if !dependencies.contains(&job)
                || self.ends.contains_key(dependent)
                || self.state(*dependent) == Some(DependencyState::Cancelled)
            {
                continue;
            }
            let own = own_requirements(*dependent);
            let total = self
                .inherited(*dependent)
                .map_or(own, |inherited| (inherited.0.max(own.0), inherited.1.min(own.1)));
            let passed_on = (total.0, total.1 - run_time(*dependent));
            best = Some(best.map_or(passed_on, |b| (b.0.max(passed_on.0), b.1.min(passed_on.1))));
        }
        best
    }
}

fn own_requirements(job: usize) -> (u8, Micros) {
    (
        (job * 5 % 4) as u8,
        Micros::from_millis(100_000 + (job as u64 * 7919) % 50_000),
    )
}

fn run_time(job: usize) -> Micros {
    Micros::from_millis(1000 + job as u64 * 300)
}

/// Generates graphs in which each job depends on some jobs with lower numbers.
fn graphs() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let dependencies =
        |i: usize| prop::collection::vec(0..i.max(1), 0..4).prop_map(move |n| if i == 0 { vec![] } else { n });
    (0..JOBS).map(dependencies).collect::<Vec<_>>()
}

fn facts() -> impl Strategy<Value = Vec<Fact>> {
    let one = prop_oneof![
        3 => (0..JOBS).prop_map(Fact::Add),
        1 => (0..JOBS).prop_map(Fact::Open),
        2 => (0..JOBS, any::<bool>()).prop_map(|(j, done)| Fact::End(j, done)),
    ];
    prop::collection::vec(one, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn the_graph_agrees_with_a_naive_model(edges in graphs(), facts_in_order in facts()) {
        let (mut graph, mut model) = (DependencyGraph::new(), NaiveModel::default());
        let mut reported: BTreeSet<(usize, bool)> = BTreeSet::new();
        for fact in facts_in_order {
            match fact {
                Fact::Add(j) => {
                    // The graph does not keep the end of a job without dependents; its contract is
                    // that only open jobs are added.
                    if edges[j].is_empty() || model.ends.contains_key(&j) {
                        continue;
                    }
                    let dependencies: Vec<String> = edges[j].iter().map(|n| name(*n)).collect();
                    for n in &edges[j] {
                        // For the same reason the end of a dependency is reported again, as the
                        // caller does after reading it.
                        if let Some(done) = model.ends.get(n).copied() {
                            graph.add(&name(j), &dependencies, j);
                            graph.mark_ended(&name(*n), done);
                        }
                    }
                    graph.add(&name(j), &dependencies, j);
                    for n in &edges[j] {
                        if model.open.contains(n) && !model.ends.contains_key(n) {
                            graph.mark_open(&name(*n));
                        }
                    }
                    model.dependencies.entry(j).or_insert_with(|| {
                        let mut n = edges[j].clone();
                        n.sort();
                        n.dedup();
                        n
                    });
                }
                Fact::Open(j) => {
                    graph.mark_open(&name(j));
                    model.open.insert(j);
                }
                Fact::End(j, done) => {
                    // A job is done only after all its dependencies are; it may be cancelled any
                    // time.
                    let may_end = !done || model.dependencies.get(&j).is_none_or(|_| model.state(j) == Some(DependencyState::Ready));
                    if may_end && !model.ends.contains_key(&j) {
                        graph.mark_ended(&name(j), done);
                        model.ends.insert(j, done);
                    }
                }
            }
            for change in graph.take_changes() {
                let (id, is_ready) = match &change {
                    DependencyChange::Ready(id) => (id, true),
                    DependencyChange::Cancelled(id) => (id, false),
                };
                let j: usize = id[4..].parse().expect("a number");
                prop_assert!(reported.insert((j, is_ready)), "{change:?} was reported twice");
                prop_assert!(!reported.contains(&(j, !is_ready)), "job {j} was reported both ready and cancelled");
            }
            for j in 0..JOBS {
                let state = model.state(j);
                prop_assert_eq!(graph.state(&name(j)), state, "job {}", j);
                // The reported changes agree with the states.
                prop_assert_eq!(state == Some(DependencyState::Ready), reported.contains(&(j, true)) && state.is_some());
                prop_assert_eq!(state == Some(DependencyState::Cancelled), reported.contains(&(j, false)) && state.is_some());
            }
            let inherited = graph.inherit(
                |_, j| Inherited { priority: own_requirements(*j).0, deadline: Some(own_requirements(*j).1) },
                |_, j| run_time(*j),
            );
            for j in 0..JOBS {
                let got = inherited.get(name(j).as_str()).map(|inherited| (inherited.priority, inherited.deadline.expect("all have one")));
                let want = model.inherited(j).filter(|_| !model.ends.contains_key(&j));
                prop_assert_eq!(got, want, "inherited by {}", j);
            }
        }
    }
}

/// A chain of a thousand jobs, and thousands of jobs that depend on both of its ends. Guards
/// against facts whose cost is not in proportion to what they change, and against nodes left behind
/// by jobs that have ended.
#[test]
fn a_deep_and_wide_graph_is_emptied_when_its_jobs_end() {
    let mut graph = DependencyGraph::new();
    for i in 1..1000 {
        graph.add(&name(i), &[name(i - 1)], ());
    }
    for i in 1000..6000 {
        graph.add(&name(i), &[name(0), name(999)], ());
    }
    graph.mark_open(&name(0));
    assert_eq!(graph.state(&name(5999)), Some(DependencyState::Blocked));
    let inherited = graph.inherit(
        |_, ()| Inherited {
            priority: 1,
            deadline: Some(Micros::from_millis(5_000_000)),
        },
        |_, ()| Micros::from_millis(1000),
    );
    // 1000 jobs of one second each run one after the other: 999 of the chain and a dependent of it.
    assert_eq!(
        inherited[name(0).as_str()].deadline,
        Some(Micros::from_millis(4_000_000))
    );
    graph.mark_ended(&name(0), false);
    assert_eq!(graph.take_changes().len(), 5999);
    assert_eq!(graph.state(&name(5999)), Some(DependencyState::Cancelled));
    for i in 1..6000 {
        graph.mark_ended(&name(i), false);
    }
    assert_eq!(graph.jobs().count() + graph.unknown().count(), 0);
    assert!(!graph.has_dependents(&name(0)));
}
