//! Emulated machines. Each runs a worker that sends heartbeats to a controller and accepts direct
//! commands.

use crate::cluster::{EmulatedCluster, Side};
use crate::faults::{Delivery, Party, Route};
use crate::fleet::{Fleet, MachineHandle, MACHINE_TYPE};
use crate::server;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use glenhaven::protocol::agents::{Heartbeat, HeartbeatResponse, PushedCommands, Redirect};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven_fakes::http::{Connection, Request, Response};
use glenhaven_fakes::worker::Worker;
use glenhaven_fakes::{wire, SEC};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Time that a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Range of the boot times, as factors of the machine type's boot time.
const MIN_BOOT_FACTOR: f64 = 0.6;
const MAX_BOOT_FACTOR: f64 = 1.5;
/// Largest relative deviation of the interval between heartbeats.
const HEARTBEAT_JITTER: f64 = 0.25;

/// Draws the boot time of a machine.
pub(crate) fn boot_time(cluster: &EmulatedCluster, fleet: &mut Fleet) -> Duration {
    let factor = MIN_BOOT_FACTOR + (MAX_BOOT_FACTOR - MIN_BOOT_FACTOR) * fleet.rng.f64();
    Duration::from_secs_f64(cluster.experiment.workers.boot_s * factor)
}

/// Creates a machine that is up after the time `boot`, and returns its name.
pub(crate) fn create(
    cluster: &Arc<EmulatedCluster>,
    fleet: &mut Fleet,
    zone: &str,
    spot: bool,
    boot: Duration,
) -> String {
    let (number, name) = fleet.cloud.create(cluster.now(), MACHINE_TYPE, zone, spot);
    let Some(kind) = fleet.cloud.machine_type(MACHINE_TYPE).cloned() else {
        return name;
    };
    let addr = cluster.addresses.machine(number);
    let worker = Worker::new(&name, &addr.to_string(), &kind, zone, spot);
    let (wake, wake_requests) = async_channel::bounded(1);
    let (alive, terminated) = async_channel::bounded(1);
    fleet.workers.insert(name.clone(), worker);
    fleet
        .handles
        .insert(name.clone(), MachineHandle { wake, _alive: alive });
    let machine = Machine {
        cluster: cluster.clone(),
        name: name.clone(),
    };
    cluster
        .executor
        .spawn(async move {
            let ends = terminated.clone();
            let run = machine.run(number, boot, wake_requests, terminated);
            run.or(wait_terminated(ends)).await;
        })
        .detach();
    name
}

/// Waits until the machine is terminated: its channel is closed then.
async fn wait_terminated(terminated: Receiver<()>) {
    while terminated.recv().await.is_ok() {}
}

/// One emulated machine.
#[derive(Clone)]
struct Machine {
    cluster: Arc<EmulatedCluster>,
    name: String,
}

/// A heartbeat to send, with its request number and the controller that receives it.
struct Outgoing {
    rid: u64,
    node: usize,
    heartbeat: Heartbeat,
}

impl Machine {
    /// Boots the machine and runs its worker.
    async fn run(self, number: u64, boot: Duration, wake_requests: Receiver<()>, terminated: Receiver<()>) {
        Timer::after(boot).await;
        let listener = match server::listen(self.cluster.addresses.machine(number)) {
            Ok(listener) => listener,
            Err(error) => return self.cluster.stop(error),
        };
        self.finish_boot();
        let (heartbeats, queue) = async_channel::bounded(1);
        let work = self.clone().work(heartbeats, wake_requests);
        let heartbeat = self.clone().heartbeat(queue);
        let direct = self.accept_direct_commands(listener, terminated);
        work.or(heartbeat).or(direct).await;
    }

    fn finish_boot(&self) {
        let mut fleet = self.cluster.fleet();
        let node = fleet.rng.usize(0..self.cluster.nodes.len());
        let now = self.cluster.now();
        if let Some(worker) = fleet.workers.get_mut(&self.name) {
            worker.finish_boot(now, node);
        }
    }

