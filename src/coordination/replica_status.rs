//! The state of the replicas of services: how many serve, and what each of the others waits for.
//!
//! Called by the leader's periodic work, for the log only. It reads facts and changes none.

use super::state::{LeaderState, Machine, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;

/// Replicas by their state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Replicas {
    /// On machines that send heartbeats.
    pub serving: u32,
    /// On silent machines, or in a zone that is cut off: most likely they run.
    pub unreachable: u32,
    /// On machines that are being released; the cloud has yet to confirm that they are gone.
    pub leaving: u32,
    /// Asked to stop.
    pub stopping: u32,
    /// Waiting for their image on a machine.
    pub fetching: u32,
    /// Not yet recorded, or started and not yet reported by the machine.
    pub starting: u32,
    /// Without a machine.
    pub waiting: u32,
}

impl Replicas {
    /// Those that don't serve, or may not.
    pub fn missing(&self) -> u32 {
        self.unreachable + self.leaving + self.stopping + self.fetching + self.starting + self.waiting
    }
}

impl LeaderState {
    /// The states of the replicas of live services.
    pub fn replicas(&self, cluster: &ClusterConfig, now: Micros) -> Replicas {
        let silence = Self::work_silence(cluster);
        let mut all = Replicas::default();
        for job in self.jobs.values().filter(|j| j.is_service() && j.may_run()) {
            all.waiting += job.waiting.len() as u32;
            for placement in job.placements.values() {
                let machine = self.machines.get(&placement.machine);
                let is_unreachable =
                    |m: &Machine| now.since(m.last_heartbeat) > silence || self.failures.zones.is_cut(&m.zone);
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

    /// Logs them each second while replicas are missing.
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
