//! The protocol between users and controllers: submissions, states of jobs and refusals.
//!
//! The serde names are those of the wire; `JobSpec` is also part of stored records.

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
    /// Below all others.
    #[serde(rename = "low")]
    Low,
    /// The usual one.
    #[serde(rename = "standard")]
    Normal,
    /// Above the usual one.
    #[serde(rename = "urgent")]
    High,
    /// Above all others.
    #[serde(rename = "production")]
    Production,
}

/// A job as its user submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id of the job, `run-` and digits.
    #[serde(rename = "ref")]
    pub id: String,
    /// The class of the job, by which run times are estimated and objectives set.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team that the job is charged to.
    #[serde(rename = "owner")]
    pub team: String,
    /// Whether it is an array or a service.
    pub shape: Shape,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    /// The machine types that it may run on; `None` for all.
    #[serde(rename = "flavors", default)]
    pub types: Option<Vec<String>>,
    /// The only zone that it may run in, if it names one.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether it may run on spot machines.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The image of its tasks.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "size_gb", deserialize_with = "amount")]
    pub image_gb: f64,
    /// How long a task is expected to run, in seconds.
    #[serde(rename = "expected_s", deserialize_with = "amount")]
    pub estimate_s: f64,
    /// The interval of checkpoints, in seconds; 0 without checkpoints.
    #[serde(rename = "snapshot_every_s", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    /// How long saving a checkpoint takes, in seconds.
    #[serde(rename = "snapshot_cost_s", deserialize_with = "amount")]
    pub save_s: f64,
    /// How long after its submission it should be done, in seconds.
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
    /// In stored records only: the fields that an earlier release must not see. Users can't set it.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub hidden_fields: Option<Box<HiddenFields>>,
}

/// What the stored record of a job with dependencies, or of one with a large description, has
/// beside the fields of the description. A release without job dependencies ignores it: the fields
/// that it reads allow no machine type, so that it starts nothing of the job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HiddenFields {
    /// The machine types of the description.
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// When the job was submitted, in milliseconds since 1970; 0 if it is not known.
    #[serde(rename = "at", default)]
    pub submitted_ms: u64,
    /// The whole description, packed, if it is too large to be stored unpacked.
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
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the body does not have the form of a submission, or names the first field
    /// whose value is not valid.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let mut spec: JobSpec = from_cbor(body)?;
        spec.hidden_fields = None;
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
            // Any number of tasks without CPUs and GPUs would fit on a machine.
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

/// The job's id in a submission that may be malformed otherwise, so that a job that was accepted
/// before is never refused as malformed.
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
    /// No task runs.
    #[serde(rename = "pending")]
    Pending,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled, by its user or with a dependency.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl Phase {
    /// A final phase never changes again, so it may be cached.
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
    /// Its phase.
    pub phase: Phase,
    /// The number of completed tasks, of an open job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// The number of running tasks, of an open job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of a refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Why the request is refused.
    pub error: String,
}
