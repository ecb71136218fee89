//! A fake of users: each job has one, which submits it, polls it and may cancel it.

use crate::rules::Rules;
use crate::SEC;
use glenhaven::protocol::users::{JobSpec, JobState, Phase, Priority, Shape};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
use std::collections::{BTreeMap, BTreeSet};

/// The time, in microseconds, after which an accepted job counts as forgotten if no request about
/// it is answered.
const FORGOTTEN_AFTER: u64 = 90 * SEC;

/// The kind of a user's request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestKind {
    /// Submits the job.
    Submit,
    /// Requests the job's state.
    Poll,
    /// Cancels the job.
    Abort,
}

impl RequestKind {
    /// Returns how long the user waits for an answer.
    pub fn answer_timeout(self) -> u64 {
        match self {
            RequestKind::Submit | RequestKind::Abort => 5 * SEC,
            RequestKind::Poll => 2 * SEC,
        }
    }

    /// Returns the time between an answer and the user's next request, unless a scenario shortens
    /// it.
    pub fn request_interval(self) -> u64 {
        match self {
            RequestKind::Submit | RequestKind::Abort => SEC / 10,
            RequestKind::Poll => 5 * SEC,
        }
    }
}

/// A job with its user.
pub struct User {
    /// The job's description, as it is submitted.
    pub spec: JobSpec,
    /// The run time of each task, in microseconds.
    pub run_time: u64,
    /// Whether the job's tasks fail on every machine.
    pub always_fails: bool,
    /// Whether the job was submitted. Workers can read its description from the first submission
    /// on.
    pub submitted: bool,
    /// Whether the user has asked, or asks next, to cancel the job.
    pub wants_abort: bool,
    /// Whether the user submits the job again with the next request.
    pub resubmit: bool,
    /// Whether the job is never submitted; the user only polls it.
    pub never_submitted: bool,
    /// When the job was first submitted.
    pub first_asked: Option<u64>,
    /// When the user first received an answer that the job is accepted.
    pub accepted: Option<u64>,
    /// The HTTP status with which the job was finally refused.
    pub refused: Option<u16>,
    /// When the first answer that reported the job as cancelled left its controller. Answers that
    /// did not reach the user don't count.
    pub cancelled: Option<u64>,
    /// When the user first received an answer that the job is done.
    pub done: Option<u64>,
    /// When the user first received an answer that the job is running.
    pub first_running: Option<u64>,
    /// The number and kind of the request that awaits its answer.
    pub pending_request: Option<(u64, RequestKind)>,
    /// When the last request was sent.
    pub sent: u64,
    /// The number of the controller that got the last request.
    pub node: Option<usize>,
    /// When the first of the requests without an answer since the last answer failed.
    unanswered_since: Option<u64>,
    /// The longest time for which requests went unanswered after the last injected fault was over.
    pub longest_unanswered: u64,
}

impl User {
    /// Creates the user of a job that has not been submitted yet.
    pub fn new(spec: JobSpec, run_s: f64, always_fails: bool) -> User {
        User {
            always_fails,
            spec,
            run_time: (run_s * SEC as f64) as u64,
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
            pending_request: None,
            sent: 0,
            node: None,
            unanswered_since: None,
            longest_unanswered: 0,
        }
    }

    /// Returns the number of the request that awaits an answer of controller `n`.
    pub fn pending_request_to(&self, n: usize) -> Option<u64> {
        self.pending_request.filter(|_| self.node == Some(n)).map(|a| a.0)
    }

    /// Creates a user that polls a job that was never submitted.
    pub fn never_submitted(job: &str) -> User {
        let mut spec = plain_spec(job);
        spec.image = "none".into();
        User {
            never_submitted: true,
            ..User::new(spec, 1.0, false)
        }
    }

