//! Cost and benefit of on-demand machines for work that may use spot machines, when no spot
//! machines are available.
//!
//! Scale-out calls this module when machines are to be rented and the cloud has no spot capacity.
//! It builds a model of the queue, of the capacity that is or becomes free, and of prices, which
//! `glenhaven-provisioning` projects into the future. This module rents nothing, and changes no
//! state except that [`LeaderState::record_commitments`] marks the objectives that a rental is
//! expected to let jobs meet.

use super::effective_cores;
use crate::coordination::objectives::JobObjective;
use crate::coordination::scheduling::{is_best_effort, usage_by_team, TeamUsage};
use crate::coordination::state::{Job, LeaderState, Machine, MachineState};
use crate::coordination::{ClusterConfig, JobId};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::Priority;
use crate::time::Micros;
use glenhaven_provisioning::{advise, Deadline, FutureCapacity, MetDeadline, Offer, QueueEntry, Supply};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most queue entries for waiting jobs; jobs after these are merged into the last entry.
const MAX_ENTRIES: usize = 250;
/// Jobs with at most this number of waiting cores are merged into one entry if they arrived within
/// the same step of [`MERGE_STEP_S`]: there may be thousands of such jobs.
const MAX_MERGED_CORES: f64 = 8.0;
/// Length of the steps of arrival time within which small jobs are merged.
const MERGE_STEP_S: f64 = 4.0;
/// Deadline for the start of a job that has missed all of its objectives, so that it does not wait
/// indefinitely.
const ALL_MISSED_START_S: f64 = 60.0;
/// Value of the deadline [`ALL_MISSED_START_S`] in relation to the job's most valuable objective.
const ALL_MISSED_VALUE_FACTOR: f64 = 0.25;
/// Length of the time steps into which expected arrivals are merged.
const EXPECTED_STEP_S: f64 = 10.0;
/// How far ahead arrivals of jobs are projected.
const EXPECTED_HORIZON_S: f64 = 120.0;
/// Expected boot time in multiples of the nominal boot time.
const ASSUMED_BOOT_TIME_FACTOR: f64 = 1.1;
/// Upper limit of the expected time to fetch an image.
const MAX_COUNTED_FETCH_S: f64 = 60.0;
/// Lower limit of the expected remaining run time of a task.
const MIN_REMAINING_S: f64 = 2.0;
/// Number of tasks of a job that must have completed before their mean run time replaces the
/// estimate.
const MIN_RUNS: u32 = 3;
/// Projections for a class are used while at least this share of the recent commitments was met.
const MIN_MET_COMMITMENT_SHARE: f64 = 0.5;
/// Upper limit of the mean time between arrivals of a class, for the value of one job.
const MAX_ARRIVAL_INTERVAL_S: f64 = 20.0;
/// Seconds in an hour; prices in the catalogue are per hour.
const HOUR_S: f64 = 3600.0;

/// Number of on-demand cores to rent, and the objectives that they are rented for.
#[derive(Clone, Debug, Default)]
pub struct OnDemandAdvice {
    /// Cores to rent; 0 if no rental is worth its cost.
    pub cores: f64,
    /// Objectives that the rental is expected to let jobs meet.
    pub commitments: Vec<Commitment>,
}

/// An objective that a rental is expected to let a job meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Commitment {
    /// The job.
    pub job: JobId,
    /// Number of the objective among those of the job's class.
    pub objective: usize,
}

impl LeaderState {
    /// Returns the expected run time of a task in seconds: the mean of the job's completed tasks,
    /// or the user's estimate, corrected by the bias of the class's recent estimates.
    fn expected_run_s(&self, job: &Job) -> f64 {
        if job.completed_runs.count >= MIN_RUNS {
            job.completed_runs.mean_s()
        } else {
            job.spec.estimate_s * self.slo.run_time_bias(&job.spec.class)
        }
    }

    /// Returns whether on-demand machines are rented for a class by the value of the objectives
    /// that the rental would let its jobs meet.
    ///
    /// This is the case if an objective limits the waiting time of the class, while rentals meet at
    /// least `MIN_MET_COMMITMENT_SHARE` of their commitments. Other work gets on-demand machines
    /// for its backlog, which costs far less for each job that starts in time.
    pub fn is_latency_sensitive(&self, cluster: &ClusterConfig, class: &str, now: Micros) -> bool {
        let mut objectives = cluster.settings.params.objectives.iter();
        let has_wait_objective = objectives.any(|o| o.class == class && o.kind == "wait");
        has_wait_objective && self.slo.met_commitment_share(class, now) >= MIN_MET_COMMITMENT_SHARE
    }

