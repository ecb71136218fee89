//! Helpers shared by the tests of the program.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the path of the glenhaven program in this test's target directory. Builds the program if
/// it doesn't exist.
pub(crate) fn controllers() -> PathBuf {
    let emulator = Path::new(env!("CARGO_BIN_EXE_glenhaven-emulator"));
    let program = emulator.with_file_name("glenhaven");
    if !program.exists() {
        build_controllers(emulator);
    }
    program
}

/// Builds glenhaven in the profile of this test. `cargo test --workspace` builds it already.
fn build_controllers(emulator: &Path) {
    let mut cargo = Command::new(env!("CARGO"));
    cargo
        .current_dir(workspace_root())
        .args(["build", "--locked", "-p", "glenhaven"]);
    if emulator.parent().is_some_and(|dir| dir.ends_with("release")) {
        cargo.arg("--release");
    }
    assert!(cargo.status().is_ok_and(|status| status.success()));
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the second byte of an address range that other runs of these tests are unlikely to use.
pub(crate) fn network(test: u32) -> u8 {
    let number = (std::process::id() * 5 + test) % 100;
    100 + u8::try_from(number).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).to_string()
}

/// Returns the standard output and standard error of a program.
pub(crate) fn output_text(output: &Output) -> String {
    text(&output.stdout) + &text(&output.stderr)
}

/// Returns whether a controller runs with a settings file in this directory.
pub(crate) fn controller_runs_in(dir: &Path) -> bool {
    let marker = dir.to_string_lossy().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    processes
        .filter_map(|entry| std::fs::read(entry.path().join("cmdline")).ok())
        .any(|line| {
            let line = text(&line);
            line.contains("--config") && line.contains(&marker)
        })
}

/// Creates a directory for one test.
pub(crate) fn new_directory(program: &str, test: &str) -> PathBuf {
    let name = format!("glenhaven-{program}-{test}-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}
