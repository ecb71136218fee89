//! Runs the `soak` subcommand: the plans of seeds, a short soak of a fixed set of seeds, and the
//! errors and interrupts that stop a soak.

mod common;

use common::{controller_runs_in, controllers, network, new_directory, output_text};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Seeds that are run in every test run. They include seeds in which attempts were started again
/// after workers had forgotten them.
const SEEDS: &str = "1..5";
const PARALLEL: &str = "4";
const DURATION_S: &str = "45";

/// A directory for one test, removed when dropped.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Dir {
        Dir(new_directory("soak", name))
    }

    fn soak(&self, network: u8, program: &Path) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenhaven-emulator"));
        command.arg("soak").arg("--controllers").arg(program);
        command.arg("--report").arg(&self.0);
        command.args(["--network", &network.to_string()]);
        command
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Returns the plans of a range of seeds, as text.
fn plans(seeds: &str) -> String {
    let dir = Dir::new("plans");
    let mut soak = dir.soak(150, Path::new("none"));
    let output = soak.args(["--dry-run", "--seeds", seeds]).output().unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn a_seed_makes_its_plan_and_no_other() {
    let all = plans("1..200");
    assert_eq!(all, plans("1..200"));
    assert_ne!(plans("7..8"), plans("8..9"));
    for kind in [
        "kill",
        "kill_leaders",
        "pause",
        "outage",
        "hang",
        "machine_deaths",
        "cancel",
        "link",
    ] {
        assert!(all.contains(&format!("kind = \"{kind}\"")), "no {kind}");
    }
    for fault in ["cut", "slow", "refuses", "resets", "loses_answers", "late", "copies"] {
        assert!(all.contains(&format!("fault = \"{fault}\"")), "no {fault}");
    }
}

#[test]
fn a_plan_is_read_as_it_was_written() {
    let dir = Dir::new("written");
    let plan = plans("3..4");
    let file = dir.0.join("plan.toml");
    std::fs::write(&file, &plan).unwrap();
    let mut soak = dir.soak(150, Path::new("none"));
    let output = soak.arg("--dry-run").arg("--plan").arg(&file).output().unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), plan);
}

#[test]
fn a_short_soak_holds() {
    let dir = Dir::new("short");
    let mut soak = dir.soak(network(10), &controllers());
    soak.args(["--seeds", SEEDS, "--parallel", PARALLEL, "--duration", DURATION_S]);
    let output = soak.output().unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("4 of 4 plans held"),
        "{}",
        output_text(&output)
    );
    assert!(!controller_runs_in(&dir.0), "a controller was left behind");
}

#[test]
fn invalid_plans_and_options_are_reported() {
    let dir = Dir::new("refused");
    let refused = |command: &mut Command, why: &str| {
        let output = command.output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
        assert!(output_text(&output).contains(why), "{}", output_text(&output));
    };
    let network = network(20);
    refused(&mut dir.soak(network, Path::new("none/such")), "no such program");
    let file = dir.0.join("plan.toml");
    let plan = plans("3..4").replace("network = 150", &format!("network = {network}"));
    for (wrong, why) in [
        (plan.replace("calm_s", "calm"), "calm"),
        (plan.replace("count = ", "count = -"), "-"),
        (plan.replace("kind = \"pause\"", "kind = \"pose\""), "pose"),
    ] {
        std::fs::write(&file, wrong).unwrap();
        refused(dir.soak(network, &controllers()).arg("--plan").arg(&file), why);
    }
    std::fs::write(&file, plan).unwrap();
    let _taken = TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), 8080)).unwrap();
    refused(
        dir.soak(network, &controllers()).arg("--plan").arg(&file),
        "the port is in use",
    );
    refused(dir.soak(network, &controllers()).args(["--seeds", "5..5"]), "no seed");
}

#[test]
fn an_interrupted_soak_leaves_no_process() {
    let dir = Dir::new("interrupted");
    let mut command = dir.soak(network(30), &controllers());
    command.args(["--seeds", "1..3", "--parallel", "2"]);
    let mut soak = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let began = Instant::now();
    while !controller_runs_in(&dir.0) {
        assert!(began.elapsed() < Duration::from_secs(15), "no controller was started");
        std::thread::sleep(Duration::from_millis(50));
    }
    let interrupted = Command::new("kill").arg("-INT").arg(soak.id().to_string()).status();
    assert!(interrupted.is_ok_and(|status| status.success()));
    assert_eq!(soak.wait().unwrap().code(), Some(130));
    assert!(!controller_runs_in(&dir.0), "a controller was left behind");
}
