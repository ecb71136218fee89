//! What is rented serves something in time and is worth its price.

use glenhaven_provisioning::{advise, Arrival, Due, Offer, Supply, Work};
use proptest::prelude::*;

fn work(cores: f64, run_s: f64, start_by_s: f64, value: f64) -> Work {
    Work {
        cores,
        run_s,
        from_s: 0.0,
        dues: vec![Due { start_by_s, value }],
    }
}

const OFFER: Offer = Offer {
    ready_s: 30.0,
    price: 0.07 / 3600.0,
    idle_s: 10.0,
    max_cores: 10_000.0,
};

#[test]
fn nothing_is_rented_for_what_is_late_anyhow() {
    let advice = advise(&[work(500.0, 40.0, 20.0, 100.0)], &Supply::default(), &OFFER);
    assert_eq!(advice.cores, 0.0);
}

#[test]
fn nothing_is_rented_where_capacity_comes_in_time() {
    let supply = Supply {
        free_cores: 0.0,
        arrivals: vec![Arrival {
            at_s: 25.0,
            cores: 500.0,
        }],
    };
    let advice = advise(&[work(500.0, 40.0, 60.0, 100.0)], &supply, &OFFER);
    assert_eq!(advice.cores, 0.0);
}

#[test]
fn what_is_worth_less_than_its_rent_waits() {
    let rent = 500.0 * OFFER.price * 100.0;
    let cheap = advise(&[work(500.0, 40.0, 60.0, rent * 0.2)], &Supply::default(), &OFFER);
    assert_eq!(cheap.cores, 0.0);
    let dear = advise(&[work(500.0, 40.0, 60.0, rent * 5.0)], &Supply::default(), &OFFER);
    assert!(dear.cores > 400.0, "{dear:?}");
}

/// The first half of a queue fits into what ends in time; only the rest needs machines of its own.
#[test]
fn only_what_is_missing_is_rented() {
    let queue = [work(300.0, 70.0, 45.0, 50.0), work(300.0, 70.0, 45.0, 50.0)];
    let supply = Supply {
        free_cores: 300.0,
        arrivals: vec![],
    };
    let advice = advise(&queue, &supply, &OFFER);
    assert!(advice.cores > 200.0 && advice.cores <= 300.0, "{advice:?}");
}

/// Old work that has missed its time lets what is in time go first, so that
/// little capacity is enough for what comes in time.
#[test]
fn a_late_backlog_does_not_rent_for_itself() {
    let mut queue = vec![work(5000.0, 40.0, -10.0, 50.0)];
    queue.extend((0..10).map(|i| Work {
        from_s: f64::from(i) * 10.0,
        ..work(50.0, 40.0, f64::from(i) * 10.0 + 40.0, 50.0)
    }));
    let supply = Supply {
        free_cores: 100.0,
        arrivals: (0..50)
            .map(|i| Arrival {
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

    /// Whatever waits: no more than may be rented or could be of use, never at a
    /// loss, and never a number that is none.
    #[test]
    fn advice_is_sound(
        jobs in proptest::collection::vec((0.0f64..400.0, 0.0f64..200.0, -50.0f64..150.0, 0.0f64..9.0), 0..30),
        free_cores in -10.0f64..300.0,
        arrivals in proptest::collection::vec((-5.0f64..400.0, 0.0f64..200.0), 0..10),
        max_cores in 0.0f64..2000.0,
    ) {
        let queue: Vec<Work> = jobs.iter().map(|(cores, run_s, start_by_s, value)| work(*cores, *run_s, *start_by_s, *value)).collect();
        let offer = Offer { max_cores, ..OFFER };
        let arrivals = arrivals.iter().map(|(at_s, cores)| Arrival { at_s: *at_s, cores: *cores }).collect();
        let advice = advise(&queue, &Supply { free_cores, arrivals }, &offer);
        let total: f64 = queue.iter().map(|w| w.cores).sum();
        prop_assert!(advice.cores >= 0.0 && advice.cores <= max_cores.min(total) + 1e-6);
        prop_assert!(advice.benefit >= advice.cost);
        prop_assert!(advice.cores.is_finite() && advice.benefit.is_finite() && advice.cost.is_finite());
    }
}
