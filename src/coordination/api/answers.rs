//! Handles the answers of the state service to requests of the job API, and answers or advances the
//! user requests that wait for them.
//!
//! Invariant: a user request is answered only with a final phase, or through `answer_if_fresh` and
//! `refuse_if_fresh`, which check that the proof is new enough for the request.

use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation};
use super::acceptance::PageWrite;
use super::acceptance_status::Novelty;
use super::answer_log::AnswerContext;
use super::read_proof::{Coverage, ProofSource, ReadProof};
use super::request::RequestKind;
use super::{ApiContinuation, ComparedJob, JobApi, PageScan, Refusal};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::protocol::to_cbor;
use crate::protocol::users::{JobState, Phase};
use crate::storage::keys;
use crate::storage::records::{from_value, JobValue};
use crate::time::Micros;
use glenhaven_dependencies::DependencyState;

/// Timeout of a read of a job's key, after which the read is repeated.
const READ_TIMEOUT: Micros = Micros::from_millis(300);

impl JobApi {
    /// Handles an answer of the state service to a request of the job API.
    pub fn on_store(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        continuation: ApiContinuation,
        answer: StoreResponse,
    ) {
        match continuation {
            ApiContinuation::CompareKeys { covers, jobs } => {
                self.on_keys_compared(context, cluster, covers, jobs, answer)
            }
            ApiContinuation::ReadKey { covers, job, requests } => {
                self.on_key_read(context, cluster, covers, job, requests, answer)
            }
            ApiContinuation::WritePage { covers, number, slot } => {
                let write = PageWrite { covers, number, slot };
                self.on_page_written(context, cluster, write, answer)
            }
            ApiContinuation::ReadOwnPage(slot) => self.on_own_page(context, cluster, slot, answer),
            ApiContinuation::ScanPages(scan) if scan != self.scan_generation => {}
            ApiContinuation::ScanPages(_) => self.on_pages_scanned(context, cluster, answer),
            ApiContinuation::ReadJobChanges { covers, requests } => {
                self.on_job_changes_read(context, cluster, covers, requests, answer)
            }
            ApiContinuation::Cancel(id) => self.on_cancelled(context, cluster, id, answer),
        }
    }

    /// Handles the answer to a compare of many keys.
    fn on_keys_compared(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: Coverage,
        jobs: Vec<ComparedJob>,
        answer: StoreResponse,
    ) {
        self.compares_in_flight = self.compares_in_flight.saturating_sub(1);
        let (failed, revision) = match answer {
            StoreResponse::Committed { revision } => (vec![], revision),
            StoreResponse::Conflict { failed, revision } => (failed, revision),
            _ => return self.repeat_compare(jobs),
        };
        let proof = ReadProof::new(ProofSource::KeyCompare, covers, revision);
        for ComparedJob { job, version, requests } in jobs {
            if failed.contains(&keys::job(&job)) {
                self.on_key_differs(context, &job, requests);
            } else {
                self.on_key_checked(context, cluster, &job, version, requests, &proof);
            }
        }
    }

    /// Queues the jobs of a compare without a usable answer for another compare, if requests still
    /// wait for them or their phase is still unchecked.
    fn repeat_compare(&mut self, jobs: Vec<ComparedJob>) {
        for ComparedJob { job, requests, .. } in jobs {
            let unchecked = self.statuses.get(&job).is_some_and(|k| !k.checked);
            if unchecked || requests.iter().any(|id| self.pending.contains_key(id)) {
                self.awaiting_compare.entry(job).or_default().extend(requests);
            }
        }
    }

    /// Handles a compare that found another version of a job's own key than is known here. Reads
    /// the key, unless the job is known only from the scan of pages and neither a request nor the
    /// dependency graph needs its phase.
    fn on_key_differs(&mut self, context: &mut Context, job: &str, requests: Vec<u64>) {
        let unchecked = self.statuses.get(job).is_some_and(|k| !k.checked);
        let needed = self.dependency_graph.has_dependents(job) || self.dependency_graph.job(job).is_some();
        if unchecked && requests.is_empty() && !needed {
            // The job has ended; its final phase is read when a user requests it.
            self.statuses.remove(job);
            self.group_commit.job_ended(job);
            return;
        }
        self.send_read(context, job, requests, Micros::ZERO);
    }

