//! The leader's periodic checks, which run independently of heartbeats: silent machines,
//! unanswered pushes, zones, stragglers and accounting.

use super::heartbeat_proxy::PUBLISH_INTERVAL;
use super::push::{SentPush, RELAY_TIMEOUT};
use crate::coordination::log::LogContinuation;
use crate::coordination::state::{LeaderState, Machine};
use crate::coordination::store_queue::Urgency;
use crate::coordination::{ClusterConfig, Context, Continuation, PushResult};
use crate::protocol::store::StoreRequest;
use crate::storage::keys;
use crate::time::Micros;

/// Pause between two rounds of checks.
const CHECK_INTERVAL: Micros = Micros::from_millis(500);
/// Pause between two searches for stragglers.
const STRAGGLER_INTERVAL: Micros = Micros::from_millis(1000);
/// Timeout of the read of the lists of proxied machines.
const PROXIED_READ_TIMEOUT: Micros = Micros::from_millis(700);

impl LeaderState {
    /// Runs the checks that are due. `holds_lease` is true if this node's lease can't have ended;
    /// only then are machines released.
    pub fn run_machine_checks(&mut self, context: &mut Context, cluster: &ClusterConfig, holds_lease: bool) {
        let now = context.now;
        self.apply_push_heartbeats(cluster, now);
        if now < self.agents.next_check {
            return;
        }
        self.expire_relayed_pushes(now);
        self.agents.next_check = now + CHECK_INTERVAL;
        self.probe_asymmetric_partitions(context, now);
        self.update_unsettled_machines(now);
        self.check_zones(cluster, now);
        self.log_replicas(cluster, now);
        self.update_slo_accounting(cluster, now);
        self.read_proxied_machines(context, cluster);
        if holds_lease {
            self.release_failed_machines(cluster, now);
            self.request_term_for_ended_attempts(cluster, now);
        }
        if now >= self.failures.next_straggler_check {
            self.failures.next_straggler_check = now + STRAGGLER_INTERVAL;
            self.detect_stragglers(cluster, now);
        }
    }

    /// Handles relayed pushes without an answer within [`RELAY_TIMEOUT`] as pushes with an unknown
    /// outcome.
    fn expire_relayed_pushes(&mut self, now: Micros) {
        let is_late = |push: &SentPush| push.relayed && now.since(push.sent_at) > RELAY_TIMEOUT;
        let late: Vec<u64> = self
            .agents
            .pushes_in_flight
            .iter()
            .filter(|(_, push)| is_late(push))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.on_push_result(id, PushResult::Unknown);
        }
    }

    /// Reads the lists of machines that other controllers proxy, while this node receives no
    /// heartbeats from some machine or zone.
    fn read_proxied_machines(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let now = context.now;
        let max_silence = Self::max_heartbeat_age(cluster);
        let is_silent = |m: &Machine| m.incarnation > 0 && now.since(m.last_heartbeat) > max_silence;
        let wanted = self.failures.zones.any_cut_off() || self.machines.values().any(is_silent);
        if !wanted || now < self.agents.next_proxied_read {
            return;
        }
        self.agents.next_proxied_read = now + PUBLISH_INTERVAL;
        let request = StoreRequest::List {
            prefix: keys::PROXIED_MACHINES.into(),
            after: String::new(),
        };
        let continuation = Continuation::Log(self.incarnation, LogContinuation::ProxiedMachines);
        context
            .store
            .push(Urgency::Start, request, continuation, PROXIED_READ_TIMEOUT);
    }
}
