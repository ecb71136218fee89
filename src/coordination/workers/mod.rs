//! Workers: their reports, the commands they get, and what a controller that does not lead
//! does for a worker that cannot reach the leader.

mod caretaker;
mod direct;
mod heartbeats;
mod machines;
mod outbox;
mod reports;

pub use caretaker::Caretaker;
pub use direct::SentDirect;
pub use outbox::{Attempt, Due, Leave, Outbox, TaskRef};

/// Splits a task's name into its job and number. The number has one way to be written: another
/// one would name the same task twice.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, digits) = task.rsplit_once('/')?;
    let plain = digits.bytes().all(|b| b.is_ascii_digit()) && (digits == "0" || !digits.starts_with('0'));
    if !plain {
        return None;
    }
    Some((job, digits.parse().ok()?))
}
