//! Which of the controllers should lead, by what each of them reaches.

use super::{Host, LinkState, LinkTable};
use glenhaven_time::Micros;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// The reason for a handover has to hold for this long.
const MIN_REASON_DURATION: Micros = Micros::from_millis(3000);
/// A new leader first reads the write-ahead log and receives its agents' heartbeats.
const SETTLING_TIME: Micros = Micros::from_millis(6000);
/// Handovers in a minute by one controller, at most.
const MAX_HANDOVERS_PER_MINUTE: usize = 2;
const MINUTE: Micros = Micros::from_millis(60_000);
/// The pause after handing over to nobody in particular doubles this often, at most.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// What a controller reaches, directly and through others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Whether its own link to the state service may work.
    pub state: bool,
    /// Controllers that it reaches in both directions, itself among them.
    pub controllers: u32,
    /// Agents that send their heartbeats to one of these.
    pub agents: u32,
}

impl Reach {
    /// Whether this is far more than the other; a smaller difference is no reason to change
    /// anything. Agents count first, then controllers.
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
    /// Agents that send their heartbeats to a controller, by its report.
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

    /// What a controller reaches, as far as this one knows.
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

    /// How many controllers are neither heard from nor known to refuse connections.
    fn silent_nodes(&self, now: Micros) -> u32 {
        let is_silent = |host: &Host| {
            let is_down = matches!(host, Host::Node(_)) && self.own_link(host, now) == LinkState::Down;
            is_down && !self.own_links[host].refuses_connections
        };
        self.own_links.keys().filter(|host| is_silent(host)).count() as u32
    }

    /// How many controllers with current reports would make a better leader than this one.
    /// Controllers that see the same links agree on it.
    pub fn rank(&self, now: Micros) -> u32 {
        let own = self.reach(&self.node, now);
        let is_better = |name: &&String| {
            let reach = self.reach(name, now);
            reach.far_exceeds(&own) || (!own.far_exceeds(&reach) && **name < self.node)
        };
        self.reporting_nodes(now).filter(is_better).count() as u32
    }

    /// The controller that reaches the most of those that reach far more than `own`.
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
    /// A controller that it reaches reaches far more.
    ReachesLess,
    /// It reaches the state service, but no controller and hardly any agent.
    Isolated,
}

impl HandoverReason {
    /// The reason as it is logged.
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
    /// The controller that should lead; `None`: any but this one.
    pub to: Option<String>,
    /// The reason.
    pub reason: HandoverReason,
}

/// A handover that is considered.
#[derive(Clone, Debug)]
struct Candidate {
    to: Option<String>,
    since: Micros,
}

/// Decides when a leader gives up the leadership: after its reason has held for a while, and not
/// often.
#[derive(Clone, Debug, Default)]
pub struct HandoverPolicy {
    candidate: Option<Candidate>,
    /// When the leadership was given up, in the last minute.
    handovers: VecDeque<Micros>,
    /// Before this, the leadership is not given up to nobody in particular.
    isolated_not_before: Micros,
    /// How often it was since this controller last reached another.
    isolated_handovers: u32,
}

impl HandoverPolicy {
    /// This controller has begun to lead.
    pub fn on_lead_began(&mut self) {
        self.candidate = None;
    }

    /// Decides whether the leadership that began at `began` is to be given up now. `others`: the
    /// number of other controllers; `machines`: that of machines that work, asked only if needed.
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
            // Where no controller reaches another one, the leadership would go round for ever.
            let pause = Micros(MINUTE.0 << self.isolated_handovers.min(MAX_PAUSE_DOUBLINGS));
            self.isolated_not_before = now + pause;
            self.isolated_handovers += 1;
        }
        Some(handover)
    }

    /// The handover that there is a reason for now.
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
        // One other controller may have crashed; several are more likely well and not reached. Where
        // their hosts refuse connections, their agents are redirected here instead.
        let is_isolated = now >= self.isolated_not_before
            && others > 1
            && own.state
            && own.controllers == 1
            && links.silent_nodes(now) == others
            && own.agents * 2 < machines();
        match links.better_leader(&own, now) {
            // What can be forwarded by others works here as well as there.
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

    /// Since when the same handover has been wanted.
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

    /// Whether this controller gave up the leadership a moment ago: it lets the others go first in
    /// the election.
    pub fn gave_up_recently(&self, now: Micros) -> bool {
        self.handovers
            .back()
            .is_some_and(|at| now.since(*at) < MIN_REASON_DURATION + MIN_REASON_DURATION)
    }
}
