//! User requests that wait for the state service, and the checks that refuse a submission unless
//! its job was accepted before.

use super::acceptance_status::OwnPage;
use super::read_proof::{ReadProof, RequestSequence};
use super::{max_description_bytes, Refusal};
use crate::coordination::ClusterConfig;
use crate::protocol::users::{JobSpec, Shape};
use crate::storage::records::to_record;
use crate::time::Micros;
use std::collections::BTreeSet;

/// The tolerance for rounding errors in comparisons with a team's limit.
const ROUNDING: f64 = 1e-9;

/// The kind of a user's request.
#[derive(Clone, Debug)]
pub(super) enum RequestKind {
    /// A valid submission.
    Submit(Box<JobSpec>),
    /// A submission that is refused for this reason unless its job was accepted before.
    Refusable(Refusal),
    /// A read of the state of a job.
    Poll,
    /// The cancellation of a job.
    Cancel,
}

impl RequestKind {
    /// Returns the kind of a well-formed submission: valid, or to be refused.
    pub(super) fn submission(cluster: &ClusterConfig, spec: JobSpec) -> RequestKind {
        match refusal(cluster, &spec) {
            Some(refusal) => RequestKind::Refusable(refusal),
            None => RequestKind::Submit(Box::new(spec)),
        }
    }
}

/// A request that waits for the state service.
pub(super) struct PendingRequest {
    /// The id of the HTTP request, under which it is answered.
    pub id: u64,
    /// The id of the job that the request is about.
    pub job: String,
    pub kind: RequestKind,
    pub received_at: Micros,
    /// The number in the order of arrival: only a read that was sent after the request had arrived
    /// may decide it.
    pub sequence: RequestSequence,
    /// For a submission with dependencies: the dependencies whose own keys were missing when they
    /// were read for it.
    pub missing_dependencies: BTreeSet<String>,
    /// The read of all changes of jobs that was made for this request.
    pub changes_proof: Option<ReadProof>,
    /// For a submission: the page of this node that accepts its job. The submission then waits for
    /// a read that shows whether an earlier page accepts the job.
    pub own_page: Option<OwnPage>,
    /// The revision up to which this node knew all changes of jobs when the request arrived.
    pub known_revision: u64,
}

impl PendingRequest {
    /// Creates a request that has just arrived.
    pub(super) fn new(
        id: u64,
        job: String,
        kind: RequestKind,
        sequence: RequestSequence,
        known_revision: u64,
        now: Micros,
    ) -> Self {
        PendingRequest {
            id,
            job,
            kind,
            received_at: now,
            sequence,
            missing_dependencies: BTreeSet::new(),
            changes_proof: None,
            own_page: None,
            known_revision,
        }
    }
}

/// Returns the reason to refuse a submission unless its job was accepted before; `None` for a valid
/// submission.
fn refusal(cluster: &ClusterConfig, spec: &JobSpec) -> Option<Refusal> {
    if !cluster.settings.params.teams.iter().any(|t| t.name == spec.team) {
        return Some(Refusal::UnknownTeam);
    }
    if spec.dependencies.contains(&spec.id) {
        return Some(Refusal::DependsOnItself);
    }
    if cluster.catalogue.is_empty() {
        return Some(Refusal::CatalogueUnknown);
    }
    // A release without job dependencies would start the job at once.
    if let (false, Some(node)) = (spec.dependencies.is_empty(), &cluster.outdated_peer) {
        return Some(Refusal::LaggingController(node.clone()));
    }
    if is_over_limit(cluster, spec) {
        return Some(Refusal::OverTeamLimit);
    }
    // The description has to fit into one value, if necessary compressed.
    if to_record(spec, u64::MAX >> 16, max_description_bytes(cluster)).is_none() {
        return Some(Refusal::DescriptionTooLarge);
    }
    (!fits_some_machine(cluster, spec)).then_some(Refusal::NoFittingMachineType)
}

/// Returns whether the job can't run within its team's limit. An array needs room for one task at a
/// time, a service for all its tasks.
fn is_over_limit(cluster: &ClusterConfig, spec: &JobSpec) -> bool {
    let (cpus, gpus) = cluster.limits(&spec.team);
    let at_once = match spec.shape {
        Shape::Array => 1.0,
        Shape::Service => f64::from(spec.tasks),
    };
    spec.cpus * at_once > cpus + ROUNDING || spec.gpus * at_once > gpus + ROUNDING
}

/// Returns whether a task of the job fits on a machine type that the job allows.
fn fits_some_machine(cluster: &ClusterConfig, spec: &JobSpec) -> bool {
    cluster.catalogue.values().any(|t| {
        t.cpus >= spec.cpus
            && t.gpus >= spec.gpus
            && t.memory >= spec.memory
            && spec.machine_types.as_ref().is_none_or(|types| types.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
    })
}
