//! SLO accounting: what each class and each team asked for, what it got, how long it waited and
//! which objectives it missed, over the last minutes.
//!
//! A scheduler reports arrivals, starts and settled objectives, and asks how urgent an objective is
//! and how far estimates and projections can be trusted. The crate is pure: it does no I/O and reads
//! no clock.
//!
//! Counts decay with a half life, so that an old burst is forgotten. The number of classes and teams
//! that are told apart is bounded: names that users choose cannot use up memory; what exceeds the
//! bound is counted together.
//!
//! ```
//! use glenhaven_objectives::{Objective, SloAccounting};
//! use glenhaven_time::Micros;
//!
//! let mut slo = SloAccounting::new(Micros::from_secs(120.0));
//! let now = Micros::from_secs(10.0);
//! slo.arrived("scan", "blue", 40.0, 12.0, Micros::ZERO, now);
//! slo.settled("scan", 0, false, now);
//! slo.settled("scan", 0, true, now);
//! // Half were missed: nothing is more urgent.
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

/// Classes, and teams, that are told apart.
const MAX_NAMES: usize = 64;
/// The name under which the others are counted.
const OTHERS: &str = "(others)";
/// Least [`SloAccounting::urgency`]: an objective that is met is still worth meeting.
const MIN_URGENCY: f64 = 0.25;
/// Greatest [`SloAccounting::urgency`]: one objective must not outweigh everything else.
const MAX_URGENCY: f64 = 4.0;
/// An objective that less than half of the jobs meet has failed: below this share its urgency rises.
const NEAR_HALF: f64 = 0.7;
/// Fewer settled jobs than this say nothing about a share.
const MIN_SETTLED: f64 = 1.0;

/// An operators' objective: this share of a class's jobs is to meet it.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class.
    pub class: String,
    /// Its number among the objectives of the class.
    pub number: usize,
    /// The share of jobs that is to meet it, between 0 and 1.
    pub share: f64,
}

/// An objective that fewer jobs meet than should.
#[derive(Clone, Debug, PartialEq)]
pub struct MissedObjective {
    /// The class.
    pub class: String,
    /// Its number among the objectives of the class.
    pub number: usize,
    /// The share of jobs that met it of late.
    pub met_share: f64,
    /// The share of jobs that is to meet it.
    pub expected_share: f64,
}

/// How much work of a class arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inflow {
    /// Jobs that arrive in a second.
    pub jobs_per_s: f64,
    /// Cores that their tasks take.
    pub cores_per_s: f64,
    /// The mean run time of their tasks as estimated by their owners, in seconds.
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
    /// No accounts yet; what is added counts half after `half_life`.
    pub fn new(half_life: Micros) -> SloAccounting {
        SloAccounting {
            half_life,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    fn account<'a>(accounts: &'a mut BTreeMap<String, Account>, name: &str) -> &'a mut Account {
        let is_full = accounts.len() >= MAX_NAMES && !accounts.contains_key(name);
        let name = if is_full { OTHERS } else { name };
        accounts.entry(name.to_string()).or_default()
    }

    /// The accounts of a class and of a team.
    fn both(&mut self, class: &str, team: &str) -> [&mut Account; 2] {
        [
            Self::account(&mut self.classes, class),
            Self::account(&mut self.teams, team),
        ]
    }

    /// A job arrived `age` ago, whose tasks take so many cores in all and are estimated to run for
    /// so long.
    pub fn arrived(&mut self, class: &str, team: &str, cores: f64, run_s: f64, age: Micros, now: Micros) {
        let half_life = self.half_life;
        for account in self.both(class, team) {
            account.arrived(cores, run_s, age, half_life, now);
        }
    }

    /// A task that takes so many cores started after waiting for so long.
    pub fn started(&mut self, class: &str, team: &str, cores: f64, waited: Micros, now: Micros) {
        let half_life = self.half_life;
        for account in self.both(class, team) {
            account.started(cores, waited, half_life, now);
        }
    }

    /// A job has met, or missed, one of its class's objectives.
    pub fn settled(&mut self, class: &str, number: usize, met: bool, now: Micros) {
        Self::account(&mut self.classes, class).settled(number, met, self.half_life, now);
    }

    /// A job has met, or missed, an objective that a projection said it would meet.
    pub fn commitment_settled(&mut self, class: &str, met: bool, now: Micros) {
        Self::account(&mut self.classes, class).commitment_settled(met, self.half_life, now);
    }

    /// The share of the commitments to a class that were met of late; 1 before there were any.
    pub fn trust(&self, class: &str, now: Micros) -> f64 {
        let account = self.classes.get(class);
        account.map_or(1.0, |account| account.trust(self.half_life, now))
    }

    /// A task of this class, estimated to run for so long, ran for so long.
    pub fn ran(&mut self, class: &str, estimated_s: f64, ran_s: f64, now: Micros) {
        Self::account(&mut self.classes, class).ran(estimated_s, ran_s, self.half_life, now);
    }

    /// How many times as long as estimated tasks of the class run, within bounds; 1 if too few ran.
    pub fn bias(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(1.0, Account::bias)
    }

    /// How much work of each class arrives, as far as any has of late.
    pub fn inflows(&self, now: Micros) -> impl Iterator<Item = (&str, Inflow)> {
        self.classes
            .iter()
            .map(move |(name, account)| (name.as_str(), account.inflow(self.half_life, now)))
    }

    /// How much work of one class arrives.
    pub fn inflow(&self, class: &str, now: Micros) -> Inflow {
        let account = self.classes.get(class);
        account.map_or(Inflow::default(), |account| account.inflow(self.half_life, now))
    }

    /// How many times as much as usual meeting an objective is worth: less where fewer jobs miss it
    /// than may, more where nearly half of them do. `share`: the share that is to meet it.
    pub fn urgency(&self, class: &str, number: usize, share: f64, now: Micros) -> f64 {
        let Some(met_share) = self.met_share(class, number, now) else {
            return 1.0;
        };
        if met_share < NEAR_HALF {
            let shortfall = (NEAR_HALF - met_share) / (NEAR_HALF - 0.5);
            return (1.0 + shortfall * (MAX_URGENCY - 1.0)).min(MAX_URGENCY);
        }
        let may_miss = (1.0 - share).max(0.001);
        ((1.0 - met_share) / may_miss).clamp(MIN_URGENCY, 1.0)
    }

    /// The share of a class's jobs that met an objective of late; `None` if too few have settled it.
    pub fn met_share(&self, class: &str, number: usize, now: Micros) -> Option<f64> {
        let account = self.classes.get(class)?;
        let Outcomes { met, missed } = account.outcomes(number, self.half_life, now)?;
        (met + missed >= MIN_SETTLED).then(|| met / (met + missed))
    }

    /// Those of the objectives that fewer jobs meet than should, the one with the greatest shortfall
    /// first.
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

    /// What each class asked for, got and waited for, in the order of their names.
    pub fn classes(&self, now: Micros) -> Vec<Summary> {
        self.summaries(&self.classes, now)
    }

    /// The same of each team.
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
