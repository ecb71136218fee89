//! Preemption: which tasks are stopped so that work which comes before them can start.
//!
//! The last step of a scheduling pass. Victims are asked to stop here; the waiting tasks start in a
//! later pass, when the agents' heartbeats show that capacity is free.
//!
//! Invariant: a task is stopped only if that lets a waiting one start, and work of a priority is
//! never stopped for work of a lower one.

use super::super::state::{Job, LeaderState, MachineId, Placement, PlacementPhase};
use super::super::{ClusterConfig, JobId};
use super::candidates::CandidateMachine;
use super::pass::Pass;
use super::queue::JobQueue;
use super::quota::QuotaLedger;
use super::rules::{allowed, is_best_effort};
use super::{EPSILON, GUARANTEE_PATIENCE, MAX_PREEMPTION_EXAMINED, PREEMPTION_INTERVAL};
use crate::coordination::state::Resources;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Only what has run for less than this is stopped for a guarantee: older work loses more than the
/// guarantee gains, and capacity becomes idle soon enough.
const YOUNG: Micros = Micros::from_millis(4000);
/// Waiting tasks of one job that work is preempted for in one pass.
const MAX_TASKS: usize = 64;
/// Grace that a victim gets to save its work, in multiples of what its job says it needs.
const GRACE_FACTOR: f64 = 1.2;

/// A task that may be stopped.
struct Victim {
    /// Whether it has not been asked to stop yet.
    is_running: bool,
    priority: Priority,
    placed_at: Micros,
    team: String,
    job: JobId,
    task: u32,
    /// What it gives back.
    resources: Resources,
}

/// A task that is to be stopped.
struct Preemption {
    job: JobId,
    task: u32,
}

impl Victim {
    /// Tasks that are already asked to stop come first, then the lowest and youngest.
    fn sort(victims: &mut [Victim]) {
        victims.sort_by_key(|v| (v.is_running, v.priority, Reverse(v.placed_at)));
    }

    /// The preemption of this task; `None` if it is asked to stop already.
    fn preemption(self) -> Option<Preemption> {
        self.is_running.then_some(Preemption {
            job: self.job,
            task: self.task,
        })
    }
}

impl LeaderState {
    /// Preempts work for what is still waiting, if enough time has passed since the last attempt:
    /// freed capacity shows in the heartbeats of its machines, and before they come the same
    /// victims would be found again.
    pub(super) fn preempt_if_due(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        if pass.now < self.scheduler.next_preemption_at {
            return;
        }
        self.scheduler.next_preemption_at = pass.now + PREEMPTION_INTERVAL;
        for (team, usage) in pass.quota.teams() {
            let over = usage.cpus - cluster.guarantee(team).0;
            pass.cpus_over_guarantee.insert(team.clone(), over);
        }
        let any_low = self
            .jobs
            .values()
            .any(|j| j.held_tasks > 0 && j.priority == Priority::Low && !j.is_service());
        for id in &queue.order {
            if pass.preemption_examined > MAX_PREEMPTION_EXAMINED {
                break;
            }
            let Some(job) = self.jobs.get(id) else { continue };
            if is_entitled_to_preempt(job, queue.guaranteed.contains(id), any_low, pass.now) {
                self.preempt_for(pass, cluster, id, &queue.guaranteed);
            }
        }
    }

