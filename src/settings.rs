//! The settings: the platform's file (TOML) and the operators' own (S-expressions).
//!
//! Read once at the start and checked here, so that the rest of the program can rely on them. The names
//! in both files are given: the serialised names of the fields must not change.

use glenhaven_store_limits::{Bounds, Limits};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's contents are not valid.
    #[error("{path}: {message}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the setting's name.
        message: String,
    },
}

/// Puts and deletes that a transaction must be able to hold.
const MIN_TXN_OPS: usize = 4;
/// The size that a value must be able to have, in KiB.
const MIN_VALUE_KB: f64 = 1.0;

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The address of its links between controllers.
    pub addr: String,
}

/// The addresses of the services that controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// A team's guarantee and limit.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The CPU cores that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Its limit of CPU cores; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// The GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Its limit of GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective; unknown kinds and fields are accepted and ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Objective {
    /// What it limits, such as `wait`, `finished` or `deadline`.
    #[serde(default)]
    pub kind: String,
    /// The class of jobs that it applies to.
    #[serde(default)]
    pub class: String,
    /// The time limit, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs that must meet it.
    #[serde(default)]
    pub share: Option<f64>,
    /// Of a deadline: the multiple of its length that counts.
    #[serde(default)]
    pub times: Option<f64>,
}

/// The times that agents keep to, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// The period of an agent's heartbeats.
    pub report_s: f64,
    /// How long an agent keeps running its tasks after it sent the last heartbeat that was answered.
    pub lease_s: f64,
    /// How soon after its confirmed cancellation a task must be gone.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Changes a second, of all controllers together.
    pub write_rps: f64,
    /// The size of a value, in KiB as JSON.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Lower limits that the service will have later.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Announced limits of the state service; those that are not named stay.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextState {
    /// Changes a second, of all controllers together.
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
    /// These limits in the form in which the program keeps to them.
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
    /// Calls a second.
    pub rps: f64,
    /// How long its list of machines usually lags behind, in seconds.
    pub list_lag_s: f64,
}

/// What a controller's process may use.
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
    /// How far a host's time of day may be from the true time, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams.
    pub teams: Vec<Team>,
    /// The service level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The times that agents keep to.
    pub workers: Workers,
    /// The limits of the state service.
    pub state: StateLimits,
    /// The limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller's process may use.
    pub resources: Resources,
}

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// Its zone.
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
    /// A file of the operators' own settings.
    #[serde(default)]
    pub operator_file: Option<PathBuf>,
    /// The operators' own settings, from that file or by default.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

/// The operators' own settings; every field has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OperatorSettings {
    /// Time to live of the leader's lease in the state service, in seconds.
    pub leader_lease_s: f64,
    /// How long a machine stays idle before it is released, in seconds.
    pub idle_s: f64,
    /// Capacity rented in excess of the demand of batch jobs, as a share of it.
    pub headroom: f64,
    /// How long a job waits before it may borrow from other pools, in seconds.
    pub borrow_after_s: f64,
    /// Period of the demand estimate, in seconds.
    pub estimate_s: f64,
    /// What it is worth that every job of a class meets one of its objectives, as a multiple of all
    /// that is spent.
    pub in_time_worth: f64,
    /// Whether requests to a service that this controller can't reach are forwarded by the others,
    /// and it forwards theirs.
    pub ways_by_others: bool,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            leader_lease_s: 2.5,
            idle_s: 10.0,
            headroom: 0.0,
            borrow_after_s: 30.0,
            estimate_s: 60.0,
            in_time_worth: 1.5,
            ways_by_others: true,
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
    /// If a setting is unknown, malformed or out of its range: a text that names it.
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
        within("in-time-worth", operator.in_time_worth, 0.0, 1000.0)?;
        Ok(operator)
    }
}

impl Settings {
    /// Parses and checks the platform's file.
    ///
    /// # Errors
    ///
    /// If a setting is missing, malformed or out of its range: a text that names it.
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
            if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
                return Err(format!("{name}: not a positive number"));
            }
        }
        for (name, ops, value_kb) in [
            ("params.state", Some(p.state.txn_ops), Some(p.state.value_kb)),
            ("params.state.next", next.txn_ops, next.value_kb),
        ] {
            if ops.is_some_and(|o| o < MIN_TXN_OPS) {
                return Err(format!("{name}.txn_ops: fewer than {MIN_TXN_OPS}"));
            }
            // A page's frame and one description have to fit.
            if value_kb.is_some_and(|v| v < MIN_VALUE_KB) {
                return Err(format!("{name}.value_kb: less than {MIN_VALUE_KB}"));
            }
        }
        let w = &p.workers;
        if w.cancel_s <= w.lease_s {
            return Err("params.workers.cancel_s: not above lease_s".into());
        }
        // Reports vary by a quarter; a lease that ends between two of them never holds.
        if w.lease_s <= w.report_s * 1.25 {
            return Err("params.workers.lease_s: not above report_s and a quarter".into());
        }
        Ok(settings)
    }

    /// Reads and checks the platform's file and, if it names one, the operators' file.
    ///
    /// # Errors
    ///
    /// If a file can't be read or is not valid.
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

    /// The file that operators start from says what holds without it.
    #[test]
    fn the_deployed_file_names_the_defaults() {
        let text = include_str!("../deploy/operator.scm");
        assert_eq!(OperatorSettings::parse(text), Ok(OperatorSettings::default()));
        assert!(OperatorSettings::parse("((in-time-worth . -1.0))").is_err());
        assert!(OperatorSettings::parse("((in-time . 1.0))").is_err());
        assert!(OperatorSettings::parse("((ways-by-others . 1.0))").is_err());
        assert!(OperatorSettings::parse("((ways-by-others . #f))").is_ok_and(|o| !o.ways_by_others));
    }
}
