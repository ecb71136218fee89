//! Workers: their reports, the commands they get, and what a controller that does not lead
//! does for a worker that cannot reach the leader.

mod caretaker;
mod commands;
mod heartbeats;
mod machines;
mod reports;

pub use caretaker::Caretaker;
pub use commands::SentDirect;

/// Splits a task's name into its job and number.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, n) = task.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
