//! The users' desk, on every node: acceptances in pages of this node, cancels by
//! compare-and-set, answers only after the commit or a read in this request.
//!
//! This room owns what users wait for and what is known of jobs' phases. An open job is
//! known from a page of acceptances; its own key exists once it is over, for ever. What an
//! answer may rest on, `evidence` decides.

mod acceptance;
mod answers;
mod cancellations;
mod dependencies;
mod read_proof;
mod request;

pub use dependencies::Held;
pub use read_proof::{RequestSequence, Source};

use super::store_queue::Urgency;
use super::{ClusterConfig, Context, Continuation, UserRequest};
use crate::protocol::peer::Progress;
use crate::protocol::store::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::{id_in, is_job_id, ErrorBody, JobSpec, Phase};
use crate::protocol::{json_size, to_cbor};
use crate::storage::keys;
use crate::storage::records::{kept, to_value, JobValue};
use crate::time::Micros;
use glenhaven_dependencies::DependencyGraph;
use glenhaven_group_commit::{GroupCommit, Waited, Waits};
use request::{Ask, Pending};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job whose own key is compared, and the requests that the compare is to answer.
#[derive(Clone, Debug)]
pub struct Compared {
    job: String,
    version: u64,
    requests: Vec<u64>,
}

/// What an answer of the state service is for. `covers`: the last request that had come when the
/// question left, and so the last that its answer may decide.
#[derive(Clone, Debug)]
pub enum ApiContinuation {
    /// One compare for many jobs.
    Verify {
        covers: RequestSequence,
        jobs: Vec<Compared>,
    },
    /// The job's own key.
    Read {
        covers: RequestSequence,
        job: String,
        requests: Vec<u64>,
    },
    /// A page of this node with this number and slot was written.
    Accept {
        covers: RequestSequence,
        number: u64,
        slot: u32,
    },
    /// A page of this node, whose version was not as expected.
    Page(u32),
    /// All pages of acceptances, to begin with: which reading of them this is part of.
    Pages(u64),
    /// All news of jobs up to now, for requests about jobs that are not known here.
    Sync {
        covers: RequestSequence,
        requests: Vec<u64>,
    },
    /// A cancellation, for this request.
    Abort(u64),
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

/// What a page holds beside its jobs.
const PAGE_FRAME: usize = 60;
/// A request about a page that is not answered by then is made again.
const PAGE_LIMIT: Micros = Micros::from_millis(150);

/// What is known of a job.
#[derive(Clone, Copy, Debug)]
struct CachedStatus {
    /// Of its own key; 0: there is none as far as known here.
    version: u64,
    phase: Phase,
    /// Its own key is known, or was missing after its page was seen. A page alone, found
    /// at the start, does not tell whether the job is over.
    checked: bool,
    /// It runs until it is cancelled, as far as its description was seen.
    service: bool,
    /// The revision of the page that was seen to accept it; 0: none was.
    page: u64,
    /// Another page accepts it as well: its user may have been told of it before.
    repeated: bool,
}

/// How far the pages of acceptances are read.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Pages {
    /// To be read from this key on.
    From(String),
    /// On their way.
    Asked(String),
    Complete,
}

pub struct JobApi {
    node: String,
    pages: Pages,
    /// How often the pages were forgotten: an answer to an earlier reading tells nothing of
    /// the present one, which would take itself to be complete.
    reading_of: u64,
    next_pages: Micros,
    group_commit: GroupCommit<Box<JobSpec>>,
    /// The requests that wait for a job's acceptance, by job.
    submits: BTreeMap<String, Vec<u64>>,
    /// Requests about jobs that are not known here: whether one was accepted elsewhere a
    /// moment ago is read for them.
    to_sync: Vec<u64>,
    syncing: bool,
    next_sync: Micros,
    known: BTreeMap<String, CachedStatus>,
    /// Open jobs that name others, and those that they name.
    dependency_graph: DependencyGraph<Held>,
    /// The latest cancelled jobs that are known here.
    cancelled: BTreeSet<String>,
    /// By version; those up to this one are no longer among them.
    cancelled_order: BTreeMap<u64, Vec<String>>,
    cancelled_before: u64,
    next_named: Micros,
    order: VecDeque<String>,
    pending: BTreeMap<u64, Pending>,
    /// The last request that came.
    arrived: RequestSequence,
    /// Requests whose job has to be compared or read, by job.
    to_verify: BTreeMap<String, Vec<u64>>,
    verifying: usize,
    /// When the next compare may go out.
    next_verify: Micros,
    /// Jobs being read for the sake of a worker's report.
    reading: BTreeSet<String>,
    counts: BTreeMap<String, (u32, u32)>,
    refused_since: Option<Micros>,
    /// Requests answered 503 since the last log, by reason.
    refusals: BTreeMap<&'static str, u32>,
    /// How long the accepted waited at this node since the last log.
    waits: Waits,
    /// Answers since the last log, by what they rested on.
    answered: BTreeMap<Source, u32>,
    /// Requests since the last log that came after the evidence at hand had been asked for.
    asked_anew: u32,
}

