//! How long machines take to boot, learnt for each type, zone and sort of rental
//! from those that came up lately and those that have yet to.

use crate::coordination::state::{Machine, MachineId, MachineState};
use crate::coordination::ClusterConfig;
use crate::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A type, a zone, and whether it is spot.
pub type BootKind = (String, String, bool);

/// Boots that tell how it is now: so many, for so long.
const KEPT: usize = 24;
const RECENT: Micros = Micros::from_millis(150_000);
/// A boot takes up to this many times its nominal time; after that it is late,
/// and after the second it is given up.
const LATE: f64 = 1.6;
const DEAD: f64 = 2.2;
/// Where most boots are late, they are waited for this long: giving them up and
/// renting again would only begin anew, and costs as much.
const PATIENT: f64 = 6.0;
/// Part of what such boots would bring that is counted on; the rest is rented
/// anew, and tells when the trouble is over.
const COUNTED: f64 = 0.8;
const LEAST: usize = 3;

/// What is known of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How many times the usual time boots take.
    pub factor: f64,
    /// Whether most boots of late are late.
    pub stalled: bool,
}

impl Pace {
    const USUAL: Pace = Pace {
        factor: 1.0,
        stalled: false,
    };

    /// When a machine that has booted for this long is late.
    pub fn is_late(&self, age: Micros, boot_s: f64) -> bool {
        age > Micros::from_secs(boot_s * LATE * self.factor + 2.0)
    }

    /// When it will most likely never come up.
    pub fn is_dead(&self, age: Micros, boot_s: f64) -> bool {
        let times = if self.stalled { PATIENT } else { DEAD * self.factor };
        age > Micros::from_secs(boot_s * times + 5.0)
    }

    /// What part of a booting machine is counted on.
    pub fn counted(&self, age: Micros, boot_s: f64) -> f64 {
        match (self.is_late(age, boot_s), self.stalled) {
            (false, _) => 1.0,
            (true, true) => COUNTED,
            (true, false) => 0.0,
        }
    }
}

/// The boots of late.
#[derive(Default)]
pub struct BootTimes {
    /// When a machine came up, and how many times its nominal time that took.
    seen: BTreeMap<BootKind, VecDeque<(Micros, f64)>>,
    paces: BTreeMap<BootKind, Pace>,
}

impl BootTimes {
    /// A machine came up.
    pub fn came_up(&mut self, kind: BootKind, took: Micros, boot_s: f64, now: Micros) {
        let seen = self.seen.entry(kind).or_default();
        seen.push_back((now, took.secs() / boot_s.max(1.0)));
        if seen.len() > KEPT {
            seen.pop_front();
        }
    }

    pub fn pace(&self, machine: &Machine) -> Pace {
        let kind = kind_of(machine);
        self.paces.get(&kind).copied().unwrap_or(Pace::USUAL)
    }

    /// Looks at all machines anew.
    pub fn look(&mut self, cluster: &ClusterConfig, machines: &BTreeMap<MachineId, Machine>, now: Micros) {
        let mut waits: BTreeMap<BootKind, (usize, usize)> = BTreeMap::new();
        for m in machines.values() {
            let (Some(t), Some(at)) = (cluster.catalogue.get(&m.machine_type), m.rented_at) else {
                continue;
            };
            let age = now.since(at);
            let due = age > Micros::from_secs(t.boot_s * LATE + 2.0);
            if due && m.state == MachineState::Booting {
                waits.entry(kind_of(m)).or_default().0 += 1;
            }
        }
        self.paces.clear();
        for (kind, seen) in &mut self.seen {
            seen.retain(|(at, _)| now.since(*at) < RECENT);
            let on_time = seen.iter().filter(|(_, times)| *times <= LATE).count();
            if let Some(w) = waits.get_mut(kind) {
                w.1 = on_time;
            }
            if seen.len() >= LEAST {
                let mut times: Vec<f64> = seen.iter().map(|s| s.1).collect();
                times.sort_by(f64::total_cmp);
                // Nine of ten boots take less; usually that is 1.4 times the
                // nominal time.
                let most = times[(times.len() * 9 / 10).min(times.len() - 1)];
                let factor = (most / 1.4).clamp(1.0, 4.0);
                self.paces.insert(kind.clone(), Pace { factor, stalled: false });
            }
        }
        for (kind, (late, on_time)) in waits {
            if late >= LEAST && late > on_time {
                self.paces.entry(kind).or_insert(Pace::USUAL).stalled = true;
            }
        }
    }
}

fn kind_of(m: &Machine) -> BootKind {
    (m.machine_type.clone(), m.zone.clone(), m.spot)
}
