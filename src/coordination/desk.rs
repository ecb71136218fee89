//! The users' desk, on every node: acceptances by create-if-absent, cancels by
//! compare-and-set, answers only after the commit or a read in this request.

use super::store_queue::Urgency;
use super::{Shared, Site, UserRequest, Wait};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{from_value, to_value, JobValue};
use crate::protocol::peer::Progress;
use crate::protocol::store::{Change, Condition, StoreAnswer, StoreRequest, Txn};
use crate::protocol::users::{id_in, is_job_id, ErrorBody, JobState, Phase, Spec};
use crate::protocol::{json_size, to_cbor};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum DeskWait {
    /// One compare for many jobs: job, version, and the requests it answers.
    /// Only requests that were here when it was sent may be answered by it.
    Verify(Vec<(String, u64, Vec<u64>)>),
    Read(String, Vec<u64>),
    Accept(u64),
    Abort(u64, u64),
}

/// A refusal tells users to come back after this long.
const RETRY_S: u32 = 1;
/// A request is refused when the state service has not decided it by then; the
/// user waits longer, but a retry may reach a node that is better off.
const SUBMIT_LIMIT: Micros = Micros::from_millis(2500);
const POLL_LIMIT: Micros = Micros::from_millis(1700);
/// The service is taken to be out when it has refused for this long.
const OUT_AFTER: Micros = Micros::from_millis(600);
/// Jobs remembered; older final ones are read again when asked about.
const CACHE: usize = 20_000;
const BACKLOG: usize = 400;
/// How long questions are gathered before one compare answers them.
const GATHER: Micros = Micros::from_millis(100);

#[derive(Clone, Debug)]
enum Ask {
    /// A valid submission.
    Submit(Box<Spec>),
    /// A submission that gets this status unless its job was accepted before.
    Refusable(u16, String),
    Poll,
    Abort,
}

struct Pending {
    id: u64,
    job: String,
    ask: Ask,
    at: Micros,
}

/// What is known of a job.
#[derive(Clone, Copy, Debug)]
struct Known {
    version: u64,
    phase: Phase,
}

#[derive(Default)]
pub struct Desk {
    known: BTreeMap<String, Known>,
    order: VecDeque<String>,
    pending: BTreeMap<u64, Pending>,
    /// Requests whose job has to be compared or read, by job.
    to_verify: BTreeMap<String, Vec<u64>>,
    verifying: usize,
    /// When the next compare may go out.
    next_verify: Micros,
    /// Jobs being read for the sake of a worker's report.
    reading: BTreeSet<String>,
    counts: BTreeMap<String, (u32, u32)>,
    refused_since: Option<Micros>,
}

impl Desk {
    /// A job's version and phase were seen; older news never replace newer.
    pub fn learn(&mut self, job: &str, version: u64, phase: Phase) {
        match self.known.get_mut(job) {
            Some(known) if known.version >= version => {}
            Some(known) => *known = Known { version, phase },
            None => {
                self.known.insert(job.to_string(), Known { version, phase });
                self.order.push_back(job.to_string());
                let mut tries = self.order.len();
                while self.known.len() > CACHE && tries > 0 {
                    tries -= 1;
                    let Some(old) = self.order.pop_front() else { break };
                    if self.known.get(&old).is_some_and(|k| k.phase.is_final()) {
                        self.known.remove(&old);
                    } else {
                        self.order.push_back(old);
                    }
                }
            }
        }
        if phase.is_final() {
            self.counts.remove(job);
        }
    }

    /// The phase of a job as last seen; open phases may be out of date.
    pub fn phase(&self, job: &str) -> Option<Phase> {
        self.known.get(job).map(|k| k.phase)
    }

    /// Drops what may have changed unseen. Final phases stay.
    pub fn forget_open(&mut self) {
        self.known.retain(|_, k| k.phase.is_final());
        self.counts.clear();
    }

    pub fn on_progress(&mut self, list: Vec<Progress>) {
        for p in list {
            if !self.phase(&p.id).is_some_and(Phase::is_final) {
                self.counts.insert(p.id, (p.done, p.running));
            }
        }
        while self.counts.len() > CACHE {
            self.counts.pop_first();
        }
    }

    /// Has a job read that a worker reports and that is not known here.
    pub fn read_job(&mut self, sh: &mut Shared, job: &str) {
        if is_job_id(job) && self.reading.insert(job.to_string()) {
            send_read(sh, job, vec![], Micros::ZERO);
        }
    }

