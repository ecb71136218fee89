//! Watches on the keys of the term and of the jobs: their completion is what proves this
//! node's knowledge to be current.

use super::super::Controller;
use super::{ElectionContinuation, Role};
use crate::protocol::store::{Row, StoreRequest, StoreResponse, WatchEvent};
use crate::storage::keys;
use crate::time::Micros;

/// How long a watch waits for news. Its completion is what proves knowledge to
/// be current, so it is short beside every limit on staleness.
const WATCH_MS: u64 = 1000;
/// How long news of jobs are gathered, by the leader and by others.
const NEWS_LEADER: Micros = Micros::from_millis(60);
const NEWS: Micros = Micros::from_millis(400);

impl Controller {
    /// An answer of the state service for the leadership has come.
    pub(in crate::coordination) fn on_lead(&mut self, continuation: ElectionContinuation, answer: StoreResponse) {
        match continuation {
            ElectionContinuation::Read { sent } => self.on_term_keys(sent, answer),
            ElectionContinuation::Terms { sent } => self.on_term_news(sent, answer),
            ElectionContinuation::Jobs { sent } => self.on_job_keys(sent, answer),
            ElectionContinuation::Grant { sent } => self.on_grant(sent, answer),
            ElectionContinuation::Renew { sent, lease } => self.on_renew(sent, lease, answer),
            ElectionContinuation::Care | ElectionContinuation::Say => {}
            ElectionContinuation::Take { term, lease } => self.on_take(term, lease, answer),
        }
    }

    /// The term's keys were read, to start or to start over.
    fn on_term_keys(&mut self, sent: Micros, answer: StoreResponse) {
        let now = self.context.now;
        match answer {
            StoreResponse::Rows(rows) => {
                // No job is known yet, and an unknown one is always read,
                // so the knowledge of jobs is as current as this read.
                self.election.terms_at = sent;
                self.election.jobs_at = sent;
                for Row { key, value, version } in &rows.items {
                    self.election.row(key, Some((value, *version)));
                }
                if !rows.items.iter().any(|r| r.key == keys::TERM_LIVE) {
                    self.election.live = None;
                }
                self.election.known = true;
                self.election.read_from.get_or_insert(rows.revision);
                self.election.terms_after = rows.revision;
                self.election.jobs_after = rows.revision;
                self.watch_terms(Micros::ZERO);
                self.watch_jobs(Micros::ZERO);
            }
            _ => {
                let at = now + self.context.jitter(Micros::from_millis(200));
                let request = StoreRequest::List {
                    prefix: keys::TERM.into(),
                    after: String::new(),
                };
                self.push_election_request_at(
                    at,
                    request,
                    ElectionContinuation::Read { sent: at },
                    Micros::from_millis(700),
                );
            }
        }
    }

    /// The watch on the term's keys has ended.
    fn on_term_news(&mut self, sent: Micros, answer: StoreResponse) {
        match answer {
            StoreResponse::Events(events) => {
                for event in &events.events {
                    match event {
                        WatchEvent::Put { key, value, version } => self.election.row(key, Some((value, *version))),
                        WatchEvent::Delete { key, .. } => self.election.row(key, None),
                    }
                }
                self.election.terms_after = self.election.terms_after.max(events.revision);
                self.election.terms_at = self.election.terms_at.max(sent);
                self.after_terms();
                self.watch_terms(Micros::ZERO);
            }
            StoreResponse::Compacted => self.start_over(),
            _ => {
                let pause = self.context.jitter(Micros::from_millis(150));
                self.watch_terms(pause);
            }
        }
    }

    /// The watch on the jobs has ended.
    fn on_job_keys(&mut self, sent: Micros, answer: StoreResponse) {
        let now = self.context.now;
        match answer {
            StoreResponse::Events(events) => {
                if !events.events.is_empty() {
                    tracing::debug!(
                        revision = events.revision,
                        changes = events.events.len(),
                        age_ms = now.since(sent).0 / 1000,
                        "news of jobs"
                    );
                }
                self.api.on_news(&mut self.context, &self.cluster, &events.events);
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_job_events(events.events, now);
                }
                self.election.jobs_after = self.election.jobs_after.max(events.revision);
                self.election.jobs_at = self.election.jobs_at.max(sent);
                self.prove_to_leader();
                // Every watch that is opened counts as a request: the news
                // of a moment are fetched at once. Only the leader acts on
                // them soon.
                let pause = if self.leader.is_some() { NEWS_LEADER } else { NEWS };
                self.watch_jobs(pause);
            }
            StoreResponse::Compacted => self.start_over(),
            _ => {
                let pause = self.context.jitter(Micros::from_millis(150));
                self.watch_jobs(pause);
            }
        }
    }

    fn start_over(&mut self) {
        tracing::warn!("fell behind the state service's history; reading anew");
        self.step_down("fell behind");
        self.api.forget_open();
        self.election.start(&mut self.context);
    }

    fn watch_terms(&mut self, pause: Micros) {
        let at = self.context.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::TERM.into(),
            after: self.election.terms_after,
            wait_ms: WATCH_MS,
        };
        self.push_election_request_at(
            at,
            request,
            ElectionContinuation::Terms { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    fn watch_jobs(&mut self, pause: Micros) {
        let at = self.context.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::JOBS.into(),
            after: self.election.jobs_after,
            wait_ms: WATCH_MS,
        };
        self.push_election_request_at(
            at,
            request,
            ElectionContinuation::Jobs { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    /// The term's keys were read or have changed.
    fn after_terms(&mut self) {
        let mine = self
            .election
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.election.node);
        if self.election.role == Role::Leader && !mine {
            self.step_down("another node leads");
        }
        if self.election.role == Role::Leader && self.election.live.is_none() && !self.election.taking {
            self.election.lease = None;
            self.election.want_raise = true;
        }
    }
}
