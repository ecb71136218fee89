//! Checks the protocol's rules from what workers and users see, independently of the code under
//! test.
//!
//! A finding begins with the tag of the broken rule and a colon, if the rule has a tag.

use crate::user::{job_of, User};
use crate::worker::Worker;
use crate::SEC;
use glenhaven::protocol::users::Phase;
use glenhaven::protocol::users::{JobSpec, Shape};
use glenhaven::settings::Team;
use std::collections::{BTreeMap, BTreeSet};

/// The events counted in a run, and the rules broken in it.
pub struct Rules {
    /// The findings: which rule was broken, and by what.
    pub broken: Vec<String>,
    /// Tasks that have begun.
    pub starts: u64,
    /// Tasks killed because their worker's lease expired.
    pub lease_kills: usize,
    /// Tasks that failed.
    pub failures: usize,
    /// Stop commands that reached an unfinished task of a job that its user had not asked to
    /// cancel.
    pub stops: usize,
    /// The time at which each task first began.
    pub first_start: BTreeMap<String, u64>,
    /// The time at which a task of each job last began.
    pub last_start: BTreeMap<String, u64>,
    /// The replica seconds missed by each service, counted from when all its replicas first ran
    /// together.
    pub missed_replica_seconds: BTreeMap<String, u64>,
    /// Starts of tasks whose user had already received the cancellation of the job. No rule forbids
    /// them within the time that a cancellation may take.
    pub starts_after_cancellation: u64,
    limits: BTreeMap<String, ResourceUse>,
    cancel_limit: u64,
}

/// The resources that some tasks use together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl ResourceUse {
    fn add(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
    }

    /// Returns whether this use is above a limit.
    fn exceeds(&self, limit: &ResourceUse) -> bool {
        self.cpus > limit.cpus + ROUNDING_TOLERANCE || self.gpus > limit.gpus + ROUNDING_TOLERANCE
    }
}

/// The tolerance for rounding errors in sums of cores and GPUs.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The number of findings from which on the checks of limits and of cancelled jobs add no more:
/// they are repeated throughout a run and find a lasting break again each time.
const MAX_REPEATED_FINDINGS: usize = 20;

impl Rules {
    /// Creates a checker with the limits of these teams. The tasks of a cancelled job must have
    /// stopped after `cancel_s` seconds.
    pub fn new(teams: &[Team], cancel_s: f64) -> Rules {
        Rules {
            broken: vec![],
            starts: 0,
            lease_kills: 0,
            failures: 0,
            stops: 0,
            first_start: BTreeMap::new(),
            last_start: BTreeMap::new(),
            missed_replica_seconds: BTreeMap::new(),
            starts_after_cancellation: 0,
            limits: teams.iter().map(|t| (t.name.clone(), limit_of(t))).collect(),
            cancel_limit: (cancel_s * SEC as f64) as u64,
        }
    }

    /// Returns the number of cores that a team's tasks may use, if it is limited.
    pub fn limit(&self, team: &str) -> Option<f64> {
        let limit = self.limits.get(team)?;
        limit.cpus.is_finite().then_some(limit.cpus)
    }

    /// Checks a team's limit after a worker has accepted a start. All attempts on machines, also
    /// those that still fetch their image, are covered by placement records and count towards the
    /// limit. Only attempts at tasks with a kept result don't count: they exit with it as soon as
    /// they have their image, and so are never on their machine.
    pub fn check_accepted_start(
        &mut self,
        now: u64,
        task: &str,
        workers: &BTreeMap<String, Worker>,
        users: &BTreeMap<String, User>,
        results: &BTreeSet<String>,
    ) {
        let Some(user) = users.get(job_of(task)) else { return };
        let held = team_use(&user.spec.team, workers, users, |w| {
            w.unfinished_tasks().filter(|t| !results.contains(*t)).collect()
        });
        self.check_limit(now, &user.spec.team, held, "with tasks that fetch their image");
    }

    /// Returns whether a team's limit allows one more task of this job.
    pub fn has_capacity(
        &self,
        spec: &JobSpec,
        workers: &BTreeMap<String, Worker>,
        users: &BTreeMap<String, User>,
    ) -> bool {
        let mut held = team_use(&spec.team, workers, users, |w| w.unfinished_tasks().collect());
        held.add(spec);
        self.limits.get(&spec.team).is_none_or(|limit| !held.exceeds(limit))
    }

