//! What the leader knows: open jobs, the machines they run on, and the owners of its duties.
//!
//! [`LeaderState`] is built from the state service and from agents' heartbeats when this
//! controller becomes the leader, and dropped when it steps down. Each duty (scheduling, agents,
//! provisioning, failure detection, the write-ahead log) owns one field of it and lives in the
//! module of that name; this module owns the jobs and machines themselves.
//!
//! It performs no I/O. Nothing may be sent for a placement before its record is in the log, and no
//! placement is removed without a [`VoidProof`](void_proof::VoidProof).

mod images;
mod job;
mod job_events;
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
pub use machine::{CachedImage, Machine, MachineId, MachineKind, MachineState};
pub use resources::{Resources, ROUNDING_TOLERANCE};
use std::collections::{BTreeMap, BTreeSet};

/// The half-life of the accounting of classes and teams.
const SLO_HALF_LIFE: Micros = Micros::from_millis(120_000);
/// Tasks of a job that are recorded as one range.
const TASKS_PER_RANGE: u32 = 64;
/// Jobs whose counts are sent to the other controllers at once.
const PROGRESS_BATCH: usize = 500;

/// The leader's state.
pub struct LeaderState {
    /// A number that tells this leadership from other ones of the same process: answers of the
    /// state service to an earlier one are dropped.
    pub incarnation: u64,
    /// The term that it leads in, which is the fencing token of its commands.
    pub term: u64,
    /// When this leadership began.
    pub started_at: Micros,
    /// Since when this leader has received messages without a break: silence of others counts
    /// from here at the earliest.
    pub listening_since: Micros,
    /// Open jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Rented machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines proven gone; their late heartbeats and listings mean nothing.
    pub released_machines: BTreeSet<MachineId>,
    /// Which machines have an image.
    pub image_locations: ImageIndex,
    /// The write-ahead log: what is recorded and what is still to be.
    pub log_writer: LogWriter,
    /// Pools, queue passes and their timers.
    pub scheduler: Scheduler,
    /// What is sent to agents outside of answers to their heartbeats.
    pub agents: AgentChannels,
    /// Machines rented and asked for.
    pub provisioning: Provisioning,
    /// Which controllers and zones are reachable.
    pub failures: FailureDetector,
    /// Broken invariants, and the decisions that preceded them.
    pub invariants: InvariantMonitor,
    /// Something has changed that the scheduler should look at.
    pub needs_scheduling: bool,
    /// Tasks of a job that are recorded as one range.
    pub tasks_per_range: u32,
    /// Heartbeats that came before the log was read.
    pub early_heartbeats: Vec<EarlyHeartbeat>,
    /// Changes of jobs that came before the log was read.
    pub early_events: Vec<EarlyJobEvent>,
    /// Why the term must be raised, if it must.
    pub new_term_reason: Option<NewTermReason>,
    /// The term that this leadership began with: a heartbeat with this token or a higher one says
    /// what was on its machine after all earlier leaderships.
    pub first_term: u64,
    /// Every cancellation that was confirmed before this is in the write-ahead log.
    pub cancellation_watermark: Micros,
    /// Machines on which a cancelled job's task may be, or may come to be, for some time.
    pub unsettled_machines: BTreeSet<MachineId>,
    /// What each class and team asked for and got.
    pub slo: SloAccounting,
    /// Jobs that depend on others, as far as the leader has to look at them.
    pub blocked_jobs: BlockedJobs,
    /// Machines that are drained for large tasks.
    pub reservations: Reservations,
    /// Accepted jobs that this leader does not know.
    pub audit: Audit,
    /// The last revision at which a job is known to have been accepted.
    pub last_acceptance_revision: u64,
    /// The time of day at the start of this process's clock, in milliseconds since 1970.
    pub clock_origin_ms: u64,
}

/// A heartbeat that came before it could be answered.
pub struct EarlyHeartbeat {
    /// Where it came from.
    pub origin: HeartbeatOrigin,
    /// What the agent reported.
    pub heartbeat: Heartbeat,
    /// When a controller received it.
    pub received_at: Micros,
}

/// Where a heartbeat came from, and so who waits for its answer.
pub enum HeartbeatOrigin {
    /// The agent itself; the number of its request.
    Agent(u64),
    /// The named controller forwarded it; the controller's number for it.
    Controller(String, u64),
    /// The named controller remembered it; nobody waits.
    Memory(String),
}

/// Why a leader must raise its term: only a higher fencing token proves that a start sent under
/// the old one can no longer be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewTermReason {
    /// A task was asked to stop, and its machine neither lists it nor refuses its start.
    UnwantedStart,
    /// A job was cancelled while a start of it may be on its way.
    StartOfCancelledJob,
}

impl NewTermReason {
    /// The reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            NewTermReason::UnwantedStart => "a start that is no longer wanted may still be on its way",
            NewTermReason::StartOfCancelledJob => "a start of a cancelled job may still be on its way",
        }
    }
}

impl LeaderState {
    /// A leader that has read nothing yet.
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

    /// How many machines are up, or believed to be.
    pub fn working_machines(&self) -> u32 {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count() as u32
    }

    /// Answers every agent that still waits, when another controller leads.
    pub fn abandon(self, context: &mut Context) {
        for early in self.early_heartbeats {
            if let HeartbeatOrigin::Agent(id) = early.origin {
                context.reply(id, 503, vec![], Some(1));
            }
        }
    }

    /// This leadership goes on under a higher term.
    pub fn term_raised(&mut self, term: u64) {
        self.term = term;
        self.new_term_reason = None;
    }

    /// The counts of a job that are shown to users; `None` if it is not open here.
    pub fn progress(&self, job: &str) -> Option<ProgressCounts> {
        self.jobs.get(job).map(Job::progress)
    }

    /// The counts that changed since the last call; those of some jobs only, if there are many.
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
