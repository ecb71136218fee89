//! The keys and records that controllers store in the state service, and how they are read back.
//!
//! Invariant: the form of a stored record never changes, because all releases of glenhaven share
//! the keys and records. This module does not depend on the modules that make decisions.

pub mod keys;
pub mod records;
