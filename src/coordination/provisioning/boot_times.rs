//! How long machines take to boot, learnt for each kind of rental from those that came up lately
//! and from those that have yet to.
//!
//! The leader records each boot and updates the profiles regularly; scale-out asks what part of
//! booting machines it can count on, and failure handling asks which boots to give up. Gives no
//! machine up itself.

use crate::coordination::state::{Machine, MachineId, MachineState};
use crate::coordination::ClusterConfig;
use crate::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A machine type, a zone, and whether it is spot.
pub type MachinePool = (String, String, bool);

/// Boots of a kind that are remembered.
const MAX_RECENT_BOOTS: usize = 24;
/// How long a boot is remembered.
const RECENT_WINDOW: Micros = Micros::from_millis(150_000);
/// A boot is late after this many times its nominal time.
const LATE_FACTOR: f64 = 1.6;
/// A boot is given up after this many times its nominal time.
const FAILED_FACTOR: f64 = 2.2;
/// Where most boots are late, they are waited for this many times their nominal time: giving them
/// up and renting again would only begin anew, and costs as much.
const FAILED_FACTOR_IF_STALLED: f64 = 6.0;
/// Part of stalled boots that is counted on; the rest is rented anew, and its boots show when
/// they are no longer stalled.
const COUNTED_SHARE_IF_STALLED: f64 = 0.8;
/// Boots from which on a profile is learnt.
const MIN_BOOTS: usize = 3;
/// Nine of ten boots usually take less than this many times the nominal time.
const USUAL_P90_FACTOR: f64 = 1.4;

/// How machines of one kind boot at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BootProfile {
    /// How many times as long as usual boots take.
    pub factor: f64,
    /// Whether most boots of late are late.
    pub is_stalled: bool,
}

impl BootProfile {
    const USUAL: BootProfile = BootProfile {
        factor: 1.0,
        is_stalled: false,
    };

    /// Whether a machine that has booted for this long is late. `boot_s`: its nominal time.
    pub fn is_late(&self, age: Micros, boot_s: f64) -> bool {
        age > Micros::from_secs(boot_s * LATE_FACTOR * self.factor + 2.0)
    }

    /// Whether it will most likely never come up. `boot_s`: its nominal time.
    pub fn has_likely_failed(&self, age: Micros, boot_s: f64) -> bool {
        let times = if self.is_stalled {
            FAILED_FACTOR_IF_STALLED
        } else {
            FAILED_FACTOR * self.factor
        };
        age > Micros::from_secs(boot_s * times + 5.0)
    }

    /// What part of a booting machine is counted on. `boot_s`: its nominal time.
    pub fn counted_share(&self, age: Micros, boot_s: f64) -> f64 {
        match (self.is_late(age, boot_s), self.is_stalled) {
            (false, _) => 1.0,
            (true, true) => COUNTED_SHARE_IF_STALLED,
            (true, false) => 0.0,
        }
    }
}

/// A boot that has ended.
struct Boot {
    ended_at: Micros,
    /// How many times its nominal time it took.
    times_nominal: f64,
}

/// Boots of a kind that are late, against those that were not.
#[derive(Default)]
struct Lateness {
    late: usize,
    on_time: usize,
}

/// The recent boots, and the profiles learnt from them.
#[derive(Default)]
pub struct BootTimes {
    recent: BTreeMap<MachinePool, VecDeque<Boot>>,
    profiles: BTreeMap<MachinePool, BootProfile>,
}

impl BootTimes {
    /// Records that a machine came up after `took`. `boot_s`: its nominal time.
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

    /// How machines of this machine's kind boot at present.
    pub fn profile(&self, machine: &Machine) -> BootProfile {
        let pool = pool_of(machine);
        self.profiles.get(&pool).copied().unwrap_or(BootProfile::USUAL)
    }

    /// Learns the profiles anew from recent boots and from the machines that are booting.
    pub fn update(&mut self, cluster: &ClusterConfig, machines: &BTreeMap<MachineId, Machine>, now: Micros) {
        let mut lateness = overdue_by_pool(cluster, machines, now);
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

/// Machines that are still booting though they should be up, by kind.
fn overdue_by_pool(
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
        let is_overdue = now.since(rented_at) > Micros::from_secs(machine_type.boot_s * LATE_FACTOR + 2.0);
        if is_overdue && machine.state == MachineState::Booting {
            lateness.entry(pool_of(machine)).or_default().late += 1;
        }
    }
    lateness
}

/// The profile of a kind by its recent boots, of which there are some.
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
