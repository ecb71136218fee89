//! Lets troubles happen when their time has come.

use super::plan::{PlannedTrouble, Trouble};
use crate::experiment::seconds;
use crate::faults::{Party, Route};
use crate::lab::Lab;
use async_io::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How soon it is seen that another controller leads.
const LOOK: Duration = Duration::from_millis(20);

/// Lets one trouble happen, and ends it.
pub async fn happen(lab: Arc<Lab>, planned: PlannedTrouble) {
    let now = Duration::from_micros(lab.now());
    Timer::after(seconds(planned.at_s).saturating_sub(now)).await;
    lab.note(|| format!("TROUBLE {planned:?}"));
    let lasts = seconds(planned.for_s);
    match planned.trouble {
        Trouble::Kill { who } => {
            if let Some(node) = resolve(&lab, who) {
                kill(&lab, node, lasts).await;
            }
        }
        Trouble::KillLeaders { every_s, down_s } => kill_leaders(&lab, seconds(every_s), seconds(down_s), lasts).await,
        Trouble::Pause { who } => {
            if let Some(node) = resolve(&lab, who) {
                lab.processes().pause(node, true);
                lab.note(|| format!("node-{node} stands still"));
                Timer::after(lasts).await;
                lab.processes().pause(node, false);
                lab.note(|| format!("node-{node} goes on"));
            }
        }
        Trouble::Link { route, hosts, fault } => {
            if let (Some(from), Some(to)) = (party(&lab, route.from), party(&lab, route.to)) {
                lab.faults.begin(Route::between(from, to), hosts, fault, lasts);
            }
        }
        Trouble::Outage => {
            let now = lab.now();
            lab.store().outage(true, now);
            Timer::after(lasts).await;
            let now = lab.now();
            lab.store().outage(false, now);
        }
        Trouble::Hang { count } => hang(&lab, count, lasts),
        Trouble::MachineDeaths { count } => {
            let mut fleet = lab.fleet();
            let now = lab.now();
            for name in fleet.up(None).into_iter().take(count) {
                fleet.machine_dies(now, &name);
            }
        }
        Trouble::Cancel { count } => cancel(&lab, count),
    }
}

/// The controller that is meant; none if nobody leads.
fn resolve(lab: &Lab, who: Party) -> Option<usize> {
    match who {
        Party::Node(node) => Some(node),
        Party::Leader => lab.leader(),
        _ => None,
    }
}

fn party(lab: &Lab, party: Party) -> Option<Party> {
    match party {
        Party::Leader => lab.leader().map(Party::Node),
        other => Some(other),
    }
}

async fn kill(lab: &Lab, node: usize, down: Duration) {
    lab.processes().kill(node);
    lab.note(|| format!("node-{node} is killed"));
    Timer::after(down).await;
    lab.note(|| format!("node-{node} is started"));
    if let Err(error) = lab.processes().start(node) {
        lab.stop(error);
    }
}

/// Leader after leader is killed, each some time after it took over.
async fn kill_leaders(lab: &Arc<Lab>, every: Duration, down: Duration, lasts: Duration) {
    let ends = Instant::now() + lasts;
    let mut last_term = 0;
    while Instant::now() < ends {
        let term = lab.store().term();
        if term == last_term {
            Timer::after(LOOK).await;
            continue;
        }
        last_term = term;
        Timer::after(every).await;
        if let Some(node) = lab.leader() {
            let killed = lab.clone();
            lab.executor
                .spawn(async move { kill(&killed, node, down).await })
                .detach();
        }
    }
}

fn hang(lab: &Lab, count: usize, lasts: Duration) {
    let mut fleet = lab.fleet();
    let until = lab.now() + lasts.as_micros() as u64;
    for name in fleet.up(None).into_iter().take(count) {
        if let Some(worker) = fleet.workers.get_mut(&name) {
            worker.hangs_until = worker.hangs_until.max(until);
        }
    }
}

fn cancel(lab: &Lab, count: usize) {
    let mut fleet = lab.fleet();
    let open = fleet
        .users
        .values_mut()
        .filter(|user| user.accepted.is_some() && user.done.is_none() && user.cancelled.is_none());
    for user in open.take(count) {
        user.wants_abort = true;
    }
}
