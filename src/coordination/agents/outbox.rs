//! The outbox of each machine: the reasons to send its agent commands, and the commands built from
//! them.
//!
//! The outbox queues reasons instead of commands: the record of a task that is to be started or
//! stopped, or an attempt that has ended and that the agent may forget. Commands are built from the
//! current records when a message is sent, as a push or as the response to a heartbeat. No command
//! is built if the reason no longer holds (the record was freed, the task was stopped, its job has
//! ended, the agent has a new incarnation, or the machine is being released).
//!
//! Invariant: a record's `fencing_token` is the highest token under which any start of the record
//! was sent, because the token is recorded when the start is built. A heartbeat with a higher token
//! that does not list the task therefore proves that no start of the record can be executed any
//! more.

use super::parse_task;
use super::sent_starts::{started_attempt, SentStarts};
use crate::coordination::api::JobApi;
use crate::coordination::decision_log::Decided;
use crate::coordination::lease_renewal::MAX_COMMANDS;
use crate::coordination::state::void_proof::VoidProof;
use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState, PlacementPhase};
use crate::coordination::JobId;
use crate::protocol::agents::{AgentCommand, Cause};
use crate::protocol::users::Phase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The inputs for building the commands of one message.
pub struct SendContext<'a> {
    /// The fencing token of the message.
    pub fencing_token: u64,
    /// The job API, which may have cancellations that the leader's records don't show yet.
    pub api: &'a JobApi,
    /// The current time.
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

/// Reasons to send an agent commands; whether a command is built is decided when a message is sent.
#[derive(Clone, Debug, Default)]
pub struct CommandReasons {
    /// Tasks for which a stop was requested.
    pub stops: BTreeSet<TaskRef>,
    /// Attempts to be stopped because a heartbeat lists them and they have no record.
    pub orphaned_attempts: BTreeSet<Attempt>,
    /// Tasks whose start is recorded and may have to be sent.
    pub starts: BTreeSet<TaskRef>,
    /// Attempts that have ended and that the agent may forget, with the causes of their ends.
    pub forgets: BTreeMap<Attempt, Cause>,
    /// Whether a heartbeat under the current fencing token is wanted even if there is no command.
    /// Such a heartbeat proves which records of earlier leaders are void.
    pub wants_heartbeat: bool,
}

impl CommandReasons {
    /// Returns whether there are no reasons.
    pub fn is_empty(&self) -> bool {
        let no_commands = self.stops.is_empty() && self.orphaned_attempts.is_empty();
        no_commands && self.starts.is_empty() && self.forgets.is_empty() && !self.wants_heartbeat
    }
}

/// Returns whether a job is known to be cancelled.
fn is_cancelled(api: &JobApi, job: &str) -> bool {
    api.phase(job) == Some(Phase::Cancelled)
}

/// Returns whether a command starts a task of a job that is known to be cancelled.
pub(super) fn starts_cancelled(api: &JobApi, command: &AgentCommand) -> bool {
    match command {
        AgentCommand::Start { task, .. } => parse_task(task).is_some_and(|(job, _)| is_cancelled(api, job)),
        _ => false,
    }
}

/// The reasons to send one machine's agent commands, and the starts that may be in flight to it.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Reasons for the next push.
    pub reasons: CommandReasons,
    /// The request number of the push that has not been answered yet.
    pub in_flight: Option<u64>,
    /// The starts that the agent may still execute.
    pub sent_starts: SentStarts,
}

impl Outbox {
    /// Drops all reasons and sent starts, because the agent has a new incarnation.
    pub fn on_new_incarnation(&mut self) {
        self.reasons = CommandReasons::default();
        self.sent_starts.on_new_incarnation();
    }
}

impl Machine {
    /// Returns whether the machine is not being released. No task is started on a machine that is
    /// being released.
    fn accepts_starts(&self) -> bool {
        self.state != MachineState::Releasing && self.release_requested_at.is_none()
    }
}

impl LeaderState {
    /// Queues the start of a recorded placement.
    pub fn queue_start(&mut self, id: &JobId, task: u32) {
        self.add_reason(id, task, |reasons, task| {
            reasons.starts.insert(task);
        });
    }

    /// Queues the stop of a task.
    pub fn queue_stop(&mut self, id: &JobId, task: u32) {
        self.add_reason(id, task, |reasons, task| {
            reasons.stops.insert(task);
        });
    }

