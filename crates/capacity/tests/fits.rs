//! Tests of line fitting and of the capacity table.

use glenhaven_capacity::estimate::Estimate;
use glenhaven_capacity::fit::{FitError, Line};
use glenhaven_capacity::records::{read, Point, Target};
use glenhaven_capacity::table::{markdown, NO_MECHANISM};
use proptest::prelude::*;

fn target(limit: Option<f64>, mechanism: &str) -> Target {
    Target {
        role: "leader".into(),
        quantity: "memory (MB)".into(),
        by: "workers".into(),
        size: 3300.0,
        limit,
        mechanism: mechanism.into(),
    }
}

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    let point = |(size, value): &(f64, f64)| Point {
        role: "leader".into(),
        quantity: "memory (MB)".into(),
        by: "workers".into(),
        size: *size,
        value: *value,
        journal: "run".into(),
    };
    values.iter().map(point).collect()
}

/// The expected figures were calculated by hand for sizes 1 to 4 and values 2, 4, 5, 8.
#[test]
fn a_line_that_was_worked_out_by_hand() {
    let line = Line::through(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 8.0)]).unwrap();
    assert!((line.slope - 1.9).abs() < 1e-12);
    assert!(line.intercept.abs() < 1e-12);
    // Residuals 0.1, 0.2, -0.7, 0.4: squares 0.70.
    assert!((line.standard_error - (0.70f64 / 2.0).sqrt()).abs() < 1e-12);
    assert!((line.largest_residual - 0.7).abs() < 1e-12);
    assert!((line.r_squared - (1.0 - 0.70 / 18.75)).abs() < 1e-12);
}

#[test]
fn three_sizes_are_too_few_however_often_they_were_measured() {
    let few = [(1.0, 1.0), (1.0, 2.0), (2.0, 2.0), (2.0, 3.0), (3.0, 3.0)];
    assert_eq!(Line::through(&few), Err(FitError::TooFewSizes(3)));
    assert_eq!(Line::through(&[]), Err(FitError::TooFewSizes(0)));
}

#[test]
fn what_is_not_a_number_is_refused() {
    let points = [(1.0, 1.0), (2.0, f64::NAN), (3.0, 1.0), (4.0, 1.0)];
    assert_eq!(Line::through(&points), Err(FitError::NotFinite));
}

#[test]
fn headroom_is_what_is_left_of_the_limit() {
    let measured = points(&[(400.0, 14.0), (800.0, 18.0), (1600.0, 26.0), (3300.0, 43.0)]);
    let row = Estimate::for_target(&target(Some(86.0), "paged book"), &measured);
    assert!((row.value().unwrap() - 43.0).abs() < 1e-9);
    assert!((row.headroom().unwrap() - 0.5).abs() < 1e-9);
    let over = Estimate::for_target(&target(Some(21.5), ""), &measured);
    assert!((over.headroom().unwrap() + 1.0).abs() < 1e-9);
    assert_eq!(Estimate::for_target(&target(None, ""), &measured).headroom(), None);
}

#[test]
fn points_of_other_quantities_do_not_count() {
    let mut measured = points(&[(400.0, 1.0), (800.0, 2.0), (1600.0, 4.0)]);
    let mut other = measured[0].clone();
    other.role = "follower".into();
    other.size = 3300.0;
    measured.push(other);
    assert_eq!(
        Estimate::for_target(&target(None, ""), &measured).line,
        Err(FitError::TooFewSizes(3))
    );
}

#[test]
fn a_row_without_a_mechanism_says_so() {
    let measured = points(&[(400.0, 1.0), (800.0, 2.0), (1600.0, 4.0), (3300.0, 8.25)]);
    let rows = [
        Estimate::for_target(&target(Some(10.0), ""), &measured),
        Estimate::for_target(&target(Some(10.0), "relayed reports"), &measured),
    ];
    let text = markdown(&rows);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[2].contains(NO_MECHANISM));
    assert!(lines[3].contains("relayed reports") && !lines[3].contains(NO_MECHANISM));
}

/// The files of the repository are complete: every target has enough points for a line, and every
/// point names its run.
#[test]
fn the_measured_points_of_the_repository() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity");
    let points: Vec<Point> = read(&directory.join("points.csv")).unwrap();
    let targets: Vec<Target> = read(&directory.join("targets.csv")).unwrap();
    assert!(!targets.is_empty());
    for target in &targets {
        let row = Estimate::for_target(target, &points);
        assert!(row.line.is_ok(), "{target:?}: {:?}", row.line);
    }
    for point in &points {
        assert!(!point.journal.is_empty(), "{point:?}");
    }
}

proptest! {
    /// A fit to points on a line returns that line, with a standard error of zero.
    #[test]
    fn points_on_a_line(slope in -10.0..10.0f64, intercept in -100.0..100.0f64) {
        let points: Vec<(f64, f64)> = [400.0, 800.0, 1600.0, 3300.0].iter().map(|x| (*x, intercept + slope * x)).collect();
        let line = Line::through(&points).unwrap();
        prop_assert!((line.slope - slope).abs() < 1e-6);
        prop_assert!((line.intercept - intercept).abs() < 1e-6);
        prop_assert!(line.standard_error < 1e-6);
    }

    /// No other line has a smaller sum of squared residuals.
    #[test]
    fn no_line_is_closer(values in prop::collection::vec(0.0..100.0f64, 4..12), tilt in -0.5..0.5f64, shift in -5.0..5.0f64) {
        let points: Vec<(f64, f64)> = values.iter().enumerate().map(|(i, v)| (i as f64, *v)).collect();
        let line = Line::through(&points).unwrap();
        let squares = |slope: f64, intercept: f64| -> f64 {
            points.iter().map(|(x, y)| (y - slope * x - intercept).powi(2)).sum()
        };
        let least = squares(line.slope, line.intercept);
        prop_assert!(least <= squares(line.slope + tilt, line.intercept + shift) + 1e-6);
    }

    /// The error of a further measurement grows with the distance from the measured sizes.
    #[test]
    fn error_grows_with_distance(values in prop::collection::vec(0.0..100.0f64, 4..12), far in 20.0..1000.0f64) {
        let points: Vec<(f64, f64)> = values.iter().enumerate().map(|(i, v)| (i as f64, *v)).collect();
        let line = Line::through(&points).unwrap();
        prop_assert!(line.error_at(far * 2.0) >= line.error_at(far));
        prop_assert!(line.error_at(far) >= line.standard_error);
    }
}
