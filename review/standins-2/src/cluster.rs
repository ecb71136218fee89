//! The controllers as real processes, the services around them, and users.

use crate::http::Client;
use crate::machine::{Cloud, Flavor, Job, World};
use crate::state::{Limits, State};
use crate::util::{int, map, sleep, text, text_field, wait_for, Record};
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A small deployment.
pub struct Site {
    pub zones: Vec<&'static str>,
    /// The zone of each controller.
    pub nodes: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub limits: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu: f64,
    pub mem_mb: f64,
    pub sockets: u32,
    pub clock_off_ms: f64,
    /// The teams, each with the cores that it is guaranteed and its limit; 0 means none.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub flavors: Vec<Flavor>,
}

impl Site {
    /// The second deployment of the users' brief.
    pub fn libro_andante() -> Site {
        Site {
            zones: vec!["cuenca-sala", "quito-sala"],
            nodes: vec!["quito-sala", "cuenca-sala", "quito-sala"],
            report_s: 1.5,
            lease_s: 10.0,
            cancel_s: 40.0,
            limits: Limits {
                rps: 250.0,
                write_rps: 100.0,
                value_kb: 32.0,
                txn_ops: 32,
            },
            cloud_rps: 5.0,
            list_lag_s: 8.0,
            cpu: 0.16,
            mem_mb: 72.0,
            sockets: 700,
            clock_off_ms: 1000.0,
            teams: vec![("voluntarios-1", 88.0, 232.0), ("voluntarios-2", 88.0, 232.0)],
            flavors: vec![Flavor {
                label: "estante",
                cores: 16.0,
                mem_gb: 64.0,
                price: 0.85,
                market_price: 0.22,
                boot_s: 25.0,
                yards: vec!["quito-sala", "cuenca-sala"],
            }],
        }
    }
}

impl Site {
    /// The first deployment of the users' brief.
    pub fn brunnmatt_charts() -> Site {
        let flavor = |label, cores, mem_gb, price, market_price, boot_s| Flavor {
            label,
            cores,
            mem_gb,
            price,
            market_price,
            boot_s,
            yards: vec!["bern-hall", "basel-vault"],
        };
        Site {
            zones: vec!["basel-vault", "bern-hall"],
            nodes: vec!["bern-hall", "basel-vault", "bern-hall"],
            report_s: 3.0,
            lease_s: 36.0,
            cancel_s: 56.0,
            limits: Limits {
                rps: 200.0,
                write_rps: 50.0,
                value_kb: 8.0,
                txn_ops: 24,
            },
            cloud_rps: 8.0,
            list_lag_s: 5.0,
            cpu: 0.24,
            mem_mb: 104.0,
            sockets: 3500,
            clock_off_ms: 250.0,
            teams: vec![("hydro", 0.0, 0.0), ("alpsee", 0.0, 0.0), ("nordkap", 0.0, 0.0)],
            flavors: vec![
                flavor("deck", 16.0, 128.0, 1.05, 0.43, 30.0),
                flavor("hull", 64.0, 512.0, 4.2, 1.7, 25.0),
            ],
        }
    }
}

struct Node {
    config: PathBuf,
    log: PathBuf,
}

/// The processes that a case has started.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(vec![]);

/// The temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("glenhaven-review-{}", std::process::id()))
}

/// Ends the case with status 2 when it has run for too long.
pub fn limit_time(limit_s: f64) {
    std::thread::spawn(move || {
        sleep(limit_s);
        println!("the case couldn't run: it took too long");
        end_processes();
        std::fs::remove_dir_all(folder()).ok();
        std::process::exit(2);
    });
}

/// Ends the processes that the case has started, and waits until they are gone.
fn end_processes() {
    let mut running = RUNNING.lock().unwrap();
    for child in running.iter_mut() {
        child.kill().ok();
    }
    for child in running.iter_mut() {
        child.wait().ok();
    }
}

/// A running cluster.
pub struct Cluster {
    pub world: Arc<World>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub names: Vec<String>,
    pub addresses: Vec<SocketAddr>,
    nodes: Vec<Node>,
    program: PathBuf,
    dir: PathBuf,
}

/// Returns free ports. Each run tries others first, below those that systems give to outgoing connections,
/// so that runs side by side don't take each other's.
fn free_ports(count: usize) -> Vec<u16> {
    let first = std::process::id().wrapping_mul(16) % 20_000;
    let ports = (0..20_000).map(|n| 10_000 + ((first + n) % 20_000) as u16);
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    ports.filter(is_free).take(count).collect()
}

