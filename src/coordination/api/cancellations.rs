//! The latest cancellations that this node knows, and so all that it may have confirmed to users.
//!
//! The leader asks for them by attestations while the state service does not answer it.

use super::JobApi;

/// The number of cancellations that are remembered.
const MAX_CANCELLATIONS: usize = 8000;

impl JobApi {
    /// Remembers a cancellation, which a job's own key has had since this version, and forgets the
    /// oldest if there are too many.
    pub(super) fn remember_cancelled(&mut self, job: &str, version: u64) {
        if version <= self.cancelled_forgotten_up_to || self.cancelled.contains(job) {
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
            self.cancelled_forgotten_up_to = version;
            for job in jobs {
                self.cancelled.remove(&job);
            }
        }
    }

    /// All cancellations after this revision that are known here, with their versions; `None` if
    /// some of them may have been forgotten.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<(String, u64)>> {
        let later = self.cancelled_by_version.range(revision + 1..);
        let named = later.flat_map(|(version, jobs)| jobs.iter().map(|job| (job.clone(), *version)));
        (self.cancelled_forgotten_up_to <= revision).then(|| named.collect())
    }
}
