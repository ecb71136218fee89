//! What this node says of itself in the state service: which release it runs, and that the
//! lower limits hold.

use super::super::store_queue::Urgency;
use super::super::{times, Core, Wait};
use super::LeadWait;
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{to_value, Release, CHAINS, RELEASE};
use crate::protocol::store::{Change, StoreRequest, Txn};
use crate::time::Micros;

/// What is said in the state service is said again after this long, unless it was seen.
const SAY_AGAIN: Micros = Micros::from_millis(3000);
/// A controller that was heard within this time may be listening.
const LISTENS: Micros = Micros::from_millis(2500);

impl Core {
    /// Says in the state service which release this node runs, once, and that the lower
    /// limits hold, if it was the first to meet them. What was not written is said again.
    pub(in crate::coordination) fn tick_say(&mut self) {
        let now = self.sh.now;
        let site = &mut self.site;
        if self.lead.lowered && site.limits.lower() {
            tracing::warn!(
                changes_per_s = site.limits.changes_per_s(),
                "the lower limits of the state service hold"
            );
            self.set_rates();
        }
        let lagging = self.lagging();
        if lagging != self.site.lagging {
            match &lagging {
                Some(node) => tracing::info!(
                    node,
                    "a controller has yet to get this version: jobs that name others wait"
                ),
                None => tracing::info!("all controllers that are heard run this version"),
            }
            self.site.lagging = lagging;
        }
        if !self.lead.known || now < self.lead.next_say {
            return;
        }
        let said = self.lead.releases.get(&self.lead.node);
        if self.lead.said.release == 0 {
            let began_ms = self.sh.time_of_day(self.began).max(1);
            let release = RELEASE;
            self.lead.said = Release { release, began_ms };
            let before = said.map_or(0, |s| s.began_ms);
            let apart = Micros::from_millis(began_ms.saturating_sub(before));
            if before > 0 && apart < times::KEEPS_ENDING {
                tracing::warn!(
                    after_s = apart.secs(),
                    "this process keeps ending: others lead, if there are any"
                );
                self.lead.leaves_lead = Some(now + times::LEAVES_LEAD);
            }
        }
        let lowered = self.site.limits.is_lowered() && !self.lead.lowered;
        let mut changes = vec![];
        if said != Some(&self.lead.said) {
            let key = format!("{}{}", keys::RELEASES, self.lead.node);
            changes.push((key, to_value(&self.lead.said)));
        }
        if lowered {
            changes.push((keys::LOWERED.to_string(), to_value(&true)));
        }
        if changes.is_empty() {
            return;
        }
        // The watch on the term brings it back, here as everywhere.
        self.lead.next_say = now + SAY_AGAIN;
        let put = |(key, value)| Change::Put {
            key,
            value,
            lease: None,
        };
        let txn = Txn {
            conditions: vec![],
            changes: changes.into_iter().map(put).collect(),
        };
        let wait = Wait::Lead(LeadWait::Say);
        self.sh
            .store
            .push(Urgency::User, StoreRequest::Txn(txn), wait, Micros::from_millis(600));
    }

    /// A controller that is heard and has not said that it runs this release.
    fn lagging(&self) -> Option<String> {
        let heard = |p: &&crate::settings::Peer| {
            let view = self.peers.get(&p.node);
            view.is_some_and(|v| self.sh.now.since(v.at) < LISTENS)
        };
        let peers = self.site.settings.peers.iter().filter(heard);
        let mut behind = peers.filter(|p| self.lead.releases.get(&p.node).is_none_or(|r| r.release < CHAINS));
        behind.next().map(|p| p.node.clone())
    }
}
