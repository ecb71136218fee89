//! Which zones are cut off by a network partition, and what is to be moved out of them.
//!
//! A scheduler's leader hears a zone by the heartbeats of its machines and by the controllers in it.
//! When all of them fall silent at once while other zones are heard, the zone is cut off: its tasks
//! most likely run on until their leases end. A machine that dies or hangs alone looks the same for
//! itself, but not for its zone.
//!
//! The crate is pure: observations and the time go in, decisions come out.
//!
//! ```
//! use glenhaven_time::Micros;
//! use glenhaven_zone_health::{Evacuation, ZoneMonitor, ZoneObservation, ZoneTimes};
//!
//! let times = ZoneTimes::new(8.0, 36.0);
//! let mut zones = ZoneMonitor::default();
//! let zone = |zone: &str, heard_s: f64| ZoneObservation {
//!     zone: zone.into(),
//!     machines: 100,
//!     last_heartbeat_at: Micros::from_secs(heard_s),
//!     ..ZoneObservation::default()
//! };
//! let now = Micros::from_secs(110.0);
//! zones.update(&[zone("north", 109.9), zone("south", 100.0)], &times, Micros::ZERO, now);
//! assert!(zones.is_cut("south") && !zones.is_cut("north"));
//! assert_eq!(zones.evacuation("south", &times, now), Evacuation::Services);
//! ```
#![forbid(unsafe_code)]

mod evacuate;

pub use evacuate::{machines_to_release, EvacuationCandidate};

use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// How long a heartbeat that is due may be held up by the network when all is well.
const MAX_HEARTBEAT_DELAY: Micros = Micros::from_millis(1500);
/// Agents vary the interval of their heartbeats by a quarter.
const MAX_INTERVAL_FACTOR: f64 = 1.25;
/// So many heartbeats that should have come and did not make a silence that is no accident: their
/// times are independent of each other.
const MIN_MISSED_HEARTBEATS: f64 = 8.0;
/// A zone with fewer machines is not taken to be cut off by their silence.
const MIN_MACHINES: usize = 3;
/// A controller sends several signs of life in this span.
const MAX_CONTROLLER_SILENCE: Micros = Micros::from_millis(1600);
/// A controller says every two seconds which machines it has contact with.
const PROXY_ANNOUNCEMENT_VALIDITY: Micros = Micros::from_millis(5000);

/// The times that decide, all of them from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTimes {
    /// The agents' heartbeat interval.
    pub heartbeat_interval: Micros,
    /// The agents' lease.
    pub lease: Micros,
    /// How long after a cut capacity for services is looked for elsewhere; a shorter cut changes
    /// nothing but where new work starts.
    pub services_after: Micros,
    /// How long after a cut arrays are moved as well.
    pub arrays_after: Micros,
}

impl ZoneTimes {
    /// From the heartbeat interval and the lease in seconds. A machine that boots takes longer than
    /// most leases, so capacity for services is looked for as soon as a cut is no accident: half an
    /// interval, 3 s at least. Renting it costs a minute of a few machines. Arrays are most of a
    /// fleet; giving them up loses what they have done, so they get a third of the lease.
    pub fn new(report_s: f64, lease_s: f64) -> ZoneTimes {
        let services_s = (report_s / 2.0).max(3.0);
        ZoneTimes {
            heartbeat_interval: Micros::from_secs(report_s),
            lease: Micros::from_secs(lease_s),
            services_after: Micros::from_secs(services_s),
            arrays_after: Micros::from_secs((lease_s / 3.0).max(services_s + report_s / 2.0)),
        }
    }

    /// How long a zone of so many machines may be silent by accident.
    fn max_silence(&self, machines: usize) -> Micros {
        let intervals = (MIN_MISSED_HEARTBEATS / machines.max(1) as f64).min(1.0);
        MAX_HEARTBEAT_DELAY + Micros::from_secs(self.heartbeat_interval.secs() * MAX_INTERVAL_FACTOR * intervals)
    }
}

/// What the leader has heard of a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Machines there that send heartbeats when all is well.
    pub machines: usize,
    /// When the latest of their heartbeats was sent; zero if none is known.
    pub last_heartbeat_at: Micros,
    /// When a controller on their side last said that it has contact with some of them; zero if
    /// none did.
    pub proxied_at: Micros,
    /// Controllers there, the leader aside.
    pub controllers: usize,
    /// When one of them was last heard; zero if none was.
    pub controller_contact_at: Micros,
    /// Whether the leader is there itself.
    pub is_own: bool,
}

impl ZoneObservation {
    fn last_contact_at(&self) -> Micros {
        self.last_heartbeat_at.max(self.controller_contact_at)
    }

