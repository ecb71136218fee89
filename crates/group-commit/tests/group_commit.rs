//! Tests group commit against a simulated store: transactions are lost, refused or delayed, or
//! executed without an answer; jobs end, and the controller restarts.

use glenhaven_group_commit::{Batch, GroupCommit, PageCapacity, WaitHistogram};
use glenhaven_time::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const CAPACITY: PageCapacity = PageCapacity { bytes: 1000, jobs: 4 };

#[derive(Default)]
struct Store {
    revision: u64,
    pages: BTreeMap<u32, (u64, Vec<String>)>,
    ended_jobs: BTreeSet<String>,
    /// Every job that was ever written into a page.
    accepted: BTreeSet<String>,
}

impl Store {
    /// Executes the transaction of a page. `Err` contains the jobs that have ended; it is empty if
    /// only the version of the page has changed.
    fn apply(&mut self, batch: &Batch<()>) -> Result<u64, Vec<String>> {
        let ended: Vec<String> = batch
            .jobs
            .iter()
            .map(|j| j.0.clone())
            .filter(|j| self.ended_jobs.contains(j))
            .collect();
        if !ended.is_empty() || self.pages.get(&batch.slot).map_or(0, |p| p.0) != batch.version {
            return Err(ended);
        }
        if let Some((_, jobs)) = self.pages.get(&batch.slot) {
            for job in jobs {
                assert!(
                    self.ended_jobs.contains(job),
                    "{job} is open and its page is overwritten"
                );
            }
        }
        self.revision += 1;
        let jobs: Vec<String> = batch.jobs.iter().map(|j| j.0.clone()).collect();
        self.accepted.extend(jobs.iter().cloned());
        self.pages.insert(batch.slot, (self.revision, jobs));
        Ok(self.revision)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u8),
    Withdraw(u8),
    /// Sends the next page, whose transaction is, by the number: 0 answered, 1 refused, 2 delayed,
    /// 3 executed with the answer lost.
    Send(u8),
    /// Executes a delayed transaction.
    ExecuteDelayed(u8),
    End(u8),
    /// The controller reads the ended jobs and the pages.
    ReadStore,
    /// The controller restarts without state and reads the ended jobs and the pages.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..40).prop_map(Step::Offer),
        1 => (0u8..40).prop_map(Step::Withdraw),
        6 => (0u8..4).prop_map(Step::Send),
        2 => (0u8..4).prop_map(Step::ExecuteDelayed),
        2 => (0u8..40).prop_map(Step::End),
        2 => Just(Step::ReadStore),
        1 => Just(Step::Restart),
    ]
}

fn job_id(n: u8) -> String {
    format!("run-{n}")
}

struct Simulation {
    store: Store,
    group_commit: GroupCommit<()>,
    /// The jobs that the controller knows to have ended.
    known_ended: BTreeSet<String>,
    delayed: Vec<Batch<()>>,
    now: Micros,
}

impl Simulation {
    fn read_store(&mut self) {
        for job in &self.store.ended_jobs {
            if self.known_ended.insert(job.clone()) {
                self.group_commit.job_ended(job);
            }
        }
        for (slot, (version, jobs)) in &self.store.pages {
            let known = &self.known_ended;
            self.group_commit
                .page_seen(*slot, *version, jobs, |id| known.contains(id));
        }
    }

