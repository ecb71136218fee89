//! Boot time profiles of each machine pool, estimated from recent boots and from machines that
//! are still booting.
//!
//! The leader records each boot and updates the profiles regularly. Scale-out reads from them which
//! share of a booting machine to count as supply, and failure handling reads which boots have
//! probably failed. This module releases no machines itself.

use crate::coordination::state::{Machine, MachineId, MachineState};
use crate::coordination::ClusterConfig;
use crate::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A machine pool: machine type, zone, and whether the machines are spot machines.
pub type MachinePool = (String, String, bool);

/// The most boots that are kept for a pool.
const MAX_RECENT_BOOTS: usize = 24;
/// How long a boot is kept.
const RECENT_WINDOW: Micros = Micros::from_millis(150_000);
/// A boot is late after its nominal time multiplied by this factor.
const LATE_FACTOR: f64 = 1.6;
/// A boot has probably failed after its nominal time multiplied by this factor.
const FAILED_FACTOR: f64 = 2.2;
/// Replaces [`FAILED_FACTOR`] in a pool where most boots are late: a replacement would boot just as
/// slowly and cost as much.
const FAILED_FACTOR_IF_STALLED: f64 = 6.0;
/// Share of a late machine that counts as supply in a stalled pool. The rest is rented again, and
/// the boots of these machines show when the pool is no longer stalled.
const COUNTED_SHARE_IF_STALLED: f64 = 0.8;
/// The fewest recent boots from which a profile is estimated, and the fewest late machines that
/// make a pool stalled.
const MIN_BOOTS: usize = 3;
/// The usual 90th percentile of boot times, in multiples of the nominal time.
const USUAL_P90_FACTOR: f64 = 1.4;

/// Boot behaviour of the machines of one pool at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BootProfile {
    /// Boot time in relation to the usual boot time; 1 or more.
    pub factor: f64,
    /// Whether most machines of the pool are late.
    pub is_stalled: bool,
}

impl BootProfile {
    const USUAL: BootProfile = BootProfile {
        factor: 1.0,
        is_stalled: false,
    };

    /// Returns whether a machine that has been booting for `age` is late. `boot_s` is its nominal
    /// boot time in seconds.
    pub fn is_late(&self, age: Micros, boot_s: f64) -> bool {
        age > Micros::from_secs(boot_s * LATE_FACTOR * self.factor + 2.0)
    }

    /// Returns whether a machine that has been booting for `age` will probably never be up.
    /// `boot_s` is its nominal boot time in seconds.
    pub fn has_likely_failed(&self, age: Micros, boot_s: f64) -> bool {
        let times = if self.is_stalled {
            FAILED_FACTOR_IF_STALLED
        } else {
            FAILED_FACTOR * self.factor
        };
        age > Micros::from_secs(boot_s * times + 5.0)
    }

    /// Returns the share of a booting machine, 0 to 1, that counts as supply. `boot_s` is its
    /// nominal boot time in seconds.
    pub fn counted_share(&self, age: Micros, boot_s: f64) -> f64 {
        match (self.is_late(age, boot_s), self.is_stalled) {
            (false, _) => 1.0,
            (true, true) => COUNTED_SHARE_IF_STALLED,
            (true, false) => 0.0,
        }
    }
}

/// A completed boot.
struct Boot {
    ended_at: Micros,
    /// Boot time in multiples of the nominal boot time.
    times_nominal: f64,
}

/// Number of late machines of a pool that are still booting, and of its recent boots that were on
/// time.
#[derive(Default)]
struct Lateness {
    late: usize,
    on_time: usize,
}

/// Recent boots, and the profiles estimated from them.
#[derive(Default)]
pub struct BootTimes {
    recent: BTreeMap<MachinePool, VecDeque<Boot>>,
    profiles: BTreeMap<MachinePool, BootProfile>,
}

impl BootTimes {
    /// Records that a machine was up after `took`. `boot_s` is its nominal boot time in seconds.
    pub fn record_boot(&mut self, pool: MachinePool, took: Micros, boot_s: f64, now: Micros) {
        let recent = self.recent.entry(pool).or_default();
        recent.push_back(Boot {
            ended_at: now,
            times_nominal: took.secs() / boot_s.max(1.0),
        });
        if recent.len() > MAX_RECENT_BOOTS {
            recent.pop_front();
        }
    }

    /// Returns the present profile of the machine's pool.
    pub fn profile(&self, machine: &Machine) -> BootProfile {
        let pool = pool_of(machine);
        self.profiles.get(&pool).copied().unwrap_or(BootProfile::USUAL)
    }

    /// Estimates all profiles again from recent boots and from the machines that are booting.
    pub fn update(&mut self, cluster: &ClusterConfig, machines: &BTreeMap<MachineId, Machine>, now: Micros) {
        let mut lateness = late_by_pool(cluster, machines, now);
        self.profiles.clear();
        for (pool, recent) in &mut self.recent {
            recent.retain(|boot| now.since(boot.ended_at) < RECENT_WINDOW);
            if let Some(lateness) = lateness.get_mut(pool) {
                lateness.on_time = recent.iter().filter(|boot| boot.times_nominal <= LATE_FACTOR).count();
            }
            if recent.len() >= MIN_BOOTS {
                self.profiles.insert(pool.clone(), estimate_profile(recent));
            }
        }
        for (pool, Lateness { late, on_time }) in lateness {
            if late >= MIN_BOOTS && late > on_time {
                self.profiles.entry(pool).or_insert(BootProfile::USUAL).is_stalled = true;
            }
        }
    }
}

/// Counts the late machines that are still booting, by pool.
fn late_by_pool(
    cluster: &ClusterConfig,
    machines: &BTreeMap<MachineId, Machine>,
    now: Micros,
) -> BTreeMap<MachinePool, Lateness> {
    let mut lateness: BTreeMap<MachinePool, Lateness> = BTreeMap::new();
    for machine in machines.values() {
        let machine_type = cluster.catalogue.get(&machine.machine_type);
        let (Some(machine_type), Some(rented_at)) = (machine_type, machine.rented_at) else {
            continue;
        };
        let is_late = now.since(rented_at) > Micros::from_secs(machine_type.boot_s * LATE_FACTOR + 2.0);
        if is_late && machine.state == MachineState::Booting {
            lateness.entry(pool_of(machine)).or_default().late += 1;
        }
    }
    lateness
}

/// Estimates the profile of a pool from its recent boots.
///
/// # Panics
///
/// Panics if there are no boots.
fn estimate_profile(recent: &VecDeque<Boot>) -> BootProfile {
    let mut times: Vec<f64> = recent.iter().map(|boot| boot.times_nominal).collect();
    times.sort_by(f64::total_cmp);
    let p90 = times[(times.len() * 9 / 10).min(times.len() - 1)];
    BootProfile {
        factor: (p90 / USUAL_P90_FACTOR).clamp(1.0, 4.0),
        is_stalled: false,
    }
}

fn pool_of(machine: &Machine) -> MachinePool {
    (machine.machine_type.clone(), machine.zone.clone(), machine.spot)
}
