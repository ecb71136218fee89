//! What an experiment file says.

use crate::errors::EmulatorError;
use glenhaven::protocol::users::{Priority, Shape};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    pub name: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// How long users and troubles go on.
    pub duration_s: f64,
    /// All addresses are 127.`network`.x.y.
    pub network: u8,
    /// Whether each written page of the book is compared with all others.
    #[serde(default = "yes")]
    pub audit_records: bool,
    pub controllers: Controllers,
    pub services: Services,
    pub workers: Workers,
    pub teams: Teams,
    #[serde(default)]
    pub load: Vec<Load>,
    #[serde(default)]
    pub inject: Vec<Injection>,
}

/// The controllers: how many, and what each may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Controllers {
    pub count: usize,
    /// Zones of controllers and machines, in turn.
    pub zones: Vec<String>,
    pub sockets: u32,
    #[serde(default = "info")]
    pub log_level: String,
    /// How long a machine is idle before it is returned. So long by default that machines stay.
    #[serde(default = "longest_idle")]
    pub idle_s: f64,
    /// Whether links between controllers go through the emulator, so that they can fail.
    #[serde(default)]
    pub forwarded: bool,
}

/// The state service's and the cloud's limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Services {
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
}

/// Machines, all of one type, and their workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Workers {
    pub count: usize,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub boot_s: f64,
    /// The first machines come up one after the other in this time.
    pub ramp_s: f64,
}

/// Teams, all with the same guarantee and limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Teams {
    pub count: usize,
    pub cpus: f64,
    /// 0: no limit.
    pub cpus_max: f64,
    /// The same of GPUs.
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// Jobs that come again and again, each for the next team.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub class: String,
    pub priority: Priority,
    pub shape: Shape,
    pub tasks: u32,
    pub cpus: f64,
    /// How long each task runs.
    #[serde(default)]
    pub run_s: f64,
    pub from_s: f64,
    /// No job comes after this; the end of the experiment if not given.
    pub until_s: Option<f64>,
    /// Jobs come so often, each a little earlier or later.
    pub every_s: f64,
    /// A user cancels so large a share of the jobs.
    #[serde(default)]
    pub cancelled: f64,
    #[serde(default)]
    pub gpus: f64,
    /// How long a stopped task saves; 0: it loses its work.
    #[serde(default)]
    pub save_s: f64,
    #[serde(default)]
    pub image_gb: Option<f64>,
    /// The only zone that it may run in.
    #[serde(default)]
    pub zone: Option<String>,
    /// All tasks of a job in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// At most half of them in one.
    #[serde(default)]
    pub spread: bool,
}

/// What happens at a moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Injection {
    pub at_s: f64,
    #[serde(flatten)]
    pub what: InjectionKind,
}

/// What is done to machines and controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum InjectionKind {
    /// So many machines die.
    MachineDeaths { count: usize },
    /// So many machines die, and others come up in their places.
    Replacements { count: usize },
    /// A share of a zone's machines dies at once.
    Rack { zone: String, share: f64 },
    /// All machines and controllers of a zone die; after some seconds its controllers
    /// come back, and machines can be rented there again.
    Zone { zone: String, lasts_s: f64 },
    /// A controller is killed, and started again after some seconds.
    ControllerKill { who: Who, lasts_s: f64 },
    /// Every controller is killed and started again, one after the other.
    ControllerRoll { pause_s: f64 },
}

/// A controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Who {
    Leader,
    /// Some controller that does not lead.
    Follower,
}

fn one() -> u64 {
    1
}

fn yes() -> bool {
    true
}

fn longest_idle() -> f64 {
    3600.0
}

fn info() -> String {
    "info".into()
}

/// The largest numbers that addresses are there for.
const MOST_CONTROLLERS: usize = 100;
const MOST_WORKERS: usize = 20_000;

impl Experiment {
    /// Reads and checks an experiment file.
    pub(crate) fn load(path: &Path) -> Result<Experiment, EmulatorError> {
        let experiment: Experiment = read_toml(path)?;
        experiment.check().map_err(|message| wrong(path, message))?;
        Ok(experiment)
    }

    /// Whether the numbers make sense together.
    pub(crate) fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: usize, most: usize| match (1..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{name}: {value} is not between 1 and {most}")),
        };
        within("controllers.count", self.controllers.count, MOST_CONTROLLERS)?;
        within("workers.count", self.workers.count, MOST_WORKERS)?;
        within("teams.count", self.teams.count, MOST_WORKERS)?;
        within("controllers.zones", self.controllers.zones.len(), MOST_CONTROLLERS)?;
        let positive = |name: &str, value: f64| match value.is_finite() && value > 0.0 {
            true => Ok(()),
            false => Err(format!("{name}: {value} is not a positive number")),
        };
        positive("duration_s", self.duration_s)?;
        positive("controllers.idle_s", self.controllers.idle_s)?;
        positive("services.cloud_rps", self.services.cloud_rps)?;
        positive("workers.report_s", self.workers.report_s)?;
        positive("workers.lease_s", self.workers.lease_s)?;
        positive("workers.cancel_s", self.workers.cancel_s)?;
        for load in &self.load {
            positive("load.every_s", load.every_s)?;
            positive("load.cpus", load.cpus)?;
        }
        let known = |zone: &String| self.controllers.zones.contains(zone);
        for injection in &self.inject {
            match &injection.what {
                InjectionKind::Rack { zone, .. } | InjectionKind::Zone { zone, .. } if !known(zone) => {
                    return Err(format!("inject: no zone {zone}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// How long users and troubles go on.
    pub(crate) fn duration(&self) -> Duration {
        seconds(self.duration_s)
    }

    /// The zone of a controller or machine with this number.
    pub(crate) fn zone_of(&self, number: usize) -> &str {
        &self.controllers.zones[number % self.controllers.zones.len()]
    }
}

/// Reads a file that says what is played.
pub(crate) fn read_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, EmulatorError> {
    let text = std::fs::read_to_string(path).map_err(|source| EmulatorError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| wrong(path, e.to_string().trim().replace('\n', " ")))
}

/// What is wrong with such a file.
pub(crate) fn wrong(path: &Path, message: String) -> EmulatorError {
    EmulatorError::Experiment {
        path: path.to_path_buf(),
        message,
    }
}

/// A duration that an experiment file names; nothing for what is none.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