    /// Queues a request for a heartbeat under the current fencing token.
    fn request_heartbeat(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.outbox.reasons.wants_heartbeat = true;
            self.agents.outboxes.insert(name.clone());
        }
    }

    /// Adds a reason to the outbox of a task's machine, if the task has a placement.
    fn add_reason(&mut self, id: &JobId, task: u32, add: impl FnOnce(&mut CommandReasons, TaskRef)) {
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

    /// Builds the commands for the response to a machine's heartbeat from the reasons that the
    /// heartbeat gave.
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
        for attempt in commands.iter().filter_map(started_attempt) {
            tracing::debug!(machine = %name, task = attempt.task, attempt = attempt.number, "start in the response to a heartbeat");
            if let Some((job, task)) = parse_task(&attempt.task) {
                let job = job.into();
                machine.outbox.reasons.starts.remove(&TaskRef { job, task });
            }
            machine.outbox.sent_starts.record_response(attempt);
        }
        commands
    }

    /// Builds commands from the current records, up to the limit of one message. The remaining
    /// reasons stay in `reasons`.
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
            commands.extend(self.stop_orphan_command(name, attempt));
        }
        while commands.len() < MAX_COMMANDS {
            let Some(task) = reasons.starts.pop_first() else { break };
            commands.extend(self.start_command(name, &task, send));
        }
        while commands.len() < MAX_COMMANDS {
            let Some((attempt, cause)) = reasons.forgets.pop_first() else {
                break;
            };
            commands.extend(self.forget_command(name, attempt, cause, send));
        }
        commands
    }

    /// Builds the start of a task, if it is still wanted, and stores the fencing token in the
    /// record.
    fn start_command(&mut self, name: &MachineId, task: &TaskRef, send: &SendContext) -> Option<AgentCommand> {
        if is_cancelled(send.api, &task.job) {
            // The pending change of the job's key will free or stop its placements.
            return None;
        }
        let machine = self.machines.get(name)?;
        let (incarnation, accepts_starts) = (machine.incarnation, machine.accepts_starts());
        let job = self.jobs.get_mut(&task.job)?;
        let is_wanted = job.is_live() && accepts_starts;
        let placement = job.placements.get_mut(&task.task)?;
        let is_here = placement.machine == *name && placement.incarnation == incarnation;
        if !is_here || !placement.may_be_sent() {
            return None;
        }
        if !is_wanted || placement.stop_grace_s.is_some() {
            if !placement.sent {
                // Only the current leadership could have sent the start, and it has not, so the
                // record is void without proof by a heartbeat.
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
            .record(job.decision(task.task, &sent, decided, send.now));
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

    /// Builds the stop of a task that is to be stopped and may be on this machine.
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

    /// Builds the stop of an attempt, unless the attempt has a record.
    fn stop_orphan_command(&self, name: &MachineId, attempt: Attempt) -> Option<AgentCommand> {
        if self.has_record(name, &attempt) {
            return None;
        }
        // The attempt counts towards its team's limit until the machine no longer lists it. If it
        // was started under the current token, its record was freed too early.
        tracing::debug!(
            machine = %name,
            task = attempt.task,
            attempt = attempt.number,
            term = self.term,
            "stop sent for an attempt without a record"
        );
        Some(AgentCommand::Stop {
            task: attempt.task,
            attempt: attempt.number,
            grace_s: 0.0,
        })
    }

    /// Builds the command to forget an attempt that has ended, unless its outcome is not recorded
    /// yet or a repeated start of it could run the task again.
    fn forget_command(
        &mut self,
        name: &MachineId,
        attempt: Attempt,
        cause: Cause,
        send: &SendContext,
    ) -> Option<AgentCommand> {
        // Only starts under this leader's own term are known here.
        if send.fencing_token != self.term || self.has_record(name, &attempt) {
            return None;
        }
        let sent_starts = &mut self.machines.get_mut(name)?.outbox.sent_starts;
        let proof = sent_starts.forget_proof(&attempt, cause, send.fencing_token)?;
        sent_starts.on_forget(&attempt);
        let (task, number, token) = (&attempt.task, attempt.number, send.fencing_token);
        tracing::debug!(machine = %name, task, attempt = number, ?cause, ?proof, token, "forget sent");
        Some(AgentCommand::Forget {
            task: attempt.task,
            attempt: attempt.number,
        })
    }

    /// Returns whether this attempt has a record on this machine in the current incarnation of the
    /// agent.
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