    /// Advances the worker whenever something is due or the machine is woken. Queues the worker's
    /// heartbeats.
    async fn work(self, heartbeats: Sender<Outgoing>, wake_requests: Receiver<()>) {
        while let Some((due, pause)) = self.step() {
            if let Some(outgoing) = due {
                heartbeats.send(outgoing).await.ok();
            }
            let woken = async {
                wake_requests.recv().await.ok();
            };
            let time = async {
                Timer::after(pause).await;
            };
            woken.or(time).await;
        }
    }

    /// Advances the lease, the tasks and the heartbeat schedule. Returns the heartbeat that is due,
    /// if any, and the time until the next step; `None` if the machine is not up.
    fn step(&self) -> Option<(Option<Outgoing>, Duration)> {
        let settings = &self.cluster.experiment.workers;
        let lease = (settings.lease_s * SEC as f64) as u64;
        let mut fleet = self.cluster.fleet();
        let fleet = &mut *fleet;
        let now = self.cluster.now();
        let worker = fleet.workers.get_mut(&self.name).filter(|w| w.up)?;
        if now < worker.hangs_until {
            return Some((None, Duration::from_micros(worker.hangs_until - now)));
        }
        let expired = worker.expire_lease(now, lease);
        if expired.is_some() {
            let incarnation = worker.incarnation();
            fleet
                .history
                .note(now, || format!("{} starts incarnation {incarnation}", self.name));
        }
        fleet.rules.lease_kills += expired.unwrap_or(0);
        let progress = worker.run_tasks(now, &fleet.users, &mut fleet.results);
        fleet.rules.failures += progress.failures;
        let node = worker.node;
        let due = worker.due_heartbeat(now);
        if due.is_some() {
            let factor = 1.0 - HEARTBEAT_JITTER + 2.0 * HEARTBEAT_JITTER * fleet.rng.f64();
            worker.schedule_heartbeat(now + (settings.report_s * factor * SEC as f64) as u64);
        }
        let pause = worker.next_action_at(now, lease).saturating_sub(now);
        for (task, attempt) in &progress.started {
            fleet
                .history
                .note(now, || format!("{} runs {task} attempt {attempt}", self.name));
            fleet
                .rules
                .check_start(now, &self.name, task, &fleet.workers, &fleet.users);
            fleet.rules.check_dependencies(task, &fleet.users, &fleet.results);
        }
        let due = due.map(|(rid, heartbeat)| Outgoing { rid, node, heartbeat });
        Some((due, Duration::from_micros(pause)))
    }

    /// Sends the queued heartbeats and handles their responses.
    async fn heartbeat(self, queue: Receiver<Outgoing>) {
        let mut connection: Option<(usize, Connection)> = None;
        while let Ok(outgoing) = queue.recv().await {
            let node = outgoing.node;
            let reused = connection.take().filter(|(to, _)| *to == node).map(|(_, c)| c);
            let request = Request {
                method: "POST".into(),
                path: "/hello".into(),
                body: to_cbor(&outgoing.heartbeat),
            };
            self.copy_later(node, &request);
            let answered = with_timeout(RESPONSE_TIMEOUT, self.exchange_heartbeat(reused, node, &request)).await;
            let answer = answered.map(|(reused, response)| {
                connection = reused.map(|c| (node, c));
                response
            });
            self.handle_response(outgoing.rid, answer);
        }
    }

    /// Sends a heartbeat over a link that may fail, and returns its response. A heartbeat that is
    /// held back is delivered later, but its response is discarded.
    async fn exchange_heartbeat(
        &self,
        reused: Option<Connection>,
        node: usize,
        request: &Request,
    ) -> Option<(Option<Connection>, Response)> {
        let route = Route::between(Party::Workers, Party::Node(node));
        let faults = &self.cluster.faults;
        if faults.is_held(&route, &self.name) {
            let (machine, request) = (self.clone(), request.clone());
            let late = async move {
                machine.cluster.faults.wait_to_pass(&route, &machine.name).await;
                with_timeout(
                    RESPONSE_TIMEOUT,
                    exchange(&machine.cluster, None, node, Side::Workers, &request),
                )
                .await;
            };
            self.cluster.executor.spawn(late).detach();
            return std::future::pending().await;
        }
        faults.wait_to_pass(&route, &self.name).await;
        if faults.delivery(&route, &self.name) == Delivery::Reset {
            return None;
        }
        let answer = exchange(&self.cluster, reused, node, Side::Workers, request).await;
        faults.wait_to_pass(&route.back(), &self.name).await;
        match faults.delivery(&route.back(), &self.name) {
            Delivery::Deliver => answer,
            _ => None,
        }
    }

