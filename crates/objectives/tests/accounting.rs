//! Who is behind, told from who asks for much.

use glenhaven_objectives::{Aim, SloAccounting};
use glenhaven_time::Micros;
use proptest::prelude::*;

fn at(s: f64) -> Micros {
    Micros::from_secs(s)
}

#[test]
fn an_old_burst_is_forgotten() {
    let mut account = SloAccounting::new(at(60.0));
    for _ in 0..100 {
        account.arrived("scan", "blue", 10.0, 5.0, Micros::ZERO, at(1.0));
    }
    let early = account.inflow("scan", at(1.0)).cores_per_s;
    let late = account.inflow("scan", at(601.0)).cores_per_s;
    assert!((early - 1000.0 * std::f64::consts::LN_2 / 60.0).abs() < 1e-6);
    assert!(late < early / 1000.0);
}

#[test]
fn steady_arrivals_give_their_rate() {
    let mut account = SloAccounting::new(at(60.0));
    for i in 0..2000 {
        account.arrived("scan", "blue", 30.0, 8.0, Micros::ZERO, at(f64::from(i) * 0.5));
    }
    let inflow = account.inflow("scan", at(1000.0));
    assert!((inflow.cores_per_s - 60.0).abs() < 2.0, "{inflow:?}");
    assert!((inflow.run_s - 8.0).abs() < 1e-6);
}

#[test]
fn the_one_farthest_behind_comes_first() {
    let mut account = SloAccounting::new(at(60.0));
    for i in 0..10 {
        account.judged("thin", 0, i % 2 == 0, at(1.0));
        account.judged("flood", 0, i > 1, at(1.0));
        account.judged("fine", 0, true, at(1.0));
    }
    let aim = |class: &str| Aim {
        class: class.into(),
        number: 0,
        share: 0.9,
    };
    let behind = account.behind(&[aim("fine"), aim("flood"), aim("thin"), aim("never")], at(2.0));
    let names: Vec<&str> = behind.iter().map(|b| b.class.as_str()).collect();
    assert_eq!(names, ["thin", "flood"]);
}

#[test]
fn a_bias_needs_some_runs_and_has_bounds() {
    let mut account = SloAccounting::new(at(60.0));
    account.ran("scan", 10.0, 100.0, at(1.0));
    assert_eq!(account.bias("scan"), 1.0);
    for _ in 0..10 {
        account.ran("scan", 10.0, 100.0, at(2.0));
    }
    assert_eq!(account.bias("scan"), 2.5);
    assert_eq!(account.bias("unheard of"), 1.0);
}

#[test]
fn waits_of_the_last_half_lives_count() {
    let mut account = SloAccounting::new(at(60.0));
    account.started("scan", "blue", 1.0, at(100.0), at(1.0));
    for i in 0..99 {
        account.started("scan", "blue", 1.0, at(2.0), at(70.0 + f64::from(i) * 0.01));
    }
    let row = account.classes(at(72.0)).remove(0);
    assert!((row.wait_p50_s - 2.0).abs() < 0.1 && row.wait_p99_s < 101.5, "{row:?}");
    for i in 0..3 {
        account.started("scan", "blue", 1.0, at(2.0), at(200.0 + f64::from(i) * 70.0));
    }
    assert!(
        account.teams(at(341.0))[0].wait_p99_s < 3.0,
        "the long one is forgotten"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Names that users choose do not use up memory, and nothing they say makes a
    /// number that is none.
    #[test]
    fn names_are_bounded(names in proptest::collection::vec("[a-z]{1,12}", 1..400), run_s in 0.0f64..1e9) {
        let mut account = SloAccounting::new(at(60.0));
        for (i, name) in names.iter().enumerate() {
            let now = at(i as f64);
            account.arrived(name, name, 1.0, run_s, at(run_s), now);
            account.started(name, name, 1.0, at(run_s), now);
            account.judged(name, i, i % 2 == 0, now);
            account.ran(name, 1.0, run_s, now);
            let u = account.urgency(name, i % 4, 0.9, now);
            prop_assert!((0.0..=4.0).contains(&u));
            prop_assert!(account.bias(name).is_finite());
        }
        let now = at(1000.0);
        prop_assert!(account.classes(now).len() <= 65 && account.teams(now).len() <= 65);
        for row in account.classes(now) {
            prop_assert!(row.asked.is_finite() && row.got.is_finite() && row.wait_p99_s <= 3800.0);
        }
    }
}
