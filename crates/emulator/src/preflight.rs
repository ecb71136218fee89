//! What is looked at before anything is started.

use crate::cluster::Addresses;
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use procfs::Current;
use std::path::Path;

/// What the emulator takes of a machine's memory at most, as a part.
const MEMORY_PART: u64 = 2;
/// Memory that a controller and a worker are reckoned to take.
const CONTROLLER_MB: u64 = 100;
const WORKER_KB: u64 = 128;
/// File descriptors for each worker: its listener, its report and a direct command.
const FILES_A_WORKER: u64 = 4;
/// File descriptors beside those of workers: users, state service, cloud and logs.
const FILES: u64 = 1000;
const LEAST_CORES: u64 = 2;
const KB_A_MB: u64 = 1024;

/// The memory that all processes together may take, in megabytes.
pub(crate) fn memory_limit_mb() -> Result<u64, EmulatorError> {
    let memory = procfs::Meminfo::current().map_err(|e| EmulatorError::Machine(e.to_string()))?;
    Ok(memory.mem_total / (KB_A_MB * KB_A_MB) / MEMORY_PART)
}

fn enough(what: &'static str, needed: u64, found: u64) -> Result<(), EmulatorError> {
    match found >= needed {
        true => Ok(()),
        false => Err(EmulatorError::TooSmall { what, needed, found }),
    }
}

/// Whether this machine can run the experiment, as far as that can be told before.
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

/// How many files this process may open.
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

/// Whether the controllers will be able to listen.
fn ports_are_free(experiment: &Experiment) -> Result<(), EmulatorError> {
    let addresses = Addresses::new(experiment.network);
    for node in 0..experiment.controllers.count {
        crate::server::listen(addresses.public(node))?;
        crate::server::listen(addresses.peer(node))?;
    }
    Ok(())
}
