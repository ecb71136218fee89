//! Services of one class come four times as often for some seconds, and the cloud has no more machines.
//! When that is over, an array of one task is submitted.

use crate::cluster::{Cluster, Site, Submission};
use crate::util::{sleep, wait_for};
use crate::waiting;

/// How long services come, in seconds.
const BURST_S: f64 = 10.0;
/// The services that come in this time on an ordinary day, and how many times as many in a burst.
const SERVICES: usize = 7;
const FACTOR: usize = 4;
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
    let count = if trouble { SERVICES * FACTOR } else { SERVICES };
    let ids = cluster.submit_over(BURST_S, leader, 100, count, &service);
    if !wait_for(15.0, || ids.iter().all(|id| cluster.runs(id))) {
        cluster.cannot_run("the services don't run");
    }
    cluster
        .world
        .record
        .note(&format!("{count} services run; no more come"));
    sleep(1.0);
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
