//! glenhaven: a cluster scheduler daemon built on Balanced Splitting.
//!
//! Layers, lowest first; a lower one never imports an upper one:
//! [`protocol`] (messages), [`transport`] (HTTP, peer links, pacing),
//! [`bookkeeping`] (store keys and records), [`coordination`] (the single owner
//! of all state), and [`daemon`], which joins them into a process.
#![forbid(unsafe_code)]

pub mod coordination;
pub mod protocol;
pub mod runtime;
pub mod settings;
pub mod storage;
pub mod transport;

pub use glenhaven_time as time;
