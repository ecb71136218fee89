//! An open job as the leader holds it: its tasks, their placements and what is recorded of them.

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

/// A replica that has run for this long does well.
const RUNS_WELL: Micros = Micros::from_millis(20_000);

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Waiting,
    Placed,
    /// Completed, but not yet durably recorded.
    Finished,
    /// Completed and recorded.
    Recorded,
}

/// How far a placement has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPhase {
    /// Its record is being committed; nothing has been sent.
    Committing,
    /// Recorded; the start may be on its way.
    Sent,
    /// The machine has reported it.
    Seen(TaskPhase),
    /// The machine has reported its exit.
    Exited(Cause),
}
/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    pub attempt: u64,
    pub machine: MachineId,
    pub incarnation: u64,
    /// The highest term under which a start was sent or may have been.
    pub fencing_token: u64,
    pub phase: PlacementPhase,
    /// Whether this process has sent a start, directly or in an answer, or an earlier leader may
    /// have.
    pub sent: bool,
    /// Asked to stop, with this grace in seconds.
    pub stop: Option<f64>,
    pub stop_at: Micros,
    /// Started on the helpers rather than in its class's pool.
    pub helper: bool,
    pub since: Micros,
    pub running_since: Option<Micros>,
    /// Found in the book: when it really began to run is not known, and what is
    /// left of its time must not be taken for all of it.
    pub restored: bool,
}

impl Placement {
    /// Whether this leadership may send its start. A record that was found in the log may have been
    /// freed by the leader that made it, and its room given to other work, before that was
    /// written: its start is never sent again. Either a machine lists the task, or the record is
    /// proven void.
    pub fn may_be_sent(&self) -> bool {
        let sends_any = is_injected(InjectedFault::SendsInheritedStarts);
        self.phase == PlacementPhase::Sent && (!self.restored || sends_any)
    }
}

/// A part of a job's records.
#[derive(Clone, Debug, Default)]
pub struct TaskRange {
    pub last_attempt: u64,
    /// The segment of the write-ahead log with the last full record of it.
    pub recorded_in: Option<u64>,
    /// Since when it differs from what the book says.
    pub dirty: Option<Micros>,
    /// Where starts of it stand in the queue of those to be recorded.
    pub queued: Option<Priority>,
    /// Tasks that have completed, and whose placements are void, since then.
    pub done: BTreeSet<u32>,
    pub void: BTreeSet<u32>,
}

/// An open job.
pub struct Job {
    pub id: JobId,
    pub spec: JobSpec,
    /// The revision at which it was accepted: its place in the order of acceptance.
    pub version: u64,
    /// The version that its own key has while it is open; 0: there is none.
    pub key_version: u64,
    pub cancelled: Option<Micros>,
    /// Up to then nobody had confirmed its cancellation, as far as is known.
    pub cancel_unconfirmed_until: Micros,
    /// Version of the job's key that says so, if known.
    pub cancel_version: u64,
    /// The segment of the write-ahead log that describes it.
    pub described_in: Option<u64>,
    /// Its end is being committed.
    pub closing: bool,
    pub states: Vec<TaskState>,
    pub waiting: BTreeSet<u32>,
    pub placements: BTreeMap<u32, Placement>,
    /// Tasks that take room on machines, and those of them on the helpers: an
    /// exit frees room at once, though the record stays until the outcome is
    /// durable.
    pub held: u32,
    pub on_helpers: u32,
    /// The class of the job: its need in slots, and what it is.
    pub class: Rc<ClassKey>,
    pub task_ranges: BTreeMap<u32, TaskRange>,
    pub finished: u32,
    /// When it came, in the paper's sense: when all it needs was done.
    pub arrived: Micros,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Its place among those of its rank: the revision at which it came.
    pub order: u64,
    /// It waits for jobs that it needs: it holds nothing and asks for nothing.
    pub blocked: bool,
    /// Its own, or what a job that needs it has.
    pub priority: Priority,
    /// When it has to be done for a job that needs it.
    pub inherited_due: Option<Micros>,
    /// Failures in a row, and until when they keep the job from starting.
    pub failures: u32,
    pub not_before: Micros,
    /// Run times of completed tasks: their sum in seconds, and their number.
    pub runs: (f64, u32),
    /// Machines it failed on since a task of it last completed.
    pub failed_on: BTreeSet<MachineId>,
    pub last_published: (u32, u32),
    /// What is expected of it; `None`: it has not been looked at.
    pub objectives: Option<Vec<JobObjective>>,
    /// An earlier leader had it; and when it came is not known.
    pub restored: bool,
    pub arrival_unknown: bool,
    /// Since when no machine that is up has had room for it.
    pub stuck_since: Option<Micros>,
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

