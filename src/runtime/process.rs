//! The process around a controller: opens the sockets, passes events to the controller and performs
//! the controller's effects.
//!
//! Invariant: every effect that expects an answer results in exactly one event, also if the effect
//! is rejected.

use super::agent_client::{self, AgentClients};
use super::cloud_client::CloudClient;
use super::replies::PendingReplies;
use super::state_client::StateClient;
use super::{routes, RuntimeError};
use crate::coordination::{CloudResponse, Controller, Effect, Event, PushResult};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::StoreResponse;
use crate::settings::{Peer, Settings};
use crate::time::Micros;
use crate::transport::server::{HttpRequest, HttpResponse};
use crate::transport::{peers, server};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest interval between two calls of the controller, which checks its timers in each.
const TICK: Duration = Duration::from_millis(20);
/// Maximum number of events in a batch.
const MAX_BATCH: usize = 256;
/// Maximum age of a decision whose effects are still performed. After a longer pause, another
/// controller may be the leader, a job may be cancelled, or the client may have given up.
pub(super) const MAX_DECISION_AGE: Micros = Micros::from_millis(800);
/// Reading of this process's clock at its start; above zero, so that events before the start also
/// have a time.
const CLOCK_START: Micros = Micros::from_millis(24 * 3600 * 1000);
/// Maximum number of messages queued for one other controller.
const OUTGOING_MESSAGES: usize = 256;
/// Maximum number of queued messages received from all other controllers.
const INCOMING_MESSAGES: usize = 1024;
/// Share of the process's sockets that is available to users and agents.
const PUBLIC_SOCKETS: f64 = 0.8;
/// Minimum number of sockets for users and agents.
const MIN_PUBLIC_SOCKETS: usize = 16;

/// The error that ends the process, once there is one.
type Failure = Rc<RefCell<Option<RuntimeError>>>;

/// The connections and queues that the controller's effects use.
struct Process {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    replies: PendingReplies,
    state: StateClient,
    cloud: CloudClient,
    agents: AgentClients,
    /// The queues of messages to the other controllers, by the controllers' names.
    peers: HashMap<String, Sender<PeerMessage>>,
}

/// Returns the answer of a controller that can't handle a request now: status 503 with
/// `retry-after`.
pub(super) fn retry_later() -> HttpResponse {
    HttpResponse {
        status: 503,
        body: vec![],
        retry_after_s: Some(1),
    }
}

/// Opens the sockets and runs the controller until a listening socket fails.
pub(super) async fn serve(executor: Rc<LocalExecutor<'static>>, settings: Settings) -> Result<(), RuntimeError> {
    let started_at = Instant::now();
    let now = move || CLOCK_START + Micros(started_at.elapsed().as_micros() as u64);
    let (events, queue) = async_channel::unbounded::<Event>();
    let process = Process::new(executor, events, &settings)?;
    let failure = Failure::default();
    process.listen_for_peers(&settings, &failure)?;
    process.listen_for_requests(&settings, &failure)?;
    tracing::info!(
        node = settings.node,
        zone = settings.zone,
        addr = settings.public_addr,
        "started"
    );
    // Controllers that start at the same moment must not retry at the same times.
    let seed = fastrand::u64(..) ^ hash_name(&settings.node);
    let mut controller = Controller::new(settings, seed, now());
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    controller.set_time_of_day(now(), since_1970.map_or(0, |d| d.as_millis() as u64));
    process.run(&mut controller, &queue, now, &failure).await
}

/// Returns the FNV-1a hash of a controller's name.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn parse_address(setting: &'static str, address: &str) -> Result<SocketAddr, RuntimeError> {
    address.parse().map_err(|_| not_an_address(setting, address))
}

fn not_an_address(setting: &'static str, address: &str) -> RuntimeError {
    RuntimeError::NotAnAddress {
        setting,
        address: address.to_string(),
    }
}

impl Process {
    fn new(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
        settings: &Settings,
    ) -> Result<Process, RuntimeError> {
        let mut links = HashMap::new();
        for peer in &settings.peers {
            let address = parse_address("peers.addr", &peer.addr)?;
            links.insert(peer.node.clone(), start_link(&executor, peer, address, &events));
        }
        let services = &settings.services;
        Ok(Process {
            executor,
            events,
            replies: PendingReplies::default(),
            state: StateClient::new(&services.state)
                .ok_or_else(|| not_an_address("services.state", &services.state))?,
            cloud: CloudClient::new(&services.cloud)
                .ok_or_else(|| not_an_address("services.cloud", &services.cloud))?,
            agents: AgentClients::default(),
            peers: links,
        })
    }

    /// Accepts links from other controllers.
    fn listen_for_peers(&self, settings: &Settings, failure: &Failure) -> Result<(), RuntimeError> {
        let setting = "peer_bind";
        let address = parse_address(setting, &settings.peer_bind)?;
        let (incoming, messages) = async_channel::bounded::<PeerMessage>(INCOMING_MESSAGES);
        let (spawner, failure, name) = (self.executor.clone(), failure.clone(), settings.peer_bind.clone());
        let listen = async move {
            let spawn = move |connection| spawner.spawn(connection).detach();
            if let Err(source) = peers::listen(address, incoming, spawn).await {
                *failure.borrow_mut() = Some(RuntimeError::CannotListen {
                    setting,
                    address: name,
                    source,
                });
            }
        };
        self.executor.spawn(listen).detach();
        let events = self.events.clone();
        let forward = async move {
            while let Ok(message) = messages.recv().await {
                events.send(Event::Peer(message)).await.ok();
            }
        };
        self.executor.spawn(forward).detach();
        Ok(())
    }

