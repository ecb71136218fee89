//! Handles the answers of the state service to the leader's requests, and determines from them
//! whether the transaction in flight was executed.
//!
//! An unanswered transaction is sent again under the same conditions, so that at most one of the
//! two copies can be executed. If the conditions of a copy then fail, either the other copy was
//! executed or neither copy can be executed any more. A probe then reads a key that only leaders
//! write, whose version shows which of the two is the case.
//!
//! Invariant: a conflict that names the key of a job marks the job as cancelled before the outcome
//! of the transaction is applied, so that a start whose record turns out to be durable is not sent
//! for a job that is known to have ended.

use super::super::election::StepDownReason;
use super::super::state::LeaderState;
use super::super::store_queue::Urgency;
use super::super::{Context, Continuation, Controller};
use super::LogContinuation;
use crate::protocol::agents::Heartbeat;
use crate::protocol::store::{Row, Rows, StoreRequest, StoreResponse};
use crate::storage::keys;
use crate::storage::records::{self, from_value, ProxiedMachines, Segment};
use crate::time::Micros;

/// Timeout of the read that probes the outcome of a transaction.
const PROBE_TIMEOUT: Micros = Micros::from_millis(400);
/// Pause before the next transaction after one failed on the condition on the term.
const BACKOFF_AFTER_TERM_CHANGE: Micros = Micros::from_millis(30);
/// Pause before the next transaction after the state service refused one.
const BACKOFF_AFTER_REFUSAL: Micros = Micros::from_millis(40);
/// Pause before an unanswered transaction is sent again.
const BACKOFF_AFTER_TIMEOUT: Micros = Micros::from_millis(20);
/// Pause before a transaction is sent again whose probe was not answered.
const BACKOFF_AFTER_FAILED_PROBE: Micros = Micros::from_millis(60);

impl Controller {
    /// Handles an answer of the state service to a request of the leader.
    pub(in crate::coordination) fn on_log_answer(&mut self, continuation: LogContinuation, answer: StoreResponse) {
        match continuation {
            LogContinuation::Segments | LogContinuation::JobChanges | LogContinuation::AllJobs => {
                self.on_log_read(&continuation, answer)
            }
            LogContinuation::Audit => self.on_acceptance_pages_read(answer),
            LogContinuation::ProxiedMachines => self.on_proxied_machines(answer),
            LogContinuation::Commit => self.on_commit(answer),
            LogContinuation::Probe => self.on_probe(answer),
        }
    }

    fn on_log_read(&mut self, continuation: &LogContinuation, answer: StoreResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.process_read_answer(continuation, answer) {
            return;
        }
        leader.tasks_per_range = records::tasks_per_range(self.cluster.limits.present_value_bytes());
        let gap = Micros::from_secs(self.cluster.settings.operator.leader_lease_s);
        leader.finish_loading(&mut self.context, gap);
        self.answer_early_heartbeats();
    }

    /// Applies the lists of machines whose heartbeats other nodes answer.
    fn on_proxied_machines(&mut self, answer: StoreResponse) {
        let StoreResponse::Rows(Rows { items, .. }) = answer else {
            return;
        };
        for row in items {
            self.on_proxied_machines_row(row);
        }
    }

    /// Applies one list of proxied machines, with their last heartbeats, unless its version is
    /// unchanged.
    fn on_proxied_machines_row(&mut self, row: Row) {
        let Some(leader) = self.leader.as_mut() else { return };
        let now = self.context.now;
        let before = leader.agents.proxied_versions.insert(row.key.clone(), row.version);
        if before == Some(row.version) {
            return;
        }
        let Some(proxied) = from_value::<ProxiedMachines>(&row.value) else {
            tracing::error!(key = row.key, "malformed list of proxied machines");
            return;
        };
        for name in &proxied.machines {
            if let Some(machine) = leader.machines.get_mut(name.as_str()) {
                machine.last_proxied_at = now;
            }
        }
        match glenhaven_compression::unpack::<Heartbeat>(&proxied.last_heartbeats) {
            Ok(heartbeats) => leader.apply_proxied_heartbeats(&self.cluster, &heartbeats, now),
            Err(_) if proxied.last_heartbeats.is_empty() => {}
            Err(error) => tracing::error!(key = row.key, %error, "malformed heartbeats of proxied machines"),
        }
    }

