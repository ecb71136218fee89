//! The controllers: real processes, started as the deploy file says, with a settings file each.

use crate::state::Limits;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The settings that the controllers of a run have in common.
pub struct Settings {
    /// The number of controllers.
    pub count: usize,
    /// The zones, over which the controllers are spread.
    pub yards: Vec<&'static str>,
    /// The teams: name, guaranteed CPUs, most CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// The interval of reports, the lease and the time of a cancellation, in seconds.
    pub workers: (f64, f64, f64),
    /// The limits of the state service.
    pub state: Limits,
    /// Calls per second and the lag of the list, in seconds.
    pub cloud: (f64, f64),
}

/// The processes. All are killed when this value is dropped.
pub struct Controllers {
    root: PathBuf,
    folder: PathBuf,
    command: Vec<String>,
    /// The names, with the public addresses.
    pub nodes: Vec<(String, SocketAddr)>,
    peers: Vec<SocketAddr>,
    /// Keep the controllers' ports from others until the controllers start.
    reserved: Vec<TcpListener>,
    children: Vec<Option<Child>>,
}

/// Reserves a free port.
fn reserve(reserved: &mut Vec<TcpListener>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the address of a bound socket");
    reserved.push(listener);
    address
}

impl Controllers {
    /// Chooses names and addresses; `root` is the root of the repository.
    pub fn prepare(root: &Path, count: usize) -> Controllers {
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("the entry `run`");
        let command = run
            .trim()
            .trim_matches('"')
            .split_whitespace()
            .map(str::to_string)
            .collect();
        let folder = std::env::temp_dir().join(format!("glenhaven-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut reserved = vec![];
        let nodes = (0..count)
            .map(|n| (format!("worker-{n}"), reserve(&mut reserved)))
            .collect();
        let peers = (0..count).map(|_| reserve(&mut reserved)).collect();
        Controllers {
            root: root.to_path_buf(),
            folder,
            command,
            nodes,
            peers,
            reserved,
            children: (0..count).map(|_| None).collect(),
        }
    }

    /// Writes the settings files.
    pub fn write_settings(&self, settings: &Settings, state: &[SocketAddr], cloud: SocketAddr) {
        let yard = |n: usize| settings.yards[n % settings.yards.len()];
        for n in 0..self.nodes.len() {
            let mut text = format!(
                "node = \"{}\"\nzone = \"{}\"\npublic_addr = \"{}\"\npeer_bind = \"{}\"\n",
                self.nodes[n].0,
                yard(n),
                self.nodes[n].1,
                self.peers[n]
            );
            for other in (0..self.nodes.len()).filter(|other| *other != n) {
                let (name, addr) = (&self.nodes[other].0, self.peers[other]);
                text += &format!(
                    "[[peers]]\nnode = \"{name}\"\nzone = \"{}\"\naddr = \"{addr}\"\n",
                    yard(other)
                );
            }
            text += &format!("[services]\ncloud = \"{cloud}\"\nstate = \"{}\"\n", state[n]);
            let yards: Vec<String> = settings.yards.iter().map(|yard| format!("\"{yard}\"")).collect();
            text += &format!(
                "[params]\nsize = {}\nzones = [{}]\nclock_off_ms = 250.0\n",
                self.nodes.len(),
                yards.join(", ")
            );
            for (name, cpus, most) in &settings.teams {
                text += &format!(
                    "[[params.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            let (report_s, lease_s, cancel_s) = settings.workers;
            text += &format!(
                "[params.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = {cancel_s:?}\n"
            );
            let Limits {
                rps,
                write_rps,
                value_kb,
                txn_ops,
            } = settings.state;
            text += &format!(
                "[params.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n"
            );
            text += &format!(
                "[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n",
                settings.cloud.0, settings.cloud.1
            );
            text += "[params.resources]\ncpu = 0.24\nmem_mb = 104.0\nsockets = 3500\n";
            std::fs::write(self.folder.join(format!("{n}.toml")), text).expect("the settings can be written");
        }
    }

    /// Frees the reserved ports, just before the controllers start.
    pub fn free_ports(&mut self) {
        self.reserved.clear();
    }

    /// Starts a controller.
    pub fn start(&mut self, n: usize) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{n}.log")))
            .expect("the log can be written");
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .arg(self.folder.join(format!("{n}.toml")))
            .current_dir(&self.root)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file can be started");
        self.children[n] = Some(child);
    }

    /// Kills a controller.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns the controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let ended = |child: &mut Option<Child>| child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
        let children = self.children.iter_mut().enumerate();
        children.filter_map(|(n, child)| ended(child).then_some(n)).collect()
    }

    /// Returns all addresses that the controllers listen on.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let public = self.nodes.iter().map(|(_, address)| *address);
        public.chain(self.peers.iter().copied()).collect()
    }

    /// Returns the process id of a controller.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.children[n].as_ref().map(Child::id)
    }

    /// Waits until all controllers answer `/ready` with 200; returns whether they did.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        let is_ready = |address: SocketAddr| {
            let answer = crate::http::call(address, "GET", "/ready", &[], Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while began.elapsed() < limit {
            if self.nodes.iter().all(|(_, address)| is_ready(*address)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the folder of settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for n in 0..self.children.len() {
            self.kill(n);
        }
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}
