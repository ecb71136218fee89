//! The times after which something is decided without a word from the other side, in one
//! place, each with its reason. They follow from the platform's settings or from what the
//! protocol says of workers and the cloud. None of them proves anything.

use crate::settings::Workers;
use crate::time::Micros;

/// A worker gives up an answer after 4 s and tries the next controller a second later
/// (protocol): after twice that, the second one it tries hears it.
pub const REHOME: Micros = Micros::from_millis(10_000);
/// A worker that was sent to a controller and can't reach it is back after these 5 s and
/// the half second that it may take to go there; the rest is for the network.
pub const COMES_BACK: Micros = Micros::from_millis(8_000);
/// A passed report waits this long for the leader. The worker waits 4 s: it is to have
/// an answer of this node's own well before.
pub const FORWARD: Micros = Micros::from_millis(1_500);
/// A type, zone and kind without capacity is asked for again after this long: capacity
/// shows only when it is asked for, and each try costs one of few calls.
pub const NO_CAPACITY: Micros = Micros::from_millis(8_000);
/// A machine on which tasks fail gets nothing new for this long: several boots, so that
/// it is replaced rather than waited for.
pub const QUARANTINED: Micros = Micros::from_millis(120_000);
/// A machine on which tasks fail is returned after this long, which is time for a job to
/// turn out to be the cause.
pub const FAULTY: Micros = Micros::from_millis(15_000);
/// A slow machine gets nothing new for this long, and is looked at again: about what a
/// boot and a task take, so that trying it again costs no more than replacing it.
pub const SLOW: Micros = Micros::from_millis(60_000);

/// A controller that was heard for less than this has just begun: it is not yet named to
/// workers, since one that keeps ending has just begun every time.
pub const SETTLED: Micros = Micros::from_millis(10_000);
/// A process that begins so soon after it last began keeps ending.
pub const KEEPS_ENDING: Micros = Micros::from_millis(10_000);
/// For so long it lets others take the lead first then.
pub const LEAVES_LEAD: Micros = Micros::from_millis(20_000);

/// A node says every two seconds which machines it keeps.
pub const KEPT_TOLD: Micros = Micros::from_millis(5_000);

/// Reports may come a quarter of their period late, and a message is now and then lost
/// and sent again: a machine that was not heard for three periods and this is silent.
const SLACK: Micros = Micros::from_millis(3_000);

/// Without a report for this long a machine is silent.
pub fn silent(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 3.0) + SLACK
}

/// Without a report for this long a report that was due did not come, neither here nor,
/// if its controller was lost, at the next one.
pub fn report_missed(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 1.25 + 1.5) + Micros(REHOME.0 / 2)
}

/// Without a report for this long a machine gets no new work: one that is well has
/// reported once more, even if one report was lost.
pub fn no_new_work(workers: &Workers) -> Micros {
    Micros::from_secs(workers.report_s * 2.0 + 1.0)
}

/// Work that is not known to be bound to spot machines is left on a silent machine until
/// its lease is about to end: it most likely runs on, and no sooner can it start again.
pub fn lease_ends(workers: &Workers) -> Micros {
    silent(workers).max(Micros::from_secs(workers.lease_s - 1.0))
}

/// How long a machine that only another node hears is left alone. Nothing new starts
/// there, so it is not kept for ever; in the time that a cancelled task may take to be
/// gone, every short cut is over.
pub fn kept(workers: &Workers) -> Micros {
    Micros::from_secs(workers.cancel_s)
}

/// How long a controller that workers could not reach is not named to others: until
/// every worker that was sent there is back, or has lost its lease and begun anew.
pub fn unreached(workers: &Workers) -> Micros {
    Micros::from_secs(workers.lease_s) + REHOME + REHOME
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
            assert!(no_new_work(&w) < silent(&w) && silent(&w) <= lease_ends(&w));
            assert!(kept(&w) > Micros::from_secs(lease_s) && unreached(&w) > Micros::from_secs(lease_s));
        }
    }
}
