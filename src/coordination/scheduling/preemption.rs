//! Preemption: selects running tasks to stop so that waiting work with precedence can start.
//!
//! Preemption is the last step of a scheduling pass. It only requests that the victims stop; the
//! waiting tasks start in a later pass, when the agents' heartbeats show that capacity is free.
//!
//! Invariant: a task is stopped only if that lets a waiting task start, and never for work of a
//! lower priority.

use super::super::state::{AvoidedMachines, Job, LeaderState, MachineId, Placement, PlacementPhase};
use super::super::{ClusterConfig, JobId};
use super::candidates::CandidateMachine;
use super::pass::Pass;
use super::queue::JobQueue;
use super::quota::QuotaLedger;
use super::rules::{allowed, is_best_effort};
use super::{EPSILON, GUARANTEE_WAIT, MAX_PREEMPTION_EXAMINED, PREEMPTION_INTERVAL};
use crate::coordination::state::Resources;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Time after its placement during which a task is young. Only young tasks are stopped for a
/// guarantee: older tasks lose more work than the guarantee gains, and capacity becomes idle soon
/// enough.
const MAX_YOUNG_AGE: Micros = Micros::from_millis(4000);
/// Maximum number of waiting tasks of one job for which work is preempted in one pass.
const MAX_TASKS_PER_JOB: usize = 64;
/// Time that a victim gets to save its work, as a multiple of the time that its job declares.
const CHECKPOINT_GRACE_FACTOR: f64 = 1.2;

/// A task that may be stopped.
struct Victim {
    /// Whether the task has not been requested to stop yet.
    is_running: bool,
    priority: Priority,
    placed_at: Micros,
    team: String,
    job: JobId,
    task: u32,
    /// The resources that stopping the task frees.
    resources: Resources,
}

/// A task that is to be stopped.
struct Preemption {
    job: JobId,
    task: u32,
}

impl Victim {
    /// Sorts tasks that are already stopping first, then by priority, lowest first, and within a
    /// priority by age, youngest first.
    fn sort(victims: &mut [Victim]) {
        victims.sort_by_key(|v| (v.is_running, v.priority, Reverse(v.placed_at)));
    }

    /// Returns the preemption of this task, or `None` if the task is already stopping.
    fn preemption(self) -> Option<Preemption> {
        self.is_running.then_some(Preemption {
            job: self.job,
            task: self.task,
        })
    }
}

impl LeaderState {
    /// Preempts work for jobs that still wait, if [`PREEMPTION_INTERVAL`] has passed since the last
    /// attempt: machines report freed capacity in their heartbeats, and an attempt before those
    /// would find the same victims again.
    pub(super) fn preempt_if_due(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        if pass.now < self.scheduler.next_preemption_at {
            return;
        }
        self.scheduler.next_preemption_at = pass.now + PREEMPTION_INTERVAL;
        for (team, usage) in pass.quota.teams() {
            let over = usage.cpus - cluster.guarantee(team).0;
            pass.cpus_over_guarantee.insert(team.clone(), over);
        }
        let low_priority_runs = self
            .jobs
            .values()
            .any(|j| j.held_tasks > 0 && j.priority == Priority::Low && !j.is_service());
        for id in &queue.order {
            if pass.preemption_examined > MAX_PREEMPTION_EXAMINED {
                break;
            }
            let Some(job) = self.jobs.get(id) else { continue };
            if is_entitled_to_preempt(job, queue.guaranteed.contains(id), low_priority_runs, pass.now) {
                self.preempt_for(pass, cluster, id, &queue.guaranteed);
            }
        }
    }

    /// Stops work so that waiting tasks of this job can start, unless enough tasks are already
    /// stopping. Within a priority the task that was placed last stops first: it loses the least
    /// work.
    fn preempt_for(&mut self, pass: &mut Pass, cluster: &ClusterConfig, id: &JobId, guaranteed: &BTreeSet<JobId>) {
        let Some(job) = self.jobs.get(id) else { return };
        let preemptions = if pass.quota.admits(cluster, &job.spec) {
            self.preemptions_on_machines(pass, cluster, job, guaranteed)
        } else {
            self.preemptions_in_own_team(pass, cluster, job)
        };
        for preemption in preemptions {
            tracing::debug!(job = %preemption.job, task = preemption.task, for_job = %id, "task preempted");
            let victim = self.jobs.get(&preemption.job);
            let grace_s = victim.map_or(0.0, |j| j.spec.save_s * CHECKPOINT_GRACE_FACTOR);
            self.stop(&preemption.job, preemption.task, grace_s, pass.now);
        }
    }