    /// Reads a job's own key for these requests, after a pause.
    pub(super) fn send_read(&self, context: &mut Context, job: &str, requests: Vec<u64>, pause: Micros) {
        let request = StoreRequest::Get { key: keys::job(job) };
        let continuation = Continuation::Api(ApiContinuation::ReadKey {
            covers: self.coverage(),
            job: job.to_string(),
            requests,
        });
        if pause == Micros::ZERO {
            context.store.push(Urgency::User, request, continuation, READ_TIMEOUT);
        } else {
            context
                .store
                .push_at(context.now + pause, Urgency::User, request, continuation, READ_TIMEOUT);
        }
    }

    /// Handles the answer to a read of a job's own key for these requests.
    fn on_key_read(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: Coverage,
        job: String,
        ids: Vec<u64>,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Row(row) => {
                let proof = ReadProof::new(ProofSource::KeyRead, covers, row.version);
                self.reads_in_flight.remove(&job);
                match from_value::<JobValue>(&row.value) {
                    Some(value) => self.record_phase(&job, row.version, value.phase),
                    None => tracing::error!(job, "malformed job value"),
                }
                if let Some(known) = self.statuses.get(&job).copied() {
                    self.on_key_checked(context, cluster, &job, known.version, ids, &proof);
                }
            }
            StoreResponse::Missing { revision } => {
                self.reads_in_flight.remove(&job);
                let proof = ReadProof::new(ProofSource::KeyRead, covers, revision);
                self.on_key_checked(context, cluster, &job, 0, ids, &proof);
            }
            _ => {
                self.reads_in_flight.remove(&job);
                let unchecked = self.statuses.get(&job).is_some_and(|k| !k.checked);
                if unchecked || ids.iter().any(|id| self.pending.contains_key(id)) {
                    let pause = context.jitter(Micros::from_millis(80));
                    self.send_read(context, &job, ids, pause);
                }
            }
        }
    }

    /// Handles the answer to a read of a page of this node whose version was not as expected.
    fn on_own_page(&mut self, context: &mut Context, cluster: &ClusterConfig, slot: u32, answer: StoreResponse) {
        // If the read fails, the next conflict on the page repeats it.
        if let StoreResponse::Row(row) = answer {
            self.apply_page(&row.key, &row.value, row.version, true);
            self.resolve_submissions(context, cluster);
        }
        tracing::debug!(slot, "a page of this node had another version than expected");
    }

    /// Handles the answer to a part of the scan of all pages of acceptances. A part that failed is
    /// read again after a pause.
    fn on_pages_scanned(&mut self, context: &mut Context, cluster: &ClusterConfig, answer: StoreResponse) {
        let PageScan::InFlight(after) = &self.page_scan else {
            return;
        };
        let after = after.clone();
        self.page_scan = match answer {
            StoreResponse::Rows(rows) => {
                for row in &rows.items {
                    self.apply_page(&row.key, &row.value, row.version, false);
                }
                match rows.items.last() {
                    Some(last) if rows.more => PageScan::From(last.key.clone()),
                    _ => PageScan::Complete,
                }
            }
            _ => {
                self.next_scan_at = context.now + context.jitter(Micros::from_millis(150));
                PageScan::From(after)
            }
        };
        self.resolve_submissions(context, cluster);
    }

    /// Handles the answer to a read of all changes of jobs for these requests.
    fn on_job_changes_read(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: Coverage,
        ids: Vec<u64>,
        answer: StoreResponse,
    ) {
        self.job_changes_reads_in_flight = self.job_changes_reads_in_flight.saturating_sub(1);
        if !self.follows_scan(covers) {
            // The changes since an earlier scan don't show whether a job was accepted before it.
            return self.await_scan(ids);
        }
        let StoreResponse::Events(events) = answer else {
            self.awaiting_job_changes
                .extend(ids.into_iter().filter(|id| self.pending.contains_key(id)));
            return;
        };
        self.on_job_changes(context, cluster, &events.events);
        let proof = ReadProof::new(ProofSource::JobChanges, covers, events.revision);
        for id in ids {
            self.on_changes_known(context, cluster, id, &proof);
        }
    }

    /// Handles the answer to a cancellation.
    fn on_cancelled(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, answer: StoreResponse) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        match answer {
            StoreResponse::Committed { revision } => {
                tracing::debug!(job, revision, "job cancelled by a user");
                self.record_phase(&job, revision, Phase::Cancelled);
                self.pending.remove(&id);
                let proof = ReadProof::of_final_phase(revision);
                self.answer(context, id, &job, Phase::Cancelled, 200, &proof);
            }
            StoreResponse::Conflict { .. } => self.send_read(context, &job, vec![id], Micros::ZERO),
            _ => self.retry_cancellation(context, cluster, id, &answer),
        }
    }

    /// Repeats a cancellation that was refused or not answered. A cancellation is conditional on
    /// the key's version, so that a second execution has no effect.
    fn retry_cancellation(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, answer: &StoreResponse) {
        if matches!(answer, StoreResponse::Unknown) {
            return self.advance(context, cluster, id);
        }
        let Some(job) = self.pending.get(&id).map(|p| p.job.clone()) else {
            return;
        };
        // The read costs one more request, but shows whether the job is known by now. The random
        // pause keeps nodes that were refused at the same time from retrying at the same time.
        let pause = context.jitter(Micros::from_millis(60));
        self.send_read(context, &job, vec![id], pause);
    }

    /// Advances these requests after a compare or read has shown the version of a job's own key (0
    /// if there is none). The job is that of the request or one of its dependencies.
    fn on_key_checked(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        job: &str,
        version: u64,
        ids: Vec<u64>,
        proof: &ReadProof,
    ) {
        if let Some(known) = self.statuses.get_mut(job) {
            // A final phase that became known meanwhile is newer than a read that doesn't show it.
            known.checked |= version <= known.version;
        }
        if version == 0 && self.statuses.get(job).is_none_or(|k| !k.phase.is_final()) {
            // A job without its own key has not ended, whichever node accepted it.
            self.dependency_graph.mark_open(job);
        }
        for id in ids {
            let follows_scan = self.follows_scan(proof.covers);
            let dependent = self.pending.get_mut(&id).filter(|p| p.job != job);
            if let Some(pending) = dependent {
                if follows_scan && !self.statuses.contains_key(job) {
                    pending.missing_dependencies.insert(job.to_string());
                }
                self.advance(context, cluster, id);
                continue;
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            let phase = self.known_phase(job);
            match (&pending.kind, phase) {
                (RequestKind::Submit(_), None) | (RequestKind::Cancel, Some(_)) => self.advance(context, cluster, id),
                // The job may have ended since, and its page may have been reused before the scan of
                // pages came to it.
                (_, None) if !follows_scan => self.await_scan(vec![id]),
                // The job has not ended. Whether another node has accepted it is read next.
                (_, None) => self.awaiting_job_changes.push(id),
                (_, Some(phase)) if !phase.is_final() && self.waits_for_dependencies(job) => {
                    self.awaiting_job_changes.push(id)
                }
                (_, Some(phase)) => self.answer_if_fresh(context, id, phase, 200, proof),
            }
        }
    }

    /// Advances a request after all changes of jobs were read for it. A submission in a page without
    /// an answer waits for it. For other requests the job's own key was read before, so that a job
    /// that is still unknown was never accepted.
    pub(super) fn on_changes_known(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        id: u64,
        proof: &ReadProof,
    ) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.changes_proof = Some(*proof);
        }
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        if self.submissions.get(&job).is_some_and(|ids| ids.contains(&id)) {
            return;
        }
        let phase = self.known_phase(&job);
        if let (Some(Novelty::New), Some(phase)) = (self.novelty(pending), phase) {
            return self.answer_if_fresh(context, id, phase, Novelty::New.status(), proof);
        }
        match (&pending.kind, phase) {
            // One of the job's dependencies has not been read yet.
            (_, Some(phase))
                if !phase.is_final() && self.dependency_graph.state(&job) == Some(DependencyState::Undetermined) =>
            {
                self.awaiting_job_changes.push(id);
            }
            (RequestKind::Poll | RequestKind::Cancel, None) => {
                self.refuse_if_fresh(context, id, &Refusal::NoSuchJob, proof);
            }
            (RequestKind::Refusable(refusal), None) => {
                let refusal = refusal.clone();
                self.refuse_if_fresh(context, id, &refusal, proof);
            }
            (RequestKind::Submit(_), None) | (RequestKind::Cancel, Some(_)) => self.advance(context, cluster, id),
            (_, Some(_)) if self.statuses.get(&job).is_some_and(|k| !k.checked) => self.advance(context, cluster, id),
            (_, Some(phase)) => self.answer_if_fresh(context, id, phase, 200, proof),
        }
    }

    /// Answers a request with the phase of its job, if the proof is new enough. If the read was sent
    /// before the request arrived, another node may have answered a user with a newer state in the
    /// meantime; the job's own key is then compared again for this request.
    pub(super) fn answer_if_fresh(
        &mut self,
        context: &mut Context,
        id: u64,
        phase: Phase,
        status: u16,
        proof: &ReadProof,
    ) {
        let Some(pending) = self.pending.get(&id) else { return };
        if !proof.allows(pending.sequence, phase) {
            return self.request_fresh_proof(id);
        }
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let waited = context.now.since(pending.received_at);
        if pending.own_page.is_some() {
            self.waits.record(waited);
        }
        let first_page = self.first_page(&pending.job);
        let answer_context = AnswerContext {
            waited,
            known_revision: self.known_revision,
            first_page: first_page.and_then(|page| Some((page, self.page_nodes.get(page.node)?.as_str()))),
        };
        self.answered
            .record_submission(&pending, status, proof, &answer_context);
        self.answer(context, id, &pending.job, phase, status, proof);
    }

    /// Refuses a request for a job that was never accepted, if the proof is new enough.
    fn refuse_if_fresh(&mut self, context: &mut Context, id: u64, refusal: &Refusal, proof: &ReadProof) {
        let Some(pending) = self.pending.get(&id) else { return };
        if !proof.covers(pending.sequence) {
            return self.request_fresh_proof(id);
        }
        let answer_context = AnswerContext {
            waited: context.now.since(pending.received_at),
            known_revision: self.known_revision,
            first_page: None,
        };
        self.answered.record_refusal(pending, refusal, proof, &answer_context);
        self.pending.remove(&id);
        refusal.send(context, id);
    }

    /// Queues another compare of the job's own key, because the proof is older than the request.
    pub(super) fn request_fresh_proof(&mut self, id: u64) {
        let Some(pending) = self.pending.get(&id) else { return };
        tracing::debug!(
            job = pending.job,
            "the proof is older than the request; comparing the job's key again"
        );
        self.answered.asked_anew += 1;
        self.awaiting_compare.entry(pending.job.clone()).or_default().push(id);
    }

    /// Answers a user with the state of a job; the caller has checked the proof.
    pub(super) fn answer(
        &mut self,
        context: &mut Context,
        id: u64,
        job: &str,
        phase: Phase,
        status: u16,
        proof: &ReadProof,
    ) {
        let ReadProof { source, revision, .. } = proof;
        tracing::debug!(job, status, ?phase, ?source, revision, "answered a request");
        self.answered.count(*source);
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
        context.reply(id, status, to_cbor(&state), None);
    }
}
