//! What the job API logs about its answers: counts for the periodic summary, and single lines.
//!
//! Lines of level `info` are written for the answers from which operators can tell how an accepted
//! job came to be answered as unknown or as new. Invariant: at most [`MAX_LINES`] of them between
//! two summaries; the counts include all answers.

use super::read_proof::{ProofSource, ReadProof};
use super::request::{PendingRequest, RequestKind};
use super::status::FirstPage;
use super::Refusal;
use crate::time::Micros;
use std::collections::BTreeMap;

/// The maximum number of single lines at level `info` between two summaries.
const MAX_LINES: u32 = 20;

/// The number of answers to submissions of accepted jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubmissionAnswers {
    /// Status 201: the job was new.
    pub new: u32,
    /// Status 200: the job was known before, or became known by another page or an end.
    pub known_already: u32,
    /// Status 200: a page of this node accepts the job, and an earlier page accepts it as well.
    pub in_later_page: u32,
    /// Status 200: a page of this node accepts the job, and the read that shows whether the job is
    /// new took too long.
    pub without_read: u32,
}

/// The answers since the last summary.
#[derive(Debug, Default)]
pub struct AnswerSummary {
    /// The number of answers, by the source of the proof.
    pub by_source: BTreeMap<ProofSource, u32>,
    /// The number of requests that had arrived after the read that was to decide them was sent.
    pub asked_anew: u32,
    /// The answers to submissions.
    pub submissions: SubmissionAnswers,
    /// The number of requests about jobs that were never accepted, by the status of the answer.
    pub refused: BTreeMap<u16, u32>,
    lines: u32,
}

/// When an answer was given, and what this node knew then.
pub(super) struct AnswerContext<'a> {
    /// The time since the request arrived.
    pub waited: Micros,
    /// The revision up to which this node knew all changes of jobs when the answer was given.
    pub known_revision: u64,
    /// The first page known to accept the job, and its node.
    pub first_page: Option<(FirstPage, &'a str)>,
}

impl AnswerSummary {
    /// Counts an answer about an accepted job by the source of its proof.
    pub(super) fn count(&mut self, source: ProofSource) {
        *self.by_source.entry(source).or_default() += 1;
    }

    /// Counts and logs an answer to a submission of an accepted job.
    pub(super) fn record_submission(
        &mut self,
        pending: &PendingRequest,
        status: u16,
        proof: &ReadProof,
        context: &AnswerContext,
    ) {
        if !matches!(pending.kind, RequestKind::Submit(_)) {
            return;
        }
        let own_page = pending.own_page.map(|page| page.proof.revision);
        let changes_read = pending.changes_proof.map(|changes| changes.revision);
        tracing::debug!(
            job = pending.job,
            status,
            source = ?proof.source,
            revision = proof.revision,
            own_page,
            changes_read,
            known_at_arrival = pending.known_revision,
            known = context.known_revision,
            waited_ms = context.waited.0 / 1000,
            "answered a submission"
        );
        match (status, own_page, changes_read) {
            (201, ..) => self.submissions.new += 1,
            (_, Some(_), None) => self.submissions.without_read += 1,
            (_, Some(own_page), Some(changes_read)) => {
                self.submissions.in_later_page += 1;
                if self.may_log() {
                    tracing::info!(
                        job = pending.job,
                        own_page,
                        first_page = context.first_page.map(|(page, _)| page.revision),
                        first_controller = context.first_page.map(|(_, node)| node),
                        changes_read,
                        known_at_arrival = pending.known_revision,
                        waited_ms = context.waited.0 / 1000,
                        "another page accepted a submitted job before a page of this node did"
                    );
                }
            }
            _ => self.submissions.known_already += 1,
        }
    }

    /// Counts and logs the refusal of a request for a job that was never accepted.
    pub(super) fn record_refusal(
        &mut self,
        pending: &PendingRequest,
        refusal: &Refusal,
        proof: &ReadProof,
        context: &AnswerContext,
    ) {
        let status = refusal.status();
        *self.refused.entry(status).or_default() += 1;
        if self.may_log() {
            tracing::info!(
                job = pending.job,
                status,
                why = refusal.to_string(),
                source = ?proof.source,
                revision = proof.revision,
                known_at_arrival = pending.known_revision,
                known = context.known_revision,
                waited_ms = context.waited.0 / 1000,
                "refused a request for a job that was never accepted"
            );
        }
    }

    fn may_log(&mut self) -> bool {
        self.lines += 1;
        self.lines <= MAX_LINES
    }
}
