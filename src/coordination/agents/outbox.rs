//! The outbox of each machine: why it is to be sent commands, and the commands themselves.
//!
//! A command never waits in a queue. What waits is its reason: the record of a task that is to
//! start or to stop, or an attempt that has ended and may be forgotten. Commands are built from
//! the records as they stand at the instant at which a message leaves, directly or as the answer
//! to a report, and a start notes in its record at that instant the fencing token under which it
//! leaves. If the reason is gone by then (the record was freed, the task stopped, its job is over,
//! the machine began a new session or is being released), there is no command. So a record's
//! `fencing_token` is at all times the highest token under which any start of it has left, and a report
//! with a higher one that doesn't list the task proves that no start of it will ever be executed.

use super::parse_task;
use super::push::SentPush;
use crate::coordination::api::JobApi;
use crate::coordination::decision_log::Decided;
use crate::coordination::lease_renewal::ORDERS;
use crate::coordination::state::void_proof::VoidProof;
use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState, PlacementPhase};
use crate::coordination::JobId;
use crate::protocol::agents::AgentCommand;
use crate::protocol::users::Phase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The instant at which a message leaves.
pub struct Leave<'a> {
    /// The token under which it leaves.
    pub fencing_token: u64,
    /// What this controller has confirmed to users, which may be more than the records say yet.
    pub api: &'a JobApi,
    pub now: Micros,
}

/// A task of an open job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRef {
    pub job: JobId,
    pub task: u32,
}

/// One attempt at a task, as reports and commands name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub task: String,
    pub number: u64,
}

/// Reasons to command a machine. None of them is a command yet.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Tasks that were asked to stop.
    pub stops: BTreeSet<TaskRef>,
    /// Attempts that a report lists and no record explains.
    pub orphaned_attempts: BTreeSet<Attempt>,
    /// Tasks whose start is recorded and may have to be sent.
    pub starts: BTreeSet<TaskRef>,
    /// Attempts that have ended.
    pub forgets: BTreeSet<Attempt>,
    /// Its report in answer to the present token is wanted, even if there is no command: it proves
    /// which records of earlier leaders are void.
    pub asks_for_report: bool,
}

impl Due {
    /// Whether nothing is due.
    pub fn is_empty(&self) -> bool {
        let no_commands = self.stops.is_empty() && self.orphaned_attempts.is_empty();
        no_commands && self.starts.is_empty() && self.forgets.is_empty() && !self.asks_for_report
    }
}

/// Whether a job is known to be cancelled.
fn is_cancelled(api: &JobApi, job: &str) -> bool {
    api.phase(job) == Some(Phase::Cancelled)
}

/// Whether a command starts a task of a job that is known to be cancelled.
pub(super) fn starts_cancelled(api: &JobApi, command: &AgentCommand) -> bool {
    match command {
        AgentCommand::Start { task, .. } => parse_task(task).is_some_and(|(job, _)| is_cancelled(api, job)),
        _ => false,
    }
}

/// What one machine is to be sent, and which starts may be on their way to it.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Reasons for the next direct message.
    pub due: Due,
    /// The direct message that has not been answered yet.
    pub in_flight: Option<u64>,
    /// Starts whose direct message was not answered, and the token under which they left.
    unanswered: BTreeMap<Attempt, u64>,
    /// Starts given in the answer to the last report: the answer may be on its way until the
    /// next report, which is sent when it has come or was given up.
    in_answer: BTreeSet<Attempt>,
}

impl Outbox {
    /// The worker has killed and forgotten everything: commands for its last session are refused.
    pub fn session_ended(&mut self) {
        self.due = Due::default();
        self.unanswered.clear();
    }

    /// The worker refuses every message with a lower token than this one.
    pub fn refuses_below(&mut self, fencing_token: u64) {
        self.unanswered.retain(|_, sent_under| *sent_under >= fencing_token);
    }

    /// The worker's next report: the answer to the last one has come, or never will.
    pub fn answer_arrived(&mut self) {
        self.in_answer.clear();
    }

