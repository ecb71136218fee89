//! Tests that a cut-off zone is distinguished from lost machines, lost controllers and an isolated
//! leader.

use glenhaven_time::Micros;
use glenhaven_zone_health::{
    machines_to_release, Evacuation, EvacuationCandidate, ZoneChange, ZoneMonitor, ZoneObservation, ZoneTimes,
};
use proptest::prelude::*;

fn at(s: f64) -> Micros {
    Micros::from_secs(s)
}

fn zone(zone: &str, machines: usize, last_heartbeat_s: f64) -> ZoneObservation {
    ZoneObservation {
        zone: zone.into(),
        machines,
        last_heartbeat_at: at(last_heartbeat_s),
        ..ZoneObservation::default()
    }
}

#[test]
fn a_cut_affects_new_work_then_services_then_all() {
    let times = ZoneTimes::new(8.0, 36.0);
    let mut zones = ZoneMonitor::default();
    let update = |zones: &mut ZoneMonitor, now: f64, south: f64| {
        let observations = [zone("north", 200, now - 0.1), zone("south", 200, south)];
        zones.update(&observations, &times, Micros::ZERO, at(now))
    };
    assert!(update(&mut zones, 101.0, 100.0).is_empty(), "a second of silence");
    let cut = update(&mut zones, 102.5, 100.0);
    let since = at(100.0);
    let zone = "south".to_string();
    assert_eq!(cut, [ZoneChange::CutOff { zone, since }]);
    assert_eq!(zones.evacuation("south", &times, at(102.5)), Evacuation::Nothing);
    assert_eq!(zones.evacuation("south", &times, at(104.5)), Evacuation::Services);
    assert_eq!(zones.evacuation("south", &times, at(113.0)), Evacuation::All);
    assert_eq!(zones.evacuation("north", &times, at(113.0)), Evacuation::Nothing);
    let back = update(&mut zones, 120.0, 119.9);
    assert!(matches!(&back[..], [ZoneChange::Recovered { .. }]));
    assert!(!zones.any_cut_off());
}

#[test]
fn few_machines_get_the_time_of_a_whole_period() {
    let times = ZoneTimes::new(8.0, 36.0);
    let mut zones = ZoneMonitor::default();
    let observations = [zone("north", 200, 111.0), zone("south", 4, 100.0)];
    zones.update(&observations, &times, Micros::ZERO, at(111.0));
    assert!(!zones.is_cut_off("south"), "the next heartbeat may be on its way");
    zones.update(&observations, &times, Micros::ZERO, at(111.6));
    assert!(zones.is_cut_off("south"));
}

#[test]
fn a_leader_without_contact_is_cut_off_itself() {
    let times = ZoneTimes::new(8.0, 36.0);
    let mut zones = ZoneMonitor::default();
    let observations = [zone("north", 200, 100.0), zone("south", 200, 100.0)];
    zones.update(&observations, &times, Micros::ZERO, at(120.0));
    assert!(!zones.any_cut_off());
}

#[test]
fn contact_with_a_controller_shows_that_its_zone_is_not_cut_off() {
    let times = ZoneTimes::new(1.5, 10.0);
    let mut zones = ZoneMonitor::default();
    let mut south = zone("south", 50, 100.0);
    south.controllers = 2;
    south.controller_contact_at = at(107.5);
    zones.update(&[zone("north", 50, 108.0), south], &times, Micros::ZERO, at(108.0));
    assert!(
        !zones.any_cut_off(),
        "all its machines lost power, or a filter is in the way"
    );
}

#[test]
fn a_zone_that_another_controller_proxies_is_left_alone() {
    let times = ZoneTimes::new(1.5, 10.0);
    let mut zones = ZoneMonitor::default();
    let mut south = zone("south", 50, 100.0);
    south.proxied_at = at(108.0);
    zones.update(&[zone("north", 50, 110.0), south], &times, Micros::ZERO, at(110.0));
    assert!(zones.is_cut_off("south"));
    assert_eq!(zones.evacuation("south", &times, at(110.0)), Evacuation::Nothing);
    assert_eq!(
        zones.evacuation("south", &times, at(113.5)),
        Evacuation::All,
        "no controller has contact with the zone now"
    );
}

