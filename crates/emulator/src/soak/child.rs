//! Plays a plan in a process of its own: its sockets and memory end with it.

use super::outcome::Outcome;
use super::SoakArgs;
use crate::errors::EmulatorError;
use rustix::process::{kill_process, Pid, Signal};
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(50);
/// An interrupted child has so long to end its controllers.
const GRACE: Duration = Duration::from_secs(5);
/// The status of a child that was interrupted.
const INTERRUPTED: i32 = 130;

/// Plays the plan in a directory: its outcome.
pub(super) fn play(
    args: &SoakArgs,
    program: &Path,
    dir: &Path,
    interrupted: &AtomicBool,
) -> Result<Outcome, EmulatorError> {
    let itself = std::env::current_exe().map_err(|e| EmulatorError::Machine(e.to_string()))?;
    let mut command = Command::new(&itself);
    command.arg("soak").arg("--plan").arg(dir.join("plan.toml"));
    command.arg("--controllers").arg(program);
    command.arg("--report").arg(&args.report);
    if args.keep {
        command.arg("--keep");
    }
    let child = command
        .spawn()
        .map_err(|source| EmulatorError::Start { path: itself, source })?;
    let status = wait(child, interrupted)?;
    match status.code() {
        Some(0 | 1) => read_outcome(&dir.join("outcome.json")),
        Some(INTERRUPTED) => Err(EmulatorError::Interrupted),
        _ => Err(EmulatorError::Machine(format!("{} could not be played", dir.display()))),
    }
}

/// Waits for a child, and passes an interrupt on.
fn wait(mut child: Child, interrupted: &AtomicBool) -> Result<ExitStatus, EmulatorError> {
    let failed = |e: std::io::Error| EmulatorError::Machine(e.to_string());
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
                Some(at) if at.elapsed() > GRACE => {
                    child.kill().ok();
                }
                Some(_) => {}
            }
        }
        std::thread::sleep(LOOK);
    }
}

fn read_outcome(path: &Path) -> Result<Outcome, EmulatorError> {
    let text = std::fs::read_to_string(path).map_err(|source| EmulatorError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|e| EmulatorError::Machine(format!("{}: {e}", path.display())))
}
