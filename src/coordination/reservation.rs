//! Reservation of machines, which are drained for large tasks.
//!
//! Called at the start of a scheduling pass, which starts no tasks of other jobs on a reserved
//! machine. The crate `glenhaven-reservation` decides which machines are reserved; this module
//! determines the candidate jobs and machines. Nothing is preempted for a reservation.

use super::scheduling::allowed;
use super::state::{AvoidedMachines, Job, LeaderState, Machine, MachineId};
use super::{ClusterConfig, JobId};
use crate::protocol::cloud::MachineType;
use crate::time::Micros;
use glenhaven_reservation::{ReservableMachine, ReservationPolicy, WaitingJob};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A task is large if it takes at least this share of every machine type on which it fits.
const LARGE_SHARE: f64 = 0.5;
/// How long a job's large tasks wait before a machine is reserved for the job. Most such tasks are
/// placed within this time, which also covers the boot of a new machine.
const RESERVATION_DELAY: Micros = Micros::from_millis(30_000);
/// The largest share of the eligible machines that is reserved.
const MAX_RESERVED_SHARE: f64 = 0.1;
/// The time between two decisions about reservations.
const DECISION_INTERVAL: Micros = Micros::from_millis(500);

/// The reserved machines, and the policy that decides about them.
#[derive(Default)]
pub struct Reservations {
    policy: ReservationPolicy<MachineId, JobId>,
    next_decision_at: Micros,
}

impl Reservations {
    /// Whether a machine is reserved for a job other than `job`.
    pub fn is_reserved_against(&self, machine: &MachineId, job: &JobId) -> bool {
        self.policy.reserved_for(machine).is_some_and(|j| j != job)
    }
}

/// Whether a task of the job fits on an empty machine of this type.
fn fits(job: &Job, machine_type: &MachineType) -> bool {
    machine_type.cpus >= job.spec.cpus && machine_type.gpus >= job.spec.gpus && machine_type.memory >= job.spec.memory
}

/// Whether a task of the job takes a large share of every machine type that it fits on.
fn is_large(cluster: &ClusterConfig, job: &Job) -> bool {
    let share = |t: &MachineType| (job.spec.cpus / t.cpus.max(0.1)).max(job.spec.memory / t.memory.max(0.1));
    let types = cluster.catalogue.values().filter(|t| fits(job, t));
    types
        .map(share)
        .reduce(f64::min)
        .is_some_and(|least| least >= LARGE_SHARE)
}

/// Whether a job has found no capacity for long enough that a machine is reserved for it.
fn is_stuck(job: &Job, now: Micros) -> bool {
    job.may_run()
        && !job.waiting.is_empty()
        && job
            .unplaceable_since
            .is_some_and(|at| now.since(at) > RESERVATION_DELAY)
        && job.claimed_tasks(now) > 0
}

impl LeaderState {
    /// Decides which machines are reserved, and for which jobs, if a decision is due.
    pub fn reserve_machines(&mut self, cluster: &ClusterConfig, now: Micros) {
        if now < self.reservations.next_decision_at {
            return;
        }
        self.reservations.next_decision_at = now + DECISION_INTERVAL;
        let waiting = self.stuck_large_jobs(cluster, now);
        if waiting.is_empty() && self.reservations.policy.is_empty() {
            return;
        }
        let machines = self.reservable_machines(cluster, now);
        let avoided = self.avoided_by_jobs(&waiting, now);
        let (all, jobs) = (&self.machines, &self.jobs);
        let suits = |name: &MachineId, id: &JobId| {
            let (Some(machine), Some(job)) = (all.get(name), jobs.get(id)) else {
                return false;
            };
            let machine_type = cluster.catalogue.get(&machine.machine_type);
            machine_type.is_some_and(|t| fits(job, t))
                && allowed(&job.spec, &machine.machine_type, &machine.zone, machine.spot)
                && !avoided.get(id).is_some_and(|machines| machines.contains(name))
        };
        let max = ((machines.len() as f64 * MAX_RESERVED_SHARE) as usize).max(1);
        let policy = &mut self.reservations.policy;
        let before = policy.len();
        policy.decide(&waiting, &machines, suits, max);
        if policy.len() > before {
            tracing::info!(
                machines = policy.len(),
                jobs = waiting.len(),
                "machines reserved for tasks that nearly fill one"
            );
        }
    }

    /// The jobs with large tasks that have found no capacity for long, in the order of the queue.
    fn stuck_large_jobs(&self, cluster: &ClusterConfig, now: Micros) -> Vec<WaitingJob<JobId>> {
        let stuck = self.jobs.values().filter(|j| is_stuck(j, now));
        let mut large: Vec<&Job> = stuck.filter(|j| is_large(cluster, j)).collect();
        large.sort_by_key(|j| (Reverse(j.priority), j.queue_order));
        large
            .iter()
            .map(|j| WaitingJob {
                job: j.id.clone(),
                tasks: j.claimed_tasks(now),
            })
            .collect()
    }

    /// The machines on which each of these jobs is not to be tried again.
    fn avoided_by_jobs(&self, waiting: &[WaitingJob<JobId>], now: Micros) -> BTreeMap<JobId, BTreeSet<MachineId>> {
        let jobs = waiting.iter().filter_map(|w| self.jobs.get(&w.job));
        jobs.map(|job| {
            let avoided = self.machines_to_avoid(job, AvoidedMachines::NotProvenSound, now);
            (job.id.clone(), avoided)
        })
        .collect()
    }

    /// The machines that become empty eventually, which excludes those with tasks of services.
    fn reservable_machines(&self, cluster: &ClusterConfig, now: Micros) -> Vec<ReservableMachine<MachineId>> {
        let silence = Self::max_heartbeat_age(cluster);
        let becomes_empty = |m: &&Machine| m.accepts_work(now, silence) && m.service_tasks == 0;
        let machines = self.machines.values().filter(becomes_empty);
        machines
            .map(|m| ReservableMachine {
                machine: m.name.clone(),
                empty_at: m.expected_idle_at,
            })
            .collect()
    }
}
