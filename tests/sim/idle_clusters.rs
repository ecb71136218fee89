//! Random small jobs on a cluster that is otherwise idle, with one machine type. Each seed draws a
//! few jobs, far apart, and faults of the kinds that leave such jobs without a machine: spot machines
//! taken back, failed boots, machines that are faulty for a while or for good, faulty replacements, jobs
//! that fail on every machine, and a cut between the execution of a transaction and its answer. Every
//! rule is checked, and that each job that is not cancelled and has no mistake runs in the end.
//!
//! `IDLE_CLUSTERS=n` simulates n seeds instead of the default number and prints each result, and
//! `IDLE_CLUSTERS_FROM=seed` sets the first seed. A seed that breaks a rule is printed as a scenario.

use super::script::Script;
use super::World;
use glenhaven::protocol::users::Shape;
use glenhaven_fakes::user::job_of;
use std::fmt::Write;

/// Seeds simulated by default.
const DEFAULT_SEEDS: u64 = 60;
/// Time of the last submission and the last fault, in seconds.
const LAST_EVENT_S: u64 = 200;
/// End of the simulation, in seconds.
const END_S: u64 = 420;
/// Jobs of a scenario.
const JOBS: u32 = 7;

/// Templates of faults. Several lines form one fault; `later=` delays a line by this many seconds.
const KINDS: [&str; 10] = [
    "kill 1",
    "kill 2",
    "spot-notice 5",
    "boot-factor 0 for 15",
    "cloud-out for 15",
    "crash leader for 0.3",
    "lose-write-replies 1 key=open/ for 0.4\nlink-cut state leader for 0.4 later=0.25",
    "lose-write-replies 1 key=open/ for 0.4\nlose-read-replies 1 key=open/ for 0.7 later=0.4\n\
     link-cut state leader for 0.4 later=0.95",
    "faulty 1 for 20",
    "faulty 2 for 45",
];

/// Templates of faults of machines that stay faulty, and of replacements that are faulty too.
const LASTING_FAULT_KINDS: [&str; 6] = [
    "",
    "faulty 1",
    "faulty 2",
    "faulty 1 every=0.4 times=50",
    "faulty-rentals 2\nkill 1 later=0.5",
    "faulty-rentals 3\nkill 2 later=0.5",
];
/// Jobs that were submitted with a mistake.
const MISTAKEN_JOBS: [&str; 3] = [
    "",
    "submit run-000300 pieces=2 cores=0.5 run=5 always-fails",
    "submit run-000300 service cores=1 copies=2 always-fails",
];

/// Returns one of the values.
fn one_of<T: Copy>(rng: &mut fastrand::Rng, values: &[T]) -> T {
    values[rng.usize(0..values.len())]
}

/// Returns the scenario of this seed.
fn scenario(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut text = format!("# Idle cluster {seed}.\nseed {seed}\nuntil {END_S}\n");
    let (cpus, boot) = (one_of(&mut rng, &[4, 16]), one_of(&mut rng, &[1, 20]));
    writeln!(text, "type m cpus={cpus} mem={} boot={boot}", cpus * 4).unwrap();
    let limit = one_of(&mut rng, &["", "team blue max=3\n", "team blue cpus=2 max=8\n"]);
    text.push_str(limit);
    // Services would use up a limit for good.
    let shapes = if limit.is_empty() {
        &["", "", "service"][..]
    } else {
        &[""]
    };
    text.push_str(one_of(&mut rng, &["", "", "spot-capacity 0\n"]));
    for n in 0..JOBS {
        let at = rng.u64(1..LAST_EVENT_S);
        writeln!(text, "at {at} submit run-0001{n:02} {}", job(&mut rng, shapes)).unwrap();
        if rng.u32(0..3) == 0 {
            writeln!(text, "at {:.2} abort run-0001{n:02}", at as f64 + rng.f64() * 30.0).unwrap();
        }
    }
    for _ in 0..rng.u32(1..4) {
        add_fault(&mut text, &mut rng);
    }
    add_lasting_fault(&mut text, &mut rng);
    text
}

