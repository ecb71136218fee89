//! Failure detection: which machines, controllers and zones are suspected to have failed, and how.
//!
//! Owned by the leader and run on its ticks. It reads heartbeats and run times, and says what is
//! suspected. It must not free placements: that is done elsewhere, and only by proof.

pub mod asymmetric_partition;
pub mod silent_services;
pub mod stragglers;
pub mod zone_partition;

use crate::time::Micros;
use glenhaven_zone_health::ZoneMonitor;
use std::collections::BTreeMap;
use zone_partition::ControllerLiveness;

/// What the leader knows of other controllers and of zones.
pub struct FailureDetector {
    /// When each other controller was heard, and whether it is lost.
    controllers: BTreeMap<String, ControllerLiveness>,
    /// Which zones are cut off.
    pub(super) zones: ZoneMonitor,
    /// When zones that were cut off recovered.
    zones_recovered_at: BTreeMap<String, Micros>,
    /// When stragglers are looked for again.
    pub(super) next_straggler_check: Micros,
    /// When the state of the replicas is logged again.
    pub(super) next_replica_log: Micros,
}

impl FailureDetector {
    /// A detector that has heard from nobody yet.
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
