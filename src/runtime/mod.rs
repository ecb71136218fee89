//! The runtime: connects a [`Controller`](crate::coordination::Controller) to sockets, clocks and a
//! source of random numbers, and runs it as a process.
//!
//! `main` is the only caller. The runtime performs the controller's effects and turns input from
//! outside into events. It makes no decisions itself, except that it rejects effects that were
//! decided too long ago. Everything runs on one thread.

mod agent_client;
mod cloud_client;
mod http_call;
mod process;
mod replies;
mod routes;
mod state_client;

use crate::settings::Settings;
use async_executor::LocalExecutor;
use std::rc::Rc;

/// The reason why the process can't run.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// A setting is not a socket address.
    #[error("{setting}: \"{address}\" is not an IP address with a port")]
    NotAnAddress {
        /// The setting's name.
        setting: &'static str,
        /// The setting's value.
        address: String,
    },
    /// The process can't listen on an address.
    #[error("{setting}: cannot listen on {address}: {source}")]
    CannotListen {
        /// The name of the setting with the address.
        setting: &'static str,
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// Returns [`RuntimeError`] if an address in the settings is not a socket address, or if the
/// process can't listen on it.
pub fn run(settings: Settings) -> Result<(), RuntimeError> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(process::serve(executor.clone(), settings)))
}
