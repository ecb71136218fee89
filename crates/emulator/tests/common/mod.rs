//! What tests of the program share.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The glenhaven program beside this test's own, built with it in the workspace.
pub(crate) fn controllers() -> PathBuf {
    let cluster = Path::new(env!("CARGO_BIN_EXE_glenhaven-emulator"));
    let program = cluster.with_file_name("glenhaven");
    if !program.exists() {
        build_controllers(cluster);
    }
    program
}

/// Builds glenhaven in the profile of this test; `cargo test --workspace` has done it.
fn build_controllers(cluster: &Path) {
    let mut cargo = Command::new(env!("CARGO"));
    cargo.current_dir(root()).args(["build", "--locked", "-p", "glenhaven"]);
    if cluster.parent().is_some_and(|dir| dir.ends_with("release")) {
        cargo.arg("--release");
    }
    assert!(cargo.status().is_ok_and(|status| status.success()));
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// An address range that other runs of these tests are not likely to use.
pub(crate) fn network(test: u32) -> u8 {
    let number = (std::process::id() * 5 + test) % 100;
    100 + u8::try_from(number).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).to_string()
}

/// All that a program said.
pub(crate) fn said(output: &Output) -> String {
    text(&output.stdout) + &text(&output.stderr)
}

/// Whether a process runs with this file among its arguments.
pub(crate) fn runs_with(dir: &Path) -> bool {
    let marker = dir.to_string_lossy().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    processes
        .filter_map(|entry| std::fs::read(entry.path().join("cmdline")).ok())
        .any(|line| {
            let line = text(&line);
            line.contains("--config") && line.contains(&marker)
        })
}

/// A new directory for one test.
pub(crate) fn new_directory(program: &str, test: &str) -> PathBuf {
    let name = format!("glenhaven-{program}-{test}-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}
