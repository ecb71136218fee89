//! Services of one class come four times as often for some seconds, and the cloud has no more machines.
//! When that is over, an array of one task is submitted.

use crate::cluster::{Cluster, Site, Submission};
use crate::util::{sleep, wait_for};
use crate::waiting;

/// The services at the start, and how long they take to come, in seconds.
const AT_START: usize = 18;
const START_S: f64 = 2.0;
/// How many services come in a minute on an ordinary day, and how many times as many in a burst.
const A_MINUTE: f64 = 6.4;
const FACTOR: f64 = 4.0;
/// How long the burst takes, in seconds.
const BURST_S: f64 = 16.6;
/// The machines that the cloud has in each zone.
const CAPACITY: usize = 1;

pub fn run(trouble: bool, record: &str) -> ! {
    let mut site = Site::brunnmatt_charts();
    site.flavors.truncate(1);
    let cluster = Cluster::start(&site, record, 2.0, CAPACITY);
    let leader = cluster.wait_until_ready();
    let service = Submission {
        id: String::new(),
        class: "notice-feed",
        team: "hydro",
        standing: true,
        rank: "production",
        pieces: 1,
        cores: 1.0,
        mem_gb: 5.0,
        run_s: 0.0,
        reclaimable: false,
    };
    let rate = A_MINUTE / 60.0 * if trouble { FACTOR } else { 1.0 };
    let more = (rate * BURST_S) as usize;
    let mut ids = cluster.submit_over(START_S, leader, 100, AT_START, &service);
    ids.extend(cluster.submit_over(BURST_S, leader, 100 + AT_START, more, &service));
    if !wait_for(15.0, || ids.iter().all(|id| cluster.runs(id))) {
        cluster.cannot_run("the services don't run");
    }
    cluster
        .world
        .record
        .note(&format!("{} services run; no more come", ids.len()));
    sleep(0.5);
    let array = Submission {
        id: "run-000200".into(),
        class: "survey-ingest",
        team: "alpsee",
        standing: false,
        rank: "standard",
        cores: 4.0,
        mem_gb: 24.0,
        run_s: 5.0,
        ..service
    };
    if !cluster.submit(leader, &array) {
        cluster.cannot_run("the array isn't accepted");
    }
    let broken = waiting::check(&cluster, &[array.id.clone()], &array);
    cluster.finish(&broken)
}
