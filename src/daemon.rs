//! Joins the layers into a process: sockets on one side, the owner of all state
//! on the other, and a queue of commands between them.

use crate::coordination::{CloudRequest, CloudResponse, Controller, Effect, Event, PushResult, UserRequest};
use crate::protocol::agents::{Heartbeat, PushedCommands};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{Lease, NewLease, Revision, Row, Rows, StoreRequest, StoreResponse, WatchEvents};
use crate::protocol::users::ErrorBody;
use crate::protocol::{from_cbor, to_cbor};
use crate::settings::Settings;
use crate::time::Micros;
use crate::transport::client::{CallResult, Client};
use crate::transport::server::{Incoming, Outgoing};
use crate::transport::{peers, server};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The owner of all state looks at its clocks at least this often.
const TICK: Duration = Duration::from_millis(20);
/// Commands taken from the queue at once.
const BATCH: usize = 256;
/// What was decided longer ago than this is not done any more: another node may
/// lead by now, a job may be cancelled, whoever asked may have given up.
const DECIDED: Micros = Micros::from_millis(800);
/// Where this process's clock begins: what came before its start has a time too.
const AGO: Micros = Micros::from_millis(24 * 3600 * 1000);
/// Machines whose connections are kept.
const WORKERS: usize = 256;

type Replies = Rc<RefCell<HashMap<u64, Sender<(Instant, Outgoing)>>>>;

struct Process {
    ex: Rc<LocalExecutor<'static>>,
    commands: Sender<Event>,
    replies: Replies,
    state: Rc<Client>,
    watches: Rc<Client>,
    cloud: Rc<Client>,
    workers: RefCell<HashMap<String, Rc<Client>>>,
    peers: HashMap<String, Sender<PeerMessage>>,
}

/// Escapes a key for use in a query.
fn query(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~/".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
    out
}

fn read<T: serde::de::DeserializeOwned, A>(body: &[u8], unknown: A, then: impl FnOnce(T) -> A) -> A {
    match from_cbor(body) {
        Ok(message) => then(message),
        Err(error) => {
            // A malformed answer is no answer; what it answered may be done.
            tracing::warn!(%error, "malformed answer");
            unknown
        }
    }
}

/// Makes one request to the state service.
async fn ask_state(state: &Client, watches: &Client, request: StoreRequest, timeout: Micros) -> StoreResponse {
    let watch = matches!(request, StoreRequest::Watch { .. });
    let (method, path, body) = match &request {
        StoreRequest::Get { key } => (Method::Get, format!("/kv/{key}"), None),
        StoreRequest::List { prefix, after } => {
            let after = if after.is_empty() {
                String::new()
            } else {
                format!("&after={}", query(after))
            };
            (
                Method::Get,
                format!("/kv?prefix={}{after}&most=1000", query(prefix)),
                None,
            )
        }
        StoreRequest::Transaction(txn) => (Method::Post, "/txn".into(), Some(to_cbor(txn))),
        StoreRequest::Grant { ttl_ms } => (
            Method::Post,
            "/holds".into(),
            Some(to_cbor(&NewLease { ttl_ms: *ttl_ms })),
        ),
        StoreRequest::Renew { lease } => (Method::Post, format!("/holds/{lease}/touch"), None),
        StoreRequest::Drop { lease } => (Method::Delete, format!("/holds/{lease}"), None),
        StoreRequest::Watch { prefix, after, wait_ms } => (
            Method::Get,
            format!("/follow?prefix={}&after={after}&wait_ms={wait_ms}", query(prefix)),
            None,
        ),
    };
    let client = if watch { watches } else { state };
    let (status, body) = match client.call(method, &path, body, timeout).await {
        CallResult::Answer { status, body } => (status, body),
        CallResult::NotSent => return StoreResponse::Refused,
        CallResult::NoAnswer => return StoreResponse::Unknown,
    };
    use StoreResponse as A;
    match (status, &request) {
        (429, StoreRequest::Transaction(txn)) if !txn.changes.is_empty() => A::Limited,
        (429 | 503, _) => A::Refused,
        (200, StoreRequest::Get { .. }) => read(&body, A::Unknown, |row: Row| A::Row(row)),
        (404, StoreRequest::Get { .. }) => read(&body, A::Unknown, |r: Revision| A::Missing { revision: r.revision }),
        (200, StoreRequest::List { .. }) => read(&body, A::Unknown, |rows: Rows| A::Rows(rows)),
        (200, StoreRequest::Transaction(_)) => {
            read(&body, A::Unknown, |r: Revision| A::Committed { revision: r.revision })
        }
        (409, StoreRequest::Transaction(_)) => read(&body, A::Unknown, |r: Revision| A::Conflict {
            failed: r.failed,
            revision: r.revision,
        }),
        (400, StoreRequest::Transaction(_)) => read(&body, A::Malformed, |e: ErrorBody| {
            if e.error == "no such lease" {
                A::NoLease
            } else {
                tracing::error!(error = e.error, "the state service refuses a transaction");
                A::Malformed
            }
        }),
        (200, StoreRequest::Grant { .. }) => read(&body, A::Unknown, |l: Lease| A::Lease(l.lease)),
        (200, StoreRequest::Renew { lease }) => A::Lease(*lease),
        (200 | 204, StoreRequest::Drop { lease }) => A::Lease(*lease),
        (404, StoreRequest::Renew { .. } | StoreRequest::Drop { .. }) => A::NoLease,
        (200, StoreRequest::Watch { .. }) => read(&body, A::Unknown, |e: WatchEvents| A::Events(e)),
        (410, StoreRequest::Watch { .. }) => A::Compacted,
        (400, _) => {
            tracing::error!(path, "the state service calls a request malformed");
            A::Malformed
        }
        _ => A::Unknown,
    }
}

