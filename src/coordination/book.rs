//! The leader's book: open jobs, their tasks, placements and machines.

use super::commit::queues::Undescribed;
use super::commit::Committer;
use super::pools::{ClassKey, Estimate};
use super::workers::Outbox;
use super::{JobId, Shared, Site};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{from_value, restored, Accepted, JobValue};
use crate::protocol::peer::Progress;
use crate::protocol::store::Event;
use crate::protocol::users::{Phase, Priority, Shape, Spec};
use crate::protocol::workers::{Cause, TaskPhase};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A machine's name.
pub type MachineId = Rc<str>;

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
pub enum Stage {
    /// Its record is being committed; nothing has been sent.
    Committing,
    /// Recorded; the start may be on its way.
    Sent,
    /// The machine has reported it.
    Seen(TaskPhase),
    /// The machine has reported its exit.
    Exited(Cause),
}

/// The account of classes and teams forgets half in this time.
const ACCOUNT: Micros = Micros::from_millis(120_000);
/// Sums of cores differ by less than this from what they should be.
const OVER_LIMIT: f64 = 1e-6;
/// A replica that has run for this long does well.
const RUNS_WELL: Micros = Micros::from_millis(20_000);

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    pub attempt: u64,
    pub machine: MachineId,
    pub session: u64,
    /// The highest term under which a start was sent or may have been.
    pub fence: u64,
    pub stage: Stage,
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

/// A part of a job's records.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    pub last_attempt: u64,
    /// The page of the book that says all of it; 0: none does.
    pub base: u64,
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
    pub spec: Spec,
    /// The revision at which it was accepted: its place in the order of acceptance.
    pub version: u64,
    /// The version that its own key has while it is open; 0: there is none.
    pub stamp: u64,
    pub cancelled: Option<Micros>,
    /// Up to then nobody had confirmed its cancellation, as far as is known.
    pub unknown_at: Micros,
    /// Version of the job's key that says so, if known.
    pub cancel_version: u64,
    /// The page of the book that describes it; 0: none does.
    pub base: u64,
    /// Its end is being committed.
    pub closing: bool,
    pub states: Vec<TaskState>,
    pub waiting: BTreeSet<u32>,
    pub placed: BTreeMap<u32, Placement>,
    /// Tasks that take room on machines, and those of them on the helpers: an
    /// exit frees room at once, though the record stays until the outcome is
    /// durable.
    pub held: u32,
    pub on_helpers: u32,
    /// The class of the job: its need in slots, and what it is.
    pub class: Rc<ClassKey>,
    pub chunks: BTreeMap<u32, Chunk>,
    pub finished: u32,
    /// When it came, in the paper's sense: when all it needs was done.
    pub arrived: Micros,
    /// When it was submitted.
    pub came: Micros,
    /// Its place among those of its rank: the revision at which it came.
    pub order: u64,
    /// It waits for jobs that it needs: it holds nothing and asks for nothing.
    pub blocked: bool,
    /// Its own, or what a job that needs it has.
    pub priority: Priority,
    /// When it has to be done for a job that needs it.
    pub lent_due: Option<Micros>,
    /// Failures in a row, and until when they keep the job from starting.
    pub failures: u32,
    pub not_before: Micros,
    /// Run times of completed tasks: their sum in seconds, and their number.
    pub runs: (f64, u32),
    /// Machines it failed on since a task of it last completed.
    pub failed_on: BTreeSet<MachineId>,
    pub told: (u32, u32),
    /// What is expected of it; `None`: it has not been looked at.
    pub aims: Option<Vec<super::aims::JobAim>>,
    /// An earlier leader had it; and when it came is not known.
    pub restored: bool,
    pub ageless: bool,
    /// Since when no machine that is up has had room for it.
    pub stuck_since: Option<Micros>,
}