impl Cluster {
    /// Starts the services and the controllers. Machines boot within `boot_s`.
    pub fn start(site: &Site, record: &str, boot_s: f64, capacity: usize) -> Cluster {
        let world = Arc::new(World {
            record: Record::create(record),
            nodes: Mutex::new(vec![]),
            report_s: site.report_s,
            lease_s: site.lease_s,
            jobs: Mutex::new(BTreeMap::new()),
            results: Mutex::new(BTreeSet::new()),
            events: Mutex::new(vec![]),
            first_node: Mutex::new(0),
        });
        let count = site.nodes.len();
        let (state, state_addresses) = State::start(count, site.limits);
        let (cloud, cloud_address) = Cloud::start(&world, site.flavors.clone(), capacity, boot_s, site.list_lag_s);
        let names: Vec<String> = (0..count).map(|n| format!("worker-{n}")).collect();
        let ports = free_ports(2 * count);
        let (public, peer) = ports.split_at(count);
        let dir = folder();
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let addresses: Vec<SocketAddr> = public.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p))).collect();
        *world.nodes.lock().unwrap() = names.iter().cloned().zip(addresses.iter().copied()).collect();
        let program = std::env::var_os("GLENHAVEN").map_or("target/release/glenhaven".into(), PathBuf::from);
        let mut cluster = Cluster {
            world,
            state,
            cloud,
            names,
            addresses,
            nodes: vec![],
            program,
            dir,
        };
        for n in 0..count {
            let config = cluster.dir.join(format!("node-{n}.toml"));
            let services = (cloud_address, state_addresses[n]);
            std::fs::write(&config, settings(site, n, public, peer, services)).expect("the settings can be written");
            let log = cluster.dir.join(format!("node-{n}.log"));
            cluster.nodes.push(Node { config, log });
            cluster.start_node(n);
        }
        cluster
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_node(&mut self, n: usize) {
        let node = &self.nodes[n];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("a log");
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&node.config)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => RUNNING.lock().unwrap().push(child),
            Err(error) => self.cannot_run(&format!("the controller can't be started: {error}")),
        }
        self.world.record.note(&format!("worker-{n} is started"));
    }

    /// Returns the number of the leader, which the state service sees in the key that it writes.
    pub fn leader(&self) -> Option<usize> {
        let term = self.state.value("term")?;
        self.state.value("term-live")?;
        let name = text_field(&term, "leader")?;
        self.names.iter().position(|n| *n == name)
    }

    /// Waits until all controllers are ready and one leads.
    pub fn wait_until_ready(&self) -> usize {
        let is_ready = |a: &SocketAddr| {
            let answer = Client::new(*a).call("GET", "/ready", None, Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        let ready = wait_for(20.0, || self.addresses.iter().all(is_ready) && self.leader().is_some());
        match self.leader().filter(|_| ready) {
            Some(leader) => leader,
            None => self.cannot_run("the controllers didn't get ready"),
        }
    }

    /// Ends with status 2: the case couldn't run.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.world.record.note(&format!("the case couldn't run: {why}"));
        println!("the case couldn't run: {why}");
        end_processes();
        self.remove_folder();
        std::process::exit(2);
    }

    /// Ends all processes, and then with status 1 if a rule was broken.
    pub fn finish(&self, broken: &[String]) -> ! {
        for line in broken {
            self.world.record.note(&format!("BROKEN: {line}"));
            println!("broken: {line}");
        }
        if broken.is_empty() {
            self.world.record.note("the rule held");
            println!("the rule held");
        }
        end_processes();
        self.remove_folder();
        std::process::exit(i32::from(!broken.is_empty()));
    }

    fn remove_folder(&self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.dir).ok();
        } else {
            println!("logs: {}", self.dir.display());
        }
    }

    /// Makes a request as a user; the answer's status (0 without an answer) and its phase.
    pub fn request(&self, node: usize, method: &str, path: &str, body: Option<&Value>, limit_s: f64) -> (u16, String) {
        let began = self.world.record.now();
        let answer = Client::new(self.addresses[node]).call(method, path, body, Duration::from_secs_f64(limit_s));
        let (status, value) = answer.unwrap_or((0, Value::Null));
        let phase = text_field(&value, "phase")
            .or(text_field(&value, "error"))
            .unwrap_or_default();
        let waited = self.world.record.now() - began;
        self.world.record.note(&format!(
            "user: {method} {path} at {}: {status} {phase} ({waited:.3} s)",
            self.names[node]
        ));
        (status, phase)
    }

    /// Registers a job and submits it until it is accepted, for up to 60 s.
    pub fn submit(&self, node: usize, spec: &Submission) -> bool {
        self.world.jobs.lock().unwrap().insert(spec.id.clone(), spec.job());
        let body = spec.body();
        let mut at = node;
        wait_for(60.0, || {
            let (status, _) = self.request(at, "POST", "/v2/runs", Some(&body), 5.0);
            if matches!(status, 200 | 201) {
                return true;
            }
            at = (at + 1) % self.names.len();
            sleep(1.0);
            false
        })
    }

    /// Polls a job once.
    pub fn poll(&self, node: usize, job: &str) -> (u16, String) {
        self.request(node, "GET", &format!("/v2/runs/{job}"), None, 2.0)
    }

    /// Submits `count` jobs like `spec` over a number of seconds, and returns their ids, which are numbered
    /// from `first` on.
    pub fn submit_over(&self, s: f64, node: usize, first: usize, count: usize, spec: &Submission) -> Vec<String> {
        let began = self.world.record.now();
        let ids: Vec<String> = (first..first + count).map(|n| format!("run-{n:06}")).collect();
        for (n, id) in ids.iter().enumerate() {
            let job = Submission {
                id: id.clone(),
                ..spec.clone()
            };
            if !self.submit((node + n) % self.names.len(), &job) {
                self.cannot_run("a job isn't accepted");
            }
            sleep(began + s * (n + 1) as f64 / count as f64 - self.world.record.now());
        }
        ids
    }

    /// Whether a worker has accepted a start of one of the job's tasks.
    pub fn was_placed(&self, job: &str) -> bool {
        self.world.events_of(job).iter().any(|e| e.what == "is told to run")
    }

    /// Whether a task of the job is on a machine.
    pub fn runs(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        self.cloud
            .machines()
            .iter()
            .any(|m| m.on_machine().iter().any(|p| p.starts_with(&prefix)))
    }
}

