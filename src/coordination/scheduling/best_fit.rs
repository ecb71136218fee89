//! Best-fit placement: selects the machine for the next task of a job.
//!
//! The search runs for one task at a time. It starts nothing, and changes only what the pass caches
//! to skip searches that would fail again. A machine must have enough free capacity and be allowed
//! for the job. Among these machines the largest kind wins, then the machine whose occupancy the
//! task extends the least (by its run time and its image fetch), then the first by name. Tasks are
//! therefore packed onto the same machines, and the other machines become idle and can be released.

use super::super::reservation::Reservations;
use super::super::state::{Job, Machine, MachineId, MachineKind};
use super::candidates::{CandidateMachine, KindGroups};
use super::pass::{Pass, TaskSize};
use super::rules::expected_duration;
use super::EPSILON;
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Granularity at which the extra occupancy of machines is compared.
const OCCUPANCY_STEP: Micros = Micros::from_millis(4000);
/// Weight of a service's image fetch relative to extra machine occupancy: users wait for the
/// service while its image is fetched.
const SERVICE_FETCH_WEIGHT: u64 = 20;
/// Number of compared candidates after which the search of a kind ends at a machine whose occupancy
/// the task does not extend.
const MAX_COMPARED: usize = 12;

/// Inputs of the best-fit search for a job's next task, besides the pass.
pub(super) struct BestFitRequest<'a> {
    pub(super) job: &'a Job,
    /// Whether the job is suspect (see [`Job::is_suspect`]).
    pub(super) is_suspect: bool,
    /// Machines on which the job has failed and is not to be tried again.
    pub(super) avoided_machines: &'a BTreeSet<MachineId>,
    /// Whether the job may use the cores that are kept free for services.
    pub(super) may_use_reserve: bool,
    /// Whether the job uses only capacity that other work leaves free.
    pub(super) best_effort: bool,
    /// Number of the job's tasks in each zone; empty if the job has no zone rule.
    pub(super) task_zones: &'a BTreeMap<String, u32>,
    pub(super) kind_groups: &'a KindGroups,
    pub(super) kinds: &'a [MachineKind],
    /// Machines that have the job's image.
    pub(super) image_locations: Option<&'a BTreeSet<MachineId>>,
    pub(super) machines: &'a BTreeMap<MachineId, Machine>,
    pub(super) reservations: &'a Reservations,
}

/// The machine selected for a task.
#[derive(Clone, Copy)]
pub(super) struct BestFit {
    /// Index in the pass's list of candidates.
    pub(super) candidate: usize,
    /// Whether the machine has the job's image.
    pub(super) has_image: bool,
}

/// The best candidate found so far.
struct BestCandidate {
    machine_cpus: f64,
    cost: u64,
    candidate: usize,
}

