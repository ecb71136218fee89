//! SLO accounting: what each class and each team requested and received, how long its tasks waited
//! and which objectives it missed, over the last minutes.
//!
//! A scheduler records arrivals, starts and settled objectives, and queries how urgent an objective
//! is and how reliable estimates and projections are. The crate is pure: it does no I/O and reads
//! no clock.
//!
//! Counts decay with a half-life, so that an old burst loses its effect. Invariant: the number of
//! classes and of teams with an account of their own is bounded, so that names chosen by users
//! cannot exhaust the memory; names beyond the bound share one account.
//!
//! ```
//! use glenhaven_objectives::{Objective, SloAccounting};
//! use glenhaven_time::Micros;
//!
//! let mut slo = SloAccounting::new(Micros::from_secs(120.0));
//! let now = Micros::from_secs(10.0);
//! slo.record_arrival("scan", "blue", 40.0, 12.0, Micros::ZERO, now);
//! slo.record_outcome("scan", 0, false, now);
//! slo.record_outcome("scan", 0, true, now);
//! // Half of the jobs missed the objective: its urgency is at the maximum.
//! assert_eq!(slo.urgency("scan", 0, 0.9, now), 4.0);
//! let objectives = [Objective { class: "scan".into(), number: 0, share: 0.9 }];
//! assert_eq!(slo.missed_objectives(&objectives, now)[0].met_share, 0.5);
//! ```
#![forbid(unsafe_code)]

mod account;
mod decayed;

pub use account::Summary;
pub use decayed::Decayed;

use account::{Account, Outcomes};
use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// Maximum number of classes, and of teams, with an account of their own.
const MAX_ACCOUNTS: usize = 64;
/// Name of the account that further classes, or teams, share.
const OTHERS: &str = "(others)";
/// Lower bound of [`SloAccounting::urgency`]: an objective that is met is still worth meeting.
const MIN_URGENCY: f64 = 0.25;
/// Upper bound of [`SloAccounting::urgency`]: one objective must not outweigh everything else.
const MAX_URGENCY: f64 = 4.0;
/// Share of met jobs below which the urgency of an objective rises above 1: an objective that less
/// than half of the jobs meet has failed.
const MIN_SAFE_SHARE: f64 = 0.7;
/// Settled jobs, as a decayed count, below which the share of met jobs is unknown.
const MIN_SETTLED: f64 = 1.0;

/// An objective set by the operators, which a share of the jobs of a class should meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class.
    pub class: String,
    /// Number of the objective among the objectives of the class.
    pub number: usize,
    /// The share of jobs that should meet the objective, between 0 and 1.
    pub share: f64,
}

/// An objective that a smaller share of jobs meets than expected.
#[derive(Clone, Debug, PartialEq)]
pub struct MissedObjective {
    /// The class.
    pub class: String,
    /// Number of the objective among the objectives of the class.
    pub number: usize,
    /// The share of jobs that recently met the objective, between 0 and 1.
    pub met_share: f64,
    /// The share of jobs that should meet the objective, between 0 and 1.
    pub expected_share: f64,
}

/// Rate at which work of a class arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inflow {
    /// Jobs that arrive per second.
    pub jobs_per_s: f64,
    /// Cores that the tasks of the arriving jobs take, per second.
    pub cores_per_s: f64,
    /// Mean over the arriving jobs of the run time of a task as estimated by users, in seconds.
    pub run_s: f64,
}

/// The accounts of all classes and teams.
#[derive(Clone, Debug)]
pub struct SloAccounting {
    half_life: Micros,
    classes: BTreeMap<String, Account>,
    teams: BTreeMap<String, Account>,
}

impl SloAccounting {
    /// Creates an accounting without accounts; recorded amounts count half after `half_life`.
    pub fn new(half_life: Micros) -> SloAccounting {
        SloAccounting {
            half_life,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Returns the account of a name, or the shared account if there are [`MAX_ACCOUNTS`] others.
    fn account<'a>(accounts: &'a mut BTreeMap<String, Account>, name: &str) -> &'a mut Account {
        let is_full = accounts.len() >= MAX_ACCOUNTS && !accounts.contains_key(name);
        let name = if is_full { OTHERS } else { name };
        accounts.entry(name.to_string()).or_default()
    }

    /// The accounts of a class and of a team.
    fn accounts_of(&mut self, class: &str, team: &str) -> [&mut Account; 2] {
        [
            Self::account(&mut self.classes, class),
            Self::account(&mut self.teams, team),
        ]
    }

    /// Records a job that arrived `age` ago, whose tasks take `cores` cores in total and are
    /// estimated to run for `run_s` seconds.
    pub fn record_arrival(&mut self, class: &str, team: &str, cores: f64, run_s: f64, age: Micros, now: Micros) {
        let half_life = self.half_life;
        for account in self.accounts_of(class, team) {
            account.record_arrival(cores, run_s, age, half_life, now);
        }
    }

