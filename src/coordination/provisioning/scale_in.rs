//! Scale-in: releases idle machines that are not needed or are faulty.
//!
//! Machines are only marked for release here. Invariant: a machine with a task, or with an orphaned
//! attempt, is never released by scale-in.

use super::super::state::{LeaderState, Machine, MachineState};
use super::super::{timing, ClusterConfig};
use super::demand::CoresByCapacityType;
use crate::time::Micros;

impl LeaderState {
    /// Marks idle machines for release while the remaining machines supply the target, and faulty
    /// idle machines in any case.
    pub(super) fn release_idle(
        &mut self,
        cluster: &ClusterConfig,
        now: Micros,
        target: CoresByCapacityType,
        mut supply: CoresByCapacityType,
    ) {
        let min_idle = Micros::from_secs(cluster.settings.operator.idle_s);
        for machine in self.machines.values_mut() {
            let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) else {
                continue;
            };
            if machine.state != MachineState::Up || !machine.tasks.is_empty() || !machine.orphaned_attempts.is_empty() {
                machine.idle_since = None;
                continue;
            }
            if machine.interruption_at.is_some() {
                continue;
            }
            let idle = now.since(*machine.idle_since.get_or_insert(now));
            if is_faulty(machine, idle, now) {
                machine.state = MachineState::Releasing;
                self.provisioning.to_release.insert(machine.name.clone());
                continue;
            }
            if idle < min_idle {
                continue;
            }
            let of_capacity_type = *supply.of_mut(machine.spot) - machine_type.cpus;
            let total = supply.total() - machine_type.cpus;
            let is_spare = total >= target.total() && (machine.spot || of_capacity_type >= target.on_demand);
            if is_spare {
                tracing::debug!(machine = %machine.name, "idle machine marked for release");
                *supply.of_mut(machine.spot) = of_capacity_type;
                machine.state = MachineState::Releasing;
                self.provisioning.to_release.insert(machine.name.clone());
            }
        }
    }
}

/// Returns whether an idle machine is to be released as faulty. A quarantined machine is kept for
/// [`timing::QUARANTINE_RELEASE`] first, because the job of the failed tasks may be the cause.
fn is_faulty(machine: &Machine, idle: Micros, now: Micros) -> bool {
    let quarantined = machine
        .quarantined_since
        .is_some_and(|at| now.since(at) > timing::QUARANTINE_RELEASE);
    (quarantined && now < machine.quarantined_until)
        || now < machine.slow_until
        || (machine.is_asymmetrically_partitioned() && idle > timing::QUARANTINE_RELEASE)
}
