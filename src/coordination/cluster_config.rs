//! The settings and the cluster-wide facts that all components of a controller read.
//!
//! The settings don't change while the process runs. The catalogue and the limits are updated by
//! the components that receive new values.

use crate::protocol::cloud::MachineType;
use crate::settings::{Settings, Team};
use crate::time::Micros;
use glenhaven_store_limits::Limits;
use std::collections::{BTreeMap, BTreeSet};

/// The settings and facts that all components read.
pub struct ClusterConfig {
    /// This controller's settings.
    pub settings: Settings,
    /// The cloud's machine types by name; empty until the cloud has answered.
    pub catalogue: BTreeMap<String, MachineType>,
    /// The limits of the state service.
    pub limits: Limits,
    /// A running controller that has not announced this release or a later one, if there is any.
    pub outdated_peer: Option<String>,
}

impl ClusterConfig {
    /// Creates the configuration at the start of the process, which contains only the settings.
    pub fn new(settings: Settings) -> ClusterConfig {
        ClusterConfig {
            limits: settings.params.state.limits(),
            settings,
            catalogue: BTreeMap::new(),
            outdated_peer: None,
        }
    }

    /// The zones of the cloud's catalogue, in order.
    pub fn zones(&self) -> Vec<String> {
        let zones: BTreeSet<&String> = self.catalogue.values().flat_map(|t| &t.zones).collect();
        zones.into_iter().cloned().collect()
    }

    /// The number of controllers, this one included.
    pub fn nodes(&self) -> usize {
        self.settings.peers.len() + 1
    }

    /// The age at which the last verified read of the term and of cancellations is too old for
    /// renewing leases: a lease renewed just before this age still ends within `cancel_s` of a
    /// cancellation that is unknown here. The margin covers clock drift.
    pub fn max_watermark_age(&self) -> Micros {
        let workers = &self.settings.params.workers;
        Micros::from_secs((workers.cancel_s - workers.lease_s) * 0.99 - 1.0)
    }

    /// The limits of a team for CPUs and GPUs. A limit of 0 in the settings means no limit, which is
    /// returned as infinity. A team that is not in the settings has a limit of 0.
    pub fn limits(&self, team: &str) -> (f64, f64) {
        let or_infinite = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        self.team(team).map_or((0.0, 0.0), |team| {
            (or_infinite(team.cpus_max), or_infinite(team.gpus_max))
        })
    }

    /// The CPUs and GPUs that a team is guaranteed.
    pub fn guarantee(&self, team: &str) -> (f64, f64) {
        self.team(team).map_or((0.0, 0.0), |team| (team.cpus, team.gpus))
    }

    fn team(&self, name: &str) -> Option<&Team> {
        self.settings.params.teams.iter().find(|team| team.name == name)
    }
}
