//! What goes into the single owner of a controller's state, and what comes out of it.

use super::{commit, desk, leadership};
use crate::protocol::cloud::{Catalogue, Hosts, ListPage, Rent};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreAnswer, StoreRequest};
pub use crate::protocol::workers::DirectAnswer;
use crate::protocol::workers::{Direct, Report};
use crate::time::Micros;
use crate::transport::server::Outgoing;
use serde::{Deserialize, Serialize};

/// What a user asks.
#[derive(Clone, Debug)]
pub enum UserRequest {
    Submit(Vec<u8>),
    Poll(String),
    Abort(String),
    Ready,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudRequest {
    Catalogue,
    Rent(Rent),
    Release(Hosts),
    List { after: String },
}

/// What came of a call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudAnswer {
    Catalogue(Catalogue),
    Rented(Vec<String>),
    Released,
    List(ListPage),
    NoCapacity,
    /// Malformed request, in the cloud's view.
    Malformed,
    /// 429 or an outage.
    Refused,
    /// No usable answer; it may be executed later.
    Unknown,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Command {
    User {
        id: u64,
        request: UserRequest,
    },
    Report {
        id: u64,
        report: Report,
    },
    Store {
        id: u64,
        answer: StoreAnswer,
    },
    Cloud {
        id: u64,
        answer: CloudAnswer,
    },
    Direct {
        id: u64,
        answer: DirectAnswer,
    },
    Peer(PeerMessage),
    /// A link to another controller has changed.
    Link {
        node: String,
        link: Link,
    },
}

/// Something to be done outside.
#[derive(Clone, Debug)]
pub enum Effect {
    Reply {
        id: u64,
        answer: Outgoing,
    },
    Store {
        id: u64,
        request: StoreRequest,
        timeout: Micros,
    },
    Cloud {
        id: u64,
        request: CloudRequest,
        timeout: Micros,
    },
    Direct {
        id: u64,
        addr: String,
        body: Direct,
        timeout: Micros,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum Wait {
    Lead(leadership::LeadWait),
    Desk(desk::DeskWait),
    /// Of the leader's incarnation with this number.
    Leader(u64, commit::LeaderWait),
}
