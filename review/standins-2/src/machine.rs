//! Machines with their workers.

use crate::http::{serve, Client, Reply, Request};
use crate::util::{field, int, int_field, list_field, map, num_field, sleep, text, text_field, Random, Record};
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a worker knows of a job that was submitted.
#[derive(Clone)]
pub struct Job {
    pub cores: f64,
    pub mem_gb: f64,
    pub standing: bool,
    /// The run time of a task, in seconds.
    pub run_s: f64,
}

/// An event of a task.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub host: String,
    pub piece: String,
    pub attempt: u64,
    pub what: &'static str,
}

/// What all machines and users share.
pub struct World {
    pub record: Record,
    /// The names and addresses of the controllers.
    pub nodes: Mutex<Vec<(String, SocketAddr)>>,
    pub report_s: f64,
    pub lease_s: f64,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    /// Tasks that have completed: their results are kept.
    pub results: Mutex<BTreeSet<String>>,
    pub events: Mutex<Vec<Event>>,
    /// The controller to which new workers report first.
    pub first_node: Mutex<usize>,
}

impl World {
    fn event(&self, host: &str, piece: &str, attempt: u64, what: &'static str) {
        self.record.note(&format!("{host}: {what} {piece} try {attempt}"));
        self.events.lock().unwrap().push(Event {
            at: self.record.now(),
            host: host.into(),
            piece: piece.into(),
            attempt,
            what,
        });
    }

    /// Checks `ran_cancelled`: no task of a job is on a machine, or starts, after `limit`, if its user was told
    /// at `told_at` that the job is cancelled.
    pub fn on_machine_after(&self, job: &str, told_at: f64, limit: f64) -> Vec<String> {
        let (events, now) = (self.events_of(job), self.record.now());
        let mut broken = vec![];
        for (n, start) in events.iter().enumerate().filter(|(_, e)| e.what == "starts") {
            let same = |e: &&Event| e.host == start.host && e.piece == start.piece && e.attempt == start.attempt;
            let until = events[n + 1..].iter().find(same).map_or(now, |e| e.at);
            if until > limit {
                let (from, to) = (start.at - told_at, until - told_at);
                broken.push(format!(
                    "ran_cancelled: {} is on {} from {from:.1} to {to:.1} s after its user was told",
                    start.piece, start.host
                ));
            }
        }
        broken
    }

    /// Returns the events of a job's tasks.
    pub fn events_of(&self, job: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events
            .iter()
            .filter(|e| e.piece.starts_with(&format!("{job}/")))
            .cloned()
            .collect()
    }
}

struct Task {
    phase: &'static str,
    cause: Option<&'static str>,
    until: Option<Instant>,
}

struct Inner {
    tenure: u64,
    serial: u64,
    fence: u64,
    tasks: BTreeMap<(String, u64), Task>,
    /// Whether the machine has the image, which is the same for all jobs here.
    has_image: bool,
    is_up: bool,
    lease_start: Instant,
    node: usize,
    gone: bool,
    changed: bool,
    /// While the packets between this machine and a controller are held back: the controller, and
    /// since when.
    held: Option<(usize, Instant)>,
    held_commands: Vec<String>,
    /// How long the answers to commands are held up, in seconds.
    answer_delay_s: f64,
    /// The tasks in the last report that was answered.
    reported: Vec<String>,
}

/// A machine and its worker.
pub struct Machine {
    pub name: String,
    pub flavor: String,
    pub yard: String,
    pub reclaimable: bool,
    cores: f64,
    mem_gb: f64,
    world: Arc<World>,
    inner: Mutex<Inner>,
    address: Mutex<Option<SocketAddr>>,
}

impl Machine {
    /// Creates a machine that is still booting, with the address of its worker.
    pub fn create(world: &Arc<World>, name: &str, flavor: &Flavor, yard: &str, reclaimable: bool) -> Arc<Machine> {
        let machine = Arc::new(Machine {
            name: name.into(),
            flavor: flavor.label.into(),
            yard: yard.into(),
            reclaimable,
            cores: flavor.cores,
            mem_gb: flavor.mem_gb,
            world: world.clone(),
            inner: Mutex::new(Inner {
                tenure: 1,
                serial: 0,
                fence: 0,
                tasks: BTreeMap::new(),
                has_image: false,
                is_up: false,
                lease_start: Instant::now(),
                node: *world.first_node.lock().unwrap(),
                gone: false,
                changed: false,
                held: None,
                held_commands: vec![],
                answer_delay_s: 0.0,
                reported: vec![],
            }),
            address: Mutex::new(None),
        });
        let serving = machine.clone();
        let address = serve(move |request| serving.on_command(request));
        *machine.address.lock().unwrap() = Some(address);
        machine
    }

