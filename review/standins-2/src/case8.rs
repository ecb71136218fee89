//! Arrays of large tasks come three times as often for some seconds. Then an array of one small task is
//! submitted, which fits on another machine.

use crate::cluster::{Cluster, Site, Submission};
use crate::util::{sleep, wait_for};
use crate::waiting;

/// How long large arrays come, in seconds.
const BURST_S: f64 = 4.0;
/// The large arrays that come in this time on an ordinary day, and how many times as many in a burst.
const LARGE: usize = 1;
const FACTOR: usize = 3;
/// The machines of each type that the cloud has in each zone.
const CAPACITY: usize = 1;

pub fn run(trouble: bool, record: &str) -> ! {
    let mut site = Site::brunnmatt_charts();
    for flavor in &mut site.flavors {
        flavor.yards.truncate(1);
    }
    let cluster = Cluster::start(&site, record, 2.0, CAPACITY);
    let leader = cluster.wait_until_ready();
    let service = Submission {
        id: "run-000100".into(),
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
    if !cluster.submit(leader, &service) || !wait_for(15.0, || cluster.runs(&service.id)) {
        cluster.cannot_run("the service doesn't run");
    }
    let array = Submission {
        id: String::new(),
        class: "survey-ingest",
        team: "alpsee",
        standing: false,
        rank: "standard",
        cores: 4.0,
        mem_gb: 24.0,
        run_s: 5.0,
        ..service.clone()
    };
    let large = Submission {
        class: "harmonic-sweep",
        team: "nordkap",
        cores: 60.0,
        mem_gb: 100.0,
        run_s: 60.0,
        ..array.clone()
    };
    let count = if trouble { LARGE * FACTOR } else { LARGE };
    let ids = cluster.submit_over(BURST_S, leader, 200, count, &large);
    if !wait_for(15.0, || ids.iter().any(|id| cluster.runs(id))) {
        cluster.cannot_run("no large array runs");
    }
    cluster
        .world
        .record
        .note(&format!("{count} large arrays are accepted; no more come"));
    sleep(1.0);
    let small = Submission {
        id: "run-000300".into(),
        ..array
    };
    if !cluster.submit(leader, &small) {
        cluster.cannot_run("the array isn't accepted");
    }
    let broken = waiting::check(&cluster, &[small.id.clone()], &small);
    cluster.finish(&broken)
}
