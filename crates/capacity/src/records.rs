//! The CSV files: measured points, and the rows of the capacity table that are drawn from them.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Which part of the system: leader, follower, state service.
    pub role: String,
    /// What was measured, with its unit.
    pub quantity: String,
    /// What was varied: workers, starts a second, teams.
    pub by: String,
    /// How much of it there was.
    pub size: f64,
    /// The measured value, in the unit that `quantity` names.
    pub value: f64,
    /// The journal's entry of the run that gave it.
    pub journal: String,
}

/// A row of the capacity table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// As in [`Point::role`].
    pub role: String,
    /// As in [`Point::quantity`].
    pub quantity: String,
    /// As in [`Point::by`].
    pub by: String,
    /// The size at which the value is wanted.
    pub size: f64,
    /// What it may not exceed; empty: no limit is stated.
    pub limit: Option<f64>,
    /// The mechanism that carries it; empty: there is none.
    #[serde(rename = "carrier")]
    pub mechanism: String,
}

/// Why a file can't be read.
#[derive(Debug, Error)]
pub enum RecordsError {
    /// The file can't be opened, or a line of it doesn't parse.
    #[error("{}: {source}", path.display())]
    Csv {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line.
        source: csv::Error,
    },
}

/// Reads the records of a CSV file with a header line.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>, RecordsError> {
    let failed = |source| RecordsError::Csv {
        path: path.to_path_buf(),
        source,
    };
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .trim(csv::Trim::All)
        .from_path(path)
        .map_err(failed)?;
    reader.deserialize().collect::<Result<Vec<T>, _>>().map_err(failed)
}
