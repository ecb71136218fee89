//! Submits the jobs of an experiment's loads.

use crate::cluster::EmulatedCluster;
use crate::experiment::{seconds, Load};
use crate::fleet::teams;
use crate::users;
use async_io::Timer;
use glenhaven::protocol::users::{JobSpec, Priority};
use glenhaven_fakes::user::{plain_spec, User};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Memory of each task, and the size of its image if the load doesn't set one. Jobs of high and
/// production priority have images of size 0 then.
const MEMORY_GB: f64 = 1.0;
const IMAGE_GB: f64 = 0.2;
/// Largest relative deviation of the interval between submissions.
const INTERVAL_JITTER: f64 = 0.25;
/// Longest time from submission to cancellation, in seconds.
const MAX_CANCEL_DELAY_S: f64 = 10.0;

/// The source of job numbers, shared by all loads.
#[derive(Default)]
pub(crate) struct JobNumbers(AtomicU64);

impl JobNumbers {
    /// Returns the next number; the first is 1.
    pub(crate) fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Submits the jobs of one load until its end.
pub(crate) async fn submit(cluster: Arc<EmulatedCluster>, load: Load, numbers: Arc<JobNumbers>) {
    let until = load.until_s.unwrap_or(cluster.experiment.duration_s);
    let mut at = load.from_s;
    while at < until {
        let now = Duration::from_micros(cluster.now());
        Timer::after(seconds(at).saturating_sub(now)).await;
        let number = numbers.next();
        let spec = spec(&cluster, &load, number);
        let user = User::new(spec, load.run_s, false);
        let (cancel_after, pause) = {
            let rng = &mut cluster.fleet().rng;
            let is_cancelled = rng.f64() < load.cancelled;
            let cancel_after = is_cancelled.then(|| seconds(MAX_CANCEL_DELAY_S * rng.f64()));
            (
                cancel_after,
                load.every_s * (1.0 - INTERVAL_JITTER + 2.0 * INTERVAL_JITTER * rng.f64()),
            )
        };
        cluster
            .executor
            .spawn(users::run_user(cluster.clone(), user, cancel_after))
            .detach();
        at += pause;
    }
}

/// Builds the spec of the job with this number; teams take turns.
pub(crate) fn spec(cluster: &EmulatedCluster, load: &Load, number: u64) -> JobSpec {
    let teams = teams(&cluster.experiment);
    let team = &teams[number as usize % teams.len()];
    let high = matches!(load.priority, Priority::High | Priority::Production);
    JobSpec {
        class: load.class.clone(),
        team: team.name.clone(),
        shape: load.shape,
        priority: load.priority,
        tasks: load.tasks,
        cpus: load.cpus,
        memory: MEMORY_GB,
        image: format!("img-{}", load.class),
        image_gb: load.image_gb.unwrap_or(if high { 0.0 } else { IMAGE_GB }),
        estimate_s: load.run_s,
        gpus: load.gpus,
        save_s: load.save_s,
        checkpoint_s: load.save_s,
        zone: load.zone.clone(),
        one_zone: load.one_zone,
        spread: load.spread,
        ..plain_spec(&format!("run-{number:06}"))
    }
}
