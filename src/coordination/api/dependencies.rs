//! Jobs with dependencies in the job API: whether the jobs that a submission depends on were ever
//! accepted, and whether a job is blocked or cancelled by its dependencies.
//!
//! `glenhaven-dependencies` maintains the graph and derives the states of the jobs; this module
//! updates the graph with jobs and phases read from the state service. The leader reads the graph
//! (`coordination::dependencies`).
//!
//! Invariant: a submission with dependencies is offered for acceptance only when each dependency is
//! known to have been accepted.

use super::super::Context;
use super::request::RequestKind;
use super::{JobApi, Refusal};
use crate::protocol::users::{JobSpec, Phase};
use crate::storage::records::from_record;
use crate::time::Micros;
use glenhaven_dependencies::{DependencyChange, DependencyGraph, DependencyState};

/// An open job with dependencies, as a new leader needs it.
#[derive(Debug)]
pub struct DependentJob {
    /// Its description.
    pub spec: JobSpec,
    /// The revision at which it was accepted.
    pub version: u64,
    /// When it was submitted, in milliseconds since 1970; 0 if it is not known.
    pub submitted_ms: u64,
}

/// Pause between two rounds of reads of dependencies without a known phase.
const READ_INTERVAL: Micros = Micros::from_millis(200);
/// The maximum number of dependencies read in one round.
const MAX_READS: usize = 16;

impl JobApi {
    /// Returns the final phase of a job, if it has one. A job counts as cancelled as soon as one of
    /// its dependencies is cancelled, even before its own key shows this.
    pub(super) fn final_phase(&self, job: &str) -> Option<Phase> {
        let known = self.statuses.get(job).map(|k| k.phase).filter(|p| p.is_final());
        known.or_else(|| {
            (self.dependency_graph.state(job) == Some(DependencyState::Cancelled)).then_some(Phase::Cancelled)
        })
    }

    /// Returns the phase of a job as far as it is known here, in doubt its final phase.
    pub(super) fn known_phase(&self, job: &str) -> Option<Phase> {
        self.final_phase(job).or(self.statuses.get(job).map(|k| k.phase))
    }

    /// Returns whether a job waits for its dependencies, and so may be cancelled with one of them.
    pub(super) fn waits_for_dependencies(&self, job: &str) -> bool {
        matches!(
            self.dependency_graph.state(job),
            Some(DependencyState::Blocked | DependencyState::Undetermined)
        )
    }

    /// Adds a job from a page of acceptances to the graph, if it has dependencies.
    pub(super) fn add_to_dependency_graph(&mut self, spec: JobSpec, version: u64) {
        if spec.hidden_fields.is_none() || self.statuses.get(&spec.id).is_some_and(|k| k.phase.is_final()) {
            return;
        }
        let Some((spec, submitted_ms)) = from_record(spec) else {
            return;
        };
        if spec.dependencies.is_empty() {
            return;
        }
        let (id, dependencies) = (spec.id.clone(), spec.dependencies.clone());
        let dependent = DependentJob {
            spec,
            version,
            submitted_ms,
        };
        self.dependency_graph.add(&id, &dependencies, dependent);
        for dependency in &dependencies {
            match self.statuses.get(dependency) {
                Some(known) if known.phase.is_final() => {
                    self.dependency_graph.mark_ended(dependency, known.phase == Phase::Done)
                }
                Some(known) if known.checked => self.dependency_graph.mark_open(dependency),
                _ => {}
            }
        }
    }

    /// Returns whether every dependency of a submission is known to have been accepted. If not,
    /// queues the next read that is needed to decide this. A dependency that was never accepted, or
    /// that is a service, is a reason to refuse the submission, unless its job was accepted before.
    pub(super) fn are_dependencies_accepted(&mut self, id: u64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let RequestKind::Submit(spec) = &pending.kind else {
            return false;
        };
        let is_service = |n: &&String| self.statuses.get(*n).is_some_and(|k| k.service);
        let is_unknown = |n: &&String| !self.statuses.contains_key(*n);
        let refused = if spec.dependencies.iter().any(|n| is_service(&n)) {
            Some(Refusal::DependsOnService)
        } else if !spec.dependencies.iter().any(|n| is_unknown(&n)) {
            return true;
        } else if spec
            .dependencies
            .iter()
            .filter(is_unknown)
            .all(|n| pending.missing_dependencies.contains(n))
        {
            // All unknown dependencies had no key of their own. If a read of all changes that was
            // sent after the request had arrived shows no page with them either, they were never
            // accepted.
            pending.changes_proof.map(|_| Refusal::DependsOnUnknownJob)
        } else {
            for dependency in spec.dependencies.iter().filter(is_unknown) {
                if !pending.missing_dependencies.contains(dependency) {
                    self.awaiting_compare.entry(dependency.clone()).or_default().push(id);
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

    /// Reads the keys of dependencies without a known phase: those that had ended before this
    /// process started.
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

    /// Returns the graph of open jobs with dependencies and the jobs that they depend on.
    pub fn dependency_graph(&self) -> &DependencyGraph<DependentJob> {
        &self.dependency_graph
    }

    /// Returns the changes of jobs with dependencies since the last call.
    pub fn take_dependency_changes(&mut self) -> Vec<DependencyChange> {
        self.dependency_graph.take_changes()
    }
}
