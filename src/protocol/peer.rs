//! What controllers tell each other (bitcode, length-prefixed).

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
    },
    /// Display counts that changed, from the leader.
    Progress(Vec<Progress>),
    /// A report from a worker that cannot reach the leader, in its wire form.
    Forward { node: String, id: u64, body: Vec<u8> },
    /// The leader's answer to a forwarded report.
    Forwarded { id: u64, status: u16, body: Vec<u8> },
}
