//! Failure detection: which machines, controllers and zones are suspected to have failed, and how.
//!
//! Owned by the leader and run by its periodic work. This module derives suspicions from heartbeats
//! and run times. It must not free placements: other modules do that, and only on proof.

pub mod asymmetric_partition;
pub mod silent_services;
pub mod stragglers;
pub mod zone_partition;

use crate::time::Micros;
use glenhaven_zone_health::ZoneMonitor;
use std::collections::BTreeMap;
use zone_partition::ControllerLiveness;

/// The leader's view of other controllers and of zones.
pub struct FailureDetector {
    /// When each other controller was last in contact, and whether it is lost.
    controllers: BTreeMap<String, ControllerLiveness>,
    /// Which zones are cut off.
    pub(super) zones: ZoneMonitor,
    /// When each zone that was cut off last recovered.
    zones_recovered_at: BTreeMap<String, Micros>,
    /// When the next check for stragglers is due.
    pub(super) next_straggler_check: Micros,
    /// When the state of the replicas is logged next.
    pub(super) next_replica_log: Micros,
}

impl FailureDetector {
    /// Creates a detector without any recorded contact.
    pub fn new(now: Micros) -> FailureDetector {
        FailureDetector {
            controllers: BTreeMap::new(),
            zones: ZoneMonitor::default(),
            zones_recovered_at: BTreeMap::new(),
            next_straggler_check: now,
            next_replica_log: now,
        }
    }
}
