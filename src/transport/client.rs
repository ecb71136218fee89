//! HTTP client with persistent connections, one request at a time on each.
//!
//! The result of a call says whether a request without an answer may have been executed. The client
//! never sends a request twice, except reads (GET).

use super::stream::Stream;
use super::timeout::with_timeout;
use crate::time::Micros;
use async_io::Async;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// A response was received.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The response's body.
        body: Vec<u8>,
    },
    /// The request was never sent, so it can't have been executed.
    NotSent,
    /// No usable response was received: the request may have been executed, or may be later.
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

    /// Returns whether the call's time is over. A process that was paused while it connected must
    /// not send a request whose result nobody waits for.
    fn has_timed_out(&self) -> bool {
        self.started_at.elapsed() > self.timeout
    }
}

/// A response that was read to its end.
struct Exchange {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection can be used for another request.
    is_reusable: bool,
}

/// A client of one address.
pub struct Client {
    address: SocketAddr,
    url: Url,
    idle: RefCell<Vec<Stream>>,
    max_idle: usize,
}

impl Client {
    /// Creates a client that keeps up to `max_idle` idle connections; `None` if `address` is not a
    /// socket address.
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

    /// Sends a request and reads the response; `None` if there is no usable response.
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

    /// Makes a call. `path` begins with a slash and may include a query; `timeout` limits the whole
    /// call, including the time for connecting.
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
            // The server may have closed the idle connection. A read can be repeated safely.
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

    /// Drops the idle connections; used when the address does not answer.
    pub fn drop_idle_connections(&self) {
        self.idle.borrow_mut().clear();
    }
}
