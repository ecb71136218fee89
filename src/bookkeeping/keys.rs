//! The keys of the state service.
//!
//! - `term`: who leads; raised by every change, never removed.
//! - `term-live`: attached to the leader's lease, gone when the leader is.
//! - `job/{id}`: acceptance and final phase, kept for ever.
//! - `open/{slot}`: the pages of the leader's book: open jobs with their
//!   placements and finished tasks, and rental requests. A page whose every fact
//!   stands in later ones is written over.
//! - `care/{node}`: machines that a node keeps for a leader it cannot reach.

pub const TERM: &str = "term";
pub const TERM_LIVE: &str = "term-live";
pub const JOBS: &str = "job/";
pub const OPEN: &str = "open/";
/// Machines that a node keeps for a leader it cannot reach.
pub const CARE: &str = "care/";

/// The key of a job's acceptance and final phase.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The key of a page of the book.
pub fn page(slot: u32) -> String {
    format!("{OPEN}{slot:06}")
}

/// The slot that a page's key names.
pub fn parse_page(key: &str) -> Option<u32> {
    key.strip_prefix(OPEN)?.parse().ok()
}