#[test]
fn a_new_leader_gives_a_zone_time_for_contact() {
    let times = ZoneTimes::new(1.5, 10.0);
    let mut zones = ZoneMonitor::default();
    let observations = [zone("north", 50, 200.5), zone("south", 50, 0.0)];
    zones.update(&observations, &times, at(200.0), at(201.0));
    assert!(!zones.any_cut_off());
    zones.update(&observations, &times, at(200.0), at(201.9));
    assert_eq!(zones.cut_off_since("south"), Some(at(200.0)));
}

#[test]
fn an_empty_zone_without_controllers_is_tried_again() {
    let times = ZoneTimes::new(1.5, 10.0);
    let mut zones = ZoneMonitor::default();
    zones.update(
        &[zone("north", 9, 110.0), zone("south", 9, 100.0)],
        &times,
        Micros::ZERO,
        at(110.0),
    );
    let empty = [zone("north", 9, 118.0), zone("south", 0, 100.0)];
    zones.update(&empty, &times, Micros::ZERO, at(118.0));
    assert!(zones.is_cut_off("south"));
    let empty = [zone("north", 9, 121.0), zone("south", 0, 100.0)];
    zones.update(&empty, &times, Micros::ZERO, at(121.0));
    assert!(!zones.any_cut_off());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// A zone whose heartbeats arrive at their interval is never treated as cut off, for any number
    /// of machines and any phases of their heartbeats that are spread over the interval.
    #[test]
    fn a_zone_that_sends_heartbeats_is_not_cut_off(
        phases in proptest::collection::vec(0.0f64..1.0, 3..60),
        report_s in 1.0f64..10.0,
    ) {
        let times = ZoneTimes::new(report_s, report_s * 5.0);
        // Phases that lie close together are not independent times.
        let mut sorted = phases.clone();
        sorted.sort_by(f64::total_cmp);
        let gaps = sorted.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        let wrap = 1.0 - sorted[sorted.len() - 1] + sorted[0];
        prop_assume!(gaps.max(wrap) < 8.0 / phases.len() as f64);
        let mut zones = ZoneMonitor::default();
        for step in 0..200u32 {
            let now = 1000.0 + f64::from(step) * 0.25;
            let last_heartbeat_s = sorted
                .iter()
                .map(|p| ((now / report_s - p).floor() + p) * report_s)
                .fold(0.0, f64::max);
            let observations = [zone("near", 50, now), zone("far", phases.len(), last_heartbeat_s)];
            zones.update(&observations, &times, at(900.0), at(now));
            prop_assert!(!zones.any_cut_off(), "at {now}, last heartbeat {last_heartbeat_s}");
        }
    }

    /// The work of released machines fits into the free capacity, and no machine is kept whose last
    /// heartbeat is older than that of a released one.
    #[test]
    fn releases_fit_into_free_capacity(cores in proptest::collection::vec(0.0f64..64.0, 0..40), free_cores in 0.0f64..400.0) {
        let candidates: Vec<EvacuationCandidate<usize>> = cores
            .iter()
            .enumerate()
            .map(|(machine, c)| EvacuationCandidate { machine, cores: c.floor(), last_heartbeat_at: at(machine as f64 % 7.0) })
            .collect();
        let chosen = machines_to_release(candidates.clone(), free_cores);
        let held: f64 = chosen.iter().map(|i| candidates[*i].cores).sum();
        prop_assert!(held <= free_cores);
        let remaining = candidates.iter().filter(|f| !chosen.contains(&f.machine));
        for remains in remaining {
            prop_assert!(remains.cores > 0.0);
            for released in chosen.iter().map(|i| &candidates[*i]).filter(|c| c.cores > 0.0) {
                prop_assert!((released.last_heartbeat_at, released.machine) < (remains.last_heartbeat_at, remains.machine));
            }
        }
    }
}
