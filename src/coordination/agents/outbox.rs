//! The outbox of each machine: the reasons to command its agent, and the commands that follow.
//!
//! Commands are not queued. What is queued is the reason: the record of a task that is to start or
//! to stop, or an attempt that has ended and may be forgotten. Commands are built from the present
//! records when a message is sent, as a push or as the response to a heartbeat. If the reason no
//! longer holds then (the record was freed, the task was stopped, its job has ended, the agent has a
//! new incarnation, or the machine is being released), there is no command.
//!
//! Invariant: a record's `fencing_token` is the highest token under which any start of it was sent,
//! because it is noted when the start is built. So a heartbeat with a higher token that does not
//! list the task proves that no start of it can be executed any more.

use super::parse_task;
use super::push::SentPush;
use crate::coordination::api::JobApi;
use crate::coordination::decision_log::Decided;
use crate::coordination::lease_renewal::MAX_COMMANDS;
use crate::coordination::state::void_proof::VoidProof;
use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState, PlacementPhase};
use crate::coordination::JobId;
use crate::protocol::agents::AgentCommand;
use crate::protocol::users::Phase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What commands are built with when a message is sent.
pub struct SendContext<'a> {
    /// The fencing token of the message.
    pub fencing_token: u64,
    /// The job API, which may know of cancellations that the records don't show yet.
    pub api: &'a JobApi,
    /// The present time.
    pub now: Micros,
}

/// A task of an open job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The number of the task in its job.
    pub task: u32,
}

/// One attempt at a task, as heartbeats and commands name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The name of the task, `{job}/{number}`.
    pub task: String,
    /// The number of the attempt.
    pub number: u64,
}

/// Reasons to command an agent. Whether a command follows is decided when a message is sent.
#[derive(Clone, Debug, Default)]
pub struct CommandReasons {
    /// Tasks that were asked to stop.
    pub stops: BTreeSet<TaskRef>,
    /// Attempts that a heartbeat lists without a record, which are to be stopped.
    pub orphaned_attempts: BTreeSet<Attempt>,
    /// Tasks whose start is recorded and may have to be sent.
    pub starts: BTreeSet<TaskRef>,
    /// Attempts that have ended, which the agent may forget.
    pub forgets: BTreeSet<Attempt>,
    /// Whether a heartbeat under the present fencing token is wanted even if there is no command: it
    /// proves which records of earlier leaders are void.
    pub wants_heartbeat: bool,
}

impl CommandReasons {
    /// Whether there is no reason at all.
    pub fn is_empty(&self) -> bool {
        let no_commands = self.stops.is_empty() && self.orphaned_attempts.is_empty();
        no_commands && self.starts.is_empty() && self.forgets.is_empty() && !self.wants_heartbeat
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

/// The reasons to command one machine's agent, and the starts that may be in flight to it.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Reasons for the next push.
    pub reasons: CommandReasons,
    /// The push that has not been answered yet.
    pub in_flight: Option<u64>,
    /// Starts whose push was not answered, and the fencing token of the push.
    unanswered: BTreeMap<Attempt, u64>,
    /// Starts in the response to the last heartbeat: the response may be in flight until the next
    /// heartbeat, which the agent sends when it has arrived or was given up.
    in_response: BTreeSet<Attempt>,
}

impl Outbox {
    /// Handles a new incarnation of the agent, which has no tasks and refuses commands for an earlier
    /// one.
    pub fn on_new_incarnation(&mut self) {
        self.reasons = CommandReasons::default();
        self.unanswered.clear();
    }

    /// Handles that the agent refuses every message with a lower fencing token than this one.
    pub fn drop_starts_below(&mut self, fencing_token: u64) {
        self.unanswered.retain(|_, sent_under| *sent_under >= fencing_token);
    }

    /// Handles the agent's next heartbeat: the response to the last one has arrived or never will.
    pub fn on_next_heartbeat(&mut self) {
        self.in_response.clear();
    }

    /// Notes the starts of a push that was not answered: they may be executed at any time.
    pub fn mark_unanswered(&mut self, commands: &[AgentCommand], fencing_token: u64) {
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
    fn start_may_arrive(&self, attempt: &Attempt, pushes_in_flight: &BTreeMap<u64, SentPush>) -> bool {
        let starts_it = |command: &AgentCommand| match command {
            AgentCommand::Start { task, attempt: number } => *task == attempt.task && *number == attempt.number,
            _ => false,
        };
        let push = self.in_flight.and_then(|id| pushes_in_flight.get(&id));
        let in_flight = push.is_some_and(|push| push.commands.iter().any(starts_it));
        in_flight || self.unanswered.contains_key(attempt) || self.in_response.contains(attempt)
    }
}

impl Machine {
    /// Whether it is not being released: nothing starts on a machine that is.
    fn is_staying(&self) -> bool {
        self.state != MachineState::Releasing && self.release_requested_at.is_none()
    }
}

impl LeaderState {
    /// Queues the start of a recorded placement.
    pub fn queue_start(&mut self, id: &JobId, task: u32) {
        self.queue(id, task, |reasons, task| {
            reasons.starts.insert(task);
        });
    }

    /// Queues the stop of a task.
    pub fn queue_stop(&mut self, id: &JobId, task: u32) {
        self.queue(id, task, |reasons, task| {
            reasons.stops.insert(task);
        });
    }

