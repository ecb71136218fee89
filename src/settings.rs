//! The settings: the platform's file (TOML) and the operators' file (S-expressions).
//!
//! Both files are read once at the start and checked here, so that the rest of the program can rely
//! on their values. The names in both files are fixed from outside: the serialised names of the
//! fields must not change.

use glenhaven_store_limits::{Bounds, Limits};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// An error of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read settings file {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's contents are not valid.
    #[error("invalid settings in {path}: {message}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The setting's name, the expected value and the actual one, or the parser's message.
        message: String,
    },
}

/// Minimum limit on puts and deletes in a transaction.
const MIN_TXN_OPS: usize = 4;
/// Minimum limit on the size of a value, in KiB; a page's frame and one job description have to
/// fit.
const MIN_VALUE_KB: f64 = 1.0;

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// The controller's name.
    pub node: String,
    /// The controller's zone.
    pub zone: String,
    /// The address at which the controller accepts links from other controllers.
    pub addr: String,
}

/// The addresses of the services that controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: String,
    /// The state service's address.
    pub state: String,
}

/// A team's guarantee and limit.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on CPU cores; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective; unknown kinds and fields are accepted and ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Objective {
    /// What the objective limits, such as `wait`, `finished` or `deadline`.
    #[serde(default)]
    pub kind: String,
    /// The class of jobs to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// The time limit, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs that must meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// For `deadline`: the multiple of the deadline's length that counts.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Time limits and periods of agents, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentTimes {
    /// The period of an agent's heartbeats.
    pub report_s: f64,
    /// How long an agent keeps running its tasks after sending the last heartbeat that was
    /// answered.
    pub lease_s: f64,
    /// Time limit for stopping a task, counted from the confirmation of its cancellation.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Changes per second, of all controllers together.
    pub write_rps: f64,
    /// The size of a value, in KiB as JSON.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Announced lower limits that will apply later.
    #[serde(default)]
    pub next: Option<AnnouncedLimits>,
}

/// Announced limits of the state service; limits that are not set stay as they are.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct AnnouncedLimits {
    /// Changes per second, of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value, in KiB as JSON.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Converts the settings into the limits that the scheduler observes.
    pub fn limits(&self) -> Limits {
        let now = Bounds {
            value_kb: self.value_kb,
            changes: self.txn_ops,
            changes_per_s: self.write_rps,
        };
        let next = self.next.as_ref().map(|n| Bounds {
            value_kb: n.value_kb.unwrap_or(now.value_kb),
            changes: n.txn_ops.unwrap_or(now.changes),
            changes_per_s: n.write_rps.unwrap_or(now.changes_per_s),
        });
        Limits::new(self.rps, now, next)
    }
}

/// The limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls per second.
    pub rps: f64,
    /// Usual delay of the cloud's list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Limits on the resources of a controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct Resources {
    /// CPU cores.
    pub cpu: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Open sockets.
    pub sockets: u32,
}

/// The platform's parameters, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum deviation of a host's time of day from the true time, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams.
    pub teams: Vec<Team>,
    /// The service level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits and periods of agents.
    pub workers: AgentTimes,
    /// The limits of the state service.
    pub state: StateLimits,
    /// The limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits on the resources of a controller's process.
    pub resources: Resources,
}

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// This controller's zone.
    pub zone: String,
    /// The address for users, agents and the load balancer.
    pub public_addr: String,
    /// The address for links from other controllers.
    pub peer_bind: String,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The services that controllers use.
    pub services: Services,
    /// The platform's parameters.
    pub params: Params,
    /// The path of the operators' file.
    #[serde(default)]
    pub operator_file: Option<PathBuf>,
    /// The operators' settings, from `operator_file` or the defaults.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

/// The operators' settings; every field has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OperatorSettings {
    /// Time to live of the leader's lease in the state service, in seconds.
    pub leader_lease_s: f64,
    /// Idle time after which a machine is released, in seconds.
    pub idle_s: f64,
    /// Capacity rented in excess of the demand of batch jobs, as a share of that demand.
    pub headroom: f64,
    /// Minimum wait of a job before it may borrow capacity from other pools, in seconds.
    pub borrow_after_s: f64,
    /// Period of the demand estimate, in seconds.
    pub estimate_s: f64,
    /// Value of all jobs of a class meeting one of its objectives, as a multiple of the total
    /// spending.
    #[serde(rename = "in-time-worth")]
    pub objective_value: f64,
    /// Whether other controllers forward requests to a service that this controller can't reach,
    /// and whether this controller forwards theirs.
    #[serde(rename = "ways-by-others")]
    pub forwards_requests: bool,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            leader_lease_s: 2.5,
            idle_s: 10.0,
            headroom: 0.0,
            borrow_after_s: 30.0,
            estimate_s: 60.0,
            objective_value: 1.5,
            forwards_requests: true,
        }
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_path_buf(),
        source,
    })
}

