//! Which zones are cut off, and what is to be moved out of them.
//!
//! A scheduler's leader hears a zone by its machines' reports and by the
//! controllers in it. When all of them fall silent at once while others are
//! heard, the zone is cut off: its tasks most likely run on until their leases
//! end. A machine that dies or hangs alone looks the same for itself, but not to
//! its zone.
//!
//! The crate is pure: signs and the time go in, decisions come out.
//!
//! ```
//! use glenhaven_time::Micros;
//! use glenhaven_zone_health::{Move, Sign, Times, Zones};
//!
//! let times = Times::new(8.0, 36.0);
//! let mut zones = Zones::default();
//! let sign = |zone: &str, heard: f64| Sign {
//!     zone: zone.into(),
//!     machines: 100,
//!     heard: Micros::from_secs(heard),
//!     ..Sign::default()
//! };
//! let now = Micros::from_secs(110.0);
//! zones.look(&[sign("north", 109.9), sign("south", 100.0)], &times, Micros::ZERO, now);
//! assert!(zones.is_cut("south") && !zones.is_cut("north"));
//! assert_eq!(zones.moves("south", &times, now), Move::Services);
//! ```
#![forbid(unsafe_code)]

mod evacuate;

pub use evacuate::{in_step, Far};

use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// How long after a report is due the network may still hold it up, when all
/// is well.
const SLACK: Micros = Micros::from_millis(1500);
/// Reports vary by a quarter of their period.
const VARIES: f64 = 1.25;
/// So many reports that should have come and did not make a silence that is no
/// accident: their times are independent of each other.
const MISSED: f64 = 8.0;
/// A zone needs at least so many machines for their silence to tell of it.
const LEAST: usize = 3;
/// A controller tells that it is alive several times in this span.
const CONTROLLER: Micros = Micros::from_millis(1600);
/// What a controller on the far side keeps is said every two seconds.
const KEPT: Micros = Micros::from_millis(5000);

/// The times that decide, all of them from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// The workers' report period.
    pub heartbeat: Micros,
    /// The workers' lease.
    pub lease: Micros,
    /// A cut of less than this changes nothing but where new work goes.
    pub short: Micros,
    /// After this, arrays are moved as well as services.
    pub long: Micros,
}

impl Times {
    /// From the report period and the lease in seconds. A machine that boots
    /// takes longer than most leases, so room for services is looked for as soon
    /// as a cut is no accident: half a report period, 3 s at least. Renting it
    /// costs a minute of a few machines. Arrays are most of a fleet; giving them
    /// up loses what they have done, so they get a third of the lease.
    pub fn new(report_s: f64, lease_s: f64) -> Times {
        let short = (report_s / 2.0).max(3.0);
        Times {
            heartbeat: Micros::from_secs(report_s),
            lease: Micros::from_secs(lease_s),
            short: Micros::from_secs(short),
            long: Micros::from_secs((lease_s / 3.0).max(short + report_s / 2.0)),
        }
    }

    /// How long a zone of so many machines may be silent by accident.
    fn quiet(&self, machines: usize) -> Micros {
        let part = (MISSED / machines.max(1) as f64).min(1.0);
        SLACK + Micros::from_secs(self.heartbeat.secs() * VARIES * part)
    }
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sign {
    pub zone: String,
    /// Machines there that report when all is well.
    pub machines: usize,
    /// When the latest of their reports was sent; zero: none is known.
    pub heard: Micros,
    /// When a controller on their side last said that it keeps some of them.
    pub kept: Micros,
    /// Controllers there, the one that looks aside.
    pub controllers: usize,
    /// When one of them was last heard; zero: never.
    pub controller_heard: Micros,
    /// Whether the one that looks is there itself.
    pub own: bool,
}

impl Sign {
    fn latest(&self) -> Micros {
        self.heard.max(self.controller_heard)
    }
}

/// What is to be moved out of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Move {
    /// Nothing: it can be reached, or may be in a moment.
    Nothing,
    /// Room is looked for elsewhere for its services.
    Services,
    /// For everything.
    All,
}

/// A change of what is known, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing has been heard of the zone since then.
    Cut { zone: String, since: Micros },
    /// It is heard again, or is tried again, after so long.
    Back { zone: String, after: Micros },
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    since: Micros,
    kept: Micros,
}

/// What is known of the zones.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    cuts: BTreeMap<String, Cut>,
}

impl Zones {
    /// Looks at the signs of every zone anew. `listens` is since when the one
    /// that looks has heard others without a break: silence before it says
    /// nothing.
    pub fn look(&mut self, signs: &[Sign], times: &Times, listens: Micros, now: Micros) -> Vec<Change> {
        let mut changes = vec![];
        for sign in signs {
            let silent = Self::is_silent(sign, times, listens, now);
            // Where nobody else is heard either, it is the one that looks that
            // is cut off. Its own zone it hears, or it would not be here.
            let others = signs
                .iter()
                .any(|s| s.zone != sign.zone && s.latest() >= listens && !Self::is_silent(s, times, listens, now));
            match self.cuts.get_mut(&sign.zone) {
                None if silent && others && sign.machines >= LEAST && !sign.own => {
                    let since = sign.latest().max(listens);
                    let kept = sign.kept;
                    self.cuts.insert(sign.zone.clone(), Cut { since, kept });
                    let zone = sign.zone.clone();
                    changes.push(Change::Cut { zone, since });
                }
                None => {}
                Some(cut) => {
                    cut.kept = cut.kept.max(sign.kept);
                    let heard = sign.latest() > cut.since && !silent;
                    // With no controller there and no machine left, nothing can
                    // be heard: it is tried again once every lease is over.
                    let mute = sign.machines == 0 && sign.controllers == 0;
                    let tried = mute && now.since(cut.since) > times.lease + times.lease;
                    if heard || tried || sign.own {
                        let after = now.since(cut.since);
                        self.cuts.remove(&sign.zone);
                        let zone = sign.zone.clone();
                        changes.push(Change::Back { zone, after });
                    }
                }
            }
        }
        changes
    }

    /// Whether nothing came from there for longer than by accident.
    fn is_silent(sign: &Sign, times: &Times, listens: Micros, now: Micros) -> bool {
        let controller = sign.controllers > 0 && now.since(sign.controller_heard.max(listens)) <= CONTROLLER;
        !controller && now.since(sign.latest().max(listens)) > times.quiet(sign.machines)
    }

    /// Whether nothing new may go there.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.cuts.contains_key(zone)
    }

    /// Whether any zone is cut off.
    pub fn any(&self) -> bool {
        !self.cuts.is_empty()
    }

    /// Since when a zone is cut off.
    pub fn cut_since(&self, zone: &str) -> Option<Micros> {
        self.cuts.get(zone).map(|c| c.since)
    }

    /// What is to be moved out of a zone now. One that is kept by a controller on
    /// its side runs on and is left alone.
    pub fn moves(&self, zone: &str, times: &Times, now: Micros) -> Move {
        let Some(cut) = self.cuts.get(zone) else {
            return Move::Nothing;
        };
        if cut.kept > Micros::ZERO && now.since(cut.kept) < KEPT {
            return Move::Nothing;
        }
        let age = now.since(cut.since);
        if age < times.short {
            Move::Nothing
        } else if age < times.long {
            Move::Services
        } else {
            Move::All
        }
    }
}
