//! The client of the cloud.
//!
//! [`build_call`] defines each call: what is sent, and what each response means.

use super::http_call::{decode_body, escape_query, CallOutcome, HttpCall};
use crate::coordination::{CloudRequest, CloudResponse};
use crate::protocol::cloud::MachineNames;
use crate::protocol::to_cbor;
use crate::protocol::users::ErrorBody;
use crate::time::Micros;
use crate::transport::client::Client;
use http_types::Method;
use std::rc::Rc;

/// Maximum number of idle connections that are kept.
const CONNECTIONS: usize = 2;
/// Error text of the cloud when it has no machine of the requested kind.
const NO_CAPACITY: &str = "no capacity";

/// A client of the cloud. Clones share its connections.
#[derive(Clone)]
pub(super) struct CloudClient {
    calls: Rc<Client>,
}

impl CloudClient {
    /// Creates a client of the cloud at `address`; `None` if `address` is not a socket address.
    pub(super) fn new(address: &str) -> Option<CloudClient> {
        Some(CloudClient {
            calls: Client::new(address, CONNECTIONS)?,
        })
    }

    /// Makes a call and waits for its outcome.
    pub(super) async fn send(&self, request: CloudRequest, timeout: Micros) -> CloudResponse {
        build_call(request).send(&self.calls, "the cloud", timeout).await
    }
}

impl CallOutcome for CloudResponse {
    fn refused() -> Self {
        CloudResponse::Refused
    }
    fn unknown() -> Self {
        CloudResponse::Unknown
    }
    fn malformed() -> Self {
        CloudResponse::Malformed
    }
}

/// Builds the HTTP call for a request, with the decoder of its response.
fn build_call(request: CloudRequest) -> HttpCall<CloudResponse> {
    match request {
        CloudRequest::Catalogue => HttpCall::new(Method::Get, "/catalog".into(), |status, body| {
            (status == 200).then(|| decode_body(body, CloudResponse::Unknown, CloudResponse::Catalogue))
        }),
        CloudRequest::Provision(rental) => {
            HttpCall::new(Method::Post, "/machines".into(), decode_rental).with_body(to_cbor(&rental))
        }
        CloudRequest::Release(machines) => HttpCall::new(Method::Post, "/machines/release".into(), |status, _| {
            (status == 200).then_some(CloudResponse::Released)
        })
        .with_body(to_cbor(&machines)),
        CloudRequest::List { after } => HttpCall::new(Method::Get, list_path(&after), |status, body| {
            (status == 200).then(|| decode_body(body, CloudResponse::Unknown, CloudResponse::List))
        }),
    }
}

fn list_path(after: &str) -> String {
    if after.is_empty() {
        "/machines?most=500".into()
    } else {
        format!("/machines?after={}&most=500", escape_query(after))
    }
}

fn decode_rental(status: u16, body: &[u8]) -> Option<CloudResponse> {
    match status {
        200 => Some(decode_body(body, CloudResponse::Unknown, |names: MachineNames| {
            CloudResponse::Rented(names.machines)
        })),
        503 => Some(decode_body(body, CloudResponse::Refused, |refusal: ErrorBody| {
            if refusal.error == NO_CAPACITY {
                CloudResponse::NoCapacity
            } else {
                CloudResponse::Refused
            }
        })),
        _ => None,
    }
}
