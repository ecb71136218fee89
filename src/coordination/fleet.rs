//! Renting and returning machines: for what waits and what is coming; late and
//! dead boots given up, silent machines released, unexpected ones adopted.

mod calls;
mod claims;
mod demand;
mod listed;
mod rent;

use super::book::{Leader, Machine, MachineId, MachineState};
use super::{times, CloudAnswer, CloudRequest, Shared, Site};
use crate::bookkeeping::records::ClaimValue;
use crate::protocol::cloud::{Hosts, Rent};
use crate::time::Micros;
pub use calls::CloudDesk;
use calls::CloudWait;
pub use demand::effective_cores;
use std::collections::{BTreeMap, BTreeSet};

/// Machines in a release: the most that the cloud takes.
const RELEASED_AT_ONCE: usize = 100;

/// How far a rental request has come.
enum ClaimState {
    /// To be written to the state service first.
    Wanted,
    Recorded,
    Asked,
    /// Answered; kept until every machine of it has been seen.
    Answered(Vec<MachineId>),
    /// Its record may be deleted.
    Over,
}

struct Claim {
    id: String,
    value: ClaimValue,
    state: ClaimState,
    /// The page of the book that names it; 0: none does.
    base: u64,
    again_at: Micros,
    tries: u32,
}

/// The leader's rentals.
pub struct Fleet {
    claims: Vec<Claim>,
    next_claim: u64,
    next_list: Micros,
    listing: Option<String>,
    list_flying: bool,
    /// Whether this leader has read the whole list of machines once.
    listed: bool,
    blocked: BTreeMap<(String, String, bool), Micros>,
    releasing: usize,
    /// Machines given up whose release has yet to be asked for: looked at with every batch
    /// instead of all machines.
    to_release: BTreeSet<MachineId>,
    next_decide: Micros,
    /// When ordinary machines are thought of again.
    next_advice: Micros,
    /// Decayed demand of work that may use spot machines, in cores.
    average: f64,
    average_at: Option<Micros>,
}

impl Fleet {
    pub fn new(now: Micros) -> Fleet {
        Fleet {
            claims: vec![],
            next_claim: 0,
            next_list: now,
            listing: None,
            list_flying: false,
            listed: false,
            blocked: BTreeMap::new(),
            releasing: 0,
            to_release: BTreeSet::new(),
            next_decide: now,
            next_advice: now,
            average: 0.0,
            average_at: None,
        }
    }
}

impl Leader {
    fn rented(&mut self, id: &str, answer: CloudAnswer, now: Micros, pause: Micros) {
        let Some(claim) = self.fleet.claims.iter_mut().find(|c| c.id == id) else {
            return;
        };
        match answer {
            CloudAnswer::Rented(names) => {
                let names: Vec<MachineId> = names.iter().map(|n| n.as_str().into()).collect();
                if (names.len() as u32) < claim.value.count {
                    let key = (
                        claim.value.machine_type.clone(),
                        claim.value.zone.clone(),
                        claim.value.spot,
                    );
                    self.fleet.blocked.insert(key, now + times::NO_CAPACITY);
                }
                tracing::debug!(
                    claim = id,
                    machine_type = claim.value.machine_type,
                    zone = claim.value.zone,
                    spot = claim.value.spot,
                    asked = claim.value.count,
                    got = names.len(),
                    "rented"
                );
                for name in &names {
                    if self.gone.contains(name) {
                        continue;
                    }
                    let m = self
                        .machines
                        .entry(name.clone())
                        .or_insert_with(|| Machine::unknown(name.clone(), now));
                    m.rented_at.get_or_insert(now);
                    if m.machine_type.is_empty() {
                        let v = &claim.value;
                        m.describe(&v.machine_type, &v.zone, v.spot);
                    }
                }
                claim.state = ClaimState::Answered(names);
            }
            CloudAnswer::NoCapacity | CloudAnswer::Malformed => {
                // Nothing was rented under this name, and it is not asked
                // again. An earlier try that went unanswered may still be
                // executed; its machines are adopted when they show.
                let key = (
                    claim.value.machine_type.clone(),
                    claim.value.zone.clone(),
                    claim.value.spot,
                );
                self.fleet.blocked.insert(key, now + times::NO_CAPACITY);
                claim.state = ClaimState::Over;
            }
            _ => {
                claim.state = ClaimState::Recorded;
                claim.tries += 1;
                claim.again_at = now + pause;
            }
        }
    }

    /// Rents, lists and returns machines.
    pub fn tick_fleet(&mut self, sh: &mut Shared, site: &Site, cloud: &mut CloudDesk) {
        let now = sh.now;
        if site.catalogue.is_empty() {
            return;
        }
        // What is lost frees its tasks only when it is returned: that first.
        let machines = &self.machines;
        let waits = |m: &Machine| m.state == MachineState::Doomed && m.release_sent.is_none();
        self.fleet
            .to_release
            .retain(|name| machines.get(name).is_some_and(waits));
        let doomed: Vec<MachineId> = self.fleet.to_release.iter().take(RELEASED_AT_ONCE).cloned().collect();
        if !doomed.is_empty() && self.fleet.releasing < 2 {
            let request = CloudRequest::Release(Hosts {
                machines: doomed.iter().map(|n| n.to_string()).collect(),
            });
            let wait = CloudWait::Release(self.incarnation, doomed.clone());
            if cloud.call(sh, site, wait, request, 0.0) {
                self.fleet.releasing += 1;
                for name in doomed {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.release_sent = Some(now);
                    }
                }
            }
        }
        for claim in &mut self.fleet.claims {
            if matches!(claim.state, ClaimState::Recorded) && now >= claim.again_at {
                let request = CloudRequest::Rent(Rent {
                    claim: claim.id.clone(),
                    machine_type: claim.value.machine_type.clone(),
                    zone: claim.value.zone.clone(),
                    spot: claim.value.spot,
                    count: claim.value.count,
                });
                let wait = CloudWait::Rent(self.incarnation, claim.id.clone());
                if !cloud.call(sh, site, wait, request, 0.1) {
                    break;
                }
                claim.state = ClaimState::Asked;
            }
        }
        let (machines, gone) = (&self.machines, &self.gone);
        for claim in &mut self.fleet.claims {
            if let ClaimState::Answered(names) = &claim.state {
                let seen = |n: &MachineId| {
                    gone.contains(n) || machines.get(n).is_none_or(|m| m.session > 0 || !m.addr.is_empty())
                };
                if names.iter().all(seen) {
                    claim.state = ClaimState::Over;
                }
            }
        }
        if !self.fleet.list_flying && (self.fleet.listing.is_some() || now >= self.fleet.next_list) {
            let request = CloudRequest::List {
                after: self.fleet.listing.clone().unwrap_or_default(),
            };
            if cloud.call(sh, site, CloudWait::List(self.incarnation), request, 0.3) {
                self.fleet.list_flying = true;
            }
        }
        if now >= self.fleet.next_decide {
            self.fleet.next_decide = now + Micros::from_millis(250);
            self.decide(site, now);
        }
    }
}
