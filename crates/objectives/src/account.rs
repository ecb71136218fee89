//! The SLO account of one class or one team.

use crate::{Decayed, Inflow};
use glenhaven_time::Micros;
use hdrhistogram::Histogram;

/// The longest recorded wait; longer waits count as this one.
const MAX_WAIT_MS: u64 = 3_600_000;
/// Significant decimal digits of recorded waits.
const WAIT_DIGITS: u8 = 2;
/// Maximum number of objectives of a class that are counted.
const MAX_OBJECTIVES: usize = 16;
/// Lower bound of the ratio of run times to their estimates.
const MIN_BIAS: f64 = 0.4;
/// Upper bound of the ratio of run times to their estimates.
const MAX_BIAS: f64 = 2.5;
/// Number of met commitments that the share of met commitments starts with, so that projections are
/// trusted before any commitment has been settled.
const PRIOR_COMMITMENTS: f64 = 2.0;
/// Completed tasks, as a decayed count, below which the bias is unknown.
const MIN_COMPLETED: f64 = 5.0;

/// What a class or team recently requested and received, and how long its tasks waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Name of the class or team.
    pub name: String,
    /// Cores of jobs that arrived, per second.
    pub requested_cores_per_s: f64,
    /// Cores of tasks that started, per second.
    pub started_cores_per_s: f64,
    /// Median wait of the tasks that started, in seconds.
    pub wait_p50_s: f64,
    /// The wait that one task in a hundred exceeded, in seconds.
    pub wait_p99_s: f64,
}

/// Decayed numbers of jobs that have met and missed one objective.
#[derive(Clone, Debug, Default)]
struct SettledJobs {
    met: Decayed,
    missed: Decayed,
}

/// Numbers of jobs that have recently met and missed one objective, decayed to one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Outcomes {
    pub(crate) met: f64,
    pub(crate) missed: f64,
}

/// The decayed counts and the waits of one class or one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    jobs: Decayed,
    requested_cores: Decayed,
    /// Sum of the estimated run times of jobs.
    estimated_run_s: Decayed,
    started_cores: Decayed,
    /// Sum of the estimated run times of completed tasks.
    completed_estimated_s: Decayed,
    /// Sum of the actual run times of completed tasks.
    completed_actual_s: Decayed,
    /// Number of completed tasks.
    completed: Decayed,
    /// Indexed by the number of the objective.
    objectives: Vec<SettledJobs>,
    waits: Waits,
    /// Number of settled commitments: objectives that rented machines were projected to meet.
    commitments: Decayed,
    /// Number of settled commitments that were met.
    commitments_met: Decayed,
}

/// Waits of the current and the previous half-life.
#[derive(Clone, Debug, Default)]
struct Waits {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    /// When the current half-life began.
    began_at: Micros,
}

impl Waits {
    fn add(&mut self, waited: Micros, half_life: Micros, now: Micros) {
        if now.since(self.began_at) > half_life {
            self.previous = self.current.take();
            self.began_at = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_max(MAX_WAIT_MS, WAIT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.current {
            histogram.saturating_record((waited.0 / 1000).max(1));
        }
    }

    /// Returns a quantile of the waits in seconds, or zero if there are none.
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
    /// Records the arrival of a job; the job's age reduces its weight.
    pub(crate) fn record_arrival(&mut self, cores: f64, run_s: f64, age: Micros, half_life: Micros, now: Micros) {
        let weight = 0.5f64.powf(age.secs() / half_life.secs().max(1e-6));
        self.jobs.add(weight, half_life, now);
        self.requested_cores.add(cores * weight, half_life, now);
        self.estimated_run_s.add(run_s * weight, half_life, now);
    }

    /// Records the start of a task.
    pub(crate) fn record_start(&mut self, cores: f64, waited: Micros, half_life: Micros, now: Micros) {
        self.started_cores.add(cores, half_life, now);
        self.waits.add(waited, half_life, now);
    }

    /// Records whether a job met an objective that a projection predicted it would meet.
    pub(crate) fn record_commitment_outcome(&mut self, met: bool, half_life: Micros, now: Micros) {
        self.commitments.add(1.0, half_life, now);
        self.commitments_met.add(if met { 1.0 } else { 0.0 }, half_life, now);
    }

    /// Returns the share of commitments that were met, including [`PRIOR_COMMITMENTS`].
    pub(crate) fn met_commitment_share(&self, half_life: Micros, now: Micros) -> f64 {
        let with_prior = |sum: &Decayed| sum.get(half_life, now) + PRIOR_COMMITMENTS;
        (with_prior(&self.commitments_met) / with_prior(&self.commitments)).min(1.0)
    }

    /// Records whether a job met an objective; objectives above [`MAX_OBJECTIVES`] are ignored.
    pub(crate) fn record_outcome(&mut self, number: usize, met: bool, half_life: Micros, now: Micros) {
        if number >= MAX_OBJECTIVES {
            return;
        }
        if self.objectives.len() <= number {
            self.objectives.resize(number + 1, SettledJobs::default());
        }
        let jobs = &mut self.objectives[number];
        if met { &mut jobs.met } else { &mut jobs.missed }.add(1.0, half_life, now);
    }

    /// Returns the outcomes of an objective, or `None` if none has been recorded.
    pub(crate) fn outcomes(&self, number: usize, half_life: Micros, now: Micros) -> Option<Outcomes> {
        let jobs = self.objectives.get(number)?;
        Some(Outcomes {
            met: jobs.met.get(half_life, now),
            missed: jobs.missed.get(half_life, now),
        })
    }

    /// Records the estimated and the actual run time of a completed task.
    pub(crate) fn record_run(&mut self, estimated_s: f64, ran_s: f64, half_life: Micros, now: Micros) {
        if estimated_s > 0.0 && ran_s.is_finite() {
            self.completed_estimated_s.add(estimated_s, half_life, now);
            self.completed_actual_s.add(ran_s.max(0.0), half_life, now);
            self.completed.add(1.0, half_life, now);
        }
    }

    /// Returns the ratio of actual to estimated run times, within bounds; 1 if too few tasks ran.
    pub(crate) fn run_time_bias(&self) -> f64 {
        // The three sums decay equally, so their ratios don't depend on the time.
        let undecayed = |sum: &Decayed| sum.get(Micros(u64::MAX), Micros::ZERO);
        let estimated_s = undecayed(&self.completed_estimated_s);
        let ran_s = undecayed(&self.completed_actual_s);
        if undecayed(&self.completed) < MIN_COMPLETED || estimated_s <= 0.0 {
            return 1.0;
        }
        (ran_s / estimated_s).clamp(MIN_BIAS, MAX_BIAS)
    }

    /// Returns the rates at which work arrives.
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

    /// Returns the rates and the quantiles of the waits.
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