    /// If the link copies this heartbeat, sends the copy to a random controller after a delay.
    fn copy_later(&self, node: usize, request: &Request) {
        let route = Route::between(Party::Workers, Party::Node(node));
        let Some(after) = self.cluster.faults.copy_delay(&route, &self.name) else {
            return;
        };
        let (cluster, request) = (self.cluster.clone(), request.clone());
        let to = cluster.fleet().rng.usize(0..cluster.nodes.len());
        let copy = async move {
            Timer::after(after).await;
            with_timeout(RESPONSE_TIMEOUT, exchange(&cluster, None, to, Side::Workers, &request)).await;
        };
        self.cluster.executor.spawn(copy).detach();
    }

    /// Handles the response to a heartbeat; `None` means that there was none in time.
    fn handle_response(&self, rid: u64, answer: Option<Response>) {
        let nodes = self.cluster.nodes.len();
        let mut fleet = self.cluster.fleet();
        let fleet = &mut *fleet;
        let now = self.cluster.now();
        let Some(worker) = fleet.workers.get_mut(&self.name).filter(|w| w.up) else {
            return;
        };
        // A machine that hangs reads the response only after the hang, which is too late.
        let answer = answer.filter(|_| now >= worker.hangs_until);
        let Some((_, sent, incarnation)) = worker.pending_heartbeat.filter(|pending| pending.0 == rid) else {
            return;
        };
        worker.pending_heartbeat = None;
        match read_answer(answer) {
            Answer::Commands(commands) if worker.accepts(commands.fencing_token, incarnation) => {
                let executed = worker.execute_response(now, sent, &commands, &fleet.users);
                fleet.record_fencing_token(now, commands.fencing_token);
                fleet.record_executed(now, &self.name, commands.fencing_token, &executed);
            }
            Answer::Commands(_) => {}
            Answer::Redirect(to) => {
                let to = self.cluster.nodes.iter().position(|node| node.name == to);
                worker.follow_redirect(now, to, nodes);
            }
            Answer::None => worker.try_next_controller(now, nodes),
        }
        wake(fleet, &self.name);
    }

