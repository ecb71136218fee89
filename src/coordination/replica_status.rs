//! The status of the replicas of services: the number that serve, and the states of the others.
//!
//! Called by the leader's periodic work, for the log only. This module changes no state except the
//! time of its next log line.

use super::state::{LeaderState, Machine, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;

/// The number of replicas in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Replicas {
    /// On machines that send heartbeats.
    pub serving: u32,
    /// On silent machines, or in a zone that is cut off; these replicas most likely still run.
    pub unreachable: u32,
    /// On machines that are being released, whose release the cloud has not confirmed yet.
    pub leaving: u32,
    /// Requested to stop.
    pub stopping: u32,
    /// Waiting for their image on a machine.
    pub fetching: u32,
    /// Being recorded, or started but not yet reported by the machine.
    pub starting: u32,
    /// Without a machine.
    pub waiting: u32,
}

impl Replicas {
    /// The number of replicas that don't serve, or may not serve.
    pub fn missing(&self) -> u32 {
        self.unreachable + self.leaving + self.stopping + self.fetching + self.starting + self.waiting
    }
}

impl LeaderState {
    /// Counts the replicas of live services by state.
    pub fn replicas(&self, cluster: &ClusterConfig, now: Micros) -> Replicas {
        let silence = Self::max_heartbeat_age(cluster);
        let mut all = Replicas::default();
        for job in self.jobs.values().filter(|j| j.is_service() && j.may_run()) {
            all.waiting += job.waiting.len() as u32;
            for placement in job.placements.values() {
                let machine = self.machines.get(&placement.machine);
                let is_unreachable =
                    |m: &Machine| now.since(m.last_heartbeat) > silence || self.failures.zones.is_cut_off(&m.zone);
                *match (machine, placement) {
                    (None, _) => &mut all.leaving,
                    (Some(m), _) if m.state == MachineState::Releasing => &mut all.leaving,
                    (
                        _,
                        Placement {
                            stop_grace_s: Some(_), ..
                        },
                    ) => &mut all.stopping,
                    (Some(m), Placement { phase, .. }) => match phase {
                        PlacementPhase::Seen(TaskPhase::Fetching) => &mut all.fetching,
                        PlacementPhase::Seen(_) if is_unreachable(m) => &mut all.unreachable,
                        PlacementPhase::Seen(_) => &mut all.serving,
                        PlacementPhase::Committing | PlacementPhase::Sent => &mut all.starting,
                        PlacementPhase::Exited(_) => &mut all.waiting,
                    },
                } += 1;
            }
        }
        all
    }

    /// Logs the number of replicas in each state, once a second while replicas are missing.
    pub fn log_replicas(&mut self, cluster: &ClusterConfig, now: Micros) {
        if now < self.failures.next_replica_log || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.failures.next_replica_log = now + Micros::from_secs(1.0);
        let replicas = self.replicas(cluster, now);
        if replicas.missing() > 0 {
            tracing::debug!(
                serving = replicas.serving,
                unreachable = replicas.unreachable,
                leaving = replicas.leaving,
                stopping = replicas.stopping,
                fetching = replicas.fetching,
                starting = replicas.starting,
                waiting = replicas.waiting,
                "replicas"
            );
        }
    }
}