/// A job to be submitted.
#[derive(Clone)]
pub struct Submission {
    pub id: String,
    pub class: &'static str,
    pub team: &'static str,
    pub standing: bool,
    pub rank: &'static str,
    pub pieces: u64,
    pub cores: f64,
    pub mem_gb: f64,
    pub run_s: f64,
    /// Whether the job may use spot machines.
    pub reclaimable: bool,
}

impl Submission {
    fn job(&self) -> Job {
        Job {
            cores: self.cores,
            mem_gb: self.mem_gb,
            standing: self.standing,
            run_s: self.run_s,
        }
    }

    /// The body of the submission.
    pub fn body(&self) -> Value {
        map(vec![
            ("ref", text(&self.id)),
            ("jobclass", text(self.class)),
            ("owner", text(self.team)),
            ("shape", text(if self.standing { "standing" } else { "array" })),
            ("rank", text(self.rank)),
            ("pieces", int(self.pieces)),
            ("cores", Value::Float(self.cores)),
            ("cards", Value::Float(0.0)),
            ("mem_gb", Value::Float(self.mem_gb)),
            ("bundle", text("img-01")),
            ("size_gb", Value::Float(0.03)),
            ("flavors", Value::Null),
            ("yard", Value::Null),
            ("together", Value::Bool(false)),
            ("apart", Value::Bool(false)),
            ("reclaimable", Value::Bool(self.reclaimable)),
            ("expected_s", Value::Float(if self.standing { 0.0 } else { self.run_s })),
            ("snapshot_every_s", Value::Float(0.0)),
            ("snapshot_cost_s", Value::Float(0.0)),
            ("due_s", Value::Null),
        ])
    }
}

fn settings(site: &Site, n: usize, public: &[u16], peer: &[u16], services: (SocketAddr, SocketAddr)) -> String {
    let mut out = format!(
        "node = \"worker-{n}\"\nzone = \"{}\"\npublic_addr = \"127.0.0.1:{}\"\npeer_bind = \"127.0.0.1:{}\"\n",
        site.nodes[n], public[n], peer[n]
    );
    for (other, zone) in site.nodes.iter().enumerate().filter(|(other, _)| *other != n) {
        out += &format!(
            "[[peers]]\nnode = \"worker-{other}\"\nzone = \"{zone}\"\naddr = \"127.0.0.1:{}\"\n",
            peer[other]
        );
    }
    let Limits {
        rps,
        write_rps,
        value_kb,
        txn_ops,
    } = site.limits;
    out += &format!("[services]\ncloud = \"{}\"\nstate = \"{}\"\n", services.0, services.1);
    out += &format!(
        "[params]\nsize = {}\nzones = {:?}\nclock_off_ms = {:?}\n",
        site.nodes.len(),
        site.zones,
        site.clock_off_ms
    );
    for (team, cpus, most) in &site.teams {
        out += &format!(
            "[[params.teams]]\nname = \"{team}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    let (report, lease, cancel) = (site.report_s, site.lease_s, site.cancel_s);
    out += &format!("[params.workers]\nreport_s = {report:?}\nlease_s = {lease:?}\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = {cancel:?}\n");
    out += &format!(
        "[params.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n"
    );
    out += &format!(
        "[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n",
        site.cloud_rps, site.list_lag_s
    );
    out += &format!(
        "[params.resources]\ncpu = {:?}\nmem_mb = {:?}\nsockets = {}\n",
        site.cpu, site.mem_mb, site.sockets
    );
    out
}
