//! The pages of acceptances: stored values that each list jobs accepted by one node.
//!
//! This module writes the pages of this node and applies the pages of all nodes as they are read.
//! `glenhaven-group-commit` decides which jobs go into which page and when; this module sends the
//! writes and reports their outcomes to it.
//!
//! Invariant: a page is written on condition of the slot's version and of the absence of each job's
//! own key, so that a job that has ended is never accepted again.

use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation};
use super::acceptance_status::OwnPage;
use super::read_proof::{Coverage, ProofSource, ReadProof};
use super::status::{FirstPage, JobStatus};
use super::{ApiContinuation, JobApi, Refusal, PAGE_FRAME_BYTES, PAGE_WRITE_TIMEOUT};
use crate::protocol::store::{Change, Condition, StoreRequest, StoreResponse, Transaction, WatchEvent};
use crate::protocol::users::{JobSpec, Phase, Shape};
use crate::storage::keys;
use crate::storage::records::{from_value, to_value, AcceptancePage, JobValue};
use crate::time::Micros;
use glenhaven_group_commit::{Batch, PageCapacity};

/// The maximum size of a transaction in bytes, below the state service's limit of 64 KiB.
const TRANSACTION_BYTES: usize = 62 * 1024;
/// The maximum number of jobs in a page.
const MAX_JOBS_IN_PAGE: usize = 256;
/// The size of a condition on a job's key, in bytes; a job id has up to 64 bytes.
const CONDITION_BYTES: usize = 100;

/// Timeout of the read of a page of this node.
const PAGE_READ_TIMEOUT: Micros = Micros::from_millis(300);

/// A write of a page of acceptances by this node.
pub(super) struct PageWrite {
    /// The user requests that the commit may decide.
    pub covers: Coverage,
    /// The number of the batch.
    pub number: u64,
    /// The slot of the page.
    pub slot: u32,
}

impl JobApi {
    /// Applies changes of jobs' keys and of pages, in the order of their revisions.
    fn apply_changes(&mut self, events: &[WatchEvent]) {
        for event in events {
            let WatchEvent::Put { key, value, version } = event else {
                continue;
            };
            if keys::parse_acceptance_page(key).is_some() {
                self.apply_page(key, value, *version, true);
            } else if let Some(id) = key.strip_prefix(keys::JOBS) {
                match from_value::<JobValue>(value) {
                    Some(job) => self.record_phase(id, *version, job.phase),
                    None => tracing::error!(key, "malformed job value"),
                }
            }
        }
    }

    /// Applies a page of acceptances. `new` means that the page was just written, so that none of
    /// its jobs had ended at its version.
    pub(super) fn apply_page(&mut self, key: &str, value: &ciborium::Value, version: u64, new: bool) {
        let Some((node, slot)) = keys::parse_acceptance_page(key) else {
            return tracing::error!(key, "malformed key of a page of acceptances");
        };
        let Some(page) = from_value::<AcceptancePage>(value) else {
            tracing::error!(key, "malformed page of acceptances");
            if node == self.node {
                // Without a record the slot would count as unused, and every write there would fail
                // on its version. The page is recorded with an open job that can't exist, so that
                // the slot is never reused.
                self.group_commit
                    .page_seen(slot, version, &[key.to_string()], |_| false);
            }
            return;
        };
        let jobs: Vec<String> = page.jobs.iter().map(|spec| spec.id.clone()).collect();
        if node == self.node {
            let known = &self.statuses;
            let has_ended = |id: &str| known.get(id).is_some_and(|k| k.phase.is_final());
            self.group_commit.page_seen(slot, version, &jobs, has_ended);
        }
        let accepted_by = FirstPage {
            revision: version,
            node: self.page_node(node),
        };
        for spec in page.jobs {
            self.apply_accepted_job(spec, accepted_by, new);
        }
    }

    /// Returns the index of a node in `page_nodes`.
    fn page_node(&mut self, node: &str) -> usize {
        if let Some(index) = self.page_nodes.iter().position(|known| known == node) {
            return index;
        }
        self.page_nodes.push(node.to_string());
        self.page_nodes.len() - 1
    }

