//! The job API of every controller: submissions, polls and cancellations of users.
//!
//! It owns the requests that wait for the state service, and what this node knows of the phases of
//! jobs. Jobs are accepted in pages of this node, and cancelled by a compare-and-set on the job's
//! own key. An open job is known from a page of acceptances; its own key exists once it has a final
//! phase, for ever. The controller hands in requests and the answers of the state service; the
//! leader only reads phases here.
//!
//! Invariant: a user is answered only after the commit, or by a read that was sent after the
//! request had come; `read_proof` checks this for every answer.
//!
//! - `request` and `refusal`: requests as they wait, and why one is refused;
//! - `request_flow`: the steps of a request until its answer;
//! - `status`: what is known of jobs;
//! - `acceptance`: the pages of acceptances;
//! - `answers`: the answers of the state service and what each means for the requests;
//! - `dependencies`: jobs with dependencies;
//! - `cancellations`: the latest cancellations, for attestations;
//! - `read_proof`: whether an answer rests on a read that is new enough.

mod acceptance;
mod answers;
mod cancellations;
mod dependencies;
mod read_proof;
mod refusal;
mod request;
mod request_flow;
mod status;

pub use dependencies::DependentJob;
pub use read_proof::{ProofSource, RequestSequence};
pub use refusal::Refusal;

use super::store_queue::Urgency;
use super::{ClusterConfig, Context, Continuation};
use crate::protocol::store::{Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::keys;
use crate::time::Micros;
use glenhaven_dependencies::DependencyGraph;
use glenhaven_group_commit::{GroupCommit, Waited, Waits};
use request::PendingRequest;
use status::JobStatus;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job whose own key is compared, and the requests that wait for the result.
#[derive(Clone, Debug)]
pub struct ComparedJob {
    job: String,
    version: u64,
    requests: Vec<u64>,
}

/// What a request to the state service was sent for. `covers` is the last user request that had
/// come when it was sent, and so the last one that its answer may decide.
#[derive(Clone, Debug)]
pub enum ApiContinuation {
    /// A compare of the keys of many jobs.
    CompareKeys {
        /// The last request that the answer may decide.
        covers: RequestSequence,
        /// The jobs that are compared.
        jobs: Vec<ComparedJob>,
    },
    /// A read of a job's own key.
    ReadKey {
        /// The last request that the answer may decide.
        covers: RequestSequence,
        /// The job.
        job: String,
        /// The requests that wait for it.
        requests: Vec<u64>,
    },
    /// The write of a page of acceptances of this node.
    WritePage {
        /// The last request that the answer may decide.
        covers: RequestSequence,
        /// The number of the batch.
        number: u64,
        /// The slot of the page.
        slot: u32,
    },
    /// A read of the page in this slot of this node, whose version was not as expected.
    ReadOwnPage(u32),
    /// A part of the scan of all pages of acceptances; the number is that of the scan.
    ScanPages(u64),
    /// A read of all changes of jobs, for requests about jobs that are not known here.
    ReadJobChanges {
        /// The last request that the answer may decide.
        covers: RequestSequence,
        /// The requests that wait for it.
        requests: Vec<u64>,
    },
    /// The cancellation that this request asks for.
    Cancel(u64),
}

/// Users are told to retry a refused request after this many seconds.
const RETRY_AFTER_S: u32 = 1;
/// A submission or cancellation is refused when it is not decided by then. The user would wait
/// longer, but a retry may reach a node with a better connection.
const SUBMIT_TIMEOUT: Micros = Micros::from_millis(2500);
/// A poll is refused when it is not decided by then.
const POLL_TIMEOUT: Micros = Micros::from_millis(1700);
/// The state service is taken to be out when it has refused for this long.
const OUTAGE_AFTER: Micros = Micros::from_millis(600);
/// Jobs whose status is remembered; older ones with a final phase are read again when asked about.
const MAX_STATUSES: usize = 20_000;
/// Requests to the state service that may wait before users are refused.
const MAX_BACKLOG: usize = 400;
/// Pause between two compares, and between two reads of changes: requests of users are batched.
const BATCH_DELAY: Micros = Micros::from_millis(100);
/// The most compares in flight, so that a slow one doesn't hold up the next.
const MAX_COMPARES: usize = 2;

/// Size of a page of acceptances without its jobs, in bytes.
const PAGE_FRAME_BYTES: usize = 60;
/// How long the answer to the write of a page is awaited before it is written again.
const PAGE_WRITE_TIMEOUT: Micros = Micros::from_millis(150);
/// How long the answer to a part of the scan of pages is awaited.
const SCAN_TIMEOUT: Micros = Micros::from_millis(1000);
/// How long the answer to a read of changes is awaited.
const CHANGES_TIMEOUT: Micros = Micros::from_millis(400);
/// How long the answer to a compare is awaited.
const COMPARE_TIMEOUT: Micros = Micros::from_millis(300);

/// How far the scan of all pages of acceptances has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PageScan {
    /// The pages after this key are to be read.
    From(String),
    /// The pages after this key are being read.
    InFlight(String),
    /// All pages have been read.
    Complete,
}

