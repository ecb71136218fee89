//! The timeouts after which something is decided without a message from the other side, in one
//! place, each with its reason.
//!
//! They follow from the platform's settings or from what the protocol says of agents and the cloud.
//! None of them proves anything: a placement, a machine or a term is never given up by time alone.

use crate::settings::Workers;
use crate::time::Micros;

/// An agent gives up on an answer after 4 s and tries the next controller a second later
/// (protocol): after twice that, the second one it tries has received its heartbeat.
pub const AGENT_FAILOVER: Micros = Micros::from_millis(10_000);
/// An agent that was redirected to a controller it can't reach is back after these 5 s and the half
/// second that it may take to try; the rest is for the network.
pub const REDIRECT_RETURN: Micros = Micros::from_millis(8_000);
/// A forwarded heartbeat waits this long for the leader's answer. The agent waits 4 s: it is to have
/// an answer of this controller's own well before.
pub const HEARTBEAT_FORWARD: Micros = Micros::from_millis(1_500);
/// A type, zone and kind without capacity is asked for again after this long: capacity shows only
/// when it is asked for, and each retry costs one of few calls.
pub const CAPACITY_RETRY: Micros = Micros::from_millis(8_000);
/// A machine on which tasks fail is in quarantine for this long: several boot times, so that it is
/// replaced rather than waited for.
pub const QUARANTINE: Micros = Micros::from_millis(120_000);
/// A machine in quarantine is released after this long, which is time for a job to turn out to be
/// the cause.
pub const QUARANTINE_RELEASE: Micros = Micros::from_millis(15_000);
/// A slow machine gets nothing new for this long and is then tried again: about what a boot and a
/// task take, so that trying it again costs no more than replacing it.
pub const SLOW_MACHINE: Micros = Micros::from_millis(60_000);

/// A controller known for less than this has just started: agents are not redirected to it yet,
/// since one that crashes repeatedly has always just started.
pub const CONTROLLER_SETTLED: Micros = Micros::from_millis(10_000);
/// A process that starts so soon after its last start crashes repeatedly.
pub const CRASH_LOOP: Micros = Micros::from_millis(10_000);
/// For this long, a process that crashes repeatedly lets others take the lead first.
pub const CRASH_LOOP_DEFERENCE: Micros = Micros::from_millis(20_000);

/// A controller's word that it answers a machine's heartbeats counts for this long; it repeats it
/// every two seconds.
pub const PROXY_ANNOUNCEMENT: Micros = Micros::from_millis(5_000);

/// Heartbeats may be a quarter of their period late, and a message is now and then lost and sent
/// again: a machine without one for three periods and this is silent.
const HEARTBEAT_SLACK: Micros = Micros::from_millis(3_000);

/// A machine without a heartbeat for this long is silent.
pub fn silent(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 3.0) + HEARTBEAT_SLACK
}

/// After this long without a heartbeat, one that was due did not arrive, neither here nor, if its
/// controller failed, at the next one.
pub fn heartbeat_missed(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 1.25 + 1.5) + Micros(AGENT_FAILOVER.0 / 2)
}

/// A machine without a heartbeat for this long gets no new work: a healthy one has sent one more,
/// even if one was lost.
pub fn no_new_work(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 2.0 + 1.0)
}

/// Work that is not known to be bound to spot machines is left on a silent machine until its lease
/// is about to end: it most likely still runs, and can't start elsewhere any sooner.
pub fn lease_end(workers: &Workers) -> Micros {
    silent(workers).max(Micros::from_secs(workers.lease_s - 1.0))
}

/// How long a machine whose heartbeats only another controller receives is left alone. Nothing new
/// starts there, so it is not kept for ever; every short partition is over within the time that a
/// cancelled task may take to be gone.
pub fn proxied_machine(workers: &Workers) -> Micros {
    Micros::from_secs(workers.cancel_s)
}

/// How long agents are not redirected to a controller that agents could not reach: until every one
/// that was redirected there is back, or has lost its lease and restarted.
pub fn unreachable_controller(workers: &Workers) -> Micros {
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
            let w = Workers {
                report_s,
                lease_s,
                cancel_s,
            };
            assert!(no_new_work(&w) < silent(&w) && silent(&w) <= lease_end(&w));
            assert!(
                proxied_machine(&w) > Micros::from_secs(lease_s)
                    && unreachable_controller(&w) > Micros::from_secs(lease_s)
            );
        }
    }
}
