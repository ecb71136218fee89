//! Requests of users in addition to those that they send in turn.
//!
//! Several controllers are queried about a job within milliseconds, submissions are repeated,
//! jobs are cancelled close to their acceptance or end, and invalid requests are sent.

use super::answers::REQUIRED;
use super::script::plain_spec;
use super::users::RequestKind;
use super::{Origin, ScheduledEvent, World, MS, SEC};
use glenhaven::coordination::{Event, UserRequest};
use glenhaven::protocol::users::{JobSpec, JobState, Shape};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
use glenhaven_fakes::user::{job_of, with_unknown_field};
use std::collections::{BTreeMap, BTreeSet};

/// Delays after a change of a job, in microseconds, at which all controllers are queried about it.
const QUERY_DELAYS: [u64; 4] = [0, 3 * MS, 12 * MS, 60 * MS];
/// Largest number of machines that hang while jobs on them are cancelled.
const MAX_HUNG_MACHINES: usize = 8;
/// Least remaining run time of a task whose job is cancelled.
const MIN_REMAINING: u64 = 30 * SEC;
/// Time after which an answer is ignored.
const ANSWER_TIMEOUT: u64 = 5 * SEC;
/// Number of the first job that must be refused.
const FIRST_INVALID_JOB: u64 = 900_000;

/// A request in addition to those that a user sends in turn.
pub(super) struct Query {
    job: String,
    asked: RequestKind,
    sent: u64,
    /// The submission that must be refused, if the request is about one.
    invalid: Option<Vec<u8>>,
    /// The controller at which the job is submitted again as soon as this request is answered.
    resubmit_at: Option<usize>,
}

/// The additional requests that are switched on, keyed by the index of the script's step that
/// began them, and those in flight.
#[derive(Default)]
pub(crate) struct CloseQueries {
    /// Each change of a job is followed by queries to all controllers.
    pub query_all_on_change: BTreeSet<usize>,
    /// Each job that its user has just submitted is polled at a second controller and then
    /// submitted again at a third, each as soon as the request before is answered.
    pub resubmit_after_poll: BTreeSet<usize>,
    /// Share of the jobs that are cancelled as their last task completes.
    pub cancel_at_end: BTreeMap<usize, f64>,
    /// Invalid and repeated requests are sent regularly.
    pub odd_requests: BTreeSet<usize>,
    invalid_jobs: u64,
    pending: BTreeMap<u64, Query>,
}

impl CloseQueries {
    /// Returns the job that an unanswered request is about.
    pub(crate) fn job_of(&self, query: u64) -> Option<&str> {
        self.pending.get(&query).map(|query| query.job.as_str())
    }

    /// Returns whether an unanswered request is a submission.
    pub(crate) fn is_submission(&self, query: u64) -> bool {
        self.pending
            .get(&query)
            .is_some_and(|query| query.asked == RequestKind::Submit)
    }

    pub(crate) fn end_faults(&mut self, step: usize) {
        self.query_all_on_change.remove(&step);
        self.resubmit_after_poll.remove(&step);
        self.cancel_at_end.remove(&step);
        self.odd_requests.remove(&step);
    }
}

/// A change of a job after which all controllers are queried about it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum JobChange {
    Accepted,
    Ended,
    Cancelled,
}

impl World {
    /// Sends a request about a job to one controller, independent of its user's own requests.
    pub(crate) fn ask(&mut self, job: &str, asked: RequestKind, n: usize) {
        let Some(user) = self.users.get_mut(job) else { return };
        user.wants_abort |= asked == RequestKind::Abort;
        let body = to_cbor(&user.spec);
        let query = self.query(job, asked, None);
        self.send(n, query, body);
    }

    /// Polls a job that controller `first` has just accepted at a second controller, and submits it
    /// again at a third one after that, if that is switched on.
    pub(crate) fn poll_then_resubmit(&mut self, job: &str, first: Option<usize>) {
        if self.close_queries.resubmit_after_poll.is_empty() {
            return;
        }
        let mut others: Vec<usize> = (0..self.nodes.len()).filter(|n| Some(*n) != first).collect();
        self.rng.shuffle(&mut others);
        let Some(second) = others.first().copied() else { return };
        let mut query = self.query(job, RequestKind::Poll, None);
        query.resubmit_at = Some(others.get(1).copied().or(first).unwrap_or(second));
        self.send(second, query, vec![]);
    }

