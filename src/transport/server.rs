//! HTTP server for users, workers and the load balancer.

use async_h1::server::Encoder;
use async_io::{Async, Timer};
use futures_lite::{io, AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use super::stream::Stream;
use crate::protocol::BODY_LIMIT;

/// A request, reduced to what the service looks at.
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

/// A connection with no request for this long is closed, so that half-sent
/// requests and forgotten users give their sockets back.
const IDLE: Duration = Duration::from_secs(75);
/// A request has to be whole within this time of its first byte being due.
const BODY: Duration = Duration::from_secs(5);

/// Reads a whole request, or says with which status it is refused.
async fn read(request: Request) -> Result<Incoming, u16> {
    let path = request.url().path().to_string();
    let whole = read_whole(request).await;
    if let Err(status) = whole {
        tracing::warn!(path, status, "a request can't be read");
    }
    whole
}

async fn read_whole(mut request: Request) -> Result<Incoming, u16> {
    if request.len().is_some_and(|n| n > BODY_LIMIT) {
        return Err(413);
    }
    let mut body = Vec::new();
    let whole = async {
        let mut limited = request.take_body().take(BODY_LIMIT as u64 + 1);
        limited.read_to_end(&mut body).await.map(|_| ()).map_err(|_| 400u16)
    };
    let late = async {
        Timer::after(BODY).await;
        Err(408u16)
    };
    whole.or(late).await?;
    if body.len() > BODY_LIMIT {
        return Err(413);
    }
    Ok(Incoming {
        method: request.method(),
        path: request.url().path().to_string(),
        body,
    })
}

/// Serves one connection until either side closes it.
async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = Outgoing>,
{
    let Ok(stream) = Async::new(stream) else { return };
    let mut stream = Stream::new(stream);
    loop {
        // Decoded and encoded one by one: async-h1's own loop would start the
        // timers, and the thread, of a second reactor.
        let one = async { async_h1::server::decode(stream.clone()).await.ok().flatten() };
        let late = async {
            Timer::after(IDLE).await;
            None
        };
        let Some((request, rest)) = one.or(late).await else {
            return;
        };
        let method = request.method();
        let asked_to_close = request
            .header("connection")
            .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
        let (out, refused) = match read(request).await {
            Ok(incoming) => (handler(incoming).await, false),
            Err(status) => {
                let out = Outgoing {
                    status,
                    ..Outgoing::default()
                };
                (out, true)
            }
        };
        let close = refused || asked_to_close;
        let status = StatusCode::try_from(out.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        if let Some(seconds) = out.retry_after_s {
            response.insert_header("retry-after", seconds.to_string());
        }
        if close {
            response.insert_header("connection", "close");
        }
        response.set_body(out.body);
        response.insert_header("content-type", "application/cbor");
        let mut encoder = Encoder::new(response, method);
        let write = async { io::copy(&mut encoder, &mut stream).await.ok() };
        let late = async {
            Timer::after(BODY).await;
            None
        };
        if write.or(late).await.is_none() || close {
            return;
        }
        drop(rest);
    }
}

/// Accepts connections for ever; `spawn` runs each on the caller's executor.
pub async fn listen<H, F, S>(addr: SocketAddr, limit: usize, handler: H, spawn: S) -> std::io::Result<()>
where
    H: Fn(Incoming) -> F + Clone + 'static,
    F: Future<Output = Outgoing> + 'static,
    S: Fn(std::pin::Pin<Box<dyn Future<Output = ()>>>),
{
    let listener = Async::<TcpListener>::bind(addr)?;
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of sockets, most likely; existing connections go on.
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= limit {
            // Closed at once, so that the other side can try another node.
            drop(stream);
            continue;
        }
        let Ok(stream) = stream.into_inner() else { continue };
        open.set(open.get() + 1);
        let (open, handler) = (open.clone(), handler.clone());
        spawn(Box::pin(async move {
            serve(stream, handler).await;
            open.set(open.get().saturating_sub(1));
        }));
    }
}
