//! HTTP client: kept connections, one request at a time on each.
//!
//! Its result says whether a request that got no answer may have been executed. It never sends a request
//! twice, except reads.

use super::stream::Stream;
use super::timeout::with_timeout;
use crate::time::Micros;
use async_io::Async;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connecting takes at most this long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// An answer.
    Answer {
        /// Its HTTP status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// The request was never sent: it can't have been executed.
    NotSent,
    /// No usable answer: the request may have been executed, or may be later.
    NoAnswer,
}

/// A call that is being made.
struct Call {
    method: Method,
    url: Url,
    body: Option<Vec<u8>>,
    timeout: Duration,
    started_at: Instant,
}

impl Call {
    fn request(&self) -> Request {
        let mut request = Request::new(self.method, self.url.clone());
        if let Some(body) = &self.body {
            request.set_body(body.clone());
            request.insert_header("content-type", "application/cbor");
        }
        request
    }

    fn connect_timeout(&self) -> Duration {
        self.timeout.min(CONNECT_TIMEOUT)
    }

    /// A process that was paused while it connected must not send what it has long given up.
    fn has_timed_out(&self) -> bool {
        self.started_at.elapsed() > self.timeout
    }
}

/// An answer that was read whole.
struct Exchange {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection can be used for another request.
    is_reusable: bool,
}

/// Connections to one address.
pub struct Client {
    address: SocketAddr,
    url: Url,
    idle: RefCell<Vec<Stream>>,
    max_idle: usize,
}

impl Client {
    /// A client that keeps up to `max_idle` idle connections; `None` if it is not an address.
    pub fn new(address: &str, max_idle: usize) -> Option<Rc<Client>> {
        Some(Rc::new(Client {
            address: address.parse().ok()?,
            url: Url::parse(&format!("http://{address}/")).ok()?,
            idle: RefCell::default(),
            max_idle,
        }))
    }

    async fn connect(&self, timeout: Duration) -> Option<Stream> {
        let stream = with_timeout(timeout, async { Async::<TcpStream>::connect(self.address).await.ok() }).await?;
        Some(Stream::new(stream))
    }

    /// Sends a request and reads the answer; `None` if there is no usable one.
    async fn exchange(stream: Stream, request: Request) -> Option<Exchange> {
        let mut response = async_h1::connect(stream, request).await.ok()?;
        let body = response.body_bytes().await.ok()?;
        let closes = response
            .header("connection")
            .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
        Some(Exchange {
            status: response.status().into(),
            body,
            is_reusable: !closes,
        })
    }

    /// Makes a call; `path` begins with a slash and may carry a query.
    pub async fn call(&self, method: Method, path: &str, body: Option<Vec<u8>>, timeout: Micros) -> CallResult {
        let timeout = Duration::from_micros(timeout.0);
        let Ok(url) = self.url.join(path) else {
            return CallResult::NotSent;
        };
        let call = Call {
            method,
            url,
            body,
            timeout,
            started_at: Instant::now(),
        };
        let work = async { Some(self.attempt(&call).await) };
        with_timeout(timeout, work).await.unwrap_or(CallResult::NoAnswer)
    }

    async fn attempt(&self, call: &Call) -> CallResult {
        let idle = self.idle.borrow_mut().pop();
        let is_reused = idle.is_some();
        let mut stream = match idle {
            Some(stream) => stream,
            None => match self.connect(call.connect_timeout()).await {
                Some(stream) => stream,
                None => return CallResult::NotSent,
            },
        };
        if call.has_timed_out() {
            return CallResult::NotSent;
        }
        let mut result = Self::exchange(stream.clone(), call.request()).await;
        if result.is_none() && is_reused && call.method == Method::Get {
            // The other side may have closed the kept connection; a read can be repeated without
            // harm.
            stream = match self.connect(call.connect_timeout()).await {
                Some(fresh) if !call.has_timed_out() => fresh,
                _ => return CallResult::NotSent,
            };
            result = Self::exchange(stream.clone(), call.request()).await;
        }
        let Some(Exchange {
            status,
            body,
            is_reusable,
        }) = result
        else {
            return CallResult::NoAnswer;
        };
        if is_reusable && self.idle.borrow().len() < self.max_idle {
            self.idle.borrow_mut().push(stream);
        }
        CallResult::Answer { status, body }
    }

    /// Drops the kept connections, for an address that does not answer.
    pub fn drop_idle_connections(&self) {
        self.idle.borrow_mut().clear();
    }
}
