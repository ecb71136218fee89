//! The records that are stored as values in the state service.
//!
//! Invariant: the serde names of the records never change, because all releases share the stored
//! form.

use crate::protocol::users::{HiddenFields, JobSpec, Phase};
use crate::protocol::{from_cbor, json_size, to_cbor};
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The release that a controller announces when it starts. Releases before number 1 neither write
/// nor read this record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The number of the release, which increases with its features.
    pub release: u32,
    /// When the process began, in milliseconds since 1970.
    #[serde(default)]
    pub began_ms: u64,
}

/// The first release with job dependencies.
pub const RELEASE_DEPENDENCIES: u32 = 1;
/// The first release that attests cancellations while the state service does not respond.
pub const RELEASE_ATTESTATIONS: u32 = 2;
/// The release of this code.
pub const CURRENT_RELEASE: u32 = RELEASE_ATTESTATIONS;

/// A term of leadership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// The number of the term, which is the fencing token of the leader's commands.
    pub term: u64,
    /// The name of the leading node.
    pub leader: String,
    /// The nodes that the leader had contact with when it wrote the term.
    pub members: Vec<String>,
}

/// Converts a job's description to its stored form, which has at most `max_bytes` as JSON; returns
/// `None` if the description doesn't fit.
///
/// A release without job dependencies would not wait for them, and could not read a description
/// that is packed because it is too large. The stored form of such a job therefore allows no
/// machine type in the fields that these releases read, so that they start none of its tasks.
pub fn to_record(spec: &JobSpec, submitted_ms: u64, max_bytes: usize) -> Option<JobSpec> {
    let mut plain = spec.clone();
    if !spec.dependencies.is_empty() {
        let machine_types = plain.machine_types.replace(vec![]);
        let packed = None;
        plain.hidden_fields = Some(Box::new(HiddenFields {
            machine_types,
            submitted_ms,
            packed,
        }));
    }
    let size = json_size(&plain);
    if size <= max_bytes {
        return Some(plain);
    }
    let mut stub = spec.clone();
    stub.dependencies.clear();
    stub.machine_types = Some(vec![]);
    let hidden_fields = |packed| {
        let machine_types = None;
        Some(Box::new(HiddenFields {
            machine_types,
            submitted_ms,
            packed,
        }))
    };
    stub.hidden_fields = hidden_fields(Some(String::new()));
    let free_bytes = max_bytes.checked_sub(json_size(&stub))?;
    let whole = to_cbor(spec);
    let (text, packed_bytes) = glenhaven_compression::pack(&whole, free_bytes);
    stub.hidden_fields = hidden_fields(Some(text));
    (packed_bytes == whole.len()).then_some(stub)
}

/// Returns the description in a stored form, and when the job was submitted, in milliseconds since
/// 1970 (0 if the time is not known). Returns `None` if a release without job dependencies has
/// rewritten the record, so that only the page of acceptances still has the description, or if the
/// record is malformed.
pub fn from_record(mut spec: JobSpec) -> Option<(JobSpec, u64)> {
    let Some(hidden_fields) = spec.hidden_fields.take() else {
        // A submission with an empty list of machine types is refused, so that an empty list here
        // shows that the hidden fields were lost.
        let bare = spec.machine_types.as_ref().is_some_and(Vec::is_empty);
        return (!bare).then_some((spec, 0));
    };
    match hidden_fields.packed {
        None => spec.machine_types = hidden_fields.machine_types,
        Some(text) => {
            let whole = glenhaven_compression::unpack::<u8>(&text).ok();
            match whole.and_then(|bytes| from_cbor::<JobSpec>(&bytes).ok()) {
                Some(whole) => spec = whole,
                None => {
                    tracing::error!(job = spec.id, "malformed job description in the state service");
                    return None;
                }
            }
        }
    }
    Some((spec, hidden_fields.submitted_ms))
}

/// A page of jobs that a node accepted together. The page is written when none of the jobs has
/// ended, and overwritten once all of them have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptancePage {
    /// The descriptions of the jobs, in their stored form.
    #[serde(rename = "a")]
    pub jobs: Vec<JobSpec>,
}

/// The value of a job's own key: its final phase. Earlier releases, which accepted each job by
/// writing its own key, also stored open phases, with the description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobValue {
    /// The phase.
    pub phase: Phase,
    /// The job's description, if the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// The machines whose heartbeats a node answers for a leader that can't be reached.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxiedMachines {
    /// The names of the machines.
    #[serde(rename = "kept")]
    pub machines: Vec<String>,
    /// The last heartbeats of those machines on which tasks have ended, packed into a text.
    #[serde(rename = "told", default)]
    pub last_heartbeats: String,
}

/// The record of a placement: task, attempt, machine, incarnation of the agent, and the term under
/// which the placement was made.
pub type PlacementRow = (u32, u64, String, u64, u64);

