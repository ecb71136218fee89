//! Plays one plan from its beginning to its outcome.

use super::draw;
use super::outcome::{error_lines, Outcome};
use super::plan::Plan;
use super::troubles::happen;
use super::users::{ask, live, Cancels};
use crate::controllers::Controllers;
use crate::errors::LabError;
use crate::experiment::{seconds, Load};
use crate::lab::Lab;
use crate::load::{spec, Numbers};
use crate::scale::{create_machines, serve, EndChildren, Services};
use crate::{forward, preflight};
use async_io::Timer;
use futures_lite::FutureExt;
use glenhaven_standins::user::{Asked, User};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How soon an interrupt ends a play, and how often processes are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// The emulator sleeps so long; what it sleeps longer it is behind.
const NAP: Duration = Duration::from_millis(50);
const ONCE_A_SECOND: Duration = Duration::from_secs(1);
/// A controller has to answer about each accepted job within this.
const KNOWN: Duration = Duration::from_secs(75);
/// Accepted jobs about which each controller is asked at the end.
const AUDITED: usize = 200;
/// Questions at the end that are on their way at once.
const AT_ONCE: usize = 16;
/// A user who cancels does it within this time.
const CANCELS_WITHIN_S: f64 = 8.0;

/// Plays a plan; its files go into a directory. `interrupted` ends it.
pub fn run(plan: &Plan, program: &Path, dir: &Path, interrupted: &'static AtomicBool) -> Result<Outcome, LabError> {
    let experiment = plan.experiment.clone();
    preflight::check(&experiment, program)?;
    let services = Services::listen(&experiment)?;
    let logs = dir.join("controllers");
    std::fs::remove_dir_all(&logs).ok();
    let controllers = Controllers::prepare(&experiment, program, &logs)?;
    write(&dir.join("plan.toml"), &plan.text()?)?;
    let lab = Arc::new(Lab::new(experiment, controllers));
    lab.fleet().history.switch_on();
    let _children = EndChildren(lab.clone());
    let played = play(lab.clone(), plan.clone(), services);
    let stopped = stopped(&lab, interrupted);
    let mut outcome = async_io::block_on(lab.executor.run(played.or(stopped)))?;
    lab.processes().kill_all();
    outcome.errors = error_lines(&logs);
    let history = dir.join("history.log");
    lab.fleet()
        .history
        .write(&history)
        .map_err(|source| LabError::Unwritable { path: history, source })?;
    let json = serde_json::to_string_pretty(&outcome).map_err(|e| LabError::Machine(e.to_string()))?;
    write(&dir.join("outcome.json"), &json)?;
    Ok(outcome)
}

/// Writes a file.
pub fn write(path: &Path, text: &str) -> Result<(), LabError> {
    std::fs::write(path, text).map_err(|source| LabError::Unwritable {
        path: path.to_path_buf(),
        source,
    })
}

async fn stopped(lab: &Lab, interrupted: &AtomicBool) -> Result<Outcome, LabError> {
    loop {
        Timer::after(LOOK).await;
        if interrupted.load(Ordering::Relaxed) {
            return Err(LabError::Interrupted);
        }
        if let Some(why) = lab.take_stop() {
            return Err(why);
        }
    }
}

async fn play(lab: Arc<Lab>, plan: Plan, services: Services) -> Result<Outcome, LabError> {
    serve(&lab, services);
    forward::start(&lab)?;
    for node in 0..lab.nodes.len() {
        lab.processes().start(node)?;
    }
    create_machines(&lab);
    let behind = Arc::new(AtomicU64::new(0));
    lab.executor.spawn(measure(behind.clone())).detach();
    let numbers = Arc::new(Numbers::default());
    for load in plan.experiment.load.clone() {
        lab.executor
            .spawn(submit(lab.clone(), load, numbers.clone(), plan.users))
            .detach();
    }
    let troubles: Vec<_> = plan
        .troubles
        .iter()
        .map(|planned| lab.executor.spawn(happen(lab.clone(), planned.clone())))
        .collect();
    let mut ended = watch(&lab, seconds(plan.experiment.duration_s)).await;
    lab.note(|| "the last trouble has begun".into());
    for trouble in troubles {
        trouble.await;
    }
    lab.faults.end();
    let calm_since = lab.now();
    lab.note(|| "all troubles are over".into());
    let stranding = lab.executor.spawn(look_for_stranded(lab.clone()));
    let unknown_after_troubles = audit(&lab).await;
    let audited = Duration::from_micros(lab.now() - calm_since);
    ended.extend(watch(&lab, seconds(plan.calm_s).saturating_sub(audited)).await);
    drop(stranding);
    let stranded = std::mem::take(&mut lab.fleet().stranded).found();
    let stranded = (plan.calm_s >= draw::LONG_CALM_S).then_some(stranded);
    Ok(outcome(
        &lab,
        &plan,
        ended,
        stranded,
        unknown_after_troubles,
        behind.load(Ordering::Relaxed),
    ))
}

