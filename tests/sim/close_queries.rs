//! Questions of users beside the ones that they ask in turn: several nodes are asked within
//! milliseconds, submissions are repeated, jobs are called off at awkward moments, and
//! requests come that no user should send.

use super::answers::REQUIRED;
use super::script::plain_spec;
use super::users::RequestKind;
use super::{Origin, ScheduledEvent, World, MS, SEC};
use glenhaven::coordination::{Event, UserRequest};
use glenhaven::protocol::users::{JobSpec, JobState, Shape};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
use glenhaven_fakes::user::job_of;
use std::collections::{BTreeMap, BTreeSet};

/// When all nodes are asked, after something has happened to a job.
const QUERY_DELAYS: [u64; 4] = [0, 3 * MS, 12 * MS, 60 * MS];
/// Most machines that hang while jobs on them are cancelled.
const MOST_HANG: usize = 8;
/// A task with less to go is not worth calling off.
const LONG: u64 = 30 * SEC;
/// How long users wait for an answer.
const WAIT: u64 = 5 * SEC;
/// Jobs that can't be accepted are numbered from here on.
const ODD_JOBS: u64 = 900_000;

/// A question beside those that a user asks in turn.
pub(super) struct Query {
    job: String,
    asked: RequestKind,
    sent: u64,
    /// A submission that must be refused.
    odd: Option<Vec<u8>>,
}

/// Users' troubles that go on, by the step that began them.
#[derive(Default)]
pub(crate) struct Troubles {
    pub close_looks: BTreeSet<usize>,
    pub cancel_at_end: BTreeMap<usize, f64>,
    pub odd_requests: BTreeSet<usize>,
    odd_jobs: u64,
    looks: BTreeMap<u64, Query>,
}

impl Troubles {
    /// The job that an unanswered look is about.
    pub(crate) fn job_of(&self, query: u64) -> Option<&str> {
        self.looks.get(&query).map(|query| query.job.as_str())
    }

    pub(crate) fn heal(&mut self, step: usize) {
        self.close_looks.remove(&step);
        self.cancel_at_end.remove(&step);
        self.odd_requests.remove(&step);
    }
}

/// What becomes of a job that its users look at closely.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Moment {
    Accepted,
    Ended,
    Cancelled,
}

impl World {
    /// Asks one node about a job, whatever else its user asks.
    pub(crate) fn ask(&mut self, job: &str, asked: RequestKind, n: usize) {
        let Some(user) = self.users.get_mut(job) else { return };
        user.wants_abort |= asked == RequestKind::Abort;
        let body = to_cbor(&user.spec);
        self.send(
            n,
            Query {
                job: job.into(),
                asked,
                sent: self.now,
                odd: None,
            },
            body,
        );
    }

    fn send(&mut self, n: usize, query: Query, body: Vec<u8>) {
        if self.nodes[n].controller.is_none() || self.active_faults.cut_off(n, "users") {
            return;
        }
        let request = match query.asked {
            RequestKind::Submit => UserRequest::Submit(body),
            RequestKind::Poll => UserRequest::Poll(query.job.clone()),
            RequestKind::Abort => UserRequest::Abort(query.job.clone()),
        };
        let (id, number) = (self.id(), self.id());
        self.one_way_faults.looks.insert(number, query);
        self.origins.insert(id, Origin::Query(number));
        let (hop, life) = (self.hop(), self.nodes[n].life);
        self.after(hop, ScheduledEvent::Event(n, life, Event::User { id, request }));
    }

    pub(crate) fn look_answered(&mut self, number: u64, left: u64, answer: &HttpResponse) {
        let Some(query) = self.one_way_faults.looks.remove(&number) else {
            return;
        };
        if self.now > query.sent + WAIT {
            return;
        }
        let Some(body) = &query.odd else {
            self.heard(&query.job, query.asked, query.sent, left, answer);
            return;
        };
        let told = from_cbor::<JobState>(&answer.body).is_ok();
        match answer.status {
            200 | 201 if query.asked == RequestKind::Submit => self.rules.broken.extend(self.answers.accepted(body)),
            200 if told => self
                .rules
                .broken
                .push(format!("invented: {} was refused, and is known", query.job)),
            _ => {}
        }
    }

    /// A task has completed; its job may have ended with it.
    pub(crate) fn task_ended(&mut self, task: &str) {
        let job = job_of(task).to_string();
        let Some(user) = self.users.get(&job) else { return };
        let over = user.wants_abort || user.done.is_some();
        if over || !(0..user.spec.tasks).all(|t| self.results.contains(&format!("{job}/{t}"))) {
            return;
        }
        let share = self.one_way_faults.cancel_at_end.values().copied().fold(0.0, f64::max);
        if share > 0.0 && self.rng.f64() < share {
            let pause = self.rng.u64(0..6 * MS);
            self.ask_some(&job, RequestKind::Abort, pause);
        }
        self.look_closely(&job, Moment::Ended);
    }

