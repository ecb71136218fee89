//! Detection of zones that are cut off by a network partition, and of what to move out of them.
//!
//! A scheduler's leader is in contact with a zone through the heartbeats of the zone's machines and
//! the messages of its controllers. When all of these stop at once while messages from other zones
//! arrive, the zone is cut off: its tasks most likely keep running until their leases end. A single
//! machine that dies or hangs falls silent in the same way, but the rest of its zone does not.
//!
//! The crate is pure: observations and the time go in, decisions come out.
//!
//! ```
//! use glenhaven_time::Micros;
//! use glenhaven_zone_health::{Evacuation, ZoneMonitor, ZoneObservation, ZoneTimes};
//!
//! let times = ZoneTimes::new(8.0, 36.0);
//! let mut zones = ZoneMonitor::default();
//! let zone = |zone: &str, last_heartbeat_s: f64| ZoneObservation {
//!     zone: zone.into(),
//!     machines: 100,
//!     last_heartbeat_at: Micros::from_secs(last_heartbeat_s),
//!     ..ZoneObservation::default()
//! };
//! let now = Micros::from_secs(110.0);
//! zones.update(&[zone("north", 109.9), zone("south", 100.0)], &times, Micros::ZERO, now);
//! assert!(zones.is_cut_off("south") && !zones.is_cut_off("north"));
//! assert_eq!(zones.evacuation("south", &times, now), Evacuation::Services);
//! ```
#![forbid(unsafe_code)]

mod evacuate;

pub use evacuate::{machines_to_release, EvacuationCandidate};

use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// Maximum delay of a heartbeat in a healthy network.
const MAX_HEARTBEAT_DELAY: Micros = Micros::from_millis(1500);
/// Longest heartbeat interval as a multiple of the set one: agents vary the interval by a quarter.
const MAX_INTERVAL_FACTOR: f64 = 1.25;
/// Number of missed heartbeats from which chance does not explain the silence of a zone: the times
/// of the heartbeats of different machines are independent of each other.
const MIN_MISSED_HEARTBEATS: f64 = 8.0;
/// Minimum number of machines whose silence shows that their zone is cut off.
const MIN_MACHINES: usize = 3;
/// Maximum silence of a controller that is in contact; a controller sends several messages within
/// this time.
const MAX_CONTROLLER_SILENCE: Micros = Micros::from_millis(1600);
/// How long a controller's announcement of the machines it has contact with counts; controllers
/// repeat it every two seconds.
const PROXY_ANNOUNCEMENT_VALIDITY: Micros = Micros::from_millis(5000);

/// Times for the decisions about zones, all derived from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTimes {
    /// The agents' heartbeat interval.
    pub heartbeat_interval: Micros,
    /// The agents' lease.
    pub lease: Micros,
    /// How long a zone is cut off before capacity for its services is sought elsewhere; until then,
    /// only new work is kept out of the zone.
    pub services_after: Micros,
    /// How long a zone is cut off before its array jobs are moved as well.
    pub arrays_after: Micros,
}

impl ZoneTimes {
    /// Derives the times from the heartbeat interval and the lease, both in seconds.
    ///
    /// Booting a machine takes longer than most leases, so capacity for services is sought as soon
    /// as chance is an unlikely cause of the silence: after half a heartbeat interval, but at least
    /// 3 s. An unnecessary rental costs a minute of a few machines. Array jobs use most of a fleet,
    /// and giving them up loses their progress, so they are moved only after a third of the lease.
    pub fn new(report_s: f64, lease_s: f64) -> ZoneTimes {
        let services_s = (report_s / 2.0).max(3.0);
        ZoneTimes {
            heartbeat_interval: Micros::from_secs(report_s),
            lease: Micros::from_secs(lease_s),
            services_after: Micros::from_secs(services_s),
            arrays_after: Micros::from_secs((lease_s / 3.0).max(services_s + report_s / 2.0)),
        }
    }

    /// Longest silence of a zone with this many machines that chance can still explain.
    fn max_silence(&self, machines: usize) -> Micros {
        let intervals = (MIN_MISSED_HEARTBEATS / machines.max(1) as f64).min(1.0);
        MAX_HEARTBEAT_DELAY + Micros::from_secs(self.heartbeat_interval.secs() * MAX_INTERVAL_FACTOR * intervals)
    }
}

/// The leader's latest contacts with a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Number of machines in the zone that should send heartbeats.
    pub machines: usize,
    /// When the latest of their heartbeats was sent; zero if none is known.
    pub last_heartbeat_at: Micros,
    /// When a controller on the machines' side last announced contact with some of them; zero if
    /// none did.
    pub proxied_at: Micros,
    /// Number of controllers in the zone, without the leader.
    pub controllers: usize,
    /// When one of these controllers was last in contact; zero if none was.
    pub controller_contact_at: Micros,
    /// Whether the zone is the leader's own.
    pub is_own: bool,
}

impl ZoneObservation {
    fn last_contact_at(&self) -> Micros {
        self.last_heartbeat_at.max(self.controller_contact_at)
    }

