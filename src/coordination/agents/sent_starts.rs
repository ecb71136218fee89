//! The starts that were sent to one machine and may be executed again, and the proof without which
//! an attempt that has ended is not forgotten.
//!
//! The network may deliver a push again at any time, also after the push was answered, and the
//! agent executes the copy if its fencing token and incarnation still match. An agent that lists an
//! attempt ignores a repeated start of it; an agent that has forgotten the attempt runs the task
//! again. The response to a heartbeat is not executed later than the agent's next heartbeat.
//!
//! Invariant: an attempt is forgotten only with a [`ForgetProof`], which the agent itself enforces.
//! Elapsed time, or the answer to a push, is no proof.

use super::outbox::Attempt;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::protocol::agents::{AgentCommand, Cause};
use std::collections::{BTreeMap, BTreeSet};

/// Proof that a repeated start of an attempt runs nothing once its agent has forgotten the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForgetProof {
    /// Every push of a start of the attempt had a lower fencing token than the message that forgets
    /// the attempt. The message makes the agent refuse the lower tokens.
    RefusedByToken,
    /// The task has completed and every push of its start was answered. If the task is started
    /// again, it exits with the kept result and does not run.
    Completed,
}

/// The pushes of one start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PushedStart {
    /// The highest fencing token of the pushes.
    fencing_token: u64,
    /// The number of pushes without an answer.
    unanswered: u32,
}

/// The starts that were sent to one machine and that its agent may still execute.
#[derive(Debug, Default)]
pub struct SentStarts {
    /// Pushed starts whose fencing token the agent is not known to refuse.
    pushed: BTreeMap<Attempt, PushedStart>,
    /// Starts in the response to the last heartbeat. The response may be in flight until the next
    /// heartbeat, which the agent sends once the response has arrived or the agent has stopped
    /// waiting for it.
    in_response: BTreeSet<Attempt>,
}

/// Returns the attempt that a command starts, if it is a start.
pub(super) fn started_attempt(command: &AgentCommand) -> Option<Attempt> {
    match command {
        AgentCommand::Start { task, attempt } => Some(Attempt {
            task: task.clone(),
            number: *attempt,
        }),
        _ => None,
    }
}

impl SentStarts {
    /// Records the starts of a push that is being sent under this fencing token.
    pub fn record_push(&mut self, commands: &[AgentCommand], fencing_token: u64) {
        for attempt in commands.iter().filter_map(started_attempt) {
            let start = self.pushed.entry(attempt).or_default();
            start.fencing_token = start.fencing_token.max(fencing_token);
            start.unanswered += 1;
        }
    }

    /// Handles the answer to a push, or the news that the push was not sent.
    pub fn on_push_answer(&mut self, commands: &[AgentCommand]) {
        for attempt in commands.iter().filter_map(started_attempt) {
            if let Some(start) = self.pushed.get_mut(&attempt) {
                start.unanswered = start.unanswered.saturating_sub(1);
            }
        }
    }

    /// Records a start in the response to the last heartbeat.
    pub fn record_response(&mut self, attempt: Attempt) {
        self.in_response.insert(attempt);
    }

    /// Handles the agent's next heartbeat: the response to the last one has arrived or never will
    /// arrive.
    pub fn on_next_heartbeat(&mut self) {
        self.in_response.clear();
    }

    /// Drops all starts, because the agent has a new incarnation, which has no tasks and refuses
    /// commands to an earlier one.
    pub fn on_new_incarnation(&mut self) {
        self.pushed.clear();
        self.in_response.clear();
    }

    /// Drops pushed starts with a lower fencing token than this one, because the agent now refuses
    /// them.
    pub fn drop_below(&mut self, fencing_token: u64) {
        self.pushed.retain(|_, start| start.fencing_token >= fencing_token);
    }

    /// Returns the proof with which a message under this fencing token may forget an attempt that
    /// has ended for this cause; `None` if a start of the attempt could run the task again.
    pub fn forget_proof(&self, attempt: &Attempt, cause: Cause, fencing_token: u64) -> Option<ForgetProof> {
        if self.in_response.contains(attempt) {
            return None;
        }
        let pushed = self
            .pushed
            .get(attempt)
            .filter(|start| start.fencing_token >= fencing_token);
        let Some(start) = pushed else {
            return Some(ForgetProof::RefusedByToken);
        };
        let is_harmless = cause == Cause::Done || is_injected(InjectedFault::ForgetsAfterAnswer);
        (start.unanswered == 0 && is_harmless).then_some(ForgetProof::Completed)
    }

    /// Handles the command to forget an attempt, which was given with a proof.
    pub fn on_forget(&mut self, attempt: &Attempt) {
        self.pushed.remove(attempt);
    }

    /// Returns whether a start of the attempt was pushed under this fencing token.
    pub fn was_pushed_under(&self, attempt: &Attempt, fencing_token: u64) -> bool {
        let pushed = self.pushed.get(attempt);
        pushed.is_some_and(|start| start.fencing_token == fencing_token)
    }
}
