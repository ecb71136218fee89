//! The leader's state: open jobs and machines, and what happens to them.

mod job;
mod machine;
pub mod void_proof;

use super::agents::AgentChannels;
use super::decision_log::Decided;
use super::failure_detection::FailureDetector;
use super::fault_injection::{is_injected, InjectedFault};
use super::invariants::InvariantMonitor;
use super::log::queues::Undescribed;
use super::log::LogWriter;
use super::provisioning::Provisioning;
use super::scheduling::Scheduler;
use super::{Context, JobId};
use crate::protocol::peer::Progress;
use crate::protocol::store::WatchEvent;
use crate::protocol::users::Phase;
use crate::storage::keys;
use crate::storage::records::{from_record, from_value, Accepted, JobValue};
use crate::time::Micros;
pub use job::{need, Job, Placement, PlacementPhase, TaskRange, TaskState};
pub use machine::{Kind, Machine, MachineId, MachineState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use void_proof::VoidProof;

/// The account of classes and teams forgets half in this time.
const ACCOUNT: Micros = Micros::from_millis(120_000);

/// The leader's state; built from the state service and from reports, dropped
/// when another leads.
pub struct LeaderState {
    pub incarnation: u64,
    pub term: u64,
    pub began: Micros,
    /// Since when this leader hears others without a break: silence counts from
    /// here at the earliest.
    pub listens_since: Micros,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines proven gone; their late reports and listings mean nothing.
    pub released: BTreeSet<MachineId>,
    /// Which machines have an image.
    pub image_locations: BTreeMap<Rc<str>, BTreeSet<MachineId>>,
    pub log_writer: LogWriter,
    /// Pools, queue passes and their timers.
    pub scheduler: Scheduler,
    /// What is sent to agents outside of answers to their heartbeats.
    pub agents: AgentChannels,
    /// Machines rented and asked for.
    pub provisioning: Provisioning,
    /// Which controllers and zones are heard.
    pub failures: FailureDetector,
    /// What was found broken, and the decisions that preceded it.
    pub invariants: InvariantMonitor,
    pub dirty: bool,
    pub tasks_per_range: u32,
    /// Reports and job events that came before everything was read.
    pub early_heartbeats: Vec<(EarlyHeartbeat, crate::protocol::agents::Heartbeat, Micros)>,
    pub early_events: Vec<(String, u64, u64, JobValue)>,
    pub new_term: Option<&'static str>,
    /// The term that this leadership began with: a report with this token or a higher one says
    /// what was on its machine after all earlier leaderships.
    pub first_term: u64,
    /// Every cancellation that was confirmed before this is in the book.
    pub cancellation_watermark: Micros,
    /// Machines on which a cancelled job's task may be, or come to be, for some time.
    pub unsettled: BTreeSet<MachineId>,
    /// What each class and team asked for and got.
    pub slo: glenhaven_objectives::SloAccounting,
    /// Jobs that name others, as far as the leader has to look at them.
    pub blocked_jobs: super::dependencies::BlockedJobs,
    /// Machines that are left to empty for large tasks.
    pub reservations: super::reservation::Reservations,
    /// What this leader misses of what was accepted.
    pub audit: super::audit::Audit,
    /// The last revision at which a job is known to have come.
    pub last_version: u64,
    /// The time of day at the start of this process's clock, in milliseconds.
    pub day_ms: u64,
}

/// Whom to answer once an early report can be.
pub enum EarlyHeartbeat {
    Worker(u64),
    Peer(String, u64),
    /// Nobody: another node told it from memory.
    FromMemory(String),
}

impl LeaderState {
    pub fn new(incarnation: u64, term: u64, now: Micros) -> LeaderState {
        LeaderState {
            incarnation,
            term,
            began: now,
            listens_since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            released: BTreeSet::new(),
            image_locations: BTreeMap::new(),
            log_writer: LogWriter::default(),
            scheduler: Scheduler::new(now),
            agents: AgentChannels::new(now),
            provisioning: Provisioning::new(now),
            failures: FailureDetector::new(now),
            invariants: InvariantMonitor::new(now),
            dirty: true,
            tasks_per_range: 64,
            early_heartbeats: vec![],
            early_events: vec![],
            new_term: None,
            first_term: term,
            cancellation_watermark: Micros::ZERO,
            unsettled: BTreeSet::new(),
            slo: glenhaven_objectives::SloAccounting::new(ACCOUNT),
            blocked_jobs: super::dependencies::BlockedJobs::default(),
            reservations: super::reservation::Reservations::default(),
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

    pub fn abandon(self, context: &mut Context) {
        for (from, _, _) in self.early_heartbeats {
            if let EarlyHeartbeat::Worker(id) = from {
                context.reply(id, 503, vec![], Some(1));
            }
        }
    }

    pub fn term_raised(&mut self, term: u64) {
        self.term = term;
        self.new_term = None;
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
            if now != job.last_published && out.len() < 500 {
                job.last_published = now;
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
    pub fn on_job_news(&mut self, events: Vec<WatchEvent>, now: Micros) {
        for event in events {
            let WatchEvent::Put { key, value, version } = event else {
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
    /// `key_version`: the version of the job's own key; 0: it was accepted in a page.
    pub fn on_job_event(&mut self, id: &str, version: u64, key_version: u64, value: JobValue, now: Micros) {
        if !self.is_loaded() {
            self.early_events.push((id.to_string(), version, key_version, value));
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
                if self.jobs.contains_key(id) || self.log_writer.is_closed(id) {
                    return;
                }
                let (spec, submitted_ms) = match from_record(spec.clone()) {
                    Some((spec, submitted_ms)) if spec.needs.is_empty() => (spec, submitted_ms),
                    found => return self.block_until_dependencies_done(found.unwrap_or((spec, 0)), version, now),
                };
                tracing::debug!(job = id, class = spec.class, tasks = spec.tasks, "job arrived");
                self.last_version = self.last_version.max(version);
                let mut job = Job::new(id, spec, version, key_version, now);
                job.submitted_at = self.submission_time(submitted_ms, now);
                self.log_writer
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
        tracing::debug!(job = id, on_machines = job.placements.len(), "job cancelled");
        job.cancelled = Some(now);
        job.cancel_unconfirmed_until = self.cancellation_watermark;
        job.waiting.clear();
        let entry = Undescribed::new(job.version, job.id.clone());
        self.log_writer.undescribed.insert(entry);
        if job.placements.is_empty() {
            self.log_writer.ended.insert(job.id.clone());
        }
        let tasks: Vec<u32> = job.placements.keys().copied().collect();
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
            let flies = self.log_writer.records_start(&key, *task);
            (p.phase == PlacementPhase::Committing && !flies).then_some(*task)
        };
        let tasks: Vec<u32> = job.placements.iter().filter_map(unrecorded).collect();
        for task in tasks {
            self.free(&key, task, VoidProof::NotRecorded, now);
        }
    }

    /// Asks a task to stop, at once and again with every report's answer.
    pub fn stop(&mut self, id: &str, task: u32, grace_s: f64, now: Micros) {
        let Some(placement) = self.jobs.get_mut(id).and_then(|j| j.placements.get_mut(&task)) else {
            return;
        };
        let first = placement.stop.is_none();
        if first {
            placement.stop_at = now;
        }
        placement.stop = Some(grace_s);
        let stopped = placement.clone();
        let (stage, sent) = (placement.phase, placement.sent);
        if let Some(job) = self.jobs.get(id).filter(|_| first) {
            self.invariants
                .decisions
                .note(job.decision(task, &stopped, Decided::Stop, now));
        }
        if is_injected(InjectedFault::FreesWithoutProof) {
            return self.free(&id.into(), task, VoidProof::MachineReleased, now);
        }
        match (stage, sent) {
            // Its start is being recorded, and will not be sent.
            (PlacementPhase::Committing, _) => {}
            // Nothing was ever sent for this record, and only this leadership could have: it is
            // void without a word from the machine.
            (PlacementPhase::Sent, false) => self.free(&id.into(), task, VoidProof::NeverSent, now),
            _ => self.queue_stop(&id.into(), task),
        }
    }

    /// A task's record is void by this proof; its machine and its job forget it. A record that the
    /// proof does not cover stays.
    pub fn free(&mut self, id: &JobId, task: u32, proof: VoidProof, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        if !proof.covers(placement) {
            tracing::error!(job = %id, task, ?proof, ?placement, "a record is to be freed without proof");
            self.invariants.broken += 1;
            return;
        }
        self.invariants
            .decisions
            .note(job.decision(task, placement, Decided::Freed(proof), now));
        let live = job.is_live();
        if let Some(placement) = job.free(task, self.tasks_per_range) {
            if !live {
                job.waiting.remove(&task);
            }
            if job.cancelled.is_some() && job.placements.is_empty() {
                self.log_writer.ended.insert(id.clone());
            }
            let holds = !matches!(placement.phase, PlacementPhase::Exited(_));
            if holds {
                job.vacates(placement.helper);
            }
            if let Some(machine) = self.machines.get_mut(&placement.machine) {
                machine.tasks.remove(&(id.clone(), task));
                if holds {
                    machine.take(&job.spec, -1.0);
                }
            }
            self.mark_task_range_changed(id, task / self.tasks_per_range, now);
            self.dirty = true;
        }
    }

    /// The machine and everything on it is gone, by the cloud's word.
    pub fn machine_released(&mut self, name: &MachineId, now: Micros) {
        self.released.insert(name.clone());
        while self.released.len() > 20_000 {
            self.released.pop_first();
        }
        self.drop_images(name);
        self.agents.outboxes.remove(name);
        if let Some(machine) = self.machines.remove(name) {
            for (job, task) in machine.tasks {
                self.free(&job, task, VoidProof::MachineReleased, now);
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
                    .image_locations
                    .get_key_value(image)
                    .map_or_else(|| image.into(), |(k, _)| k.clone());
                self.image_locations
                    .entry(image.clone())
                    .or_default()
                    .insert(name.clone());
                image
            }
        };
        m.images.push_back((image, gb));
        while m.images.len() > 1 && m.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            let Some((old, _)) = m.images.pop_front() else { break };
            if let Some(at) = self.image_locations.get_mut(&old) {
                at.remove(name);
            }
        }
    }

    /// A machine's images are gone.
    pub fn drop_images(&mut self, name: &MachineId) {
        let Some(m) = self.machines.get_mut(name) else { return };
        m.fetching.clear();
        for (image, _) in std::mem::take(&mut m.images) {
            if let Some(at) = self.image_locations.get_mut(&image) {
                at.remove(name);
                if at.is_empty() {
                    self.image_locations.remove(&image);
                }
            }
        }
    }

    /// Whether, and why, the term must be raised.
    pub fn wants_new_term(&self, _now: Micros) -> Option<&'static str> {
        self.new_term
    }
}
