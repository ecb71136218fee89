//! The leader's state: open jobs and machines, and what happens to them.

use super::commit::queues::Undescribed;
use super::commit::Committer;
use super::decisions::{Decided, Decisions};
pub use super::job::{need, Chunk, Job, Placement, Stage, TaskState};
pub use super::machine::{Kind, Machine, MachineId, MachineState};
use super::planted::{is_planted, Planted};
use super::pools::{ClassKey, Estimate};
use super::void::VoidProof;
use super::{JobId, Shared};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{from_value, restored, Accepted, JobValue};
use crate::protocol::peer::Progress;
use crate::protocol::store::Event;
use crate::protocol::users::Phase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The account of classes and teams forgets half in this time.
const ACCOUNT: Micros = Micros::from_millis(120_000);

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
    /// The term that this leadership began with: a report with this token or a higher one says
    /// what was on its machine after all earlier leaderships.
    pub first_term: u64,
    /// The last decisions about starts.
    pub decisions: Decisions,
    pub next_invariants: Micros,
    /// Broken invariants that are not counted by the process yet.
    pub broken_invariants: u64,
    /// Teams whose tasks were seen to exceed their limits.
    pub over_limit: BTreeSet<String>,
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
            first_term: term,
            decisions: Decisions::default(),
            next_invariants: now,
            broken_invariants: 0,
            over_limit: BTreeSet::new(),
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
            self.free(&key, task, VoidProof::NotRecorded, now);
        }
    }

    /// Asks a task to stop, at once and again with every report's answer.
    pub fn stop(&mut self, id: &str, task: u32, grace_s: f64, now: Micros) {
        let Some(placement) = self.jobs.get_mut(id).and_then(|j| j.placed.get_mut(&task)) else {
            return;
        };
        let first = placement.stop.is_none();
        if first {
            placement.stop_at = now;
        }
        placement.stop = Some(grace_s);
        let stopped = placement.clone();
        let (stage, sent) = (placement.stage, placement.sent);
        if let Some(job) = self.jobs.get(id).filter(|_| first) {
            self.decisions.note(job.decision(task, &stopped, Decided::Stop, now));
        }
        if is_planted(Planted::FreesWithoutProof) {
            return self.free(&id.into(), task, VoidProof::MachineReleased, now);
        }
        match (stage, sent) {
            // Its start is being recorded, and will not be sent.
            (Stage::Committing, _) => {}
            // Nothing was ever sent for this record, and only this leadership could have: it is
            // void without a word from the machine.
            (Stage::Sent, false) => self.free(&id.into(), task, VoidProof::NeverSent, now),
            _ => self.queue_stop(&id.into(), task),
        }
    }

    /// A task's record is void by this proof; its machine and its job forget it. A record that the
    /// proof does not cover stays.
    pub fn free(&mut self, id: &JobId, task: u32, proof: VoidProof, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(placement) = job.placed.get(&task) else {
            return;
        };
        if !proof.covers(placement) {
            tracing::error!(job = %id, task, ?proof, ?placement, "a record is to be freed without proof");
            self.broken_invariants += 1;
            return;
        }
        self.decisions
            .note(job.decision(task, placement, Decided::Freed(proof), now));
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

    /// Whether, and why, the term must be raised.
    pub fn wants_new_term(&self, _now: Micros) -> Option<&'static str> {
        self.new_term
    }
}
