//! The phases of jobs as far as they are known to this node.
//!
//! A final phase never changes; an open phase may be out of date until a new read confirms it.
//! Invariant: a newer version of a job's key replaces an older one, never the other way round.

use super::super::Context;
use super::{JobApi, PageScan, MAX_STATUSES};
use crate::protocol::peer::Progress;
use crate::protocol::users::{is_job_id, Phase};
use crate::time::Micros;

/// The known status of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobStatus {
    /// The version of the job's own key; 0 if no such key is known.
    pub version: u64,
    pub phase: Phase,
    /// Whether the job's own key was read, or was missing after its page had been read. A page that
    /// was found in the scan does not show whether the job has ended since.
    pub checked: bool,
    /// Whether the job is a service, which runs until it is cancelled; false if no description of
    /// the job was read.
    pub service: bool,
    /// The first of the pages known here that accept the job.
    pub first_page: Option<FirstPage>,
}

/// The first page that accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FirstPage {
    /// The revision at which the page was written.
    pub revision: u64,
    /// The index of the page's node in `JobApi::page_nodes`.
    pub node: usize,
}

impl JobApi {
    /// Stores the status of a job. If there are more than [`MAX_STATUSES`], drops those of the
    /// oldest jobs with a final phase.
    pub(super) fn insert_status(&mut self, job: String, status: JobStatus) {
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

    /// Records the version and phase of a job's own key, unless a newer version is known.
    pub fn record_phase(&mut self, job: &str, version: u64, phase: Phase) {
        let new = JobStatus {
            version,
            phase,
            checked: true,
            service: false,
            first_page: None,
        };
        match self.statuses.get_mut(job) {
            Some(status) if status.version >= version => {}
            Some(status) => {
                let first_page = status.first_page;
                *status = JobStatus { first_page, ..new };
            }
            None => self.insert_status(job.to_string(), new),
        }
        if phase == Phase::Cancelled {
            self.record_cancellation(job, version);
            self.queue_for_leader(job, version);
        }
        if phase.is_final() {
            self.counts.remove(job);
            self.group_commit.job_ended(job);
            self.dependency_graph.mark_ended(job, phase == Phase::Done);
        } else {
            self.dependency_graph.mark_open(job);
        }
    }

    /// Returns the phase of a job as it was last read; an open phase may be out of date.
    pub fn phase(&self, job: &str) -> Option<Phase> {
        self.statuses.get(job).filter(|s| s.checked).map(|s| s.phase)
    }

    /// Returns the jobs whose last read phase is open.
    pub fn open_jobs(&self) -> impl Iterator<Item = &str> {
        let is_open = |s: &JobStatus| s.checked && !s.phase.is_final();
        self.statuses
            .iter()
            .filter(move |(_, s)| is_open(s))
            .map(|(id, _)| id.as_str())
    }

    /// Drops everything that may have changed without this node's notice and starts a new scan of
    /// all pages. Final phases are kept.
    pub fn clear_open_statuses(&mut self) {
        self.statuses.retain(|_, s| s.phase.is_final());
        self.counts.clear();
        self.dependency_graph.clear();
        self.group_commit.clear_pages();
        let waiting = std::mem::take(&mut self.awaiting_job_changes);
        self.await_scan(waiting);
        for pending in self.pending.values_mut() {
            pending.changes_proof = None;
            pending.missing_dependencies.clear();
        }
        self.page_scan = PageScan::From(String::new());
        self.scan_generation += 1;
    }

    /// Stores the progress of jobs that the leader reports.
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

    /// Reads the key of an unknown job, which an agent reports or another job depends on. Nothing
    /// is read during the scan of pages: the scan finds the open jobs, and each compare then checks
    /// many of them at once. Reading each job that any agent reports would use up the request rate
    /// of all nodes for half a minute.
    pub fn read_job(&mut self, context: &mut Context, job: &str) {
        let is_known = !self.is_ready() || self.statuses.contains_key(job);
        if !is_known && is_job_id(job) && self.reads_in_flight.insert(job.to_string()) {
            self.send_read(context, job, vec![], Micros::ZERO);
        }
    }
}
