//! The protocol between controllers and agents: heartbeats, and the commands in their responses and
//! in pushes. The serde names are those of the wire; some types also travel between controllers, by
//! position of their fields.

use super::maybe_amount;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskPhase {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It saves a checkpoint before it stops.
    #[serde(rename = "flushing")]
    Saving,
    /// It has exited.
    #[serde(rename = "ended")]
    Exited,
    /// A state of a later protocol: the task is on the machine.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Cause {
    /// It has completed.
    #[serde(rename = "done")]
    Done,
    /// It was stopped.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// Its start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Its start was refused: the machine has another attempt at the task.
    #[serde(rename = "busy")]
    Busy,
    /// Its start was refused: the job or task is unknown, or has not been submitted yet.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause of a later protocol: the task is no longer running.
    #[serde(other)]
    Other,
}

/// The status of one attempt at a task, as a heartbeat lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct TaskStatus {
    /// The name of the task, `{job}/{number}`.
    #[serde(rename = "piece")]
    pub task: String,
    /// The number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its phase.
    pub phase: TaskPhase,
    /// Why it exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A heartbeat: what an agent periodically reports of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    /// The name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address at which the agent takes pushes.
    pub addr: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The incarnation of the agent: it has no tasks of an earlier one.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The number of the heartbeat in this incarnation.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The highest fencing token that the agent has seen; it refuses commands with a lower one.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// In how many seconds the cloud takes the machine back, if it has given notice.
    #[serde(rename = "warning_s", default, deserialize_with = "maybe_amount")]
    pub notice_s: Option<f64>,
    /// The attempts that the agent has, also those that have exited and are not forgotten.
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command for an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "verb")]
pub enum AgentCommand {
    /// Starts an attempt at a task.
    #[serde(rename = "run")]
    Start {
        /// The name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt, with a time in seconds to save a checkpoint.
    #[serde(rename = "kill")]
    Stop {
        /// The name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// How long it may take to save, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Forgets an attempt that has exited.
    #[serde(rename = "forget")]
    Forget {
        /// The name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat, which renews the agent's lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct HeartbeatResponse {
    /// The fencing token of the commands, which is the leader's term.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Commands that are pushed to an agent outside of the response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct PushedCommands {
    /// The fencing token of the commands, which is the leader's term.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The incarnation of the agent that the commands are for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// The body of a response with status 421, which redirects an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to, if this one names one.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// The result of a push.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PushResult {
    /// Executed; with the agent's state after it.
    Done(Heartbeat),
    /// Refused, nothing was executed; with the agent's state.
    Rejected(Heartbeat),
    /// The push was never sent.
    NotSent,
    /// The outcome is unknown: it may have been executed, or may be later.
    Unknown,
}
