//! Chains against a naive model that works everything out anew from what was said, in
//! whatever order it was said.

use glenhaven_dependencies::{DependencyGraph, Lent, News, Stand};
use glenhaven_time::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const JOBS: usize = 8;

fn name(i: usize) -> String {
    format!("run-{i}")
}

#[derive(Clone, Debug)]
enum Said {
    Add(usize),
    Open(usize),
    End(usize, bool),
}

/// What was said, and what follows from it by the words of the protocol.
#[derive(Default)]
struct Naive {
    needs: BTreeMap<usize, Vec<usize>>,
    open: BTreeSet<usize>,
    ends: BTreeMap<usize, bool>,
}

impl Naive {
    fn all_before(&self, job: usize) -> BTreeSet<usize> {
        let mut all = BTreeSet::new();
        let mut rest = vec![job];
        while let Some(at) = rest.pop() {
            // What is over no longer waits for anything.
            for need in self
                .needs
                .get(&at)
                .filter(|_| !self.ends.contains_key(&at))
                .into_iter()
                .flatten()
            {
                if all.insert(*need) {
                    rest.push(*need);
                }
            }
        }
        all
    }

    fn stand(&self, job: usize) -> Option<Stand> {
        let needs = self.needs.get(&job).filter(|_| !self.ends.contains_key(&job))?;
        let before = self.all_before(job);
        let known = |j: &usize| self.ends.contains_key(j) || self.open.contains(j) || self.needs.contains_key(j);
        Some(if before.iter().any(|j| self.ends.get(j) == Some(&false)) {
            Stand::Withdrawn
        } else if needs.iter().all(|j| self.ends.get(j) == Some(&true)) {
            Stand::Free
        } else if !before.iter().all(known) {
            Stand::Unsettled
        } else {
            Stand::Waits
        })
    }

    /// Due times and priorities of all that need a job, over every way to it.
    fn lent(&self, job: usize) -> Option<(u8, Micros)> {
        let mut best: Option<(u8, Micros)> = None;
        for (after, needs) in &self.needs {
            if !needs.contains(&job) || self.ends.contains_key(after) || self.stand(*after) == Some(Stand::Withdrawn) {
                continue;
            }
            let own = terms(*after);
            let has = self.lent(*after).map_or(own, |l| (l.0.max(own.0), l.1.min(own.1)));
            let gives = (has.0, has.1 - takes(*after));
            best = Some(best.map_or(gives, |b| (b.0.max(gives.0), b.1.min(gives.1))));
        }
        best
    }
}

fn terms(job: usize) -> (u8, Micros) {
    (
        (job * 5 % 4) as u8,
        Micros::from_millis(100_000 + (job as u64 * 7919) % 50_000),
    )
}

fn takes(job: usize) -> Micros {
    Micros::from_millis(1000 + job as u64 * 300)
}

/// Each job names some of those before it.
fn graphs() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let needs = |i: usize| prop::collection::vec(0..i.max(1), 0..4).prop_map(move |n| if i == 0 { vec![] } else { n });
    (0..JOBS).map(needs).collect::<Vec<_>>()
}

