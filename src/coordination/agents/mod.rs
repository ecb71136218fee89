//! Communication with the agents on the machines: their heartbeats, the commands to them, and the
//! responses of a controller that is not the leader while the leader can't be reached.
//!
//! Every controller receives heartbeats; only the leader decides which commands an agent is sent.
//!
//! - `heartbeats`: forwards heartbeats to the leader and returns the responses;
//! - `heartbeat_proxy`: answers heartbeats without the leader;
//! - `heartbeat_status`: applies heartbeats to the leader's state;
//! - `outbox`: the reasons to send a machine commands, and the commands built from them;
//! - `push`: sends commands outside of heartbeat responses;
//! - `sent_starts`: the starts that may be executed again, and what proves that an ended attempt may
//!   be forgotten;
//! - `ended_attempts`: bounds the number of ended attempts that may not be forgotten yet;
//! - `machines`: periodic checks, which run independently of heartbeats.
//!
//! Invariants: a start is sent only for a recorded placement, which notes the highest fencing token
//! under which any start of the placement was sent. An ended attempt is forgotten only with a
//! [`ForgetProof`].

mod ended_attempts;
mod heartbeat_proxy;
mod heartbeat_status;
mod heartbeats;
mod machines;
mod outbox;
mod push;
mod sent_starts;
mod task_failures;

use super::state::MachineId;
use crate::protocol::agents::Heartbeat;
use crate::time::Micros;
pub use heartbeat_proxy::{HeartbeatProxy, LeaseRenewer};
pub use outbox::{Attempt, CommandReasons, Outbox, SendContext, TaskRef};
pub use push::SentPush;
pub use sent_starts::{ForgetProof, SentStarts};
use std::collections::{BTreeMap, BTreeSet};

/// The leader's state for sending commands to agents outside of heartbeat responses.
pub struct AgentChannels {
    /// Machines whose outbox is not empty.
    pub(super) outboxes: BTreeSet<MachineId>,
    /// Pushes that have not been answered yet, by request number.
    pub(super) pushes_in_flight: BTreeMap<u64, SentPush>,
    /// Heartbeats received as answers to pushes and not yet processed.
    push_heartbeats: Vec<Heartbeat>,
    /// When the periodic checks of machines run next.
    next_check: Micros,
    /// When a higher term may be requested next because of ended attempts.
    next_term_for_ended: Micros,
    /// When the lists of proxied machines may be read next.
    next_proxied_read: Micros,
    /// The versions, as last read, of the lists in which other controllers publish the machines
    /// that they proxy, by key.
    pub(super) proxied_versions: BTreeMap<String, u64>,
}

impl AgentChannels {
    /// Creates the state of a leader that has sent nothing yet.
    pub fn new(now: Micros) -> AgentChannels {
        AgentChannels {
            outboxes: BTreeSet::new(),
            pushes_in_flight: BTreeMap::new(),
            push_heartbeats: vec![],
            next_check: now,
            next_term_for_ended: now,
            next_proxied_read: now,
            proxied_versions: BTreeMap::new(),
        }
    }
}

/// Splits a task's name into its job and its number; returns `None` if the name is malformed.
///
/// A number with leading zeros or a sign is malformed, because it would give one task two names.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, digits) = task.rsplit_once('/')?;
    let plain = digits.bytes().all(|b| b.is_ascii_digit()) && (digits == "0" || !digits.starts_with('0'));
    if !plain {
        return None;
    }
    Some((job, digits.parse().ok()?))
}
