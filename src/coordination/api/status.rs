//! What this node knows of the phases of jobs.
//!
//! A final phase is known for good; an open phase may be out of date until a read shows it. Newer
//! versions of a job's key replace older ones, never the other way round.

use super::super::Context;
use super::{JobApi, PageScan, MAX_STATUSES};
use crate::protocol::peer::Progress;
use crate::protocol::users::{is_job_id, Phase};
use crate::time::Micros;

/// What is known of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobStatus {
    /// The version of its own key; 0 if there is none as far as is known here.
    pub version: u64,
    pub phase: Phase,
    /// Whether its own key was read, or was missing after its page had been seen. A page that is
    /// found in the scan does not show whether the job has ended since.
    pub checked: bool,
    /// Whether it is a service, which runs until it is cancelled, as far as its description was
    /// seen.
    pub service: bool,
    /// The revision of the page that was seen to accept it; 0 if none was.
    pub page: u64,
    /// Whether another page accepts it as well: its user may have been told of it before.
    pub repeated: bool,
}

impl JobApi {
    /// Remembers the status of a job, and forgets that of the oldest job with a final phase if
    /// there are too many.
    pub(super) fn remember(&mut self, job: String, status: JobStatus) {
        self.statuses.insert(job.clone(), status);
        self.status_order.push_back(job);
        let mut tries = self.status_order.len();
        while self.statuses.len() > MAX_STATUSES && tries > 0 {
            tries -= 1;
            let Some(oldest) = self.status_order.pop_front() else {
                break;
            };
            if self.statuses.get(&oldest).is_some_and(|s| s.phase.is_final()) {
                self.statuses.remove(&oldest);
            } else {
                self.status_order.push_back(oldest);
            }
        }
    }

    /// Takes the version and phase of a job's own key, unless a newer version is known.
    pub fn learn(&mut self, job: &str, version: u64, phase: Phase) {
        let new = JobStatus {
            version,
            phase,
            checked: true,
            service: false,
            page: 0,
            repeated: false,
        };
        match self.statuses.get_mut(job) {
            Some(status) if status.version >= version => {}
            Some(status) => *status = new,
            None => self.remember(job.to_string(), new),
        }
        if phase == Phase::Cancelled {
            self.remember_cancelled(job, version);
        }
        if phase.is_final() {
            self.counts.remove(job);
            self.group_commit.job_ended(job);
            self.dependency_graph.ended(job, phase == Phase::Done);
        } else {
            self.dependency_graph.open(job);
        }
    }

    /// The phase of a job as it was last seen; an open phase may be out of date.
    pub fn phase(&self, job: &str) -> Option<Phase> {
        self.statuses.get(job).filter(|s| s.checked).map(|s| s.phase)
    }

    /// Jobs that are open as far as is known here.
    pub fn open_jobs(&self) -> impl Iterator<Item = &str> {
        let is_open = |s: &JobStatus| s.checked && !s.phase.is_final();
        self.statuses
            .iter()
            .filter(move |(_, s)| is_open(s))
            .map(|(id, _)| id.as_str())
    }

    /// Forgets everything that may have changed unseen. Final phases are kept.
    pub fn forget_open(&mut self) {
        self.statuses.retain(|_, s| s.phase.is_final());
        self.counts.clear();
        self.dependency_graph.forget();
        self.group_commit.forget_pages();
        self.page_scan = PageScan::From(String::new());
        self.scan_generation += 1;
    }

    /// Takes the progress of jobs as the leader tells it.
    pub fn on_progress(&mut self, list: Vec<Progress>) {
        for progress in list {
            if !self.phase(&progress.id).is_some_and(Phase::is_final) {
                self.counts.insert(progress.id, (progress.done, progress.running));
            }
        }
        while self.counts.len() > MAX_STATUSES {
            self.counts.pop_first();
        }
    }

    /// Reads the key of a job that an agent reports and that is not known here. During the scan of
    /// pages nothing is read: it brings the open jobs, and compares find out many at a time which
    /// of them have ended. To read each job that every agent reports would take the requests of
    /// all nodes for half a minute.
    pub fn read_job(&mut self, context: &mut Context, job: &str) {
        let is_known = !self.is_ready() || self.statuses.contains_key(job);
        if !is_known && is_job_id(job) && self.reads_in_flight.insert(job.to_string()) {
            self.send_read(context, job, vec![], Micros::ZERO);
        }
    }
}
