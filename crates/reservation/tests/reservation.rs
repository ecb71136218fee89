//! Properties of reservations for any waiting jobs and any machines.

use glenhaven_reservation::{ReservableMachine, ReservationPolicy, WaitingJob};
use glenhaven_time::Micros;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// At most the maximum number of machines is reserved, for each job at most one per task, and
    /// only machines that are present and suit the job. No job lacks a suitable machine below the
    /// maximum, and earlier reservations stay with their job.
    #[test]
    fn reservations_respect_maximum_and_suitability(
        rounds in prop::collection::vec((prop::collection::vec((0u8..6, 1usize..4), 0..5),
            prop::collection::vec((0u8..12, 0u64..50), 0..12), 0usize..6), 1..6),
    ) {
        let suits = |m: &u8, j: &u8| (m + j) % 3 != 0;
        let mut policy: ReservationPolicy<u8, u8> = ReservationPolicy::new();
        for (waiting_jobs, machines, max) in rounds {
            let mut seen = std::collections::BTreeSet::new();
            let waiting_jobs: Vec<WaitingJob<u8>> = waiting_jobs
                .into_iter()
                .filter(|(job, _)| seen.insert(*job))
                .map(|(job, tasks)| WaitingJob { job, tasks })
                .collect();
            let machines: std::collections::BTreeMap<u8, u64> = machines.into_iter().collect();
            let machines: Vec<ReservableMachine<u8>> = machines
                .into_iter()
                .map(|(machine, at)| ReservableMachine { machine, empty_at: Micros::from_millis(at) })
                .collect();
            let before = policy.clone();
            policy.decide(&waiting_jobs, &machines, suits, max);
            prop_assert!(policy.len() <= max);
            let reserved_count = |policy: &ReservationPolicy<u8, u8>, job: u8| {
                (0..12).filter(|m| policy.reserved_for(m) == Some(&job)).count()
            };
            for m in 0..12u8 {
                let Some(job) = policy.reserved_for(&m) else { continue };
                prop_assert!(suits(&m, job) && machines.iter().any(|x| x.machine == m));
                prop_assert!(waiting_jobs.iter().any(|w| w.job == *job));
            }
            for w in &waiting_jobs {
                prop_assert!(reserved_count(&policy, w.job) <= w.tasks);
                let has_suitable_machine = machines
                    .iter()
                    .any(|m| policy.reserved_for(&m.machine).is_none() && suits(&m.machine, &w.job));
                if reserved_count(&policy, w.job) < w.tasks && has_suitable_machine {
                    prop_assert_eq!(policy.len(), max, "capacity was left for job {}", w.job);
                }
            }
            if before.len() <= max {
                for m in machines.iter().map(|m| &m.machine) {
                    let Some(job) = before.reserved_for(m) else { continue };
                    let tasks = waiting_jobs.iter().find(|w| w.job == *job).map_or(0, |w| w.tasks);
                    if reserved_count(&before, *job) <= tasks {
                        prop_assert_eq!(policy.reserved_for(m), Some(job), "the reservation moved to another job");
                    }
                }
            }
        }
    }
}
