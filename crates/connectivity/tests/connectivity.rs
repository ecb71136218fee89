//! Properties of routes, ranks and handovers over many combinations of links.

use glenhaven_connectivity::{Backoff, HandoverPolicy, HandoverReason, Host, LinkState, LinkTable, Route};
use glenhaven_time::Micros;
use proptest::prelude::*;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn at(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// Which controllers receive each other's messages, which of them reach the state service, and how
/// many agents send their heartbeats to each.
#[derive(Clone, Debug)]
struct Topology {
    receives: Vec<Vec<bool>>,
    state: Vec<bool>,
    agents: Vec<u32>,
}

impl Topology {
    fn all(agents: u32) -> Topology {
        Topology {
            receives: vec![vec![true; 5]; 5],
            state: vec![true; 5],
            agents: vec![agents; 5],
        }
    }

    /// The tables of all controllers after some seconds of these links.
    fn tables(&self, until: f64) -> Vec<LinkTable> {
        let mut tables: Vec<LinkTable> = NAMES.iter().map(|n| LinkTable::new(n)).collect();
        let mut now = 0.5;
        while now <= until {
            let t = at(now);
            for (i, table) in tables.iter_mut().enumerate() {
                table.record_agents("z", self.agents[i], t);
                if self.state[i] {
                    table.record_answer(Host::State, Some(Micros::from_millis(5)), t);
                } else {
                    table.record_failure(Host::State, t);
                }
            }
            let observations: Vec<_> = tables.iter().map(|table| table.observations(t)).collect();
            for (i, table) in tables.iter_mut().enumerate() {
                for j in (0..5).filter(|j| *j != i) {
                    // i receives what j sends; what i sends arrives where j receives it.
                    if self.receives[i][j] {
                        table.record_contact(NAMES[j], t);
                        table.record_observations(NAMES[j], &observations[j], t);
                    }
                    table.record_delivery(NAMES[j], self.receives[j][i] && self.receives[i][j], false);
                }
            }
            now += 0.5;
        }
        tables
    }
}

fn topologies() -> impl Strategy<Value = Topology> {
    let row = prop::collection::vec(prop::bool::weighted(0.7), 5);
    let receives = prop::collection::vec(row, 5);
    let state = prop::collection::vec(prop::bool::weighted(0.7), 5);
    let agents = prop::collection::vec(0u32..300, 5);
    (receives, state, agents).prop_map(|(receives, state, agents)| Topology {
        receives,
        state,
        agents,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// Requests are only routed through controllers that are reached in both directions and reach
    /// the service themselves, and such a controller is found if there is one.
    #[test]
    fn routes_are_one_hop_and_work(topology in topologies()) {
        let now = at(6.0);
        for (i, table) in topology.tables(6.0).iter().enumerate() {
            let good = |j: usize| j != i && topology.receives[i][j] && topology.receives[j][i] && topology.state[j];
            match table.route(&Host::State, now) {
                Route::Direct => prop_assert!(topology.state[i]),
                Route::Via(name) => {
                    let j = NAMES.iter().position(|n| *n == name).unwrap();
                    prop_assert!(!topology.state[i] && good(j));
                }
                Route::Nowhere => prop_assert!(!topology.state[i] && !(0..5).any(good)),
            }
        }
    }

    /// Controllers with the same observations agree: if all controllers receive each other's
    /// messages, exactly one ranks first, and it reaches the state service if any does.
    #[test]
    fn exactly_one_controller_ranks_first(mut topology in topologies()) {
        topology.receives = vec![vec![true; 5]; 5];
        let now = at(6.0);
        let tables = topology.tables(6.0);
        let first: Vec<usize> = (0..5).filter(|i| tables[*i].rank(now) == 0).collect();
        prop_assert_eq!(first.len(), 1);
        prop_assert!(topology.state[first[0]] || topology.state.iter().all(|s| !s));
    }

    /// However links change, one controller gives up the leadership at most twice a minute.
    #[test]
    fn handovers_are_few(topologies in prop::collection::vec(topologies(), 1..12)) {
        let mut policy = HandoverPolicy::default();
        let mut handovers = vec![];
        for second in 0..240u64 {
            let topology = &topologies[(second / 8) as usize % topologies.len()];
            let now = at(second as f64 + 20.0);
            let mut table = LinkTable::new("a");
            for host in NAMES.iter().skip(1).filter(|_| topology.receives[0][1]) {
                table.record_contact(host, now);
            }
            table.record_answer(Host::State, None, now);
            for (j, name) in NAMES.iter().enumerate().skip(1) {
                table.record_delivery(name, topology.receives[j][0], false);
                if topology.receives[0][j] {
                    table.record_contact(name, now);
                }
            }
            if policy.decide(&table, 4, || 100, Micros::ZERO, now).is_some() {
                handovers.push(now);
            }
        }
        for pair in handovers.windows(3) {
            prop_assert!(pair[2].since(pair[0]) > at(59.0), "{handovers:?}");
        }
    }

    /// A faulty clock can only make observations look old.
    #[test]
    fn ages_are_never_negative(age in 0u32..u32::MAX, now in 1.0f64..100.0) {
        let mut table = LinkTable::new("a");
        let mut observations = LinkTable::new("b").observations(at(now));
        observations.push(glenhaven_connectivity::LinkObservation { host: Host::State, state: LinkState::Up, age_ms: age, agent_count: u32::MAX });
        table.record_contact("b", at(now));
        table.record_delivery("b", true, false);
        table.record_observations("b", &observations, at(now));
        table.record_failure(Host::State, at(now - 1.0));
        table.record_failure(Host::State, at(now - 0.5));
        table.record_failure(Host::State, at(now - 0.2));
        // Whatever age is reported, the report is out of date once messages stop arriving.
        let later = at(now + 1.7);
        prop_assert_eq!(table.route(&Host::State, later), Route::Nowhere);
        prop_assert_eq!(table.link_state("b", &Host::State, later), LinkState::Unknown);
    }

    #[test]
    fn pauses_stay_between_their_bounds(first in 1u64..2000, longest in 1u64..60_000, tries in 1usize..80, random in 0.0f64..1.0) {
        let mut backoff = Backoff::new(Micros::from_millis(first), Micros::from_millis(longest));
        for _ in 0..tries {
            let pause = backoff.next_pause(random);
            prop_assert!(pause <= Micros::from_millis(longest));
            prop_assert!(pause >= Micros::from_millis(first.min(longest) / 2));
        }
    }
}

#[test]
fn a_leader_whose_messages_are_lost_hands_over() {
    let mut topology = Topology::all(40);
    for j in 1..5 {
        // What a sends does not arrive; it receives what all others send.
        topology.receives[j][0] = false;
    }
    let now = at(10.0);
    let table = &topology.tables(10.0)[0];
    assert_eq!(
        table.link_state("a", &Host::Node("b".into()), now),
        LinkState::Unidirectional
    );
    let mut policy = HandoverPolicy::default();
    let began = at(0.0);
    assert_eq!(
        policy.decide(table, 4, || 200, began, now),
        None,
        "not before it has held"
    );
    let found = policy
        .decide(&topology.tables(14.0)[0], 4, || 200, began, at(14.0))
        .unwrap();
    assert_eq!(
        (found.to.as_deref(), found.reason),
        (Some("b"), HandoverReason::ReachesLess)
    );
}

#[test]
fn an_isolated_leader_hands_over_unless_agents_connect() {
    let mut topology = Topology::all(0);
    topology.agents[0] = 30;
    topology.receives[0] = vec![false; 5];
    for row in &mut topology.receives {
        row[0] = false;
    }
    let table = topology.tables(10.0)[0].clone();
    let mut policy = HandoverPolicy::default();
    assert_eq!(policy.decide(&table, 4, || 40, Micros::ZERO, at(10.0)), None);
    assert_eq!(
        policy.decide(&table, 4, || 40, Micros::ZERO, at(14.0)),
        None,
        "most agents connect to it"
    );
    assert_eq!(policy.decide(&table, 4, || 100, Micros::ZERO, at(14.0)), None);
    let found = policy.decide(&table, 4, || 100, Micros::ZERO, at(18.0)).unwrap();
    assert_eq!((found.to, found.reason), (None, HandoverReason::Isolated));
    assert!(policy.handed_over_recently(at(19.0)) && !policy.handed_over_recently(at(25.0)));
}

#[test]
fn a_flapping_link_is_not_used() {
    let mut table = LinkTable::new("a");
    table.record_answer(Host::State, None, at(1.0));
    for ms in [1200, 1400, 1700] {
        table.record_failure(Host::State, Micros::from_millis(ms));
    }
    assert_eq!(table.own_link(&Host::State, at(1.8)), LinkState::Down);
    table.record_answer(Host::State, None, at(2.0));
    assert!(table.is_recovering(&Host::State));
    assert_eq!(
        table.own_link(&Host::State, at(2.0)),
        LinkState::Down,
        "one answer is not enough"
    );
    table.record_failure(Host::State, at(2.4));
    table.record_answer(Host::State, None, at(2.8));
    table.record_answer(Host::State, None, at(3.2));
    assert_eq!(table.own_link(&Host::State, at(3.2)), LinkState::Down);
    table.record_answer(Host::State, None, at(3.6));
    assert_eq!(table.own_link(&Host::State, at(3.6)), LinkState::Up);
}