    /// Applies a job of a page. `checked` means that the job had not ended at the page's revision
    /// and that this node will receive all later changes of its key.
    fn apply_accepted_job(&mut self, spec: JobSpec, page: FirstPage, checked: bool) {
        let (job, service) = (spec.id.clone(), spec.shape == Shape::Service);
        self.add_to_dependency_graph(spec, page.revision);
        if let Some(status) = self.statuses.get_mut(&job) {
            status.checked |= checked;
            status.service |= service;
            if status.first_page.is_none_or(|first| page.revision < first.revision) {
                status.first_page = Some(page);
            }
            if status.checked && !status.phase.is_final() {
                self.dependency_graph.mark_open(&job);
            }
            if status.phase == Phase::Cancelled {
                // The leader's state adds the job only when it receives this page.
                let version = status.version;
                self.queue_for_leader(&job, version);
            }
            return;
        }
        if checked {
            self.dependency_graph.mark_open(&job);
        } else {
            // The next compare shows whether the job has ended.
            self.awaiting_compare.entry(job.clone()).or_default();
        }
        self.insert_status(
            job,
            JobStatus {
                version: 0,
                phase: Phase::Pending,
                checked,
                service,
                first_page: Some(page),
            },
        );
    }

    /// Writes the pages that may be sent now. Pages are filled only at this point, so that no job
    /// is written whose request has already timed out.
    pub(super) fn write_pages(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        if !self.is_ready() {
            return;
        }
        // The transaction contains the page and a condition for each job. Where the limit of a
        // value is high, the limit of the transaction is the lower one.
        let jobs = cluster
            .limits
            .max_conditions()
            .saturating_sub(1)
            .clamp(1, MAX_JOBS_IN_PAGE);
        let bytes = cluster
            .limits
            .max_value_bytes()
            .min(TRANSACTION_BYTES - jobs * CONDITION_BYTES);
        let capacity = PageCapacity {
            bytes: bytes.saturating_sub(PAGE_FRAME_BYTES),
            jobs,
        };
        let mut sent = 0.0;
        while context.store.write_allowed(sent + 1.0, Urgency::User, context.now) {
            let Some(batch) = self.group_commit.next(capacity, context.now) else {
                break;
            };
            sent += 1.0;
            self.write_page(context, batch);
        }
        context
            .store
            .set_held_back_changes(self.group_commit.pages_waiting(capacity) as f64);
    }

    /// Sends the write of a page, on condition that none of its jobs has a key of its own, and
    /// requests a read of all changes, which shows whether another page accepted one of them before.
    fn write_page(&mut self, context: &mut Context, batch: Batch<Box<JobSpec>>) {
        let key = keys::acceptance_page(&self.node, batch.slot);
        let submissions: Vec<u64> = batch
            .jobs
            .iter()
            .filter_map(|(job, _)| self.submissions.get(job))
            .flatten()
            .copied()
            .collect();
        let mut conditions = vec![Condition {
            key: key.clone(),
            version: batch.version,
        }];
        conditions.extend(batch.jobs.iter().map(|(id, _)| Condition {
            key: keys::job(id),
            version: 0,
        }));
        let (number, slot, version) = (batch.number, batch.slot, batch.version);
        tracing::debug!(
            number,
            slot,
            version,
            jobs = batch.jobs.len(),
            "sent the write of a page of acceptances"
        );
        let page = AcceptancePage {
            jobs: batch.jobs.into_iter().map(|(_, spec)| *spec).collect(),
        };
        let txn = Transaction {
            conditions,
            changes: vec![Change::Put {
                key,
                value: to_value(&page),
                lease: None,
            }],
        };
        // A request that arrives later may arrive after the commit, which then doesn't cover it.
        let covers = self.coverage();
        let continuation = Continuation::Api(ApiContinuation::WritePage { covers, number, slot });
        let request = StoreRequest::Transaction(txn);
        context
            .store
            .push(Urgency::User, request, continuation, PAGE_WRITE_TIMEOUT);
        self.awaiting_job_changes.extend(submissions);
        self.page_needs_changes = true;
    }

