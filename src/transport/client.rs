//! HTTP client: kept connections, one request at a time on each.

use super::stream::Stream;
use crate::time::Micros;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    Answer {
        status: u16,
        body: Vec<u8>,
    },
    /// The request never left: it cannot have been executed.
    NotSent,
    /// No usable answer: the request may have been executed, or may be later.
    NoAnswer,
}

/// Connections to one address.
pub struct Client {
    addr: SocketAddr,
    url: Url,
    idle: RefCell<Vec<Stream>>,
    keep: usize,
}

impl Client {
    /// A client that keeps up to `keep` idle connections.
    pub fn new(addr: &str, keep: usize) -> Option<Rc<Client>> {
        Some(Rc::new(Client {
            addr: addr.parse().ok()?,
            url: Url::parse(&format!("http://{addr}/")).ok()?,
            idle: RefCell::default(),
            keep,
        }))
    }

    async fn connect(&self, within: Duration) -> Option<Stream> {
        let open = async { Async::<TcpStream>::connect(self.addr).await.ok() };
        let late = async {
            Timer::after(within).await;
            None
        };
        let stream = open.or(late).await?;
        Some(Stream::new(stream))
    }

    async fn exchange(stream: Stream, request: Request) -> Option<(u16, Vec<u8>, bool)> {
        let mut response = async_h1::connect(stream, request).await.ok()?;
        let body = response.body_bytes().await.ok()?;
        let close = response
            .header("connection")
            .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
        Some((response.status().into(), body, !close))
    }

    /// Makes a call; `path` begins with a slash and may carry a query.
    pub async fn call(&self, method: Method, path: &str, body: Option<Vec<u8>>, timeout: Micros) -> CallResult {
        let within = Duration::from_micros(timeout.0);
        let began = Instant::now();
        // A process that stood still while it connected must not send what it
        // has long given up.
        let too_late = || began.elapsed() > within;
        let Ok(url) = self.url.join(path) else {
            return CallResult::NotSent;
        };
        let build = || {
            let mut request = Request::new(method, url.clone());
            if let Some(body) = &body {
                request.set_body(body.clone());
                request.insert_header("content-type", "application/cbor");
            }
            request
        };
        let work = async {
            let kept = self.idle.borrow_mut().pop();
            let reused = kept.is_some();
            let stream = match kept {
                Some(stream) => stream,
                None => match self.connect(within.min(Duration::from_secs(1))).await {
                    Some(stream) => stream,
                    None => return CallResult::NotSent,
                },
            };
            if too_late() {
                return CallResult::NotSent;
            }
            let mut result = Self::exchange(stream.clone(), build()).await;
            let mut stream = stream;
            if result.is_none() && reused && method == Method::Get {
                // A kept connection may have been closed by the other side; a
                // read can be asked again without harm.
                match self.connect(within.min(Duration::from_secs(1))).await {
                    Some(_) if too_late() => return CallResult::NotSent,
                    Some(fresh) => {
                        stream = fresh;
                        result = Self::exchange(stream.clone(), build()).await;
                    }
                    None => return CallResult::NotSent,
                }
            }
            match result {
                Some((status, body, keep)) => {
                    if keep && self.idle.borrow().len() < self.keep {
                        self.idle.borrow_mut().push(stream);
                    }
                    CallResult::Answer { status, body }
                }
                None => CallResult::NoAnswer,
            }
        };
        let late = async {
            Timer::after(within).await;
            CallResult::NoAnswer
        };
        work.or(late).await
    }

    /// Drops the kept connections, for an address that does not answer.
    pub fn forget(&self) {
        self.idle.borrow_mut().clear();
    }
}
