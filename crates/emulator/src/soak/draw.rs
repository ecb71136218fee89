//! Draws the plan of a seed. The same seed gives the same plan on every host. The plan depends
//! on the order of the random draws.

use super::plan::{Fault, Plan, PlannedFault, Users};
use crate::experiment::{Controllers, Experiment, Load, Services, Teams, Workers};
use crate::faults::{LinkFault, Party, Route};
use fastrand::Rng;
use glenhaven::protocol::users::{Priority, Shape};

/// One seed in this many has hundreds of workers.
const LARGE_SEED_INTERVAL: u64 = 10;
/// One seed in this many runs without faults at the end for long enough to detect stranded jobs.
const LONG_CALM_SEED_INTERVAL: u64 = 10;
/// One seed in this many has copies of direct commands throughout.
const COPIED_COMMANDS_SEED_INTERVAL: u64 = 3;
/// Share of the direct commands that are copied in such a seed, and the shortest delay of a copy, in
/// seconds. The longest delay is well over a lease.
const COPIED_COMMANDS_SHARE: f64 = 0.5;
const SHORTEST_COPY_DELAY_S: f64 = 0.1;
/// Time without faults at the end of a plan, in seconds.
const CALM_S: f64 = 20.0;
/// The same time for the plans in which stranded jobs are checked.
pub(super) const LONG_CALM_S: f64 = 110.0;
/// Cores and GPUs of each worker.
const CORES_PER_WORKER: f64 = 16.0;
const GPUS_PER_WORKER: f64 = 4.0;
/// Smallest limit of a team, in cores. A service of four replicas with two cores each fits into it
/// together with some other jobs.
const MIN_LIMIT: f64 = 16.0;
/// Time before the first fault can begin, in seconds.
const FIRST_FAULT_AFTER_S: f64 = 6.0;
/// Approximate mean time between the starts of consecutive faults, in seconds.
const MEAN_FAULT_INTERVAL_S: f64 = 3.5;
/// Task starts per second that the load requires for every ten workers.
const STARTS_PER_TEN_WORKERS: f64 = 2.5;

/// Sizes given by the options instead of the seed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FixedSizes {
    pub duration_s: f64,
    pub workers: Option<usize>,
}

/// Draws the plan of a seed.
pub(super) fn draw(seed: u64, sizes: FixedSizes, network: u8) -> Plan {
    let mut rng = Rng::with_seed(seed);
    let experiment = draw_experiment(seed, sizes, network, &mut rng);
    let mut faults = draw_faults(&experiment, &mut rng);
    if seed % COPIED_COMMANDS_SEED_INTERVAL == 2 {
        faults.push(copied_commands(&experiment));
    }
    Plan {
        calm_s: if seed % LONG_CALM_SEED_INTERVAL == 5 {
            LONG_CALM_S
        } else {
            CALM_S
        },
        users: Users {
            close_questions: rng.f64() * 0.5,
            cancelled_at_end: rng.f64(),
            resubmitted_after_poll: rng.f64(),
        },
        experiment,
        faults,
    }
}

/// Draws a number between `least` and `most`, rounded to two decimals to keep plan files readable.
fn uniform(rng: &mut Rng, least: f64, most: f64) -> f64 {
    ((least + (most - least) * rng.f64()) * 100.0).round() / 100.0
}

fn draw_experiment(seed: u64, sizes: FixedSizes, network: u8, rng: &mut Rng) -> Experiment {
    let drawn_count = if seed % LARGE_SEED_INTERVAL == 0 {
        rng.usize(200..=400)
    } else {
        rng.usize(20..=60)
    };
    let workers = sizes.workers.unwrap_or(drawn_count);
    let controllers = rng.usize(3..=5);
    let zones = ["a", "b", "c"][..rng.usize(1..=3)]
        .iter()
        .map(|z| z.to_string())
        .collect::<Vec<_>>();
    let lease_s = uniform(rng, 8.0, 14.0);
    let teams = rng.usize(2..=6);
    let cores = workers as f64 * CORES_PER_WORKER;
    Experiment {
        name: format!("seed-{seed}"),
        seed,
        duration_s: sizes.duration_s,
        network,
        audit_records: workers <= 100,
        controllers: Controllers {
            count: controllers,
            zones: zones.clone(),
            sockets: 2000,
            log_level: "debug".into(),
            idle_s: uniform(rng, 3.0, 60.0),
            forwarded: true,
        },
        services: Services {
            state_rps: 400.0 + 2.0 * workers as f64,
            state_write_rps: 150.0 + workers as f64,
            value_kb: uniform(rng, 8.0, 32.0).floor(),
            txn_ops: rng.usize(24..=64),
            cloud_rps: 10.0,
            list_lag_s: uniform(rng, 0.5, 3.0),
        },
        workers: Workers {
            count: workers,
            cpus: CORES_PER_WORKER,
            gpus: GPUS_PER_WORKER,
            memory_gb: 128.0,
            report_s: uniform(rng, 0.7, 1.5),
            lease_s,
            cancel_s: (lease_s * 1.6).round() + 4.0,
            boot_s: uniform(rng, 0.5, 4.0),
            ramp_s: 2.0,
        },
        // The load requires about a third of all cores, so most teams are at their limits.
        teams: Teams {
            count: teams,
            cpus: (cores * 0.08 / teams as f64).round(),
            cpus_max: (cores * uniform(rng, 0.1, 0.35) / teams as f64).round().max(MIN_LIMIT),
            gpus: 0.0,
            gpus_max: (workers as f64 * GPUS_PER_WORKER * uniform(rng, 0.05, 0.2) / teams as f64)
                .round()
                .max(2.0),
        },
        load: draw_load(workers, &zones, rng),
        inject: vec![],
    }
}

