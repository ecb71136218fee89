//! The leader's state: open jobs, the machines that they run on, and the state of each component.
//!
//! [`LeaderState`] is built from the state service and from agents' heartbeats when this controller
//! becomes the leader, and dropped when it steps down. Each component (scheduling, agents,
//! provisioning, failure detection, the write-ahead log) owns one field of [`LeaderState`] and is
//! in the module of that name; this module owns the jobs and machines themselves.
//!
//! This module performs no I/O. Invariants: nothing is sent for a placement before its record is in
//! the log, and no placement is removed without a [`VoidProof`](void_proof::VoidProof).

mod images;
mod job;
mod job_events;
mod job_failures;
mod machine;
mod placements;
mod resources;
pub mod void_proof;

use super::agents::AgentChannels;
use super::audit::Audit;
use super::dependencies::BlockedJobs;
use super::failure_detection::FailureDetector;
use super::invariants::InvariantMonitor;
use super::log::LogWriter;
use super::provisioning::Provisioning;
use super::reservation::Reservations;
use super::scheduling::Scheduler;
use super::{Context, JobId};
use crate::protocol::agents::Heartbeat;
use crate::protocol::peer::Progress;
use crate::time::Micros;
use glenhaven_objectives::SloAccounting;
pub use images::ImageIndex;
pub use job::{slots_per_task, CompletedRuns, Job, Placement, PlacementPhase, ProgressCounts, TaskRange, TaskState};
pub use job_events::EarlyJobEvent;
pub use job_failures::AvoidedMachines;
pub use machine::{CachedImage, Machine, MachineId, MachineKind, MachineState};
pub use resources::{Resources, ROUNDING_TOLERANCE};
use std::collections::{BTreeMap, BTreeSet};

/// The half-life of the counts in the SLO accounting of classes and teams.
const SLO_HALF_LIFE: Micros = Micros::from_millis(120_000);
/// The number of tasks in a task range until it is set according to the state service's limits.
const TASKS_PER_RANGE: u32 = 64;
/// The maximum number of jobs whose counts are sent to the other controllers at a time.
const PROGRESS_BATCH: usize = 500;

/// The leader's state.
pub struct LeaderState {
    /// A number that distinguishes this leadership from other ones of the same process. Responses
    /// of the state service to requests of an earlier leadership are dropped.
    pub incarnation: u64,
    /// The term of this leadership, which is the fencing token of the leader's commands.
    pub term: u64,
    /// When this leadership began.
    pub started_at: Micros,
    /// Since when this leader has received messages without interruption. The silence of machines
    /// and controllers counts from here at the earliest.
    pub listening_since: Micros,
    /// Open jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Rented machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that the cloud has released. Late heartbeats and listings of them are ignored.
    pub released_machines: BTreeSet<MachineId>,
    /// The machines that have each image.
    pub image_locations: ImageIndex,
    /// The write-ahead log: what is recorded in it and what has yet to be.
    pub log_writer: LogWriter,
    /// Pools, scheduling passes and their timers.
    pub scheduler: Scheduler,
    /// Commands that are sent to agents outside of responses to their heartbeats.
    pub agents: AgentChannels,
    /// Rented machines and rental requests.
    pub provisioning: Provisioning,
    /// The reachability of controllers and zones.
    pub failures: FailureDetector,
    /// Broken invariants, and the decisions that preceded them.
    pub invariants: InvariantMonitor,
    /// Whether something has changed that requires a scheduling pass.
    pub needs_scheduling: bool,
    /// The number of tasks in a task range.
    pub tasks_per_range: u32,
    /// Heartbeats that were received before the write-ahead log was read.
    pub early_heartbeats: Vec<EarlyHeartbeat>,
    /// Changes of jobs that were received before the write-ahead log was read.
    pub early_events: Vec<EarlyJobEvent>,
    /// The reason why the term must be raised; `None` if it need not be.
    pub new_term_reason: Option<NewTermReason>,
    /// The term that this leadership began with. A heartbeat with this fencing token or a higher
    /// one shows what was on its machine after all earlier leaderships.
    pub first_term: u64,
    /// The cancellation watermark: every cancellation that was confirmed to a user before this time
    /// is known to this leader.
    pub cancellation_watermark: Micros,
    /// Machines that may still have, or get, a task of a cancelled job some time after the task was
    /// requested to stop.
    pub unsettled_machines: BTreeSet<MachineId>,
    /// What each class and team requested and got.
    pub slo: SloAccounting,
    /// Jobs with dependencies that the leader has to check.
    pub blocked_jobs: BlockedJobs,
    /// Machines that are reserved for large tasks.
    pub reservations: Reservations,
    /// The search for accepted jobs that this leader does not have.
    pub audit: Audit,
    /// The last revision at which a job is known to have been accepted.
    pub last_acceptance_revision: u64,
    /// The time of day at the start of this process's clock, in milliseconds since 1970.
    pub clock_origin_ms: u64,
}

