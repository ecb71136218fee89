//! What is expected of a job by its user and by the operators, and the account of
//! what each class and team got of it.

use super::state::{Job, LeaderState, Placement, PlacementPhase};
use super::ClusterConfig;
use crate::protocol::agents::TaskPhase;
use crate::protocol::users::JobSpec;
use crate::time::Micros;
use glenhaven_objectives::Aim;

/// A share that is expected where nobody names one.
const SHARE: f64 = 0.9;
/// Work that nobody expects at any time is done in about this.
pub const NO_HURRY_S: f64 = 300.0;

/// A time that a job is to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobObjective {
    /// Its number among those of its class.
    pub number: usize,
    /// From the job's arrival on, in seconds.
    pub due_s: f64,
    /// Whether its tasks have to run by then, rather than to be done.
    pub starts: bool,
    /// The share of the class's jobs that is to keep it.
    pub share: f64,
    /// Whether it is known to be kept or missed.
    pub judged: bool,
    /// Whether a rental was made on the promise that this is kept.
    pub committed: bool,
}

/// What is expected of a job: the operators' objectives for its class, or else its
/// user's deadline, or else that it does not wait for ever.
///
/// `deadline_s`: how long after its arrival so many times its user's deadline is over.
pub fn objectives_of(
    cluster: &ClusterConfig,
    spec: &JobSpec,
    deadline_s: impl Fn(f64) -> Option<f64>,
) -> Vec<JobObjective> {
    let mut aims = vec![];
    let mut push = |due_s: Option<f64>, starts: bool, share: Option<f64>| {
        if let Some(due_s) = due_s {
            aims.push(JobObjective {
                number: aims.len(),
                due_s,
                starts,
                share: share.unwrap_or(SHARE),
                judged: false,
                committed: false,
            });
        }
    };
    for o in cluster
        .settings
        .params
        .objectives
        .iter()
        .filter(|o| o.class == spec.class)
    {
        match o.kind.as_str() {
            "finished" => push(o.within_s, false, o.share),
            "deadline" => push(deadline_s(o.times.unwrap_or(1.0)), false, o.share),
            "wait" => push(o.within_s, true, o.share),
            _ => {}
        }
    }
    if aims.is_empty() {
        let service = spec.shape == crate::protocol::users::Shape::Service;
        let patient = (!service).then(|| NO_HURRY_S.max(spec.estimate_s * 3.0));
        let due_s = deadline_s(1.0).or(patient);
        aims.extend(due_s.map(|due_s| JobObjective {
            number: 0,
            due_s,
            starts: false,
            share: SHARE,
            judged: false,
            committed: false,
        }));
    }
    aims
}

impl Job {
    /// Whether every task of it runs or has run.
    fn all_started(&self) -> bool {
        let runs =
            |p: &Placement| p.running_since.is_some() || matches!(p.phase, PlacementPhase::Seen(TaskPhase::Running));
        self.waiting.is_empty() && self.placements.values().all(runs)
    }
}

impl LeaderState {
    /// A job that came is counted, and those that kept or missed a time are judged.
    pub fn update_slo_accounting(&mut self, cluster: &ClusterConfig, now: Micros) {
        let mut judged = vec![];
        let held = super::scheduling::team_use(&self.jobs);
        for job in self.jobs.values_mut().filter(|j| !j.blocked) {
            if job.objectives.is_none() {
                job.objectives = Some(objectives_of(cluster, &job.spec, |times| job.deadline_s(times)));
                let cores = f64::from(job.spec.tasks) * job.spec.cpus;
                let s = &job.spec;
                let age = if job.arrival_unknown {
                    Micros::ZERO
                } else {
                    now.since(job.arrived_at)
                };
                self.slo.arrived(&s.class, &s.team, cores, s.estimate_s, age, now);
            }
            if !job.is_live() {
                continue;
            }
            // What fails everywhere, or waits for its own team's limit, is not
            // behind others; nobody knows when a job of an earlier leader came.
            let (limit, _) = cluster.limits(&job.spec.team);
            let of_team = held.get(&job.spec.team).map_or(0.0, |usage| usage.cpus);
            let limited = !job.waiting.is_empty() && of_team + job.spec.cpus > limit;
            let blameless = job.arrival_unknown || job.is_suspect(now) || limited;
            let age = now.since(job.arrived_at).secs();
            let started = job.all_started();
            for aim in job.objectives.iter_mut().flatten().filter(|a| !a.judged) {
                if (aim.starts && started) || age > aim.due_s {
                    aim.judged = true;
                    let kept = age <= aim.due_s;
                    if kept || !blameless {
                        judged.push((job.spec.class.clone(), aim.number, kept, aim.committed));
                    }
                }
            }
        }
        for (class, number, kept, promised) in judged {
            self.slo.judged(&class, number, kept, now);
            if promised {
                self.slo.promised(&class, kept, now);
            }
        }
    }

    /// Every task of an array has completed: it keeps what is not yet missed.
    pub fn record_objectives_met(&mut self, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.arrival_unknown) else {
            return;
        };
        let age = now.since(job.arrived_at).secs();
        for aim in job.objectives.iter_mut().flatten().filter(|a| !a.judged) {
            aim.judged = true;
            self.slo.judged(&job.spec.class, aim.number, age <= aim.due_s, now);
            if aim.committed {
                self.slo.promised(&job.spec.class, age <= aim.due_s, now);
            }
        }
    }

    /// Tells operators who is behind, and what each class and team asked for, got
    /// and waited for.
    pub fn log_slo_accounting(&self, cluster: &ClusterConfig, now: Micros) {
        let mut aims: Vec<Aim> = vec![];
        let mut seen = std::collections::BTreeSet::new();
        for job in self.jobs.values().filter(|j| seen.insert(j.spec.class.as_str())) {
            aims.extend(
                objectives_of(cluster, &job.spec, |t| job.deadline_s(t))
                    .into_iter()
                    .map(|a| Aim {
                        class: job.spec.class.clone(),
                        number: a.number,
                        share: a.share,
                    }),
            );
        }
        for b in self.slo.behind(&aims, now) {
            let why = self.why_behind(&b.class, now);
            tracing::info!(
                class = b.class,
                aim = b.number,
                kept = b.kept,
                expected = b.aim,
                why,
                "behind"
            );
        }
        let rows = self.slo.classes(now).into_iter().map(|r| ("class", r));
        let teams = self.slo.teams(now).into_iter().map(|r| ("team", r));
        for (of, row) in rows.chain(teams) {
            tracing::debug!(
                of,
                name = row.name,
                asked_cores_s = row.asked,
                got_cores_s = row.got,
                trust = self.slo.trust(&row.name, now),
                wait_p50_s = row.wait_p50_s,
                wait_p99_s = row.wait_p99_s,
                "account"
            );
        }
    }

    /// Why a class's work waits, as far as it shows now.
    fn why_behind(&self, class: &str, now: Micros) -> &'static str {
        let waits = |j: &&Job| j.spec.class == class && j.may_run() && !j.waiting.is_empty();
        let waiting: Vec<&Job> = self.jobs.values().filter(waits).collect();
        let booting = self
            .machines
            .values()
            .any(|m| m.state == super::state::MachineState::Booting);
        if waiting.is_empty() {
            "nothing of it waits now"
        } else if waiting.iter().all(|j| j.is_suspect(now)) {
            "what waits fails wherever it is tried"
        } else if self.failures.zones.any() {
            "a zone is cut off"
        } else if booting {
            "machines are booting"
        } else {
            "no room; no machine is worth renting for it, or none is to be had"
        }
    }
}
