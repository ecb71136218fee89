//! Watches on the keys of the term and of the jobs: their completion is what proves this
//! node's knowledge to be current.

use super::super::Core;
use super::{LeadWait, Role};
use crate::bookkeeping::keys;
use crate::protocol::store::{Event, Row, StoreAnswer, StoreRequest};
use crate::time::Micros;

/// How long a watch waits for news. Its completion is what proves knowledge to
/// be current, so it is short beside every limit on staleness.
const WATCH_MS: u64 = 1000;
/// How long news of jobs are gathered, by the leader and by others.
const NEWS_LEADER: Micros = Micros::from_millis(60);
const NEWS: Micros = Micros::from_millis(400);

impl Core {
    /// An answer of the state service for the leadership has come.
    pub(in crate::coordination) fn on_lead(&mut self, wait: LeadWait, answer: StoreAnswer) {
        match wait {
            LeadWait::Read { sent } => self.on_term_keys(sent, answer),
            LeadWait::Terms { sent } => self.on_term_news(sent, answer),
            LeadWait::Jobs { sent } => self.on_job_keys(sent, answer),
            LeadWait::Grant { sent } => self.on_grant(sent, answer),
            LeadWait::Renew { sent, lease } => self.on_renew(sent, lease, answer),
            LeadWait::Care | LeadWait::Say => {}
            LeadWait::Take { term, lease } => self.on_take(term, lease, answer),
        }
    }

    /// The term's keys were read, to start or to start over.
    fn on_term_keys(&mut self, sent: Micros, answer: StoreAnswer) {
        let now = self.sh.now;
        match answer {
            StoreAnswer::Rows(rows) => {
                // No job is known yet, and an unknown one is always read,
                // so the knowledge of jobs is as current as this read.
                self.lead.terms_at = sent;
                self.lead.jobs_at = sent;
                for Row { key, value, version } in &rows.items {
                    self.lead.row(key, Some((value, *version)));
                }
                if !rows.items.iter().any(|r| r.key == keys::TERM_LIVE) {
                    self.lead.live = None;
                }
                self.lead.known = true;
                self.lead.read_from.get_or_insert(rows.revision);
                self.lead.terms_after = rows.revision;
                self.lead.jobs_after = rows.revision;
                self.watch_terms(Micros::ZERO);
                self.watch_jobs(Micros::ZERO);
            }
            _ => {
                let at = now + self.sh.jitter(Micros::from_millis(200));
                let request = StoreRequest::List {
                    prefix: keys::TERM.into(),
                    after: String::new(),
                };
                self.later(at, request, LeadWait::Read { sent: at }, Micros::from_millis(700));
            }
        }
    }

    /// The watch on the term's keys has ended.
    fn on_term_news(&mut self, sent: Micros, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Events(events) => {
                for event in &events.events {
                    match event {
                        Event::Put { key, value, version } => self.lead.row(key, Some((value, *version))),
                        Event::Delete { key, .. } => self.lead.row(key, None),
                    }
                }
                self.lead.terms_after = self.lead.terms_after.max(events.revision);
                self.lead.terms_at = self.lead.terms_at.max(sent);
                self.after_terms();
                self.watch_terms(Micros::ZERO);
            }
            StoreAnswer::Compacted => self.start_over(),
            _ => {
                let pause = self.sh.jitter(Micros::from_millis(150));
                self.watch_terms(pause);
            }
        }
    }

    /// The watch on the jobs has ended.
    fn on_job_keys(&mut self, sent: Micros, answer: StoreAnswer) {
        let now = self.sh.now;
        match answer {
            StoreAnswer::Events(events) => {
                if !events.events.is_empty() {
                    tracing::debug!(
                        revision = events.revision,
                        changes = events.events.len(),
                        age_ms = now.since(sent).0 / 1000,
                        "news of jobs"
                    );
                }
                self.desk.on_news(&mut self.sh, &self.site, &events.events);
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_job_news(events.events, now);
                }
                self.lead.jobs_after = self.lead.jobs_after.max(events.revision);
                self.lead.jobs_at = self.lead.jobs_at.max(sent);
                self.prove_to_leader();
                // Every watch that is opened counts as a request: the news
                // of a moment are fetched at once. Only the leader acts on
                // them soon.
                let pause = if self.leader.is_some() { NEWS_LEADER } else { NEWS };
                self.watch_jobs(pause);
            }
            StoreAnswer::Compacted => self.start_over(),
            _ => {
                let pause = self.sh.jitter(Micros::from_millis(150));
                self.watch_jobs(pause);
            }
        }
    }

    fn start_over(&mut self) {
        tracing::warn!("fell behind the state service's history; reading anew");
        self.step_down("fell behind");
        self.desk.forget_open();
        self.lead.start(&mut self.sh);
    }

    fn watch_terms(&mut self, pause: Micros) {
        let at = self.sh.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::TERM.into(),
            after: self.lead.terms_after,
            wait_ms: WATCH_MS,
        };
        self.later(
            at,
            request,
            LeadWait::Terms { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    fn watch_jobs(&mut self, pause: Micros) {
        let at = self.sh.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::JOBS.into(),
            after: self.lead.jobs_after,
            wait_ms: WATCH_MS,
        };
        self.later(
            at,
            request,
            LeadWait::Jobs { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    /// The term's keys were read or have changed.
    fn after_terms(&mut self) {
        let mine = self
            .lead
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.lead.node);
        if self.lead.role == Role::Leader && !mine {
            self.step_down("another node leads");
        }
        if self.lead.role == Role::Leader && self.lead.live.is_none() && !self.lead.taking {
            self.lead.lease = None;
            self.lead.want_raise = true;
        }
    }
}
