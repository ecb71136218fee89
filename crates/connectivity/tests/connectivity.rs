//! What follows from a picture of links, over many pictures.

use glenhaven_connectivity::{Backoff, HandoverPolicy, HandoverReason, Host, LinkState, LinkTable, Route};
use glenhaven_time::Micros;
use proptest::prelude::*;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn at(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// Who hears whom, who has the state service, and how many workers report to each.
#[derive(Clone, Debug)]
struct World {
    hears: Vec<Vec<bool>>,
    state: Vec<bool>,
    workers: Vec<u32>,
}

impl World {
    fn all(workers: u32) -> World {
        World {
            hears: vec![vec![true; 5]; 5],
            state: vec![true; 5],
            workers: vec![workers; 5],
        }
    }

    /// Plays the signs of some seconds into the pictures of all.
    fn pictures(&self, until: f64) -> Vec<LinkTable> {
        let mut pictures: Vec<LinkTable> = NAMES.iter().map(|n| LinkTable::new(n)).collect();
        let mut now = 0.5;
        while now <= until {
            let t = at(now);
            for (i, p) in pictures.iter_mut().enumerate() {
                p.record_agents("z", self.workers[i], t);
                if self.state[i] {
                    p.record_answer(Host::State, Some(Micros::from_millis(5)), t);
                } else {
                    p.record_failure(Host::State, t);
                }
            }
            let told: Vec<_> = pictures.iter().map(|p| p.observations(t)).collect();
            for (i, link_table) in pictures.iter_mut().enumerate() {
                for j in (0..5).filter(|j| *j != i) {
                    // i hears j; what i sends arrives where j hears i.
                    if self.hears[i][j] {
                        link_table.record_contact(NAMES[j], t);
                        link_table.record_observations(NAMES[j], &told[j], t);
                    }
                    link_table.record_delivery(NAMES[j], self.hears[j][i] && self.hears[i][j], false);
                }
            }
            now += 0.5;
        }
        pictures
    }
}

fn worlds() -> impl Strategy<Value = World> {
    let row = prop::collection::vec(prop::bool::weighted(0.7), 5);
    let hears = prop::collection::vec(row, 5);
    let state = prop::collection::vec(prop::bool::weighted(0.7), 5);
    let workers = prop::collection::vec(0u32..300, 5);
    (hears, state, workers).prop_map(|(hears, state, workers)| World { hears, state, workers })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// Nobody is asked by way of a controller that is not reached both ways or that
    /// has no way itself, and somebody is found where there is one.
    #[test]
    fn ways_are_one_hop_and_work(world in worlds()) {
        let now = at(6.0);
        for (i, p) in world.pictures(6.0).iter().enumerate() {
            let good = |j: usize| j != i && world.hears[i][j] && world.hears[j][i] && world.state[j];
            match p.route(&Host::State, now) {
                Route::Direct => prop_assert!(world.state[i]),
                Route::Via(name) => {
                    let j = NAMES.iter().position(|n| *n == name).unwrap();
                    prop_assert!(!world.state[i] && good(j));
                }
                Route::Nowhere => prop_assert!(!world.state[i] && !(0..5).any(good)),
            }
        }
    }

    /// All that see the same choose the same: where everybody hears everybody, exactly
    /// one comes first, and it has the state service if any has.
    #[test]
    fn one_comes_first(mut world in worlds()) {
        world.hears = vec![vec![true; 5]; 5];
        let now = at(6.0);
        let pictures = world.pictures(6.0);
        let first: Vec<usize> = (0..5).filter(|i| pictures[*i].rank(now) == 0).collect();
        prop_assert_eq!(first.len(), 1);
        prop_assert!(world.state[first[0]] || world.state.iter().all(|s| !s));
    }

    /// However links change, one controller gives up the lead at most twice a minute.
    #[test]
    fn handovers_are_few(worlds in prop::collection::vec(worlds(), 1..12)) {
        let mut lead = HandoverPolicy::default();
        let mut given = vec![];
        for second in 0..240u64 {
            let world = &worlds[(second / 8) as usize % worlds.len()];
            let now = at(second as f64 + 20.0);
            let mut link_table = LinkTable::new("a");
            for host in NAMES.iter().skip(1).filter(|_| world.hears[0][1]) {
                link_table.record_contact(host, now);
            }
            link_table.record_answer(Host::State, None, now);
            for (j, name) in NAMES.iter().enumerate().skip(1) {
                link_table.record_delivery(name, world.hears[j][0], false);
                if world.hears[0][j] {
                    link_table.record_contact(name, now);
                }
            }
            if lead.decide(&link_table, 4, || 100, Micros::ZERO, now).is_some() {
                given.push(now);
            }
        }
        for pair in given.windows(3) {
            prop_assert!(pair[2].since(pair[0]) > at(59.0), "{given:?}");
        }
    }

    /// A clock that runs wild makes news look old at most.
    #[test]
    fn ages_are_never_negative(age in 0u32..u32::MAX, now in 1.0f64..100.0) {
        let mut p = LinkTable::new("a");
        let mut cells = LinkTable::new("b").observations(at(now));
        cells.push(glenhaven_connectivity::LinkObservation { host: Host::State, state: LinkState::Up, age_ms: age, agent_count: u32::MAX });
        p.record_contact("b", at(now));
        p.record_delivery("b", true, false);
        p.record_observations("b", &cells, at(now));
        p.record_failure(Host::State, at(now - 1.0));
        p.record_failure(Host::State, at(now - 0.5));
        p.record_failure(Host::State, at(now - 0.2));
        // Whatever it says, it is believed for no longer than it is heard.
        let later = at(now + 1.7);
        prop_assert_eq!(p.route(&Host::State, later), Route::Nowhere);
        prop_assert_eq!(p.link_state("b", &Host::State, later), LinkState::Unknown);
    }

    #[test]
    fn pauses_stay_between_their_bounds(first in 1u64..2000, most in 1u64..60_000, tries in 1usize..80, luck in 0.0f64..1.0) {
        let mut b = Backoff::new(Micros::from_millis(first), Micros::from_millis(most));
        for _ in 0..tries {
            let pause = b.next_pause(luck);
            prop_assert!(pause <= Micros::from_millis(most));
            prop_assert!(pause >= Micros::from_millis(first.min(most) / 2));
        }
    }
}

#[test]
fn a_leader_that_nobody_hears_back_hands_over() {
    let mut world = World::all(40);
    for j in 1..5 {
        // What a sends does not arrive; it hears all others.
        world.hears[j][0] = false;
    }
    let now = at(10.0);
    let link_table = &world.pictures(10.0)[0];
    assert_eq!(
        link_table.link_state("a", &Host::Node("b".into()), now),
        LinkState::Unidirectional
    );
    let mut lead = HandoverPolicy::default();
    let began = at(0.0);
    assert_eq!(
        lead.decide(link_table, 4, || 200, began, now),
        None,
        "not before it has held"
    );
    let found = lead
        .decide(&world.pictures(14.0)[0], 4, || 200, began, at(14.0))
        .unwrap();
    assert_eq!(
        (found.to.as_deref(), found.reason),
        (Some("b"), HandoverReason::ReachesLess)
    );
}

#[test]
fn a_leader_that_is_alone_gives_up_unless_workers_come() {
    let mut world = World::all(0);
    world.workers[0] = 30;
    world.hears[0] = vec![false; 5];
    for row in &mut world.hears {
        row[0] = false;
    }
    let link_table = world.pictures(10.0)[0].clone();
    let mut lead = HandoverPolicy::default();
    assert_eq!(lead.decide(&link_table, 4, || 40, Micros::ZERO, at(10.0)), None);
    assert_eq!(
        lead.decide(&link_table, 4, || 40, Micros::ZERO, at(14.0)),
        None,
        "most of its workers come here"
    );
    assert_eq!(lead.decide(&link_table, 4, || 100, Micros::ZERO, at(14.0)), None);
    let found = lead.decide(&link_table, 4, || 100, Micros::ZERO, at(18.0)).unwrap();
    assert_eq!((found.to, found.reason), (None, HandoverReason::Isolated));
    assert!(lead.gave_up_recently(at(19.0)) && !lead.gave_up_recently(at(25.0)));
}

#[test]
fn a_link_that_flaps_is_not_relied_on() {
    let mut p = LinkTable::new("a");
    p.record_answer(Host::State, None, at(1.0));
    for ms in [1200, 1400, 1700] {
        p.record_failure(Host::State, Micros::from_millis(ms));
    }
    assert_eq!(p.own_link(&Host::State, at(1.8)), LinkState::Down);
    p.record_answer(Host::State, None, at(2.0));
    assert!(p.is_recovering(&Host::State));
    assert_eq!(
        p.own_link(&Host::State, at(2.0)),
        LinkState::Down,
        "one answer is not enough"
    );
    p.record_failure(Host::State, at(2.4));
    p.record_answer(Host::State, None, at(2.8));
    p.record_answer(Host::State, None, at(3.2));
    assert_eq!(p.own_link(&Host::State, at(3.2)), LinkState::Down);
    p.record_answer(Host::State, None, at(3.6));
    assert_eq!(p.own_link(&Host::State, at(3.6)), LinkState::Up);
}
