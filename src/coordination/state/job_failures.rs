//! The failures of one job's tasks, and what other work on a machine proves about them.
//!
//! A task fails because its machine is faulty, or because its job was submitted with a mistake and
//! fails everywhere. Work of other jobs that succeeds on the machine after the failure proves the
//! machine sound; for the first few tries, so does work that succeeded before. A suspect job isn't
//! tried again on a machine without such a proof.

use super::job::SUSPECT_JOB_MIN_MACHINES;
use super::{Job, LeaderState, Machine, MachineId, Placement, PlacementPhase};
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The time for which a task must run before its machine, or its service, counts as working.
pub(super) const STABLE_RUN_TIME: Micros = Micros::from_millis(20_000);
/// The number of failed tries on a machine from which tasks that completed or were running before
/// the last failure no longer prove the machine sound: it may fail new tasks only. The number
/// doubles with each further machine on which the job fails.
const TRIES_BESIDE_OLDER_WORK: u32 = 3;
/// The most doublings of [`TRIES_BESIDE_OLDER_WORK`].
const MAX_TRIES_DOUBLINGS: u32 = 6;
/// The time after which a job that isn't suspect may try a machine again without a proof.
const FAILURE_EXPIRY: Micros = Micros::from_millis(60_000);

/// The shortest time between two tries of a suspect job on machines that are there already.
const MIN_BACKOFF: Micros = Micros::from_millis(2_000);
/// The most doublings of [`MIN_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The time for which no machine is rented for a suspect job after its first counted try.
const MIN_RENTAL_BACKOFF: Micros = Micros::from_millis(2_000);
/// The most doublings of [`MIN_RENTAL_BACKOFF`].
const MAX_RENTAL_BACKOFF_DOUBLINGS: u32 = 4;

/// Failures of a job's tasks on one machine.
#[derive(Clone, Copy, Debug)]
struct MachineFailures {
    /// Number of counted tries (see [`JobFailures::tries`]), and one for a first failure.
    tries: u32,
    /// When the last failure was reported.
    last_at: Micros,
}

/// The failures of a job's tasks since the job last succeeded.
#[derive(Clone, Debug, Default)]
pub struct JobFailures {
    /// The failures on machines that are still rented.
    by_machine: BTreeMap<MachineId, MachineFailures>,
    /// The number of machines with failures, including those that have been returned.
    machines: usize,
    /// The number of failed tasks.
    tasks: u32,
    /// The number of counted tries: failures of tasks that were placed after the rental backoff of
    /// the try that was counted before. Neither the tasks of an array that fail together nor frequent
    /// tries on machines that other work keeps make the pauses between rentals grow faster.
    tries: u32,
    /// When the last try was counted.
    counted_at: Micros,
}

impl JobFailures {
    /// Records the failure at `now` of a task that was placed on the machine at `placed_at`.
    pub fn record(&mut self, machine: &MachineId, placed_at: Micros, now: Micros) {
        self.tasks = self.tasks.saturating_add(1);
        let is_counted = self.tries == 0 || placed_at >= self.rental_backoff_until();
        if is_counted {
            self.tries += 1;
            self.counted_at = now;
        }
        match self.by_machine.get_mut(machine) {
            Some(failures) => {
                failures.tries += u32::from(is_counted);
                failures.last_at = now;
            }
            None => {
                let first = MachineFailures { tries: 1, last_at: now };
                self.by_machine.insert(machine.clone(), first);
                self.machines += 1;
            }
        }
    }

    /// Forgets all failures.
    pub fn clear(&mut self) {
        *self = JobFailures::default();
    }

    /// Drops the names of machines that are no longer rented; they still count as machines with
    /// failures.
    pub fn drop_returned(&mut self, machines: &BTreeMap<MachineId, Machine>) {
        self.by_machine.retain(|name, _| machines.contains_key(name));
    }

    /// Returns the number of machines with failures, including those that have been returned.
    pub fn machines(&self) -> usize {
        self.machines
    }