    /// Accepts requests of users, agents and the load balancer.
    fn listen_for_requests(&self, settings: &Settings, failure: &Failure) -> Result<(), RuntimeError> {
        let (replies, events) = (self.replies.clone(), self.events.clone());
        let handler = move |request: HttpRequest| routes::answer(request, replies.clone(), events.clone());
        let setting = "public_addr";
        let address = parse_address(setting, &settings.public_addr)?;
        let limit = (f64::from(settings.params.resources.sockets) * PUBLIC_SOCKETS) as usize;
        let (spawner, failure, name) = (self.executor.clone(), failure.clone(), settings.public_addr.clone());
        let listen = async move {
            let spawn = move |connection| spawner.spawn(connection).detach();
            if let Err(source) = server::listen(address, limit.max(MIN_PUBLIC_SOCKETS), handler, spawn).await {
                *failure.borrow_mut() = Some(RuntimeError::CannotListen {
                    setting,
                    address: name,
                    source,
                });
            }
        };
        self.executor.spawn(listen).detach();
        Ok(())
    }

    /// Passes batches of events to the controller and performs its effects, until an error ends the
    /// process.
    async fn run(
        &self,
        controller: &mut Controller,
        queue: &Receiver<Event>,
        now: impl Fn() -> Micros,
        failure: &Failure,
    ) -> Result<(), RuntimeError> {
        loop {
            let batch = next_batch(queue).await;
            let decided_at = now();
            for effect in controller.handle(decided_at, batch) {
                // The process may have been paused since the decision.
                if now().since(decided_at) > MAX_DECISION_AGE {
                    self.reject_expired(effect);
                } else {
                    self.perform(effect);
                }
            }
            if let Some(error) = failure.borrow_mut().take() {
                return Err(error);
            }
        }
    }

    /// Performs an effect.
    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Reply { id, answer } => self.replies.complete(id, answer),
            Effect::Store { id, request, timeout } => {
                let state = self.state.clone();
                self.spawn(async move {
                    let answer = state.send(request, timeout).await;
                    Event::Store { id, answer }
                });
            }
            Effect::Cloud { id, request, timeout } => {
                let cloud = self.cloud.clone();
                self.spawn(async move {
                    let answer = cloud.send(request, timeout).await;
                    Event::Cloud { id, answer }
                });
            }
            Effect::PushedCommands {
                id,
                addr,
                body,
                timeout,
            } => {
                let client = self.agents.get(&addr);
                self.spawn(async move {
                    let answer = agent_client::push(client, body, timeout).await;
                    Event::PushResult { id, answer }
                });
            }
            Effect::Peer { to, message } => {
                if let Some(peer) = self.peers.get(&to) {
                    // A full queue means that the link is down. Dropping the message is safe: every
                    // message is either repeated or has a time limit.
                    peer.try_send(message).ok();
                }
            }
        }
    }

    /// Rejects an effect whose decision is too old: the controller gets an event which says that
    /// the effect was not performed, and a client gets [`retry_later`] in place of a success.
    fn reject_expired(&self, effect: Effect) {
        let event = match effect {
            Effect::Reply { id, answer } => {
                let answer = if answer.status < 300 { retry_later() } else { answer };
                return self.replies.complete(id, answer);
            }
            Effect::Store { id, .. } => Event::Store {
                id,
                answer: StoreResponse::Refused,
            },
            Effect::Cloud { id, .. } => Event::Cloud {
                id,
                answer: CloudResponse::Refused,
            },
            Effect::PushedCommands { id, .. } => Event::PushResult {
                id,
                answer: PushResult::NotSent,
            },
            Effect::Peer { .. } => return,
        };
        self.spawn(async move { event });
    }

    /// Runs a request in the background and queues the event that it results in.
    fn spawn(&self, request: impl std::future::Future<Output = Event> + 'static) {
        let events = self.events.clone();
        self.executor
            .spawn(async move {
                let event = request.await;
                events.send(event).await.ok();
            })
            .detach();
    }
}

/// Starts the link to another controller and returns the queue of messages to that controller. Each
/// change of the link's state becomes an event.
fn start_link(
    executor: &LocalExecutor<'static>,
    peer: &Peer,
    address: SocketAddr,
    events: &Sender<Event>,
) -> Sender<PeerMessage> {
    let (messages, queue) = async_channel::bounded(OUTGOING_MESSAGES);
    let (node, events, last) = (peer.node.clone(), events.clone(), Cell::new(None));
    let on_change = move |link: Link| {
        if last.replace(Some(link)) != Some(link) {
            let node = node.clone();
            events.try_send(Event::Link { node, link }).ok();
        }
    };
    executor.spawn(peers::send_messages(address, queue, on_change)).detach();
    messages
}

/// Returns the queued events, at most [`MAX_BATCH`]; an empty batch if no event comes within
/// [`TICK`].
async fn next_batch(queue: &Receiver<Event>) -> Vec<Event> {
    let first = async { queue.recv().await.ok() };
    let tick = async {
        Timer::after(TICK).await;
        None
    };
    let mut batch: Vec<Event> = first.or(tick).await.into_iter().collect();
    while batch.len() < MAX_BATCH {
        match queue.try_recv() {
            Ok(event) => batch.push(event),
            Err(_) => break,
        }
    }
    batch
}
