//! Applies the failures of tasks that heartbeats report.
//!
//! A failure counts against the machine, which is quarantined after enough of them, until the job
//! itself is suspect (see [`Job::is_suspect`](crate::coordination::state::Job::is_suspect)).

use crate::coordination::state::{LeaderState, MachineId};
use crate::coordination::{timing, JobId};
use crate::time::Micros;

/// The number of failures of one job's tasks from which their machine is quarantined, if other
/// tasks of the job have completed.
const MIN_FAILURES_OF_JOB: u32 = 2;
/// The number of jobs with failed tasks on a machine from which the machine is quarantined in any
/// case.
const MIN_FAILED_JOBS: usize = 3;

impl LeaderState {
    /// Applies the failure of a task, which counts against the machine unless the job is suspect.
    pub(super) fn apply_failure(&mut self, name: &MachineId, id: &JobId, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let placed_at = job.placements.get(&task).map_or(now, |p| p.placed_at);
        job.failures.record(name, placed_at, now);
        job.failures.drop_returned(&self.machines);
        job.consecutive_failures += 1;
        let is_suspect = job.is_suspect(now);
        tracing::debug!(
            job = %id,
            task,
            machine = %name,
            failed_machines = job.failures.machines(),
            suspect = is_suspect,
            "task failed"
        );
        if !is_suspect {
            return self.count_failure(name, id, now);
        }
        job.backoff_until = now + job.failures.backoff(job.spec.tasks);
        let machines: Vec<MachineId> = job.failures.rented_machines().cloned().collect();
        for machine in machines {
            self.clear_failures(&machine, id);
        }
    }

    /// Counts the failure of a task of this job against the machine, and quarantines the machine
    /// after enough failures.
    ///
    /// Failures of one job alone lead to a quarantine only if tasks of the job have completed: a
    /// job that was submitted with a mistake fails on good machines too.
    fn count_failure(&mut self, name: &MachineId, id: &JobId, now: Micros) {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        *machine.task_failures.entry(id.clone()).or_default() += 1;
        machine.task_failures.retain(|job, _| jobs.contains_key(job));
        let has_completed_tasks = |job: &JobId| jobs.get(job).is_some_and(|j| j.finished_tasks > 0);
        let mut failures = machine.task_failures.iter();
        let fails_working_job = failures.any(|(job, count)| *count >= MIN_FAILURES_OF_JOB && has_completed_tasks(job));
        if fails_working_job || machine.task_failures.len() >= MIN_FAILED_JOBS {
            if machine.quarantined_since.is_none() {
                tracing::info!(machine = %name, jobs = machine.task_failures.len(), "machine quarantined because tasks fail on it");
            }
            machine.quarantined_since.get_or_insert(now);
            machine.quarantined_until = now + timing::QUARANTINE;
        }
    }

    /// Removes the failures of a job that has failed on several machines and never succeeded from
    /// those of a machine, and ends the machine's quarantine if too few failures remain.
    fn clear_failures(&mut self, name: &MachineId, id: &JobId) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let ends_quarantine =
            machine.task_failures.remove(id).is_some() && machine.task_failures.len() < MIN_FAILED_JOBS;
        if ends_quarantine && machine.quarantined_since.take().is_some() {
            tracing::info!(machine = %name, job = %id, "quarantine of the machine ended: the job has failed on several machines and never succeeded");
            machine.quarantined_until = Micros::ZERO;
            self.needs_scheduling = true;
        }
    }
}
