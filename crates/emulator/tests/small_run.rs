//! Runs the `scale` subcommand: a complete small experiment, and the errors that stop an experiment
//! before it starts.

mod common;

use common::{controller_runs_in, controllers, network, new_directory, output_text};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A directory for one test, removed when dropped.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Dir {
        Dir(new_directory("lab", name))
    }

    /// Writes the small experiment with an address range of this test's own, and returns its path.
    fn experiment(&self, network: u8) -> PathBuf {
        let small = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/small.toml");
        let text = std::fs::read_to_string(small).unwrap();
        let text = text.replace("network = 41", &format!("network = {network}"));
        let path = self.0.join("experiment.toml");
        std::fs::write(&path, text).unwrap();
        path
    }

    fn report(&self) -> PathBuf {
        self.0.join("report")
    }

    fn command(&self, experiment: &Path, program: &Path) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenhaven-emulator"));
        command.arg("scale").arg(experiment);
        command.arg("--controllers").arg(program);
        command.arg("--report").arg(self.report());
        command
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

#[test]
fn a_small_experiment_keeps_the_rules() {
    let dir = Dir::new("small");
    let experiment = dir.experiment(network(0));
    let output = dir.command(&experiment, &controllers()).output().unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
    let report = std::fs::read_to_string(dir.report().join("report.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    assert_eq!(report["broken"], serde_json::json!([]));
    let number = |value: &serde_json::Value| value.as_f64().unwrap_or(0.0);
    assert!(number(&report["jobs"]["done"]) >= 20.0, "{}", output_text(&output));
    assert!(number(&report["starts"]) >= 200.0, "{}", output_text(&output));
    for time in ["submit", "start_urgent", "start_other", "takeover"] {
        assert!(number(&report["times"][time]["count"]) >= 1.0, "no times of {time}");
    }
    assert!(number(&report["leader"]["cpu_mean"]) > 0.0);
    assert!(number(&report["follower"]["workers_received_mean"]) > 0.0);
    let samples = std::fs::read_to_string(dir.report().join("samples.csv")).unwrap();
    assert!(samples.lines().count() > 40);
    for plot in ["cpu", "memory", "sockets", "received", "sent", "tasks", "times"] {
        let plot = std::fs::read_to_string(dir.report().join(format!("{plot}.svg"))).unwrap();
        assert!(plot.contains("polyline"));
    }
    assert!(!controller_runs_in(&dir.0), "a controller was left behind");
}

#[test]
fn a_missing_program_and_a_port_in_use_are_reported() {
    let dir = Dir::new("refused");
    let network = network(1);
    let experiment = dir.experiment(network);
    let missing = dir.0.join("no-such-program");
    let output = dir.command(&experiment, &missing).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("no such program"),
        "{}",
        output_text(&output)
    );
    let _taken = TcpListener::bind((Ipv4Addr::new(127, network, 0, 2), 8080)).unwrap();
    let output = dir.command(&experiment, &controllers()).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("the port is in use"),
        "{}",
        output_text(&output)
    );
    assert!(!dir.report().exists(), "something was left behind");
}

#[test]
fn an_invalid_experiment_is_reported() {
    let dir = Dir::new("wrong");
    let experiment = dir.experiment(network(2));
    let good = std::fs::read_to_string(&experiment).unwrap();
    let run = |text: String| {
        std::fs::write(&experiment, text).unwrap();
        let output = dir.command(&experiment, &controllers()).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
        output_text(&output)
    };
    assert!(run(good.replace("count = 60", "count = 0")).contains("workers.count"));
    assert!(run(good.replace("duration_s", "duration")).contains("duration"));
    assert!(run(good.replace("zone = \"a\"", "zone = \"x\"")).contains("no zone x"));
    assert!(!dir.report().exists(), "something was left behind");
}

/// Limit of file descriptors that the shell sets for the program: too low for any experiment.
const FEW_FILES: u32 = 100;

#[test]
fn a_machine_that_is_too_small_is_reported() {
    let dir = Dir::new("too-small");
    let experiment = dir.experiment(network(3));
    let command = dir.command(&experiment, &controllers());
    let mut shell = Command::new("sh");
    shell
        .arg("-c")
        .arg(format!("ulimit -n {FEW_FILES}; exec \"$@\""))
        .arg("sh");
    let output = shell
        .arg(command.get_program())
        .args(command.get_args())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("the machine is too small: open files"),
        "{}",
        output_text(&output)
    );
    assert!(!dir.report().exists(), "something was left behind");
}

#[test]
fn an_interrupted_experiment_leaves_no_process() {
    let dir = Dir::new("interrupted");
    let experiment = dir.experiment(network(4));
    let mut emulator = dir
        .command(&experiment, &controllers())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let wait_until = |what: &str, holds: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < Duration::from_secs(15), "{what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    wait_until("no controller was started", &|| controller_runs_in(&dir.0));
    let interrupted = Command::new("kill").arg("-INT").arg(emulator.id().to_string()).status();
    assert!(interrupted.is_ok_and(|status| status.success()));
    let status = emulator.wait().unwrap();
    assert_eq!(status.code(), Some(130));
    assert!(!controller_runs_in(&dir.0), "a controller was left behind");
}
