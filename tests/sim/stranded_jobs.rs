//! The check for stranded jobs: after all faults are over, no job may wait long while machines
//! have room for it and its team is under its limit. The check uses machines and submissions only.

use super::agents::Worker;
use super::users::User;
use super::{World, SEC};
use glenhaven::protocol::users::JobSpec;
use glenhaven_fakes::user::job_of;
use std::collections::{BTreeMap, BTreeSet};

/// How long a job may wait although it could begin.
const MAX_WAIT: u64 = 90 * SEC;

#[derive(Default)]
pub(crate) struct StrandedJobs {
    /// Since when each job has been waiting with room for it, without interruption.
    since: BTreeMap<String, u64>,
    /// Jobs that have been reported.
    reported: BTreeSet<String>,
}

/// Where the tasks of all jobs are.
pub(super) struct Places<'a> {
    /// The number of tasks by job and zone.
    pub(super) by_job: BTreeMap<&'a str, BTreeMap<&'a str, u32>>,
    /// The CPUs that each team's tasks occupy.
    pub(super) by_team: BTreeMap<&'a str, f64>,
}

impl Places<'_> {
    pub(super) fn of(world: &World) -> Places<'_> {
        let mut places = Places {
            by_job: BTreeMap::new(),
            by_team: BTreeMap::new(),
        };
        for worker in world.workers.values().filter(|w| !w.dead) {
            for job in worker.unfinished_tasks().map(job_of) {
                let zones = places.by_job.entry(job).or_default();
                *zones.entry(&worker.zone).or_default() += 1;
                if let Some(user) = world.users.get(job) {
                    *places.by_team.entry(&user.spec.team).or_default() += user.spec.cpus;
                }
            }
        }
        places
    }
}

