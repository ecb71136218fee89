//! The acceptance audit, which finds accepted jobs that the leader has lost.
//!
//! Periodically, the leader compares the open jobs that its own job API has read from the acceptance
//! pages with the jobs in its state. A job that is missing in two consecutive audits is read again
//! from the state service and added to the leader's state. The comparison is in memory; only a
//! missing job costs requests, one for each thousand pages.

use super::log::LogContinuation;
use super::state::LeaderState;
use super::store_queue::Urgency;
use super::{Continuation, Controller};
use crate::protocol::store::{Row, StoreRequest, StoreResponse};
use crate::protocol::users::Phase;
use crate::storage::keys;
use crate::storage::records::{from_value, AcceptancePage, JobValue};
use crate::time::Micros;
use std::collections::BTreeSet;

/// How often the audit runs. A job that is still being read during one audit has been added by the
/// next.
const AUDIT_PERIOD: Micros = Micros::from_millis(8000);

/// The state of the audit.
#[derive(Default)]
pub struct Audit {
    /// When the audit runs next.
    next_at: Micros,
    /// Jobs that were missing in the last audit.
    missing: BTreeSet<String>,
    /// Jobs that are being read again.
    wanted: BTreeSet<String>,
    /// Whether the acceptance pages are being read.
    is_reading: bool,
}

impl LeaderState {
    /// The open jobs that are not in the leader's state and that the leader has not closed.
    fn missing_jobs(&self, open: impl Iterator<Item = impl AsRef<str>>) -> BTreeSet<String> {
        let known = |id: &str| self.jobs.contains_key(id) || self.log_writer.is_closed(id);
        open.filter(|id| !known(id.as_ref()))
            .map(|id| id.as_ref().to_string())
            .collect()
    }
}

impl Controller {
    /// Compares the open jobs with those in the leader's state, if an audit is due.
    pub(super) fn run_acceptance_audit(&mut self) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        if now < leader.audit.next_at || !self.api.is_ready() {
            return;
        }
        leader.audit.next_at = now + AUDIT_PERIOD;
        let missing = leader.missing_jobs(self.api.open_jobs());
        let still_missing: BTreeSet<String> = missing.intersection(&leader.audit.missing).cloned().collect();
        leader.audit.missing = missing;
        leader.recheck_blocked_jobs();
        if still_missing.is_empty() || leader.audit.is_reading {
            return;
        }
        tracing::warn!(
            jobs = still_missing.len(),
            "the leader's state lacks accepted jobs; their pages are read again"
        );
        leader.audit.wanted = still_missing;
        leader.audit.is_reading = true;
        self.read_acceptances(String::new());
    }

    fn read_acceptances(&mut self, after: String) {
        let Some(leader) = self.leader.as_ref() else { return };
        let prefix = keys::ACCEPTANCE_PAGES.into();
        let continuation = Continuation::Log(leader.incarnation, LogContinuation::Audit);
        let request = StoreRequest::List { prefix, after };
        self.context
            .store
            .push(Urgency::User, request, continuation, Micros::from_millis(1500));
    }

    /// Handles the acceptance pages that were read. Without an answer, the next audit reads them
    /// again.
    pub(super) fn on_acceptance_pages_read(&mut self, answer: StoreResponse) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        let StoreResponse::Rows(rows) = answer else {
            leader.audit.is_reading = false;
            return;
        };
        for Row { value, version, .. } in &rows.items {
            for spec in from_value::<AcceptancePage>(value).unwrap_or_default().jobs {
                let id = spec.id.clone();
                let has_ended = self.api.phase(&id).is_some_and(Phase::is_final);
                if leader.audit.wanted.remove(&id) && !has_ended {
                    let job = JobValue {
                        phase: Phase::Pending,
                        spec: Some(spec),
                    };
                    leader.on_job_event(&id, *version, 0, job, now);
                }
            }
        }
        match rows.items.last() {
            Some(last) if rows.more => self.read_acceptances(last.key.clone()),
            _ => leader.audit.is_reading = false,
        }
    }
}