    pub fn on_user(
        &mut self,
        sh: &mut Shared,
        site: &Site,
        id: u64,
        request: UserRequest,
        counts: impl Fn(&str) -> Option<(u32, u32)>,
    ) {
        let (job, ask) = match request {
            UserRequest::Submit(body) => match Spec::parse(&body) {
                Ok(spec) => (spec.id.clone(), Self::judge(site, spec)),
                Err(why) => match id_in(&body) {
                    Some(job) => (job, Ask::Refusable(400, why.to_string())),
                    None => return refuse(sh, id, 400, &why.to_string()),
                },
            },
            UserRequest::Poll(job) => (job, Ask::Poll),
            UserRequest::Abort(job) => (job, Ask::Abort),
            UserRequest::Ready => return,
        };
        if !is_job_id(&job) {
            // Never accepted: a submission in this form is malformed.
            return refuse(sh, id, 404, "no such job");
        }
        if let Some(c) = counts(&job) {
            self.counts.insert(job.clone(), c);
        }
        if let Some(known) = self.known.get(&job) {
            if known.phase.is_final() {
                return self.answer(sh, id, &job, known.phase, 200);
            }
        }
        let out = self.refused_since.is_some_and(|at| sh.now.since(at) > OUT_AFTER);
        if out || sh.store.user_backlog() > BACKLOG || self.pending.len() > 2 * BACKLOG {
            return refuse(sh, id, 503, "the state service does not answer");
        }
        let pending = Pending {
            id,
            job: job.clone(),
            ask,
            at: sh.now,
        };
        self.pending.insert(id, pending);
        self.advance(sh, site, id);
    }

    /// A valid submission, or what it would be refused with.
    fn judge(site: &Site, spec: Spec) -> Ask {
        if !site.settings.params.teams.iter().any(|t| t.name == spec.team) {
            return Ask::Refusable(422, "unknown team".into());
        }
        if site.catalogue.is_empty() {
            return Ask::Refusable(503, "the machine types are not known yet".into());
        }
        let (cpus, gpus) = site.limits(&spec.team);
        let tasks = match spec.shape {
            crate::protocol::users::Shape::Array => 1.0,
            crate::protocol::users::Shape::Service => f64::from(spec.tasks),
        };
        if spec.cpus * tasks > cpus + 1e-9 || spec.gpus * tasks > gpus + 1e-9 {
            return Ask::Refusable(422, "over the team's limit".into());
        }
        let fits = site.catalogue.values().any(|t| {
            t.cpus >= spec.cpus
                && t.gpus >= spec.gpus
                && t.memory >= spec.memory
                && spec.types.as_ref().is_none_or(|types| types.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
        });
        // Its description has to fit into one value, with room for a frame.
        let room = (site.settings.params.state.value_kb * 1024.0) as usize;
        if json_size(&spec) + 300 > room {
            return Ask::Refusable(503, "the state service cannot hold the description".into());
        }
        if fits {
            Ask::Submit(Box::new(spec))
        } else {
            Ask::Refusable(422, "a task fits no allowed machine type".into())
        }
    }

    /// Takes a request's next step.
    fn advance(&mut self, sh: &mut Shared, _site: &Site, id: u64) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        let known = self.known.get(&job).copied();
        match (&pending.ask, known) {
            (_, Some(known)) if known.phase.is_final() => {
                self.pending.remove(&id);
                self.answer(sh, id, &job, known.phase, 200);
            }
            (Ask::Submit(spec), None) => {
                let value = JobValue {
                    phase: Phase::Pending,
                    spec: Some((**spec).clone()),
                };
                let txn = Txn {
                    conditions: vec![Condition {
                        key: keys::job(&job),
                        version: 0,
                    }],
                    changes: vec![Change::Put {
                        key: keys::job(&job),
                        value: to_value(&value),
                        lease: None,
                    }],
                };
                sh.store.push(
                    Urgency::User,
                    StoreRequest::Txn(txn),
                    Wait::Desk(DeskWait::Accept(id)),
                    // Create-if-absent may be asked twice: a slow answer is
                    // overtaken by a second request.
                    Micros::from_millis(120),
                );
            }
            (Ask::Abort, Some(known)) => {
                let value = JobValue {
                    phase: Phase::Cancelled,
                    spec: None,
                };
                let txn = Txn {
                    conditions: vec![Condition {
                        key: keys::job(&job),
                        version: known.version,
                    }],
                    changes: vec![Change::Put {
                        key: keys::job(&job),
                        value: to_value(&value),
                        lease: None,
                    }],
                };
                sh.store.push(
                    Urgency::Start,
                    StoreRequest::Txn(txn),
                    Wait::Desk(DeskWait::Abort(id, known.version)),
                    Micros::from_millis(400),
                );
            }
            (Ask::Abort, None) => send_read(sh, &job, vec![id], Micros::ZERO),
            _ => {
                self.to_verify.entry(job).or_default().push(id);
            }
        }
    }

