//! Balanced Splitting: how slots are split into class pools and helpers, and how the demand behind
//! the split is estimated.
//!
//! The model depends on no types of jobs or machines, and uses the terms of the paper
//! (`docs/DESIGN.md`): what the paper calls a job is one task of the scheduler.
//!
//! Invariant: the pools together never have more slots than there are in total.

use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Tolerance for floating-point rounding: a pool grows where a product reaches a whole number, and
/// rounding must not put the product on the wrong side of such a step.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Distance below a step at which ψ is taken: the valid values approach the step from below.
const STEP_MARGIN: f64 = 1e-7;
/// Decayed demand of at most this many slot-seconds is dropped.
const MIN_SLOT_SECONDS: f64 = 1e-3;

/// A class in the sense of the paper: jobs with the same need and the same kind of run time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey {
    /// Whether a slot is a GPU rather than a core.
    pub gpu: bool,
    /// Name of the class.
    pub class: String,
    /// Slots that one task needs at once.
    pub slots_per_task: u32,
}

/// The demand of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Slots that one job holds at once (n_i).
    pub need: u32,
    /// Demand in slots (a multiple of the paper's ϱ_i; only ratios matter).
    pub load: f64,
}

impl Demand {
    /// How many jobs the class's pool would hold without rounding: x·k/n_i·ϱ_i/ϱ.
    fn exact_jobs(&self, x: f64, slots: u32, total_load: f64) -> f64 {
        x * f64::from(slots) / f64::from(self.need) * self.load / total_load
    }

    /// How many jobs the class's pool holds at `x`: floor(x·k/n_i·ϱ_i/ϱ).
    fn jobs(&self, x: f64, slots: u32, total_load: f64) -> u32 {
        (self.exact_jobs(x, slots, total_load) + ROUNDING_TOLERANCE).floor() as u32
    }
}

/// A split of slots into pools and helpers.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Slots of each class's pool (a_i), in the order of the demands.
    pub pool_slots: Vec<u32>,
    /// The ψ of the paper, between 0 and 1.
    pub psi: f64,
}

/// Splits `slots` slots by demand. The slots that are left over are the helpers: at least as many
/// as the largest need, unless the split is exact or `slots` is smaller than the largest need.
pub fn split(slots: u32, demands: &[Demand]) -> Split {
    let total_load: f64 = demands.iter().map(|d| d.load.max(0.0)).sum();
    if slots == 0 || total_load <= 0.0 {
        return Split {
            pool_slots: vec![0; demands.len()],
            psi: 0.0,
        };
    }
    let pool_slots_at =
        |x: f64| -> Vec<u32> { demands.iter().map(|d| d.jobs(x, slots, total_load) * d.need).collect() };
    let split_at = |psi: f64| Split {
        pool_slots: pool_slots_at(psi),
        psi,
    };
    let is_exact = demands.iter().all(|d| {
        let jobs = d.exact_jobs(1.0, slots, total_load);
        (jobs - jobs.round()).abs() < ROUNDING_TOLERANCE
    });
    let largest_need = demands.iter().map(|d| d.need).max().unwrap_or(0);
    let leaves_helpers = |x: f64| pool_slots_at(x).iter().sum::<u32>() + largest_need <= slots;
    if is_exact || leaves_helpers(1.0) {
        return split_at(1.0);
    }
    // The number of helpers shrinks only where some floor steps up, so the largest x lies just
    // below one of the steps, and `leaves_helpers` is monotone over the steps.
    let steps = steps(slots, demands, total_load);
    let first_too_large = steps.partition_point(|&x| leaves_helpers(x));
    // Just below the step, every class that steps up there has one job less.
    let psi = steps.get(first_too_large).map_or(1.0, |x| (x - STEP_MARGIN).max(0.0));
    split_at(psi)
}

/// The values of x up to 1 at which a pool grows by one job, in ascending order.
fn steps(slots: u32, demands: &[Demand], total_load: f64) -> Vec<f64> {
    let mut steps: Vec<f64> = vec![];
    for demand in demands.iter().filter(|d| d.load > 0.0) {
        let per_job = f64::from(demand.need) * total_load / (f64::from(slots) * demand.load);
        let mut jobs = 1.0;
        while jobs * per_job <= 1.0 + 1e-12 {
            steps.push(jobs * per_job);
            jobs += 1.0;
        }
    }
    steps.sort_by(f64::total_cmp);
    steps
}

