//! Renting and returning machines: for what waits and what is coming; late and
//! dead boots given up, silent machines released, unexpected ones adopted.

pub mod boot_times;
mod calls;
mod claims;
pub mod cost_benefit;
mod demand;
mod listed;
mod scale_out;

use super::state::{LeaderState, Machine, MachineId, MachineState};
use super::{timing, CloudRequest, CloudResponse, ClusterConfig, Context};
use crate::protocol::cloud::{MachineNames, ProvisionRequest};
use crate::storage::records::ClaimValue;
use crate::time::Micros;
use boot_times::BootTimes;
pub use calls::CloudCallTracker;
use calls::CloudContinuation;
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

/// Machines that the leader has requested, lists and releases.
pub struct Provisioning {
    /// How long machines of each kind took to boot lately.
    pub(super) boot_times: BootTimes,
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

impl Provisioning {
    pub fn new(now: Micros) -> Provisioning {
        Provisioning {
            boot_times: BootTimes::default(),
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

impl LeaderState {
    fn rented(&mut self, id: &str, answer: CloudResponse, now: Micros, pause: Micros) {
        let Some(claim) = self.provisioning.claims.iter_mut().find(|c| c.id == id) else {
            return;
        };
        match answer {
            CloudResponse::Rented(names) => {
                let names: Vec<MachineId> = names.iter().map(|n| n.as_str().into()).collect();
                if (names.len() as u32) < claim.value.count {
                    let key = (
                        claim.value.machine_type.clone(),
                        claim.value.zone.clone(),
                        claim.value.spot,
                    );
                    self.provisioning.blocked.insert(key, now + timing::CAPACITY_RETRY);
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
                    if self.released_machines.contains(name) {
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
            CloudResponse::NoCapacity | CloudResponse::Malformed => {
                // Nothing was rented under this name, and it is not asked
                // again. An earlier try that went unanswered may still be
                // executed; its machines are adopted when they show.
                let key = (
                    claim.value.machine_type.clone(),
                    claim.value.zone.clone(),
                    claim.value.spot,
                );
                self.provisioning.blocked.insert(key, now + timing::CAPACITY_RETRY);
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
    pub fn run_provisioning(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        let now = context.now;
        if cluster.catalogue.is_empty() {
            return;
        }
        // What is lost frees its tasks only when it is returned: that first.
        let machines = &self.machines;
        let waits = |m: &Machine| m.state == MachineState::Releasing && m.release_requested_at.is_none();
        self.provisioning
            .to_release
            .retain(|name| machines.get(name).is_some_and(waits));
        let doomed: Vec<MachineId> = self
            .provisioning
            .to_release
            .iter()
            .take(RELEASED_AT_ONCE)
            .cloned()
            .collect();
        if !doomed.is_empty() && self.provisioning.releasing < 2 {
            let request = CloudRequest::Release(MachineNames {
                machines: doomed.iter().map(|n| n.to_string()).collect(),
            });
            let wait = CloudContinuation::Release(self.incarnation, doomed.clone());
            if cloud.call(context, cluster, wait, request, 0.0) {
                self.provisioning.releasing += 1;
                for name in doomed {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.release_requested_at = Some(now);
                    }
                }
            }
        }
        for claim in &mut self.provisioning.claims {
            if matches!(claim.state, ClaimState::Recorded) && now >= claim.again_at {
                let request = CloudRequest::Provision(ProvisionRequest {
                    claim: claim.id.clone(),
                    machine_type: claim.value.machine_type.clone(),
                    zone: claim.value.zone.clone(),
                    spot: claim.value.spot,
                    count: claim.value.count,
                });
                let wait = CloudContinuation::ProvisionRequest(self.incarnation, claim.id.clone());
                if !cloud.call(context, cluster, wait, request, 0.1) {
                    break;
                }
                claim.state = ClaimState::Asked;
            }
        }
        let (machines, gone) = (&self.machines, &self.released_machines);
        for claim in &mut self.provisioning.claims {
            if let ClaimState::Answered(names) = &claim.state {
                let seen = |n: &MachineId| {
                    gone.contains(n)
                        || machines
                            .get(n)
                            .is_none_or(|m| m.incarnation > 0 || !m.address.is_empty())
                };
                if names.iter().all(seen) {
                    claim.state = ClaimState::Over;
                }
            }
        }
        if !self.provisioning.list_flying && (self.provisioning.listing.is_some() || now >= self.provisioning.next_list)
        {
            let request = CloudRequest::List {
                after: self.provisioning.listing.clone().unwrap_or_default(),
            };
            if cloud.call(
                context,
                cluster,
                CloudContinuation::List(self.incarnation),
                request,
                0.3,
            ) {
                self.provisioning.list_flying = true;
            }
        }
        if now >= self.provisioning.next_decide {
            self.provisioning.next_decide = now + Micros::from_millis(250);
            self.decide(cluster, now);
        }
    }
}