impl Job {
    pub fn new(id: &str, spec: Spec, version: u64, stamp: u64, now: Micros) -> Job {
        let tasks = spec.tasks;
        Job {
            id: id.into(),
            version,
            stamp,
            cancelled: None,
            unknown_at: Micros::ZERO,
            cancel_version: 0,
            base: 0,
            closing: false,
            states: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).collect(),
            placed: BTreeMap::new(),
            held: 0,
            on_helpers: 0,
            class: Rc::new(ClassKey {
                gpu: spec.gpus > 0.0,
                class: spec.class.clone(),
                need: need(&spec),
            }),
            chunks: BTreeMap::new(),
            finished: 0,
            arrived: now,
            came: now,
            order: version,
            blocked: false,
            priority: spec.priority,
            lent_due: None,
            failures: 0,
            not_before: Micros::ZERO,
            runs: (0.0, 0),
            failed_on: BTreeSet::new(),
            told: (0, 0),
            aims: None,
            restored: false,
            ageless: false,
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
        let at = self.came + Micros::from_secs(self.spec.deadline_s? * times);
        Some(at.since(self.arrived).secs())
    }

    /// When it has to be done by its own time or that of a job that needs it.
    pub fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline_s.map(|d| self.came + Micros::from_secs(d));
        match (own, self.lent_due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the job itself, and not machines, seems to be why its tasks fail:
    /// they failed on several machines and none has ever done well. It is tried
    /// on, one task now and then, because only its user may give it up.
    pub fn is_suspect(&self, now: Micros) -> bool {
        let runs = |p: &Placement| {
            matches!(p.stage, Stage::Seen(_)) && p.running_since.is_some_and(|at| now.since(at) > RUNS_WELL)
        };
        self.failed_on.len() >= 2 && self.finished == 0 && !(self.is_service() && self.placed.values().any(runs))
    }

    /// Placements that take room on machines.
    pub fn holding(&self) -> impl Iterator<Item = &Placement> {
        self.placed.values().filter(|p| !matches!(p.stage, Stage::Exited(_)))
    }

    /// One task fewer takes room.
    pub fn vacates(&mut self, helper: bool) {
        self.held = self.held.saturating_sub(1);
        if helper {
            self.on_helpers = self.on_helpers.saturating_sub(1);
        }
    }

    pub fn running(&self) -> u32 {
        self.placed
            .values()
            .filter(|p| matches!(p.stage, Stage::Seen(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// The task's proof of being on a machine is void: it may start again,
    /// unless it is finished.
    pub fn free(&mut self, task: u32, chunk_tasks: u32) -> Option<Placement> {
        let placement = self.placed.remove(&task)?;
        if let Some(state) = self.states.get_mut(task as usize) {
            if *state == TaskState::Placed {
                *state = TaskState::Waiting;
                self.waiting.insert(task);
            }
        }
        self.chunks.entry(task / chunk_tasks).or_default().void.insert(task);
        Some(placement)
    }
}

/// Slots one task holds: its GPUs, or its CPUs rounded up.
pub fn need(spec: &Spec) -> u32 {
    let slots = if spec.gpus > 0.0 { spec.gpus } else { spec.cpus };
    (slots.ceil() as u32).max(1)
}

/// How far a machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; it has never reported.
    Booting,
    Up,
    /// To be returned; nothing may start there.
    Doomed,
}

/// A rented machine.
pub struct Machine {
    pub name: MachineId,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: MachineState,
    /// When it was rented, as far as known.
    pub since: Micros,
    /// When it was rented, if this leader or the list says so.
    pub rented_at: Option<Micros>,
    pub session: u64,
    pub serial: u64,
    pub fence: u64,
    pub last_report: Micros,
    /// The controller that passed its last report on; `None`: it came here.
    pub via: Option<Rc<str>>,
    /// Reports in a row that came to another controller than the one before, though that
    /// one answered: a worker that gets no answer tries the next.
    pub moves: u32,
    /// It was asked whether it hears: when.
    pub asked_at: Micros,
    /// How many reports of it were taken in.
    pub reports: u32,
    /// The book or the list named it.
    pub named: bool,
    /// When another node last said that it keeps the machine.
    pub kept_at: Micros,
    /// When the cloud takes it away.
    pub taken_at: Option<Micros>,
    /// Tasks with records here.
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Reported tasks without a record.
    pub strangers: usize,
    /// Its kind, in the leader's list of kinds.
    pub kind: Option<usize>,
    /// CPUs, GPUs and memory that tasks take here.
    pub used: [f64; 3],
    /// Tasks of services among them.
    pub services: i32,
    /// Its place in the present scheduling pass, if it takes new work.
    pub room: Option<usize>,
    /// Images fetched here, the last used at the back.
    pub images: VecDeque<(Rc<str>, f64)>,
    /// Images that tasks placed here have yet to fetch.
    pub fetching: BTreeSet<Rc<str>>,
    pub idle_since: Option<Micros>,
    /// An outcome was recorded: the exited task may be forgotten.
    pub to_forget: bool,
    /// What it is to be sent, and which starts may be on their way to it.
    pub outbox: Outbox,
    /// Jobs whose tasks failed here lately, and how many of them; doubted
    /// machines get nothing new.
    pub faults: BTreeMap<JobId, u32>,
    pub doubted_since: Option<Micros>,
    pub doubted_until: Micros,
    pub release_sent: Option<Micros>,
    /// When the last of its tasks is expected to end.
    pub until: Micros,
    /// Until when it is taken to be slow.
    pub slow_until: Micros,
}

impl Machine {
    /// What it is as far as known: a type, a zone, and whether it is spot.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type != machine_type || self.zone != zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.kind = None;
        }
    }

    /// A task begins to take room, or no longer does.
    pub fn take(&mut self, spec: &Spec, sign: f64) {
        self.used[0] += sign * spec.cpus;
        self.used[1] += sign * spec.gpus;
        self.used[2] += sign * spec.memory;
        if spec.shape == Shape::Service {
            self.services += if sign > 0.0 { 1 } else { -1 };
        }
    }

    /// Whether something new may start here.
    pub fn takes_work(&self, now: Micros, silent: Micros) -> bool {
        self.state == MachineState::Up
            && self.taken_at.is_none()
            && !self.is_deaf()
            // A copy of a report of a machine that is long gone is not followed by another.
            && (self.reports > 1 || self.named || self.rented_at.is_some())
            && self.strangers == 0
            && now >= self.doubted_until
            && now >= self.slow_until
            && now.since(self.last_report) < silent
            && self.release_sent.is_none()
    }
}

/// A kind of machine: what decides which work may run on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
}

/// The leader's state; built from the state service and from reports, dropped
/// when another leads.
pub struct Leader {
    pub incarnation: u64,
    pub term: u64,
    pub began: Micros,
    /// Since when this leader hears others without a break: silence counts from
    /// here at the earliest.
    pub listens_since: Micros,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines proven gone; their late reports and listings mean nothing.
    pub gone: BTreeSet<MachineId>,
    pub estimate: Estimate,
    pub next_estimate: Micros,
    pub pools: BTreeMap<Rc<ClassKey>, u32>,
    pub kinds: Vec<Kind>,
    /// Which machines have an image.
    pub image_at: BTreeMap<Rc<str>, BTreeSet<MachineId>>,
    /// Machines whose outbox is not empty.
    pub outboxes: BTreeSet<MachineId>,
    /// Helper slots: cores, and GPUs.
    pub helpers: [u32; 2],
    pub committer: Committer,
    pub dirty: bool,
    pub next_schedule: Micros,
    pub last_schedule: Micros,
    /// When work may be stopped again to make room.
    pub next_room: Micros,
    pub chunk_tasks: u32,
    /// Reports and job events that came before everything was read.
    pub early_reports: Vec<(EarlyReport, crate::protocol::workers::Report, Micros)>,
    pub early_events: Vec<(String, u64, u64, JobValue)>,
    pub direct: BTreeMap<u64, super::workers::SentDirect>,
    /// Reports that came as answers to direct orders, not yet taken in.
    pub direct_reports: Vec<crate::protocol::workers::Report>,
    pub fleet: super::fleet::Fleet,
    pub boots: super::boots::Boots,
    pub new_term: Option<&'static str>,
    /// Every cancellation that was confirmed before this is in the book.
    pub proven: Micros,
    /// Machines on which a cancelled job's task may be, or come to be, for some time.
    pub unsettled: BTreeSet<MachineId>,
    pub next_machines: Micros,
    pub next_pace: Micros,
    pub next_care: Micros,
    /// When zones that were cut off were heard again.
    pub zones_back: BTreeMap<String, Micros>,
    /// When it is told next where replicas are.
    pub next_replicas: Micros,
    /// What is known of the other controllers.
    pub nodes: BTreeMap<String, super::cuts::NodeSign>,
    /// What each class and team asked for and got.
    pub account: glenhaven_served::Account,
    /// Zones that are cut off.
    pub zones: glenhaven_zones::Zones,
    /// Versions of what other nodes say they keep, as last read.
    pub care: BTreeMap<String, u64>,
    /// Jobs that name others, as far as the leader has to look at them.
    pub chained: super::chained::Chained,
    /// Machines that are left to empty for large tasks.
    pub gathered: super::gathered::Gathered,
    /// What this leader misses of what was accepted.
    pub audit: super::audit::Audit,
    /// The last revision at which a job is known to have come.
    pub last_version: u64,
    /// The time of day at the start of this process's clock, in milliseconds.
    pub day_ms: u64,
}

/// What a team's jobs hold and wait for, in cores, and how long the oldest has waited.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// What counts towards the team's limit.
    held: f64,
    /// Of it: starts that are recorded or are being recorded and that no machine has reported.
    unseen: f64,
    /// Of it: tasks that were asked to stop.
    stopping: f64,
    /// Recorded tasks that have exited and count no longer.
    exited: f64,
    wanted: f64,
    oldest: Micros,
}

