//! Starts the waiting tasks of one job, as far as slots, the team's limit and machines allow.
//!
//! Called by the steps of a scheduling pass. A start is a decision in memory: the placement is
//! committed to the leader's log and sent to the agent afterwards.
//!
//! Invariant: no start is decided that the team's limit does not admit.

use super::super::decision_log::Decided;
use super::super::log::queues::QueuedStarts;
use super::super::log::LogWriter;
use super::super::state::{AvoidedMachines, Job, LeaderState, MachineId, Placement, PlacementPhase, TaskState};
use super::super::{ClusterConfig, JobId};
use super::best_fit::{BestFit, BestFitRequest};
use super::candidates::KindGroups;
use super::pass::{Pass, SlotSource};
use super::pools::ClassKey;
use super::quota::TeamUsage;
use super::rules::{is_best_effort, zones_of};
use super::{IMAGE_WAIT, MAX_STARTS};
use crate::protocol::users::Priority;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Why no more tasks of a job are started.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum StartOutcome {
    /// The slot source has no slots left for the job.
    OutOfSlots,
    /// No task waits, the limit of the team or of the pass is reached, or no machine fits.
    Otherwise,
}

/// The conditions that apply to all starts of a job in one call.
struct StartPlan {
    /// Whether only machines that have the image are used, because waiting for one of them takes
    /// less time than fetching the image elsewhere.
    only_with_image: bool,
    best_effort: bool,
    is_suspect: bool,
    /// Machines on which the job has failed and is not to be tried again.
    avoided_machines: BTreeSet<MachineId>,
    /// Number of the job's tasks in each zone; empty if the job has no zone rule.
    task_zones: BTreeMap<String, u32>,
    /// Computed on first use.
    kind_groups: Option<KindGroups>,
}

/// One decided start.
struct Start<'a> {
    job: &'a JobId,
    task: u32,
    fit: BestFit,
    source: SlotSource,
    /// What the team used before this start.
    team_usage: TeamUsage,
}

impl LeaderState {
    /// Starts tasks of a job, in the order in which they wait, until no more can start.
    pub(super) fn start_job(
        &mut self,
        pass: &mut Pass,
        cluster: &ClusterConfig,
        id: &JobId,
        source: SlotSource,
    ) -> StartOutcome {
        let Some(mut plan) = self.plan_starts(pass, cluster, id) else {
            return StartOutcome::Otherwise;
        };
        let mut slots_taken = 0;
        while let Some(job) = self.jobs.get(id) {
            let Some(task) = job.waiting.first().copied() else {
                break;
            };
            // A suspect job is retried with one task at a time.
            if pass.starts >= MAX_STARTS || (plan.is_suspect && job.held_tasks > 0) {
                break;
            }
            if !self.has_slots(pass, &job.class, source, slots_taken) {
                return StartOutcome::OutOfSlots;
            }
            if !pass.quota.admits(cluster, &job.spec) {
                break;
            }
            let fit = self.fit_next_task(pass, job, &mut plan);
            if fit.is_some_and(|fit| plan.only_with_image && !fit.has_image) {
                break;
            }
            let Some(job) = self.jobs.get_mut(id) else { break };
            let Some(fit) = fit else {
                job.unplaceable_since.get_or_insert(pass.now);
                break;
            };
            job.unplaceable_since = None;
            let team_usage = pass.quota.of_team(&job.spec.team);
            slots_taken += job.class.slots_per_task;
            self.charge_start(pass, id, fit, source, &mut plan);
            let start = Start {
                job: id,
                task,
                fit,
                source,
                team_usage,
            };
            if self.place_task(pass, cluster, &start).is_none() {
                break;
            }
        }
        StartOutcome::Otherwise
    }

    /// Returns the conditions for all starts of the job, or `None` if it cannot start a task now.
    fn plan_starts(&self, pass: &Pass, cluster: &ClusterConfig, id: &JobId) -> Option<StartPlan> {
        let job = self.jobs.get(id)?;
        let only_with_image = job.priority == Priority::Production
            && job.is_service()
            && pass.now.since(job.arrived_at) < IMAGE_WAIT
            && self.preemption_beats_fetch(&pass.candidates, job);
        // Counting the tasks in each zone visits all tasks of the job, so this is done only for a
        // job with a zone rule.
        let task_zones = if job.spec.one_zone || job.spec.spread {
            zones_of(job, &self.machines)?
        } else {
            BTreeMap::new()
        };
        Some(StartPlan {
            only_with_image,
            best_effort: is_best_effort(cluster, job, pass.now),
            is_suspect: job.is_suspect(pass.now),
            avoided_machines: self.machines_to_avoid(job, AvoidedMachines::NotProvenSound, pass.now),
            task_zones,
            kind_groups: None,
        })
    }

    /// Whether the source has slots for one more task of the class; `slots_taken` were taken for
    /// the job since the call began.
    fn has_slots(&self, pass: &Pass, class: &ClassKey, source: SlotSource, slots_taken: u32) -> bool {
        match source {
            SlotSource::Pool => {
                let pool = self.scheduler.pools.get(class).copied().unwrap_or(0);
                pass.pool_slots_used(class) + class.slots_per_task <= pool
            }
            SlotSource::Helpers => {
                pass.helper_slots_used.of(class.gpu) + class.slots_per_task <= self.scheduler.helpers.of(class.gpu)
            }
            SlotSource::Borrowed { max_slots } => slots_taken + class.slots_per_task <= max_slots,
        }
    }

