//! Answers of the state service to what the leader asked, and what each one means for the
//! transaction in flight.
//!
//! A transaction that went unanswered is sent again under the same conditions: at most one of
//! the two can be executed. If then its conditions fail, it was executed before, or never; a
//! key that only the leader writes tells which.

use super::super::state::LeaderState;
use super::super::store_queue::Urgency;
use super::super::{Context, Continuation, Controller};
use super::LogContinuation;
use crate::protocol::agents::Heartbeat;
use crate::protocol::store::{Row, Rows, StoreRequest, StoreResponse};
use crate::storage::keys;
use crate::storage::records::{self, from_value, ProxiedMachines, Segment};
use crate::time::Micros;

/// How long the answer to a probe is awaited.
const PROBE_TIMEOUT: Micros = Micros::from_millis(400);
/// Pauses before something is tried again.
const AFTER_TERM_CHANGE: Micros = Micros::from_millis(30);
const AFTER_REFUSAL: Micros = Micros::from_millis(40);
const AFTER_SILENCE: Micros = Micros::from_millis(20);
const BEFORE_NEXT_PROBE: Micros = Micros::from_millis(60);

impl Controller {
    /// An answer of the state service for the leader has come.
    pub(in crate::coordination) fn on_log_answer(&mut self, continuation: LogContinuation, answer: StoreResponse) {
        match continuation {
            LogContinuation::Segments | LogContinuation::JobChanges | LogContinuation::AllJobs => {
                self.on_log_read(&continuation, answer)
            }
            LogContinuation::Audit => self.on_audit(answer),
            LogContinuation::ProxiedMachines => self.on_proxied_machines(answer),
            LogContinuation::Commit => self.on_commit(answer),
            LogContinuation::Probe => self.on_probe(answer),
        }
    }

    fn on_log_read(&mut self, continuation: &LogContinuation, answer: StoreResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.take_log_answer(continuation, answer) {
            return;
        }
        leader.tasks_per_range = records::tasks_per_range(self.cluster.limits.present_value_bytes());
        let gap = Micros::from_secs(self.cluster.settings.operator.leader_lease_s);
        leader.finish_loading(&mut self.context, gap);
        self.take_early_reports();
    }

    /// Which machines other nodes keep, and what those reported last.
    fn on_proxied_machines(&mut self, answer: StoreResponse) {
        let StoreResponse::Rows(Rows { items, .. }) = answer else {
            return;
        };
        for row in items {
            self.on_proxied_machines_row(row);
        }
    }

    fn on_proxied_machines_row(&mut self, row: Row) {
        let Some(leader) = self.leader.as_mut() else { return };
        let now = self.context.now;
        let before = leader.agents.proxied_versions.insert(row.key.clone(), row.version);
        if before == Some(row.version) {
            return;
        }
        let Some(proxied) = from_value::<ProxiedMachines>(&row.value) else {
            tracing::error!(key = row.key, "malformed value of kept machines");
            return;
        };
        for name in &proxied.machines {
            if let Some(machine) = leader.machines.get_mut(name.as_str()) {
                machine.proxied_at = now;
            }
        }
        match glenhaven_compression::unpack::<Heartbeat>(&proxied.last_heartbeats) {
            Ok(told) => leader.take_proxied_heartbeat(&self.cluster, &told, now),
            Err(_) if proxied.last_heartbeats.is_empty() => {}
            Err(error) => tracing::error!(key = row.key, %error, "malformed reports"),
        }
    }

    /// The answer to the transaction in flight.
    fn on_commit(&mut self, answer: StoreResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        if !matches!(answer, StoreResponse::Committed { .. }) {
            leader.log_not_executed(&answer);
        }
        match answer {
            StoreResponse::Committed { revision } => self.on_executed(revision),
            StoreResponse::Conflict { failed, .. } => self.on_conflict(&failed),
            StoreResponse::Refused => leader.on_refused(&mut self.context),
            StoreResponse::Malformed | StoreResponse::NoLease => {
                tracing::error!("the state service calls a transaction malformed");
                self.step_down("a transaction was called malformed");
            }
            _ => leader.on_no_answer(&mut self.context),
        }
    }

