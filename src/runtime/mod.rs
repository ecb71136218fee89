//! The runtime: it joins a [`Controller`](crate::coordination::Controller) with sockets, clocks and
//! random numbers into a process.
//!
//! `main` is its only caller. It carries out effects and turns what happens outside into events; it
//! takes no decision of its own, except that it doesn't carry out what was decided too long ago.
//! Everything runs on one thread.

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

/// Why a process can't run.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// A setting is not an address.
    #[error("{setting}: \"{address}\" is not an address")]
    NotAnAddress {
        /// The setting's name.
        setting: &'static str,
        /// Its value.
        address: String,
    },
    /// The process can't listen on an address.
    #[error("{setting}: {address}: {source}")]
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
/// If an address in the settings is none, or the process can't listen on it.
pub fn run(settings: Settings) -> Result<(), RuntimeError> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(process::serve(executor.clone(), settings)))
}
