//! The most recent events of an experiment, kept to diagnose failures.

use std::collections::VecDeque;
use std::io::Write;
use std::path::Path;

/// Largest number of events kept; older ones are dropped.
const MAX_EVENTS: usize = 200_000;

/// The most recent events, each with its time in microseconds since the beginning.
#[derive(Default)]
pub(crate) struct History {
    enabled: bool,
    events: VecDeque<(u64, String)>,
}

impl History {
    /// Starts keeping events; before this call they are discarded.
    pub(crate) fn enable(&mut self) {
        self.enabled = true;
    }

    /// Records an event. The text is only built if events are kept.
    pub(crate) fn note(&mut self, now: u64, event: impl FnOnce() -> String) {
        if !self.enabled {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, event()));
    }

    /// Writes the events to a file, one per line with its time in seconds.
    pub(crate) fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, event) in &self.events {
            writeln!(file, "{:11.6} {event}", *at as f64 / 1e6)?;
        }
        file.flush()
    }
}
