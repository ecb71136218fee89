//! What the leader looks after between reports: machines that are not heard.

use super::heartbeat_proxy::PUBLISH;
use super::push::{SentPush, RELAY_LIMIT};
use crate::coordination::log::LogContinuation;
use crate::coordination::state::{LeaderState, Machine};
use crate::coordination::store_queue::Urgency;
use crate::coordination::{ClusterConfig, Context, Continuation, PushResult};
use crate::protocol::store::StoreRequest;
use crate::storage::keys;
use crate::time::Micros;

impl LeaderState {
    /// Looks after machines between reports.
    pub fn run_machine_checks(&mut self, context: &mut Context, cluster: &ClusterConfig, sure: bool) {
        let now = context.now;
        self.take_direct_reports(cluster, now);
        if now < self.agents.next_check {
            return;
        }
        // What another node was asked to send and did not answer for.
        let late = |d: &SentPush| d.relayed && now.since(d.at) > RELAY_LIMIT;
        let late: Vec<u64> = self
            .agents
            .pushes_in_flight
            .iter()
            .filter(|(_, d)| late(d))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.on_direct(id, PushResult::Unknown);
        }
        self.agents.next_check = now + Micros::from_millis(500);
        self.probe_asymmetric_partitions(context, now);
        self.check_unsettled(now);
        let quiet = Self::work_silence(cluster);
        self.check_zones(cluster, now);
        self.log_replicas(cluster, now);
        self.update_slo_accounting(cluster, now);
        let unheard = |m: &Machine| m.incarnation > 0 && now.since(m.last_heartbeat) > quiet;
        if (self.failures.zones.any_cut() || self.machines.values().any(unheard))
            && now >= self.agents.next_proxied_read
        {
            self.agents.next_proxied_read = now + PUBLISH;
            let request = StoreRequest::List {
                prefix: keys::PROXIED_MACHINES.into(),
                after: String::new(),
            };
            let continuation = Continuation::Log(self.incarnation, LogContinuation::ProxiedMachines);
            context
                .store
                .push(Urgency::Start, request, continuation, Micros::from_millis(700));
        }
        if sure {
            self.release_failed_machines(cluster, now);
        }
        if now >= self.failures.next_straggler_check {
            self.failures.next_straggler_check = now + Micros::from_millis(1000);
            self.detect_stragglers(cluster, now);
        }
    }
}