    /// Returns the number of on-demand cores to rent now for work that may use spot machines, when
    /// no spot machines are available. `reserved_cores` of the free and expected capacity are for
    /// other work.
    pub fn on_demand_cost_benefit(&self, cluster: &ClusterConfig, reserved_cores: f64, now: Micros) -> OnDemandAdvice {
        CostBenefitModel::new(self, cluster, now)
            .map_or_else(OnDemandAdvice::default, |model| model.advise(reserved_cores))
    }

    /// Marks the objectives that a rental is expected to let jobs meet. The share of these that is
    /// met decides whether later projections are trusted.
    pub fn record_commitments(&mut self, commitments: Vec<Commitment>) {
        for Commitment { job, objective } in commitments {
            let objectives = self.jobs.get_mut(&job).and_then(|j| j.objectives.as_mut());
            for committed in objectives.into_iter().flatten().filter(|o| o.number == objective) {
                committed.committed = true;
            }
        }
    }
}

/// Prices, boot time and fetch rate of the machine types available outside cut-off zones.
struct Market {
    /// Lowest price of an on-demand core per second.
    on_demand_price: f64,
    /// Lowest price of a spot core per second.
    spot_price: f64,
    /// Longest nominal boot time.
    boot_s: f64,
    /// Fastest rate at which a machine fetches images.
    fetch_gb_per_s: f64,
}

impl Market {
    /// Returns `None` if no machine type can be rented.
    fn of(leader: &LeaderState, cluster: &ClusterConfig) -> Option<Market> {
        let usable: Vec<&MachineType> = cluster
            .catalogue
            .values()
            .filter(|t| t.zones.iter().any(|z| !leader.failures.zones.is_cut_off(z)))
            .collect();
        let per_core = |price: f64, cpus: f64| price / cpus.max(1.0) / HOUR_S;
        let on_demand_prices = usable.iter().map(|t| per_core(t.price, t.cpus));
        let spot_prices = usable.iter().map(|t| per_core(t.spot_price, t.cpus));
        Some(Market {
            on_demand_price: on_demand_prices.fold(f64::INFINITY, f64::min),
            spot_price: spot_prices.fold(f64::INFINITY, f64::min),
            boot_s: usable.iter().map(|t| t.boot_s).reduce(f64::max)?,
            fetch_gb_per_s: usable.iter().map(|t| t.fetch_gb_per_s).fold(0.01, f64::max),
        })
    }
}

/// Builds the input for the cost-benefit projection from the leader's state.
struct CostBenefitModel<'a> {
    leader: &'a LeaderState,
    cluster: &'a ClusterConfig,
    now: Micros,
    market: Market,
    /// Whether each class with waiting work that may use spot machines is latency-sensitive.
    latency_sensitive: BTreeMap<&'a str, bool>,
    /// Value per second of all jobs of a class meeting one objective.
    value_per_s: f64,
}

