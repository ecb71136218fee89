//! HTTP server for users, agents and the load balancer.
//!
//! The runtime passes a handler to [`listen`]. Requests are limited in size and time, so that slow
//! or broken clients can't exhaust the process's sockets or memory.

use async_h1::server::Encoder;
use async_io::{Async, Timer};
use futures_lite::{io, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use super::stream::Stream;
use super::timeout::with_timeout;
use crate::protocol::BODY_LIMIT;

/// A request, reduced to the parts that handlers use.
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path of the URL, without the query.
    pub path: String,
    /// The request's body.
    pub body: Vec<u8>,
}

/// A response to a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The response's body.
    pub body: Vec<u8>,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u32>,
}

/// A connection without a complete request head for this long is closed, so that half-sent requests
/// and abandoned connections free their sockets.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time limit for receiving a request's body, and for sending a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a whole request; on failure, returns the HTTP status with which it is refused.
async fn read(request: Request) -> Result<HttpRequest, u16> {
    let path = request.url().path().to_string();
    let whole = read_whole(request).await;
    if let Err(status) = whole {
        tracing::warn!(path, status, "failed to read a request");
    }
    whole
}

async fn read_whole(mut request: Request) -> Result<HttpRequest, u16> {
    if request.len().is_some_and(|n| n > BODY_LIMIT) {
        return Err(413);
    }
    let mut body = Vec::new();
    let whole = async {
        let mut limited = request.take_body().take(BODY_LIMIT as u64 + 1);
        Some(limited.read_to_end(&mut body).await.map_err(|_| 400u16))
    };
    with_timeout(TRANSFER_TIMEOUT, whole).await.unwrap_or(Err(408))?;
    if body.len() > BODY_LIMIT {
        return Err(413);
    }
    Ok(HttpRequest {
        method: request.method(),
        path: request.url().path().to_string(),
        body,
    })
}

/// Returns whether a request has the header `connection: close`.
fn has_close_header(request: &Request) -> bool {
    request
        .header("connection")
        .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"))
}

/// Builds the HTTP response for an answer.
fn response(answer: HttpResponse, closes: bool) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    if let Some(seconds) = answer.retry_after_s {
        response.insert_header("retry-after", seconds.to_string());
    }
    if closes {
        response.insert_header("connection", "close");
    }
    response.set_body(answer.body);
    response.insert_header("content-type", "application/cbor");
    response
}

/// Serves one connection until either side closes it.
async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let Ok(stream) = Async::new(stream) else { return };
    let mut stream = Stream::new(stream);
    loop {
        // Requests are decoded and encoded one by one here, because async-h1's own loop would start
        // the timers, and the thread, of a second reactor.
        let next = async { async_h1::server::decode(stream.clone()).await.ok().flatten() };
        let Some((request, rest)) = with_timeout(IDLE_TIMEOUT, next).await else {
            return;
        };
        let method = request.method();
        let is_last = has_close_header(&request);
        let (answer, is_refused) = match read(request).await {
            Ok(request) => (handler(request).await, false),
            Err(status) => (
                HttpResponse {
                    status,
                    ..HttpResponse::default()
                },
                true,
            ),
        };
        let closes = is_refused || is_last;
        let mut encoder = Encoder::new(response(answer, closes), method);
        let write = async { io::copy(&mut encoder, &mut stream).await.ok() };
        if with_timeout(TRANSFER_TIMEOUT, write).await.is_none() || closes {
            return;
        }
        drop(rest);
    }
}

/// Accepts connections, up to `max_connections` at a time; `spawn` runs each on the caller's
/// executor. Returns only on failure.
///
/// # Errors
///
/// Returns the system's error if the address can't be listened on.
pub async fn listen<H, F, S>(address: SocketAddr, max_connections: usize, handler: H, spawn: S) -> std::io::Result<()>
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
    S: Fn(std::pin::Pin<Box<dyn Future<Output = ()>>>),
{
    let listener = Async::<TcpListener>::bind(address)?;
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is probably out of sockets; existing connections continue.
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= max_connections {
            // Closed at once, so that the client can try another controller.
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
