//! Cost-benefit analysis of renting machines now for queued work.
//!
//! The input is an ordered queue. Each entry has deadlines by which its last task must start for
//! its objectives to be met, and the value of meeting each deadline. Capacity becomes free as tasks
//! end and machines boot. A fluid model projects the queue with and without more capacity. Of
//! several amounts of capacity, [`advise`] returns the one whose benefit exceeds its cost the most.
//!
//! The crate does no I/O and reads no clock. Capacity is in cores, times are in seconds from now,
//! and values and prices are in units of money.
//!
//! ```
//! use glenhaven_provisioning::{advise, Deadline, FutureCapacity, Offer, QueueEntry, Supply};
//!
//! // Tasks of 200 cores wait and must start within 45 s. Only 100 cores become free, in 60 s, but
//! // rented machines are ready in 30 s.
//! let waiting = QueueEntry {
//!     cores: 200.0,
//!     run_s: 40.0,
//!     deadlines: vec![Deadline { start_by_s: 45.0, value: 5.0 }],
//!     ..QueueEntry::default()
//! };
//! let supply = Supply {
//!     free_cores: 0.0,
//!     upcoming: vec![FutureCapacity { at_s: 60.0, cores: 100.0 }],
//! };
//! let offer = Offer { ready_s: 30.0, price: 0.07 / 3600.0, idle_s: 10.0, max_cores: 1000.0 };
//! let advice = advise(&[waiting], &supply, &offer);
//! assert!(advice.cores >= 190.0 && advice.cores <= 200.0);
//! assert!(advice.benefit > advice.cost);
//! ```
#![forbid(unsafe_code)]

/// Length of a step of the projection.
const STEP_S: f64 = 2.0;
/// Fraction of a core that counts as zero, because sums of shares are not exact.
const EPSILON: f64 = 1e-6;
/// Equal shares of the rented cores are ready after these multiples of the usual time.
const BOOT_FACTORS: [f64; 3] = [0.75, 1.0, 1.3];
/// How far ahead the queue is projected. Needs beyond this time can be decided later, because a
/// boot takes much less time.
const HORIZON_S: f64 = 180.0;
const STEPS: usize = (HORIZON_S / STEP_S) as usize;
/// Time for which a machine is held after the queue is empty, until the last of its tasks ends, in
/// mean run times.
const HELD_RUN_TIMES: f64 = 2.0;
/// Amounts of capacity that are compared, as shares of the useful amount.
const CANDIDATE_SHARES: [f64; 8] = [0.06, 0.12, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0];

/// A time by which the last task of a queue entry must start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Seconds from now; negative if the deadline is already missed.
    pub start_by_s: f64,
    /// Value of meeting the deadline.
    pub value: f64,
}

/// An entry of the queue: work that is waiting or is expected to arrive.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueEntry {
    /// Total cores of its tasks.
    pub cores: f64,
    /// Seconds for which a task holds its cores, including the fetch of its image.
    pub run_s: f64,
    /// When the work arrives, in seconds from now; 0 or less if it is already waiting.
    pub arrival_s: f64,
    /// Deadlines for the start of its last task.
    pub deadlines: Vec<Deadline>,
}

impl QueueEntry {
    /// Returns the number of deadlines that a start at `start_s` misses.
    fn missed_deadlines(&self, start_s: f64) -> usize {
        self.deadlines.iter().filter(|d| d.start_by_s < start_s).count()
    }

    /// Returns the value of the deadlines that are missed if the last task starts at `start_s`.
    fn missed_value(&self, start_s: f64) -> f64 {
        let missed = self.deadlines.iter().filter(|d| d.start_by_s < start_s);
        missed.map(|d| d.value).sum()
    }
}

/// Cores that become free or finish booting at a later time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FutureCapacity {
    /// Seconds from now.
    pub at_s: f64,
    /// Number of cores.
    pub cores: f64,
}

/// Capacity that is free or becomes free without a rental.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Supply {
    /// Cores free now; negative if other work needs more than is free.
    pub free_cores: f64,
    /// Capacity that becomes free later, in any order.
    pub upcoming: Vec<FutureCapacity>,
}

