//! Which machines, controllers and zones are taken to have failed, and how.
//!
//! Detection alone: it reads heartbeats and run times, and says what is suspected. Records of
//! tasks are freed elsewhere, and only by proof.

pub mod asymmetric_partition;
pub mod stragglers;
pub mod suspected;
pub mod zone_partition;

use crate::time::Micros;
use glenhaven_zone_health::Zones;
use std::collections::BTreeMap;
use zone_partition::ControllerLiveness;

/// Which controllers and zones the leader hears.
pub struct FailureDetector {
    /// When each other controller was heard, and since when without a break.
    controllers: BTreeMap<String, ControllerLiveness>,
    /// Zones that are cut off.
    pub(super) zones: Zones,
    /// When zones that were cut off were heard again.
    zones_recovered_at: BTreeMap<String, Micros>,
    pub(super) next_straggler_check: Micros,
    pub(super) next_replica_log: Micros,
}

impl FailureDetector {
    /// A detector that has heard of nobody yet.
    pub fn new(now: Micros) -> FailureDetector {
        FailureDetector {
            controllers: BTreeMap::new(),
            zones: Zones::default(),
            zones_recovered_at: BTreeMap::new(),
            next_straggler_check: now,
            next_replica_log: now,
        }
    }
}
