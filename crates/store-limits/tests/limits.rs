//! Tests of which limits apply: the present or the announced ones.

use glenhaven_store_limits::{Bounds, Limits};

const PRESENT: Bounds = Bounds {
    value_kb: 8.0,
    changes: 24,
    changes_per_s: 50.0,
};

#[test]
fn nothing_announced_changes_nothing() {
    let mut limits = Limits::new(200.0, PRESENT, None);
    assert!(!limits.is_announcement_pending() && !limits.apply_announced());
    assert_eq!((limits.max_value_bytes(), limits.max_changes()), (8192, 24));
    assert_eq!(limits.changes_per_s(), 50.0);
}

/// An announced limit that is higher than the present one never applies.
#[test]
fn the_smaller_of_both_applies() {
    let announced = Bounds {
        value_kb: 32.0,
        changes: 8,
        changes_per_s: 80.0,
    };
    let mut limits = Limits::new(200.0, PRESENT, Some(announced));
    assert!(limits.apply_announced() && !limits.apply_announced());
    assert_eq!((limits.max_value_bytes(), limits.max_changes()), (8192, 8));
    assert_eq!(limits.changes_per_s(), 50.0);
    assert_eq!(limits.present_value_bytes(), 8192.0);
}
