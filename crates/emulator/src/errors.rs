//! Errors of the emulator.

use std::net::SocketAddr;
use std::path::PathBuf;

/// A reason why an experiment or plan can't be run, or can't be completed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EmulatorError {
    #[error("{path}: cannot read the file: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{path}: {message}")]
    InvalidFile { path: PathBuf, message: String },
    #[error("{path}: no such program")]
    NoProgram { path: PathBuf },
    #[error("{path}: cannot write the file: {source}")]
    Unwritable { path: PathBuf, source: std::io::Error },
    #[error("{addr}: the port is in use")]
    PortInUse { addr: SocketAddr },
    #[error("{addr}: cannot listen on the address: {source}")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("the machine is too small: {what}: {needed} needed, {found} available")]
    HostTooSmall {
        what: &'static str,
        needed: u64,
        found: u64,
    },
    #[error("{path}: cannot start the program: {source}")]
    Start { path: PathBuf, source: std::io::Error },
    #[error("no controller was ready within {seconds} s; see {logs}")]
    NeverReady { seconds: u64, logs: PathBuf },
    #[error("the processes use {used_mb} MB of memory; the limit is {limit_mb} MB")]
    MemoryExceeded { used_mb: u64, limit_mb: u64 },
    #[error("the emulator panicked: {0}")]
    Panicked(String),
    #[error("interrupted")]
    Interrupted,
    #[error("{0}")]
    Other(String),
    #[error("{path}: cannot draw the plot: {message}")]
    Plot { path: PathBuf, message: String },
}

impl EmulatorError {
    /// Returns the program's exit status for this error.
    pub(crate) fn status(&self) -> u8 {
        match self {
            EmulatorError::Interrupted => 130,
            _ => 2,
        }
    }
}
