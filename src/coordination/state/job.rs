//! An open job as the leader knows it: its tasks, their placements and how far each is recorded.
//!
//! Owns the facts about one job. The log writer, the scheduler and heartbeat processing change
//! them; the rules that tie a job's facts to those of its machines are in the parent module.
//!
//! Invariants: a task is in `waiting` only while its state is [`TaskState::Waiting`] and the job is
//! live; `held_tasks` is the number of placements that have not exited.

use crate::coordination::decision_log::{Decided, Decision};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::objectives::JobObjective;
use crate::coordination::scheduling::pools::ClassKey;
use crate::coordination::state::MachineId;
use crate::coordination::JobId;
use crate::protocol::agents::{Cause, TaskPhase};
use crate::protocol::users::{JobSpec, Priority, Shape};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A replica that has run for longer than this is taken to work.
const STABLE_RUN_TIME: Micros = Micros::from_millis(20_000);

/// A job that fails on at least this many machines may itself be the cause.
const SUSPECT_MACHINES: usize = 2;

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It has no placement.
    Waiting,
    /// It has a placement that is not proven void.
    Placed,
    /// Completed, but not yet durably recorded.
    Finished,
    /// Completed and recorded.
    Recorded,
}

/// The stage of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPhase {
    /// Its record is being committed; nothing has been sent.
    Committing,
    /// Recorded; the start may be on its way.
    Sent,
    /// The machine has reported it, in this phase.
    Seen(TaskPhase),
    /// The machine has reported its exit, for this cause.
    Exited(Cause),
}

/// An attempt at a task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The number of the attempt, unique within the task's range.
    pub attempt: u64,
    /// The machine it was placed on.
    pub machine: MachineId,
    /// The incarnation of the machine's agent that it was placed on.
    pub incarnation: u64,
    /// The highest term under which a start was sent or may have been.
    pub fencing_token: u64,
    /// Its stage.
    pub phase: PlacementPhase,
    /// Whether this process has sent a start, directly or in the answer to a heartbeat, or an
    /// earlier leader may have.
    pub sent: bool,
    /// It was asked to stop, with this grace period in seconds.
    pub stop_grace_s: Option<f64>,
    /// When it was first asked to stop, if it was.
    pub stop_requested_at: Micros,
    /// Started on the helper machines rather than in the pool of its class.
    pub on_helper_machine: bool,
    /// When it was placed, and once its record is committed, when that was.
    pub placed_at: Micros,
    /// When it was first seen running, if it was.
    pub running_since: Option<Micros>,
    /// Found in the write-ahead log of an earlier leader. When it really began to run is not
    /// known, so its remaining run time can't be derived from `running_since`.
    pub restored: bool,
}

impl Placement {
    /// Whether this leadership may send its start.
    ///
    /// A record found in the log may have been freed by the leader that made it, and its resources
    /// given to other work, before that was written: its start is never sent again. Either a
    /// machine lists the task, or the record is proven void.
    pub fn may_be_sent(&self) -> bool {
        let sends_any = is_injected(InjectedFault::SendsInheritedStarts);
        self.phase == PlacementPhase::Sent && (!self.restored || sends_any)
    }

    /// Whether it still uses resources of its machine. An exit frees these at once, although the
    /// record stays until the outcome is durable.
    pub fn uses_resources(&self) -> bool {
        !matches!(self.phase, PlacementPhase::Exited(_))
    }
}

/// A range of a job's tasks that is recorded as one.
#[derive(Clone, Debug, Default)]
pub struct TaskRange {
    /// The highest attempt number used in the range.
    pub last_attempt: u64,
    /// The segment of the write-ahead log with the last full record of it.
    pub recorded_in: Option<u64>,
    /// Since when it differs from what the log says.
    pub dirty_since: Option<Micros>,
    /// The priority under which its starts are queued for the log.
    pub queued_priority: Option<Priority>,
    /// Tasks completed since the log last recorded the range.
    pub completed: BTreeSet<u32>,
    /// Tasks whose placements were proven void since the log last recorded the range.
    pub voided: BTreeSet<u32>,
}

