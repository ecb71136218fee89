//! The timeouts after which a controller acts without a message from the other side, each with its
//! reason.
//!
//! The timeouts follow from the platform's settings or from the protocol's rules for agents and the
//! cloud.
//!
//! Invariant: a timeout proves nothing; a placement, a machine or a term is never given up because
//! of elapsed time alone.

use crate::settings::AgentTimes;
use crate::time::Micros;

/// The time within which an agent fails over to another controller. By the protocol, an agent gives
/// up on an answer after 4 s and tries the next controller 1 s later; after twice that time, the
/// second controller it tries has received its heartbeat.
pub const AGENT_FAILOVER: Micros = Micros::from_millis(10_000);
/// The time within which an agent that was redirected to a controller it can't reach returns: 5 s
/// for the failed attempt, up to 0.5 s until the agent makes it, and the rest for the network.
pub const REDIRECT_RETURN: Micros = Micros::from_millis(8_000);
/// How long a forwarded heartbeat waits for the leader's answer. The agent waits 4 s and must get an
/// answer from this controller itself well before that.
pub const HEARTBEAT_FORWARD_TIMEOUT: Micros = Micros::from_millis(1_500);
/// The time after which a machine type, zone and kind (spot or on demand) without capacity is
/// requested again. Only a request shows whether there is capacity, and each retry uses one of the
/// few calls that the cloud accepts.
pub const CAPACITY_RETRY: Micros = Micros::from_millis(8_000);
/// How long a machine on which tasks fail stays in quarantine: several boot times, so that the
/// machine is replaced rather than waited for.
pub const QUARANTINE: Micros = Micros::from_millis(120_000);
/// How long a machine is in quarantine before it is released. Within this time, failures on other
/// machines show whether a job, rather than the machine, is the cause.
pub const QUARANTINE_RELEASE: Micros = Micros::from_millis(15_000);
/// How long a slow machine gets no new tasks before it is tried again: about the time of a boot and
/// a task, so that another attempt costs no more than a replacement.
pub const SLOW_MACHINE_PAUSE: Micros = Micros::from_millis(60_000);

/// How long a controller must have been running before agents are redirected to it. This excludes a
/// controller that restarts repeatedly, which never runs for this long.
pub const CONTROLLER_SETTLED: Micros = Micros::from_millis(10_000);
/// A process that starts within this time of its previous start counts as restarting repeatedly.
pub const CRASH_LOOP_WINDOW: Micros = Micros::from_millis(10_000);
/// How long a process that restarts repeatedly leaves the leadership to other controllers.
pub const CRASH_LOOP_DEFERENCE: Micros = Micros::from_millis(20_000);

/// How long a controller's announcement that it answers a machine's heartbeats is valid. The
/// announcement is repeated every 2 s.
pub const PROXY_ANNOUNCEMENT_VALIDITY: Micros = Micros::from_millis(5_000);

/// The time beyond three heartbeat periods after which a machine is silent. A heartbeat may be a
/// quarter of its period late, and a message is sometimes lost and sent again.
const HEARTBEAT_SLACK: Micros = Micros::from_millis(3_000);

/// The time without a heartbeat after which a machine is silent.
pub fn silence_timeout(workers: &AgentTimes) -> Micros {
    Micros::from_secs(workers.report_s * 3.0) + HEARTBEAT_SLACK
}

/// The time without a heartbeat after which a due heartbeat counts as missed: by then it would have
/// arrived here, or at the next controller if the agent's controller had failed.
pub fn missed_heartbeat_timeout(workers: &AgentTimes) -> Micros {
    Micros::from_secs(workers.report_s * 1.25 + 1.5) + Micros(AGENT_FAILOVER.0 / 2)
}

/// The time without a heartbeat after which a machine gets no new work. A healthy machine has sent
/// another heartbeat by then, even if one was lost.
pub fn no_new_work_timeout(workers: &AgentTimes) -> Micros {
    Micros::from_secs(workers.report_s * 2.0 + 1.0)
}

/// The time without a heartbeat after which a silent machine's lease is about to end. Work that is
/// not known to be on a spot machine is left there until then: it most likely still runs, and could
/// not start elsewhere any sooner.
pub fn lease_end_timeout(workers: &AgentTimes) -> Micros {
    silence_timeout(workers).max(Micros::from_secs(workers.lease_s - 1.0))
}

/// How long a machine is kept while only another controller receives its heartbeats. Nothing new
/// starts on such a machine, so it is not kept indefinitely. The time within which a cancelled task
/// must end, `cancel_s`, is longer than any short partition.
pub fn proxied_machine_timeout(workers: &AgentTimes) -> Micros {
    Micros::from_secs(workers.cancel_s)
}

/// How long agents are not redirected to a controller that agents could not reach: until every agent
/// that was redirected there has returned, or has lost its lease and restarted.
pub fn unreachable_controller_timeout(workers: &AgentTimes) -> Micros {
    Micros::from_secs(workers.lease_s) + AGENT_FAILOVER + AGENT_FAILOVER
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_keep_their_order() {
        for (report_s, lease_s, cancel_s) in [
            (8.0, 36.0, 56.0),
            (1.5, 10.0, 40.0),
            (0.5, 1.0, 2.0),
            (30.0, 38.0, 39.0),
        ] {
            let w = AgentTimes {
                report_s,
                lease_s,
                cancel_s,
            };
            assert!(no_new_work_timeout(&w) < silence_timeout(&w) && silence_timeout(&w) <= lease_end_timeout(&w));
            assert!(
                proxied_machine_timeout(&w) > Micros::from_secs(lease_s)
                    && unreachable_controller_timeout(&w) > Micros::from_secs(lease_s)
            );
        }
    }
}
