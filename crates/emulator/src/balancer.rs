//! An emulated load balancer: probes the controllers and chooses a healthy one for new connections.

use crate::cluster::{EmulatedCluster, Side};
use crate::machines::{exchange, with_timeout};
use async_io::Timer;
use glenhaven_fakes::http::Request;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Pause between probes, and time limit of a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive probes with the same result that change a controller's health.
const DECISIVE_PROBES: i32 = 2;

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
    let mut streak = DECISIVE_PROBES - 1;
    loop {
        let reused = connection.take();
        let answer = with_timeout(PROBE_INTERVAL, exchange(&cluster, reused, node, Side::Users, &request)).await;
        let good = answer.as_ref().is_some_and(|(_, response)| response.status == 200);
        connection = answer.and_then(|(reused, _)| reused);
        streak = match good {
            true => streak.max(0) + 1,
            false => streak.min(0) - 1,
        };
        if streak.abs() >= DECISIVE_PROBES {
            cluster.nodes[node].healthy.store(good, Ordering::Relaxed);
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

/// Returns a random healthy controller for a new connection.
pub(crate) fn choose(cluster: &EmulatedCluster, rng: &mut fastrand::Rng) -> Option<usize> {
    let healthy = |n: &usize| cluster.nodes[*n].healthy.load(Ordering::Relaxed);
    let healthy: Vec<usize> = (0..cluster.nodes.len()).filter(healthy).collect();
    rng.choice(&healthy).copied()
}