    /// Begins the worker after the boot.
    pub fn begin(self: &Arc<Machine>) {
        let mut inner = self.inner.lock().unwrap();
        (inner.lease_start, inner.is_up) = (Instant::now(), true);
        drop(inner);
        let (ticking, reporting) = (self.clone(), self.clone());
        std::thread::spawn(move || ticking.run_tasks());
        std::thread::spawn(move || reporting.send_reports());
    }

    pub fn address(&self) -> String {
        self.address.lock().unwrap().map(|a| a.to_string()).unwrap_or_default()
    }

    /// Removes the machine with everything on it.
    pub fn end(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        let tasks = std::mem::take(&mut inner.tasks);
        drop(inner);
        self.end_all(tasks, "gone with its machine:");
    }

    /// Whether the machine has booted and is still there.
    pub fn is_up(&self) -> bool {
        let inner = self.inner.lock().unwrap();
        inner.is_up && !inner.gone
    }

    /// The controller that the worker reports to.
    pub fn node(&self) -> usize {
        self.inner.lock().unwrap().node
    }

    /// Returns the cores and the memory that no task takes, fetching ones included.
    pub fn free(&self) -> (f64, f64) {
        let inner = self.inner.lock().unwrap();
        let jobs = self.world.jobs.lock().unwrap();
        let live = inner.tasks.iter().filter(|(_, t)| t.phase != "ended");
        let taken = live.filter_map(|((piece, _), _)| jobs.get(piece.split('/').next().unwrap_or("")));
        taken.fold((self.cores, self.mem_gb), |(c, m), j| (c - j.cores, m - j.mem_gb))
    }

    /// Returns the tasks that are on the machine: those that have their image and have not exited.
    pub fn on_machine(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let on = inner
            .tasks
            .iter()
            .filter(|(_, t)| matches!(t.phase, "running" | "flushing"));
        on.map(|((piece, _), _)| piece.clone()).collect()
    }

    /// Interrupts the network between this machine and a controller: packets are held back. Or ends
    /// this: held packets are delivered.
    pub fn hold(&self, node: Option<usize>) {
        self.inner.lock().unwrap().held = node.map(|n| (n, Instant::now()));
    }

    /// Holds the answers to commands up for a time; the commands are executed at once.
    pub fn delay_answers(&self, s: f64) {
        self.inner.lock().unwrap().answer_delay_s = s;
    }

    /// Whether the last report that was answered names a task of the job.
    pub fn has_reported(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        let inner = self.inner.lock().unwrap();
        inner.reported.iter().any(|piece| piece.starts_with(&prefix))
    }

    /// The commands that are held back, as text.
    pub fn held_commands(&self) -> Vec<String> {
        self.inner.lock().unwrap().held_commands.clone()
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.serial += 1;
        let piece = |((piece, attempt), t): (&(String, u64), &Task)| {
            let mut entries = vec![("piece", text(piece)), ("try", int(*attempt)), ("phase", text(t.phase))];
            entries.extend(t.cause.map(|c| ("cause", text(c))));
            map(entries)
        };
        map(vec![
            ("host", text(&self.name)),
            ("addr", text(&self.address())),
            ("flavor", text(&self.flavor)),
            ("yard", text(&self.yard)),
            ("reclaimable", Value::Bool(self.reclaimable)),
            ("tenure", int(inner.tenure)),
            ("serial", int(inner.serial)),
            ("fence", int(inner.fence)),
            ("warning_s", Value::Null),
            ("pieces", Value::Array(inner.tasks.iter().map(piece).collect())),
        ])
    }

