//! Where and when tasks start: pools, helpers first come first served, oldest
//! first pulls, borrowing, and room made for production.

mod candidates;
pub mod pools;
mod preemption;
mod quota;
mod rules;

use super::decision_log::Decided;
use super::log::queues::QueuedStarts;
use super::state::{Job, LeaderState, MachineKind, Placement, PlacementPhase, TaskState};
use super::{timing, ClusterConfig, Context, JobId};
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use candidates::CandidateMachine;
use pools::{split, ClassKey, Estimate};
pub use quota::unexplained;
use quota::QuotaLedger;
pub use rules::{allowed, is_best_effort, latest_start, open_zones, team_use};
use rules::{lasts, lateness, zones_of, Rank};
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
/// Work within its team's guarantee waits this long for room to fall idle before
/// work beyond other guarantees is stopped for it.
const GUARANTEE_PATIENCE: Micros = Micros::from_millis(1500);
/// A service waits this long for room where its image is.
const IMAGE_PATIENCE: Micros = Micros::from_millis(2000);

/// What the scheduler keeps between its passes.
pub struct Scheduler {
    estimate: Estimate,
    next_estimate: Micros,
    /// Slots of each class's pool.
    pub(super) pools: BTreeMap<Rc<ClassKey>, u32>,
    /// Helper slots: cores, and GPUs.
    pub(super) helpers: [u32; 2],
    /// Kinds of machines that were seen; machines name theirs by index.
    kinds: Vec<MachineKind>,
    next_pass: Micros,
    last_pass: Micros,
    /// When work may be preempted again.
    next_preemption: Micros,
}

impl Scheduler {
    /// No pools, no kinds; the first pass is due at once.
    pub fn new(now: Micros) -> Scheduler {
        Scheduler {
            estimate: Estimate::default(),
            next_estimate: now,
            pools: BTreeMap::new(),
            helpers: [0, 0],
            kinds: vec![],
            next_pass: now,
            last_pass: Micros::ZERO,
            next_preemption: now,
        }
    }
}

impl LeaderState {
    /// How long without a report a machine still gets new work.
    pub fn work_silence(cluster: &ClusterConfig) -> Micros {
        timing::no_new_work(&cluster.settings.params.workers)
    }

