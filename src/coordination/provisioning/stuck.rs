//! Rentals for single jobs, for which the periodic decision rents nothing because it compares only
//! totals.
//!
//! - No machine can take the job (see `jobs_without_machine`).
//! - The job fits on no machine although the total number of cores is sufficient: because of rules
//!   about zones or machine types, or because the free capacity is fragmented.

use super::super::scheduling::{allowed, is_best_effort, open_zones, usage_by_team, TeamUsage};
use super::super::state::{Job, LeaderState, MachineState, Resources};
use super::super::ClusterConfig;
use super::demand::effective_cores;
use super::scale_out::Rental;
use crate::protocol::users::JobSpec;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Time for which a job with a rule about zones or machine types must have fit on no machine before
/// a machine is rented for it, in seconds.
const STUCK_AFTER_IF_CONSTRAINED_S: f64 = 2.0;
/// Time for which any other job must have fit on no machine before a machine is rented for it, in
/// seconds.
const STUCK_AFTER_S: f64 = 6.0;
/// Time for which no machine can take a job before a machine is rented for it, in seconds.
const STUCK_AFTER_IF_WITHOUT_MACHINE_S: f64 = 2.0;
/// For a job that some machine can take, another one is rented only if at least this number of
/// cores is missing.
const MIN_MISSING_CORES: f64 = 0.5;

/// A job that fits on no machine.
struct StuckJob {
    /// Whether the job is suspect (see [`Job::is_suspect`]).
    is_suspect: bool,
    acceptance_revision: u64,
    spec: JobSpec,
    /// Zones where its next task may start; `None`: any.
    open_zones: Option<Vec<String>>,
    /// Cores that its waiting tasks need, within its team's limit.
    cores: f64,
    spot_only: bool,
    /// Whether no machine can take the job.
    is_without_machine: bool,
}

impl StuckJob {
    fn allows_zone(&self, zone: &String) -> bool {
        self.open_zones.as_ref().is_none_or(|zones| zones.contains(zone))
    }

    /// Returns whether a machine is to be rented if pending machines leave these cores missing.
    fn needs_rental(&self, missing: f64) -> bool {
        if self.is_without_machine {
            missing >= self.cores
        } else {
            missing >= MIN_MISSING_CORES
        }
    }

    /// Returns the values of [`Rental::spot`] to try, the preferred one first.
    fn spot_values(&self) -> &'static [bool] {
        match (self.spec.spot, self.spot_only) {
            (true, true) => &[true],
            (true, false) => &[true, false],
            _ => &[false],
        }
    }
}

/// A booting machine, or the machines of one unanswered claim.
struct PendingCores {
    machine_type: String,
    zone: String,
    spot: bool,
    /// Cores that are not assigned to a stuck job yet.
    unassigned: f64,
}

impl LeaderState {
    /// Rents one machine for the oldest stuck job that pending machines do not cover and for which
    /// there is an offer.
    ///
    /// Only one machine is rented per decision, because waiting tasks also start as others exit.
    /// `is_total_sufficient` is whether the total number of cores is sufficient. If it is not, the
    /// periodic decision rents, and only jobs with a rule about zones or machine types and jobs that
    /// no machine can take are considered here.
    pub(super) fn rent_for_stuck_jobs(&mut self, cluster: &ClusterConfig, now: Micros, is_total_sufficient: bool) {
        let mut pending = self.pending_cores(cluster, now);
        for stuck in self.stuck_jobs(cluster, now, is_total_sufficient) {
            let missing = assign_pending(&mut pending, &stuck);
            if !stuck.needs_rental(missing) {
                continue;
            }
            for spot in stuck.spot_values() {
                let rental = Rental {
                    spot: *spot,
                    cores: stuck.spec.cpus.max(1.0),
                    job: Some(&stuck.spec),
                    zones: stuck.open_zones.as_deref(),
                };
                if self.rent_where(cluster, now, &rental) {
                    tracing::debug!(
                        job = stuck.spec.id,
                        missing_cores = missing,
                        without_machine = stuck.is_without_machine,
                        "rental for a waiting job"
                    );
                    return;
                }
            }
        }
    }

