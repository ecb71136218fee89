//! The leader's state of an open job: its tasks, their placements, and which of these are recorded
//! in the write-ahead log.
//!
//! The log writer, the scheduler and heartbeat processing change this state. The operations that
//! keep a job consistent with its machines are in the `placements` module.
//!
//! Invariants: a task is in `waiting` only while its state is [`TaskState::Waiting`] and the job is
//! live; `held_tasks` is the number of placements that have not exited.

use crate::coordination::decision_log::{Decided, Decision};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::objectives::JobObjective;
use crate::coordination::scheduling::pools::ClassKey;
use crate::coordination::state::job_failures::{JobFailures, STABLE_RUN_TIME};
use crate::coordination::state::MachineId;
use crate::coordination::JobId;
use crate::protocol::agents::{Cause, TaskPhase};
use crate::protocol::users::{JobSpec, Priority, Shape};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The number of machines on which a job must have failed before the job itself is suspected to be
/// the cause.
pub(super) const SUSPECT_JOB_MIN_MACHINES: usize = 2;
/// How long a suspect job for which a machine may be rented leaves the capacity to other work.
const SUSPECT_JOB_DEFERENCE: Micros = Micros::from_millis(30_000);

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task has no placement.
    Waiting,
    /// The task has a placement that is not proven void.
    Placed,
    /// The task has completed, but its outcome is not in the write-ahead log yet.
    Finished,
    /// The task has completed and its outcome is in the write-ahead log.
    Recorded,
}

/// The stage of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPhase {
    /// The record of the placement is being committed; no start has been sent.
    Committing,
    /// The placement is recorded; a start may be in flight.
    Sent,
    /// The machine has reported the attempt, in this phase.
    Seen(TaskPhase),
    /// The machine has reported that the attempt exited, for this cause.
    Exited(Cause),
}

/// An attempt at a task that is or may be on a machine, or whose start may still arrive there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The number of the attempt, unique within the task's range.
    pub attempt: u64,
    /// The machine that the attempt was placed on.
    pub machine: MachineId,
    /// The incarnation of the machine's agent at the time of the placement.
    pub incarnation: u64,
    /// The highest term under which a start was sent or may have been.
    pub fencing_token: u64,
    /// The stage of the placement.
    pub phase: PlacementPhase,
    /// Whether a start was or may have been sent: by this process, directly or in the response to a
    /// heartbeat, or by an earlier leader.
    pub sent: bool,
    /// The grace period in seconds with which the attempt was last requested to stop; `None` if it
    /// was not.
    pub stop_grace_s: Option<f64>,
    /// When the attempt was first requested to stop; only valid if `stop_grace_s` is set.
    pub stop_requested_at: Micros,
    /// Whether the attempt was started in the helper slots of Balanced Splitting rather than in the
    /// pool of its class.
    pub on_helper_slots: bool,
    /// When the placement was decided; once its record is committed, the time of the commit.
    pub placed_at: Micros,
    /// When the attempt was first reported as running; `None` if it has not been.
    pub running_since: Option<Micros>,
    /// Whether the placement was found in the write-ahead log of an earlier leader. The time at
    /// which such an attempt began to run is not known, so its remaining run time can't be derived
    /// from `running_since`.
    pub restored: bool,
}

impl Placement {
    /// Whether this leader may send a start for the placement.
    ///
    /// The start of a restored placement is never sent again: the leader that made its record may
    /// have removed it and given its resources to other work before it could write the removal to
    /// the log. Either a machine lists the task, or the record is proven void.
    pub fn may_be_sent(&self) -> bool {
        let sends_any = is_injected(InjectedFault::SendsInheritedStarts);
        self.phase == PlacementPhase::Sent && (!self.restored || sends_any)
    }

    /// Whether the attempt has been running for longer than `duration` at `now`.
    pub fn has_run_for(&self, duration: Micros, now: Micros) -> bool {
        self.running_since.is_some_and(|since| now.since(since) > duration)
    }

    /// Whether the attempt still uses resources of its machine. An exit releases the resources at
    /// once, although the record stays until the outcome is durable.
    pub fn uses_resources(&self) -> bool {
        !matches!(self.phase, PlacementPhase::Exited(_))
    }
}