    /// Whether nothing came from there for longer than by accident.
    fn is_silent(&self, times: &ZoneTimes, listening_since: Micros, now: Micros) -> bool {
        let controller_contact_at = self.controller_contact_at.max(listening_since);
        let has_controller_contact = self.controllers > 0 && now.since(controller_contact_at) <= MAX_CONTROLLER_SILENCE;
        let last_contact_at = self.last_contact_at().max(listening_since);
        !has_controller_contact && now.since(last_contact_at) > times.max_silence(self.machines)
    }
}

/// What is to be moved out of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evacuation {
    /// Nothing: the zone can be reached, or may be in a moment.
    Nothing,
    /// Capacity is looked for elsewhere for its services.
    Services,
    /// Capacity is looked for elsewhere for all its work.
    All,
}

/// A change in what is known of a zone, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is cut off.
    CutOff {
        /// Name of the zone.
        zone: String,
        /// When it was last heard.
        since: Micros,
    },
    /// The zone is heard again, or is tried again.
    Recovered {
        /// Name of the zone.
        zone: String,
        /// How long it was cut off.
        after: Micros,
    },
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    since: Micros,
    proxied_at: Micros,
}

/// Which zones are cut off.
#[derive(Clone, Debug, Default)]
pub struct ZoneMonitor {
    cuts: BTreeMap<String, Cut>,
}

impl ZoneMonitor {
    /// Decides anew which zones are cut off, given what was heard of every zone. Silence before
    /// `listening_since`, since when the leader has heard others without a break, says nothing.
    pub fn update(
        &mut self,
        zones: &[ZoneObservation],
        times: &ZoneTimes,
        listening_since: Micros,
        now: Micros,
    ) -> Vec<ZoneChange> {
        let mut changes = vec![];
        for zone in zones {
            let is_silent = zone.is_silent(times, listening_since, now);
            let change = if self.is_cut(&zone.zone) {
                self.recovery(zone, is_silent, times, now)
            } else {
                // Where nobody else is heard either, it is the leader that is cut off. Its own zone
                // it hears, or it would not be the leader.
                let has_other_contact = zones.iter().any(|other| {
                    other.zone != zone.zone
                        && other.last_contact_at() >= listening_since
                        && !other.is_silent(times, listening_since, now)
                });
                let is_cut = is_silent && has_other_contact && zone.machines >= MIN_MACHINES && !zone.is_own;
                is_cut.then(|| self.cut(zone, listening_since))
            };
            changes.extend(change);
        }
        changes
    }

    /// Notes that a zone is cut off.
    fn cut(&mut self, zone: &ZoneObservation, listening_since: Micros) -> ZoneChange {
        let since = zone.last_contact_at().max(listening_since);
        let proxied_at = zone.proxied_at;
        self.cuts.insert(zone.zone.clone(), Cut { since, proxied_at });
        ZoneChange::CutOff {
            zone: zone.zone.clone(),
            since,
        }
    }

    /// Notes what was heard of a zone that is cut off, and whether it is so no longer.
    fn recovery(
        &mut self,
        zone: &ZoneObservation,
        is_silent: bool,
        times: &ZoneTimes,
        now: Micros,
    ) -> Option<ZoneChange> {
        let cut = self.cuts.get_mut(&zone.zone)?;
        cut.proxied_at = cut.proxied_at.max(zone.proxied_at);
        let has_contact = zone.last_contact_at() > cut.since && !is_silent;
        // Without a controller and a machine there, nothing can be heard: the zone is tried again
        // when every lease is over.
        let is_empty = zone.machines == 0 && zone.controllers == 0;
        let is_tried_again = is_empty && now.since(cut.since) > times.lease + times.lease;
        if !(has_contact || is_tried_again || zone.is_own) {
            return None;
        }
        let after = now.since(cut.since);
        self.cuts.remove(&zone.zone);
        Some(ZoneChange::Recovered {
            zone: zone.zone.clone(),
            after,
        })
    }

    /// Whether a zone is cut off, so that nothing new may start there.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.cuts.contains_key(zone)
    }

    /// Whether any zone is cut off.
    pub fn any_cut(&self) -> bool {
        !self.cuts.is_empty()
    }

    /// Since when a zone is cut off; `None` if it is not.
    pub fn cut_since(&self, zone: &str) -> Option<Micros> {
        self.cuts.get(zone).map(|c| c.since)
    }

    /// What is to be moved out of a zone now. A zone that a controller on its side has contact with
    /// runs on and is left alone.
    pub fn evacuation(&self, zone: &str, times: &ZoneTimes, now: Micros) -> Evacuation {
        let Some(cut) = self.cuts.get(zone) else {
            return Evacuation::Nothing;
        };
        if cut.proxied_at > Micros::ZERO && now.since(cut.proxied_at) < PROXY_ANNOUNCEMENT_VALIDITY {
            return Evacuation::Nothing;
        }
        let age = now.since(cut.since);
        if age < times.services_after {
            Evacuation::Nothing
        } else if age < times.arrays_after {
            Evacuation::Services
        } else {
            Evacuation::All
        }
    }
}