    /// Serves `/do` and `/status`.
    fn on_command(&self, request: Request) -> Reply {
        let body = request.value();
        loop {
            let mut inner = self.inner.lock().unwrap();
            if inner.gone {
                return Reply::Nothing;
            }
            // What came over a connection that was open before the interruption is held back.
            let is_held = inner.held.is_some_and(|(_, since)| request.connected_at < since);
            if !is_held {
                let reply = self.execute_command(&mut inner, &request, &body);
                let delay_s = inner.answer_delay_s;
                drop(inner);
                sleep(delay_s);
                return reply;
            }
            let described = format!("{body:?}");
            if !inner.held_commands.contains(&described) {
                self.world.record.note(&format!(
                    "{}: a command is held back: {}",
                    self.name,
                    orders_text(&body)
                ));
                inner.held_commands.push(described);
            }
            drop(inner);
            sleep(0.005);
        }
    }

    fn execute_command(&self, inner: &mut Inner, request: &Request, body: &Value) -> Reply {
        if request.path != "/do" {
            let report = self.report(inner);
            return Reply::Answer(200, report);
        }
        let (Some(fence), Some(tenure)) = (int_field(body, "fence"), int_field(body, "tenure")) else {
            return Reply::Answer(400, Value::Null);
        };
        let is_valid = fence >= inner.fence && tenure == inner.tenure;
        let orders = list_field(body, "orders");
        if !orders.is_empty() {
            let done = if is_valid { "executes" } else { "refuses" };
            self.world
                .record
                .note(&format!("{} {done} a direct command: {}", self.name, orders_text(body)));
        }
        if is_valid {
            inner.fence = fence;
            self.execute(inner, &orders);
        }
        let report = self.report(inner);
        Reply::Answer(if is_valid { 200 } else { 409 }, report)
    }

