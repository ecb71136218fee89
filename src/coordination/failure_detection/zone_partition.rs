//! Zones that are cut off from the leader: what is heard of each, and what is
//! moved out of them. The decisions are those of `glenhaven-zone-health`.

use crate::coordination::state::{LeaderState, Machine, MachineId, MachineState};
use crate::coordination::timing::AGENT_FAILOVER;
use crate::coordination::ClusterConfig;
use crate::time::Micros;
use glenhaven_zone_health::{in_step, Change, Far, Move, Sign, Times};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader knows of another controller.
#[derive(Clone, Copy, Debug)]
pub struct ControllerLiveness {
    /// When it was last heard.
    heard: Micros,
    /// Since when it was last not heard any more, and whether that is so now.
    lost: Option<Micros>,
    is_lost: bool,
}

impl LeaderState {
    /// Another controller was last heard then.
    pub fn record_controller_contact(&mut self, name: &str, heard: Micros, limit: Micros, now: Micros) {
        if !self.failures.controllers.contains_key(name) {
            let sign = ControllerLiveness {
                heard,
                lost: None,
                is_lost: false,
            };
            self.failures.controllers.insert(name.to_string(), sign);
        }
        let Some(node) = self.failures.controllers.get_mut(name) else {
            return;
        };
        node.heard = heard;
        let lost = now.since(heard) > limit;
        if lost && !node.is_lost {
            node.lost = Some(now);
        }
        node.is_lost = lost;
    }

    /// From when on the silence of a machine counts: the leader hears it from
    /// then on, and its workers have found another controller if they lost theirs.
    pub fn silence_counts_from(&self, m: &Machine, now: Micros) -> Micros {
        let node = m
            .heartbeat_proxy
            .as_deref()
            .and_then(|name| self.failures.controllers.get(name));
        let found = node
            .and_then(|n| n.lost)
            .map_or(Micros::ZERO, |at| now.min(at + AGENT_FAILOVER));
        // A zone that is back has been heard by its controllers first, as a rule.
        let back = self
            .failures
            .zones_recovered_at
            .get(&m.zone)
            .copied()
            .unwrap_or(Micros::ZERO);
        self.listening_since.max(found).max(back)
    }

    /// Looks at what is heard of every zone.
    pub fn check_zones(&mut self, cluster: &ClusterConfig, now: Micros) {
        let mut signs: BTreeMap<&str, Sign> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.zone.is_empty()) {
            let sign = signs.entry(&m.zone).or_default();
            sign.heard = sign.heard.max(m.last_heartbeat);
            sign.kept = sign.kept.max(m.last_proxied_at);
            let heartbeats = m.incarnation > 0 || !m.tasks.is_empty();
            sign.machines += usize::from(heartbeats && m.state != MachineState::Releasing);
        }
        for peer in &cluster.settings.peers {
            let sign = signs.entry(&peer.zone).or_default();
            sign.controllers += 1;
            let heard = self
                .failures
                .controllers
                .get(&peer.node)
                .map_or(Micros::ZERO, |n| n.heard);
            sign.controller_heard = sign.controller_heard.max(heard);
        }
        signs.entry(&cluster.settings.zone).or_default().own = true;
        let signs: Vec<Sign> = signs
            .into_iter()
            .map(|(zone, sign)| Sign {
                zone: zone.to_string(),
                ..sign
            })
            .collect();
        for change in self
            .failures
            .zones
            .look(&signs, &times(cluster), self.listening_since, now)
        {
            self.needs_scheduling = true;
            match change {
                Change::Cut { zone, since } => {
                    let silent_s = now.since(since).secs();
                    tracing::info!(zone, silent_s, "zone cut off: nothing new goes there");
                }
                Change::Back { zone, after } => {
                    tracing::info!(zone, after_s = after.secs(), "zone heard again");
                    self.failures.zones_recovered_at.insert(zone, now);
                }
            }
        }
    }

    /// What is to be moved out of this zone.
    pub fn moves_out(&self, cluster: &ClusterConfig, zone: &str, now: Micros) -> Move {
        self.failures.zones.moves(zone, &times(cluster), now)
    }

    /// Machines of cut-off zones whose arrays there is room for elsewhere by now.
    pub fn machines_leaving_cut_zones(&self, cluster: &ClusterConfig, now: Micros) -> BTreeSet<MachineId> {
        let mut far = vec![];
        let mut room = 0.0;
        let silent = Self::work_silence(cluster);
        for m in self.machines.values() {
            let cores = cluster.catalogue.get(&m.machine_type).map_or(0.0, |t| t.cpus);
            if !self.failures.zones.is_cut(&m.zone) {
                if m.accepts_work(now, silent) {
                    room += cores - m.used.cpus;
                }
            } else if m.service_tasks == 0
                && m.state == MachineState::Up
                && self.moves_out(cluster, &m.zone, now) == Move::All
            {
                far.push(Far {
                    machine: m.name.clone(),
                    cores: m.used.cpus,
                    heard: m.last_heartbeat,
                });
            }
        }
        if far.is_empty() {
            return BTreeSet::new();
        }
        let waits = |j: &&crate::coordination::state::Job| j.may_run() && !j.is_suspect(now);
        let waiting: f64 = self
            .jobs
            .values()
            .filter(waits)
            .map(|j| j.waiting.len() as f64 * j.spec.cpus)
            .sum();
        let services: f64 = self
            .machines
            .values()
            .filter(|m| m.service_tasks > 0 && self.failures.zones.is_cut(&m.zone))
            .map(|m| m.used.cpus)
            .sum();
        in_step(far, room - waiting - services).into_iter().collect()
    }
}

/// The times that decide about zones.
fn times(cluster: &ClusterConfig) -> Times {
    let w = &cluster.settings.params.workers;
    Times::new(w.report_s, w.lease_s)
}
