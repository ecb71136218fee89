//! The events that go into a controller, and the effects that come out of it.
//!
//! The runtime and the simulations translate between these and the outside. The cloud's requests and
//! responses are also sent between controllers, so their serialised names are part of the protocol.

use super::{api, election, log};
pub use crate::protocol::agents::PushResult;
use crate::protocol::agents::{Heartbeat, PushedCommands};
use crate::protocol::cloud::{Catalogue, ListPage, MachineNames, ProvisionRequest};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::time::Micros;
use crate::transport::server::Outgoing;
use serde::{Deserialize, Serialize};

/// What a user asks over HTTP.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submit the jobs in this body.
    Submit(Vec<u8>),
    /// Say how the job of this id is.
    Poll(String),
    /// Cancel the job of this id.
    Abort(String),
    /// Say whether this controller takes requests.
    Ready,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudRequest {
    /// List the machine types.
    Catalogue,
    /// Rent machines.
    #[serde(rename = "Rent")]
    Provision(ProvisionRequest),
    /// Return machines.
    Release(MachineNames),
    /// List rented machines.
    List {
        /// The name after which the list goes on; empty for its beginning.
        after: String,
    },
}

/// The result of a call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudResponse {
    /// The machine types.
    Catalogue(Catalogue),
    /// The names of the machines that were rented.
    Rented(Vec<String>),
    /// The machines are being returned.
    Released,
    /// A page of the list of rented machines.
    List(ListPage),
    /// The cloud has no such machine at present.
    NoCapacity,
    /// The cloud considers the request malformed.
    Malformed,
    /// Not executed: too many calls, an outage, or the call was never sent.
    Refused,
    /// No usable answer; the call may have been executed, or may be later.
    Unknown,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user's request.
    User {
        /// The number under which it is answered.
        id: u64,
        /// What is asked.
        request: UserRequest,
    },
    /// An agent's heartbeat.
    Heartbeat {
        /// The number under which it is answered.
        id: u64,
        /// What the agent reports.
        heartbeat: Heartbeat,
    },
    /// The state service's answer to a request.
    Store {
        /// The number of the request.
        id: u64,
        /// The result.
        answer: StoreResponse,
    },
    /// The cloud's answer to a call.
    Cloud {
        /// The number of the call.
        id: u64,
        /// The result.
        answer: CloudResponse,
    },
    /// An agent's answer to commands that were pushed to it.
    PushedCommands {
        /// The number of the push.
        id: u64,
        /// The result.
        answer: PushResult,
    },
    /// A message of another controller.
    Peer(PeerMessage),
    /// The link to another controller has changed.
    Link {
        /// The other controller's name.
        node: String,
        /// How the link is now.
        link: Link,
    },
}

/// Something to be done outside.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a user or an agent.
    Reply {
        /// The number of the request that is answered.
        id: u64,
        /// The answer.
        answer: Outgoing,
    },
    /// Send a request to the state service.
    Store {
        /// The number under which its answer is expected.
        id: u64,
        /// The request.
        request: StoreRequest,
        /// How long the answer is waited for.
        timeout: Micros,
    },
    /// Make a call to the cloud.
    Cloud {
        /// The number under which its answer is expected.
        id: u64,
        /// The call.
        request: CloudRequest,
        /// How long the answer is waited for.
        timeout: Micros,
    },
    /// Push commands to an agent.
    PushedCommands {
        /// The number under which its answer is expected.
        id: u64,
        /// The agent's address.
        addr: String,
        /// The commands.
        body: PushedCommands,
        /// How long the answer is waited for.
        timeout: Micros,
    },
    /// Send a message to another controller.
    Peer {
        /// The other controller's name.
        to: String,
        /// The message.
        message: PeerMessage,
    },
}

/// The part of the controller that waits for an answer of the state service, and for what.
#[derive(Clone, Debug)]
pub enum Continuation {
    /// The election.
    Election(election::ElectionContinuation),
    /// The job API.
    Api(api::ApiContinuation),
    /// The write-ahead log of the leadership with this incarnation.
    Log(u64, log::LogContinuation),
}
