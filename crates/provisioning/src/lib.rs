//! What machines that are rented now are expected to serve in time, and to cost.
//!
//! Work waits in an order, each part of it with times by which it has to have
//! started to be done as its users and the operators expect, and with what keeping
//! each of these times is worth. Room falls free as tasks end and machines boot.
//! The queue is played ahead as a fluid, with and without more room, and of some
//! amounts of room the one is chosen whose rent exceeds what it saves the least,
//! or is exceeded by it the most.
//!
//! Sizes are cores, times seconds from now, worth and prices money.
//!
//! ```
//! use glenhaven_provisioning::{advise, Due, Offer, Supply, Work};
//!
//! // Two hundred cores wait, a hundred fall free in a minute; half a minute from
//! // now is early enough.
//! let waiting = Work {
//!     cores: 200.0,
//!     run_s: 40.0,
//!     dues: vec![Due { start_by_s: 45.0, worth: 5.0 }],
//!     ..Work::default()
//! };
//! let supply = Supply { free: 0.0, coming: vec![(60.0, 100.0)] };
//! let offer = Offer { ready_s: 30.0, price: 0.07 / 3600.0, idle_s: 10.0, most: 1000.0 };
//! let advice = advise(&[waiting], &supply, &offer);
//! assert!(advice.cores >= 190.0 && advice.cores <= 200.0);
//! assert!(advice.saves > advice.costs);
//! ```
#![forbid(unsafe_code)]

/// The fluid moves in steps of this length.
const STEP_S: f64 = 2.0;
/// Less than this of a core is nothing: sums of parts are not exact.
const LITTLE: f64 = 1e-6;
/// Parts of what is rented are ready after so many times the usual time.
const BOOTS: [f64; 3] = [0.75, 1.0, 1.3];
/// How far ahead the queue is played. What is decided beyond it can be decided
/// later: a boot is much shorter.
const AHEAD_S: f64 = 180.0;
const STEPS: usize = (AHEAD_S / STEP_S) as usize;
/// A machine is held until the last of its tasks ends: so many mean run times.
const LAST: f64 = 2.0;
/// Amounts of room that are compared, as parts of all that could be of use.
const PARTS: [f64; 8] = [0.06, 0.12, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0];

/// A time by which the last task of some work has to have started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// Seconds from now; negative: it is missed already.
    pub start_by_s: f64,
    /// What it is worth to be kept.
    pub worth: f64,
}

/// Some work that waits, or is expected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Cores that its tasks take in all.
    pub cores: f64,
    /// How long a task runs, image included.
    pub run_s: f64,
    /// When it begins to wait; zero or less: it does.
    pub from_s: f64,
    pub dues: Vec<Due>,
}

/// Room there is, and when more comes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Supply {
    pub free: f64,
    /// When so many cores fall free or have booted.
    pub coming: Vec<(f64, f64)>,
}

/// What can be rented.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// How long it takes until a task can start there.
    pub ready_s: f64,
    /// Of a core for a second, from the rental on.
    pub price: f64,
    /// How long a machine stays idle before it is returned.
    pub idle_s: f64,
    /// Cores there may be.
    pub most: f64,
}

/// What to rent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    pub cores: f64,
    /// Worth of the times kept that would be missed otherwise.
    pub saves: f64,
    /// What it is expected to cost beyond what the same work costs anyhow.
    pub costs: f64,
    /// The times that are expected to be kept by it: the numbers of the work and of its
    /// due time.
    pub saved: Vec<(usize, usize)>,
}

/// How a queue goes.
struct Played {
    /// Worth of the times that are missed.
    missed: f64,
    /// When nothing waits any more, once more room would have come.
    clear_s: f64,
    /// Cores that still wait when more room would have come.
    left: f64,
    /// When the last task of each work starts.
    last_s: Vec<f64>,
}

