//! The counts of one scheduling pass: free capacity, slots and quota used, and failed searches.
//!
//! Each pass builds its counts from the leader's state and drops them at its end. Every start is
//! charged to the counts at once, so that the next start sees the capacity that is left.

use super::super::state::{LeaderState, MachineKind};
use super::best_fit::BestFit;
use super::candidates::CandidateMachine;
use super::pools::ClassKey;
use super::quota::QuotaLedger;
use super::rules::expected_duration;
use super::SlotCounts;
use crate::coordination::state::Resources;
use crate::protocol::users::{JobSpec, Shape};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The resources of one task as bit patterns, which can be compared exactly.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskSize {
    cpus_bits: u64,
    gpus_bits: u64,
    memory_bits: u64,
}

impl TaskSize {
    /// Returns the size of one task of the job.
    pub(super) fn of(spec: &JobSpec) -> TaskSize {
        TaskSize {
            cpus_bits: spec.cpus.to_bits(),
            gpus_bits: spec.gpus.to_bits(),
            memory_bits: spec.memory.to_bits(),
        }
    }
}

/// Where the slots of a start are counted.
#[derive(Clone, Copy)]
pub(super) enum SlotSource {
    /// The pool of the job's class.
    Pool,
    /// The helpers.
    Helpers,
    /// Idle slots of other classes' pools, counted with the helpers.
    Borrowed {
        /// Slots that may be borrowed in this call.
        max_slots: u32,
    },
}

/// The counts of one scheduling pass.
pub(super) struct Pass {
    pub(super) now: Micros,
    pub(super) candidates: Vec<CandidateMachine>,
    /// Indices of the candidates of each kind, in order.
    pub(super) by_kind: Vec<Vec<usize>>,
    /// For each task size, the number of leading candidates of each kind that are too full.
    pub(super) full_prefixes: BTreeMap<TaskSize, Vec<usize>>,
    /// For best-effort tasks of a size, the shortest run time in seconds for which no on-demand
    /// machine was found in this pass.
    pub(super) best_effort_failed: BTreeMap<TaskSize, f64>,
    /// CPUs that each team uses beyond its guarantee; set before preemption.
    pub(super) cpus_over_guarantee: BTreeMap<String, f64>,
    /// What teams use, including the starts of this pass.
    pub(super) quota: QuotaLedger,
    /// Slots used in each class's pool.
    pub(super) pool_slots_used: BTreeMap<Rc<ClassKey>, u32>,
    /// Slots used on the helpers, including slots borrowed from pools.
    pub(super) helper_slots_used: SlotCounts,
    /// Cores of on-demand machines that are kept free for services.
    pub(super) service_reserve: f64,
    /// Free cores on on-demand machines.
    pub(super) on_demand_free_cpus: f64,
    /// Free cores on on-demand machines that run services.
    pub(super) service_machine_free_cpus: f64,
    /// Tasks started in this pass.
    pub(super) starts: usize,
    /// Candidates examined for preemption in this pass.
    pub(super) preemption_examined: usize,
}

impl Pass {
    /// Charges the start of one task to the machine and to the counts of free cores.
    pub(super) fn take_capacity(&mut self, spec: &JobSpec, fit: BestFit, kinds: &[MachineKind]) {
        let candidate = &mut self.candidates[fit.candidate];
        candidate.free -= Resources::of_task(spec);
        candidate.busy_until = candidate.busy_until.max(self.now + expected_duration(spec));
        let spot = kinds[candidate.kind].spot;
        if !spot {
            self.on_demand_free_cpus -= spec.cpus;
            if candidate.runs_services {
                self.service_machine_free_cpus -= spec.cpus;
            }
        }
        if spec.shape == Shape::Service && !candidate.runs_services {
            candidate.runs_services = true;
            if !spot {
                self.service_machine_free_cpus += candidate.free.cpus;
            }
        }
    }

    /// Slots used in the pool of a class.
    pub(super) fn pool_slots_used(&self, class: &ClassKey) -> u32 {
        self.pool_slots_used.get(class).copied().unwrap_or(0)
    }

    /// Charges the slots of one task.
    pub(super) fn take_slots(&mut self, class: &Rc<ClassKey>, source: SlotSource) {
        match source {
            SlotSource::Pool => *self.pool_slots_used.entry(class.clone()).or_default() += class.slots_per_task,
            SlotSource::Helpers | SlotSource::Borrowed { .. } => {
                *self.helper_slots_used.of_mut(class.gpu) += class.slots_per_task;
            }
        }
    }
}

impl LeaderState {
    /// Creates a pass over these candidates; the slots and quota that jobs hold are charged.
    pub(super) fn new_pass(&self, candidates: Vec<CandidateMachine>, now: Micros) -> Pass {
        let kinds = &self.scheduler.kinds;
        let on_demand = || candidates.iter().filter(|c| !kinds[c.kind].spot);
        let mut by_kind = vec![vec![]; kinds.len()];
        for (index, candidate) in candidates.iter().enumerate() {
            by_kind[candidate.kind].push(index);
        }
        let mut pass = Pass {
            now,
            by_kind,
            full_prefixes: BTreeMap::new(),
            best_effort_failed: BTreeMap::new(),
            cpus_over_guarantee: BTreeMap::new(),
            quota: QuotaLedger::of(&self.jobs, &self.machines),
            pool_slots_used: BTreeMap::new(),
            helper_slots_used: SlotCounts::default(),
            service_reserve: self.service_reserve(),
            on_demand_free_cpus: on_demand().map(|c| c.free.cpus).sum(),
            service_machine_free_cpus: on_demand().filter(|c| c.runs_services).map(|c| c.free.cpus).sum(),
            starts: 0,
            preemption_examined: 0,
            candidates,
        };
        for job in self.jobs.values().filter(|j| j.held_tasks > 0) {
            let class = &job.class;
            *pass.helper_slots_used.of_mut(class.gpu) += job.held_helper_tasks * class.slots_per_task;
            *pass.pool_slots_used.entry(class.clone()).or_default() +=
                (job.held_tasks - job.held_helper_tasks) * class.slots_per_task;
        }
        pass
    }
}
