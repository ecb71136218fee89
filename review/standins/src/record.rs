//! The record of a run: what was sent, answered and run, with the time since the run began.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the current folder.
    pub fn create() -> Record {
        let file = File::create("record.txt").expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Returns the seconds since the run began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:8.3} {}", self.began.elapsed().as_secs_f64(), line.as_ref()).ok();
    }
}
