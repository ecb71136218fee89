//! How many cores the jobs of the cluster ask for, and how many the machines supply.
//!
//! Read by the decisions about scale-out and scale-in; changes nothing. All amounts are effective
//! cores: a task that takes more memory than its share of a machine counts for more cores.

use super::super::objectives::NO_HURRY_S;
use super::super::scheduling::{is_best_effort, latest_start};
use super::super::state::{Job, LeaderState, Machine, MachineState, PlacementPhase};
use super::super::ClusterConfig;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_zone_health::Evacuation;
use std::collections::BTreeMap;

/// A backlog that may use spot machines gets on-demand ones in any case for this part of it:
/// a backlog that is smaller in relation to the capacity is served as tasks end.
const BACKLOG_FACTOR: f64 = 2.5;
/// Share of the capacity that tasks give back during a boot which what waits now gets; what comes
/// meanwhile takes the rest.
const FREED_SHARE: f64 = 0.7;
/// Boots are expected to take this many times their nominal time.
const BOOT_FACTOR: f64 = 1.1;
/// The longest that an image is expected to be fetched, in seconds.
const MAX_FETCH_S: f64 = 60.0;
/// How wrong run time estimates often are.
const ESTIMATE_MARGIN: f64 = 1.5;

/// Cores by sort of rental: of work that needs on-demand machines and of work that may use spot
/// machines, or of on-demand machines and of spot machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct CoresByCapacityType {
    pub(super) on_demand: f64,
    pub(super) spot: f64,
}

impl CoresByCapacityType {
    /// Cores of both sorts.
    pub(super) fn total(&self) -> f64 {
        self.on_demand + self.spot
    }

    pub(super) fn of_mut(&mut self, spot: bool) -> &mut f64 {
        if spot {
            &mut self.spot
        } else {
            &mut self.on_demand
        }
    }
}

/// What one team holds and waits for.
#[derive(Default)]
struct TeamDemand {
    held: CoresByCapacityType,
    waiting: CoresByCapacityType,
}

/// What the backlog of work that may use spot machines and has time adds up to, in cores.
#[derive(Default)]
struct Backlog {
    /// Held by the backlog's jobs.
    held: f64,
    /// Waiting, and still in time if it starts on a machine that has yet to boot.
    in_time: f64,
    /// Freed while a machine boots.
    freed: f64,
    /// Held and waiting with low priority.
    low_priority: f64,
    /// Held and waiting in all.
    total: f64,
    /// Held and waiting of other work, which must not wait.
    latency_sensitive: f64,
}

impl Backlog {
    /// Cores that the backlog needs.
    fn needed_cores(&self) -> f64 {
        let minimum = (self.total - self.low_priority).max(0.0) / BACKLOG_FACTOR;
        if self.in_time > self.freed {
            minimum.max((self.held + self.in_time - self.freed).min(self.total))
        } else {
            minimum
        }
    }
}

impl LeaderState {
    /// Cores that work holds and waits for, as far as the teams' limits let it run.
    pub(super) fn demand(&self, cluster: &ClusterConfig, now: Micros) -> CoresByCapacityType {
        let mut by_team: BTreeMap<&str, TeamDemand> = BTreeMap::new();
        for job in self.jobs.values() {
            let cores = effective_cores(&job.spec, cluster);
            let waiting = waiting_demand(cluster, job, now);
            let team = by_team.entry(&job.spec.team).or_default();
            *team.held.of_mut(job.spec.spot) += f64::from(job.held_tasks) * cores;
            *team.waiting.of_mut(job.spec.spot) += waiting * cores;
        }
        let mut demand = CoresByCapacityType::default();
        for (team, TeamDemand { held, waiting }) in by_team {
            let left_of_limit = (cluster.limits(team).0 - held.on_demand - held.spot).max(0.0);
            let waiting_on_demand = waiting.on_demand.min(left_of_limit);
            demand.on_demand += held.on_demand + waiting_on_demand;
            demand.spot += held.spot + waiting.spot.min(left_of_limit - waiting_on_demand);
        }
        demand
    }

