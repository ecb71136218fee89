//! What each class and each team asked for, what it got and how long it waited,
//! over the last minutes; and who is behind.
//!
//! Counts decay with a half life, so that an old burst is forgotten. The number of
//! classes and teams that are told apart is bounded: names that users choose
//! cannot use up memory; what is beyond it counts together.
//!
//! ```
//! use glenhaven_objectives::{SloAccounting, Aim};
//! use glenhaven_time::Micros;
//!
//! let mut account = SloAccounting::new(Micros::from_secs(120.0));
//! let now = Micros::from_secs(10.0);
//! account.arrived("scan", "blue", 40.0, 12.0, Micros::ZERO, now);
//! account.judged("scan", 0, false, now);
//! account.judged("scan", 0, true, now);
//! // Half were missed: nothing is more urgent.
//! assert_eq!(account.urgency("scan", 0, 0.9, now), 4.0);
//! let aims = [Aim { class: "scan".into(), number: 0, share: 0.9 }];
//! assert_eq!(account.behind(&aims, now)[0].kept, 0.5);
//! ```
#![forbid(unsafe_code)]

mod decayed;
mod row;

pub use decayed::Decayed;
pub use row::Row;

use glenhaven_time::Micros;
use row::Line;
use std::collections::BTreeMap;

/// Classes, and teams, that are told apart.
const NAMES: usize = 64;
/// What counts together beyond that.
const OTHERS: &str = "(others)";
/// Limits of [`SloAccounting::urgency`]: an aim that is kept is worth keeping, and one
/// that is far behind must not outweigh everything else.
const LEAST: f64 = 0.25;
const MOST: f64 = 4.0;
/// A class of which less than half is served is left behind: from here on it
/// counts for more.
const NEAR_HALF: f64 = 0.7;
/// Fewer jobs than this say nothing of a share.
const FEW: f64 = 1.0;

/// An operators' aim: of a class's jobs, this share is to keep a time. `number`
/// tells a class's aims apart.
#[derive(Clone, Debug, PartialEq)]
pub struct Aim {
    pub class: String,
    pub number: usize,
    pub share: f64,
}

/// A class that keeps an aim less often than it should.
#[derive(Clone, Debug, PartialEq)]
pub struct Behind {
    pub class: String,
    pub number: usize,
    pub kept: f64,
    pub aim: f64,
}

/// What comes of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inflow {
    pub jobs_per_s: f64,
    pub cores_per_s: f64,
    /// The mean run time of its tasks as estimated by their owners.
    pub run_s: f64,
}

/// The account.
#[derive(Clone, Debug)]
pub struct SloAccounting {
    half_life: Micros,
    classes: BTreeMap<String, Line>,
    teams: BTreeMap<String, Line>,
}

impl SloAccounting {
    pub fn new(half_life: Micros) -> SloAccounting {
        SloAccounting {
            half_life,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    fn line<'a>(lines: &'a mut BTreeMap<String, Line>, name: &str) -> &'a mut Line {
        let full = lines.len() >= NAMES && !lines.contains_key(name);
        lines.entry(if full { OTHERS } else { name }.to_string()).or_default()
    }

    /// A job has come, so long ago, whose tasks take so many cores in all and run
    /// for so long.
    pub fn arrived(&mut self, class: &str, team: &str, cores: f64, run_s: f64, age: Micros, now: Micros) {
        for line in [Self::line(&mut self.classes, class), Self::line(&mut self.teams, team)] {
            line.arrived(cores, run_s, age, self.half_life, now);
        }
    }

    /// A task has started after waiting for so long; its job's cores got room.
    pub fn started(&mut self, class: &str, team: &str, cores: f64, waited: Micros, now: Micros) {
        for line in [Self::line(&mut self.classes, class), Self::line(&mut self.teams, team)] {
            line.started(cores, waited, self.half_life, now);
        }
    }

    /// A job has kept, or missed, one of its class's aims.
    pub fn judged(&mut self, class: &str, number: usize, kept: bool, now: Micros) {
        Self::line(&mut self.classes, class).judged(number, kept, self.half_life, now);
    }

    /// A job of which a projection said that it would keep a time has kept it, or not.
    pub fn promised(&mut self, class: &str, kept: bool, now: Micros) {
        Self::line(&mut self.classes, class).promised(kept, self.half_life, now);
    }

    /// The share of what was promised to a class that came true lately; 1 before
    /// anything was.
    pub fn trust(&self, class: &str, now: Micros) -> f64 {
        self.classes.get(class).map_or(1.0, |l| l.trust(self.half_life, now))
    }

    /// A task of this class, estimated to run for so long, ran for so long.
    pub fn ran(&mut self, class: &str, estimated_s: f64, ran_s: f64, now: Micros) {
        Self::line(&mut self.classes, class).ran(estimated_s, ran_s, self.half_life, now);
    }

    /// How many times as long as estimated tasks of the class run, within bounds.
    pub fn bias(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(1.0, Line::bias)
    }

    /// What comes of each class, as far as it has come lately.
    pub fn inflows(&self, now: Micros) -> impl Iterator<Item = (&str, Inflow)> {
        self.classes
            .iter()
            .map(move |(name, line)| (name.as_str(), line.inflow(self.half_life, now)))
    }

    /// What comes of one class.
    pub fn inflow(&self, class: &str, now: Micros) -> Inflow {
        self.classes
            .get(class)
            .map_or(Inflow::default(), |line| line.inflow(self.half_life, now))
    }

    /// How many times as much as usual keeping an aim is worth: less where fewer
    /// miss it than may, more where it comes near to being missed by half.
    pub fn urgency(&self, class: &str, number: usize, share: f64, now: Micros) -> f64 {
        let Some(kept) = self.kept(class, number, now) else {
            return 1.0;
        };
        if kept < NEAR_HALF {
            let behind = (NEAR_HALF - kept) / (NEAR_HALF - 0.5);
            return (1.0 + behind * (MOST - 1.0)).min(MOST);
        }
        let may = (1.0 - share).max(0.001);
        ((1.0 - kept) / may).clamp(LEAST, 1.0)
    }

    /// The share of a class's jobs that kept an aim lately.
    pub fn kept(&self, class: &str, number: usize, now: Micros) -> Option<f64> {
        let (kept, missed) = self.classes.get(class)?.judgement(number, self.half_life, now)?;
        (kept + missed >= FEW).then(|| kept / (kept + missed))
    }

    /// The classes that keep an aim less often than they should, the one farthest
    /// behind first.
    pub fn behind(&self, aims: &[Aim], now: Micros) -> Vec<Behind> {
        let mut list: Vec<Behind> = aims
            .iter()
            .filter_map(|aim| {
                let kept = self.kept(&aim.class, aim.number, now)?;
                (kept < aim.share).then(|| Behind {
                    class: aim.class.clone(),
                    number: aim.number,
                    kept,
                    aim: aim.share,
                })
            })
            .collect();
        list.sort_by(|a, b| (a.kept / a.aim).total_cmp(&(b.kept / b.aim)));
        list
    }

    /// What each class asked for, got and waited for.
    pub fn classes(&self, now: Micros) -> Vec<Row> {
        self.rows(&self.classes, now)
    }

    /// The same of each team.
    pub fn teams(&self, now: Micros) -> Vec<Row> {
        self.rows(&self.teams, now)
    }

    fn rows(&self, lines: &BTreeMap<String, Line>, now: Micros) -> Vec<Row> {
        lines
            .iter()
            .map(|(name, line)| line.row(name, self.half_life, now))
            .collect()
    }
}