/// The completed tasks and placements of a task range, a fixed-size range of a job's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRangeRecord {
    /// The job's id.
    #[serde(rename = "j")]
    pub job: String,
    /// The number of the task range in its job.
    #[serde(rename = "n")]
    pub range_index: u32,
    /// Whether the record replaces earlier records of the task range; otherwise it adds to them.
    #[serde(rename = "f")]
    pub full: bool,
    /// The highest attempt number ever used in the task range.
    #[serde(rename = "t")]
    pub last_attempt: u64,
    /// Completed tasks, as inclusive ranges.
    #[serde(rename = "d")]
    pub done: Vec<(u32, u32)>,
    /// Tasks whose earlier placement is void, as inclusive ranges.
    #[serde(rename = "v")]
    pub void: Vec<(u32, u32)>,
    /// The placements of tasks in the range.
    #[serde(rename = "r")]
    pub placements: Vec<PlacementRow>,
}

/// One fact in a segment of the write-ahead log. Later entries replace or add to earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// An open job with a key of its own: the revision of its acceptance, whether it is cancelled,
    /// and its description.
    #[serde(rename = "o")]
    Open(u64, bool, Box<JobSpec>),
    /// An open job that was accepted in a page of acceptances, with the same fields as `Open`. The
    /// job's own key does not exist while the job is open.
    #[serde(rename = "a")]
    Accepted(u64, bool, Box<JobSpec>),
    /// Completed tasks and placements of a task range.
    #[serde(rename = "p")]
    TaskRangeRecord(TaskRangeRecord),
    /// The job with this id has ended, with no placement left.
    #[serde(rename = "x")]
    Ended(String),
    /// A rental request and its id, recorded before the request is sent to the cloud.
    #[serde(rename = "c")]
    Claim(String, ClaimValue),
    /// The rental request with this id is settled.
    #[serde(rename = "s")]
    Settled(String),
}

impl Entry {
    /// Returns the job description that the entry contains; `None` if it contains none.
    pub fn job_spec(&self) -> Option<&JobSpec> {
        match self {
            Entry::Open(_, _, spec) | Entry::Accepted(_, _, spec) => Some(spec),
            _ => None,
        }
    }
}

/// A segment of the leader's write-ahead log. Segments are replayed in the order of `seq`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The term under which the segment was written. The term and `seq` together identify the
    /// segment among all that were ever stored under its key.
    #[serde(rename = "k")]
    pub term: u64,
    /// The sequence number of the segment.
    #[serde(rename = "n")]
    pub seq: u64,
    /// The sequence number of the oldest segment that is still needed. Earlier segments are
    /// obsolete, and their keys are reused.
    #[serde(rename = "o")]
    pub oldest: u64,
    /// The revision up to which the log contains all changes of the jobs' keys.
    #[serde(rename = "s")]
    pub seen_revision: u64,
    /// The facts, in the order in which they are replayed.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// When the segment was written, in milliseconds of the log's clock; 0 if the time is not
    /// known. Each leader continues the log's clock where the leader before stopped.
    #[serde(rename = "m", default)]
    pub written_log_ms: u64,
    /// When the jobs described in the segment were submitted, in milliseconds of the log's clock
    /// and in the order of their entries; 0 if a time is not known.
    #[serde(rename = "b", default)]
    pub submitted_log_ms: Vec<u64>,
}

/// The content of a rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines are rented.
    pub spot: bool,
    /// The number of machines.
    pub count: u32,
}

/// Returns the number of tasks in a task range, for the present size limit of values in bytes. The
/// tasks of a range follow from its number, so that all releases must use the same size; a limit
/// that is only announced must not change it.
pub fn tasks_per_range(present_value_bytes: f64) -> u32 {
    ((present_value_bytes / 64.0) as u32).clamp(8, 1024)
}

/// Turns sorted task numbers into inclusive ranges.
pub fn ranges(tasks: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for task in tasks {
        match out.last_mut() {
            Some(last) if last.1 + 1 == task => last.1 = task,
            _ => out.push((task, task)),
        }
    }
    out
}

/// Converts a record to a value of the state service.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Reads a record from a value of the state service; returns `None` if the value is malformed.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a packed description that exceeds the smallest limit of values or loses
    /// fields, and against fewer than 150 dependencies per job. Random ids are the hardest to
    /// compress.
    #[test]
    fn descriptions_larger_than_a_value_are_packed() {
        let text = r#"{"ref":"run-000500","jobclass":"train","owner":"vision","shape":"array","rank":"urgent","pieces":16,
            "cores":8.0,"cards":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"yard":null,
            "together":false,"apart":false,"reclaimable":true,"expected_s":240.0,"snapshot_every_s":0.0,
            "snapshot_cost_s":0.0,"due_s":900.0}"#;
        let mut spec: JobSpec = serde_json::from_str(text).expect("a description");
        let mut rng = fastrand::Rng::with_seed(5);
        let mut fits = 0;
        for count in (10..2000).step_by(10) {
            spec.dependencies = (0..count)
                .map(|_| format!("run-{:06}", rng.u32(0..1_000_000)))
                .collect();
            spec.dependencies.sort();
            spec.dependencies.dedup();
            let Some(record) = to_record(&spec, 1_700_000_000_000, 1748) else {
                break;
            };
            assert!(json_size(&record) <= 1748);
            assert_eq!(record.machine_types, Some(vec![]));
            assert_eq!(from_record(record), Some((spec.clone(), 1_700_000_000_000)));
            fits = count;
        }
        assert!(fits >= 150, "only {fits} dependencies fit");
    }
}
