//! The job API of every controller: submissions, polls and cancellations of users.
//!
//! The module owns the user requests that wait for the state service, and the phases of jobs as far
//! as they are known here. A node accepts jobs by writing them into its own pages, and cancels a
//! job by a compare-and-set on the job's own key. An open job is listed in a page of acceptances;
//! its own key is written when the job gets a final phase, and is never deleted. The controller
//! passes in user requests and the answers of the state service; the leader only reads phases from
//! here.
//!
//! Invariant: a user is answered only with a final phase, or from a read or a write of a page that
//! was sent after the request had arrived; `read_proof` checks this for every answer.
//!
//! - `request` and `refusal`: waiting requests, and the reasons to refuse one;
//! - `request_flow`: the steps of a request until its answer;
//! - `status`: the known phases of jobs;
//! - `acceptance`: the pages of acceptances;
//! - `acceptance_status`: whether an accepted job was new, status 201, or known already, status 200;
//! - `answer_log`: what is logged about answers;
//! - `answers`: the answers of the state service, and the user requests that they answer or
//!   advance;
//! - `dependencies`: jobs with dependencies;
//! - `cancellations`: the latest cancellations, for attestations and for the leader's state;
//! - `read_proof`: whether an answer is based on a read that is new enough.

mod acceptance;
mod acceptance_status;
mod answer_log;
mod answers;
mod cancellations;
mod dependencies;
mod read_proof;
mod refusal;
mod request;
mod request_flow;
mod status;

pub use answer_log::{AnswerSummary, SubmissionAnswers};
pub use cancellations::Cancellation;
pub use dependencies::DependentJob;
pub use read_proof::{Coverage, ProofSource, RequestSequence};
pub use refusal::Refusal;

