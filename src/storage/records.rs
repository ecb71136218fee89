//! The values of the state service.

use crate::protocol::users::{HiddenFields, JobSpec, Phase};
use crate::protocol::{from_cbor, json_size, to_cbor};
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// What a controller says of its version at its start. Versions before this one say
/// nothing and ignore it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Which of the things below it can do; a number that grows.
    pub release: u32,
    /// When it began, by the time of day: milliseconds since 1970.
    #[serde(default)]
    pub began_ms: u64,
}

/// The first release that keeps jobs waiting for others.
pub const RELEASE_DEPENDENCIES: u32 = 1;
/// The first that says what it confirmed while the state service answers nobody.
pub const RELEASE_ATTESTATIONS: u32 = 2;
/// The present one.
pub const CURRENT_RELEASE: u32 = RELEASE_ATTESTATIONS;

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Term {
    pub term: u64,
    pub leader: String,
    pub members: Vec<String>,
}

/// A job's description in the form in which it is kept, in at most so many bytes as JSON;
/// `None` if it doesn't fit. A job that names others, or whose description is too large as
/// it is and therefore packed, is kept so that a controller of the version before chains,
/// which would not wait or could not read it, starts nothing of it: by what that version
/// reads, no machine type is allowed.
pub fn kept(spec: &JobSpec, submitted_ms: u64, bytes: usize) -> Option<JobSpec> {
    let mut plain = spec.clone();
    if !spec.needs.is_empty() {
        let types = plain.types.replace(vec![]);
        let packed = None;
        plain.apart = Some(Box::new(HiddenFields {
            types,
            submitted_ms,
            packed,
        }));
    }
    let size = json_size(&plain);
    if size <= bytes {
        return Some(plain);
    }
    let mut stub = spec.clone();
    stub.needs.clear();
    stub.types = Some(vec![]);
    let apart = |packed| {
        let types = None;
        Some(Box::new(HiddenFields {
            types,
            submitted_ms,
            packed,
        }))
    };
    stub.apart = apart(Some(String::new()));
    let room = bytes.checked_sub(json_size(&stub))?;
    let whole = to_cbor(spec);
    let (text, taken) = glenhaven_compression::pack(&whole, room);
    stub.apart = apart(Some(text));
    (taken == whole.len()).then_some(stub)
}

/// What was kept: the description, and when the job was submitted, if that is said.
/// `None`: a controller of the version before chains wrote the record anew, and only the
/// page of acceptances still tells what the job is.
pub fn restored(mut spec: JobSpec) -> Option<(JobSpec, u64)> {
    let Some(apart) = spec.apart.take() else {
        // Nobody can submit a job that no machine type is allowed for.
        let bare = spec.types.as_ref().is_some_and(Vec::is_empty);
        return (!bare).then_some((spec, 0));
    };
    match apart.packed {
        None => spec.types = apart.types,
        Some(text) => {
            let whole = glenhaven_compression::unpack::<u8>(&text).ok();
            match whole.and_then(|bytes| from_cbor::<JobSpec>(&bytes).ok()) {
                Some(whole) => spec = whole,
                None => {
                    tracing::error!(job = spec.id, "malformed description");
                    return None;
                }
            }
        }
    }
    Some((spec, apart.submitted_ms))
}

/// Jobs that a node accepted together: the page is written once, while none of them is
/// over, and written over when all of them are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    #[serde(rename = "a")]
    pub jobs: Vec<JobSpec>,
}

/// A job's final phase. Versions of this service that accepted each job by a key of its
/// own wrote open phases too, with the description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobValue {
    pub phase: Phase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// What a node says of the machines whose workers it answers without the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxiedMachines {
    /// Names of the machines.
    #[serde(rename = "kept")]
    pub machines: Vec<String>,
    /// The last heartbeats of those on which tasks have ended, packed.
    #[serde(rename = "told", default)]
    pub last_heartbeats: String,
}

