//! The emulated state service: executes the controllers' HTTP requests on the simulated store.

use crate::cluster::EmulatedCluster;
use async_io::Timer;
use futures_lite::FutureExt;
use glenhaven::protocol::store::{StoreRequest, StoreResponse};
use glenhaven_fakes::http::{Request, Response};
use glenhaven_fakes::wire;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rows per page of a list.
pub(crate) const PAGE_SIZE: usize = 1000;
/// Number of past changes available to watches.
const KEPT_CHANGES: usize = 10_000;
/// Longest time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Interval of the checks for expired leases.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn handle(cluster: Arc<EmulatedCluster>, _node: usize, request: Request) -> Option<Response> {
    let Some(request) = wire::state_request(&request) else {
        return Some(wire::malformed());
    };
    let answer = execute(&cluster, &request);
    let answer = match (&request, answer) {
        (_, Some(answer)) => answer,
        (StoreRequest::Watch { prefix, after, wait_ms }, None) => watch(&cluster, prefix, *after, *wait_ms).await,
        (_, None) => return None,
    };
    wire::state_response(&request, &answer)
}

/// Executes a request. Returns `None` for a watch that the rate limits allow.
fn execute(cluster: &EmulatedCluster, request: &StoreRequest) -> Option<StoreResponse> {
    let writes = match request {
        StoreRequest::Transaction(txn) => txn.changes.len() as f64,
        _ => 0.0,
    };
    let mut store = cluster.store();
    let now = cluster.now();
    store.expire(now);
    if let Err(refused) = store.allow(writes, now) {
        return Some(refused);
    }
    if matches!(request, StoreRequest::Watch { .. }) {
        return None;
    }
    let before = store.revision;
    let answer = store.answer(request, now);
    if store.revision != before {
        store.compact(KEPT_CHANGES);
        cluster.store_changed.notify(usize::MAX);
    }
    Some(answer)
}

/// Waits until a key with this prefix changes after revision `after`, or the wait is over.
async fn watch(cluster: &EmulatedCluster, prefix: &str, after: u64, wait_ms: u64) -> StoreResponse {
    let ends = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
    loop {
        let changed = cluster.store_changed.listen();
        {
            let store = cluster.store();
            if store.is_compacted(after) {
                return StoreResponse::Compacted;
            }
            if store.has_events_since(prefix, after) || Instant::now() >= ends {
                return StoreResponse::Events(store.events_since(prefix, after));
            }
        }
        let late = async {
            Timer::at(ends).await;
        };
        changed.or(late).await;
    }
}

/// Removes expired leases periodically until the experiment ends.
pub(crate) async fn expire_leases(cluster: Arc<EmulatedCluster>) {
    loop {
        Timer::after(EXPIRY_CHECK_INTERVAL).await;
        let mut store = cluster.store();
        let before = store.revision;
        store.expire(cluster.now());
        if store.revision != before {
            cluster.store_changed.notify(usize::MAX);
        }
    }
}