/// Makes one call to the cloud.
async fn ask_cloud(cloud: &Client, request: CloudRequest, timeout: Micros) -> CloudResponse {
    let (method, path, body) = match &request {
        CloudRequest::Catalogue => (Method::Get, "/catalog".into(), None),
        CloudRequest::Provision(rent) => (Method::Post, "/machines".into(), Some(to_cbor(rent))),
        CloudRequest::Release(hosts) => (Method::Post, "/machines/release".into(), Some(to_cbor(hosts))),
        CloudRequest::List { after } if after.is_empty() => (Method::Get, "/machines?most=500".into(), None),
        CloudRequest::List { after } => (Method::Get, format!("/machines?after={}&most=500", query(after)), None),
    };
    let (status, body) = match cloud.call(method, &path, body, timeout).await {
        CallResult::Answer { status, body } => (status, body),
        CallResult::NotSent => return CloudResponse::Refused,
        CallResult::NoAnswer => return CloudResponse::Unknown,
    };
    use CloudResponse as A;
    match (status, &request) {
        (200, CloudRequest::Catalogue) => read(&body, A::Unknown, A::Catalogue),
        (200, CloudRequest::Provision(_)) => read(&body, A::Unknown, |h: crate::protocol::cloud::MachineNames| {
            A::Rented(h.machines)
        }),
        (200, CloudRequest::Release(_)) => A::Released,
        (200, CloudRequest::List { .. }) => read(&body, A::Unknown, A::List),
        (503, CloudRequest::Provision(_)) => read(&body, A::Refused, |e: ErrorBody| {
            if e.error == "no capacity" {
                A::NoCapacity
            } else {
                A::Refused
            }
        }),
        (429 | 503, _) => A::Refused,
        (400, _) => {
            tracing::error!(path, "the cloud calls a request malformed");
            A::Malformed
        }
        _ => A::Unknown,
    }
}

/// Sends commands straight to a worker.
async fn ask_worker(client: Option<Rc<Client>>, body: PushedCommands, timeout: Micros) -> PushResult {
    let Some(client) = client else {
        return PushResult::NotSent;
    };
    match client.call(Method::Post, "/do", Some(to_cbor(&body)), timeout).await {
        CallResult::Answer { status: 200, body } => {
            read(&body, PushResult::Unknown, |r: Heartbeat| PushResult::Done(r))
        }
        CallResult::Answer { status: 409, body } => {
            read(&body, PushResult::Unknown, |r: Heartbeat| PushResult::Rejected(r))
        }
        CallResult::NotSent => PushResult::NotSent,
        _ => {
            client.forget();
            PushResult::Unknown
        }
    }
}

/// The answer of a node that can't give one just now.
fn come_back() -> Outgoing {
    Outgoing {
        status: 503,
        body: vec![],
        retry_after_s: Some(1),
    }
}

