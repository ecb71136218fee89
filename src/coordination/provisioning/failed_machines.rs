//! The cloud's list of machines, and the release of machines that failed: those that never boot,
//! are silent, interrupted or listed as failed, or keep a cancelled task for too long.
//!
//! The leader runs these checks for every page of the list and at intervals. A failed machine is
//! only marked for release; its tasks count as running until the cloud confirms the release.

use super::super::state::{LeaderState, Machine, MachineId, MachineState};
use super::super::{timing, ClusterConfig};
use crate::protocol::cloud::ListedMachine;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// Nominal boot time assumed for a machine of an unknown type, in seconds.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// The fewest silent machines that make a controller unreliable, if most of its machines are
/// silent.
const MIN_SILENT: usize = 3;

/// The reason for which a machine is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseReason {
    NeverBooted,
    WorkFitsElsewhere,
    ServicesFitElsewhere,
    Silent,
    Interrupted,
    CancelledTaskNotStopped,
}

impl ReleaseReason {
    fn as_str(self) -> &'static str {
        match self {
            ReleaseReason::NeverBooted => "it never booted",
            ReleaseReason::WorkFitsElsewhere => "its zone is cut off, and its work fits elsewhere",
            ReleaseReason::ServicesFitElsewhere => "it is silent, and its services fit elsewhere",
            ReleaseReason::Silent => "it is silent",
            ReleaseReason::Interrupted => "the cloud took it back",
            ReleaseReason::CancelledTaskNotStopped => "it keeps a cancelled task",
        }
    }
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl LeaderState {
    /// Handles a machine in the cloud's list: adopts an unknown machine, and marks a failed machine
    /// for release.
    pub(super) fn on_listed_machine(&mut self, listed: ListedMachine, now: Micros) {
        let name: MachineId = listed.name.as_str().into();
        if self.released_machines.contains(&name) {
            return;
        }
        let rented_at = now.since(Micros::from_secs(listed.age_s));
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::debug!(
                machine = listed.name,
                phase = listed.phase,
                "unknown machine adopted from the cloud's list"
            );
            let mut machine = Machine::unknown(name, now);
            machine.known_since = rented_at;
            machine
        });
        if machine.machine_type.is_empty() {
            machine.describe(&listed.machine_type, &listed.zone, listed.spot);
        }
        machine.rented_at.get_or_insert(rented_at);
        if machine.address.is_empty() {
            machine.address = listed.addr;
        }
        if listed.phase == "failed" && machine.state != MachineState::Releasing {
            tracing::info!(
                machine = listed.name,
                "the cloud lists the machine as failed; marked for release"
            );
            machine.state = MachineState::Releasing;
            self.provisioning.to_release.insert(machine.name.clone());
        }
    }

    /// Marks failed machines for release.
    pub fn release_failed_machines(&mut self, cluster: &ClusterConfig, now: Micros) {
        self.provisioning.boot_times.update(cluster, &self.machines, now);
        let check = FailureCheck::new(self, cluster, now);
        let to_release: Vec<(MachineId, ReleaseReason)> = self
            .machines
            .values()
            .filter(|m| m.state != MachineState::Releasing)
            .filter_map(|m| Some((m.name.clone(), check.release_reason(m)?)))
            .collect();
        for (name, reason) in to_release {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            tracing::info!(
                machine = %name,
                zone = &*machine.zone,
                reason = reason.as_str(),
                tasks = machine.tasks.len(),
                services = machine.service_tasks,
                "machine marked for release"
            );
            machine.state = MachineState::Releasing;
            self.provisioning.to_release.insert(name);
            self.needs_scheduling = true;
        }
    }

    /// Returns the machines on which tasks of cancelled jobs have not stopped within half of the
    /// time allowed for a cancellation.
    fn machines_with_unstopped_tasks(&self, cluster: &ClusterConfig, now: Micros) -> BTreeSet<MachineId> {
        let stop_timeout = Micros::from_secs(cluster.settings.params.workers.cancel_s * 0.5);
        self.jobs
            .values()
            .filter(|j| j.cancelled_at.is_some())
            .flat_map(|j| j.placements.values())
            .filter(|p| now.since(p.stop_requested_at) > stop_timeout)
            .map(|p| p.machine.clone())
            .collect()
    }

    /// Returns the controllers for which more than half of the machines whose last heartbeats
    /// they forwarded are silent at once: the likely cause is then the controller rather than the
    /// machines. `None` in the set is this controller, which receives heartbeats directly.
    fn unreliable_controllers(&self, silent: Micros, now: Micros) -> BTreeSet<Option<Rc<str>>> {
        #[derive(Default)]
        struct MachineCounts {
            machines: usize,
            silent: usize,
        }
        let mut by_controller: BTreeMap<Option<Rc<str>>, MachineCounts> = BTreeMap::new();
        // Silent machines in a cut-off zone are no evidence against the controller that was in
        // contact with them.
        let is_cut_off = |m: &Machine| self.failures.zones.is_cut_off(&m.zone);
        let up = self.machines.values().filter(|m| m.state == MachineState::Up);
        for machine in up.filter(|m| !is_cut_off(m)) {
            let counts_from = self.silence_counts_from(machine, now);
            let last_contact = machine.last_heartbeat.max(machine.last_proxied_at).max(counts_from);
            let counts = by_controller.entry(machine.heartbeat_proxy.clone()).or_default();
            counts.machines += 1;
            counts.silent += usize::from(now.since(last_contact) > silent);
        }
        by_controller
            .into_iter()
            .filter(|(_, counts)| counts.silent >= MIN_SILENT && counts.silent * 2 > counts.machines)
            .map(|(controller, _)| controller)
            .collect()
    }
}