impl TeamShare {
    fn count(&mut self, placement: &Placement, cpus: f64) {
        match placement.stage {
            Stage::Exited(_) => self.exited += cpus,
            Stage::Committing | Stage::Sent => self.unseen += cpus,
            Stage::Seen(_) => {}
        }
        let holds = !matches!(placement.stage, Stage::Exited(_));
        if holds && placement.stop.is_some() {
            self.stopping += cpus;
        }
    }
}

/// Whom to answer once an early report can be.
pub enum EarlyReport {
    Worker(u64),
    Peer(String, u64),
    /// Nobody: another node told it from memory.
    Recalled(String),
}

impl Leader {
    pub fn new(incarnation: u64, term: u64, now: Micros) -> Leader {
        Leader {
            incarnation,
            term,
            began: now,
            listens_since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            estimate: Estimate::default(),
            next_estimate: now,
            pools: BTreeMap::new(),
            kinds: vec![],
            image_at: BTreeMap::new(),
            outboxes: BTreeSet::new(),
            next_room: now,
            last_schedule: Micros::ZERO,
            helpers: [0, 0],
            committer: Committer::default(),
            dirty: true,
            next_schedule: now,
            chunk_tasks: 64,
            early_reports: vec![],
            early_events: vec![],
            direct: BTreeMap::new(),
            direct_reports: vec![],
            fleet: super::fleet::Fleet::new(now),
            boots: super::boots::Boots::default(),
            new_term: None,
            proven: Micros::ZERO,
            unsettled: BTreeSet::new(),
            next_machines: now,
            next_pace: now,
            next_care: now,
            zones_back: BTreeMap::new(),
            next_replicas: now,
            nodes: BTreeMap::new(),
            account: glenhaven_served::Account::new(ACCOUNT),
            zones: glenhaven_zones::Zones::default(),
            care: BTreeMap::new(),
            chained: super::chained::Chained::default(),
            gathered: super::gathered::Gathered::default(),
            audit: super::audit::Audit::default(),
            last_version: 0,
            day_ms: 0,
        }
    }

