//! Injects the faults of a plan at their scheduled times.

use super::plan::{Fault, PlannedFault};
use crate::cluster::EmulatedCluster;
use crate::experiment::seconds;
use crate::faults::{Party, Route};
use async_io::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which the state service's term is polled.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the fault's time, starts the fault, and ends it. Link faults and hangs are started
/// with their end time, so this function doesn't wait for their end.
pub(super) async fn inject(cluster: Arc<EmulatedCluster>, planned: PlannedFault) {
    let now = Duration::from_micros(cluster.now());
    Timer::after(seconds(planned.at_s).saturating_sub(now)).await;
    cluster.note(|| format!("fault begins: {planned:?}"));
    let lasts = seconds(planned.for_s);
    match planned.fault {
        Fault::Kill { who } => {
            if let Some(node) = resolve_node(&cluster, who) {
                kill(&cluster, node, lasts).await;
            }
        }
        Fault::KillLeaders { every_s, down_s } => {
            kill_leaders(&cluster, seconds(every_s), seconds(down_s), lasts).await
        }
        Fault::Pause { who } => {
            if let Some(node) = resolve_node(&cluster, who) {
                cluster.processes().pause(node, true);
                cluster.note(|| format!("node-{node} is paused"));
                Timer::after(lasts).await;
                cluster.processes().pause(node, false);
                cluster.note(|| format!("node-{node} resumes"));
            }
        }
        Fault::Link { route, hosts, fault } => {
            if let (Some(from), Some(to)) = (resolve_party(&cluster, route.from), resolve_party(&cluster, route.to)) {
                cluster.faults.start(Route::between(from, to), hosts, fault, lasts);
            }
        }
        Fault::Outage => {
            let now = cluster.now();
            cluster.store().set_unavailable(true, now);
            Timer::after(lasts).await;
            let now = cluster.now();
            cluster.store().set_unavailable(false, now);
        }
        Fault::Hang { count } => hang(&cluster, count, lasts),
        Fault::MachineDeaths { count } => {
            let mut fleet = cluster.fleet();
            let now = cluster.now();
            for name in fleet.up(None).into_iter().take(count) {
                fleet.terminate_machine(now, &name);
            }
        }
        Fault::Cancel { count } => cancel(&cluster, count),
    }
}

/// Returns the number of the controller; `None` if there is no leader.
fn resolve_node(cluster: &EmulatedCluster, who: Party) -> Option<usize> {
    match who {
        Party::Node(node) => Some(node),
        Party::Leader => cluster.leader(),
        _ => None,
    }
}

/// Replaces the leader by the controller that leads now; `None` if there is no leader.
fn resolve_party(cluster: &EmulatedCluster, party: Party) -> Option<Party> {
    match party {
        Party::Leader => cluster.leader().map(Party::Node),
        other => Some(other),
    }
}

/// Kills a controller and restarts it after `down`.
async fn kill(cluster: &EmulatedCluster, node: usize, down: Duration) {
    cluster.processes().kill(node);
    cluster.note(|| format!("node-{node} is killed"));
    Timer::after(down).await;
    cluster.note(|| format!("node-{node} is started"));
    if let Err(error) = cluster.processes().start(node) {
        cluster.stop(error);
    }
}

/// Kills the leader of each new term, `every` after the new term is seen.
async fn kill_leaders(cluster: &Arc<EmulatedCluster>, every: Duration, down: Duration, lasts: Duration) {
    let ends = Instant::now() + lasts;
    let mut last_term = 0;
    while Instant::now() < ends {
        let term = cluster.store().term();
        if term == last_term {
            Timer::after(LEADER_POLL_INTERVAL).await;
            continue;
        }
        last_term = term;
        Timer::after(every).await;
        if let Some(node) = cluster.leader() {
            let killed = cluster.clone();
            cluster
                .executor
                .spawn(async move { kill(&killed, node, down).await })
                .detach();
        }
    }
}

/// Makes `count` machines hang.
fn hang(cluster: &EmulatedCluster, count: usize, lasts: Duration) {
    let mut fleet = cluster.fleet();
    let until = cluster.now() + lasts.as_micros() as u64;
    for name in fleet.up(None).into_iter().take(count) {
        if let Some(worker) = fleet.workers.get_mut(&name) {
            worker.hangs_until = worker.hangs_until.max(until);
        }
    }
}

/// Marks `count` open jobs for cancellation by their users.
fn cancel(cluster: &EmulatedCluster, count: usize) {
    let mut fleet = cluster.fleet();
    let open = fleet
        .users
        .values_mut()
        .filter(|user| user.accepted.is_some() && user.done.is_none() && user.cancelled.is_none());
    for user in open.take(count) {
        user.wants_abort = true;
    }
}
