//! Soaks: randomized troubles around real controllers, a plan for each seed.

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
use draw::{draw, Fixed};
use outcome::Outcome;
use plan::Plan;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// What was broken in one plan is printed up to so many lines.
const MOST_COMPLAINTS: usize = 12;

/// Set by an interrupt.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// What is played.
#[derive(Args)]
pub(crate) struct SoakArgs {
    /// Seeds, from the first up to and without the last.
    #[arg(long, value_name = "A..B", value_parser = seeds, default_value = "1..2", conflicts_with = "plan")]
    seeds: Seeds,
    /// A plan (TOML) that is played instead of seeds.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Plans that are played at once.
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    parallel: u8,
    /// How long users and troubles go on, in seconds.
    #[arg(long, value_name = "S", default_value_t = 45.0)]
    duration: f64,
    /// Workers; drawn by the seed if not given.
    #[arg(long, value_name = "N")]
    workers: Option<usize>,
    /// The glenhaven program.
    #[arg(long, value_name = "BINARY")]
    controllers: PathBuf,
    /// Where plans, outcomes and logs go.
    #[arg(long, value_name = "DIR", default_value = "target/soak")]
    report: PathBuf,
    /// Addresses are 127.N.x.y, and 127.N+1.x.y and so on for plans that are played at once.
    #[arg(long, value_name = "N", default_value_t = 150)]
    network: u8,
    /// The plans are printed, and nothing is played.
    #[arg(long)]
    dry_run: bool,
    /// Logs of plans that hold are kept too.
    #[arg(long)]
    keep: bool,
}

/// A range of seeds.
#[derive(Clone, Debug)]
pub(crate) struct Seeds(std::ops::Range<u64>);

fn seeds(text: &str) -> Result<Seeds, String> {
    let (from, to) = text.split_once("..").ok_or("not like 1..50")?;
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        return Err("no seed".into());
    }
    Ok(Seeds(range))
}

/// Plays all that was asked for: the outcomes, one for each plan.
pub(crate) fn run(args: &SoakArgs) -> Result<Vec<Outcome>, EmulatorError> {
    if args.dry_run {
        return print_plans(args);
    }
    let program = args.controllers.canonicalize().map_err(|_| EmulatorError::NoProgram {
        path: args.controllers.clone(),
    })?;
    let interrupt = || INTERRUPTED.store(true, Ordering::Relaxed);
    ctrlc::set_handler(interrupt).map_err(|e| EmulatorError::Machine(e.to_string()))?;
    if let Some(file) = &args.plan {
        let plan = Plan::load(file)?;
        return Ok(vec![play(args, &plan, &program)?]);
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
                    match play_seed(args, seed, slot, program) {
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

/// Prints what would be played.
fn print_plans(args: &SoakArgs) -> Result<Vec<Outcome>, EmulatorError> {
    if let Some(file) = &args.plan {
        println!("{}", Plan::load(file)?.text()?);
        return Ok(vec![]);
    }
    for seed in args.seeds.0.clone() {
        println!("{}", plan_of(args, seed, 0)?.text()?);
    }
    Ok(vec![])
}

fn play_seed(args: &SoakArgs, seed: u64, slot: u8, program: &Path) -> Result<Outcome, EmulatorError> {
    let plan = plan_of(args, seed, slot)?;
    let dir = directory(args, &plan)?;
    run::write(&dir.join("plan.toml"), &plan.text()?)?;
    child::play(args, program, &dir, &INTERRUPTED)
}

/// The directory of a plan's files.
fn directory(args: &SoakArgs, plan: &Plan) -> Result<PathBuf, EmulatorError> {
    let dir = args.report.join(&plan.experiment.name);
    match std::fs::create_dir_all(&dir) {
        Ok(()) => Ok(dir),
        Err(source) => Err(EmulatorError::Unwritable { path: dir, source }),
    }
}

/// The plan of a seed, with the addresses of one of the plans that are played at once.
fn plan_of(args: &SoakArgs, seed: u64, slot: u8) -> Result<Plan, EmulatorError> {
    let fixed = Fixed {
        duration_s: args.duration,
        workers: args.workers,
    };
    let plan = draw(seed, fixed, args.network.saturating_add(slot));
    plan.check().map_err(|message| EmulatorError::Experiment {
        path: format!("seed {seed}").into(),
        message,
    })?;
    Ok(plan)
}

/// Plays a plan in this process.
fn play(args: &SoakArgs, plan: &Plan, program: &Path) -> Result<Outcome, EmulatorError> {
    let dir = directory(args, plan)?;
    let outcome = run::run(plan, program, &dir, &INTERRUPTED)?;
    println!("{}", outcome.line());
    let complaints = outcome.complaints();
    for complaint in complaints.iter().take(MOST_COMPLAINTS) {
        println!("  {complaint}");
    }
    if complaints.len() > MOST_COMPLAINTS {
        println!(
            "  and {} more, in {}",
            complaints.len() - MOST_COMPLAINTS,
            dir.display()
        );
    }
    if outcome.holds() && !args.keep {
        std::fs::remove_dir_all(dir.join("controllers")).ok();
        std::fs::remove_file(dir.join("history.log")).ok();
    }
    Ok(outcome)
}