    fn execute(&self, inner: &mut Inner, orders: &[Value]) {
        for order in orders {
            let (Some(piece), Some(attempt)) = (text_field(order, "piece"), int_field(order, "try")) else {
                continue;
            };
            inner.changed = true;
            match text_field(order, "verb").as_deref() {
                Some("run") => self.start(inner, piece, attempt),
                Some("kill") => {
                    if let Some(t) = inner
                        .tasks
                        .get_mut(&(piece.clone(), attempt))
                        .filter(|t| t.phase != "ended")
                    {
                        (t.phase, t.cause, t.until) = ("ended", Some("halted"), None);
                        self.world.event(&self.name, &piece, attempt, "halts");
                    }
                }
                Some("forget") => {
                    let key = (piece, attempt);
                    if inner.tasks.get(&key).is_some_and(|t| t.phase == "ended") {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, inner: &mut Inner, piece: String, attempt: u64) {
        if inner.tasks.contains_key(&(piece.clone(), attempt)) {
            return;
        }
        let jobs = self.world.jobs.lock().unwrap();
        let job_of = |piece: &str| jobs.get(piece.split('/').next().unwrap_or("")).cloned();
        let live = |t: &Task| t.phase != "ended";
        let is_busy = inner.tasks.iter().any(|((p, _), t)| *p == piece && live(t));
        let used = inner
            .tasks
            .iter()
            .filter(|(_, t)| live(t))
            .filter_map(|((p, _), _)| job_of(p));
        let (cores, mem) = used.fold((0.0, 0.0), |(c, m), j| (c + j.cores, m + j.mem_gb));
        let cause = match job_of(&piece) {
            None => Some("unknown"),
            Some(_) if is_busy => Some("busy"),
            Some(j) if cores + j.cores > self.cores + 1e-6 || mem + j.mem_gb > self.mem_gb + 1e-6 => Some("no_room"),
            Some(_) => None,
        };
        drop(jobs);
        let now = Instant::now();
        let mut task = match cause {
            Some(_) => Task {
                phase: "ended",
                cause,
                until: None,
            },
            None => Task {
                phase: "pulling",
                cause,
                until: Some(now + Duration::from_millis(50)),
            },
        };
        self.world
            .event(&self.name, &piece, attempt, cause.unwrap_or("is told to run"));
        if cause.is_none() && inner.has_image {
            self.advance(&piece, attempt, &mut task, now);
        }
        inner.tasks.insert((piece, attempt), task);
    }

    /// Makes the transitions of tasks, and ends the session when the lease has ended.
    fn run_tasks(&self) {
        loop {
            sleep(0.01);
            let mut inner = self.inner.lock().unwrap();
            if inner.gone {
                return;
            }
            let now = Instant::now();
            if now.duration_since(inner.lease_start).as_secs_f64() > self.world.lease_s {
                let tasks = std::mem::take(&mut inner.tasks);
                (inner.tenure, inner.lease_start, inner.changed) = (inner.tenure + 1, now, true);
                self.world.record.note(&format!(
                    "{}: the lease has ended; session {} begins",
                    self.name, inner.tenure
                ));
                self.end_all(tasks, "killed with the lease:");
                continue;
            }
            let mut changed = false;
            let inner = &mut *inner;
            for ((piece, attempt), t) in inner
                .tasks
                .iter_mut()
                .filter(|(_, t)| t.until.is_some_and(|u| u <= now))
            {
                changed = true;
                inner.has_image = true;
                self.advance(piece, *attempt, t, now);
            }
            inner.changed |= changed;
        }
    }

    fn advance(&self, piece: &str, attempt: u64, t: &mut Task, now: Instant) {
        t.until = None;
        let mut results = self.world.results.lock().unwrap();
        if t.phase == "running" || results.contains(piece) {
            (t.phase, t.cause) = ("ended", Some("done"));
            results.insert(piece.into());
            self.world.event(&self.name, piece, attempt, "ends with done:");
            return;
        }
        t.phase = "running";
        let job = self
            .world
            .jobs
            .lock()
            .unwrap()
            .get(piece.split('/').next().unwrap_or(""))
            .cloned();
        t.until = job
            .filter(|j| !j.standing)
            .map(|j| now + Duration::from_secs_f64(j.run_s));
        self.world.event(&self.name, piece, attempt, "starts");
    }

    fn end_all(&self, tasks: BTreeMap<(String, u64), Task>, what: &'static str) {
        for ((piece, attempt), _) in tasks.iter().filter(|(_, t)| t.phase != "ended") {
            self.world.event(&self.name, piece, *attempt, what);
        }
    }

    /// Sends reports, one at a time, to one controller at a time.
    fn send_reports(&self) {
        let nodes = self.world.nodes.lock().unwrap().clone();
        let mut client = Client::new(nodes[self.node()].1);
        let mut random = Random::new(self.address().bytes().map(u64::from).sum::<u64>());
        loop {
            let mut inner = self.inner.lock().unwrap();
            if inner.gone {
                return;
            }
            let (node, tenure) = (inner.node, inner.tenure);
            inner.changed = false;
            let reported_fence = inner.fence;
            let report = self.report(&mut inner);
            let reported = inner.tasks.keys().map(|(piece, _)| piece.clone()).collect();
            let is_cut = inner.held.is_some_and(|(n, _)| n == node);
            drop(inner);
            let sent = Instant::now();
            let answer = if is_cut {
                sleep(4.0);
                client.close();
                None
            } else {
                client.call("POST", "/hello", Some(&report), Duration::from_secs(4))
            };
            let mut next_in = self.world.report_s * (0.75 + 0.5 * random.next());
            match answer {
                Some((200, body)) => {
                    self.on_response(&body, tenure, sent, reported_fence);
                    self.inner.lock().unwrap().reported = reported;
                }
                Some((421, body)) => {
                    let to = text_field(&body, "steward").and_then(|s| nodes.iter().position(|(name, _)| *name == s));
                    let to = to.filter(|to| *to != node);
                    next_in = if to.is_some() { 0.1 } else { 1.0 };
                    self.switch(&mut client, &nodes, to.unwrap_or((node + 1) % nodes.len()));
                }
                other => {
                    let why = other.map_or("no answer".to_string(), |(status, _)| status.to_string());
                    self.world
                        .record
                        .note(&format!("{}: report to {}: {why}", self.name, nodes[node].0));
                    self.switch(&mut client, &nodes, (node + 1) % nodes.len());
                    next_in = 1.0;
                }
            }
            self.pause(sent, next_in);
        }
    }

    fn switch(&self, client: &mut Client, nodes: &[(String, SocketAddr)], to: usize) {
        self.inner.lock().unwrap().node = to;
        *client = Client::new(nodes[to].1);
    }

    /// Waits until the next report is due: after a change, half a second after the last one.
    fn pause(&self, sent: Instant, next_in: f64) {
        let due = Instant::now() + Duration::from_secs_f64(next_in);
        loop {
            let now = Instant::now();
            let inner = self.inner.lock().unwrap();
            if inner.gone || now >= due || (inner.changed && now.duration_since(sent).as_secs_f64() >= 0.5) {
                return;
            }
            drop(inner);
            sleep(0.01);
        }
    }

    fn on_response(&self, body: &Value, tenure: u64, sent: Instant, reported_fence: u64) {
        let mut inner = self.inner.lock().unwrap();
        let Some(fence) = int_field(body, "fence").filter(|f| *f >= inner.fence && tenure == inner.tenure) else {
            return;
        };
        inner.fence = fence;
        inner.lease_start = inner.lease_start.max(sent);
        let orders = list_field(body, "orders");
        if !orders.is_empty() {
            self.world.record.note(&format!(
                "{} executes orders of an answer: {}",
                self.name,
                orders_text(body)
            ));
        }
        self.execute(&mut inner, &orders);
        inner.changed |= fence > reported_fence;
    }
}

/// Describes the orders of a message, shortened.
fn orders_text(body: &Value) -> String {
    let order = |o: &Value| {
        let verb = text_field(o, "verb").unwrap_or_default();
        format!(
            "{verb} {} try {}",
            text_field(o, "piece").unwrap_or_default(),
            int_field(o, "try").unwrap_or(0)
        )
    };
    let orders = list_field(body, "orders");
    let shown: Vec<String> = orders.iter().take(4).map(order).collect();
    let more = if orders.len() > 4 {
        format!(" and {} more", orders.len() - 4)
    } else {
        String::new()
    };
    format!(
        "fence {} [{}{more}]",
        int_field(body, "fence").unwrap_or(0),
        shown.join(", ")
    )
}

/// A machine type.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cores: f64,
    pub mem_gb: f64,
    pub price: f64,
    pub market_price: f64,
    pub boot_s: f64,
    pub yards: Vec<&'static str>,
}

/// The cloud.
pub struct Cloud {
    world: Arc<World>,
    flavors: Vec<Flavor>,
    /// The most machines of a type and a zone, of ordinary ones and of spot machines each.
    capacity: usize,
    /// How long a machine boots.
    boot_s: f64,
    lag_s: f64,
    rented: Mutex<Vec<Rented>>,
    claims: Mutex<BTreeMap<String, Value>>,
}

struct Rented {
    machine: Arc<Machine>,
    at: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
}

impl Cloud {
    /// Starts the cloud, and returns it with its address.
    pub fn start(
        world: &Arc<World>,
        flavors: Vec<Flavor>,
        capacity: usize,
        boot_s: f64,
        lag_s: f64,
    ) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            world: world.clone(),
            flavors,
            capacity,
            boot_s,
            lag_s,
            rented: Mutex::new(vec![]),
            claims: Mutex::new(BTreeMap::new()),
        });
        let serving = cloud.clone();
        let address = serve(move |request| serving.answer(&request));
        (cloud, address)
    }