    /// Whether nothing has arrived from the zone for longer than chance explains.
    fn is_silent(&self, times: &ZoneTimes, listening_since: Micros, now: Micros) -> bool {
        let controller_contact_at = self.controller_contact_at.max(listening_since);
        let has_controller_contact = self.controllers > 0 && now.since(controller_contact_at) <= MAX_CONTROLLER_SILENCE;
        let last_contact_at = self.last_contact_at().max(listening_since);
        !has_controller_contact && now.since(last_contact_at) > times.max_silence(self.machines)
    }
}

/// What is moved out of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evacuation {
    /// Nothing: the zone is reachable or may soon be again, or another controller has contact with
    /// it.
    Nothing,
    /// Capacity is sought elsewhere for the zone's services.
    Services,
    /// Capacity is sought elsewhere for all work of the zone.
    All,
}

/// A change of the status of a zone, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is cut off.
    CutOff {
        /// Name of the zone.
        zone: String,
        /// When the zone was last in contact.
        since: Micros,
    },
    /// The zone is in contact again, is the leader's own now, or is empty and tried again.
    Recovered {
        /// Name of the zone.
        zone: String,
        /// How long the zone was cut off.
        after: Micros,
    },
}

/// The record of a zone that is cut off.
#[derive(Clone, Copy, Debug)]
struct CutOffZone {
    since: Micros,
    proxied_at: Micros,
}

/// Tracks which zones are cut off.
#[derive(Clone, Debug, Default)]
pub struct ZoneMonitor {
    cut_off_zones: BTreeMap<String, CutOffZone>,
}

impl ZoneMonitor {
    /// Updates which zones are cut off from the latest contacts with every zone, and returns the
    /// changes. The leader has received messages without a break since `listening_since`; silence
    /// before that time is ignored.
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
            let change = if self.is_cut_off(&zone.zone) {
                self.recovery(zone, is_silent, times, now)
            } else {
                // If no other zone is in contact either, the leader itself is cut off. A leader is
                // always in contact with its own zone, or it would not be the leader.
                let has_other_contact = zones.iter().any(|other| {
                    other.zone != zone.zone
                        && other.last_contact_at() >= listening_since
                        && !other.is_silent(times, listening_since, now)
                });
                let is_cut_off = is_silent && has_other_contact && zone.machines >= MIN_MACHINES && !zone.is_own;
                is_cut_off.then(|| self.mark_cut_off(zone, listening_since))
            };
            changes.extend(change);
        }
        changes
    }

    /// Marks a zone as cut off.
    fn mark_cut_off(&mut self, zone: &ZoneObservation, listening_since: Micros) -> ZoneChange {
        let since = zone.last_contact_at().max(listening_since);
        let proxied_at = zone.proxied_at;
        self.cut_off_zones
            .insert(zone.zone.clone(), CutOffZone { since, proxied_at });
        ZoneChange::CutOff {
            zone: zone.zone.clone(),
            since,
        }
    }

    /// Updates the record of a cut-off zone; returns the change if the zone is no longer cut off.
    fn recovery(
        &mut self,
        zone: &ZoneObservation,
        is_silent: bool,
        times: &ZoneTimes,
        now: Micros,
    ) -> Option<ZoneChange> {
        let cut_off = self.cut_off_zones.get_mut(&zone.zone)?;
        cut_off.proxied_at = cut_off.proxied_at.max(zone.proxied_at);
        let has_contact = zone.last_contact_at() > cut_off.since && !is_silent;
        // A zone without controllers and machines sends no messages; it is tried again when every
        // lease has ended.
        let is_empty = zone.machines == 0 && zone.controllers == 0;
        let is_tried_again = is_empty && now.since(cut_off.since) > times.lease + times.lease;
        if !(has_contact || is_tried_again || zone.is_own) {
            return None;
        }
        let after = now.since(cut_off.since);
        self.cut_off_zones.remove(&zone.zone);
        Some(ZoneChange::Recovered {
            zone: zone.zone.clone(),
            after,
        })
    }

    /// Whether a zone is cut off, so that nothing new may start there.
    pub fn is_cut_off(&self, zone: &str) -> bool {
        self.cut_off_zones.contains_key(zone)
    }

    /// Whether any zone is cut off.
    pub fn any_cut_off(&self) -> bool {
        !self.cut_off_zones.is_empty()
    }

    /// Time since which a zone has been cut off; `None` if it is not.
    pub fn cut_off_since(&self, zone: &str) -> Option<Micros> {
        self.cut_off_zones.get(zone).map(|c| c.since)
    }

    /// Returns what is moved out of a zone now. A zone that a controller on its side of the
    /// partition has contact with keeps running and is left alone.
    pub fn evacuation(&self, zone: &str, times: &ZoneTimes, now: Micros) -> Evacuation {
        let Some(cut_off) = self.cut_off_zones.get(zone) else {
            return Evacuation::Nothing;
        };
        if cut_off.proxied_at > Micros::ZERO && now.since(cut_off.proxied_at) < PROXY_ANNOUNCEMENT_VALIDITY {
            return Evacuation::Nothing;
        }
        let age = now.since(cut_off.since);
        if age < times.services_after {
            Evacuation::Nothing
        } else if age < times.arrays_after {
            Evacuation::Services
        } else {
            Evacuation::All
        }
    }
}
