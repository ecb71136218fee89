//! What holds whatever waits and whichever machines there are.

use glenhaven_reservation::{ReservationPolicy, Waits};
use glenhaven_time::Micros;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// Never more than the most, for no job more than its tasks, only machines that suit and
    /// are there; first come first served; and what was held before stays with its job.
    #[test]
    fn holds_what_it_may(
        rounds in prop::collection::vec((prop::collection::vec((0u8..6, 1usize..4), 0..5),
            prop::collection::vec((0u8..12, 0u64..50), 0..12), 0usize..6), 1..6),
    ) {
        let suits = |m: &u8, j: &u8| (m + j) % 3 != 0;
        let mut gather: ReservationPolicy<u8, u8> = ReservationPolicy::new();
        for (waits, machines, most) in rounds {
            let mut seen = std::collections::BTreeSet::new();
            let waits: Vec<Waits<u8>> = waits
                .into_iter()
                .filter(|(job, _)| seen.insert(*job))
                .map(|(job, tasks)| Waits { job, tasks })
                .collect();
            let machines: std::collections::BTreeMap<u8, u64> = machines.into_iter().collect();
            let machines: Vec<(u8, Micros)> = machines.into_iter().map(|(m, at)| (m, Micros::from_millis(at))).collect();
            let before = gather.clone();
            gather.decide(&waits, &machines, suits, most);
            prop_assert!(gather.len() <= most);
            let of = |g: &ReservationPolicy<u8, u8>, j: u8| (0..12).filter(|m| g.holds(m) == Some(&j)).count();
            for m in 0..12u8 {
                let Some(job) = gather.holds(&m) else { continue };
                prop_assert!(suits(&m, job) && machines.iter().any(|x| x.0 == m));
                prop_assert!(waits.iter().any(|w| w.job == *job));
            }
            for w in &waits {
                prop_assert!(of(&gather, w.job) <= w.tasks);
                let could = machines.iter().any(|(m, _)| gather.holds(m).is_none() && suits(m, &w.job));
                if of(&gather, w.job) < w.tasks && could {
                    prop_assert_eq!(gather.len(), most, "room was left for job {}", w.job);
                }
            }
            if before.len() <= most {
                for (m, _) in &machines {
                    let Some(job) = before.holds(m) else { continue };
                    let tasks = waits.iter().find(|w| w.job == *job).map_or(0, |w| w.tasks);
                    if of(&before, *job) <= tasks {
                        prop_assert_eq!(gather.holds(m), Some(job), "it changed hands");
                    }
                }
            }
        }
    }
}