    fn check_limit(&mut self, now: u64, team: &str, held: ResourceUse, what: &str) {
        let over = self.limits.get(team).is_some_and(|limit| held.exceeds(limit));
        if over && self.broken.len() < MAX_REPEATED_FINDINGS {
            let ResourceUse { cpus, gpus } = held;
            self.broken.push(format!(
                "quota: {team} holds {cpus} cores and {gpus} GPUs {what} at {now}"
            ));
        }
    }

    /// Counts the missing replicas of services that have run in full. Has to be called once a
    /// second.
    pub fn check_services(&mut self, now: u64, workers: &BTreeMap<String, Worker>, users: &BTreeMap<String, User>) {
        let mut on: BTreeMap<&str, u64> = BTreeMap::new();
        let runs = |w: &&Worker| w.up && now >= w.hangs_until;
        for task in workers.values().filter(runs).flat_map(|w| w.running_tasks()) {
            *on.entry(job_of(task)).or_default() += 1;
        }
        for (job, user) in users.iter().filter(|(_, u)| u.spec.shape == Shape::Service) {
            let all = u64::from(user.spec.tasks);
            let there = on.get(job.as_str()).copied().unwrap_or(0);
            let over = user.wants_abort || user.cancelled.is_some();
            if there >= all {
                self.missed_replica_seconds.entry(job.clone()).or_default();
            }
            if let Some(missed) = self.missed_replica_seconds.get_mut(job).filter(|_| !over) {
                *missed += all.saturating_sub(there);
            }
        }
    }

