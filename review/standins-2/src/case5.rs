//! A start waits behind a command whose answer is held up. The leader loses the state service alone, and
//! the job is cancelled at another controller.

use crate::cluster::{Cluster, Site, Submission};
use crate::util::{sleep, wait_for};

/// How often it is tried.
const ROUNDS: usize = 5;
/// How long the answers of the machine are held up, in seconds.
const HELD_UP_S: f64 = 5.0;
/// How long after the first start the state service begins to refuse the leader, in seconds.
const REFUSED_AFTER_S: f64 = 0.7;
/// How long the state service refuses the leader, in seconds.
const REFUSED_S: f64 = 6.0;
/// A start that was on its way when the user was told arrives within this time, in seconds: nothing delays
/// what is sent to the machine.
const ON_ITS_WAY_S: f64 = 0.25;

pub fn run(trouble: bool, record: &str) -> ! {
    let site = Site::brunnmatt_charts();
    let cluster = Cluster::start(&site, record, 2.0, 1);
    let leader = cluster.wait_until_ready();
    *cluster.world.first_node.lock().unwrap() = leader;
    let note = |line: &str| cluster.world.record.note(line);
    note(&format!("worker-{leader} leads"));
    let service = Submission {
        id: "run-000001".into(),
        class: "notice-feed",
        team: site.teams[0].0,
        standing: true,
        rank: "production",
        pieces: 1,
        cores: 1.0,
        mem_gb: 5.0,
        run_s: 0.0,
        reclaimable: false,
    };
    if !cluster.submit(leader, &service) || !wait_for(30.0, || cluster.runs(&service.id)) {
        cluster.cannot_run("the service doesn't run");
    }
    let machines = cluster.cloud.machines();
    let machine = &machines[0];
    if !wait_for(10.0, || machine.node() == leader && cluster.leader() == Some(leader)) {
        cluster.cannot_run("the worker doesn't report to the leader");
    }
    let other = (leader + 1) % site.nodes.len();
    let mut broken = vec![];
    for round in 1..=ROUNDS {
        let job = |n: usize| Submission {
            id: format!("run-{round:03}{n:03}"),
            ..service.clone()
        };
        let (first, second) = (job(100), job(200));
        sleep(3.0);
        if trouble {
            note("the machine's answers to commands are held up");
            machine.delay_answers(HELD_UP_S);
        }
        if !cluster.submit(leader, &first) || !wait_for(20.0, || cluster.was_placed(&first.id)) {
            cluster.cannot_run("the first task isn't started");
        }
        let placed_at = cluster.world.events_of(&first.id)[0].at;
        wait_for(0.6, || machine.has_reported(&first.id));
        if !cluster.submit(leader, &second) {
            cluster.cannot_run("the second job isn't accepted");
        }
        sleep(placed_at + REFUSED_AFTER_S - cluster.world.record.now());
        if trouble {
            note("the state service refuses the leader alone");
            cluster.state.refuse(leader, true);
        }
        let path = format!("/v2/runs/{}/abort", second.id);
        let (status, phase) = cluster.request(other, "POST", &path, None, 5.0);
        if status != 200 || phase != "withdrawn" {
            cluster.cannot_run("the cancellation isn't confirmed");
        }
        let told_at = cluster.world.record.now();
        note(&format!("the user was told that {} is cancelled", second.id));
        sleep(REFUSED_S);
        if trouble {
            note("the state service serves the leader again, and answers are no longer held up");
            cluster.state.refuse(leader, false);
            machine.delay_answers(0.0);
        }
        let events = cluster.world.events_of(&second.id);
        let started = events.iter().filter(|e| matches!(e.what, "is told to run" | "starts"));
        for e in started.filter(|e| e.at > told_at + ON_ITS_WAY_S) {
            let late = e.at - told_at;
            broken.push(format!(
                "a start after a confirmed cancellation: {} {} {late:.2} s after its user was told",
                e.piece, e.what
            ));
        }
        if !broken.is_empty() {
            break;
        }
    }
    cluster.finish(&broken)
}
