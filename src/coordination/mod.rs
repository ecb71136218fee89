//! The controller's logic: a deterministic state machine that is the single owner of its state.
//!
//! [`Controller`] takes batches of [`Event`]s with the current time and returns [`Effect`]s. The
//! runtime is its only caller outside of simulations. There is no I/O, clock or global randomness
//! here, so the same events give the same effects in a simulation as in a process.
//!
//! Each submodule owns one concern of the controller or of the leader; [`state`] holds the leader's
//! jobs and machines.

pub mod agents;
pub mod api;
pub mod audit;
pub mod cluster_config;
pub mod context;
pub mod controller;
pub mod decision_log;
pub mod dependencies;
pub mod election;
pub mod events;
pub mod failure_detection;
mod fault_injection;
pub mod forwarding;
pub mod invariants;
pub mod lease_renewal;
pub mod log;
pub mod objectives;
mod peers;
pub mod provisioning;
pub mod replica_status;
pub mod reservation;
pub mod scheduling;
pub mod state;
pub mod store_queue;
pub mod store_rates;
pub mod summary;
pub mod tick;
pub mod timing;

pub use cluster_config::ClusterConfig;
pub use context::Context;
pub use controller::Controller;
pub use events::{CloudRequest, CloudResponse, Continuation, Effect, Event, PushResult, UserRequest};
use std::rc::Rc;

/// The id of a job.
pub type JobId = Rc<str>;
