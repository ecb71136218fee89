//! Checks of the host before an experiment starts.

use crate::cluster::Addresses;
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use procfs::Current;
use std::path::Path;

/// The emulator and the controllers together may use the host's memory divided by this number.
const MEMORY_PART: u64 = 2;
/// Estimated memory of a controller and of a worker.
const CONTROLLER_MB: u64 = 100;
const WORKER_KB: u64 = 128;
/// File descriptors reserved for each worker: its listener, its report and a direct command.
const FILES_A_WORKER: u64 = 4;
/// File descriptors reserved for users, state service, cloud and logs.
const FILES: u64 = 1000;
const LEAST_CORES: u64 = 2;
const KB_A_MB: u64 = 1024;

/// Returns the memory that all processes together may use, in megabytes.
pub(crate) fn memory_limit_mb() -> Result<u64, EmulatorError> {
    let memory = procfs::Meminfo::current().map_err(|e| EmulatorError::Machine(e.to_string()))?;
    Ok(memory.mem_total / (KB_A_MB * KB_A_MB) / MEMORY_PART)
}

/// Returns an error if `found` is less than `needed`.
fn enough(what: &'static str, needed: u64, found: u64) -> Result<(), EmulatorError> {
    match found >= needed {
        true => Ok(()),
        false => Err(EmulatorError::TooSmall { what, needed, found }),
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
    enough("cores", LEAST_CORES, cores)?;
    let (controllers, workers) = (experiment.controllers.count as u64, experiment.workers.count as u64);
    let memory = controllers * CONTROLLER_MB + workers * WORKER_KB / KB_A_MB;
    enough("half of the memory, in MB", memory, memory_limit_mb()?)?;
    enough("open files", FILES + FILES_A_WORKER * workers, open_files()?)?;
    ports_are_free(experiment)
}

/// Returns the number of files that this process may open.
fn open_files() -> Result<u64, EmulatorError> {
    let failed = |e: procfs::ProcError| EmulatorError::Machine(e.to_string());
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
