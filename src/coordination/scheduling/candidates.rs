//! Room on machines during a scheduling pass, and the machine that suits a task best.

use super::super::reservation::Reservations;
use super::super::state::{Job, LeaderState, Machine, MachineId, MachineKind};
use super::super::ClusterConfig;
use super::rules::{allowed, lasts};
use super::{Pass, EPS};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Steps in which it is compared how much longer a machine would be held.
const LONGER: Micros = Micros::from_millis(4000);
/// Users wait for a service while it fetches its image: that counts so many times
/// as much as a machine held longer.
const USERS_WAIT: u64 = 20;
/// Machines held no longer by a task that are compared for its image.
const ALIKE: usize = 12;

/// Free room on one machine.
pub(super) struct CandidateMachine {
    pub(super) name: MachineId,
    pub(super) kind: usize,
    pub(super) cpus: f64,
    pub(super) gpus: f64,
    pub(super) memory: f64,
    /// When the last task there is expected to end.
    pub(super) until: Micros,
    /// Whether services run there.
    pub(super) serves: bool,
    /// Images that are yet to be fetched there.
    pub(super) fetching: usize,
}

impl CandidateMachine {
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        self.cpus + EPS >= spec.cpus && self.gpus + EPS >= spec.gpus && self.memory + EPS >= spec.memory
    }
}

impl LeaderState {
    /// The kind of a machine of this type, zone and sort of rental.
    pub(super) fn kind(&mut self, t: &MachineType, zone: &str, spot: bool) -> usize {
        let same = |k: &MachineKind| k.machine_type == t.name && k.zone == zone && k.spot == spot;
        self.scheduler.kinds.iter().position(same).unwrap_or_else(|| {
            self.scheduler.kinds.push(MachineKind {
                machine_type: t.name.clone(),
                zone: zone.into(),
                spot,
                cpus: t.cpus,
                gpus: t.gpus,
                memory: t.memory,
                fetch_gb_per_s: t.fetch_gb_per_s,
            });
            self.scheduler.kinds.len() - 1
        })
    }

    /// Free room on the machines that take new work, in order of age.
    pub(super) fn rooms(&mut self, cluster: &ClusterConfig, now: Micros) -> Vec<CandidateMachine> {
        let silent = Self::work_silence(cluster);
        let unknown: Vec<(MachineId, String, String, bool)> = self
            .machines
            .values()
            .filter(|m| m.kind_index.is_none() && !m.machine_type.is_empty())
            .map(|m| (m.name.clone(), m.machine_type.clone(), m.zone.clone(), m.spot))
            .collect();
        for (name, machine_type, zone, spot) in unknown {
            let Some(t) = cluster.catalogue.get(&machine_type) else {
                continue;
            };
            let kind = self.kind(t, &zone, spot);
            if let Some(m) = self.machines.get_mut(&name) {
                m.kind_index = Some(kind);
            }
        }
        let mut rooms = Vec::with_capacity(self.machines.len());
        for m in self.machines.values_mut() {
            m.candidate_index = None;
            if !m.accepts_work(now, silent) || self.failures.zones.is_cut(&m.zone) {
                continue;
            }
            let Some(kind) = m.kind_index else { continue };
            let k = &self.scheduler.kinds[kind];
            m.candidate_index = Some(rooms.len());
            if m.tasks.is_empty() {
                m.expected_idle_at = Micros::ZERO;
                m.fetching_images.clear();
            }
            rooms.push(CandidateMachine {
                name: m.name.clone(),
                kind,
                cpus: k.cpus - m.used.cpus,
                gpus: k.gpus - m.used.gpus,
                memory: k.memory - m.used.memory_gb,
                until: m.expected_idle_at,
                serves: m.service_tasks > 0,
                fetching: m.fetching_images.len(),
            });
        }
        rooms
    }
}

/// How much longer a machine is held because it has to fetch the image first, in
/// half steps: not at all if it has the image, hardly if it fetches it already for
/// another task, and the longer the more it has to fetch, since fetches share the
/// machine's rate.
pub(super) fn fetch_steps(
    spec: &JobSpec,
    kind: &MachineKind,
    room: &CandidateMachine,
    image_locations: Option<&BTreeSet<MachineId>>,
    machines: &BTreeMap<MachineId, Machine>,
) -> u64 {
    if image_locations.is_some_and(|at| at.contains(&room.name)) {
        return 0;
    }
    if room.fetching > 0 {
        let machine = machines.get(&room.name);
        if machine.is_some_and(|m| m.fetching_images.contains(spec.image.as_str())) {
            return 1;
        }
    }
    let fetch = Micros::from_secs(spec.image_gb / kind.fetch_gb_per_s.max(0.01));
    (fetch.0 / LONGER.0 + 1) * 2 * (1 + room.fetching as u64)
}