fn sayings() -> impl Strategy<Value = Vec<Said>> {
    let one = prop_oneof![
        3 => (0..JOBS).prop_map(Said::Add),
        1 => (0..JOBS).prop_map(Said::Open),
        2 => (0..JOBS, any::<bool>()).prop_map(|(j, done)| Said::End(j, done)),
    ];
    prop::collection::vec(one, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn the_same_as_the_naive_model(graph in graphs(), said in sayings()) {
        let (mut chains, mut naive) = (DependencyGraph::new(), Naive::default());
        let mut told: BTreeSet<(usize, bool)> = BTreeSet::new();
        for saying in said {
            match saying {
                Said::Add(j) => {
                    // An end that was said while nobody needed the job is not kept: who
                    // adds a job knows that it is open.
                    if graph[j].is_empty() || naive.ends.contains_key(&j) {
                        continue;
                    }
                    let needs: Vec<String> = graph[j].iter().map(|n| name(*n)).collect();
                    for n in &graph[j] {
                        // The same of what it names: what is over is read and said again.
                        if let Some(done) = naive.ends.get(n).copied() {
                            chains.add(&name(j), &needs, j);
                            chains.ended(&name(*n), done);
                        }
                    }
                    chains.add(&name(j), &needs, j);
                    for n in &graph[j] {
                        if naive.open.contains(n) && !naive.ends.contains_key(n) {
                            chains.open(&name(*n));
                        }
                    }
                    naive.needs.entry(j).or_insert_with(|| {
                        let mut n = graph[j].clone();
                        n.sort();
                        n.dedup();
                        n
                    });
                }
                Said::Open(j) => {
                    chains.open(&name(j));
                    naive.open.insert(j);
                }
                Said::End(j, done) => {
                    // A job is done only after all it needs; withdrawn at any time.
                    let may = !done || naive.needs.get(&j).is_none_or(|_| naive.stand(j) == Some(Stand::Free));
                    if may && !naive.ends.contains_key(&j) {
                        chains.ended(&name(j), done);
                        naive.ends.insert(j, done);
                    }
                }
            }
            for news in chains.take_news() {
                let (id, free) = match &news {
                    News::Free(id) => (id, true),
                    News::Withdrawn(id) => (id, false),
                };
                let j: usize = id[4..].parse().expect("a number");
                prop_assert!(told.insert((j, free)), "{news:?} twice");
                prop_assert!(!told.contains(&(j, !free)), "{j} both free and withdrawn");
            }
            for j in 0..JOBS {
                let stand = naive.stand(j);
                prop_assert_eq!(chains.stand(&name(j)), stand, "job {}", j);
                // Whoever only listens knows as much.
                prop_assert_eq!(stand == Some(Stand::Free), told.contains(&(j, true)) && stand.is_some());
                prop_assert_eq!(stand == Some(Stand::Withdrawn), told.contains(&(j, false)) && stand.is_some());
            }
            let lent = chains.lend(
                |_, j| Lent { priority: terms(*j).0, due: Some(terms(*j).1) },
                |_, j| takes(*j),
            );
            for j in 0..JOBS {
                let got = lent.get(name(j).as_str()).map(|l| (l.priority, l.due.expect("all have one")));
                let want = naive.lent(j).filter(|_| !naive.ends.contains_key(&j));
                prop_assert_eq!(got, want, "lent to {}", j);
            }
        }
    }
}

/// A chain of a thousand, one job needed by thousands, and ten thousand waiting: every
/// event costs what it changes, and nothing is left of what is over.
#[test]
fn long_wide_and_many() {
    let mut chains = DependencyGraph::new();
    for i in 1..1000 {
        chains.add(&name(i), &[name(i - 1)], ());
    }
    for i in 1000..6000 {
        chains.add(&name(i), &[name(0), name(999)], ());
    }
    chains.open(&name(0));
    assert_eq!(chains.stand(&name(5999)), Some(Stand::Waits));
    let lent = chains.lend(
        |_, ()| Lent {
            priority: 1,
            due: Some(Micros::from_millis(5_000_000)),
        },
        |_, ()| Micros::from_millis(1000),
    );
    // 999 stages and the last one's own, one after the other.
    assert_eq!(lent[name(0).as_str()].due, Some(Micros::from_millis(4_000_000)));
    chains.ended(&name(0), false);
    assert_eq!(chains.take_news().len(), 5999);
    assert_eq!(chains.stand(&name(5999)), Some(Stand::Withdrawn));
    for i in 1..6000 {
        chains.ended(&name(i), false);
    }
    assert_eq!(chains.jobs().count() + chains.unknown().count(), 0);
    assert!(!chains.is_needed(&name(0)));
}
