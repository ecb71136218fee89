//! What goes into the single owner of a controller's state, and what comes out of it.

use super::{api, election, log};
pub use crate::protocol::agents::PushResult;
use crate::protocol::agents::{Heartbeat, PushedCommands};
use crate::protocol::cloud::{Catalogue, ListPage, MachineNames, ProvisionRequest};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
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
    #[serde(rename = "Rent")]
    Provision(ProvisionRequest),
    Release(MachineNames),
    List {
        after: String,
    },
}

/// What came of a call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudResponse {
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
pub enum Event {
    User {
        id: u64,
        request: UserRequest,
    },
    Heartbeat {
        id: u64,
        heartbeat: Heartbeat,
    },
    Store {
        id: u64,
        answer: StoreResponse,
    },
    Cloud {
        id: u64,
        answer: CloudResponse,
    },
    PushedCommands {
        id: u64,
        answer: PushResult,
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
    PushedCommands {
        id: u64,
        addr: String,
        body: PushedCommands,
        timeout: Micros,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum Continuation {
    Election(election::ElectionContinuation),
    Api(api::ApiContinuation),
    /// Of the leader's incarnation with this number.
    Log(u64, log::LogContinuation),
}
