//! Links between controllers: one outgoing connection to each, bitcode messages in length-prefixed
//! frames.
//!
//! The other side acknowledges every frame with a byte. Without that, a connection that the other
//! side has given up, as it does when this process is paused for a while, would accept writes
//! without an error for ever.

use super::timeout::with_timeout;
use crate::protocol::peer::{Link, PeerMessage};
use crate::time::Micros;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use glenhaven_connectivity::Backoff;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The largest frame, in bytes: more than a forwarded list of keys takes (512 KiB).
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The first and the longest pause between retries to connect: a controller that comes back is not
/// overloaded.
const INITIAL_BACKOFF: Micros = Micros::from_millis(200);
const MAX_BACKOFF: Micros = Micros::from_millis(800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A frame that is not acknowledged by then was sent over a dead link.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// A connection without a frame for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What happened on the sending side of a link.
enum SendEvent {
    /// A message is to be sent.
    Message(PeerMessage),
    /// The other side has acknowledged this many more frames.
    Acknowledged(usize),
    /// The connection was closed, or nobody queues messages any more.
    Closed,
    /// Nothing for a while.
    Idle,
}

/// The sending side of a link.
struct LinkSender<F> {
    address: SocketAddr,
    queue: Receiver<PeerMessage>,
    /// Told how the link is whenever something shows it.
    on_link_state: F,
    connection: Option<Async<TcpStream>>,
    /// When each frame was sent that is not acknowledged.
    unacknowledged: VecDeque<Instant>,
    backoff: Backoff,
}

/// Sends queued messages to one controller, until the queue is closed. Messages are lost while the
/// link is down: every one of them is either repeated or has a time limit.
pub async fn send(address: SocketAddr, queue: Receiver<PeerMessage>, on_link_state: impl Fn(Link)) {
    let mut sender = LinkSender {
        address,
        queue,
        on_link_state,
        connection: None,
        unacknowledged: VecDeque::new(),
        backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
    };
    while sender.step().await {}
}

impl<F: Fn(Link)> LinkSender<F> {
    /// Waits for the next event and handles it; whether there is more to come.
    async fn step(&mut self) -> bool {
        let message = match self.next_event().await {
            SendEvent::Message(message) => Some(message),
            SendEvent::Acknowledged(frames) => {
                (self.on_link_state)(Link::Up);
                self.backoff.reset();
                self.unacknowledged.drain(..frames.min(self.unacknowledged.len()));
                None
            }
            SendEvent::Closed if self.connection.is_none() => return false,
            SendEvent::Closed => {
                self.connection = None;
                None
            }
            SendEvent::Idle => None,
        };
        if self.unacknowledged.front().is_some_and(|at| at.elapsed() > ACK_TIMEOUT) {
            (self.on_link_state)(Link::Silent);
            self.connection = None;
        }
        if let Some(message) = message {
            if self.connection.is_some() || self.connect().await {
                self.write(&message).await;
            }
        }
        true
    }

    async fn next_event(&self) -> SendEvent {
        let next = async { self.queue.recv().await.map_or(SendEvent::Closed, SendEvent::Message) };
        let Some(connection) = self.connection.as_ref() else {
            return next.await;
        };
        let mut acks = [0u8; 256];
        let acknowledged = async {
            match (&*connection).read(&mut acks).await {
                Ok(frames) if frames > 0 => SendEvent::Acknowledged(frames),
                _ => SendEvent::Closed,
            }
        };
        let idle = async {
            Timer::after(ACK_TIMEOUT).await;
            SendEvent::Idle
        };
        acknowledged.or(next).or(idle).await
    }

    /// Connects; on failure, backoff before the next try. Says whether it is connected.
    async fn connect(&mut self) -> bool {
        self.unacknowledged.clear();
        let connect = async { Some(Async::<TcpStream>::connect(self.address).await) };
        match with_timeout(CONNECT_TIMEOUT, connect).await {
            Some(Ok(connection)) => {
                connection.get_ref().set_nodelay(true).ok();
                self.connection = Some(connection);
                true
            }
            failed => {
                let is_refused = matches!(failed, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
                (self.on_link_state)(if is_refused { Link::Refused } else { Link::Silent });
                // Whatever has queued up meanwhile is out of date.
                while self.queue.try_recv().is_ok() {}
                let pause = self.backoff.next_pause(fastrand::f64());
                Timer::after(Duration::from_micros(pause.0)).await;
                false
            }
        }
    }

    async fn write(&mut self, message: &PeerMessage) {
        let body = bitcode::encode(message);
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&body);
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        let written = with_timeout(WRITE_TIMEOUT, async { connection.write_all(&frame).await.ok() }).await;
        if written.is_none() {
            self.connection = None;
        } else {
            self.unacknowledged.push_back(Instant::now());
        }
    }
}

/// Receives messages over one connection until it is closed or idle for too long.
async fn receive(stream: TcpStream, out: Sender<PeerMessage>) -> Option<()> {
    let mut stream = Async::new(stream).ok()?;
    stream.get_ref().set_nodelay(true).ok();
    loop {
        let mut length = [0u8; 4];
        with_timeout(IDLE_TIMEOUT, async { stream.read_exact(&mut length).await.ok() }).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return None;
        }
        let mut body = vec![0; length];
        with_timeout(IDLE_TIMEOUT, async { stream.read_exact(&mut body).await.ok() }).await?;
        match bitcode::decode(&body) {
            Ok(message) => out.send(message).await.ok()?,
            Err(error) => {
                tracing::warn!(%error, "malformed message from a controller");
                return None;
            }
        }
        with_timeout(WRITE_TIMEOUT, async { stream.write_all(&[1]).await.ok() }).await?;
    }
}

/// Accepts links from other controllers, for ever.
///
/// # Errors
///
/// If the address can't be listened on.
pub async fn listen<S>(address: SocketAddr, out: Sender<PeerMessage>, spawn: S) -> std::io::Result<()>
where
    S: Fn(std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>),
{
    let listener = Async::<TcpListener>::bind(address)?;
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
            // Out of sockets, most likely.
            Err(_) => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}