impl Process {
    fn worker(&self, addr: &str) -> Option<Rc<Client>> {
        let mut workers = self.workers.borrow_mut();
        if let Some(client) = workers.get(addr) {
            return Some(client.clone());
        }
        if workers.len() >= WORKERS {
            workers.clear();
        }
        let client = Client::new(addr, 1)?;
        workers.insert(addr.to_string(), client.clone());
        Some(client)
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Reply { id, answer } => {
                if let Some(reply) = self.replies.borrow_mut().remove(&id) {
                    reply.try_send((Instant::now(), answer)).ok();
                }
            }
            Effect::Store { id, request, timeout } => {
                let (state, watches) = (self.state.clone(), self.watches.clone());
                self.spawn(async move {
                    let answer = ask_state(&state, &watches, request, timeout).await;
                    Event::Store { id, answer }
                });
            }
            Effect::Cloud { id, request, timeout } => {
                let cloud = self.cloud.clone();
                self.spawn(async move {
                    let answer = ask_cloud(&cloud, request, timeout).await;
                    Event::Cloud { id, answer }
                });
            }
            Effect::PushedCommands {
                id,
                addr,
                body,
                timeout,
            } => {
                let client = self.worker(&addr);
                self.spawn(async move {
                    let answer = ask_worker(client, body, timeout).await;
                    Event::PushedCommands { id, answer }
                });
            }
            Effect::Peer { to, message } => {
                if let Some(peer) = self.peers.get(&to) {
                    // A full queue means a dead link; the message is repeated
                    // or has a time limit.
                    peer.try_send(message).ok();
                }
            }
        }
    }

    /// Says of an effect that it was not performed.
    fn withdraw(&self, effect: Effect) {
        let command = match effect {
            Effect::Reply { id, answer } => {
                let answer = if answer.status < 300 { come_back() } else { answer };
                return self.perform(Effect::Reply { id, answer });
            }
            Effect::Store { id, .. } => Event::Store {
                id,
                answer: StoreResponse::Refused,
            },
            Effect::Cloud { id, .. } => Event::Cloud {
                id,
                answer: CloudResponse::Refused,
            },
            Effect::PushedCommands { id, .. } => Event::PushedCommands {
                id,
                answer: PushResult::NotSent,
            },
            Effect::Peer { .. } => return,
        };
        self.spawn(async move { command });
    }

    fn spawn(&self, work: impl std::future::Future<Output = Event> + 'static) {
        let commands = self.commands.clone();
        self.ex
            .spawn(async move {
                let command = work.await;
                commands.send(command).await.ok();
            })
            .detach();
    }
}

/// What a path and method mean, or the status to answer with.
fn route(request: Incoming) -> Result<Route, u16> {
    let method = request.method;
    let get = method == Method::Get;
    let post = method == Method::Post;
    let path = request.path.as_str();
    let user = |yes: bool, r: UserRequest| if yes { Ok(Route::User(r)) } else { Err(405) };
    match path {
        "/ready" => user(get, UserRequest::Ready),
        "/v2/runs" => user(post, UserRequest::Submit(request.body)),
        "/hello" if !post => Err(405),
        "/hello" => match from_cbor::<Heartbeat>(&request.body) {
            Ok(heartbeat) => Ok(Route::Heartbeat(heartbeat)),
            Err(error) => {
                tracing::warn!(%error, "malformed report");
                Err(400)
            }
        },
        _ => {
            let Some(rest) = path.strip_prefix("/v2/runs/") else {
                return Err(404);
            };
            match rest.split_once('/') {
                None => user(get, UserRequest::Poll(rest.to_string())),
                Some((job, "abort")) => user(post, UserRequest::Abort(job.to_string())),
                Some(_) => Err(404),
            }
        }
    }
}

enum Route {
    User(UserRequest),
    Heartbeat(Heartbeat),
}

/// Runs a controller until the process is killed.
pub fn run(settings: Settings) -> Result<(), String> {
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.clone().run(serve(ex, settings)))
}

