//! What workers report and what they are told.

use super::maybe_amount;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskPhase {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// A state of a later protocol: the task is on the machine.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause of a later protocol: the task is no longer running.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub phase: TaskPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "flavor")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "serial")]
    pub sequence: u64,
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    #[serde(rename = "warning_s", default, deserialize_with = "maybe_amount")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command for a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "verb")]
pub enum AgentCommand {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct HeartbeatResponse {
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct PushedCommands {
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// The body of a 421: the node to report to, if this one knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// What came of commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PushResult {
    /// Executed; the worker's report after it.
    Done(Heartbeat),
    /// Nothing executed; the worker's report.
    Rejected(Heartbeat),
    /// The request never left.
    NotSent,
    /// It may have been executed, or may be later.
    Unknown,
}
