//! Cuts are told from lost machines, from lost controllers and from one's own
//! isolation.

use glenhaven_time::Micros;
use glenhaven_zone_health::{in_step, Change, Far, Move, Sign, Times, Zones};
use proptest::prelude::*;

fn at(s: f64) -> Micros {
    Micros::from_secs(s)
}

fn sign(zone: &str, machines: usize, heard: f64) -> Sign {
    Sign {
        zone: zone.into(),
        machines,
        heard: at(heard),
        ..Sign::default()
    }
}

#[test]
fn a_cut_grows_from_new_work_to_services_to_all() {
    let times = Times::new(8.0, 36.0);
    let mut zones = Zones::default();
    let look = |zones: &mut Zones, now: f64, south: f64| {
        let signs = [sign("north", 200, now - 0.1), sign("south", 200, south)];
        zones.look(&signs, &times, Micros::ZERO, at(now))
    };
    assert!(look(&mut zones, 101.0, 100.0).is_empty(), "a second of silence");
    let cut = look(&mut zones, 102.5, 100.0);
    let since = at(100.0);
    let zone = "south".to_string();
    assert_eq!(cut, [Change::Cut { zone, since }]);
    assert_eq!(zones.moves("south", &times, at(102.5)), Move::Nothing);
    assert_eq!(zones.moves("south", &times, at(104.5)), Move::Services);
    assert_eq!(zones.moves("south", &times, at(113.0)), Move::All);
    assert_eq!(zones.moves("north", &times, at(113.0)), Move::Nothing);
    let back = look(&mut zones, 120.0, 119.9);
    assert!(matches!(&back[..], [Change::Back { .. }]));
    assert!(!zones.any());
}

#[test]
fn few_machines_get_the_time_of_a_whole_period() {
    let times = Times::new(8.0, 36.0);
    let mut zones = Zones::default();
    let signs = [sign("north", 200, 111.0), sign("south", 4, 100.0)];
    zones.look(&signs, &times, Micros::ZERO, at(111.0));
    assert!(!zones.is_cut("south"), "its next report may be on its way");
    zones.look(&signs, &times, Micros::ZERO, at(111.6));
    assert!(zones.is_cut("south"));
}

#[test]
fn who_hears_nobody_is_cut_off_itself() {
    let times = Times::new(8.0, 36.0);
    let mut zones = Zones::default();
    let signs = [sign("north", 200, 100.0), sign("south", 200, 100.0)];
    zones.look(&signs, &times, Micros::ZERO, at(120.0));
    assert!(!zones.any());
}

#[test]
fn a_controller_there_that_is_heard_says_that_the_zone_is_not_cut() {
    let times = Times::new(1.5, 10.0);
    let mut zones = Zones::default();
    let mut south = sign("south", 50, 100.0);
    south.controllers = 2;
    south.controller_heard = at(107.5);
    zones.look(&[sign("north", 50, 108.0), south], &times, Micros::ZERO, at(108.0));
    assert!(!zones.any(), "all its machines lost power, or a filter is in the way");
}

#[test]
fn what_the_far_side_keeps_is_left_alone() {
    let times = Times::new(1.5, 10.0);
    let mut zones = Zones::default();
    let mut south = sign("south", 50, 100.0);
    south.kept = at(108.0);
    zones.look(&[sign("north", 50, 110.0), south], &times, Micros::ZERO, at(110.0));
    assert!(zones.is_cut("south"));
    assert_eq!(zones.moves("south", &times, at(110.0)), Move::Nothing);
    assert_eq!(
        zones.moves("south", &times, at(113.5)),
        Move::All,
        "nobody keeps it now"
    );
}

#[test]
fn a_new_leader_gives_a_zone_time_to_be_heard() {
    let times = Times::new(1.5, 10.0);
    let mut zones = Zones::default();
    let signs = [sign("north", 50, 200.5), sign("south", 50, 0.0)];
    zones.look(&signs, &times, at(200.0), at(201.0));
    assert!(!zones.any());
    zones.look(&signs, &times, at(200.0), at(201.9));
    assert_eq!(zones.cut_since("south"), Some(at(200.0)));
}

#[test]
fn an_empty_zone_without_controllers_is_tried_again() {
    let times = Times::new(1.5, 10.0);
    let mut zones = Zones::default();
    zones.look(
        &[sign("north", 9, 110.0), sign("south", 9, 100.0)],
        &times,
        Micros::ZERO,
        at(110.0),
    );
    let empty = [sign("north", 9, 118.0), sign("south", 0, 100.0)];
    zones.look(&empty, &times, Micros::ZERO, at(118.0));
    assert!(zones.is_cut("south"));
    let empty = [sign("north", 9, 121.0), sign("south", 0, 100.0)];
    zones.look(&empty, &times, Micros::ZERO, at(121.0));
    assert!(!zones.any());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Reports that come at their period, give or take a quarter, are never
    /// taken for a cut, however many machines there are and whenever they began.
    #[test]
    fn a_zone_that_reports_is_not_cut(
        phases in proptest::collection::vec(0.0f64..1.0, 3..60),
        report_s in 1.0f64..10.0,
    ) {
        let times = Times::new(report_s, report_s * 5.0);
        // Phases that all fall together are no independent times.
        let mut sorted = phases.clone();
        sorted.sort_by(f64::total_cmp);
        let gaps = sorted.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        let wrap = 1.0 - sorted[sorted.len() - 1] + sorted[0];
        prop_assume!(gaps.max(wrap) < 8.0 / phases.len() as f64);
        let mut zones = Zones::default();
        for step in 0..200u32 {
            let now = 1000.0 + f64::from(step) * 0.25;
            let heard = sorted
                .iter()
                .map(|p| ((now / report_s - p).floor() + p) * report_s)
                .fold(0.0, f64::max);
            let signs = [sign("near", 50, now), sign("far", phases.len(), heard)];
            zones.look(&signs, &times, at(900.0), at(now));
            prop_assert!(!zones.any(), "at {now}, last heard {heard}");
        }
    }

    /// What is released fits into the room there is, and nothing is passed over
    /// that was heard earlier than something released.
    #[test]
    fn releases_keep_step(cores in proptest::collection::vec(0.0f64..64.0, 0..40), room in 0.0f64..400.0) {
        let far: Vec<Far<usize>> = cores
            .iter()
            .enumerate()
            .map(|(machine, c)| Far { machine, cores: c.floor(), heard: at(machine as f64 % 7.0) })
            .collect();
        let chosen = in_step(far.clone(), room);
        let held: f64 = chosen.iter().map(|i| far[*i].cores).sum();
        prop_assert!(held <= room);
        let kept = far.iter().filter(|f| !chosen.contains(&f.machine));
        for k in kept {
            prop_assert!(k.cores > 0.0);
            for c in chosen.iter().map(|i| &far[*i]).filter(|c| c.cores > 0.0) {
                prop_assert!((c.heard, c.machine) < (k.heard, k.machine));
            }
        }
    }
}