    /// Applies the jobs of a page that was committed, and answers its submissions for which all
    /// changes of jobs were read. Requests that arrived after the write had been sent are not covered
    /// by the commit and take their next step.
    fn on_page_committed(&mut self, context: &mut Context, cluster: &ClusterConfig, number: u64, proof: &ReadProof) {
        let known = &self.statuses;
        let has_ended = |id: &str| known.get(id).is_some_and(|k| k.phase.is_final());
        let accepted = self.group_commit.committed(number, proof.revision, has_ended);
        let own_node = self.node.clone();
        let page = FirstPage {
            revision: proof.revision,
            node: self.page_node(&own_node),
        };
        for (job, spec) in accepted {
            self.apply_accepted_job(*spec, page, true);
            for id in self.submissions.remove(&job).unwrap_or_default() {
                self.on_submission_stored(context, cluster, id, proof);
            }
        }
    }

    /// Records the page of this node that accepts the job of a submission, and answers the
    /// submission if all changes of jobs were read for it.
    fn on_submission_stored(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, page: &ReadProof) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !page.covers(pending.sequence) {
            return self.request_fresh_proof(id);
        }
        pending.own_page = Some(OwnPage {
            proof: *page,
            committed_at: context.now,
        });
        if let Some(changes) = pending.changes_proof {
            self.on_changes_known(context, cluster, id, &changes);
        }
    }

    /// Advances submissions whose job was accepted by another page or has ended.
    pub(super) fn resolve_submissions(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let resolved: Vec<String> = self
            .submissions
            .keys()
            .filter(|job| self.statuses.contains_key(*job) && !self.group_commit.is_in_flight(job))
            .cloned()
            .collect();
        for job in resolved {
            self.group_commit.withdraw(&job);
            for id in self.submissions.remove(&job).unwrap_or_default() {
                self.advance(context, cluster, id);
            }
        }
    }

    /// Handles the answer to the write of a page by this node.
    pub(super) fn on_page_written(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        write: PageWrite,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed { revision } => {
                let proof = ReadProof::new(ProofSource::PageCommit, write.covers, revision);
                self.on_page_committed(context, cluster, write.number, &proof);
            }
            StoreResponse::Conflict { failed, .. } => self.on_page_conflict(context, &write, &failed),
            StoreResponse::Malformed => self.on_page_rejected(context, write.number),
            // Not executed, or unknown: the jobs that users still wait for are written again, on
            // condition of the same version, so that at most one of the two writes succeeds.
            _ => self.group_commit.failed(write.number, &[]),
        }
        self.resolve_submissions(context, cluster);
    }

    /// Handles failed conditions of a page write. A failed condition on a job's key means that the
    /// job has ended: its key is read. One on the page's key means that the page was written
    /// meanwhile: the page is read.
    fn on_page_conflict(&mut self, context: &mut Context, write: &PageWrite, failed: &[String]) {
        let ended: Vec<String> = failed
            .iter()
            .filter(|key| keys::parse_acceptance_page(key).is_none())
            .filter_map(|key| key.strip_prefix(keys::JOBS))
            .map(str::to_string)
            .collect();
        self.group_commit.failed(write.number, &ended);
        for job in ended {
            let ids = self.submissions.remove(&job).unwrap_or_default();
            self.send_read(context, &job, ids, Micros::ZERO);
        }
        let key = keys::acceptance_page(&self.node, write.slot);
        if failed.contains(&key) {
            // The page was written by an earlier attempt at this write, or by an earlier
            // incarnation of this process.
            let continuation = Continuation::Api(ApiContinuation::ReadOwnPage(write.slot));
            let request = StoreRequest::Get { key };
            context
                .store
                .push(Urgency::User, request, continuation, PAGE_READ_TIMEOUT);
        }
    }

    /// Refuses the submissions of a page that the state service rejected as malformed.
    fn on_page_rejected(&mut self, context: &mut Context, number: u64) {
        let jobs = self.group_commit.abandon(number);
        for id in jobs.iter().filter_map(|job| self.submissions.remove(job)).flatten() {
            if self.pending.remove(&id).is_some() {
                Refusal::RejectedByStore.send(context, id);
            }
        }
    }

    /// Applies changes of jobs from a watch or a read.
    pub fn on_job_changes(&mut self, context: &mut Context, cluster: &ClusterConfig, events: &[WatchEvent]) {
        self.apply_changes(events);
        if !self.submissions.is_empty() {
            self.resolve_submissions(context, cluster);
        }
    }
}
