//! The HTTP routes for users, agents and the load balancer.
//!
//! A request becomes an event for the controller and then waits for the controller's answer.

use super::process::{retry_later, MAX_DECISION_AGE};
use super::replies::PendingReplies;
use crate::coordination::{Event, UserRequest};
use crate::protocol::agents::Heartbeat;
use crate::protocol::from_cbor;
use crate::transport::server::{HttpRequest, HttpResponse};
use async_channel::Sender;
use http_types::Method;
use std::time::Duration;

/// A request that has been matched to a route.
enum Route {
    User(UserRequest),
    Heartbeat(Heartbeat),
}

/// Returns the route of a request, or the HTTP status with which the request is refused.
fn route(request: HttpRequest) -> Result<Route, u16> {
    let method = request.method;
    let is_get = method == Method::Get;
    let is_post = method == Method::Post;
    let path = request.path.as_str();
    let user = |is_allowed: bool, request: UserRequest| if is_allowed { Ok(Route::User(request)) } else { Err(405) };
    match path {
        "/ready" => user(is_get, UserRequest::Ready),
        "/v2/runs" => user(is_post, UserRequest::Submit(request.body)),
        "/hello" if !is_post => Err(405),
        "/hello" => match from_cbor::<Heartbeat>(&request.body) {
            Ok(heartbeat) => Ok(Route::Heartbeat(heartbeat)),
            Err(error) => {
                tracing::warn!(%error, "malformed report");
                Err(400)
            }
        },
        _ => {
            let Some(rest) = path.strip_prefix("/v2/runs/") else {
                return Err(404);
            };
            match rest.split_once('/') {
                None => user(is_get, UserRequest::Poll(rest.to_string())),
                Some((job, "abort")) => user(is_post, UserRequest::Abort(job.to_string())),
                Some(_) => Err(404),
            }
        }
    }
}

/// Passes a request to the controller and waits for its answer.
pub(super) async fn answer(request: HttpRequest, replies: PendingReplies, events: Sender<Event>) -> HttpResponse {
    let route = match route(request) {
        Ok(route) => route,
        Err(status) => {
            return HttpResponse {
                status,
                ..HttpResponse::default()
            }
        }
    };
    let pending = replies.register();
    let id = pending.id;
    let event = match route {
        Route::User(request) => Event::User { id, request },
        Route::Heartbeat(heartbeat) => Event::Heartbeat { id, heartbeat },
    };
    events.send(event).await.ok();
    let max_age = Duration::from_micros(MAX_DECISION_AGE.0);
    match pending.wait().await {
        // The process may have been paused since the answer was given. A success that is too old is
        // not sent; refusals and errors are.
        Some(reply) if reply.given_at.elapsed() < max_age || reply.answer.status >= 300 => reply.answer,
        _ => retry_later(),
    }
}