    /// Asks some node in a moment.
    fn ask_some(&mut self, job: &str, asked: RequestKind, pause: u64) {
        let n = self.rng.usize(0..self.nodes.len());
        self.after(pause, ScheduledEvent::Ask(job.into(), asked, n));
    }

    /// Users ask at all nodes, again and again, and repeat the submission.
    pub(crate) fn look_closely(&mut self, job: &str, moment: Moment) {
        if self.one_way_faults.close_looks.is_empty() {
            return;
        }
        for pause in QUERY_DELAYS {
            for n in 0..self.nodes.len() {
                let pause = pause + self.rng.u64(0..2 * MS);
                self.after(pause, ScheduledEvent::Ask(job.into(), RequestKind::Poll, n));
            }
            let pause = pause + self.rng.u64(0..5 * MS);
            self.ask_some(job, RequestKind::Submit, pause);
        }
        if moment == Moment::Accepted && self.rng.u32(0..4) == 0 {
            let pause = self.rng.u64(0..20 * MS);
            self.ask_some(job, RequestKind::Abort, pause);
        }
    }

    /// Jobs that run and have long to go are called off within a fifth of a second.
    pub(crate) fn cancel_now(&mut self, count: usize, hangs: Option<u64>) {
        let mut running: Vec<(String, String)> = vec![];
        for worker in self.workers.values().filter(|w| w.up) {
            for job in worker.running_beyond(self.now + LONG).map(job_of) {
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
            if wanted && jobs.len() < count && jobs.insert(job) && hang.len() < MOST_HANG {
                hang.insert(machine);
            }
        }
        for job in jobs {
            let pause = self.rng.u64(0..SEC / 5);
            self.ask_some(&job, RequestKind::Abort, pause);
        }
        let Some(hangs) = hangs else { return };
        for machine in hang {
            self.hang(&machine, self.now + hangs);
        }
    }

    /// Repeats an unfinished job's submission, cancels one that is done, submits one that
    /// can't be accepted and asks about it.
    pub(crate) fn odd_requests(&mut self, step: usize) {
        if !self.one_way_faults.odd_requests.contains(&step) {
            return;
        }
        let mut pick = |wanted: fn(&super::users::User) -> bool| {
            let jobs: Vec<&String> = self.users.iter().filter(|(_, u)| wanted(u)).map(|x| x.0).collect();
            (!jobs.is_empty()).then(|| jobs[self.rng.usize(0..jobs.len())].clone())
        };
        let unfinished = pick(|u| u.accepted.is_some() && u.done.is_none() && u.cancelled.is_none());
        // Its user knows that it is done, so that this cancels nothing.
        let done = pick(|u| u.done.is_some());
        if let Some(job) = unfinished {
            self.ask_some(&job, RequestKind::Submit, 0);
        }
        if let Some(job) = done {
            let n = self.rng.usize(0..self.nodes.len());
            let query = self.query(&job, RequestKind::Abort, None);
            self.send(n, query, vec![]);
        }
        self.one_way_faults.odd_jobs += 1;
        let number = self.one_way_faults.odd_jobs;
        let job = format!("run-{}", ODD_JOBS + number);
        let body = self.odd_submission(&job, number);
        for asked in [RequestKind::Submit, RequestKind::Poll, RequestKind::Abort] {
            let n = self.rng.usize(0..self.nodes.len());
            let query = self.query(&job, asked, Some(body.clone()));
            self.send(n, query, body.clone());
        }
        self.after(SEC / 4, ScheduledEvent::OddRequests(step));
    }

    fn query(&self, job: &str, asked: RequestKind, odd: Option<Vec<u8>>) -> Query {
        Query {
            job: job.into(),
            asked,
            sent: self.now,
            odd,
        }
    }

    /// A submission that fits no machine, is over a limit, of nobody's team, or lacks a field.
    fn odd_submission(&mut self, job: &str, number: u64) -> Vec<u8> {
        let mut spec = JobSpec {
            team: self.script.base.params.teams[0].name.clone(),
            ..plain_spec(job)
        };
        match number % 5 {
            0 => spec.cpus = 1e6,
            1 => spec.machine_types = Some(vec!["no such type".into()]),
            2 => spec.team = "no such team".into(),
            3 => {
                // Of a team without a limit, each task fits no machine.
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
