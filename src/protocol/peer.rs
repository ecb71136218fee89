//! What controllers tell each other (bitcode, length-prefixed).

use super::agents::{Heartbeat, HeartbeatResponse, PushResult, PushedCommands};
use bitcode::{Decode, Encode};
use glenhaven_connectivity::LinkObservation;

/// Display counts of one job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Progress {
    pub id: String,
    pub done: u32,
    pub running: u32,
}

/// A message between controllers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Sent about every half second.
    Alive {
        node: String,
        term: u64,
        /// Whether the sender's knowledge of the state service is current.
        fresh: bool,
        /// Whether the sender leads this term.
        leads: bool,
        /// Changes to the state service that it wants to make, a thousand
        /// seconds' worth.
        wants: u32,
        /// Workers that report to the sender.
        serves: u32,
        /// The sender's steady clock, in microseconds. Nobody compares it with another
        /// clock; differences tell how late a later message is.
        at: u64,
        /// How its links are.
        links: Vec<LinkObservation>,
    },
    /// Display counts that changed, from the leader.
    Progress(Vec<Progress>),
    /// A worker's report, passed on to the leader.
    Heartbeat {
        node: String,
        id: u64,
        heartbeat: Heartbeat,
    },
    /// The leader's answer to it.
    HeartbeatResponse { id: u64, commands: HeartbeatResponse },
    /// A new leader wants to hear what workers reported last.
    LastHeartbeatsRequest { node: String },
    /// Workers' last reports, each with its age in milliseconds.
    LastHeartbeats {
        node: String,
        heartbeats: Vec<(u32, Heartbeat)>,
    },
    /// Commands for a worker that reports to the receiver.
    RelayPush {
        node: String,
        id: u64,
        addr: String,
        body: PushedCommands,
    },
    /// What came of them.
    RelayedPushResult { id: u64, answer: PushResult },
    /// A request to the state service or the cloud which the sender can't make itself.
    /// The receiver makes it itself or not at all.
    ForwardRequest {
        node: String,
        /// A number of the sender's process: its earlier lives asked other things.
        life: u64,
        id: u64,
        /// The sender's steady clock, as in `Alive`.
        at: u64,
        /// The term as the sender knows it.
        term: u64,
        timeout_ms: u32,
        what: ForwardedBody,
    },
    /// What came of it.
    ForwardedResponse { life: u64, id: u64, what: ForwardedBody },
    /// A message for another controller, which the sender can't reach. The receiver
    /// sends it there directly or drops it.
    RelayMessage { to: String, body: Vec<u8> },
    /// A message that came by way of the sender.
    RelayedMessage(Vec<u8>),
    /// The sender leads no more, by its own decision; if it names a controller, the
    /// others let that one go first.
    TransferLeadership {
        node: String,
        term: u64,
        to: Option<String>,
    },
    /// The state service answers nobody: which cancellations does the receiver know beyond
    /// those up to this revision, which the sender has seen? Sent only to controllers that
    /// said that they run this release.
    AttestationRequest { node: String, round: u64, seen: u64 },
    /// All of them, with the versions of their jobs' keys, and the term that the sender
    /// knows, as of now.
    Attestation {
        node: String,
        round: u64,
        term: u64,
        cancelled: Vec<(String, u64)>,
    },
}

/// A request or answer that is carried for another controller, in the form in which the
/// state service or the cloud has it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedBody {
    State(Vec<u8>),
    Cloud(Vec<u8>),
}

/// How a link to another controller is, as its sending side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// The other side takes in messages.
    Up,
    /// Connections are refused: the host is there.
    Refused,
    /// Nothing comes back.
    Silent,
}
