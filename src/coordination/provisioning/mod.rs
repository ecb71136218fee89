//! Provisioning: which machines are rented, kept and returned.
//!
//! Owned by the leader and run on every tick. Scale-out and scale-in compare what work asks for with
//! what machines supply; machines that never boot, fall silent or fail are given up and released;
//! machines that the cloud lists and nobody knows are adopted.
//!
//! A rental is recorded in the leader's log before it is requested, under a name that makes the
//! request idempotent. Provisioning must not free the placements on a machine: they are void only
//! when the cloud has confirmed its release.

pub mod boot_times;
mod calls;
mod claims;
pub mod cost_benefit;
mod demand;
mod failed_machines;
mod scale_in;
mod scale_out;
mod scaling;
mod stuck;

use super::state::{LeaderState, Machine, MachineId, MachineState};
use super::{timing, CloudRequest, CloudResponse, ClusterConfig, Context};
use crate::protocol::cloud::{MachineNames, ProvisionRequest};
use crate::storage::records::ClaimValue;
use crate::time::Micros;
use boot_times::BootTimes;
pub use calls::CloudCallTracker;
use calls::CloudContinuation;
use claims::{Claim, ClaimState};
pub use demand::effective_cores;
use std::collections::{BTreeMap, BTreeSet};

/// Machines in one release request: the most that the cloud takes.
const MAX_RELEASED_AT_ONCE: usize = 100;
/// Release requests in flight at a time.
const MAX_RELEASES_IN_FLIGHT: usize = 2;
/// The time between two decisions about scale-out and scale-in.
const DECISION_INTERVAL: Micros = Micros::from_millis(250);
/// Share of the call rate that rental requests leave to releases.
const RENTAL_RATE_RESERVE: f64 = 0.1;
/// Share of the call rate that listing leaves to releases and rental requests.
const LIST_RATE_RESERVE: f64 = 0.3;

/// The machines that the leader requests, lists and releases.
pub struct Provisioning {
    /// How long machines of each kind took to boot of late.
    pub(super) boot_times: BootTimes,
    claims: Vec<Claim>,
    next_claim: u64,
    /// When the list of machines is read again.
    next_list_at: Micros,
    /// The last machine read of a list that is being read.
    list_cursor: Option<String>,
    list_in_flight: bool,
    /// Whether this leader has read the whole list of machines once.
    has_listed: bool,
    /// Machine type, zone and sort of rental of which there is no capacity, and until when it is
    /// not asked for.
    no_capacity_until: BTreeMap<(String, String, bool), Micros>,
    releases_in_flight: usize,
    /// Machines given up whose release has yet to be requested; kept apart so that not all machines
    /// are examined for every batch.
    to_release: BTreeSet<MachineId>,
    next_decision_at: Micros,
    /// When cost and benefit of on-demand machines are considered again.
    next_cost_benefit_at: Micros,
    /// Decayed demand of work that may use spot machines, in cores.
    average_spot_demand: f64,
    averaged_at: Option<Micros>,
}

impl Provisioning {
    /// Nothing rented, nothing listed; the first list and the first decision are due at once.
    pub fn new(now: Micros) -> Provisioning {
        Provisioning {
            boot_times: BootTimes::default(),
            claims: vec![],
            next_claim: 0,
            next_list_at: now,
            list_cursor: None,
            list_in_flight: false,
            has_listed: false,
            no_capacity_until: BTreeMap::new(),
            releases_in_flight: 0,
            to_release: BTreeSet::new(),
            next_decision_at: now,
            next_cost_benefit_at: now,
            average_spot_demand: 0.0,
            averaged_at: None,
        }
    }
}

impl LeaderState {
    /// Releases and rents machines, reads the cloud's list of them, and decides anew when it is
    /// time.
    pub fn run_provisioning(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        if cluster.catalogue.is_empty() {
            return;
        }
        // Lost machines first: their tasks are freed only when they are released.
        self.request_releases(context, cluster, cloud);
        self.request_rentals(context, cluster, cloud);
        self.settle_seen_claims();
        self.request_list(context, cluster, cloud);
        if context.now >= self.provisioning.next_decision_at {
            self.provisioning.next_decision_at = context.now + DECISION_INTERVAL;
            self.decide_scaling(cluster, context.now);
        }
    }

