//! Draws the plan of a seed. The same seed gives the same plan on every machine, so the order of the
//! random draws must not change.

use super::plan::{Fault, Plan, PlannedFault, Users};
use crate::experiment::{Controllers, Experiment, Load, Services, Teams, Workers};
use crate::faults::{LinkFault, Party, Route};
use fastrand::Rng;
use glenhaven::protocol::users::{Priority, Shape};

/// One seed in this many has hundreds of workers.
const LARGE_EVERY: u64 = 10;
/// One seed in this many runs without faults at the end for long enough to detect stranded jobs.
const LONG_CALM_EVERY: u64 = 10;
/// Time without faults at the end of a plan, in seconds.
const CALM_S: f64 = 20.0;
/// The same time for the plans in which stranded jobs are checked.
pub(super) const LONG_CALM_S: f64 = 110.0;
/// Cores and GPUs of each worker.
const CORES: f64 = 16.0;
const GPUS: f64 = 4.0;
/// Smallest limit of a team, in cores. A service of four replicas with two cores each fits into it
/// together with some other jobs.
const LEAST_LIMIT: f64 = 16.0;
/// Time before the first fault can begin, in seconds.
const SETTLED_S: f64 = 6.0;
/// Approximate mean time between the starts of consecutive faults, in seconds.
const FAULT_EVERY_S: f64 = 3.5;
/// Task starts per second that the load requires for every ten workers.
const STARTS_ON_TEN: f64 = 2.5;

/// Sizes given by the options instead of the seed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fixed {
    pub duration_s: f64,
    pub workers: Option<usize>,
}

/// Draws the plan of a seed.
pub(super) fn draw(seed: u64, fixed: Fixed, network: u8) -> Plan {
    let mut rng = Rng::with_seed(seed);
    let experiment = draw_experiment(seed, fixed, network, &mut rng);
    let faults = draw_faults(&experiment, &mut rng);
    Plan {
        calm_s: if seed % LONG_CALM_EVERY == 5 {
            LONG_CALM_S
        } else {
            CALM_S
        },
        users: Users {
            close_questions: rng.f64() * 0.5,
            cancelled_at_end: rng.f64(),
        },
        experiment,
        faults,
    }
}

/// Draws a number between `least` and `most`, rounded to two decimals to keep plan files readable.
fn range(rng: &mut Rng, least: f64, most: f64) -> f64 {
    ((least + (most - least) * rng.f64()) * 100.0).round() / 100.0
}

fn draw_experiment(seed: u64, fixed: Fixed, network: u8, rng: &mut Rng) -> Experiment {
    let drawn = if seed % LARGE_EVERY == 0 {
        rng.usize(200..=400)
    } else {
        rng.usize(20..=60)
    };
    let workers = fixed.workers.unwrap_or(drawn);
    let controllers = rng.usize(3..=5);
    let zones = ["a", "b", "c"][..rng.usize(1..=3)]
        .iter()
        .map(|z| z.to_string())
        .collect::<Vec<_>>();
    let lease_s = range(rng, 8.0, 14.0);
    let teams = rng.usize(2..=6);
    let cores = workers as f64 * CORES;
    Experiment {
        name: format!("seed-{seed}"),
        seed,
        duration_s: fixed.duration_s,
        network,
        audit_records: workers <= 100,
        controllers: Controllers {
            count: controllers,
            zones: zones.clone(),
            sockets: 2000,
            log_level: "debug".into(),
            idle_s: range(rng, 3.0, 60.0),
            forwarded: true,
        },
        services: Services {
            state_rps: 400.0 + 2.0 * workers as f64,
            state_write_rps: 150.0 + workers as f64,
            value_kb: range(rng, 8.0, 32.0).floor(),
            txn_ops: rng.usize(24..=64),
            cloud_rps: 10.0,
            list_lag_s: range(rng, 0.5, 3.0),
        },
        workers: Workers {
            count: workers,
            cpus: CORES,
            gpus: GPUS,
            memory_gb: 128.0,
            report_s: range(rng, 0.7, 1.5),
            lease_s,
            cancel_s: (lease_s * 1.6).round() + 4.0,
            boot_s: range(rng, 0.5, 4.0),
            ramp_s: 2.0,
        },
        // The load requires about a third of all cores, so most teams are at their limits.
        teams: Teams {
            count: teams,
            cpus: (cores * 0.08 / teams as f64).round(),
            cpus_max: (cores * range(rng, 0.1, 0.35) / teams as f64).round().max(LEAST_LIMIT),
            gpus: 0.0,
            gpus_max: (workers as f64 * GPUS * range(rng, 0.05, 0.2) / teams as f64)
                .round()
                .max(2.0),
        },
        load: draw_load(workers, &zones, rng),
        inject: vec![],
    }
}

fn draw_load(workers: usize, zones: &[String], rng: &mut Rng) -> Vec<Load> {
    let starts = workers as f64 / 10.0 * STARTS_ON_TEN;
    let kinds = rng.usize(3..=5);
    let mut loads: Vec<Load> = (0..kinds)
        .map(|n| draw_array(n, starts / kinds as f64, zones, rng))
        .collect();
    loads.push(Load {
        class: "serve".into(),
        priority: Priority::Production,
        shape: Shape::Service,
        tasks: rng.u32(1..=4),
        cpus: 2.0,
        cancelled: 1.0,
        every_s: range(rng, 2.0, 6.0),
        ..draw_array(kinds, 1.0, zones, rng)
    });
    loads
}

