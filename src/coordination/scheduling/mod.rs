//! The scheduler: which waiting tasks start, where, and what is preempted for them.
//!
//! Balanced Splitting: each class of jobs has a pool of slots, the remaining slots are the helpers,
//! shared first come, first served, and a job that has waited may borrow idle slots of other pools.
//! On top of that come priorities, team quotas, gang and zone rules, and preemption.
//!
//! The leader calls [`LeaderState::schedule`] on every tick; it runs a pass when one is due. The
//! scheduler decides in memory only: the log commits its placements and the agents' outboxes send
//! them. The scheduler must do no I/O and must start no task that a team's limit does not admit.
//!
//! Invariant: within a pass each decision uses the counts that the earlier decisions left.

mod best_fit;
mod candidates;
mod pass;
mod pool_sizing;
pub mod pools;
mod preemption;
mod queue;
mod quota;
mod rules;
mod starts;

use super::state::ROUNDING_TOLERANCE as EPSILON;
use super::state::{LeaderState, MachineKind};
use super::{timing, ClusterConfig, Context};
use crate::protocol::users::Priority;
use crate::time::Micros;
use candidates::CandidateMachine;
use pass::{Pass, SlotSource};
use pools::{ClassKey, Estimate};
use queue::JobQueue;
pub use quota::{orphaned_attempt_specs, usage_by_team, TeamUsage};
pub use rules::{allowed, is_best_effort, latest_start, open_zones};
use starts::StartOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of tasks started in one pass; the remaining tasks start in the next pass, which
/// runs after [`MIN_PASS_INTERVAL`].
const MAX_STARTS: usize = 400;
/// The least time between two passes: changes within it are handled together.
const MIN_PASS_INTERVAL: Micros = Micros::from_millis(40);
/// The time after which a pass runs although nothing has changed.
const MAX_PASS_INTERVAL: Micros = Micros::from_millis(500);
/// The time between two estimates of demand, in seconds.
const ESTIMATE_INTERVAL_S: f64 = 1.0;
/// The time between two attempts at preemption.
const PREEMPTION_INTERVAL: Micros = Micros::from_millis(200);
/// Number of examined machines after which a pass attempts no preemption for further jobs; these
/// jobs wait for the next attempt.
const MAX_PREEMPTION_EXAMINED: usize = 4000;
/// Work within its team's guarantee waits this long for capacity to become idle before it may use
/// slots outside its pool and preempt work beyond other teams' guarantees. Other work below
/// production waits for the same time before it may preempt.
const GUARANTEE_WAIT: Micros = Micros::from_millis(1500);
/// A service waits this long for a machine that has its image.
const IMAGE_WAIT: Micros = Micros::from_millis(2000);
/// Fraction of the cores of all services that is kept free for their next replicas.
const SERVICE_RESERVE_FRACTION: f64 = 0.15;

/// Numbers of slots: a slot is a core, or a GPU for work that uses GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotCounts {
    /// Slots that are cores.
    pub(super) cores: u32,
    /// Slots that are GPUs.
    pub(super) gpus: u32,
}

impl SlotCounts {
    /// The number of GPU slots, or of core slots.
    fn of(&self, gpu: bool) -> u32 {
        if gpu {
            self.gpus
        } else {
            self.cores
        }
    }

    fn of_mut(&mut self, gpu: bool) -> &mut u32 {
        if gpu {
            &mut self.gpus
        } else {
            &mut self.cores
        }
    }
}

/// The state that the scheduler keeps between passes.
pub struct Scheduler {
    estimate: Estimate,
    next_estimate_at: Micros,
    /// Slots of each class's pool.
    pub(super) pools: BTreeMap<Rc<ClassKey>, u32>,
    /// Slots in no pool.
    pub(super) helpers: SlotCounts,
    /// Kinds of machines seen so far; a machine refers to its kind by index.
    kinds: Vec<MachineKind>,
    /// When a pass is due at the latest.
    next_pass_at: Micros,
    last_pass_at: Micros,
    /// When work may be preempted again.
    next_preemption_at: Micros,
}

impl Scheduler {
    /// Creates a scheduler without pools and kinds, whose first pass is due at once.
    pub fn new(now: Micros) -> Scheduler {
        Scheduler {
            estimate: Estimate::default(),
            next_estimate_at: now,
            pools: BTreeMap::new(),
            helpers: SlotCounts::default(),
            kinds: vec![],
            next_pass_at: now,
            last_pass_at: Micros::ZERO,
            next_preemption_at: now,
        }
    }
}

impl LeaderState {
    /// How long after its last heartbeat a machine still gets new work.
    pub fn max_heartbeat_age(cluster: &ClusterConfig) -> Micros {
        timing::no_new_work_timeout(&cluster.settings.params.workers)
    }