/// A heartbeat that was received before the leader could answer it.
pub struct EarlyHeartbeat {
    /// Where the heartbeat came from.
    pub origin: HeartbeatOrigin,
    /// What the agent reported.
    pub heartbeat: Heartbeat,
    /// When a controller received the heartbeat.
    pub received_at: Micros,
}

/// Where a heartbeat came from, and so where its response has to be sent.
pub enum HeartbeatOrigin {
    /// The agent sent the heartbeat in the request with this number.
    Agent(u64),
    /// The named controller forwarded the heartbeat under this number.
    Controller(String, u64),
    /// The named controller had kept the agent's last heartbeat; no response is sent.
    Cached(String),
}

/// Why a leader must raise its term: only a higher fencing token proves that a start sent under
/// the old one can no longer be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewTermReason {
    /// A task was requested to stop, and its machine neither lists the task nor refuses its start.
    UnwantedStart,
    /// A job was cancelled while a start of one of its tasks may be in flight.
    StartOfCancelledJob,
    /// Many ended attempts may be forgotten only under a higher fencing token than that of their
    /// starts.
    EndedAttempts,
}

impl NewTermReason {
    /// Returns the reason in the form in which it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            NewTermReason::UnwantedStart => "a start that is no longer wanted may still be on its way",
            NewTermReason::StartOfCancelledJob => "a start of a cancelled job may still be on its way",
            NewTermReason::EndedAttempts => "many ended attempts can only be forgotten under a higher term",
        }
    }
}

impl LeaderState {
    /// Creates the state of a leader that has not read the write-ahead log yet.
    pub fn new(incarnation: u64, term: u64, now: Micros) -> LeaderState {
        LeaderState {
            incarnation,
            term,
            started_at: now,
            listening_since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            released_machines: BTreeSet::new(),
            image_locations: ImageIndex::default(),
            log_writer: LogWriter::default(),
            scheduler: Scheduler::new(now),
            agents: AgentChannels::new(now),
            provisioning: Provisioning::new(now),
            failures: FailureDetector::new(now),
            invariants: InvariantMonitor::new(now),
            needs_scheduling: true,
            tasks_per_range: TASKS_PER_RANGE,
            early_heartbeats: vec![],
            early_events: vec![],
            new_term_reason: None,
            first_term: term,
            cancellation_watermark: Micros::ZERO,
            unsettled_machines: BTreeSet::new(),
            slo: SloAccounting::new(SLO_HALF_LIFE),
            blocked_jobs: BlockedJobs::default(),
            reservations: Reservations::default(),
            audit: Audit::default(),
            last_acceptance_revision: 0,
            clock_origin_ms: 0,
        }
    }

    /// Returns the number of machines in the state [`MachineState::Up`], some of which may have
    /// failed since their last heartbeat.
    pub fn up_machines(&self) -> u32 {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count() as u32
    }

    /// Responds with status 503 to agents whose heartbeats still wait for a response, and drops the
    /// state. Called when this leadership ends.
    pub fn abandon(self, context: &mut Context) {
        for early in self.early_heartbeats {
            if let HeartbeatOrigin::Agent(id) = early.origin {
                context.reply(id, 503, vec![], Some(1));
            }
        }
    }

    /// Continues this leadership under a higher term.
    pub fn term_raised(&mut self, term: u64) {
        self.term = term;
        self.new_term_reason = None;
    }

    /// Returns the counts of a job that are shown to users; `None` if the job is not open.
    pub fn progress(&self, job: &str) -> Option<ProgressCounts> {
        self.jobs.get(job).map(Job::progress)
    }

    /// Returns the counts that have changed since they were last returned, for at most
    /// `PROGRESS_BATCH` jobs; later calls return the others.
    pub fn changed_progress(&mut self) -> Vec<Progress> {
        let mut changed = vec![];
        for job in self.jobs.values_mut() {
            let counts = job.progress();
            if counts != job.published_progress && changed.len() < PROGRESS_BATCH {
                job.published_progress = counts;
                changed.push(Progress {
                    id: job.id.to_string(),
                    done: counts.finished,
                    running: counts.running,
                });
            }
        }
        changed
    }
}
