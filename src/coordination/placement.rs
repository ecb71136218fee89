//! Where and when tasks start: pools, helpers first come first served, oldest
//! first pulls, borrowing, and room made for production.

use super::book::{Job, Kind, Leader, Machine, MachineId, Placement, Stage, TaskState};
use super::commit::queues::QueuedStarts;
use super::gathered::Gathered;
use super::pools::{split, ClassKey};
use super::{times, JobId, Shared, Site};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{Priority, Shape, Spec};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Starts in one pass; the rest follow with the next, moments later.
const STARTS: usize = 400;
const EPS: f64 = 1e-6;
/// Passes follow each other at this distance: what happens meanwhile is looked
/// at once.
const PASS: Micros = Micros::from_millis(40);
/// Machines looked at in one pass to make room; the rest wait for the next.
const LOOKS: usize = 4000;
/// Steps in which it is compared how much longer a machine would be held.
const LONGER: Micros = Micros::from_millis(4000);
/// Users wait for a service while it fetches its image: that counts so many times
/// as much as a machine held longer.
const USERS_WAIT: u64 = 20;
/// Machines held no longer by a task that are compared for its image.
const ALIKE: usize = 12;
/// How long a service is taken to last.
const SERVICE_LASTS: Micros = Micros::from_millis(600_000);
/// Work within its team's guarantee waits this long for room to fall idle before
/// work beyond other guarantees is stopped for it.
const GUARANTEE_PATIENCE: Micros = Micros::from_millis(1500);
/// Only what has run for less than this is stopped for a guarantee: older work
/// loses more than the guarantee gains, and room falls idle soon enough.
const YOUNG: Micros = Micros::from_millis(4000);
/// How long a job that is late lets others go first.
const YIELD: Micros = Micros::from_millis(120_000);
/// How long before its latest start, or after its arrival if nobody expects it
/// at any time, work of low priority takes any room.
const LEFTOVER_MARGIN: Micros = Micros::from_millis(60_000);
const LEFTOVER_PATIENCE: Micros = Micros::from_millis(150_000);
/// A service waits this long for room where its image is.
const IMAGE_PATIENCE: Micros = Micros::from_millis(2000);

/// Free room on one machine.
struct Room {
    name: MachineId,
    kind: usize,
    cpus: f64,
    gpus: f64,
    memory: f64,
    /// When the last task there is expected to end.
    until: Micros,
    /// Whether services run there.
    serves: bool,
    /// Images that are yet to be fetched there.
    fetching: usize,
}

impl Room {
    fn fits(&self, spec: &Spec) -> bool {
        self.cpus + EPS >= spec.cpus && self.gpus + EPS >= spec.gpus && self.memory + EPS >= spec.memory
    }
}