    pub fn tick(&mut self, sh: &mut Shared, site: &Site) {
        let now = sh.now;
        let late: Vec<u64> = self
            .pending
            .values()
            .filter(|p| {
                let limit = match p.ask {
                    Ask::Poll => POLL_LIMIT,
                    _ => SUBMIT_LIMIT,
                };
                now.since(p.at) > limit
            })
            .map(|p| p.id)
            .collect();
        for id in late {
            self.pending.remove(&id);
            refuse(sh, id, 503, "the state service does not answer");
        }
        // One compare answers many polls; two in flight keep a slow one from
        // holding up the rest. Questions are gathered for a moment: a node's
        // compares are bounded however many users ask, and leave the service's
        // requests to submissions and starts.
        while self.verifying < 2 && !self.to_verify.is_empty() && now >= self.next_verify {
            self.next_verify = now + GATHER;
            let limit = site.settings.params.state.txn_ops * 4;
            let mut batch = vec![];
            while batch.len() < limit {
                let Some((job, ids)) = self.to_verify.pop_first() else {
                    break;
                };
                let version = self.known.get(&job).map_or(0, |k| k.version);
                batch.push((job, version, ids));
            }
            let txn = Txn {
                conditions: batch
                    .iter()
                    .map(|(job, version, _)| Condition {
                        key: keys::job(job),
                        version: *version,
                    })
                    .collect(),
                changes: vec![],
            };
            self.verifying += 1;
            let wait = Wait::Desk(DeskWait::Verify(batch));
            sh.store
                .push(Urgency::User, StoreRequest::Txn(txn), wait, Micros::from_millis(300));
        }
    }

    /// The state service is asked by way of another controller from here on.
    pub fn served_again(&mut self) {
        self.refused_since = None;
    }