    fn send(&mut self, outcome: u8) -> bool {
        self.now = self.now + Micros::from_millis(60);
        let Some(batch) = self.group_commit.next(CAPACITY, self.now) else {
            return false;
        };
        assert!(!batch.jobs.is_empty() && batch.jobs.len() <= CAPACITY.jobs);
        let number = batch.number;
        match outcome {
            0 => match self.store.apply(&batch) {
                Ok(revision) => {
                    let known = &self.known_ended;
                    for (job, _) in self.group_commit.committed(number, revision, |id| known.contains(id)) {
                        assert!(
                            self.store.accepted.contains(&job),
                            "{job} is returned as accepted but is in no page"
                        );
                    }
                }
                Err(ended) => {
                    // The caller reads the changes that made the transaction fail.
                    self.group_commit.failed(number, &ended);
                    self.read_store();
                }
            },
            1 => self.group_commit.failed(number, &[]),
            2 => {
                self.delayed.push(batch);
                self.group_commit.failed(number, &[]);
            }
            _ => {
                self.store.apply(&batch).ok();
                self.group_commit.failed(number, &[]);
            }
        }
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn waiting_jobs_are_accepted_and_pages_with_open_jobs_are_never_overwritten(steps in prop::collection::vec(step(), 1..120)) {
        let mut p = Simulation {
            store: Store::default(),
            group_commit: GroupCommit::new(),
            known_ended: BTreeSet::new(),
            delayed: vec![],
            now: Micros::ZERO,
        };
        let mut wanted: BTreeSet<String> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Offer(n) => {
                    p.group_commit.offer(&job_id(n), 200, (), p.now);
                    wanted.insert(job_id(n));
                }
                Step::Withdraw(n) => {
                    p.group_commit.withdraw(&job_id(n));
                    wanted.remove(&job_id(n));
                }
                Step::Send(outcome) => {
                    p.send(outcome);
                }
                Step::ExecuteDelayed(n) if !p.delayed.is_empty() => {
                    let batch = p.delayed.remove(usize::from(n) % p.delayed.len());
                    p.store.apply(&batch).ok();
                }
                Step::ExecuteDelayed(_) => {}
                Step::End(n) => {
                    if p.store.accepted.contains(&job_id(n)) {
                        p.store.ended_jobs.insert(job_id(n));
                    }
                }
                Step::ReadStore => p.read_store(),
                Step::Restart => {
                    p.group_commit = GroupCommit::new();
                    p.known_ended.clear();
                    p.read_store();
                    wanted.clear();
                }
            }
        }
        // Once failures stop, every job that a user waits for is accepted.
        p.read_store();
        for _ in 0..60 {
            p.send(0);
        }
        prop_assert_eq!(p.group_commit.waiting(), 0);
        for job in &wanted {
            prop_assert!(p.store.accepted.contains(job), "{} is never accepted", job);
        }
        // A page without open jobs is reused before a new one is added.
        for job in p.store.accepted.clone() {
            p.store.ended_jobs.insert(job);
        }
        p.read_store();
        let used = p.group_commit.pages();
        prop_assert_eq!(used.0, 0);
        p.group_commit.offer("run-last", 200, (), p.now);
        p.send(0);
        prop_assert_eq!(p.group_commit.pages().1, used.1.max(1));
    }
}

#[test]
fn a_single_job_is_written_at_once_and_many_are_written_together() {
    let mut group_commit = GroupCommit::new();
    let at = Micros::from_millis;
    group_commit.offer("run-0", 200, (), at(0));
    assert_eq!(group_commit.next(CAPACITY, at(0)).map(|b| b.jobs.len()), Some(1));
    group_commit.offer("run-1", 200, (), at(1));
    assert!(group_commit.next(CAPACITY, at(1)).is_none(), "it waits for more jobs");
    for n in 2..20u8 {
        group_commit.offer(&job_id(n), 200, (), at(2));
    }
    assert_eq!(group_commit.next(CAPACITY, at(2)).map(|b| b.jobs.len()), Some(4));
    assert_eq!(group_commit.next(CAPACITY, at(2)).map(|b| b.jobs.len()), Some(4));
    assert!(
        group_commit.next(CAPACITY, at(200)).is_none(),
        "three pages are in flight"
    );
    group_commit.failed(2, &[]);
    let again = group_commit.next(CAPACITY, at(200)).map(|b| b.jobs[0].0.clone());
    assert_eq!(again.as_deref(), Some("run-1"), "a failed page's jobs come first");
}

#[test]
fn withdrawn_jobs_are_not_written() {
    let mut group_commit = GroupCommit::new();
    group_commit.offer("run-0", 200, (), Micros::ZERO);
    group_commit.withdraw("run-0");
    assert!(group_commit.next(CAPACITY, Micros::ZERO).is_none());
    group_commit.offer("run-1", 200, (), Micros::ZERO);
    assert!(group_commit.next(CAPACITY, Micros::ZERO).is_some());
    group_commit.withdraw("run-1");
    group_commit.failed(1, &[]);
    assert!(group_commit.next(CAPACITY, Micros::from_millis(100)).is_none());
}

#[test]
fn an_outcome_applies_to_one_batch_only() {
    let mut group_commit = GroupCommit::new();
    group_commit.offer("run-0", 200, (), Micros::ZERO);
    let first = group_commit.next(CAPACITY, Micros::ZERO).map(|b| b.number);
    group_commit.clear_pages();
    let second = group_commit.next(CAPACITY, Micros::ZERO).map(|b| b.number);
    assert!(first.is_some() && second.is_some() && first != second);
    // The answer to the first batch must not accept the jobs of the second.
    assert!(group_commit.committed(first.unwrap_or(0), 9, |_| false).is_empty());
    assert_eq!(
        group_commit.committed(second.unwrap_or(0), 10, |_| false),
        [("run-0".to_string(), ())]
    );
}

#[test]
fn waits_are_reported_once() {
    let mut waits = WaitHistogram::default();
    assert_eq!(waits.take(), None);
    for ms in 1..=100 {
        waits.record(Micros::from_millis(ms));
    }
    let waited = waits.take().expect("a hundred were recorded");
    assert_eq!(
        (waited.count, waited.p50_ms, waited.p99_ms, waited.most_ms),
        (100, 50, 99, 100)
    );
    assert_eq!(waits.take(), None);
}