/// The job API of one controller.
pub struct JobApi {
    node: String,
    page_scan: PageScan,
    /// The number of the present scan: answers to an earlier one are ignored.
    scan_generation: u64,
    next_scan_at: Micros,
    group_commit: GroupCommit<Box<JobSpec>>,
    /// The requests that wait for a job's acceptance, by job.
    submissions: BTreeMap<String, Vec<u64>>,
    /// Requests that wait for a read of all changes of jobs: their jobs may have been accepted or
    /// cancelled by another node a moment ago.
    awaiting_job_changes: Vec<u64>,
    /// Whether such a read is in flight.
    reading_job_changes: bool,
    next_job_changes_at: Micros,
    statuses: BTreeMap<String, JobStatus>,
    /// The jobs with a status, in the order in which they may be forgotten.
    status_order: VecDeque<String>,
    /// Open jobs with dependencies, and the jobs that they depend on.
    dependency_graph: DependencyGraph<DependentJob>,
    next_dependency_read_at: Micros,
    /// The latest cancelled jobs that are known here.
    cancelled: BTreeSet<String>,
    /// The same, by the version of their key.
    cancelled_by_version: BTreeMap<u64, Vec<String>>,
    /// Cancellations up to this version may have been forgotten.
    cancelled_forgotten_up_to: u64,
    /// Requests without an answer, by their id.
    pending: BTreeMap<u64, PendingRequest>,
    /// The number of the last request that has come.
    last_sequence: RequestSequence,
    /// Requests whose job's own key has to be compared or read, by job.
    awaiting_compare: BTreeMap<String, Vec<u64>>,
    compares_in_flight: usize,
    next_compare_at: Micros,
    /// Jobs whose key is being read because an agent reports a task of them.
    reads_in_flight: BTreeSet<String>,
    /// Progress of open jobs as the leader last told it: tasks done and running.
    counts: BTreeMap<String, (u32, u32)>,
    /// Since when the state service has refused every request.
    refused_since: Option<Micros>,
    /// Requests refused with 503 since the last log, by reason.
    refusals: BTreeMap<Refusal, u32>,
    /// How long accepted submissions waited since the last log.
    waits: Waits,
    /// Answers since the last log, by the source of their proof.
    answers_by_source: BTreeMap<ProofSource, u32>,
    /// Requests since the last log that came after the read had been sent that would have answered
    /// them.
    stale_proofs: u32,
}

impl JobApi {
    /// The job API of this node, which knows of no job yet.
    pub fn new(node: &str) -> JobApi {
        JobApi {
            node: node.to_string(),
            page_scan: PageScan::From(String::new()),
            scan_generation: 0,
            next_scan_at: Micros::ZERO,
            group_commit: GroupCommit::new(),
            submissions: BTreeMap::new(),
            awaiting_job_changes: vec![],
            reading_job_changes: false,
            next_job_changes_at: Micros::ZERO,
            statuses: BTreeMap::new(),
            status_order: VecDeque::new(),
            dependency_graph: DependencyGraph::new(),
            next_dependency_read_at: Micros::ZERO,
            cancelled: BTreeSet::new(),
            cancelled_by_version: BTreeMap::new(),
            cancelled_forgotten_up_to: 0,
            pending: BTreeMap::new(),
            last_sequence: RequestSequence::default(),
            awaiting_compare: BTreeMap::new(),
            compares_in_flight: 0,
            next_compare_at: Micros::ZERO,
            reads_in_flight: BTreeSet::new(),
            counts: BTreeMap::new(),
            refused_since: None,
            refusals: BTreeMap::new(),
            waits: Waits::default(),
            answers_by_source: BTreeMap::new(),
            stale_proofs: 0,
        }
    }

    /// Whether all pages of acceptances have been read, so that requests about any job can be
    /// decided here.
    pub fn is_ready(&self) -> bool {
        self.page_scan == PageScan::Complete
    }

    /// The number of pages, and of those that name open jobs, for the periodic log message.
    pub fn pages(&self) -> (usize, usize) {
        self.group_commit.pages()
    }

    /// Refuses requests that have waited too long, and sends the requests to the state service that
    /// are due. `seen` is the revision up to which all changes of jobs are known here, if any is.
    pub fn tick(&mut self, context: &mut Context, cluster: &ClusterConfig, seen: Option<u64>) {
        self.refuse_late(context);
        let Some(seen) = seen else { return };
        self.scan_pages(context);
        self.write_pages(context, cluster);
        self.read_unknown_dependencies(context);
        self.read_job_changes(context, seen);
        self.compare_keys(context, cluster);
    }