/// Run times of completed tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompletedRuns {
    /// Their sum, in seconds.
    pub total_s: f64,
    /// How many there are.
    pub count: u32,
}

impl CompletedRuns {
    /// Adds the run time of one task, in seconds.
    pub fn record(&mut self, ran_s: f64) {
        self.total_s += ran_s;
        self.count += 1;
    }

    /// The mean run time in seconds; not a number if there are none.
    pub fn mean_s(&self) -> f64 {
        self.total_s / f64::from(self.count)
    }
}

/// The counts of a job that are shown to users.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProgressCounts {
    /// Tasks that have completed.
    pub finished: u32,
    /// Tasks that run.
    pub running: u32,
}

/// An open job.
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What its user submitted.
    pub spec: JobSpec,
    /// The revision at which it was accepted.
    pub acceptance_revision: u64,
    /// The version of the key that the job has of its own while it is open; 0: it has none,
    /// because it was accepted in a page.
    pub key_version: u64,
    /// When this leader learnt of its cancellation.
    pub cancelled_at: Option<Micros>,
    /// Until when, as far as is known, nobody had confirmed its cancellation to its user.
    pub cancel_unconfirmed_until: Micros,
    /// The version of the job's key that records the cancellation, if known.
    pub cancel_version: Option<u64>,
    /// The segment of the write-ahead log that describes it.
    pub described_in: Option<u64>,
    /// Its end is being committed.
    pub closing: bool,
    /// The state of each task.
    pub states: Vec<TaskState>,
    /// Tasks that may be placed.
    pub waiting: BTreeSet<u32>,
    /// The placements of its tasks, by task number.
    pub placements: BTreeMap<u32, Placement>,
    /// Tasks that use resources of machines.
    pub held_tasks: u32,
    /// Those of `held_tasks` on the helper machines.
    pub held_helper_tasks: u32,
    /// The class under which the scheduler counts it.
    pub class: Rc<ClassKey>,
    /// Its task ranges, by number.
    pub task_ranges: BTreeMap<u32, TaskRange>,
    /// Tasks that have completed.
    pub finished_tasks: u32,
    /// When it arrived in the sense of Balanced Splitting: when all jobs it depends on were done.
    pub arrived_at: Micros,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Its position among jobs of the same rank: the revision at which it arrived.
    pub queue_order: u64,
    /// It waits for jobs that it depends on: it holds nothing and asks for nothing.
    pub blocked: bool,
    /// Its own priority, or the higher one inherited from a job that depends on it.
    pub priority: Priority,
    /// When it has to be done for a job that depends on it.
    pub inherited_deadline: Option<Micros>,
    /// Consecutive failures of its tasks.
    pub consecutive_failures: u32,
    /// Until when its failures keep it from starting.
    pub backoff_until: Micros,
    /// Run times of its completed tasks.
    pub completed_runs: CompletedRuns,
    /// Machines on which it failed since a task of it last completed.
    pub failed_machines: BTreeSet<MachineId>,
    /// The counts last sent to the other controllers.
    pub published_progress: ProgressCounts,
    /// Its service level objectives; `None`: they have not been derived yet.
    pub objectives: Option<Vec<JobObjective>>,
    /// It was open under an earlier leader.
    pub restored: bool,
    /// It was restored from a log that does not say when it arrived.
    pub arrival_unknown: bool,
    /// Since when no machine that is up has had enough free resources for one of its tasks.
    pub unplaceable_since: Option<Micros>,
}

impl Job {
    /// A decision about an attempt at one of its tasks.
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

