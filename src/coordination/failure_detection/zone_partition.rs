//! Zones that are cut off from the leader by a network partition: the contacts with each zone, and
//! what is moved out of zones that are cut off.
//!
//! Called by the leader's periodic work and by provisioning. `glenhaven-zone-health` makes the
//! decisions; this module collects the observations for it and keeps the results.

use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState};
use crate::coordination::timing::AGENT_FAILOVER;
use crate::coordination::ClusterConfig;
use crate::time::Micros;
use glenhaven_zone_health::{
    machines_to_release, Evacuation, EvacuationCandidate, ZoneChange, ZoneObservation, ZoneTimes,
};
use std::collections::{BTreeMap, BTreeSet};

/// The leader's record of contact with another controller.
#[derive(Clone, Copy, Debug)]
pub struct ControllerLiveness {
    last_contact_at: Micros,
    /// When the controller was last found to be lost; stays set after it is in contact again.
    lost_at: Option<Micros>,
    is_lost: bool,
}

impl LeaderState {
    /// Records when another controller was last in contact; the controller is lost if that is
    /// longer ago than `max_silence`.
    pub fn record_controller_contact(&mut self, name: &str, last_contact_at: Micros, max_silence: Micros, now: Micros) {
        if !self.failures.controllers.contains_key(name) {
            let liveness = ControllerLiveness {
                last_contact_at,
                lost_at: None,
                is_lost: false,
            };
            self.failures.controllers.insert(name.to_string(), liveness);
        }
        let Some(controller) = self.failures.controllers.get_mut(name) else {
            return;
        };
        controller.last_contact_at = last_contact_at;
        let is_lost = now.since(last_contact_at) > max_silence;
        if is_lost && !controller.is_lost {
            controller.lost_at = Some(now);
        }
        controller.is_lost = is_lost;
    }

    /// Time from which the silence of a machine counts: from then on the leader could receive its
    /// heartbeats, and its agent has had time to find another controller if its own was lost.
    pub fn silence_counts_from(&self, machine: &Machine, now: Micros) -> Micros {
        let controller = machine
            .heartbeat_proxy
            .as_deref()
            .and_then(|name| self.failures.controllers.get(name));
        let failed_over_at = controller
            .and_then(|c| c.lost_at)
            .map_or(Micros::ZERO, |at| now.min(at + AGENT_FAILOVER));
        // The first contact with a recovering zone usually comes from its controllers, before the
        // heartbeats of its machines.
        let recovered_at = self.failures.zones_recovered_at.get(&machine.zone);
        self.listening_since
            .max(failed_over_at)
            .max(recovered_at.copied().unwrap_or(Micros::ZERO))
    }

    /// Updates which zones are cut off, and logs the changes.
    pub fn check_zones(&mut self, cluster: &ClusterConfig, now: Micros) {
        let zones = self.zone_observations(cluster);
        let changes = self
            .failures
            .zones
            .update(&zones, &zone_times(cluster), self.listening_since, now);
        for change in changes {
            self.needs_scheduling = true;
            match change {
                ZoneChange::CutOff { zone, since } => {
                    let silent_s = now.since(since).secs();
                    tracing::info!(zone, silent_s, "zone cut off from the leader: no new work starts there");
                }
                ZoneChange::Recovered { zone, after } => {
                    tracing::info!(zone, after_s = after.secs(), "zone no longer treated as cut off");
                    self.failures.zones_recovered_at.insert(zone, now);
                }
            }
        }
    }

    /// Latest contacts with every zone that has a machine or a controller, in the order of zone
    /// names.
    fn zone_observations(&self, cluster: &ClusterConfig) -> Vec<ZoneObservation> {
        let mut zones: BTreeMap<&str, ZoneObservation> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.zone.is_empty()) {
            let zone = zones.entry(&machine.zone).or_default();
            zone.last_heartbeat_at = zone.last_heartbeat_at.max(machine.last_heartbeat);
            zone.proxied_at = zone.proxied_at.max(machine.last_proxied_at);
            let sends_heartbeats = machine.incarnation > 0 || !machine.tasks.is_empty();
            zone.machines += usize::from(sends_heartbeats && machine.state != MachineState::Releasing);
        }
        for peer in &cluster.settings.peers {
            let zone = zones.entry(&peer.zone).or_default();
            zone.controllers += 1;
            let controller = self.failures.controllers.get(&peer.node);
            let last_contact_at = controller.map_or(Micros::ZERO, |c| c.last_contact_at);
            zone.controller_contact_at = zone.controller_contact_at.max(last_contact_at);
        }
        zones.entry(&cluster.settings.zone).or_default().is_own = true;
        let with_name = |(name, zone): (&str, ZoneObservation)| ZoneObservation {
            zone: name.to_string(),
            ..zone
        };
        zones.into_iter().map(with_name).collect()
    }

    /// Returns what is moved out of a zone now.
    pub fn evacuation(&self, cluster: &ClusterConfig, zone: &str, now: Micros) -> Evacuation {
        self.failures.zones.evacuation(zone, &zone_times(cluster), now)
    }

    /// Selects the machines of cut-off zones that are released because their array tasks now fit
    /// elsewhere.
    pub fn machines_leaving_cut_off_zones(&self, cluster: &ClusterConfig, now: Micros) -> BTreeSet<MachineId> {
        let mut candidates = vec![];
        let mut free_cores = 0.0;
        let silence = Self::max_heartbeat_age(cluster);
        for machine in self.machines.values() {
            let machine_type = cluster.catalogue.get(&machine.machine_type);
            let cores = machine_type.map_or(0.0, |t| t.cpus);
            if !self.failures.zones.is_cut_off(&machine.zone) {
                if machine.accepts_work(now, silence) {
                    free_cores += cores - machine.used.cpus;
                }
            } else if machine.service_tasks == 0
                && machine.state == MachineState::Up
                && self.evacuation(cluster, &machine.zone, now) == Evacuation::All
            {
                candidates.push(EvacuationCandidate {
                    machine: machine.name.clone(),
                    cores: machine.used.cpus,
                    last_heartbeat_at: machine.last_heartbeat,
                });
            }
        }
        if candidates.is_empty() {
            return BTreeSet::new();
        }
        let spare_cores = free_cores - self.waiting_cores(now) - self.cut_off_service_cores();
        machines_to_release(candidates, spare_cores).into_iter().collect()
    }

    /// Cores that waiting tasks need.
    fn waiting_cores(&self, now: Micros) -> f64 {
        let runnable = self.jobs.values().filter(|job| job.may_run());
        runnable.map(|job| job.claimed_tasks(now) as f64 * job.spec.cpus).sum()
    }

    /// Cores held on machines of cut-off zones that run services.
    fn cut_off_service_cores(&self) -> f64 {
        let machines = self.machines.values();
        machines
            .filter(|m| m.service_tasks > 0 && self.failures.zones.is_cut_off(&m.zone))
            .map(|m| m.used.cpus)
            .sum()
    }
}

/// Times for the decisions about zones, derived from the workers' settings.
fn zone_times(cluster: &ClusterConfig) -> ZoneTimes {
    let workers = &cluster.settings.params.workers;
    ZoneTimes::new(workers.report_s, workers.lease_s)
}
