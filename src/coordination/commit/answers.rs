//! Answers of the state service to what the leader asked, and what each one means for the
//! transaction in flight.
//!
//! A transaction that went unanswered is sent again under the same conditions: at most one of
//! the two can be executed. If then its conditions fail, it was executed before, or never; a
//! key that only the leader writes tells which.

use super::super::book::Leader;
use super::super::store_queue::Urgency;
use super::super::{Core, Shared, Wait};
use super::LeaderWait;
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{self, from_value, Care, Page};
use crate::protocol::store::{Row, Rows, StoreAnswer, StoreRequest};
use crate::protocol::workers::Report;
use crate::time::Micros;

/// How long the answer to a probe is awaited.
const PROBE_TIMEOUT: Micros = Micros::from_millis(400);
/// Pauses before something is tried again.
const AFTER_TERM_CHANGE: Micros = Micros::from_millis(30);
const AFTER_REFUSAL: Micros = Micros::from_millis(40);
const AFTER_SILENCE: Micros = Micros::from_millis(20);
const BEFORE_NEXT_PROBE: Micros = Micros::from_millis(60);

impl Core {
    /// An answer of the state service for the leader has come.
    pub(in crate::coordination) fn on_leader_store(&mut self, wait: LeaderWait, answer: StoreAnswer) {
        match wait {
            LeaderWait::Pages | LeaderWait::News | LeaderWait::AllJobs => self.on_log_read(&wait, answer),
            LeaderWait::Audit => self.on_audit(answer),
            LeaderWait::Care => self.on_care(answer),
            LeaderWait::Commit => self.on_commit(answer),
            LeaderWait::Probe => self.on_probe(answer),
        }
    }

    fn on_log_read(&mut self, wait: &LeaderWait, answer: StoreAnswer) {
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.take_log_answer(wait, answer) {
            return;
        }
        leader.chunk_tasks = records::chunk_tasks(self.site.limits.present_value_bytes());
        let gap = Micros::from_secs(self.site.settings.operator.leader_lease_s);
        leader.finish_loading(&mut self.sh, gap);
        self.take_early_reports();
    }

    /// Which machines other nodes keep, and what those reported last.
    fn on_care(&mut self, answer: StoreAnswer) {
        let StoreAnswer::Rows(Rows { items, .. }) = answer else {
            return;
        };
        for row in items {
            self.on_care_row(row);
        }
    }

    fn on_care_row(&mut self, row: Row) {
        let Some(leader) = self.leader.as_mut() else { return };
        let now = self.sh.now;
        let before = leader.care.insert(row.key.clone(), row.version);
        if before == Some(row.version) {
            return;
        }
        let Some(care) = from_value::<Care>(&row.value) else {
            tracing::error!(key = row.key, "malformed value of kept machines");
            return;
        };
        for name in &care.kept {
            if let Some(machine) = leader.machines.get_mut(name.as_str()) {
                machine.kept_at = now;
            }
        }
        match glenhaven_packed::unpack::<Report>(&care.told) {
            Ok(told) => leader.told_by_store(&self.site, &told, now),
            Err(_) if care.told.is_empty() => {}
            Err(error) => tracing::error!(key = row.key, %error, "malformed reports"),
        }
    }

    /// The answer to the transaction in flight.
    fn on_commit(&mut self, answer: StoreAnswer) {
        let Some(leader) = self.leader.as_mut() else { return };
        if !matches!(answer, StoreAnswer::Committed { .. }) {
            leader.log_not_executed(&answer);
        }
        match answer {
            StoreAnswer::Committed { revision } => self.on_executed(revision),
            StoreAnswer::Conflict { failed, .. } => self.on_conflict(&failed),
            StoreAnswer::Refused => leader.on_refused(&mut self.sh),
            StoreAnswer::Malformed | StoreAnswer::NoLease => {
                tracing::error!("the state service calls a transaction malformed");
                self.step_down("a transaction was called malformed");
            }
            _ => leader.on_no_answer(&mut self.sh),
        }
    }

