//! What the leader looks after between reports: machines that are not heard.

use super::caretaker::PUBLISH;
use super::commands::{SentDirect, RELAY_LIMIT};
use crate::bookkeeping::keys;
use crate::coordination::book::{Leader, Machine, MachineId};
use crate::coordination::commit::LeaderWait;
use crate::coordination::store_queue::Urgency;
use crate::coordination::{DirectAnswer, Shared, Site, Wait};
use crate::protocol::store::StoreRequest;
use crate::protocol::workers::Order;
use crate::time::Micros;

impl Leader {
    /// Looks after machines between reports.
    pub fn tick_machines(&mut self, sh: &mut Shared, site: &Site, sure: bool) {
        let now = sh.now;
        for report in std::mem::take(&mut self.direct_reports) {
            let name: MachineId = report.machine.as_str().into();
            let via = self.machines.get(&name).and_then(|m| m.via.clone());
            let orders = self.take_report(site, &report, via.as_deref(), now, now);
            if let Some(m) = self.machines.get_mut(&name) {
                // Starts go again with the next report's answer if need be.
                m.urgent
                    .extend(orders.into_iter().filter(|o| matches!(o, Order::Forget { .. })));
                self.urgent.insert(name);
            }
        }
        if now < self.next_machines {
            return;
        }
        // What another node was asked to send and did not answer for.
        let late = |d: &SentDirect| d.relayed && now.since(d.at) > RELAY_LIMIT;
        let late: Vec<u64> = self.direct.iter().filter(|(_, d)| late(d)).map(|(id, _)| *id).collect();
        for id in late {
            self.on_direct(id, DirectAnswer::Unknown);
        }
        self.next_machines = now + Micros::from_millis(500);
        self.ask_the_deaf(sh, now);
        self.look_for_unsettled(now);
        let quiet = Self::work_silence(site);
        self.look_at_zones(site, now);
        self.log_replicas(site, now);
        self.keep_account(site, now);
        let unheard = |m: &Machine| m.session > 0 && now.since(m.last_report) > quiet;
        if (self.zones.any() || self.machines.values().any(unheard)) && now >= self.next_care {
            self.next_care = now + PUBLISH;
            let request = StoreRequest::List {
                prefix: keys::CARE.into(),
                after: String::new(),
            };
            let wait = Wait::Leader(self.incarnation, LeaderWait::Care);
            sh.store.push(Urgency::Start, request, wait, Micros::from_millis(700));
        }
        if sure {
            self.judge_machines(site, now);
        }
        if now >= self.next_pace {
            self.next_pace = now + Micros::from_millis(1000);
            self.judge_pace(site, now);
        }
    }
}
