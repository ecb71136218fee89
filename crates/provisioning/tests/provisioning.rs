//! Tests that rentals let queued work meet deadlines and are worth their cost.

use glenhaven_provisioning::{advise, Deadline, FutureCapacity, Offer, QueueEntry, Supply};
use proptest::prelude::*;

fn queue_entry(cores: f64, run_s: f64, start_by_s: f64, value: f64) -> QueueEntry {
    QueueEntry {
        cores,
        run_s,
        arrival_s: 0.0,
        deadlines: vec![Deadline { start_by_s, value }],
    }
}

const OFFER: Offer = Offer {
    ready_s: 30.0,
    price: 0.07 / 3600.0,
    idle_s: 10.0,
    max_cores: 10_000.0,
};

#[test]
fn rents_nothing_when_deadlines_are_missed_anyway() {
    let advice = advise(&[queue_entry(500.0, 40.0, 20.0, 100.0)], &Supply::default(), &OFFER);
    assert_eq!(advice.cores, 0.0);
}

#[test]
fn rents_nothing_when_capacity_becomes_free_in_time() {
    let supply = Supply {
        free_cores: 0.0,
        upcoming: vec![FutureCapacity {
            at_s: 25.0,
            cores: 500.0,
        }],
    };
    let advice = advise(&[queue_entry(500.0, 40.0, 60.0, 100.0)], &supply, &OFFER);
    assert_eq!(advice.cores, 0.0);
}

#[test]
fn rents_only_when_the_benefit_exceeds_the_cost() {
    let rent = 500.0 * OFFER.price * 100.0;
    let unprofitable = advise(
        &[queue_entry(500.0, 40.0, 60.0, rent * 0.2)],
        &Supply::default(),
        &OFFER,
    );
    assert_eq!(unprofitable.cores, 0.0);
    let worthwhile = advise(
        &[queue_entry(500.0, 40.0, 60.0, rent * 5.0)],
        &Supply::default(),
        &OFFER,
    );
    assert!(worthwhile.cores > 400.0, "{worthwhile:?}");
}

/// Guards against renting for the whole queue: the first half fits on free cores, so only the
/// second half needs rented machines.
#[test]
fn rents_only_the_missing_cores() {
    let queue = [
        queue_entry(300.0, 70.0, 45.0, 50.0),
        queue_entry(300.0, 70.0, 45.0, 50.0),
    ];
    let supply = Supply {
        free_cores: 300.0,
        upcoming: vec![],
    };
    let advice = advise(&queue, &supply, &OFFER);
    assert!(advice.cores > 200.0 && advice.cores <= 300.0, "{advice:?}");
}

/// Guards against renting for work that is already late: late work starts after work that is in
/// time, so a small capacity is enough for the latter.
#[test]
fn late_backlog_causes_no_rental() {
    let mut queue = vec![queue_entry(5000.0, 40.0, -10.0, 50.0)];
    queue.extend((0..10).map(|i| QueueEntry {
        arrival_s: f64::from(i) * 10.0,
        ..queue_entry(50.0, 40.0, f64::from(i) * 10.0 + 40.0, 50.0)
    }));
    let supply = Supply {
        free_cores: 100.0,
        upcoming: (0..50)
            .map(|i| FutureCapacity {
                at_s: f64::from(i) * 3.0,
                cores: 10.0,
            })
            .collect(),
    };
    let advice = advise(&queue, &supply, &OFFER);
    assert_eq!(advice.cores, 0.0, "{advice:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// For any queue, the advice stays within the cores that can be rented and those that the queue
    /// needs, its benefit covers its cost, and its numbers are finite.
    #[test]
    fn advice_is_sound(
        jobs in proptest::collection::vec((0.0f64..400.0, 0.0f64..200.0, -50.0f64..150.0, 0.0f64..9.0), 0..30),
        free_cores in -10.0f64..300.0,
        upcoming in proptest::collection::vec((-5.0f64..400.0, 0.0f64..200.0), 0..10),
        max_cores in 0.0f64..2000.0,
    ) {
        let queue: Vec<QueueEntry> = jobs.iter().map(|(cores, run_s, start_by_s, value)| queue_entry(*cores, *run_s, *start_by_s, *value)).collect();
        let offer = Offer { max_cores, ..OFFER };
        let upcoming = upcoming.iter().map(|(at_s, cores)| FutureCapacity { at_s: *at_s, cores: *cores }).collect();
        let advice = advise(&queue, &Supply { free_cores, upcoming }, &offer);
        let total: f64 = queue.iter().map(|w| w.cores).sum();
        prop_assert!(advice.cores >= 0.0 && advice.cores <= max_cores.min(total) + 1e-6);
        prop_assert!(advice.benefit >= advice.cost);
        prop_assert!(advice.cores.is_finite() && advice.benefit.is_finite() && advice.cost.is_finite());
    }
}
