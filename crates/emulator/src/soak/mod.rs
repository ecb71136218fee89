//! The `soak` subcommand: runs real controllers under randomized faults, one plan for each seed.
//!
//! This module owns the options, prepares the plan of each seed and runs several plans at once.
//! The same seed and options always give the same plan.

mod child;
mod draw;
mod inject;
mod outcome;
mod plan;
mod run;
pub(crate) mod stranded;
mod users;

use crate::errors::EmulatorError;
use clap::Args;
use draw::{draw, FixedSizes};
use outcome::Outcome;
use plan::Plan;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Failures of one plan that are printed; the rest are counted only.
const MAX_PRINTED_FAILURES: usize = 12;

/// Whether the process has received an interrupt signal.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Options of the `soak` subcommand.
#[derive(Args)]
pub(crate) struct SoakArgs {
    /// Range of seeds; the end is excluded.
    #[arg(long, value_name = "A..B", value_parser = parse_seeds, default_value = "1..2", conflicts_with = "plan")]
    seeds: Seeds,
    /// Plan file (TOML) to run instead of seeds.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Number of plans that run at the same time.
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    parallel: u8,
    /// How long jobs are submitted and faults injected, in seconds.
    #[arg(long, value_name = "S", default_value_t = 45.0)]
    duration: f64,
    /// Number of workers; drawn from the seed if not given.
    #[arg(long, value_name = "N")]
    workers: Option<usize>,
    /// Path of the glenhaven program.
    #[arg(long, value_name = "BINARY")]
    controllers: PathBuf,
    /// Directory for plans, outcomes and logs.
    #[arg(long, value_name = "DIR", default_value = "target/soak")]
    report: PathBuf,
    /// Second byte of the addresses, 127.N.x.y; plans run at the same time use 127.N+1.x.y and so on.
    #[arg(long, value_name = "N", default_value_t = 150)]
    network: u8,
    /// Prints the plans without running them.
    #[arg(long)]
    dry_run: bool,
    /// Keeps the logs and the history of plans without failures too.
    #[arg(long)]
    keep: bool,
}

/// A non-empty range of seeds.
#[derive(Clone, Debug)]
pub(crate) struct Seeds(std::ops::Range<u64>);

fn parse_seeds(text: &str) -> Result<Seeds, String> {
    let (from, to) = text.split_once("..").ok_or("not a range such as 1..50")?;
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        return Err("no seed".into());
    }
    Ok(Seeds(range))
}

/// Runs the requested plans and returns one outcome for each, sorted by seed.
///
/// A dry run prints the plans and returns no outcomes. The first error stops the remaining seeds.
pub(crate) fn run(args: &SoakArgs) -> Result<Vec<Outcome>, EmulatorError> {
    if args.dry_run {
        return print_plans(args);
    }
    let program = args.controllers.canonicalize().map_err(|_| EmulatorError::NoProgram {
        path: args.controllers.clone(),
    })?;
    let interrupt = || INTERRUPTED.store(true, Ordering::Relaxed);
    ctrlc::set_handler(interrupt).map_err(|e| EmulatorError::Other(e.to_string()))?;
    if let Some(file) = &args.plan {
        let plan = Plan::load(file)?;
        return Ok(vec![run_in_process(args, &plan, &program)?]);
    }
    let seeds = Mutex::new(args.seeds.0.clone());
    let outcomes = Mutex::new(vec![]);
    let failed = Mutex::new(None);
    std::thread::scope(|scope| {
        for slot in 0..args.parallel {
            let (seeds, outcomes, failed, program) = (&seeds, &outcomes, &failed, &program);
            scope.spawn(move || {
                while failed.lock().is_ok_and(|failed| failed.is_none()) {
                    let Some(seed) = seeds.lock().ok().and_then(|mut seeds| seeds.next()) else {
                        return;
                    };
                    match run_seed(args, seed, slot, program) {
                        Ok(outcome) => outcomes.lock().map(|mut all| all.push(outcome)).unwrap_or(()),
                        Err(error) => failed.lock().map(|mut failed| *failed = Some(error)).unwrap_or(()),
                    }
                }
            });
        }
    });
    match failed.into_inner().unwrap_or(None) {
        Some(error) => Err(error),
        None => {
            let mut outcomes = outcomes.into_inner().unwrap_or_default();
            outcomes.sort_by_key(|outcome: &Outcome| outcome.seed);
            Ok(outcomes)
        }
    }
}

/// Prints the plans that would be run, as TOML.
fn print_plans(args: &SoakArgs) -> Result<Vec<Outcome>, EmulatorError> {
    if let Some(file) = &args.plan {
        println!("{}", Plan::load(file)?.to_toml()?);
        return Ok(vec![]);
    }
    for seed in args.seeds.0.clone() {
        println!("{}", plan_for_seed(args, seed, 0)?.to_toml()?);
    }
    Ok(vec![])
}

/// Writes the plan of a seed and runs it in a child process.
fn run_seed(args: &SoakArgs, seed: u64, slot: u8, program: &Path) -> Result<Outcome, EmulatorError> {
    let plan = plan_for_seed(args, seed, slot)?;
    let dir = directory(args, &plan)?;
    run::write(&dir.join("plan.toml"), &plan.to_toml()?)?;
    child::run(args, program, &dir, &INTERRUPTED)
}

/// Creates the directory of a plan's files and returns its path.
fn directory(args: &SoakArgs, plan: &Plan) -> Result<PathBuf, EmulatorError> {
    let dir = args.report.join(&plan.experiment.name);
    match std::fs::create_dir_all(&dir) {
        Ok(()) => Ok(dir),
        Err(source) => Err(EmulatorError::Unwritable { path: dir, source }),
    }
}

/// Returns the plan of a seed.
///
/// `slot` numbers the plans that run at the same time; each slot has an address range of its own.
fn plan_for_seed(args: &SoakArgs, seed: u64, slot: u8) -> Result<Plan, EmulatorError> {
    let sizes = FixedSizes {
        duration_s: args.duration,
        workers: args.workers,
    };
    let plan = draw(seed, sizes, args.network.saturating_add(slot));
    plan.validate().map_err(|message| EmulatorError::InvalidFile {
        path: format!("seed {seed}").into(),
        message,
    })?;
    Ok(plan)
}

/// Runs a plan in this process and prints its outcome.
fn run_in_process(args: &SoakArgs, plan: &Plan, program: &Path) -> Result<Outcome, EmulatorError> {
    let dir = directory(args, plan)?;
    let outcome = run::run(plan, program, &dir, &INTERRUPTED)?;
    println!("{}", outcome.line());
    let failures = outcome.failures();
    for failure in failures.iter().take(MAX_PRINTED_FAILURES) {
        println!("  {failure}");
    }
    if failures.len() > MAX_PRINTED_FAILURES {
        println!(
            "  and {} more, in {}",
            failures.len() - MAX_PRINTED_FAILURES,
            dir.display()
        );
    }
    if outcome.holds() && !args.keep {
        std::fs::remove_dir_all(dir.join("controllers")).ok();
        std::fs::remove_file(dir.join("history.log")).ok();
    }
    Ok(outcome)
}
