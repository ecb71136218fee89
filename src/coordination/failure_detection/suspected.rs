//! Machines with services that fall silent one by one: most likely they hang or are dead,
//! and their services are down; some are only cut off, and run on. All look alike until
//! their leases end. Giving one up early costs a restart where it ran on, and saves most
//! of a lease where it did not; so it is done as far as there is room for its services
//! on machines that are heard. Gone is still proven by the cloud's 200, which is then
//! sooner than the lease.

use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState};
use crate::coordination::{timing, ClusterConfig};
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::collections::BTreeSet;

/// Where nearly half of the machines fall silent, it is rather the hearing that fails.
const MOST: f64 = 0.45;

impl LeaderState {
    /// Machines to be given up before their leases end. `unheard` says for how long each
    /// one that may be judged alone was not heard.
    pub fn early_failures(
        &self,
        cluster: &ClusterConfig,
        unheard: impl Fn(&Machine) -> Option<Micros>,
    ) -> BTreeSet<MachineId> {
        let limit = timing::heartbeat_missed(&cluster.settings.params.workers);
        let mut silent: Vec<(Micros, &Machine)> = vec![];
        let (mut up, mut room) = (0usize, 0.0);
        for m in self.machines.values().filter(|m| m.state == MachineState::Up) {
            up += 1;
            match unheard(m) {
                Some(since) if since > limit => silent.push((since, m)),
                Some(_) if !m.spot && m.interruption_at.is_none() => {
                    room += self.service_capacity_elsewhere(cluster, m)
                }
                _ => {}
            }
        }
        if silent.len() as f64 > up as f64 * MOST {
            return BTreeSet::new();
        }
        silent.sort_by_key(|(since, m)| (std::cmp::Reverse(*since), m.name.clone()));
        let mut chosen = BTreeSet::new();
        for (_, m) in silent.into_iter().filter(|(_, m)| m.service_tasks > 0) {
            let cores = self.service_cores(m);
            if cores > room {
                break;
            }
            room -= cores;
            chosen.insert(m.name.clone());
        }
        chosen
    }

    /// Cores of services on a machine.
    fn service_cores(&self, m: &Machine) -> f64 {
        let services = m.tasks.iter().filter_map(|(id, _)| self.jobs.get(id));
        services.filter(|j| j.is_service()).map(|j| j.spec.cpus).sum()
    }

    /// Cores that services get on a machine: those that are free, and those of work that
    /// is stopped for them.
    fn service_capacity_elsewhere(&self, cluster: &ClusterConfig, m: &Machine) -> f64 {
        let Some(t) = cluster.catalogue.get(&m.machine_type) else {
            return 0.0;
        };
        let jobs = m.tasks.iter().filter_map(|(id, _)| self.jobs.get(id));
        let lower = jobs.filter(|j| j.spec.priority < Priority::Production);
        (t.cpus - m.used.cpus).max(0.0) + lower.map(|j| j.spec.cpus).sum::<f64>()
    }
}
