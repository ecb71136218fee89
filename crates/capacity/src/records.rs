//! The CSV files: measured points, and the targets that become rows of the capacity table.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The measured part of the system: leader, follower or state service.
    pub role: String,
    /// The measured quantity, with its unit.
    pub quantity: String,
    /// The varied parameter: workers, starts per second or teams.
    pub by: String,
    /// The value of the varied parameter.
    pub size: f64,
    /// The measured value, in the unit that `quantity` names.
    pub value: f64,
    /// The journal entry of the run that gave the value.
    pub journal: String,
}

/// A row of the capacity table, to be estimated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// As in [`Point::role`].
    pub role: String,
    /// As in [`Point::quantity`].
    pub quantity: String,
    /// As in [`Point::by`].
    pub by: String,
    /// The size for which the value is estimated.
    pub size: f64,
    /// The limit on the value; empty if no limit is stated.
    pub limit: Option<f64>,
    /// The mechanism by which the system supports the size; empty if there is none.
    #[serde(rename = "carrier")]
    pub mechanism: String,
}

/// The reason why a file can't be read.
#[derive(Debug, Error)]
pub enum RecordsError {
    /// The file can't be opened, or a line of it doesn't parse.
    #[error("cannot read {}: {source}", path.display())]
    Csv {
        /// The file.
        path: PathBuf,
        /// The cause, with the line.
        source: csv::Error,
    },
}

/// Reads the records of a CSV file with a header line; lines that begin with `#` are comments.
///
/// # Errors
///
/// Returns [`RecordsError`] if the file can't be opened or a line doesn't parse.
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