/// Returns the description of a job of one of these shapes.
fn job(rng: &mut fastrand::Rng, shapes: &[&str]) -> String {
    let shape = one_of(rng, shapes);
    let spot = one_of(rng, &["", "spot", "spot"]);
    let zone = one_of(rng, &["", "", "zone=a", "zone=b"]);
    let cores = one_of(rng, &[0.1, 0.25, 0.5, 1.0, 1.2, 2.0]);
    let (pieces, run) = (rng.u32(1..3), rng.u32(2..40));
    format!("{shape} {spot} {zone} pieces={pieces} cores={cores} run={run}")
}

/// Adds a fault to the scenario, and a job that is cancelled while it lasts.
fn add_fault(text: &mut String, rng: &mut fastrand::Rng) {
    let at = 20.0 + rng.f64() * (LAST_EVENT_S - 20) as f64;
    for line in one_of(rng, &KINDS).lines() {
        let (line, later) = line.split_once(" later=").unwrap_or((line, "0"));
        writeln!(text, "at {:.2} {line}", at + later.parse::<f64>().unwrap()).unwrap();
    }
    let number = 200 + text.lines().count();
    writeln!(text, "at {at:.2} submit run-000{number} service").unwrap();
    writeln!(text, "at {:.2} abort run-000{number}", at + 0.3).unwrap();
}

/// Adds machines that stay faulty, and a job that fails on every machine.
fn add_lasting_fault(text: &mut String, rng: &mut fastrand::Rng) {
    let at = rng.f64() * LAST_EVENT_S as f64;
    for line in one_of(rng, &LASTING_FAULT_KINDS).lines() {
        let (line, later) = line.split_once(" later=").unwrap_or((line, "0"));
        writeln!(text, "at {:.2} {line}", at + later.parse::<f64>().unwrap()).unwrap();
    }
    let mistaken = one_of(rng, &MISTAKEN_JOBS);
    if !mistaken.is_empty() {
        writeln!(text, "at {} {mistaken}", rng.u64(1..LAST_EVENT_S)).unwrap();
    }
}

/// Returns the jobs that do not run at the end of a scenario although they were accepted and not
/// cancelled.
fn unfinished_jobs(world: &World) -> Vec<String> {
    let replicas = |job: &str| {
        let up = world.workers.values().filter(|worker| worker.up);
        up.flat_map(|worker| worker.running_tasks())
            .filter(|task| job_of(task) == job)
            .count()
    };
    let runs = |job: &str, tasks: u32| replicas(job) == tasks as usize;
    let open = world
        .users
        .iter()
        .filter(|(_, user)| user.accepted.is_some() && !user.wants_abort && !user.always_fails);
    let unfinished = open.filter(|(id, user)| match user.spec.shape {
        Shape::Service => !runs(id, user.spec.tasks),
        Shape::Array => user.done.is_none(),
    });
    unfinished
        .map(|(id, _)| format!("{id} does not run at the end"))
        .collect()
}

/// Simulates a scenario and returns what is wrong.
fn simulate(text: &str) -> Vec<String> {
    let mut world = World::new(Script::parse(text).unwrap());
    world.run_script();
    let mut wrong = crate::check(&world);
    wrong.extend(unfinished_jobs(&world));
    wrong
}

/// Returns the number in an environment variable.
fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Small jobs on an idle cluster were left without a machine, and starts were sent for jobs that were cancelled meanwhile.
#[test]
fn small_jobs_on_an_idle_cluster_run() {
    let count = environment_number("IDLE_CLUSTERS");
    let from = environment_number("IDLE_CLUSTERS_FROM").unwrap_or(1);
    let mut failures = vec![];
    for seed in from..from + count.unwrap_or(DEFAULT_SEEDS) {
        let text = scenario(seed);
        let wrong = simulate(&text);
        if count.is_some() {
            println!("{seed}: {}", if wrong.is_empty() { "held" } else { "BROKEN" });
        }
        if !wrong.is_empty() {
            failures.push(format!("{}\n{text}", wrong.join("; ")));
        }
    }
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}
