//! Room for tasks that nearly fill a machine, in the spirit of the helpers: oldest first. Which
//! machines are held for them `glenhaven-reservation` decides.

use super::scheduling::allowed;
use super::state::{Job, LeaderState, Machine, MachineId};
use super::{ClusterConfig, JobId};
use crate::protocol::cloud::MachineType;
use crate::time::Micros;
use glenhaven_reservation::{ReservationPolicy, Waits};

/// A task is large if it takes so much of the largest machine that it may run on.
const LARGE: f64 = 0.5;
/// Large tasks wait this long for room before any is held for them: most find some, and a boot
/// is over by then.
const AFTER: Micros = Micros::from_millis(30_000);
/// Part of all machines that is held at the most.
const MOST: f64 = 0.1;
const EVERY: Micros = Micros::from_millis(500);

/// Machines that are held.
#[derive(Default)]
pub struct Reservations {
    held: ReservationPolicy<MachineId, JobId>,
    next: Micros,
}

impl Reservations {
    /// Whether a machine is held for another job.
    pub fn is_reserved_against(&self, machine: &MachineId, job: &JobId) -> bool {
        self.held.holds(machine).is_some_and(|j| j != job)
    }
}

/// Whether a machine of this type can ever hold a task of the job.
fn could_hold(job: &Job, t: &MachineType) -> bool {
    t.cpus >= job.spec.cpus && t.gpus >= job.spec.gpus && t.memory >= job.spec.memory
}

impl LeaderState {
    /// Decides which machines are left to empty, and for whom.
    pub fn reserve_machines(&mut self, cluster: &ClusterConfig, now: Micros) {
        if now < self.reservations.next {
            return;
        }
        self.reservations.next = now + EVERY;
        let stuck = |j: &&Job| {
            j.may_run()
                && !j.waiting.is_empty()
                && j.unplaceable_since.is_some_and(|at| now.since(at) > AFTER)
                && !j.is_suspect(now)
        };
        let mut large: Vec<&Job> = self
            .jobs
            .values()
            .filter(stuck)
            .filter(|j| {
                let types = cluster.catalogue.values().filter(|t| could_hold(j, t));
                let share = |t: &MachineType| (j.spec.cpus / t.cpus.max(0.1)).max(j.spec.memory / t.memory.max(0.1));
                types.map(share).reduce(f64::min).is_some_and(|s| s >= LARGE)
            })
            .collect();
        if large.is_empty() && self.reservations.held.is_empty() {
            return;
        }
        large.sort_by_key(|j| (std::cmp::Reverse(j.priority), j.queue_order));
        let waits: Vec<Waits<JobId>> = large
            .iter()
            .map(|j| Waits {
                job: j.id.clone(),
                tasks: j.waiting.len(),
            })
            .collect();
        let quiet = Self::work_silence(cluster);
        // A machine with services doesn't empty.
        let empties = |m: &&Machine| m.accepts_work(now, quiet) && m.service_tasks == 0;
        let machines: Vec<(MachineId, Micros)> = self
            .machines
            .values()
            .filter(empties)
            .map(|m| (m.name.clone(), m.expected_idle_at))
            .collect();
        let (all, jobs) = (&self.machines, &self.jobs);
        let suits = |name: &MachineId, job: &JobId| {
            let (Some(m), Some(job)) = (all.get(name), jobs.get(job)) else {
                return false;
            };
            let holds = cluster
                .catalogue
                .get(&m.machine_type)
                .is_some_and(|t| could_hold(job, t));
            holds && allowed(&job.spec, &m.machine_type, &m.zone, m.spot) && !job.failed_machines.contains(name)
        };
        let most = ((machines.len() as f64 * MOST) as usize).max(1);
        let before = self.reservations.held.len();
        self.reservations.held.decide(&waits, &machines, suits, most);
        if self.reservations.held.len() > before {
            tracing::info!(
                machines = self.reservations.held.len(),
                jobs = waits.len(),
                "machines are left to empty for tasks that nearly fill one"
            );
        }
    }
}
