//! Messages between controllers, encoded with bitcode and sent as length-prefixed frames.
//!
//! bitcode encodes by position: variants and fields must not be moved, added or removed, because two
//! releases talk to each other during an upgrade.

use super::agents::{Heartbeat, HeartbeatResponse, PushResult, PushedCommands};
use bitcode::{Decode, Encode};
use glenhaven_connectivity::LinkObservation;

/// The counts of one job that are shown to users.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Progress {
    /// The job's id.
    pub id: String,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// A message between controllers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// The sender is alive; sent about every half second.
    Alive {
        /// The sender's name.
        node: String,
        /// The term that the sender knows.
        term: u64,
        /// Whether the sender's knowledge of the state service is current.
        fresh: bool,
        /// Whether the sender leads this term.
        leads: bool,
        /// Changes to the state service that the sender wants to make in a thousand seconds.
        wants: u32,
        /// Agents that send their heartbeats to the sender.
        serves: u32,
        /// The sender's steady clock, in microseconds. It is never compared with another clock; the
        /// differences between messages tell how late a later message is.
        at: u64,
        /// The state of the sender's links.
        links: Vec<LinkObservation>,
    },
    /// Counts of jobs that changed, from the leader.
    Progress(Vec<Progress>),
    /// An agent's heartbeat, forwarded to the leader.
    Heartbeat {
        /// The sender's name.
        node: String,
        /// The sender's number for it.
        id: u64,
        /// What the agent reported.
        heartbeat: Heartbeat,
    },
    /// The leader's answer to a forwarded heartbeat.
    HeartbeatResponse {
        /// The receiver's number for the heartbeat.
        id: u64,
        /// What the agent is to be told.
        commands: HeartbeatResponse,
    },
    /// A new leader asks for the last heartbeats of agents.
    LastHeartbeatsRequest {
        /// The sender's name.
        node: String,
    },
    /// The last heartbeats of agents that the sender received.
    LastHeartbeats {
        /// The sender's name.
        node: String,
        /// Each heartbeat with its age in milliseconds.
        heartbeats: Vec<(u32, Heartbeat)>,
    },
    /// Commands for an agent that sends its heartbeats to the receiver.
    RelayPush {
        /// The sender's name.
        node: String,
        /// The sender's number for them.
        id: u64,
        /// The agent's address.
        addr: String,
        /// The commands.
        body: PushedCommands,
    },
    /// The result of relayed commands.
    RelayedPushResult {
        /// The receiver's number for the commands.
        id: u64,
        /// The result.
        answer: PushResult,
    },
    /// A request to the state service or the cloud that the sender can't make itself. The receiver
    /// makes it itself or not at all.
    ForwardRequest {
        /// The sender's name.
        node: String,
        /// A number of the sender's process incarnation: its earlier ones made other requests.
        life: u64,
        /// The sender's number for the request.
        id: u64,
        /// The sender's steady clock, as in `Alive`.
        at: u64,
        /// The term that the sender knows.
        term: u64,
        /// How long the answer is waited for, in milliseconds.
        timeout_ms: u32,
        /// The request.
        what: ForwardedBody,
    },
    /// The answer to a forwarded request.
    ForwardedResponse {
        /// The number of the process incarnation that made the request.
        life: u64,
        /// The receiver's number for the request.
        id: u64,
        /// The answer.
        what: ForwardedBody,
    },
    /// A message for another controller that the sender can't reach. The receiver sends it there
    /// directly or drops it.
    RelayMessage {
        /// The name of the controller that the message is for.
        to: String,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// An encoded message that the sender relays.
    RelayedMessage(Vec<u8>),
    /// The sender gives up the leadership by its own decision.
    TransferLeadership {
        /// The sender's name.
        node: String,
        /// The term that it led.
        term: u64,
        /// The controller that the others let go first in the election, if any.
        to: Option<String>,
    },
    /// The state service answers nobody: which cancellations does the receiver know beyond those up
    /// to a revision? Sent only to controllers that said that they run this release.
    AttestationRequest {
        /// The sender's name.
        node: String,
        /// The sender's number for this round of questions.
        round: u64,
        /// The revision up to which the sender has seen all cancellations.
        seen: u64,
    },
    /// All cancellations that were asked for, as the sender knows them now.
    Attestation {
        /// The sender's name.
        node: String,
        /// The receiver's number for the round.
        round: u64,
        /// The term that the sender knows.
        term: u64,
        /// The cancelled jobs, with the versions of their keys.
        cancelled: Vec<(String, u64)>,
    },
}

/// A request or answer that is forwarded for another controller, encoded as the state service or the
/// cloud has it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedBody {
    /// To or from the state service.
    State(Vec<u8>),
    /// To or from the cloud.
    Cloud(Vec<u8>),
}

/// The state of the link to another controller, as its sending side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// The other side acknowledges messages.
    Up,
    /// Connections are refused: the host is there, the controller is not.
    Refused,
    /// Nothing comes back.
    Silent,
}
