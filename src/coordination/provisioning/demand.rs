//! Demand of the cluster's jobs and supply of its machines, in cores.
//!
//! The decisions about scale-out and scale-in read these amounts; this module changes no state. All
//! amounts are effective cores: a task that takes more memory than its share of a machine counts
//! for more cores.

use super::super::objectives::DEFAULT_DUE_S;
use super::super::scheduling::{is_best_effort, latest_start};
use super::super::state::{Job, LeaderState, Machine, MachineState, PlacementPhase};
use super::super::ClusterConfig;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_zone_health::Evacuation;
use std::collections::BTreeMap;

/// A backlog that may use spot machines needs at least its cores, without those of low-priority
/// work, divided by this factor: a backlog that is smaller in relation to the capacity is served as
/// tasks end.
const BACKLOG_FACTOR: f64 = 2.5;
/// Share of the capacity freed during a boot that goes to tasks waiting now; tasks that arrive in
/// the meantime take the rest.
const FREED_SHARE: f64 = 0.7;
/// Expected boot time in multiples of the nominal boot time.
const ASSUMED_BOOT_TIME_FACTOR: f64 = 1.1;
/// Upper limit of the expected time to fetch an image, in seconds.
const MAX_COUNTED_FETCH_S: f64 = 60.0;
/// Factor by which tasks often run longer than estimated.
const ESTIMATE_MARGIN: f64 = 1.5;

/// Cores by capacity type. As demand: of work that needs on-demand machines, and of work that may
/// use spot machines. As supply: of on-demand machines, and of spot machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct CoresByCapacityType {
    pub(super) on_demand: f64,
    pub(super) spot: f64,
}

impl CoresByCapacityType {
    /// Returns the cores of both capacity types.
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

/// Cores that one team's tasks hold, and cores that they wait for.
#[derive(Default)]
struct TeamDemand {
    /// All cores that are held, which count towards the team's limit.
    held_cores: f64,
    /// The held cores that count as demand.
    held: CoresByCapacityType,
    waiting: CoresByCapacityType,
}

/// Totals, in cores, of the backlog of work that may use spot machines and whose class is not
/// latency-sensitive.
#[derive(Default)]
struct Backlog {
    /// Held by the backlog's jobs.
    held: f64,
    /// Waiting, and still in time when started on a machine that is rented now.
    in_time: f64,
    /// Expected to be freed while a machine boots.
    freed: f64,
    /// Held and waiting with low priority.
    low_priority: f64,
    /// Held and waiting in all.
    total: f64,
    /// Held and waiting of latency-sensitive work, which is not part of the backlog.
    latency_sensitive: f64,
}

impl Backlog {
    /// Returns the cores that the backlog needs.
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
    /// Returns the cores that tasks hold and wait for, within the limits of their teams.
    pub(super) fn demand(&self, cluster: &ClusterConfig, now: Micros) -> CoresByCapacityType {
        let mut by_team: BTreeMap<&str, TeamDemand> = BTreeMap::new();
        for job in self.jobs.values() {
            let cores = effective_cores(&job.spec, cluster);
            let waiting = waiting_demand(cluster, job, now);
            let team = by_team.entry(&job.spec.team).or_default();
            team.held_cores += f64::from(job.held_tasks) * cores;
            let held = self.held_demand(job, now);
            team.held.on_demand += held.on_demand * cores;
            team.held.spot += held.spot * cores;
            *team.waiting.of_mut(job.spec.spot) += waiting * cores;
        }
        let mut demand = CoresByCapacityType::default();
        for (team, team_demand) in by_team {
            let TeamDemand {
                held_cores,
                held,
                waiting,
            } = team_demand;
            let left_of_limit = (cluster.limits(team).0 - held_cores).max(0.0);
            let waiting_on_demand = waiting.on_demand.min(left_of_limit);
            demand.on_demand += held.on_demand + waiting_on_demand;
            demand.spot += held.spot + waiting.spot.min(left_of_limit - waiting_on_demand);
        }
        demand
    }

    /// Returns the number of tasks that a job holds and that count as demand, by the capacity type
    /// that they need.
    ///
    /// The task with which a suspect job is tried doesn't count: it uses what other work leaves, or a
    /// machine rented for it alone.
    fn held_demand(&self, job: &Job, now: Micros) -> CoresByCapacityType {
        let mut held = CoresByCapacityType::default();
        let uncounted = u32::from(job.is_suspect(now));
        if job.spec.spot && job.is_service() {
            for placement in job.active_placements().skip(uncounted as usize) {
                let machine = self.machines.get(&placement.machine);
                *held.of_mut(machine.is_none_or(|m| needs_spot(job, m))) += 1.0;
            }
        } else {
            *held.of_mut(job.spec.spot) = f64::from(job.held_tasks.saturating_sub(uncounted));
        }
        held
    }

