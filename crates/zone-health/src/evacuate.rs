//! Which machines of a cut-off zone are released, as far as the capacity elsewhere suffices for
//! their tasks.

use glenhaven_time::Micros;

/// A machine in a cut-off zone that runs no services, only tasks of array jobs.
///
/// Machines with services are kept until their lease is about to end: the services are useful until
/// then, and are not interrupted if the zone recovers soon.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuationCandidate<K> {
    /// The machine.
    pub machine: K,
    /// Cores that its tasks hold.
    pub cores: f64,
    /// When its last heartbeat was sent.
    pub last_heartbeat_at: Micros,
}

/// Selects the machines to release now, given `free_cores` free cores elsewhere: all machines
/// without tasks, then those that have been silent longest, whose leases end first.
pub fn machines_to_release<K: Ord>(mut candidates: Vec<EvacuationCandidate<K>>, mut free_cores: f64) -> Vec<K> {
    candidates.sort_by(|a, b| {
        let has_tasks = |c: &EvacuationCandidate<K>| c.cores > 0.0;
        let a_key = (has_tasks(a), a.last_heartbeat_at, &a.machine);
        a_key.cmp(&(has_tasks(b), b.last_heartbeat_at, &b.machine))
    });
    let mut chosen = vec![];
    for candidate in candidates {
        if candidate.cores > 0.0 && candidate.cores > free_cores {
            break;
        }
        free_cores -= candidate.cores.max(0.0);
        chosen.push(candidate.machine);
    }
    chosen
}
