//! Scale-out: chooses the machine type and zone in which a number of cores is rented.
//!
//! Each decision adds one claim to the list of claims. The log records the claim, and
//! [`LeaderState::run_provisioning`] then requests it from the cloud.

use super::super::scheduling::allowed;
use super::super::state::{LeaderState, MachineState};
use super::super::ClusterConfig;
use super::claims::{Claim, ClaimState};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::storage::records::ClaimValue;
use crate::time::Micros;

/// The fewest machines per claim when a rental is spread over zones.
const MIN_BATCH: f64 = 6.0;
/// The most machines that the cloud accepts in one request.
const MAX_BATCH: f64 = 50.0;
/// The most claims that the cloud has not answered yet.
const MAX_OPEN_CLAIMS: usize = 16;
/// An offer is cheaper if its cost is below that of the other offer multiplied by this ratio.
const CHEAPER_RATIO: f64 = 0.97;
/// An offer has a similar cost if its cost is below that of the other offer multiplied by this
/// ratio.
const SIMILAR_RATIO: f64 = 1.03;

/// Cores to be rented.
pub(super) struct Rental<'a> {
    pub(super) spot: bool,
    pub(super) cores: f64,
    /// The job that must fit on the machines; `None`: at least one of the cluster's jobs must fit.
    pub(super) job: Option<&'a JobSpec>,
    /// The zones that may be used; `None`: any.
    pub(super) zones: Option<&'a [String]>,
}

impl Rental<'_> {
    fn allows_zone(&self, zone: &String) -> bool {
        self.zones.is_none_or(|zones| zones.contains(zone))
    }

    /// Returns the number of machines of a type that have the cores, at least 1.
    fn machine_count(&self, machine_type: &MachineType) -> f64 {
        (self.cores / machine_type.cpus.max(1.0)).ceil().max(1.0)
    }

    /// Returns the price per hour of the rental with this type, for each core that is needed.
    fn cost_per_core(&self, machine_type: &MachineType) -> f64 {
        let price = if self.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        price * self.machine_count(machine_type) / self.cores.max(1.0)
    }
}

/// A machine type in a zone.
struct ZoneOffer<'a> {
    cost_per_core: f64,
    /// Number of machines of the same capacity type that are already in the zone.
    machines_in_zone: usize,
    zone: &'a String,
    machine_type: &'a MachineType,
}

impl ZoneOffer<'_> {
    /// Returns whether this offer is cheaper than the other, or has a similar cost and is for
    /// smaller machines, or for machines no larger in a zone with fewer machines.
    fn is_better_than(&self, other: &ZoneOffer) -> bool {
        let (cost, cpus) = (self.cost_per_core, self.machine_type.cpus);
        let is_similar = cost < other.cost_per_core * SIMILAR_RATIO;
        cost < other.cost_per_core * CHEAPER_RATIO
            || (is_similar && cpus < other.machine_type.cpus)
            || (is_similar && cpus <= other.machine_type.cpus && self.machines_in_zone < other.machines_in_zone)
    }
}

impl LeaderState {
    /// Claims machines for a number of cores of one capacity type. Returns whether there is an
    /// offer now.
    pub(super) fn rent(&mut self, cluster: &ClusterConfig, now: Micros, spot: bool, cores: f64) -> bool {
        let rental = Rental {
            spot,
            cores,
            job: None,
            zones: None,
        };
        self.rent_where(cluster, now, &rental)
    }

    /// Claims machines for a rental. Returns whether there is an offer now.
    ///
    /// While [`MAX_OPEN_CLAIMS`] claims are unanswered, nothing is claimed and the result is
    /// `true`.
    pub(super) fn rent_where(&mut self, cluster: &ClusterConfig, now: Micros, rental: &Rental) -> bool {
        if self.provisioning.unanswered_claims().count() >= MAX_OPEN_CLAIMS {
            return true;
        }
        let Some(offer) = self.best_offer(cluster, now, rental) else {
            return false;
        };
        let value = claim_value(rental, &offer);
        self.add_claim(value, rental.cores, now);
        true
    }