    /// Returns the cores of machines that can take new work, including machines that are booting
    /// or claimed. `had_agent_contact` is whether agents have had time to send this leader a
    /// heartbeat; until then, all machines appear to be booting.
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
            if self.is_usable(cluster, machine, now) {
                let counted = self.counted_share(machine, machine_type, had_agent_contact, now);
                *supply.of_mut(machine.spot) += machine_type.cpus * counted;
            }
        }
        let claims = self.provisioning.unanswered_claims();
        for claim in claims.filter(|c| !self.failures.zones.is_cut_off(&c.zone)) {
            if let Some(machine_type) = cluster.catalogue.get(&claim.machine_type) {
                *supply.of_mut(claim.spot) += machine_type.cpus * f64::from(claim.count);
            }
        }
        supply
    }

    /// Returns the share of a machine, 0 to 1, that counts as supply: all of it unless its boot is
    /// late. `had_agent_contact` is as for [`LeaderState::supplied_cores`].
    pub(super) fn counted_share(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        had_agent_contact: bool,
        now: Micros,
    ) -> f64 {
        if machine.state != MachineState::Booting || !had_agent_contact {
            return 1.0;
        }
        let profile = self.provisioning.boot_times.profile(machine);
        profile.counted_share(now.since(machine.known_since), machine_type.boot_s)
    }

    /// Returns whether a machine can take new work now or when it has booted.
    pub(super) fn is_usable(&self, cluster: &ClusterConfig, machine: &Machine, now: Micros) -> bool {
        // Only another controller still has contact with the machine: its tasks continue, but it
        // takes no new work.
        let is_proxied_only = machine.last_proxied_at > machine.last_heartbeat
            && now.since(machine.last_heartbeat) > Self::max_heartbeat_age(cluster);
        machine.state != MachineState::Releasing
            && machine.interruption_at.is_none()
            && now >= machine.quarantined_until
            && now >= machine.slow_until
            && !machine.is_asymmetrically_partitioned()
            && !is_proxied_only
            && !self.failures.zones.is_cut_off(&machine.zone)
    }

    /// Returns the cores missing for work that may use spot machines and is not
    /// latency-sensitive, when no spot machines are available; negative if there is a surplus.
    ///
    /// Cores are needed for waiting tasks that are still in time on a machine rented now, and at
    /// least for a fixed share of the backlog without low-priority work, so that a backlog does not
    /// grow without bound. `available_cores` are the cores available to all work that may use spot
    /// machines.
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
                let held = self.held_demand(job, now).spot * cores;
                backlog.latency_sensitive += held + waiting_demand(cluster, job, now) * cores;
            } else {
                let held_tasks = self.held_demand(job, now).spot;
                add_to_backlog(&mut backlog, cluster, job, held_tasks, mean_boot_s, now);
            }
        }
        backlog.needed_cores() - (available_cores - backlog.latency_sensitive).max(0.0)
    }

    /// Returns the cores that are held in cut-off zones by work that is not to be moved yet.
    pub(super) fn cores_staying_in_cut_off_zones(&self, cluster: &ClusterConfig, now: Micros) -> CoresByCapacityType {
        let evacuations: BTreeMap<&str, Evacuation> = self
            .machines
            .values()
            .filter(|m| self.failures.zones.is_cut_off(&m.zone))
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
                    *staying.of_mut(needs_spot(job, machine)) += effective_cores(&job.spec, cluster);
                }
            }
        }
        staying
    }
}

/// Returns whether a task of the job on this machine counts as work for spot machines. A service that
/// may use spot machines but runs on an on-demand machine doesn't: it stays there, and its cores
/// don't become free for work that needs on-demand machines.
fn needs_spot(job: &Job, machine: &Machine) -> bool {
    job.spec.spot && (machine.spot || !job.is_service())
}

/// Adds a job of a class that is not latency-sensitive to the backlog. `held_tasks` is the number of
/// its tasks that use spot machines, or on-demand machines for want of them.
fn add_to_backlog(
    backlog: &mut Backlog,
    cluster: &ClusterConfig,
    job: &Job,
    held_tasks: f64,
    mean_boot_s: f64,
    now: Micros,
) {
    let cores = effective_cores(&job.spec, cluster);
    let held = held_tasks * cores;
    backlog.total += held + waiting_demand(cluster, job, now) * cores;
    backlog.held += held;
    backlog.freed += held * (mean_boot_s / job.spec.estimate_s.max(1.0)).min(1.0) * FREED_SHARE;
    let fetch_s = cluster
        .catalogue
        .values()
        .map(|t| job.spec.image_gb / t.fetch_gb_per_s.max(0.01))
        .fold(f64::INFINITY, f64::min);
    let ready_at = now + Micros::from_secs(mean_boot_s * ASSUMED_BOOT_TIME_FACTOR + fetch_s.min(MAX_COUNTED_FETCH_S));
    let is_in_time = latest_start(cluster, job).is_none_or(|at| ready_at <= at);
    // Best-effort work waits for spot machines.
    if job.may_run() && is_in_time && !is_best_effort(cluster, job, now) {
        backlog.in_time += task_demand(cluster, job, now) * cores;
    }
    if job.priority == Priority::Low {
        backlog.low_priority += held + task_demand(cluster, job, now) * cores;
    }
}

/// Returns the number of a job's waiting tasks that count as demand; 0 if the job may not run.
fn waiting_demand(cluster: &ClusterConfig, job: &Job, now: Micros) -> f64 {
    if job.may_run() {
        task_demand(cluster, job, now)
    } else {
        0.0
    }
}

/// Returns the number of a job's waiting tasks that would count as demand if the job may run.
///
/// A suspect job claims at most one (see [`Job::claimed_tasks`]). Low-priority work runs on capacity that
/// other work leaves: of its tasks, those that can run one after another on the same cores and
/// still be in time count as one.
fn task_demand(cluster: &ClusterConfig, job: &Job, now: Micros) -> f64 {
    let waiting = job.claimed_tasks(now) as f64;
    if job.priority != Priority::Low || job.is_service() {
        return waiting;
    }
    let available_s = match latest_start(cluster, job) {
        Some(at) => at.since(now).secs() + job.spec.estimate_s,
        None => DEFAULT_DUE_S,
    };
    let rounds = (available_s / (job.spec.estimate_s * ESTIMATE_MARGIN + 1.0))
        .floor()
        .max(1.0);
    (waiting / rounds).ceil()
}

/// Returns the cores that one task of the job takes from a machine; memory in excess of the task's
/// share of the machine counts as cores.
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