/// A range of a job's tasks that shares one record in the write-ahead log.
#[derive(Clone, Debug, Default)]
pub struct TaskRange {
    /// The highest attempt number used in the range.
    pub last_attempt: u64,
    /// The segment of the write-ahead log with the last full record of the range.
    pub recorded_in: Option<u64>,
    /// Since when the range differs from its record in the log.
    pub dirty_since: Option<Micros>,
    /// The priority under which starts of the range are queued for the log.
    pub queued_priority: Option<Priority>,
    /// Tasks completed since the log last recorded the range.
    pub completed: BTreeSet<u32>,
    /// Tasks whose placements were proven void since the log last recorded the range.
    pub voided: BTreeSet<u32>,
}

/// Run times of completed tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompletedRuns {
    /// The sum of the run times, in seconds.
    pub total_s: f64,
    /// The number of run times.
    pub count: u32,
}

impl CompletedRuns {
    /// Adds the run time of one task, in seconds.
    pub fn record(&mut self, ran_s: f64) {
        self.total_s += ran_s;
        self.count += 1;
    }

    /// Returns the mean run time in seconds; NaN if there are none.
    pub fn mean_s(&self) -> f64 {
        self.total_s / f64::from(self.count)
    }
}

/// The counts of a job that are shown to users.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProgressCounts {
    /// Tasks that have completed.
    pub finished: u32,
    /// Tasks that machines report as running.
    pub running: u32,
}

/// An open job.
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The job's description, as submitted by its user.
    pub spec: JobSpec,
    /// The revision at which the job was accepted.
    pub acceptance_revision: u64,
    /// The version of the job's own key; 0 if the job was accepted in an acceptance page, and so
    /// has no key of its own while it is open.
    pub key_version: u64,
    /// When this leader marked the job as cancelled; `None` if the job is not cancelled.
    pub cancelled_at: Option<Micros>,
    /// The cancellation watermark at the time `cancelled_at`: no controller confirmed the
    /// cancellation to the user before this watermark.
    pub cancel_unconfirmed_until: Micros,
    /// The version of the job's key that records the cancellation, if known.
    pub cancel_version: Option<u64>,
    /// The segment of the write-ahead log that contains the job's description.
    pub described_in: Option<u64>,
    /// Whether the end of the job is being committed.
    pub closing: bool,
    /// The state of each task, by task number.
    pub task_states: Vec<TaskState>,
    /// Tasks that may be placed.
    pub waiting: BTreeSet<u32>,
    /// The placements of the job's tasks, by task number.
    pub placements: BTreeMap<u32, Placement>,
    /// The number of tasks that use resources of machines.
    pub held_tasks: u32,
    /// The number of those of `held_tasks` in the helper slots.
    pub held_helper_tasks: u32,
    /// The class under which the scheduler counts the job.
    pub class: Rc<ClassKey>,
    /// The job's task ranges, by range number.
    pub task_ranges: BTreeMap<u32, TaskRange>,
    /// The number of tasks that have completed.
    pub finished_tasks: u32,
    /// When the job arrived in the sense of Balanced Splitting: when it was accepted and all jobs
    /// that it depends on were done.
    pub arrived_at: Micros,
    /// When the job was submitted.
    pub submitted_at: Micros,
    /// The revision at which the job arrived, by which jobs of the same priority are ordered.
    pub queue_order: u64,
    /// Whether the job waits for jobs that it depends on. A blocked job holds and requests no
    /// resources.
    pub blocked: bool,
    /// The job's own priority, or the higher one inherited from a job that depends on it.
    pub priority: Priority,
    /// When the job has to be done for the jobs that depend on it; `None` if none of them has a
    /// deadline.
    pub inherited_deadline: Option<Micros>,
    /// Consecutive failures of the job's tasks.
    pub consecutive_failures: u32,
    /// Until when none of the job's tasks may start, because earlier ones failed.
    pub backoff_until: Micros,
    /// Run times of the job's completed tasks.
    pub completed_runs: CompletedRuns,
    /// Failures of the job's tasks since one last completed; those of a service are forgotten once a
    /// replica has run for long.
    pub failures: JobFailures,
    /// The counts last sent to the other controllers.
    pub published_progress: ProgressCounts,
    /// The job's service level objectives; `None` if they have not been derived yet.
    pub objectives: Option<Vec<JobObjective>>,
    /// Whether the job was open under an earlier leader.
    pub restored: bool,
    /// Whether the job was restored from a log that does not contain its arrival time.
    pub arrival_unknown: bool,
    /// Since when no machine that is up has had enough free resources for one of the job's tasks.
    pub unplaceable_since: Option<Micros>,
    /// Since when no machine that is up, booting or claimed can take one of the job's waiting tasks,
    /// even when the arrays on it have ended. Set by provisioning.
    pub without_machine_since: Option<Micros>,
}

