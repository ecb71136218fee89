//! Checks answers to users against what the state service held when the request was sent and when
//! the answer arrived.

use crate::store::Store;
use crate::user::{RequestKind, User};
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::users::{JobState, Phase, Shape};
use std::collections::BTreeSet;

/// What the state service holds about a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredJob {
    /// Whether a page of acceptances has ever named the job.
    pub accepted: bool,
    /// The job's final phase, which is never removed.
    pub ended: Option<Phase>,
}

impl StoredJob {
    /// Returns what the state service holds about a job now.
    pub fn of(store: &Store, job: &str) -> StoredJob {
        StoredJob {
            accepted: store.was_accepted(job),
            ended: store.final_phase(job),
        }
    }

    fn is_stored(&self) -> bool {
        self.accepted || self.ended.is_some()
    }
}

/// A user's request and its answer.
pub struct CheckedAnswer<'a> {
    /// The user that sent the request.
    pub user: &'a User,
    /// The kind of the request.
    pub asked: RequestKind,
    /// What was stored when the request was sent.
    pub before: StoredJob,
    /// What was stored when the answer had arrived.
    pub after: StoredJob,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The body of the answer, as CBOR.
    pub body: &'a [u8],
    /// Tasks that have completed.
    pub results: &'a BTreeSet<String>,
}

impl CheckedAnswer<'_> {
    /// Returns the broken rule and how the answer breaks it; `None` if the answer is right.
    pub fn problem(&self) -> Option<String> {
        let job = &self.user.spec.id;
        let asked = self.asked;
        match self.status {
            201 if self.before.is_stored() => Some(format!(
                "accepted_anew: {asked:?} of {job} was answered 201, but the job was stored when it was sent"
            )),
            200 | 201 => {
                let state: Option<JobState> = from_cbor(self.body).ok();
                match state {
                    Some(state) => self.phase_problem(state.phase),
                    None => Some(format!("malformed: the answer to {asked:?} of {job}")),
                }
            }
            404 | 400 | 422 if self.before.is_stored() => Some(format!(
                "forgotten: {asked:?} of {job} was answered {}, but the job is stored",
                self.status
            )),
            _ => None,
        }
    }

    fn phase_problem(&self, phase: Phase) -> Option<String> {
        let job = &self.user.spec.id;
        if let Some(ended) = self.before.ended.filter(|ended| *ended != phase) {
            let asked = self.asked;
            return Some(format!(
                "went_back: {job} was stored as {ended:?}, but {asked:?} was answered {phase:?}"
            ));
        }
        if !self.after.is_stored() {
            return Some(format!(
                "invented: {job} was reported as {phase:?}, but the job is not stored"
            ));
        }
        if phase.is_final() && self.after.ended != Some(phase) {
            return Some(format!(
                "went_back: {job} was reported as {phase:?}, but this phase is not stored"
            ));
        }
        if phase == Phase::Cancelled && !self.user.wants_abort {
            return Some(format!(
                "went_back: {job} was reported as cancelled, but its user did not ask for that"
            ));
        }
        let missing = (0..self.user.spec.tasks).filter(|t| !self.results.contains(&format!("{job}/{t}")));
        let unfinished = self.user.spec.shape == Shape::Service || missing.count() > 0;
        (phase == Phase::Done && unfinished)
            .then(|| format!("not_done: {job} was reported as done, but has unfinished tasks or is a service"))
    }
}