use super::store_queue::Urgency;
use super::{ClusterConfig, Context, Continuation};
use crate::protocol::store::{Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::keys;
use crate::time::Micros;
use glenhaven_dependencies::DependencyGraph;
use glenhaven_group_commit::{GroupCommit, WaitHistogram, Waited};
use request::PendingRequest;
use status::JobStatus;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job whose own key is compared with this version, and the user requests that wait for the
/// result.
#[derive(Clone, Debug)]
pub struct ComparedJob {
    job: String,
    version: u64,
    requests: Vec<u64>,
}

/// The purpose of a request to the state service, by which its answer is handled. `covers` tells
/// which user requests the answer may decide.
#[derive(Clone, Debug)]
pub enum ApiContinuation {
    /// A compare of the keys of many jobs.
    CompareKeys {
        /// What the answer may decide.
        covers: Coverage,
        /// The jobs that are compared.
        jobs: Vec<ComparedJob>,
    },
    /// A read of a job's own key.
    ReadKey {
        /// What the answer may decide.
        covers: Coverage,
        /// The job.
        job: String,
        /// The user requests that wait for the read.
        requests: Vec<u64>,
    },
    /// The write of a page of acceptances of this node.
    WritePage {
        /// What the answer may decide.
        covers: Coverage,
        /// The number of the batch.
        number: u64,
        /// The slot of the page.
        slot: u32,
    },
    /// A read of the page in this slot of this node, whose version was not as expected.
    ReadOwnPage(u32),
    /// A part of the scan of all pages of acceptances, with the number of the scan.
    ScanPages(u64),
    /// A read of all changes of jobs, for requests about jobs that other nodes may have accepted.
    ReadJobChanges {
        /// What the answer may decide.
        covers: Coverage,
        /// The user requests that wait for the read.
        requests: Vec<u64>,
    },
    /// The cancellation for the user request with this id.
    Cancel(u64),
}

/// The time in seconds after which users should retry a request that was refused with 503.
const RETRY_AFTER_S: u32 = 1;
/// Time after which an undecided submission or cancellation is refused. Users wait longer than
/// this, but a retry may reach a node with a better connection.
const SUBMIT_TIMEOUT: Micros = Micros::from_millis(2500);
/// Time after which an undecided poll is refused.
const POLL_TIMEOUT: Micros = Micros::from_millis(1700);
/// The state service counts as unavailable once all requests to it have failed for this long.
const OUTAGE_AFTER: Micros = Micros::from_millis(600);
/// The maximum number of jobs whose status is kept. Only jobs with a final phase are dropped, and
/// their keys are read again for the next request about them; the statuses of open jobs are kept
/// even beyond this number.
const MAX_STATUSES: usize = 20_000;
/// The number of requests to the state service that may wait before user requests are refused.
const MAX_BACKLOG: usize = 400;
/// Pause between two compares, and between two reads of changes, so that user requests are batched.
const BATCH_DELAY: Micros = Micros::from_millis(100);
/// The maximum number of reads of changes in flight: one for each page that may be in flight.
const MAX_JOB_CHANGES_READS: usize = 3;
/// The maximum number of compares in flight: more than one, so that a slow one doesn't delay the
/// next.
const MAX_COMPARES: usize = 2;

/// The size of a page of acceptances without its jobs, in bytes.
const PAGE_FRAME_BYTES: usize = 60;
/// Timeout of the write of a page, after which the page is written again.
const PAGE_WRITE_TIMEOUT: Micros = Micros::from_millis(150);
/// Timeout of the read of a part of the scan of pages.
const SCAN_TIMEOUT: Micros = Micros::from_millis(1000);
/// Timeout of a read of all changes of jobs.
const CHANGES_TIMEOUT: Micros = Micros::from_millis(400);
/// Timeout of a compare.
const COMPARE_TIMEOUT: Micros = Micros::from_millis(300);

/// The progress of the scan of all pages of acceptances.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PageScan {
    /// The pages after this key are read next.
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
    /// The number of the current scan; answers to an earlier scan are ignored.
    scan_generation: u64,
    next_scan_at: Micros,
    group_commit: GroupCommit<Box<JobSpec>>,
    /// The ids of user requests that wait for a job's acceptance, by job.
    submissions: BTreeMap<String, Vec<u64>>,
    /// User requests that wait for a read of all changes of jobs, because another node may just
    /// have accepted or cancelled their jobs.
    awaiting_job_changes: Vec<u64>,
    job_changes_reads_in_flight: usize,
    next_job_changes_at: Micros,
    /// Whether a page was written whose submissions wait for a read of all changes of jobs.
    page_needs_changes: bool,
    /// The revision up to which the watch has shown all changes of jobs.
    known_revision: u64,
    statuses: BTreeMap<String, JobStatus>,
    /// The jobs with a status, in the order in which their statuses may be dropped.
    status_order: VecDeque<String>,
    /// Open jobs with dependencies, and the jobs that they depend on.
    dependency_graph: DependencyGraph<DependentJob>,
    next_dependency_read_at: Micros,
    /// The latest cancelled jobs that are known here.
    cancelled: BTreeSet<String>,
    /// The jobs in `cancelled`, by the version of their keys.
    cancelled_by_version: BTreeMap<u64, Vec<String>>,
    /// Cancellations up to this version may have been dropped.
    cancellations_dropped_up_to: u64,
    /// Cancellations that have not been applied to the leader's state yet.
    cancellations_for_leader: Vec<Cancellation>,
    /// User requests without an answer, by their id.
    pending: BTreeMap<u64, PendingRequest>,
    /// The number of the last user request that has arrived.
    last_sequence: RequestSequence,
    /// User requests that wait for a compare or read of a job's own key, by that job. The list of a
    /// job is empty if only its status has to be checked.
    awaiting_compare: BTreeMap<String, Vec<u64>>,
    compares_in_flight: usize,
    next_compare_at: Micros,
    /// Jobs whose key is being read because an agent reports one of their tasks, or another job
    /// depends on them.
    reads_in_flight: BTreeSet<String>,
    /// The numbers of completed and running tasks of open jobs, as the leader last reported them.
    counts: BTreeMap<String, (u32, u32)>,
    /// The time since which every request to the state service has failed, if the last one did.
    refused_since: Option<Micros>,
    /// The number of requests refused with 503 since the last summary in the log, by reason.
    refusals: BTreeMap<Refusal, u32>,
    /// The waiting times of submissions accepted since the last summary in the log.
    waits: WaitHistogram,
    /// The answers since the last summary in the log.
    answered: AnswerSummary,
    /// The nodes whose pages were read; the first page of a job names its node by index.
    page_nodes: Vec<String>,
}

impl JobApi {
    /// Creates the job API of this node, without any job.
    pub fn new(node: &str) -> JobApi {
        JobApi {
            node: node.to_string(),
            page_scan: PageScan::From(String::new()),
            scan_generation: 0,
            next_scan_at: Micros::ZERO,
            group_commit: GroupCommit::new(),
            submissions: BTreeMap::new(),
            awaiting_job_changes: vec![],
            job_changes_reads_in_flight: 0,
            next_job_changes_at: Micros::ZERO,
            page_needs_changes: false,
            known_revision: 0,
            statuses: BTreeMap::new(),
            status_order: VecDeque::new(),
            dependency_graph: DependencyGraph::new(),
            next_dependency_read_at: Micros::ZERO,
            cancelled: BTreeSet::new(),
            cancelled_by_version: BTreeMap::new(),
            cancellations_dropped_up_to: 0,
            cancellations_for_leader: vec![],
            pending: BTreeMap::new(),
            last_sequence: RequestSequence::default(),
            awaiting_compare: BTreeMap::new(),
            compares_in_flight: 0,
            next_compare_at: Micros::ZERO,
            reads_in_flight: BTreeSet::new(),
            counts: BTreeMap::new(),
            refused_since: None,
            refusals: BTreeMap::new(),
            waits: WaitHistogram::default(),
            answered: AnswerSummary::default(),
            page_nodes: vec![],
        }
    }

