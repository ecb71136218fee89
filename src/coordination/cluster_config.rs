//! Settings and facts that every part of a controller looks at.

use crate::protocol::cloud::MachineType;
use crate::settings::Settings;
use crate::time::Micros;
use glenhaven_store_limits::Limits;
use std::collections::BTreeMap;

/// Settings and facts that every part looks at.
pub struct ClusterConfig {
    pub settings: Settings,
    pub catalogue: BTreeMap<String, MachineType>,
    /// What the state service takes.
    pub limits: Limits,
    /// A controller that is heard and not known to run this release, or a later one.
    pub lagging: Option<String>,
}

impl ClusterConfig {
    /// Nodes in all, this one included.
    pub fn nodes(&self) -> usize {
        self.settings.peers.len() + 1
    }

    /// How long knowledge of term and cancellations may age before reports are
    /// no longer answered: a lease renewed at the last moment still ends before
    /// a cancellation unknown here is due. The margin covers drifting clocks.
    pub fn knowledge_limit(&self) -> Micros {
        let w = &self.settings.params.workers;
        Micros::from_secs((w.cancel_s - w.lease_s) * 0.99 - 1.0)
    }

    /// The limit of a team for CPUs and GPUs; 0 in the settings means none.
    pub fn limits(&self, team: &str) -> (f64, f64) {
        let open = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
        self.settings
            .params
            .teams
            .iter()
            .find(|t| t.name == team)
            .map_or((0.0, 0.0), |t| (open(t.cpus_max), open(t.gpus_max)))
    }

    /// The guarantee of a team for CPUs and GPUs.
    pub fn guarantee(&self, team: &str) -> (f64, f64) {
        self.settings
            .params
            .teams
            .iter()
            .find(|t| t.name == team)
            .map_or((0.0, 0.0), |t| (t.cpus, t.gpus))
    }
}
