//! The table of links: this controller's observations of its own links, and the other controllers'
//! reports on theirs.

use super::{Host, LinkObservation, LinkState, Route};
use glenhaven_time::Micros;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A controller without a message for this long counts as unreachable, and its report as out of
/// date; a controller sends several messages within this time.
const CONTACT_TIMEOUT: Micros = Micros::from_millis(1600);
/// A link is down after failures without an answer for this long. A service that is only
/// occasionally slow answers some requests within this time. If its link is taken for down by
/// mistake, the service is reached through another controller, which does no harm.
const DOWN_AFTER: Micros = Micros::from_millis(350);
/// Minimum number of failures after which a link is down.
const MIN_FAILURES: u32 = 3;
/// Consecutive answers after which a link that was down is up again.
const MIN_RECOVERY_ANSWERS: u32 = 3;
/// Average round trip at or above which a link is slow.
const SLOW_ROUND_TRIP: Micros = Micros::from_millis(250);
/// Maximum age that is reported; greater ages carry no further information.
const MAX_AGE: Micros = Micros::from_millis(60_000);
/// Maximum number of links that one message reports.
const MAX_OBSERVATIONS: usize = 64;

/// This controller's observations of one of its own links.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkHistory {
    /// When the last answer or message of the host arrived.
    last_contact: Option<Micros>,
    /// Failures since the last contact.
    failures: u32,
    /// When the first of these failures occurred.
    failing_since: Option<Micros>,
    /// Consecutive answers since the last failure.
    answers: u32,
    /// Exponentially weighted average of round trips.
    round_trip: Micros,
    /// For a link to a controller: whether that controller acknowledges messages, if known.
    acknowledges: Option<bool>,
    /// Whether the host refuses connections, which shows that the host itself is reachable.
    pub refuses_connections: bool,
    /// For a link to agents: how many of them send their heartbeats here.
    pub agent_count: u32,
}

/// Another controller's report on one of its links.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLink {
    state: LinkState,
    /// When the last answer or message of the host arrived there, on this controller's clock.
    last_contact: Micros,
    pub agent_count: u32,
}

/// Another controller's report on all its links.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    received_at: Micros,
    pub links: BTreeMap<Host, ReportedLink>,
}

/// The states of all links, from the view of one controller.
#[derive(Clone, Debug)]
pub struct LinkTable {
    /// The name of this controller.
    pub(super) node: String,
    pub(super) own_links: BTreeMap<Host, LinkHistory>,
    /// The last report of each other controller, by its name.
    pub(super) reports: BTreeMap<String, Report>,
}