/// Whether a job's tasks may run on machines like this one.
pub fn allowed(spec: &Spec, machine_type: &str, zone: &str, spot: bool) -> bool {
    !machine_type.is_empty()
        && (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// The zones where a job's next task may start, given where its others are;
/// `None` means any.
pub fn open_zones(job: &Job, machines: &BTreeMap<MachineId, Machine>, all: &[String]) -> Option<Vec<String>> {
    if let Some(zone) = &job.spec.zone {
        return Some(vec![zone.clone()]);
    }
    if !job.spec.one_zone && !job.spec.spread {
        return None;
    }
    let zones = zones_of(job, machines)?;
    if job.spec.one_zone {
        return zones.keys().next().map(|z| vec![z.clone()]);
    }
    let most = job.spec.tasks.div_ceil(2);
    let open = |z: &&String| zones.get(*z).copied().unwrap_or(0) < most;
    Some(all.iter().filter(open).cloned().collect())
}

/// When a job's last task must start for the job to be done as its user and the
/// operators' objectives expect; `None` if nothing is expected.
pub fn latest_start(site: &Site, job: &Job) -> Option<Micros> {
    let by_objective = site
        .settings
        .params
        .objectives
        .iter()
        .filter(|o| o.kind == "finished" && o.class == job.spec.class)
        .filter_map(|o| o.within_s)
        .max_by(f64::total_cmp);
    let by_objective = by_objective.map(|within| job.arrived + Micros::from_secs(within));
    let due = match (job.due(), by_objective) {
        (Some(a), Some(b)) => a.min(b),
        (a, b) => a.or(b)?,
    };
    Some(due - Micros::from_secs(job.spec.estimate_s))
}

/// Whether a job takes only what others leave: work of low priority that may use
/// spot machines and still has the time. On an ordinary machine it starts where
/// other work keeps the machine at least as long.
pub fn takes_leftovers(site: &Site, job: &Job, now: Micros) -> bool {
    let late = match latest_start(site, job) {
        Some(at) => now + LEFTOVER_MARGIN >= at,
        None => now.since(job.arrived) > LEFTOVER_PATIENCE,
    };
    job.priority == Priority::Low && job.spec.spot && !late
}

/// How many of the times by which a job should be done it can no longer keep.
/// It lets others go first that can: time spent on it would make them late as
/// well. Not for ever: after a while its age counts again.
fn lateness(site: &Site, job: &Job, fetch_s: f64, now: Micros) -> u8 {
    let objectives = site.settings.params.objectives.iter();
    let mut dues: Vec<f64> = objectives
        .filter(|o| o.class == job.spec.class)
        .filter_map(|o| match o.kind.as_str() {
            "finished" => o.within_s,
            "deadline" => job.deadline_s(o.times.unwrap_or(1.0)),
            _ => None,
        })
        .collect();
    if dues.is_empty() {
        dues.extend(job.deadline_s(1.0));
    }
    let latest = |due: f64| job.arrived + Micros::from_secs((due - job.spec.estimate_s - fetch_s).max(0.0));
    let missed = dues.iter().filter(|due| now > latest(**due)).count();
    // A time by which tasks start: what waits for longer has missed it.
    let objectives = site.settings.params.objectives.iter();
    let waits = objectives
        .filter(|o| !job.is_service() && o.kind == "wait" && o.class == job.spec.class)
        .filter_map(|o| o.within_s);
    let missed = missed
        + waits
            .filter(|within| now > job.arrived + Micros::from_secs((within - fetch_s).max(0.0)))
            .count();
    let last = dues.iter().copied().fold(0.0, f64::max);
    if now > latest(last) + YIELD {
        0
    } else {
        missed.min(255) as u8
    }
}

/// What each team holds: CPUs and GPUs of every record not yet void.
pub fn team_use(jobs: &BTreeMap<JobId, Job>) -> BTreeMap<String, (f64, f64)> {
    let mut held: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for job in jobs.values().filter(|j| j.held > 0) {
        let n = f64::from(job.held);
        if !held.contains_key(&job.spec.team) {
            held.insert(job.spec.team.clone(), (0.0, 0.0));
        }
        if let Some(e) = held.get_mut(&job.spec.team) {
            e.0 += n * job.spec.cpus;
            e.1 += n * job.spec.gpus;
        }
    }
    held
}

/// The zones a job's tasks are in; `None` when a record's zone is not known, in
/// which case a job with a rule about zones has to wait.
fn zones_of(job: &Job, machines: &BTreeMap<MachineId, Machine>) -> Option<BTreeMap<String, u32>> {
    let mut zones = BTreeMap::new();
    for p in job.holding() {
        let zone = machines
            .get(&p.machine)
            .map(|m| m.zone.clone())
            .filter(|z| !z.is_empty())?;
        *zones.entry(zone).or_default() += 1;
    }
    Some(zones)
}

impl Leader {
    /// How long without a report a machine still gets new work.
    pub fn work_silence(site: &Site) -> Micros {
        times::no_new_work(&site.settings.params.workers)
    }

    /// The kind of a machine of this type, zone and sort of rental.
    fn kind(&mut self, t: &MachineType, zone: &str, spot: bool) -> usize {
        let same = |k: &Kind| k.machine_type == t.name && k.zone == zone && k.spot == spot;
        self.kinds.iter().position(same).unwrap_or_else(|| {
            self.kinds.push(Kind {
                machine_type: t.name.clone(),
                zone: zone.into(),
                spot,
                cpus: t.cpus,
                gpus: t.gpus,
                memory: t.memory,
                fetch_gb_per_s: t.fetch_gb_per_s,
            });
            self.kinds.len() - 1
        })
    }

    /// Free room on the machines that take new work, in order of age.
    fn rooms(&mut self, site: &Site, now: Micros) -> Vec<Room> {
        let silent = Self::work_silence(site);
        let unknown: Vec<(MachineId, String, String, bool)> = self
            .machines
            .values()
            .filter(|m| m.kind.is_none() && !m.machine_type.is_empty())
            .map(|m| (m.name.clone(), m.machine_type.clone(), m.zone.clone(), m.spot))
            .collect();
        for (name, machine_type, zone, spot) in unknown {
            let Some(t) = site.catalogue.get(&machine_type) else {
                continue;
            };
            let kind = self.kind(t, &zone, spot);
            if let Some(m) = self.machines.get_mut(&name) {
                m.kind = Some(kind);
            }
        }
        let mut rooms = Vec::with_capacity(self.machines.len());
        for m in self.machines.values_mut() {
            m.room = None;
            if !m.takes_work(now, silent) || self.zones.is_cut(&m.zone) {
                continue;
            }
            let Some(kind) = m.kind else { continue };
            let k = &self.kinds[kind];
            m.room = Some(rooms.len());
            if m.tasks.is_empty() {
                m.until = Micros::ZERO;
                m.fetching.clear();
            }
            rooms.push(Room {
                name: m.name.clone(),
                kind,
                cpus: k.cpus - m.used[0],
                gpus: k.gpus - m.used[1],
                memory: k.memory - m.used[2],
                until: m.until,
                serves: m.services > 0,
                fetching: m.fetching.len(),
            });
        }
        rooms
    }

    /// Recomputes the estimate of demand and the split, at its period and when
    /// the number of slots changes.
    fn resize_pools(&mut self, site: &Site, rooms: &[Room], now: Micros) {
        let mut holding: BTreeMap<Rc<ClassKey>, f64> = BTreeMap::new();
        for job in self.jobs.values() {
            // What waits is demand as well: with machines that come and go the
            // slots held say only what was served.
            let waits = if job.may_run() && !job.is_suspect(now) {
                job.waiting.len()
            } else {
                0
            };
            let slots = (job.held as usize + waits) as f64 * f64::from(job.class.need);
            *holding.entry(job.class.clone()).or_default() += slots;
        }
        let half_life = site.settings.operator.estimate_s;
        self.estimate.observe(&holding, half_life, now);
        let mut demands = self.estimate.demands(&holding, half_life);
        // A backlog of low priority, however large, is split only what the
        // others leave: it would hold most of the slots against them otherwise.
        let higher: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.priority > Priority::Low)
            .map(|j| j.class.clone())
            .collect();
        let is_low = |c: &Rc<ClassKey>| holding.contains_key(c) && !higher.contains(c);
        let slots: f64 = rooms.iter().map(|r| self.kinds[r.kind].cpus).sum();
        let (mut low, mut rest) = (0.0, 0.0);
        for (class, demand) in &demands {
            *(if is_low(class) { &mut low } else { &mut rest }) += demand.load;
        }
        let left = (slots - rest).max(0.0);
        if low > left {
            for (class, demand) in &mut demands {
                if is_low(class) {
                    demand.load *= left / low;
                }
            }
        }
        self.pools.clear();
        for (i, gpu) in [false, true].into_iter().enumerate() {
            let k: f64 = rooms
                .iter()
                .map(|r| &self.kinds[r.kind])
                .map(|t| if gpu { t.gpus } else { t.cpus })
                .sum();
            let classes: Vec<_> = demands.iter().filter(|(c, _)| c.gpu == gpu).collect();
            let (sizes, _) = split(k as u32, &classes.iter().map(|(_, d)| *d).collect::<Vec<_>>());
            self.helpers[i] = (k as u32).saturating_sub(sizes.iter().sum());
            for ((class, _), size) in classes.into_iter().zip(sizes) {
                self.pools.insert(class.clone(), size);
            }
        }
    }

    /// Cores of ordinary machines kept free of arrays, so that a service starts
    /// without waiting for a boot.
    pub fn service_reserve(&self) -> f64 {
        let mut held = 0.0;
        let mut largest: f64 = 0.0;
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_service() && j.cancelled.is_none() && !j.blocked)
        {
            held += (job.held as usize + job.waiting.len()) as f64 * job.spec.cpus;
            largest = largest.max(job.spec.cpus);
        }
        (held * 0.15).max(2.0 * largest)
    }

    /// How long a machine that is up needs to have the image; nothing, if one
    /// has it already.
    fn fetch_s(&self, site: &Site, spec: &Spec) -> f64 {
        if self.image_at.get(spec.image.as_str()).is_some_and(|at| !at.is_empty()) {
            return 0.0;
        }
        let rates = site.catalogue.values().map(|t| t.fetch_gb_per_s);
        spec.image_gb / rates.fold(0.01, f64::max)
    }

    /// One scheduling pass.
    pub fn schedule(&mut self, sh: &mut Shared, site: &Site) {
        let now = sh.now;
        let due = if self.dirty {
            self.last_schedule + PASS
        } else {
            self.next_schedule
        };
        if now < due || site.catalogue.is_empty() {
            return;
        }
        self.dirty = false;
        self.last_schedule = now;
        self.next_schedule = now + Micros::from_millis(500);
        self.gather_room(site, now);
        let mut rooms = self.rooms(site, now);
        if now >= self.next_estimate {
            self.next_estimate = now + Micros::from_secs(1.0);
            self.resize_pools(site, &rooms, now);
        }
        let mut pass = Pass {
            held: team_use(&self.jobs),
            pool_used: BTreeMap::new(),
            helper_used: [0; 2],
            reserve: self.service_reserve(),
            service_free: rooms
                .iter()
                .filter(|r| r.serves && !self.kinds[r.kind].spot)
                .map(|r| r.cpus)
                .sum(),
            ordinary_free: rooms.iter().filter(|r| !self.kinds[r.kind].spot).map(|r| r.cpus).sum(),
            starts: 0,
            by_kind: vec![vec![]; self.kinds.len()],
            rooms: vec![],
            full: BTreeMap::new(),
            no_leftovers: BTreeMap::new(),
            excess: BTreeMap::new(),
            looks: 0,
            now,
        };
        for (i, room) in rooms.iter().enumerate() {
            pass.by_kind[room.kind].push(i);
        }
        pass.rooms.append(&mut rooms);
        for job in self.jobs.values().filter(|j| j.held > 0) {
            let class = &job.class;
            pass.helper_used[usize::from(class.gpu)] += job.on_helpers * class.need;
            *pass.pool_used.entry(class.clone()).or_default() += (job.held - job.on_helpers) * class.need;
        }
        let within = self.within_guarantee(site);
        let mut order: Vec<(Rank, JobId)> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty() && now >= j.not_before)
            .map(|j| {
                let first = within.contains(&j.id);
                let rank = (
                    j.is_suspect(now),
                    std::cmp::Reverse(j.priority),
                    !first,
                    lateness(site, j, self.fetch_s(site, &j.spec), now),
                    j.order,
                );
                (rank, j.id.clone())
            })
            .collect();
        order.sort();
        // Production does not wait for a split that is out of date, nor does
        // urgent work, with what it needs to be done first, nor work within its
        // team's guarantee for long. They come before all
        // others: room that was made for them must not be taken by what was
        // stopped.
        for (_, id) in &order {
            let Some(job) = self.jobs.get(id) else { continue };
            let guaranteed = within.contains(id) && now.since(job.arrived) >= GUARANTEE_PATIENCE;
            if job.priority >= Priority::High || guaranteed {
                self.start_job(&mut pass, site, id, Via::Pool);
                self.start_job(&mut pass, site, id, Via::Borrow(u32::MAX));
            }
        }
        // Pools, oldest first: this is also the pull of the paper's third rule,
        // since what waits for the helpers and what waits at all is one queue.
        for (_, id) in &order {
            self.start_job(&mut pass, site, id, Via::Pool);
        }
        // Helpers, first come first served. A job that no machine or its team's
        // limit has room for lets the next one pass: the paper's servers are
        // alike, ours are not.
        let mut closed = [false; 2];
        for (_, id) in &order {
            let gpu = self.jobs.get(id).is_some_and(|j| j.spec.gpus > 0.0);
            if !closed[usize::from(gpu)] && self.start_job(&mut pass, site, id, Via::Helper) {
                closed[usize::from(gpu)] = true;
            }
        }
        // Any other job may borrow once it has waited.
        let patience = Micros::from_secs(site.settings.operator.borrow_after_s);
        let queued: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty())
            .map(|j| j.class.clone())
            .collect();
        for (_, id) in &order {
            let Some(job) = self.jobs.get(id) else { continue };
            if now.since(job.arrived) >= patience {
                let gpu = job.spec.gpus > 0.0;
                let idle: u32 = self
                    .pools
                    .iter()
                    .filter(|(class, _)| class.gpu == gpu && !queued.contains(*class))
                    .map(|(class, size)| size.saturating_sub(pass.pool_used.get(class).copied().unwrap_or(0)) / 2)
                    .sum();
                let i = usize::from(gpu);
                let borrowed = pass.helper_used[i].saturating_sub(self.helpers[i]);
                self.start_job(&mut pass, site, id, Via::Borrow(idle.saturating_sub(borrowed)));
            }
        }
        for (team, held) in &pass.held {
            let over = held.0 - site.guarantee(team).0;
            pass.excess.insert(team.clone(), over);
        }
        // Room that was made shows in the reports of the machines it is on; to
        // look again before they come would find the same.
        let again = now >= self.next_room;
        if again {
            self.next_room = now + Micros::from_millis(200);
        }
        let any_low = self
            .jobs
            .values()
            .any(|j| j.held > 0 && j.priority == Priority::Low && !j.is_service());
        for (_, id) in order.iter().filter(|_| again) {
            if pass.looks > LOOKS {
                break;
            }
            let wants = self.jobs.get(id).is_some_and(|j| {
                if j.is_suspect(now) {
                    return false;
                }
                let waited = now.since(j.arrived) >= GUARANTEE_PATIENCE;
                // Others take room back from work of low priority.
                let higher = waited && any_low && j.priority > Priority::Low;
                !j.waiting.is_empty()
                    && (j.priority == Priority::Production
                        || (waited && (within.contains(id) || j.priority == Priority::High))
                        || higher)
            });
            if wants {
                self.make_room(&mut pass, site, id, &within);
            }
        }
        if pass.starts >= STARTS {
            self.dirty = true;
        }
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished ones.
    pub fn within_guarantee(&self, site: &Site) -> BTreeSet<JobId> {
        if site
            .settings
            .params
            .teams
            .iter()
            .all(|t| t.cpus <= 0.0 && t.gpus <= 0.0)
        {
            return BTreeSet::new();
        }
        let mut jobs: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.cancelled.is_none() && !j.blocked)
            .collect();
        jobs.sort_by_key(|j| j.version);
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for job in jobs {
            let left = f64::from(job.spec.tasks - job.finished);
            let sum = sums.entry(&job.spec.team).or_default();
            sum.0 += left * job.spec.cpus;
            sum.1 += left * job.spec.gpus;
            let (cpus, gpus) = site.guarantee(&job.spec.team);
            if sum.0 <= cpus + EPS && sum.1 <= gpus + EPS {
                within.insert(job.id.clone());
            }
        }
        within
    }

    /// Starts tasks of a job as far as budget, limits and machines allow.
    /// Returns whether the budget is what stopped it.
    fn start_job(&mut self, pass: &mut Pass, site: &Site, id: &JobId, via: Via) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let hurries = job.priority == Priority::Production
            && job.is_service()
            && pass.now.since(job.arrived) < IMAGE_PATIENCE
            && self.better_to_stop(&pass.rooms, job);
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let mut kinds: Option<[Vec<usize>; 2]> = None;
        let class = job.class.clone();
        let i = usize::from(class.gpu);
        let (max_cpus, max_gpus) = site.limits(&job.spec.team);
        // Where its tasks are matters to a rule about zones only; to find out looks at all of them.
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            let Some(known) = zones_of(job, &self.machines) else {
                return false;
            };
            zones = known;
        }
        let mut borrowed = 0;
        // A job that fails everywhere is tried with one task at a time.
        let suspect = job.is_suspect(pass.now);
        let leftovers = takes_leftovers(site, job, pass.now);
        while let Some(task) = job.waiting.first().copied() {
            if pass.starts >= STARTS || (suspect && job.held > 0) {
                return false;
            }
            let room = match via {
                Via::Pool => {
                    pass.pool_used.get(&class).copied().unwrap_or(0) + class.need
                        <= self.pools.get(&class).copied().unwrap_or(0)
                }
                Via::Helper => pass.helper_used[i] + class.need <= self.helpers[i],
                Via::Borrow(budget) => borrowed + class.need <= budget,
            };
            if !room {
                return true;
            }
            let held = pass.held.get(&job.spec.team).copied().unwrap_or_default();
            if held.0 + job.spec.cpus > max_cpus + EPS || held.1 + job.spec.gpus > max_gpus + EPS {
                return false;
            }
            let kinds = kinds.get_or_insert_with(|| Pass::kinds_for(&job.spec, &self.kinds));
            let image_at = self.image_at.get_key_value(job.spec.image.as_str());
            let at = image_at.map(|(_, at)| at);
            let Some((best, there)) = pass.best_room(
                job,
                leftovers,
                &zones,
                kinds,
                &self.kinds,
                at,
                &self.machines,
                &self.gathered,
            ) else {
                job.stuck_since.get_or_insert(pass.now);
                return false;
            };
            if hurries && !there {
                return false;
            }
            job.stuck_since = None;
            let image: Rc<str> = image_at.map_or_else(|| job.spec.image.as_str().into(), |(name, _)| name.clone());
            let room = &mut pass.rooms[best];
            room.cpus -= job.spec.cpus;
            room.gpus -= job.spec.gpus;
            room.memory -= job.spec.memory;
            room.until = room.until.max(pass.now + lasts(&job.spec));
            if !self.kinds[room.kind].spot {
                pass.ordinary_free -= job.spec.cpus;
                if room.serves {
                    pass.service_free -= job.spec.cpus;
                }
            }
            if job.is_service() && !room.serves {
                room.serves = true;
                if !self.kinds[room.kind].spot {
                    pass.service_free += room.cpus;
                }
            }
            let held = pass.held.entry(job.spec.team.clone()).or_default();
            held.0 += job.spec.cpus;
            held.1 += job.spec.gpus;
            let room = &pass.rooms[best];
            if job.spec.one_zone || job.spec.spread {
                *zones.entry(self.kinds[room.kind].zone.clone()).or_default() += 1;
            }
            match via {
                Via::Pool => *pass.pool_used.entry(class.clone()).or_default() += class.need,
                _ => pass.helper_used[i] += class.need,
            }
            borrowed += class.need;
            pass.starts += 1;
            let Some(machine) = self.machines.get_mut(&room.name) else {
                return false;
            };
            let part = task / self.chunk_tasks;
            let chunk = job.chunks.entry(part).or_default();
            chunk.last_attempt += 1;
            let queued = *chunk.queued.get_or_insert(job.priority);
            self.committer
                .starting
                .insert(QueuedStarts::new(queued, job.version, id.clone(), part));
            job.waiting.remove(&task);
            job.states[task as usize] = TaskState::Placed;
            job.placed.insert(
                task,
                Placement {
                    attempt: chunk.last_attempt,
                    machine: room.name.clone(),
                    session: machine.session,
                    fence: self.term,
                    stage: Stage::Committing,
                    sent: false,
                    stop: None,
                    stop_at: pass.now,
                    helper: !matches!(via, Via::Pool),
                    since: pass.now,
                    running_since: None,
                    restored: false,
                },
            );
            job.held += 1;
            if !matches!(via, Via::Pool) {
                job.on_helpers += 1;
            }
            machine.take(&job.spec, 1.0);
            machine.until = machine.until.max(room.until);
            machine.tasks.insert((id.clone(), task));
            machine.idle_since = None;
            if !there && machine.fetching.insert(image) {
                pass.rooms[best].fetching += 1;
            }
        }
        false
    }

    /// Stops work to make room for production, and for work within its team's
    /// guarantee, unless room is being made already. What was started last is
    /// stopped first: it loses the least.
    fn make_room(&mut self, pass: &mut Pass, site: &Site, id: &JobId, within: &BTreeSet<JobId>) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let priority = job.priority;
        let (max_cpus, max_gpus) = site.limits(&spec.team);
        let held = pass.held.get(&spec.team).copied().unwrap_or_default();
        let mut wanted = job.waiting.len().min(64);
        let mut victims: Vec<(JobId, u32)> = vec![];
        if held.0 + spec.cpus > max_cpus + EPS || held.1 + spec.gpus > max_gpus + EPS {
            // Only its own team's work stands in the way.
            if priority == Priority::Production {
                let fits = |r: &Room| r.fits(&spec) && self.allows(&spec, r);
                pass.looks += pass.rooms.len();
                if pass.rooms.iter().any(fits) {
                    victims = self.own_victims(&spec, priority, wanted);
                }
            }
        } else {
            let guaranteed = within.contains(id);
            let first: BTreeSet<usize> = match self.image_at.get(spec.image.as_str()) {
                Some(at) if job.is_service() => at
                    .iter()
                    .filter_map(|name| self.machines.get(name).and_then(|m| m.room))
                    .collect(),
                _ => BTreeSet::new(),
            };
            let rest = (0..pass.rooms.len()).filter(|i| !first.contains(i));
            for i in first.iter().copied().chain(rest) {
                if wanted == 0 {
                    break;
                }
                pass.looks += 1;
                if !self.allows(&spec, &pass.rooms[i]) || job.failed_on.contains(&pass.rooms[i].name) {
                    continue;
                }
                let room = &mut pass.rooms[i];
                let mut lower = self.victims(&room.name, |j, p| {
                    // What is stopped must still be done in its time.
                    let spare = priority == Priority::Production
                        || pass.now.since(p.since) < YOUNG
                        || takes_leftovers(site, j, pass.now);
                    (j.priority < priority && spare)
                        || (guaranteed
                            && pass.now.since(p.since) < YOUNG
                            && j.priority <= priority
                            && j.spec.team != spec.team
                            && !within.contains(&j.id)
                            && pass.excess.get(&j.spec.team).copied().unwrap_or(0.0) >= j.spec.cpus)
                });
                lower.reverse();
                while wanted > 0 {
                    let mut chosen = vec![];
                    while !room.fits(&spec) {
                        let Some(victim) = lower.pop() else { break };
                        room.cpus += victim.takes.0;
                        room.gpus += victim.takes.1;
                        room.memory += victim.takes.2;
                        if victim.fresh {
                            *pass.excess.entry(victim.team).or_default() -= victim.takes.0;
                            chosen.push((victim.job, victim.task));
                        }
                    }
                    if !room.fits(&spec) {
                        break;
                    }
                    room.cpus -= spec.cpus;
                    room.gpus -= spec.gpus;
                    room.memory -= spec.memory;
                    wanted -= 1;
                    victims.extend(chosen);
                }
            }
        }
        for (job, task) in victims {
            tracing::debug!(job = %job, task, for_job = %id, "stopped to make room");
            let grace = self.jobs.get(&job).map_or(0.0, |j| j.spec.save_s * 1.2);
            self.stop(&job, task, grace, pass.now);
        }
    }

    /// Whether a job's tasks may run there.
    fn allows(&self, spec: &Spec, room: &Room) -> bool {
        let k = &self.kinds[room.kind];
        allowed(spec, &k.machine_type, &k.zone, k.spot)
    }

    /// Tasks on a machine that may be stopped: those already asked to, then the
    /// lowest and youngest.
    fn victims(&self, machine: &MachineId, may: impl Fn(&Job, &Placement) -> bool) -> Vec<Victim> {
        let Some(m) = self.machines.get(machine) else {
            return vec![];
        };
        let mut list = vec![];
        for (id, task) in &m.tasks {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(p) = job.placed.get(task) else { continue };
            if p.stop.is_some() || (!matches!(p.stage, Stage::Exited(_)) && may(job, p)) {
                list.push(Victim {
                    fresh: p.stop.is_none(),
                    priority: job.priority,
                    since: p.since,
                    team: job.spec.team.clone(),
                    job: id.clone(),
                    task: *task,
                    takes: (job.spec.cpus, job.spec.gpus, job.spec.memory),
                });
            }
        }
        list.sort_by_key(|v| (v.fresh, v.priority, std::cmp::Reverse(v.since)));
        list
    }

    /// Work of lower priority of the job's own team, where the team's limit is
    /// what the job waits for.
    fn own_victims(&self, spec: &Spec, priority: Priority, wanted: usize) -> Vec<(JobId, u32)> {
        let mut list: Vec<Victim> = self
            .machines
            .keys()
            .flat_map(|m| self.victims(m, |j, _| j.priority < priority))
            .filter(|v| v.team == spec.team)
            .collect();
        list.sort_by_key(|v| (v.fresh, v.priority, std::cmp::Reverse(v.since)));
        let mut missing = spec.cpus * wanted as f64;
        let mut chosen = vec![];
        for v in list {
            if missing <= EPS {
                break;
            }
            missing -= v.takes.0;
            if v.fresh {
                chosen.push((v.job, v.task));
            }
        }
        chosen
    }

    /// Whether a machine that has the service's image could take it if work of
    /// lower priority stopped: faster than fetching the image elsewhere.
    fn better_to_stop(&self, rooms: &[Room], job: &Job) -> bool {
        let spec = &job.spec;
        let Some(at) = self.image_at.get(spec.image.as_str()) else {
            return false;
        };
        at.iter().filter_map(|name| self.machines.get(name)).any(|m| {
            let Some(room) = m.room.map(|i| &rooms[i]).filter(|r| self.allows(spec, r)) else {
                return false;
            };
            let (mut cpus, mut gpus, mut memory) = (room.cpus, room.gpus, room.memory);
            for (id, task) in &m.tasks {
                let Some(other) = self.jobs.get(id) else { continue };
                let Some(p) = other.placed.get(task) else { continue };
                let lower = other.priority < job.priority && !matches!(p.stage, Stage::Exited(_));
                if p.stop.is_some() || lower {
                    cpus += other.spec.cpus;
                    gpus += other.spec.gpus;
                    memory += other.spec.memory;
                }
            }
            cpus + EPS >= spec.cpus && gpus + EPS >= spec.gpus && memory + EPS >= spec.memory
        })
    }
}

