//! The keys and records that controllers store in the state service, and how they are read back.
//!
//! All releases of glenhaven share them: the form of a stored record never changes. This module
//! knows nothing of how decisions are made.

pub mod keys;
pub mod records;
