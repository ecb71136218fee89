//! Runs a plan in a child process, so that its sockets and memory are released when the plan ends.

use super::outcome::Outcome;
use super::SoakArgs;
use crate::errors::EmulatorError;
use rustix::process::{kill_process, Pid, Signal};
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the child's status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an interrupted child to stop its controllers before it is killed.
const INTERRUPT_GRACE: Duration = Duration::from_secs(5);
/// Exit status of an interrupted child.
const INTERRUPTED_STATUS: i32 = 130;

/// Runs the plan file in `dir` in a child process and returns its outcome.
///
/// # Errors
///
/// Fails if the child can't be started, was interrupted, or could not run the plan.
pub(super) fn run(
    args: &SoakArgs,
    program: &Path,
    dir: &Path,
    interrupted: &AtomicBool,
) -> Result<Outcome, EmulatorError> {
    let emulator = std::env::current_exe().map_err(|e| EmulatorError::Other(e.to_string()))?;
    let mut command = Command::new(&emulator);
    command.arg("soak").arg("--plan").arg(dir.join("plan.toml"));
    command.arg("--controllers").arg(program);
    command.arg("--report").arg(&args.report);
    if args.keep {
        command.arg("--keep");
    }
    let child = command
        .spawn()
        .map_err(|source| EmulatorError::Start { path: emulator, source })?;
    let status = wait(child, interrupted)?;
    match status.code() {
        Some(0 | 1) => read_outcome(&dir.join("outcome.json")),
        Some(INTERRUPTED_STATUS) => Err(EmulatorError::Interrupted),
        _ => Err(EmulatorError::Other(format!(
            "{}: the plan could not be run",
            dir.display()
        ))),
    }
}

/// Waits for the child to exit, and forwards an interrupt to it.
fn wait(mut child: Child, interrupted: &AtomicBool) -> Result<ExitStatus, EmulatorError> {
    let failed = |e: std::io::Error| EmulatorError::Other(e.to_string());
    let mut interrupt_sent_at: Option<Instant> = None;
    loop {
        if let Some(status) = child.try_wait().map_err(failed)? {
            return Ok(status);
        }
        if interrupted.load(Ordering::Relaxed) {
            match interrupt_sent_at {
                None => {
                    interrupt_sent_at = Some(Instant::now());
                    if let Some(pid) = Pid::from_raw(child.id() as i32) {
                        kill_process(pid, Signal::INT).ok();
                    }
                }
                Some(at) if at.elapsed() > INTERRUPT_GRACE => {
                    child.kill().ok();
                }
                Some(_) => {}
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn read_outcome(path: &Path) -> Result<Outcome, EmulatorError> {
    let text = std::fs::read_to_string(path).map_err(|source| EmulatorError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|e| EmulatorError::Other(format!("{}: {e}", path.display())))
}
