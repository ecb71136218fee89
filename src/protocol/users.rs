//! What users send and get.

use super::{amount, from_cbor, maybe_amount, Malformed};
use serde::{Deserialize, Deserializer, Serialize};

/// The largest number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Whether a job's tasks run to completion or until the job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, lowest first, so that comparison follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "production")]
    Production,
}

/// A job as its user submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    #[serde(rename = "flavors", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "size_gb", deserialize_with = "amount")]
    pub image_gb: f64,
    #[serde(rename = "expected_s", deserialize_with = "amount")]
    pub estimate_s: f64,
    #[serde(rename = "snapshot_every_s", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    #[serde(rename = "snapshot_cost_s", deserialize_with = "amount")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, deserialize_with = "maybe_amount")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "waits_on",
        default,
        deserialize_with = "maybe_list",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub needs: Vec<String>,
    /// Only in records, of a job that names others; never from users.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub apart: Option<Box<HiddenFields>>,
}

/// What the record of a job that names others says beside its description. The version of
/// this service before chains knows neither this nor the names: what it reads says that
/// no machine type is allowed, so that it starts nothing of the job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HiddenFields {
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// When it was submitted, by the time of day: milliseconds since 1970; 0: not known.
    #[serde(rename = "at", default)]
    pub submitted_ms: u64,
    /// The whole description, packed, where it is too large as it is.
    #[serde(rename = "all", default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<String>,
}

/// Reads a list that may be null.
fn maybe_list<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(input)?.unwrap_or_default())
}

/// Whether a text has the form of a job id: `run-` and then digits.
pub fn is_job_id(id: &str) -> bool {
    id.len() <= 64
        && id
            .strip_prefix("run-")
            .is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Reads and checks a submission.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let mut spec: JobSpec = from_cbor(body)?;
        spec.apart = None;
        let bad = |what: &str| Err(Malformed(format!("field {what} is not valid")));
        if !is_job_id(&spec.id) {
            return bad("ref");
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return bad("pieces");
        }
        for (name, value) in [
            ("cores", spec.cpus),
            ("cards", spec.gpus),
            ("mem_gb", spec.memory),
            ("size_gb", spec.image_gb),
            ("expected_s", spec.estimate_s),
            ("snapshot_every_s", spec.checkpoint_s),
            ("snapshot_cost_s", spec.save_s),
            ("due_s", spec.deadline_s.unwrap_or(0.0)),
        ] {
            if !value.is_finite() || value < 0.0 {
                return bad(name);
            }
        }
        if spec.cpus == 0.0 && spec.gpus == 0.0 {
            // A task that takes no slot could be placed without bound.
            return bad("cores");
        }
        for (name, text) in [
            ("jobclass", &spec.class),
            ("owner", &spec.team),
            ("bundle", &spec.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return bad(name);
            }
        }
        if spec
            .types
            .as_ref()
            .is_some_and(|t| t.len() > 64 || t.iter().any(|t| t.len() > 100))
        {
            return bad("flavors");
        }
        if spec.zone.as_ref().is_some_and(|z| z.len() > 100) {
            return bad("yard");
        }
        if !spec.needs.iter().all(|id| is_job_id(id)) {
            return bad("waits_on");
        }
        // The same name twice counts once.
        spec.needs.sort();
        spec.needs.dedup();
        Ok(spec)
    }
}

/// The job id in a body that may be malformed otherwise, so that a job accepted
/// earlier is never refused as malformed.
pub fn id_in(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Only {
        r#ref: String,
    }
    from_cbor::<Only>(body).ok().map(|o| o.r#ref).filter(|id| is_job_id(id))
}

/// A job's phase as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl Phase {
    /// A final phase never changes again, so it may be cached.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::Cancelled)
    }
}

/// The answer to a submission, a poll or an abort.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    #[serde(rename = "ref")]
    pub id: String,
    pub phase: Phase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of a refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
