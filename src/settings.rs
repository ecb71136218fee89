//! The platform's file (TOML) and the operators' own settings (S-expressions).

use glenhaven_store_limits::{Bounds, Limits};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: cannot be read: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{path}: {message}")]
    Wrong { path: PathBuf, message: String },
}

/// Puts and deletes that a transaction must take.
const LEAST_OPS: usize = 4;
/// What a value must hold, in KiB.
const LEAST_VALUE_KB: f64 = 1.0;

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub node: String,
    pub zone: String,
    pub addr: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: String,
    pub state: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    /// 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    /// 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim; unknown kinds and fields are carried without meaning.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Objective {
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    /// Of a deadline: how many times its length count.
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Lower limits that the service will have from some moment on.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Limits of the state service that are announced; what is not named stays.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextState {
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl State {
    /// The limits, for the one place that keeps to them.
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

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Resources {
    pub cpu: f64,
    pub mem_mb: f64,
    pub sockets: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub clock_off_ms: f64,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub resources: Resources,
}

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub public_addr: String,
    pub peer_bind: String,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub services: Services,
    pub params: Params,
    /// A file of the operators' own settings.
    #[serde(default)]
    pub operator_file: Option<PathBuf>,
    #[serde(skip)]
    pub operator: Operator,
}

/// The operators' own settings; every field has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operator {
    /// Life of the leader's lease in the state service, in seconds.
    pub leader_lease_s: f64,
    /// How long a machine stays idle before it is returned, in seconds.
    pub idle_s: f64,
    /// Share of the demand of arrays kept rented above it.
    pub headroom: f64,
    /// How long a job waits before it may borrow from other pools, in seconds.
    pub borrow_after_s: f64,
    /// Period of the demand estimate, in seconds.
    pub estimate_s: f64,
    /// What it is worth that every job of a class keeps one of its times, as a
    /// part of all that is spent.
    pub in_time_worth: f64,
    /// Whether what this controller can't reach is asked by way of the others, and what
    /// they can't reach is asked for them.
    pub ways_by_others: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
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

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_path_buf(),
        source,
    })
}

impl Operator {
    /// Parses the S-expressions of an operators' file.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let operator: Operator = serde_lexpr::from_str(text).map_err(|e| e.to_string())?;
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
            if ops.is_some_and(|o| o < LEAST_OPS) {
                return Err(format!("{name}.txn_ops: fewer than {LEAST_OPS}"));
            }
            // A page's frame and one description have to fit.
            if value_kb.is_some_and(|v| v < LEAST_VALUE_KB) {
                return Err(format!("{name}.value_kb: less than {LEAST_VALUE_KB}"));
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

    /// Reads and checks the platform's file and, if it names one, the
    /// operators' file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let wrong = |path: &Path, message: String| SettingsError::Wrong {
            path: path.to_path_buf(),
            message,
        };
        let mut settings = Settings::parse(&read(path)?).map_err(|m| wrong(path, m))?;
        if let Some(file) = settings.operator_file.clone() {
            settings.operator = Operator::parse(&read(&file)?).map_err(|m| wrong(&file, m))?;
        }
        Ok(settings)
    }
}

#[cfg(test)]
mod tests {
    use super::Operator;

    /// The file that operators start from says what holds without it.
    #[test]
    fn the_deployed_file_names_the_defaults() {
        let text = include_str!("../deploy/operator.scm");
        assert_eq!(Operator::parse(text), Ok(Operator::default()));
        assert!(Operator::parse("((in-time-worth . -1.0))").is_err());
        assert!(Operator::parse("((in-time . 1.0))").is_err());
        assert!(Operator::parse("((ways-by-others . 1.0))").is_err());
        assert!(Operator::parse("((ways-by-others . #f))").is_ok_and(|o| !o.ways_by_others));
    }
}
