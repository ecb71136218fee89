//! The wire format of the state service's and the cloud's interfaces: decodes HTTP requests into
//! typed requests, and encodes typed answers as HTTP answers.

use crate::http::{Request, Response};
use glenhaven::coordination::{CloudRequest, CloudResponse};
use glenhaven::protocol::cloud::{MachineNames, ProvisionRequest};
use glenhaven::protocol::store::{Lease, NewLease, Revision, StoreRequest, StoreResponse, Transaction};
use glenhaven::protocol::users::ErrorBody;
use glenhaven::protocol::{from_cbor, to_cbor};

/// Creates an answer with a CBOR body.
fn cbor_response<T: serde::Serialize>(status: u16, body: &T) -> Response {
    Response::new(status, to_cbor(body))
}

fn error_response(status: u16, text: &str) -> Response {
    cbor_response(status, &ErrorBody { error: text.into() })
}

/// Creates the answer to a request that can't be decoded.
pub fn malformed() -> Response {
    error_response(400, "malformed")
}

/// Creates the answer of a service that is unavailable.
pub fn unavailable() -> Response {
    error_response(503, "trouble")
}

/// A path and its query.
struct Target<'a> {
    path: &'a str,
    query: &'a str,
}

impl<'a> Target<'a> {
    fn of(text: &'a str) -> Target<'a> {
        let (path, query) = text.split_once('?').unwrap_or((text, ""));
        Target { path, query }
    }

    /// Returns a field of the query; empty if the field is absent.
    fn field(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map_or(String::new(), |(_, value)| unescape(value))
    }

    /// Returns a field of the query as a number; 0 if the field is absent, `None` if it is
    /// malformed.
    fn number(&self, name: &str) -> Option<u64> {
        let text = self.field(name);
        if text.is_empty() {
            Some(0)
        } else {
            text.parse().ok()
        }
    }
}

/// Decodes the percent-encoding of a query.
fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Decodes a request to the state service; `None` if it is malformed.
pub fn state_request(request: &Request) -> Option<StoreRequest> {
    let target = Target::of(&request.path);
    match (request.method.as_str(), target.path) {
        ("GET", "/kv") => Some(StoreRequest::List {
            prefix: target.field("prefix"),
            after: target.field("after"),
        }),
        ("GET", "/follow") => Some(StoreRequest::Watch {
            prefix: target.field("prefix"),
            after: target.number("after")?,
            wait_ms: target.number("wait_ms")?,
        }),
        ("GET", path) => Some(StoreRequest::Get {
            key: path.strip_prefix("/kv/")?.into(),
        }),
        ("POST", "/txn") => from_cbor::<Transaction>(&request.body)
            .ok()
            .map(StoreRequest::Transaction),
        ("POST", "/holds") => {
            let lease: NewLease = from_cbor(&request.body).ok()?;
            Some(StoreRequest::Grant { ttl_ms: lease.ttl_ms })
        }
        ("POST", path) => {
            let lease = path.strip_prefix("/holds/")?.strip_suffix("/touch")?;
            Some(StoreRequest::Renew {
                lease: lease.parse().ok()?,
            })
        }
        ("DELETE", path) => Some(StoreRequest::Drop {
            lease: path.strip_prefix("/holds/")?.parse().ok()?,
        }),
        _ => None,
    }
}

/// Encodes the state service's answer to a request; `None` if no answer is sent.
pub fn state_response(request: &StoreRequest, answer: &StoreResponse) -> Option<Response> {
    let revision = |revision: u64, failed: &[String]| Revision {
        revision,
        failed: failed.to_vec(),
    };
    Some(match answer {
        StoreResponse::Row(row) => cbor_response(200, row),
        StoreResponse::Missing { revision: r } => cbor_response(404, &revision(*r, &[])),
        StoreResponse::Rows(rows) => cbor_response(200, rows),
        StoreResponse::Committed { revision: r } => cbor_response(200, &revision(*r, &[])),
        StoreResponse::Conflict { failed, revision: r } => cbor_response(409, &revision(*r, failed)),
        StoreResponse::Lease(lease) => cbor_response(200, &Lease { lease: *lease }),
        StoreResponse::Events(events) => cbor_response(200, events),
        StoreResponse::Compacted => error_response(410, "compacted"),
        StoreResponse::NoLease if matches!(request, StoreRequest::Transaction(_)) => {
            error_response(400, "no such lease")
        }
        StoreResponse::NoLease => error_response(404, "no such lease"),
        StoreResponse::Limited => error_response(429, "too many"),
        StoreResponse::Refused => error_response(503, "trouble"),
        StoreResponse::Malformed => malformed(),
        StoreResponse::Unknown => return None,
    })
}

/// Decodes a request to the cloud; `None` if it is malformed.
pub fn cloud_request(request: &Request) -> Option<CloudRequest> {
    let target = Target::of(&request.path);
    match (request.method.as_str(), target.path) {
        ("GET", "/catalog") => Some(CloudRequest::Catalogue),
        ("GET", "/machines") => Some(CloudRequest::List {
            after: target.field("after"),
        }),
        ("POST", "/machines") => from_cbor::<ProvisionRequest>(&request.body)
            .ok()
            .map(CloudRequest::Provision),
        ("POST", "/machines/release") => from_cbor::<MachineNames>(&request.body).ok().map(CloudRequest::Release),
        _ => None,
    }
}

/// Encodes an answer of the cloud; `None` if no answer is sent.
pub fn cloud_response(answer: &CloudResponse) -> Option<Response> {
    Some(match answer {
        CloudResponse::Catalogue(catalogue) => cbor_response(200, catalogue),
        CloudResponse::Rented(machines) => cbor_response(
            200,
            &MachineNames {
                machines: machines.clone(),
            },
        ),
        CloudResponse::Released => Response::new(200, to_cbor(&ciborium::Value::Map(vec![]))),
        CloudResponse::List(page) => cbor_response(200, page),
        CloudResponse::NoCapacity => error_response(503, "no capacity"),
        CloudResponse::Refused => error_response(503, "trouble"),
        CloudResponse::Malformed => malformed(),
        CloudResponse::Unknown => return None,
    })
}
