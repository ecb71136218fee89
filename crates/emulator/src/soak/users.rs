//! Users of a soak: each submits a job at any controller, asks about it at all of them, repeats
//! its submission, and may cancel it. Every answer is compared with what the state service held
//! when the question was sent.

use super::plan;
use crate::cluster::{EmulatedCluster, Side};
use crate::faults::{Delivery, Party, Route};
use crate::machines::{exchange, within};
use crate::users::request;
use async_io::Timer;
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::users::{JobState, Phase};
use glenhaven_fakes::answer_check::{CheckedAnswer, StoredJob};
use glenhaven_fakes::http::Response;
use glenhaven_fakes::user::{Asked, User};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pauses between a user's questions, and after a request that was not answered.
const ASKS: Duration = Duration::from_millis(900);
const RETRY: Duration = Duration::from_millis(400);
/// Questions at all controllers follow an answer after these times.
const CLOSE: [Duration; 3] = [Duration::ZERO, Duration::from_millis(4), Duration::from_millis(40)];

/// When a user cancels its job.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cancels {
    Never,
    /// So long after its submission.
    After(Duration),
    /// At about the time at which its tasks end.
    AtEnd,
}

/// Lives the life of a user, until its job is over or the experiment is.
pub(super) async fn live(cluster: Arc<EmulatedCluster>, user: User, cancels: Cancels, users: plan::Users) {
    let job = user.spec.id.clone();
    let run = Duration::from_micros(user.run);
    cluster.fleet().users.insert(job.clone(), user);
    let close = cluster.fleet().rng.f64() < users.close_questions;
    let began = Instant::now();
    let mut cancel_at = match cancels {
        Cancels::Never | Cancels::AtEnd => None,
        Cancels::After(after) => Some(began + after),
    };
    let mut told = None;
    loop {
        let asked = next_question(&cluster, &job, cancel_at);
        let answer = ask_somewhere(&cluster, &job, asked).await;
        if let Some(phase) = answer {
            if close && told != Some(phase) {
                ask_closely(&cluster, &job);
            }
            told = Some(phase);
            if phase.is_final() {
                return;
            }
            if matches!(cancels, Cancels::AtEnd) && phase == Phase::Running && cancel_at.is_none() {
                cancel_at = Some(Instant::now() + run);
            }
        }
        let pause = if answer.is_some() { ASKS } else { RETRY };
        let left = cancel_at.map_or(pause, |at| at.saturating_duration_since(Instant::now()));
        Timer::after(if left.is_zero() { pause } else { pause.min(left) }).await;
    }
}

/// What a user asks next.
fn next_question(cluster: &EmulatedCluster, job: &str, cancel_at: Option<Instant>) -> Asked {
    let mut fleet = cluster.fleet();
    let now = cluster.now();
    let Some(user) = fleet.users.get_mut(job) else {
        return Asked::Poll;
    };
    if cancel_at.is_some_and(|at| Instant::now() >= at) && user.accepted.is_some() {
        user.wants_abort = true;
    }
    if user.accepted.is_none() {
        user.submitted = true;
        user.first_asked.get_or_insert(now);
        Asked::Submit
    } else if user.wants_abort && user.cancelled.is_none() && user.done.is_none() {
        Asked::Abort
    } else {
        Asked::Poll
    }
}

async fn ask_somewhere(cluster: &Arc<EmulatedCluster>, job: &str, asked: Asked) -> Option<Phase> {
    let node = cluster.fleet().rng.usize(0..cluster.nodes.len());
    ask(cluster, job, node, asked).await
}

/// Asks all controllers at once, again and again within milliseconds, and submits the job anew.
fn ask_closely(cluster: &Arc<EmulatedCluster>, job: &str) {
    for node in 0..cluster.nodes.len() {
        for after in CLOSE {
            let (cluster, job) = (cluster.clone(), job.to_string());
            let executor = cluster.clone();
            let question = async move {
                Timer::after(after).await;
                let asked = if cluster.fleet().rng.bool() {
                    Asked::Poll
                } else {
                    Asked::Submit
                };
                ask(&cluster, &job, node, asked).await;
            };
            executor.executor.spawn(question).detach();
        }
    }
}

/// One question with its answer: the phase that it says.
pub(super) async fn ask(cluster: &Arc<EmulatedCluster>, job: &str, node: usize, asked: Asked) -> Option<Phase> {
    let spec = cluster.fleet().users.get(job)?.spec.clone();
    let before = StoredJob::of(&cluster.store(), job);
    let request = request(asked, &spec);
    let there = Route::between(Party::Users, Party::Node(node));
    let exchange = async {
        cluster.faults.passes(&there, "").await;
        if cluster.faults.delivery(&there, "") != Delivery::Deliver {
            return None;
        }
        let answer = exchange(cluster, None, node, Side::Users, &request).await;
        cluster.faults.passes(&there.back(), "").await;
        answer
    };
    let answer = within(Duration::from_micros(asked.limit()), exchange).await;
    let (_, response) = answer?;
    take(cluster, job, asked, before, &response, node)
}

/// Takes in an answer, and judges it.
fn take(
    cluster: &EmulatedCluster,
    job: &str,
    asked: Asked,
    before: StoredJob,
    response: &Response,
    node: usize,
) -> Option<Phase> {
    let after = StoredJob::of(&cluster.store(), job);
    let mut fleet = cluster.fleet();
    let fleet = &mut *fleet;
    let now = cluster.now();
    let user = fleet.users.get_mut(job)?;
    let checked = CheckedAnswer {
        user,
        asked,
        before,
        after,
        status: response.status,
        body: &response.body,
        results: &fleet.results,
    };
    if let Some(problem) = checked.problem() {
        fleet.rules.broken.push(format!("{problem}, by node-{node} at {now}"));
    }
    if !matches!(response.status, 200 | 201) {
        return None;
    }
    let phase = from_cbor::<JobState>(&response.body).ok()?.phase;
    user.record_answer(now, now, phase);
    fleet
        .history
        .note(now, || format!("{job}: {asked:?} at node-{node} answered {phase:?}"));
    Some(phase)
}