async fn serve(ex: Rc<LocalExecutor<'static>>, settings: Settings) -> Result<(), String> {
    let began = Instant::now();
    let now = move || AGO + Micros(began.elapsed().as_micros() as u64);
    let (commands, queue) = async_channel::unbounded::<Event>();
    let (from_peers, peer_queue) = async_channel::bounded::<PeerMessage>(1024);
    let replies: Replies = Rc::default();
    let client =
        |name: &str, addr: &str, keep| Client::new(addr, keep).ok_or(format!("{name}: \"{addr}\" is not an address"));
    let mut links = HashMap::new();
    for peer in &settings.peers {
        let addr = peer.addr.parse().map_err(|_| format!("peers.addr: {}", peer.addr))?;
        let (to, queue) = async_channel::bounded(256);
        let (name, told, last) = (peer.node.clone(), commands.clone(), Cell::new(None));
        let tell = move |link: Link| {
            if last.replace(Some(link)) != Some(link) {
                let node = name.clone();
                told.try_send(Event::Link { node, link }).ok();
            }
        };
        ex.spawn(peers::send(addr, queue, tell)).detach();
        links.insert(peer.node.clone(), to);
    }
    let process = Process {
        ex: ex.clone(),
        commands: commands.clone(),
        replies: replies.clone(),
        state: client("services.state", &settings.services.state, 8)?,
        watches: client("services.state", &settings.services.state, 2)?,
        cloud: client("services.cloud", &settings.services.cloud, 2)?,
        workers: RefCell::default(),
        peers: links,
    };
    let failed: Rc<RefCell<Option<String>>> = Rc::default();

    let peer_addr = settings.peer_bind.parse().map_err(|_| "peer_bind".to_string())?;
    let (spawner, fail, name) = (ex.clone(), failed.clone(), settings.peer_bind.clone());
    ex.spawn(async move {
        let spawn = move |f| spawner.spawn(f).detach();
        if let Err(error) = peers::listen(peer_addr, from_peers, spawn).await {
            *fail.borrow_mut() = Some(format!("peer_bind: {name}: {error}"));
        }
    })
    .detach();
    let forward = commands.clone();
    ex.spawn(async move {
        while let Ok(message) = peer_queue.recv().await {
            forward.send(Event::Peer(message)).await.ok();
        }
    })
    .detach();

    let numbers = Rc::new(Cell::new(0u64));
    let handler_replies = replies.clone();
    let handler = move |request: Incoming| {
        let (replies, numbers, commands) = (handler_replies.clone(), numbers.clone(), commands.clone());
        async move {
            let command = match route(request) {
                Ok(command) => command,
                Err(status) => {
                    return Outgoing {
                        status,
                        ..Outgoing::default()
                    }
                }
            };
            numbers.set(numbers.get() + 1);
            let id = numbers.get();
            let (reply, answer) = async_channel::bounded(1);
            replies.borrow_mut().insert(id, reply);
            // A connection that is given up drops this future; its entry goes.
            let _guard = Guard {
                id,
                replies: replies.clone(),
            };
            let command = match command {
                Route::User(request) => Event::User { id, request },
                Route::Heartbeat(heartbeat) => Event::Heartbeat { id, heartbeat },
            };
            commands.send(command).await.ok();
            match answer.recv().await {
                // The process may have stood still since the answer was given.
                Ok((given, answer)) if given.elapsed() < Duration::from_micros(DECIDED.0) || answer.status >= 300 => {
                    answer
                }
                _ => come_back(),
            }
        }
    };
    let public = settings.public_addr.parse().map_err(|_| "public_addr".to_string())?;
    let limit = (f64::from(settings.params.resources.sockets) * 0.8) as usize;
    let (spawner, fail, name) = (ex.clone(), failed.clone(), settings.public_addr.clone());
    ex.spawn(async move {
        let spawn = move |f| spawner.spawn(f).detach();
        if let Err(error) = server::listen(public, limit.max(16), handler, spawn).await {
            *fail.borrow_mut() = Some(format!("public_addr: {name}: {error}"));
        }
    })
    .detach();

    tracing::info!(
        node = settings.node,
        zone = settings.zone,
        addr = settings.public_addr,
        "started"
    );
    // Nodes that begin in the same moment must not retry in step.
    let seed = fastrand::u64(..) ^ own_number(&settings.node);
    let mut core = Controller::new(settings, seed, now());
    let day = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    core.set_time_of_day(now(), day.map_or(0, |d| d.as_millis() as u64));
    own(&mut core, &process, &queue, now, &failed).await
}

/// A number of the node's name (FNV-1a).
fn own_number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

struct Guard {
    id: u64,
    replies: Replies,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.replies.borrow_mut().remove(&self.id);
    }
}

/// The owner's loop: batches of commands in, effects out.
async fn own(
    core: &mut Controller,
    process: &Process,
    queue: &Receiver<Event>,
    now: impl Fn() -> Micros,
    failed: &RefCell<Option<String>>,
) -> Result<(), String> {
    loop {
        let first = async { queue.recv().await.ok() };
        let tick = async {
            Timer::after(TICK).await;
            None
        };
        let mut batch: Vec<Event> = first.or(tick).await.into_iter().collect();
        while batch.len() < BATCH {
            match queue.try_recv() {
                Ok(command) => batch.push(command),
                Err(_) => break,
            }
        }
        let decided = now();
        for effect in core.handle(decided, batch) {
            // The process may have stood still between the decision and here.
            if now().since(decided) > DECIDED {
                process.withdraw(effect);
            } else {
                process.perform(effect);
            }
        }
        if let Some(why) = failed.borrow_mut().take() {
            return Err(why);
        }
    }
}