    /// Handles the answer to the transaction in flight.
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
                tracing::error!("the state service rejected a transaction as malformed");
                self.step_down(StepDownReason::MalformedTransaction);
            }
            _ => leader.on_no_answer(&mut self.context),
        }
    }

    /// Applies the transaction in flight, which was executed at this revision.
    fn on_executed(&mut self, revision: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let ends = leader.apply_transaction(&mut self.context, revision);
        self.apply_recorded_ends(ends, revision);
    }

    /// Handles a conflict: the conditions of the transaction on the keys in `failed` do not hold.
    fn on_conflict(&mut self, failed: &[String]) {
        let now = self.context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.log_writer.in_flight.as_ref() else {
            return;
        };
        if pending.outcome_unknown {
            // Either an earlier copy was executed or no copy can be executed any more; a probe
            // shows which. An earlier copy also changes the keys that it writes.
            let key = pending.probe_key();
            let changed_by_others: Vec<&String> = failed.iter().filter(|key| !pending.writes(key)).collect();
            leader.cancel_ended_jobs(changed_by_others, now);
            leader.probe(&mut self.context, key);
            return;
        }
        leader.undo_transaction(now);
        leader.cancel_ended_jobs(failed, now);
        if failed.iter().any(|key| key.starts_with(keys::LOG_SEGMENTS)) {
            self.step_down(StepDownReason::LogMismatch);
        } else if failed.iter().any(|key| key == keys::TERM) && !self.election.is_writing_term() {
            // This node has raised the term itself, or another node leads: the watch on the
            // term will show which.
            leader.log_writer.resend_at = Some(now + BACKOFF_AFTER_TERM_CHANGE);
        }
    }

    /// Handles the answer to a probe: the value of a key that the transaction in flight writes.
    fn on_probe(&mut self, answer: StoreResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.log_writer.in_flight.as_ref() else {
            return;
        };
        let key = pending.probe_key();
        let expected = pending.expected_version(&key);
        let seq = pending.segments.first().map_or(0, |s| s.seq);
        match answer {
            StoreResponse::Row(row) if row.version != expected => {
                // Only leaders write this key, so the value comes from this leader or from one of a
                // later term. In the second case this leadership has ended.
                let term = leader.term;
                let is_ours = |segment: &Segment| segment.seq == seq && segment.term <= term;
                match from_value::<Segment>(&row.value).filter(is_ours) {
                    Some(_) => self.on_executed(row.version),
                    None => self.step_down(StepDownReason::OtherLogWriter),
                }
            }
            // The transaction was never executed and can't be any more, because one of its
            // conditions has failed permanently. The watches deliver the change that made it fail.
            StoreResponse::Row(_) | StoreResponse::Missing { .. } => leader.undo_transaction(self.context.now),
            // Jobs may have ended since the conflict: the repeated transaction names their keys.
            _ => {
                let pause = self.context.jitter(BACKOFF_AFTER_FAILED_PROBE);
                leader.log_writer.resend_at = Some(self.context.now + pause);
            }
        }
    }
}

impl LeaderState {
    /// Logs that a transaction was not executed, for the analysis of delayed starts.
    fn log_not_executed(&self, answer: &StoreResponse) {
        let outcome_unknown = self.log_writer.is_outcome_unknown();
        tracing::debug!(?answer, outcome_unknown, "transaction not executed");
    }

    /// Handles a refusal of the transaction in flight. Its changes are queued again, unless an
    /// earlier copy may have been executed: then the same transaction is sent again.
    fn on_refused(&mut self, context: &mut Context) {
        if !self.log_writer.is_outcome_unknown() {
            self.log_writer.segment_budget = 1;
            self.undo_transaction(context.now);
        }
        self.log_writer.resend_at = Some(context.now + context.jitter(BACKOFF_AFTER_REFUSAL));
    }

    /// Handles a missing answer: the outcome of the transaction is unknown, and it is sent again.
    fn on_no_answer(&mut self, context: &mut Context) {
        if let Some(pending) = self.log_writer.in_flight.as_mut() {
            pending.outcome_unknown = true;
        }
        self.log_writer.resend_at = Some(context.now + context.jitter(BACKOFF_AFTER_TIMEOUT));
    }

    /// Cancels the jobs whose own keys are among these. A job's key changes while the job is open
    /// only if the job is cancelled.
    fn cancel_ended_jobs<'a>(&mut self, keys: impl IntoIterator<Item = &'a String>, now: Micros) {
        for id in keys.into_iter().filter_map(|key| key.strip_prefix(keys::JOBS)) {
            self.cancel(id, now);
        }
    }

    /// Reads a key that shows whether the transaction in flight was executed.
    fn probe(&self, context: &mut Context, key: String) {
        let request = StoreRequest::Get { key };
        let continuation = Continuation::Log(self.incarnation, LogContinuation::Probe);
        context.store.push(Urgency::Start, request, continuation, PROBE_TIMEOUT);
    }
}
