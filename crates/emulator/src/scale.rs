//! The `scale` subcommand: runs one experiment and writes its report.

use crate::cluster::{EmulatedCluster, Side};
use crate::controllers::Controllers;
use crate::errors::EmulatorError;
use crate::experiment::{seconds, Experiment};
use crate::load::{submit, JobNumbers};
use crate::report::{self, ControllerExit, Observed, Report};
use crate::samples::Sampler;
use crate::scheduled_failures::{inject, LostLeaders};
use crate::{balancer, cloud_service, machines, preflight, server, state_service, users};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Executor threads in addition to the main thread. The controllers need the other cores.
const EXTRA_THREADS: usize = 1;
/// Time within which at least one controller must become healthy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a request to stop is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of samples and of checks of the controller processes.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Samples between two progress log lines.
const SAMPLES_PER_PROGRESS_LINE: u64 = 5;
/// Interval of the rule checks, and its increase for each worker: a check takes longer with more
/// workers.
const RULE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const RULE_CHECK_INTERVAL_PER_WORKER: Duration = Duration::from_micros(100);
/// Largest number of accepted jobs in the audit at the end, and the audit's time limit.
const MAX_AUDITED_JOBS: usize = 300;
const AUDIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Directory of the reports if the option isn't given.
const DEFAULT_REPORT_DIR: &str = "target/lab";

/// Listeners of the emulated state service and cloud, one for each controller.
pub(crate) struct Services {
    state: Vec<Async<TcpListener>>,
    cloud: Vec<Async<TcpListener>>,
}

impl Services {
    /// Binds the listeners for all controllers.
    pub(crate) fn listen(experiment: &Experiment) -> Result<Services, EmulatorError> {
        let addresses = crate::cluster::Addresses::new(experiment.network);
        let nodes = 0..experiment.controllers.count;
        Ok(Services {
            state: nodes
                .clone()
                .map(|n| server::listen(addresses.state(n)))
                .collect::<Result<_, _>>()?,
            cloud: nodes
                .map(|n| server::listen(addresses.cloud(n)))
                .collect::<Result<_, _>>()?,
        })
    }
}

/// Kills the controllers when the experiment ends, also on an error or a panic.
pub(crate) struct KillOnDrop(pub Arc<EmulatedCluster>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.processes().kill_all();
    }
}

/// Runs an experiment and writes its report into `dir`, or into a default directory.
///
/// # Errors
///
/// Fails if the experiment is not valid, can't be started, or is stopped before its end.
pub(crate) fn run(file: &Path, program: &Path, dir: Option<PathBuf>) -> Result<Report, EmulatorError> {
    let experiment = Experiment::load(file)?;
    preflight::check(&experiment, program)?;
    let services = Services::listen(&experiment)?;
    let program = program.canonicalize().map_err(|source| EmulatorError::Unreadable {
        path: program.to_path_buf(),
        source,
    })?;
    let dir = dir.unwrap_or_else(|| Path::new(DEFAULT_REPORT_DIR).join(&experiment.name));
    let controllers = Controllers::prepare(&experiment, &program, &dir.join("controllers"))?;
    let cluster = Arc::new(EmulatedCluster::new(experiment, controllers));
    let _kill_on_drop = KillOnDrop(cluster.clone());
    stop_on_signals(&cluster)?;
    stop_on_panics(&cluster);
    let (finish, finished) = async_channel::bounded::<()>(1);
    let mut threads = vec![];
    for _ in 0..EXTRA_THREADS {
        let (cluster, finished) = (cluster.clone(), finished.clone());
        threads.push(std::thread::spawn(move || {
            async_io::block_on(cluster.executor.run(async {
                finished.recv().await.ok();
            }));
        }));
    }
    let observed = async_io::block_on(
        cluster
            .executor
            .run(run_cluster(cluster.clone(), services).or(wait_for_stop(&cluster))),
    );
    cluster.processes().kill_all();
    drop(finish);
    for thread in threads {
        thread.join().ok();
    }
    let report = report::build(&cluster, &observed?);
    report::write(&report, &dir)?;
    Ok(report)
}

/// Stops the experiment on an interrupt or termination signal.
fn stop_on_signals(cluster: &Arc<EmulatedCluster>) -> Result<(), EmulatorError> {
    let cluster = cluster.clone();
    let stop = move || cluster.stop(EmulatorError::Interrupted);
    ctrlc::set_handler(stop).map_err(|e| EmulatorError::Other(e.to_string()))
}

/// Stops the experiment when any thread panics. The previous panic hook still prints the panic.
fn stop_on_panics(cluster: &Arc<EmulatedCluster>) {
    let cluster = cluster.clone();
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        previous_hook(panic);
        cluster.stop(EmulatorError::Panicked(panic.to_string()));
    }));
}

