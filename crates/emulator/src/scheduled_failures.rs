//! Failures of machines and controllers that are injected at scheduled times.

use crate::cluster::EmulatedCluster;
use crate::experiment::{seconds, Injection, InjectionKind, Who};
use crate::machines;
use async_io::Timer;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The leaders that were killed.
#[derive(Default)]
pub(crate) struct LostLeaders(Mutex<Vec<LostLeader>>);

/// The kill of a leader: its time in microseconds, and the highest fencing token that workers had
/// accepted by then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostLeader {
    pub at: u64,
    pub fencing_token: u64,
}

impl LostLeaders {
    fn push(&self, lost: LostLeader) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(lost);
    }

    /// Returns all killed leaders so far.
    pub(crate) fn all(&self) -> Vec<LostLeader> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Waits until an injection's time and injects it.
pub(crate) async fn inject(cluster: Arc<EmulatedCluster>, injection: Injection, lost: Arc<LostLeaders>) {
    let now = Duration::from_micros(cluster.now());
    Timer::after(seconds(injection.at_s).saturating_sub(now)).await;
    tracing::info!(what = ?injection.what, "injecting a failure");
    match injection.what {
        InjectionKind::MachineDeaths { count } => terminate_machines(&cluster, None, count, false),
        InjectionKind::Replacements { count } => terminate_machines(&cluster, None, count, true),
        InjectionKind::Rack { zone, share } => {
            let all = cluster.fleet().up(Some(&zone)).len();
            terminate_machines(&cluster, Some(&zone), (all as f64 * share).round() as usize, false);
        }
        InjectionKind::Zone { zone, lasts_s } => fail_zone(&cluster, &zone, seconds(lasts_s), &lost).await,
        InjectionKind::ControllerKill { who, lasts_s } => {
            if let Some(node) = choose_node(&cluster, who) {
                kill(&cluster, node, &lost);
                Timer::after(seconds(lasts_s)).await;
                start(&cluster, node);
            }
        }
        InjectionKind::ControllerRoll { pause_s } => {
            for node in 0..cluster.nodes.len() {
                kill(&cluster, node, &lost);
                start(&cluster, node);
                Timer::after(seconds(pause_s)).await;
            }
        }
    }
}

/// Terminates up to `count` machines, and creates new ones in the same zones if `replaced` is set.
fn terminate_machines(cluster: &Arc<EmulatedCluster>, zone: Option<&str>, count: usize, replaced: bool) {
    let mut fleet = cluster.fleet();
    let now = cluster.now();
    for name in fleet.up(zone).into_iter().take(count) {
        let zone = fleet.workers.get(&name).map(|w| w.zone.clone());
        fleet.terminate_machine(now, &name);
        if let Some(zone) = zone.filter(|_| replaced) {
            let boot = machines::boot_time(cluster, &mut fleet);
            machines::create(cluster, &mut fleet, &zone, false, boot);
        }
    }
}

/// Kills all controllers and machines of a zone, and restarts the controllers after `lasts`.
async fn fail_zone(cluster: &Arc<EmulatedCluster>, zone: &str, lasts: Duration, lost: &LostLeaders) {
    let here = |node: &usize| cluster.nodes[*node].zone == zone;
    let nodes: Vec<usize> = (0..cluster.nodes.len()).filter(here).collect();
    cluster.fleet().zones_out.insert(zone.into());
    for node in &nodes {
        kill(cluster, *node, lost);
    }
    terminate_machines(cluster, Some(zone), usize::MAX, false);
    Timer::after(lasts).await;
    cluster.fleet().zones_out.remove(zone);
    for node in nodes {
        start(cluster, node);
    }
}

/// Chooses a running controller by its role.
fn choose_node(cluster: &EmulatedCluster, who: Who) -> Option<usize> {
    let leader = cluster.leader();
    match who {
        Who::Leader => leader,
        Who::Follower => {
            let running = cluster.processes().running();
            let mut others = running.into_iter().map(|(node, _)| node);
            others.find(|node| Some(*node) != leader)
        }
    }
}

/// Kills a controller, and records the loss if it was the leader.
fn kill(cluster: &EmulatedCluster, node: usize, lost: &LostLeaders) {
    let leads = cluster.leader() == Some(node);
    let at = cluster.now();
    if cluster.processes().kill(node) && leads {
        let fencing_token = cluster.fleet().terms.last().map_or(0, |term| term.fencing_token);
        lost.push(LostLeader { at, fencing_token });
    }
}

fn start(cluster: &EmulatedCluster, node: usize) {
    if let Err(error) = cluster.processes().start(node) {
        cluster.stop(error);
    }
}