    /// Returns the machines that are rented.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let rented = self.rented.lock().unwrap();
        rented
            .iter()
            .filter(|r| r.gone_at.is_none())
            .map(|r| r.machine.clone())
            .collect()
    }

    fn answer(&self, request: &Request) -> Reply {
        let path = request.plain_path();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/catalog") => Reply::Answer(200, map(vec![("flavors", self.catalog())])),
            ("POST", "/machines") => self.rent(&request.value()),
            ("POST", "/machines/release") => {
                self.release(&request.value());
                Reply::Answer(200, map(vec![]))
            }
            _ => self.list(request),
        }
    }

    fn catalog(&self) -> Value {
        let flavor = |f: &Flavor| {
            map(vec![
                ("label", text(f.label)),
                ("cores", Value::Float(f.cores)),
                ("cards", Value::Float(0.0)),
                ("mem_gb", Value::Float(f.mem_gb)),
                ("cache_gb", Value::Float(50.0)),
                ("fetch_gb_per_s", Value::Float(0.6)),
                ("price", Value::Float(f.price)),
                ("market_price", Value::Float(f.market_price)),
                ("boot_s", Value::Float(f.boot_s)),
                ("yards", Value::Array(f.yards.iter().map(|y| text(y)).collect())),
            ])
        };
        Value::Array(self.flavors.iter().map(flavor).collect())
    }

    fn rent(&self, body: &Value) -> Reply {
        let claim = text_field(body, "claim").unwrap_or_default();
        let mut claims = self.claims.lock().unwrap();
        if let Some(answer) = claims.get(&claim) {
            return Reply::Answer(200, answer.clone());
        }
        let (label, yard) = (
            text_field(body, "flavor").unwrap_or_default(),
            text_field(body, "yard").unwrap_or_default(),
        );
        let reclaimable = field(body, "reclaimable").and_then(Value::as_bool).unwrap_or(false);
        let Some(flavor) = self
            .flavors
            .iter()
            .find(|f| f.label == label && f.yards.contains(&yard.as_str()))
        else {
            return Reply::Answer(400, Value::Null);
        };
        let mut rented = self.rented.lock().unwrap();
        let same = |r: &&Rented| {
            r.gone_at.is_none()
                && r.machine.flavor == label
                && r.machine.yard == yard
                && r.machine.reclaimable == reclaimable
        };
        let free = self.capacity.saturating_sub(rented.iter().filter(same).count());
        let count = (num_field(body, "count").unwrap_or(1.0) as usize).min(free);
        if count == 0 {
            return Reply::Answer(503, map(vec![("error", text("no capacity"))]));
        }
        let mut hosts = vec![];
        for _ in 0..count {
            let name = format!("n-{:06}", rented.len() + 1);
            let machine = Machine::create(&self.world, &name, flavor, &yard, reclaimable);
            let booting = machine.clone();
            let boot_s = self.boot_s;
            std::thread::spawn(move || {
                sleep(boot_s);
                booting.begin();
            });
            hosts.push(text(&name));
            let now = Instant::now();
            rented.push(Rented {
                machine,
                at: now,
                up_at: now + Duration::from_secs_f64(boot_s),
                gone_at: None,
            });
        }
        self.world
            .record
            .note(&format!("cloud: claim {claim} rents {count} {label} in {yard}"));
        let answer = map(vec![("hosts", Value::Array(hosts))]);
        claims.insert(claim, answer.clone());
        Reply::Answer(200, answer)
    }

    fn release(&self, body: &Value) {
        let names: BTreeSet<String> = list_field(body, "hosts")
            .iter()
            .filter_map(|h| h.as_text().map(str::to_string))
            .collect();
        let mut rented = self.rented.lock().unwrap();
        for r in rented
            .iter_mut()
            .filter(|r| names.contains(&r.machine.name) && r.gone_at.is_none())
        {
            r.gone_at = Some(Instant::now());
            r.machine.end();
            self.world
                .record
                .note(&format!("cloud: {} is released", r.machine.name));
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let after = request.query("after").unwrap_or_default();
        let most = request
            .query("most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(500usize)
            .min(500);
        let seen = Instant::now().checked_sub(Duration::from_secs_f64(self.lag_s));
        let rented = self.rented.lock().unwrap();
        let is_listed = |r: &&Rented| {
            let was_there = seen.is_some_and(|at| r.at <= at && r.gone_at.is_none_or(|g| g > at));
            was_there && r.machine.name > after
        };
        let mut listed: Vec<&Rented> = rented.iter().filter(is_listed).collect();
        let truncated = listed.len() > most;
        listed.truncate(most);
        let row = |r: &&Rented| {
            let at = seen.unwrap_or(r.at);
            map(vec![
                ("ref", text(&r.machine.name)),
                ("addr", text(&r.machine.address())),
                ("flavor", text(&r.machine.flavor)),
                ("yard", text(&r.machine.yard)),
                ("reclaimable", Value::Bool(r.machine.reclaimable)),
                ("phase", text(if r.up_at <= at { "running" } else { "booting" })),
                ("held_s", Value::Float(at.duration_since(r.at).as_secs_f64())),
            ])
        };
        let hosts = listed.iter().map(row).collect();
        Reply::Answer(
            200,
            map(vec![
                ("hosts", Value::Array(hosts)),
                ("truncated", Value::Bool(truncated)),
            ]),
        )
    }
}
