//! The leader's state of a rented machine: its type and zone, its agent's last heartbeat, the
//! tasks charged to it, and the images in its cache.
//!
//! Heartbeat processing, the scheduler and provisioning make the decisions and change this state.
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
    /// The machine is rented, but its agent has never sent a heartbeat.
    Booting,
    /// The machine's agent has sent a heartbeat.
    Up,
    /// The machine will be released; nothing may start there.
    Releasing,
}

/// An image in a machine's cache.
#[derive(Clone, Debug)]
pub struct CachedImage {
    /// The image's name.
    pub name: Rc<str>,
    /// The image's size, in GB.
    pub size_gb: f64,
}

/// A rented machine.
pub struct Machine {
    /// The name that the cloud assigned to the machine.
    pub name: MachineId,
    /// The address of the machine's agent; empty until it is known.
    pub address: String,
    /// The machine's type in the cloud's catalogue; empty until it is known.
    pub machine_type: String,
    /// The machine's zone; empty until it is known.
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The stage of the machine's rental.
    pub state: MachineState,
    /// When the machine was rented, if that is known; otherwise when this leader first saw its
    /// name.
    pub known_since: Micros,
    /// When the machine was rented; `None` unless this leader rented it or the cloud's list
    /// contains the time.
    pub rented_at: Option<Micros>,
    /// The incarnation of the machine's agent; 0 until the first heartbeat.
    pub incarnation: u64,
    /// The sequence number of the last heartbeat.
    pub sequence: u64,
    /// The fencing token that the agent last reported. The agent refuses commands with a lower one.
    pub fencing_token: u64,
    /// When the last heartbeat was received.
    pub last_heartbeat: Micros,
    /// The controller that forwarded the last heartbeat; `None` if this one received it directly.
    pub heartbeat_proxy: Option<Rc<str>>,
    /// The number of consecutive heartbeats that arrived through a different controller than the
    /// heartbeat before, although the earlier heartbeat was answered. An agent that receives no
    /// response tries the next controller, so a high count indicates that responses don't reach the
    /// machine.
    pub controller_changes: u32,
    /// When a probe was last sent to find out whether the machine receives commands (see
    /// `asymmetric_partition`).
    pub probed_at: Micros,
    /// The number of the machine's heartbeats that this leader has processed.
    pub heartbeats_received: u32,
    /// Whether the machine is in the write-ahead log or in the cloud's list of machines.
    pub confirmed: bool,
    /// When another controller last reported that it answers the machine's heartbeats without the
    /// leader.
    pub last_proxied_at: Micros,
    /// When the cloud will reclaim the machine, if the cloud has announced this.
    pub interruption_at: Option<Micros>,
    /// The tasks that have placement records on the machine, as job and task number.
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Attempts that the agent lists as not exited, and for which there is no placement record.
    pub orphaned_attempts: Vec<Attempt>,
    /// The index of the machine's kind in the scheduler's list of kinds.
    pub kind_index: Option<usize>,
    /// The resources that the tasks charged to the machine use.
    pub used: Resources,
    /// The number of tasks charged to the machine that belong to services.
    pub service_tasks: i32,
    /// The machine's index among the candidates of the current scheduling pass; `None` if the
    /// machine accepts no new work.
    pub candidate_index: Option<usize>,
    /// Images in the machine's cache, the most recently used at the back.
    pub cached_images: VecDeque<CachedImage>,
    /// Images that tasks placed on the machine have yet to fetch.
    pub fetching_images: BTreeSet<Rc<str>>,
    /// When scale-in first found the machine without a task; `None` if it has had one since.
    pub idle_since: Option<Micros>,
    /// The number of exited attempts without a record in the last heartbeat that the agent may not
    /// forget under the present term.
    pub retained_exits: usize,
    /// The reasons to send commands to the machine, and the starts that may be in flight to it.
    pub outbox: Outbox,
    /// When a task last completed on the machine; `None` if this leader has seen none.
    pub last_completion: Option<Micros>,
    /// The number of recent task failures on the machine, by job.
    pub task_failures: BTreeMap<JobId, u32>,
    /// Since when the machine has been in quarantine because tasks fail on it.
    pub quarantined_since: Option<Micros>,
    /// Until when the machine is in quarantine and gets no new tasks.
    pub quarantined_until: Micros,
    /// When the cloud was requested to release the machine; `None` if it was not.
    pub release_requested_at: Option<Micros>,
    /// When the last of the machine's tasks is expected to end.
    pub expected_idle_at: Micros,
    /// Until when the machine counts as slow and gets no new tasks.
    pub slow_until: Micros,
}

impl Machine {
    /// Creates a machine of which only the name is known, until its first heartbeat arrives or the
    /// cloud lists it.
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
            retained_exits: 0,
            outbox: Outbox::default(),
            last_completion: None,
            task_failures: BTreeMap::new(),
            quarantined_since: None,
            quarantined_until: Micros::ZERO,
            release_requested_at: None,
            expected_idle_at: Micros::ZERO,
            slow_until: Micros::ZERO,
        }
    }

    /// Sets the machine's type, zone and capacity type (spot or on-demand). If any of them changed,
    /// the kind is cleared and has to be looked up again.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type != machine_type || self.zone != zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.kind_index = None;
        }
    }

    /// Adds the resources of one task of the job to those in use.
    pub fn charge(&mut self, spec: &JobSpec) {
        self.used += Resources::of_task(spec);
        self.service_tasks += i32::from(spec.shape == Shape::Service);
    }

    /// Subtracts the resources of one task of the job from those in use.
    pub fn discharge(&mut self, spec: &JobSpec) {
        self.used -= Resources::of_task(spec);
        self.service_tasks -= i32::from(spec.shape == Shape::Service);
    }

    /// Whether new tasks may start on the machine. They may not if its last heartbeat is
    /// `silence_limit` old or older.
    pub fn accepts_work(&self, now: Micros, silence_limit: Micros) -> bool {
        self.state == MachineState::Up
            && self.interruption_at.is_none()
            && !self.is_asymmetrically_partitioned()
            // A single heartbeat may be a late duplicate from a machine that no longer exists.
            && (self.heartbeats_received > 1 || self.confirmed || self.rented_at.is_some())
            && self.orphaned_attempts.is_empty()
            && now >= self.quarantined_until
            && now >= self.slow_until
            && now.since(self.last_heartbeat) < silence_limit
            && self.release_requested_at.is_none()
    }
}

/// A kind of machine: the properties that determine which work may run on it.
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
    /// The rate at which one machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
}
