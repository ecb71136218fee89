//! The protocol between users and controllers: submissions, states of jobs and refusals.
//!
//! Field names on the wire are the serde names and must not change. `JobSpec` is also part of
//! stored records, with the same names.

use super::{amount, from_cbor, optional_amount, Malformed};
use serde::{Deserialize, Deserializer, Serialize};

/// The largest number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// The shape of a job: whether its tasks run to completion or until the job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job. Variants are ordered from lowest to highest for the derived `Ord`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// The lowest priority.
    #[serde(rename = "low")]
    Low,
    /// The usual priority.
    #[serde(rename = "standard")]
    Normal,
    /// A priority above the usual one.
    #[serde(rename = "urgent")]
    High,
    /// The highest priority.
    #[serde(rename = "production")]
    Production,
}

/// A job as its user submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id of the job, `run-` and digits.
    #[serde(rename = "ref")]
    pub id: String,
    /// The class of the job, for which run times are estimated and objectives are set.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team that the job is charged to.
    #[serde(rename = "owner")]
    pub team: String,
    /// The shape of the job.
    pub shape: Shape,
    /// The priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// The number of CPUs of each task.
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    /// The number of GPUs of each task.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    /// The machine types on which the job may run; `None` for all.
    #[serde(rename = "flavors", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone in which the job may run; `None` for all.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The image of the tasks.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "size_gb", deserialize_with = "amount")]
    pub image_gb: f64,
    /// The expected run time of a task, in seconds.
    #[serde(rename = "expected_s", deserialize_with = "amount")]
    pub estimate_s: f64,
    /// The interval of checkpoints, in seconds; 0 without checkpoints.
    #[serde(rename = "snapshot_every_s", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    /// The time that saving a checkpoint takes, in seconds.
    #[serde(rename = "snapshot_cost_s", deserialize_with = "amount")]
    pub save_s: f64,
    /// The time after submission within which the job should be done, in seconds.
    #[serde(rename = "due_s", default, deserialize_with = "optional_amount")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "waits_on",
        default,
        deserialize_with = "optional_list",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
    /// Fields that earlier releases must not read. Set only in stored records; ignored in
    /// submissions.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub hidden_fields: Option<Box<HiddenFields>>,
}

/// Additional fields in the stored record of a job with dependencies or with a large description.
///
/// A release without job dependencies ignores them. The fields that such a release reads allow no
/// machine type, so that it starts no task of the job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HiddenFields {
    /// The machine types of the description.
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The time of submission, in milliseconds since 1970; 0 if unknown.
    #[serde(rename = "at", default)]
    pub submitted_ms: u64,
    /// The whole description in compressed form, if it is too large to be stored uncompressed.
    #[serde(rename = "all", default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<String>,
}

/// Deserializes a list that may be null, which is read as empty.
fn optional_list<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(input)?.unwrap_or_default())
}

/// Returns whether a text has the form of a job id: `run-` and then digits, at most 64 bytes.
pub fn is_job_id(id: &str) -> bool {
    id.len() <= 64
        && id
            .strip_prefix("run-")
            .is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the body does not have the form of a submission or a field's value
    /// is not valid; the text then names the first such field.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let mut spec: JobSpec = from_cbor(body)?;
        spec.hidden_fields = None;
        let invalid = |what: &str| Err(Malformed(format!("field {what} is not valid")));
        if !is_job_id(&spec.id) {
            return invalid("ref");
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return invalid("pieces");
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
                return invalid(name);
            }
        }
        if spec.cpus == 0.0 && spec.gpus == 0.0 {
            // An unlimited number of tasks without CPUs and GPUs would fit on a machine.
            return invalid("cores");
        }
        for (name, text) in [
            ("jobclass", &spec.class),
            ("owner", &spec.team),
            ("bundle", &spec.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return invalid(name);
            }
        }
        if spec
            .machine_types
            .as_ref()
            .is_some_and(|t| t.len() > 64 || t.iter().any(|t| t.len() > 100))
        {
            return invalid("flavors");
        }
        if spec.zone.as_ref().is_some_and(|z| z.len() > 100) {
            return invalid("yard");
        }
        if !spec.dependencies.iter().all(|id| is_job_id(id)) {
            return invalid("waits_on");
        }
        // A dependency that is listed twice counts once.
        spec.dependencies.sort();
        spec.dependencies.dedup();
        Ok(spec)
    }
}

/// Returns the job's id from a submission whose other fields may be malformed; `None` if it has no
/// valid id.
///
/// With the id, a job that was accepted before can be found, so that a malformed repetition of its
/// submission is not refused.
pub fn extract_job_id(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct IdOnly {
        r#ref: String,
    }
    from_cbor::<IdOnly>(body)
        .ok()
        .map(|o| o.r#ref)
        .filter(|id| is_job_id(id))
}

/// The phase of a job as it is reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The job is open and no task runs.
    #[serde(rename = "pending")]
    Pending,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled, by its user or because a dependency was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl Phase {
    /// Returns whether the phase is final. A final phase never changes, so it may be cached.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::Cancelled)
    }
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The id of the job.
    #[serde(rename = "ref")]
    pub id: String,
    /// The phase of the job.
    pub phase: Phase,
    /// The number of completed tasks, if the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// The number of running tasks, if the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of the answer that refuses a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The reason of the refusal.
    pub error: String,
}