    /// Submits a job again, with a field that the protocol does not name.
    fn resubmit(&mut self, job: &str, n: usize) {
        let Some(user) = self.users.get(job) else { return };
        let body = with_unknown_field(&to_cbor(&user.spec));
        let query = self.query(job, RequestKind::Submit, None);
        self.send(n, query, body);
    }

    fn send(&mut self, n: usize, query: Query, body: Vec<u8>) {
        if self.nodes[n].controller.is_none() || self.active_faults.is_cut_off(n, "users") {
            return;
        }
        let request = match query.asked {
            RequestKind::Submit => UserRequest::Submit(body),
            RequestKind::Poll => UserRequest::Poll(query.job.clone()),
            RequestKind::Abort => UserRequest::Abort(query.job.clone()),
        };
        let (id, number) = (self.id(), self.id());
        self.close_queries.pending.insert(number, query);
        self.origins.insert(id, Origin::Query(number));
        let (hop, life) = (self.hop(), self.nodes[n].life);
        self.after(hop, ScheduledEvent::Event(n, life, Event::User { id, request }));
    }

    pub(crate) fn query_answered(&mut self, number: u64, left: u64, answer: &HttpResponse) {
        let Some(query) = self.close_queries.pending.remove(&number) else {
            return;
        };
        if self.now > query.sent + ANSWER_TIMEOUT {
            return;
        }
        let Some(body) = &query.invalid else {
            self.record_job_answer(&query.job, query.asked, query.sent, left, answer);
            if let Some(n) = query.resubmit_at {
                self.resubmit(&query.job, n);
            }
            return;
        };
        let is_known = from_cbor::<JobState>(&answer.body).is_ok();
        match answer.status {
            200 | 201 if query.asked == RequestKind::Submit => {
                self.rules.broken.extend(self.answers.check_acceptance(body))
            }
            200 if is_known => self
                .rules
                .broken
                .push(format!("invented: {} was refused, and is known", query.job)),
            _ => {}
        }
    }

    /// Reacts to the completion of a task if it completes the job.
    pub(crate) fn task_ended(&mut self, task: &str) {
        let job = job_of(task).to_string();
        let Some(user) = self.users.get(&job) else { return };
        let over = user.wants_abort || user.done.is_some();
        if over || !(0..user.spec.tasks).all(|t| self.results.contains(&format!("{job}/{t}"))) {
            return;
        }
        let share = self.close_queries.cancel_at_end.values().copied().fold(0.0, f64::max);
        if share > 0.0 && self.rng.f64() < share {
            let pause = self.rng.u64(0..6 * MS);
            self.ask_random_node(&job, RequestKind::Abort, pause);
        }
        self.query_all_nodes(&job, JobChange::Ended);
    }

    /// Sends a request about a job to a random controller after a pause.
    fn ask_random_node(&mut self, job: &str, asked: RequestKind, pause: u64) {
        let n = self.rng.usize(0..self.nodes.len());
        self.after(pause, ScheduledEvent::Ask(job.into(), asked, n));
    }

    /// Queries all controllers about a job several times and repeats its submission, if that is
    /// switched on. A quarter of the jobs that were just accepted are cancelled.
    pub(crate) fn query_all_nodes(&mut self, job: &str, change: JobChange) {
        if self.close_queries.query_all_on_change.is_empty() {
            return;
        }
        for pause in QUERY_DELAYS {
            for n in 0..self.nodes.len() {
                let pause = pause + self.rng.u64(0..2 * MS);
                self.after(pause, ScheduledEvent::Ask(job.into(), RequestKind::Poll, n));
            }
            let pause = pause + self.rng.u64(0..5 * MS);
            self.ask_random_node(job, RequestKind::Submit, pause);
        }
        if change == JobChange::Accepted && self.rng.u32(0..4) == 0 {
            let pause = self.rng.u64(0..20 * MS);
            self.ask_random_node(job, RequestKind::Abort, pause);
        }
    }

