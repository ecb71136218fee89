//! Room for tasks that nearly fill a machine. Small tasks take every core that falls idle, so
//! that a large one would be passed for ever: for those that have waited for long, machines
//! are held, one for each task, until what runs there has ended. Nothing is stopped.
//!
//! Oldest first, the machine that empties soonest, and never more than a part of all: what is
//! held earns nothing meanwhile.
//!
//! ```
//! use glenhaven_reservation::{ReservationPolicy, Waits};
//! use glenhaven_time::Micros;
//!
//! let mut gather = ReservationPolicy::new();
//! let machines = [("n-1", Micros::from_millis(9000)), ("n-2", Micros::from_millis(4000))];
//! gather.decide(&[Waits { job: "large", tasks: 3 }], &machines, |_, _| true, 1);
//! assert_eq!(gather.holds(&"n-2"), Some(&"large"), "it is empty sooner");
//! assert_eq!(gather.holds(&"n-1"), None, "one at the most");
//! ```
#![forbid(unsafe_code)]

use glenhaven_time::Micros;
use std::collections::BTreeMap;

/// A job with large tasks that has waited for long.
#[derive(Clone, Copy, Debug)]
pub struct Waits<J> {
    pub job: J,
    /// How many of its tasks wait.
    pub tasks: usize,
}

/// Which machine is held for which job.
#[derive(Clone, Debug)]
pub struct ReservationPolicy<M, J> {
    held: BTreeMap<M, J>,
}

impl<M: Ord, J> Default for ReservationPolicy<M, J> {
    fn default() -> Self {
        ReservationPolicy { held: BTreeMap::new() }
    }
}

impl<M: Ord + Clone, J: PartialEq + Clone> ReservationPolicy<M, J> {
    /// Nothing is held.
    pub fn new() -> ReservationPolicy<M, J> {
        ReservationPolicy::default()
    }

    /// Decides anew: for these jobs, in the order of the queue, among these machines, each with
    /// when it is expected to be empty. What is held stays held as long as its job waits and
    /// the machine suits it: a machine that changes hands would empty for nobody.
    pub fn decide(
        &mut self,
        waits: &[Waits<J>],
        machines: &[(M, Micros)],
        suits: impl Fn(&M, &J) -> bool,
        most: usize,
    ) {
        let mut wanted: Vec<usize> = waits.iter().map(|w| w.tasks).collect();
        let place = |job: &J| waits.iter().position(|w| w.job == *job);
        let mut kept = 0;
        let there: std::collections::BTreeSet<&M> = machines.iter().map(|m| &m.0).collect();
        self.held.retain(|machine, job| {
            let Some(i) = place(job).filter(|_| there.contains(machine)) else {
                return false;
            };
            let stays = kept < most && wanted[i] > 0 && suits(machine, job);
            if stays {
                wanted[i] -= 1;
                kept += 1;
            }
            stays
        });
        let mut soonest: Vec<&(M, Micros)> = machines.iter().filter(|m| !self.held.contains_key(&m.0)).collect();
        soonest.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        for (w, left) in waits.iter().zip(wanted) {
            for _ in 0..left {
                if self.held.len() >= most {
                    return;
                }
                let Some(at) = soonest.iter().position(|m| suits(&m.0, &w.job)) else {
                    break;
                };
                let (machine, _) = soonest.remove(at);
                self.held.insert(machine.clone(), w.job.clone());
            }
        }
    }

    /// For whom a machine is held.
    pub fn holds(&self, machine: &M) -> Option<&J> {
        self.held.get(machine)
    }

    /// How many machines are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