impl<'a> CostBenefitModel<'a> {
    /// Returns `None` if no machine type can be rented or no waiting work is latency-sensitive.
    fn new(leader: &'a LeaderState, cluster: &'a ClusterConfig, now: Micros) -> Option<CostBenefitModel<'a>> {
        let market = Market::of(leader, cluster)?;
        let mut latency_sensitive: BTreeMap<&str, bool> = BTreeMap::new();
        for job in leader.jobs.values().filter(|j| j.spec.spot && !j.waiting.is_empty()) {
            let class = job.spec.class.as_str();
            latency_sensitive
                .entry(class)
                .or_insert_with(|| leader.is_latency_sensitive(cluster, class, now));
        }
        if !latency_sensitive.values().any(|is_sensitive| *is_sensitive) {
            return None;
        }
        let value_per_s = value_per_s(leader, cluster, &market);
        Some(CostBenefitModel {
            leader,
            cluster,
            now,
            market,
            latency_sensitive,
            value_per_s,
        })
    }

    /// Projects the queue with and without more machines, and returns the most profitable rental.
    fn advise(&self, reserved_cores: f64) -> OnDemandAdvice {
        let waiting = self.waiting_jobs();
        let mut queue = self.merged_queue(&waiting);
        if queue.entries.is_empty() {
            return OnDemandAdvice::default();
        }
        self.add_expected_arrivals(&mut queue, &waiting);
        let offer = Offer {
            ready_s: self.market.boot_s,
            price: self.market.on_demand_price,
            idle_s: self.cluster.settings.operator.idle_s,
            max_cores: 1e9,
        };
        let advice = advise(&queue.entries, &self.supply(reserved_cores), &offer);
        if advice.cores > 0.0 {
            tracing::debug!(
                cores = advice.cores,
                benefit = advice.benefit,
                cost = advice.cost,
                "on-demand rental advised: its expected benefit exceeds its cost"
            );
        }
        OnDemandAdvice {
            cores: advice.cores,
            commitments: queue.commitments(&advice.met),
        }
    }

    fn fetch_s(&self, job: &Job) -> f64 {
        (job.spec.image_gb / self.market.fetch_gb_per_s).min(MAX_COUNTED_FETCH_S)
    }

    /// Returns the expected time for which a task of the job holds its cores, including the fetch
    /// of its image, in seconds.
    fn hold_s(&self, job: &Job) -> f64 {
        self.leader.expected_run_s(job) + self.fetch_s(job)
    }

    /// Returns the value of one job of the class meeting the objective; 0 if the class is not
    /// latency-sensitive.
    fn value(&self, class: &str, objective: &JobObjective) -> f64 {
        if !self.latency_sensitive.get(class).copied().unwrap_or(false) {
            return 0.0;
        }
        let jobs_per_s = self.leader.slo.inflow(class, self.now).jobs_per_s;
        // The limit keeps a job of a class with rare arrivals from having the value of a whole
        // class.
        let per_job = self.value_per_s / jobs_per_s.max(1.0 / MAX_ARRIVAL_INTERVAL_S);
        let urgency = self
            .leader
            .slo
            .urgency(class, objective.number, objective.share, self.now);
        per_job * urgency
    }

    /// Returns the waiting jobs that may use spot machines, in queue order; best-effort jobs wait
    /// for spot machines and are left out.
    fn waiting_jobs(&self) -> Vec<WaitingJob<'a>> {
        let guaranteed = self.leader.within_guarantee(self.cluster);
        let jobs = self.leader.jobs.values();
        let mut waiting: Vec<WaitingJob> = jobs
            .filter(|j| j.spec.spot && j.may_run() && !j.waiting.is_empty())
            .filter(|j| j.claimed_tasks(self.now) > 0 && !is_best_effort(self.cluster, j, self.now))
            .map(|job| WaitingJob {
                job,
                is_guaranteed: guaranteed.contains(&job.id),
            })
            .collect();
        waiting.sort_by_key(|w| (Reverse(w.job.priority), !w.is_guaranteed, w.job.acceptance_revision));
        waiting
    }

    /// Returns the queue entries for waiting jobs, within the limits of their teams.
    fn merged_queue(&self, waiting: &[WaitingJob<'a>]) -> Queue<'a> {
        let usage = usage_by_team(&self.leader.jobs);
        let mut left_of_limits: BTreeMap<&str, f64> = BTreeMap::new();
        let mut queue = Queue::default();
        for waiting_job in waiting {
            let job = waiting_job.job;
            let left = left_of_limits
                .entry(&job.spec.team)
                .or_insert_with(|| self.left_of_limit(&usage, &job.spec.team));
            let cores = (job.waiting.len() as f64 * effective_cores(&job.spec, self.cluster)).min(*left);
            *left -= cores;
            if cores <= 0.0 {
                continue;
            }
            let work = QueueEntry {
                cores,
                run_s: self.hold_s(job),
                arrival_s: 0.0,
                deadlines: vec![],
            };
            self.add_waiting(&mut queue, waiting_job, work);
        }
        queue
    }

    /// Returns the cores that a team's limit still admits.
    fn left_of_limit(&self, usage: &BTreeMap<String, TeamUsage>, team: &str) -> f64 {
        let used = usage.get(team).map_or(0.0, |usage| usage.cpus);
        (self.cluster.limits(team).0 - used).max(0.0)
    }

    /// Adds the waiting tasks of one job, merged with those of similar small jobs.
    fn add_waiting(&self, queue: &mut Queue<'a>, waiting_job: &WaitingJob<'a>, mut work: QueueEntry) {
        let job = waiting_job.job;
        let age_s = self.now.since(job.arrived_at).secs();
        let (deadlines, objectives) = self.start_deadlines(job, work.run_s, age_s);
        let merge_key = (work.cores <= MAX_MERGED_CORES).then(|| MergeKey {
            priority: job.priority,
            is_guaranteed: waiting_job.is_guaranteed,
            class: &job.spec.class,
            arrival_step: (age_s / MERGE_STEP_S) as u64,
            deadlines: deadlines.len(),
        });
        work.deadlines = deadlines;
        let member = Member {
            job: job.id.clone(),
            objectives,
        };
        queue.add(merge_key, work, member);
    }

    /// Returns the deadline for the start of the job's last task for each objective that the job
    /// can still meet, and the numbers of these objectives. If it can meet none, returns the one
    /// deadline of [`ALL_MISSED_START_S`] and no numbers.
    fn start_deadlines(&self, job: &Job, hold_s: f64, age_s: f64) -> (Vec<Deadline>, Vec<usize>) {
        let mut deadlines: Vec<Deadline> = vec![];
        let mut numbers = vec![];
        let mut max_value: f64 = 0.0;
        for objective in job.objectives.iter().flatten() {
            let value = self.value(&job.spec.class, objective);
            max_value = max_value.max(value);
            let before_s = if objective.starts { self.fetch_s(job) } else { hold_s };
            let start_by_s = objective.due_s - age_s - before_s;
            if start_by_s >= 0.0 {
                deadlines.push(Deadline { start_by_s, value });
                numbers.push(objective.number);
            }
        }
        if deadlines.is_empty() {
            deadlines.push(Deadline {
                start_by_s: ALL_MISSED_START_S,
                value: max_value * ALL_MISSED_VALUE_FACTOR,
            });
        }
        (deadlines, numbers)
    }

    /// Adds the expected arrivals, which take their share of the capacity. They have the objectives
    /// and the image size of the latest waiting job of their class.
    fn add_expected_arrivals(&self, queue: &mut Queue, waiting: &[WaitingJob<'a>]) {
        let mut youngest: BTreeMap<&str, &Job> = BTreeMap::new();
        for WaitingJob { job, .. } in waiting {
            let class = job.spec.class.as_str();
            if youngest
                .get(class)
                .is_none_or(|y| y.acceptance_revision < job.acceptance_revision)
            {
                youngest.insert(class, job);
            }
        }
        for (class, job) in youngest {
            let inflow = self.leader.slo.inflow(class, self.now);
            let run_s = inflow.run_s * self.leader.slo.run_time_bias(class) + self.fetch_s(job);
            let mut arrival_s = EXPECTED_STEP_S / 2.0;
            while arrival_s < EXPECTED_HORIZON_S {
                let deadlines = job.objectives.iter().flatten().map(|objective| {
                    let before_s = if objective.starts { self.fetch_s(job) } else { run_s };
                    Deadline {
                        start_by_s: arrival_s + objective.due_s - before_s,
                        value: self.value(class, objective) * inflow.jobs_per_s * EXPECTED_STEP_S,
                    }
                });
                queue.entries.push(QueueEntry {
                    cores: inflow.cores_per_s * EXPECTED_STEP_S,
                    run_s,
                    arrival_s,
                    deadlines: deadlines.collect(),
                });
                arrival_s += EXPECTED_STEP_S;
            }
        }
    }

    /// Returns the cores that are or become free, less `reserved_cores`.
    fn supply(&self, reserved_cores: f64) -> Supply {
        let mut supply = Supply {
            free_cores: -reserved_cores,
            upcoming: vec![],
        };
        let zones = &self.leader.failures.zones;
        let silence = LeaderState::max_heartbeat_age(self.cluster);
        for machine in self.leader.machines.values().filter(|m| !zones.is_cut_off(&m.zone)) {
            let Some(machine_type) = self.cluster.catalogue.get(&machine.machine_type) else {
                continue;
            };
            if machine.state == MachineState::Booting {
                supply.upcoming.push(self.booting_cores(machine, machine_type));
            } else if machine.accepts_work(self.now, silence) {
                supply.free_cores += machine_type.cpus - machine.used.cpus;
                self.add_cores_of_running_tasks(&mut supply, machine);
            }
        }
        let claims = self.leader.provisioning.unanswered_claims();
        for claim in claims.filter(|c| !zones.is_cut_off(&c.zone)) {
            if let Some(machine_type) = self.cluster.catalogue.get(&claim.machine_type) {
                let cores = machine_type.cpus * f64::from(claim.count);
                let at_s = machine_type.boot_s * ASSUMED_BOOT_TIME_FACTOR;
                supply.upcoming.push(FutureCapacity { at_s, cores });
            }
        }
        supply
    }

    /// Returns when a booting machine is expected to be ready, and how many of its cores count.
    fn booting_cores(&self, machine: &Machine, machine_type: &MachineType) -> FutureCapacity {
        let age = self.now.since(machine.known_since);
        let profile = self.leader.provisioning.boot_times.profile(machine);
        let counted = profile.counted_share(age, machine_type.boot_s);
        FutureCapacity {
            at_s: (machine_type.boot_s * ASSUMED_BOOT_TIME_FACTOR - age.secs()).max(1.0),
            cores: machine_type.cpus * counted,
        }
    }

    /// Adds the cores that array tasks on a machine are expected to free when they end.
    fn add_cores_of_running_tasks(&self, supply: &mut Supply, machine: &Machine) {
        for (id, task) in &machine.tasks {
            let Some(job) = self.leader.jobs.get(id).filter(|j| !j.is_service()) else {
                continue;
            };
            let Some(placement) = job.placements.get(task) else {
                continue;
            };
            let ran_s = self.now.since(placement.placed_at).secs();
            let remaining_s = (self.hold_s(job) - ran_s).max(MIN_REMAINING_S);
            supply.upcoming.push(FutureCapacity {
                at_s: remaining_s,
                cores: job.spec.cpus,
            });
        }
    }
}

/// Returns the value per second of all jobs of a class meeting one objective: the total cost per
/// second, multiplied by the operators' `objective_value`. Every objective of a class is assumed to
/// have the same value, and each job of the class has its share of it.
fn value_per_s(leader: &LeaderState, cluster: &ClusterConfig, market: &Market) -> f64 {
    let (mut rent, mut demanded_cores) = (0.0, 0.0);
    let rented = leader.machines.values();
    for machine in rented.filter(|m| m.state != MachineState::Releasing) {
        if let Some(machine_type) = cluster.catalogue.get(&machine.machine_type) {
            let price = if machine.spot {
                machine_type.spot_price
            } else {
                machine_type.price
            };
            rent += price / HOUR_S;
        }
    }
    for job in leader.jobs.values().filter(|j| j.may_run()) {
        let tasks = f64::from(job.held_tasks) + job.waiting.len() as f64;
        demanded_cores += tasks * effective_cores(&job.spec, cluster);
    }
    rent.max(demanded_cores * market.spot_price) * cluster.settings.operator.objective_value
}

/// A job with waiting tasks.
struct WaitingJob<'a> {
    job: &'a Job,
    is_guaranteed: bool,
}

/// Key by which small jobs are merged into one entry.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MergeKey<'a> {
    priority: Priority,
    is_guaranteed: bool,
    class: &'a str,
    /// Age of the jobs in steps of [`MERGE_STEP_S`].
    arrival_step: u64,
    /// Number of deadlines of each job.
    deadlines: usize,
}