impl OperatorSettings {
    /// Parses and checks the S-expressions of an operators' file.
    ///
    /// # Errors
    ///
    /// Returns a text that names the setting if one is unknown, malformed or out of its range.
    pub fn parse(text: &str) -> Result<OperatorSettings, String> {
        let operator: OperatorSettings = serde_lexpr::from_str(text).map_err(|e| e.to_string())?;
        let within = |name: &str, value: f64, low: f64, high: f64| {
            if value.is_finite() && (low..=high).contains(&value) {
                Ok(())
            } else {
                Err(format!("{name}: {value} is not between {low} and {high}"))
            }
        };
        within("leader-lease-s", operator.leader_lease_s, 0.5, 60.0)?;
        within("idle-s", operator.idle_s, 0.0, 3600.0)?;
        within("headroom", operator.headroom, 0.0, 10.0)?;
        within("borrow-after-s", operator.borrow_after_s, 0.0, 3600.0)?;
        within("estimate-s", operator.estimate_s, 1.0, 3600.0)?;
        within("in-time-worth", operator.objective_value, 0.0, 1000.0)?;
        Ok(operator)
    }
}

impl Settings {
    /// Parses and checks the platform's file.
    ///
    /// # Errors
    ///
    /// Returns a text that names the setting if one is missing, malformed or out of its range.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        let address = |name: &str, text: &str| {
            text.parse::<std::net::SocketAddrV4>()
                .map(|_| ())
                .map_err(|_| format!("{name}: \"{text}\" is not an IPv4 address with a port"))
        };
        address("public_addr", &settings.public_addr)?;
        address("peer_bind", &settings.peer_bind)?;
        address("services.cloud", &settings.services.cloud)?;
        address("services.state", &settings.services.state)?;
        for peer in &settings.peers {
            address("peers.addr", &peer.addr)?;
        }
        let p = &settings.params;
        for (name, value) in [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.state.txn_ops", p.state.txn_ops as f64),
            ("params.cloud.rps", p.cloud.rps),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("{name}: {value} is not a positive number"));
            }
        }
        let next = p.state.next.clone().unwrap_or_default();
        for (name, value) in [
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ] {
            if let Some(value) = value.filter(|v| !v.is_finite() || *v <= 0.0) {
                return Err(format!("{name}: {value} is not a positive number"));
            }
        }
        for (name, ops, value_kb) in [
            ("params.state", Some(p.state.txn_ops), Some(p.state.value_kb)),
            ("params.state.next", next.txn_ops, next.value_kb),
        ] {
            if let Some(ops) = ops.filter(|o| *o < MIN_TXN_OPS) {
                return Err(format!("{name}.txn_ops: {ops} is less than {MIN_TXN_OPS}"));
            }
            if let Some(kb) = value_kb.filter(|v| *v < MIN_VALUE_KB) {
                return Err(format!("{name}.value_kb: {kb} is less than {MIN_VALUE_KB}"));
            }
        }
        let (report_s, lease_s, cancel_s) = (p.workers.report_s, p.workers.lease_s, p.workers.cancel_s);
        if cancel_s <= lease_s {
            return Err(format!(
                "params.workers.cancel_s: {cancel_s} is not above lease_s ({lease_s})"
            ));
        }
        // The interval between heartbeats varies by up to a quarter of its period. A shorter lease
        // would expire between two heartbeats.
        if lease_s <= report_s * 1.25 {
            return Err(format!(
                "params.workers.lease_s: {lease_s} is not above 1.25 times report_s ({report_s})"
            ));
        }
        Ok(settings)
    }

    /// Reads and checks the platform's file and, if `operator_file` is set, the operators' file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if a file can't be read or is not valid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let invalid = |path: &Path, message: String| SettingsError::Invalid {
            path: path.to_path_buf(),
            message,
        };
        let mut settings = Settings::parse(&read_file(path)?).map_err(|m| invalid(path, m))?;
        if let Some(file) = settings.operator_file.clone() {
            settings.operator = OperatorSettings::parse(&read_file(&file)?).map_err(|m| invalid(&file, m))?;
        }
        Ok(settings)
    }
}

#[cfg(test)]
mod tests {
    use super::OperatorSettings;

    /// The deployed operators' file sets every setting to its default.
    #[test]
    fn the_deployed_file_names_the_defaults() {
        let text = include_str!("../deploy/operator.scm");
        assert_eq!(OperatorSettings::parse(text), Ok(OperatorSettings::default()));
        assert!(OperatorSettings::parse("((in-time-worth . -1.0))").is_err());
        assert!(OperatorSettings::parse("((in-time . 1.0))").is_err());
        assert!(OperatorSettings::parse("((ways-by-others . 1.0))").is_err());
        assert!(OperatorSettings::parse("((ways-by-others . #f))").is_ok_and(|o| !o.forwards_requests));
    }
}