    /// Cores that machines give new work, with those that are booting or asked for.
    /// `had_agent_contact`: whether agents have had time to send this leader a heartbeat; before, all
    /// machines look as if they were booting.
    pub(super) fn supplied_cores(
        &self,
        cluster: &ClusterConfig,
        had_agent_contact: bool,
        now: Micros,
    ) -> CoresByCapacityType {
        let mut supply = CoresByCapacityType::default();
        for machine in self.machines.values() {
            let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) else {
                continue;
            };
            let counted = if machine.state == MachineState::Booting && had_agent_contact {
                let age = now.since(machine.known_since);
                let profile = self.provisioning.boot_times.profile(machine);
                profile.counted_share(age, machine_type.boot_s)
            } else {
                1.0
            };
            if self.is_usable(cluster, machine, now) {
                *supply.of_mut(machine.spot) += machine_type.cpus * counted;
            }
        }
        let claims = self.provisioning.unanswered_claims();
        for claim in claims.filter(|c| !self.failures.zones.is_cut(&c.zone)) {
            if let Some(machine_type) = cluster.catalogue.get(&claim.machine_type) {
                *supply.of_mut(claim.spot) += machine_type.cpus * f64::from(claim.count);
            }
        }
        supply
    }

    /// Whether a machine is, or will be, of use to new work.
    fn is_usable(&self, cluster: &ClusterConfig, machine: &Machine, now: Micros) -> bool {
        // Only another controller still has contact with it: it runs on, but takes no new work.
        let is_proxied_only = machine.last_proxied_at > machine.last_heartbeat
            && now.since(machine.last_heartbeat) > Self::work_silence(cluster);
        machine.state != MachineState::Releasing
            && machine.interruption_at.is_none()
            && now >= machine.quarantined_until
            && now >= machine.slow_until
            && !machine.is_asymmetrically_partitioned()
            && !is_proxied_only
            && !self.failures.zones.is_cut(&machine.zone)
    }

    /// Cores missing for work that has time and may use spot machines, when none of those is to be
    /// had: for what waits and can still be done in time on a machine that has yet to boot, and for
    /// a part of all else, so that a backlog does not grow without end. Negative if there are more
    /// than enough. `available_cores`: cores that there are for all work that may use spot machines.
    pub(super) fn backlog_shortfall(&self, cluster: &ClusterConfig, available_cores: f64, now: Micros) -> f64 {
        let boot_times_s: Vec<f64> = cluster.catalogue.values().map(|t| t.boot_s).collect();
        let mean_boot_s = boot_times_s.iter().sum::<f64>() / boot_times_s.len().max(1) as f64;
        let mut backlog = Backlog::default();
        let mut latency_sensitive: BTreeMap<&str, bool> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.spot) {
            let class = job.spec.class.as_str();
            let is_class_sensitive = *latency_sensitive
                .entry(class)
                .or_insert_with(|| self.is_latency_sensitive(cluster, class, now));
            if is_class_sensitive {
                let cores = effective_cores(&job.spec, cluster);
                let held = f64::from(job.held_tasks) * cores;
                backlog.latency_sensitive += held + waiting_demand(cluster, job, now) * cores;
            } else {
                add_to_backlog(&mut backlog, cluster, job, mean_boot_s, now);
            }
        }
        backlog.needed_cores() - (available_cores - backlog.latency_sensitive).max(0.0)
    }

    /// Cores held in zones that are cut off by work that is not to be moved yet.
    pub(super) fn cores_staying_in_cut_zones(&self, cluster: &ClusterConfig, now: Micros) -> CoresByCapacityType {
        let evacuations: BTreeMap<&str, Evacuation> = self
            .machines
            .values()
            .filter(|m| self.failures.zones.is_cut(&m.zone))
            .map(|m| (&*m.zone, self.evacuation(cluster, &m.zone, now)))
            .collect();
        let mut staying = CoresByCapacityType::default();
        for machine in self.machines.values() {
            let Some(evacuation) = evacuations.get(&*machine.zone) else {
                continue;
            };
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else { continue };
                let holds = job
                    .placements
                    .get(task)
                    .is_some_and(|p| !matches!(p.phase, PlacementPhase::Exited(_)));
                let stays = match evacuation {
                    Evacuation::Nothing => true,
                    Evacuation::Services => job.spec.spot,
                    Evacuation::All => false,
                };
                if holds && stays {
                    *staying.of_mut(job.spec.spot) += effective_cores(&job.spec, cluster);
                }
            }
        }
        staying
    }
}

