//! The keys of the state service.
//!
//! - `term`: the term and its leader. This key is never deleted.
//! - `term-live`: attached to the leader's lease, and deleted with it.
//! - `job/{id}`: the final phase of a job, stored permanently. The key does not exist while the job is
//!   open, unless an earlier release accepted the job by writing this key.
//! - `job/@{node}/{slot}`: a page of jobs that a node has accepted. A page all of whose jobs have
//!   ended is overwritten.
//! - `open/{slot}`: a segment of the leader's write-ahead log, with open jobs, their placements and
//!   completed tasks, and rental requests. A segment is overwritten once all its facts are in later
//!   segments.
//! - `care/{node}`: the machines whose heartbeats a node answers for a leader that can't be reached; if
//!   they don't fit into one value, the rest is under `care/{node}.1` and so on.
//! - `term-release/{node}`: the release that a node runs.
//! - `term-limits`: exists once the state service's lower limits are in force.
//!
//! The last two keys have the prefix `term`, so that the watch on the term includes them. Earlier
//! releases ignore them.

/// The key of the term and its leader.
pub const TERM: &str = "term";
/// The key that is attached to the leader's lease.
pub const TERM_LIVE: &str = "term-live";
/// The prefix of the releases that controllers run.
pub const RELEASES: &str = "term-release/";
/// The key that has the value `true` once the state service's lower limits are in force.
pub const LIMITS_LOWERED: &str = "term-limits";
/// The prefix of final phases and of pages of acceptances.
pub const JOBS: &str = "job/";
/// The prefix of pages of acceptances.
pub const ACCEPTANCE_PAGES: &str = "job/@";
/// The prefix of segments of the write-ahead log.
pub const LOG_SEGMENTS: &str = "open/";
/// The prefix of the lists of machines that nodes proxy.
pub const PROXIED_MACHINES: &str = "care/";

/// Returns the key of a page of acceptances. The key has the prefix of the jobs' keys, so that one
/// watch covers both; no job's id begins with `@`.
pub fn acceptance_page(node: &str, slot: u32) -> String {
    format!("{ACCEPTANCE_PAGES}{node}/{slot:06}")
}

/// Returns the node and slot in the key of a page of acceptances; `None` for any other key.
pub fn parse_acceptance_page(key: &str) -> Option<(&str, u32)> {
    let (node, slot) = key.strip_prefix(ACCEPTANCE_PAGES)?.rsplit_once('/')?;
    Some((node, slot.parse().ok()?))
}

/// Returns the key of a job's final phase.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a segment of the write-ahead log.
pub fn segment(slot: u32) -> String {
    format!("{LOG_SEGMENTS}{slot:06}")
}

/// Returns the slot in the key of a segment; `None` for any other key.
pub fn parse_segment(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_SEGMENTS)?.parse().ok()
}