impl LinkTable {
    /// Creates an empty table for the controller with this name.
    pub fn new(node: &str) -> LinkTable {
        LinkTable {
            node: node.to_string(),
            own_links: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Records that a host answered a request that was sent `round_trip` ago; `None` if that time
    /// says nothing about the link, as for a watch, which the service holds open.
    ///
    /// A link that was down is up again only after several consecutive answers, so that other
    /// controllers do not rely on a flapping link.
    pub fn record_answer(&mut self, host: Host, round_trip: Option<Micros>, now: Micros) {
        let was_down = self.own_link(&host, now) == LinkState::Down;
        let link = self.own_links.entry(host).or_default();
        if let Some(round_trip) = round_trip {
            link.round_trip = Micros((link.round_trip.0 * 3 + round_trip.0) / 4);
        }
        link.answers = if was_down {
            link.answers + 1
        } else {
            MIN_RECOVERY_ANSWERS
        };
        if link.answers >= MIN_RECOVERY_ANSWERS {
            link.last_contact = Some(now);
            link.failures = 0;
            link.failing_since = None;
        }
    }

    /// Records that a request to a host got no answer, or only a refusal.
    pub fn record_failure(&mut self, host: Host, now: Micros) {
        let link = self.own_links.entry(host).or_default();
        link.failures = link.failures.saturating_add(1);
        link.failing_since.get_or_insert(now);
        link.answers = 0;
    }

    /// Records a message from another controller.
    pub fn record_contact(&mut self, node: &str, now: Micros) {
        let link = self.own_links.entry(Host::Node(node.to_string())).or_default();
        link.last_contact = Some(now);
    }

    /// Records whether another controller acknowledges messages, and if not, whether it refuses
    /// connections.
    pub fn record_delivery(&mut self, node: &str, acknowledges: bool, refuses_connections: bool) {
        let link = self.own_links.entry(Host::Node(node.to_string())).or_default();
        link.acknowledges = Some(acknowledges);
        link.refuses_connections = refuses_connections && !acknowledges;
    }

    /// Records how many agents of a zone send their heartbeats here, and when the last one came.
    pub fn record_agents(&mut self, zone: &str, count: u32, last_heartbeat: Micros) {
        let link = self.own_links.entry(Host::Agents(zone.to_string())).or_default();
        link.agent_count = count;
        link.last_contact = link.last_contact.max(Some(last_heartbeat));
    }

    /// Whether this controller's own link to a service has failed since it last worked.
    pub fn is_failing(&self, host: &Host) -> bool {
        self.own_links
            .get(host)
            .is_some_and(|link| link.failing_since.is_some())
    }

    /// Whether a link to a service has answered since its last failure, possibly not yet often
    /// enough to be up.
    pub fn is_recovering(&self, host: &Host) -> bool {
        let is_service = matches!(host, Host::State | Host::Cloud);
        is_service && self.own_links.get(host).is_some_and(|link| link.answers > 0)
    }

    /// The state of this controller's own link to a host.
    pub fn own_link(&self, host: &Host, now: Micros) -> LinkState {
        let Some(link) = self.own_links.get(host) else {
            return LinkState::Unknown;
        };
        match host {
            Host::State | Host::Cloud => link.service_state(now),
            Host::Node(_) => link.controller_state(now),
            Host::Agents(_) if link.agent_count > 0 => LinkState::Up,
            Host::Agents(_) => LinkState::Unknown,
        }
    }

    /// Returns the observations that this controller reports to the others.
    pub fn observations(&self, now: Micros) -> Vec<LinkObservation> {
        let observation = |(host, link): (&Host, &LinkHistory)| {
            let age = link.last_contact.map_or(MAX_AGE, |at| now.since(at)).min(MAX_AGE);
            LinkObservation {
                host: host.clone(),
                state: self.own_link(host, now),
                age_ms: (age.0 / 1000) as u32,
                agent_count: link.agent_count,
            }
        };
        self.own_links.iter().take(MAX_OBSERVATIONS).map(observation).collect()
    }

    /// Records the observations that another controller reports.
    pub fn record_observations(&mut self, node: &str, observations: &[LinkObservation], now: Micros) {
        let reported = |observation: &LinkObservation| {
            let age = Micros::from_millis(u64::from(observation.age_ms)).min(MAX_AGE);
            let link = ReportedLink {
                state: observation.state,
                last_contact: Micros(now.0.saturating_sub(age.0)),
                agent_count: observation.agent_count,
            };
            (observation.host.clone(), link)
        };
        let report = Report {
            received_at: now,
            links: observations.iter().take(MAX_OBSERVATIONS).map(reported).collect(),
        };
        self.reports.insert(node.to_string(), report);
    }

    /// The report of another controller, unless it is out of date.
    pub(super) fn current_report(&self, node: &str, now: Micros) -> Option<&Report> {
        let report = self.reports.get(node)?;
        (now.since(report.received_at) < CONTACT_TIMEOUT).then_some(report)
    }

    /// The names of the controllers whose reports are current.
    pub(super) fn reporting_nodes(&self, now: Micros) -> impl Iterator<Item = &String> {
        self.reports
            .keys()
            .filter(move |name| self.current_report(name, now).is_some())
    }

    /// The link to a host that another controller reports, if its report is current.
    fn reported_link(&self, node: &str, host: &Host, now: Micros) -> Option<&ReportedLink> {
        self.current_report(node, now)?.links.get(host)
    }

    fn reported_state(&self, node: &str, host: &Host, now: Micros) -> LinkState {
        self.reported_link(node, host, now)
            .map_or(LinkState::Unknown, |link| link.state)
    }

    /// The state of the link from a controller to a host, from that controller's report or, for
    /// this controller, from its own observations.
    ///
    /// For a link between controllers both ends count, and the worse state is taken: a link over
    /// which one controller sends and the other receives nothing does not work in both directions.
    pub fn link_state(&self, from: &str, to: &Host, now: Micros) -> LinkState {
        if from == self.node {
            return self.own_link(to, now);
        }
        let there = self.reported_state(from, to, now);
        let Host::Node(other) = to else { return there };
        let host = Host::Node(from.to_string());
        let back = if *other == self.node {
            self.own_link(&host, now)
        } else {
            self.reported_state(other, &host, now)
        };
        match (there, back) {
            (LinkState::Unknown, back) => back,
            (there, LinkState::Unknown) => there,
            (there, back) => there.min(back).max(LinkState::Down),
        }
    }

    /// Returns how to send a request to a host: directly unless the direct link is down or works in
    /// one direction only, else through a controller that this one reaches in both directions and
    /// that reports a working link to the host. For the state service, the service must also have
    /// answered that controller since this controller's own failures began. Different controllers
    /// choose different routes, and each controller keeps its choice while the links stay the same.
    pub fn route(&self, to: &Host, now: Micros) -> Route {
        // A link that answers again is used at once: after an outage all links recover together,
        // and no controller should forward requests that the others can send themselves.
        if self.is_recovering(to) || !matches!(self.own_link(to, now), LinkState::Down | LinkState::Unidirectional) {
            return Route::Direct;
        }
        let via = self
            .reports
            .keys()
            .filter(|name| !matches!(to, Host::Node(node) if node == *name))
            .filter(|name| self.own_link(&Host::Node((*name).clone()), now) == LinkState::Up)
            .filter_map(|name| {
                let is_worse = self.forwarding_state(name, to, now)? != LinkState::Up;
                Some((is_worse, self.preference(name, to), name))
            })
            .min();
        via.map_or(Route::Nowhere, |(_, _, name)| Route::Via(name.clone()))
    }

    /// The state of another controller's link to a host, if it can forward requests there.
    fn forwarding_state(&self, node: &str, to: &Host, now: Micros) -> Option<LinkState> {
        let failing_since = self.own_links.get(to).and_then(|link| link.failing_since);
        let link = self.reported_link(node, to, now)?;
        // Controllers other than the leader rarely call the cloud, so its last answer may be old.
        let is_recent = !matches!(to, Host::State) || link.last_contact > failing_since.unwrap_or(Micros::ZERO);
        let is_mutual = match to {
            Host::Node(_) => self.link_state(node, to, now) == LinkState::Up,
            _ => true,
        };
        (link.state.serves() && is_recent && is_mutual).then_some(link.state)
    }

    /// Hash that spreads the controllers that need forwarding over those that can forward. The hash
    /// is the same in every release.
    fn preference(&self, via: &str, to: &Host) -> u64 {
        let mut hasher = SipHasher13::new();
        (self.node.as_str(), via, to).hash(&mut hasher);
        hasher.finish()
    }

    /// The state of a link that another controller last reported, regardless of the report's age.
    pub fn last_reported_state(&self, node: &str, host: &Host) -> LinkState {
        let link = self.reports.get(node).and_then(|report| report.links.get(host));
        link.map_or(LinkState::Unknown, |link| link.state)
    }

    /// Whether any controller with a current report reaches this host.
    pub fn is_reached_by_any(&self, to: &Host, now: Micros) -> bool {
        let mut links = self.reports.keys().filter_map(|name| self.reported_link(name, to, now));
        links.any(|link| link.state.serves())
    }
}

impl LinkHistory {
    fn service_state(&self, now: Micros) -> LinkState {
        let has_failed_long = self.failing_since.is_some_and(|at| now.since(at) >= DOWN_AFTER);
        if self.failures >= MIN_FAILURES && has_failed_long {
            LinkState::Down
        } else if self.last_contact.is_none() {
            LinkState::Unknown
        } else if self.round_trip >= SLOW_ROUND_TRIP {
            LinkState::Slow
        } else {
            LinkState::Up
        }
    }

    fn controller_state(&self, now: Micros) -> LinkState {
        let has_recent_contact = self.last_contact.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT);
        match (has_recent_contact, self.acknowledges) {
            (true, None | Some(true)) => LinkState::Up,
            (true, Some(false)) | (false, Some(true)) => LinkState::Unidirectional,
            (false, Some(false)) => LinkState::Down,
            (false, None) if self.last_contact.is_some() => LinkState::Down,
            (false, None) => LinkState::Unknown,
        }
    }
}