    /// Begins the next request and returns its kind; `None` if one awaits its answer or the job was
    /// refused.
    pub fn next_request(&mut self, now: u64, rid: u64, node: Option<usize>) -> Option<RequestKind> {
        if self.pending_request.is_some() || self.refused.is_some() {
            return None;
        }
        let asked = if self.resubmit {
            self.resubmit = false;
            RequestKind::Submit
        } else if self.accepted.is_none() && !self.never_submitted {
            self.submitted = true;
            self.first_asked.get_or_insert(now);
            RequestKind::Submit
        } else if self.wants_abort && self.cancelled.is_none() && self.done.is_none() {
            RequestKind::Abort
        } else {
            RequestKind::Poll
        };
        self.pending_request = Some((rid, asked));
        self.sent = now;
        self.node = node;
        Some(asked)
    }

    /// Records that a request got no usable answer; `faults_over_at` is when the last
    /// injected fault is over.
    pub fn record_failed_request(&mut self, now: u64, faults_over_at: u64) {
        let since = *self.unanswered_since.get_or_insert(now);
        self.longest_unanswered = self
            .longest_unanswered
            .max(now.saturating_sub(since.max(faults_over_at)));
    }

    /// Returns whether the job is accepted and requests about it went unanswered for too long.
    pub fn is_forgotten(&self, now: u64) -> bool {
        self.accepted.is_some() && self.unanswered_since.is_some_and(|since| now - since > FORGOTTEN_AFTER)
    }

    /// Records the phase in an answer, which left its controller at `left`.
    pub fn record_answer(&mut self, now: u64, left: u64, phase: Phase) {
        self.unanswered_since = None;
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

/// An answer that a user receives.
pub struct ReceivedAnswer<'a> {
    /// When the answer arrives.
    pub now: u64,
    /// When the answer left its controller.
    pub left: u64,
    /// When the last injected fault is over.
    pub faults_over_at: u64,
    /// The kind of the request.
    pub asked: RequestKind,
    /// The answer.
    pub answer: &'a HttpResponse,
}

/// Delivers the answer to a user's pending request, and checks the rules for answers.
pub fn deliver_answer(
    users: &mut BTreeMap<String, User>,
    results: &BTreeSet<String>,
    rules: &mut Rules,
    job: &str,
    received: &ReceivedAnswer,
) {
    let Some(user) = users.get_mut(job) else { return };
    user.pending_request = None;
    let state: Option<JobState> = from_cbor(&received.answer.body).ok();
    let status = received.answer.status;
    if status == 503 && received.answer.retry_after_s.is_none() {
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
        (201, _) if known => rules
            .broken
            .push(format!("accepted_anew: {job} answered 201 to a repeated submission")),
        (200 | 201, Some(state)) => {
            rules.check_final_phase(job, state.phase, &users[job]);
            rules.check_answer(received.now, job, state.phase, results, &users[job], users);
            if let Some(user) = users.get_mut(job) {
                user.record_answer(received.now, received.left, state.phase);
            }
        }
        (404, _) if known => rules
            .broken
            .push(format!("forgotten: {job} answered 404 to {:?}", received.asked)),
        (400 | 422, _) if known => rules.broken.push(format!("forgotten: {job} answered {status}")),
        (400 | 422, _) => user.refused = Some(status),
        _ => {
            user.record_failed_request(received.now, received.faults_over_at);
            if user.is_forgotten(received.now) {
                rules.broken.push(format!("forgotten: {job} not answered for 90 s"));
            }
        }
    }
}

/// Returns the id of a task's job; a name without a job is returned whole.
pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |x| x.0)
}

/// Returns the submission with a field that the protocol does not name.
pub fn with_unknown_field(submission: &[u8]) -> Vec<u8> {
    let mut fields: BTreeMap<String, ciborium::Value> = from_cbor(submission).unwrap_or_default();
    fields.insert("pieces2".into(), ciborium::Value::from(7));
    to_cbor(&fields)
}

/// Returns the description of a job with one small task and default settings.
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
        machine_types: None,
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
        dependencies: vec![],
        hidden_fields: None,
    }
}
