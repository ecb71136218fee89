//! Machines: each a worker that reports to a controller and takes direct commands.

use crate::faults::{Fate, Party, Route};
use crate::fleet::{Fleet, Link, MACHINE_TYPE};
use crate::lab::{Lab, Side};
use crate::server;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use glenhaven::protocol::workers::{Direct, Elsewhere, Orders, Report};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven_standins::http::{Connection, Request, Response};
use glenhaven_standins::worker::Worker;
use glenhaven_standins::{wire, SEC};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// How long a worker waits for the answer to a report.
const ANSWER: Duration = Duration::from_secs(4);
/// Boot times are these parts of the machine type's.
const SHORTEST_BOOT: f64 = 0.6;
const LONGEST_BOOT: f64 = 1.5;
/// Pauses between reports vary by so large a part.
const REPORTS_VARY: f64 = 0.25;

/// How long a machine boots.
pub fn boot_time(lab: &Lab, fleet: &mut Fleet) -> Duration {
    let part = SHORTEST_BOOT + (LONGEST_BOOT - SHORTEST_BOOT) * fleet.rng.f64();
    Duration::from_secs_f64(lab.experiment.workers.boot_s * part)
}

/// Creates a machine that comes up after a while: its name.
pub fn create(lab: &Arc<Lab>, fleet: &mut Fleet, zone: &str, spot: bool, boot: Duration) -> String {
    let (number, name) = fleet.cloud.create(lab.now(), MACHINE_TYPE, zone, spot);
    let Some(kind) = fleet.cloud.machine_type(MACHINE_TYPE).cloned() else {
        return name;
    };
    let addr = lab.addresses.machine(number);
    let worker = Worker::new(&name, &addr.to_string(), &kind, zone, spot);
    let (poke, poked) = async_channel::bounded(1);
    let (alive, gone) = async_channel::bounded(1);
    fleet.workers.insert(name.clone(), worker);
    fleet.links.insert(name.clone(), Link { poke, _alive: alive });
    let machine = Machine {
        lab: lab.clone(),
        name: name.clone(),
    };
    lab.executor
        .spawn(async move {
            let ends = gone.clone();
            let life = machine.live(number, boot, poked, gone);
            life.or(closed(ends)).await;
        })
        .detach();
    name
}

/// Waits until the machine is gone.
async fn closed(gone: Receiver<()>) {
    while gone.recv().await.is_ok() {}
}

/// One machine.
#[derive(Clone)]
struct Machine {
    lab: Arc<Lab>,
    name: String,
}

/// A report to be sent.
struct Outgoing {
    rid: u64,
    node: usize,
    report: Report,
}

impl Machine {
    async fn live(self, number: u64, boot: Duration, poked: Receiver<()>, gone: Receiver<()>) {
        Timer::after(boot).await;
        let listener = match server::listen(self.lab.addresses.machine(number)) {
            Ok(listener) => listener,
            Err(error) => return self.lab.stop(error),
        };
        self.comes_up();
        let (reports, queue) = async_channel::bounded(1);
        let work = self.clone().work(reports, poked);
        let report = self.clone().report(queue);
        let direct = self.take_direct_commands(listener, gone);
        work.or(report).or(direct).await;
    }

    fn comes_up(&self) {
        let mut fleet = self.lab.fleet();
        let node = fleet.rng.usize(0..self.lab.nodes.len());
        let now = self.lab.now();
        if let Some(worker) = fleet.workers.get_mut(&self.name) {
            worker.boots(now, node);
        }
    }

    /// Does what the worker does by itself, whenever it is time.
    async fn work(self, reports: Sender<Outgoing>, poked: Receiver<()>) {
        while let Some((due, pause)) = self.step() {
            if let Some(outgoing) = due {
                reports.send(outgoing).await.ok();
            }
            let woken = async {
                poked.recv().await.ok();
            };
            let time = async {
                Timer::after(pause).await;
            };
            woken.or(time).await;
        }
    }

