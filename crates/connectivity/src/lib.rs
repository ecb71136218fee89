//! Which links between hosts work, as one controller knows them.
//!
//! Most failures are those of links, not of hosts: a controller reaches the agents but not the state
//! service, or two controllers reach each other only through a third. So nothing is said of hosts
//! here. Each controller records what it sees of its own links ([`LinkTable::record_answer`],
//! [`LinkTable::record_failure`], [`LinkTable::record_contact`]), reports that to the others in the
//! messages that they exchange anyway ([`LinkTable::observations`]), and combines what all of them
//! report ([`LinkTable::link_state`]).
//!
//! Two decisions follow: through whom a request is sent that can't be sent directly
//! ([`LinkTable::route`]), and which controller should lead ([`LinkTable::reach`],
//! [`HandoverPolicy`]). They improve service only. Nothing here is a proof: no host is taken for
//! dead, and no condition or fencing token is left out, because of it.
//!
//! The crate is pure: observations and the time go in, decisions come out. Times that others report
//! are ages by their own steady clocks; a clock that runs wild can make its observations look old,
//! never newer than the message that brought them.
//!
//! ```
//! use glenhaven_connectivity::{Host, LinkTable, LinkState, Route};
//! use glenhaven_time::Micros;
//!
//! let at = Micros::from_secs;
//! let mut a = LinkTable::new("a");
//! let mut b = LinkTable::new("b");
//! b.record_answer(Host::State, None, at(10.9));
//! a.record_contact("b", at(11.0));
//! a.record_delivery("b", true, false);
//! a.record_observations("b", &b.observations(at(11.0)), at(11.0));
//! // The state service does not answer this controller, but it answers the other one.
//! a.record_answer(Host::State, None, at(10.0));
//! for ms in [10_200, 10_400, 10_950] {
//!     a.record_failure(Host::State, Micros::from_millis(ms));
//! }
//! assert_eq!(a.link_state("a", &Host::State, at(11.1)), LinkState::Down);
//! assert_eq!(a.route(&Host::State, at(11.1)), Route::Via("b".into()));
//! ```
#![forbid(unsafe_code)]

mod backoff;
mod handover;
mod link_table;

pub use backoff::Backoff;
pub use handover::{Handover, HandoverPolicy, HandoverReason, Reach};
pub use link_table::LinkTable;

use bitcode::{Decode, Encode};

/// The other end of a controller's link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Host {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Another controller, by its name.
    Node(String),
    /// The agents of a zone, by its name.
    Agents(String),
}

/// The state of a link; a later one is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LinkState {
    /// Nothing is known, or nothing recent.
    Unknown,
    /// Nothing comes back.
    Down,
    /// It works in one direction only.
    Unidirectional,
    /// Answers come, and take long.
    Slow,
    /// Answers come.
    Up,
}

impl LinkState {
    /// Whether a request over the link is answered.
    pub fn serves(self) -> bool {
        matches!(self, LinkState::Slow | LinkState::Up)
    }
}

/// What one controller reports of one of its links.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LinkObservation {
    /// The other end.
    pub host: Host,
    /// The state of the link.
    pub state: LinkState,
    /// How long ago the host last answered or was last heard from, by the reporter's clock, in
    /// milliseconds.
    pub age_ms: u32,
    /// Of agents: how many send their heartbeats to the reporter.
    pub agent_count: u32,
}

/// How a request is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through this controller.
    Via(String),
    /// Neither this controller nor one that it reaches can reach the host.
    Nowhere,
}
