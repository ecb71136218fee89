//! What controllers tell each other (bitcode, length-prefixed).

use super::workers::{Direct, DirectAnswer, Orders, Report};
use bitcode::{Decode, Encode};

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
    },
    /// Display counts that changed, from the leader.
    Progress(Vec<Progress>),
    /// A worker's report, passed on to the leader.
    Report { node: String, id: u64, report: Report },
    /// The leader's answer to it.
    Answered { id: u64, orders: Orders },
    /// A new leader wants to hear what workers reported last.
    Recall { node: String },
    /// Workers' last reports, each with its age in milliseconds.
    Recalled { node: String, reports: Vec<(u32, Report)> },
    /// Commands for a worker that reports to the receiver.
    Relay {
        node: String,
        id: u64,
        addr: String,
        body: Direct,
    },
    /// What came of them.
    Relayed { id: u64, answer: DirectAnswer },
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