/// Decayed slot-seconds of each class: the estimate of ϱ_i.
#[derive(Debug, Default)]
pub struct Estimate {
    slot_seconds: BTreeMap<Rc<ClassKey>, f64>,
    last_observed_at: Option<Micros>,
}

impl Estimate {
    /// Adds the slots that each class has held and requested since the last call, and decays older
    /// demand with the given half-life.
    pub fn observe(&mut self, demanded_slots: &BTreeMap<Rc<ClassKey>, f64>, half_life_s: f64, now: Micros) {
        let span_s = self.last_observed_at.map_or(0.0, |at| now.since(at).secs());
        self.last_observed_at = Some(now);
        let decay = 0.5f64.powf(span_s / half_life_s);
        for sum in self.slot_seconds.values_mut() {
            *sum *= decay;
        }
        for (class, slots) in demanded_slots {
            *self.slot_seconds.entry(class.clone()).or_default() += slots * span_s;
        }
        self.slot_seconds
            .retain(|class, sum| *sum > MIN_SLOT_SECONDS || demanded_slots.contains_key(class));
    }

    /// Returns the demand of each class: its decayed average, or the slots that it holds and
    /// requests now if they are more, so that a burst widens its pool at once. A class without any
    /// demand gets the average of the classes that have some.
    pub fn demands(
        &self,
        demanded_slots: &BTreeMap<Rc<ClassKey>, f64>,
        half_life_s: f64,
    ) -> Vec<(Rc<ClassKey>, Demand)> {
        let average = |sum: f64| sum * std::f64::consts::LN_2 / half_life_s;
        let nonzero: Vec<f64> = self.slot_seconds.values().copied().filter(|s| *s > 0.0).collect();
        let default_load = if nonzero.is_empty() {
            1.0
        } else {
            average(nonzero.iter().sum::<f64>() / nonzero.len() as f64)
        };
        self.slot_seconds
            .iter()
            .map(|(class, sum)| {
                let now = demanded_slots.get(class).copied().unwrap_or(0.0);
                let load = average(*sum).max(now);
                let load = if load > 0.0 { load } else { default_load };
                (
                    class.clone(),
                    Demand {
                        need: class.slots_per_task,
                        load,
                    },
                )
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// ψ found by the steps equals ψ found by its definition on a fine grid.
    #[test]
    fn psi_matches_its_definition() {
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..400 {
            let slots = rng.u32(1..300);
            let demands: Vec<Demand> = (0..rng.usize(1..5))
                .map(|_| Demand {
                    need: 1 << rng.u32(0..5),
                    load: rng.f64() * 10.0 + 0.01,
                })
                .collect();
            let Split { pool_slots, psi } = split(slots, &demands);
            let largest = demands.iter().map(|d| d.need).max().unwrap();
            let total: f64 = demands.iter().map(|d| d.load).sum();
            let left = |x: f64| {
                i64::from(slots)
                    - demands
                        .iter()
                        .map(|d| i64::from(d.jobs(x, slots, total) * d.need))
                        .sum::<i64>()
            };
            for (d, size) in demands.iter().zip(&pool_slots) {
                assert_eq!(size % d.need, 0);
            }
            if slots >= largest {
                let used: u32 = pool_slots.iter().sum();
                assert!(used <= slots);
                if psi < 1.0 {
                    assert!(left(psi) >= i64::from(largest), "slots {slots} {demands:?}");
                    // No larger x on a grid leaves enough helpers.
                    for step in 1..=2000 {
                        let x = psi + 1e-6 + (1.0 - psi) * f64::from(step) / 2000.0;
                        if x <= 1.0 {
                            assert!(
                                left(x) < i64::from(largest),
                                "slots {slots} psi {psi} x {x} {demands:?}"
                            );
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn an_exact_split_leaves_no_helpers() {
        let demands = [Demand { need: 1, load: 1.0 }, Demand { need: 2, load: 1.0 }];
        let pool_slots = vec![4, 4];
        assert_eq!(split(8, &demands), Split { pool_slots, psi: 1.0 });
    }
}