    fn best_offer<'a>(&self, cluster: &'a ClusterConfig, now: Micros, rental: &Rental) -> Option<ZoneOffer<'a>> {
        let specs = self.specs_to_suit(rental);
        let mut best: Option<ZoneOffer> = None;
        for machine_type in cluster.catalogue.values() {
            for zone in &machine_type.zones {
                if !rental.allows_zone(zone) || !self.is_available(machine_type, zone, rental.spot, now) {
                    continue;
                }
                let suits = |spec: &&JobSpec| suits(spec, machine_type, zone, rental.spot);
                if !specs.is_empty() && !specs.iter().any(suits) {
                    continue;
                }
                let offer = ZoneOffer {
                    cost_per_core: rental.cost_per_core(machine_type),
                    machines_in_zone: self.machines_in_zone(zone, rental.spot),
                    zone,
                    machine_type,
                };
                if best.as_ref().is_none_or(|best| offer.is_better_than(best)) {
                    best = Some(offer);
                }
            }
        }
        best
    }

    /// Returns the jobs of which at least one must fit on the machines.
    fn specs_to_suit<'a>(&'a self, rental: &Rental<'a>) -> Vec<&'a JobSpec> {
        if let Some(spec) = rental.job {
            return vec![spec];
        }
        let spot = rental.spot;
        let uses = |spec: &JobSpec, is_waiting: bool| spec.spot == spot || (!spot && is_waiting);
        self.jobs
            .values()
            .filter(|j| j.cancelled_at.is_none() && !j.blocked && uses(&j.spec, !j.waiting.is_empty()))
            .map(|j| &j.spec)
            .collect()
    }

    /// Returns whether machines of this type can be requested in a zone now.
    fn is_available(&self, machine_type: &MachineType, zone: &str, spot: bool, now: Micros) -> bool {
        let key = (machine_type.name.clone(), zone.to_string(), spot);
        let no_capacity_until = self.provisioning.no_capacity_until.get(&key);
        !self.failures.zones.is_cut_off(zone) && no_capacity_until.is_none_or(|until| now >= *until)
    }

    fn machines_in_zone(&self, zone: &str, spot: bool) -> usize {
        self.machines
            .values()
            .filter(|m| m.zone == zone && m.spot == spot && m.state != MachineState::Releasing)
            .count()
    }

    fn add_claim(&mut self, value: ClaimValue, cores: f64, now: Micros) {
        self.provisioning.next_claim += 1;
        let id = format!("r-{}-{}", self.term, self.provisioning.next_claim);
        tracing::debug!(
            claim = id,
            machine_type = value.machine_type,
            zone = value.zone,
            spot = value.spot,
            count = value.count,
            cores,
            "rental claim added"
        );
        self.provisioning.claims.push(Claim {
            id,
            value,
            state: ClaimState::Unrecorded,
            segment: None,
            retry_at: now,
        });
    }
}

/// Returns whether a task of the job may run on a machine of this type and zone, and fits on it.
fn suits(spec: &JobSpec, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    allowed(spec, &machine_type.name, zone, spot)
        && spec.cpus <= machine_type.cpus
        && spec.memory <= machine_type.memory
        && spec.gpus <= machine_type.gpus
}

/// Returns the claim for an offer. A large rental is spread over the zones by successive claims.
fn claim_value(rental: &Rental, offer: &ZoneOffer) -> ClaimValue {
    let machine_type = offer.machine_type;
    let all = (rental.cores / machine_type.cpus.max(1.0)).ceil();
    let per_zone = (all / machine_type.zones.len().max(1) as f64).ceil().max(MIN_BATCH);
    ClaimValue {
        machine_type: machine_type.name.clone(),
        zone: offer.zone.clone(),
        spot: rental.spot,
        count: all.min(per_zone).clamp(1.0, MAX_BATCH) as u32,
    }
}