    /// Selects the machine for the job's next task. The task with which a suspect job is tried uses
    /// the cores kept free for services only if it fits nowhere else.
    fn fit_next_task(&self, pass: &mut Pass, job: &Job, plan: &mut StartPlan) -> Option<BestFit> {
        let kinds = &self.scheduler.kinds;
        let kind_groups = plan.kind_groups.get_or_insert_with(|| KindGroups::of(&job.spec, kinds));
        let mut request = BestFitRequest {
            job,
            is_suspect: plan.is_suspect,
            avoided_machines: &plan.avoided_machines,
            may_use_reserve: job.spec.priority >= Priority::Production,
            best_effort: plan.best_effort,
            task_zones: &plan.task_zones,
            kind_groups,
            kinds,
            image_locations: self.image_locations.get(job.spec.image.as_str()),
            machines: &self.machines,
            reservations: &self.reservations,
        };
        let fit = pass.best_fit(&request);
        if fit.is_some() || request.may_use_reserve == job.may_use_service_reserve(pass.now) {
            return fit;
        }
        request.may_use_reserve = true;
        pass.best_fit(&request)
    }

    /// Charges a start to the counts of the pass.
    fn charge_start(&self, pass: &mut Pass, id: &JobId, fit: BestFit, source: SlotSource, plan: &mut StartPlan) {
        let Some(job) = self.jobs.get(id) else { return };
        let kinds = &self.scheduler.kinds;
        pass.take_capacity(&job.spec, fit, kinds);
        pass.quota.charge(&job.spec);
        if job.spec.one_zone || job.spec.spread {
            let zone = &kinds[pass.candidates[fit.candidate].kind].zone;
            *plan.task_zones.entry(zone.clone()).or_default() += 1;
        }
        pass.take_slots(&job.class, source);
        pass.starts += 1;
    }

    /// Creates the placement of a start and queues it for the log. Returns `None` if the machine is
    /// gone.
    fn place_task(&mut self, pass: &mut Pass, cluster: &ClusterConfig, start: &Start) -> Option<()> {
        let job = self.jobs.get_mut(start.job)?;
        let candidate = &mut pass.candidates[start.fit.candidate];
        let machine = self.machines.get_mut(&candidate.name)?;
        let task = start.task;
        let on_helpers = !matches!(start.source, SlotSource::Pool);
        let placement = Placement {
            attempt: queue_attempt(job, task, self.tasks_per_range, &mut self.log_writer),
            machine: candidate.name.clone(),
            incarnation: machine.incarnation,
            fencing_token: self.term,
            phase: PlacementPhase::Committing,
            sent: false,
            stop_grace_s: None,
            stop_requested_at: pass.now,
            on_helper_slots: on_helpers,
            placed_at: pass.now,
            running_since: None,
            restored: false,
        };
        job.waiting.remove(&task);
        job.task_states[task as usize] = TaskState::Placed;
        let decided = log_start(job, &placement, cluster, start, self.term);
        self.invariants
            .decisions
            .record(job.decision(task, &placement, decided, pass.now));
        job.placements.insert(task, placement);
        job.held_tasks += 1;
        if on_helpers {
            job.held_helper_tasks += 1;
        }
        machine.charge(&job.spec);
        machine.expected_idle_at = machine.expected_idle_at.max(candidate.busy_until);
        machine.tasks.insert((start.job.clone(), task));
        machine.idle_since = None;
        if !start.fit.has_image {
            let known = self.image_locations.get_key_value(job.spec.image.as_str());
            let image: Rc<str> = known.map_or_else(|| job.spec.image.as_str().into(), |(name, _)| name.clone());
            if machine.fetching_images.insert(image) {
                candidate.pending_fetches += 1;
            }
        }
        Some(())
    }
}

/// Returns the number of a task's next attempt and queues its range to be committed to the log.
fn queue_attempt(job: &mut Job, task: u32, tasks_per_range: u32, log_writer: &mut LogWriter) -> u64 {
    let range_number = task / tasks_per_range;
    let range = job.task_ranges.entry(range_number).or_default();
    range.last_attempt += 1;
    let queued = *range.queued_priority.get_or_insert(job.priority);
    let starts = QueuedStarts::new(queued, job.acceptance_revision, job.id.clone(), range_number);
    log_writer.starting.insert(starts);
    range.last_attempt
}

/// Logs the usage and the limit that allowed a start, and returns them for the list of decisions.
fn log_start(job: &Job, placement: &Placement, cluster: &ClusterConfig, start: &Start, term: u64) -> Decided {
    let held = (start.team_usage.cpus, start.team_usage.gpus);
    let limit = cluster.limits(&job.spec.team);
    tracing::debug!(
        job = %job.id,
        task = start.task,
        attempt = placement.attempt,
        machine = %placement.machine,
        team = job.spec.team,
        held_cpus = held.0,
        held_gpus = held.1,
        limit_cpus = limit.0,
        limit_gpus = limit.1,
        term,
        "start allowed"
    );
    Decided::Start { held, limit }
}
