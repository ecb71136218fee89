//! The glenhaven daemon: reads the arguments and the settings, and starts the runtime.
//!
//! Exit codes: 0 after `--check` of valid settings, 1 if the process can't run, 2 if the settings
//! are not valid.
#![forbid(unsafe_code)]

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler: one controller of a group that places jobs on rented
/// machines. Logs go to standard error; LOG_LEVEL (error, warn, info, debug, trace)
/// sets their level, and info is the default.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file of this controller (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the settings file and the operators' file that it names, then exit.
    #[arg(long)]
    check: bool,
}

/// Starts logging to standard error at the level that LOG_LEVEL names; any other value means info.
fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("warn") => tracing::Level::WARN,
        Ok("debug") => tracing::Level::DEBUG,
        Ok("trace") => tracing::Level::TRACE,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    start_log();
    let settings = match glenhaven::settings::Settings::load(&args.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("glenhaven: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.config.display());
        return ExitCode::SUCCESS;
    }
    match glenhaven::runtime::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("glenhaven: {error}");
            ExitCode::FAILURE
        }
    }
}
