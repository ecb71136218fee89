//! Best fit: the machine on which the next task of a job is to start.
//!
//! Called by the start of tasks for one task at a time; it decides, and changes nothing but the
//! pass's notes on what it need not look at again. A machine has to fit the task and to be allowed
//! for it. Of those the largest kind wins, then the machine that is held the least longer because
//! of this task, by its run time and by fetching its image, and then the first in order: tasks
//! gather on the same machines, and the others become idle and can be returned.

use super::super::reservation::Reservations;
use super::super::state::{Job, Machine, MachineId, MachineKind};
use super::candidates::{CandidateMachine, KindGroups};
use super::pass::{Pass, TaskSize};
use super::rules::expected_duration;
use super::EPSILON;
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Steps in which it is compared how much longer a machine would be held.
const HOLD_STEP: Micros = Micros::from_millis(4000);
/// Users wait for a service while its image is fetched: that costs so many times as much as a
/// machine that is held longer.
const SERVICE_FETCH_WEIGHT: u64 = 20;
/// How many machines that would be held no longer are compared by their images before the search
/// ends.
const MAX_COMPARED: usize = 12;

/// What the best fit for a job's next task depends on besides the pass.
pub(super) struct BestFitRequest<'a> {
    pub(super) job: &'a Job,
    /// Whether the job, and not machines, seems to be why its tasks fail: it may be tried anywhere.
    pub(super) is_suspect: bool,
    /// Whether the job only takes capacity that other work leaves.
    pub(super) best_effort: bool,
    /// Tasks of the job in each zone, if it has a rule about zones.
    pub(super) task_zones: &'a BTreeMap<String, u32>,
    pub(super) kind_groups: &'a KindGroups,
    pub(super) kinds: &'a [MachineKind],
    /// Machines that have the job's image.
    pub(super) image_locations: Option<&'a BTreeSet<MachineId>>,
    pub(super) machines: &'a BTreeMap<MachineId, Machine>,
    pub(super) reservations: &'a Reservations,
}

/// The machine for a task.
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

    /// Whether the job may be tried on a machine, given where it failed.
    fn may_retry_on(&self, machine: &MachineId) -> bool {
        self.is_suspect || !self.job.failed_machines.contains(machine)
    }

    /// Whether a machine is reserved for another job; production does not care.
    fn is_reserved(&self, machine: &MachineId) -> bool {
        !self.is_production() && self.reservations.is_reserved_against(machine, &self.job.id)
    }

    /// Whether the zone rules of the job admit one more task in a zone.
    fn zone_admits(&self, zone: &str) -> bool {
        let spec = &self.job.spec;
        let max_per_zone = spec.tasks.div_ceil(2);
        let has_other_zone = || self.task_zones.keys().any(|z| *z != zone);
        let is_full = || self.task_zones.get(zone).copied().unwrap_or(0) >= max_per_zone;
        let is_barred = (spec.one_zone && has_other_zone()) || (spec.spread && is_full());
        !is_barred
    }

    /// How much longer a machine is held because it has to fetch the image first, in half steps:
    /// not at all if it has the image, hardly if it already fetches it for another task, and the
    /// longer the more it has to fetch, since fetches share the machine's rate.
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
        (fetch.0 / HOLD_STEP.0 + 1) * 2 * (1 + candidate.pending_fetches as u64)
    }

    /// Cost of a machine that would be held `longer_steps` longer because of the task's run time.
    fn cost(&self, candidate: &CandidateMachine, longer_steps: u64) -> u64 {
        let weight = if self.job.is_service() { SERVICE_FETCH_WEIGHT } else { 1 };
        longer_steps * 2 + self.fetch_half_steps(candidate) * weight
    }
}

impl Pass {
    /// The best machine for the job's next task; `None` if there is none now.
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
            if request.best_effort && untried.iter().any(|k| !request.kinds[*k].spot) {
                let estimate_s = request.job.spec.estimate_s;
                self.best_effort_failed.insert(request.size(), estimate_s);
            }
        }
        None
    }

    /// Whether the job may start on machines of this kind at present: the service reserve on
    /// on-demand machines is open to production only, and the job's zone rules hold.
    fn admits_kind(&self, request: &BestFitRequest, kind: &MachineKind) -> bool {
        let preserves_reserve = self.on_demand_free_cpus - request.job.spec.cpus >= self.service_reserve - EPSILON;
        (request.is_production() || kind.spot || preserves_reserve) && request.zone_admits(&kind.zone)
    }

    /// Whether a best-effort task of this size that was no longer found no machine of the
    /// on-demand kinds in this pass.
    fn is_known_to_fail(&self, request: &BestFitRequest, kind: &MachineKind) -> bool {
        let shortest_failed = self.best_effort_failed.get(&request.size());
        request.best_effort
            && !kind.spot
            && shortest_failed.is_some_and(|estimate_s| request.job.spec.estimate_s >= *estimate_s)
    }

    /// For a replica of a service: a machine of these kinds that has the image, so that it starts
    /// at once. Services stay together: their machines are the last that can be returned.
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

    /// The machine of the largest kind with enough free that costs the least, and of those the
    /// first in order. `kinds` is sorted by size, the largest first.
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
                let longer_steps = task_end.since(candidate.busy_until).0 / HOLD_STEP.0;
                if request.best_effort && !kind.spot && longer_steps > 0 {
                    continue;
                }
                let cost = request.cost(candidate, longer_steps);
                if best.as_ref().is_none_or(|b| (cost, index) < (b.cost, b.candidate)) {
                    best = Some(BestCandidate {
                        machine_cpus: kind.cpus,
                        cost,
                        candidate: index,
                    });
                }
                compared += 1;
                if cost == 0 || (longer_steps == 0 && compared >= MAX_COMPARED) {
                    break;
                }
            }
        }
        best.map(|best| best.candidate)
    }

    /// Position of the first candidate of a kind that may fit tasks of this size. Those before it
    /// are too full, and stay so for the rest of the pass: starts only take.
    fn skip_full(&mut self, request: &BestFitRequest, kind: usize) -> usize {
        let kinds = request.kinds.len();
        let full = self.full.entry(request.size()).or_insert_with(|| vec![0; kinds]);
        let fits = |index: &usize| self.candidates[*index].free.fits(&request.job.spec);
        while self.by_kind[kind].get(full[kind]).is_some_and(|index| !fits(index)) {
            full[kind] += 1;
        }
        full[kind]
    }

    /// Whether the job may start on a machine on which it fits: not if that is reserved for
    /// another, not where it failed, and beside services only if enough is left for their next
    /// replicas, which would spread over all machines otherwise.
    fn accepts(&self, request: &BestFitRequest, candidate: &CandidateMachine) -> bool {
        if request.is_reserved(&candidate.name) || !request.may_retry_on(&candidate.name) {
            return false;
        }
        let spot = request.kinds[candidate.kind].spot;
        let beside_services = candidate.runs_services && !request.is_production() && !spot;
        !beside_services || self.service_machine_free_cpus - request.job.spec.cpus >= self.service_reserve - EPSILON
    }
}