    /// Returns whether all pages of acceptances have been read, so that requests about any job can
    /// be decided here.
    pub fn is_ready(&self) -> bool {
        self.page_scan == PageScan::Complete
    }

    /// Returns the number of this node's pages that name open jobs, and the number of all its
    /// pages, for the periodic log message.
    pub fn pages(&self) -> (usize, usize) {
        self.group_commit.pages()
    }

    /// Refuses user requests that have waited too long, and sends the requests to the state service
    /// that are due. `seen` is the revision up to which all changes of jobs are known here; with
    /// `None` nothing is sent.
    pub fn tick(&mut self, context: &mut Context, cluster: &ClusterConfig, seen: Option<u64>) {
        self.answer_without_novelty(context);
        self.refuse_timed_out(context);
        let Some(seen) = seen else { return };
        self.known_revision = seen;
        self.scan_pages(context);
        self.write_pages(context, cluster);
        self.read_unknown_dependencies(context);
        self.read_job_changes(context);
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
            prefix: keys::ACCEPTANCE_PAGES.into(),
            after: after.clone(),
        };
        self.page_scan = PageScan::InFlight(after);
        let continuation = Continuation::Api(ApiContinuation::ScanPages(self.scan_generation));
        context
            .store
            .push(Urgency::Leadership, request, continuation, SCAN_TIMEOUT);
    }

    /// Reads all changes of jobs that are not known here for the user requests that wait for them:
    /// together with each page of this node, and after a pause for other requests.
    fn read_job_changes(&mut self, context: &mut Context) {
        let now = context.now;
        let is_paused = self.job_changes_reads_in_flight > 0 || now < self.next_job_changes_at;
        if self.awaiting_job_changes.is_empty() || (is_paused && !self.page_needs_changes) {
            return;
        }
        if self.job_changes_reads_in_flight >= MAX_JOB_CHANGES_READS || !self.is_ready() {
            return;
        }
        self.next_job_changes_at = now + BATCH_DELAY;
        self.page_needs_changes = false;
        self.job_changes_reads_in_flight += 1;
        let request = StoreRequest::Watch {
            prefix: keys::JOBS.into(),
            after: self.known_revision,
            wait_ms: 0,
        };
        let continuation = Continuation::Api(ApiContinuation::ReadJobChanges {
            covers: self.coverage(),
            requests: std::mem::take(&mut self.awaiting_job_changes),
        });
        context
            .store
            .push(Urgency::User, request, continuation, CHANGES_TIMEOUT);
    }

    /// Compares the keys of jobs that requests wait for, many in one transaction. The pause between
    /// two transactions bounds this node's load on the state service independently of the number of
    /// user requests, and leaves the rest of its request rate to submissions and starts.
    fn compare_keys(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let now = context.now;
        while self.compares_in_flight < MAX_COMPARES && !self.awaiting_compare.is_empty() && now >= self.next_compare_at
        {
            self.next_compare_at = now + BATCH_DELAY;
            let jobs = self.take_jobs_to_compare(cluster.limits.max_conditions());
            let condition = |compared: &ComparedJob| Condition {
                key: keys::job(&compared.job),
                version: compared.version,
            };
            let txn = Transaction {
                conditions: jobs.iter().map(condition).collect(),
                changes: vec![],
            };
            self.compares_in_flight += 1;
            let covers = self.coverage();
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

    /// Returns the number and waiting times of submissions accepted since the last call.
    pub fn take_waits(&mut self) -> Option<Waited> {
        self.waits.take()
    }

    /// Returns how many requests were refused with 503 since the last call, by reason.
    pub fn take_refusals(&mut self) -> BTreeMap<String, u32> {
        let refusals = std::mem::take(&mut self.refusals);
        refusals
            .into_iter()
            .map(|(refusal, count)| (refusal.to_string(), count))
            .collect()
    }

    /// Returns the answers since the last call.
    pub fn take_answers(&mut self) -> AnswerSummary {
        std::mem::take(&mut self.answered)
    }

    /// Clears the record of failed requests to the state service. Called when requests begin to go
    /// through another controller.
    pub fn reset_outage(&mut self) {
        self.refused_since = None;
    }

    /// Records from an answer to any request whether the state service is available. Watches and
    /// lease renewals count too: during an outage user requests are refused at once, so that none
    /// of them would show that the service is back.
    pub fn record_store_response(&mut self, now: Micros, answer: &StoreResponse) {
        match answer {
            StoreResponse::Refused | StoreResponse::Unknown => {
                self.refused_since.get_or_insert(now);
            }
            _ => self.refused_since = None,
        }
    }
}

/// Returns the maximum size of a job's description in bytes. The rest of a value is left for what a
/// page of acceptances or a segment of the write-ahead log stores in addition.
fn max_description_bytes(cluster: &ClusterConfig) -> usize {
    cluster.limits.max_value_bytes().saturating_sub(300)
}
