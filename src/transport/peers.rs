//! Links between controllers: one outgoing connection to each, bitcode frames
//! with a length in front.

use crate::protocol::peer::{Link, PeerMessage};
use crate::time::Micros;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use glenhaven_connectivity::Backoff;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Above what a carried list of keys takes (512 KiB).
const FRAME_LIMIT: usize = 1024 * 1024;
/// Pauses between tries to connect: a controller that comes back is not stormed.
const PAUSES: (Micros, Micros) = (Micros::from_millis(200), Micros::from_millis(800));
const CONNECT: Duration = Duration::from_millis(800);
const WRITE: Duration = Duration::from_secs(2);
/// A frame that is not acknowledged by then was sent over a dead link.
const ACKED: Duration = Duration::from_millis(1500);
const QUIET: Duration = Duration::from_secs(10);

async fn within<T>(limit: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    work.or(async {
        Timer::after(limit).await;
        None
    })
    .await
}

/// What happened on the sending side of a link.
enum Turn {
    Message(PeerMessage),
    /// The other side has taken in this many frames more.
    Taken(usize),
    /// The link is dead, or nobody queues messages any more.
    Closed,
    /// Nothing for a while.
    Quiet,
}

/// Sends queued messages to one controller, for ever. Messages are lost while
/// the link is down: every one of them is either repeated or has a time limit.
///
/// The other side acknowledges every frame with a byte. A connection that the
/// other side has given up, as it does when this process stands still for a
/// while, would take in writes without an error for ever.
pub async fn send(addr: SocketAddr, queue: Receiver<PeerMessage>, told: impl Fn(Link)) {
    let mut link: Option<Async<TcpStream>> = None;
    let mut unacked: VecDeque<Instant> = VecDeque::new();
    let mut pauses = Backoff::new(PAUSES.0, PAUSES.1);
    loop {
        let mut acks = [0u8; 256];
        let turn = {
            let next = async { queue.recv().await.map_or(Turn::Closed, Turn::Message) };
            let quiet = async {
                Timer::after(ACKED).await;
                Turn::Quiet
            };
            match link.as_ref() {
                Some(stream) => {
                    let taken = async {
                        match (&*stream).read(&mut acks).await {
                            Ok(n) if n > 0 => Turn::Taken(n),
                            _ => Turn::Closed,
                        }
                    };
                    taken.or(next).or(quiet).await
                }
                None => next.await,
            }
        };
        let message = match turn {
            Turn::Message(message) => Some(message),
            Turn::Taken(n) => {
                told(Link::Up);
                pauses.reset();
                unacked.drain(..n.min(unacked.len()));
                None
            }
            Turn::Closed if link.is_none() => return,
            Turn::Closed => {
                link = None;
                None
            }
            Turn::Quiet => None,
        };
        if unacked.front().is_some_and(|at| at.elapsed() > ACKED) {
            told(Link::Silent);
            link = None;
        }
        let Some(message) = message else { continue };
        if link.is_none() {
            unacked.clear();
            let tried = within(CONNECT, async { Some(Async::<TcpStream>::connect(addr).await) }).await;
            match tried {
                Some(Ok(s)) => {
                    s.get_ref().set_nodelay(true).ok();
                    link = Some(s);
                }
                failed => {
                    let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
                    let refused = matches!(&failed, Some(Err(e)) if refused(e));
                    told(if refused { Link::Refused } else { Link::Silent });
                    // Whatever has queued up meanwhile is out of date.
                    while queue.try_recv().is_ok() {}
                    Timer::after(Duration::from_micros(pauses.next_pause(fastrand::f64()).0)).await;
                    continue;
                }
            }
        }
        let body = bitcode::encode(&message);
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&body);
        if let Some(s) = link.as_mut() {
            if within(WRITE, async { s.write_all(&frame).await.ok() }).await.is_none() {
                link = None;
            } else {
                unacked.push_back(Instant::now());
            }
        }
    }
}

async fn receive(stream: TcpStream, out: Sender<PeerMessage>) -> Option<()> {
    let mut stream = Async::new(stream).ok()?;
    stream.get_ref().set_nodelay(true).ok();
    loop {
        let mut length = [0u8; 4];
        within(QUIET, async { stream.read_exact(&mut length).await.ok() }).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > FRAME_LIMIT {
            return None;
        }
        let mut body = vec![0; length];
        within(QUIET, async { stream.read_exact(&mut body).await.ok() }).await?;
        match bitcode::decode(&body) {
            Ok(message) => out.send(message).await.ok()?,
            Err(error) => {
                tracing::warn!(%error, "malformed message from a controller");
                return None;
            }
        }
        within(WRITE, async { stream.write_all(&[1]).await.ok() }).await?;
    }
}

/// Accepts links from other controllers, for ever.
pub async fn listen<S>(addr: SocketAddr, out: Sender<PeerMessage>, spawn: S) -> std::io::Result<()>
where
    S: Fn(std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>),
{
    let listener = Async::<TcpListener>::bind(addr)?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Ok(stream) = stream.into_inner() {
                    let out = out.clone();
                    spawn(Box::pin(async move {
                        receive(stream, out).await;
                    }));
                }
            }
            Err(_) => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}