    /// Every answer of the state service tells whether it is out, those to
    /// watches and renewals too: while users are refused at once, no request of
    /// theirs would ever tell that it is back.
    pub fn note_health(&mut self, now: Micros, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Refused | StoreAnswer::Unknown => {
                self.refused_since.get_or_insert(now);
            }
            _ => self.refused_since = None,
        }
    }

    pub fn on_store(&mut self, sh: &mut Shared, site: &Site, wait: DeskWait, answer: StoreAnswer) {
        match wait {
            DeskWait::Verify(batch) => {
                self.verifying = self.verifying.saturating_sub(1);
                match answer {
                    StoreAnswer::Committed { .. } => {
                        for (job, version, ids) in batch {
                            self.verified(sh, site, &job, version, ids);
                        }
                    }
                    StoreAnswer::Conflict { failed, .. } => {
                        for (job, version, ids) in batch {
                            if failed.contains(&keys::job(&job)) {
                                send_read(sh, &job, ids, Micros::ZERO);
                            } else {
                                self.verified(sh, site, &job, version, ids);
                            }
                        }
                    }
                    _ => {
                        for (job, _, ids) in batch {
                            if ids.iter().any(|id| self.pending.contains_key(id)) {
                                self.to_verify.entry(job).or_default().extend(ids);
                            }
                        }
                    }
                }
            }
            DeskWait::Read(job, ids) => match answer {
                StoreAnswer::Row(row) => {
                    self.reading.remove(&job);
                    match from_value::<JobValue>(&row.value) {
                        Some(value) => self.learn(&job, row.version, value.phase),
                        None => tracing::error!(job, "malformed job value"),
                    }
                    if let Some(known) = self.known.get(&job).copied() {
                        self.verified(sh, site, &job, known.version, ids);
                    }
                }
                StoreAnswer::Missing { .. } => {
                    self.reading.remove(&job);
                    self.verified(sh, site, &job, 0, ids);
                }
                _ => {
                    self.reading.remove(&job);
                    if ids.iter().any(|id| self.pending.contains_key(id)) {
                        let pause = sh.jitter(Micros::from_millis(80));
                        send_read(sh, &job, ids, pause);
                    }
                }
            },
            DeskWait::Accept(id) => {
                let Some(pending) = self.pending.get(&id) else {
                    // The user was refused meanwhile; the job may be accepted
                    // all the same, and a retry or poll finds it.
                    return;
                };
                let job = pending.job.clone();
                match answer {
                    StoreAnswer::Committed { revision } => {
                        self.learn(&job, revision, Phase::Pending);
                        self.pending.remove(&id);
                        let phase = self.phase(&job).unwrap_or(Phase::Pending);
                        self.answer(sh, id, &job, phase, 201);
                    }
                    StoreAnswer::Conflict { .. } => send_read(sh, &job, vec![id], Micros::ZERO),
                    StoreAnswer::Malformed => {
                        self.pending.remove(&id);
                        refuse(sh, id, 503, "the state service refuses the job");
                    }
                    _ => self.again(sh, site, id, &answer),
                }
            }
            DeskWait::Abort(id, _) => {
                let Some(pending) = self.pending.get(&id) else { return };
                let job = pending.job.clone();
                match answer {
                    StoreAnswer::Committed { revision } => {
                        self.learn(&job, revision, Phase::Cancelled);
                        self.pending.remove(&id);
                        self.answer(sh, id, &job, Phase::Cancelled, 200);
                    }
                    StoreAnswer::Conflict { .. } => send_read(sh, &job, vec![id], Micros::ZERO),
                    _ => self.again(sh, site, id, &answer),
                }
            }
        }
    }

    /// Repeats a transaction that was refused or not answered. Both kinds are
    /// conditional, so that a second execution cannot do harm.
    fn again(&mut self, sh: &mut Shared, site: &Site, id: u64, answer: &StoreAnswer) {
        if matches!(answer, StoreAnswer::Unknown) {
            return self.advance(sh, site, id);
        }
        let Some(p) = self.pending.get(&id) else { return };
        // A read in between costs a request but tells whether the job is known
        // by now; the pause keeps refused nodes from retrying in step.
        let pause = sh.jitter(Micros::from_millis(60));
        send_read(sh, &p.job.clone(), vec![id], pause);
    }

    /// A compare or read of the job's key proved this version (0: no job).
    fn verified(&mut self, sh: &mut Shared, site: &Site, job: &str, version: u64, ids: Vec<u64>) {
        // An acceptance learned meanwhile is newer than a read that missed it.
        let version = version.max(self.known.get(job).map_or(0, |k| k.version));
        for id in ids {
            let Some(pending) = self.pending.get(&id) else { continue };
            match (&pending.ask, version) {
                (Ask::Poll | Ask::Abort, 0) => {
                    self.pending.remove(&id);
                    refuse(sh, id, 404, "no such job");
                }
                (Ask::Refusable(status, why), 0) => {
                    let (status, why) = (*status, why.clone());
                    self.pending.remove(&id);
                    refuse(sh, id, status, &why);
                }
                (Ask::Submit(_), 0) | (Ask::Abort, _) => self.advance(sh, site, id),
                _ => {
                    let phase = self.phase(job).unwrap_or(Phase::Pending);
                    self.pending.remove(&id);
                    self.answer(sh, id, job, phase, 200);
                }
            }
        }
    }

    fn answer(&self, sh: &mut Shared, id: u64, job: &str, phase: Phase, status: u16) {
        let (done, running) = self.counts.get(job).copied().unwrap_or((0, 0));
        let state = JobState {
            id: job.to_string(),
            phase: match phase {
                Phase::Pending | Phase::Running if running > 0 => Phase::Running,
                Phase::Running => Phase::Pending,
                other => other,
            },
            done: (!phase.is_final()).then_some(done),
            running: (!phase.is_final()).then_some(running),
        };
        sh.reply(id, status, to_cbor(&state), None);
    }
}

/// Reads a job's key on behalf of these requests.
fn send_read(sh: &mut Shared, job: &str, ids: Vec<u64>, pause: Micros) {
    let request = StoreRequest::Get { key: keys::job(job) };
    let wait = Wait::Desk(DeskWait::Read(job.to_string(), ids));
    let timeout = Micros::from_millis(300);
    if pause == Micros::ZERO {
        sh.store.push(Urgency::User, request, wait, timeout);
    } else {
        sh.store.push_at(sh.now + pause, Urgency::User, request, wait, timeout);
    }
}

/// Refuses a request at once; 503 says when to come back.
fn refuse(sh: &mut Shared, id: u64, status: u16, why: &str) {
    let body = to_cbor(&ErrorBody { error: why.to_string() });
    sh.reply(id, status, body, (status == 503).then_some(RETRY_S));
}
