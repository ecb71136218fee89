//! No accepted job is stranded: now and then the leader compares what the pages of
//! acceptances say, as its own desk has them, with what it holds. Whatever is open there
//! and missing here, twice in a row, is read once more and taken up. The comparison is in
//! memory; only when something is missing does it cost requests, one for each thousand
//! pages.

use super::log::LogContinuation;
use super::state::LeaderState;
use super::store_queue::Urgency;
use super::{Continuation, Controller};
use crate::protocol::store::{Row, StoreRequest, StoreResponse};
use crate::protocol::users::Phase;
use crate::storage::keys;
use crate::storage::records::{from_value, Accepted, JobValue};
use crate::time::Micros;
use std::collections::BTreeSet;

/// How often it is compared. What is on its way between two looks is not missed twice.
const EVERY: Micros = Micros::from_millis(8000);

/// What the leader misses.
#[derive(Default)]
pub struct Audit {
    next: Micros,
    /// Missing at the last look, and those to be read.
    missed: BTreeSet<String>,
    wanted: BTreeSet<String>,
    asked: bool,
}

impl LeaderState {
    /// Jobs that are open by the pages and that this leader neither holds nor has closed.
    fn missing(&self, open: impl Iterator<Item = impl AsRef<str>>) -> BTreeSet<String> {
        let known = |id: &str| self.jobs.contains_key(id) || self.log_writer.is_closed(id);
        open.filter(|id| !known(id.as_ref()))
            .map(|id| id.as_ref().to_string())
            .collect()
    }
}

impl Controller {
    /// Compares what is open with what the leader holds.
    pub(super) fn run_acceptance_audit(&mut self) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        if now < leader.audit.next || !self.api.is_ready() {
            return;
        }
        leader.audit.next = now + EVERY;
        let missing = leader.missing(self.api.open_jobs());
        let again: BTreeSet<String> = missing.intersection(&leader.audit.missed).cloned().collect();
        leader.audit.missed = missing;
        leader.recheck_blocked_jobs();
        if again.is_empty() || leader.audit.asked {
            return;
        }
        tracing::warn!(
            jobs = again.len(),
            "accepted jobs are missing here; their pages are read again"
        );
        leader.audit.wanted = again;
        leader.audit.asked = true;
        self.read_for_audit(String::new());
    }

    fn read_for_audit(&mut self, after: String) {
        let Some(leader) = self.leader.as_ref() else { return };
        let prefix = keys::ACCEPTED.into();
        let continuation = Continuation::Log(leader.incarnation, LogContinuation::Audit);
        let request = StoreRequest::List { prefix, after };
        self.context
            .store
            .push(Urgency::User, request, continuation, Micros::from_millis(1500));
    }

    /// Pages of acceptances came. Without an answer, the next look asks again.
    pub(super) fn on_audit(&mut self, answer: StoreResponse) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        let StoreResponse::Rows(rows) = answer else {
            leader.audit.asked = false;
            return;
        };
        for Row { value, version, .. } in &rows.items {
            for spec in from_value::<Accepted>(value).unwrap_or_default().jobs {
                let id = spec.id.clone();
                if leader.audit.wanted.remove(&id) {
                    let job = JobValue {
                        phase: Phase::Pending,
                        spec: Some(spec),
                    };
                    leader.on_job_event(&id, *version, 0, job, now);
                }
            }
        }
        match rows.items.last() {
            Some(last) if rows.more => self.read_for_audit(last.key.clone()),
            _ => leader.audit.asked = false,
        }
    }
}
