//! The settings of an experiment file. Field and variant names are its keys and values.

use crate::errors::EmulatorError;
use glenhaven::protocol::users::{Priority, Shape};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// An experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    pub name: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long jobs are submitted and faults injected.
    pub duration_s: f64,
    /// All addresses are 127.`network`.x.y.
    pub network: u8,
    /// Whether the state service compares each written segment of the write-ahead log
    /// with all others.
    #[serde(default = "default_true")]
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

/// The number of controllers and their settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Controllers {
    pub count: usize,
    /// Zones, assigned to controllers and machines in turn.
    pub zones: Vec<String>,
    pub sockets: u32,
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Idle time after which a machine is returned. With the default, all machines are kept.
    #[serde(default = "default_idle_s")]
    pub idle_s: f64,
    /// Whether links between controllers go through forwarders in the emulator, which can inject
    /// faults.
    #[serde(default)]
    pub forwarded: bool,
}

/// Limits of the state service and the cloud.
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

/// Machines of one type, and their workers.
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
    /// Time over which the boots of the initial machines are spread.
    pub ramp_s: f64,
}

/// Teams with the same guarantee and limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Teams {
    pub count: usize,
    pub cpus: f64,
    /// Limit of cores; 0 means no limit.
    pub cpus_max: f64,
    /// Guarantee of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Jobs of one class that are submitted repeatedly, for each team in turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub class: String,
    pub priority: Priority,
    pub shape: Shape,
    pub tasks: u32,
    pub cpus: f64,
    /// Run time of each task.
    #[serde(default)]
    pub run_s: f64,
    pub from_s: f64,
    /// Time after which no job is submitted; the end of the experiment if not given.
    pub until_s: Option<f64>,
    /// Mean interval between submissions, which vary at random.
    pub every_s: f64,
    /// Share of the jobs that their users cancel.
    #[serde(default)]
    pub cancelled: f64,
    #[serde(default)]
    pub gpus: f64,
    /// Time that a stopped task takes to save its work; with 0 its work is lost.
    #[serde(default)]
    pub save_s: f64,
    #[serde(default)]
    pub image_gb: Option<f64>,
    /// The only zone in which the jobs may run.
    #[serde(default)]
    pub zone: Option<String>,
    /// Whether all tasks of a job must run in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may run in one zone.
    #[serde(default)]
    pub spread: bool,
}

/// An injected failure with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Injection {
    pub at_s: f64,
    #[serde(flatten)]
    pub what: InjectionKind,
}

/// A kind of injected failure.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum InjectionKind {
    /// `count` machines die.
    MachineDeaths { count: usize },
    /// `count` machines die and are replaced by new ones.
    Replacements { count: usize },
    /// A share of a zone's machines dies at once.
    Rack { zone: String, share: f64 },
    /// All machines and controllers of a zone die. After `lasts_s` the controllers are restarted
    /// and machines can be rented there again.
    Zone { zone: String, lasts_s: f64 },
    /// A controller is killed, and restarted after `lasts_s`.
    ControllerKill { who: Who, lasts_s: f64 },
    /// Each controller in turn is killed and restarted at once, `pause_s` apart.
    ControllerRoll { pause_s: f64 },
}

/// The controller that is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Who {
    Leader,
    /// The first running controller that doesn't lead.
    Follower,
}

fn default_seed() -> u64 {
    1
}

fn default_true() -> bool {
    true
}

fn default_idle_s() -> f64 {
    3600.0
}

fn default_log_level() -> String {
    "info".into()
}

/// Largest numbers for which there are addresses.
const MAX_CONTROLLERS: usize = 100;
const MAX_WORKERS: usize = 20_000;

impl Experiment {
    /// Reads and validates an experiment file.
    pub(crate) fn load(path: &Path) -> Result<Experiment, EmulatorError> {
        let experiment: Experiment = read_toml(path)?;
        experiment.validate().map_err(|message| invalid_file(path, message))?;
        Ok(experiment)
    }

    /// Validates the numbers and the zones that injections refer to.
    pub(crate) fn validate(&self) -> Result<(), String> {
        let within = |name: &str, value: usize, max: usize| match (1..=max).contains(&value) {
            true => Ok(()),
            false => Err(format!("{name}: {value} is not between 1 and {max}")),
        };
        within("controllers.count", self.controllers.count, MAX_CONTROLLERS)?;
        within("workers.count", self.workers.count, MAX_WORKERS)?;
        within("teams.count", self.teams.count, MAX_WORKERS)?;
        within("controllers.zones", self.controllers.zones.len(), MAX_CONTROLLERS)?;
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

    /// Returns how long jobs are submitted and faults injected.
    pub(crate) fn duration(&self) -> Duration {
        seconds(self.duration_s)
    }

    /// Returns the zone of the controller or machine with this number.
    pub(crate) fn zone_of(&self, number: usize) -> &str {
        &self.controllers.zones[number % self.controllers.zones.len()]
    }
}

/// Reads an experiment or plan file.
pub(crate) fn read_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, EmulatorError> {
    let text = std::fs::read_to_string(path).map_err(|source| EmulatorError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| invalid_file(path, e.to_string().trim().replace('\n', " ")))
}

/// Creates the error of an invalid experiment or plan file.
pub(crate) fn invalid_file(path: &Path, message: String) -> EmulatorError {
    EmulatorError::InvalidFile {
        path: path.to_path_buf(),
        message,
    }
}

/// Converts seconds to a duration; a value that is not a valid duration becomes zero.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
