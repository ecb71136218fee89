//! The keys of the state service.
//!
//! - `term`: the term and its leader. It is never deleted.
//! - `term-live`: attached to the leader's lease, with which it disappears.
//! - `job/{id}`: the final phase of a job, stored for ever. The key does not exist while the job is
//!   open.
//! - `job/@{node}/{slot}`: a page of jobs that a node has accepted. A page all of whose jobs have
//!   ended is overwritten.
//! - `open/{slot}`: a segment of the leader's write-ahead log, with open jobs, their placements and
//!   completed tasks, and rental requests. A segment all of whose facts are in later ones is
//!   overwritten.
//! - `care/{node}`: the machines that a node proxies for a leader that it can't reach; if they don't
//!   fit into one value, the rest is under `care/{node}.1` and so on.
//! - `term-release/{node}`: the release that a node runs.
//! - `term-limits`: exists once the state service's lower limits hold.
//!
//! The last two have the prefix `term`, so that the watch on the term brings them. Releases that
//! don't know them ignore them.

/// The term and its leader.
pub const TERM: &str = "term";
/// Attached to the leader's lease.
pub const TERM_LIVE: &str = "term-live";
/// The prefix of the releases that controllers run.
pub const RELEASES: &str = "term-release/";
/// Has the value `true` once the lower limits of the state service hold.
pub const LIMITS_LOWERED: &str = "term-limits";
/// The prefix of final phases and of pages of acceptances.
pub const JOBS: &str = "job/";
/// The prefix of pages of acceptances.
pub const ACCEPTED: &str = "job/@";
/// The prefix of segments of the write-ahead log.
pub const LOG_SEGMENTS: &str = "open/";
/// The prefix of the lists of machines that nodes proxy.
pub const PROXIED_MACHINES: &str = "care/";

/// The key of a page of acceptances. It has the prefix of the jobs' keys, so that one watch covers
/// both; no job's id begins with `@`.
pub fn accepted(node: &str, slot: u32) -> String {
    format!("{ACCEPTED}{node}/{slot:06}")
}

/// The node and slot in the key of a page of acceptances; `None` for any other key.
pub fn parse_accepted(key: &str) -> Option<(&str, u32)> {
    let (node, slot) = key.strip_prefix(ACCEPTED)?.rsplit_once('/')?;
    Some((node, slot.parse().ok()?))
}

/// The key of a job's final phase.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The key of a segment of the write-ahead log.
pub fn segment(slot: u32) -> String {
    format!("{LOG_SEGMENTS}{slot:06}")
}

/// The slot in the key of a segment; `None` for any other key.
pub fn parse_segment(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_SEGMENTS)?.parse().ok()
}