    /// A direct message was not answered: it may be executed at any time.
    pub fn doubt(&mut self, commands: &[AgentCommand], fencing_token: u64) {
        for command in commands {
            if let AgentCommand::Start { task, attempt } = command {
                let attempt = Attempt {
                    task: task.clone(),
                    number: *attempt,
                };
                self.unanswered.insert(attempt, fencing_token);
            }
        }
    }

    /// Whether a start of this attempt was sent and may not have arrived yet.
    fn may_still_start(&self, attempt: &Attempt, pushes_in_flight: &BTreeMap<u64, SentPush>) -> bool {
        let starts = |command: &AgentCommand| match command {
            AgentCommand::Start { task, attempt: number } => *task == attempt.task && *number == attempt.number,
            _ => false,
        };
        let message = self.in_flight.and_then(|id| pushes_in_flight.get(&id));
        let in_flight = message.is_some_and(|m| m.commands.iter().any(starts));
        in_flight || self.unanswered.contains_key(attempt) || self.in_answer.contains(attempt)
    }
}

impl Machine {
    /// Whether it is to be kept: nothing starts on a machine that is about to be released.
    fn stays(&self) -> bool {
        self.state != MachineState::Releasing && self.release_requested_at.is_none()
    }
}

impl LeaderState {
    /// The start of a recorded placement is to be sent.
    pub fn queue_start(&mut self, id: &JobId, task: u32) {
        self.queue(id, task, |due, task| {
            due.starts.insert(task);
        });
    }

    /// A task that was asked to stop is to be told at once.
    pub fn queue_stop(&mut self, id: &JobId, task: u32) {
        self.queue(id, task, |due, task| {
            due.stops.insert(task);
        });
    }

