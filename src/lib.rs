//! glenhaven: a cluster scheduler daemon built on Balanced Splitting.
//!
//! Layers, lowest first; a lower layer makes no decisions for a higher one:
//! [`protocol`] (the messages of every interface), [`transport`] (HTTP, links between controllers,
//! rate limits), [`storage`] (keys and records in the state service), [`coordination`] (the single
//! owner of a controller's state), and [`runtime`], which connects them into a process. All
//! layers read the [`settings`].
#![forbid(unsafe_code)]

pub mod coordination;
pub mod protocol;
pub mod runtime;
pub mod settings;
pub mod storage;
pub mod transport;

pub use glenhaven_time as time;
