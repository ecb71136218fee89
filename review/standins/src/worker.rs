//! A stand-in for a worker: a machine, the agent on it and its tasks.

use crate::http::{serve, Connection, Request};
use crate::record::Record;
use crate::value::{amount, cbor, decode, encode, field, integer, list, text, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type of the cloud's catalogue.
#[derive(Clone)]
pub struct MachineType {
    /// The name.
    pub label: &'static str,
    /// CPUs.
    pub cores: f64,
    /// Memory in GB.
    pub mem_gb: f64,
    /// How long a machine takes to boot, in seconds.
    pub boot_s: f64,
    /// The rate of image fetches, in GB per second.
    pub fetch_gb_per_s: f64,
    /// The price of an ordinary machine and of a spot machine, per hour.
    pub prices: (f64, f64),
}

/// A job as its user uploaded it for the workers.
#[derive(Clone)]
pub struct Upload {
    /// Whether the tasks run until they are stopped.
    pub is_service: bool,
    /// What each task takes.
    pub cores: f64,
    /// What each task takes.
    pub mem_gb: f64,
    /// The image, and its size in GB.
    pub image: (String, f64),
    /// The run time of each task, in seconds; the last one holds for all further tasks.
    pub run_s: Vec<f64>,
}

/// What all workers of a run share.
pub struct Shared {
    /// The uploaded jobs.
    pub uploads: Mutex<BTreeMap<String, Upload>>,
    /// Tasks that have completed; their results are kept.
    pub results: Mutex<BTreeSet<String>>,
    /// The controllers, by name, with their public addresses.
    pub controllers: Vec<(String, SocketAddr)>,
    /// The interval of reports, in seconds.
    pub report_s: f64,
    /// The workers' lease, in seconds.
    pub lease_s: f64,
    /// Machines on which every task fails shortly after its start.
    pub faulty: Mutex<BTreeSet<String>>,
    /// The number of the controller to which new machines report first; if it is not set, their names
    /// decide.
    pub first_controller: Mutex<Option<usize>>,
    /// The starts that workers have executed: the seconds since the run began, and the task.
    pub starts: Mutex<Vec<(f64, String)>>,
    /// The record of the run.
    pub record: Record,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Pulling,
    Running,
    Ended(&'static str),
}

impl Phase {
    fn is_over(self) -> bool {
        matches!(self, Phase::Ended(_))
    }
}

struct Task {
    phase: Phase,
    until: Option<Instant>,
}

struct State {
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    tenure: u64,
    serial: u64,
    fence: u64,
    lease_from: Instant,
    changed: bool,
    is_gone: bool,
}

/// A machine.
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// Its type.
    pub machine_type: MachineType,
    /// Its zone.
    pub yard: String,
    /// Whether it is a spot machine.
    pub reclaimable: bool,
    /// When it was rented.
    pub rented_at: Instant,
    /// Where it takes direct commands; set when it is up.
    pub address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    shared: Arc<Shared>,
}

impl Worker {
    /// Creates a machine that boots.
    pub fn new(name: String, kind: (MachineType, String, bool), shared: Arc<Shared>) -> Arc<Worker> {
        let (machine_type, yard, reclaimable) = kind;
        let state = State {
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            tenure: 1,
            serial: 0,
            fence: 0,
            lease_from: Instant::now(),
            changed: true,
            is_gone: false,
        };
        Arc::new(Worker {
            name,
            machine_type,
            yard,
            reclaimable,
            rented_at: Instant::now(),
            address: Mutex::new(None),
            state: Mutex::new(state),
            shared,
        })
    }

    /// Returns whether the machine is up.
    pub fn is_up(&self) -> bool {
        self.address.lock().unwrap().is_some()
    }

    /// Removes the machine with everything on it.
    pub fn remove(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if !state.is_gone {
            let live = state.tasks.values().filter(|task| !task.phase.is_over()).count();
            self.shared
                .record
                .note(format!("{} is gone with {live} tasks", self.name));
        }
        state.is_gone = true;
        state.tasks.clear();
    }

    /// Returns the cores and memory that unfinished tasks take.
    pub fn used(&self) -> (f64, f64) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        self.used_by(&state)
    }

    /// Returns the tasks that are fetching or running.
    pub fn live_tasks(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let live = state.tasks.iter().filter(|(_, task)| !task.phase.is_over());
        live.map(|((task, _), _)| task.clone()).collect()
    }

    fn used_by(&self, state: &State) -> (f64, f64) {
        let uploads = self.shared.uploads.lock().unwrap();
        let live = state.tasks.iter().filter(|(_, task)| !task.phase.is_over());
        let specs = live.filter_map(|((task, _), _)| uploads.get(job_of(task)));
        specs.fold((0.0, 0.0), |(cores, mem), spec| (cores + spec.cores, mem + spec.mem_gb))
    }

    /// Lets the tasks and the lease go on up to now.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if state.is_gone {
            return;
        }
        if now.duration_since(state.lease_from).as_secs_f64() > self.shared.lease_s {
            let killed = state.tasks.len();
            state.tasks.clear();
            state.tenure += 1;
            state.lease_from = now;
            state.changed = true;
            let (name, tenure) = (&self.name, state.tenure);
            self.shared
                .record
                .note(format!("{name}: lease ended, {killed} tasks killed, session {tenure}"));
        }
        let keys: Vec<(String, u64)> = state.tasks.keys().cloned().collect();
        for key in keys {
            loop {
                let Some(task) = state.tasks.get_mut(&key) else { break };
                if task.phase.is_over() || task.until.is_none_or(|until| until > now) {
                    break;
                }
                state.changed = true;
                let at = task.until.unwrap_or(now);
                if task.phase == Phase::Pulling {
                    let uploads = self.shared.uploads.lock().unwrap();
                    let Some(upload) = uploads.get(job_of(&key.0)) else {
                        break;
                    };
                    if self.shared.results.lock().unwrap().contains(&key.0) {
                        task.phase = Phase::Ended("done");
                    } else {
                        let is_faulty = self.shared.faulty.lock().unwrap().contains(&self.name);
                        let number: usize = key.0.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                        let run_s = upload.run_s.get(number).or(upload.run_s.last()).copied().unwrap_or(1.0);
                        task.phase = Phase::Running;
                        task.until = match (is_faulty, upload.is_service) {
                            (true, _) => Some(at + Duration::from_millis(300)),
                            (false, true) => None,
                            (false, false) => Some(at + Duration::from_secs_f64(run_s)),
                        };
                        self.shared
                            .record
                            .note(format!("{}: {} attempt {} runs", self.name, key.0, key.1));
                    }
                    let image = upload.image.0.clone();
                    drop(uploads);
                    state.images.insert(image);
                } else {
                    if self.shared.faulty.lock().unwrap().contains(&self.name) {
                        task.phase = Phase::Ended("error");
                        self.shared
                            .record
                            .note(format!("{}: {} attempt {} fails", self.name, key.0, key.1));
                        break;
                    }
                    task.phase = Phase::Ended("done");
                    self.shared.results.lock().unwrap().insert(key.0.clone());
                    self.shared
                        .record
                        .note(format!("{}: {} attempt {} done", self.name, key.0, key.1));
                }
            }
        }
    }

    fn report(&self, state: &mut State) -> Value {
        state.serial += 1;
        let address = self
            .address
            .lock()
            .unwrap()
            .map_or(String::new(), |address| address.to_string());
        let piece = |((task, attempt), state): (&(String, u64), &Task)| match state.phase {
            Phase::Pulling => cbor!({"piece" => task, "try" => attempt, "phase" => "pulling"}).unwrap(),
            Phase::Running => cbor!({"piece" => task, "try" => attempt, "phase" => "running"}).unwrap(),
            Phase::Ended(why) => {
                cbor!({"piece" => task, "try" => attempt, "phase" => "ended", "cause" => why}).unwrap()
            }
        };
        let pieces: Vec<Value> = state.tasks.iter().map(piece).collect();
        cbor!({"host" => self.name, "addr" => address, "flavor" => self.machine_type.label, "yard" => self.yard,
            "reclaimable" => self.reclaimable, "tenure" => state.tenure, "serial" => state.serial,
            "fence" => state.fence, "warning_s" => null, "pieces" => pieces})
        .unwrap()
    }

    fn execute(&self, state: &mut State, orders: &[Value]) {
        for order in orders {
            let key = (text(order, "piece"), integer(order, "try"));
            match text(order, "verb").as_str() {
                "run" => self.start(state, key),
                "kill" => {
                    if let Some(task) = state.tasks.get_mut(&key).filter(|task| !task.phase.is_over()) {
                        task.phase = Phase::Ended("halted");
                        state.changed = true;
                        self.shared
                            .record
                            .note(format!("{}: {} attempt {} stopped", self.name, key.0, key.1));
                    }
                }
                "forget" => {
                    if state.tasks.get(&key).is_some_and(|task| task.phase.is_over()) {
                        state.tasks.remove(&key);
                        state.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, state: &mut State, key: (String, u64)) {
        if state.tasks.contains_key(&key) {
            return;
        }
        let upload = self.shared.uploads.lock().unwrap().get(job_of(&key.0)).cloned();
        let busy = state
            .tasks
            .iter()
            .any(|((task, _), t)| *task == key.0 && !t.phase.is_over());
        let (cores, mem) = self.used_by(state);
        let (max_cores, max_mem) = (self.machine_type.cores + 1e-6, self.machine_type.mem_gb + 1e-6);
        let refusal = match &upload {
            None => Some("unknown"),
            Some(_) if busy => Some("busy"),
            Some(u) if cores + u.cores > max_cores || mem + u.mem_gb > max_mem => Some("no_room"),
            Some(_) => None,
        };
        let fetch_s = upload.map_or(0.0, |u| match state.images.contains(&u.image.0) {
            true => 0.0,
            false => u.image.1 / self.machine_type.fetch_gb_per_s,
        });
        let phase = refusal.map_or(Phase::Pulling, Phase::Ended);
        let shown = refusal.unwrap_or("accepted");
        self.shared
            .record
            .note(format!("{}: run {} attempt {}: {shown}", self.name, key.0, key.1));
        if refusal.is_none() {
            self.shared
                .starts
                .lock()
                .unwrap()
                .push((self.shared.record.now(), key.0.clone()));
        }
        let until = Some(Instant::now() + Duration::from_secs_f64(fetch_s));
        state.changed = true;
        state.tasks.insert(key, Task { phase, until });
    }

    /// Answers a direct command or a question.
    fn answer(&self, request: &Request) -> Option<(u16, Vec<u8>)> {
        let mut state = self.state.lock().unwrap();
        if state.is_gone {
            return None;
        }
        self.advance(&mut state);
        if request.path == "/status" {
            return Some((200, encode(&self.report(&mut state))));
        }
        let body = decode(&request.body)?;
        if field(&body, "fence").is_none() || field(&body, "tenure").is_none() {
            return Some((400, vec![]));
        }
        let fence = integer(&body, "fence");
        if fence < state.fence || integer(&body, "tenure") != state.tenure {
            return Some((409, encode(&self.report(&mut state))));
        }
        state.changed |= fence > state.fence;
        state.fence = fence;
        self.execute(&mut state, &list(&body, "orders"));
        self.advance(&mut state);
        Some((200, encode(&self.report(&mut state))))
    }

    /// Runs the machine from when it is up until it is gone.
    pub fn run(self: &Arc<Self>) {
        let worker = self.clone();
        let address = serve(move |request| worker.answer(&request));
        *self.address.lock().unwrap() = Some(address);
        self.state.lock().unwrap().lease_from = Instant::now();
        self.shared
            .record
            .note(format!("{} is up ({})", self.name, self.machine_type.label));
        let first = *self.shared.first_controller.lock().unwrap();
        let by_name = self.name.bytes().map(usize::from).sum::<usize>() % self.shared.controllers.len();
        let mut node = first.unwrap_or(by_name);
        let mut connection: Option<(usize, Connection)> = None;
        let mut sent_at = Instant::now() - Duration::from_secs(60);
        let mut due = Duration::ZERO;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (body, tenure, sent) = {
                let mut state = self.state.lock().unwrap();
                if state.is_gone {
                    return;
                }
                self.advance(&mut state);
                let since = sent_at.elapsed();
                if since < due && !(state.changed && since > Duration::from_millis(500)) {
                    continue;
                }
                state.changed = false;
                let body = encode(&self.report(&mut state));
                (body, state.tenure, Instant::now())
            };
            sent_at = sent;
            // The interval varies by up to a quarter.
            let quarter = (sent.duration_since(self.rented_at).subsec_nanos() % 1000) as f64 / 2000.0 - 0.25;
            due = Duration::from_secs_f64(self.shared.report_s * (1.0 + quarter));
            let (name, controller) = self.shared.controllers[node].clone();
            let mut open = match connection.take() {
                Some((of, open)) if of == node => Some(open),
                _ => Connection::open(controller, Duration::from_secs(4)).ok(),
            };
            let left = Duration::from_secs(4).saturating_sub(sent.elapsed());
            let answer = open
                .as_mut()
                .and_then(|open| open.call("POST", "/hello", &body, left).ok());
            match answer {
                Some((200, answer)) => {
                    connection = open.map(|open| (node, open));
                    let answer = decode(&answer).unwrap_or(Value::Null);
                    let mut state = self.state.lock().unwrap();
                    self.advance(&mut state);
                    let fence = integer(&answer, "fence");
                    if state.is_gone || state.tenure != tenure || fence < state.fence || fence == 0 {
                        continue;
                    }
                    state.changed |= fence > state.fence;
                    state.fence = fence;
                    state.lease_from = sent;
                    self.execute(&mut state, &list(&answer, "orders"));
                    self.advance(&mut state);
                }
                Some((421, answer)) => {
                    let steward = decode(&answer).map_or(String::new(), |answer| text(&answer, "steward"));
                    let known = self.shared.controllers.iter().position(|(name, _)| *name == steward);
                    match known.filter(|to| *to != node) {
                        Some(to) => {
                            node = to;
                            due = Duration::ZERO;
                        }
                        None => {
                            node = (node + 1) % self.shared.controllers.len();
                            due = Duration::from_secs(1);
                            sent_at = Instant::now();
                        }
                    }
                }
                other => {
                    let status = other.map_or("no response".to_string(), |(status, _)| status.to_string());
                    let size = body.len();
                    self.shared
                        .record
                        .note(format!("{}: report of {size} bytes to {name}: {status}", self.name));
                    node = (node + 1) % self.shared.controllers.len();
                    due = Duration::from_secs(1);
                    sent_at = Instant::now();
                }
            }
        }
    }
}

/// Returns the job in the name of a task.
pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}

/// Returns the cores that a description takes for each task.
pub fn upload_of(job: &Value, run_s: Vec<f64>) -> Upload {
    Upload {
        is_service: text(job, "shape") == "standing",
        cores: amount(job, "cores"),
        mem_gb: amount(job, "mem_gb"),
        image: (text(job, "bundle"), amount(job, "size_gb")),
        run_s,
    }
}
