//! Which of the controllers should lead, by what each of them reaches.

use super::{Host, LinkState, LinkTable};
use glenhaven_time::Micros;
use std::collections::VecDeque;

/// What a controller reaches, directly and by way of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Whether it has a way to the state service without help.
    pub state: bool,
    /// Controllers that it hears and that hear it, itself among them.
    pub nodes: u32,
    /// Workers that report to one of these.
    pub workers: u32,
}

impl Reach {
    /// Whether this is far more than the other: what differs by less is no reason to
    /// change anything. Workers count first, then controllers.
    pub fn is_far_more(&self, than: &Reach) -> bool {
        if self.state != than.state {
            return self.state && self.workers >= than.workers / 2 && self.nodes >= than.nodes.div_ceil(2);
        }
        let more = |a: u32, b: u32| a > b.saturating_mul(2);
        match (more(self.workers, than.workers), more(than.workers, self.workers)) {
            (true, _) => true,
            (_, true) => false,
            _ => self.nodes >= than.nodes.saturating_mul(2),
        }
    }
}

impl LinkTable {
    /// Workers that report to a controller, by what it told.
    fn serves(&self, node: &str, now: Micros) -> u32 {
        let workers = |host: &Host| matches!(host, Host::Workers(_));
        if node == self.me {
            let own = self.own.iter().filter(|(host, _)| workers(host));
            return own.map(|(_, sight)| sight.count).sum();
        }
        let Some(row) = self.row(node, now) else { return 0 };
        let told = row.cells.iter().filter(|(host, _)| workers(host));
        told.map(|(_, cell)| cell.2).sum()
    }

    /// What a controller reaches, as far as this one knows.
    pub fn reach(&self, node: &str, now: Micros) -> Reach {
        let mut reach = Reach {
            state: self.link(node, &Host::State, now) > LinkState::Down,
            nodes: 1,
            workers: self.serves(node, now),
        };
        let others = self.rows.keys().filter(|name| *name != node).cloned();
        let me = (node != self.me).then(|| self.me.clone());
        for other in others.chain(me) {
            if self.link(node, &Host::Node(other.clone()), now).serves() {
                reach.nodes += 1;
                reach.workers = reach.workers.saturating_add(self.serves(&other, now));
            }
        }
        reach
    }

    /// How many controllers are neither heard nor known to refuse connections.
    fn silent_nodes(&self, now: Micros) -> u32 {
        let silent = |host: &Host| {
            matches!(host, Host::Node(_)) && self.own(host, now) == LinkState::Down && !self.own[host].refuses
        };
        self.own.keys().filter(|host| silent(host)).count() as u32
    }

    /// How many controllers heard here would make a better leader than this one. All
    /// that see the same count the same.
    pub fn rank(&self, now: Micros) -> u32 {
        let own = self.reach(&self.me, now);
        let better = |name: &&String| {
            let reach = self.reach(name, now);
            reach.is_far_more(&own) || (!own.is_far_more(&reach) && **name < self.me)
        };
        let heard = self.rows.keys().filter(|name| self.row(name, now).is_some());
        heard.filter(better).count() as u32
    }
}

/// Why a leader gives up the lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// A controller that it hears reaches far more.
    ReachesLess,
    /// It hears no controller and hardly any worker, and has the state service only.
    Alone,
}

impl Why {
    /// For the log.
    pub fn text(self) -> &'static str {
        match self {
            Why::ReachesLess => "another controller reaches far more",
            Why::Alone => "no controller and hardly any worker is heard here",
        }
    }
}

/// A leader's decision to give up the lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// To whom; to nobody in particular if nobody is heard.
    pub to: Option<String>,
    pub why: Why,
}

/// Decides when the lead is given up: after a while in which the same holds, and not
/// often.
#[derive(Clone, Debug, Default)]
pub struct Lead {
    since: Option<(Option<String>, Micros)>,
    given: VecDeque<Micros>,
    /// Not to be given up to nobody in particular before this, and how often it was
    /// since this controller last exchanged messages with another.
    alone: (Micros, u32),
}

/// So long has the reason to hold.
const HOLD: Micros = Micros::from_millis(3000);
/// A new leader reads the book and hears its workers first.
const SETTLE: Micros = Micros::from_millis(6000);
/// So many handovers in a minute at the most, by one controller.
const MOST: usize = 2;
const MINUTE: Micros = Micros::from_millis(60_000);

impl Lead {
    /// This controller has begun to lead.
    pub fn begun(&mut self) {
        self.since = None;
    }

    /// Looks whether the lead that began then is to be given up now. `others` are the
    /// other controllers there are in all, `machines` those that work.
    pub fn look(
        &mut self,
        link_table: &LinkTable,
        others: u32,
        machines: impl FnOnce() -> u32,
        began: Micros,
        now: Micros,
    ) -> Option<Handover> {
        let own = link_table.reach(&link_table.me, now);
        while self.given.front().is_some_and(|at| now.since(*at) > MINUTE) {
            self.given.pop_front();
        }
        let best = link_table
            .rows
            .keys()
            .filter(|name| link_table.row(name, now).is_some())
            .map(|name| (link_table.reach(name, now), name))
            .filter(|(reach, _)| reach.state && reach.is_far_more(&own))
            .max_by_key(|(reach, name)| (reach.workers, reach.nodes, std::cmp::Reverse(*name)));
        // One other may have ended; several are more likely well and not heard. Where
        // their hosts refuse connections, their workers are sent here instead.
        let silent = link_table.silent_nodes(now);
        if own.nodes > 1 {
            self.alone = Default::default();
        }
        let alone = now >= self.alone.0
            && others > 1
            && own.state
            && own.nodes == 1
            && silent == others
            && own.workers * 2 < machines();
        let found = match best {
            // What can be asked by way of others works here as well as there.
            Some((_, name)) if own.state => Some(Handover {
                to: Some(name.clone()),
                why: Why::ReachesLess,
            }),
            _ if alone => Some(Handover {
                to: None,
                why: Why::Alone,
            }),
            _ => None,
        };
        let Some(found) = found else {
            self.since = None;
            return None;
        };
        let since = match &self.since {
            Some((to, at)) if *to == found.to => *at,
            _ => {
                self.since = Some((found.to.clone(), now));
                now
            }
        };
        let held = now.since(since) >= HOLD && now.since(began) >= SETTLE;
        if !held || self.given.len() >= MOST {
            return None;
        }
        self.given.push_back(now);
        self.since = None;
        if found.why == Why::Alone {
            // Where no controller hears another one, the lead would go round for ever.
            self.alone.0 = now + Micros(MINUTE.0 << self.alone.1.min(4));
            self.alone.1 += 1;
        }
        Some(found)
    }

    /// Whether this controller gave up the lead a moment ago: it lets the others go
    /// first.
    pub fn gave_lately(&self, now: Micros) -> bool {
        self.given.back().is_some_and(|at| now.since(*at) < HOLD + HOLD)
    }
}
