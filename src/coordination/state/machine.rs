//! A rented machine as the leader holds it, and what it is before anything is known of it.

use crate::coordination::agents::{Attempt, Outbox};
use crate::coordination::JobId;
use crate::protocol::users::{JobSpec, Shape};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A machine's name.
pub type MachineId = Rc<str>;

/// How far a machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; it has never reported.
    Booting,
    Up,
    /// To be returned; nothing may start there.
    Releasing,
}

/// A rented machine.
pub struct Machine {
    pub name: MachineId,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: MachineState,
    /// When it was rented, as far as known.
    pub since: Micros,
    /// When it was rented, if this leader or the list says so.
    pub rented_at: Option<Micros>,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub last_heartbeat: Micros,
    /// The controller that passed its last report on; `None`: it came here.
    pub via: Option<Rc<str>>,
    /// Reports in a row that came to another controller than the one before, though that
    /// one answered: a worker that gets no answer tries the next.
    pub moves: u32,
    /// It was asked whether it hears: when.
    pub asked_at: Micros,
    /// How many reports of it were taken in.
    pub heartbeats: u32,
    /// The book or the list named it.
    pub named: bool,
    /// When another node last said that it keeps the machine.
    pub proxied_at: Micros,
    /// When the cloud takes it away.
    pub interruption_at: Option<Micros>,
    /// Tasks with records here.
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Attempts that it lists and no record explains, and that have not ended.
    pub orphaned_attempts: Vec<Attempt>,
    /// Its kind, in the leader's list of kinds.
    pub kind: Option<usize>,
    /// CPUs, GPUs and memory that tasks take here.
    pub used: [f64; 3],
    /// Tasks of services among them.
    pub services: i32,
    /// Its place in the present scheduling pass, if it takes new work.
    pub candidate: Option<usize>,
    /// Images fetched here, the last used at the back.
    pub images: VecDeque<(Rc<str>, f64)>,
    /// Images that tasks placed here have yet to fetch.
    pub fetching: BTreeSet<Rc<str>>,
    pub idle_since: Option<Micros>,
    /// An outcome was recorded: the exited task may be forgotten.
    pub to_forget: bool,
    /// What it is to be sent, and which starts may be on their way to it.
    pub outbox: Outbox,
    /// Jobs whose tasks failed here lately, and how many of them; doubted
    /// machines get nothing new.
    pub faults: BTreeMap<JobId, u32>,
    pub quarantined_since: Option<Micros>,
    pub quarantined_until: Micros,
    pub release_sent: Option<Micros>,
    /// When the last of its tasks is expected to end.
    pub until: Micros,
    /// Until when it is taken to be slow.
    pub slow_until: Micros,
}

impl Machine {
    /// A machine known by name only, until it reports or is listed.
    pub fn unknown(name: Rc<str>, now: Micros) -> Machine {
        Machine {
            name,
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            since: now,
            rented_at: None,
            incarnation: 0,
            sequence: 0,
            fencing_token: 0,
            last_heartbeat: now,
            via: None,
            moves: 0,
            asked_at: Micros::ZERO,
            heartbeats: 0,
            named: false,
            proxied_at: Micros::ZERO,
            interruption_at: None,
            tasks: BTreeSet::new(),
            orphaned_attempts: vec![],
            images: VecDeque::new(),
            fetching: BTreeSet::new(),
            kind: None,
            used: [0.0; 3],
            services: 0,
            candidate: None,
            idle_since: None,
            to_forget: false,
            outbox: Outbox::default(),
            faults: BTreeMap::new(),
            quarantined_since: None,
            quarantined_until: Micros::ZERO,
            release_sent: None,
            until: Micros::ZERO,
            slow_until: Micros::ZERO,
        }
    }

    /// What it is as far as known: a type, a zone, and whether it is spot.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type != machine_type || self.zone != zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.kind = None;
        }
    }

    /// A task begins to take room, or no longer does.
    pub fn take(&mut self, spec: &JobSpec, sign: f64) {
        self.used[0] += sign * spec.cpus;
        self.used[1] += sign * spec.gpus;
        self.used[2] += sign * spec.memory;
        if spec.shape == Shape::Service {
            self.services += if sign > 0.0 { 1 } else { -1 };
        }
    }

    /// Whether something new may start here.
    pub fn takes_work(&self, now: Micros, silent: Micros) -> bool {
        self.state == MachineState::Up
            && self.interruption_at.is_none()
            && !self.is_asymmetrically_partitioned()
            // A copy of a report of a machine that is long gone is not followed by another.
            && (self.heartbeats > 1 || self.named || self.rented_at.is_some())
            && self.orphaned_attempts.is_empty()
            && now >= self.quarantined_until
            && now >= self.slow_until
            && now.since(self.last_heartbeat) < silent
            && self.release_sent.is_none()
    }
}

/// A kind of machine: what decides which work may run on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
}