/// The proof that a task may be on a machine: task, attempt, machine, session,
/// and the term it was made under.
pub type PlacementRow = (u32, u64, String, u64, u64);

/// A part of a job's records: finished tasks and placements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRangeRecord {
    #[serde(rename = "j")]
    pub job: String,
    #[serde(rename = "n")]
    pub range_index: u32,
    /// Whether this is all there is to say of the part; otherwise it adds to
    /// what earlier entries say.
    #[serde(rename = "f")]
    pub full: bool,
    /// The highest attempt ever used in this part.
    #[serde(rename = "t")]
    pub last_attempt: u64,
    /// Finished tasks, as inclusive ranges.
    #[serde(rename = "d")]
    pub done: Vec<(u32, u32)>,
    /// Tasks whose earlier placement is void.
    #[serde(rename = "v")]
    pub void: Vec<(u32, u32)>,
    #[serde(rename = "r")]
    pub placements: Vec<PlacementRow>,
}

/// One fact in a page of the book. Later entries replace or add to earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// An open job: version of its acceptance, whether its user has cancelled
    /// it, and its description.
    #[serde(rename = "o")]
    Open(u64, bool, Box<JobSpec>),
    /// An open job that was accepted in a page: its key does not exist while it is open.
    #[serde(rename = "a")]
    Accepted(u64, bool, Box<JobSpec>),
    #[serde(rename = "p")]
    TaskRangeRecord(TaskRangeRecord),
    /// The job is over and nothing of it is left.
    #[serde(rename = "x")]
    Over(String),
    /// A rental request, written before it is made.
    #[serde(rename = "c")]
    Claim(String, ClaimValue),
    /// The rental request is settled.
    #[serde(rename = "s")]
    Settled(String),
}

impl Entry {
    /// The job that this entry describes.
    pub fn describes(&self) -> Option<&JobSpec> {
        match self {
            Entry::Open(_, _, spec) | Entry::Accepted(_, _, spec) => Some(spec),
            _ => None,
        }
    }
}

/// A page of the leader's book. Pages are read back in the order of `seq`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The term it was written under: with `seq`, what tells this page from
    /// any other that ever stood under its key.
    #[serde(rename = "k")]
    pub term: u64,
    #[serde(rename = "n")]
    pub seq: u64,
    /// Pages before this one say nothing any more; their keys are used again.
    #[serde(rename = "o")]
    pub oldest: u64,
    /// What the jobs' keys said up to this revision is in the book.
    #[serde(rename = "s")]
    pub seen_revision: u64,
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// When it was written, in milliseconds of the book: a clock that every leader
    /// goes on with where the one before it stopped. 0: not said.
    #[serde(rename = "m", default)]
    pub written_log_ms: u64,
    /// When the jobs that it describes came, in the order of their entries.
    #[serde(rename = "b", default)]
    pub submitted_log_ms: Vec<u64>,
}

/// A rental request; the machines are filled in when the cloud has answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimValue {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// Tasks per part. Which tasks a part is about follows from its number, so that all
/// versions must count alike: by the limit that values have at present, whatever is
/// announced.
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

/// A record as a value of the state service.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// A record from a value of the state service; `None` if it is malformed.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How many jobs a job may name where values are smallest: with ids without any order,
    /// the hardest to pack.
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
            spec.needs = (0..count)
                .map(|_| format!("run-{:06}", rng.u32(0..1_000_000)))
                .collect();
            spec.needs.sort();
            spec.needs.dedup();
            let Some(record) = kept(&spec, 1_700_000_000_000, 1748) else {
                break;
            };
            assert!(json_size(&record) <= 1748);
            assert_eq!(record.types, Some(vec![]));
            assert_eq!(restored(record), Some((spec.clone(), 1_700_000_000_000)));
            fits = count;
        }
        assert!(fits >= 150, "only {fits} names fit");
    }
}