    /// Stops work so that waiting tasks of this job can start, unless enough is being stopped
    /// already. What was started last is stopped first: it loses the least.
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
            let grace_s = victim.map_or(0.0, |j| j.spec.save_s * GRACE_FACTOR);
            self.stop(&preemption.job, preemption.task, grace_s, pass.now);
        }
    }

    /// Victims on machines that the job may use, where its team's limit admits it. Machines that
    /// have a service's image come first.
    fn preemptions_on_machines(
        &self,
        pass: &mut Pass,
        cluster: &ClusterConfig,
        job: &Job,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<Preemption> {
        let mut wanted = job.waiting.len().min(MAX_TASKS);
        let mut preemptions = vec![];
        let with_image = self.candidates_with_image(job);
        let others = (0..pass.candidates.len()).filter(|i| !with_image.contains(i));
        for index in with_image.iter().copied().chain(others) {
            if wanted == 0 {
                break;
            }
            pass.preemption_examined += 1;
            let candidate = &pass.candidates[index];
            if !self.allows(&job.spec, candidate) || job.failed_machines.contains(&candidate.name) {
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

    /// Candidates that have the image of a service; none for other jobs.
    fn candidates_with_image(&self, job: &Job) -> BTreeSet<usize> {
        match self.image_locations.get(job.spec.image.as_str()) {
            Some(locations) if job.is_service() => locations
                .iter()
                .filter_map(|name| self.machines.get(name).and_then(|m| m.candidate_index))
                .collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Victims for a job that its team's limit stops: only work of its own team helps, and only
    /// production may preempt it, if a machine has enough free for a task.
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

    /// Work of lower priority of the job's own team: as much as lets its tasks start, and nothing
    /// if none could start even so.
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
        for _ in 0..job.waiting.len().min(MAX_TASKS) {
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

    /// Whether a job's tasks may run on a candidate, whatever is free there.
    fn allows(&self, spec: &JobSpec, candidate: &CandidateMachine) -> bool {
        let kind = &self.scheduler.kinds[candidate.kind];
        allowed(spec, &kind.machine_type, &kind.zone, kind.spot)
    }

    /// Tasks on a machine that may be stopped, in the order in which they are: those that are
    /// asked to stop already, and those that `is_preemptible` says.
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

    /// Whether a machine that has the service's image could take a task of it if work of lower
    /// priority stopped: that is faster than fetching the image elsewhere.
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

/// Whether work may be preempted for a job: for production at once; after a wait for high priority
/// and for work within its team's guarantee, and for all but low priority if low-priority work
/// runs.
fn is_entitled_to_preempt(job: &Job, is_guaranteed: bool, any_low: bool, now: Micros) -> bool {
    if job.waiting.is_empty() || job.is_suspect(now) {
        return false;
    }
    let has_waited = now.since(job.arrived_at) >= GUARANTEE_PATIENCE;
    let reclaims_from_low = any_low && job.priority > Priority::Low;
    job.priority == Priority::Production
        || (has_waited && (is_guaranteed || job.priority == Priority::High || reclaims_from_low))
}

/// Whether a task of `other` may be stopped for `job`: one of lower priority that can still be done
/// in its time, or a young one beyond its team's guarantee for work within a guarantee.
fn is_preemptible_by(
    pass: &Pass,
    cluster: &ClusterConfig,
    job: &Job,
    guaranteed: &BTreeSet<JobId>,
    other: &Job,
    placement: &Placement,
) -> bool {
    let is_young = pass.now.since(placement.placed_at) < YOUNG;
    let can_spare = job.priority == Priority::Production || is_young || is_best_effort(cluster, other, pass.now);
    let over_guarantee = || {
        let over = pass.cpus_over_guarantee.get(&other.spec.team);
        over.copied().unwrap_or(0.0) >= other.spec.cpus
    };
    (other.priority < job.priority && can_spare)
        || (guaranteed.contains(&job.id)
            && is_young
            && other.priority <= job.priority
            && other.spec.team != job.spec.team
            && !guaranteed.contains(&other.id)
            && over_guarantee())
}

/// Takes victims on one machine, the first of the list first, until each of up to `wanted` tasks
/// fits; counts down `wanted`. What is taken for a task that does not fit in the end runs on, but
/// stays counted as free for the rest of the pass.
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

/// What a team uses beyond its limit; below zero its limit has that much left.
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

    /// Removes tasks, the first of the list first, until nothing is in excess, and returns their
    /// indices in ascending order. Those that use nothing of what is in excess are passed over.
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
