//! Rules about one job: where it may run, when it has to start, and how long it is expected to run.
//!
//! The scheduler and provisioning call these functions of the job and the settings. The functions
//! change no state.

use super::super::state::{Job, Machine, MachineId};
use super::super::ClusterConfig;
use crate::protocol::users::{JobSpec, Priority, Shape};
use crate::time::Micros;
use std::collections::BTreeMap;

/// How long a replica of a service is expected to run.
const SERVICE_DURATION: Micros = Micros::from_millis(600_000);
/// How long after the latest start for its last deadline a late job ranks behind other jobs.
const MAX_LATE_DEMOTION: Micros = Micros::from_millis(120_000);
/// Low-priority work stops being best effort this long before its latest start.
const BEST_EFFORT_MARGIN: Micros = Micros::from_millis(60_000);
/// Low-priority work without a deadline stops being best effort this long after its arrival.
const MAX_BEST_EFFORT_WAIT: Micros = Micros::from_millis(150_000);

/// Whether a job's tasks may run on machines like this one.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    !machine_type.is_empty()
        && (spec.spot || !spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// The zones where a job's next task may start, given the zones of its other tasks; `None` means
/// any zone.
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
    let max_per_zone = job.spec.tasks.div_ceil(2);
    let open = |zone: &&String| zones.get(*zone).copied().unwrap_or(0) < max_per_zone;
    Some(all.iter().filter(open).cloned().collect())
}

/// When a job's last task must start for the job to meet its deadline and the operators'
/// objectives; `None` if it has neither.
pub fn latest_start(cluster: &ClusterConfig, job: &Job) -> Option<Micros> {
    let objectives = cluster.settings.params.objectives.iter();
    let within_s = objectives
        .filter(|o| o.kind == "finished" && o.class == job.spec.class)
        .filter_map(|o| o.within_s)
        .max_by(f64::total_cmp);
    let by_objective = within_s.map(|within_s| job.arrived_at + Micros::from_secs(within_s));
    let due = match (job.effective_deadline(), by_objective) {
        (Some(a), Some(b)) => a.min(b),
        (a, b) => a.or(b)?,
    };
    Some(due - Micros::from_secs(job.spec.estimate_s))
}

/// Whether a job is best effort and uses only capacity that other work leaves: low-priority work
/// that may use spot machines and is not late yet. On an on-demand machine a best-effort task starts
/// only where other work holds the machine at least as long.
pub fn is_best_effort(cluster: &ClusterConfig, job: &Job, now: Micros) -> bool {
    let late = match latest_start(cluster, job) {
        Some(at) => now + BEST_EFFORT_MARGIN >= at,
        None => now.since(job.arrived_at) > MAX_BEST_EFFORT_WAIT,
    };
    job.priority == Priority::Low && job.spec.spot && !late
}

/// Returns how many of its deadlines a job can no longer meet.
///
/// In the queue the job ranks behind jobs that can still meet their deadlines: starting it first
/// would make them late as well. [`MAX_LATE_DEMOTION`] after the latest start for its last
/// deadline, the job counts as missing none, so that it is not delayed without limit, and its age
/// decides again.
pub(super) fn missed_deadlines(cluster: &ClusterConfig, job: &Job, fetch_s: f64, now: Micros) -> u8 {
    let deadlines_s = completion_deadlines_s(cluster, job);
    let latest_start =
        |deadline_s: f64| job.arrived_at + Micros::from_secs((deadline_s - job.spec.estimate_s - fetch_s).max(0.0));
    let last_s = deadlines_s.iter().copied().fold(0.0, f64::max);
    if now > latest_start(last_s) + MAX_LATE_DEMOTION {
        return 0;
    }
    let completions = deadlines_s.iter().filter(|d| now > latest_start(**d)).count();
    // Deadlines for the start of tasks: a job that has waited for longer has missed them.
    let objectives = cluster.settings.params.objectives.iter();
    let starts = objectives
        .filter(|o| !job.is_service() && o.kind == "wait" && o.class == job.spec.class)
        .filter_map(|o| o.within_s)
        .filter(|within_s| now > job.arrived_at + Micros::from_secs((within_s - fetch_s).max(0.0)))
        .count();
    (completions + starts).min(255) as u8
}

/// The times by which a job should be done, in seconds after its arrival: by the operators'
/// objectives or, if there is none for its class, by its own deadline.
fn completion_deadlines_s(cluster: &ClusterConfig, job: &Job) -> Vec<f64> {
    let objectives = cluster.settings.params.objectives.iter();
    let mut deadlines_s: Vec<f64> = objectives
        .filter(|o| o.class == job.spec.class)
        .filter_map(|o| match o.kind.as_str() {
            "finished" => o.within_s,
            "deadline" => job.deadline_s(o.times.unwrap_or(1.0)),
            _ => None,
        })
        .collect();
    if deadlines_s.is_empty() {
        deadlines_s.extend(job.deadline_s(1.0));
    }
    deadlines_s
}

/// How many of a job's tasks are in each zone; `None` if the zone of one of them is not known, in
/// which case a job with a rule about zones has to wait.
pub(super) fn zones_of(job: &Job, machines: &BTreeMap<MachineId, Machine>) -> Option<BTreeMap<String, u32>> {
    let mut zones = BTreeMap::new();
    for placement in job.active_placements() {
        let zone = machines
            .get(&placement.machine)
            .map(|m| m.zone.clone())
            .filter(|z| !z.is_empty())?;
        *zones.entry(zone).or_default() += 1;
    }
    Some(zones)
}

/// How long a task of the job is expected to hold its machine. Services have no estimate.
pub(super) fn expected_duration(spec: &JobSpec) -> Micros {
    match spec.shape {
        Shape::Service => SERVICE_DURATION,
        Shape::Array => Micros::from_secs(spec.estimate_s),
    }
}
