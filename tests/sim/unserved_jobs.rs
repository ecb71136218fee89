//! The check for unserved jobs: after all faults are over, no job within its team's limit may wait
//! long while no machine can take it, none that could is booting and none is asked for. The check
//! uses machines, submissions and rental requests only.

use super::agents::Worker;
use super::stranded_jobs::{allows, is_waiting, Places};
use super::{World, SEC};
use glenhaven::protocol::cloud::ProvisionRequest;
use glenhaven::protocol::users::{JobSpec, Shape};
use glenhaven_fakes::user::job_of;
use std::collections::{BTreeMap, BTreeSet};

/// How long a job may wait without a machine.
const MAX_WAIT: u64 = 90 * SEC;

#[derive(Default)]
pub(crate) struct UnservedJobs {
    /// When machines were last requested from the cloud, by type, zone and kind (spot or not).
    requested: BTreeMap<(String, String, bool), u64>,
    /// Since when each job has been waiting without a machine, without interruption.
    since: BTreeMap<String, u64>,
    /// Jobs that have been reported.
    reported: BTreeSet<String>,
}

/// Returns whether a machine that is up or booting has room for a task of this job, now or when the
/// arrays on it have ended.
fn can_take(world: &World, worker: &Worker, spec: &JobSpec) -> bool {
    let usable = !worker.dead && world.now >= worker.hangs_until && worker.reclaimed_at.is_none() && !worker.faulty;
    let Some(machine_type) = world.cloud.machine_type(&worker.machine_type) else {
        return false;
    };
    let services = worker
        .unfinished_tasks()
        .filter_map(|task| world.users.get(job_of(task)))
        .filter(|user| user.spec.shape == Shape::Service);
    let (cpus, memory) = services.fold((machine_type.cpus, machine_type.memory), |(cpus, memory), user| {
        (cpus - user.spec.cpus, memory - user.spec.memory)
    });
    usable
        && allows(spec, &worker.machine_type, &worker.zone, worker.spot)
        && spec.cpus <= cpus + 1e-9
        && spec.memory <= memory + 1e-9
}

impl UnservedJobs {
    /// Records a rental request that has reached the cloud, whatever its answer.
    pub(crate) fn machines_requested(&mut self, rent: &ProvisionRequest, now: u64) {
        let kind = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        self.requested.insert(kind, now);
    }

    fn last_request(&self, spec: &JobSpec) -> u64 {
        let suitable = self
            .requested
            .iter()
            .filter(|((machine_type, zone, spot), _)| allows(spec, machine_type, zone, *spot));
        suitable.map(|(_, at)| *at).max().unwrap_or(0)
    }

    fn update(&mut self, world: &World) {
        if world.now < world.script.faults_end() {
            return;
        }
        let places = Places::of(world);
        let mut waiting = BTreeMap::new();
        for (id, user) in world.users.iter().filter(|(_, u)| is_waiting(world, u)) {
            let is_unserved = places.waiting_tasks(world, &user.spec) > 0
                && places.limit_admits(world, &user.spec, 1)
                && !world.workers.values().any(|w| can_take(world, w, &user.spec));
            if is_unserved {
                let since = self.since.get(id).copied().unwrap_or(world.now);
                waiting.insert(id.clone(), since.max(self.last_request(&user.spec)));
            }
        }
        self.since = waiting;
    }
}

impl World {
    /// Reports jobs that are unserved; called once a second.
    pub(crate) fn check_unserved_jobs(&mut self) {
        let mut unserved_jobs = std::mem::take(&mut self.unserved_jobs);
        unserved_jobs.update(self);
        for (job, since) in &unserved_jobs.since {
            if self.now > since + MAX_WAIT && unserved_jobs.reported.insert(job.clone()) {
                let text = format!("unserved: {job} has had no machine, booting or asked for, since {since}");
                self.rules.broken.push(text);
            }
        }
        self.unserved_jobs = unserved_jobs;
    }
}

#[cfg(test)]
mod tests {
    use super::super::script::{plain_spec, Script};
    use super::super::users::User;
    use super::*;

    /// A job is reported if no machine can take it and none is asked for.
    #[test]
    fn an_unserved_job_is_reported() {
        let count_findings = |change: fn(&mut JobSpec), asks: bool| {
            let text = "until 200\nteam blue max=4\nat 1 submit run-000001 service cores=2";
            let mut world = World::new(Script::parse(text).unwrap());
            world.run_script();
            assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
            let mut spec = plain_spec("run-000003");
            spec.cpus = 1.0;
            spec.team = "blue".into();
            change(&mut spec);
            let mut user = User::new(spec, 10.0, false);
            user.accepted = Some(1);
            world.users.insert("run-000003".into(), user);
            for _ in 0..95 {
                world.now += SEC;
                if asks {
                    world
                        .unserved_jobs
                        .requested
                        .insert(("m".into(), "z".into(), false), world.now);
                }
                world.check_unserved_jobs();
            }
            world.rules.broken.len()
        };
        let elsewhere = |spec: &mut JobSpec| spec.zone = Some("z".into());
        assert_eq!(count_findings(elsewhere, false), 1);
        assert_eq!(
            count_findings(|s| s.memory = 64.0, false),
            1,
            "a service uses the memory"
        );
        assert_eq!(count_findings(elsewhere, true), 0, "a machine is asked for");
        assert_eq!(count_findings(|_| {}, false), 0, "a machine has room");
        let beyond_limit = |spec: &mut JobSpec| {
            spec.zone = Some("z".into());
            spec.cpus = 3.0;
        };
        assert_eq!(count_findings(beyond_limit, false), 0, "the team is at its limit");
    }
}
