//! Runs one plan: starts the cluster, injects the faults, audits the jobs and writes the outcome.

use super::draw;
use super::inject::inject;
use super::outcome::{error_lines, Outcome};
use super::plan::Plan;
use super::users::{ask, run_user, CancelTiming};
use crate::cluster::EmulatedCluster;
use crate::controllers::Controllers;
use crate::errors::EmulatorError;
use crate::experiment::{seconds, Load};
use crate::load::{spec, JobNumbers};
use crate::scale::{create_machines, serve, KillOnDrop, Services};
use crate::{forward, preflight};
use async_io::Timer;
use futures_lite::FutureExt;
use glenhaven_fakes::user::{RequestKind, User};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which interrupts and the controller processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Sleep with which the emulator's lag is measured: the lag is the time overslept.
const LAG_PROBE_SLEEP: Duration = Duration::from_millis(50);
/// Interval of the checks for stranded jobs.
const STRANDED_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which each controller must answer about each accepted job after the faults.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest number of accepted jobs in the audit at the end.
const MAX_AUDITED_JOBS: usize = 200;
/// Audit requests that are in flight at the same time.
const MAX_REQUESTS_IN_FLIGHT: usize = 16;
/// Longest time from submission to cancellation, in seconds.
const MAX_CANCEL_DELAY_S: f64 = 8.0;

/// Runs a plan, writes its files into `dir`, and returns its outcome. Stops with an error when
/// `interrupted` is set.
pub(super) fn run(
    plan: &Plan,
    program: &Path,
    dir: &Path,
    interrupted: &'static AtomicBool,
) -> Result<Outcome, EmulatorError> {
    let experiment = plan.experiment.clone();
    preflight::check(&experiment, program)?;
    let services = Services::listen(&experiment)?;
    let logs = dir.join("controllers");
    std::fs::remove_dir_all(&logs).ok();
    let controllers = Controllers::prepare(&experiment, program, &logs)?;
    write(&dir.join("plan.toml"), &plan.to_toml()?)?;
    let cluster = Arc::new(EmulatedCluster::new(experiment, controllers));
    cluster.fleet().history.enable();
    let _kill_on_drop = KillOnDrop(cluster.clone());
    let run = run_cluster(cluster.clone(), plan.clone(), services);
    let stopped = wait_for_stop(&cluster, interrupted);
    let mut outcome = async_io::block_on(cluster.executor.run(run.or(stopped)))?;
    cluster.processes().kill_all();
    outcome.errors = error_lines(&logs);
    let history = dir.join("history.log");
    cluster
        .fleet()
        .history
        .write(&history)
        .map_err(|source| EmulatorError::Unwritable { path: history, source })?;
    let json = serde_json::to_string_pretty(&outcome).map_err(|e| EmulatorError::Other(e.to_string()))?;
    write(&dir.join("outcome.json"), &json)?;
    Ok(outcome)
}

/// Writes a file.
pub(super) fn write(path: &Path, text: &str) -> Result<(), EmulatorError> {
    std::fs::write(path, text).map_err(|source| EmulatorError::Unwritable {
        path: path.to_path_buf(),
        source,
    })
}

/// Waits until the run is interrupted or stopped by an error, and returns the reason.
async fn wait_for_stop(cluster: &EmulatedCluster, interrupted: &AtomicBool) -> Result<Outcome, EmulatorError> {
    loop {
        Timer::after(POLL_INTERVAL).await;
        if interrupted.load(Ordering::Relaxed) {
            return Err(EmulatorError::Interrupted);
        }
        if let Some(why) = cluster.take_stop() {
            return Err(why);
        }
    }
}

/// Runs the cluster through the faults, the audit and the time without faults.
async fn run_cluster(cluster: Arc<EmulatedCluster>, plan: Plan, services: Services) -> Result<Outcome, EmulatorError> {
    serve(&cluster, services);
    forward::start(&cluster)?;
    for node in 0..cluster.nodes.len() {
        cluster.processes().start(node)?;
    }
    create_machines(&cluster);
    let behind = Arc::new(AtomicU64::new(0));
    cluster.executor.spawn(measure_lag(behind.clone())).detach();
    let numbers = Arc::new(JobNumbers::default());
    for load in plan.experiment.load.clone() {
        cluster
            .executor
            .spawn(submit(cluster.clone(), load, numbers.clone(), plan.users))
            .detach();
    }
    let faults: Vec<_> = plan
        .faults
        .iter()
        .map(|planned| cluster.executor.spawn(inject(cluster.clone(), planned.clone())))
        .collect();
    let mut ended = watch(&cluster, seconds(plan.experiment.duration_s)).await;
    cluster.note(|| "the last fault has begun".into());
    for fault in faults {
        fault.await;
    }
    cluster.faults.clear();
    let calm_since = cluster.now();
    cluster.note(|| "all faults are over".into());
    let stranded_check = cluster.executor.spawn(check_stranded_periodically(cluster.clone()));
    let unknown_after_faults = audit(&cluster).await;
    let audited = Duration::from_micros(cluster.now() - calm_since);
    ended.extend(watch(&cluster, seconds(plan.calm_s).saturating_sub(audited)).await);
    drop(stranded_check);
    let stranded = std::mem::take(&mut cluster.fleet().stranded).found();
    let stranded = (plan.calm_s >= draw::LONG_CALM_S).then_some(stranded);
    Ok(outcome(
        &cluster,
        &plan,
        ended,
        stranded,
        unknown_after_faults,
        behind.load(Ordering::Relaxed),
    ))
}

