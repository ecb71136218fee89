//! A picture of links, not of hosts.
//!
//! Most trouble begins between machines: a controller reaches the workers but not
//! the state service, two controllers hear each other by way of a third only. No
//! host is at fault then, so nothing is said of hosts here. Each controller notes
//! what it sees of its own links ([`LinkTable::answered`], [`LinkTable::failed`],
//! [`LinkTable::heard`]), tells the others in the messages that they exchange anyway
//! ([`LinkTable::tell`]), and puts together what all of them tell ([`LinkTable::link`]).
//!
//! Two decisions follow: by way of whom to ask what cannot be asked directly
//! ([`LinkTable::way`]), and which of the controllers should lead ([`LinkTable::reach`],
//! [`Lead`]). They steer service only. Nothing here is proof of anything: no host is
//! taken for dead, no condition or fence is left out, because of a picture.
//!
//! The crate is pure: signs and the time go in, decisions come out. What others tell
//! is dated by their own steady clocks, as ages; a clock that runs wild can make its
//! news look old, never newer than the message that brought them.
//!
//! ```
//! use glenhaven_connectivity::{Host, LinkTable, LinkState, Route};
//! use glenhaven_time::Micros;
//!
//! let at = Micros::from_secs;
//! let mut me = LinkTable::new("a");
//! let mut b = LinkTable::new("b");
//! b.answered(Host::State, None, at(10.9));
//! me.heard("b", at(11.0));
//! me.sends("b", true, false);
//! me.told("b", &b.tell(at(11.0)), at(11.0));
//! // Nothing comes back from the state service here, but there it does.
//! me.answered(Host::State, None, at(10.0));
//! for ms in [10_200, 10_400, 10_950] {
//!     me.failed(Host::State, Micros::from_millis(ms));
//! }
//! assert_eq!(me.link("a", &Host::State, at(11.1)), LinkState::Down);
//! assert_eq!(me.way(&Host::State, at(11.1)), Route::By("b".into()));
//! ```
#![forbid(unsafe_code)]

mod handover;
mod retries;

pub use handover::{Handover, Lead, Reach, Why};
pub use retries::Backoff;

use bitcode::{Decode, Encode};
use glenhaven_time::Micros;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A controller says that it is alive several times in this span; after it, it
/// counts as not heard, and what it told as out of date.
const HEARD: Micros = Micros::from_millis(1600);
/// Failures without an answer for this long make a link that is down. A service that
/// answers slowly now and then answers something in between; one that is taken for
/// down by mistake is asked by way of another controller, which does no harm.
const DOWN_AFTER: Micros = Micros::from_millis(350);
/// Fewer failures say nothing.
const FAILURES: u32 = 3;
/// Answers in a row after which a link that was down is used again.
const GOOD_AGAIN: u32 = 3;
/// Answers that take this long on average make a slow link.
const SLOW: Micros = Micros::from_millis(250);
/// The oldest age that is told; what is older says nothing more.
const OLDEST: Micros = Micros::from_millis(60_000);
/// Links that one message tells of at the most.
const CELLS: usize = 64;

/// What a controller may reach.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Host {
    State,
    Cloud,
    /// Another controller, by its name.
    Node(String),
    /// The workers of a zone, by its name.
    Workers(String),
}

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LinkState {
    /// Nothing is known, or nothing of late.
    Unknown,
    /// Nothing comes back.
    Down,
    /// One direction works: the host is heard but does not hear, or the reverse.
    OneWay,
    /// Answers come, and take long.
    Slow,
    Up,
}

impl LinkState {
    /// Whether something can be asked there and be answered.
    pub fn serves(self) -> bool {
        matches!(self, LinkState::Slow | LinkState::Up)
    }
}

/// What one controller tells of one of its links.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LinkObservation {
    pub host: Host,
    pub sure: LinkState,
    /// How long ago, by the teller's clock, the host was last heard, in milliseconds.
    pub age_ms: u32,
    /// Of workers: how many report to the teller.
    pub count: u32,
}

/// How something is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    Direct,
    /// By way of this controller.
    By(String),
    /// Neither this controller nor one that it reaches has a way there.
    Nowhere,
}

/// What this controller saw of one of its own links.
#[derive(Clone, Copy, Debug, Default)]
struct LinkHistory {
    /// When it last answered, or was last heard.
    good: Option<Micros>,
    /// Failures since then, and when the first of them was.
    failures: u32,
    failing: Option<Micros>,
    /// Answers in a row since the last failure.
    again: u32,
    /// How long answers take, decayed.
    took: Micros,
    /// Of a controller: whether what is sent there is taken in, if known.
    sends: Option<bool>,
    /// It refuses connections: its host is there.
    refuses: bool,
    count: u32,
}

