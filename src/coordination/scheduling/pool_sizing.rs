//! Splits the slots of the machines that are up into class pools and helpers, by estimated demand.
//!
//! The scheduling pass resizes the pools once per interval; [`super::pools`] computes the split.
//! Resizing changes only the scheduler's estimate, pools and helpers: a running task keeps its
//! slots even if its pool shrinks.

use super::super::state::LeaderState;
use super::super::ClusterConfig;
use super::candidates::CandidateMachine;
use super::pools::{split, ClassKey, Demand};
use crate::protocol::users::Priority;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl LeaderState {
    /// Updates the estimate of demand and recomputes the split.
    pub(super) fn resize_pools(&mut self, cluster: &ClusterConfig, candidates: &[CandidateMachine], now: Micros) {
        let demanded_slots = self.demanded_slots(now);
        let half_life_s = cluster.settings.operator.estimate_s;
        self.scheduler.estimate.observe(&demanded_slots, half_life_s, now);
        let mut demands = self.scheduler.estimate.demands(&demanded_slots, half_life_s);
        let cores = self.slots(candidates, false);
        self.limit_low_priority(&mut demands, &demanded_slots, cores);
        self.scheduler.pools.clear();
        for gpu in [false, true] {
            self.split_slots(&demands, candidates, gpu);
        }
    }

    /// Slots that the jobs of each class hold and request. Waiting tasks count as demand too: as
    /// machines join and leave, the held slots only show how much demand was served.
    fn demanded_slots(&self, now: Micros) -> BTreeMap<Rc<ClassKey>, f64> {
        let mut demanded: BTreeMap<Rc<ClassKey>, f64> = BTreeMap::new();
        for job in self.jobs.values() {
            let waiting = if job.may_run() { job.claimed_tasks(now) } else { 0 };
            let slots = (job.held_tasks as usize + waiting) as f64 * f64::from(job.class.slots_per_task);
            *demanded.entry(job.class.clone()).or_default() += slots;
        }
        demanded
    }

    /// Total number of cores, or of GPUs, of these machines.
    fn slots(&self, candidates: &[CandidateMachine], gpu: bool) -> f64 {
        let kinds = candidates.iter().map(|c| &self.scheduler.kinds[c.kind]);
        kinds.map(|kind| if gpu { kind.gpus } else { kind.cpus }).sum()
    }

    /// Limits the demand of classes with only low-priority work to the slots that the other classes
    /// leave. Otherwise a large low-priority backlog would get most of the slots.
    fn limit_low_priority(
        &self,
        demands: &mut [(Rc<ClassKey>, Demand)],
        demanded_slots: &BTreeMap<Rc<ClassKey>, f64>,
        slots: f64,
    ) {
        let higher_classes: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.priority > Priority::Low)
            .map(|j| j.class.clone())
            .collect();
        let is_low = |class: &Rc<ClassKey>| demanded_slots.contains_key(class) && !higher_classes.contains(class);
        let (mut low, mut rest) = (0.0, 0.0);
        for (class, demand) in demands.iter() {
            *(if is_low(class) { &mut low } else { &mut rest }) += demand.load;
        }
        let left = (slots - rest).max(0.0);
        if low > left {
            for (class, demand) in demands {
                if is_low(class) {
                    demand.load *= left / low;
                }
            }
        }
    }

    /// Splits the core slots, or the GPU slots, among the classes that use them.
    fn split_slots(&mut self, demands: &[(Rc<ClassKey>, Demand)], candidates: &[CandidateMachine], gpu: bool) {
        let slots = self.slots(candidates, gpu) as u32;
        let (classes, class_demands): (Vec<&Rc<ClassKey>>, Vec<Demand>) = demands
            .iter()
            .filter(|(class, _)| class.gpu == gpu)
            .map(|(class, demand)| (class, *demand))
            .unzip();
        let pool_slots = split(slots, &class_demands).pool_slots;
        *self.scheduler.helpers.of_mut(gpu) = slots.saturating_sub(pool_slots.iter().sum());
        for (class, size) in classes.into_iter().zip(pool_slots) {
            self.scheduler.pools.insert(class.clone(), size);
        }
    }
}
