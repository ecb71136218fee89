//! The client of the state service.
//!
//! [`build_call`] defines each request: what is sent, and what each response means.

use super::http_call::{decode_body, escape_query, CallOutcome, HttpCall};
use crate::protocol::store::{Lease, NewLease, Revision, Row, Rows, StoreRequest, StoreResponse, WatchEvents};
use crate::protocol::to_cbor;
use crate::protocol::users::ErrorBody;
use crate::time::Micros;
use crate::transport::client::Client;
use http_types::Method;
use std::rc::Rc;

/// Maximum number of idle connections that are kept for requests other than watches.
const REQUEST_CONNECTIONS: usize = 8;
/// Maximum number of idle connections that are kept for watches.
const WATCH_CONNECTIONS: usize = 2;
/// Error text of the state service when a transaction uses an expired lease.
const NO_SUCH_LEASE: &str = "no such lease";

/// A client of the state service. Clones share its connections.
#[derive(Clone)]
pub(super) struct StateClient {
    requests: Rc<Client>,
    /// Watches have their own connections, because each one occupies its connection for long.
    watches: Rc<Client>,
}

impl StateClient {
    /// Creates a client of the state service at `address`; `None` if `address` is not a socket
    /// address.
    pub(super) fn new(address: &str) -> Option<StateClient> {
        Some(StateClient {
            requests: Client::new(address, REQUEST_CONNECTIONS)?,
            watches: Client::new(address, WATCH_CONNECTIONS)?,
        })
    }

    /// Sends a request and waits for its outcome.
    pub(super) async fn send(&self, request: StoreRequest, timeout: Micros) -> StoreResponse {
        let client = match request {
            StoreRequest::Watch { .. } => &self.watches,
            _ => &self.requests,
        };
        build_call(request).send(client, "the state service", timeout).await
    }
}

impl CallOutcome for StoreResponse {
    fn refused() -> Self {
        StoreResponse::Refused
    }
    fn unknown() -> Self {
        StoreResponse::Unknown
    }
    fn malformed() -> Self {
        StoreResponse::Malformed
    }
}

/// Builds the HTTP call for a request, with the decoder of its response.
fn build_call(request: StoreRequest) -> HttpCall<StoreResponse> {
    match request {
        StoreRequest::Get { key } => HttpCall::new(Method::Get, format!("/kv/{key}"), decode_row),
        StoreRequest::List { prefix, after } => {
            HttpCall::new(Method::Get, list_path(&prefix, &after), |status, body| {
                (status == 200)
                    .then(|| decode_body(body, StoreResponse::Unknown, |rows: Rows| StoreResponse::Rows(rows)))
            })
        }
        StoreRequest::Transaction(txn) => {
            let has_changes = !txn.changes.is_empty();
            let decode = move |status, body: &[u8]| decode_transaction(has_changes, status, body);
            HttpCall::new(Method::Post, "/txn".into(), decode).with_body(to_cbor(&txn))
        }
        StoreRequest::Grant { ttl_ms } => HttpCall::new(Method::Post, "/holds".into(), |status, body| {
            let granted = |lease: Lease| StoreResponse::Lease(lease.lease);
            (status == 200).then(|| decode_body(body, StoreResponse::Unknown, granted))
        })
        .with_body(to_cbor(&NewLease { ttl_ms })),
        StoreRequest::Renew { lease } => {
            let path = format!("/holds/{lease}/touch");
            HttpCall::new(Method::Post, path, move |status, _| match status {
                200 => Some(StoreResponse::Lease(lease)),
                404 => Some(StoreResponse::NoLease),
                _ => None,
            })
        }
        StoreRequest::Drop { lease } => {
            let path = format!("/holds/{lease}");
            HttpCall::new(Method::Delete, path, move |status, _| match status {
                200 | 204 => Some(StoreResponse::Lease(lease)),
                404 => Some(StoreResponse::NoLease),
                _ => None,
            })
        }
        StoreRequest::Watch { prefix, after, wait_ms } => {
            let prefix = escape_query(&prefix);
            let path = format!("/follow?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            HttpCall::new(Method::Get, path, decode_watch)
        }
    }
}

fn list_path(prefix: &str, after: &str) -> String {
    let prefix = escape_query(prefix);
    if after.is_empty() {
        format!("/kv?prefix={prefix}&most=1000")
    } else {
        format!("/kv?prefix={prefix}&after={}&most=1000", escape_query(after))
    }
}

fn decode_row(status: u16, body: &[u8]) -> Option<StoreResponse> {
    match status {
        200 => Some(decode_body(body, StoreResponse::Unknown, |row: Row| {
            StoreResponse::Row(row)
        })),
        404 => Some(decode_body(body, StoreResponse::Unknown, |at: Revision| {
            StoreResponse::Missing { revision: at.revision }
        })),
        _ => None,
    }
}

fn decode_transaction(has_changes: bool, status: u16, body: &[u8]) -> Option<StoreResponse> {
    match status {
        200 => Some(decode_body(body, StoreResponse::Unknown, |at: Revision| {
            StoreResponse::Committed { revision: at.revision }
        })),
        409 => Some(decode_body(body, StoreResponse::Unknown, |at: Revision| {
            StoreResponse::Conflict {
                failed: at.failed,
                revision: at.revision,
            }
        })),
        429 if has_changes => Some(StoreResponse::Limited),
        400 => Some(decode_body(body, StoreResponse::Malformed, |refusal: ErrorBody| {
            if refusal.error == NO_SUCH_LEASE {
                StoreResponse::NoLease
            } else {
                tracing::error!(error = refusal.error, "the state service rejected a transaction");
                StoreResponse::Malformed
            }
        })),
        _ => None,
    }
}

fn decode_watch(status: u16, body: &[u8]) -> Option<StoreResponse> {
    match status {
        200 => Some(decode_body(body, StoreResponse::Unknown, |events: WatchEvents| {
            StoreResponse::Events(events)
        })),
        410 => Some(StoreResponse::Compacted),
        _ => None,
    }
}
