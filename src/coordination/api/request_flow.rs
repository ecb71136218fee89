//! The steps of a user's request, from its arrival to the requests to the state service that decide
//! it.
//!
//! `answers` and `acceptance` handle the results and either answer the request or call `advance`
//! for its next step. Invariant: a request in `pending` is answered or refused exactly once, and at
//! the latest when it times out.

use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation, UserRequest};
use super::request::{PendingRequest, RequestKind};
use super::{
    max_description_bytes, ApiContinuation, JobApi, Refusal, MAX_BACKLOG, OUTAGE_AFTER, POLL_TIMEOUT, SUBMIT_TIMEOUT,
};
use crate::protocol::json_size;
use crate::protocol::store::{Change, Condition, StoreRequest, Transaction};
use crate::protocol::users::{extract_job_id, is_job_id, JobSpec, Phase};
use crate::storage::keys;
use crate::storage::records::{to_record, to_value, JobValue};
use crate::time::Micros;

/// Timeout of the write of a cancellation.
const CANCEL_TIMEOUT: Micros = Micros::from_millis(400);

impl JobApi {
    /// Handles a request of a user. `counts` returns the numbers of completed and running tasks of
    /// a job if this node leads and has the job.
    pub fn on_user(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        id: u64,
        request: UserRequest,
        counts: impl Fn(&str) -> Option<(u32, u32)>,
    ) {
        let (job, kind) = match request {
            UserRequest::Submit(body) => match parse_submission(cluster, &body) {
                Ok(submission) => submission,
                Err(refusal) => return refusal.send(context, id),
            },
            UserRequest::Poll(job) => (job, RequestKind::Poll),
            UserRequest::Abort(job) => (job, RequestKind::Cancel),
            UserRequest::Ready => return,
        };
        if !is_job_id(&job) {
            // A submission with such an id is malformed, so no such job was ever accepted.
            return Refusal::NoSuchJob.send(context, id);
        }
        if let Some(counts) = counts(&job) {
            self.counts.insert(job.clone(), counts);
        }
        if let Some(phase) = self.final_phase(&job) {
            let proof = self.final_proof(&job);
            return self.answer(context, id, &job, phase, 200, &proof);
        }
        if let Some(refusal) = self.overload(context) {
            return self.refuse_unavailable(context, id, refusal);
        }
        self.last_sequence = self.last_sequence.next();
        let pending = PendingRequest::new(id, job, kind, self.last_sequence, self.known_revision, context.now);
        self.pending.insert(id, pending);
        self.advance(context, cluster, id);
    }

    /// Returns the reason why this node can't decide any request at present, if there is one.
    fn overload(&self, context: &Context) -> Option<Refusal> {
        let is_out = |since: Micros| context.now.since(since) > OUTAGE_AFTER;
        if self.refused_since.is_some_and(is_out) {
            return Some(Refusal::StoreOutage);
        }
        let is_full = context.store.user_backlog() > MAX_BACKLOG || self.pending.len() > 2 * MAX_BACKLOG;
        is_full.then_some(Refusal::Overloaded)
    }

    /// Performs the next step of a request: answers it, offers its job for acceptance, sends its
    /// cancellation, or queues it for the read that it needs.
    pub(super) fn advance(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        let status = self.statuses.get(&job).copied();
        let has_dependencies = matches!(&pending.kind, RequestKind::Submit(spec) if !spec.dependencies.is_empty());
        if let Some(phase) = self.final_phase(&job) {
            self.pending.remove(&id);
            let proof = self.final_proof(&job);
            return self.answer(context, id, &job, phase, 200, &proof);
        }
        if has_dependencies && status.is_none() && !self.are_dependencies_accepted(id) {
            return;
        }
        let Some(pending) = self.pending.get(&id) else { return };
        match (&pending.kind, status) {
            (RequestKind::Submit(spec), None) => {
                let submitted_ms = context.time_of_day(pending.received_at);
                let record = to_record(spec, submitted_ms, max_description_bytes(cluster));
                if let Some(record) = record {
                    self.offer(id, job, record, context.now);
                }
            }
            (RequestKind::Cancel, Some(status)) => send_cancellation(context, id, &job, status.version),
            // A read of all changes includes the job's own key.
            (_, Some(status)) if status.checked && self.waits_for_dependencies(&job) => {
                self.awaiting_job_changes.push(id)
            }
            _ => {
                self.awaiting_compare.entry(job).or_default().push(id);
            }
        }
    }

    /// Offers a job for acceptance by one of the next pages.
    fn offer(&mut self, id: u64, job: String, record: JobSpec, now: Micros) {
        let record = Box::new(record);
        // Each description is stored with a comma or a bracket.
        let size = json_size(&record) + 1;
        self.group_commit.offer(&job, size, record, now);
        self.submissions.entry(job).or_default().push(id);
    }

    /// Refuses requests that were not decided within their timeout.
    pub(super) fn refuse_timed_out(&mut self, context: &mut Context) {
        let has_timed_out = |pending: &&PendingRequest| {
            let timeout = match pending.kind {
                RequestKind::Poll => POLL_TIMEOUT,
                _ => SUBMIT_TIMEOUT,
            };
            context.now.since(pending.received_at) > timeout
        };
        let timed_out: Vec<u64> = self.pending.values().filter(has_timed_out).map(|p| p.id).collect();
        for id in timed_out {
            self.drop_request(id);
            self.refuse_unavailable(context, id, Refusal::NotDecidedInTime);
        }
    }

    /// Refuses a request that could not be decided, and counts the refusal by its reason.
    fn refuse_unavailable(&mut self, context: &mut Context, id: u64, refusal: Refusal) {
        refusal.send(context, id);
        *self.refusals.entry(refusal).or_default() += 1;
    }

    /// Removes a request that has timed out. If no other request submits its job, the job is
    /// withdrawn from group commit; a page in flight may still accept it.
    fn drop_request(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Some(ids) = self.submissions.get_mut(&pending.job) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.submissions.remove(&pending.job);
                self.group_commit.withdraw(&pending.job);
            }
        }
    }
}

/// Parses a submission into its job and request kind. A malformed submission whose id can be read
/// is refused only if its job was not accepted before.
///
/// # Errors
///
/// The refusal of a malformed submission whose id can't be read.
fn parse_submission(cluster: &ClusterConfig, body: &[u8]) -> Result<(String, RequestKind), Refusal> {
    match JobSpec::parse(body) {
        Ok(spec) => Ok((spec.id.clone(), RequestKind::submission(cluster, spec))),
        Err(why) => {
            tracing::warn!(%why, "malformed submission");
            let refusal = Refusal::Malformed(why.to_string());
            match extract_job_id(body) {
                Some(job) => Ok((job, RequestKind::Refusable(refusal))),
                None => Err(refusal),
            }
        }
    }
}

/// Sends the compare-and-set that cancels a job whose own key has this version (0 if it has none).
fn send_cancellation(context: &mut Context, id: u64, job: &str, version: u64) {
    let value = JobValue {
        phase: Phase::Cancelled,
        spec: None,
    };
    let key = keys::job(job);
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        changes: vec![Change::Put {
            key,
            value: to_value(&value),
            lease: None,
        }],
    };
    context.store.push(
        Urgency::Start,
        StoreRequest::Transaction(txn),
        Continuation::Api(ApiContinuation::Cancel(id)),
        CANCEL_TIMEOUT,
    );
}
