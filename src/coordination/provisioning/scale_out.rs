//! Scale-out: of which type and in which zone machines are rented for so many cores.
//!
//! Decides on one claim at a time and adds it to the list; the log records it, and
//! [`LeaderState::run_provisioning`] requests it.

use super::super::scheduling::allowed;
use super::super::state::{LeaderState, MachineState};
use super::super::ClusterConfig;
use super::claims::{Claim, ClaimState};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::storage::records::ClaimValue;
use crate::time::Micros;

/// Machines in one claim at the least, if so many are needed: below it, a need is not spread over
/// zones.
const MIN_BATCH: f64 = 6.0;
/// The most machines that the cloud takes in one request.
const MAX_BATCH: f64 = 50.0;
/// Claims that are not answered yet at a time.
const MAX_OPEN_CLAIMS: usize = 16;
/// An offer that costs less than this part of another is cheaper.
const CHEAPER_RATIO: f64 = 0.97;
/// An offer that costs less than this many times another is taken to cost no more.
const SIMILAR_RATIO: f64 = 1.03;

/// Cores to be rented.
pub(super) struct Rental<'a> {
    pub(super) spot: bool,
    pub(super) cores: f64,
    /// The job that the machines have to suit; `None`: any that needs machines.
    pub(super) job: Option<&'a JobSpec>,
    /// The zones that may be used; `None`: any.
    pub(super) zones: Option<&'a [String]>,
}

impl Rental<'_> {
    fn allows_zone(&self, zone: &String) -> bool {
        self.zones.is_none_or(|zones| zones.contains(zone))
    }

    /// How many machines of a type the cores take, at least one.
    fn machine_count(&self, machine_type: &MachineType) -> f64 {
        (self.cores / machine_type.cpus.max(1.0)).ceil().max(1.0)
    }

    /// What the rental costs with this type, for each core that is used.
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
    /// Machines of this sort of rental that are in the zone already.
    machines_in_zone: usize,
    zone: &'a String,
    machine_type: &'a MachineType,
}

impl ZoneOffer<'_> {
    /// Cheaper; or similar, and smaller or in a zone with fewer machines.
    fn is_better_than(&self, other: &ZoneOffer) -> bool {
        let (cost, cpus) = (self.cost_per_core, self.machine_type.cpus);
        let is_similar = cost < other.cost_per_core * SIMILAR_RATIO;
        cost < other.cost_per_core * CHEAPER_RATIO
            || (is_similar && cpus < other.machine_type.cpus)
            || (is_similar && cpus <= other.machine_type.cpus && self.machines_in_zone < other.machines_in_zone)
    }
}

impl LeaderState {
    /// Claims machines for so many cores; false if there is no offer for them now.
    pub(super) fn rent(&mut self, cluster: &ClusterConfig, now: Micros, spot: bool, cores: f64) -> bool {
        let rental = Rental {
            spot,
            cores,
            job: None,
            zones: None,
        };
        self.rent_where(cluster, now, &rental)
    }

    /// Claims machines for a rental; false if there is no offer for it now. With too many claims
    /// open it waits for them, and counts as claimed.
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

    /// The jobs of which a machine has to suit one.
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

    /// Whether machines of this type can be asked for in a zone now.
    fn is_available(&self, machine_type: &MachineType, zone: &str, spot: bool, now: Micros) -> bool {
        let key = (machine_type.name.clone(), zone.to_string(), spot);
        let no_capacity_until = self.provisioning.no_capacity_until.get(&key);
        !self.failures.zones.is_cut(zone) && no_capacity_until.is_none_or(|until| now >= *until)
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
            "machines claimed"
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

/// Whether a task of the job may run and fits on a machine of this type.
fn suits(spec: &JobSpec, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    allowed(spec, &machine_type.name, zone, spot)
        && spec.cpus <= machine_type.cpus
        && spec.memory <= machine_type.memory
        && spec.gpus <= machine_type.gpus
}

/// The claim for an offer. A large need is spread over the zones, one claim after the other.
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
