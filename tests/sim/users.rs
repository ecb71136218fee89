//! Simulated users, and the load balancer that sends each request to a random controller.

use super::answers::Answer;
use super::close_queries::JobChange;
use super::{Origin, ScheduledEvent, World, SEC};
use glenhaven::coordination::{Event, UserRequest};
use glenhaven::protocol::users::{JobState, Phase};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
pub(crate) use glenhaven_fakes::user::{RequestKind, User};

impl World {
    /// Sends a user's next request, unless one is in flight.
    pub(crate) fn user_acts(&mut self, job: &str) {
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].controller.is_some() && !self.active_faults.is_cut_off(*n, "users"))
            .collect();
        let rid = self.id();
        let pick = if live.is_empty() {
            None
        } else {
            Some(live[self.rng.usize(0..live.len())])
        };
        // A job is submitted after the jobs that it depends on have been accepted.
        let Some(user) = self.users.get(job) else { return };
        let early = |need: &String| *need != *job && self.users.get(need).is_some_and(|u| u.accepted.is_none());
        if !user.submitted && user.spec.dependencies.iter().any(early) {
            return self.after(SEC / 50, ScheduledEvent::User(job.into()));
        }
        let Some(user) = self.users.get_mut(job) else { return };
        let Some(asked) = user.next_request(self.now, rid, pick) else {
            return;
        };
        let request = match asked {
            RequestKind::Submit => UserRequest::Submit(to_cbor(&user.spec)),
            RequestKind::Abort => UserRequest::Abort(job.into()),
            RequestKind::Poll => UserRequest::Poll(job.into()),
        };
        let limit = asked.answer_timeout();
        self.after(limit, ScheduledEvent::UserTimeout(job.into(), rid));
        if let Some(n) = pick {
            let id = self.id();
            let life = self.nodes[n].life;
            self.origins.insert(id, Origin::User(job.into(), rid));
            let hop = self.hop();
            self.after(hop, ScheduledEvent::Event(n, life, Event::User { id, request }));
        }
    }

    pub(crate) fn user_timed_out(&mut self, job: &str, rid: u64) {
        let now = self.now;
        let faults_end = self.script.faults_end();
        let Some(user) = self.users.get_mut(job) else { return };
        if user.pending_request.is_some_and(|a| a.0 == rid) {
            user.pending_request = None;
            user.record_failed_request(now, faults_end);
            self.after(SEC, ScheduledEvent::User(job.into()));
        }
    }

    pub(crate) fn user_answered(&mut self, job: &str, rid: u64, left: u64, answer: HttpResponse) {
        let now = self.now;
        let faults_end = self.script.faults_end();
        let Some(user) = self.users.get_mut(job) else { return };
        let Some((_, asked)) = user.pending_request.filter(|a| a.0 == rid) else {
            return;
        };
        user.pending_request = None;
        if user.never_submitted {
            if answer.status == 503 && answer.retry_after_s.is_none() {
                self.rules.broken.push(format!("{job}: refused without Retry-After"));
            }
            if answer.status == 200 {
                self.rules.broken.push(format!("invented: {job} answered 200"));
            }
            return;
        }
        let (known, sent) = (user.accepted.is_some(), user.sent);
        if self.record_job_answer(job, asked, sent, left, &answer) {
            return self.schedule_next_request(job, asked, answer.status);
        }
        let Some(user) = self.users.get_mut(job) else { return };
        match answer.status {
            400 | 422 if !known => user.refused = Some(answer.status),
            400 | 404 | 422 if known => {}
            _ => {
                user.record_failed_request(now, faults_end);
                if user.is_forgotten(now) {
                    self.rules
                        .broken
                        .push(format!("forgotten: {job} not answered for 90 s"));
                }
            }
        }
        self.schedule_next_request(job, asked, answer.status);
    }

    /// Checks and records an answer about a job, and returns whether it states the job's phase.
    pub(crate) fn record_job_answer(
        &mut self,
        job: &str,
        asked: RequestKind,
        sent: u64,
        left: u64,
        answer: &HttpResponse,
    ) -> bool {
        let now = self.now;
        let status = answer.status;
        let state: Option<JobState> = from_cbor(&answer.body).ok();
        let state = state.filter(|_| matches!(status, 200 | 201));
        if status == 503 && answer.retry_after_s.is_none() {
            self.rules.broken.push(format!("{job}: refused without Retry-After"));
        }
        let observed = Answer {
            asked: sent,
            left,
            status,
            phase: state.as_ref().map(|s| s.phase),
        };
        self.rules.broken.extend(self.answers.check_answer(job, &observed));
        let (Some(user), Some(state)) = (self.users.get(job), state) else {
            return false;
        };
        if asked == RequestKind::Submit {
            self.rules
                .broken
                .extend(self.answers.check_acceptance(&to_cbor(&user.spec)));
        }
        self.rules
            .check_answer(now, job, state.phase, &self.results, user, &self.users);
        let Some(user) = self.users.get_mut(job) else {
            return true;
        };
        let accepted = user.accepted.is_none();
        let node = user.node;
        let cancelled = state.phase == Phase::Cancelled && user.cancelled.is_none();
        user.record_answer(now, left, state.phase);
        if cancelled {
            self.query_all_nodes(job, JobChange::Cancelled);
        } else if accepted {
            self.query_all_nodes(job, JobChange::Accepted);
            self.poll_then_resubmit(job, node);
        }
        true
    }

    /// Schedules the user's next request.
    fn schedule_next_request(&mut self, job: &str, asked: RequestKind, status: u16) {
        let user = &self.users[job];
        let pause = match asked {
            _ if status == 503 => SEC,
            RequestKind::Poll => {
                asked.request_interval()
                    / self
                        .active_faults
                        .poll_rate_factors
                        .values()
                        .copied()
                        .max()
                        .unwrap_or(1)
            }
            _ => asked.request_interval(),
        };
        if user.refused.is_none() {
            self.after(pause, ScheduledEvent::User(job.into()));
        }
    }
}
