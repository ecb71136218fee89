//! Rates, run times, waits and missed objectives of classes and teams.

use glenhaven_objectives::{Objective, SloAccounting};
use glenhaven_time::Micros;
use proptest::prelude::*;

fn at(s: f64) -> Micros {
    Micros::from_secs(s)
}

#[test]
fn an_old_burst_is_forgotten() {
    let mut slo = SloAccounting::new(at(60.0));
    for _ in 0..100 {
        slo.record_arrival("scan", "blue", 10.0, 5.0, Micros::ZERO, at(1.0));
    }
    let early = slo.inflow("scan", at(1.0)).cores_per_s;
    let late = slo.inflow("scan", at(601.0)).cores_per_s;
    assert!((early - 1000.0 * std::f64::consts::LN_2 / 60.0).abs() < 1e-6);
    assert!(late < early / 1000.0);
}

#[test]
fn steady_arrivals_give_their_rate() {
    let mut slo = SloAccounting::new(at(60.0));
    for i in 0..2000 {
        slo.record_arrival("scan", "blue", 30.0, 8.0, Micros::ZERO, at(f64::from(i) * 0.5));
    }
    let inflow = slo.inflow("scan", at(1000.0));
    assert!((inflow.cores_per_s - 60.0).abs() < 2.0, "{inflow:?}");
    assert!((inflow.run_s - 8.0).abs() < 1e-6);
}

#[test]
fn the_greatest_shortfall_comes_first() {
    let mut slo = SloAccounting::new(at(60.0));
    for i in 0..10 {
        slo.record_outcome("thin", 0, i % 2 == 0, at(1.0));
        slo.record_outcome("flood", 0, i > 1, at(1.0));
        slo.record_outcome("fine", 0, true, at(1.0));
    }
    let objective = |class: &str| Objective {
        class: class.into(),
        number: 0,
        share: 0.9,
    };
    let objectives = [
        objective("fine"),
        objective("flood"),
        objective("thin"),
        objective("never"),
    ];
    let missed = slo.missed_objectives(&objectives, at(2.0));
    let names: Vec<&str> = missed.iter().map(|m| m.class.as_str()).collect();
    assert_eq!(names, ["thin", "flood"]);
}

#[test]
fn a_bias_needs_some_runs_and_has_bounds() {
    let mut slo = SloAccounting::new(at(60.0));
    slo.record_run("scan", 10.0, 100.0, at(1.0));
    assert_eq!(slo.run_time_bias("scan"), 1.0);
    for _ in 0..10 {
        slo.record_run("scan", 10.0, 100.0, at(2.0));
    }
    assert_eq!(slo.run_time_bias("scan"), 2.5);
    assert_eq!(slo.run_time_bias("unheard of"), 1.0);
}

#[test]
fn waits_of_the_last_half_lives_count() {
    let mut slo = SloAccounting::new(at(60.0));
    slo.record_start("scan", "blue", 1.0, at(100.0), at(1.0));
    for i in 0..99 {
        slo.record_start("scan", "blue", 1.0, at(2.0), at(70.0 + f64::from(i) * 0.01));
    }
    let summary = slo.classes(at(72.0)).remove(0);
    assert!(
        (summary.wait_p50_s - 2.0).abs() < 0.1 && summary.wait_p99_s < 101.5,
        "{summary:?}"
    );
    for i in 0..3 {
        slo.record_start("scan", "blue", 1.0, at(2.0), at(200.0 + f64::from(i) * 70.0));
    }
    assert!(
        slo.teams(at(341.0))[0].wait_p99_s < 3.0,
        "the long wait no longer counts"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Names that users choose do not exhaust the memory, and no run time that users estimate makes
    /// a result NaN or infinite.
    #[test]
    fn names_are_bounded(names in proptest::collection::vec("[a-z]{1,12}", 1..400), run_s in 0.0f64..1e9) {
        let mut slo = SloAccounting::new(at(60.0));
        for (i, name) in names.iter().enumerate() {
            let now = at(i as f64);
            slo.record_arrival(name, name, 1.0, run_s, at(run_s), now);
            slo.record_start(name, name, 1.0, at(run_s), now);
            slo.record_outcome(name, i, i % 2 == 0, now);
            slo.record_run(name, 1.0, run_s, now);
            let urgency = slo.urgency(name, i % 4, 0.9, now);
            prop_assert!((0.0..=4.0).contains(&urgency));
            prop_assert!(slo.run_time_bias(name).is_finite());
        }
        let now = at(1000.0);
        prop_assert!(slo.classes(now).len() <= 65 && slo.teams(now).len() <= 65);
        for summary in slo.classes(now) {
            prop_assert!(summary.requested_cores_per_s.is_finite() && summary.started_cores_per_s.is_finite());
            prop_assert!(summary.wait_p99_s <= 3800.0);
        }
    }
}
