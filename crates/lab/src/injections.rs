//! What is done to machines and controllers at given moments.

use crate::experiment::{seconds, Injection, Trouble, Who};
use crate::lab::Lab;
use crate::machines;
use async_io::Timer;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// When leading controllers were killed, with the highest token that workers had seen.
#[derive(Default)]
pub struct LostLeaders(Mutex<Vec<LostLeader>>);

/// The loss of a leading controller.
#[derive(Clone, Copy, Debug)]
pub struct LostLeader {
    pub at: u64,
    pub fence: u64,
}

impl LostLeaders {
    fn push(&self, lost: LostLeader) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(lost);
    }

    /// All of them.
    pub fn all(&self) -> Vec<LostLeader> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Does one thing when its time has come.
pub async fn inject(lab: Arc<Lab>, injection: Injection, lost: Arc<LostLeaders>) {
    let now = Duration::from_micros(lab.now());
    Timer::after(seconds(injection.at_s).saturating_sub(now)).await;
    tracing::info!(what = ?injection.what, "injection");
    match injection.what {
        Trouble::MachineDeaths { count } => die(&lab, None, count, false),
        Trouble::Replacements { count } => die(&lab, None, count, true),
        Trouble::Rack { zone, share } => {
            let all = lab.fleet().up(Some(&zone)).len();
            die(&lab, Some(&zone), (all as f64 * share).round() as usize, false);
        }
        Trouble::Zone { zone, lasts_s } => zone_out(&lab, &zone, seconds(lasts_s), &lost).await,
        Trouble::ControllerKill { who, lasts_s } => {
            if let Some(node) = choose(&lab, who) {
                kill(&lab, node, &lost);
                Timer::after(seconds(lasts_s)).await;
                start(&lab, node);
            }
        }
        Trouble::ControllerRoll { pause_s } => {
            for node in 0..lab.nodes.len() {
                kill(&lab, node, &lost);
                start(&lab, node);
                Timer::after(seconds(pause_s)).await;
            }
        }
    }
}

/// Machines die; others come up in their places if they are replaced.
fn die(lab: &Arc<Lab>, zone: Option<&str>, count: usize, replaced: bool) {
    let mut fleet = lab.fleet();
    let now = lab.now();
    for name in fleet.up(zone).into_iter().take(count) {
        let zone = fleet.workers.get(&name).map(|w| w.zone.clone());
        fleet.machine_dies(now, &name);
        if let Some(zone) = zone.filter(|_| replaced) {
            let boot = machines::boot_time(lab, &mut fleet);
            machines::create(lab, &mut fleet, &zone, false, boot);
        }
    }
}

async fn zone_out(lab: &Arc<Lab>, zone: &str, lasts: Duration, lost: &LostLeaders) {
    let here = |node: &usize| lab.nodes[*node].zone == zone;
    let nodes: Vec<usize> = (0..lab.nodes.len()).filter(here).collect();
    lab.fleet().zones_out.insert(zone.into());
    for node in &nodes {
        kill(lab, *node, lost);
    }
    die(lab, Some(zone), usize::MAX, false);
    Timer::after(lasts).await;
    lab.fleet().zones_out.remove(zone);
    for node in nodes {
        start(lab, node);
    }
}

fn choose(lab: &Lab, who: Who) -> Option<usize> {
    let leader = lab.leader();
    match who {
        Who::Leader => leader,
        Who::Follower => {
            let running = lab.processes().running();
            let mut others = running.into_iter().map(|(node, _)| node);
            others.find(|node| Some(*node) != leader)
        }
    }
}

fn kill(lab: &Lab, node: usize, lost: &LostLeaders) {
    let leads = lab.leader() == Some(node);
    let at = lab.now();
    if lab.processes().kill(node) && leads {
        let fence = lab.fleet().terms.last().map_or(0, |term| term.fence);
        lost.push(LostLeader { at, fence });
    }
}

fn start(lab: &Lab, node: usize) {
    if let Err(error) = lab.processes().start(node) {
        lab.stop(error);
    }
}
