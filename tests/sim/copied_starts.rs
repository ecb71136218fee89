//! Copies of start commands that were executed and answered before, and that reach the same machine
//! again after the task was preempted, moved, cancelled or completed, or failed.

use super::script::Script;
use super::World;

/// The cluster, and a service that keeps machines rented.
const CLUSTER: &str = "until 170\n\
    type m cpus=4\n\
    at 1 submit run-000001 service pieces=6\n\
    at 20 copy-commands 0.7 for 70\n";

/// What happens to the controllers, machines and commands while copies arrive.
const VARIANTS: [&str; 5] = [
    // The leader pushes through the controller to which a machine reports, or directly.
    "nodes a b a\ncapacity 3\n",
    "nodes a\ncapacity 6\n",
    "nodes a b a\ncapacity 3\nat 36 crash leader for 0.2 every=13 times=4\n",
    "nodes a b a\ncapacity 3\nat 36 cut 3 for 0.8 every=7 times=7\n",
    "nodes a b a\ncapacity 3\nat 36 hang 3 for 0.8 every=7 times=7\n",
];

/// Low-priority tasks that services with short lives displace again and again.
const PREEMPTED: &str = "at 4 submit run-000100 pieces=40 run=40 low spot\n\
    at 30 submit run-000200 service pieces=16 cores=2 spot every=11 times=6\n\
    at 37 abort run-000200 every=11 times=6\n";
/// Long tasks that their users cancel after they have begun.
const CANCELLED: &str = "at 20 submit run-000100 pieces=2 run=400 every=2 times=30\n\
    at 26 abort run-000100 every=2 times=30\n";
/// Tasks that are moved off machines which have become slow.
const MOVED: &str = "at 2 submit run-000100 pieces=60 run=9 estimate=9 class=one\n\
    at 2 submit run-000101 pieces=40 run=14 estimate=14 class=two\n\
    at 36 slow 1 every=10 times=3\n";
/// Tasks that fail on a few machines and then start on others.
const FAILED: &str = "at 22 submit run-000100 run=20 every=1.6 times=33\n\
    at 30 faulty 2 for 6 every=12 times=5\n";
/// Short tasks, some of whose jobs are cancelled while their second task waits or runs.
const COMPLETED: &str = "team red cpus=1 max=1\n\
    at 20 submit run-000100 pieces=2 run=2 team=red every=6 times=10\n\
    at 24 abort run-000100 every=12 step=2 times=5\n\
    at 20 submit run-000300 pieces=2 run=2 every=1 times=60\n";

/// Seed of the first play.
const FIRST_SEED: u64 = 6800;

/// Plays a workload in each variant with several seeds, three unless `SEEDS` is set, and returns
/// what is wrong.
fn simulate(name: &str, workload: &str) -> Vec<String> {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(3);
    let (mut wrong, mut copies) = (vec![], 0);
    for (index, variant) in VARIANTS.iter().enumerate() {
        for seed in FIRST_SEED..FIRST_SEED + seeds {
            let mut script = Script::parse(&format!("{variant}{CLUSTER}{workload}")).expect("a valid scenario");
            script.seed = seed;
            let mut world = World::new(script);
            world.run_script();
            copies += world.active_faults.one_way.affected;
            let found = crate::check(&world);
            if !found.is_empty() {
                wrong.push(format!("{name}, variant {index}, seed {seed}: {}", found.join("; ")));
            }
        }
    }
    let plays = VARIANTS.len() * seeds as usize;
    assert!(copies >= 10 * plays, "{name}: only {copies} copies in {plays} plays");
    wrong
}

fn assert_holds(name: &str, workload: &str) {
    let wrong = simulate(name, workload);
    assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
}

#[test]
fn a_copied_start_does_not_run_a_preempted_task_again() {
    assert_holds("preempted", PREEMPTED);
}

#[test]
fn a_copied_start_does_not_run_a_cancelled_task_again() {
    assert_holds("cancelled", CANCELLED);
}

#[test]
fn a_copied_start_does_not_run_a_moved_task_again() {
    assert_holds("moved", MOVED);
}

#[test]
fn a_copied_start_does_not_run_a_failed_task_again() {
    assert_holds("failed", FAILED);
}

#[test]
fn a_copied_start_of_a_completed_task_breaks_no_rule() {
    assert_holds("completed", COMPLETED);
}
