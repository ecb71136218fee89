//! Provisioning: decides which machines are rented, kept and released.
//!
//! The leader owns this state and runs provisioning on every tick. Scale-out and scale-in compare
//! the demand of jobs with the supply of machines. Machines that never boot, stop sending
//! heartbeats or fail are released. Machines in the cloud's list that the leader has no record of
//! are adopted.
//!
//! Invariants: a rental is recorded in the leader's log before it is requested, under a name that
//! makes the request idempotent. Provisioning never frees the placements on a machine: they become
//! void only when the cloud has confirmed the machine's release.

pub mod boot_times;
mod calls;
mod claims;
pub mod cost_benefit;
mod demand;
mod failed_machines;
mod jobs_without_machine;
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

/// The most machines that the cloud accepts in one release request.
const MAX_RELEASED_AT_ONCE: usize = 100;
/// The most release requests in flight.
const MAX_RELEASES_IN_FLIGHT: usize = 2;
/// Time between two decisions about scale-out and scale-in.
const DECISION_INTERVAL: Micros = Micros::from_millis(250);
/// Share of the call rate that rental requests leave for releases.
const RENTAL_RATE_RESERVE: f64 = 0.1;
/// Share of the call rate that listing leaves for releases and rental requests.
const LIST_RATE_RESERVE: f64 = 0.3;

/// The leader's state of rental, list and release requests.
pub struct Provisioning {
    /// Recent boot times of each machine pool.
    pub(super) boot_times: BootTimes,
    claims: Vec<Claim>,
    next_claim: u64,
    /// When the list of machines is due to be read again.
    next_list_at: Micros,
    /// The last machine on the page read before, while a list is being read.
    list_cursor: Option<String>,
    list_in_flight: bool,
    /// Whether this leader has read the whole list of machines at least once.
    has_listed: bool,
    /// For each machine pool (machine type, zone, whether spot) for which the cloud lacks capacity,
    /// until when no machines are requested.
    no_capacity_until: BTreeMap<(String, String, bool), Micros>,
    releases_in_flight: usize,
    /// Machines marked for release whose release has not been requested yet; kept separately so
    /// that not all machines are examined for every batch.
    to_release: BTreeSet<MachineId>,
    next_decision_at: Micros,
    /// When jobs without a machine are due to be searched for again.
    next_search_at: Micros,
    /// When the cost and benefit of on-demand machines are due to be compared again.
    next_cost_benefit_at: Micros,
    /// Exponentially decaying average of the demand of work that may use spot machines, in cores.
    average_spot_demand: f64,
    averaged_at: Option<Micros>,
}

impl Provisioning {
    /// Creates the state of a new leader, without claims; the first list and the first decision are
    /// due at once.
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
            next_search_at: now,
            next_cost_benefit_at: now,
            average_spot_demand: 0.0,
            averaged_at: None,
        }
    }
}

impl LeaderState {
    /// Requests releases, rentals and the cloud's list of machines, and decides about scale-out and
    /// scale-in when the decision is due. Does nothing before the catalogue has been read.
    pub fn run_provisioning(&mut self, context: &mut Context, cluster: &ClusterConfig, cloud: &mut CloudCallTracker) {
        if cluster.catalogue.is_empty() {
            return;
        }
        // Releases come first: the tasks of a lost machine are freed only when the cloud has
        // released the machine.
        self.request_releases(context, cluster, cloud);
        self.request_rentals(context, cluster, cloud);
        self.settle_seen_claims();
        self.request_list(context, cluster, cloud);
        if context.now >= self.provisioning.next_decision_at {
            self.provisioning.next_decision_at = context.now + DECISION_INTERVAL;
            self.decide_scaling(cluster, context.now);
        }
    }

    /// Requests the release of machines that are marked for release.
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

    /// Sends the rental requests of recorded claims.
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

    /// Settles claims whose machines have all sent a heartbeat, been listed or been released.
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

    /// Handles the response to a rental request. The request is sent again after `pause` if the
    /// response does not settle it.
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
                // Nothing was rented under this name, and the claim is not requested again. An
                // earlier attempt without a response may still be executed; its machines are
                // adopted when the cloud lists them or they send a heartbeat.
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
    /// Records that the cloud lacks capacity for a claim: its machine type is not requested in the
    /// zone for [`timing::CAPACITY_RETRY`].
    fn note_no_capacity(&mut self, value: &ClaimValue, now: Micros) {
        let key = (value.machine_type.clone(), value.zone.clone(), value.spot);
        self.no_capacity_until.insert(key, now + timing::CAPACITY_RETRY);
    }
}