    /// Reads the next part of the pages of acceptances.
    fn scan_pages(&mut self, context: &mut Context) {
        let PageScan::From(after) = &self.page_scan else { return };
        if context.now < self.next_scan_at {
            return;
        }
        let after = after.clone();
        let request = StoreRequest::List {
            prefix: keys::ACCEPTED.into(),
            after: after.clone(),
        };
        self.page_scan = PageScan::InFlight(after);
        let continuation = Continuation::Api(ApiContinuation::ScanPages(self.scan_generation));
        context.store.push(Urgency::Lead, request, continuation, SCAN_TIMEOUT);
    }

    /// Reads all changes of jobs after the revision `seen` for the requests that wait for it.
    fn read_job_changes(&mut self, context: &mut Context, seen: u64) {
        let now = context.now;
        let due = !self.awaiting_job_changes.is_empty() && now >= self.next_job_changes_at;
        if self.reading_job_changes || !due || !self.is_ready() {
            return;
        }
        self.next_job_changes_at = now + BATCH_DELAY;
        self.reading_job_changes = true;
        let request = StoreRequest::Watch {
            prefix: keys::JOBS.into(),
            after: seen,
            wait_ms: 0,
        };
        let continuation = Continuation::Api(ApiContinuation::ReadJobChanges {
            covers: self.last_sequence,
            requests: std::mem::take(&mut self.awaiting_job_changes),
        });
        context
            .store
            .push(Urgency::User, request, continuation, CHANGES_TIMEOUT);
    }

    /// Compares the keys of jobs that requests wait for, many in one transaction. The pause between
    /// two of them bounds this node's load on the state service, however many users ask, and leaves
    /// its requests to submissions and starts.
    fn compare_keys(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let now = context.now;
        while self.compares_in_flight < MAX_COMPARES && !self.awaiting_compare.is_empty() && now >= self.next_compare_at
        {
            self.next_compare_at = now + BATCH_DELAY;
            let jobs = self.take_jobs_to_compare(cluster.limits.conditions());
            let condition = |compared: &ComparedJob| Condition {
                key: keys::job(&compared.job),
                version: compared.version,
            };
            let txn = Transaction {
                conditions: jobs.iter().map(condition).collect(),
                changes: vec![],
            };
            self.compares_in_flight += 1;
            let covers = self.last_sequence;
            let continuation = Continuation::Api(ApiContinuation::CompareKeys { covers, jobs });
            let request = StoreRequest::Transaction(txn);
            context
                .store
                .push(Urgency::User, request, continuation, COMPARE_TIMEOUT);
        }
    }

    fn take_jobs_to_compare(&mut self, max_jobs: usize) -> Vec<ComparedJob> {
        let mut jobs = vec![];
        while jobs.len() < max_jobs {
            let Some((job, requests)) = self.awaiting_compare.pop_first() else {
                break;
            };
            let version = self.statuses.get(&job).map_or(0, |status| status.version);
            jobs.push(ComparedJob { job, version, requests });
        }
        jobs
    }

    /// How many submissions were accepted since the last call, and how long they waited here.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }

    /// How many requests were refused with 503 since the last call, by reason.
    pub fn take_refusals(&mut self) -> BTreeMap<String, u32> {
        let refusals = std::mem::take(&mut self.refusals);
        refusals
            .into_iter()
            .map(|(refusal, count)| (refusal.to_string(), count))
            .collect()
    }

    /// How many requests were answered since the last call, by the source of the proof, and how
    /// many came after the read had been sent that would have answered them.
    pub fn take_answered(&mut self) -> (BTreeMap<ProofSource, u32>, u32) {
        (
            std::mem::take(&mut self.answers_by_source),
            std::mem::take(&mut self.stale_proofs),
        )
    }

    /// Forgets that the state service refused requests, because it is reached through another
    /// controller from now on.
    pub fn reset_outage(&mut self) {
        self.refused_since = None;
    }

    /// Notes from an answer to any request whether the state service is out. Watches and renewals
    /// count too: while users are refused at once, none of their requests would show that it is
    /// back.
    pub fn note_health(&mut self, now: Micros, answer: &StoreResponse) {
        match answer {
            StoreResponse::Refused | StoreResponse::Unknown => {
                self.refused_since.get_or_insert(now);
            }
            _ => self.refused_since = None,
        }
    }
}

/// The most bytes of a job's description, so that a page of acceptances and a segment of the
/// write-ahead log can hold it with what they store beside it.
fn max_description_bytes(cluster: &ClusterConfig) -> usize {
    cluster.limits.value_bytes().saturating_sub(300)
}