    /// Answers everyone who still waits, when another node leads.
    /// Machines that work, or are believed to.
    pub fn working_machines(&self) -> u32 {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count() as u32
    }

    pub fn abandon(self, sh: &mut Shared) {
        for (from, _, _) in self.early_reports {
            if let EarlyReport::Worker(id) = from {
                sh.reply(id, 503, vec![], Some(1));
            }
        }
    }

    pub fn term_raised(&mut self, term: u64) {
        self.term = term;
        self.new_term = None;
        self.committer.term_raised();
    }

    /// Display counts of a job.
    pub fn progress(&self, job: &str) -> Option<(u32, u32)> {
        self.jobs.get(job).map(|j| (j.finished, j.running()))
    }

    /// Display counts that changed since the last call.
    pub fn changed_progress(&mut self) -> Vec<Progress> {
        let mut out = vec![];
        for job in self.jobs.values_mut() {
            let now = (job.finished, job.running());
            if now != job.told && out.len() < 500 {
                job.told = now;
                out.push(Progress {
                    id: job.id.to_string(),
                    done: now.0,
                    running: now.1,
                });
            }
        }
        out
    }

    /// News of jobs from the state service, in the order in which they were made.
    pub fn on_job_news(&mut self, events: Vec<Event>, now: Micros) {
        for event in events {
            let Event::Put { key, value, version } = event else {
                continue;
            };
            if keys::parse_accepted(&key).is_some() {
                for spec in from_value::<Accepted>(&value).unwrap_or_default().jobs {
                    let id = spec.id.clone();
                    let phase = Phase::Pending;
                    let spec = Some(spec);
                    self.on_job_event(&id, version, 0, JobValue { phase, spec }, now);
                }
            } else if let Some(id) = key.strip_prefix(keys::JOBS) {
                if let Some(job) = from_value::<JobValue>(&value) {
                    self.on_job_event(id, version, version, job, now);
                }
            }
        }
    }

