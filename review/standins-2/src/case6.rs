//! Services of one class come four times as often for some seconds. All of them have to run.

use crate::cluster::{Cluster, Site, Submission};
use crate::waiting;

/// How long services come, in seconds.
const BURST_S: f64 = 10.0;
/// The services that come in this time on an ordinary day, and how many times as many in a burst.
const SERVICES: usize = 5;
const FACTOR: usize = 4;

pub fn run(trouble: bool, record: &str) -> ! {
    let mut site = Site::brunnmatt_charts();
    site.flavors.truncate(1);
    let cluster = Cluster::start(&site, record, 2.0, 24);
    let leader = cluster.wait_until_ready();
    let service = Submission {
        id: String::new(),
        class: "lake-view",
        team: "alpsee",
        standing: true,
        rank: "standard",
        pieces: 1,
        cores: 0.5,
        mem_gb: 2.5,
        run_s: 0.0,
        reclaimable: false,
    };
    let count = if trouble { SERVICES * FACTOR } else { SERVICES };
    let ids = cluster.submit_over(BURST_S, leader, 100, count, &service);
    cluster
        .world
        .record
        .note(&format!("{count} services are accepted; no more come"));
    let broken = waiting::check(&cluster, &ids, &service);
    cluster.finish(&broken)
}