/// A task that may be stopped to make room.
struct Victim {
    /// Not yet asked to stop.
    fresh: bool,
    priority: Priority,
    since: Micros,
    team: String,
    job: JobId,
    task: u32,
    /// CPUs, GPUs and memory it gives back.
    takes: (f64, f64, f64),
}

/// How much longer a machine is held because it has to fetch the image first, in
/// half steps: not at all if it has the image, hardly if it fetches it already for
/// another task, and the longer the more it has to fetch, since fetches share the
/// machine's rate.
fn fetch_steps(
    spec: &Spec,
    kind: &Kind,
    room: &Room,
    image_at: Option<&BTreeSet<MachineId>>,
    machines: &BTreeMap<MachineId, Machine>,
) -> u64 {
    if image_at.is_some_and(|at| at.contains(&room.name)) {
        return 0;
    }
    if room.fetching > 0 {
        let machine = machines.get(&room.name);
        if machine.is_some_and(|m| m.fetching.contains(spec.image.as_str())) {
            return 1;
        }
    }
    let fetch = Micros::from_secs(spec.image_gb / kind.fetch_gb_per_s.max(0.01));
    (fetch.0 / LONGER.0 + 1) * 2 * (1 + room.fetching as u64)
}

/// How long a task of this kind is expected to hold its machine. Nobody says it
/// of a service.
fn lasts(spec: &Spec) -> Micros {
    match spec.shape {
        Shape::Service => SERVICE_LASTS,
        Shape::Array => Micros::from_secs(spec.estimate_s),
    }
}

