//! Emulated users of the `scale` subcommand. Each submits one job and polls it until it is done,
//! cancelled or refused.

use crate::balancer;
use crate::cluster::{EmulatedCluster, Side};
use crate::machines::{exchange, with_timeout};
use async_io::Timer;
use glenhaven::protocol::to_cbor;
use glenhaven::protocol::users::JobSpec;
use glenhaven::transport::server::HttpResponse;
use glenhaven_fakes::http::{Connection, Request, Response};
use glenhaven_fakes::user::{deliver_answer, ReceivedAnswer, RequestKind, User};
use glenhaven_fakes::SEC;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a request is retried that got no response or status 503.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Builds a user's HTTP request.
pub(crate) fn request(asked: RequestKind, spec: &JobSpec) -> Request {
    let (method, path, body) = match asked {
        RequestKind::Submit => ("POST", "/v2/runs".to_string(), to_cbor(spec)),
        RequestKind::Poll => ("GET", format!("/v2/runs/{}", spec.id), vec![]),
        RequestKind::Abort => ("POST", format!("/v2/runs/{}/abort", spec.id), vec![]),
    };
    Request {
        method: method.into(),
        path,
        body,
    }
}

/// A reusable connection and the number of its controller.
type ReusedConnection = Option<(usize, Connection)>;

/// Submits a job and polls it until it is done, cancelled or refused. The user cancels it after
/// `cancel_after`.
pub(crate) async fn run_user(cluster: Arc<EmulatedCluster>, user: User, cancel_after: Option<Duration>) {
    let spec = user.spec.clone();
    cluster.fleet().users.insert(spec.id.clone(), user);
    let cancels_at = cancel_after.map(|after| cluster.now() + after.as_micros() as u64);
    let mut reused: ReusedConnection = None;
    loop {
        if cancels_at.is_some_and(|at| cluster.now() >= at) {
            if let Some(user) = cluster.fleet().users.get_mut(&spec.id) {
                user.wants_abort = true;
            }
        }
        let node = match &reused {
            Some((node, _)) => Some(*node),
            None => balancer::choose(&cluster, &mut cluster.fleet().rng),
        };
        let asked = {
            let mut fleet = cluster.fleet();
            let rid = fleet.request_number();
            let now = cluster.now();
            fleet
                .users
                .get_mut(&spec.id)
                .and_then(|user| user.next_request(now, rid, node))
        };
        let Some(asked) = asked else { return };
        let answer = ask(&cluster, &mut reused, node, asked, &spec).await;
        let retry = answer.as_ref().is_none_or(|response| response.status == 503);
        if handle_response(&cluster, &spec.id, asked, answer) {
            return;
        }
        let pause = match retry {
            true => RETRY_DELAY,
            false => Duration::from_micros(asked.request_interval()),
        };
        let until_cancel = cancels_at.map(|at| Duration::from_micros(at.saturating_sub(cluster.now())));
        let pause = until_cancel
            .filter(|left| !left.is_zero())
            .map_or(pause, |left| pause.min(left));
        Timer::after(pause).await;
    }
}

/// Sends one request and waits for its response; `None` if there is no controller or no response.
async fn ask(
    cluster: &EmulatedCluster,
    reused: &mut ReusedConnection,
    node: Option<usize>,
    asked: RequestKind,
    spec: &JobSpec,
) -> Option<Response> {
    let node = node?;
    let connection = reused.take().map(|(_, connection)| connection);
    let request = request(asked, spec);
    let limit = Duration::from_micros(asked.answer_timeout());
    let exchange = exchange(cluster, connection, node, Side::Users, &request);
    let (connection, response) = with_timeout(limit, exchange).await?;
    *reused = connection.map(|connection| (node, connection));
    Some(response)
}

/// Records the result of a request. Returns whether the user has no further requests.
fn handle_response(cluster: &EmulatedCluster, job: &str, asked: RequestKind, answer: Option<Response>) -> bool {
    let mut fleet = cluster.fleet();
    let fleet = &mut *fleet;
    let now = cluster.now();
    match answer {
        Some(response) => {
            let answer = HttpResponse {
                status: response.status,
                body: response.body,
                retry_after_s: response.retry_after_s,
            };
            let exchange_result = ReceivedAnswer {
                now,
                left: now,
                faults_over_at: 0,
                asked,
                answer: &answer,
            };
            deliver_answer(
                &mut fleet.users,
                &fleet.results,
                &mut fleet.rules,
                job,
                &exchange_result,
            );
        }
        None => {
            if let Some(user) = fleet.users.get_mut(job) {
                user.pending_request = None;
                user.record_failed_request(now, 0);
            }
        }
    }
    let user = fleet.users.get(job);
    user.is_none_or(|u| u.done.is_some() || u.cancelled.is_some() || u.refused.is_some())
}

/// Polls all healthy controllers in parallel about accepted jobs at the end of the experiment: no
/// job may be unknown or have returned to an earlier phase. Returns the number of responses.
pub(crate) async fn audit(cluster: &Arc<EmulatedCluster>, max_jobs: usize) -> usize {
    let accepted: Vec<JobSpec> = {
        let fleet = cluster.fleet();
        let known = fleet.users.values().filter(|u| u.accepted.is_some());
        known.map(|u| u.spec.clone()).collect()
    };
    let step = accepted.len().div_ceil(max_jobs.max(1)).max(1);
    let asked: Arc<Vec<JobSpec>> = Arc::new(accepted.into_iter().step_by(step).collect());
    let healthy = |node: &usize| cluster.nodes[*node].healthy.load(Ordering::Relaxed);
    let audits: Vec<_> = (0..cluster.nodes.len())
        .filter(healthy)
        .map(|node| {
            cluster
                .executor
                .spawn(audit_controller(cluster.clone(), node, asked.clone()))
        })
        .collect();
    let mut answered = 0;
    for audit in audits {
        answered += audit.await;
    }
    answered
}

/// Polls one controller about these jobs and returns the number of responses.
async fn audit_controller(cluster: Arc<EmulatedCluster>, node: usize, asked: Arc<Vec<JobSpec>>) -> usize {
    let mut reused: ReusedConnection = None;
    let mut answered = 0;
    for spec in asked.iter() {
        let answer = ask(&cluster, &mut reused, Some(node), RequestKind::Poll, spec).await;
        if answer.is_some() {
            answered += 1;
            handle_response(&cluster, &spec.id, RequestKind::Poll, answer);
        }
    }
    answered
}

/// Returns the longest time without an answer about an accepted job, in seconds.
pub(crate) fn longest_silence(cluster: &EmulatedCluster) -> u64 {
    let fleet = cluster.fleet();
    let known = fleet.users.values().filter(|u| u.accepted.is_some());
    known.map(|u| u.longest_unanswered / SEC).max().unwrap_or(0)
}
