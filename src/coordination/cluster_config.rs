//! Settings and facts about the cluster that every part of a controller reads.
//!
//! The settings don't change while the process runs; the catalogue and the limits are updated by
//! the parts that learn of them.

use crate::protocol::cloud::MachineType;
use crate::settings::{Settings, Team};
use crate::time::Micros;
use glenhaven_store_limits::Limits;
use std::collections::BTreeMap;

/// Settings and facts that every part reads.
pub struct ClusterConfig {
    /// This controller's settings.
    pub settings: Settings,
    /// The cloud's machine types by name; empty until the cloud has answered.
    pub catalogue: BTreeMap<String, MachineType>,
    /// What the state service accepts.
    pub limits: Limits,
    /// A controller that is alive and not known to run this release or a later one.
    pub lagging: Option<String>,
}

impl ClusterConfig {
    /// What is known at the start: the settings.
    pub fn new(settings: Settings) -> ClusterConfig {
        ClusterConfig {
            limits: settings.params.state.limits(),
            settings,
            catalogue: BTreeMap::new(),
            lagging: None,
        }
    }

    /// The number of controllers, this one included.
    pub fn nodes(&self) -> usize {
        self.settings.peers.len() + 1
    }

    /// The age from which on knowledge of the term and of cancellations is too old for answering
    /// heartbeats: a lease renewed at the last moment still ends before a cancellation that is
    /// unknown here is due. The margin covers clock drift.
    pub fn knowledge_limit(&self) -> Micros {
        let workers = &self.settings.params.workers;
        Micros::from_secs((workers.cancel_s - workers.lease_s) * 0.99 - 1.0)
    }

    /// The limits of a team for CPUs and GPUs, infinite where the settings say 0, which means no
    /// limit. A team that the settings don't name has a limit of 0.
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
