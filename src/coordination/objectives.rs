//! The service-level objectives of jobs, set by users and operators, and whether jobs meet them.
//!
//! An objective is settled when it is determined to be met or missed, by the leader's periodic work
//! or by the completion of the job. The crate `glenhaven-objectives` accounts for the settled
//! objectives; the decision about on-demand machines and the log use this accounting. This module
//! makes no scheduling decisions.
//!
//! Invariant: an objective of a job is settled at most once.

use super::scheduling::{usage_by_team, TeamUsage};
use super::state::{Job, LeaderState, MachineState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::agents::TaskPhase;
use crate::protocol::users::{JobSpec, Shape};
use crate::time::Micros;
use glenhaven_objectives::Objective;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The share of jobs that must meet an objective whose settings give no share.
const DEFAULT_SHARE: f64 = 0.9;
/// The time within which work without any objective should be done, in seconds.
pub const DEFAULT_DUE_S: f64 = 300.0;

/// A time by which a job must be done, or must have started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobObjective {
    /// The objective's number among those of the job's class.
    pub number: usize,
    /// The due time, in seconds after the job's arrival.
    pub due_s: f64,
    /// Whether the tasks must have started by the due time, rather than be done.
    pub starts: bool,
    /// The share of the class's jobs that must meet the objective.
    pub share: f64,
    /// Whether the objective has been determined to be met or missed.
    pub settled: bool,
    /// Whether machines were rented because a projection showed that the objective would be met.
    pub committed: bool,
}

impl JobObjective {
    fn new(number: usize, due_s: f64, starts: bool, share: Option<f64>) -> JobObjective {
        JobObjective {
            number,
            due_s,
            starts,
            share: share.unwrap_or(DEFAULT_SHARE),
            settled: false,
            committed: false,
        }
    }
}

/// An objective that has just been settled.
struct Settled {
    class: String,
    number: usize,
    met: bool,
    committed: bool,
}

/// The apparent reason why a class misses its objectives at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MissedReason {
    NothingWaits,
    FailsEverywhere,
    ZoneCutOff,
    MachinesBooting,
    NoCapacity,
}

impl MissedReason {
    fn as_str(self) -> &'static str {
        match self {
            MissedReason::NothingWaits => "nothing of it waits now",
            MissedReason::FailsEverywhere => "what waits fails wherever it is tried",
            MissedReason::ZoneCutOff => "a zone is cut off",
            MissedReason::MachinesBooting => "machines are booting",
            MissedReason::NoCapacity => "no capacity: no machine is worth renting for it, or none is available",
        }
    }
}

impl fmt::Display for MissedReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Returns the objectives of a job: those that the operators set for its class, else its user's
/// deadline, else a default due time for arrays, so that an array does not wait indefinitely.
///
/// `deadline_s` maps a multiple of the user's deadline to the seconds after the job's arrival at
/// which it is reached; `None` without a deadline.
pub fn objectives_of(
    cluster: &ClusterConfig,
    spec: &JobSpec,
    deadline_s: impl Fn(f64) -> Option<f64>,
) -> Vec<JobObjective> {
    let mut objectives = vec![];
    let of_class = cluster.settings.params.objectives.iter();
    for objective in of_class.filter(|o| o.class == spec.class) {
        let (due_s, starts) = match objective.kind.as_str() {
            "finished" => (objective.within_s, false),
            "deadline" => (deadline_s(objective.times.unwrap_or(1.0)), false),
            "wait" => (objective.within_s, true),
            _ => continue,
        };
        let number = objectives.len();
        objectives.extend(due_s.map(|due_s| JobObjective::new(number, due_s, starts, objective.share)));
    }
    if objectives.is_empty() {
        let is_service = spec.shape == Shape::Service;
        let default_due_s = (!is_service).then(|| DEFAULT_DUE_S.max(spec.estimate_s * 3.0));
        let due_s = deadline_s(1.0).or(default_due_s);
        objectives.extend(due_s.map(|due_s| JobObjective::new(0, due_s, false, None)));
    }
    objectives
}

impl Job {
    /// Whether every task of the job is running or has run.
    fn all_started(&self) -> bool {
        let has_run =
            |p: &Placement| p.running_since.is_some() || matches!(p.phase, PlacementPhase::Seen(TaskPhase::Running));
        self.waiting.is_empty() && self.placements.values().all(has_run)
    }

    /// Settles and returns the objectives that are met or missed at `now`. Unless `counts_misses`,
    /// a miss is settled as well, but is left out of the result.
    fn settle_due_objectives(&mut self, counts_misses: bool, now: Micros) -> Vec<Settled> {
        let age_s = now.since(self.arrived_at).secs();
        let all_started = self.all_started();
        let mut settled = vec![];
        for objective in self.objectives.iter_mut().flatten().filter(|o| !o.settled) {
            let is_decided = age_s > objective.due_s || (objective.starts && all_started);
            if !is_decided {
                continue;
            }
            objective.settled = true;
            let met = age_s <= objective.due_s;
            if met || counts_misses {
                settled.push(Settled {
                    class: self.spec.class.clone(),
                    number: objective.number,
                    met,
                    committed: objective.committed,
                });
            }
        }
        settled
    }
}