impl Pass {
    /// The kinds a job may use, in groups: off spot machines only if need be;
    /// within a group the largest first, then always in the same order, so that
    /// the last machines of the order fall idle when there is less to do.
    pub(super) fn kinds_for(spec: &JobSpec, kinds: &[MachineKind]) -> [Vec<usize>; 2] {
        let mut groups = [vec![], vec![]];
        for (i, k) in kinds.iter().enumerate() {
            if allowed(spec, &k.machine_type, &k.zone, k.spot) {
                groups[usize::from(spec.spot && !k.spot)].push(i);
            }
        }
        for group in &mut groups {
            group.sort_by(|a, b| kinds[*b].cpus.total_cmp(&kinds[*a].cpus).then(a.cmp(b)));
        }
        groups
    }

    /// The best machine for the job's next task, and whether its image is
    /// there: images first for a service, then a fixed order, so that others
    /// fall idle and can be returned.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn best_fit(
        &mut self,
        job: &Job,
        leftovers: bool,
        zones: &BTreeMap<String, u32>,
        groups: &[Vec<usize>; 2],
        kinds: &[MachineKind],
        image_locations: Option<&BTreeSet<MachineId>>,
        machines: &BTreeMap<MachineId, Machine>,
        reservations: &Reservations,
    ) -> Option<(usize, bool)> {
        let spec = &job.spec;
        let suspect = job.is_suspect(self.now);
        let most = spec.tasks.div_ceil(2);
        let production = spec.priority >= Priority::Production;
        let preserves_reserve = self.ordinary_free - spec.cpus >= self.reserve - EPS;
        let kind_open = |k: &MachineKind| {
            (production || k.spot || preserves_reserve)
                && !(spec.one_zone && zones.keys().any(|z| *z != k.zone))
                && !(spec.spread && zones.get(&k.zone).copied().unwrap_or(0) >= most)
        };
        for group in groups {
            let open: Vec<usize> = group.iter().copied().filter(|k| kind_open(&kinds[*k])).collect();
            if job.is_service() {
                let cached = image_locations.into_iter().flatten().filter_map(|name| {
                    let at = machines.get(name)?.candidate_index?;
                    let room = &self.rooms[at];
                    let place = open.iter().position(|k| *k == room.kind)?;
                    // Services keep together: their machines are the last that
                    // can be returned.
                    (room.fits(spec) && (suspect || !job.failed_machines.contains(name))).then_some((
                        place,
                        !room.serves,
                        at,
                    ))
                });
                if let Some((_, _, at)) = cached.min() {
                    return Some((at, true));
                }
            }
            let size = (spec.cpus.to_bits(), spec.gpus.to_bits(), spec.memory.to_bits());
            let none_left = |k: &MachineKind| {
                let shortest = self.no_leftovers.get(&size);
                leftovers && !k.spot && shortest.is_some_and(|least| spec.estimate_s >= *least)
            };
            let open: Vec<usize> = open.into_iter().filter(|k| !none_left(&kinds[*k])).collect();
            let ordinary = open.iter().any(|k| !kinds[*k].spot);
            let full = self.full.entry(size).or_insert_with(|| vec![0; kinds.len()]);
            // The machine of the largest size with room that is held the least
            // longer for this task, by work and by fetching its image, and of those
            // the oldest.
            let end = self.now + lasts(spec);
            let mut best: Option<(f64, u64, usize)> = None;
            let mut looked = 0;
            for kind in open {
                let cpus = kinds[kind].cpus;
                if best.is_some_and(|(largest, _, _)| cpus < largest) {
                    break;
                }
                let rooms = &self.by_kind[kind];
                let mut at = full[kind];
                while let Some(i) = rooms.get(at).copied() {
                    let room = &self.rooms[i];
                    if !room.fits(spec) {
                        if full[kind] == at {
                            full[kind] += 1;
                        }
                    } else if !production && reservations.is_reserved_against(&room.name, &job.id) {
                        // Left to empty for another job.
                    } else if suspect || !job.failed_machines.contains(&room.name) {
                        // Beside services, room is kept for the next ones: they
                        // would spread over all machines otherwise.
                        let beside = room.serves && !production && !kinds[kind].spot;
                        if beside && self.service_free - spec.cpus < self.reserve - EPS {
                            at += 1;
                            continue;
                        }
                        let longer = end.since(room.until).0 / LONGER.0;
                        if leftovers && !kinds[kind].spot && longer > 0 {
                            at += 1;
                            continue;
                        }
                        let fetch = fetch_steps(spec, &kinds[kind], room, image_locations, machines);
                        let cost = longer * 2 + fetch * if job.is_service() { USERS_WAIT } else { 1 };
                        if best.is_none_or(|(_, c, b)| (cost, i) < (c, b)) {
                            best = Some((cpus, cost, i));
                        }
                        looked += 1;
                        if cost == 0 || (longer == 0 && looked >= ALIKE) {
                            break;
                        }
                    }
                    at += 1;
                }
            }
            if let Some((_, _, i)) = best {
                let there = image_locations.is_some_and(|a| a.contains(&self.rooms[i].name));
                return Some((i, there));
            }
            if leftovers && ordinary {
                self.no_leftovers.insert(size, spec.estimate_s);
            }
        }
        None
    }
}