    /// Asks a machine for a report under the present token.
    fn queue_question(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.outbox.due.asks_for_report = true;
            self.agents.outboxes.insert(name.clone());
        }
    }

    fn queue(&mut self, id: &JobId, task: u32, add: impl FnOnce(&mut Due, TaskRef)) {
        let placement = self.jobs.get(id).and_then(|job| job.placements.get(&task));
        let Some(name) = placement.map(|p| p.machine.clone()) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        let job = id.clone();
        add(&mut machine.outbox.due, TaskRef { job, task });
        self.agents.outboxes.insert(name);
    }

    /// Commands in the answer to a machine's report, which says what is due.
    pub fn commands_in_answer(&mut self, name: &MachineId, mut due: Due, leave: &Leave) -> Vec<AgentCommand> {
        let commands = self.build_commands(name, &mut due, leave);
        if due.asks_for_report {
            self.queue_question(name);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return commands;
        };
        for command in &commands {
            let AgentCommand::Start { task, attempt } = command else {
                continue;
            };
            let attempt = Attempt {
                task: task.clone(),
                number: *attempt,
            };
            machine.outbox.in_answer.insert(attempt);
            if let Some((job, task)) = parse_task(task) {
                let job = job.into();
                machine.outbox.due.starts.remove(&TaskRef { job, task });
            }
        }
        commands
    }

    /// Builds commands from the records as they stand; what doesn't fit into one message stays
    /// due.
    pub(super) fn build_commands(&mut self, name: &MachineId, due: &mut Due, leave: &Leave) -> Vec<AgentCommand> {
        let mut commands = vec![];
        while commands.len() < ORDERS {
            let Some(task) = due.stops.pop_first() else { break };
            commands.extend(self.stop_command(name, &task));
        }
        while commands.len() < ORDERS {
            let Some(attempt) = due.orphaned_attempts.pop_first() else {
                break;
            };
            commands.extend(self.stop_orphan(name, attempt));
        }
        while commands.len() < ORDERS {
            let Some(task) = due.starts.pop_first() else { break };
            commands.extend(self.start_command(name, &task, leave));
        }
        while commands.len() < ORDERS {
            let Some(attempt) = due.forgets.pop_first() else { break };
            commands.extend(self.forget_command(name, attempt));
        }
        commands
    }

    /// The start of a task, if its record still stands and wants it. The record notes the token.
    fn start_command(&mut self, name: &MachineId, task: &TaskRef, leave: &Leave) -> Option<AgentCommand> {
        if is_cancelled(leave.api, &task.job) {
            // The news of it, which free or stop what is recorded, are moments away.
            return None;
        }
        let machine = self.machines.get(name)?;
        let (incarnation, stays) = (machine.incarnation, machine.stays());
        let job = self.jobs.get_mut(&task.job)?;
        let wanted = job.is_live() && stays;
        let placement = job.placements.get_mut(&task.task)?;
        let here = placement.machine == *name && placement.incarnation == incarnation;
        if !here || !placement.may_be_sent() {
            return None;
        }
        if !wanted || placement.stop_grace_s.is_some() {
            if !placement.sent {
                // Nothing was ever sent for this record, and only this leadership could have:
                // it is void without a word from the machine.
                self.free(&task.job, task.task, VoidProof::NeverSent, leave.now);
            }
            return None;
        }
        placement.sent = true;
        placement.fencing_token = placement.fencing_token.max(leave.fencing_token);
        let attempt = placement.attempt;
        let sent = placement.clone();
        let decided = Decided::Sent {
            token: leave.fencing_token,
        };
        self.invariants
            .decisions
            .note(job.decision(task.task, &sent, decided, leave.now));
        tracing::debug!(
            job = %task.job,
            task = task.task,
            attempt,
            machine = %name,
            incarnation,
            token = leave.fencing_token,
            "start sent: its record stands"
        );
        Some(AgentCommand::Start {
            task: format!("{}/{}", task.job, task.task),
            attempt,
        })
    }

    /// A stop of a task that was asked to stop and may be on this machine.
    fn stop_command(&self, name: &MachineId, task: &TaskRef) -> Option<AgentCommand> {
        let placement = self.jobs.get(&task.job)?.placements.get(&task.task)?;
        let may_run = matches!(placement.phase, PlacementPhase::Sent | PlacementPhase::Seen(_)) && placement.sent;
        if placement.machine != *name || !may_run {
            return None;
        }
        tracing::debug!(
            job = %task.job,
            task = task.task,
            attempt = placement.attempt,
            machine = %name,
            term = self.term,
            "stop sent"
        );
        Some(AgentCommand::Stop {
            task: format!("{}/{}", task.job, task.task),
            attempt: placement.attempt,
            grace_s: placement.stop_grace_s?,
        })
    }

    /// A stop of an attempt that no record explains.
    fn stop_orphan(&self, name: &MachineId, attempt: Attempt) -> Option<AgentCommand> {
        if self.has_record(name, &attempt) {
            return None;
        }
        // It counts towards its team's limit until the machine lists it no more. Unless it was
        // started under an earlier token, its record was freed too early.
        tracing::debug!(
            machine = %name,
            task = attempt.task,
            attempt = attempt.number,
            term = self.term,
            "stop sent: no record explains the attempt"
        );
        Some(AgentCommand::Stop {
            task: attempt.task,
            attempt: attempt.number,
            grace_s: 0.0,
        })
    }

    /// Forgets an attempt that ended, unless its outcome has yet to be recorded, or a start of it
    /// may still be on its way: that start would run the task again.
    fn forget_command(&self, name: &MachineId, attempt: Attempt) -> Option<AgentCommand> {
        let machine = self.machines.get(name)?;
        if self.has_record(name, &attempt) || machine.outbox.may_still_start(&attempt, &self.agents.pushes_in_flight) {
            return None;
        }
        Some(AgentCommand::Forget {
            task: attempt.task,
            attempt: attempt.number,
        })
    }

    /// Whether this attempt has a record on this machine, in its present session.
    pub(super) fn has_record(&self, name: &MachineId, attempt: &Attempt) -> bool {
        let Some((job, task)) = parse_task(&attempt.task) else {
            return false;
        };
        let placement = self.jobs.get(job).and_then(|job| job.placements.get(&task));
        let incarnation = self.machines.get(name).map(|machine| machine.incarnation);
        placement
            .is_some_and(|p| p.machine == *name && p.attempt == attempt.number && Some(p.incarnation) == incarnation)
    }
}