    fn on_executed(&mut self, revision: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let ends = leader.apply(&mut self.sh, revision);
        self.learn_ends(ends, revision);
    }

    /// Conditions of the transaction do not hold: those on these keys.
    fn on_conflict(&mut self, failed: &[String]) {
        let now = self.sh.now;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.committer.in_flight.as_ref() else {
            return;
        };
        if pending.in_doubt {
            // Executed before, or never: a key of it tells.
            let key = pending.probe_key();
            leader.probe(&mut self.sh, key);
            return;
        }
        leader.undo(now);
        for id in failed.iter().filter_map(|key| key.strip_prefix(keys::JOBS)) {
            leader.cancel(id, now);
        }
        if failed.iter().any(|key| key.starts_with(keys::OPEN)) {
            self.step_down("the book does not agree with the state service");
        } else if failed.iter().any(|key| key == keys::TERM) && !self.lead.is_taking() {
            // Either our own raise, already known here, or another node leads; the watch on the
            // term tells in a moment.
            leader.committer.resend_at = Some(now + AFTER_TERM_CHANGE);
        }
    }

    /// What stands under a key that the transaction in doubt writes.
    fn on_probe(&mut self, answer: StoreAnswer) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.committer.in_flight.as_ref() else {
            return;
        };
        let key = pending.probe_key();
        let expected = pending.expected_version(&key);
        let seq = pending.pages.first().map_or(0, |p| p.seq);
        match answer {
            StoreAnswer::Row(row) if row.version != expected => {
                // Only a leader writes there: this one, or one of a later term, which ends this
                // leadership.
                let term = leader.term;
                let is_ours = |page: &Page| page.seq == seq && page.term <= term;
                match from_value::<Page>(&row.value).filter(is_ours) {
                    Some(_) => self.on_executed(row.version),
                    None => self.step_down("another leader writes the book"),
                }
            }
            // Never executed, and it cannot be any more: one of its conditions has failed for
            // good. Watches bring what changed.
            StoreAnswer::Row(_) | StoreAnswer::Missing { .. } => leader.undo(self.sh.now),
            _ => leader.probe_later(&mut self.sh, key),
        }
    }
}

impl Leader {
    /// An operator looks for these when starts lag.
    fn log_not_executed(&self, answer: &StoreAnswer) {
        let in_doubt = self.committer.is_in_doubt();
        tracing::debug!(?answer, in_doubt, "transaction not executed");
    }

    /// The transaction was not executed now; an earlier copy of it may be.
    fn on_refused(&mut self, sh: &mut Shared) {
        if !self.committer.is_in_doubt() {
            self.committer.page_budget = 1;
            self.undo(sh.now);
        }
        self.committer.resend_at = Some(sh.now + sh.jitter(AFTER_REFUSAL));
    }

    /// Whether the transaction was executed is not known: it is sent again.
    fn on_no_answer(&mut self, sh: &mut Shared) {
        if let Some(pending) = self.committer.in_flight.as_mut() {
            pending.in_doubt = true;
        }
        self.committer.resend_at = Some(sh.now + sh.jitter(AFTER_SILENCE));
    }

    /// Reads a key that tells whether the transaction in doubt was executed.
    fn probe(&self, sh: &mut Shared, key: String) {
        let request = StoreRequest::Get { key };
        let wait = Wait::Leader(self.incarnation, LeaderWait::Probe);
        sh.store.push(Urgency::Start, request, wait, PROBE_TIMEOUT);
    }

    /// The same after a pause.
    fn probe_later(&self, sh: &mut Shared, key: String) {
        let at = sh.now + sh.jitter(BEFORE_NEXT_PROBE);
        let request = StoreRequest::Get { key };
        let wait = Wait::Leader(self.incarnation, LeaderWait::Probe);
        sh.store.push_at(at, Urgency::Start, request, wait, PROBE_TIMEOUT);
    }
}