/// Builds the outcome; the error lines of the controllers are added when they have ended.
fn outcome(
    cluster: &EmulatedCluster,
    plan: &Plan,
    ended_by_themselves: Vec<usize>,
    stranded: Option<Vec<String>>,
    unknown_after_faults: Vec<String>,
    emulator_behind_ms: u64,
) -> Outcome {
    let (terms, process_starts) = (cluster.store().term(), cluster.processes().process_starts);
    let mut problems = cluster.store().problems.clone();
    let fleet = cluster.fleet();
    problems.extend(fleet.cloud.problems.iter().cloned());
    Outcome {
        seed: plan.experiment.seed,
        workers: plan.experiment.workers.count,
        controllers: plan.experiment.controllers.count,
        faults: plan.faults.len(),
        broken: fleet.rules.broken.clone(),
        problems,
        errors: vec![],
        ended_by_themselves,
        unknown_after_faults,
        stranded,
        starts: fleet.rules.starts,
        jobs: fleet.users.len(),
        accepted: fleet.users.values().filter(|user| user.accepted.is_some()).count(),
        terms,
        process_starts,
        lease_kills: fleet.rules.lease_kills,
        starts_after_cancellation: fleet.rules.starts_after_cancellation,
        emulator_behind_ms,
    }
}

/// Measures the emulator's own lag until the task is dropped; `behind` keeps the largest value in
/// milliseconds.
async fn measure_lag(behind: Arc<AtomicU64>) {
    loop {
        let began = Instant::now();
        Timer::after(LAG_PROBE_SLEEP).await;
        let late = began.elapsed().saturating_sub(LAG_PROBE_SLEEP).as_millis() as u64;
        behind.fetch_max(late, Ordering::Relaxed);
    }
}

/// Checks the rules and the controller processes for the duration `lasts`. Returns the controllers
/// that exited without being killed.
async fn watch(cluster: &EmulatedCluster, lasts: Duration) -> Vec<usize> {
    let ends = Instant::now() + lasts;
    let mut ended = vec![];
    while Instant::now() < ends {
        Timer::after(POLL_INTERVAL).await;
        let now = cluster.now();
        cluster.fleet().check_rules(now);
        ended.extend(cluster.processes().ended());
    }
    ended
}

/// Checks for stranded jobs once a second until the task is dropped.
async fn check_stranded_periodically(cluster: Arc<EmulatedCluster>) {
    loop {
        Timer::after(STRANDED_CHECK_INTERVAL).await;
        let now = cluster.now();
        let mut fleet = cluster.fleet();
        let mut stranded = std::mem::take(&mut fleet.stranded);
        stranded.check(now, &fleet);
        fleet.stranded = stranded;
    }
}

/// Submits the jobs of one load until its end.
async fn submit(cluster: Arc<EmulatedCluster>, load: Load, numbers: Arc<JobNumbers>, users: super::plan::Users) {
    let until = load.until_s.unwrap_or(cluster.experiment.duration_s);
    let mut at = load.from_s;
    while at < until {
        let now = Duration::from_micros(cluster.now());
        Timer::after(seconds(at).saturating_sub(now)).await;
        let spec = spec(&cluster, &load, numbers.next());
        let (run_s, cancel_timing, pause) = {
            let rng = &mut cluster.fleet().rng;
            let cancel_timing = match (rng.f64() < load.cancelled, rng.f64() < users.cancelled_at_end) {
                (false, _) => CancelTiming::Never,
                (true, true) if load.run_s > 0.0 => CancelTiming::AtEnd,
                (true, _) => CancelTiming::After(seconds(MAX_CANCEL_DELAY_S * rng.f64())),
            };
            let pause = load.every_s * (0.5 + rng.f64());
            (load.run_s * (0.5 + rng.f64()), cancel_timing, pause)
        };
        let user = User::new(spec, run_s, false);
        cluster
            .executor
            .spawn(run_user(cluster.clone(), user, cancel_timing, users))
            .detach();
        at += pause;
    }
}

/// Polls every controller about accepted jobs until each has answered, or until 75 s have passed.
/// Returns the jobs with the controllers that gave no answer.
async fn audit(cluster: &Arc<EmulatedCluster>) -> Vec<String> {
    let accepted: Vec<String> = {
        let fleet = cluster.fleet();
        let known = fleet.users.iter().filter(|(_, user)| user.accepted.is_some());
        known.map(|(id, _)| id.clone()).collect()
    };
    let step = accepted.len().div_ceil(MAX_AUDITED_JOBS).max(1);
    let jobs: Vec<String> = accepted.into_iter().step_by(step).collect();
    let ends = Instant::now() + AUDIT_TIMEOUT;
    let mut pending: Vec<(usize, String)> = (0..cluster.nodes.len())
        .flat_map(|node| jobs.iter().map(move |job| (node, job.clone())))
        .collect();
    while !pending.is_empty() && Instant::now() < ends {
        let mut left = vec![];
        for batch in pending.chunks(MAX_REQUESTS_IN_FLIGHT) {
            let asked: Vec<_> = batch
                .iter()
                .cloned()
                .map(|(node, job)| {
                    let cluster = cluster.clone();
                    let executor = cluster.clone();
                    executor.executor.spawn(async move {
                        let answer = ask(&cluster, &job, node, RequestKind::Poll).await;
                        answer.is_none().then_some((node, job))
                    })
                })
                .collect();
            for request in asked {
                left.extend(request.await);
            }
        }
        pending = left;
    }
    pending
        .into_iter()
        .map(|(node, job)| format!("{job} at node-{node}"))
        .collect()
}
