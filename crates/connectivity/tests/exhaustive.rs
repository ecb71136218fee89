//! Every set of directed links between four controllers, with every set of them that
//! has the state service: 65,536 worlds, each held still. Whoever leads, the lead comes
//! to rest.

use glenhaven_connectivity::{HandoverPolicy, Host, LinkTable};
use glenhaven_time::Micros;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const WORKERS: [u32; 4] = [10, 12, 9, 11];

/// Whether `to` gets what `from` sends.
fn carries(links: u32, from: usize, to: usize) -> bool {
    let column = if to > from { to - 1 } else { to };
    links >> (from * 3 + column) & 1 == 1
}

/// The pictures of all after some seconds of the same links.
fn pictures(links: u32, state: u32, now: Micros) -> Vec<LinkTable> {
    let mut pictures: Vec<LinkTable> = NAMES.iter().map(|n| LinkTable::new(n)).collect();
    for round in 0..4u64 {
        let t = Micros(now.0 - (3 - round) * 500_000);
        for (i, p) in pictures.iter_mut().enumerate() {
            p.record_agents("z", WORKERS[i], t);
            if state >> i & 1 == 1 {
                p.record_answer(Host::State, None, t);
            } else {
                p.record_failure(Host::State, t);
            }
        }
        let told: Vec<_> = pictures.iter().map(|p| p.observations(t)).collect();
        for (i, p) in pictures.iter_mut().enumerate() {
            for j in (0..4).filter(|j| *j != i) {
                if carries(links, j, i) {
                    p.record_contact(NAMES[j], t);
                    p.record_observations(NAMES[j], &told[j], t);
                }
                // An acknowledgement comes the other way.
                p.record_delivery(NAMES[j], carries(links, i, j) && carries(links, j, i), false);
            }
        }
    }
    pictures
}

/// Whom this leader gives the lead to if nothing changes: `None` if it keeps it.
fn gives(lead: &mut HandoverPolicy, link_table: &LinkTable, now: Micros) -> Option<Option<usize>> {
    // The picture is of now; the reason has held since three seconds ago.
    let earlier = Micros(now.0 - 3_000_000);
    assert!(
        lead.decide(link_table, 3, || 42, Micros::ZERO, earlier).is_none(),
        "at once"
    );
    let handover = lead.decide(link_table, 3, || 42, Micros::ZERO, now)?;
    Some(handover.to.map(|to| NAMES.iter().position(|n| *n == to).unwrap()))
}

#[test]
fn the_lead_comes_to_rest() {
    let now = Micros::from_secs(20.0);
    let (mut kept, mut given) = (0u32, 0u32);
    for links in 0..1u32 << 12 {
        for state in 0..1u32 << 4 {
            let pictures = pictures(links, state, now);
            for first in 0..4 {
                let mut leader = first;
                let mut steps = 0;
                let mut leads = [(); 4].map(|_| HandoverPolicy::default());
                while let Some(to) = gives(&mut leads[leader], &pictures[leader], now) {
                    given += 1;
                    steps += 1;
                    assert!(
                        steps <= 4,
                        "links {links:012b}, state {state:04b}: the lead goes on from {} by {first}",
                        NAMES[leader]
                    );
                    let Some(to) = to else {
                        // To nobody in particular: whoever has the state service and
                        // the lowest rank takes it, with the one that gave it last.
                        let able = |n: &usize| *n != leader && state >> n & 1 == 1;
                        let next = (0..4).filter(able).min_by_key(|n| (pictures[*n].rank(now), *n));
                        match next {
                            Some(n) => leader = n,
                            None => break,
                        }
                        continue;
                    };
                    assert!(state >> to & 1 == 1, "given to one without the state service");
                    assert_ne!(to, leader);
                    leader = to;
                }
                kept += u32::from(steps == 0);
            }
        }
    }
    // Both must happen, or nothing was checked.
    assert!(kept > 10_000 && given > 10_000, "kept {kept}, given {given}");
}