    /// Records that a task, with its image fetched, begins to run, and checks the rules for starts.
    pub fn check_start(
        &mut self,
        now: u64,
        machine: &str,
        task: &str,
        workers: &BTreeMap<String, Worker>,
        users: &BTreeMap<String, User>,
    ) {
        self.starts += 1;
        self.first_start.entry(task.into()).or_insert(now);
        self.last_start.insert(job_of(task).into(), now);
        for w in workers.values().filter(|w| w.name != machine) {
            if w.running_tasks().any(|t| t == task) {
                self.broken.push(format!(
                    "ran_twice: {task} starts on {machine} while on {} at {now}",
                    w.name
                ));
            }
        }
        let Some(w) = workers.get(machine) else { return };
        let Some(user) = users.get(job_of(task)) else {
            return self.broken.push(format!("{task} starts, but its job is unknown"));
        };
        let spec = &user.spec;
        if spec.zone.as_ref().is_some_and(|z| *z != w.zone)
            || (!spec.spot && w.spot)
            || spec
                .machine_types
                .as_ref()
                .is_some_and(|t| !t.contains(&w.machine_type))
        {
            self.broken.push(format!(
                "wrong_place: {task} is on {machine}, which its job does not allow"
            ));
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for other in workers.values() {
            for t in other.running_tasks().filter(|t| job_of(t) == spec.id) {
                let _ = t;
                *zones.entry(&other.zone).or_default() += 1;
            }
        }
        if spec.one_zone && zones.len() > 1 {
            self.broken.push(format!(
                "wrong_place: {task} is not in the zone of the other tasks of its job"
            ));
        }
        if spec.spread && zones.get(w.zone.as_str()).copied().unwrap_or(0) > spec.tasks.div_ceil(2) {
            self.broken.push(format!(
                "wrong_place: {task} is in a zone with more than half of the tasks of its job"
            ));
        }
        if user.cancelled.is_some_and(|at| now > at + self.cancel_limit) {
            self.broken.push(format!("ran_cancelled: {task} starts"));
        }
        self.starts_after_cancellation += u64::from(user.cancelled.is_some());
        let held = team_use(&spec.team, workers, users, |w| w.running_tasks().collect());
        self.check_limit(now, &spec.team, held, "as a task starts");
    }

    /// Checks, as a task begins, that all jobs on which its job depends are done.
    pub fn check_dependencies(&mut self, task: &str, users: &BTreeMap<String, User>, results: &BTreeSet<String>) {
        let Some(user) = users.get(job_of(task)) else { return };
        for dependency in &user.spec.dependencies {
            let tasks = users.get(dependency).map_or(0, |u| u.spec.tasks);
            let left = (0..tasks)
                .filter(|t| !results.contains(&format!("{dependency}/{t}")))
                .count();
            if left > 0 || tasks == 0 {
                self.broken.push(format!(
                    "too_early: {task} starts, but {dependency} has {left} of {tasks} tasks unfinished"
                ));
            }
        }
    }

    /// Returns whether the user of any direct or indirect dependency of a job has asked to cancel
    /// the dependency.
    fn dependency_abort_requested(user: &User, users: &BTreeMap<String, User>) -> bool {
        let mut rest: Vec<&String> = user.spec.dependencies.iter().collect();
        while let Some(before) = rest.pop().and_then(|need| users.get(need)) {
            if before.wants_abort {
                return true;
            }
            rest.extend(&before.spec.dependencies);
        }
        false
    }

    /// Returns when the first answer left that informed a user of the cancellation of a direct or
    /// indirect dependency of a job. Only dependencies whose users asked to cancel them count.
    fn dependency_cancelled_at(user: &User, users: &BTreeMap<String, User>) -> Option<u64> {
        let mut first = None;
        let mut rest: Vec<&String> = user.spec.dependencies.iter().collect();
        while let Some(before) = rest.pop().and_then(|need| users.get(need)) {
            rest.extend(&before.spec.dependencies);
            let at = before.cancelled.filter(|_| before.wants_abort);
            first = first.into_iter().chain(at).min();
        }
        first
    }

    /// Checks the rules that hold at every time: limits of teams, and no tasks of cancelled jobs.
    pub fn check(&mut self, now: u64, workers: &BTreeMap<String, Worker>, users: &BTreeMap<String, User>) {
        let mut held: BTreeMap<&str, ResourceUse> = BTreeMap::new();
        for w in workers.values().filter(|w| !w.tasks.is_empty()) {
            for task in w.running_tasks() {
                let Some(user) = users.get(job_of(task)) else { continue };
                held.entry(&user.spec.team).or_default().add(&user.spec);
                if user.cancelled.is_some_and(|at| now > at + self.cancel_limit)
                    && self.broken.len() < MAX_REPEATED_FINDINGS
                {
                    self.broken.push(format!("ran_cancelled: {task} still on {}", w.name));
                }
            }
        }
        for (team, held) in held {
            self.check_limit(now, team, held, "");
        }
    }

    /// Checks that a final phase that a user has received does not change. Applies only to a user
    /// that sends one request at a time.
    pub fn check_final_phase(&mut self, job: &str, phase: Phase, user: &User) {
        if user.done.is_some() && phase != Phase::Done {
            self.broken.push(format!("went_back: {job} was done, now {phase:?}"));
        }
        if user.cancelled.is_some() && phase != Phase::Cancelled {
            self.broken
                .push(format!("went_back: {job} was cancelled, now {phase:?}"));
        }
    }

    /// Checks the phase in an answer to a user.
    pub fn check_answer(
        &mut self,
        now: u64,
        job: &str,
        phase: Phase,
        results: &BTreeSet<String>,
        user: &User,
        users: &BTreeMap<String, User>,
    ) {
        let before = Self::dependency_cancelled_at(user, users);
        if before.is_some_and(|at| now > at + self.cancel_limit) && !phase.is_final() {
            self.broken.push(format!(
                "orphaned: {job} was reported as {phase:?} at {now}, but a dependency was cancelled at {before:?}"
            ));
        }
        if phase == Phase::Cancelled && !user.wants_abort && !Self::dependency_abort_requested(user, users) {
            self.broken.push(format!(
                "went_back: {job} was reported as cancelled, but no user of it or its dependencies asked for that"
            ));
        }
        if phase == Phase::Done {
            let missing = (0..user.spec.tasks)
                .filter(|t| !results.contains(&format!("{job}/{t}")))
                .count();
            if missing > 0 || user.spec.shape == Shape::Service {
                self.broken.push(format!(
                    "not_done: {job} was reported as done at {now}, but has {missing} unfinished tasks or is a service"
                ));
            }
        }
    }
}

/// Returns a team's limit; 0 in the settings means unlimited.
fn limit_of(team: &Team) -> ResourceUse {
    let or_none = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
    ResourceUse {
        cpus: or_none(team.cpus_max),
        gpus: or_none(team.gpus_max),
    }
}

/// Returns the resources that one team's jobs use, over the tasks of each machine that `tasks`
/// selects.
fn team_use<'a>(
    team: &str,
    workers: &'a BTreeMap<String, Worker>,
    users: &BTreeMap<String, User>,
    tasks: impl Fn(&'a Worker) -> Vec<&'a str>,
) -> ResourceUse {
    let mut held = ResourceUse::default();
    for worker in workers.values().filter(|w| !w.tasks.is_empty()) {
        for task in tasks(worker) {
            if let Some(user) = users.get(job_of(task)).filter(|u| u.spec.team == team) {
                held.add(&user.spec);
            }
        }
    }
    held
}