    /// Recomputes the estimate of demand and the split, at its period and when
    /// the number of slots changes.
    fn resize_pools(&mut self, cluster: &ClusterConfig, rooms: &[CandidateMachine], now: Micros) {
        let mut active_placements: BTreeMap<Rc<ClassKey>, f64> = BTreeMap::new();
        for job in self.jobs.values() {
            // What waits is demand as well: with machines that come and go the
            // slots held say only what was served.
            let waits = if job.may_run() && !job.is_suspect(now) {
                job.waiting.len()
            } else {
                0
            };
            let slots = (job.held_tasks as usize + waits) as f64 * f64::from(job.class.need);
            *active_placements.entry(job.class.clone()).or_default() += slots;
        }
        let half_life = cluster.settings.operator.estimate_s;
        self.scheduler.estimate.observe(&active_placements, half_life, now);
        let mut demands = self.scheduler.estimate.demands(&active_placements, half_life);
        // A backlog of low priority, however large, is split only what the
        // others leave: it would hold most of the slots against them otherwise.
        let higher: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.priority > Priority::Low)
            .map(|j| j.class.clone())
            .collect();
        let is_low = |c: &Rc<ClassKey>| active_placements.contains_key(c) && !higher.contains(c);
        let slots: f64 = rooms.iter().map(|r| self.scheduler.kinds[r.kind].cpus).sum();
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
        self.scheduler.pools.clear();
        for (i, gpu) in [false, true].into_iter().enumerate() {
            let k: f64 = rooms
                .iter()
                .map(|r| &self.scheduler.kinds[r.kind])
                .map(|t| if gpu { t.gpus } else { t.cpus })
                .sum();
            let classes: Vec<_> = demands.iter().filter(|(c, _)| c.gpu == gpu).collect();
            let (sizes, _) = split(k as u32, &classes.iter().map(|(_, d)| *d).collect::<Vec<_>>());
            self.scheduler.helpers[i] = (k as u32).saturating_sub(sizes.iter().sum());
            for ((class, _), size) in classes.into_iter().zip(sizes) {
                self.scheduler.pools.insert(class.clone(), size);
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
            .filter(|j| j.is_service() && j.cancelled_at.is_none() && !j.blocked)
        {
            held += (job.held_tasks as usize + job.waiting.len()) as f64 * job.spec.cpus;
            largest = largest.max(job.spec.cpus);
        }
        (held * 0.15).max(2.0 * largest)
    }

    /// How long a machine that is up needs to have the image; nothing, if one
    /// has it already.
    fn fetch_s(&self, cluster: &ClusterConfig, spec: &JobSpec) -> f64 {
        if self
            .image_locations
            .get(spec.image.as_str())
            .is_some_and(|at| !at.is_empty())
        {
            return 0.0;
        }
        let rates = cluster.catalogue.values().map(|t| t.fetch_gb_per_s);
        spec.image_gb / rates.fold(0.01, f64::max)
    }

    /// One scheduling pass.
    pub fn schedule(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let now = context.now;
        let due = if self.needs_scheduling {
            self.scheduler.last_pass + PASS
        } else {
            self.scheduler.next_pass
        };
        if now < due || cluster.catalogue.is_empty() {
            return;
        }
        self.needs_scheduling = false;
        self.scheduler.last_pass = now;
        self.scheduler.next_pass = now + Micros::from_millis(500);
        self.reserve_machines(cluster, now);
        let mut rooms = self.rooms(cluster, now);
        if now >= self.scheduler.next_estimate {
            self.scheduler.next_estimate = now + Micros::from_secs(1.0);
            self.resize_pools(cluster, &rooms, now);
        }
        let mut pass = Pass {
            held: QuotaLedger::of(&self.jobs, &self.machines),
            pool_used: BTreeMap::new(),
            helper_used: [0; 2],
            reserve: self.service_reserve(),
            service_free: rooms
                .iter()
                .filter(|r| r.serves && !self.scheduler.kinds[r.kind].spot)
                .map(|r| r.cpus)
                .sum(),
            ordinary_free: rooms
                .iter()
                .filter(|r| !self.scheduler.kinds[r.kind].spot)
                .map(|r| r.cpus)
                .sum(),
            starts: 0,
            by_kind: vec![vec![]; self.scheduler.kinds.len()],
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
        for job in self.jobs.values().filter(|j| j.held_tasks > 0) {
            let class = &job.class;
            pass.helper_used[usize::from(class.gpu)] += job.held_helper_tasks * class.need;
            *pass.pool_used.entry(class.clone()).or_default() += (job.held_tasks - job.held_helper_tasks) * class.need;
        }
        let within = self.within_guarantee(cluster);
        let mut order: Vec<(Rank, JobId)> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty() && now >= j.backoff_until)
            .map(|j| {
                let first = within.contains(&j.id);
                let rank = (
                    j.is_suspect(now),
                    std::cmp::Reverse(j.priority),
                    !first,
                    lateness(cluster, j, self.fetch_s(cluster, &j.spec), now),
                    j.queue_order,
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
            let guaranteed = within.contains(id) && now.since(job.arrived_at) >= GUARANTEE_PATIENCE;
            if job.priority >= Priority::High || guaranteed {
                self.start_job(&mut pass, cluster, id, Via::Pool);
                self.start_job(&mut pass, cluster, id, Via::Borrow(u32::MAX));
            }
        }
        // Pools, oldest first: this is also the pull of the paper's third rule,
        // since what waits for the helpers and what waits at all is one queue.
        for (_, id) in &order {
            self.start_job(&mut pass, cluster, id, Via::Pool);
        }
        // Helpers, first come first served. A job that no machine or its team's
        // limit has room for lets the next one pass: the paper's servers are
        // alike, ours are not.
        let mut closed = [false; 2];
        for (_, id) in &order {
            let gpu = self.jobs.get(id).is_some_and(|j| j.spec.gpus > 0.0);
            if !closed[usize::from(gpu)] && self.start_job(&mut pass, cluster, id, Via::Helper) {
                closed[usize::from(gpu)] = true;
            }
        }
        // Any other job may borrow once it has waited.
        let patience = Micros::from_secs(cluster.settings.operator.borrow_after_s);
        let queued: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty())
            .map(|j| j.class.clone())
            .collect();
        for (_, id) in &order {
            let Some(job) = self.jobs.get(id) else { continue };
            if now.since(job.arrived_at) >= patience {
                let gpu = job.spec.gpus > 0.0;
                let idle: u32 = self
                    .scheduler
                    .pools
                    .iter()
                    .filter(|(class, _)| class.gpu == gpu && !queued.contains(*class))
                    .map(|(class, size)| size.saturating_sub(pass.pool_used.get(class).copied().unwrap_or(0)) / 2)
                    .sum();
                let i = usize::from(gpu);
                let borrowed = pass.helper_used[i].saturating_sub(self.scheduler.helpers[i]);
                self.start_job(&mut pass, cluster, id, Via::Borrow(idle.saturating_sub(borrowed)));
            }
        }
        for (team, held) in pass.held.teams() {
            let over = held.0 - cluster.guarantee(team).0;
            pass.excess.insert(team.clone(), over);
        }
        // Room that was made shows in the reports of the machines it is on; to
        // look again before they come would find the same.
        let again = now >= self.scheduler.next_preemption;
        if again {
            self.scheduler.next_preemption = now + Micros::from_millis(200);
        }
        let any_low = self
            .jobs
            .values()
            .any(|j| j.held_tasks > 0 && j.priority == Priority::Low && !j.is_service());
        for (_, id) in order.iter().filter(|_| again) {
            if pass.looks > LOOKS {
                break;
            }
            let wants = self.jobs.get(id).is_some_and(|j| {
                if j.is_suspect(now) {
                    return false;
                }
                let waited = now.since(j.arrived_at) >= GUARANTEE_PATIENCE;
                // Others take room back from work of low priority.
                let higher = waited && any_low && j.priority > Priority::Low;
                !j.waiting.is_empty()
                    && (j.priority == Priority::Production
                        || (waited && (within.contains(id) || j.priority == Priority::High))
                        || higher)
            });
            if wants {
                self.preempt_for(&mut pass, cluster, id, &within);
            }
        }
        if pass.starts >= STARTS {
            self.needs_scheduling = true;
        }
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished ones.
    pub fn within_guarantee(&self, cluster: &ClusterConfig) -> BTreeSet<JobId> {
        if cluster
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
            .filter(|j| j.cancelled_at.is_none() && !j.blocked)
            .collect();
        jobs.sort_by_key(|j| j.acceptance_revision);
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for job in jobs {
            let left = f64::from(job.spec.tasks - job.finished_tasks);
            let sum = sums.entry(&job.spec.team).or_default();
            sum.0 += left * job.spec.cpus;
            sum.1 += left * job.spec.gpus;
            let (cpus, gpus) = cluster.guarantee(&job.spec.team);
            if sum.0 <= cpus + EPS && sum.1 <= gpus + EPS {
                within.insert(job.id.clone());
            }
        }
        within
    }

    /// Starts tasks of a job as far as budget, limits and machines allow.
    /// Returns whether the budget is what stopped it.
    fn start_job(&mut self, pass: &mut Pass, cluster: &ClusterConfig, id: &JobId, via: Via) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let hurries = job.priority == Priority::Production
            && job.is_service()
            && pass.now.since(job.arrived_at) < IMAGE_PATIENCE
            && self.better_to_stop(&pass.rooms, job);
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let mut kinds: Option<[Vec<usize>; 2]> = None;
        let class = job.class.clone();
        let i = usize::from(class.gpu);
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
        let leftovers = is_best_effort(cluster, job, pass.now);
        while let Some(task) = job.waiting.first().copied() {
            if pass.starts >= STARTS || (suspect && job.held_tasks > 0) {
                return false;
            }
            let room = match via {
                Via::Pool => {
                    pass.pool_used.get(&class).copied().unwrap_or(0) + class.need
                        <= self.scheduler.pools.get(&class).copied().unwrap_or(0)
                }
                Via::Helper => pass.helper_used[i] + class.need <= self.scheduler.helpers[i],
                Via::Borrow(budget) => borrowed + class.need <= budget,
            };
            if !room {
                return true;
            }
            if !pass.held.admits(cluster, &job.spec) {
                return false;
            }
            let kinds = kinds.get_or_insert_with(|| Pass::kinds_for(&job.spec, &self.scheduler.kinds));
            let image_locations = self.image_locations.get_key_value(job.spec.image.as_str());
            let at = image_locations.map(|(_, at)| at);
            let Some((best, there)) = pass.best_fit(
                job,
                leftovers,
                &zones,
                kinds,
                &self.scheduler.kinds,
                at,
                &self.machines,
                &self.reservations,
            ) else {
                job.unplaceable_since.get_or_insert(pass.now);
                return false;
            };
            if hurries && !there {
                return false;
            }
            job.unplaceable_since = None;
            let image: Rc<str> =
                image_locations.map_or_else(|| job.spec.image.as_str().into(), |(name, _)| name.clone());
            let room = &mut pass.rooms[best];
            room.cpus -= job.spec.cpus;
            room.gpus -= job.spec.gpus;
            room.memory -= job.spec.memory;
            room.until = room.until.max(pass.now + lasts(&job.spec));
            if !self.scheduler.kinds[room.kind].spot {
                pass.ordinary_free -= job.spec.cpus;
                if room.serves {
                    pass.service_free -= job.spec.cpus;
                }
            }
            if job.is_service() && !room.serves {
                room.serves = true;
                if !self.scheduler.kinds[room.kind].spot {
                    pass.service_free += room.cpus;
                }
            }
            let held = pass.held.of_team(&job.spec.team);
            pass.held.charge(&job.spec);
            let room = &pass.rooms[best];
            if job.spec.one_zone || job.spec.spread {
                *zones.entry(self.scheduler.kinds[room.kind].zone.clone()).or_default() += 1;
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
            let part = task / self.tasks_per_range;
            let chunk = job.task_ranges.entry(part).or_default();
            chunk.last_attempt += 1;
            let queued = *chunk.queued_priority.get_or_insert(job.priority);
            self.log_writer
                .starting
                .insert(QueuedStarts::new(queued, job.acceptance_revision, id.clone(), part));
            job.waiting.remove(&task);
            job.states[task as usize] = TaskState::Placed;
            let placement = Placement {
                attempt: chunk.last_attempt,
                machine: room.name.clone(),
                incarnation: machine.incarnation,
                fencing_token: self.term,
                phase: PlacementPhase::Committing,
                sent: false,
                stop_grace_s: None,
                stop_requested_at: pass.now,
                on_helper_machine: !matches!(via, Via::Pool),
                placed_at: pass.now,
                running_since: None,
                restored: false,
            };
            let limit = cluster.limits(&job.spec.team);
            tracing::debug!(
                job = %id,
                task,
                attempt = placement.attempt,
                machine = %placement.machine,
                team = job.spec.team,
                held_cpus = held.0,
                held_gpus = held.1,
                limit_cpus = limit.0,
                limit_gpus = limit.1,
                term = self.term,
                "start allowed"
            );
            let decided = Decided::Start { held, limit };
            self.invariants
                .decisions
                .note(job.decision(task, &placement, decided, pass.now));
            job.placements.insert(task, placement);
            job.hold_task(!matches!(via, Via::Pool));
            machine.expected_idle_at = machine.expected_idle_at.max(room.until);
            machine.add_task(id, task, &job.spec);
            machine.idle_since = None;
            if !there && machine.fetching_images.insert(image) {
                pass.rooms[best].fetching += 1;
            }
        }
        false
    }
}

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
    rooms: Vec<CandidateMachine>,
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
    held: QuotaLedger,
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
