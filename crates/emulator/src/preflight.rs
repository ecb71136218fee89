//! Checks of the host before an experiment starts.

use crate::cluster::Addresses;
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use procfs::Current;
use std::path::Path;

/// The emulator and the controllers together may use the host's memory divided by this number.
const MEMORY_DIVISOR: u64 = 2;
/// Estimated memory of a controller and of a worker.
const CONTROLLER_MB: u64 = 100;
const WORKER_KB: u64 = 128;
/// File descriptors reserved for each worker: its listener, its heartbeat and a direct command.
const FILES_PER_WORKER: u64 = 4;
/// File descriptors reserved for users, state service, cloud and logs.
const SHARED_FILES: u64 = 1000;
const MIN_CORES: u64 = 2;
const KB_PER_MB: u64 = 1024;

/// Returns the memory that all processes together may use, in megabytes.
pub(crate) fn memory_limit_mb() -> Result<u64, EmulatorError> {
    let memory = procfs::Meminfo::current().map_err(|e| EmulatorError::Other(e.to_string()))?;
    Ok(memory.mem_total / (KB_PER_MB * KB_PER_MB) / MEMORY_DIVISOR)
}

/// Returns an error if `found` is less than `needed`.
fn require_at_least(what: &'static str, needed: u64, found: u64) -> Result<(), EmulatorError> {
    match found >= needed {
        true => Ok(()),
        false => Err(EmulatorError::HostTooSmall { what, needed, found }),
    }
}

/// Checks that the program exists, the host has enough cores, memory and file descriptors, and the
/// controllers' ports are free.
pub(crate) fn check(experiment: &Experiment, program: &Path) -> Result<(), EmulatorError> {
    if !program.is_file() {
        return Err(EmulatorError::NoProgram {
            path: program.to_path_buf(),
        });
    }
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    require_at_least("cores", MIN_CORES, cores)?;
    let (controllers, workers) = (experiment.controllers.count as u64, experiment.workers.count as u64);
    let memory = controllers * CONTROLLER_MB + workers * WORKER_KB / KB_PER_MB;
    require_at_least("half of the memory, in MB", memory, memory_limit_mb()?)?;
    require_at_least("open files", SHARED_FILES + FILES_PER_WORKER * workers, open_files()?)?;
    ports_are_free(experiment)
}

/// Returns the number of files that this process may open.
fn open_files() -> Result<u64, EmulatorError> {
    let failed = |e: procfs::ProcError| EmulatorError::Other(e.to_string());
    let limits = procfs::process::Process::myself()
        .and_then(|me| me.limits())
        .map_err(failed)?;
    Ok(match limits.max_open_files.soft_limit {
        procfs::process::LimitValue::Value(value) => value,
        procfs::process::LimitValue::Unlimited => u64::MAX,
    })
}

/// Checks that the controllers' ports are free.
fn ports_are_free(experiment: &Experiment) -> Result<(), EmulatorError> {
    let addresses = Addresses::new(experiment.network);
    for node in 0..experiment.controllers.count {
        crate::server::listen(addresses.public(node))?;
        crate::server::listen(addresses.peer(node))?;
    }
    Ok(())
}
