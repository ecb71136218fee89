//! Every set of directed links between four controllers, combined with every set of controllers
//! that reach the state service: 65,536 combinations, each constant over time. The leadership
//! settles in all of them, whichever controller leads first.

use glenhaven_connectivity::{HandoverPolicy, Host, LinkTable};
use glenhaven_time::Micros;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const AGENTS: [u32; 4] = [10, 12, 9, 11];

/// Whether `to` receives what `from` sends.
fn delivers(links: u32, from: usize, to: usize) -> bool {
    let column = if to > from { to - 1 } else { to };
    links >> (from * 3 + column) & 1 == 1
}

/// The tables of all controllers after some seconds of the same links.
fn tables(links: u32, state: u32, now: Micros) -> Vec<LinkTable> {
    let mut tables: Vec<LinkTable> = NAMES.iter().map(|n| LinkTable::new(n)).collect();
    for round in 0..4u64 {
        let t = Micros(now.0 - (3 - round) * 500_000);
        for (i, table) in tables.iter_mut().enumerate() {
            table.record_agents("z", AGENTS[i], t);
            if state >> i & 1 == 1 {
                table.record_answer(Host::State, None, t);
            } else {
                table.record_failure(Host::State, t);
            }
        }
        let observations: Vec<_> = tables.iter().map(|table| table.observations(t)).collect();
        for (i, table) in tables.iter_mut().enumerate() {
            for j in (0..4).filter(|j| *j != i) {
                if delivers(links, j, i) {
                    table.record_contact(NAMES[j], t);
                    table.record_observations(NAMES[j], &observations[j], t);
                }
                // An acknowledgement comes the other way.
                table.record_delivery(NAMES[j], delivers(links, i, j) && delivers(links, j, i), false);
            }
        }
    }
    tables
}

/// The controller that this leader hands over to if the links stay the same; `None` if it keeps the
/// leadership, `Some(None)` if it hands over without a target.
fn handover_target(policy: &mut HandoverPolicy, table: &LinkTable, now: Micros) -> Option<Option<usize>> {
    // The table shows the links at `now`; the reason has held for the three seconds before.
    let earlier = Micros(now.0 - 3_000_000);
    assert!(
        policy.decide(table, 3, || 42, Micros::ZERO, earlier).is_none(),
        "at once"
    );
    let handover = policy.decide(table, 3, || 42, Micros::ZERO, now)?;
    Some(handover.to.map(|to| NAMES.iter().position(|n| *n == to).unwrap()))
}

#[test]
fn leadership_settles() {
    let now = Micros::from_secs(20.0);
    let (mut unchanged, mut handovers) = (0u32, 0u32);
    for links in 0..1u32 << 12 {
        for state in 0..1u32 << 4 {
            let tables = tables(links, state, now);
            for first in 0..4 {
                let mut leader = first;
                let mut steps = 0;
                let mut policies = [(); 4].map(|_| HandoverPolicy::default());
                while let Some(to) = handover_target(&mut policies[leader], &tables[leader], now) {
                    handovers += 1;
                    steps += 1;
                    assert!(
                        steps <= 4,
                        "links {links:012b}, state {state:04b}: the leadership moves on from {} by {first}",
                        NAMES[leader]
                    );
                    let Some(to) = to else {
                        // Without a target, the controller with the lowest rank among those that
                        // reach the state service leads next; the previous leader comes last.
                        let able = |n: &usize| *n != leader && state >> n & 1 == 1;
                        let next = (0..4).filter(able).min_by_key(|n| (tables[*n].rank(now), *n));
                        match next {
                            Some(n) => leader = n,
                            None => break,
                        }
                        continue;
                    };
                    assert!(state >> to & 1 == 1, "handed over to one without the state service");
                    assert_ne!(to, leader);
                    leader = to;
                }
                unchanged += u32::from(steps == 0);
            }
        }
    }
    // Both must happen, or nothing was checked.
    assert!(
        unchanged > 10_000 && handovers > 10_000,
        "unchanged {unchanged}, handovers {handovers}"
    );
}
