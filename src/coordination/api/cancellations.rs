//! The latest cancellations known to this node, including all that it may have confirmed to users.
//!
//! The leader requests them as attestations while the state service does not answer it. The
//! controller takes new ones from here and applies them to the leader's state, however the job API
//! learned of them.
//!
//! Invariant: every known cancellation with a version above `cancellations_dropped_up_to` is kept.

use super::JobApi;

/// The maximum number of cancellations that are kept.
const MAX_CANCELLATIONS: usize = 8000;

/// A job that is known to be cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// The job's id.
    pub job: String,
    /// The version of the job's own key, which records the cancellation.
    pub version: u64,
}

impl JobApi {
    /// Queues a cancellation for the leader's state.
    pub(super) fn queue_for_leader(&mut self, job: &str, version: u64) {
        self.cancellations_for_leader.push(Cancellation {
            job: job.to_string(),
            version,
        });
    }

    /// Returns the cancellations that became known since the last call. A cancellation is returned
    /// again if the job is read again.
    pub fn take_cancellations_for_leader(&mut self) -> Vec<Cancellation> {
        std::mem::take(&mut self.cancellations_for_leader)
    }

    /// Records the cancellation of a job, written to its own key with this version, and drops the
    /// oldest cancellations if there are more than [`MAX_CANCELLATIONS`].
    pub(super) fn record_cancellation(&mut self, job: &str, version: u64) {
        if version <= self.cancellations_dropped_up_to || self.cancelled.contains(job) {
            return;
        }
        self.cancelled.insert(job.to_string());
        self.cancelled_by_version
            .entry(version)
            .or_default()
            .push(job.to_string());
        while self.cancelled.len() > MAX_CANCELLATIONS {
            let Some((version, jobs)) = self.cancelled_by_version.pop_first() else {
                break;
            };
            self.cancellations_dropped_up_to = version;
            for job in jobs {
                self.cancelled.remove(&job);
            }
        }
    }

    /// Returns all known cancellations after this revision, with the versions of the jobs' keys;
    /// `None` if some of them may have been dropped.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<(String, u64)>> {
        let later = self.cancelled_by_version.range(revision + 1..);
        let named = later.flat_map(|(version, jobs)| jobs.iter().map(|job| (job.clone(), *version)));
        (self.cancellations_dropped_up_to <= revision).then(|| named.collect())
    }
}