    /// Queues the request of a heartbeat under the present fencing token.
    fn request_heartbeat(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.outbox.reasons.wants_heartbeat = true;
            self.agents.outboxes.insert(name.clone());
        }
    }

    /// Adds a reason for the machine of a placement, if there is one.
    fn queue(&mut self, id: &JobId, task: u32, add: impl FnOnce(&mut CommandReasons, TaskRef)) {
        let placement = self.jobs.get(id).and_then(|job| job.placements.get(&task));
        let Some(name) = placement.map(|p| p.machine.clone()) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        let job = id.clone();
        add(&mut machine.outbox.reasons, TaskRef { job, task });
        self.agents.outboxes.insert(name);
    }

    /// The commands in the response to a machine's heartbeat, which gives these reasons.
    pub fn commands_in_response(
        &mut self,
        name: &MachineId,
        mut reasons: CommandReasons,
        send: &SendContext,
    ) -> Vec<AgentCommand> {
        let commands = self.build_commands(name, &mut reasons, send);
        if reasons.wants_heartbeat {
            self.request_heartbeat(name);
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
            machine.outbox.in_response.insert(attempt);
            if let Some((job, task)) = parse_task(task) {
                let job = job.into();
                machine.outbox.reasons.starts.remove(&TaskRef { job, task });
            }
        }
        commands
    }

    /// Builds commands from the present records; reasons for which there is no space in one message
    /// stay.
    pub(super) fn build_commands(
        &mut self,
        name: &MachineId,
        reasons: &mut CommandReasons,
        send: &SendContext,
    ) -> Vec<AgentCommand> {
        let mut commands = vec![];
        while commands.len() < MAX_COMMANDS {
            let Some(task) = reasons.stops.pop_first() else { break };
            commands.extend(self.stop_command(name, &task));
        }
        while commands.len() < MAX_COMMANDS {
            let Some(attempt) = reasons.orphaned_attempts.pop_first() else {
                break;
            };
            commands.extend(self.stop_orphan(name, attempt));
        }
        while commands.len() < MAX_COMMANDS {
            let Some(task) = reasons.starts.pop_first() else { break };
            commands.extend(self.start_command(name, &task, send));
        }
        while commands.len() < MAX_COMMANDS {
            let Some(attempt) = reasons.forgets.pop_first() else {
                break;
            };
            commands.extend(self.forget_command(name, attempt));
        }
        commands
    }

    /// The start of a task, if its record is still wanted. The record notes the fencing token.
    fn start_command(&mut self, name: &MachineId, task: &TaskRef, send: &SendContext) -> Option<AgentCommand> {
        if is_cancelled(send.api, &task.job) {
            // The change of the job's key will soon free or stop its placements.
            return None;
        }
        let machine = self.machines.get(name)?;
        let (incarnation, is_staying) = (machine.incarnation, machine.is_staying());
        let job = self.jobs.get_mut(&task.job)?;
        let is_wanted = job.is_live() && is_staying;
        let placement = job.placements.get_mut(&task.task)?;
        let is_here = placement.machine == *name && placement.incarnation == incarnation;
        if !is_here || !placement.may_be_sent() {
            return None;
        }
        if !is_wanted || placement.stop_grace_s.is_some() {
            if !placement.sent {
                // Only this leadership could have sent the start, and it has not: the record is
                // void without a heartbeat that proves it.
                self.free(&task.job, task.task, VoidProof::NeverSent, send.now);
            }
            return None;
        }
        placement.sent = true;
        placement.fencing_token = placement.fencing_token.max(send.fencing_token);
        let attempt = placement.attempt;
        let sent = placement.clone();
        let decided = Decided::Sent {
            token: send.fencing_token,
        };
        self.invariants
            .decisions
            .note(job.decision(task.task, &sent, decided, send.now));
        tracing::debug!(
            job = %task.job,
            task = task.task,
            attempt,
            machine = %name,
            incarnation,
            token = send.fencing_token,
            "start sent"
        );
        Some(AgentCommand::Start {
            task: format!("{}/{}", task.job, task.task),
            attempt,
        })
    }

    /// The stop of a task that is to be stopped and may be on this machine.
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

    /// The stop of an attempt without a record.
    fn stop_orphan(&self, name: &MachineId, attempt: Attempt) -> Option<AgentCommand> {
        if self.has_record(name, &attempt) {
            return None;
        }
        // The attempt counts towards its team's limit until the machine lists it no more. If it
        // was started under the present token, its record was freed too early.
        tracing::debug!(
            machine = %name,
            task = attempt.task,
            attempt = attempt.number,
            term = self.term,
            "stop sent: the attempt has no record"
        );
        Some(AgentCommand::Stop {
            task: attempt.task,
            attempt: attempt.number,
            grace_s: 0.0,
        })
    }

    /// The command to forget an attempt that has ended, unless its outcome has yet to be recorded, or
    /// a start of it may still be in flight, which would run the task again.
    fn forget_command(&self, name: &MachineId, attempt: Attempt) -> Option<AgentCommand> {
        let machine = self.machines.get(name)?;
        if self.has_record(name, &attempt) || machine.outbox.start_may_arrive(&attempt, &self.agents.pushes_in_flight) {
            return None;
        }
        Some(AgentCommand::Forget {
            task: attempt.task,
            attempt: attempt.number,
        })
    }

    /// Whether this attempt has a record on this machine in its present incarnation.
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
