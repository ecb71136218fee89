//! The outcome of one plan, as stored in `outcome.json`.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// Error lines of the controllers' logs that are kept.
const MAX_ERROR_LINES: usize = 20;

/// The outcome of one plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Outcome {
    pub seed: u64,
    pub workers: usize,
    pub controllers: usize,
    #[serde(rename = "troubles")]
    pub faults: usize,
    /// Violations of protocol rules and of other invariants.
    pub broken: Vec<String>,
    /// Invalid requests that the state service or the cloud received.
    pub problems: Vec<String>,
    /// Error lines in the logs of the controllers.
    pub errors: Vec<String>,
    /// Numbers of the controllers that exited without being killed.
    pub ended_by_themselves: Vec<usize>,
    /// Accepted jobs for which some controller gave no answer within 75 s after the faults.
    #[serde(rename = "unknown_after_troubles")]
    pub unknown_after_faults: Vec<String>,
    /// Stranded jobs: left waiting although a machine had capacity. `None` if the plan's time without
    /// faults was too short to detect them.
    pub stranded: Option<Vec<String>>,
    pub starts: u64,
    pub jobs: usize,
    pub accepted: usize,
    /// Last leader term.
    pub terms: u64,
    /// Controller processes started, restarts included.
    #[serde(rename = "lives")]
    pub process_starts: usize,
    /// Tasks killed because their worker's lease expired.
    pub lease_kills: usize,
    pub starts_after_cancellation: u64,
    /// Largest delay of a timer in the emulator itself, in milliseconds.
    pub emulator_behind_ms: u64,
}

impl Outcome {
    /// Returns whether there was no failure and at least one task was started.
    pub(crate) fn holds(&self) -> bool {
        self.broken.is_empty()
            && self.problems.is_empty()
            && self.errors.is_empty()
            && self.ended_by_themselves.is_empty()
            && self.unknown_after_faults.is_empty()
            && self.stranded.iter().flatten().next().is_none()
            && self.starts > 0
    }

    /// Summarizes the outcome in one line.
    pub(crate) fn line(&self) -> String {
        format!(
            "seed {}: {}; {} controllers, {} workers, {} faults, {} terms, {} process starts; {} starts, {} of {} jobs accepted; {} killed by a lease; emulator behind {} ms",
            self.seed,
            if self.holds() { "holds" } else { "FAILED" },
            self.controllers,
            self.workers,
            self.faults,
            self.terms,
            self.process_starts,
            self.starts,
            self.accepted,
            self.jobs,
            self.lease_kills,
            self.emulator_behind_ms,
        )
    }

    /// Returns one line for each failure.
    pub(crate) fn failures(&self) -> Vec<String> {
        let mut failures = self.broken.clone();
        failures.extend(self.problems.iter().map(|p| format!("problem: {p}")));
        failures.extend(self.errors.iter().map(|e| format!("error line: {e}")));
        failures.extend(
            self.ended_by_themselves
                .iter()
                .map(|n| format!("node-{n} ended by itself")),
        );
        failures.extend(
            self.unknown_after_faults
                .iter()
                .map(|job| format!("not known after the faults: {job}")),
        );
        failures.extend(self.stranded.iter().flatten().map(|job| format!("left waiting: {job}")));
        if self.starts == 0 {
            failures.push("nothing_ran".into());
        }
        failures
    }
}

/// Collects error lines and panics from the controllers' logs in `dir`.
pub(super) fn error_lines(dir: &Path) -> Vec<String> {
    let mut found = vec![];
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy().to_string();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let errors = text
            .lines()
            .filter(|line| line.contains(" ERROR ") || line.contains("panicked"));
        found.extend(errors.map(|line| format!("{name}: {line}")));
    }
    found.truncate(MAX_ERROR_LINES);
    found
}