    /// Records the start of a task that takes `cores` cores and `waited` before its start.
    pub fn record_start(&mut self, class: &str, team: &str, cores: f64, waited: Micros, now: Micros) {
        let half_life = self.half_life;
        for account in self.accounts_of(class, team) {
            account.record_start(cores, waited, half_life, now);
        }
    }

    /// Records that a job has met, or missed, one of its class's objectives.
    pub fn record_outcome(&mut self, class: &str, number: usize, met: bool, now: Micros) {
        Self::account(&mut self.classes, class).record_outcome(number, met, self.half_life, now);
    }

    /// Records that a job has met, or missed, an objective that a projection predicted to be met.
    pub fn record_commitment_outcome(&mut self, class: &str, met: bool, now: Micros) {
        Self::account(&mut self.classes, class).record_commitment_outcome(met, self.half_life, now);
    }

    /// Returns the share of commitments to a class that were recently met; 1 if there are none.
    pub fn met_commitment_share(&self, class: &str, now: Micros) -> f64 {
        let account = self.classes.get(class);
        account.map_or(1.0, |account| account.met_commitment_share(self.half_life, now))
    }

    /// Records that a task of this class, estimated to run for `estimated_s` seconds, ran for
    /// `ran_s` seconds.
    pub fn record_run(&mut self, class: &str, estimated_s: f64, ran_s: f64, now: Micros) {
        Self::account(&mut self.classes, class).record_run(estimated_s, ran_s, self.half_life, now);
    }

    /// Returns the ratio of actual to estimated run times of the class's tasks, within bounds; 1 if
    /// too few tasks have completed.
    pub fn run_time_bias(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(1.0, Account::run_time_bias)
    }

    /// Returns the rates at which work arrives, for each class with an account.
    pub fn inflows(&self, now: Micros) -> impl Iterator<Item = (&str, Inflow)> {
        self.classes
            .iter()
            .map(move |(name, account)| (name.as_str(), account.inflow(self.half_life, now)))
    }

    /// Returns the rate at which work of one class arrives.
    pub fn inflow(&self, class: &str, now: Micros) -> Inflow {
        let account = self.classes.get(class);
        account.map_or(Inflow::default(), |account| account.inflow(self.half_life, now))
    }

    /// Returns the factor by which the value of meeting an objective changes: less than 1 where
    /// fewer jobs miss the objective than may, more than 1 where less than 0.7 of the jobs meet it.
    /// `share` is the share of jobs that should meet the objective.
    pub fn urgency(&self, class: &str, number: usize, share: f64, now: Micros) -> f64 {
        let Some(met_share) = self.met_share(class, number, now) else {
            return 1.0;
        };
        if met_share < MIN_SAFE_SHARE {
            let shortfall = (MIN_SAFE_SHARE - met_share) / (MIN_SAFE_SHARE - 0.5);
            return (1.0 + shortfall * (MAX_URGENCY - 1.0)).min(MAX_URGENCY);
        }
        let may_miss = (1.0 - share).max(0.001);
        ((1.0 - met_share) / may_miss).clamp(MIN_URGENCY, 1.0)
    }

    /// Returns the share of a class's jobs that recently met an objective; `None` if too few jobs
    /// have settled it.
    pub fn met_share(&self, class: &str, number: usize, now: Micros) -> Option<f64> {
        let account = self.classes.get(class)?;
        let Outcomes { met, missed } = account.outcomes(number, self.half_life, now)?;
        (met + missed >= MIN_SETTLED).then(|| met / (met + missed))
    }

    /// Returns the objectives that a smaller share of jobs meets than expected, the one with the
    /// greatest shortfall relative to the expected share first.
    pub fn missed_objectives(&self, objectives: &[Objective], now: Micros) -> Vec<MissedObjective> {
        let mut missed: Vec<MissedObjective> = objectives
            .iter()
            .filter_map(|objective| {
                let met_share = self.met_share(&objective.class, objective.number, now)?;
                (met_share < objective.share).then(|| MissedObjective {
                    class: objective.class.clone(),
                    number: objective.number,
                    met_share,
                    expected_share: objective.share,
                })
            })
            .collect();
        let met_of_expected = |m: &MissedObjective| m.met_share / m.expected_share;
        missed.sort_by(|a, b| met_of_expected(a).total_cmp(&met_of_expected(b)));
        missed
    }

    /// Returns the summary of each class, sorted by name.
    pub fn classes(&self, now: Micros) -> Vec<Summary> {
        self.summaries(&self.classes, now)
    }

    /// Returns the summary of each team, sorted by name.
    pub fn teams(&self, now: Micros) -> Vec<Summary> {
        self.summaries(&self.teams, now)
    }

    fn summaries(&self, accounts: &BTreeMap<String, Account>, now: Micros) -> Vec<Summary> {
        accounts
            .iter()
            .map(|(name, account)| account.summary(name, self.half_life, now))
            .collect()
    }
}