/// A job that is part of an entry.
struct Member {
    job: JobId,
    /// Numbers of its objectives, in the order of the entry's deadlines.
    objectives: Vec<usize>,
}

/// The queue that is projected.
#[derive(Default)]
struct Queue<'a> {
    entries: Vec<QueueEntry>,
    /// The jobs of each entry. Entries of expected arrivals, which come last, have none.
    members: Vec<Vec<Member>>,
    mergeable: BTreeMap<MergeKey<'a>, usize>,
}

impl<'a> Queue<'a> {
    /// Merges work into the entry with the same key, or into the last entry if there are
    /// [`MAX_ENTRIES`]; otherwise adds an entry.
    fn add(&mut self, merge_key: Option<MergeKey<'a>>, work: QueueEntry, member: Member) {
        let matching = merge_key.as_ref().and_then(|key| self.mergeable.get(key).copied());
        let is_full = self.entries.len() >= MAX_ENTRIES;
        if let Some(index) = matching.or(is_full.then(|| self.entries.len() - 1)) {
            let entry = &mut self.entries[index];
            entry.cores += work.cores;
            for (sum, deadline) in entry.deadlines.iter_mut().zip(&work.deadlines) {
                sum.value += deadline.value;
            }
            self.members[index].push(member);
            return;
        }
        if let Some(key) = merge_key {
            self.mergeable.insert(key, self.entries.len());
        }
        self.members.push(vec![member]);
        self.entries.push(work);
    }

    /// Returns the objectives that belong to these deadlines.
    fn commitments(&self, met: &[MetDeadline]) -> Vec<Commitment> {
        let mut commitments = vec![];
        for MetDeadline { entry, deadline } in met {
            for member in self.members.get(*entry).into_iter().flatten() {
                commitments.extend(member.objectives.get(*deadline).map(|objective| Commitment {
                    job: member.job.clone(),
                    objective: *objective,
                }));
            }
        }
        commitments
    }
}
