//! Finds the waiting jobs that no machine can take, so that exactly one part of the leader is
//! answerable for each job that waits.
//!
//! - The scheduler is answerable while a machine that is up, booting or claimed can take one of the
//!   job's tasks, at once or when the arrays on it have ended.
//! - Otherwise `stuck` rents a machine for the job, however few cores are missing.
//!
//! The periodic decision (`scaling`) may rent earlier, but answers for no single job: it compares
//! totals, and leaves a small or expensive shortfall to the machines that there are.
//!
//! Invariant: whether a job is without a machine depends on the machines and on the job alone, not
//! on whether the scheduler had slots to consider the job.

use super::super::scheduling::{allowed, open_zones};
use super::super::state::{
    AvoidedMachines, Job, LeaderState, Machine, MachineId, MachineState, Resources, ROUNDING_TOLERANCE,
};
use super::super::{ClusterConfig, JobId};
use crate::protocol::cloud::MachineType;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two searches for jobs without a machine.
const SEARCH_INTERVAL: Micros = Micros::from_millis(1000);

/// The properties of machines that jobs have rules about.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityKind<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// The resources that a machine has for tasks of one job, now or when the arrays on it have ended.
struct Capacity<'a> {
    /// `None` for a machine that is claimed and has no name yet.
    machine: Option<&'a MachineId>,
    resources: Resources,
    /// Whether the machine is an on-demand machine with replicas of services.
    shared_with_services: bool,
}

/// A search for a machine that can take a task of one job.
struct CapacityRequest<'a> {
    job: &'a Job,
    /// The zones where the task may start; `None`: any.
    zones: Option<Vec<String>>,
    /// Machines on which the job has failed and is not to be tried again.
    avoided: BTreeSet<MachineId>,
    /// Whether the job may use the cores that are kept free for services.
    may_use_reserve: bool,
}

impl CapacityRequest<'_> {
    fn allows(&self, kind: &CapacityKind) -> bool {
        let zones = self.zones.as_ref();
        zones.is_none_or(|zones| zones.iter().any(|zone| zone == kind.zone))
            && allowed(&self.job.spec, kind.machine_type, kind.zone, kind.spot)
    }
}

/// The capacity of all machines that can take new work, booting and claimed ones included.
#[derive(Default)]
struct Capacities<'a> {
    by_kind: BTreeMap<CapacityKind<'a>, Vec<Capacity<'a>>>,
    /// Cores on all on-demand machines beyond those that are kept free for services.
    beyond_reserve: f64,
    /// Cores that work below production may use on machines shared with services.
    beside_services: f64,
}

impl<'a> Capacities<'a> {
    fn add(&mut self, kind: CapacityKind<'a>, capacity: Capacity<'a>) {
        if !kind.spot {
            self.beyond_reserve += capacity.resources.cpus;
        }
        if capacity.shared_with_services {
            self.beside_services += capacity.resources.cpus;
        }
        self.by_kind.entry(kind).or_default().push(capacity);
    }

    /// Returns whether any machine can take a task of the job.
    fn can_take(&self, request: &CapacityRequest) -> bool {
        let mut allowed_kinds = self.by_kind.iter().filter(|(kind, _)| request.allows(kind));
        allowed_kinds.any(|(kind, capacities)| {
            self.leaves_reserve(kind, request) && capacities.iter().any(|capacity| self.fits(capacity, request))
        })
    }

    /// Returns whether a task of the job leaves the on-demand machines the cores that are kept free
    /// for services. The scheduler starts it only then.
    fn leaves_reserve(&self, kind: &CapacityKind, request: &CapacityRequest) -> bool {
        kind.spot || request.may_use_reserve || self.beyond_reserve + ROUNDING_TOLERANCE >= request.job.spec.cpus
    }

    fn fits(&self, capacity: &Capacity, request: &CapacityRequest) -> bool {
        let spec = &request.job.spec;
        let is_reserve_left = !capacity.shared_with_services
            || request.may_use_reserve
            || self.beside_services + ROUNDING_TOLERANCE >= spec.cpus;
        let is_avoided = capacity.machine.is_some_and(|name| request.avoided.contains(name));
        capacity.resources.fits(spec) && is_reserve_left && !is_avoided
    }
}

