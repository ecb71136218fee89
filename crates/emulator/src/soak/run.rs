//! Runs one plan: starts the cluster, injects the faults, audits the jobs and writes the outcome.

use super::draw;
use super::inject::inject;
use super::outcome::{error_lines, Outcome};
use super::plan::Plan;
use super::users::{ask, live, Cancels};
use crate::cluster::EmulatedCluster;
use crate::controllers::Controllers;
use crate::errors::EmulatorError;
use crate::experiment::{seconds, Load};
use crate::load::{spec, Numbers};
use crate::scale::{create_machines, serve, EndChildren, Services};
use crate::{forward, preflight};
use async_io::Timer;
use futures_lite::FutureExt;
use glenhaven_fakes::user::{Asked, User};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which interrupts and the controller processes are polled.
const LOOK: Duration = Duration::from_millis(100);
/// Sleep with which the emulator's lag is measured: the lag is the time overslept.
const NAP: Duration = Duration::from_millis(50);
/// Interval of the checks for stranded jobs.
const ONCE_A_SECOND: Duration = Duration::from_secs(1);
/// Time within which each controller must answer about each accepted job after the faults.
const KNOWN: Duration = Duration::from_secs(75);
/// Largest number of accepted jobs in the audit at the end.
const AUDITED: usize = 200;
/// Audit requests that are in flight at the same time.
const AT_ONCE: usize = 16;
/// Longest time from submission to cancellation, in seconds.
const CANCELS_WITHIN_S: f64 = 8.0;

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
    write(&dir.join("plan.toml"), &plan.text()?)?;
    let cluster = Arc::new(EmulatedCluster::new(experiment, controllers));
    cluster.fleet().history.switch_on();
    let _children = EndChildren(cluster.clone());
    let played = play(cluster.clone(), plan.clone(), services);
    let stopped = stopped(&cluster, interrupted);
    let mut outcome = async_io::block_on(cluster.executor.run(played.or(stopped)))?;
    cluster.processes().kill_all();
    outcome.errors = error_lines(&logs);
    let history = dir.join("history.log");
    cluster
        .fleet()
        .history
        .write(&history)
        .map_err(|source| EmulatorError::Unwritable { path: history, source })?;
    let json = serde_json::to_string_pretty(&outcome).map_err(|e| EmulatorError::Machine(e.to_string()))?;
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
async fn stopped(cluster: &EmulatedCluster, interrupted: &AtomicBool) -> Result<Outcome, EmulatorError> {
    loop {
        Timer::after(LOOK).await;
        if interrupted.load(Ordering::Relaxed) {
            return Err(EmulatorError::Interrupted);
        }
        if let Some(why) = cluster.take_stop() {
            return Err(why);
        }
    }
}

/// Runs the cluster through the faults, the audit and the time without faults.
async fn play(cluster: Arc<EmulatedCluster>, plan: Plan, services: Services) -> Result<Outcome, EmulatorError> {
    serve(&cluster, services);
    forward::start(&cluster)?;
    for node in 0..cluster.nodes.len() {
        cluster.processes().start(node)?;
    }
    create_machines(&cluster);
    let behind = Arc::new(AtomicU64::new(0));
    cluster.executor.spawn(measure(behind.clone())).detach();
    let numbers = Arc::new(Numbers::default());
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
    cluster.faults.end();
    let calm_since = cluster.now();
    cluster.note(|| "all faults are over".into());
    let stranding = cluster.executor.spawn(check_stranded_periodically(cluster.clone()));
    let unknown_after_faults = audit(&cluster).await;
    let audited = Duration::from_micros(cluster.now() - calm_since);
    ended.extend(watch(&cluster, seconds(plan.calm_s).saturating_sub(audited)).await);
    drop(stranding);
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
async fn measure(behind: Arc<AtomicU64>) {
    loop {
        let began = Instant::now();
        Timer::after(NAP).await;
        let late = began.elapsed().saturating_sub(NAP).as_millis() as u64;
        behind.fetch_max(late, Ordering::Relaxed);
    }
}

/// Checks the rules and the controller processes for the duration `lasts`. Returns the controllers
/// that exited without being killed.
async fn watch(cluster: &EmulatedCluster, lasts: Duration) -> Vec<usize> {
    let ends = Instant::now() + lasts;
    let mut ended = vec![];
    while Instant::now() < ends {
        Timer::after(LOOK).await;
        let now = cluster.now();
        cluster.fleet().check_rules(now);
        ended.extend(cluster.processes().ended());
    }
    ended
}

/// Checks for stranded jobs once a second until the task is dropped.
async fn check_stranded_periodically(cluster: Arc<EmulatedCluster>) {
    loop {
        Timer::after(ONCE_A_SECOND).await;
        let now = cluster.now();
        let mut fleet = cluster.fleet();
        let mut stranded = std::mem::take(&mut fleet.stranded);
        stranded.check(now, &fleet);
        fleet.stranded = stranded;
    }
}

/// Submits the jobs of one load until its end.
async fn submit(cluster: Arc<EmulatedCluster>, load: Load, numbers: Arc<Numbers>, users: super::plan::Users) {
    let until = load.until_s.unwrap_or(cluster.experiment.duration_s);
    let mut at = load.from_s;
    while at < until {
        let now = Duration::from_micros(cluster.now());
        Timer::after(seconds(at).saturating_sub(now)).await;
        let spec = spec(&cluster, &load, numbers.next());
        let (run_s, cancels, pause) = {
            let rng = &mut cluster.fleet().rng;
            let cancels = match (rng.f64() < load.cancelled, rng.f64() < users.cancelled_at_end) {
                (false, _) => Cancels::Never,
                (true, true) if load.run_s > 0.0 => Cancels::AtEnd,
                (true, _) => Cancels::After(seconds(CANCELS_WITHIN_S * rng.f64())),
            };
            let pause = load.every_s * (0.5 + rng.f64());
            (load.run_s * (0.5 + rng.f64()), cancels, pause)
        };
        let user = User::new(spec, run_s, false);
        cluster
            .executor
            .spawn(live(cluster.clone(), user, cancels, users))
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
    let step = accepted.len().div_ceil(AUDITED).max(1);
    let jobs: Vec<String> = accepted.into_iter().step_by(step).collect();
    let ends = Instant::now() + KNOWN;
    let mut questions: Vec<(usize, String)> = (0..cluster.nodes.len())
        .flat_map(|node| jobs.iter().map(move |job| (node, job.clone())))
        .collect();
    while !questions.is_empty() && Instant::now() < ends {
        let mut left = vec![];
        for some in questions.chunks(AT_ONCE) {
            let asked: Vec<_> = some
                .iter()
                .cloned()
                .map(|(node, job)| {
                    let cluster = cluster.clone();
                    let executor = cluster.clone();
                    executor.executor.spawn(async move {
                        let answer = ask(&cluster, &job, node, Asked::Poll).await;
                        answer.is_none().then_some((node, job))
                    })
                })
                .collect();
            for question in asked {
                left.extend(question.await);
            }
        }
        questions = left;
    }
    questions
        .into_iter()
        .map(|(node, job)| format!("{job} at node-{node}"))
        .collect()
}
