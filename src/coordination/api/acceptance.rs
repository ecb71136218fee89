//! Acceptances: which jobs this node writes into its pages, what came of it, and what the
//! pages of all nodes say. What goes into which page, and when, `glenhaven-group-commit` decides.

use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation};
use super::read_proof::{ReadProof, RequestSequence, Source};
use super::{refuse, ApiContinuation, CachedStatus, JobApi, PAGE_FRAME, PAGE_LIMIT};
use crate::protocol::store::{Change, Condition, StoreRequest, StoreResponse, Transaction, WatchEvent};
use crate::protocol::users::{JobSpec, Phase, Shape};
use crate::storage::keys;
use crate::storage::records::{from_value, to_value, Accepted, JobValue};
use crate::time::Micros;
use glenhaven_group_commit::{Batch, PageCapacity};

/// Room in a transaction, below the service's 64 KiB.
const TXN_BYTES: usize = 62 * 1024;
/// Jobs in a page at most, and what a condition takes: ids have up to 64 bytes.
const MOST_JOBS: usize = 256;
const CONDITION: usize = 100;

impl JobApi {
    /// News of jobs, in the order in which they were made. Older ones never replace newer.
    fn learn_news(&mut self, events: &[WatchEvent]) {
        for event in events {
            let WatchEvent::Put { key, value, version } = event else {
                continue;
            };
            if keys::parse_accepted(key).is_some() {
                self.learn_page(key, value, *version, true);
            } else if let Some(id) = key.strip_prefix(keys::JOBS) {
                match from_value::<JobValue>(value) {
                    Some(job) => self.learn(id, *version, job.phase),
                    None => tracing::error!(key, "malformed job value"),
                }
            }
        }
    }

    /// A page of acceptances was seen. `new`: when it was written, so that none of its
    /// jobs was over then.
    pub(super) fn learn_page(&mut self, key: &str, value: &ciborium::Value, version: u64, new: bool) {
        let Some((node, slot)) = keys::parse_accepted(key) else {
            return tracing::error!(key, "malformed key of a page of acceptances");
        };
        let Some(page) = from_value::<Accepted>(value) else {
            tracing::error!(key, "malformed page of acceptances");
            if node == self.node {
                // It is let alone for ever: a page that is written there would fail on its
                // version, and with it all that waits. No job has this name.
                self.group_commit.saw(slot, version, &[key.to_string()], |_| false);
            }
            return;
        };
        let jobs: Vec<String> = page.jobs.iter().map(|spec| spec.id.clone()).collect();
        if node == self.node {
            let known = &self.known;
            let is_over = |id: &str| known.get(id).is_some_and(|k| k.phase.is_final());
            self.group_commit.saw(slot, version, &jobs, is_over);
        }
        for spec in page.jobs {
            self.learn_accepted(spec, version, new);
        }
    }

    /// A job stands in a page that was written at this revision. `checked`: it was not over
    /// then, and what has happened since will be seen.
    fn learn_accepted(&mut self, spec: JobSpec, version: u64, checked: bool) {
        let (job, service) = (spec.id.clone(), spec.shape == Shape::Service);
        self.learn_named(spec, version);
        if let Some(known) = self.known.get_mut(&job) {
            known.checked |= checked;
            known.service |= service;
            if known.page == 0 {
                known.page = version;
            }
            known.repeated |= known.page != version;
            if known.checked && !known.phase.is_final() {
                self.dependency_graph.open(&job);
            }
            return;
        }
        if checked {
            self.dependency_graph.open(&job);
        } else {
            // Whether it is over is asked for with the next compare.
            self.to_verify.entry(job.clone()).or_default();
        }
        self.remember(
            job,
            CachedStatus {
                version: 0,
                phase: Phase::Pending,
                checked,
                service,
                page: version,
                repeated: false,
            },
        );
    }

    /// Writes the pages that can go out now. They are made up only then, so that nothing
    /// is written for users who have given up meanwhile.
    pub(super) fn accept(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        if !self.is_ready() {
            return;
        }
        // The transaction holds the page and a condition for each job: with large values,
        // its own limit is met before that of the value.
        let jobs = cluster.limits.conditions().saturating_sub(1).clamp(1, MOST_JOBS);
        let bytes = cluster.limits.value_bytes().min(TXN_BYTES - jobs * CONDITION);
        let room = PageCapacity {
            bytes: bytes.saturating_sub(PAGE_FRAME),
            jobs,
        };
        let mut sent = 0.0;
        while context.store.write_allowed(sent + 1.0, Urgency::User, context.now) {
            let Some(batch) = self.group_commit.next(room, context.now) else {
                break;
            };
            sent += 1.0;
            self.send_page(context, batch);
        }
        context
            .store
            .set_held_back_changes(self.group_commit.pages_waiting(room) as f64);
    }