/// Returns whether a job's rules allow this type, zone and kind (spot or not) of machines.
pub(super) fn allows(spec: &JobSpec, machine_type: &String, zone: &str, spot: bool) -> bool {
    spec.machine_types.as_ref().is_none_or(|t| t.contains(machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
        && (spec.spot || !spot)
}

/// Returns how many more tasks of this job a machine has room for.
fn room(world: &World, worker: &Worker, spec: &JobSpec) -> u32 {
    let usable = worker.up && world.now >= worker.hangs_until && worker.reclaimed_at.is_none() && !worker.faulty;
    if !usable || !allows(spec, &worker.machine_type, &worker.zone, worker.spot) {
        return 0;
    }
    let (cpus, memory) = worker.free(&world.users);
    ((cpus + 1e-9) / spec.cpus).min((memory + 1e-9) / spec.memory.max(1e-9)) as u32
}

/// Returns how many tasks of a job have completed.
pub(super) fn completed_tasks(world: &World, job: &str) -> u32 {
    let all = world.results.range(format!("{job}/")..format!("{job}0"));
    all.count() as u32
}

/// Returns whether a job is accepted and unfinished, with all its dependencies completed.
pub(super) fn is_waiting(world: &World, user: &User) -> bool {
    let need_done = |need: &String| {
        let needed = world.users.get(need);
        needed.is_some_and(|u| completed_tasks(world, need) == u.spec.tasks)
    };
    let over = user.wants_abort || user.cancelled.is_some() || user.done.is_some() || user.always_fails;
    user.accepted.is_some() && !over && user.spec.dependencies.iter().all(need_done)
}

impl Places<'_> {
    /// Returns how many tasks of a job are on no machine and have not completed.
    pub(super) fn waiting_tasks(&self, world: &World, spec: &JobSpec) -> u32 {
        let placed: u32 = self
            .by_job
            .get(spec.id.as_str())
            .map_or(0, |zones| zones.values().sum());
        spec.tasks.saturating_sub(placed + completed_tasks(world, &spec.id))
    }

    /// Returns whether the limit of the job's team admits this many more of its tasks.
    pub(super) fn limit_admits(&self, world: &World, spec: &JobSpec, count: u32) -> bool {
        let held = self.by_team.get(spec.team.as_str()).copied().unwrap_or(0.0);
        let limit = world.rules.limit(&spec.team);
        limit.is_none_or(|limit| held + f64::from(count) * spec.cpus <= limit + 1e-9)
    }
}

/// Returns whether some of the job's waiting tasks could begin: within the limit of its team and
/// its zone rules, and with room on the machines.
fn could_begin(world: &World, places: &Places, spec: &JobSpec) -> bool {
    let none = BTreeMap::new();
    let zones = places.by_job.get(spec.id.as_str()).unwrap_or(&none);
    let placed: u32 = zones.values().sum();
    let waiting = places.waiting_tasks(world, spec);
    // All tasks of a gang begin together.
    let count = if spec.one_zone { waiting } else { 1 };
    if waiting == 0 || !places.limit_admits(world, spec, count) {
        return false;
    }
    let mut rooms: BTreeMap<&str, u32> = BTreeMap::new();
    for worker in world.workers.values() {
        *rooms.entry(&worker.zone).or_default() += room(world, worker, spec);
    }
    rooms.into_iter().any(|(zone, room)| {
        let here = zones.get(zone).copied().unwrap_or(0);
        let zone_allowed = !spec.one_zone || placed == here;
        let spread = !spec.spread || here < spec.tasks.div_ceil(2);
        room >= count && zone_allowed && spread
    })
}

impl World {
    /// Reports jobs that are stranded; called once a second.
    pub(crate) fn check_stranded_jobs(&mut self) {
        let mut stranded_jobs = std::mem::take(&mut self.stranded_jobs);
        stranded_jobs.update(self);
        for job in stranded_jobs
            .since
            .iter()
            .filter(|(_, since)| self.now > **since + MAX_WAIT)
        {
            if stranded_jobs.reported.insert(job.0.clone()) {
                self.rules
                    .broken
                    .push(format!("left waiting: {} since {} with room", job.0, job.1));
            }
        }
        self.stranded_jobs = stranded_jobs;
    }
}

impl StrandedJobs {
    fn update(&mut self, world: &World) {
        if world.now < world.script.faults_end() {
            return;
        }
        let places = Places::of(world);
        let last_start = |id: &str| world.rules.last_start.get(id).copied().unwrap_or(0);
        let mut waiting = BTreeMap::new();
        for (id, user) in world.users.iter().filter(|(_, u)| is_waiting(world, u)) {
            if could_begin(world, &places, &user.spec) {
                let since = self.since.get(id).copied().unwrap_or(world.now);
                waiting.insert(id.clone(), since.max(last_start(id)));
            }
        }
        self.since = waiting;
    }
}

#[cfg(test)]
mod tests {
    use super::super::script::Script;
    use super::*;

    /// A job is reported if it is not placed although a machine has room for it.
    #[test]
    fn a_stranded_job_is_reported() {
        let text =
            "until 250\nteam blue max=4\nat 1 submit run-000001 service cores=2\nat 30 submit run-000002 service";
        let count_findings = |change: fn(&mut JobSpec), inherits: bool| {
            let mut world = World::new(Script::parse(text).unwrap());
            world.run_script();
            assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
            let mut spec = super::super::script::plain_spec("run-000003");
            change(&mut spec);
            let mut user = User::new(spec, 10.0, false);
            user.accepted = inherits.then_some(1);
            world.users.insert("run-000003".into(), user);
            for _ in 0..95 {
                world.now += SEC;
                world.check_stranded_jobs();
            }
            world.rules.broken.len()
        };
        assert_eq!(count_findings(|_| {}, true), 1);
        assert_eq!(count_findings(|_| {}, false), 0, "the job was not accepted");
        assert_eq!(count_findings(|s| s.cpus = 2.0, true), 0, "the team is at its limit");
        assert_eq!(
            count_findings(|s| s.zone = Some("z".into()), true),
            0,
            "no machine fits"
        );
        assert_eq!(count_findings(|s| s.memory = 64.0, true), 0, "no machine has room");
    }
}
