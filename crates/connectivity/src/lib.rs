//! The states of the links between hosts, from the view of one controller.
//!
//! Most failures are failures of links, not of hosts: a controller reaches the agents but not the
//! state service, or two controllers reach each other only through a third. So this crate keeps
//! states of links and none of hosts. Each controller records observations of its own links
//! ([`LinkTable::record_answer`], [`LinkTable::record_failure`], [`LinkTable::record_contact`]),
//! includes them in the messages that controllers exchange anyway ([`LinkTable::observations`]),
//! and combines the reports of all controllers ([`LinkTable::link_state`]).
//!
//! Two decisions follow from the links: how to route a request that can't be sent directly
//! ([`LinkTable::route`]), and which controller should lead ([`LinkTable::reach`],
//! [`HandoverPolicy`]). Both only improve service. No link state is a proof: because of a link
//! state, no host may be considered failed and no condition or fencing token may be left out.
//!
//! The crate is pure: observations and the time go in, decisions come out. Reported times are ages
//! by the reporter's steady clock; a faulty clock can make observations look old, but never newer
//! than the message that carried them.
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

/// The state of a link, ordered from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LinkState {
    /// Nothing is known, or nothing recent.
    Unknown,
    /// No answers arrive.
    Down,
    /// The link works in one direction only.
    Unidirectional,
    /// Answers arrive, but slowly.
    Slow,
    /// Answers arrive.
    Up,
}

impl LinkState {
    /// Whether a request over the link is answered.
    pub fn serves(self) -> bool {
        matches!(self, LinkState::Slow | LinkState::Up)
    }
}

/// A controller's report on one of its links.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LinkObservation {
    /// The other end.
    pub host: Host,
    /// The state of the link.
    pub state: LinkState,
    /// Time since the host's last answer or message, by the reporter's clock, in milliseconds.
    pub age_ms: u32,
    /// For a link to agents: how many of the agents send their heartbeats to the reporter.
    pub agent_count: u32,
}

/// How a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through this controller.
    Via(String),
    /// Neither this controller nor one that it reaches can reach the host.
    Nowhere,
}
