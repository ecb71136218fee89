//! Balanced Splitting: how servers (slots) are split into class pools and
//! helpers, and how the demand behind the split is estimated.

use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A class as the paper has it: jobs of one need and one kind of run time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey {
    /// Whether a slot is a GPU rather than a core.
    pub gpu: bool,
    pub class: String,
    pub need: u32,
}

/// One class's part in the split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Slots one job holds at once (n_i).
    pub need: u32,
    /// Demand in slots (a multiple of the paper's ϱ_i; only ratios matter).
    pub load: f64,
}

/// How many jobs each pool holds at `x`: floor(x·k/n_i·ϱ_i/ϱ).
fn jobs_at(x: f64, k: u32, total: f64, d: &Demand) -> u32 {
    let exact = x * f64::from(k) / f64::from(d.need) * d.load / total;
    // Steps lie where the product is a whole number; rounding in the last bit
    // must not put a step on the wrong side.
    (exact + 1e-9).floor() as u32
}

/// Pool sizes in slots (a_i), and ψ. What is left over are the helpers: at
/// least as many as the largest need, unless the split is exact or the fleet is
/// smaller than that.
pub fn split(k: u32, demands: &[Demand]) -> (Vec<u32>, f64) {
    let total: f64 = demands.iter().map(|d| d.load.max(0.0)).sum();
    if k == 0 || total <= 0.0 {
        return (vec![0; demands.len()], 0.0);
    }
    let sizes = |x: f64| -> Vec<u32> { demands.iter().map(|d| jobs_at(x, k, total, d) * d.need).collect() };
    let exact = demands.iter().all(|d| {
        let jobs = f64::from(k) / f64::from(d.need) * d.load / total;
        (jobs - jobs.round()).abs() < 1e-9
    });
    if exact {
        return (sizes(1.0), 1.0);
    }
    let largest = demands.iter().map(|d| d.need).max().unwrap_or(0);
    let fits = |x: f64| sizes(x).iter().sum::<u32>() + largest <= k;
    if fits(1.0) {
        return (sizes(1.0), 1.0);
    }
    // The left-over shrinks only where some floor steps up, so the largest x
    // lies just below one of the steps, and fits() is monotone over them.
    let mut steps: Vec<f64> = vec![];
    for d in demands.iter().filter(|d| d.load > 0.0) {
        let per_job = f64::from(d.need) * total / (f64::from(k) * d.load);
        let mut jobs = 1.0;
        while jobs * per_job <= 1.0 + 1e-12 {
            steps.push(jobs * per_job);
            jobs += 1.0;
        }
    }
    steps.sort_by(f64::total_cmp);
    let cut = steps.partition_point(|&x| fits(x));
    let psi = match steps.get(cut) {
        // The supremum is approached from below: every class with a step here
        // keeps the job before it.
        Some(&x) => (x - 1e-7).max(0.0),
        None => 1.0,
    };
    (sizes(psi), psi)
}

/// Decayed slot-seconds per class; the estimate of ϱ_i.
#[derive(Debug, Default)]
pub struct Estimate {
    sums: BTreeMap<Rc<ClassKey>, f64>,
    at: Option<Micros>,
}

impl Estimate {
    /// Adds what each class holds (and asks for) since the last call, and lets
    /// older demand decay with the given half life.
    pub fn observe(&mut self, active_placements: &BTreeMap<Rc<ClassKey>, f64>, half_life_s: f64, now: Micros) {
        let span = self.at.map_or(0.0, |at| now.since(at).secs());
        self.at = Some(now);
        let keep = 0.5f64.powf(span / half_life_s);
        for sum in self.sums.values_mut() {
            *sum *= keep;
        }
        for (class, slots) in active_placements {
            *self.sums.entry(class.clone()).or_default() += slots * span;
        }
        self.sums
            .retain(|class, sum| *sum > 1e-3 || active_placements.contains_key(class));
    }

    /// The demand of each class: its decayed average, or what it holds and asks
    /// for now if that is more, so that a burst widens its pool at once. A class
    /// without history starts even.
    pub fn demands(
        &self,
        active_placements: &BTreeMap<Rc<ClassKey>, f64>,
        half_life_s: f64,
    ) -> Vec<(Rc<ClassKey>, Demand)> {
        let average = |sum: f64| sum * std::f64::consts::LN_2 / half_life_s;
        let some: Vec<f64> = self.sums.values().copied().filter(|s| *s > 0.0).collect();
        let even = if some.is_empty() {
            1.0
        } else {
            average(some.iter().sum::<f64>() / some.len() as f64)
        };
        self.sums
            .iter()
            .map(|(class, sum)| {
                let now = active_placements.get(class).copied().unwrap_or(0.0);
                let load = average(*sum).max(now);
                let load = if load > 0.0 { load } else { even };
                (class.clone(), Demand { need: class.need, load })
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
            let k = rng.u32(1..300);
            let demands: Vec<Demand> = (0..rng.usize(1..5))
                .map(|_| Demand {
                    need: 1 << rng.u32(0..5),
                    load: rng.f64() * 10.0 + 0.01,
                })
                .collect();
            let (sizes, psi) = split(k, &demands);
            let largest = demands.iter().map(|d| d.need).max().unwrap();
            let total: f64 = demands.iter().map(|d| d.load).sum();
            let left = |x: f64| {
                k as i64
                    - demands
                        .iter()
                        .map(|d| i64::from(jobs_at(x, k, total, d) * d.need))
                        .sum::<i64>()
            };
            for (d, size) in demands.iter().zip(&sizes) {
                assert_eq!(size % d.need, 0);
            }
            if k >= largest {
                let used: u32 = sizes.iter().sum();
                assert!(used <= k);
                if psi < 1.0 {
                    assert!(left(psi) >= i64::from(largest), "k {k} {demands:?}");
                    // No larger x on a grid leaves enough helpers.
                    for step in 1..=2000 {
                        let x = psi + 1e-6 + (1.0 - psi) * f64::from(step) / 2000.0;
                        if x <= 1.0 {
                            assert!(left(x) < i64::from(largest), "k {k} psi {psi} x {x} {demands:?}");
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn an_exact_split_leaves_no_helpers() {
        let demands = [Demand { need: 1, load: 1.0 }, Demand { need: 2, load: 1.0 }];
        assert_eq!(split(8, &demands), (vec![4, 4], 1.0));
    }
}