impl JobApi {
    /// The desk of this node.
    pub fn new(node: &str) -> JobApi {
        JobApi {
            node: node.to_string(),
            pages: Pages::From(String::new()),
            reading_of: 0,
            next_pages: Micros::ZERO,
            group_commit: GroupCommit::new(),
            submits: BTreeMap::new(),
            to_sync: vec![],
            syncing: false,
            next_sync: Micros::ZERO,
            known: BTreeMap::new(),
            dependency_graph: DependencyGraph::new(),
            cancelled: BTreeSet::new(),
            cancelled_order: BTreeMap::new(),
            cancelled_before: 0,
            next_named: Micros::ZERO,
            order: VecDeque::new(),
            pending: BTreeMap::new(),
            arrived: RequestSequence::default(),
            to_verify: BTreeMap::new(),
            verifying: 0,
            next_verify: Micros::ZERO,
            reading: BTreeSet::new(),
            counts: BTreeMap::new(),
            refused_since: None,
            refusals: BTreeMap::new(),
            waits: Waits::default(),
            answered: BTreeMap::new(),
            asked_anew: 0,
        }
    }

    /// Whether requests about any job can be decided here.
    pub fn is_ready(&self) -> bool {
        self.pages == Pages::Complete
    }

    fn remember(&mut self, job: String, known: CachedStatus) {
        self.known.insert(job.clone(), known);
        self.order.push_back(job);
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

    /// The version and phase of a job's own key were seen; older news never replace newer.
    pub fn learn(&mut self, job: &str, version: u64, phase: Phase) {
        let new = CachedStatus {
            version,
            phase,
            checked: true,
            service: false,
            page: 0,
            repeated: false,
        };
        match self.known.get_mut(job) {
            Some(known) if known.version >= version => {}
            Some(known) => *known = new,
            None => self.remember(job.to_string(), new),
        }
        if phase == Phase::Cancelled {
            self.note_cancelled(job, version);
        }
        if phase.is_final() {
            self.counts.remove(job);
            self.group_commit.over(job);
            self.dependency_graph.ended(job, phase == Phase::Done);
        } else {
            self.dependency_graph.open(job);
        }
    }

    /// The phase of a job as last seen; open phases may be out of date.
    pub fn phase(&self, job: &str) -> Option<Phase> {
        self.known.get(job).filter(|k| k.checked).map(|k| k.phase)
    }

    /// Jobs that are open, as far as known here.
    pub fn open_jobs(&self) -> impl Iterator<Item = &str> {
        let open = |k: &CachedStatus| k.checked && !k.phase.is_final();
        self.known
            .iter()
            .filter(move |(_, k)| open(k))
            .map(|(id, _)| id.as_str())
    }

    /// Drops what may have changed unseen. Final phases stay.
    pub fn forget_open(&mut self) {
        self.known.retain(|_, k| k.phase.is_final());
        self.counts.clear();
        self.dependency_graph.forget();
        self.group_commit.forget_pages();
        self.pages = Pages::From(String::new());
        self.reading_of += 1;
    }

    /// Pages, and those of them that name open jobs, for a log.
    pub fn pages(&self) -> (usize, usize) {
        self.group_commit.pages()
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

    /// Has a job read that a worker reports and that is not known here. A node that has
    /// just begun knows open jobs from their pages, and compares whether they are over
    /// many at a time: reading each job that every worker reports would take all nodes'
    /// requests for half a minute.
    pub fn read_job(&mut self, context: &mut Context, job: &str) {
        let known = !self.is_ready() || self.known.contains_key(job);
        if !known && is_job_id(job) && self.reading.insert(job.to_string()) {
            self.send_read(context, job, vec![], Micros::ZERO);
        }
    }

    pub fn on_user(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        id: u64,
        request: UserRequest,
        counts: impl Fn(&str) -> Option<(u32, u32)>,
    ) {
        let (job, ask) = match request {
            UserRequest::Submit(body) => match JobSpec::parse(&body) {
                Ok(spec) => (spec.id.clone(), Ask::submission(cluster, spec)),
                Err(why) => {
                    tracing::warn!(%why, "malformed submission");
                    match id_in(&body) {
                        Some(job) => (job, Ask::Refusable(400, why.to_string())),
                        None => return refuse(context, id, 400, &why.to_string()),
                    }
                }
            },
            UserRequest::Poll(job) => (job, Ask::Poll),
            UserRequest::Abort(job) => (job, Ask::Abort),
            UserRequest::Ready => return,
        };
        if !is_job_id(&job) {
            // Never accepted: a submission in this form is malformed.
            return refuse(context, id, 404, "no such job");
        }
        if let Some(c) = counts(&job) {
            self.counts.insert(job.clone(), c);
        }
        if let Some(phase) = self.final_phase(&job) {
            let evidence = self.final_evidence(&job);
            return self.answer(context, id, &job, phase, 200, &evidence);
        }
        let out = self.refused_since.is_some_and(|at| context.now.since(at) > OUT_AFTER);
        if out {
            return self.refuse_now(context, id, "the state service does not answer");
        }
        if context.store.user_backlog() > BACKLOG || self.pending.len() > 2 * BACKLOG {
            return self.refuse_now(context, id, "too much waits here");
        }
        self.arrived = self.arrived.next();
        let pending = Pending {
            id,
            job: job.clone(),
            ask,
            at: context.now,
            arrival: self.arrived,
            missing: BTreeSet::new(),
            synced: false,
            accepted_here: false,
        };
        self.pending.insert(id, pending);
        self.advance(context, cluster, id);
    }

    /// Takes a request's next step.
    fn advance(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        let known = self.known.get(&job).copied();
        let names = matches!(&pending.ask, Ask::Submit(spec) if !spec.needs.is_empty());
        if let Some(phase) = self.final_phase(&job) {
            self.pending.remove(&id);
            let evidence = self.final_evidence(&job);
            return self.answer(context, id, &job, phase, 200, &evidence);
        }
        if names && known.is_none() && !self.all_named_known(id) {
            return;
        }
        let Some(pending) = self.pending.get(&id) else { return };
        match (&pending.ask, known) {
            (Ask::Submit(spec), None) => {
                let Some(spec) = kept(spec, context.time_of_day(pending.at), room_for_one(cluster)) else {
                    return;
                };
                let spec = Box::new(spec);
                // A comma or bracket stands beside each.
                let size = json_size(&spec) + 1;
                self.group_commit.offer(&job, size, spec, context.now);
                self.submits.entry(job).or_default().push(id);
            }
            (Ask::Abort, Some(known)) => {
                let value = JobValue {
                    phase: Phase::Cancelled,
                    spec: None,
                };
                let txn = Transaction {
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
                context.store.push(
                    Urgency::Start,
                    StoreRequest::Transaction(txn),
                    Continuation::Api(ApiContinuation::Abort(id)),
                    Micros::from_millis(400),
                );
            }
            // All news tell of every job before it at once; its own key is among them.
            (_, Some(known)) if known.checked && self.waits(&job) => self.to_sync.push(id),
            _ => {
                self.to_verify.entry(job).or_default().push(id);
            }
        }
    }

    /// `seen`: every change of a job up to this revision was seen here.
    pub fn tick(&mut self, context: &mut Context, cluster: &ClusterConfig, seen: Option<u64>) {
        let now = context.now;
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
            self.give_up(id);
            self.refuse_now(context, id, "not decided in time");
        }
        let Some(seen) = seen else { return };
        if let (Pages::From(after), true) = (&self.pages, now >= self.next_pages) {
            let after = after.clone();
            let prefix = keys::ACCEPTED.into();
            let request = StoreRequest::List {
                prefix,
                after: after.clone(),
            };
            self.pages = Pages::Asked(after);
            let continuation = Continuation::Api(ApiContinuation::Pages(self.reading_of));
            context
                .store
                .push(Urgency::Lead, request, continuation, Micros::from_millis(1000));
        }
        self.accept(context, cluster);
        self.read_named(context);
        if !self.syncing && !self.to_sync.is_empty() && now >= self.next_sync && self.is_ready() {
            self.next_sync = now + GATHER;
            self.syncing = true;
            let request = StoreRequest::Watch {
                prefix: keys::JOBS.into(),
                after: seen,
                wait_ms: 0,
            };
            let continuation = Continuation::Api(ApiContinuation::Sync {
                covers: self.arrived,
                requests: std::mem::take(&mut self.to_sync),
            });
            context
                .store
                .push(Urgency::User, request, continuation, Micros::from_millis(400));
        }
        // One compare answers many polls; two in flight keep a slow one from
        // holding up the rest. Questions are gathered for a moment: a node's
        // compares are bounded however many users ask, and leave the service's
        // requests to submissions and starts.
        while self.verifying < 2 && !self.to_verify.is_empty() && now >= self.next_verify {
            self.next_verify = now + GATHER;
            let limit = cluster.limits.conditions();
            let mut jobs = vec![];
            while jobs.len() < limit {
                let Some((job, requests)) = self.to_verify.pop_first() else {
                    break;
                };
                let version = self.known.get(&job).map_or(0, |k| k.version);
                jobs.push(Compared { job, version, requests });
            }
            let txn = Transaction {
                conditions: jobs
                    .iter()
                    .map(|compared| Condition {
                        key: keys::job(&compared.job),
                        version: compared.version,
                    })
                    .collect(),
                changes: vec![],
            };
            self.verifying += 1;
            let covers = self.arrived;
            let continuation = Continuation::Api(ApiContinuation::Verify { covers, jobs });
            context.store.push(
                Urgency::User,
                StoreRequest::Transaction(txn),
                continuation,
                Micros::from_millis(300),
            );
        }
    }

    /// Refuses a request with 503, and counts why.
    fn refuse_now(&mut self, context: &mut Context, id: u64, why: &'static str) {
        *self.refusals.entry(why).or_default() += 1;
        refuse(context, id, 503, why);
    }

    /// How many were accepted since the last call, and how long they waited here.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }

    /// How many requests were refused since the last call, by reason.
    pub fn take_refusals(&mut self) -> BTreeMap<&'static str, u32> {
        std::mem::take(&mut self.refusals)
    }

    /// Nobody waits for this request any more; nothing is written for it that was not sent.
    fn give_up(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Some(ids) = self.submits.get_mut(&pending.job) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.submits.remove(&pending.job);
                self.group_commit.withdraw(&pending.job);
            }
        }
    }

    /// The state service is asked by way of another controller from here on.
    pub fn served_again(&mut self) {
        self.refused_since = None;
    }

    /// Every answer of the state service tells whether it is out, those to
    /// watches and renewals too: while users are refused at once, no request of
    /// theirs would ever tell that it is back.
    pub fn note_health(&mut self, now: Micros, answer: &StoreResponse) {
        match answer {
            StoreResponse::Refused | StoreResponse::Unknown => {
                self.refused_since.get_or_insert(now);
            }
            _ => self.refused_since = None,
        }
    }

    /// How many requests were answered since the last call, by what the answers rested on, and
    /// how many came too late for the evidence at hand.
    pub fn take_answered(&mut self) -> (BTreeMap<Source, u32>, u32) {
        (std::mem::take(&mut self.answered), std::mem::take(&mut self.asked_anew))
    }
}

/// What a job's description may take, so that a page of acceptances and one of the book
/// hold it with what they say beside it.
fn room_for_one(cluster: &ClusterConfig) -> usize {
    cluster.limits.value_bytes().saturating_sub(300)
}

/// Refuses a request at once; 503 says when to come back.
fn refuse(context: &mut Context, id: u64, status: u16, why: &str) {
    let body = to_cbor(&ErrorBody { error: why.to_string() });
    context.reply(id, status, body, (status == 503).then_some(RETRY_S));
}
