//! The cloud's list of machines, and which machines are given up: late and dead boots, silent and
//! failed machines, those that keep a cancelled task for too long.

use super::super::state::{LeaderState, Machine, MachineId, MachineState};
use super::super::{timing, ClusterConfig};
use crate::protocol::cloud::ListedMachine;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl LeaderState {
    /// A machine in the list: unknown ones are adopted, failed ones returned.
    pub(super) fn listed(&mut self, listed: ListedMachine, now: Micros) {
        let name: MachineId = listed.name.as_str().into();
        if self.released_machines.contains(&name) {
            return;
        }
        let age = Micros::from_secs(listed.age_s);
        let m = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::debug!(machine = listed.name, phase = listed.phase, "adopted from the list");
            let mut m = Machine::unknown(name, now);
            m.known_since = now.since(age);
            m
        });
        if m.machine_type.is_empty() {
            m.describe(&listed.machine_type, &listed.zone, listed.spot);
        }
        m.rented_at.get_or_insert(now.since(age));
        if m.address.is_empty() {
            m.address = listed.addr;
        }
        if listed.phase == "failed" && m.state != MachineState::Releasing {
            tracing::info!(machine = listed.name, "machine failed");
            m.state = MachineState::Releasing;
            self.provisioning.to_release.insert(m.name.clone());
        }
    }

    /// Gives up on machines that are late, silent or taken, and on those that
    /// keep a cancelled task for too long.
    pub fn release_failed_machines(&mut self, cluster: &ClusterConfig, now: Micros) {
        self.provisioning.boot_times.look(cluster, &self.machines, now);
        let w = &cluster.settings.params.workers;
        let silent = timing::silent(w);
        let lease = Micros::from_secs(w.lease_s);
        // A silent spot machine was most likely taken back. An ordinary one is
        // more likely cut off with its tasks running; they run on until its
        // lease ends, and releasing it earlier would only stop them.
        // A machine that a new leader knows from the book only, neither reporting
        // nor listed, is most likely gone as well.
        // Inside a zone that is cut off, its controllers go on answering for as long as
        // their knowledge is fresh enough, and services run on until the leases renewed
        // by them end. If they were dead instead, the cloud's list would tell.
        let inside = cluster.knowledge_limit();
        let kept_inside = |m: &Machine| {
            m.service_tasks > 0
                && self.failures.zones.is_cut(&m.zone)
                && cluster.settings.peers.iter().any(|p| p.zone == m.zone)
        };
        let patience = |m: &Machine| {
            if kept_inside(m) {
                inside + timing::lease_end(w)
            } else if m.spot || m.machine_type.is_empty() {
                silent
            } else {
                timing::lease_end(w)
            }
        };
        // Where a node is lost, its workers find another one first.
        let listens = |m: &Machine| self.listens_to(m, now);
        // A zone that is cut off says nothing of the node that heard it.
        let cut_off = |m: &Machine| self.failures.zones.is_cut(&m.zone);
        // Half of the machines that one node hears silent at once says more about
        // that node than about the machines; they get as long as their leases
        // last.
        let mut heard_by: BTreeMap<Option<Rc<str>>, (usize, usize)> = BTreeMap::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up && !cut_off(m))
        {
            let quiet = now.since(m.last_heartbeat.max(m.last_proxied_at).max(listens(m))) > silent;
            let group = heard_by.entry(m.heartbeat_proxy.clone()).or_default();
            group.0 += 1;
            group.1 += usize::from(quiet);
        }
        let doubted: BTreeSet<Option<Rc<str>>> = heard_by
            .into_iter()
            .filter(|(_, (all, quiet))| *quiet >= 3 && quiet * 2 > *all)
            .map(|(via, _)| via)
            .collect();
        let listening: BTreeMap<MachineId, Micros> =
            self.machines.values().map(|m| (m.name.clone(), listens(m))).collect();
        let boots = &self.provisioning.boot_times;
        let held_too_long: BTreeSet<MachineId> = self
            .jobs
            .values()
            .filter(|j| j.cancelled_at.is_some())
            .flat_map(|j| j.placements.values())
            .filter(|p| now.since(p.stop_requested_at) > Micros::from_secs(w.cancel_s * 0.5))
            .map(|p| p.machine.clone())
            .collect();
        let released = self.released_in_step(cluster, now);
        let alone = |m: &Machine| {
            let judged = !cut_off(m)
                && !doubted.contains(&m.heartbeat_proxy)
                && now.since(m.last_proxied_at) > timing::PROXY_ANNOUNCEMENT;
            judged.then(|| now.since(m.last_heartbeat.max(listens(m))))
        };
        let hung = self.given_up_early(cluster, alone);
        let zones = &self.failures.zones;
        for m in self
            .machines
            .values_mut()
            .filter(|m| m.state != MachineState::Releasing)
        {
            let listens = listening.get(&m.name).copied().unwrap_or(self.listening_since);
            // What another node keeps runs on, but nothing that ends there can be
            // recorded: a short cut is sat out, a long one is not.
            let sat_out = now.since(m.last_heartbeat.max(listens)) < timing::proxied_machine(w);
            let proxied_at = if sat_out { m.last_proxied_at } else { Micros::ZERO };
            // In a zone that is cut off, leases run on from the last report.
            let known = zones.is_cut(&m.zone) && m.last_heartbeat > Micros::ZERO;
            let listens = if known { Micros::ZERO } else { listens };
            let unheard = now.since(m.last_heartbeat.max(proxied_at).max(listens));
            let boot = cluster.catalogue.get(&m.machine_type).map_or(60.0, |t| t.boot_s);
            let why = match m.state {
                MachineState::Booting if m.tasks.is_empty() => {
                    // To a new leader all machines are booting until they report.
                    let heard = now.since(self.listening_since) > silent;
                    let late = boots.pace(m).is_dead(now.since(m.known_since), boot);
                    (late && heard).then_some("never came up")
                }
                _ if released.contains(&m.name) => Some("there is room for its work outside its zone"),
                _ if hung.contains(&m.name) => Some("silent, and there is room for its services"),
                _ if unheard > patience(m)
                    && (zones.is_cut(&m.zone)
                        || !doubted.contains(&m.heartbeat_proxy)
                        || unheard > patience(m) + lease) =>
                {
                    Some("silent")
                }
                _ if m.interruption_at.is_some_and(|at| now > at)
                    && unheard > Micros::from_secs(w.report_s * 1.5 + 1.0) =>
                {
                    Some("taken back")
                }
                _ => None,
            };
            // A node that keeps a machine stops cancelled tasks there itself.
            let kept = now.since(m.last_proxied_at) < timing::PROXY_ANNOUNCEMENT;
            let why = why.or_else(|| (!kept && held_too_long.contains(&m.name)).then_some("keeps a cancelled task"));
            if let Some(why) = why {
                let (tasks, services) = (m.tasks.len(), m.service_tasks);
                tracing::info!(machine = %m.name, zone = &*m.zone, why, tasks, services, "machine given up");
                m.state = MachineState::Releasing;
                self.provisioning.to_release.insert(m.name.clone());
                self.needs_scheduling = true;
            }
        }
    }
}
