//! Command that prints the capacity table of `docs/CAPACITY.md` from the measured points.

use clap::Parser;
use glenhaven_capacity::estimate::Estimate;
use glenhaven_capacity::records::{read, Point, RecordsError, Target};
use glenhaven_capacity::table::markdown;
use std::path::PathBuf;
use std::process::ExitCode;

/// Fits lines to the points measured at several sizes and prints the capacity table.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Directory with `points.csv` and `targets.csv`.
    #[arg(default_value = "docs/capacity")]
    directory: PathBuf,
}

fn table(arguments: &Arguments) -> Result<String, RecordsError> {
    let points: Vec<Point> = read(&arguments.directory.join("points.csv"))?;
    let targets: Vec<Target> = read(&arguments.directory.join("targets.csv"))?;
    let rows: Vec<Estimate> = targets
        .iter()
        .map(|target| Estimate::for_target(target, &points))
        .collect();
    Ok(markdown(&rows))
}

fn main() -> ExitCode {
    match table(&Arguments::parse()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("glenhaven-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
