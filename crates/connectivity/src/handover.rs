//! Decides which controller should lead, by the hosts that each controller reaches.

use super::{Host, LinkState, LinkTable};
use glenhaven_time::Micros;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Minimum time for which the reason for a handover must hold.
const MIN_REASON_DURATION: Micros = Micros::from_millis(3000);
/// Minimum time that a controller leads before a handover: a new leader first reads the write-ahead
/// log and receives its agents' heartbeats.
const SETTLING_TIME: Micros = Micros::from_millis(6000);
/// Maximum number of handovers in a minute by one controller.
const MAX_HANDOVERS_PER_MINUTE: usize = 2;
const MINUTE: Micros = Micros::from_millis(60_000);
/// Maximum number of times that the pause after a handover without a target doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The hosts that a controller reaches, directly and through others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Whether the controller's own link to the state service may work.
    pub state: bool,
    /// Number of controllers that the controller reaches in both directions, including itself.
    pub controllers: u32,
    /// Number of agents that send their heartbeats to one of these controllers.
    pub agents: u32,
}

impl Reach {
    /// Whether this reach is far greater than `other`; a smaller difference is no reason to change
    /// the leader. The link to the state service counts first, then agents, then controllers.
    pub fn far_exceeds(&self, other: &Reach) -> bool {
        if self.state != other.state {
            let half_the_agents = other.agents / 2;
            let half_the_controllers = other.controllers.div_ceil(2);
            return self.state && self.agents >= half_the_agents && self.controllers >= half_the_controllers;
        }
        let more_than_twice = |a: u32, b: u32| a > b.saturating_mul(2);
        if more_than_twice(self.agents, other.agents) {
            true
        } else if more_than_twice(other.agents, self.agents) {
            false
        } else {
            self.controllers >= other.controllers.saturating_mul(2)
        }
    }
}

impl LinkTable {
    /// Number of agents that send their heartbeats to a controller, according to its report.
    fn agents_of(&self, node: &str, now: Micros) -> u32 {
        let is_agent_group = |host: &Host| matches!(host, Host::Agents(_));
        if node == self.node {
            let own = self.own_links.iter().filter(|(host, _)| is_agent_group(host));
            return own.map(|(_, link)| link.agent_count).sum();
        }
        let Some(report) = self.current_report(node, now) else {
            return 0;
        };
        let reported = report.links.iter().filter(|(host, _)| is_agent_group(host));
        reported.map(|(_, link)| link.agent_count).sum()
    }

    /// Returns the reach of a controller, according to this controller's links and current reports.
    pub fn reach(&self, node: &str, now: Micros) -> Reach {
        let mut reach = Reach {
            state: self.link_state(node, &Host::State, now) > LinkState::Down,
            controllers: 1,
            agents: self.agents_of(node, now),
        };
        let others = self.reports.keys().filter(|name| *name != node).cloned();
        let this = (node != self.node).then(|| self.node.clone());
        for other in others.chain(this) {
            if self.link_state(node, &Host::Node(other.clone()), now).serves() {
                reach.controllers += 1;
                reach.agents = reach.agents.saturating_add(self.agents_of(&other, now));
            }
        }
        reach
    }

    /// Number of controllers that are neither in contact nor known to refuse connections.
    fn silent_nodes(&self, now: Micros) -> u32 {
        let is_silent = |host: &Host| {
            let is_down = matches!(host, Host::Node(_)) && self.own_link(host, now) == LinkState::Down;
            is_down && !self.own_links[host].refuses_connections
        };
        self.own_links.keys().filter(|host| is_silent(host)).count() as u32
    }

    /// Returns how many controllers with current reports would make a better leader than this one.
    /// Controllers with the same observations agree on the ranks.
    pub fn rank(&self, now: Micros) -> u32 {
        let own = self.reach(&self.node, now);
        let is_better = |name: &&String| {
            let reach = self.reach(name, now);
            reach.far_exceeds(&own) || (!own.far_exceeds(&reach) && **name < self.node)
        };
        self.reporting_nodes(now).filter(is_better).count() as u32
    }

    /// The controller with the greatest reach among those whose reach is far greater than `own`.
    fn better_leader(&self, own: &Reach, now: Micros) -> Option<&String> {
        self.reporting_nodes(now)
            .map(|name| (self.reach(name, now), name))
            .filter(|(reach, _)| reach.state && reach.far_exceeds(own))
            .max_by_key(|(reach, name)| (reach.agents, reach.controllers, Reverse(*name)))
            .map(|(_, name)| name)
    }
}