    fn send_page(&self, context: &mut Context, batch: Batch<Box<JobSpec>>) {
        let key = keys::accepted(&self.node, batch.slot);
        let mut conditions = vec![Condition {
            key: key.clone(),
            version: batch.version,
        }];
        conditions.extend(batch.jobs.iter().map(|(id, _)| Condition {
            key: keys::job(id),
            version: 0,
        }));
        let (number, slot, version) = (batch.number, batch.slot, batch.version);
        tracing::debug!(number, slot, version, jobs = batch.jobs.len(), "acceptances");
        let page = Accepted {
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
        // Requests that come from here on may be younger than the commit.
        let covers = self.arrived;
        let continuation = Continuation::Api(ApiContinuation::Accept { covers, number, slot });
        context
            .store
            .push(Urgency::User, StoreRequest::Transaction(txn), continuation, PAGE_LIMIT);
    }

    /// The page's jobs are accepted: it was committed at this revision. Requests that came after
    /// it had left go on with what is known now.
    fn accepted(&mut self, context: &mut Context, number: u64, evidence: &ReadProof) {
        let known = &self.known;
        let is_over = |id: &str| known.get(id).is_some_and(|k| k.phase.is_final());
        for (job, spec) in self.group_commit.committed(number, evidence.revision, is_over) {
            self.learn_accepted(*spec, evidence.revision, true);
            let phase = self.known.get(&job).map_or(Phase::Pending, |k| k.phase);
            let phase = self.final_phase(&job).unwrap_or(phase);
            // Another node may have accepted it before, and told its user since that it is
            // withdrawn with one before it: the news up to now tell.
            let waits = !phase.is_final() && self.waits(&job);
            for id in self.submits.remove(&job).unwrap_or_default() {
                if waits {
                    self.await_news(id, evidence);
                } else {
                    self.answer_by(context, id, phase, 201, evidence);
                }
            }
        }
    }

    /// A submission of a job that waits for others, and that a page of this node accepts, is
    /// answered after all news up to now were read.
    fn await_news(&mut self, id: u64, page: &ReadProof) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.accepted_here = page.covers(pending.arrival);
            self.to_sync.push(id);
        }
    }

    /// Requests that wait for the acceptance of a job that was accepted by another page, or
    /// is over, go on with that.
    pub(super) fn settle_submits(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let settled: Vec<String> = self
            .submits
            .keys()
            .filter(|job| self.known.contains_key(*job) && !self.group_commit.is_flying(job))
            .cloned()
            .collect();
        for job in settled {
            self.group_commit.withdraw(&job);
            for id in self.submits.remove(&job).unwrap_or_default() {
                self.advance(context, cluster, id);
            }
        }
    }

    /// The answer to a page of this node that left when `covers` was the last request.
    pub(super) fn on_accept(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: RequestSequence,
        (number, slot): (u64, u32),
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed { revision } => {
                let evidence = ReadProof::new(Source::Page, covers, revision);
                self.accepted(context, number, &evidence);
            }
            StoreResponse::Conflict { failed, .. } => {
                let over: Vec<String> = failed
                    .iter()
                    .filter(|key| keys::parse_accepted(key).is_none())
                    .filter_map(|key| key.strip_prefix(keys::JOBS))
                    .map(str::to_string)
                    .collect();
                self.group_commit.failed(number, &over);
                for job in over {
                    let ids = self.submits.remove(&job).unwrap_or_default();
                    self.send_read(context, &job, ids, Micros::ZERO);
                }
                let key = keys::accepted(&self.node, slot);
                if failed.contains(&key) {
                    // An earlier try, or an earlier life of this process, has written it.
                    let continuation = Continuation::Api(ApiContinuation::Page(slot));
                    context.store.push(
                        Urgency::User,
                        StoreRequest::Get { key },
                        continuation,
                        Micros::from_millis(300),
                    );
                }
            }
            StoreResponse::Malformed => {
                let jobs = self.group_commit.abandon(number);
                for id in jobs.iter().filter_map(|job| self.submits.remove(job)).flatten() {
                    if self.pending.remove(&id).is_some() {
                        refuse(context, id, 503, "the state service refuses the job");
                    }
                }
            }
            // Not executed, or nobody knows: what is still wanted is written again, on
            // condition of the same version, so that one of the two fails.
            _ => self.group_commit.failed(number, &[]),
        }
        self.settle_submits(context, cluster);
    }

    /// News of jobs were seen.
    pub fn on_news(&mut self, context: &mut Context, cluster: &ClusterConfig, events: &[WatchEvent]) {
        self.learn_news(events);
        if !self.submits.is_empty() {
            self.settle_submits(context, cluster);
        }
    }
}
