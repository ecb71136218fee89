//! Jobs that name others: whether those were ever accepted, and what follows for a job from
//! what is known of the ones before it. What follows, `glenhaven-dependencies` says.

use super::super::Context;
use super::{Ask, JobApi};
use crate::protocol::users::{JobSpec, Phase};
use crate::storage::records::restored;
use crate::time::Micros;
use glenhaven_dependencies::{DependencyGraph, News, Stand};

/// What is kept of an open job that names others: all that a new leader needs to know.
#[derive(Debug)]
pub struct Held {
    pub spec: JobSpec,
    /// The revision at which it was accepted.
    pub version: u64,
    /// When it was submitted, by the time of day; 0: not known.
    pub submitted_ms: u64,
}

/// Named jobs of which nothing is known are read so often, and so many at a time.
const READ_EVERY: Micros = Micros::from_millis(200);
const READS: usize = 16;

impl JobApi {
    /// The phase that a job keeps for ever. A job is withdrawn from the moment one that it
    /// needs is, whether or not its own key says so yet.
    pub(super) fn final_phase(&self, job: &str) -> Option<Phase> {
        let known = self.known.get(job).map(|k| k.phase).filter(|p| p.is_final());
        known.or_else(|| (self.dependency_graph.stand(job) == Some(Stand::Withdrawn)).then_some(Phase::Cancelled))
    }

    /// Whether a job may be withdrawn with one before it.
    pub(super) fn waits(&self, job: &str) -> bool {
        matches!(self.dependency_graph.stand(job), Some(Stand::Waits | Stand::Unsettled))
    }

    /// A job was found in a page of acceptances.
    pub(super) fn learn_named(&mut self, spec: JobSpec, version: u64) {
        if spec.apart.is_none() || self.known.get(&spec.id).is_some_and(|k| k.phase.is_final()) {
            return;
        }
        let Some((spec, submitted_ms)) = restored(spec) else {
            return;
        };
        if spec.needs.is_empty() {
            return;
        }
        let (id, needs) = (spec.id.clone(), spec.needs.clone());
        let held = Held {
            spec,
            version,
            submitted_ms,
        };
        self.dependency_graph.add(&id, &needs, held);
        for need in &needs {
            match self.known.get(need) {
                Some(known) if known.phase.is_final() => self.dependency_graph.ended(need, known.phase == Phase::Done),
                Some(known) if known.checked => self.dependency_graph.open(need),
                _ => {}
            }
        }
    }

    /// Whether every job that a submission names is known to have been accepted. If not,
    /// the next step to find out is taken; what was never accepted, or is a service, is a
    /// reason to refuse it, unless the job itself was accepted before.
    pub(super) fn all_named_known(&mut self, id: u64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let Ask::Submit(spec) = &pending.ask else { return false };
        let service = |n: &&String| self.known.get(*n).is_some_and(|k| k.service);
        let unknown = |n: &&String| !self.known.contains_key(*n);
        let refused = if spec.needs.iter().any(|n| service(&n)) {
            Some("a job waits for a service, which is never done")
        } else if !spec.needs.iter().any(|n| unknown(&n)) {
            return true;
        } else if spec.needs.iter().filter(unknown).all(|n| pending.missing.contains(n)) {
            // Its own key was not there, and no page names it up to a moment after the
            // request came: it was never accepted.
            pending.synced.then_some("a job that it waits for was never accepted")
        } else {
            for need in spec.needs.iter().filter(unknown) {
                if !pending.missing.contains(need) {
                    self.to_verify.entry(need.clone()).or_default().push(id);
                }
            }
            return false;
        };
        match refused {
            Some(why) => {
                let job = pending.job.clone();
                pending.ask = Ask::Refusable(422, why.into());
                self.to_verify.entry(job).or_default().push(id);
            }
            None => self.to_sync.push(id),
        }
        false
    }

    /// Has named jobs read of which nothing is known: those that were over before this node
    /// began.
    pub(super) fn read_named(&mut self, context: &mut Context) {
        if !self.is_ready() || context.now < self.next_named {
            return;
        }
        self.next_named = context.now + READ_EVERY;
        let unknown = self.dependency_graph.unknown().filter(|n| !self.known.contains_key(*n));
        let unknown: Vec<String> = unknown.take(READS).map(str::to_string).collect();
        for job in unknown {
            self.read_job(context, &job);
        }
    }

    /// Open jobs that name others.
    pub fn chains(&self) -> &DependencyGraph<Held> {
        &self.dependency_graph
    }

    /// What became true of jobs that name others since the last call.
    pub fn take_chain_news(&mut self) -> Vec<News> {
        self.dependency_graph.take_news()
    }
}