impl LeaderState {
    /// Accounts for new jobs, and settles the objectives that are met or missed at `now`.
    pub fn update_slo_accounting(&mut self, cluster: &ClusterConfig, now: Micros) {
        self.account_for_new_jobs(cluster, now);
        let usage = usage_by_team(&self.jobs);
        let mut settled = vec![];
        for job in self.jobs.values_mut().filter(|j| !j.blocked && j.is_live()) {
            // A job that fails everywhere or waits for its own team's limit does not miss its
            // objectives because of a lack of capacity. The arrival time of a job that an earlier
            // leader accepted may be unknown.
            let is_limited = waits_for_limit(cluster, job, &usage);
            let counts_misses = !(job.arrival_unknown || job.is_suspect(now) || is_limited);
            settled.extend(job.settle_due_objectives(counts_misses, now));
        }
        for objective in settled {
            self.account_for_settled(&objective, now);
        }
    }

    fn account_for_new_jobs(&mut self, cluster: &ClusterConfig, now: Micros) {
        let new_jobs = self.jobs.values_mut();
        for job in new_jobs.filter(|j| !j.blocked && j.objectives.is_none()) {
            job.objectives = Some(objectives_of(cluster, &job.spec, |times| job.deadline_s(times)));
            let spec = &job.spec;
            let cores = f64::from(spec.tasks) * spec.cpus;
            let age = if job.arrival_unknown {
                Micros::ZERO
            } else {
                now.since(job.arrived_at)
            };
            self.slo
                .record_arrival(&spec.class, &spec.team, cores, spec.estimate_s, age, now);
        }
    }

    fn account_for_settled(&mut self, settled: &Settled, now: Micros) {
        self.slo
            .record_outcome(&settled.class, settled.number, settled.met, now);
        if settled.committed {
            self.slo.record_commitment_outcome(&settled.class, settled.met, now);
        }
    }

    /// Settles the remaining objectives of a job whose tasks have all completed.
    pub fn record_objectives_met(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.arrival_unknown) else {
            return;
        };
        let age_s = now.since(job.arrived_at).secs();
        let mut settled = vec![];
        for objective in job.objectives.iter_mut().flatten().filter(|o| !o.settled) {
            objective.settled = true;
            settled.push(Settled {
                class: job.spec.class.clone(),
                number: objective.number,
                met: age_s <= objective.due_s,
                committed: objective.committed,
            });
        }
        for objective in settled {
            self.account_for_settled(&objective, now);
        }
    }

    /// Logs the missed objectives, and for each class and team the requested cores, the started
    /// cores and the waiting times.
    pub fn log_slo_accounting(&self, cluster: &ClusterConfig, now: Micros) {
        for missed in self.slo.missed_objectives(&self.open_objectives(cluster), now) {
            tracing::info!(
                class = missed.class,
                objective = missed.number,
                met = missed.met_share,
                expected = missed.expected_share,
                reason = self.missed_reason(&missed.class, now).as_str(),
                "objective missed"
            );
        }
        let classes = self.slo.classes(now).into_iter().map(|summary| ("class", summary));
        let teams = self.slo.teams(now).into_iter().map(|summary| ("team", summary));
        for (of, summary) in classes.chain(teams) {
            tracing::debug!(
                of,
                name = summary.name,
                requested_cores_s = summary.requested_cores_per_s,
                started_cores_s = summary.started_cores_per_s,
                trust = self.slo.met_commitment_share(&summary.name, now),
                wait_p50_s = summary.wait_p50_s,
                wait_p99_s = summary.wait_p99_s,
                "account"
            );
        }
    }

    /// The objectives of the classes with open jobs. Those of one job represent its class.
    fn open_objectives(&self, cluster: &ClusterConfig) -> Vec<Objective> {
        let mut objectives = vec![];
        let mut seen = BTreeSet::new();
        for job in self.jobs.values().filter(|j| seen.insert(j.spec.class.as_str())) {
            let of_class = objectives_of(cluster, &job.spec, |times| job.deadline_s(times));
            objectives.extend(of_class.into_iter().map(|objective| Objective {
                class: job.spec.class.clone(),
                number: objective.number,
                share: objective.share,
            }));
        }
        objectives
    }

    fn missed_reason(&self, class: &str, now: Micros) -> MissedReason {
        let waits = |j: &&Job| j.spec.class == class && j.may_run() && !j.waiting.is_empty();
        let waiting: Vec<&Job> = self.jobs.values().filter(waits).collect();
        if waiting.is_empty() {
            MissedReason::NothingWaits
        } else if waiting.iter().all(|j| j.is_suspect(now)) {
            MissedReason::FailsEverywhere
        } else if self.failures.zones.any_cut_off() {
            MissedReason::ZoneCutOff
        } else if self.machines.values().any(|m| m.state == MachineState::Booting) {
            MissedReason::MachinesBooting
        } else {
            MissedReason::NoCapacity
        }
    }
}

/// Whether a job is waiting because of its team's limit.
fn waits_for_limit(cluster: &ClusterConfig, job: &Job, usage: &BTreeMap<String, TeamUsage>) -> bool {
    let (limit, _) = cluster.limits(&job.spec.team);
    let used = usage.get(&job.spec.team).map_or(0.0, |usage| usage.cpus);
    !job.waiting.is_empty() && used + job.spec.cpus > limit
}
