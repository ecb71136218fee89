//! Linear extrapolation of measured quantities to a size that was not measured: a straight line
//! fitted to points measured at several sizes, with its standard error, and the headroom below a
//! limit.
//!
//! ```
//! use glenhaven_capacity::fit::Line;
//!
//! let line = Line::through(&[(400.0, 1.0), (800.0, 2.0), (1600.0, 4.0), (3300.0, 8.25)]).unwrap();
//! assert!((line.value_at(6600.0) - 16.5).abs() < 1e-9);
//! ```
#![forbid(unsafe_code)]

pub mod estimate;
pub mod fit;
pub mod records;
pub mod table;
