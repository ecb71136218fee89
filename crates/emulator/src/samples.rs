//! Samples of the controller processes' resource use and traffic.

use crate::cluster::{EmulatedCluster, Side};
use crate::errors::EmulatorError;
use crate::fleet::Counts;
use procfs::process::{FDTarget, Process};
use procfs::WithCurrentSystemInfo;
use std::collections::BTreeMap;
use std::time::Instant;

/// Resource use and traffic of one controller since its previous sample.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct Sample {
    /// Seconds since the beginning of the experiment.
    pub at_s: f64,
    pub node: usize,
    /// Whether the state service records this controller as leader.
    pub leads: bool,
    /// Processor time as a fraction of one core.
    pub cpu: f64,
    pub memory_kb: u64,
    pub sockets: usize,
    /// Bytes per second from and to workers, users, the state service and the cloud.
    pub workers_in: f64,
    pub workers_out: f64,
    pub users_in: f64,
    pub users_out: f64,
    pub state_in: f64,
    pub state_out: f64,
    pub cloud_in: f64,
    pub cloud_out: f64,
    /// Task starts per second, running tasks, machines that are up and open jobs of the whole
    /// cluster.
    pub starts: f64,
    pub running: usize,
    pub machines: usize,
    pub open_jobs: usize,
}

/// Cumulative use of a process at the previous sample.
struct UsageRecord {
    pid: u32,
    at: Instant,
    ticks: u64,
    bytes: [(u64, u64); SIDES.len()],
}

const SIDES: [Side; 4] = [Side::Workers, Side::Users, Side::State, Side::Cloud];

/// Takes samples of the controller processes and keeps them.
#[derive(Default)]
pub(crate) struct Sampler {
    seen: BTreeMap<usize, UsageRecord>,
    last: Option<(Instant, Counts)>,
    pub samples: Vec<Sample>,
}

/// Resources that a process has used or holds.
struct Usage {
    ticks: u64,
    memory_kb: u64,
    sockets: usize,
}

/// Reads a process's resource use; `None` if it can't be read.
fn usage(pid: u32) -> Option<Usage> {
    let process = Process::new(i32::try_from(pid).ok()?).ok()?;
    let stat = process.stat().ok()?;
    let descriptors = process.fd().ok()?;
    let is_socket = |fd: &procfs::process::FDInfo| matches!(fd.target, FDTarget::Socket(_));
    Some(Usage {
        ticks: stat.utime + stat.stime,
        memory_kb: stat.rss_bytes().get() / 1024,
        sockets: descriptors.flatten().filter(is_socket).count(),
    })
}

/// Returns the emulator's own resident memory, in kilobytes.
fn own_memory_kb() -> u64 {
    usage(std::process::id()).map_or(0, |usage| usage.memory_kb)
}

impl Sampler {
    /// Samples all controllers and returns the counts of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the emulator and the controllers together use more memory than `limit_mb`.
    pub(crate) fn sample(&mut self, cluster: &EmulatedCluster, limit_mb: u64) -> Result<Counts, EmulatorError> {
        let now = Instant::now();
        let counts = cluster.fleet().counts();
        let starts = match self.last.replace((now, counts)) {
            Some((at, before)) => (counts.starts - before.starts) as f64 / (now - at).as_secs_f64(),
            None => 0.0,
        };
        let leader = cluster.leader();
        let mut memory_kb = own_memory_kb();
        for (node, pid) in cluster.processes().running() {
            let Some(usage) = usage(pid) else { continue };
            memory_kb += usage.memory_kb;
            let bytes = SIDES.map(|side| cluster.nodes[node].bytes(side));
            let seen = UsageRecord {
                pid,
                at: now,
                ticks: usage.ticks,
                bytes,
            };
            let before = self.seen.insert(node, seen).filter(|seen| seen.pid == pid);
            let Some(before) = before else { continue };
            let span = (now - before.at).as_secs_f64();
            let rate = |side: usize| {
                let (received, sent) = bytes[side];
                let (received_before, sent_before) = before.bytes[side];
                let a_second = |now: u64, before: u64| now.saturating_sub(before) as f64 / span;
                (a_second(received, received_before), a_second(sent, sent_before))
            };
            let ticks = usage.ticks.saturating_sub(before.ticks) as f64;
            self.samples.push(Sample {
                at_s: cluster.now() as f64 / 1e6,
                node,
                leads: leader == Some(node),
                cpu: ticks / procfs::ticks_per_second() as f64 / span,
                memory_kb: usage.memory_kb,
                sockets: usage.sockets,
                workers_in: rate(0).0,
                workers_out: rate(0).1,
                users_in: rate(1).0,
                users_out: rate(1).1,
                state_in: rate(2).0,
                state_out: rate(2).1,
                cloud_in: rate(3).0,
                cloud_out: rate(3).1,
                starts,
                running: counts.running,
                machines: counts.machines,
                open_jobs: counts.open_jobs,
            });
        }
        let used_mb = memory_kb / 1024;
        match used_mb > limit_mb {
            true => Err(EmulatorError::MemoryExceeded { used_mb, limit_mb }),
            false => Ok(counts),
        }
    }
}