    /// One look at tasks, lease and report: the report that is due, and how long nothing
    /// else happens; nothing if the machine is gone.
    fn step(&self) -> Option<(Option<Outgoing>, Duration)> {
        let settings = &self.lab.experiment.workers;
        let lease = (settings.lease_s * SEC as f64) as u64;
        let mut fleet = self.lab.fleet();
        let fleet = &mut *fleet;
        let now = self.lab.now();
        let worker = fleet.workers.get_mut(&self.name).filter(|w| w.up)?;
        if now < worker.hangs_until {
            return Some((None, Duration::from_micros(worker.hangs_until - now)));
        }
        let expired = worker.expire_lease(now, lease);
        if expired.is_some() {
            let session = worker.session();
            fleet
                .history
                .note(now, || format!("{} begins session {session}", self.name));
        }
        fleet.rules.lease_kills += expired.unwrap_or(0);
        let progress = worker.run_tasks(now, &fleet.users, &mut fleet.results);
        fleet.rules.failures += progress.failures;
        let node = worker.node;
        let due = worker.due_report(now);
        if due.is_some() {
            let part = 1.0 - REPORTS_VARY + 2.0 * REPORTS_VARY * fleet.rng.f64();
            worker.report_next(now + (settings.report_s * part * SEC as f64) as u64);
        }
        let pause = worker.wakes_at(now, lease).saturating_sub(now);
        for (task, attempt) in &progress.started {
            fleet
                .history
                .note(now, || format!("{} runs {task} attempt {attempt}", self.name));
            fleet.rules.started(now, &self.name, task, &fleet.workers, &fleet.users);
            fleet.rules.started_in_order(task, &fleet.users, &fleet.results);
        }
        let due = due.map(|(rid, report)| Outgoing { rid, node, report });
        Some((due, Duration::from_micros(pause)))
    }

    /// Sends reports and takes in their answers.
    async fn report(self, queue: Receiver<Outgoing>) {
        let mut connection: Option<(usize, Connection)> = None;
        while let Ok(outgoing) = queue.recv().await {
            let node = outgoing.node;
            let kept = connection.take().filter(|(to, _)| *to == node).map(|(_, c)| c);
            let request = Request {
                method: "POST".into(),
                path: "/hello".into(),
                body: to_cbor(&outgoing.report),
            };
            self.copy_later(node, &request);
            let answered = within(ANSWER, self.exchange_report(kept, node, &request)).await;
            let answer = answered.map(|(kept, response)| {
                connection = kept.map(|c| (node, c));
                response
            });
            self.answered(outgoing.rid, answer);
        }
    }

    /// Sends a report over a link that may fail, and takes its answer. A report that is held
    /// back arrives later, though nobody waits for the answer any more.
    async fn exchange_report(
        &self,
        kept: Option<Connection>,
        node: usize,
        request: &Request,
    ) -> Option<(Option<Connection>, Response)> {
        let there = Route::between(Party::Workers, Party::Node(node));
        let faults = &self.lab.faults;
        if faults.is_held(&there, &self.name) {
            let (machine, request) = (self.clone(), request.clone());
            let late = async move {
                machine.lab.faults.passes(&there, &machine.name).await;
                within(ANSWER, exchange(&machine.lab, None, node, Side::Workers, &request)).await;
            };
            self.lab.executor.spawn(late).detach();
            return std::future::pending().await;
        }
        faults.passes(&there, &self.name).await;
        if faults.fate(&there, &self.name) == Fate::Reset {
            return None;
        }
        let answer = exchange(&self.lab, kept, node, Side::Workers, request).await;
        faults.passes(&there.back(), &self.name).await;
        match faults.fate(&there.back(), &self.name) {
            Fate::Deliver => answer,
            _ => None,
        }
    }

    /// A copy of a report may arrive again much later, at any controller.
    fn copy_later(&self, node: usize, request: &Request) {
        let there = Route::between(Party::Workers, Party::Node(node));
        let Some(after) = self.lab.faults.copies(&there, &self.name) else {
            return;
        };
        let (lab, request) = (self.lab.clone(), request.clone());
        let to = lab.fleet().rng.usize(0..lab.nodes.len());
        let copy = async move {
            Timer::after(after).await;
            within(ANSWER, exchange(&lab, None, to, Side::Workers, &request)).await;
        };
        self.lab.executor.spawn(copy).detach();
    }

    /// What came of a report.
    fn answered(&self, rid: u64, answer: Option<Response>) {
        let nodes = self.lab.nodes.len();
        let mut fleet = self.lab.fleet();
        let fleet = &mut *fleet;
        let now = self.lab.now();
        let Some(worker) = fleet.workers.get_mut(&self.name).filter(|w| w.up) else {
            return;
        };
        // A machine that hangs reads its answer when it goes on, too late.
        let answer = answer.filter(|_| now >= worker.hangs_until);
        let Some((_, sent, session)) = worker.flying.filter(|flying| flying.0 == rid) else {
            return;
        };
        worker.flying = None;
        match read_answer(answer) {
            Answer::Orders(orders) if worker.accepts(orders.fence, session) => {
                let executed = worker.take_orders(now, sent, &orders, &fleet.users);
                fleet.saw_fence(now, orders.fence);
                fleet.orders_executed(now, &self.name, orders.fence, &executed);
            }
            Answer::Orders(_) => {}
            Answer::Elsewhere(to) => {
                let to = self.lab.nodes.iter().position(|node| node.name == to);
                worker.redirected(now, to, nodes);
            }
            Answer::None => worker.tries_next(now, nodes),
        }
        poke(fleet, &self.name);
    }