    /// A job that has just been accepted at revision `acceptance_revision`; none of its tasks is
    /// placed. `key_version`: 0 if it has no key of its own.
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
            states: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).collect(),
            placements: BTreeMap::new(),
            held_tasks: 0,
            held_helper_tasks: 0,
            class: Rc::new(ClassKey {
                gpu: spec.gpus > 0.0,
                class: spec.class.clone(),
                need: slots_per_task(&spec),
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
            failed_machines: BTreeSet::new(),
            published_progress: ProgressCounts::default(),
            objectives: None,
            restored: false,
            arrival_unknown: false,
            unplaceable_since: None,
            spec,
        }
    }

    /// Whether it is a service rather than a batch of tasks that end.
    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    /// Whether it is neither cancelled nor about to be closed.
    pub fn is_live(&self) -> bool {
        self.cancelled_at.is_none() && !self.closing
    }

    /// Sets the priority under which it is scheduled.
    ///
    /// With an inherited priority it counts as a class of its own: in the pool of its class, work
    /// of low priority would take the resources meant for what other jobs depend on, only to be
    /// preempted a moment later.
    pub fn set_priority(&mut self, priority: Priority) {
        self.priority = priority;
        let inherited = if priority == self.spec.priority { "" } else { "+" };
        self.class = Rc::new(ClassKey {
            gpu: self.class.gpu,
            class: format!("{}{inherited}", self.spec.class),
            need: self.class.need,
        });
    }

    /// Whether its tasks may start: it is live and waits for no other job.
    pub fn may_run(&self) -> bool {
        self.is_live() && !self.blocked
    }

    /// The time in seconds from its arrival until `times` times its user's deadline, which counts
    /// from the submission; `None` if it has no deadline.
    pub fn deadline_s(&self, times: f64) -> Option<f64> {
        let at = self.submitted_at + Micros::from_secs(self.spec.deadline_s? * times);
        Some(at.since(self.arrived_at).secs())
    }

    /// The earlier of its own deadline and the one inherited from a job that depends on it.
    pub fn effective_deadline(&self) -> Option<Micros> {
        let own = self.spec.deadline_s.map(|d| self.submitted_at + Micros::from_secs(d));
        match (own, self.inherited_deadline) {
            (Some(own), Some(inherited)) => Some(own.min(inherited)),
            (own, inherited) => own.or(inherited),
        }
    }

    /// Whether the job, rather than the machines, seems to be why its tasks fail: they failed on
    /// several machines and none has ever worked. It is still retried, one task now and then,
    /// because only its user may give it up.
    pub fn is_suspect(&self, now: Micros) -> bool {
        let is_stable = |p: &Placement| {
            let runs_stably = |since| now.since(since) > STABLE_RUN_TIME;
            matches!(p.phase, PlacementPhase::Seen(_)) && p.running_since.is_some_and(runs_stably)
        };
        let has_stable_replica = || self.is_service() && self.placements.values().any(is_stable);
        self.failed_machines.len() >= SUSPECT_MACHINES && self.finished_tasks == 0 && !has_stable_replica()
    }

    /// Its placements that use resources of machines.
    pub fn active_placements(&self) -> impl Iterator<Item = &Placement> {
        self.placements.values().filter(|p| p.uses_resources())
    }

    /// One more task uses resources of a machine.
    pub fn hold_task(&mut self, on_helper_machine: bool) {
        self.held_tasks += 1;
        self.held_helper_tasks += u32::from(on_helper_machine);
    }

    /// One task fewer uses resources of a machine.
    pub fn release_task(&mut self, on_helper_machine: bool) {
        self.held_tasks = self.held_tasks.saturating_sub(1);
        if on_helper_machine {
            self.held_helper_tasks = self.held_helper_tasks.saturating_sub(1);
        }
    }

    /// How many of its tasks machines report as running.
    pub fn running(&self) -> u32 {
        self.placements
            .values()
            .filter(|p| matches!(p.phase, PlacementPhase::Seen(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// The counts that are shown to users.
    pub fn progress(&self) -> ProgressCounts {
        ProgressCounts {
            finished: self.finished_tasks,
            running: self.running(),
        }
    }

    /// Removes a task's placement, which is proven void: the task may start again unless it is
    /// finished. `None` if it has no placement.
    pub fn remove_placement(&mut self, task: u32, tasks_per_range: u32) -> Option<Placement> {
        let placement = self.placements.remove(&task)?;
        if let Some(state) = self.states.get_mut(task as usize) {
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

/// The slots that one task of a job needs: its GPUs, or its CPUs if it needs none, rounded up.
pub fn slots_per_task(spec: &JobSpec) -> u32 {
    let slots = if spec.gpus > 0.0 { spec.gpus } else { spec.cpus };
    (slots.ceil() as u32).max(1)
}
