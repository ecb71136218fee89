//! The account of one class or one team.

use crate::{Decayed, Inflow};
use glenhaven_time::Micros;
use hdrhistogram::Histogram;

/// The longest wait that is told apart.
const MAX_WAIT_MS: u64 = 3_600_000;
/// Significant digits of waits.
const WAIT_DIGITS: u8 = 2;
/// Objectives of a class that are counted.
const MAX_OBJECTIVES: usize = 16;
/// The least and the greatest ratio of run times to their estimates.
const MIN_BIAS: f64 = 0.4;
const MAX_BIAS: f64 = 2.5;
/// Before anything is known, projections are trusted as if so many commitments had been met.
const PRIOR_COMMITMENTS: f64 = 2.0;
/// Tasks that must have run for a bias to be known.
const MIN_RUNS: f64 = 5.0;

/// What a class or team asked for, got and waited for of late.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Name of the class or team.
    pub name: String,
    /// Cores of jobs that arrived, for a second.
    pub requested_cores_per_s: f64,
    /// Cores of tasks that started, for a second.
    pub started_cores_per_s: f64,
    /// Median wait of the tasks that started, in seconds.
    pub wait_p50_s: f64,
    /// The wait that one task in a hundred exceeded, in seconds.
    pub wait_p99_s: f64,
}

/// How jobs settled one objective.
#[derive(Clone, Debug, Default)]
struct SettledJobs {
    met: Decayed,
    missed: Decayed,
}

/// How many jobs have met and missed an objective of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Outcomes {
    pub(crate) met: f64,
    pub(crate) missed: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    jobs: Decayed,
    requested_cores: Decayed,
    /// Sum of the estimated run times of jobs.
    estimated_run_s: Decayed,
    started_cores: Decayed,
    /// Of completed tasks: their estimated and their real run times, and their number.
    completed_estimated_s: Decayed,
    completed_ran_s: Decayed,
    completed: Decayed,
    /// By number of the objective.
    objectives: Vec<SettledJobs>,
    waits: Waits,
    /// Objectives that rentals were committed to, and those of them that were met.
    commitments: Decayed,
    commitments_met: Decayed,
}

/// Waits of this half life and the one before.
#[derive(Clone, Debug, Default)]
struct Waits {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    /// When the current one began.
    since: Micros,
}

impl Waits {
    fn add(&mut self, waited: Micros, half_life: Micros, now: Micros) {
        if now.since(self.since) > half_life {
            self.previous = self.current.take();
            self.since = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_max(MAX_WAIT_MS, WAIT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.current {
            histogram.saturating_record((waited.0 / 1000).max(1));
        }
    }

    /// Zero if nothing is known.
    fn quantile_s(&self, quantile: f64) -> f64 {
        let mut both = match (&self.current, &self.previous) {
            (Some(current), _) => current.clone(),
            (None, Some(previous)) => return previous.value_at_quantile(quantile) as f64 / 1000.0,
            (None, None) => return 0.0,
        };
        if let Some(previous) = &self.previous {
            both.add(previous).ok();
        }
        both.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl Account {
    pub(crate) fn arrived(&mut self, cores: f64, run_s: f64, age: Micros, half_life: Micros, now: Micros) {
        let weight = 0.5f64.powf(age.secs() / half_life.secs().max(1e-6));
        self.jobs.add(weight, half_life, now);
        self.requested_cores.add(cores * weight, half_life, now);
        self.estimated_run_s.add(run_s * weight, half_life, now);
    }

    pub(crate) fn started(&mut self, cores: f64, waited: Micros, half_life: Micros, now: Micros) {
        self.started_cores.add(cores, half_life, now);
        self.waits.add(waited, half_life, now);
    }

    pub(crate) fn commitment_settled(&mut self, met: bool, half_life: Micros, now: Micros) {
        self.commitments.add(1.0, half_life, now);
        self.commitments_met.add(if met { 1.0 } else { 0.0 }, half_life, now);
    }

    pub(crate) fn trust(&self, half_life: Micros, now: Micros) -> f64 {
        let with_prior = |sum: &Decayed| sum.get(half_life, now) + PRIOR_COMMITMENTS;
        (with_prior(&self.commitments_met) / with_prior(&self.commitments)).min(1.0)
    }

    pub(crate) fn settled(&mut self, number: usize, met: bool, half_life: Micros, now: Micros) {
        if number >= MAX_OBJECTIVES {
            return;
        }
        if self.objectives.len() <= number {
            self.objectives.resize(number + 1, SettledJobs::default());
        }
        let jobs = &mut self.objectives[number];
        if met { &mut jobs.met } else { &mut jobs.missed }.add(1.0, half_life, now);
    }

    pub(crate) fn outcomes(&self, number: usize, half_life: Micros, now: Micros) -> Option<Outcomes> {
        let jobs = self.objectives.get(number)?;
        Some(Outcomes {
            met: jobs.met.get(half_life, now),
            missed: jobs.missed.get(half_life, now),
        })
    }

    pub(crate) fn ran(&mut self, estimated_s: f64, ran_s: f64, half_life: Micros, now: Micros) {
        if estimated_s > 0.0 && ran_s.is_finite() {
            self.completed_estimated_s.add(estimated_s, half_life, now);
            self.completed_ran_s.add(ran_s.max(0.0), half_life, now);
            self.completed.add(1.0, half_life, now);
        }
    }

    pub(crate) fn bias(&self) -> f64 {
        // All three decay alike, so their ratios need no time.
        let undecayed = |sum: &Decayed| sum.get(Micros(u64::MAX), Micros::ZERO);
        let estimated_s = undecayed(&self.completed_estimated_s);
        let ran_s = undecayed(&self.completed_ran_s);
        if undecayed(&self.completed) < MIN_RUNS || estimated_s <= 0.0 {
            return 1.0;
        }
        (ran_s / estimated_s).clamp(MIN_BIAS, MAX_BIAS)
    }

    pub(crate) fn inflow(&self, half_life: Micros, now: Micros) -> Inflow {
        let jobs = self.jobs.get(half_life, now);
        Inflow {
            jobs_per_s: self.jobs.rate(half_life, now),
            cores_per_s: self.requested_cores.rate(half_life, now),
            run_s: if jobs > 0.0 {
                self.estimated_run_s.get(half_life, now) / jobs
            } else {
                0.0
            },
        }
    }

    pub(crate) fn summary(&self, name: &str, half_life: Micros, now: Micros) -> Summary {
        Summary {
            name: name.to_string(),
            requested_cores_per_s: self.requested_cores.rate(half_life, now),
            started_cores_per_s: self.started_cores.rate(half_life, now),
            wait_p50_s: self.waits.quantile_s(0.5),
            wait_p99_s: self.waits.quantile_s(0.99),
        }
    }
}