/// Waits until the experiment is stopped early, and returns the reason.
async fn wait_for_stop(cluster: &EmulatedCluster) -> Result<Observed, EmulatorError> {
    loop {
        Timer::after(STOP_POLL_INTERVAL).await;
        if let Some(why) = cluster.take_stop() {
            return Err(why);
        }
    }
}

/// Runs the experiment and the audit at its end.
async fn run_cluster(cluster: Arc<EmulatedCluster>, services: Services) -> Result<Observed, EmulatorError> {
    serve(&cluster, services);
    for node in 0..cluster.nodes.len() {
        cluster.processes().start(node)?;
        cluster.executor.spawn(balancer::probe(cluster.clone(), node)).detach();
    }
    create_machines(&cluster);
    cluster
        .executor
        .spawn(check_rules_periodically(cluster.clone()))
        .detach();
    let numbers = Arc::new(JobNumbers::default());
    for load in cluster.experiment.load.clone() {
        cluster
            .executor
            .spawn(submit(cluster.clone(), load, numbers.clone()))
            .detach();
    }
    let lost = Arc::new(LostLeaders::default());
    for injection in cluster.experiment.inject.clone() {
        cluster
            .executor
            .spawn(inject(cluster.clone(), injection, lost.clone()))
            .detach();
    }
    let (sampler, ended) = watch(&cluster).await?;
    let late = async {
        Timer::after(AUDIT_TIMEOUT).await;
        None
    };
    let audit = async { Some(users::audit(&cluster, MAX_AUDITED_JOBS).await) };
    Ok(Observed {
        samples: sampler.samples,
        ended,
        audited: audit.or(late).await,
        lost: lost.all(),
    })
}

/// Starts serving the state service and the cloud.
pub(crate) fn serve(cluster: &Arc<EmulatedCluster>, services: Services) {
    for (node, listener) in services.state.into_iter().enumerate() {
        let serve = server::serve(cluster.clone(), listener, node, Side::State, state_service::handle);
        cluster.executor.spawn(serve).detach();
    }
    for (node, listener) in services.cloud.into_iter().enumerate() {
        let serve = server::serve(cluster.clone(), listener, node, Side::Cloud, cloud_service::handle);
        cluster.executor.spawn(serve).detach();
    }
    cluster
        .executor
        .spawn(state_service::expire_leases(cluster.clone()))
        .detach();
}

/// Creates the initial machines; their boots are spread over the ramp time.
pub(crate) fn create_machines(cluster: &Arc<EmulatedCluster>) {
    let workers = &cluster.experiment.workers;
    let mut fleet = cluster.fleet();
    for number in 0..workers.count {
        let boot = seconds(workers.ramp_s * number as f64 / workers.count as f64);
        let zone = cluster.experiment.zone_of(number);
        machines::create(cluster, &mut fleet, zone, false, boot);
    }
}

/// Checks the rules periodically until the experiment ends.
async fn check_rules_periodically(cluster: Arc<EmulatedCluster>) {
    let pause = RULE_CHECK_INTERVAL + RULE_CHECK_INTERVAL_PER_WORKER * cluster.experiment.workers.count as u32;
    loop {
        Timer::after(pause).await;
        let now = cluster.now();
        cluster.fleet().check_rules(now);
    }
}

/// Samples the controllers once a second until the end of the experiment. Returns the samples and
/// the controllers that exited without being killed.
async fn watch(cluster: &EmulatedCluster) -> Result<(Sampler, Vec<ControllerExit>), EmulatorError> {
    let limit_mb = preflight::memory_limit_mb()?;
    let (began, ends) = (Instant::now(), Instant::now() + cluster.experiment.duration());
    let (mut sampler, mut ended) = (Sampler::default(), vec![]);
    let mut samples = 0;
    let mut was_ready = false;
    while Instant::now() < ends {
        Timer::after(SAMPLE_INTERVAL.min(ends.saturating_duration_since(Instant::now()))).await;
        let counts = sampler.sample(cluster, limit_mb)?;
        for node in cluster.processes().ended() {
            tracing::error!(node, "controller process exited unexpectedly");
            ended.push(ControllerExit {
                node,
                at_s: cluster.now() as f64 / 1e6,
            });
        }
        was_ready |= cluster.nodes.iter().any(|node| node.healthy.load(Ordering::Relaxed));
        if !was_ready && began.elapsed() > READY_TIMEOUT {
            return Err(EmulatorError::NeverReady {
                seconds: READY_TIMEOUT.as_secs(),
                logs: cluster.processes().dir().to_path_buf(),
            });
        }
        samples += 1;
        if samples % SAMPLES_PER_PROGRESS_LINE == 0 {
            tracing::info!(
                at_s = began.elapsed().as_secs(),
                of_s = cluster.experiment.duration().as_secs(),
                machines = counts.machines,
                running = counts.running,
                open_jobs = counts.open_jobs,
                starts = counts.starts,
                broken = cluster.fleet().rules.broken.len(),
                "experiment progress"
            );
        }
    }
    Ok((sampler, ended))
}
