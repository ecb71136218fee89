//! What happened last in an experiment, kept for the report of a break.

use std::collections::VecDeque;
use std::io::Write;
use std::path::Path;

/// Events that are kept.
const KEPT: usize = 200_000;

/// The last events, each with the microseconds since the beginning.
#[derive(Default)]
pub(crate) struct History {
    on: bool,
    events: VecDeque<(u64, String)>,
}

impl History {
    /// From now on events are kept.
    pub(crate) fn switch_on(&mut self) {
        self.on = true;
    }

    /// Something happens.
    pub(crate) fn note(&mut self, now: u64, event: impl FnOnce() -> String) {
        if !self.on {
            return;
        }
        if self.events.len() == KEPT {
            self.events.pop_front();
        }
        self.events.push_back((now, event()));
    }

    /// Writes the events into a file, one a line.
    pub(crate) fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, event) in &self.events {
            writeln!(file, "{:11.6} {event}", *at as f64 / 1e6)?;
        }
        file.flush()
    }
}