    /// Accepts connections with direct commands.
    async fn accept_direct_commands(self, listener: Async<TcpListener>, terminated: Receiver<()>) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection::new(stream);
            let serve = self
                .clone()
                .serve_direct(connection)
                .or(wait_terminated(terminated.clone()));
            self.cluster.executor.spawn(serve).detach();
        }
    }

    /// Serves direct commands on one connection, subject to link faults.
    async fn serve_direct(self, mut connection: Connection) {
        let route = Route::between(Party::Direct, Party::Workers);
        while let Ok(Some(request)) = connection.read_request().await {
            self.cluster.faults.wait_to_pass(&route, &self.name).await;
            let delivery = self.cluster.faults.delivery(&route, &self.name);
            match delivery {
                Delivery::Reset | Delivery::Refuse => return,
                Delivery::Late(after) => {
                    Timer::after(after).await;
                }
                Delivery::Deliver | Delivery::LoseAnswer => {}
            }
            self.wait_until_responsive().await;
            let Some(response) = self.handle_direct(&request) else {
                return;
            };
            self.repeat_direct_later(&request);
            self.cluster.faults.wait_to_pass(&route.back(), &self.name).await;
            if delivery != Delivery::Deliver
                || self.cluster.faults.delivery(&route.back(), &self.name) != Delivery::Deliver
            {
                return;
            }
            if connection.write_response(&response).await.is_err() {
                return;
            }
        }
    }

    /// If the link copies these direct commands, executes the copy after a delay. Its response reaches
    /// no controller.
    fn repeat_direct_later(&self, request: &Request) {
        let route = Route::between(Party::Direct, Party::Workers);
        let Some(after) = self.cluster.faults.copy_delay(&route, &self.name) else {
            return;
        };
        let (machine, request) = (self.clone(), request.clone());
        let copy = async move {
            Timer::after(after).await;
            machine.wait_until_responsive().await;
            let now = machine.cluster.now();
            machine
                .cluster
                .fleet()
                .history
                .note(now, || format!("{} gets a copy of direct commands", machine.name));
            machine.handle_direct(&request);
        };
        self.cluster.executor.spawn(copy).detach();
    }

    /// Waits until the machine no longer hangs.
    async fn wait_until_responsive(&self) {
        loop {
            let now = self.cluster.now();
            let until = self
                .cluster
                .fleet()
                .workers
                .get(&self.name)
                .map_or(0, |w| w.hangs_until);
            if now >= until {
                return;
            }
            Timer::after(Duration::from_micros(until - now)).await;
        }
    }

    /// Answers a direct request; `None` if the machine is not up.
    fn handle_direct(&self, request: &Request) -> Option<Response> {
        let mut fleet = self.cluster.fleet();
        let fleet = &mut *fleet;
        let now = self.cluster.now();
        let worker = fleet.workers.get_mut(&self.name).filter(|w| w.up)?;
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => 200,
            ("POST", "/do") => {
                let Ok(body) = from_cbor::<PushedCommands>(&request.body) else {
                    return Some(wire::malformed());
                };
                match worker.execute_pushed(now, &body, &fleet.users) {
                    Some(executed) => {
                        fleet.record_executed(now, &self.name, body.fencing_token, &executed);
                        200
                    }
                    None => 409,
                }
            }
            _ => return Some(Response::new(404, vec![])),
        };
        let heartbeat = fleet.workers.get_mut(&self.name)?.heartbeat(now);
        wake(fleet, &self.name);
        Some(Response::new(status, to_cbor(&heartbeat)))
    }
}

/// The response to a heartbeat.
enum Answer {
    /// Commands for the worker.
    Commands(HeartbeatResponse),
    /// The worker must report to the controller of this name.
    Redirect(String),
    /// No response, or one that can't be used.
    None,
}

fn read_answer(answer: Option<Response>) -> Answer {
    let Some(answer) = answer else { return Answer::None };
    match answer.status {
        200 => from_cbor(&answer.body).map_or(Answer::None, Answer::Commands),
        421 => {
            let elsewhere: Option<Redirect> = from_cbor(&answer.body).ok();
            let to = elsewhere.and_then(|e| e.report_to);
            to.map_or(Answer::None, Answer::Redirect)
        }
        _ => Answer::None,
    }
}

/// Wakes a machine's worker, so that it checks for due work.
fn wake(fleet: &Fleet, name: &str) {
    if let Some(handle) = fleet.handles.get(name) {
        handle.wake.try_send(()).ok();
    }
}

/// Limits the time of an operation; `None` if it takes longer than `limit`.
pub(crate) async fn with_timeout<T>(limit: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, late).await
}

/// Sends a request to a controller, over the connection `reused` if there is one. Returns the
/// response, and the connection if it can be reused.
pub(crate) async fn exchange(
    cluster: &EmulatedCluster,
    reused: Option<Connection>,
    node: usize,
    side: Side,
    request: &Request,
) -> Option<(Option<Connection>, Response)> {
    let mut connection = match reused {
        Some(connection) => connection,
        None => Connection::open(cluster.addresses.public(node)).await.ok()?,
    };
    let answer = connection.call(request).await;
    cluster.nodes[node].count(side, connection.take_traffic());
    let response = answer.ok()?;
    let reused = (!response.close).then_some(connection);
    Some((reused, response))
}
