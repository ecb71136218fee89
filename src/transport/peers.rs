//! Links between controllers: one outgoing connection to each, with bitcode messages in
//! length-prefixed frames.
//!
//! The receiver acknowledges every frame with one byte. Without acknowledgements, writes to a
//! connection that the receiver has dropped, for example while this process was paused, would
//! succeed indefinitely.

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

/// Largest frame, in bytes. A forwarded list of keys takes up to 512 KiB.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// First pause between attempts to connect. The attempts are spaced so that a controller that comes
/// back is not overloaded.
const INITIAL_BACKOFF: Micros = Micros::from_millis(200);
/// Longest pause between attempts to connect.
const MAX_BACKOFF: Micros = Micros::from_millis(800);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for writing a frame or an acknowledgement.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the acknowledgement of a frame; after it, the link counts as silent and the
/// connection is dropped.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for receiving a frame's length, and for its body; after it, the receiver closes the
/// connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An event on the sending side of a link.
enum SendEvent {
    /// A queued message, to be sent.
    Message(PeerMessage),
    /// The receiver has acknowledged this many more frames.
    Acknowledged(usize),
    /// The connection or the queue of messages was closed.
    Closed,
    /// Nothing happened within [`ACK_TIMEOUT`].
    Idle,
}

/// The sending side of a link.
struct LinkSender<F> {
    address: SocketAddr,
    queue: Receiver<PeerMessage>,
    /// Called with the link's state after each success or failure that shows the state, also if the
    /// state is unchanged.
    on_link_state: F,
    connection: Option<Async<TcpStream>>,
    /// The times at which the frames without an acknowledgement were sent, oldest first.
    unacknowledged: VecDeque<Instant>,
    backoff: Backoff,
}

/// Sends queued messages to one controller until the queue is closed. Messages are lost while the
/// link is down, which is safe because every message is either repeated or has a time limit.
pub async fn send_messages(address: SocketAddr, queue: Receiver<PeerMessage>, on_link_state: impl Fn(Link)) {
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
    /// Waits for the next event and handles it. Returns false when the queue is closed and there is
    /// no connection.
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

    /// Opens a connection; after a failure, waits for the back-off time. Returns whether the
    /// connection is open.
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
                // Messages that were queued in the meantime are out of date.
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

/// Receives messages over one connection until it is closed, idle for too long, or delivers a
/// malformed frame.
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

/// Accepts links from other controllers. Returns only on failure.
///
/// # Errors
///
/// Returns the system's error if the address can't be listened on.
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
            // The process is probably out of sockets.
            Err(_) => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}