/// What another controller told.
#[derive(Clone, Debug, Default)]
struct Row {
    at: Micros,
    cells: BTreeMap<Host, (LinkState, Micros, u32)>,
}

/// The links as one controller knows them.
#[derive(Clone, Debug)]
pub struct LinkTable {
    me: String,
    own: BTreeMap<Host, LinkHistory>,
    rows: BTreeMap<String, Row>,
}

impl LinkTable {
    /// The picture of the controller with this name, with nothing in it.
    pub fn new(me: &str) -> LinkTable {
        LinkTable {
            me: me.to_string(),
            own: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    /// The host answered something that was
    /// asked `took` ago, if that tells anything (a watch waits by itself). A link that
    /// was down is told to be up again only after a few answers in a row: others do not
    /// rely on one that flaps.
    pub fn answered(&mut self, host: Host, took: Option<Micros>, now: Micros) {
        let was_down = self.own(&host, now) == LinkState::Down;
        let sight = self.own.entry(host).or_default();
        if let Some(took) = took {
            sight.took = Micros((sight.took.0 * 3 + took.0) / 4);
        }
        sight.again = if was_down { sight.again + 1 } else { GOOD_AGAIN };
        if sight.again >= GOOD_AGAIN {
            sight.good = Some(now);
            sight.failures = 0;
            sight.failing = None;
        }
    }

    /// Nothing came back, or nothing but a refusal.
    pub fn failed(&mut self, host: Host, now: Micros) {
        let sight = self.own.entry(host).or_default();
        sight.failures = sight.failures.saturating_add(1);
        sight.failing.get_or_insert(now);
        sight.again = 0;
    }

    /// A controller was heard.
    pub fn heard(&mut self, node: &str, now: Micros) {
        let sight = self.own.entry(Host::Node(node.to_string())).or_default();
        sight.good = Some(now);
    }

    /// Whether a controller takes in what is sent there; if not, whether it refuses
    /// connections.
    pub fn sends(&mut self, node: &str, takes: bool, refuses: bool) {
        let sight = self.own.entry(Host::Node(node.to_string())).or_default();
        sight.sends = Some(takes);
        sight.refuses = refuses && !takes;
    }

    /// Whether this controller's own link to a service has failed since it last worked.
    pub fn fails(&self, host: &Host) -> bool {
        self.own.get(host).is_some_and(|s| s.failing.is_some())
    }

    /// Whether a link that was down has answered again, though not yet often enough to
    /// be relied on.
    pub fn answers_again(&self, host: &Host) -> bool {
        let service = matches!(host, Host::State | Host::Cloud);
        service && self.own.get(host).is_some_and(|s| s.again > 0)
    }

    /// So many workers of a zone report here, the last one then.
    pub fn workers(&mut self, zone: &str, count: u32, last: Micros) {
        let sight = self.own.entry(Host::Workers(zone.to_string())).or_default();
        sight.count = count;
        sight.good = sight.good.max(Some(last));
    }

    /// How this controller's own link to a host is.
    pub fn own(&self, host: &Host, now: Micros) -> LinkState {
        let Some(sight) = self.own.get(host) else {
            return LinkState::Unknown;
        };
        match host {
            Host::State | Host::Cloud => {
                let failing = sight.failing.is_some_and(|at| now.since(at) >= DOWN_AFTER);
                if sight.failures >= FAILURES && failing {
                    LinkState::Down
                } else if sight.good.is_none() {
                    LinkState::Unknown
                } else if sight.took >= SLOW {
                    LinkState::Slow
                } else {
                    LinkState::Up
                }
            }
            Host::Node(_) => {
                let heard = sight.good.is_some_and(|at| now.since(at) < HEARD);
                match (heard, sight.sends) {
                    (true, None | Some(true)) => LinkState::Up,
                    (true, Some(false)) | (false, Some(true)) => LinkState::OneWay,
                    (false, Some(false)) => LinkState::Down,
                    (false, None) if sight.good.is_some() => LinkState::Down,
                    (false, None) => LinkState::Unknown,
                }
            }
            Host::Workers(_) if sight.count > 0 => LinkState::Up,
            Host::Workers(_) => LinkState::Unknown,
        }
    }

    /// What this controller tells the others of its links.
    pub fn tell(&self, now: Micros) -> Vec<LinkObservation> {
        let cell = |(host, sight): (&Host, &LinkHistory)| LinkObservation {
            host: host.clone(),
            sure: self.own(host, now),
            age_ms: (sight.good.map_or(OLDEST, |at| now.since(at)).min(OLDEST).0 / 1000) as u32,
            count: sight.count,
        };
        self.own.iter().take(CELLS).map(cell).collect()
    }

    /// What another controller tells of its links.
    pub fn told(&mut self, node: &str, cells: &[LinkObservation], now: Micros) {
        let dated = |c: &LinkObservation| {
            let age = Micros::from_millis(u64::from(c.age_ms)).min(OLDEST);
            (c.host.clone(), (c.sure, Micros(now.0.saturating_sub(age.0)), c.count))
        };
        let row = Row {
            at: now,
            cells: cells.iter().take(CELLS).map(dated).collect(),
        };
        self.rows.insert(node.to_string(), row);
    }

    fn row(&self, node: &str, now: Micros) -> Option<&Row> {
        self.rows.get(node).filter(|r| now.since(r.at) < HEARD)
    }

    /// How the link from a controller to a host is, by what it told or by what this
    /// one sees. Between controllers both ends have a word: what one sends and the
    /// other does not hear is a link in one direction.
    pub fn link(&self, from: &str, to: &Host, now: Micros) -> LinkState {
        if from == self.me {
            return self.own(to, now);
        }
        let said = self.row(from, now).and_then(|r| r.cells.get(to));
        let there = said.map_or(LinkState::Unknown, |c| c.0);
        let Host::Node(other) = to else { return there };
        let host = Host::Node(from.to_string());
        let back = if *other == self.me {
            self.own(&host, now)
        } else {
            let row = self.row(other, now).and_then(|r| r.cells.get(&host));
            row.map_or(LinkState::Unknown, |c| c.0)
        };
        match (there, back) {
            (LinkState::Unknown, back) => back,
            (there, LinkState::Unknown) => there,
            (there, back) => there.min(back).max(LinkState::Down),
        }
    }

    /// How a host is to be asked: directly unless that fails; then by way of a
    /// controller that this one reaches in both directions, and that has heard the
    /// host since this one's own failures began. Each controller chooses another
    /// one, and the same one as long as nothing changes.
    pub fn way(&self, to: &Host, now: Micros) -> Route {
        // A link that answers again is used again: after an outage all come back at
        // once, and nobody is to carry what the others can ask themselves.
        if self.answers_again(to) || !matches!(self.own(to, now), LinkState::Down | LinkState::OneWay) {
            return Route::Direct;
        }
        let failing = self.own.get(to).and_then(|s| s.failing).unwrap_or(Micros::ZERO);
        let by = self
            .rows
            .iter()
            .filter(|(name, _)| !matches!(to, Host::Node(node) if node == *name))
            .filter(|(name, _)| self.own(&Host::Node((*name).clone()), now) == LinkState::Up)
            .filter_map(|(name, _)| {
                let (sure, heard, _) = *self.row(name, now)?.cells.get(to)?;
                // The cloud is asked by hardly anybody but the leader.
                let since = !matches!(to, Host::State) || heard > failing;
                let mutual = match to {
                    Host::Node(_) => self.link(name, to, now) == LinkState::Up,
                    _ => true,
                };
                (sure.serves() && since && mutual).then_some((sure != LinkState::Up, self.order(name, to), name))
            })
            .min();
        by.map_or(Route::Nowhere, |(_, _, name)| Route::By(name.clone()))
    }

    /// Spreads those who need a way over those who have one, alike on every version.
    fn order(&self, by: &str, to: &Host) -> u64 {
        let mut hasher = SipHasher13::new();
        (self.me.as_str(), by, to).hash(&mut hasher);
        hasher.finish()
    }

    /// How a controller said that a link of its was, however long ago.
    pub fn last_told(&self, node: &str, host: &Host) -> LinkState {
        let cell = self.rows.get(node).and_then(|r| r.cells.get(host));
        cell.map_or(LinkState::Unknown, |c| c.0)
    }

    /// Whether any controller heard by now says that it has a way to this host.
    pub fn someone_reaches(&self, to: &Host, now: Micros) -> bool {
        let reaches = |name: &String| self.row(name, now).and_then(|r| r.cells.get(to));
        self.rows.keys().filter_map(reaches).any(|(sure, _, _)| sure.serves())
    }
}