    /// Takes commands sent straight to the machine.
    async fn take_direct_commands(self, listener: Async<TcpListener>, gone: Receiver<()>) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection::new(stream);
            let serve = self.clone().serve_direct(connection).or(closed(gone.clone()));
            self.lab.executor.spawn(serve).detach();
        }
    }

    async fn serve_direct(self, mut connection: Connection) {
        let there = Route::between(Party::Direct, Party::Workers);
        while let Ok(Some(request)) = connection.read_request().await {
            self.lab.faults.passes(&there, &self.name).await;
            let fate = self.lab.faults.fate(&there, &self.name);
            match fate {
                Fate::Reset | Fate::Refuse => return,
                Fate::Late(after) => {
                    Timer::after(after).await;
                }
                Fate::Deliver | Fate::LoseAnswer => {}
            }
            self.goes_on().await;
            let Some(response) = self.direct(&request) else { return };
            self.lab.faults.passes(&there.back(), &self.name).await;
            if fate != Fate::Deliver || self.lab.faults.fate(&there.back(), &self.name) != Fate::Deliver {
                return;
            }
            if connection.write_response(&response).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the machine hangs no longer.
    async fn goes_on(&self) {
        loop {
            let now = self.lab.now();
            let until = self.lab.fleet().workers.get(&self.name).map_or(0, |w| w.hangs_until);
            if now >= until {
                return;
            }
            Timer::after(Duration::from_micros(until - now)).await;
        }
    }

    /// Answers a request that came straight to the machine; nothing if it is gone.
    fn direct(&self, request: &Request) -> Option<Response> {
        let mut fleet = self.lab.fleet();
        let fleet = &mut *fleet;
        let now = self.lab.now();
        let worker = fleet.workers.get_mut(&self.name).filter(|w| w.up)?;
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => 200,
            ("POST", "/do") => {
                let Ok(body) = from_cbor::<Direct>(&request.body) else {
                    return Some(wire::malformed());
                };
                match worker.take_direct(now, &body, &fleet.users) {
                    Some(executed) => {
                        fleet.orders_executed(now, &self.name, body.fence, &executed);
                        200
                    }
                    None => 409,
                }
            }
            _ => return Some(Response::new(404, vec![])),
        };
        let report = fleet.workers.get_mut(&self.name)?.report(now);
        poke(fleet, &self.name);
        Some(Response::new(status, to_cbor(&report)))
    }
}

/// What the answer to a report says.
enum Answer {
    Orders(Orders),
    /// To report to the controller of this name.
    Elsewhere(String),
    /// Nothing that helps.
    None,
}

fn read_answer(answer: Option<Response>) -> Answer {
    let Some(answer) = answer else { return Answer::None };
    match answer.status {
        200 => from_cbor(&answer.body).map_or(Answer::None, Answer::Orders),
        421 => {
            let elsewhere: Option<Elsewhere> = from_cbor(&answer.body).ok();
            let to = elsewhere.and_then(|e| e.report_to);
            to.map_or(Answer::None, Answer::Elsewhere)
        }
        _ => Answer::None,
    }
}

fn poke(fleet: &Fleet, name: &str) {
    if let Some(link) = fleet.links.get(name) {
        link.poke.try_send(()).ok();
    }
}

/// Waits for something so long at most.
pub async fn within<T>(limit: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, late).await
}

/// Makes a call to a controller, over this connection if there is one: the answer, and
/// the connection if it can be used again.
pub async fn exchange(
    lab: &Lab,
    kept: Option<Connection>,
    node: usize,
    side: Side,
    request: &Request,
) -> Option<(Option<Connection>, Response)> {
    let mut connection = match kept {
        Some(connection) => connection,
        None => Connection::open(lab.addresses.public(node)).await.ok()?,
    };
    let answer = connection.call(request).await;
    lab.nodes[node].count(side, connection.take_traffic());
    let response = answer.ok()?;
    let kept = (!response.close).then_some(connection);
    Some((kept, response))
}
