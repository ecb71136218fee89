//! The controller processes: writes their settings files, starts, suspends and kills them.

use crate::cluster::{node_name, Addresses};
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use crate::fleet::teams;
use rustix::process::{Pid, Signal};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// CPU and memory limits in each controller's settings.
const CPU: f64 = 1.0;
const MEMORY_MB: f64 = 512.0;

/// The settings file of a controller. Field names of this and the following tables are its keys.
#[derive(Serialize)]
struct SettingsFile {
    node: String,
    zone: String,
    public_addr: String,
    peer_bind: String,
    operator_file: PathBuf,
    peers: Vec<PeerTable>,
    services: ServicesTable,
    params: ParamsTable,
}

#[derive(Serialize)]
struct PeerTable {
    node: String,
    zone: String,
    addr: String,
}

#[derive(Serialize)]
struct ServicesTable {
    cloud: String,
    state: String,
}

#[derive(Serialize)]
struct ParamsTable {
    zones: Vec<String>,
    size: usize,
    teams: Vec<TeamTable>,
    workers: WorkersTable,
    state: StateTable,
    cloud: CloudTable,
    resources: ResourcesTable,
}

#[derive(Serialize)]
struct TeamTable {
    name: String,
    cpus: f64,
    cpus_max: f64,
    gpus: f64,
    gpus_max: f64,
}

#[derive(Serialize)]
struct WorkersTable {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Serialize)]
struct StateTable {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

#[derive(Serialize)]
struct CloudTable {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Serialize)]
struct ResourcesTable {
    cpu: f64,
    mem_mb: f64,
    sockets: u32,
}

/// Builds the settings file of a controller.
fn settings(experiment: &Experiment, node: usize, operator_file: &Path) -> SettingsFile {
    let addresses = Addresses::new(experiment.network);
    let (workers, services) = (&experiment.workers, &experiment.services);
    let count = experiment.controllers.count;
    let peer = |other: usize| PeerTable {
        node: node_name(other),
        zone: experiment.zone_of(other).into(),
        addr: match experiment.controllers.forwarded {
            true => addresses.forwarder(node, other).to_string(),
            false => addresses.peer(other).to_string(),
        },
    };
    let team = |team: glenhaven::settings::Team| TeamTable {
        name: team.name,
        cpus: team.cpus,
        cpus_max: team.cpus_max,
        gpus: team.gpus,
        gpus_max: team.gpus_max,
    };
    SettingsFile {
        node: node_name(node),
        zone: experiment.zone_of(node).into(),
        public_addr: addresses.public(node).to_string(),
        peer_bind: addresses.peer(node).to_string(),
        operator_file: operator_file.to_path_buf(),
        peers: (0..count).filter(|other| *other != node).map(peer).collect(),
        services: ServicesTable {
            cloud: addresses.cloud(node).to_string(),
            state: addresses.state(node).to_string(),
        },
        params: ParamsTable {
            zones: experiment.controllers.zones.clone(),
            size: count,
            teams: teams(experiment).into_iter().map(team).collect(),
            workers: WorkersTable {
                report_s: workers.report_s,
                lease_s: workers.lease_s,
                cancel_s: workers.cancel_s,
            },
            state: StateTable {
                rps: services.state_rps,
                write_rps: services.state_write_rps,
                value_kb: services.value_kb,
                txn_ops: services.txn_ops,
            },
            cloud: CloudTable {
                rps: services.cloud_rps,
                list_lag_s: services.list_lag_s,
            },
            resources: ResourcesTable {
                cpu: CPU,
                mem_mb: MEMORY_MB,
                sockets: experiment.controllers.sockets,
            },
        },
    }
}

/// The controller processes of an experiment. All are killed when this value is dropped.
pub(crate) struct Controllers {
    program: PathBuf,
    dir: PathBuf,
    log_level: String,
    children: Vec<Option<Child>>,
    /// Number of processes started so far.
    pub process_starts: usize,
}

impl Controllers {
    /// Writes the settings files into a directory. No process is started.
    pub(crate) fn prepare(experiment: &Experiment, program: &Path, dir: &Path) -> Result<Controllers, EmulatorError> {
        let write = |path: &Path, text: &str| {
            std::fs::write(path, text).map_err(|source| EmulatorError::Unwritable {
                path: path.to_path_buf(),
                source,
            })
        };
        std::fs::create_dir_all(dir).map_err(|source| EmulatorError::Unwritable {
            path: dir.to_path_buf(),
            source,
        })?;
        let dir = dir.canonicalize().map_err(|source| EmulatorError::Unreadable {
            path: dir.to_path_buf(),
            source,
        })?;
        let operator_file = dir.join("operator.scm");
        write(
            &operator_file,
            &format!("((idle-s . {:?}))\n", experiment.controllers.idle_s),
        )?;
        for node in 0..experiment.controllers.count {
            let path = dir.join(format!("{}.toml", node_name(node)));
            let text = toml::to_string(&settings(experiment, node, &operator_file)).map_err(|e| {
                EmulatorError::InvalidFile {
                    path: path.clone(),
                    message: e.to_string(),
                }
            })?;
            write(&path, &text)?;
        }
        Ok(Controllers {
            program: program.to_path_buf(),
            dir,
            log_level: experiment.controllers.log_level.clone(),
            children: (0..experiment.controllers.count).map(|_| None).collect(),
            process_starts: 0,
        })
    }

    /// Returns the directory of settings and logs.
    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Starts a controller unless it is running. Its log is appended to the log of earlier starts.
    pub(crate) fn start(&mut self, node: usize) -> Result<(), EmulatorError> {
        if self.children[node].is_some() {
            return Ok(());
        }
        let log = self.dir.join(format!("{}.log", node_name(node)));
        let unwritable = |source| EmulatorError::Unwritable {
            path: log.clone(),
            source,
        };
        let log_file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(unwritable)?;
        self.process_starts += 1;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(self.dir.join(format!("{}.toml", node_name(node))))
            .env("LOG_LEVEL", &self.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(|source| EmulatorError::Start {
                path: self.program.clone(),
                source,
            })?;
        self.children[node] = Some(child);
        Ok(())
    }

    /// Kills a controller. Returns whether it was running.
    pub(crate) fn kill(&mut self, node: usize) -> bool {
        let Some(mut child) = self.children[node].take() else {
            return false;
        };
        child.kill().ok();
        child.wait().ok();
        true
    }

    /// Suspends or resumes a controller process.
    pub(crate) fn pause(&mut self, node: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        let pid = self.children[node]
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            rustix::process::kill_process(pid, signal).ok();
        }
    }

    /// Returns the running controllers with their process IDs.
    pub(crate) fn running(&self) -> Vec<(usize, u32)> {
        let children = self.children.iter().enumerate();
        children
            .filter_map(|(node, child)| Some((node, child.as_ref()?.id())))
            .collect()
    }

    /// Returns the controllers that have exited without being killed since the last call.
    pub(crate) fn ended(&mut self) -> Vec<usize> {
        let mut ended = vec![];
        for (node, slot) in self.children.iter_mut().enumerate() {
            let over = slot
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if over {
                *slot = None;
                ended.push(node);
            }
        }
        ended
    }

    /// Kills all controllers.
    pub(crate) fn kill_all(&mut self) {
        for node in 0..self.children.len() {
            self.kill(node);
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.kill_all();
    }
}
