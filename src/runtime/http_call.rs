//! An HTTP call together with the decoder of its response.
//!
//! The clients of the state service and of the cloud build their requests in this form. Statuses
//! that a call's decoder doesn't handle have the same meaning for both services.

use crate::protocol::from_cbor;
use crate::time::Micros;
use crate::transport::client::{CallResult, Client};
use http_types::Method;
use percent_encoding::{utf8_percent_encode, AsciiSet, PercentEncode, NON_ALPHANUMERIC};
use serde::de::DeserializeOwned;

/// The characters that are escaped in a query: all except alphanumeric ones and these.
const QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Percent-encodes text for use in a query.
pub(super) fn escape_query(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, QUERY)
}

/// The outcomes that all calls to a service have in common.
pub(super) trait CallOutcome {
    /// The call was not executed and won't be.
    fn refused() -> Self;
    /// The call may have been executed, or may be later.
    fn unknown() -> Self;
    /// The service considers the call malformed.
    fn malformed() -> Self;
}

/// Decodes a status and body; returns `None` if the call gives the status no specific meaning.
type Decode<T> = Box<dyn FnOnce(u16, &[u8]) -> Option<T>>;

/// A request and the decoder of its response.
pub(super) struct HttpCall<T> {
    method: Method,
    path: String,
    body: Option<Vec<u8>>,
    decode: Decode<T>,
}

impl<T: CallOutcome> HttpCall<T> {
    /// Creates a call without a body. `path` begins with a slash and may include a query.
    pub(super) fn new(
        method: Method,
        path: String,
        decode: impl FnOnce(u16, &[u8]) -> Option<T> + 'static,
    ) -> HttpCall<T> {
        HttpCall {
            method,
            path,
            body: None,
            decode: Box::new(decode),
        }
    }

    /// Adds a body to the call.
    pub(super) fn with_body(self, body: Vec<u8>) -> HttpCall<T> {
        HttpCall {
            body: Some(body),
            ..self
        }
    }

    /// Makes the call and returns its outcome. `service` is the service's name in the log.
    pub(super) async fn send(self, client: &Client, service: &str, timeout: Micros) -> T {
        let result = client.call(self.method, &self.path, self.body, timeout).await;
        let (status, body) = match result {
            CallResult::Answer { status, body } => (status, body),
            CallResult::NotSent => return T::refused(),
            CallResult::NoAnswer => return T::unknown(),
        };
        if let Some(outcome) = (self.decode)(status, &body) {
            return outcome;
        }
        match status {
            429 | 503 => T::refused(),
            400 => {
                tracing::error!(path = self.path, "{service} rejected a request as malformed");
                T::malformed()
            }
            _ => T::unknown(),
        }
    }
}

/// Decodes a response's body and converts it with `convert`; returns `if_malformed` if the body is
/// malformed. The request may have been executed even then, which `if_malformed` must allow for.
pub(super) fn decode_body<M: DeserializeOwned, T>(body: &[u8], if_malformed: T, convert: impl FnOnce(M) -> T) -> T {
    match from_cbor(body) {
        Ok(message) => convert(message),
        Err(error) => {
            tracing::warn!(%error, "malformed response body");
            if_malformed
        }
    }
}