impl BestFitRequest<'_> {
    fn size(&self) -> TaskSize {
        TaskSize::of(&self.job.spec)
    }

    fn is_production(&self) -> bool {
        self.job.spec.priority >= Priority::Production
    }

    fn has_image(&self, machine: &MachineId) -> bool {
        self.image_locations
            .is_some_and(|locations| locations.contains(machine))
    }

    /// Whether the job may start on a machine, given the machines where its tasks failed.
    fn may_retry_on(&self, machine: &MachineId) -> bool {
        !self.avoided_machines.contains(machine)
    }

    /// Whether other best-effort tasks of the same size find no on-demand machine either if this one
    /// finds none: no machine is left out because of the job's own failures.
    fn fails_for_others_too(&self) -> bool {
        self.best_effort && !self.is_suspect && self.avoided_machines.is_empty()
    }

    /// Whether a machine is reserved for another job; production jobs ignore reservations.
    fn is_reserved(&self, machine: &MachineId) -> bool {
        !self.is_production() && self.reservations.is_reserved_against(machine, &self.job.id)
    }

    /// Whether the zone rules of the job admit one more task in a zone.
    fn zone_admits(&self, zone: &str) -> bool {
        let spec = &self.job.spec;
        let max_per_zone = spec.tasks.div_ceil(2);
        let has_other_zone = || self.task_zones.keys().any(|z| *z != zone);
        let is_full = || self.task_zones.get(zone).copied().unwrap_or(0) >= max_per_zone;
        let is_excluded = (spec.one_zone && has_other_zone()) || (spec.spread && is_full());
        !is_excluded
    }

    /// Extra occupancy of a machine due to the image fetch, in half steps of [`OCCUPANCY_STEP`]:
    /// zero if the machine has the image, one if it already fetches the image for another task, and
    /// otherwise more with each pending fetch, since fetches share the machine's bandwidth.
    fn fetch_half_steps(&self, candidate: &CandidateMachine) -> u64 {
        if self.has_image(&candidate.name) {
            return 0;
        }
        if candidate.pending_fetches > 0 {
            let machine = self.machines.get(&candidate.name);
            if machine.is_some_and(|m| m.fetching_images.contains(self.job.spec.image.as_str())) {
                return 1;
            }
        }
        let rate = self.kinds[candidate.kind].fetch_gb_per_s.max(0.01);
        let fetch = Micros::from_secs(self.job.spec.image_gb / rate);
        (fetch.0 / OCCUPANCY_STEP.0 + 1) * 2 * (1 + candidate.pending_fetches as u64)
    }

    /// Cost of a machine whose occupancy the run time of the task extends by `extra_steps` steps.
    fn cost(&self, candidate: &CandidateMachine, extra_steps: u64) -> u64 {
        let weight = if self.job.is_service() { SERVICE_FETCH_WEIGHT } else { 1 };
        extra_steps * 2 + self.fetch_half_steps(candidate) * weight
    }
}

impl Pass {
    /// Returns the best machine for the job's next task, or `None` if no machine suits it now.
    pub(super) fn best_fit(&mut self, request: &BestFitRequest) -> Option<BestFit> {
        for group in [&request.kind_groups.preferred, &request.kind_groups.fallback] {
            let admitted: Vec<usize> = group
                .iter()
                .copied()
                .filter(|k| self.admits_kind(request, &request.kinds[*k]))
                .collect();
            if request.job.is_service() {
                if let Some(candidate) = self.candidate_with_image(request, &admitted) {
                    let has_image = true;
                    return Some(BestFit { candidate, has_image });
                }
            }
            let untried: Vec<usize> = admitted
                .into_iter()
                .filter(|k| !self.is_known_to_fail(request, &request.kinds[*k]))
                .collect();
            if let Some(candidate) = self.cheapest_candidate(request, &untried) {
                let has_image = request.has_image(&self.candidates[candidate].name);
                return Some(BestFit { candidate, has_image });
            }
            if request.fails_for_others_too() && untried.iter().any(|k| !request.kinds[*k].spot) {
                let estimate_s = request.job.spec.estimate_s;
                self.best_effort_failed.insert(request.size(), estimate_s);
            }
        }
        None
    }

    /// Whether the job may start on machines of this kind at present: the service reserve on
    /// on-demand machines is open to production and suspect jobs only, and the job's zone rules hold.
    fn admits_kind(&self, request: &BestFitRequest, kind: &MachineKind) -> bool {
        let preserves_reserve = self.on_demand_free_cpus - request.job.spec.cpus >= self.service_reserve - EPSILON;
        (request.may_use_reserve || kind.spot || preserves_reserve) && request.zone_admits(&kind.zone)
    }

    /// Whether an on-demand kind need not be searched for a best-effort job, because a task of the
    /// same size and no longer estimate has already found no on-demand machine in this pass.
    fn is_known_to_fail(&self, request: &BestFitRequest, kind: &MachineKind) -> bool {
        let shortest_failed = self.best_effort_failed.get(&request.size());
        request.best_effort
            && !kind.spot
            && shortest_failed.is_some_and(|estimate_s| request.job.spec.estimate_s >= *estimate_s)
    }

