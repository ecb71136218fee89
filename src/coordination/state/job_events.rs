//! Submissions and cancellations of jobs, as read from the state service.
//!
//! Called by the watch on the jobs' keys, by the log reader, by the acceptance audit and by the
//! cancellation attestations. Processing is idempotent: a job that the leader already has is
//! ignored, so that several of these sources may report the same change.

use super::{Job, LeaderState};
use crate::coordination::log::queues::UndescribedJob;
use crate::protocol::store::WatchEvent;
use crate::protocol::users::{JobSpec, Phase};
use crate::storage::keys;
use crate::storage::records::{from_record, from_value, AcceptancePage, JobValue};
use crate::time::Micros;

/// A change of a job that was received before the write-ahead log was read.
pub struct EarlyJobEvent {
    /// The job's id.
    pub id: String,
    /// The revision of the change.
    pub version: u64,
    /// The version of the job's own key; 0 if the job was accepted in an acceptance page.
    pub key_version: u64,
    /// The job's phase and description in the state service.
    pub value: JobValue,
}

impl LeaderState {
    /// Applies changes of jobs from the state service, in the order in which they were made.
    pub fn on_job_events(&mut self, events: Vec<WatchEvent>, now: Micros) {
        for event in events {
            let WatchEvent::Put { key, value, version } = event else {
                continue;
            };
            if keys::parse_acceptance_page(&key).is_some() {
                for spec in from_value::<AcceptancePage>(&value).unwrap_or_default().jobs {
                    let id = spec.id.clone();
                    let phase = Phase::Pending;
                    let spec = Some(spec);
                    self.on_job_event(&id, version, 0, JobValue { phase, spec }, now);
                }
            } else if let Some(id) = key.strip_prefix(keys::JOBS) {
                if let Some(job) = from_value::<JobValue>(&value) {
                    self.on_job_event(id, version, version, job, now);
                }
            }
        }
    }

    /// Applies a change of one job, made at revision `version`, or stores it if the write-ahead log
    /// has not been read yet. `key_version` is the version of the job's own key; 0 if the job was
    /// accepted in an acceptance page.
    pub fn on_job_event(&mut self, id: &str, version: u64, key_version: u64, value: JobValue, now: Micros) {
        if !self.is_loaded() {
            let id = id.to_string();
            self.early_events.push(EarlyJobEvent {
                id,
                version,
                key_version,
                value,
            });
            return;
        }
        match (value.phase, value.spec) {
            (Phase::Cancelled, _) => {
                self.cancel(id, now);
                if let Some(job) = self.jobs.get_mut(id) {
                    // 0 means that the version is not known.
                    job.cancel_version = Some(version).filter(|version| *version > 0);
                }
            }
            (Phase::Pending | Phase::Running, Some(spec)) => self.on_job_arrival(id, version, key_version, spec, now),
            _ => {}
        }
    }

    /// Adds an open job, unless the leader already has it or it has ended. A job with dependencies
    /// is blocked until these are done.
    fn on_job_arrival(&mut self, id: &str, version: u64, key_version: u64, spec: JobSpec, now: Micros) {
        if self.jobs.contains_key(id) || self.log_writer.is_closed(id) {
            return;
        }
        let (spec, submitted_ms) = match from_record(spec.clone()) {
            Some((spec, submitted_ms)) if spec.dependencies.is_empty() => (spec, submitted_ms),
            found => return self.block_until_dependencies_done(found.unwrap_or((spec, 0)), version, now),
        };
        tracing::debug!(job = id, class = spec.class, tasks = spec.tasks, "job arrived");
        self.last_acceptance_revision = self.last_acceptance_revision.max(version);
        let mut job = Job::new(id, spec, version, key_version, now);
        job.submitted_at = self.submission_time(submitted_ms, now);
        self.log_writer
            .undescribed
            .insert(UndescribedJob::new(version, job.id.clone()));
        self.jobs.insert(job.id.clone(), job);
        self.needs_scheduling = true;
    }
}
