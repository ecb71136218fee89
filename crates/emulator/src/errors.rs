//! Why an experiment can't be run.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an experiment can't be run, or not to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EmulatorError {
    #[error("{path}: cannot be read: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{path}: {message}")]
    Experiment { path: PathBuf, message: String },
    #[error("{path}: no such program")]
    NoProgram { path: PathBuf },
    #[error("{path}: cannot be written: {source}")]
    Unwritable { path: PathBuf, source: std::io::Error },
    #[error("{addr}: the port is in use")]
    PortInUse { addr: SocketAddr },
    #[error("{addr}: cannot be listened on: {source}")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("the machine is too small: {what}: {needed} needed, {found} there")]
    TooSmall {
        what: &'static str,
        needed: u64,
        found: u64,
    },
    #[error("{path}: cannot be started: {source}")]
    Start { path: PathBuf, source: std::io::Error },
    #[error("no controller was ready within {seconds} s; see {logs}")]
    NeverReady { seconds: u64, logs: PathBuf },
    #[error("the processes take {used_mb} MB, more than the {limit_mb} MB allowed")]
    Memory { used_mb: u64, limit_mb: u64 },
    #[error("the emulator panicked: {0}")]
    Panicked(String),
    #[error("interrupted")]
    Interrupted,
    #[error("{0}")]
    Machine(String),
    #[error("{path}: a plot cannot be drawn: {message}")]
    Plot { path: PathBuf, message: String },
}

impl EmulatorError {
    /// The exit status of the program.
    pub(crate) fn status(&self) -> u8 {
        match self {
            EmulatorError::Interrupted => 130,
            _ => 2,
        }
    }
}
