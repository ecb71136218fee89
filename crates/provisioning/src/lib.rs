//! Cost-benefit of machines rented now: what they are expected to let jobs meet, and what they cost.
//!
//! Work waits in an order, each entry with times by which it has to have started for its objectives
//! to be met, and with the value of meeting each of them. Capacity becomes free as tasks end and
//! machines boot. The queue is projected as a fluid, with and without more capacity; of several
//! amounts of capacity, the one is advised whose benefit exceeds its rent the most.
//!
//! The crate is pure: it does no I/O and reads no clock. Amounts are cores, times are seconds from
//! now, and values and prices are money.
//!
//! ```
//! use glenhaven_provisioning::{advise, FutureCapacity, Deadline, Offer, Supply, QueueEntry};
//!
//! // Two hundred cores wait, a hundred become free in a minute; half a minute from now is early
//! // enough.
//! let waiting = QueueEntry {
//!     cores: 200.0,
//!     run_s: 40.0,
//!     deadlines: vec![Deadline { start_by_s: 45.0, value: 5.0 }],
//!     ..QueueEntry::default()
//! };
//! let supply = Supply { free_cores: 0.0, upcoming: vec![FutureCapacity { at_s: 60.0, cores: 100.0 }] };
//! let offer = Offer { ready_s: 30.0, price: 0.07 / 3600.0, idle_s: 10.0, max_cores: 1000.0 };
//! let advice = advise(&[waiting], &supply, &offer);
//! assert!(advice.cores >= 190.0 && advice.cores <= 200.0);
//! assert!(advice.benefit > advice.cost);
//! ```
#![forbid(unsafe_code)]

/// Length of a step of the projection.
const STEP_S: f64 = 2.0;
/// Less than this of a core is nothing: sums of parts are not exact.
const EPSILON: f64 = 1e-6;
/// Equal parts of what is rented are ready after these multiples of the usual time.
const BOOT_FACTORS: [f64; 3] = [0.75, 1.0, 1.3];
/// How far ahead the queue is projected. What is decided beyond it can be decided later: a boot is
/// much shorter.
const HORIZON_S: f64 = 180.0;
const STEPS: usize = (HORIZON_S / STEP_S) as usize;
/// A machine is held until the last of its tasks ends: for so many mean run times.
const HELD_RUN_TIMES: f64 = 2.0;
/// Amounts of capacity that are compared, as parts of all that could be of use.
const CANDIDATE_SHARES: [f64; 8] = [0.06, 0.12, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0];

/// A time by which the last task of some work has to have started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Seconds from now; negative if it is missed already.
    pub start_by_s: f64,
    /// Value of meeting it.
    pub value: f64,
}

/// An entry of the queue: work that waits, or is expected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueEntry {
    /// Cores that its tasks take in all.
    pub cores: f64,
    /// How long a task holds its cores, the fetch of its image included.
    pub run_s: f64,
    /// When it arrives; zero or less if it waits already.
    pub arrival_s: f64,
    /// By when it has to have started.
    pub deadlines: Vec<Deadline>,
}

impl QueueEntry {
    /// How many of the times are missed by a start then.
    fn missed_deadlines(&self, start_s: f64) -> usize {
        self.deadlines.iter().filter(|d| d.start_by_s < start_s).count()
    }

    /// Value of the times that are missed if the last task starts then.
    fn missed_value(&self, start_s: f64) -> f64 {
        let missed = self.deadlines.iter().filter(|d| d.start_by_s < start_s);
        missed.map(|d| d.value).sum()
    }
}

/// Cores that become free or have booted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FutureCapacity {
    /// Seconds from now.
    pub at_s: f64,
    /// How many cores.
    pub cores: f64,
}

/// The capacity that there is, and that comes without a rental.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Supply {
    /// Free now; negative if other work takes more.
    pub free_cores: f64,
    /// What becomes free later, in any order.
    pub upcoming: Vec<FutureCapacity>,
}

/// What can be rented.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// How long it takes until a task can start there.
    pub ready_s: f64,
    /// Price of a core for a second, from the rental on.
    pub price: f64,
    /// How long a machine stays idle before it is returned.
    pub idle_s: f64,
    /// Cores that can be rented.
    pub max_cores: f64,
}

/// One of the times of one entry of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetDeadline {
    /// Index of the entry.
    pub entry: usize,
    /// Index of the time in [`QueueEntry::deadlines`].
    pub deadline: usize,
}

/// What to rent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Cores to rent; 0 if no rental pays.
    pub cores: f64,
    /// Value of the times that are met with the rental and would be missed without.
    pub benefit: f64,
    /// What it is expected to cost beyond what the same work costs anyhow.
    pub cost: f64,
    /// The times that are expected to be met with the rental only.
    pub met: Vec<MetDeadline>,
}

/// The outcome of a projection.
struct Outcome {
    /// Value of the missed times.
    missed_value: f64,
    /// When nothing waits any more, once rented capacity would be ready.
    clear_s: f64,
    /// Cores that still wait when rented capacity would be ready.
    waiting_when_ready: f64,
    /// When the last task of each entry starts.
    last_start_s: Vec<f64>,
}

/// The step in which a time lies.
fn step_at(time_s: f64) -> usize {
    ((time_s.max(0.0) / STEP_S).ceil() as usize).min(STEPS)
}

/// A projection of the queue as a fluid.
struct Projection<'a> {
    queue: &'a [QueueEntry],
    ready_s: f64,
    /// Cores that are free.
    free: f64,
    /// Cores that become free in each step.
    arriving: [f64; STEPS + 1],
    /// Cores of each entry that have not started.
    unstarted: Vec<f64>,
    is_clear: bool,
    outcome: Outcome,
}

impl<'a> Projection<'a> {
    /// With so many cores rented that are ready at about `ready_s`. Boots differ: some are ready
    /// sooner than most, and some later.
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

    /// Projects the queue, the first entry first, except that work which has missed more of its
    /// times lets the others go first.
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
        // What still waits misses what is due by then.
        for (entry, unstarted) in self.queue.iter().zip(&self.unstarted) {
            if *unstarted > 0.0 {
                self.outcome.missed_value += entry.missed_value(HORIZON_S);
            }
        }
        self.outcome
    }

    /// Starts what has missed so many of its times, as far as cores are free.
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

    /// Notes what still waits, once rented capacity would be ready.
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

/// The times that are met with more capacity and missed without.
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

/// How much to rent now for work in the order of its queue.
pub fn advise(queue: &[QueueEntry], supply: &Supply, offer: &Offer) -> Advice {
    if queue.is_empty() || offer.max_cores <= 0.0 || offer.ready_s >= HORIZON_S {
        return Advice::default();
    }
    let without = Projection::new(queue, supply, 0.0, offer.ready_s).run();
    // More than what waits when it would be ready is of no use.
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