fn outcome(
    lab: &Lab,
    plan: &Plan,
    ended_by_themselves: Vec<usize>,
    stranded: Option<Vec<String>>,
    unknown_after_troubles: Vec<String>,
    emulator_behind_ms: u64,
) -> Outcome {
    let (terms, lives) = (lab.store().term(), lab.processes().lives);
    let mut problems = lab.store().problems.clone();
    let fleet = lab.fleet();
    problems.extend(fleet.cloud.problems.iter().cloned());
    Outcome {
        seed: plan.experiment.seed,
        workers: plan.experiment.workers.count,
        controllers: plan.experiment.controllers.count,
        troubles: plan.troubles.len(),
        broken: fleet.rules.broken.clone(),
        problems,
        errors: vec![],
        ended_by_themselves,
        unknown_after_troubles,
        stranded,
        starts: fleet.rules.starts,
        jobs: fleet.users.len(),
        accepted: fleet.users.values().filter(|user| user.accepted.is_some()).count(),
        terms,
        lives,
        lease_kills: fleet.rules.lease_kills,
        starts_after_cancellation: fleet.rules.starts_after_cancellation,
        emulator_behind_ms,
    }
}

/// Notes how far the emulator itself falls behind, for ever.
async fn measure(behind: Arc<AtomicU64>) {
    loop {
        let began = Instant::now();
        Timer::after(NAP).await;
        let late = began.elapsed().saturating_sub(NAP).as_millis() as u64;
        behind.fetch_max(late, Ordering::Relaxed);
    }
}

/// Looks at the controllers until the time is over: those that ended by themselves.
async fn watch(lab: &Lab, lasts: Duration) -> Vec<usize> {
    let ends = Instant::now() + lasts;
    let mut ended = vec![];
    while Instant::now() < ends {
        Timer::after(LOOK).await;
        let now = lab.now();
        lab.fleet().look(now);
        ended.extend(lab.processes().ended());
    }
    ended
}

/// Looks once a second for jobs that are left waiting, for ever.
async fn look_for_stranded(lab: Arc<Lab>) {
    loop {
        Timer::after(ONCE_A_SECOND).await;
        let now = lab.now();
        let mut fleet = lab.fleet();
        let mut stranded = std::mem::take(&mut fleet.stranded);
        stranded.look(now, &fleet);
        fleet.stranded = stranded;
    }
}

/// Submits the jobs of one kind until their time is over.
async fn submit(lab: Arc<Lab>, load: Load, numbers: Arc<Numbers>, users: super::plan::Users) {
    let until = load.until_s.unwrap_or(lab.experiment.duration_s);
    let mut at = load.from_s;
    while at < until {
        let now = Duration::from_micros(lab.now());
        Timer::after(seconds(at).saturating_sub(now)).await;
        let spec = spec(&lab, &load, numbers.next());
        let (run_s, cancels, pause) = {
            let rng = &mut lab.fleet().rng;
            let cancels = match (rng.f64() < load.cancelled, rng.f64() < users.cancelled_at_end) {
                (false, _) => Cancels::Never,
                (true, true) if load.run_s > 0.0 => Cancels::AtEnd,
                (true, _) => Cancels::After(seconds(CANCELS_WITHIN_S * rng.f64())),
            };
            let pause = load.every_s * (0.5 + rng.f64());
            (load.run_s * (0.5 + rng.f64()), cancels, pause)
        };
        let user = User::new(spec, run_s, false);
        lab.executor.spawn(live(lab.clone(), user, cancels, users)).detach();
        at += pause;
    }
}

/// Asks every controller about accepted jobs until each has answered, or 75 s have passed since
/// the troubles: those that some controller did not answer for.
async fn audit(lab: &Arc<Lab>) -> Vec<String> {
    let accepted: Vec<String> = {
        let fleet = lab.fleet();
        let known = fleet.users.iter().filter(|(_, user)| user.accepted.is_some());
        known.map(|(id, _)| id.clone()).collect()
    };
    let step = accepted.len().div_ceil(AUDITED).max(1);
    let jobs: Vec<String> = accepted.into_iter().step_by(step).collect();
    let ends = Instant::now() + KNOWN;
    let mut questions: Vec<(usize, String)> = (0..lab.nodes.len())
        .flat_map(|node| jobs.iter().map(move |job| (node, job.clone())))
        .collect();
    while !questions.is_empty() && Instant::now() < ends {
        let mut left = vec![];
        for some in questions.chunks(AT_ONCE) {
            let asked: Vec<_> = some
                .iter()
                .cloned()
                .map(|(node, job)| {
                    let lab = lab.clone();
                    let executor = lab.clone();
                    executor.executor.spawn(async move {
                        let answer = ask(&lab, &job, node, Asked::Poll).await;
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