/// Plays the queue ahead, oldest first, except that what has missed more of its
/// times lets the others pass.
fn play(work: &[Work], supply: &Supply, extra: f64, ready_s: f64) -> Played {
    let mut room = supply.free.max(0.0);
    let mut coming = [0.0; STEPS + 1];
    let step = |s: f64| ((s.max(0.0) / STEP_S).ceil() as usize).min(STEPS);
    for (at, cores) in &supply.coming {
        coming[step(*at)] += cores;
    }
    // Boots differ: some are ready sooner than most, and some later.
    for times in BOOTS {
        coming[step(ready_s * times)] += extra / BOOTS.len() as f64;
    }
    let most = work.iter().map(|w| w.dues.len()).max().unwrap_or(0);
    let mut left: Vec<f64> = work.iter().map(|w| w.cores.max(0.0)).collect();
    let mut played = Played {
        missed: 0.0,
        clear_s: AHEAD_S,
        left: 0.0,
        last_s: vec![AHEAD_S; work.len()],
    };
    let mut clear = false;
    let mut i = 0;
    while i <= STEPS {
        let now = i as f64 * STEP_S;
        room += coming[i];
        for rank in 0..=most {
            if room <= LITTLE {
                break;
            }
            for ((w, left), last_s) in work.iter().zip(&mut left).zip(&mut played.last_s) {
                if *left <= 0.0 || w.from_s > now {
                    continue;
                }
                let missed = w.dues.iter().filter(|d| d.start_by_s < now).count();
                if missed != rank {
                    continue;
                }
                let starts = left.min(room);
                *left -= starts;
                room -= starts;
                let ends = step(now + w.run_s);
                if ends > i && ends < STEPS {
                    coming[ends] += starts;
                }
                if *left <= LITTLE {
                    *left = 0.0;
                    *last_s = now;
                    played.missed += missed_by(w, now);
                }
                if room <= LITTLE {
                    break;
                }
            }
        }
        if now >= ready_s {
            let waits: f64 = left
                .iter()
                .zip(work)
                .filter(|(_, w)| w.from_s <= now)
                .map(|(l, _)| l)
                .sum();
            if now < ready_s + STEP_S {
                played.left = waits;
            }
            if waits <= LITTLE && !clear {
                clear = true;
                played.clear_s = now;
            } else if waits > LITTLE {
                clear = false;
                played.clear_s = AHEAD_S;
            }
        }
        i += 1;
    }
    // What still waits misses what is due by then.
    for (w, left) in work.iter().zip(&left) {
        if *left > 0.0 {
            played.missed += missed_by(w, AHEAD_S);
        }
    }
    played
}

/// Worth of the times that are missed if the last task starts then.
fn missed_by(w: &Work, start_s: f64) -> f64 {
    w.dues.iter().filter(|d| d.start_by_s < start_s).map(|d| d.worth).sum()
}

/// The times that are kept with more room and missed without.
fn saved(work: &[Work], without: &Played, with: &Played) -> Vec<(usize, usize)> {
    let mut saved = vec![];
    for (i, w) in work.iter().enumerate() {
        let (late, early) = (without.last_s[i], with.last_s[i]);
        let by_it = |d: &Due| d.start_by_s < late && d.start_by_s >= early;
        saved.extend((0..w.dues.len()).filter(|n| by_it(&w.dues[*n])).map(|n| (i, n)));
    }
    saved
}

/// How much to rent now for work in the order of its queue.
pub fn advise(work: &[Work], supply: &Supply, offer: &Offer) -> Advice {
    if work.is_empty() || offer.most <= 0.0 || offer.ready_s >= AHEAD_S {
        return Advice::default();
    }
    let without = play(work, supply, 0.0, offer.ready_s);
    // More than what waits when it would be ready is of no use.
    let useful = without.left.min(offer.most);
    if useful <= 0.0 || without.missed <= 0.0 {
        return Advice::default();
    }
    let total: f64 = work.iter().map(|w| w.cores).sum();
    let run_s = work.iter().map(|w| w.cores * w.run_s).sum::<f64>() / total.max(1e-9);
    let mut best = Advice::default();
    for part in PARTS {
        let cores = useful * part;
        let with = play(work, supply, cores, offer.ready_s);
        let held_s = with.clear_s.max(offer.ready_s) + run_s * LAST + offer.idle_s;
        let costs = cores * offer.price * held_s;
        let saves = without.missed - with.missed;
        if saves - costs > best.saves - best.costs {
            best = Advice {
                cores,
                saves,
                costs,
                saved: saved(work, &without, &with),
            };
        }
    }
    best
}
