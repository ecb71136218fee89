//! The keys of the state service.
//!
//! - `term`: who leads; raised by every change, never removed.
//! - `term-live`: attached to the leader's lease, gone when the leader is.
//! - `job/{id}`: final phase, kept for ever; not there while a job is open.
//! - `job/@{node}/{slot}`: the acceptances of a node. A page all of whose jobs are over
//!   is written over.
//! - `open/{slot}`: the pages of the leader's book: open jobs with their
//!   placements and finished tasks, and rental requests. A page whose every fact
//!   stands in later ones is written over.
//! - `care/{node}`: machines that a node keeps for a leader it cannot reach; those that
//!   don't fit into one value under `care/{node}.1` and so on.
//! - `term-release/{node}`: which release a node runs.
//! - `term-limits`: there once the state service's lower limits hold.
//!
//! The last two begin like `term`, so that the watch on the term brings them; versions
//! that don't know them ignore them there.

pub const TERM: &str = "term";
pub const TERM_LIVE: &str = "term-live";
/// Which release each controller runs.
pub const RELEASES: &str = "term-release/";
/// Holds `true` once the lower limits of the state service were met.
pub const LIMITS_LOWERED: &str = "term-limits";
pub const JOBS: &str = "job/";
/// Pages of acceptances.
pub const ACCEPTED: &str = "job/@";
pub const LOG_SEGMENTS: &str = "open/";
/// Machines that a node keeps for a leader it cannot reach.
pub const PROXIED_MACHINES: &str = "care/";

/// The key of a page of acceptances. It stands under the prefix of the jobs' keys, so
/// that one watch tells of both; no job's id begins like this.
pub fn accepted(node: &str, slot: u32) -> String {
    format!("{ACCEPTED}{node}/{slot:06}")
}

/// The node and slot that the key of a page of acceptances names.
pub fn parse_accepted(key: &str) -> Option<(&str, u32)> {
    let (node, slot) = key.strip_prefix(ACCEPTED)?.rsplit_once('/')?;
    Some((node, slot.parse().ok()?))
}

/// The key of a job's final phase.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The key of a page of the book.
pub fn segment(slot: u32) -> String {
    format!("{LOG_SEGMENTS}{slot:06}")
}

/// The slot that a page's key names.
pub fn parse_segment(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_SEGMENTS)?.parse().ok()
}
