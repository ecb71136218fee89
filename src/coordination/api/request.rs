//! Users' requests as the desk holds them: what is asked, since when, and which submissions are
//! refused whatever the state service says.

use super::read_proof::RequestSequence;
use super::room_for_one;
use crate::coordination::ClusterConfig;
use crate::protocol::users::{JobSpec, Shape};
use crate::storage::records::kept;
use crate::time::Micros;
use std::collections::BTreeSet;

/// What a user asks.
#[derive(Clone, Debug)]
pub(super) enum Ask {
    /// A valid submission.
    Submit(Box<JobSpec>),
    /// A submission that gets this status unless its job was accepted before.
    Refusable(u16, String),
    Poll,
    Abort,
}

impl Ask {
    /// A submission as it is, or what it would be refused with.
    pub(super) fn submission(cluster: &ClusterConfig, spec: JobSpec) -> Ask {
        match refusal(cluster, &spec) {
            Some((status, why)) => Ask::Refusable(status, why),
            None => Ask::Submit(Box::new(spec)),
        }
    }
}

/// A request that waits for the state service.
pub(super) struct Pending {
    pub id: u64,
    pub job: String,
    pub ask: Ask,
    pub at: Micros,
    /// Its place among all requests: only evidence that is newer may answer it.
    pub arrival: RequestSequence,
    /// Of a submission that names jobs: those whose own keys were missing when they were
    /// read for it, and whether all news were read for it.
    pub missing: BTreeSet<String>,
    pub synced: bool,
    /// A page of this node, which left after the request had come, accepts its job; whether
    /// another one did before is being read.
    pub accepted_here: bool,
}

/// The status and reason for which a submission is refused unless its job was accepted before.
fn refusal(cluster: &ClusterConfig, spec: &JobSpec) -> Option<(u16, String)> {
    if !cluster.settings.params.teams.iter().any(|t| t.name == spec.team) {
        return Some((422, "unknown team".into()));
    }
    if spec.needs.contains(&spec.id) {
        return Some((422, "the job waits for itself".into()));
    }
    if cluster.catalogue.is_empty() {
        return Some((503, "the machine types are not known yet".into()));
    }
    // The version before chains would start the job at once.
    if let (false, Some(node)) = (spec.needs.is_empty(), &cluster.lagging) {
        return Some((503, format!("{node} has yet to get this version")));
    }
    if is_over_limit(cluster, spec) {
        return Some((422, "over the team's limit".into()));
    }
    // Its description has to fit into one value, packed if need be, with room for a frame.
    if kept(spec, u64::MAX >> 16, room_for_one(cluster)).is_none() {
        return Some((503, "the state service cannot hold the description".into()));
    }
    (!fits_some_machine(cluster, spec)).then(|| (422, "a task fits no allowed machine type".into()))
}

/// Whether the job can't run within its team's limit: an array with one task, a service with all.
fn is_over_limit(cluster: &ClusterConfig, spec: &JobSpec) -> bool {
    let (cpus, gpus) = cluster.limits(&spec.team);
    let at_once = match spec.shape {
        Shape::Array => 1.0,
        Shape::Service => f64::from(spec.tasks),
    };
    spec.cpus * at_once > cpus + 1e-9 || spec.gpus * at_once > gpus + 1e-9
}

/// Whether a task of the job fits a machine type that it allows.
fn fits_some_machine(cluster: &ClusterConfig, spec: &JobSpec) -> bool {
    cluster.catalogue.values().any(|t| {
        t.cpus >= spec.cpus
            && t.gpus >= spec.gpus
            && t.memory >= spec.memory
            && spec.types.as_ref().is_none_or(|types| types.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
    })
}