/// The inputs of the checks for failed machines, computed once for all machines.
struct FailureCheck<'a> {
    leader: &'a LeaderState,
    cluster: &'a ClusterConfig,
    now: Micros,
    /// Time without a heartbeat after which a machine counts as silent.
    silent: Micros,
    unreliable_controllers: BTreeSet<Option<Rc<str>>>,
    with_unstopped_tasks: BTreeSet<MachineId>,
    /// Machines of cut-off zones whose work fits elsewhere.
    leaving_cut_off_zones: BTreeSet<MachineId>,
    /// Silent machines whose services fit elsewhere.
    early_failures: BTreeSet<MachineId>,
}

impl<'a> FailureCheck<'a> {
    fn new(leader: &'a LeaderState, cluster: &'a ClusterConfig, now: Micros) -> FailureCheck<'a> {
        let silent = timing::silence_timeout(&cluster.settings.params.workers);
        let mut check = FailureCheck {
            leader,
            cluster,
            now,
            silent,
            unreliable_controllers: leader.unreliable_controllers(silent, now),
            with_unstopped_tasks: leader.machines_with_unstopped_tasks(cluster, now),
            leaving_cut_off_zones: leader.machines_leaving_cut_off_zones(cluster, now),
            early_failures: BTreeSet::new(),
        };
        check.early_failures = leader.silent_machines_to_give_up(cluster, |m| check.silence_by_itself(m));
        check
    }

    fn is_cut_off(&self, machine: &Machine) -> bool {
        self.leader.failures.zones.is_cut_off(&machine.zone)
    }

    fn has_unreliable_controller(&self, machine: &Machine) -> bool {
        self.unreliable_controllers.contains(&machine.heartbeat_proxy)
    }

    /// Returns whether another controller has reported recently that it has contact with the
    /// machine.
    fn is_proxied(&self, machine: &Machine) -> bool {
        self.now.since(machine.last_proxied_at) <= timing::PROXY_ANNOUNCEMENT_VALIDITY
    }

    /// Returns how long a machine has been silent, or `None` if its silence may have another cause:
    /// a cut-off zone, an unreliable controller, or contact through another controller.
    fn silence_by_itself(&self, machine: &Machine) -> Option<Micros> {
        let is_independent =
            !self.is_cut_off(machine) && !self.has_unreliable_controller(machine) && !self.is_proxied(machine);
        let counts_from = self.leader.silence_counts_from(machine, self.now);
        is_independent.then(|| self.now.since(machine.last_heartbeat.max(counts_from)))
    }

    /// Returns the time of silence by which it is decided whether a machine has failed.
    fn silence(&self, machine: &Machine) -> Micros {
        let counts_from = self.leader.silence_counts_from(machine, self.now);
        // Tasks on a machine that only another controller has contact with continue, but their
        // ends cannot be recorded: a short partition is tolerated, a long one is not.
        let max_proxied = timing::proxied_machine_timeout(&self.cluster.settings.params.workers);
        let is_tolerated = self.now.since(machine.last_heartbeat.max(counts_from)) < max_proxied;
        let proxied_at = if is_tolerated {
            machine.last_proxied_at
        } else {
            Micros::ZERO
        };
        // In a cut-off zone, the machine's lease runs from its last heartbeat.
        let is_lease_running = self.is_cut_off(machine) && machine.last_heartbeat > Micros::ZERO;
        let counts_from = if is_lease_running { Micros::ZERO } else { counts_from };
        self.now.since(machine.last_heartbeat.max(proxied_at).max(counts_from))
    }

    /// Returns how long a machine may be silent before it counts as failed.
    ///
    /// A silent spot machine has most likely been reclaimed by the cloud. A silent on-demand
    /// machine is more likely partitioned with its tasks running until its lease ends, and an
    /// earlier release would only stop them. A machine of unknown type is most likely gone too: a
    /// new leader has its name from the log, but no heartbeat from it, and the cloud does not list
    /// it.
    fn max_silence(&self, machine: &Machine) -> Micros {
        let workers = &self.cluster.settings.params.workers;
        if self.may_have_contact_in_cut_off_zone(machine) {
            self.cluster.max_watermark_age() + timing::lease_end_timeout(workers)
        } else if machine.spot || machine.machine_type.is_empty() {
            self.silent
        } else {
            timing::lease_end_timeout(workers)
        }
    }

    /// Returns whether controllers inside the machine's cut-off zone may still renew its lease.
    ///
    /// These controllers answer heartbeats until [`ClusterConfig::max_watermark_age`] is reached,
    /// and services continue until the leases that the controllers renewed end. If the machine were
    /// dead instead, the cloud's list would show this.
    fn may_have_contact_in_cut_off_zone(&self, machine: &Machine) -> bool {
        let mut peers = self.cluster.settings.peers.iter();
        machine.service_tasks > 0 && self.is_cut_off(machine) && peers.any(|p| p.zone == machine.zone)
    }

    fn release_reason(&self, machine: &Machine) -> Option<ReleaseReason> {
        let reason = match machine.state {
            MachineState::Booting if machine.tasks.is_empty() => {
                self.has_never_booted(machine).then_some(ReleaseReason::NeverBooted)
            }
            _ => self.failure_after_boot(machine),
        };
        // A controller that has contact with the machine stops cancelled tasks there itself.
        let is_proxied_now = self.now.since(machine.last_proxied_at) < timing::PROXY_ANNOUNCEMENT_VALIDITY;
        let has_unstopped_task = !is_proxied_now && self.with_unstopped_tasks.contains(&machine.name);
        reason.or(has_unstopped_task.then_some(ReleaseReason::CancelledTaskNotStopped))
    }

    fn has_never_booted(&self, machine: &Machine) -> bool {
        let machine_type = self.cluster.catalogue.get(&machine.machine_type);
        let boot_s = machine_type.map_or(UNKNOWN_BOOT_S, |t| t.boot_s);
        let profile = self.leader.provisioning.boot_times.profile(machine);
        // For a new leader, all machines are in state `Booting` until their first heartbeat.
        let had_agent_contact = self.now.since(self.leader.listening_since) > self.silent;
        profile.has_likely_failed(self.now.since(machine.known_since), boot_s) && had_agent_contact
    }

    fn failure_after_boot(&self, machine: &Machine) -> Option<ReleaseReason> {
        let workers = &self.cluster.settings.params.workers;
        let silence = self.silence(machine);
        let max_silence = self.max_silence(machine);
        let is_conclusive = self.is_cut_off(machine)
            || !self.has_unreliable_controller(machine)
            || silence > max_silence + Micros::from_secs(workers.lease_s);
        let is_interrupted = machine.interruption_at.is_some_and(|at| self.now > at);
        if self.leaving_cut_off_zones.contains(&machine.name) {
            Some(ReleaseReason::WorkFitsElsewhere)
        } else if self.early_failures.contains(&machine.name) {
            Some(ReleaseReason::ServicesFitElsewhere)
        } else if silence > max_silence && is_conclusive {
            Some(ReleaseReason::Silent)
        } else if is_interrupted && silence > Micros::from_secs(workers.report_s * 1.5 + 1.0) {
            Some(ReleaseReason::Interrupted)
        } else {
            None
        }
    }
}