    /// Returns the machines that are booting or claimed, to be assigned to stuck jobs.
    fn pending_cores(&self, cluster: &ClusterConfig, now: Micros) -> Vec<PendingCores> {
        let mut pending = vec![];
        let booting = self.machines.values().filter(|m| m.state == MachineState::Booting);
        for machine in booting {
            if let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) {
                let profile = self.provisioning.boot_times.profile(machine);
                if profile.counted_share(now.since(machine.known_since), machine_type.boot_s) > 0.0 {
                    pending.push(PendingCores {
                        machine_type: machine.machine_type.clone(),
                        zone: machine.zone.clone(),
                        spot: machine.spot,
                        unassigned: machine_type.cpus,
                    });
                }
            }
        }
        for claim in self.provisioning.unanswered_claims() {
            if let Some(machine_type) = cluster.catalogue.get(&claim.machine_type) {
                pending.push(PendingCores {
                    machine_type: claim.machine_type.clone(),
                    zone: claim.zone.clone(),
                    spot: claim.spot,
                    unassigned: machine_type.cpus * f64::from(claim.count),
                });
            }
        }
        pending
    }

    /// Returns the stuck jobs, suspect jobs last and the oldest first.
    fn stuck_jobs(&self, cluster: &ClusterConfig, now: Micros, is_total_sufficient: bool) -> Vec<StuckJob> {
        let zones = cluster.zones();
        let usage = usage_by_team(&self.jobs);
        let mut stuck: Vec<StuckJob> = self
            .jobs
            .values()
            .filter(|job| is_stuck(job, now, is_total_sufficient))
            .filter_map(|job| self.stuck_job(cluster, job, &usage, &zones, now))
            .collect();
        stuck.sort_by_key(|s| (s.is_suspect, s.acceptance_revision));
        stuck
    }

    /// Returns what a stuck job needs, or `None` if its team's limit admits no further task, so
    /// that another machine would not help.
    fn stuck_job(
        &self,
        cluster: &ClusterConfig,
        job: &Job,
        usage: &BTreeMap<String, TeamUsage>,
        zones: &[String],
        now: Micros,
    ) -> Option<StuckJob> {
        let (cpus_limit, gpus_limit) = cluster.limits(&job.spec.team);
        let (used_cpus, used_gpus) = usage.get(&job.spec.team).map_or((0.0, 0.0), |u| (u.cpus, u.gpus));
        let left_of_limit = cpus_limit - used_cpus;
        let left = Resources {
            cpus: left_of_limit,
            gpus: gpus_limit - used_gpus,
            memory_gb: f64::INFINITY,
        };
        if !left.fits(&job.spec) {
            return None;
        }
        // A suspect job gets a machine for the one task that is tried.
        let waiting = job.claimed_tasks(now).max(1) as f64;
        Some(StuckJob {
            is_suspect: job.is_suspect(now),
            acceptance_revision: job.acceptance_revision,
            spec: job.spec.clone(),
            open_zones: open_zones(job, &self.machines, zones),
            cores: (waiting * effective_cores(&job.spec, cluster)).min(left_of_limit),
            spot_only: is_best_effort(cluster, job, now),
            is_without_machine: job.without_machine_since.is_some(),
        })
    }
}

/// Returns whether a job has fit on no machine for long enough that a machine is rented for it.
fn is_stuck(job: &Job, now: Micros, is_total_sufficient: bool) -> bool {
    let may_start = job.may_run() && !job.waiting.is_empty() && job.may_claim_machine(now);
    let is_unplaceable = !job.is_deferred(now) && is_unplaceable(job, now, is_total_sufficient);
    may_start && (is_without_machine(job, now) || is_unplaceable)
}

fn is_without_machine(job: &Job, now: Micros) -> bool {
    let stuck_after = Micros::from_secs(STUCK_AFTER_IF_WITHOUT_MACHINE_S);
    job.without_machine_since.is_some_and(|at| now.since(at) > stuck_after)
}

/// Returns whether the scheduler has found no machine for a job for long enough. If the total
/// number of cores isn't sufficient, the periodic decision rents for jobs without a rule about zones
/// or machine types.
fn is_unplaceable(job: &Job, now: Micros, is_total_sufficient: bool) -> bool {
    let spec = &job.spec;
    let is_constrained = spec.one_zone || spec.spread || spec.zone.is_some() || spec.machine_types.is_some();
    let stuck_after = Micros::from_secs(if is_constrained {
        STUCK_AFTER_IF_CONSTRAINED_S
    } else {
        STUCK_AFTER_S
    });
    job.unplaceable_since.is_some_and(|at| now.since(at) > stuck_after) && (is_constrained || is_total_sufficient)
}

/// Assigns suitable pending cores to a job, and returns the cores that are still missing.
fn assign_pending(pending: &mut [PendingCores], stuck: &StuckJob) -> f64 {
    let mut missing = stuck.cores;
    for cores in pending {
        let is_allowed = allowed(&stuck.spec, &cores.machine_type, &cores.zone, cores.spot);
        if is_allowed && stuck.allows_zone(&cores.zone) && cores.unassigned >= stuck.spec.cpus {
            let taken = missing.min(cores.unassigned);
            cores.unassigned -= taken;
            missing -= taken;
        }
    }
    missing
}