/// Machines that can be rented.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Seconds until a task can start on a rented machine.
    pub ready_s: f64,
    /// Price of a core per second, from the time of the rental.
    pub price: f64,
    /// Seconds for which a machine is idle before it is released.
    pub idle_s: f64,
    /// The most cores that can be rented.
    pub max_cores: f64,
}

/// A deadline that is met, identified by its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetDeadline {
    /// Index of the entry in the queue.
    pub entry: usize,
    /// Index of the deadline in [`QueueEntry::deadlines`].
    pub deadline: usize,
}

/// The recommended rental.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Cores to rent; 0 if there is no rental whose benefit exceeds its cost.
    pub cores: f64,
    /// Value of the deadlines that are met with the rental and would be missed without it.
    pub benefit: f64,
    /// Expected cost of the rental, in excess of what the same work costs without it.
    pub cost: f64,
    /// Deadlines that are expected to be met only with the rental.
    pub met: Vec<MetDeadline>,
}

/// The result of a projection.
struct Outcome {
    /// Value of the missed deadlines.
    missed_value: f64,
    /// When the queue is empty, not before rented capacity is ready, in seconds from now; the
    /// horizon if the queue is not empty before.
    clear_s: f64,
    /// Cores of tasks that are still waiting when rented capacity is ready.
    waiting_when_ready: f64,
    /// When the last task of each entry starts, in seconds from now; the horizon if it does not
    /// start.
    last_start_s: Vec<f64>,
}

/// Returns the first step that is not before a time, limited to the last step.
fn step_at(time_s: f64) -> usize {
    ((time_s.max(0.0) / STEP_S).ceil() as usize).min(STEPS)
}

/// A projection of the queue by a fluid model, in which cores are divisible.
struct Projection<'a> {
    queue: &'a [QueueEntry],
    ready_s: f64,
    /// Cores that are free in the present step.
    free: f64,
    /// Cores that become free in each step.
    arriving: [f64; STEPS + 1],
    /// Cores of each entry that have not started.
    unstarted: Vec<f64>,
    is_clear: bool,
    outcome: Outcome,
}

