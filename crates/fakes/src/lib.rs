//! Stand-ins for everything around the controllers, written from the protocol: the state
//! service, the cloud, workers and users, and the checker of the protocol's rules. They
//! are state machines: a request and the time go in, an answer comes out. The scenarios
//! (`tests/sim`) drive them in simulated time, `glenhaven-emulator` behind real sockets.
#![forbid(unsafe_code)]

pub mod answer_check;
pub mod cloud;
pub mod http;
pub mod rules;
pub mod store;
pub mod user;
pub mod wire;
pub mod worker;

/// A millisecond, in the microseconds of every time here.
pub const MS: u64 = 1000;
/// A second.
pub const SEC: u64 = 1_000_000;
