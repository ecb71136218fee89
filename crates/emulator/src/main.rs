//! `glenhaven-emulator`: experiments with real controllers among emulated hosts.
#![forbid(unsafe_code)]

mod balancer;
mod cloud_service;
mod cluster;
mod controllers;
mod errors;
mod experiment;
mod faults;
mod fleet;
mod forward;
mod history;
mod load;
mod machines;
mod plots;
mod preflight;
mod report;
mod samples;
mod scale;
mod scheduled_failures;
mod server;
mod soak;
mod state_service;
mod users;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Experiments with real controllers among emulated workers, users, cloud and state
/// service, all on loopback. Logs go to standard error.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Runs one experiment and writes its report. Ends with 0 if every rule held, 1 if one
    /// was broken or a controller ended by itself, 2 if the experiment could not be run
    /// and 130 if it was interrupted.
    Scale {
        /// What is run (TOML).
        #[arg(value_name = "EXPERIMENT.toml")]
        experiment: PathBuf,
        /// The glenhaven program.
        #[arg(long, value_name = "PATH")]
        controllers: PathBuf,
        /// Where the report is written; target/lab/NAME if not given.
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
    /// Plays plans of randomized troubles, one for each seed. Ends with 0 if everything held, 1 if
    /// something was broken, 2 if a plan could not be played and 130 if it was interrupted.
    Soak(soak::SoakArgs),
}

/// The exit status of an experiment in which a rule was broken.
const RULES_BROKEN: u8 = 1;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    let ended = match Args::parse().command {
        Subcommands::Scale {
            experiment,
            controllers,
            report,
        } => scale::run(&experiment, &controllers, report).map(|report| {
            println!("{}", report.summary());
            report.holds()
        }),
        Subcommands::Soak(args) => soak::run(&args).map(|outcomes| {
            let failed = outcomes.iter().filter(|outcome| !outcome.holds()).count();
            if outcomes.len() > 1 {
                println!("{} of {} plans held", outcomes.len() - failed, outcomes.len());
            }
            failed == 0
        }),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(RULES_BROKEN),
        Err(error) => {
            eprintln!("glenhaven-emulator: {error}");
            ExitCode::from(error.status())
        }
    }
}
