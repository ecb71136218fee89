//! The protocol between controllers and agents: heartbeats, and the commands in their responses and
//! in pushes.
//!
//! Agents use CBOR with the serde names. Controllers exchange some of these types with bitcode,
//! which encodes fields and variants by position: their order must not change.

use super::optional_amount;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskPhase {
    /// The image of the task is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task saves a checkpoint before it stops.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has exited.
    #[serde(rename = "ended")]
    Exited,
    /// A phase of a later protocol version: the task still occupies the machine.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Cause {
    /// The task has completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The start was refused: the machine has another attempt at the task.
    #[serde(rename = "busy")]
    Busy,
    /// The start was refused: the job or task is unknown, or has not been submitted yet.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause of a later protocol version: the task no longer runs.
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
    /// The phase of the attempt.
    pub phase: TaskPhase,
    /// The reason why the attempt exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A heartbeat: the periodic report of an agent about its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    /// The name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address at which the agent accepts pushed commands.
    pub addr: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The incarnation of the agent, which has no tasks of its earlier incarnations.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The sequence number of the heartbeat in this incarnation.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The highest fencing token that the agent has received; commands with a lower one are
    /// refused.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The time in seconds until the cloud reclaims the machine, if the cloud has given notice.
    #[serde(rename = "warning_s", default, deserialize_with = "optional_amount")]
    pub notice_s: Option<f64>,
    /// The attempts that the agent lists, including exited ones for which it has not received a
    /// `Forget` command yet.
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
    /// Stops an attempt, after a limited time to save a checkpoint.
    #[serde(rename = "kill")]
    Stop {
        /// The name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// The time allowed for saving the checkpoint, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an exited attempt from the agent's list.
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
    /// The controller to which the agent should send its heartbeats, if the response names one.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// The result of a push.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PushResult {
    /// The commands were executed; with the agent's state afterwards.
    Done(Heartbeat),
    /// The agent refused the push and executed nothing; with the agent's state.
    Rejected(Heartbeat),
    /// The push was never sent.
    NotSent,
    /// The outcome is unknown: the commands may have been executed, or may still be executed.
    Unknown,
}