/// The order of the queue: whether the job fails everywhere, priority, whether beyond the team's guarantee,
/// how late beyond help, and age.
type Rank = (bool, std::cmp::Reverse<Priority>, bool, u8, u64);

/// Where a start is counted.
#[derive(Clone, Copy)]
enum Via {
    Pool,
    Helper,
    /// Up to so many slots of other pools.
    Borrow(u32),
}

/// What a task takes of a machine, in a form that can be compared exactly.
type Size = (u64, u64, u64);

/// What one scheduling pass keeps count of.
struct Pass {
    rooms: Vec<Room>,
    /// Rooms of each kind, in order of age.
    by_kind: Vec<Vec<usize>>,
    /// For tasks of a size, how many rooms of each kind from the first on are
    /// too full: room only gets less while work is started.
    full: BTreeMap<Size, Vec<usize>>,
    /// For tasks of a size that take leftovers, the shortest for which no
    /// ordinary machine was found in this pass.
    no_leftovers: BTreeMap<Size, f64>,
    /// CPUs that each team holds beyond its guarantee.
    excess: BTreeMap<String, f64>,
    held: BTreeMap<String, (f64, f64)>,
    pool_used: BTreeMap<Rc<ClassKey>, u32>,
    helper_used: [u32; 2],
    reserve: f64,
    ordinary_free: f64,
    /// The part of it beside services.
    service_free: f64,
    starts: usize,
    /// Machines looked at to make room.
    looks: usize,
    now: Micros,
}