    /// Returns how long a suspect job of this number of tasks is not tried again after a failure:
    /// exponential backoff, by the machines with failures and the failures for each task.
    pub fn backoff(&self, job_tasks: u32) -> Micros {
        let doublings = self.machines_beyond_suspicion() + self.tasks / job_tasks.max(1);
        Micros(MIN_BACKOFF.0 << doublings.min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Returns until when no machine is rented for the job if it is suspect: exponential backoff, by
    /// the counted tries.
    pub fn rental_backoff_until(&self) -> Micros {
        let doublings = self.tries.saturating_sub(1).min(MAX_RENTAL_BACKOFF_DOUBLINGS);
        self.counted_at + Micros(MIN_RENTAL_BACKOFF.0 << doublings)
    }

    /// Returns the number of machines with failures beyond those that make the job suspect.
    fn machines_beyond_suspicion(&self) -> u32 {
        self.machines.saturating_sub(SUSPECT_JOB_MIN_MACHINES) as u32
    }

    /// Returns the number of failed tries on a machine from which older work there proves nothing.
    fn tries_beside_older_work(&self) -> u32 {
        TRIES_BESIDE_OLDER_WORK << self.machines_beyond_suspicion().min(MAX_TRIES_DOUBLINGS)
    }

    /// Returns the machines with failures that are still rented.
    pub fn rented_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.by_machine.keys()
    }
}

/// What is known about a machine on which a job's tasks have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MachineVerdict {
    /// Other work has succeeded there since.
    Sound,
    /// Other work is there, and has not run for long enough since to prove anything.
    Undecided,
    /// Nothing proves the machine sound.
    Unproven,
}

/// Which of the machines on which a job has failed are to be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidedMachines {
    /// Those that are not proven sound: the job isn't started there now.
    NotProvenSound,
    /// Those that won't be proven sound soon either: another machine is needed for the job.
    NoProofExpected,
}

impl LeaderState {
    /// Returns the machines on which the job has failed and is not to be tried again.
    pub fn machines_to_avoid(&self, job: &Job, which: AvoidedMachines, now: Micros) -> BTreeSet<MachineId> {
        let is_suspect = job.is_suspect(now);
        let is_avoided = |name: &MachineId, failures: &MachineFailures| {
            if !is_suspect {
                return now.since(failures.last_at) < FAILURE_EXPIRY;
            }
            match self.verdict(job, name, failures, now) {
                MachineVerdict::Sound => false,
                MachineVerdict::Undecided => which == AvoidedMachines::NotProvenSound,
                MachineVerdict::Unproven => true,
            }
        };
        let failed = job.failures.by_machine.iter();
        failed
            .filter(|(name, failures)| is_avoided(name, failures))
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn verdict(&self, job: &Job, name: &MachineId, failures: &MachineFailures, now: Micros) -> MachineVerdict {
        let Some(machine) = self.machines.get(name) else {
            return MachineVerdict::Unproven;
        };
        // A completion of a task of this job would have cleared its failures.
        let has_completed_since = machine.last_completion.is_some_and(|at| at > failures.last_at);
        let trusts_older_work = failures.tries < job.failures.tries_beside_older_work();
        let others: Vec<&Placement> = self.placements_of_other_jobs(machine, job).collect();
        let runs_stably = others
            .iter()
            .any(|placement| is_proof(placement, failures.last_at, trusts_older_work, now));
        if has_completed_since || runs_stably || (trusts_older_work && machine.last_completion.is_some()) {
            MachineVerdict::Sound
        } else if !others.is_empty() && now.since(failures.last_at) <= STABLE_RUN_TIME {
            MachineVerdict::Undecided
        } else {
            MachineVerdict::Unproven
        }
    }

    fn placements_of_other_jobs<'a>(
        &'a self,
        machine: &'a Machine,
        job: &'a Job,
    ) -> impl Iterator<Item = &'a Placement> {
        let tasks = machine.tasks.iter().filter(|(id, _)| *id != job.id);
        tasks
            .filter_map(|(id, task)| self.jobs.get(id)?.placements.get(task))
            .filter(|placement| placement.uses_resources())
    }
}

/// Returns whether a running task of another job proves its machine sound after a failure at
/// `failed_at`.
fn is_proof(placement: &Placement, failed_at: Micros, trusts_older_work: bool, now: Micros) -> bool {
    let is_running = matches!(placement.phase, PlacementPhase::Seen(TaskPhase::Running));
    placement.running_since.is_some_and(|since| {
        let counts = trusts_older_work || since > failed_at;
        is_running && counts && now.since(since.max(failed_at)) > STABLE_RUN_TIME
    })
}
