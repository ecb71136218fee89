//! What the leader looks after between reports: machines that are not heard.

use super::caretaker::PUBLISH;
use super::direct::{SentDirect, RELAY_LIMIT};
use crate::bookkeeping::keys;
use crate::coordination::book::{Leader, Machine};
use crate::coordination::commit::LeaderWait;
use crate::coordination::store_queue::Urgency;
use crate::coordination::{DirectAnswer, Shared, Site, Wait};
use crate::protocol::store::StoreRequest;
use crate::time::Micros;

impl Leader {
    /// Looks after machines between reports.
    pub fn tick_machines(&mut self, sh: &mut Shared, site: &Site, sure: bool) {
        let now = sh.now;
        self.take_direct_reports(site, now);
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