fn draw_array(number: usize, starts: f64, zones: &[String], rng: &mut Rng) -> Load {
    let tasks = *rng.choice(&[1u32, 1, 2, 3, 8, 16]).unwrap_or(&1);
    let placed = rng.u8(0..8);
    Load {
        class: format!("class-{number}"),
        priority: [Priority::Low, Priority::Normal, Priority::High, Priority::Production][rng.usize(0..4)],
        shape: Shape::Array,
        tasks,
        cpus: *rng.choice(&[1.0, 2.0, 4.0, 8.0]).unwrap_or(&1.0),
        run_s: range(rng, 0.3, 12.0),
        from_s: 3.0,
        until_s: None,
        every_s: (f64::from(tasks) / starts * 100.0).round().max(5.0) / 100.0,
        cancelled: range(rng, 0.05, 0.5),
        gpus: if rng.u8(0..4) == 0 { 1.0 } else { 0.0 },
        save_s: if rng.u8(0..3) == 0 { range(rng, 0.2, 3.0) } else { 0.0 },
        image_gb: Some(range(rng, 0.0, 2.0)),
        zone: (placed == 0).then(|| zones[rng.usize(0..zones.len())].clone()),
        one_zone: placed == 1,
        spread: placed == 2 && zones.len() > 1,
    }
}

fn draw_faults(experiment: &Experiment, rng: &mut Rng) -> Vec<PlannedFault> {
    let mut faults = vec![];
    let mut at_s = SETTLED_S;
    loop {
        at_s += range(rng, 0.2, 2.0 * FAULT_EVERY_S);
        if at_s >= experiment.duration_s {
            return faults;
        }
        let lease_s = experiment.workers.lease_s;
        let long = rng.u8(0..4) == 0;
        let most_s = if long { lease_s * 1.4 } else { lease_s * 0.5 };
        faults.push(draw_planned(experiment, at_s, most_s, rng));
        // Sometimes a second fault begins at the same time.
        if rng.u8(0..3) == 0 {
            faults.push(draw_planned(experiment, at_s, lease_s, rng));
        }
    }
}

/// Draws a fault that begins at `at_s` and lasts `most_s` at most.
fn draw_planned(experiment: &Experiment, at_s: f64, most_s: f64, rng: &mut Rng) -> PlannedFault {
    PlannedFault {
        at_s: (at_s * 100.0).round() / 100.0,
        for_s: range(rng, 0.05, most_s),
        fault: draw_plan_fault(experiment, rng),
    }
}

fn draw_plan_fault(experiment: &Experiment, rng: &mut Rng) -> Fault {
    let workers = experiment.workers.count;
    let some = |rng: &mut Rng| rng.usize(1..=(workers / 10).max(2));
    match rng.u8(0..16) {
        0 | 1 => Fault::Kill {
            who: draw_node(experiment, rng),
        },
        2 => Fault::KillLeaders {
            every_s: range(rng, 0.2, 3.5),
            down_s: range(rng, 0.05, 2.0),
        },
        3 | 4 => Fault::Pause {
            who: draw_node(experiment, rng),
        },
        5 => Fault::Outage,
        6 => Fault::Hang { count: some(rng) },
        7 => Fault::MachineDeaths {
            count: rng.usize(1..=2),
        },
        8 => Fault::Cancel {
            count: rng.usize(3..=20),
        },
        _ => draw_link(experiment, rng),
    }
}

/// Draws a controller: the leader in two of three cases.
fn draw_node(experiment: &Experiment, rng: &mut Rng) -> Party {
    match rng.u8(0..3) {
        0 => Party::Node(rng.usize(0..experiment.controllers.count)),
        _ => Party::Leader,
    }
}

fn draw_link(experiment: &Experiment, rng: &mut Rng) -> Fault {
    let node = draw_node(experiment, rng);
    let other = Party::Node(rng.usize(0..experiment.controllers.count));
    let there = match rng.u8(0..9) {
        0 | 1 => Route::between(node, Party::State),
        2 => Route::between(node, Party::Cloud),
        3 | 4 => Route::between(Party::Workers, node),
        5 | 6 => Route::between(Party::Direct, Party::Workers),
        7 => Route::between(Party::Users, node),
        _ => Route::between(node, other),
    };
    let fault = draw_fault(experiment.workers.lease_s, rng);
    // Only these faults apply to responses; refusing, losing the response, late execution and copies
    // apply to requests.
    let backwards = rng.u8(0..4) == 0
        && matches!(
            fault,
            LinkFault::Cut | LinkFault::Slow { .. } | LinkFault::Resets { .. }
        );
    Fault::Link {
        route: if backwards { there.back() } else { there },
        hosts: range(rng, 0.1, 1.0),
        fault,
    }
}

fn draw_fault(lease_s: f64, rng: &mut Rng) -> LinkFault {
    let share = range(rng, 0.1, 0.8);
    match rng.u8(0..9) {
        0 | 1 => LinkFault::Cut,
        2 => LinkFault::Slow {
            delay_ms: rng.u64(20..1500),
        },
        3 => LinkFault::Refuses { share },
        4 => LinkFault::Resets { share },
        5 => LinkFault::LosesAnswers { share },
        6 | 7 => LinkFault::Late {
            share,
            least_s: 1.0,
            most_s: 10.0,
        },
        _ => LinkFault::Copies {
            share,
            least_s: 1.0,
            most_s: lease_s * 1.5,
        },
    }
}