impl<'a> Projection<'a> {
    /// Creates a projection with `rented_cores` that are ready at about `ready_s`. Boot times vary,
    /// so the rented cores become ready at different times, see [`BOOT_FACTORS`].
    fn new(queue: &'a [QueueEntry], supply: &Supply, rented_cores: f64, ready_s: f64) -> Projection<'a> {
        let mut arriving = [0.0; STEPS + 1];
        for capacity in &supply.upcoming {
            arriving[step_at(capacity.at_s)] += capacity.cores;
        }
        for factor in BOOT_FACTORS {
            arriving[step_at(ready_s * factor)] += rented_cores / BOOT_FACTORS.len() as f64;
        }
        Projection {
            queue,
            ready_s,
            free: supply.free_cores.max(0.0),
            arriving,
            unstarted: queue.iter().map(|entry| entry.cores.max(0.0)).collect(),
            is_clear: false,
            outcome: Outcome {
                missed_value: 0.0,
                clear_s: HORIZON_S,
                waiting_when_ready: 0.0,
                last_start_s: vec![HORIZON_S; queue.len()],
            },
        }
    }

    /// Projects the queue up to the horizon. Entries that have missed fewer of their deadlines
    /// start first; among these, the order is that of the queue.
    fn run(mut self) -> Outcome {
        let max_missed = self.queue.iter().map(|entry| entry.deadlines.len()).max().unwrap_or(0);
        for step in 0..=STEPS {
            let now_s = step as f64 * STEP_S;
            self.free += self.arriving[step];
            for missed in 0..=max_missed {
                if self.free <= EPSILON {
                    break;
                }
                self.start_tasks(step, now_s, missed);
            }
            if now_s >= self.ready_s {
                self.record_waiting(now_s);
            }
        }
        // Entries that are still waiting miss the deadlines before the horizon.
        for (entry, unstarted) in self.queue.iter().zip(&self.unstarted) {
            if *unstarted > 0.0 {
                self.outcome.missed_value += entry.missed_value(HORIZON_S);
            }
        }
        self.outcome
    }

    /// Starts entries that have missed `missed` of their deadlines, as far as cores are free.
    fn start_tasks(&mut self, step: usize, now_s: f64, missed: usize) {
        for (index, entry) in self.queue.iter().enumerate() {
            let unstarted = &mut self.unstarted[index];
            if *unstarted <= 0.0 || entry.arrival_s > now_s || entry.missed_deadlines(now_s) != missed {
                continue;
            }
            let starting = unstarted.min(self.free);
            *unstarted -= starting;
            self.free -= starting;
            let end = step_at(now_s + entry.run_s);
            if end > step && end < STEPS {
                self.arriving[end] += starting;
            }
            if *unstarted <= EPSILON {
                *unstarted = 0.0;
                self.outcome.last_start_s[index] = now_s;
                self.outcome.missed_value += entry.missed_value(now_s);
            }
            if self.free <= EPSILON {
                break;
            }
        }
    }

    /// Records the cores of tasks that are still waiting in a step after rented capacity is ready.
    fn record_waiting(&mut self, now_s: f64) {
        let entries = self.unstarted.iter().zip(self.queue);
        let waiting: f64 = entries
            .filter(|(_, entry)| entry.arrival_s <= now_s)
            .map(|(unstarted, _)| unstarted)
            .sum();
        if now_s < self.ready_s + STEP_S {
            self.outcome.waiting_when_ready = waiting;
        }
        if waiting <= EPSILON && !self.is_clear {
            self.is_clear = true;
            self.outcome.clear_s = now_s;
        } else if waiting > EPSILON {
            self.is_clear = false;
            self.outcome.clear_s = HORIZON_S;
        }
    }
}

/// Returns the deadlines that are met with more capacity and missed without it.
fn met_deadlines(queue: &[QueueEntry], without: &Outcome, with: &Outcome) -> Vec<MetDeadline> {
    let mut met = vec![];
    for (index, entry) in queue.iter().enumerate() {
        let (late_s, early_s) = (without.last_start_s[index], with.last_start_s[index]);
        for (deadline_index, deadline) in entry.deadlines.iter().enumerate() {
            if deadline.start_by_s < late_s && deadline.start_by_s >= early_s {
                met.push(MetDeadline {
                    entry: index,
                    deadline: deadline_index,
                });
            }
        }
    }
    met
}

/// Returns the number of cores to rent now for an ordered queue, with the expected benefit and
/// cost.
pub fn advise(queue: &[QueueEntry], supply: &Supply, offer: &Offer) -> Advice {
    if queue.is_empty() || offer.max_cores <= 0.0 || offer.ready_s >= HORIZON_S {
        return Advice::default();
    }
    let without = Projection::new(queue, supply, 0.0, offer.ready_s).run();
    // Rented cores in excess of those still waited for when the machines are ready are of no use.
    let useful_cores = without.waiting_when_ready.min(offer.max_cores);
    if useful_cores <= 0.0 || without.missed_value <= 0.0 {
        return Advice::default();
    }
    let total_cores: f64 = queue.iter().map(|entry| entry.cores).sum();
    let mean_run_s = queue.iter().map(|entry| entry.cores * entry.run_s).sum::<f64>() / total_cores.max(1e-9);
    let mut best = Advice::default();
    for share in CANDIDATE_SHARES {
        let cores = useful_cores * share;
        let with = Projection::new(queue, supply, cores, offer.ready_s).run();
        let held_s = with.clear_s.max(offer.ready_s) + mean_run_s * HELD_RUN_TIMES + offer.idle_s;
        let cost = cores * offer.price * held_s;
        let benefit = without.missed_value - with.missed_value;
        if benefit - cost > best.benefit - best.cost {
            best = Advice {
                cores,
                benefit,
                cost,
                met: met_deadlines(queue, &without, &with),
            };
        }
    }
    best
}