    /// Requests the release of machines that are given up.
    fn request_releases(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        let machines = &self.machines;
        let is_unreleased = |m: &Machine| m.state == MachineState::Releasing && m.release_requested_at.is_none();
        self.provisioning
            .to_release
            .retain(|name| machines.get(name).is_some_and(is_unreleased));
        let batch: Vec<MachineId> = self
            .provisioning
            .to_release
            .iter()
            .take(MAX_RELEASED_AT_ONCE)
            .cloned()
            .collect();
        if batch.is_empty() || self.provisioning.releases_in_flight >= MAX_RELEASES_IN_FLIGHT {
            return;
        }
        let request = CloudRequest::Release(MachineNames {
            machines: batch.iter().map(|name| name.to_string()).collect(),
        });
        let continuation = CloudContinuation::Release(self.incarnation, batch.clone());
        if cloud.call(context, cluster, continuation, request, 0.0) {
            self.provisioning.releases_in_flight += 1;
            for name in batch {
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.release_requested_at = Some(context.now);
                }
            }
        }
    }

    /// Sends the rental requests that are recorded.
    fn request_rentals(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        let now = context.now;
        for claim in &mut self.provisioning.claims {
            if !matches!(claim.state, ClaimState::Recorded) || now < claim.retry_at {
                continue;
            }
            let request = CloudRequest::Provision(ProvisionRequest {
                claim: claim.id.clone(),
                machine_type: claim.value.machine_type.clone(),
                zone: claim.value.zone.clone(),
                spot: claim.value.spot,
                count: claim.value.count,
            });
            let continuation = CloudContinuation::ProvisionRequest(self.incarnation, claim.id.clone());
            if !cloud.call(context, cluster, continuation, request, RENTAL_RATE_RESERVE) {
                break;
            }
            claim.state = ClaimState::Requested;
        }
    }

    /// Settles the claims whose machines have all been seen, by a heartbeat or in the list.
    fn settle_seen_claims(&mut self) {
        let (machines, released) = (&self.machines, &self.released_machines);
        for claim in &mut self.provisioning.claims {
            if let ClaimState::Answered(names) = &claim.state {
                let is_seen = |name: &MachineId| {
                    let machine = machines.get(name);
                    released.contains(name) || machine.is_none_or(|m| m.incarnation > 0 || !m.address.is_empty())
                };
                if names.iter().all(is_seen) {
                    claim.state = ClaimState::Settled;
                }
            }
        }
    }

    /// Requests the next page of the list of machines, if one is due.
    fn request_list(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        let provisioning = &mut self.provisioning;
        let is_due = provisioning.list_cursor.is_some() || context.now >= provisioning.next_list_at;
        if provisioning.list_in_flight || !is_due {
            return;
        }
        let request = CloudRequest::List {
            after: provisioning.list_cursor.clone().unwrap_or_default(),
        };
        let continuation = CloudContinuation::List(self.incarnation);
        if cloud.call(context, cluster, continuation, request, LIST_RATE_RESERVE) {
            provisioning.list_in_flight = true;
        }
    }

    /// Handles the answer to a rental request, which is sent again after `pause` if need be.
    fn on_rental_answer(&mut self, id: &str, answer: CloudResponse, now: Micros, pause: Micros) {
        let Some(index) = self.provisioning.claims.iter().position(|c| c.id == id) else {
            return;
        };
        match answer {
            CloudResponse::Rented(names) => {
                let names: Vec<MachineId> = names.iter().map(|n| n.as_str().into()).collect();
                let value = self.provisioning.claims[index].value.clone();
                if (names.len() as u32) < value.count {
                    self.provisioning.note_no_capacity(&value, now);
                }
                tracing::debug!(
                    claim = id,
                    machine_type = value.machine_type,
                    zone = value.zone,
                    spot = value.spot,
                    requested = value.count,
                    rented = names.len(),
                    "machines rented"
                );
                self.add_rented_machines(&names, &value, now);
                self.provisioning.claims[index].state = ClaimState::Answered(names);
            }
            CloudResponse::NoCapacity | CloudResponse::Malformed => {
                // Nothing was rented under this name, and it is not requested again. An earlier try
                // without an answer may still be executed; its machines are adopted when they show.
                let value = self.provisioning.claims[index].value.clone();
                self.provisioning.note_no_capacity(&value, now);
                self.provisioning.claims[index].state = ClaimState::Settled;
            }
            _ => {
                let claim = &mut self.provisioning.claims[index];
                claim.state = ClaimState::Recorded;
                claim.retry_at = now + pause;
            }
        }
    }

    fn add_rented_machines(&mut self, names: &[MachineId], value: &ClaimValue, now: Micros) {
        for name in names {
            if self.released_machines.contains(name) {
                continue;
            }
            let machine = self
                .machines
                .entry(name.clone())
                .or_insert_with(|| Machine::unknown(name.clone(), now));
            machine.rented_at.get_or_insert(now);
            if machine.machine_type.is_empty() {
                machine.describe(&value.machine_type, &value.zone, value.spot);
            }
        }
    }
}

impl Provisioning {
    /// There is not enough capacity for a claim: the same is not requested for a while.
    fn note_no_capacity(&mut self, value: &ClaimValue, now: Micros) {
        let key = (value.machine_type.clone(), value.zone.clone(), value.spot);
        self.no_capacity_until.insert(key, now + timing::CAPACITY_RETRY);
    }
}
