//! Messages between controllers, encoded with bitcode and sent as length-prefixed frames.
//!
//! bitcode encodes by position: variants and fields must not be moved, added or removed, because
//! controllers of two releases exchange messages during an upgrade.

use super::agents::{Heartbeat, HeartbeatResponse, PushResult, PushedCommands};
use bitcode::{Decode, Encode};
use glenhaven_connectivity::LinkObservation;

/// The progress of one job as it is shown to users.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Progress {
    /// The job's id.
    pub id: String,
    /// The number of completed tasks.
    pub done: u32,
    /// The number of running tasks.
    pub running: u32,
}

/// A message between controllers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// The periodic liveness message of the sender, sent about every half second.
    Alive {
        /// The sender's name.
        node: String,
        /// The current term, as known to the sender.
        term: u64,
        /// Whether the sender has recently verified its copy of the state service's data.
        store_verified: bool,
        /// Whether the sender leads this term.
        leads: bool,
        /// The rate at which the sender wants to change the state service, in changes per 1000
        /// seconds.
        changes_per_1000_s: u32,
        /// The number of agents that send their heartbeats to the sender.
        agent_count: u32,
        /// The sender's monotonic clock, in microseconds. It is never compared with another clock;
        /// the differences between messages show how much later messages were delayed.
        sent_at_us: u64,
        /// The state of the sender's links.
        links: Vec<LinkObservation>,
    },
    /// The progress of jobs for which it has changed, from the leader.
    Progress(Vec<Progress>),
    /// An agent's heartbeat, forwarded to the leader.
    Heartbeat {
        /// The sender's name.
        node: String,
        /// The sender's number for the heartbeat.
        id: u64,
        /// The heartbeat of the agent.
        heartbeat: Heartbeat,
    },
    /// The leader's answer to a forwarded heartbeat.
    HeartbeatResponse {
        /// The receiver's number for the heartbeat.
        id: u64,
        /// The response for the agent.
        commands: HeartbeatResponse,
    },
    /// The request of a new leader for the last heartbeats of agents.
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
        /// The sender's number for the commands.
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
        /// The result of the push.
        answer: PushResult,
    },
    /// A request to the state service or the cloud from a sender without a working link to it. The
    /// receiver sends the request directly to the service, or drops it.
    ForwardRequest {
        /// The sender's name.
        node: String,
        /// The number of the sender's process incarnation, which distinguishes the request from
        /// those of earlier incarnations with the same `id`.
        process_number: u64,
        /// The sender's number for the request.
        id: u64,
        /// The sender's monotonic clock, as in `Alive`.
        sent_at_us: u64,
        /// The current term, as known to the sender.
        term: u64,
        /// The time for which the sender waits for the answer, in milliseconds.
        timeout_ms: u32,
        /// The request.
        body: ForwardedBody,
    },
    /// The answer to a forwarded request.
    ForwardedResponse {
        /// The number of the process incarnation that made the request.
        process_number: u64,
        /// The receiver's number for the request.
        id: u64,
        /// The answer.
        body: ForwardedBody,
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
    /// The sender gives up its leadership voluntarily.
    TransferLeadership {
        /// The sender's name.
        node: String,
        /// The term that the sender led.
        term: u64,
        /// The controller that may stand for election before the others, if any.
        to: Option<String>,
    },
    /// A request for the cancellations after a revision, as far as known to the receiver, sent while
    /// the state service doesn't answer. Sent only to controllers that have announced a release with
    /// attestations.
    AttestationRequest {
        /// The sender's name.
        node: String,
        /// The sender's number for this round of requests.
        round: u64,
        /// The revision up to which the sender has read all cancellations.
        seen: u64,
    },
    /// All requested cancellations that are known to the sender at present.
    Attestation {
        /// The sender's name.
        node: String,
        /// The receiver's number for the round.
        round: u64,
        /// The current term, as known to the sender.
        term: u64,
        /// The cancelled jobs, with the versions of their keys.
        cancelled: Vec<(String, u64)>,
    },
}

/// The encoded request to a service, or the encoded answer, that is forwarded for another
/// controller.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedBody {
    /// A request to or an answer of the state service.
    State(Vec<u8>),
    /// A request to or an answer of the cloud.
    Cloud(Vec<u8>),
}

/// The state of the link to another controller, as observed by its sending side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// The other side acknowledges messages.
    Up,
    /// Connections are refused: the host is reachable, but no controller listens on it.
    Refused,
    /// Neither acknowledgements nor refusals arrive.
    Silent,
}