    /// Returns a machine of these kinds that has the image of a service, so that a replica starts
    /// at once. Machines that already run services come first, because machines with services are
    /// the last that can be released.
    fn candidate_with_image(&self, request: &BestFitRequest, kinds: &[usize]) -> Option<usize> {
        let locations = request.image_locations.into_iter().flatten();
        let ranked = locations.filter_map(|name| {
            let index = request.machines.get(name)?.candidate_index?;
            let candidate = &self.candidates[index];
            let kind_rank = kinds.iter().position(|k| *k == candidate.kind)?;
            let suits = candidate.free.fits(&request.job.spec) && request.may_retry_on(name);
            suits.then_some((kind_rank, !candidate.runs_services, index))
        });
        ranked.min().map(|(_, _, index)| index)
    }

    /// Returns the candidate with the lowest cost among the largest kinds that have one, and the
    /// first in order among equals. `kinds` is sorted by size, the largest first.
    fn cheapest_candidate(&mut self, request: &BestFitRequest, kinds: &[usize]) -> Option<usize> {
        let spec = &request.job.spec;
        let task_end = self.now + expected_duration(spec);
        let mut best: Option<BestCandidate> = None;
        let mut compared = 0;
        for &kind_index in kinds {
            let kind = &request.kinds[kind_index];
            if best.as_ref().is_some_and(|best| kind.cpus < best.machine_cpus) {
                break;
            }
            let first = self.skip_full(request, kind_index);
            for &index in self.by_kind[kind_index].iter().skip(first) {
                let candidate = &self.candidates[index];
                if !candidate.free.fits(spec) || !self.accepts(request, candidate) {
                    continue;
                }
                let extra_steps = task_end.since(candidate.busy_until).0 / OCCUPANCY_STEP.0;
                if request.best_effort && !kind.spot && extra_steps > 0 {
                    continue;
                }
                let cost = request.cost(candidate, extra_steps);
                if best.as_ref().is_none_or(|b| (cost, index) < (b.cost, b.candidate)) {
                    best = Some(BestCandidate {
                        machine_cpus: kind.cpus,
                        cost,
                        candidate: index,
                    });
                }
                compared += 1;
                if cost == 0 || (extra_steps == 0 && compared >= MAX_COMPARED) {
                    break;
                }
            }
        }
        best.map(|best| best.candidate)
    }

    /// Position of the first candidate of a kind that may fit tasks of this size. The candidates
    /// before it are too full, and stay so while the pass starts tasks: starts only use capacity.
    fn skip_full(&mut self, request: &BestFitRequest, kind: usize) -> usize {
        let kinds = request.kinds.len();
        let full_prefix = self
            .full_prefixes
            .entry(request.size())
            .or_insert_with(|| vec![0; kinds]);
        let fits = |index: &usize| self.candidates[*index].free.fits(&request.job.spec);
        while self.by_kind[kind]
            .get(full_prefix[kind])
            .is_some_and(|index| !fits(index))
        {
            full_prefix[kind] += 1;
        }
        full_prefix[kind]
    }

    /// Whether the job may start on a machine that has enough free capacity. The machine must not
    /// be reserved for another job, nor be one where the job failed. On an on-demand machine that
    /// runs services, work below production must leave enough free cores for the next replicas of
    /// services, which would otherwise spread over all machines.
    fn accepts(&self, request: &BestFitRequest, candidate: &CandidateMachine) -> bool {
        if request.is_reserved(&candidate.name) || !request.may_retry_on(&candidate.name) {
            return false;
        }
        let spot = request.kinds[candidate.kind].spot;
        let shares_with_services = candidate.runs_services && !request.may_use_reserve && !spot;
        !shares_with_services
            || self.service_machine_free_cpus - request.job.spec.cpus >= self.service_reserve - EPSILON
    }
}
