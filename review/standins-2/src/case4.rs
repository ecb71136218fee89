//! A job is cancelled at the leader at the moment at which the state service refuses the leader alone;
//! a second later the service is out for longer than `cancel_s`. A command that starts the job's
//! task is held back meanwhile.

use crate::cluster::{Cluster, Site, Submission};
use crate::util::{sleep, wait_for};

/// How long the state service is out, in seconds.
const OUTAGE_S: f64 = 55.0;
/// How long after the cancellation the held packets are delivered, in seconds.
const DELIVERED_AFTER_S: f64 = 44.0;

pub fn run(trouble: bool, record: &str) -> ! {
    let site = Site::libro_andante();
    let cluster = Cluster::start(&site, record, 2.0, 1);
    let leader = cluster.wait_until_ready();
    *cluster.world.first_node.lock().unwrap() = leader;
    let note = |line: &str| cluster.world.record.note(line);
    note(&format!("worker-{leader} leads"));
    let service = Submission {
        id: "run-000001".into(),
        class: "catalogue",
        team: site.teams[0].0,
        standing: true,
        rank: "production",
        pieces: 1,
        cores: 2.0,
        mem_gb: 6.7,
        run_s: 0.0,
        reclaimable: false,
    };
    let scan = Submission {
        id: "run-000002".into(),
        class: "cover-scan",
        standing: false,
        rank: "standard",
        mem_gb: 7.3,
        run_s: 60.0,
        ..service.clone()
    };
    if !cluster.submit(leader, &service) || !wait_for(30.0, || cluster.runs(&service.id)) {
        cluster.cannot_run("the service doesn't run");
    }
    let machines = cluster.cloud.machines();
    let machine = &machines[0];
    if !wait_for(10.0, || machine.node() == leader && cluster.leader() == Some(leader)) {
        cluster.cannot_run("the worker doesn't report to the leader");
    }
    sleep(2.0);
    if trouble {
        note("the network between the leader and the machine is interrupted: packets are held back");
        machine.hold(Some(leader));
    }
    if !cluster.submit(leader, &scan) {
        cluster.cannot_run("the job isn't accepted");
    }
    let is_sent = || machine.held_commands().iter().any(|c| c.contains("run-000002")) || cluster.runs(&scan.id);
    if !wait_for(3.0, is_sent) {
        cluster.cannot_run("the start isn't sent directly");
    }
    if trouble {
        note("the state service refuses the leader alone");
        cluster.state.refuse(leader, true);
    }
    let refused_at = cluster.world.record.now();
    let mut told_at = None;
    while told_at.is_none() && cluster.world.record.now() < refused_at + 1.3 {
        let (status, phase) = cluster.request(leader, "POST", "/v2/runs/run-000002/abort", None, 5.0);
        if status == 200 && phase == "withdrawn" {
            told_at = Some(cluster.world.record.now());
        }
    }
    let Some(told_at) = told_at else {
        cluster.cannot_run("the cancellation wasn't confirmed before the outage");
    };
    note("the user was told that run-000002 is cancelled");
    if trouble {
        // A second after the refusals began.
        sleep(refused_at + 1.0 - cluster.world.record.now());
        note("the state service is out");
        let out_at = cluster.world.record.now();
        cluster.state.set_outage(true);
        cluster.state.refuse(leader, false);
        sleep(told_at + DELIVERED_AFTER_S - cluster.world.record.now());
        note("the network is whole again: the held packets are delivered");
        machine.hold(None);
        sleep(out_at + OUTAGE_S - cluster.world.record.now());
        note("the state service is back");
        cluster.state.set_outage(false);
        sleep(5.0);
    } else {
        sleep(site.cancel_s + 5.0);
    }
    let mut broken = cluster
        .world
        .on_machine_after(&scan.id, told_at, told_at + site.cancel_s);
    let (status, phase) = cluster.poll(leader, &scan.id);
    if status == 200 && phase != "withdrawn" {
        broken.push(format!("went_back: the job is called {phase}"));
    }
    cluster.finish(&broken)
}
