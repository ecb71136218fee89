//! Where the replicas of services are, for the log: what of them serves, and what each of
//! the others waits for. Reads facts only.

use super::state::{LeaderState, Machine, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;

/// Replicas by what becomes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Replicas {
    /// On machines that are heard.
    pub serving: u32,
    /// On silent machines, or in a zone that is cut off: most likely they run.
    pub unheard: u32,
    /// On machines that have been given up; the cloud has yet to say that they are gone.
    pub leaving: u32,
    /// Told to stop.
    pub stopping: u32,
    /// Waiting for their image on a machine.
    pub fetching: u32,
    /// Started, and nothing was heard of it yet, or not yet recorded.
    pub starting: u32,
    /// Without a machine.
    pub waiting: u32,
}

impl Replicas {
    /// Those that do not serve, or may not.
    pub fn missing(&self) -> u32 {
        self.unheard + self.leaving + self.stopping + self.fetching + self.starting + self.waiting
    }
}

impl LeaderState {
    /// Where the replicas of live services are.
    pub fn replicas(&self, cluster: &ClusterConfig, now: Micros) -> Replicas {
        let quiet = Self::work_silence(cluster);
        let mut all = Replicas::default();
        for job in self.jobs.values().filter(|j| j.is_service() && j.may_run()) {
            all.waiting += job.waiting.len() as u32;
            for p in job.placements.values() {
                let machine = self.machines.get(&p.machine);
                let unheard = |m: &Machine| now.since(m.last_heartbeat) > quiet || self.failures.zones.is_cut(&m.zone);
                *match (machine, p) {
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
                        PlacementPhase::Seen(_) if unheard(m) => &mut all.unheard,
                        PlacementPhase::Seen(_) => &mut all.serving,
                        PlacementPhase::Committing | PlacementPhase::Sent => &mut all.starting,
                        PlacementPhase::Exited(_) => &mut all.waiting,
                    },
                } += 1;
            }
        }
        all
    }

    /// Tells it, each second while replicas are missing.
    pub fn log_replicas(&mut self, cluster: &ClusterConfig, now: Micros) {
        if now < self.failures.next_replica_log || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.failures.next_replica_log = now + Micros::from_secs(1.0);
        let r = self.replicas(cluster, now);
        if r.missing() > 0 {
            tracing::debug!(
                serving = r.serving,
                unheard = r.unheard,
                leaving = r.leaving,
                stopping = r.stopping,
                fetching = r.fetching,
                starting = r.starting,
                waiting = r.waiting,
                "replicas"
            );
        }
    }
}
