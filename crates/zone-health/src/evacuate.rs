//! Which machines of a cut-off zone are released in step with the room there is
//! elsewhere.

use glenhaven_time::Micros;

/// A machine on the far side, with arrays only. Services stay until their lease
/// is about to end: they are of use until then, and a short cut leaves them as
/// they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Far<K> {
    pub machine: K,
    /// Cores that its tasks hold.
    pub cores: f64,
    /// When it was last heard.
    pub heard: Micros,
}

/// The machines to release now: no more than there is room for elsewhere, those
/// that hold nothing in any case, then the ones longest unheard, whose leases end
/// first.
pub fn in_step<K: Ord>(mut far: Vec<Far<K>>, mut room: f64) -> Vec<K> {
    far.sort_by(|a, b| {
        let empty = |f: &Far<K>| f.cores > 0.0;
        (empty(a), a.heard, &a.machine).cmp(&(empty(b), b.heard, &b.machine))
    });
    let mut chosen = vec![];
    for f in far {
        if f.cores > 0.0 && f.cores > room {
            break;
        }
        room -= f.cores.max(0.0);
        chosen.push(f.machine);
    }
    chosen
}
