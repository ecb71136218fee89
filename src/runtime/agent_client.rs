//! HTTP clients of the agents, which push commands to them.

use super::http_call::decode_body;
use crate::protocol::agents::{Heartbeat, PushResult, PushedCommands};
use crate::protocol::to_cbor;
use crate::time::Micros;
use crate::transport::client::{CallResult, Client};
use http_types::Method;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of agents whose connections are kept. At this number, all kept connections are
/// dropped and opened again on demand.
const MAX_AGENTS: usize = 256;
/// Maximum number of idle connections that are kept for each agent.
const CONNECTIONS_PER_AGENT: usize = 1;

/// The clients of agents, by address.
#[derive(Default)]
pub(super) struct AgentClients {
    by_address: RefCell<HashMap<String, Rc<Client>>>,
}

impl AgentClients {
    /// Returns the client of the agent at `address`; `None` if `address` is not a socket address.
    pub(super) fn get(&self, address: &str) -> Option<Rc<Client>> {
        let mut clients = self.by_address.borrow_mut();
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        if clients.len() >= MAX_AGENTS {
            clients.clear();
        }
        let client = Client::new(address, CONNECTIONS_PER_AGENT)?;
        clients.insert(address.to_string(), client.clone());
        Some(client)
    }
}

/// Pushes commands to an agent and waits for the answer. Without a client, the commands count as
/// not sent.
pub(super) async fn push(client: Option<Rc<Client>>, commands: PushedCommands, timeout: Micros) -> PushResult {
    let Some(client) = client else {
        return PushResult::NotSent;
    };
    let result = client.call(Method::Post, "/do", Some(to_cbor(&commands)), timeout);
    match result.await {
        CallResult::Answer { status: 200, body } => {
            decode_body(&body, PushResult::Unknown, |report: Heartbeat| PushResult::Done(report))
        }
        CallResult::Answer { status: 409, body } => decode_body(&body, PushResult::Unknown, |report: Heartbeat| {
            PushResult::Rejected(report)
        }),
        CallResult::NotSent => PushResult::NotSent,
        _ => {
            client.drop_idle_connections();
            PushResult::Unknown
        }
    }
}
