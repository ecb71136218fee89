//! A stand-in for users.

use crate::rules::Rules;
use crate::SEC;
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::users::{JobSpec, JobState, Phase, Priority, Shape};
use glenhaven::transport::server::Outgoing;
use std::collections::{BTreeMap, BTreeSet};

/// A job about which no question is answered for so long is forgotten.
const FORGOTTEN: u64 = 90 * SEC;

/// What a user asks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Asked {
    /// To accept the job.
    Submit,
    /// How the job is.
    Poll,
    /// To cancel the job.
    Abort,
}

impl Asked {
    /// How long the user waits for an answer.
    pub fn limit(self) -> u64 {
        match self {
            Asked::Submit | Asked::Abort => 5 * SEC,
            Asked::Poll => 2 * SEC,
        }
    }

    /// When the user asks next after an answer, if nobody makes it ask more often.
    pub fn pause(self) -> u64 {
        match self {
            Asked::Submit | Asked::Abort => SEC / 10,
            Asked::Poll => 5 * SEC,
        }
    }
}

/// A job with its user.
pub struct User {
    /// The job as it is submitted.
    pub spec: JobSpec,
    /// How long each task runs.
    pub run: u64,
    /// It fails on every machine.
    pub mistake: bool,
    /// The job's description is uploaded with its first submission.
    pub submitted: bool,
    /// Its user has asked, or asks next, to cancel it.
    pub wants_abort: bool,
    /// Its user submits it once more.
    pub resubmit: bool,
    /// Nobody submitted it.
    pub never_submitted: bool,
    /// When it was first submitted.
    pub first_asked: Option<u64>,
    /// When its user first heard that it is accepted.
    pub accepted: Option<u64>,
    /// The status by which it was refused for good.
    pub refused: Option<u16>,
    /// When the answer left that first told its user that it is cancelled, and arrived.
    pub cancelled: Option<u64>,
    /// When its user was first told that it is done.
    pub done: Option<u64>,
    /// When its user was first told that it is running.
    pub first_running: Option<u64>,
    /// The request under way, with its number.
    pub asked: Option<(u64, Asked)>,
    /// When the last request was sent.
    pub sent: u64,
    /// The controller that was asked.
    pub node: Option<usize>,
    failed_since: Option<u64>,
    /// How long questions about it went unanswered once all troubles were over, at most.
    pub silent: u64,
}

impl User {
    /// A job that has not been submitted yet.
    pub fn new(spec: JobSpec, run_s: f64, mistake: bool) -> User {
        User {
            mistake,
            spec,
            run: (run_s * SEC as f64) as u64,
            submitted: false,
            wants_abort: false,
            resubmit: false,
            never_submitted: false,
            first_asked: None,
            accepted: None,
            refused: None,
            cancelled: None,
            done: None,
            first_running: None,
            asked: None,
            sent: 0,
            node: None,
            failed_since: None,
            silent: 0,
        }
    }

    /// The request that this controller has yet to answer.
    pub fn asked_of(&self, n: usize) -> Option<u64> {
        self.asked.filter(|_| self.node == Some(n)).map(|a| a.0)
    }

    /// Someone who asks about a job that no one submitted.
    pub fn never_submitted(job: &str) -> User {
        let mut spec = plain_spec(job);
        spec.image = "none".into();
        User {
            never_submitted: true,
            ..User::new(spec, 1.0, false)
        }
    }

    /// The next request, unless one is under way or the job was refused.
    pub fn asks(&mut self, now: u64, rid: u64, node: Option<usize>) -> Option<Asked> {
        if self.asked.is_some() || self.refused.is_some() {
            return None;
        }
        let asked = if self.resubmit {
            self.resubmit = false;
            Asked::Submit
        } else if self.accepted.is_none() && !self.never_submitted {
            self.submitted = true;
            self.first_asked.get_or_insert(now);
            Asked::Submit
        } else if self.wants_abort && self.cancelled.is_none() && self.done.is_none() {
            Asked::Abort
        } else {
            Asked::Poll
        };
        self.asked = Some((rid, asked));
        self.sent = now;
        self.node = node;
        Some(asked)
    }

    /// Nothing came of a request; `calm` is when the last trouble is over.
    pub fn unanswered(&mut self, now: u64, calm: u64) {
        let since = *self.failed_since.get_or_insert(now);
        self.silent = self.silent.max(now.saturating_sub(since.max(calm)));
    }

    /// Whether the job is accepted, and questions about it went unanswered for too long.
    pub fn is_forgotten(&self, now: u64) -> bool {
        self.accepted.is_some() && self.failed_since.is_some_and(|since| now - since > FORGOTTEN)
    }

    /// It was told a phase; the answer left its controller at `left`.
    pub fn record_answer(&mut self, now: u64, left: u64, phase: Phase) {
        self.failed_since = None;
        self.accepted.get_or_insert(now);
        match phase {
            Phase::Done => {
                self.done.get_or_insert(now);
            }
            Phase::Cancelled => {
                self.cancelled.get_or_insert(left);
            }
            Phase::Running => {
                self.first_running.get_or_insert(now);
            }
            Phase::Pending => {}
        }
    }
}

/// An answer as its user gets it.
pub struct Answered<'a> {
    /// When it arrives.
    pub now: u64,
    /// When it left its controller.
    pub left: u64,
    /// When the last trouble is over.
    pub calm: u64,
    /// What was asked.
    pub asked: Asked,
    /// The answer.
    pub answer: &'a Outgoing,
}

/// A user gets an answer to a request that it waits for; the rules are checked.
pub fn answered(
    users: &mut BTreeMap<String, User>,
    results: &BTreeSet<String>,
    rules: &mut Rules,
    job: &str,
    it: &Answered,
) {
    let Some(user) = users.get_mut(job) else { return };
    user.asked = None;
    let state: Option<JobState> = from_cbor(&it.answer.body).ok();
    let status = it.answer.status;
    if status == 503 && it.answer.retry_after_s.is_none() {
        rules.broken.push(format!("{job}: refused without Retry-After"));
    }
    if user.never_submitted {
        if status == 200 {
            rules.broken.push(format!("invented: {job} answered 200"));
        }
        return;
    }
    let known = user.accepted.is_some();
    match (status, state) {
        (200 | 201, Some(state)) => {
            rules.went_back(job, state.phase, &users[job]);
            rules.record_answer(it.now, job, state.phase, results, &users[job], users);
            if let Some(user) = users.get_mut(job) {
                user.record_answer(it.now, it.left, state.phase);
            }
        }
        (404, _) if known => rules
            .broken
            .push(format!("forgotten: {job} answered 404 to {:?}", it.asked)),
        (400 | 422, _) if known => rules.broken.push(format!("forgotten: {job} answered {status}")),
        (400 | 422, _) => user.refused = Some(status),
        _ => {
            user.unanswered(it.now, it.calm);
            if user.is_forgotten(it.now) {
                rules.broken.push(format!("forgotten: {job} not answered for 90 s"));
            }
        }
    }
}

/// The job of a task.
pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |x| x.0)
}

/// A small job with ordinary settings.
pub fn plain_spec(id: &str) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "plain".into(),
        team: "blue".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img-1".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        needs: vec![],
        hidden_fields: None,
    }
}