/// Why a leader gives up the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReason {
    /// Another controller with a current report has a far greater reach.
    ReachesLess,
    /// The leader reaches the state service, but no controller and fewer than half of the agents.
    Isolated,
}

impl HandoverReason {
    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            HandoverReason::ReachesLess => "another controller reaches far more",
            HandoverReason::Isolated => "no controller and hardly any agent is reached from here",
        }
    }
}

/// A leader's decision to give up the leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The controller that should lead; `None` stands for any other controller.
    pub to: Option<String>,
    /// Why the leadership is given up.
    pub reason: HandoverReason,
}

/// A handover that is justified but not yet decided.
#[derive(Clone, Debug)]
struct Candidate {
    to: Option<String>,
    since: Micros,
}

/// Decides when a leader gives up the leadership: only after the reason has held for a while, and
/// only a limited number of times per minute.
#[derive(Clone, Debug, Default)]
pub struct HandoverPolicy {
    candidate: Option<Candidate>,
    /// Times of the handovers within the last minute.
    handovers: VecDeque<Micros>,
    /// Time before which there is no further handover without a target.
    isolated_not_before: Micros,
    /// Number of handovers without a target since this controller last reached another one.
    isolated_handovers: u32,
}

impl HandoverPolicy {
    /// Resets the considered handover when this controller begins to lead.
    pub fn on_leadership_began(&mut self) {
        self.candidate = None;
    }

    /// Decides whether the leadership that began at `began` is given up now. `others` is the number
    /// of other controllers; `machines` returns the number of machines that are up and is called
    /// only if needed.
    pub fn decide(
        &mut self,
        links: &LinkTable,
        others: u32,
        machines: impl FnOnce() -> u32,
        began: Micros,
        now: Micros,
    ) -> Option<Handover> {
        while self.handovers.front().is_some_and(|at| now.since(*at) > MINUTE) {
            self.handovers.pop_front();
        }
        let Some(handover) = self.justified_handover(links, others, machines, now) else {
            self.candidate = None;
            return None;
        };
        let since = self.justified_since(&handover, now);
        let has_held = now.since(since) >= MIN_REASON_DURATION && now.since(began) >= SETTLING_TIME;
        if !has_held || self.handovers.len() >= MAX_HANDOVERS_PER_MINUTE {
            return None;
        }
        self.handovers.push_back(now);
        self.candidate = None;
        if handover.reason == HandoverReason::Isolated {
            // Without a pause, the leadership would move on endlessly where no controller reaches
            // another one.
            let pause = Micros(MINUTE.0 << self.isolated_handovers.min(MAX_PAUSE_DOUBLINGS));
            self.isolated_not_before = now + pause;
            self.isolated_handovers += 1;
        }
        Some(handover)
    }

    /// Returns the handover that is currently justified, if any.
    fn justified_handover(
        &mut self,
        links: &LinkTable,
        others: u32,
        machines: impl FnOnce() -> u32,
        now: Micros,
    ) -> Option<Handover> {
        let own = links.reach(&links.node, now);
        if own.controllers > 1 {
            self.isolated_not_before = Micros::ZERO;
            self.isolated_handovers = 0;
        }
        // A single other controller may have crashed; several are more likely healthy and merely
        // unreachable. If their hosts refuse connections, their agents are redirected here instead.
        let is_isolated = now >= self.isolated_not_before
            && others > 1
            && own.state
            && own.controllers == 1
            && links.silent_nodes(now) == others
            && own.agents * 2 < machines();
        match links.better_leader(&own, now) {
            // A leader without a link of its own to the state service does not hand over: requests
            // that other controllers can forward work from here as well as from there.
            Some(name) if own.state => Some(Handover {
                to: Some(name.clone()),
                reason: HandoverReason::ReachesLess,
            }),
            _ if is_isolated => Some(Handover {
                to: None,
                reason: HandoverReason::Isolated,
            }),
            _ => None,
        }
    }

    /// Returns the time since which the same handover has been justified.
    fn justified_since(&mut self, handover: &Handover, now: Micros) -> Micros {
        match &self.candidate {
            Some(candidate) if candidate.to == handover.to => candidate.since,
            _ => {
                let to = handover.to.clone();
                self.candidate = Some(Candidate { to, since: now });
                now
            }
        }
    }

    /// Whether this controller gave up the leadership recently; if so, it yields to the others in
    /// the election.
    pub fn handed_over_recently(&self, now: Micros) -> bool {
        self.handovers
            .back()
            .is_some_and(|at| now.since(*at) < MIN_REASON_DURATION + MIN_REASON_DURATION)
    }
}
