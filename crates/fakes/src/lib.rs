//! Fakes of everything around the controllers, written from the protocol: the state service, the
//! cloud, workers and users; and the checker of the protocol's rules.
//!
//! The fakes are state machines without clocks of their own: they take a request and the current
//! time, and return an answer. The scenarios (`tests/sim`) drive them in simulated time,
//! `glenhaven-emulator` behind real sockets. All times are in microseconds unless a name says
//! otherwise.
#![forbid(unsafe_code)]

pub mod answer_check;
pub mod cloud;
pub mod http;
pub mod rules;
pub mod store;
pub mod user;
pub mod wire;
pub mod worker;

/// A millisecond, in microseconds.
pub const MS: u64 = 1000;
/// A second, in microseconds.
pub const SEC: u64 = 1_000_000;
