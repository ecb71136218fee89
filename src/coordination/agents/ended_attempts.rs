//! Ended attempts that agents may not forget under the present term.
//!
//! Such an attempt stays in its machine's heartbeats until a message under a higher fencing token
//! forgets it. This module bounds their number: it requests a higher term when there are many, and
//! sends starts to a machine with very many only in responses to heartbeats, which need no higher
//! term. So heartbeats stay short also while the term can't be raised.

use crate::coordination::state::{LeaderState, Machine, NewTermReason};
use crate::coordination::ClusterConfig;
use crate::time::Micros;

/// The number on one machine at which no starts are pushed to it any more, about a third of the size
/// limit of a heartbeat.
const MAX_ON_MACHINE: usize = 256;
/// The number on one machine at which a higher term is requested.
const RAISE_ON_MACHINE: usize = 64;
/// The mean number on the machines at which a higher term is requested, if there are at least
/// [`RAISE_ON_MACHINE`] in all.
const RAISE_MEAN: usize = 8;
/// The shortest time between two such requests, in leases of agents. A higher fencing token costs
/// each agent at most one additional heartbeat.
const RAISE_INTERVAL_LEASES: f64 = 2.0;

impl Machine {
    /// Returns whether starts may be pushed to the machine. Otherwise they are sent in responses to
    /// its heartbeats.
    pub fn accepts_pushed_starts(&self) -> bool {
        self.retained_exits < MAX_ON_MACHINE
    }
}

impl LeaderState {
    /// Requests a higher term if too many ended attempts wait to be forgotten.
    pub fn request_term_for_ended_attempts(&mut self, cluster: &ClusterConfig, now: Micros) {
        let interval = Micros::from_secs(RAISE_INTERVAL_LEASES * cluster.settings.params.workers.lease_s);
        let total: usize = self.machines.values().map(|machine| machine.retained_exits).sum();
        let largest = self.machines.values().map(|machine| machine.retained_exits).max();
        let is_many = total >= RAISE_ON_MACHINE && total >= RAISE_MEAN * self.machines.len();
        let is_needed = is_many || largest >= Some(RAISE_ON_MACHINE);
        if !is_needed || now < self.agents.next_term_for_ended {
            return;
        }
        tracing::debug!(total, largest, "many ended attempts wait for a higher term");
        self.agents.next_term_for_ended = now + interval;
        self.new_term_reason.get_or_insert(NewTermReason::EndedAttempts);
    }
}