    /// Cancels up to `count` running jobs with at least [`MIN_REMAINING`] to go, within 200 ms.
    /// Some of their machines hang for `hangs` microseconds.
    pub(crate) fn cancel_now(&mut self, count: usize, hangs: Option<u64>) {
        let mut running: Vec<(String, String)> = vec![];
        for worker in self.workers.values().filter(|w| w.up) {
            for job in worker.running_beyond(self.now + MIN_REMAINING).map(job_of) {
                running.push((job.into(), worker.name.clone()));
            }
        }
        self.rng.shuffle(&mut running);
        let mut jobs: BTreeSet<String> = BTreeSet::new();
        let mut hang: BTreeSet<String> = BTreeSet::new();
        for (job, machine) in running {
            let wanted = self
                .users
                .get(&job)
                .is_some_and(|u| !u.wants_abort && u.accepted.is_some());
            if wanted && jobs.len() < count && jobs.insert(job) && hang.len() < MAX_HUNG_MACHINES {
                hang.insert(machine);
            }
        }
        for job in jobs {
            let pause = self.rng.u64(0..SEC / 5);
            self.ask_random_node(&job, RequestKind::Abort, pause);
        }
        let Some(hangs) = hangs else { return };
        for machine in hang {
            self.hang(&machine, self.now + hangs);
        }
    }

    /// Repeats the submission of an unfinished job, cancels a job that is done, and submits,
    /// polls and cancels a job that must be refused. Repeats itself four times a second.
    pub(crate) fn odd_requests(&mut self, step: usize) {
        if !self.close_queries.odd_requests.contains(&step) {
            return;
        }
        let mut pick = |wanted: fn(&super::users::User) -> bool| {
            let jobs: Vec<&String> = self.users.iter().filter(|(_, u)| wanted(u)).map(|x| x.0).collect();
            (!jobs.is_empty()).then(|| jobs[self.rng.usize(0..jobs.len())].clone())
        };
        let unfinished = pick(|u| u.accepted.is_some() && u.done.is_none() && u.cancelled.is_none());
        // The job's user has been informed that it is done, so the request cancels nothing.
        let done = pick(|u| u.done.is_some());
        if let Some(job) = unfinished {
            self.ask_random_node(&job, RequestKind::Submit, 0);
        }
        if let Some(job) = done {
            let n = self.rng.usize(0..self.nodes.len());
            let query = self.query(&job, RequestKind::Abort, None);
            self.send(n, query, vec![]);
        }
        self.close_queries.invalid_jobs += 1;
        let number = self.close_queries.invalid_jobs;
        let job = format!("run-{}", FIRST_INVALID_JOB + number);
        let body = self.invalid_submission(&job, number);
        for asked in [RequestKind::Submit, RequestKind::Poll, RequestKind::Abort] {
            let n = self.rng.usize(0..self.nodes.len());
            let query = self.query(&job, asked, Some(body.clone()));
            self.send(n, query, body.clone());
        }
        self.after(SEC / 4, ScheduledEvent::OddRequests(step));
    }

    fn query(&self, job: &str, asked: RequestKind, invalid: Option<Vec<u8>>) -> Query {
        Query {
            job: job.into(),
            asked,
            sent: self.now,
            invalid,
            resubmit_at: None,
        }
    }

    /// Returns a submission that fits no machine, names an unknown machine type or team, or lacks
    /// a field.
    fn invalid_submission(&mut self, job: &str, number: u64) -> Vec<u8> {
        let mut spec = JobSpec {
            team: self.script.base.params.teams[0].name.clone(),
            ..plain_spec(job)
        };
        match number % 5 {
            0 => spec.cpus = 1e6,
            1 => spec.machine_types = Some(vec!["no such type".into()]),
            2 => spec.team = "no such team".into(),
            3 => {
                // The size refuses the job also where its team has no limit: no machine has
                // enough memory for a task.
                spec.shape = Shape::Service;
                spec.tasks = 100_000;
                spec.memory = 1e6;
            }
            _ => {
                let mut fields: BTreeMap<String, ciborium::Value> = from_cbor(&to_cbor(&spec)).unwrap_or_default();
                fields.remove(REQUIRED[self.rng.usize(0..REQUIRED.len())]);
                return to_cbor(&fields);
            }
        }
        to_cbor(&spec)
    }
}