    fn on_executed(&mut self, revision: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let ends = leader.apply(&mut self.context, revision);
        self.learn_ends(ends, revision);
    }

    /// Conditions of the transaction do not hold: those on these keys.
    fn on_conflict(&mut self, failed: &[String]) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.log_writer.in_flight.as_ref() else {
            return;
        };
        if pending.outcome_unknown {
            // Executed before, or never: a key of it tells.
            let key = pending.probe_key();
            leader.probe(&mut self.context, key);
            return;
        }
        leader.undo(now);
        for id in failed.iter().filter_map(|key| key.strip_prefix(keys::JOBS)) {
            leader.cancel(id, now);
        }
        if failed.iter().any(|key| key.starts_with(keys::LOG_SEGMENTS)) {
            self.step_down("the book does not agree with the state service");
        } else if failed.iter().any(|key| key == keys::TERM) && !self.election.is_taking() {
            // Either our own raise, already known here, or another node leads; the watch on the
            // term tells in a moment.
            leader.log_writer.resend_at = Some(now + AFTER_TERM_CHANGE);
        }
    }

    /// What stands under a key that the transaction in doubt writes.
    fn on_probe(&mut self, answer: StoreResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.log_writer.in_flight.as_ref() else {
            return;
        };
        let key = pending.probe_key();
        let expected = pending.expected_version(&key);
        let seq = pending.segments.first().map_or(0, |p| p.seq);
        match answer {
            StoreResponse::Row(row) if row.version != expected => {
                // Only a leader writes there: this one, or one of a later term, which ends this
                // leadership.
                let term = leader.term;
                let is_ours = |segment: &Segment| segment.seq == seq && segment.term <= term;
                match from_value::<Segment>(&row.value).filter(is_ours) {
                    Some(_) => self.on_executed(row.version),
                    None => self.step_down("another leader writes the book"),
                }
            }
            // Never executed, and it cannot be any more: one of its conditions has failed for
            // good. Watches bring what changed.
            StoreResponse::Row(_) | StoreResponse::Missing { .. } => leader.undo(self.context.now),
            _ => leader.probe_later(&mut self.context, key),
        }
    }
}

impl LeaderState {
    /// An operator looks for these when starts lag.
    fn log_not_executed(&self, answer: &StoreResponse) {
        let outcome_unknown = self.log_writer.is_outcome_unknown();
        tracing::debug!(?answer, outcome_unknown, "transaction not executed");
    }

    /// The transaction was not executed now; an earlier copy of it may be.
    fn on_refused(&mut self, context: &mut Context) {
        if !self.log_writer.is_outcome_unknown() {
            self.log_writer.segment_budget = 1;
            self.undo(context.now);
        }
        self.log_writer.resend_at = Some(context.now + context.jitter(AFTER_REFUSAL));
    }

    /// Whether the transaction was executed is not known: it is sent again.
    fn on_no_answer(&mut self, context: &mut Context) {
        if let Some(pending) = self.log_writer.in_flight.as_mut() {
            pending.outcome_unknown = true;
        }
        self.log_writer.resend_at = Some(context.now + context.jitter(AFTER_SILENCE));
    }

    /// Reads a key that tells whether the transaction in doubt was executed.
    fn probe(&self, context: &mut Context, key: String) {
        let request = StoreRequest::Get { key };
        let continuation = Continuation::Log(self.incarnation, LogContinuation::Probe);
        context.store.push(Urgency::Start, request, continuation, PROBE_TIMEOUT);
    }

    /// The same after a pause.
    fn probe_later(&self, context: &mut Context, key: String) {
        let at = context.now + context.jitter(BEFORE_NEXT_PROBE);
        let request = StoreRequest::Get { key };
        let continuation = Continuation::Log(self.incarnation, LogContinuation::Probe);
        context
            .store
            .push_at(at, Urgency::Start, request, continuation, PROBE_TIMEOUT);
    }
}
