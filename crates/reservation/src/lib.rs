//! Reservation of machines for tasks that nearly fill a machine.
//!
//! Small tasks take every core that becomes idle, and would starve large tasks. For large tasks
//! that have waited for long, machines are reserved, one for each task, until the tasks that run on
//! the machines have ended. Nothing is preempted.
//!
//! Jobs are served in the order of the queue, and the machine that is expected to be empty soonest
//! is reserved first. Invariant: a decision leaves at most the given number of machines reserved.
//! The caller keeps this number to a part of all machines, because the free capacity of a reserved
//! machine is idle in the meantime.
//!
//! The crate is pure: it does no I/O and reads no clock.
//!
//! ```
//! use glenhaven_reservation::{ReservableMachine, ReservationPolicy, WaitingJob};
//! use glenhaven_time::Micros;
//!
//! let mut policy = ReservationPolicy::new();
//! let machine = |machine, ms| ReservableMachine { machine, empty_at: Micros::from_millis(ms) };
//! let machines = [machine("n-1", 9000), machine("n-2", 4000)];
//! policy.decide(&[WaitingJob { job: "large", tasks: 3 }], &machines, |_, _| true, 1);
//! assert_eq!(policy.reserved_for(&"n-2"), Some(&"large"), "it is empty sooner");
//! assert_eq!(policy.reserved_for(&"n-1"), None, "at most one machine is reserved");
//! ```
#![forbid(unsafe_code)]

use glenhaven_time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A job with large tasks that have waited for long.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob<J> {
    /// The job.
    pub job: J,
    /// Number of the job's tasks that wait.
    pub tasks: usize,
}

/// A machine that may be reserved.
#[derive(Clone, Copy, Debug)]
pub struct ReservableMachine<M> {
    /// The machine.
    pub machine: M,
    /// When the last task on the machine is expected to end.
    pub empty_at: Micros,
}

/// The reserved machines, each with the job that it is reserved for.
#[derive(Clone, Debug)]
pub struct ReservationPolicy<M, J> {
    reserved: BTreeMap<M, J>,
}

impl<M: Ord, J> Default for ReservationPolicy<M, J> {
    fn default() -> Self {
        ReservationPolicy {
            reserved: BTreeMap::new(),
        }
    }
}

impl<M: Ord + Clone, J: PartialEq + Clone> ReservationPolicy<M, J> {
    /// Creates a policy without reservations.
    pub fn new() -> ReservationPolicy<M, J> {
        ReservationPolicy::default()
    }

    /// Updates the reservations for these jobs, given in the order of the queue, and machines.
    ///
    /// At most `max` machines are reserved. `suits` returns whether a machine suits a job. A
    /// reservation stays as long as its job waits and the machine suits the job, because a machine
    /// whose reservation moved between jobs would not become empty for any of them.
    pub fn decide(
        &mut self,
        jobs: &[WaitingJob<J>],
        machines: &[ReservableMachine<M>],
        suits: impl Fn(&M, &J) -> bool,
        max: usize,
    ) {
        let unserved = self.retain_suitable(jobs, machines, &suits, max);
        let mut soonest: Vec<&ReservableMachine<M>> = machines
            .iter()
            .filter(|m| !self.reserved.contains_key(&m.machine))
            .collect();
        soonest.sort_by(|a, b| (a.empty_at, &a.machine).cmp(&(b.empty_at, &b.machine)));
        for (waiting, tasks) in jobs.iter().zip(unserved) {
            for _ in 0..tasks {
                if self.reserved.len() >= max {
                    return;
                }
                let Some(index) = soonest.iter().position(|m| suits(&m.machine, &waiting.job)) else {
                    break;
                };
                let chosen = soonest.remove(index);
                self.reserved.insert(chosen.machine.clone(), waiting.job.clone());
            }
        }
    }

    /// Drops the reservations that no longer apply, and returns the number of tasks of each job for
    /// which no machine is reserved.
    fn retain_suitable(
        &mut self,
        jobs: &[WaitingJob<J>],
        machines: &[ReservableMachine<M>],
        suits: impl Fn(&M, &J) -> bool,
        max: usize,
    ) -> Vec<usize> {
        let mut unserved: Vec<usize> = jobs.iter().map(|w| w.tasks).collect();
        let present: BTreeSet<&M> = machines.iter().map(|m| &m.machine).collect();
        let mut retained = 0;
        self.reserved.retain(|machine, job| {
            let index = jobs.iter().position(|w| w.job == *job);
            let Some(index) = index.filter(|_| present.contains(machine)) else {
                return false;
            };
            let stays = retained < max && unserved[index] > 0 && suits(machine, job);
            if stays {
                unserved[index] -= 1;
                retained += 1;
            }
            stays
        });
        unserved
    }

    /// Returns the job for which a machine is reserved.
    pub fn reserved_for(&self, machine: &M) -> Option<&J> {
        self.reserved.get(machine)
    }

    /// Number of reserved machines.
    pub fn len(&self) -> usize {
        self.reserved.len()
    }

    /// Whether no machine is reserved.
    pub fn is_empty(&self) -> bool {
        self.reserved.is_empty()
    }
}
