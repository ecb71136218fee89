//! Emulated users of a soak. Each submits one job and polls it at random controllers, may repeat
//! the submission, and may cancel the job.
//!
//! Each response is checked against the job's record in the state service, as stored when the
//! request was sent and when the response arrived.

use super::plan;
use crate::cluster::{EmulatedCluster, Side};
use crate::faults::{Delivery, Party, Route};
use crate::machines::{exchange, with_timeout};
use crate::users::request;
use async_io::Timer;
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::users::{JobState, Phase};
use glenhaven_fakes::answer_check::{CheckedAnswer, StoredJob};
use glenhaven_fakes::http::{Request, Response};
use glenhaven_fakes::user::{with_unknown_field, RequestKind, User};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pauses after an accepted request, and after one that was refused or not answered.
const POLL_INTERVAL: Duration = Duration::from_millis(900);
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delays of the additional requests to all controllers that follow a change of phase.
const FOLLOW_UP_DELAYS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(4), Duration::from_millis(40)];

/// When a user cancels its job.
#[derive(Clone, Copy, Debug)]
pub(super) enum CancelTiming {
    Never,
    /// This long after the first submission.
    After(Duration),
    /// At about the time at which its tasks end.
    AtEnd,
}

/// Runs one user until its job has reached a final phase or the run ends.
pub(super) async fn run_user(
    cluster: Arc<EmulatedCluster>,
    user: User,
    cancel_timing: CancelTiming,
    users: plan::Users,
) {
    let job = user.spec.id.clone();
    let run = Duration::from_micros(user.run_time);
    cluster.fleet().users.insert(job.clone(), user);
    let follows_up = cluster.fleet().rng.f64() < users.close_questions;
    let resubmits = cluster.fleet().rng.f64() < users.resubmitted_after_poll;
    let began = Instant::now();
    let mut cancel_at = match cancel_timing {
        CancelTiming::Never | CancelTiming::AtEnd => None,
        CancelTiming::After(after) => Some(began + after),
    };
    let mut last_phase = None;
    loop {
        let asked = next_request(&cluster, &job, cancel_at);
        let node = any_controller(&cluster);
        let answer = ask(&cluster, &job, node, asked).await;
        if let Some(phase) = answer {
            if resubmits && last_phase.is_none() {
                poll_then_resubmit(&cluster, &job, node).await;
            }
            if follows_up && last_phase != Some(phase) {
                ask_all_controllers(&cluster, &job);
            }
            last_phase = Some(phase);
            if phase.is_final() {
                return;
            }
            if matches!(cancel_timing, CancelTiming::AtEnd) && phase == Phase::Running && cancel_at.is_none() {
                cancel_at = Some(Instant::now() + run);
            }
        }
        let pause = if answer.is_some() { POLL_INTERVAL } else { RETRY_DELAY };
        let left = cancel_at.map_or(pause, |at| at.saturating_duration_since(Instant::now()));
        Timer::after(if left.is_zero() { pause } else { pause.min(left) }).await;
    }
}

/// Returns the next request of a user.
fn next_request(cluster: &EmulatedCluster, job: &str, cancel_at: Option<Instant>) -> RequestKind {
    let mut fleet = cluster.fleet();
    let now = cluster.now();
    let Some(user) = fleet.users.get_mut(job) else {
        return RequestKind::Poll;
    };
    if cancel_at.is_some_and(|at| Instant::now() >= at) && user.accepted.is_some() {
        user.wants_abort = true;
    }
    if user.accepted.is_none() {
        user.submitted = true;
        user.first_asked.get_or_insert(now);
        RequestKind::Submit
    } else if user.wants_abort && user.cancelled.is_none() && user.done.is_none() {
        RequestKind::Abort
    } else {
        RequestKind::Poll
    }
}

/// Returns a random controller.
fn any_controller(cluster: &EmulatedCluster) -> usize {
    cluster.fleet().rng.usize(0..cluster.nodes.len())
}

/// Polls a job that controller `first` has just accepted at the next controller, and submits it
/// again, with a field that the protocol does not name, at the one after that.
async fn poll_then_resubmit(cluster: &Arc<EmulatedCluster>, job: &str, first: usize) {
    let nodes = cluster.nodes.len();
    ask(cluster, job, (first + 1) % nodes, RequestKind::Poll).await;
    let Some(spec) = cluster.fleet().users.get(job).map(|user| user.spec.clone()) else {
        return;
    };
    let mut resubmission = request(RequestKind::Submit, &spec);
    resubmission.body = with_unknown_field(&resubmission.body);
    let node = (first + 2) % nodes;
    exchange_checked(cluster, job, node, RequestKind::Submit, &resubmission).await;
}

/// Sends polls and repeated submissions to all controllers within milliseconds, in the background.
fn ask_all_controllers(cluster: &Arc<EmulatedCluster>, job: &str) {
    for node in 0..cluster.nodes.len() {
        for after in FOLLOW_UP_DELAYS {
            let (cluster, job) = (cluster.clone(), job.to_string());
            let executor = cluster.clone();
            let follow_up = async move {
                Timer::after(after).await;
                let asked = if cluster.fleet().rng.bool() {
                    RequestKind::Poll
                } else {
                    RequestKind::Submit
                };
                ask(&cluster, &job, node, asked).await;
            };
            executor.executor.spawn(follow_up).detach();
        }
    }
}

/// Sends one request and returns the phase in its response, if there is an accepted one in time.
pub(super) async fn ask(cluster: &Arc<EmulatedCluster>, job: &str, node: usize, asked: RequestKind) -> Option<Phase> {
    let spec = cluster.fleet().users.get(job)?.spec.clone();
    exchange_checked(cluster, job, node, asked, &request(asked, &spec)).await
}

/// Sends this request and checks the response; returns the phase in it, if there is an accepted one
/// in time.
async fn exchange_checked(
    cluster: &Arc<EmulatedCluster>,
    job: &str,
    node: usize,
    asked: RequestKind,
    request: &Request,
) -> Option<Phase> {
    let before = StoredJob::of(&cluster.store(), job);
    let route = Route::between(Party::Users, Party::Node(node));
    let exchange = async {
        cluster.faults.wait_to_pass(&route, "").await;
        if cluster.faults.delivery(&route, "") != Delivery::Deliver {
            return None;
        }
        let answer = exchange(cluster, None, node, Side::Users, request).await;
        cluster.faults.wait_to_pass(&route.back(), "").await;
        answer
    };
    let answer = with_timeout(Duration::from_micros(asked.answer_timeout()), exchange).await;
    let (_, response) = answer?;
    check_answer(cluster, job, asked, before, &response, node)
}

/// Checks a response, records violations, and returns the phase it reports.
fn check_answer(
    cluster: &EmulatedCluster,
    job: &str,
    asked: RequestKind,
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