fn draw_load(workers: usize, zones: &[String], rng: &mut Rng) -> Vec<Load> {
    let starts = workers as f64 / 10.0 * STARTS_PER_TEN_WORKERS;
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
        every_s: uniform(rng, 2.0, 6.0),
        ..draw_array(kinds, 1.0, zones, rng)
    });
    loads
}

fn draw_array(number: usize, starts: f64, zones: &[String], rng: &mut Rng) -> Load {
    let tasks = *rng.choice(&[1u32, 1, 2, 3, 8, 16]).unwrap_or(&1);
    let placement = rng.u8(0..8);
    Load {
        class: format!("class-{number}"),
        priority: [Priority::Low, Priority::Normal, Priority::High, Priority::Production][rng.usize(0..4)],
        shape: Shape::Array,
        tasks,
        cpus: *rng.choice(&[1.0, 2.0, 4.0, 8.0]).unwrap_or(&1.0),
        run_s: uniform(rng, 0.3, 12.0),
        from_s: 3.0,
        until_s: None,
        every_s: (f64::from(tasks) / starts * 100.0).round().max(5.0) / 100.0,
        cancelled: uniform(rng, 0.05, 0.5),
        gpus: if rng.u8(0..4) == 0 { 1.0 } else { 0.0 },
        save_s: if rng.u8(0..3) == 0 { uniform(rng, 0.2, 3.0) } else { 0.0 },
        image_gb: Some(uniform(rng, 0.0, 2.0)),
        zone: (placement == 0).then(|| zones[rng.usize(0..zones.len())].clone()),
        one_zone: placement == 1,
        spread: placement == 2 && zones.len() > 1,
    }
}

fn draw_faults(experiment: &Experiment, rng: &mut Rng) -> Vec<PlannedFault> {
    let mut faults = vec![];
    let mut at_s = FIRST_FAULT_AFTER_S;
    loop {
        at_s += uniform(rng, 0.2, 2.0 * MEAN_FAULT_INTERVAL_S);
        if at_s >= experiment.duration_s {
            return faults;
        }
        let lease_s = experiment.workers.lease_s;
        let is_long = rng.u8(0..4) == 0;
        let most_s = if is_long { lease_s * 1.4 } else { lease_s * 0.5 };
        faults.push(draw_planned_fault(experiment, at_s, most_s, rng));
        // Sometimes a second fault begins at the same time.
        if rng.u8(0..3) == 0 {
            faults.push(draw_planned_fault(experiment, at_s, lease_s, rng));
        }
    }
}

/// Returns the fault that copies direct commands to all machines throughout the experiment.
fn copied_commands(experiment: &Experiment) -> PlannedFault {
    PlannedFault {
        at_s: FIRST_FAULT_AFTER_S,
        for_s: (experiment.duration_s - FIRST_FAULT_AFTER_S).max(1.0),
        fault: Fault::Link {
            route: Route::between(Party::Direct, Party::Workers),
            hosts: 1.0,
            fault: LinkFault::Copies {
                share: COPIED_COMMANDS_SHARE,
                least_s: SHORTEST_COPY_DELAY_S,
                most_s: experiment.workers.lease_s * 1.5,
            },
        },
    }
}

/// Draws a fault that begins at `at_s` and lasts `most_s` at most.
fn draw_planned_fault(experiment: &Experiment, at_s: f64, most_s: f64, rng: &mut Rng) -> PlannedFault {
    PlannedFault {
        at_s: (at_s * 100.0).round() / 100.0,
        for_s: uniform(rng, 0.05, most_s),
        fault: draw_fault(experiment, rng),
    }
}

fn draw_fault(experiment: &Experiment, rng: &mut Rng) -> Fault {
    let workers = experiment.workers.count;
    let up_to_a_tenth = |rng: &mut Rng| rng.usize(1..=(workers / 10).max(2));
    match rng.u8(0..16) {
        0 | 1 => Fault::Kill {
            who: draw_node(experiment, rng),
        },
        2 => Fault::KillLeaders {
            every_s: uniform(rng, 0.2, 3.5),
            down_s: uniform(rng, 0.05, 2.0),
        },
        3 | 4 => Fault::Pause {
            who: draw_node(experiment, rng),
        },
        5 => Fault::Outage,
        6 => Fault::Hang {
            count: up_to_a_tenth(rng),
        },
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
    let route = match rng.u8(0..9) {
        0 | 1 => Route::between(node, Party::State),
        2 => Route::between(node, Party::Cloud),
        3 | 4 => Route::between(Party::Workers, node),
        5 | 6 => Route::between(Party::Direct, Party::Workers),
        7 => Route::between(Party::Users, node),
        _ => Route::between(node, other),
    };
    let fault = draw_link_fault(experiment.workers.lease_s, rng);
    // Only these faults apply to responses. The other ones concern requests: they are refused,
    // executed late or copied, or their response is lost.
    let reversed = rng.u8(0..4) == 0
        && matches!(
            fault,
            LinkFault::Cut | LinkFault::Slow { .. } | LinkFault::Resets { .. }
        );
    Fault::Link {
        route: if reversed { route.back() } else { route },
        hosts: uniform(rng, 0.1, 1.0),
        fault,
    }
}

fn draw_link_fault(lease_s: f64, rng: &mut Rng) -> LinkFault {
    let share = uniform(rng, 0.1, 0.8);
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
