//! The latest cancellations that this node knows: what it could have told a user.

use super::JobApi;

/// So many are remembered.
const LATEST: usize = 8000;

impl JobApi {
    /// A job's own key says that it is cancelled.
    pub(super) fn note_cancelled(&mut self, job: &str, version: u64) {
        if version <= self.cancelled_before || self.cancelled.contains(job) {
            return;
        }
        self.cancelled.insert(job.to_string());
        self.cancelled_order.entry(version).or_default().push(job.to_string());
        while self.cancelled.len() > LATEST {
            let Some((version, jobs)) = self.cancelled_order.pop_first() else {
                break;
            };
            self.cancelled_before = version;
            for job in jobs {
                self.cancelled.remove(&job);
            }
        }
    }

    /// All that are known here and were made after this revision; `None` if some of them may
    /// be forgotten.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<(String, u64)>> {
        let later = self.cancelled_order.range(revision + 1..);
        let named = later.flat_map(|(version, jobs)| jobs.iter().map(|job| (job.clone(), *version)));
        (self.cancelled_before <= revision).then(|| named.collect())
    }
}
