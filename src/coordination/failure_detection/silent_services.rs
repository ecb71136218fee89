//! Machines with services that fall silent one by one, and which of them are given up early.
//!
//! Most such machines hang or are dead, and their services are down; some are only cut off, and
//! their services keep running. Both cases look alike until the leases end. Giving a machine up
//! early costs a restart if its services still run, and saves most of a lease of downtime if they
//! do not. So machines are given up as far as their services fit on machines whose heartbeats
//! arrive. The proof that a machine is gone is still the cloud's confirmation of its release, which
//! then comes sooner than the end of the lease.
//!
//! Called by the check for failed machines; decides only and changes no state.

use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState};
use crate::coordination::{timing, ClusterConfig};
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// If a larger share of the machines is silent, their heartbeats are more likely lost on the way,
/// and none of them is given up early.
const MAX_SILENT_SHARE: f64 = 0.45;

impl LeaderState {
    /// Selects the machines to give up before their leases end, in the order of their silence,
    /// longest first, as far as their services fit elsewhere. `silence` returns how long a machine
    /// has been silent, or `None` if the cause may lie outside the machine.
    pub fn silent_machines_to_give_up(
        &self,
        cluster: &ClusterConfig,
        silence: impl Fn(&Machine) -> Option<Micros>,
    ) -> BTreeSet<MachineId> {
        let max_silence = timing::missed_heartbeat_timeout(&cluster.settings.params.workers);
        let mut silent: Vec<(Micros, &Machine)> = vec![];
        let mut machines_up: usize = 0;
        let mut capacity = 0.0;
        for machine in self.machines.values().filter(|m| m.state == MachineState::Up) {
            machines_up += 1;
            match silence(machine) {
                Some(silence) if silence > max_silence => silent.push((silence, machine)),
                Some(_) if !machine.spot && machine.interruption_at.is_none() => {
                    capacity += self.service_capacity(cluster, machine);
                }
                _ => {}
            }
        }
        if silent.len() as f64 > machines_up as f64 * MAX_SILENT_SHARE {
            return BTreeSet::new();
        }
        silent.sort_by_key(|(silence, machine)| (Reverse(*silence), machine.name.clone()));
        let mut given_up = BTreeSet::new();
        for (_, machine) in silent.into_iter().filter(|(_, m)| m.service_tasks > 0) {
            let cores = self.service_cores(machine);
            if cores > capacity {
                break;
            }
            capacity -= cores;
            given_up.insert(machine.name.clone());
        }
        given_up
    }

    /// Cores that services hold on a machine.
    fn service_cores(&self, machine: &Machine) -> f64 {
        let services = machine.tasks.iter().filter_map(|(id, _)| self.jobs.get(id));
        services.filter(|j| j.is_service()).map(|j| j.spec.cpus).sum()
    }

    /// Cores that services can get on a machine: free ones, and those of work that would be
    /// preempted for services.
    fn service_capacity(&self, cluster: &ClusterConfig, machine: &Machine) -> f64 {
        let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) else {
            return 0.0;
        };
        let jobs = machine.tasks.iter().filter_map(|(id, _)| self.jobs.get(id));
        let lower = jobs.filter(|j| j.spec.priority < Priority::Production);
        (machine_type.cpus - machine.used.cpus).max(0.0) + lower.map(|j| j.spec.cpus).sum::<f64>()
    }
}
