//! Workers: their reports, the commands they get, and what a controller that does not lead
//! does for a worker that cannot reach the leader.

mod heartbeat_proxy;
mod heartbeat_status;
mod heartbeats;
mod machines;
mod outbox;
mod push;

use super::state::MachineId;
use crate::protocol::agents::Heartbeat;
use crate::time::Micros;
pub use heartbeat_proxy::HeartbeatProxy;
pub use outbox::{Attempt, Due, Leave, Outbox, TaskRef};
pub use push::SentPush;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader sends to agents outside of answers to their heartbeats, and what it waits for.
pub struct AgentChannels {
    /// Machines whose outbox is not empty.
    pub(super) outboxes: BTreeSet<MachineId>,
    /// Pushed commands without an answer so far, by request number.
    pub(super) pushes_in_flight: BTreeMap<u64, SentPush>,
    /// Heartbeats that came as answers to pushed commands and are not processed yet.
    push_heartbeats: Vec<Heartbeat>,
    next_check: Micros,
    next_proxied_read: Micros,
    /// Versions of what other controllers say of the machines that they proxy, as last read.
    pub(super) proxied_versions: BTreeMap<String, u64>,
}

impl AgentChannels {
    /// Nothing sent, nothing to send.
    pub fn new(now: Micros) -> AgentChannels {
        AgentChannels {
            outboxes: BTreeSet::new(),
            pushes_in_flight: BTreeMap::new(),
            push_heartbeats: vec![],
            next_check: now,
            next_proxied_read: now,
            proxied_versions: BTreeMap::new(),
        }
    }
}

/// Splits a task's name into its job and number. The number has one way to be written: another
/// one would name the same task twice.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, digits) = task.rsplit_once('/')?;
    let plain = digits.bytes().all(|b| b.is_ascii_digit()) && (digits == "0" || !digits.starts_with('0'));
    if !plain {
        return None;
    }
    Some((job, digits.parse().ok()?))
}