    pub fn new(id: &str, spec: JobSpec, version: u64, key_version: u64, now: Micros) -> Job {
        let tasks = spec.tasks;
        Job {
            id: id.into(),
            version,
            key_version,
            cancelled: None,
            cancel_unconfirmed_until: Micros::ZERO,
            cancel_version: 0,
            described_in: None,
            closing: false,
            states: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).collect(),
            placements: BTreeMap::new(),
            held: 0,
            on_helpers: 0,
            class: Rc::new(ClassKey {
                gpu: spec.gpus > 0.0,
                class: spec.class.clone(),
                need: need(&spec),
            }),
            task_ranges: BTreeMap::new(),
            finished: 0,
            arrived: now,
            submitted_at: now,
            order: version,
            blocked: false,
            priority: spec.priority,
            inherited_due: None,
            failures: 0,
            not_before: Micros::ZERO,
            runs: (0.0, 0),
            failed_on: BTreeSet::new(),
            last_published: (0, 0),
            objectives: None,
            restored: false,
            arrival_unknown: false,
            stuck_since: None,
            spec,
        }
    }

    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    pub fn is_live(&self) -> bool {
        self.cancelled.is_none() && !self.closing
    }

    /// It is treated as having this priority. With a lent one it counts as a class of its
    /// own: in the pool of a class, work of low priority would take the room that is meant for
    /// what others need, only to be stopped for it a moment later.
    pub fn set_priority(&mut self, priority: Priority) {
        self.priority = priority;
        let lent = if priority == self.spec.priority { "" } else { "+" };
        self.class = Rc::new(ClassKey {
            gpu: self.class.gpu,
            class: format!("{}{lent}", self.spec.class),
            need: self.class.need,
        });
    }

    /// Whether its tasks may start: it lives, and waits for no other job.
    pub fn may_run(&self) -> bool {
        self.is_live() && !self.blocked
    }

    /// How long after its arrival so many times the time that its user gave it is over;
    /// that time counts from its submission.
    pub fn deadline_s(&self, times: f64) -> Option<f64> {
        let at = self.submitted_at + Micros::from_secs(self.spec.deadline_s? * times);
        Some(at.since(self.arrived).secs())
    }

    /// When it has to be done by its own time or that of a job that needs it.
    pub fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline_s.map(|d| self.submitted_at + Micros::from_secs(d));
        match (own, self.inherited_due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the job itself, and not machines, seems to be why its tasks fail:
    /// they failed on several machines and none has ever done well. It is tried
    /// on, one task now and then, because only its user may give it up.
    pub fn is_suspect(&self, now: Micros) -> bool {
        let runs = |p: &Placement| {
            matches!(p.phase, PlacementPhase::Seen(_)) && p.running_since.is_some_and(|at| now.since(at) > RUNS_WELL)
        };
        self.failed_on.len() >= 2 && self.finished == 0 && !(self.is_service() && self.placements.values().any(runs))
    }

    /// Placements that take room on machines.
    pub fn holding(&self) -> impl Iterator<Item = &Placement> {
        self.placements
            .values()
            .filter(|p| !matches!(p.phase, PlacementPhase::Exited(_)))
    }

    /// One task fewer takes room.
    pub fn vacates(&mut self, helper: bool) {
        self.held = self.held.saturating_sub(1);
        if helper {
            self.on_helpers = self.on_helpers.saturating_sub(1);
        }
    }

    pub fn running(&self) -> u32 {
        self.placements
            .values()
            .filter(|p| matches!(p.phase, PlacementPhase::Seen(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// The task's proof of being on a machine is void: it may start again,
    /// unless it is finished.
    pub fn free(&mut self, task: u32, tasks_per_range: u32) -> Option<Placement> {
        let placement = self.placements.remove(&task)?;
        if let Some(state) = self.states.get_mut(task as usize) {
            if *state == TaskState::Placed {
                *state = TaskState::Waiting;
                self.waiting.insert(task);
            }
        }
        self.task_ranges
            .entry(task / tasks_per_range)
            .or_default()
            .void
            .insert(task);
        Some(placement)
    }
}

/// Slots one task holds: its GPUs, or its CPUs rounded up.
pub fn need(spec: &JobSpec) -> u32 {
    let slots = if spec.gpus > 0.0 { spec.gpus } else { spec.cpus };
    (slots.ceil() as u32).max(1)
}