impl Pass {
    /// The kinds a job may use, in groups: off spot machines only if need be;
    /// within a group the largest first, then always in the same order, so that
    /// the last machines of the order fall idle when there is less to do.
    fn kinds_for(spec: &Spec, kinds: &[Kind]) -> [Vec<usize>; 2] {
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
    fn best_room(
        &mut self,
        job: &Job,
        leftovers: bool,
        zones: &BTreeMap<String, u32>,
        groups: &[Vec<usize>; 2],
        kinds: &[Kind],
        image_at: Option<&BTreeSet<MachineId>>,
        machines: &BTreeMap<MachineId, Machine>,
        gathered: &Gathered,
    ) -> Option<(usize, bool)> {
        let spec = &job.spec;
        let suspect = job.is_suspect(self.now);
        let most = spec.tasks.div_ceil(2);
        let production = spec.priority >= Priority::Production;
        let keeps_reserve = self.ordinary_free - spec.cpus >= self.reserve - EPS;
        let kind_open = |k: &Kind| {
            (production || k.spot || keeps_reserve)
                && !(spec.one_zone && zones.keys().any(|z| *z != k.zone))
                && !(spec.spread && zones.get(&k.zone).copied().unwrap_or(0) >= most)
        };
        for group in groups {
            let open: Vec<usize> = group.iter().copied().filter(|k| kind_open(&kinds[*k])).collect();
            if job.is_service() {
                let cached = image_at.into_iter().flatten().filter_map(|name| {
                    let at = machines.get(name)?.room?;
                    let room = &self.rooms[at];
                    let place = open.iter().position(|k| *k == room.kind)?;
                    // Services keep together: their machines are the last that
                    // can be returned.
                    (room.fits(spec) && (suspect || !job.failed_on.contains(name))).then_some((place, !room.serves, at))
                });
                if let Some((_, _, at)) = cached.min() {
                    return Some((at, true));
                }
            }
            let size = (spec.cpus.to_bits(), spec.gpus.to_bits(), spec.memory.to_bits());
            let none_left = |k: &Kind| {
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
                    } else if !production && gathered.keeps_out(&room.name, &job.id) {
                        // Left to empty for another job.
                    } else if suspect || !job.failed_on.contains(&room.name) {
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
                        let fetch = fetch_steps(spec, &kinds[kind], room, image_at, machines);
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
                let there = image_at.is_some_and(|a| a.contains(&self.rooms[i].name));
                return Some((i, there));
            }
            if leftovers && ordinary {
                self.no_leftovers.insert(size, spec.estimate_s);
            }
        }
        None
    }
}
