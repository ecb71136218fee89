//! Jobs that fit on no machine although there are cores enough in all: zones, machine types or
//! scattered free capacity keep them waiting, and the regular decision does not see it.

use super::super::scheduling::{allowed, is_best_effort, open_zones, team_use, TeamUsage};
use super::super::state::{Job, LeaderState, MachineState};
use super::super::ClusterConfig;
use super::demand::effective_cores;
use super::scale_out::Rental;
use crate::protocol::users::JobSpec;
use crate::time::Micros;
use std::collections::BTreeMap;

/// How long a job with a rule about zones or machine types is stuck before machines are rented.
const STUCK_AFTER_IF_CONSTRAINED_S: f64 = 2.0;
/// The same for other jobs.
const STUCK_AFTER_S: f64 = 6.0;
/// Missing cores from which on a machine is rented.
const MIN_MISSING_CORES: f64 = 0.5;

/// A job that fits on no machine.
struct StuckJob {
    acceptance_revision: u64,
    spec: JobSpec,
    /// Zones where its next task may start; `None`: any.
    open_zones: Option<Vec<String>>,
    /// Cores that its waiting tasks need, as far as its team's limit admits them.
    cores: f64,
    spot_only: bool,
}

impl StuckJob {
    fn allows_zone(&self, zone: &String) -> bool {
        self.open_zones.as_ref().is_none_or(|zones| zones.contains(zone))
    }

    /// The sorts of rental to try, the preferred one first.
    fn rentals(&self) -> &'static [bool] {
        match (self.spec.spot, self.spot_only) {
            (true, true) => &[true],
            (true, false) => &[true, false],
            _ => &[false],
        }
    }
}

/// Machines of one sort that are booting or claimed.
struct PendingCores {
    machine_type: String,
    zone: String,
    spot: bool,
    /// Cores that no stuck job has been given yet.
    unassigned: f64,
}

impl LeaderState {
    /// Rents one machine for a stuck job for which nothing is on its way. One at a time: what waits
    /// moves on as others exit. `is_total_sufficient`: whether there are cores enough in all; if not,
    /// the regular decision rents, except for jobs with a rule about zones or machine types.
    pub(super) fn rent_for_stuck_jobs(&mut self, cluster: &ClusterConfig, now: Micros, is_total_sufficient: bool) {
        let mut pending = self.pending_cores(cluster, now);
        for stuck in self.stuck_jobs(cluster, now, is_total_sufficient) {
            if assign_pending(&mut pending, &stuck) < MIN_MISSING_CORES {
                continue;
            }
            for spot in stuck.rentals() {
                let rental = Rental {
                    spot: *spot,
                    cores: stuck.spec.cpus.max(1.0),
                    job: Some(&stuck.spec),
                    zones: stuck.open_zones.as_deref(),
                };
                if self.rent_where(cluster, now, &rental) {
                    return;
                }
            }
        }
    }

    /// What is on its way, to be shared among those who wait.
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

    /// The jobs that are stuck, the oldest first.
    fn stuck_jobs(&self, cluster: &ClusterConfig, now: Micros, is_total_sufficient: bool) -> Vec<StuckJob> {
        let mut zones: Vec<String> = cluster.catalogue.values().flat_map(|t| t.zones.clone()).collect();
        zones.sort();
        zones.dedup();
        let usage = team_use(&self.jobs);
        let mut stuck: Vec<StuckJob> = self
            .jobs
            .values()
            .filter(|job| is_stuck(job, now, is_total_sufficient))
            .filter_map(|job| self.stuck_job(cluster, job, &usage, &zones, now))
            .collect();
        stuck.sort_by_key(|s| s.acceptance_revision);
        stuck
    }

    /// What a stuck job needs; `None` if its team's limit stops it: no machine helps then.
    fn stuck_job(
        &self,
        cluster: &ClusterConfig,
        job: &Job,
        usage: &BTreeMap<String, TeamUsage>,
        zones: &[String],
        now: Micros,
    ) -> Option<StuckJob> {
        let used = usage.get(&job.spec.team).map_or(0.0, |usage| usage.cpus);
        let left_of_limit = cluster.limits(&job.spec.team).0 - used;
        if left_of_limit < job.spec.cpus {
            return None;
        }
        let waiting = job.waiting.len() as f64;
        Some(StuckJob {
            acceptance_revision: job.acceptance_revision,
            spec: job.spec.clone(),
            open_zones: open_zones(job, &self.machines, zones),
            cores: (waiting * effective_cores(&job.spec, cluster)).min(left_of_limit),
            spot_only: is_best_effort(cluster, job, now),
        })
    }
}

/// Whether a job has fit on no machine for so long that machines are rented for it.
fn is_stuck(job: &Job, now: Micros, is_total_sufficient: bool) -> bool {
    let spec = &job.spec;
    let is_constrained = spec.one_zone || spec.spread || spec.zone.is_some() || spec.types.is_some();
    let stuck_after = Micros::from_secs(if is_constrained {
        STUCK_AFTER_IF_CONSTRAINED_S
    } else {
        STUCK_AFTER_S
    });
    job.unplaceable_since.is_some_and(|at| now.since(at) > stuck_after)
        && (is_constrained || is_total_sufficient)
        && job.may_run()
        && !job.waiting.is_empty()
        && !job.is_suspect(now)
}

/// Gives a job what is on its way and suits it, and returns the cores that it still misses.
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