    /// Runs a scheduling pass if one is due: starts what can start, in the order of the queue, and
    /// preempts work for what cannot.
    pub fn schedule(&mut self, context: &mut Context, cluster: &ClusterConfig) {
        let now = context.now;
        if now < self.next_pass_due() || cluster.catalogue.is_empty() {
            return;
        }
        self.needs_scheduling = false;
        self.scheduler.last_pass_at = now;
        self.scheduler.next_pass_at = now + MAX_PASS_INTERVAL;
        self.reserve_machines(cluster, now);
        let candidates = self.candidates(cluster, now);
        self.resize_pools_if_due(cluster, &candidates, now);
        let mut pass = self.new_pass(candidates, now);
        let queue = self.job_queue(cluster, now);
        // Urgent jobs come first, so that preempted tasks do not take the capacity that was freed
        // for these jobs.
        self.start_urgent(&mut pass, cluster, &queue);
        self.start_in_pools(&mut pass, cluster, &queue);
        self.start_on_helpers(&mut pass, cluster, &queue);
        self.start_on_borrowed_slots(&mut pass, cluster, &queue);
        self.preempt_if_due(&mut pass, cluster, &queue);
        if pass.starts >= MAX_STARTS {
            self.needs_scheduling = true;
        }
    }

    fn next_pass_due(&self) -> Micros {
        if self.needs_scheduling {
            self.scheduler.last_pass_at + MIN_PASS_INTERVAL
        } else {
            self.scheduler.next_pass_at
        }
    }

    fn resize_pools_if_due(&mut self, cluster: &ClusterConfig, candidates: &[CandidateMachine], now: Micros) {
        if now >= self.scheduler.next_estimate_at {
            self.scheduler.next_estimate_at = now + Micros::from_secs(ESTIMATE_INTERVAL_S);
            self.resize_pools(cluster, candidates, now);
        }
    }

    /// Starts production and high-priority work, and work within its team's guarantee that has
    /// waited, in its pool or on any other slots: this work does not wait until an outdated split
    /// into pools is recomputed.
    fn start_urgent(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        for id in &queue.order {
            let Some(job) = self.jobs.get(id) else { continue };
            let waited = pass.now.since(job.arrived_at) >= GUARANTEE_WAIT;
            let guaranteed = queue.guaranteed.contains(id) && waited;
            if job.priority >= Priority::High || guaranteed {
                self.start_job(pass, cluster, id, SlotSource::Pool);
                self.start_job(pass, cluster, id, SlotSource::Borrowed { max_slots: u32::MAX });
            }
        }
    }

    /// Starts jobs for which their class's pool has slots, in the order of the queue. The jobs that
    /// wait for the helpers and all other waiting jobs form one queue, so this step also covers the
    /// paper's third rule, by which a pool pulls jobs that wait for the helpers.
    fn start_in_pools(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        for id in &queue.order {
            self.start_job(pass, cluster, id, SlotSource::Pool);
        }
    }

    /// Starts jobs for which the helpers have slots, first come, first served. A job that fits on
    /// no machine or exceeds its team's limit does not block the jobs behind it: the paper's
    /// servers are identical, these machines are not.
    fn start_on_helpers(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        let mut exhausted = BTreeSet::new();
        for id in &queue.order {
            let gpu = self.jobs.get(id).is_some_and(|j| j.spec.gpus > 0.0);
            if !exhausted.contains(&gpu)
                && self.start_job(pass, cluster, id, SlotSource::Helpers) == StartOutcome::OutOfSlots
            {
                exhausted.insert(gpu);
            }
        }
    }

    /// Starts jobs that have waited for the configured time (`borrow_after_s`) on idle slots of
    /// pools whose classes have no waiting tasks.
    fn start_on_borrowed_slots(&mut self, pass: &mut Pass, cluster: &ClusterConfig, queue: &JobQueue) {
        let min_wait = Micros::from_secs(cluster.settings.operator.borrow_after_s);
        let queued_classes: BTreeSet<Rc<ClassKey>> = self
            .jobs
            .values()
            .filter(|j| j.may_run() && !j.waiting.is_empty())
            .map(|j| j.class.clone())
            .collect();
        for id in &queue.order {
            let Some(job) = self.jobs.get(id) else { continue };
            if pass.now.since(job.arrived_at) >= min_wait {
                let max_slots = self.borrowable_slots(pass, job.spec.gpus > 0.0, &queued_classes);
                self.start_job(pass, cluster, id, SlotSource::Borrowed { max_slots });
            }
        }
    }

    /// Half the idle slots of pools whose classes have no waiting tasks, less the slots that are
    /// already borrowed.
    fn borrowable_slots(&self, pass: &Pass, gpu: bool, queued_classes: &BTreeSet<Rc<ClassKey>>) -> u32 {
        let pools = self.scheduler.pools.iter();
        let idle: u32 = pools
            .filter(|(class, _)| class.gpu == gpu && !queued_classes.contains(*class))
            .map(|(class, size)| size.saturating_sub(pass.pool_slots_used(class)) / 2)
            .sum();
        let borrowed = pass
            .helper_slots_used
            .of(gpu)
            .saturating_sub(self.scheduler.helpers.of(gpu));
        idle.saturating_sub(borrowed)
    }

    /// Number of cores on on-demand machines that are kept free of arrays, so that a service starts
    /// without waiting for a machine to boot.
    pub fn service_reserve(&self) -> f64 {
        let mut service_cpus = 0.0;
        let mut largest: f64 = 0.0;
        let services = self
            .jobs
            .values()
            .filter(|j| j.is_service() && j.cancelled_at.is_none() && !j.blocked);
        for job in services {
            service_cpus += (job.held_tasks as usize + job.waiting.len()) as f64 * job.spec.cpus;
            largest = largest.max(job.spec.cpus);
        }
        (service_cpus * SERVICE_RESERVE_FRACTION).max(2.0 * largest)
    }
}
