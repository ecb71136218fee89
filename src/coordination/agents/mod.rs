//! Agents on the machines: their heartbeats, the commands that they get, and how a controller that
//! does not lead answers an agent that can't reach the leader.
//!
//! Every controller receives heartbeats; the leader decides what an agent is commanded.
//!
//! - `heartbeats`: the path of a heartbeat to the leader and of the response back;
//! - `heartbeat_proxy`: heartbeats that are answered without the leader;
//! - `heartbeat_status`: what a heartbeat says of the leader's records;
//! - `outbox`: the reasons to command a machine, and the commands that follow from them;
//! - `push`: commands that are sent outside of responses to heartbeats;
//! - `machines`: periodic checks of machines without heartbeats.
//!
//! Invariant: a start is sent only for a recorded placement, which notes the highest fencing token
//! under which any start of it was sent.

mod heartbeat_proxy;
mod heartbeat_status;
mod heartbeats;
mod machines;
mod outbox;
mod push;

use super::state::MachineId;
use crate::protocol::agents::Heartbeat;
use crate::time::Micros;
pub use heartbeat_proxy::{HeartbeatProxy, LeaseRenewer};
pub use outbox::{Attempt, CommandReasons, Outbox, SendContext, TaskRef};
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
    /// Versions of the lists of machines that other controllers proxy, as last read.
    pub(super) proxied_versions: BTreeMap<String, u64>,
}

impl AgentChannels {
    /// A leader that has sent nothing yet.
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

/// Splits a task's name into its job and number; `None` if it is malformed. A number with leading
/// zeros or a sign is malformed: it would be a second name of the same task.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, digits) = task.rsplit_once('/')?;
    let plain = digits.bytes().all(|b| b.is_ascii_digit()) && (digits == "0" || !digits.starts_with('0'));
    if !plain {
        return None;
    }
    Some((job, digits.parse().ok()?))
}
