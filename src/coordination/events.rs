//! The input events of a controller and its output effects.
//!
//! The runtime and the simulations translate between these types and actual I/O. Cloud requests and
//! responses are also sent between controllers, so their serialised names are part of the protocol.

use super::{api, election, log};
pub use crate::protocol::agents::PushResult;
use crate::protocol::agents::{Heartbeat, PushedCommands};
use crate::protocol::cloud::{Catalogue, ListPage, MachineNames, ProvisionRequest};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::time::Micros;
use crate::transport::server::HttpResponse;
use serde::{Deserialize, Serialize};

/// A user's HTTP request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submits the jobs in this body.
    Submit(Vec<u8>),
    /// Requests the status of the job with this id.
    Poll(String),
    /// Cancels the job with this id.
    Abort(String),
    /// Requests whether this controller is ready for user requests.
    Ready,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudRequest {
    /// Lists the machine types.
    Catalogue,
    /// Rents machines.
    #[serde(rename = "Rent")]
    Provision(ProvisionRequest),
    /// Releases machines.
    Release(MachineNames),
    /// Lists rented machines.
    List {
        /// The name after which the page starts; empty for the first page.
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
    /// One page of the list of rented machines.
    List(ListPage),
    /// The cloud has no capacity for such a machine at present.
    NoCapacity,
    /// The cloud rejected the request as malformed.
    Malformed,
    /// The call was not executed: too many calls, an outage, or it was never sent.
    Refused,
    /// There was no usable answer; the call may have been executed, or may still be executed later.
    Unknown,
}

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user's request.
    User {
        /// The request number to answer.
        id: u64,
        /// The request.
        request: UserRequest,
    },
    /// An agent's heartbeat.
    Heartbeat {
        /// The request number to answer.
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
    PushResult {
        /// The number of the push request.
        id: u64,
        /// The result.
        answer: PushResult,
    },
    /// A message from another controller.
    Peer(PeerMessage),
    /// A change of the link to another controller.
    Link {
        /// The other controller's name.
        node: String,
        /// The new state of the link.
        link: Link,
    },
}

/// An output of the controller, which the runtime carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answers a user or an agent.
    Reply {
        /// The number of the request that is answered.
        id: u64,
        /// The answer.
        answer: HttpResponse,
    },
    /// Sends a request to the state service.
    Store {
        /// The request number that the answer will carry.
        id: u64,
        /// The request.
        request: StoreRequest,
        /// The time after which a missing answer is given up.
        timeout: Micros,
    },
    /// Makes a call to the cloud.
    Cloud {
        /// The request number that the answer will carry.
        id: u64,
        /// The call.
        request: CloudRequest,
        /// The time after which a missing answer is given up.
        timeout: Micros,
    },
    /// Pushes commands to an agent.
    PushedCommands {
        /// The request number that the answer will carry.
        id: u64,
        /// The agent's address.
        addr: String,
        /// The commands.
        body: PushedCommands,
        /// The time after which a missing answer is given up.
        timeout: Micros,
    },
    /// Sends a message to another controller.
    Peer {
        /// The other controller's name.
        to: String,
        /// The message.
        message: PeerMessage,
    },
}

/// The component that handles an answer of the state service, with what it needs to continue.
#[derive(Clone, Debug)]
pub enum Continuation {
    /// The election.
    Election(election::ElectionContinuation),
    /// The job API.
    Api(api::ApiContinuation),
    /// The write-ahead log of the leadership with this incarnation number.
    Log(u64, log::LogContinuation),
}