    /// Selects victims on the machines that a job may use, if its team's limit admits the job.
    /// Machines that have a service's image come first.
    fn preemptions_on_machines(
        &self,
        pass: &mut Pass,
        cluster: &ClusterConfig,
        job: &Job,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<Preemption> {
        let mut wanted = job.claimed_tasks(pass.now).min(MAX_TASKS_PER_JOB);
        let mut preemptions = vec![];
        let avoided = self.machines_to_avoid(job, AvoidedMachines::NotProvenSound, pass.now);
        let with_image = self.candidates_with_image(job);
        let others = (0..pass.candidates.len()).filter(|i| !with_image.contains(i));
        for index in with_image.iter().copied().chain(others) {
            if wanted == 0 {
                break;
            }
            pass.preemption_examined += 1;
            let candidate = &pass.candidates[index];
            if !self.allows(&job.spec, candidate) || avoided.contains(&candidate.name) {
                continue;
            }
            let victims = self.victims(&candidate.name, |other, placement| {
                is_preemptible_by(pass, cluster, job, guaranteed, other, placement)
            });
            let freed = free_capacity(pass, index, &job.spec, victims, &mut wanted);
            preemptions.extend(freed);
        }
        preemptions
    }

    /// Returns the candidates that have the image of a service; none for other jobs.
    fn candidates_with_image(&self, job: &Job) -> BTreeSet<usize> {
        match self.image_locations.get(job.spec.image.as_str()) {
            Some(locations) if job.is_service() => locations
                .iter()
                .filter_map(|name| self.machines.get(name).and_then(|m| m.candidate_index))
                .collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Selects victims for a job that exceeds its team's limit. Only stopping work of its own team
    /// lets the job start; only production may preempt that work, and only if a machine has enough
    /// free capacity for a task.
    fn preemptions_in_own_team(&self, pass: &mut Pass, cluster: &ClusterConfig, job: &Job) -> Vec<Preemption> {
        if job.priority != Priority::Production {
            return vec![];
        }
        pass.preemption_examined += pass.candidates.len();
        let fits = |c: &CandidateMachine| c.free.fits(&job.spec) && self.allows(&job.spec, c);
        if !pass.candidates.iter().any(fits) {
            return vec![];
        }
        self.own_team_victims(&pass.quota, cluster, job)
    }

    /// Selects work of lower priority of the job's own team: as much as lets the job's tasks start,
    /// and nothing for a task that could not start even then.
    fn own_team_victims(&self, quota: &QuotaLedger, cluster: &ClusterConfig, job: &Job) -> Vec<Preemption> {
        let mut victims: Vec<Victim> = self
            .machines
            .keys()
            .flat_map(|machine| self.victims(machine, |other, _| other.priority < job.priority))
            .filter(|v| v.team == job.spec.team)
            .collect();
        Victim::sort(&mut victims);
        let mut excess = LimitExcess::of(quota, cluster, &job.spec);
        let mut preemptions = vec![];
        for _ in 0..job.waiting.len().min(MAX_TASKS_PER_JOB) {
            excess.add(&job.spec);
            let useful = excess.remove(&victims);
            if excess.is_over() {
                break;
            }
            for index in useful.into_iter().rev() {
                preemptions.extend(victims.remove(index).preemption());
            }
        }
        preemptions
    }

    /// Whether a job's tasks may run on a candidate, regardless of its free capacity.
    fn allows(&self, spec: &JobSpec, candidate: &CandidateMachine) -> bool {
        let kind = &self.scheduler.kinds[candidate.kind];
        allowed(spec, &kind.machine_type, &kind.zone, kind.spot)
    }

    /// Returns the tasks on a machine that are already stopping or that satisfy `is_preemptible`,
    /// in the order in which they are to be stopped.
    fn victims(&self, machine: &MachineId, is_preemptible: impl Fn(&Job, &Placement) -> bool) -> Vec<Victim> {
        let Some(machine) = self.machines.get(machine) else {
            return vec![];
        };
        let mut victims = vec![];
        for (id, task) in &machine.tasks {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(placement) = job.placements.get(task) else {
                continue;
            };
            let has_exited = matches!(placement.phase, PlacementPhase::Exited(_));
            if placement.stop_grace_s.is_some() || (!has_exited && is_preemptible(job, placement)) {
                victims.push(Victim {
                    is_running: placement.stop_grace_s.is_none(),
                    priority: job.priority,
                    placed_at: placement.placed_at,
                    team: job.spec.team.clone(),
                    job: id.clone(),
                    task: *task,
                    resources: Resources::of_task(&job.spec),
                });
            }
        }
        Victim::sort(&mut victims);
        victims
    }

    /// Whether a machine that has the service's image would have room for a task of the service if
    /// work of lower priority stopped: preemption is faster than fetching the image elsewhere.
    pub(super) fn preemption_beats_fetch(&self, candidates: &[CandidateMachine], job: &Job) -> bool {
        let Some(locations) = self.image_locations.get(job.spec.image.as_str()) else {
            return false;
        };
        let machines = locations.iter().filter_map(|name| self.machines.get(name));
        machines.into_iter().any(|machine| {
            let candidate = machine.candidate_index.map(|index| &candidates[index]);
            let Some(candidate) = candidate.filter(|c| self.allows(&job.spec, c)) else {
                return false;
            };
            let mut free = candidate.free;
            for (id, task) in &machine.tasks {
                let Some(other) = self.jobs.get(id) else { continue };
                let Some(placement) = other.placements.get(task) else {
                    continue;
                };
                let has_exited = matches!(placement.phase, PlacementPhase::Exited(_));
                if placement.stop_grace_s.is_some() || (other.priority < job.priority && !has_exited) {
                    free += Resources::of_task(&other.spec);
                }
            }
            free.fits(&job.spec)
        })
    }
}

/// Whether work may be preempted for a job: at once for production, and after
/// [`GUARANTEE_WAIT`] for high priority, for work within its team's guarantee and, if low-priority
/// work runs, for all work above low priority.
fn is_entitled_to_preempt(job: &Job, is_guaranteed: bool, low_priority_runs: bool, now: Micros) -> bool {
    if job.claimed_tasks(now) == 0 {
        return false;
    }
    let has_waited = now.since(job.arrived_at) >= GUARANTEE_WAIT;
    let reclaims_from_low = low_priority_runs && job.priority > Priority::Low;
    job.priority == Priority::Production
        || (has_waited && (is_guaranteed || job.priority == Priority::High || reclaims_from_low))
}

/// Whether a task of `other` may be stopped for `job`.
///
/// The task may be stopped if its priority is lower and, unless `job` is production, it is young,
/// or best effort and can therefore still be done in time. For a `job` within its team's guarantee,
/// a young task of another team may be stopped too, if its priority is no higher, its job is not
/// within that team's guarantee, and that team exceeds its guarantee by at least the task's cores.
fn is_preemptible_by(
    pass: &Pass,
    cluster: &ClusterConfig,
    job: &Job,
    guaranteed: &BTreeSet<JobId>,
    other: &Job,
    placement: &Placement,
) -> bool {
    let is_young = pass.now.since(placement.placed_at) < MAX_YOUNG_AGE;
    let is_unprotected = job.priority == Priority::Production || is_young || is_best_effort(cluster, other, pass.now);
    let over_guarantee = || {
        let over = pass.cpus_over_guarantee.get(&other.spec.team);
        over.copied().unwrap_or(0.0) >= other.spec.cpus
    };
    (other.priority < job.priority && is_unprotected)
        || (guaranteed.contains(&job.id)
            && is_young
            && other.priority <= job.priority
            && other.spec.team != job.spec.team
            && !guaranteed.contains(&other.id)
            && over_guarantee())
}

/// Selects victims on one machine, in the order of the list, until up to `wanted` tasks fit, and
/// decrements `wanted` for each of these tasks. Victims selected for a task that does not fit in
/// the end keep running, but their resources stay counted as free for the rest of the pass.
fn free_capacity(
    pass: &mut Pass,
    candidate: usize,
    spec: &JobSpec,
    victims: Vec<Victim>,
    wanted: &mut usize,
) -> Vec<Preemption> {
    let free = &mut pass.candidates[candidate].free;
    let mut victims = victims.into_iter();
    let mut preemptions = vec![];
    while *wanted > 0 {
        let mut chosen = vec![];
        while !free.fits(spec) {
            let Some(victim) = victims.next() else { break };
            *free += victim.resources;
            if victim.is_running {
                let over = pass.cpus_over_guarantee.entry(victim.team.clone()).or_default();
                *over -= victim.resources.cpus;
            }
            chosen.extend(victim.preemption());
        }
        if !free.fits(spec) {
            break;
        }
        *free -= Resources::of_task(spec);
        *wanted -= 1;
        preemptions.extend(chosen);
    }
    preemptions
}

/// What a team uses beyond its limit; a negative value is the part of the limit that is left.
struct LimitExcess {
    cpus: f64,
    gpus: f64,
}

impl LimitExcess {
    fn of(quota: &QuotaLedger, cluster: &ClusterConfig, spec: &JobSpec) -> LimitExcess {
        let usage = quota.of_team(&spec.team);
        let (max_cpus, max_gpus) = cluster.limits(&spec.team);
        LimitExcess {
            cpus: usage.cpus - max_cpus,
            gpus: usage.gpus - max_gpus,
        }
    }

    fn is_over(&self) -> bool {
        self.cpus > EPSILON || self.gpus > EPSILON
    }

    /// Adds one more task.
    fn add(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
    }

    /// Removes tasks, in the order of the list, until nothing is in excess, and returns their
    /// indices in ascending order. Tasks that use none of the resources in excess are skipped.
    fn remove(&mut self, victims: &[Victim]) -> Vec<usize> {
        let mut removed = vec![];
        for (index, victim) in victims.iter().enumerate() {
            let Resources { cpus, gpus, .. } = victim.resources;
            let helps = (self.cpus > EPSILON && cpus > 0.0) || (self.gpus > EPSILON && gpus > 0.0);
            if helps {
                self.cpus -= cpus;
                self.gpus -= gpus;
                removed.push(index);
            }
        }
        removed
    }
}
