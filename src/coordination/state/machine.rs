//! A rented machine as the leader knows it.
//!
//! Owns the facts about one machine: what it is, what its agent last reported, which tasks are
//! charged to it, and which images it has cached. Heartbeat processing, the scheduler and
//! provisioning change these facts; none of them is decided here.
//!
//! Invariant: `used` and `service_tasks` are the sums over the placements on this machine that
//! have not exited, including restored ones. They change only in [`Machine::charge`] and
//! [`Machine::discharge`].

use super::resources::Resources;
use crate::coordination::agents::{Attempt, Outbox};
use crate::coordination::JobId;
use crate::protocol::users::{JobSpec, Shape};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A machine's name.
pub type MachineId = Rc<str>;

/// The stage of a machine's rental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its agent has never sent a heartbeat.
    Booting,
    /// Its agent has sent a heartbeat.
    Up,
    /// It is to be returned to the cloud; nothing may start there.
    Releasing,
}

/// An image in a machine's cache.
#[derive(Clone, Debug)]
pub struct CachedImage {
    /// The image's name.
    pub name: Rc<str>,
    /// Its size in GB.
    pub size_gb: f64,
}

/// A rented machine.
pub struct Machine {
    /// The name that the cloud gave it.
    pub name: MachineId,
    /// Where its agent listens; empty until it is known.
    pub address: String,
    /// The name of its type in the cloud's catalogue; empty until it is known.
    pub machine_type: String,
    /// Its zone; empty until it is known.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may take away.
    pub spot: bool,
    /// The stage of its rental.
    pub state: MachineState,
    /// When this leader first knew of it, or when it was rented if that is known.
    pub known_since: Micros,
    /// When it was rented, if this leader rented it or the cloud's list says so.
    pub rented_at: Option<Micros>,
    /// The incarnation of its agent; 0 until the first heartbeat.
    pub incarnation: u64,
    /// The sequence number of its last heartbeat.
    pub sequence: u64,
    /// The fencing token that its agent last reported: it refuses commands with a lower one.
    pub fencing_token: u64,
    /// When its last heartbeat was received.
    pub last_heartbeat: Micros,
    /// The controller that forwarded its last heartbeat; `None`: it came here directly.
    pub heartbeat_proxy: Option<Rc<str>>,
    /// Consecutive heartbeats that came to another controller than the one before, although that
    /// one answered: an agent that receives no answer tries the next controller.
    pub controller_changes: u32,
    /// When it was last asked whether it receives commands (`asymmetric_partition`).
    pub probed_at: Micros,
    /// Heartbeats that this leader has processed.
    pub heartbeats_received: u32,
    /// The write-ahead log or the cloud's list names it.
    pub confirmed: bool,
    /// When another controller last said that it answers this machine's heartbeats by itself.
    pub last_proxied_at: Micros,
    /// When the cloud takes it away, if it has announced that.
    pub interruption_at: Option<Micros>,
    /// The tasks that have records here, as job and task number.
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Attempts that its agent lists, that have not ended and that no record explains.
    pub orphaned_attempts: Vec<Attempt>,
    /// The index of its kind in the scheduler's list of kinds.
    pub kind_index: Option<usize>,
    /// What the tasks charged to it use.
    pub used: Resources,
    /// How many of these tasks belong to services.
    pub service_tasks: i32,
    /// Its index among the candidates of the current scheduling pass, if it accepts new work.
    pub candidate_index: Option<usize>,
    /// Images in its cache, the most recently used at the back.
    pub cached_images: VecDeque<CachedImage>,
    /// Images that tasks placed here have yet to fetch.
    pub fetching_images: BTreeSet<Rc<str>>,
    /// Since when it has had no task.
    pub idle_since: Option<Micros>,
    /// The outcome of an exited task was recorded: its agent may forget that task.
    pub has_forgettable_exits: bool,
    /// What is to be sent to it, and which starts may be on their way to it.
    pub outbox: Outbox,
    /// Jobs whose tasks failed here lately, and how many of them.
    pub task_failures: BTreeMap<JobId, u32>,
    /// Since when it has been in quarantine because tasks fail on it.
    pub quarantined_since: Option<Micros>,
    /// Until when it is in quarantine and gets nothing new.
    pub quarantined_until: Micros,
    /// When its release was requested of the cloud.
    pub release_requested_at: Option<Micros>,
    /// When the last of its tasks is expected to end.
    pub expected_idle_at: Micros,
    /// Until when it is treated as slow and gets nothing new.
    pub slow_until: Micros,
}

impl Machine {
    /// A machine of which only the name is known, until it sends a heartbeat or is listed.
    pub fn unknown(name: Rc<str>, now: Micros) -> Machine {
        Machine {
            name,
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            known_since: now,
            rented_at: None,
            incarnation: 0,
            sequence: 0,
            fencing_token: 0,
            last_heartbeat: now,
            heartbeat_proxy: None,
            controller_changes: 0,
            probed_at: Micros::ZERO,
            heartbeats_received: 0,
            confirmed: false,
            last_proxied_at: Micros::ZERO,
            interruption_at: None,
            tasks: BTreeSet::new(),
            orphaned_attempts: vec![],
            cached_images: VecDeque::new(),
            fetching_images: BTreeSet::new(),
            kind_index: None,
            used: Resources::default(),
            service_tasks: 0,
            candidate_index: None,
            idle_since: None,
            has_forgettable_exits: false,
            outbox: Outbox::default(),
            task_failures: BTreeMap::new(),
            quarantined_since: None,
            quarantined_until: Micros::ZERO,
            release_requested_at: None,
            expected_idle_at: Micros::ZERO,
            slow_until: Micros::ZERO,
        }
    }

    /// Sets its type, zone and billing as the latest source says; its kind is looked up anew if
    /// they differ.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type != machine_type || self.zone != zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.kind_index = None;
        }
    }

    /// A task of this job begins to use resources here.
    pub fn charge(&mut self, spec: &JobSpec) {
        self.used += Resources::of_task(spec);
        self.service_tasks += i32::from(spec.shape == Shape::Service);
    }

    /// A task of this job no longer uses resources here.
    pub fn discharge(&mut self, spec: &JobSpec) {
        self.used -= Resources::of_task(spec);
        self.service_tasks -= i32::from(spec.shape == Shape::Service);
    }

    /// Whether something new may start here. `silent`: the age of the last heartbeat from which on
    /// it may not.
    pub fn accepts_work(&self, now: Micros, silent: Micros) -> bool {
        self.state == MachineState::Up
            && self.interruption_at.is_none()
            && !self.is_asymmetrically_partitioned()
            // A duplicate of a heartbeat of a machine that is long gone is not followed by another.
            && (self.heartbeats_received > 1 || self.confirmed || self.rented_at.is_some())
            && self.orphaned_attempts.is_empty()
            && now >= self.quarantined_until
            && now >= self.slow_until
            && now.since(self.last_heartbeat) < silent
            && self.release_requested_at.is_none()
    }
}

/// A kind of machine: the properties that decide which work may run on it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineKind {
    /// The name of the type in the cloud's catalogue.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// CPU cores of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    pub gpus: f64,
    /// Memory of one machine, in GB.
    pub memory: f64,
    /// How fast one machine fetches images.
    pub fetch_gb_per_s: f64,
}