impl Job {
    /// Returns an entry of the decision log about an attempt at one of the job's tasks.
    pub fn decision(&self, task: u32, placement: &Placement, decided: Decided, at: Micros) -> Decision {
        Decision {
            at,
            team: self.spec.team.clone(),
            job: self.id.clone(),
            task,
            attempt: placement.attempt,
            machine: placement.machine.clone(),
            decided,
        }
    }

    /// Creates a job that was accepted at revision `acceptance_revision` and arrives at `now`, with
    /// no task placed. `key_version` is 0 if the job has no key of its own.
    pub fn new(id: &str, spec: JobSpec, acceptance_revision: u64, key_version: u64, now: Micros) -> Job {
        let tasks = spec.tasks;
        Job {
            id: id.into(),
            acceptance_revision,
            key_version,
            cancelled_at: None,
            cancel_unconfirmed_until: Micros::ZERO,
            cancel_version: None,
            described_in: None,
            closing: false,
            task_states: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).collect(),
            placements: BTreeMap::new(),
            held_tasks: 0,
            held_helper_tasks: 0,
            class: Rc::new(ClassKey {
                gpu: spec.gpus > 0.0,
                class: spec.class.clone(),
                slots_per_task: slots_per_task(&spec),
            }),
            task_ranges: BTreeMap::new(),
            finished_tasks: 0,
            arrived_at: now,
            submitted_at: now,
            queue_order: acceptance_revision,
            blocked: false,
            priority: spec.priority,
            inherited_deadline: None,
            consecutive_failures: 0,
            backoff_until: Micros::ZERO,
            completed_runs: CompletedRuns::default(),
            failures: JobFailures::default(),
            published_progress: ProgressCounts::default(),
            objectives: None,
            restored: false,
            arrival_unknown: false,
            unplaceable_since: None,
            without_machine_since: None,
            spec,
        }
    }

    /// Whether the job is a service rather than a batch of tasks that end.
    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    /// Whether the job is neither cancelled nor about to be closed.
    pub fn is_live(&self) -> bool {
        self.cancelled_at.is_none() && !self.closing
    }

    /// Sets the priority under which the job is scheduled.
    ///
    /// Jobs with an inherited priority form a class of their own. In the pool of their original
    /// class, work of lower priority would take the resources meant for jobs that others depend on,
    /// only to be preempted a moment later.
    pub fn set_priority(&mut self, priority: Priority) {
        self.priority = priority;
        let inherited = if priority == self.spec.priority { "" } else { "+" };
        self.class = Rc::new(ClassKey {
            gpu: self.class.gpu,
            class: format!("{}{inherited}", self.spec.class),
            slots_per_task: self.class.slots_per_task,
        });
    }

    /// Whether the job's tasks may start: the job is live and waits for no other job.
    pub fn may_run(&self) -> bool {
        self.is_live() && !self.blocked
    }

    /// Returns the time in seconds from the job's arrival until `times` times the deadline that its
    /// user set; `None` if there is none. The deadline counts from the submission.
    pub fn deadline_s(&self, times: f64) -> Option<f64> {
        let at = self.submitted_at + Micros::from_secs(self.spec.deadline_s? * times);
        Some(at.since(self.arrived_at).secs())
    }

    /// Returns the earlier of the job's own deadline and the inherited one.
    pub fn effective_deadline(&self) -> Option<Micros> {
        let own = self.spec.deadline_s.map(|d| self.submitted_at + Micros::from_secs(d));
        match (own, self.inherited_deadline) {
            (Some(own), Some(inherited)) => Some(own.min(inherited)),
            (own, inherited) => own.or(inherited),
        }
    }

    /// Whether the job itself, rather than its machines, may be the reason why its tasks fail: they
    /// failed on several machines, no task has completed and no replica runs stably.
    ///
    /// A suspect job is tried with one task at a time, at growing intervals. It stays entitled to a
    /// machine for that task, because only its user may cancel it.
    pub fn is_suspect(&self, now: Micros) -> bool {
        let is_stable =
            |p: &Placement| matches!(p.phase, PlacementPhase::Seen(_)) && p.has_run_for(STABLE_RUN_TIME, now);
        let has_stable_replica = || self.is_service() && self.placements.values().any(is_stable);
        self.failures.machines() >= SUSPECT_JOB_MIN_MACHINES && self.finished_tasks == 0 && !has_stable_replica()
    }

    /// Whether a machine may be rented for the job now, as far as earlier failures matter. A suspect
    /// job may be tried more often on machines that other work keeps.
    pub fn may_claim_machine(&self, now: Micros) -> bool {
        !self.is_suspect(now) || (self.held_tasks == 0 && now >= self.rental_backoff_until())
    }

    /// Whether the job leaves the capacity to other work for now, because it is suspect. When
    /// `SUSPECT_JOB_DEFERENCE` is over, it claims capacity for one task like any other job.
    pub fn is_deferred(&self, now: Micros) -> bool {
        let is_within_deference = now < self.rental_backoff_until() + SUSPECT_JOB_DEFERENCE;
        self.is_suspect(now) && (self.held_tasks > 0 || is_within_deference)
    }

    fn rental_backoff_until(&self) -> Micros {
        self.backoff_until.max(self.failures.rental_backoff_until())
    }

    /// Whether the job's tasks may use the cores that are kept free for services: those of production
    /// jobs, and the single task with which a suspect job is tried.
    pub fn may_use_service_reserve(&self, now: Micros) -> bool {
        self.spec.priority >= Priority::Production || self.is_suspect(now)
    }

    /// Returns the number of waiting tasks for which the job claims capacity now, if it may run.
    pub fn claimed_tasks(&self, now: Micros) -> usize {
        if self.is_deferred(now) {
            0
        } else if self.is_suspect(now) {
            self.waiting.len().min(1)
        } else {
            self.waiting.len()
        }
    }

    /// Returns the placements that use resources of machines.
    pub fn active_placements(&self) -> impl Iterator<Item = &Placement> {
        self.placements.values().filter(|p| p.uses_resources())
    }

    /// Counts one more task that uses resources of a machine.
    pub fn hold_task(&mut self, on_helper_slots: bool) {
        self.held_tasks += 1;
        self.held_helper_tasks += u32::from(on_helper_slots);
    }

    /// Counts one task fewer that uses resources of a machine.
    pub fn release_task(&mut self, on_helper_slots: bool) {
        self.held_tasks = self.held_tasks.saturating_sub(1);
        if on_helper_slots {
            self.held_helper_tasks = self.held_helper_tasks.saturating_sub(1);
        }
    }

    /// Returns the number of tasks that machines report as running.
    pub fn running(&self) -> u32 {
        self.placements
            .values()
            .filter(|p| matches!(p.phase, PlacementPhase::Seen(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// Returns the counts that are shown to users.
    pub fn progress(&self) -> ProgressCounts {
        ProgressCounts {
            finished: self.finished_tasks,
            running: self.running(),
        }
    }

    /// Removes and returns a task's placement, which the caller has proven void; `None` if the task
    /// has none. The task may be placed again unless it has completed.
    pub fn remove_placement(&mut self, task: u32, tasks_per_range: u32) -> Option<Placement> {
        let placement = self.placements.remove(&task)?;
        if let Some(state) = self.task_states.get_mut(task as usize) {
            if *state == TaskState::Placed {
                *state = TaskState::Waiting;
                self.waiting.insert(task);
            }
        }
        let range = self.task_ranges.entry(task / tasks_per_range).or_default();
        range.voided.insert(task);
        Some(placement)
    }
}

/// Returns the number of slots that one task of a job needs: its GPUs, or its CPUs if it needs no
/// GPU, rounded up, and at least 1.
pub fn slots_per_task(spec: &JobSpec) -> u32 {
    let slots = if spec.gpus > 0.0 { spec.gpus } else { spec.cpus };
    (slots.ceil() as u32).max(1)
}
