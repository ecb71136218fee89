//! Simulates every scenario file in `tests/scenarios/` and checks its expectations and every rule
//! of the protocol.
// A test runs one long sequence of steps, which is easier to read in one function.
#![allow(clippy::too_many_lines)]

mod sim;

use sim::script::{Expect, Script};
use sim::{World, SEC};

/// Longest time in seconds without an answered query about an accepted job, once all faults are
/// over.
const LONGEST_SILENCE_S: u64 = 75;

/// Returns the broken rules and unmet expectations of a simulated scenario.
fn check(world: &World) -> Vec<String> {
    let mut wrong: Vec<String> = world.rules.broken.clone();
    wrong.extend(sim::fairness::below_half(world));
    for (job, user) in world.users.iter().filter(|(_, u)| u.accepted.is_some()) {
        if user.longest_unanswered > LONGEST_SILENCE_S * SEC {
            wrong.push(format!(
                "forgotten: no query about {job} was answered for {} s",
                user.longest_unanswered / SEC
            ));
        }
    }
    wrong.extend(world.store.problems.iter().cloned());
    wrong.extend(world.cloud.problems.iter().cloned());
    if world.rules.starts == 0 {
        wrong.push("nothing_ran".into());
    }
    for expect in &world.script.expect {
        let within = |at: Option<u64>, by: u64| at.is_some_and(|at| at <= by);
        let holds = match expect {
            Expect::Done(job, by) => within(world.users[job].done, *by),
            Expect::Cancelled(job, by) => within(world.users[job].cancelled, *by),
            Expect::LogPages(most) => world.store.log_segments() <= *most,
            Expect::Withdrawn(job) => world.store.is_cancelled(job),
            Expect::Started(task, by) => within(world.rules.first_start.get(task).copied(), *by),
            Expect::Replicas(job, count) => {
                let on = |t: &str| t.rsplit_once('/').is_some_and(|x| x.0 == job);
                let found = world
                    .workers
                    .values()
                    .filter(|w| w.up)
                    .flat_map(|w| w.running_tasks())
                    .filter(|t| on(t));
                found.count() == *count
            }
            Expect::Refused(job, status) => world.users[job].refused == Some(*status),
            Expect::Missed(job, most) => world.rules.missed_replica_seconds.get(job).is_some_and(|m| m <= most),
            Expect::AcceptedWithin(seconds) => world.users.values().all(|u| {
                let waited = u.accepted.zip(u.first_asked).map(|(at, from)| at - from);
                u.refused.is_some() || waited.is_some_and(|w| w <= seconds * SEC)
            }),
            Expect::Rented(most) => world.cloud.rented() <= *most,
            Expect::LeaseKills(most) => world.rules.lease_kills <= *most,
            Expect::LeaseKillsAtLeast(least) => world.rules.lease_kills >= *least,
            Expect::Stops(most) => world.rules.stops <= *most,
            Expect::Failures(most) => world.rules.failures <= *most,
            Expect::TermsAtMost(most) => world.last_term() <= *most,
            Expect::TermsAtLeast(least) => world.last_term() >= *least,
            Expect::RentedInAll(most) => world.cloud.total_rented() <= *most,
            Expect::Changes(most) => world.store.changes <= *most,
            Expect::CloudCalls(most) => world.cloud.calls <= *most,
            Expect::Affected(least) => world.active_faults.one_way.affected >= *least,
        };
        if !holds {
            let counted = (world.store.changes, world.cloud.calls, world.cloud.total_rented());
            let (failures, missed) = (world.rules.failures, &world.rules.missed_replica_seconds);
            let affected = world.active_faults.one_way.affected;
            if let Expect::AcceptedWithin(seconds) = expect {
                for (id, u) in &world.users {
                    let waited = u.accepted.zip(u.first_asked).map(|(at, from)| at - from);
                    if waited.is_none_or(|w| w > seconds * SEC) {
                        wrong.push(format!("{id} was accepted after {waited:?} us"));
                    }
                }
            }
            wrong.push(format!(
                "expected {expect:?}; changes, calls, machines rented: {counted:?}, failures {failures}, missed {missed:?}, affected messages {affected}"
            ));
        }
    }
    wrong
}

/// Simulates one scenario with several seeds, three unless `SEEDS` is set, and returns what is
/// wrong. No rule may hold by the choice of the seed alone.
fn simulate(text: &str) -> Vec<String> {
    let mut wrong = vec![];
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(3);
    for extra in 0..seeds {
        let mut script = match Script::parse(text) {
            Ok(script) => script,
            Err(why) => return vec![why],
        };
        script.seed += extra * 1000;
        let seed = script.seed;
        let mut world = World::new(script);
        world.run_script();
        let found = check(&world);
        if !found.is_empty() {
            wrong.push(format!(
                "seed {seed}, at the end ({} s): {}",
                world.now / SEC,
                found.join("; ")
            ));
        }
    }
    wrong
}

#[test]
fn scenarios() {
    if let Ok(level) = std::env::var("LOG_LEVEL") {
        let level = if level == "debug" {
            tracing::Level::DEBUG
        } else {
            tracing::Level::INFO
        };
        tracing_subscriber::fmt()
            .with_max_level(level)
            .with_ansi(false)
            .without_time()
            .init();
    }
    let only = std::env::var("SCENARIO").unwrap_or_default();
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(files.len() >= 10, "scenarios are missing");
    let threads: Vec<_> = files
        .into_iter()
        .filter(|f| f.to_string_lossy().contains(&only))
        .map(|file| std::thread::spawn(move || (file.clone(), simulate(&std::fs::read_to_string(&file).unwrap()))))
        .collect();
    let mut played = vec![];
    for thread in threads {
        let (file, wrong) = thread.join().expect("a scenario panicked");
        let name = file.file_name().unwrap().to_string_lossy().to_string();
        played.push((name, wrong));
    }
    let failed = sim::known_red::unexpected(&played, &sim::known_red::causes());
    assert!(failed.is_empty(), "\n{}", failed.join("\n"));
}

/// Verifies that the checks fail for an unmet expectation and for rules broken on purpose.
#[test]
fn the_checks_can_fail() {
    let late = "until 60\nat 1 submit run-000001 run=100\nexpect done run-000001 by 50";
    assert!(!simulate(late).is_empty());
    let mut world = World::new(Script::parse("until 60\nat 1 submit run-000001 service pieces=2").unwrap());
    world.run_script();
    assert!(check(&world).is_empty());
    // A second copy of a running task, a task of a cancelled job, and a job that is reported done
    // although it is not.
    let task = "run-000001/0";
    let machine = world
        .workers
        .values()
        .find(|w| w.running_tasks().any(|t| t == task))
        .unwrap()
        .name
        .clone();
    world
        .rules
        .check_start(world.now, "n-999999", task, &world.workers, &world.users);
    assert!(
        world.rules.broken.iter().any(|b| b.starts_with("ran_twice")),
        "{machine}"
    );
    let user = world.users.get_mut("run-000001").unwrap();
    user.cancelled = Some(0);
    world.rules.broken.clear();
    world.rules.check(world.now, &world.workers, &world.users);
    assert!(world.rules.broken.iter().any(|b| b.starts_with("ran_cancelled")));
    world.rules.broken.clear();
    let user = &world.users["run-000001"];
    world.rules.check_answer(
        world.now,
        "run-000001",
        glenhaven::protocol::users::Phase::Done,
        &world.results,
        user,
        &world.users,
    );
    assert!(world.rules.broken.iter().any(|b| b.starts_with("not_done")));
}
