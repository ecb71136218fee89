//! The client of the cloud.
//!
//! Each call is described in one place, [`build_call`]: what is sent, and what the answers mean.

use super::http_call::{decode_body, escape_query, CallOutcome, HttpCall};
use crate::coordination::{CloudRequest, CloudResponse};
use crate::protocol::cloud::MachineNames;
use crate::protocol::to_cbor;
use crate::protocol::users::ErrorBody;
use crate::time::Micros;
use crate::transport::client::Client;
use http_types::Method;
use std::rc::Rc;

/// Idle connections that are kept.
const CONNECTIONS: usize = 2;
/// The error text of a refusal for want of machines.
const NO_CAPACITY: &str = "no capacity";

/// Connections to the cloud.
#[derive(Clone)]
pub(super) struct CloudClient {
    calls: Rc<Client>,
}

impl CloudClient {
    /// A client of the cloud at this address; `None` if it is not an address.
    pub(super) fn new(address: &str) -> Option<CloudClient> {
        Some(CloudClient {
            calls: Client::new(address, CONNECTIONS)?,
        })
    }

    /// Makes a call and waits for its answer.
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

/// What is sent for a call, and what the answers to it mean.
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
