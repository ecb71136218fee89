//! Machines and jobs of an experiment, and the rules checked on them.

use crate::experiment::Experiment;
use crate::history::History;
use crate::soak::stranded::Stranded;
use async_channel::Sender;
use glenhaven::protocol::cloud::MachineType;
use glenhaven::settings::Team;
use glenhaven_fakes::cloud::Cloud;
use glenhaven_fakes::rules::Rules;
use glenhaven_fakes::user::User;
use glenhaven_fakes::worker::{Executed, Worker};
use glenhaven_fakes::SEC;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the only machine type.
pub(crate) const MACHINE_TYPE: &str = "m";
/// Hourly price per core, on demand and spot.
const PRICE_PER_CORE: f64 = 0.06;
const SPOT_PRICE_PER_CORE: f64 = 0.02;
const CACHE_GB: f64 = 100.0;
const FETCH_GB_PER_S: f64 = 1.0;

/// Handle of a machine's async tasks: dropping it ends them, a message on `wake` wakes the worker.
pub(crate) struct MachineHandle {
    pub wake: Sender<()>,
    /// Closes the termination channel when dropped.
    pub _alive: Sender<()>,
}

/// The first response with a new fencing token that a worker accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermStart {
    pub fencing_token: u64,
    pub at: u64,
}

/// Machines, jobs, results and rules of an experiment.
pub(crate) struct Fleet {
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub handles: BTreeMap<String, MachineHandle>,
    pub users: BTreeMap<String, User>,
    pub results: BTreeSet<String>,
    pub rules: Rules,
    pub rng: fastrand::Rng,
    /// Zones in which no machine can be rented at present.
    pub zones_out: BTreeSet<String>,
    pub terms: Vec<TermStart>,
    /// Recent events, written out by soaks to diagnose failures.
    pub history: History,
    /// Stranded jobs; checked in soaks only.
    pub stranded: Stranded,
    next_request: u64,
}

/// Returns the machine type of an experiment.
pub(crate) fn machine_type(experiment: &Experiment) -> MachineType {
    let workers = &experiment.workers;
    let zones: BTreeSet<String> = experiment.controllers.zones.iter().cloned().collect();
    MachineType {
        name: MACHINE_TYPE.into(),
        cpus: workers.cpus,
        gpus: workers.gpus,
        memory: workers.memory_gb,
        cache_gb: CACHE_GB,
        fetch_gb_per_s: FETCH_GB_PER_S,
        price: workers.cpus * PRICE_PER_CORE,
        spot_price: workers.cpus * SPOT_PRICE_PER_CORE,
        boot_s: workers.boot_s,
        zones: zones.into_iter().collect(),
    }
}

/// Returns the teams of an experiment.
pub(crate) fn teams(experiment: &Experiment) -> Vec<Team> {
    let team = |n: usize| Team {
        name: format!("team-{n:03}"),
        cpus: experiment.teams.cpus,
        cpus_max: experiment.teams.cpus_max,
        gpus: experiment.teams.gpus,
        gpus_max: experiment.teams.gpus_max,
    };
    (0..experiment.teams.count).map(team).collect()
}

impl Fleet {
    /// Creates a fleet without machines and jobs.
    pub(crate) fn new(experiment: &Experiment) -> Fleet {
        let kind = machine_type(experiment);
        let in_a_zone = experiment.workers.count.div_ceil(kind.zones.len().max(1)) as u32;
        let lag = (experiment.services.list_lag_s * SEC as f64) as u64;
        let mut cloud = Cloud::new(vec![kind], in_a_zone, 0, lag);
        cloud.page_size = crate::cloud_service::PAGE_SIZE;
        Fleet {
            cloud,
            workers: BTreeMap::new(),
            handles: BTreeMap::new(),
            users: BTreeMap::new(),
            results: BTreeSet::new(),
            rules: Rules::new(&teams(experiment), experiment.workers.cancel_s),
            rng: fastrand::Rng::with_seed(experiment.seed),
            zones_out: BTreeSet::new(),
            terms: vec![],
            history: History::default(),
            stranded: Stranded::default(),
            next_request: 0,
        }
    }

    /// Returns the next request number.
    pub(crate) fn request_number(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Terminates a machine with everything on it.
    pub(crate) fn terminate_machine(&mut self, now: u64, name: &str) {
        self.history.note(now, || format!("{name} is gone"));
        self.cloud.terminate(now, name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.power_off();
        }
        self.handles.remove(name);
    }

    /// Returns the machines that are up, in one zone or in all, in random order.
    pub(crate) fn up(&mut self, zone: Option<&str>) -> Vec<String> {
        let here = |w: &&Worker| w.up && zone.is_none_or(|z| w.zone == z);
        let mut names: Vec<String> = self.workers.values().filter(here).map(|w| w.name.clone()).collect();
        self.rng.shuffle(&mut names);
        names
    }

    /// Records that a worker accepted a response with this fencing token.
    pub(crate) fn record_fencing_token(&mut self, now: u64, fencing_token: u64) {
        if self.terms.last().is_none_or(|last| fencing_token > last.fencing_token) {
            self.history
                .note(now, || format!("the first worker has token {fencing_token}"));
            self.terms.push(TermStart { fencing_token, at: now });
        }
    }

    /// Checks the commands that a worker has executed, and records them.
    pub(crate) fn record_executed(&mut self, now: u64, machine: &str, fencing_token: u64, executed: &Executed) {
        self.rules.stops += executed.stops;
        for (task, attempt) in &executed.accepted_starts {
            self.history.note(now, || {
                format!("{machine} takes {task} attempt {attempt} token {fencing_token}")
            });
            self.rules
                .check_accepted_start(now, task, &self.workers, &self.users, &self.results);
        }
        for (task, attempt) in &executed.forgotten {
            self.history.note(now, || {
                format!("{machine} forgets {task} attempt {attempt} token {fencing_token}")
            });
        }
        // A task with a kept result exits with it and does not run again.
        for (task, attempt) in executed.repeated_starts.iter().filter(|s| !self.results.contains(&s.0)) {
            let text =
                format!("started_again: {machine} takes {task} attempt {attempt}, which it had forgotten, at {now}");
            self.rules.broken.push(text);
        }
    }

    /// Checks the rules that must hold at any time.
    pub(crate) fn check_rules(&mut self, now: u64) {
        self.rules.check(now, &self.workers, &self.users);
    }

    /// Counts running tasks, machines that are up, and jobs that are neither done nor cancelled.
    pub(crate) fn counts(&self) -> Counts {
        let up = || self.workers.values().filter(|w| w.up);
        let open = |u: &&User| u.accepted.is_some() && u.done.is_none() && u.cancelled.is_none();
        Counts {
            machines: up().count(),
            running: up().map(|w| w.running_tasks().count()).sum(),
            open_jobs: self.users.values().filter(open).count(),
            starts: self.rules.starts,
        }
    }
}

/// Numbers of machines, tasks and jobs at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub machines: usize,
    pub running: usize,
    pub open_jobs: usize,
    /// Task starts since the beginning of the experiment.
    pub starts: u64,
}
