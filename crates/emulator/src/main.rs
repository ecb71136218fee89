//! `glenhaven-emulator`: runs real controllers against emulated workers, users, cloud and state
//! service.
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

/// Runs real controllers with emulated workers, users, cloud and state service, all on loopback.
/// Logs go to standard error.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Runs one experiment and writes its report. Exits with 0 if all rules held, 1 if a rule was
    /// broken or a controller exited by itself, 2 if the experiment could not be run and 130 if it
    /// was interrupted.
    Scale {
        /// Experiment file (TOML).
        #[arg(value_name = "EXPERIMENT.toml")]
        experiment: PathBuf,
        /// Path of the glenhaven program.
        #[arg(long, value_name = "PATH")]
        controllers: PathBuf,
        /// Directory of the report; target/lab/NAME if not given.
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
    /// Runs plans of randomized faults, one for each seed. Exits with 0 if every plan held, 1 if
    /// one failed, 2 if a plan could not be run and 130 if it was interrupted.
    Soak(soak::SoakArgs),
}

/// Exit status if a rule was broken or a plan failed.
const RULES_BROKEN: u8 = 1;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    let result = match Args::parse().command {
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
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(RULES_BROKEN),
        Err(error) => {
            eprintln!("glenhaven-emulator: {error}");
            ExitCode::from(error.status())
        }
    }
}
