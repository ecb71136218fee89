//! The machines that a scheduling pass may place tasks on, with the free capacity of each.
//!
//! A pass builds the list once, at its start, and subtracts the resources of each task that it
//! places; placements also update the machines themselves. The list is sorted by machine name, and
//! [`Machine::candidate_index`] is the machine's index in the list until the next pass.

use super::super::state::{LeaderState, Machine, MachineId, MachineKind};
use super::super::ClusterConfig;
use super::rules::allowed;
use crate::coordination::state::Resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::time::Micros;

/// A machine that accepts new tasks, with its free capacity during a pass.
pub(super) struct CandidateMachine {
    pub(super) name: MachineId,
    /// Index of the machine's kind in the scheduler's list of kinds.
    pub(super) kind: usize,
    pub(super) free: Resources,
    /// When the last task on the machine is expected to end.
    pub(super) busy_until: Micros,
    /// Whether replicas of services run on the machine.
    pub(super) runs_services: bool,
    /// Number of images that are still to be fetched for tasks placed on the machine.
    pub(super) pending_fetches: usize,
}

impl LeaderState {
    /// Returns the index of the kind with this machine type, zone and capacity type (spot or
    /// on-demand), and adds the kind if it is new.
    pub(super) fn kind_index(&mut self, machine_type: &MachineType, zone: &str, spot: bool) -> usize {
        let same = |k: &MachineKind| k.machine_type == machine_type.name && k.zone == zone && k.spot == spot;
        self.scheduler.kinds.iter().position(same).unwrap_or_else(|| {
            self.scheduler.kinds.push(MachineKind {
                machine_type: machine_type.name.clone(),
                zone: zone.into(),
                spot,
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                memory: machine_type.memory,
                fetch_gb_per_s: machine_type.fetch_gb_per_s,
            });
            self.scheduler.kinds.len() - 1
        })
    }

    /// Returns the machines that accept new tasks now, with their free capacity, sorted by name.
    pub(super) fn candidates(&mut self, cluster: &ClusterConfig, now: Micros) -> Vec<CandidateMachine> {
        self.assign_kinds(cluster);
        let max_silence = Self::max_heartbeat_age(cluster);
        let mut candidates = Vec::with_capacity(self.machines.len());
        for machine in self.machines.values_mut() {
            machine.candidate_index = None;
            if !machine.accepts_work(now, max_silence) || self.failures.zones.is_cut_off(&machine.zone) {
                continue;
            }
            let Some(kind) = machine.kind_index else { continue };
            machine.candidate_index = Some(candidates.len());
            if machine.tasks.is_empty() {
                machine.expected_idle_at = Micros::ZERO;
                machine.fetching_images.clear();
            }
            candidates.push(candidate(machine, kind, &self.scheduler.kinds[kind]));
        }
        candidates
    }

    /// Finds the kind of each machine whose description is new or has changed.
    fn assign_kinds(&mut self, cluster: &ClusterConfig) {
        let unassigned: Vec<(MachineId, String, String, bool)> = self
            .machines
            .values()
            .filter(|m| m.kind_index.is_none() && !m.machine_type.is_empty())
            .map(|m| (m.name.clone(), m.machine_type.clone(), m.zone.clone(), m.spot))
            .collect();
        for (name, machine_type, zone, spot) in unassigned {
            let Some(machine_type) = cluster.catalogue.get(&machine_type) else {
                continue;
            };
            let kind = self.kind_index(machine_type, &zone, spot);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.kind_index = Some(kind);
            }
        }
    }
}

/// Returns the candidate for a machine of this kind.
fn candidate(machine: &Machine, kind_index: usize, kind: &MachineKind) -> CandidateMachine {
    CandidateMachine {
        name: machine.name.clone(),
        kind: kind_index,
        free: Resources {
            cpus: kind.cpus - machine.used.cpus,
            gpus: kind.gpus - machine.used.gpus,
            memory_gb: kind.memory - machine.used.memory_gb,
        },
        busy_until: machine.expected_idle_at,
        runs_services: machine.service_tasks > 0,
        pending_fetches: machine.fetching_images.len(),
    }
}

/// Indices of the kinds that a job may use, by preference.
pub(super) struct KindGroups {
    /// Kinds to use first: spot machines for a job that may use them, any allowed kind otherwise.
    pub(super) preferred: Vec<usize>,
    /// On-demand kinds for a job that may use spot machines.
    pub(super) fallback: Vec<usize>,
}

impl KindGroups {
    /// Returns the kinds that a job may use. Within a group the largest kind comes first, and equal
    /// kinds keep a fixed order, so that the machines at the end become idle when demand falls.
    pub(super) fn of(spec: &JobSpec, kinds: &[MachineKind]) -> KindGroups {
        let (mut preferred, mut fallback) = (vec![], vec![]);
        for (i, kind) in kinds.iter().enumerate() {
            if allowed(spec, &kind.machine_type, &kind.zone, kind.spot) {
                let is_fallback = spec.spot && !kind.spot;
                (if is_fallback { &mut fallback } else { &mut preferred }).push(i);
            }
        }
        for group in [&mut preferred, &mut fallback] {
            group.sort_by(|a, b| kinds[*b].cpus.total_cmp(&kinds[*a].cpus).then(a.cmp(b)));
        }
        KindGroups { preferred, fallback }
    }
}