impl LeaderState {
    /// Updates [`Job::without_machine_since`] of all jobs, if a search is due. `had_agent_contact`
    /// is as for [`LeaderState::supplied_cores`].
    pub(super) fn find_jobs_without_machine(&mut self, cluster: &ClusterConfig, had_agent_contact: bool, now: Micros) {
        if now < self.provisioning.next_search_at {
            return;
        }
        self.provisioning.next_search_at = now + SEARCH_INTERVAL;
        let without_machine = self.jobs_without_machine(cluster, had_agent_contact, now);
        for job in self.jobs.values_mut() {
            job.without_machine_since = if without_machine.contains(&job.id) {
                job.without_machine_since.or(Some(now))
            } else {
                None
            };
        }
    }

    fn jobs_without_machine(&self, cluster: &ClusterConfig, had_agent_contact: bool, now: Micros) -> BTreeSet<JobId> {
        let capacities = self.capacities(cluster, had_agent_contact, now);
        let all_zones = cluster.zones();
        let is_without = |job: &&Job| {
            let request = CapacityRequest {
                job,
                zones: open_zones(job, &self.machines, &all_zones),
                avoided: self.machines_to_avoid(job, AvoidedMachines::NoProofExpected, now),
                may_use_reserve: job.may_use_service_reserve(now),
            };
            !capacities.can_take(&request)
        };
        self.jobs
            .values()
            .filter(|job| job.may_run() && !job.waiting.is_empty() && job.may_claim_machine(now))
            .filter(is_without)
            .map(|job| job.id.clone())
            .collect()
    }

    fn capacities<'a>(&'a self, cluster: &'a ClusterConfig, had_agent_contact: bool, now: Micros) -> Capacities<'a> {
        let mut capacities = Capacities {
            by_kind: BTreeMap::new(),
            beyond_reserve: -self.service_reserve(),
            beside_services: -self.service_reserve(),
        };
        for machine in self.machines.values() {
            let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) else {
                continue;
            };
            let is_expected = self.counted_share(machine, machine_type, had_agent_contact, now) > 0.0;
            if is_expected && self.is_usable(cluster, machine, now) {
                let kind = CapacityKind {
                    machine_type: &machine.machine_type,
                    zone: &machine.zone,
                    spot: machine.spot,
                };
                capacities.add(kind, self.capacity(machine, machine_type));
            }
        }
        for claim in self.provisioning.unanswered_claims() {
            let is_cut_off = self.failures.zones.is_cut_off(&claim.zone);
            if let (Some(machine_type), false) = (cluster.catalogue.get(&claim.machine_type), is_cut_off) {
                let kind = CapacityKind {
                    machine_type: &claim.machine_type,
                    zone: &claim.zone,
                    spot: claim.spot,
                };
                let capacity = Capacity {
                    machine: None,
                    resources: Resources::of_machine(machine_type),
                    shared_with_services: false,
                };
                capacities.add(kind, capacity);
            }
        }
        capacities
    }

    /// Returns the capacity of a machine: all of it, less what services use, which do not end.
    fn capacity<'a>(&self, machine: &'a Machine, machine_type: &MachineType) -> Capacity<'a> {
        let mut resources = Resources::of_machine(machine_type);
        if machine.service_tasks > 0 {
            let jobs = machine.tasks.iter().filter_map(|(id, task)| {
                let job = self.jobs.get(id).filter(|job| job.is_service())?;
                job.placements.get(task).filter(|p| p.uses_resources()).map(|_| job)
            });
            for job in jobs {
                resources -= Resources::of_task(&job.spec);
            }
        }
        Capacity {
            machine: Some(&machine.name),
            resources,
            shared_with_services: machine.service_tasks > 0 && !machine.spot && machine.state == MachineState::Up,
        }
    }
}
