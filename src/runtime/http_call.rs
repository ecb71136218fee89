//! A call over HTTP that is described once: what is sent, and what each status of the answer means.
//!
//! The clients of the state service and of the cloud describe their requests in this form. Both
//! services share the meaning of the statuses that no request gives a meaning of its own.

use crate::protocol::from_cbor;
use crate::time::Micros;
use crate::transport::client::{CallResult, Client};
use http_types::Method;
use percent_encoding::{utf8_percent_encode, AsciiSet, PercentEncode, NON_ALPHANUMERIC};
use serde::de::DeserializeOwned;

/// The characters that are escaped in a query: all but these and alphanumeric ones.
const QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Escapes text for use in a query.
pub(super) fn escape_query(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, QUERY)
}

/// The result of a call, as far as all calls to a service have it in common.
pub(super) trait CallOutcome {
    /// The call was not executed and won't be.
    fn refused() -> Self;
    /// The call may have been executed, or may be later.
    fn unknown() -> Self;
    /// The service considers the call malformed.
    fn malformed() -> Self;
}

/// Says what a status and body mean; `None`: the status has no meaning of its own for this call.
type Decode<T> = Box<dyn FnOnce(u16, &[u8]) -> Option<T>>;

/// A call: what is sent, and what the answers mean.
pub(super) struct HttpCall<T> {
    method: Method,
    path: String,
    body: Option<Vec<u8>>,
    decode: Decode<T>,
}

impl<T: CallOutcome> HttpCall<T> {
    /// A call without a body. `path` begins with a slash and may carry a query.
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

    /// The call with this body.
    pub(super) fn with_body(self, body: Vec<u8>) -> HttpCall<T> {
        HttpCall {
            body: Some(body),
            ..self
        }
    }

    /// Makes the call. `service` is the service's name for the log.
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
                tracing::error!(path = self.path, "{service} calls a request malformed");
                T::malformed()
            }
            _ => T::unknown(),
        }
    }
}

/// Reads an answer's body. A malformed answer is no answer: what it answered may have been
/// executed, and `if_malformed` must say so.
pub(super) fn decode_body<M: DeserializeOwned, T>(body: &[u8], if_malformed: T, convert: impl FnOnce(M) -> T) -> T {
    match from_cbor(body) {
        Ok(message) => convert(message),
        Err(error) => {
            tracing::warn!(%error, "malformed answer");
            if_malformed
        }
    }
}
