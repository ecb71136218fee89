//! A whole small deployment: the state service, the cloud with its workers, and the controllers.

use crate::cloud::Cloud;
use crate::controllers::{Controllers, Settings};
use crate::record::Record;
use crate::state::{Limits, StateService};
use crate::user;
use crate::worker::{upload_of, MachineType, Shared};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The settings of the small deployment of the brief with the state service's limits, the workers'
/// times and the teams of `brunnmatt-charts`.
pub fn brunnmatt_charts() -> Settings {
    Settings {
        count: 3,
        yards: vec!["bern-hall", "basel-vault"],
        teams: vec![("hydro", 0.0, 0.0), ("alpsee", 0.0, 0.0), ("nordkap", 0.0, 0.0)],
        workers: (3.0, 36.0, 56.0),
        state: Limits {
            rps: 200.0,
            write_rps: 50.0,
            value_kb: 8.0,
            txn_ops: 24,
        },
        cloud: (8.0, 5.0),
    }
}

/// The machine type `deck` of `brunnmatt-charts`, which boots faster here.
pub fn deck(boot_s: f64) -> MachineType {
    let prices = (1.05, 0.43);
    MachineType {
        label: "deck",
        cores: 16.0,
        mem_gb: 128.0,
        boot_s,
        fetch_gb_per_s: 0.3,
        prices,
    }
}

/// Returns whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

/// A running deployment.
pub struct Platform {
    /// The record of the run.
    pub record: Record,
    /// What workers share.
    pub shared: Arc<Shared>,
    /// The state service.
    pub state: StateService,
    /// The cloud.
    pub cloud: Cloud,
    /// The controllers.
    pub controllers: Controllers,
}

impl Platform {
    /// Starts everything and waits until the controllers are ready; ends with status 2 if they don't
    /// become so.
    pub fn start(settings: &Settings, types: Vec<MachineType>) -> Platform {
        let root = PathBuf::from(std::env::args().nth(1).expect("the root of the repository"));
        let root = root.canonicalize().expect("the root of the repository exists");
        let record = Record::create();
        let mut controllers = Controllers::prepare(&root, settings.count);
        let shared = Arc::new(Shared {
            uploads: Mutex::new(BTreeMap::new()),
            results: Mutex::new(BTreeSet::new()),
            controllers: controllers.nodes.clone(),
            report_s: settings.workers.0,
            lease_s: settings.workers.1,
            faulty: Mutex::new(BTreeSet::new()),
            first_controller: Mutex::new(None),
            starts: Mutex::new(vec![]),
            record: record.clone(),
        });
        let state = StateService::start(settings.state, settings.count, record.clone());
        let cloud = Cloud::new(types, &settings.yards, settings.cloud.1, shared.clone());
        controllers.write_settings(settings, &state.addresses, cloud.start());
        controllers.free_ports();
        for n in 0..settings.count {
            controllers.start(n);
        }
        let pids: Vec<Option<u32>> = (0..settings.count).map(|n| controllers.pid(n)).collect();
        record.note(format!("started {pids:?}, listening at {:?}", controllers.addresses()));
        let is_ready = controllers.wait_until_ready(Duration::from_secs(15));
        let platform = Platform {
            record,
            shared,
            state,
            cloud,
            controllers,
        };
        if !is_ready {
            platform.finish(2, "the controllers did not become ready");
        }
        platform.record.note("all controllers are ready");
        platform
    }

    /// Uploads a job for the workers and submits it; returns the status.
    pub fn submit(&self, job: &user::Job, run_s: Vec<f64>) -> u16 {
        let upload = upload_of(&job.body(), run_s);
        self.shared.uploads.lock().unwrap().insert(job.id.clone(), upload);
        user::submit(&self.record, &self.controllers.nodes, job)
    }

    /// Writes down the machines with their tasks, and the controllers that have ended by themselves.
    pub fn note_machines(&mut self) {
        for machine in self.cloud.machines() {
            let (name, tasks, cores) = (&machine.name, machine.live_tasks().len(), machine.used().0);
            let of = machine.machine_type.cores;
            self.record
                .note(format!("platform: {name} has {tasks} tasks on {cores:.2} of {of} CPUs"));
        }
        if self.cloud.machines().is_empty() {
            self.record.note("platform: no machine is rented");
        }
        let ended = self.controllers.ended();
        if !ended.is_empty() {
            self.record
                .note(format!("platform: controllers {ended:?} have ended by themselves"));
        }
    }

    /// Ends the processes and then this one, with the status of the case.
    pub fn finish(self, status: i32, why: &str) -> ! {
        self.record.note(format!("judged: {status}: {why}"));
        println!("{status}: {why}");
        drop(self.controllers);
        std::process::exit(status)
    }

    /// Returns the phase of a job.
    pub fn poll(&self, job: &str) -> String {
        user::poll(&self.record, &self.controllers.nodes, job)
    }
}
