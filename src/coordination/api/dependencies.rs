//! Jobs with dependencies in the job API: whether the jobs that a submission depends on were ever
//! accepted, and what the phases of those mean for it.
//!
//! `glenhaven-dependencies` keeps the graph and decides what follows; this module feeds it from what
//! the state service says. The leader reads the graph (`coordination::dependencies`).

use super::super::Context;
use super::request::RequestKind;
use super::{JobApi, Refusal};
use crate::protocol::users::{JobSpec, Phase};
use crate::storage::records::from_record;
use crate::time::Micros;
use glenhaven_dependencies::{DependencyChange, DependencyGraph, DependencyState};

/// An open job with dependencies, as a new leader needs to know it.
#[derive(Debug)]
pub struct DependentJob {
    /// Its description.
    pub spec: JobSpec,
    /// The revision at which it was accepted.
    pub version: u64,
    /// When it was submitted, in milliseconds since 1970; 0 if it is not known.
    pub submitted_ms: u64,
}

/// Pause between two reads of dependencies of which nothing is known.
const READ_INTERVAL: Micros = Micros::from_millis(200);
/// The most dependencies that are read at a time.
const MAX_READS: usize = 16;

impl JobApi {
    /// The final phase of a job, if it has one. A job is cancelled from the moment that one of its
    /// dependencies is, whether or not its own key says so yet.
    pub(super) fn final_phase(&self, job: &str) -> Option<Phase> {
        let known = self.statuses.get(job).map(|k| k.phase).filter(|p| p.is_final());
        known.or_else(|| {
            (self.dependency_graph.state(job) == Some(DependencyState::Cancelled)).then_some(Phase::Cancelled)
        })
    }

    /// Whether a job waits for its dependencies, so that it may be cancelled with one of them.
    pub(super) fn waits_for_dependencies(&self, job: &str) -> bool {
        matches!(
            self.dependency_graph.state(job),
            Some(DependencyState::Blocked | DependencyState::Undetermined)
        )
    }

    /// Adds a job that a page of acceptances names to the graph, if it has dependencies.
    pub(super) fn learn_dependencies(&mut self, spec: JobSpec, version: u64) {
        if spec.hidden_fields.is_none() || self.statuses.get(&spec.id).is_some_and(|k| k.phase.is_final()) {
            return;
        }
        let Some((spec, submitted_ms)) = from_record(spec) else {
            return;
        };
        if spec.needs.is_empty() {
            return;
        }
        let (id, needs) = (spec.id.clone(), spec.needs.clone());
        let dependent = DependentJob {
            spec,
            version,
            submitted_ms,
        };
        self.dependency_graph.add(&id, &needs, dependent);
        for need in &needs {
            match self.statuses.get(need) {
                Some(known) if known.phase.is_final() => self.dependency_graph.ended(need, known.phase == Phase::Done),
                Some(known) if known.checked => self.dependency_graph.open(need),
                _ => {}
            }
        }
    }

    /// Whether every dependency of a submission is known to have been accepted. If not, the next
    /// step to find out is queued. A dependency that was never accepted, or that is a service, is a
    /// reason to refuse the submission, unless its job was accepted before.
    pub(super) fn are_dependencies_accepted(&mut self, id: u64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let RequestKind::Submit(spec) = &pending.kind else {
            return false;
        };
        let is_service = |n: &&String| self.statuses.get(*n).is_some_and(|k| k.service);
        let is_unknown = |n: &&String| !self.statuses.contains_key(*n);
        let refused = if spec.needs.iter().any(|n| is_service(&n)) {
            Some(Refusal::NeedsService)
        } else if !spec.needs.iter().any(|n| is_unknown(&n)) {
            return true;
        } else if spec
            .needs
            .iter()
            .filter(is_unknown)
            .all(|n| pending.missing_dependencies.contains(n))
        {
            // The own keys of all unknown dependencies were missing. If also no page names them
            // after the request had come, they were never accepted.
            pending.changes_read.then_some(Refusal::NeedsUnknownJob)
        } else {
            for need in spec.needs.iter().filter(is_unknown) {
                if !pending.missing_dependencies.contains(need) {
                    self.awaiting_compare.entry(need.clone()).or_default().push(id);
                }
            }
            return false;
        };
        match refused {
            Some(refusal) => {
                let job = pending.job.clone();
                pending.kind = RequestKind::Refusable(refusal);
                self.awaiting_compare.entry(job).or_default().push(id);
            }
            None => self.awaiting_job_changes.push(id),
        }
        false
    }

    /// Reads dependencies of which nothing is known: those that had ended before this process
    /// began.
    pub(super) fn read_unknown_dependencies(&mut self, context: &mut Context) {
        if !self.is_ready() || context.now < self.next_dependency_read_at {
            return;
        }
        self.next_dependency_read_at = context.now + READ_INTERVAL;
        let unknown = self
            .dependency_graph
            .unknown()
            .filter(|n| !self.statuses.contains_key(*n));
        let unknown: Vec<String> = unknown.take(MAX_READS).map(str::to_string).collect();
        for job in unknown {
            self.read_job(context, &job);
        }
    }

    /// Open jobs with dependencies, and the jobs that they depend on.
    pub fn dependency_graph(&self) -> &DependencyGraph<DependentJob> {
        &self.dependency_graph
    }

    /// What has changed for jobs with dependencies since the last call.
    pub fn take_dependency_changes(&mut self) -> Vec<DependencyChange> {
        self.dependency_graph.take_changes()
    }
}