    /// News of a job from the state service.
    ///
    /// `stamp`: the version of the job's own key; 0: it was accepted in a page.
    pub fn on_job_event(&mut self, id: &str, version: u64, stamp: u64, value: JobValue, now: Micros) {
        if !self.is_loaded() {
            self.early_events.push((id.to_string(), version, stamp, value));
            return;
        }
        match (value.phase, value.spec) {
            (Phase::Cancelled, _) => {
                self.cancel(id, now);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.cancel_version = version;
                }
            }
            (Phase::Pending | Phase::Running, Some(spec)) => {
                if self.jobs.contains_key(id) || self.committer.is_closed(id) {
                    return;
                }
                let (spec, came_ms) = match restored(spec.clone()) {
                    Some((spec, came_ms)) if spec.needs.is_empty() => (spec, came_ms),
                    found => return self.hold_back(found.unwrap_or((spec, 0)), version, now),
                };
                tracing::debug!(job = id, class = spec.class, tasks = spec.tasks, "job arrived");
                self.last_version = self.last_version.max(version);
                let mut job = Job::new(id, spec, version, stamp, now);
                job.came = self.came(came_ms, now);
                self.committer
                    .undescribed
                    .insert(Undescribed::new(version, job.id.clone()));
                self.jobs.insert(job.id.clone(), job);
                self.dirty = true;
            }
            _ => {}
        }
    }

    /// The job's user cancelled it: nothing starts any more, and what is on
    /// machines is stopped.
    pub fn cancel(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.cancelled.is_some() {
            return;
        }
        tracing::debug!(job = id, on_machines = job.placed.len(), "job cancelled");
        job.cancelled = Some(now);
        job.unknown_at = self.proven;
        job.waiting.clear();
        let entry = Undescribed::new(job.version, job.id.clone());
        self.committer.undescribed.insert(entry);
        if job.placed.is_empty() {
            self.committer.ended.insert(job.id.clone());
        }
        let tasks: Vec<u32> = job.placed.keys().copied().collect();
        for task in tasks {
            self.stop(id, task, 0.0, now);
        }
        self.drop_unrecorded(id, now);
        self.dirty = true;
    }

    /// Starts of a job that is over and whose records are not on their way were
    /// never written and never sent: they are void. Kept, they would make every
    /// transaction fail on the job's key, and with them everybody else's.
    pub fn drop_unrecorded(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.is_live()) else {
            return;
        };
        let key = job.id.clone();
        let unrecorded = |(task, p): (&u32, &Placement)| {
            let flies = self.committer.carries(&key, *task);
            (p.stage == Stage::Committing && !flies).then_some(*task)
        };
        let tasks: Vec<u32> = job.placed.iter().filter_map(unrecorded).collect();
        for task in tasks {
            self.free(&key, task, now);
        }
    }

    /// Asks a task to stop, at once and again with every report's answer.
    pub fn stop(&mut self, id: &str, task: u32, grace_s: f64, now: Micros) {
        let Some(placement) = self.jobs.get_mut(id).and_then(|j| j.placed.get_mut(&task)) else {
            return;
        };
        if placement.stop.is_none() {
            placement.stop_at = now;
        }
        placement.stop = Some(grace_s);
        match (placement.stage, placement.sent) {
            // Its start is being recorded, and will not be sent.
            (Stage::Committing, _) => {}
            // Nothing was ever sent for this record, and only this leadership could have: it is
            // void without a word from the machine.
            (Stage::Sent, false) => self.free(&id.into(), task, now),
            _ => self.queue_stop(&id.into(), task),
        }
    }

    /// A task's record is void; its machine and its job forget it.
    pub fn free(&mut self, id: &JobId, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let live = job.is_live();
        if let Some(placement) = job.free(task, self.chunk_tasks) {
            if !live {
                job.waiting.remove(&task);
            }
            if job.cancelled.is_some() && job.placed.is_empty() {
                self.committer.ended.insert(id.clone());
            }
            let holds = !matches!(placement.stage, Stage::Exited(_));
            if holds {
                job.vacates(placement.helper);
            }
            if let Some(machine) = self.machines.get_mut(&placement.machine) {
                machine.tasks.remove(&(id.clone(), task));
                if holds {
                    machine.take(&job.spec, -1.0);
                }
            }
            self.touch(id, task / self.chunk_tasks, now);
            self.dirty = true;
        }
    }

    /// The machine and everything on it is gone, by the cloud's word.
    pub fn machine_gone(&mut self, name: &MachineId, now: Micros) {
        self.gone.insert(name.clone());
        while self.gone.len() > 20_000 {
            self.gone.pop_first();
        }
        self.drop_images(name);
        self.outboxes.remove(name);
        if let Some(machine) = self.machines.remove(name) {
            for (job, task) in machine.tasks {
                self.free(&job, task, now);
            }
        }
        self.dirty = true;
    }

    /// Notes that an image is used on a machine, and forgets the ones that no
    /// longer fit its cache.
    pub fn use_image(&mut self, name: &MachineId, image: &str, gb: f64, cache_gb: f64) {
        let Some(m) = self.machines.get_mut(name) else { return };
        m.fetching.remove(image);
        if m.images.back().is_some_and(|(last, _)| **last == *image) {
            return;
        }
        let image: Rc<str> = match m.images.iter().position(|(i, _)| **i == *image) {
            Some(at) => m.images.remove(at).map_or_else(|| image.into(), |i| i.0),
            None => {
                let image: Rc<str> = self
                    .image_at
                    .get_key_value(image)
                    .map_or_else(|| image.into(), |(k, _)| k.clone());
                self.image_at.entry(image.clone()).or_default().insert(name.clone());
                image
            }
        };
        m.images.push_back((image, gb));
        while m.images.len() > 1 && m.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            let Some((old, _)) = m.images.pop_front() else { break };
            if let Some(at) = self.image_at.get_mut(&old) {
                at.remove(name);
            }
        }
    }

    /// A machine's images are gone.
    pub fn drop_images(&mut self, name: &MachineId) {
        let Some(m) = self.machines.get_mut(name) else { return };
        m.fetching.clear();
        for (image, _) in std::mem::take(&mut m.images) {
            if let Some(at) = self.image_at.get_mut(&image) {
                at.remove(name);
                if at.is_empty() {
                    self.image_at.remove(&image);
                }
            }
        }
    }

    /// What each team that has jobs holds and waits for.
    fn team_shares(&self, now: Micros) -> BTreeMap<&str, TeamShare> {
        let mut shares: BTreeMap<&str, TeamShare> = BTreeMap::new();
        for job in self.jobs.values() {
            let share = shares.entry(&job.spec.team).or_default();
            share.held += f64::from(job.held) * job.spec.cpus;
            for placement in job.placed.values() {
                share.count(placement, job.spec.cpus);
            }
            if job.may_run() && !job.waiting.is_empty() {
                share.wanted += job.waiting.len() as f64 * job.spec.cpus;
                share.oldest = share.oldest.max(now.since(job.arrived));
            }
        }
        shares
    }

    /// What an operator wants to see: what each team holds and what waits.
    pub fn log_summary(&self, site: &Site, now: Micros) {
        let up = self.machines.values().filter(|m| m.state == MachineState::Up).count();
        let booting = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Booting)
            .count();
        let waiting: usize = self
            .jobs
            .values()
            .filter(|j| j.may_run())
            .map(|j| j.waiting.len())
            .sum();
        let placed: usize = self.jobs.values().map(|j| j.placed.len()).sum();
        tracing::info!(
            term = self.term,
            jobs = self.jobs.len(),
            placed,
            waiting,
            up,
            booting,
            doomed = self.machines.len() - up - booting,
            unexplained = self.machines.values().map(|m| m.strangers).sum::<usize>(),
            helpers = self.helpers[0],
            pools = ?self.pools.iter().map(|(k, v)| format!("{}x{}={}", k.class, k.need, v)).collect::<Vec<_>>(),
            "fleet"
        );
        let c = &self.committer;
        tracing::info!(
            pages = c.pages_kept(),
            transactions = c.written.transactions,
            changes = c.written.changes,
            unrecorded = c.changed.len(),
            starting = c.starting.len(),
            undescribed = c.undescribed.len(),
            "book"
        );
        let shares = self.team_shares(now);
        for team in &site.settings.params.teams {
            let share = shares.get(team.name.as_str()).copied().unwrap_or_default();
            if share.held > 0.0 || share.wanted > 0.0 {
                tracing::info!(
                    team = team.name,
                    term = self.term,
                    holds_cpus = share.held,
                    unseen_cpus = share.unseen,
                    stopping_cpus = share.stopping,
                    exited_cpus = share.exited,
                    guaranteed = team.cpus,
                    limit = team.cpus_max,
                    waiting_cpus = share.wanted,
                    oldest_wait_s = share.oldest.secs(),
                    "team"
                );
            }
            if team.cpus_max > 0.0 && share.held > team.cpus_max + OVER_LIMIT {
                tracing::error!(
                    team = team.name,
                    term = self.term,
                    holds_cpus = share.held,
                    limit = team.cpus_max,
                    "a team holds more than its limit"
                );
            }
        }
    }

    /// Whether, and why, the term must be raised.
    pub fn wants_new_term(&self, _now: Micros) -> Option<&'static str> {
        self.new_term
    }
}