/// Adds a job that has time to the backlog.
fn add_to_backlog(backlog: &mut Backlog, cluster: &ClusterConfig, job: &Job, mean_boot_s: f64, now: Micros) {
    let cores = effective_cores(&job.spec, cluster);
    let held = f64::from(job.held_tasks) * cores;
    backlog.total += held + waiting_demand(cluster, job, now) * cores;
    backlog.held += held;
    backlog.freed += held * (mean_boot_s / job.spec.estimate_s.max(1.0)).min(1.0) * FREED_SHARE;
    let fetch_s = cluster
        .catalogue
        .values()
        .map(|t| job.spec.image_gb / t.fetch_gb_per_s.max(0.01))
        .fold(f64::INFINITY, f64::min);
    let ready_at = now + Micros::from_secs(mean_boot_s * BOOT_FACTOR + fetch_s.min(MAX_FETCH_S));
    let is_in_time = latest_start(cluster, job).is_none_or(|at| ready_at <= at);
    // Best-effort work waits for spot machines.
    if job.may_run() && is_in_time && !is_best_effort(cluster, job, now) {
        backlog.in_time += task_demand(cluster, job, now) * cores;
    }
    if job.priority == Priority::Low {
        backlog.low_priority += held + task_demand(cluster, job, now) * cores;
    }
}

/// For how many of a job's waiting tasks machines are worth renting; none if it may not run.
fn waiting_demand(cluster: &ClusterConfig, job: &Job, now: Micros) -> f64 {
    if job.may_run() {
        task_demand(cluster, job, now)
    } else {
        0.0
    }
}

/// For how many of a job's waiting tasks machines would be worth renting if it may run. A job that
/// fails everywhere gets none. Low-priority work runs when others leave capacity: tasks that can
/// follow each other on the same cores in time need no cores of their own.
fn task_demand(cluster: &ClusterConfig, job: &Job, now: Micros) -> f64 {
    if job.is_suspect(now) {
        return 0.0;
    }
    let waiting = job.waiting.len() as f64;
    if job.priority != Priority::Low || job.is_service() {
        return waiting;
    }
    let available_s = match latest_start(cluster, job) {
        Some(at) => at.since(now).secs() + job.spec.estimate_s,
        None => NO_HURRY_S,
    };
    let rounds = (available_s / (job.spec.estimate_s * ESTIMATE_MARGIN + 1.0))
        .floor()
        .max(1.0);
    (waiting / rounds).ceil()
}

/// Cores that one task takes off a machine, memory beyond its share of the cores counted as cores.
pub fn effective_cores(spec: &JobSpec, cluster: &ClusterConfig) -> f64 {
    cluster
        .catalogue
        .values()
        .filter(|t| t.cpus >= spec.cpus && t.memory >= spec.memory && t.gpus >= spec.gpus)
        .map(|t| {
            let by_memory = if t.memory > 0.0 {
                spec.memory / t.memory * t.cpus
            } else {
                0.0
            };
            spec.cpus.max(by_memory)
        })
        .fold(f64::INFINITY, f64::min)
        .min(1e6)
}
