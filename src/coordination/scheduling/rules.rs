//! Where a job may run, when it has to begin, and what its team holds.

use super::super::state::{Job, Machine, MachineId};
use super::super::{ClusterConfig, JobId};
use crate::protocol::users::{JobSpec, Priority, Shape};
use crate::time::Micros;
use std::collections::BTreeMap;

/// How long a service is taken to last.
const SERVICE_LASTS: Micros = Micros::from_millis(600_000);
/// How long a job that is late lets others go first.
const YIELD: Micros = Micros::from_millis(120_000);
/// How long before its latest start, or after its arrival if nobody expects it
/// at any time, work of low priority takes any room.
const LEFTOVER_MARGIN: Micros = Micros::from_millis(60_000);
const LEFTOVER_PATIENCE: Micros = Micros::from_millis(150_000);

/// Whether a job's tasks may run on machines like this one.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
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
pub fn latest_start(cluster: &ClusterConfig, job: &Job) -> Option<Micros> {
    let by_objective = cluster
        .settings
        .params
        .objectives
        .iter()
        .filter(|o| o.kind == "finished" && o.class == job.spec.class)
        .filter_map(|o| o.within_s)
        .max_by(f64::total_cmp);
    let by_objective = by_objective.map(|within| job.arrived_at + Micros::from_secs(within));
    let due = match (job.effective_deadline(), by_objective) {
        (Some(a), Some(b)) => a.min(b),
        (a, b) => a.or(b)?,
    };
    Some(due - Micros::from_secs(job.spec.estimate_s))
}

/// Whether a job takes only what others leave: work of low priority that may use
/// spot machines and still has the time. On an ordinary machine it starts where
/// other work keeps the machine at least as long.
pub fn is_best_effort(cluster: &ClusterConfig, job: &Job, now: Micros) -> bool {
    let late = match latest_start(cluster, job) {
        Some(at) => now + LEFTOVER_MARGIN >= at,
        None => now.since(job.arrived_at) > LEFTOVER_PATIENCE,
    };
    job.priority == Priority::Low && job.spec.spot && !late
}

/// How many of the times by which a job should be done it can no longer keep.
/// It lets others go first that can: time spent on it would make them late as
/// well. Not for ever: after a while its age counts again.
pub(super) fn lateness(cluster: &ClusterConfig, job: &Job, fetch_s: f64, now: Micros) -> u8 {
    let objectives = cluster.settings.params.objectives.iter();
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
    let latest = |due: f64| job.arrived_at + Micros::from_secs((due - job.spec.estimate_s - fetch_s).max(0.0));
    let missed = dues.iter().filter(|due| now > latest(**due)).count();
    // A time by which tasks start: what waits for longer has missed it.
    let objectives = cluster.settings.params.objectives.iter();
    let waits = objectives
        .filter(|o| !job.is_service() && o.kind == "wait" && o.class == job.spec.class)
        .filter_map(|o| o.within_s);
    let missed = missed
        + waits
            .filter(|within| now > job.arrived_at + Micros::from_secs((within - fetch_s).max(0.0)))
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
    for job in jobs.values().filter(|j| j.held_tasks > 0) {
        let n = f64::from(job.held_tasks);
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
pub(super) fn zones_of(job: &Job, machines: &BTreeMap<MachineId, Machine>) -> Option<BTreeMap<String, u32>> {
    let mut zones = BTreeMap::new();
    for p in job.active_placements() {
        let zone = machines
            .get(&p.machine)
            .map(|m| m.zone.clone())
            .filter(|z| !z.is_empty())?;
        *zones.entry(zone).or_default() += 1;
    }
    Some(zones)
}

/// How long a task of this kind is expected to hold its machine. Nobody says it
/// of a service.
pub(super) fn lasts(spec: &JobSpec) -> Micros {
    match spec.shape {
        Shape::Service => SERVICE_LASTS,
        Shape::Array => Micros::from_secs(spec.estimate_s),
    }
}

/// The order of the queue: whether the job fails everywhere, priority, whether beyond the team's guarantee,
/// how late beyond help, and age.
pub(super) type Rank = (bool, std::cmp::Reverse<Priority>, bool, u8, u64);
