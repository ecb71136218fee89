//! An emulated load balancer: probes the controllers and chooses a healthy one for new connections.

use crate::cluster::{EmulatedCluster, Side};
use crate::machines::{exchange, within};
use async_io::Timer;
use glenhaven_fakes::http::Request;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Pause between probes, and time limit of a probe.
const PROBE: Duration = Duration::from_secs(1);
/// Number of consecutive probes with the same result that change a controller's health.
const IN_A_ROW: i32 = 2;

/// Probes one controller until the experiment ends.
pub(crate) async fn probe(cluster: Arc<EmulatedCluster>, node: usize) {
    let request = Request {
        method: "GET".into(),
        path: "/ready".into(),
        body: vec![],
    };
    let mut connection = None;
    // Consecutive successful probes, or failed ones if negative. A controller becomes healthy at
    // once if its first probe succeeds.
    let mut row = IN_A_ROW - 1;
    loop {
        let reused = connection.take();
        let answer = within(PROBE, exchange(&cluster, reused, node, Side::Users, &request)).await;
        let good = answer.as_ref().is_some_and(|(_, response)| response.status == 200);
        connection = answer.and_then(|(reused, _)| reused);
        row = match good {
            true => row.max(0) + 1,
            false => row.min(0) - 1,
        };
        if row.abs() >= IN_A_ROW {
            cluster.nodes[node].healthy.store(good, Ordering::Relaxed);
        }
        Timer::after(PROBE).await;
    }
}

/// Returns a random healthy controller for a new connection.
pub(crate) fn choose(cluster: &EmulatedCluster, rng: &mut fastrand::Rng) -> Option<usize> {
    let healthy = |n: &usize| cluster.nodes[*n].healthy.load(Ordering::Relaxed);
    let healthy: Vec<usize> = (0..cluster.nodes.len()).filter(healthy).collect();
    rng.choice(&healthy).copied()
}
