//! Directed links between hosts and the faults that cut them. A request and its reply use
//! opposite directions: if only the direction of the reply is cut, requests are executed
//! and the sender receives no reply.

use super::{ScheduledEvent, World, MS};
use glenhaven::coordination::Event;
use glenhaven::protocol::peer::Link;

/// One end of a link.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    Node(usize),
    /// The controller that leads when the cut begins.
    Leader,
    /// The first controller that does not lead when the cut begins.
    One,
    /// All controllers that do not lead when the cut begins.
    Others,
    Nodes,
    /// The controllers of a zone.
    NodesIn(String),
    State,
    Cloud,
    /// The machines of a zone, or all.
    Workers(Option<String>),
}

impl End {
    pub(crate) fn parse(word: &str) -> Result<End, String> {
        Ok(match word {
            "leader" => End::Leader,
            "one" => End::One,
            "others" => End::Others,
            "nodes" => End::Nodes,
            "state" => End::State,
            "cloud" => End::Cloud,
            "workers" => End::Workers(None),
            other => match (other.strip_prefix("nodes-"), other.strip_prefix("workers-")) {
                (Some(zone), _) => End::NodesIn(zone.into()),
                (_, Some(zone)) => End::Workers(Some(zone.into())),
                _ => End::Node(other.parse().map_err(|_| format!("unknown end of a link: {other}"))?),
            },
        })
    }
}

impl World {
    /// Returns whether a described end includes this host.
    fn includes_end(&self, described: &End, end: &End) -> bool {
        match (described, end) {
            (End::Nodes, End::Node(_)) => true,
            (End::NodesIn(zone), End::Node(n)) => self.active_faults.zone_of[*n] == *zone,
            (End::Workers(None), End::Workers(_)) => true,
            (a, b) => a == b,
        }
    }

    /// Replaces ends that depend on the present leader by controllers. Returns `None` if the end
    /// depends on the leader and no controller leads.
    pub(crate) fn resolve_end(&self, end: &End) -> Option<Vec<End>> {
        match end {
            End::Leader => self.leader().map(|n| vec![End::Node(n)]),
            End::Others => {
                let leader = self.leader()?;
                Some((0..self.nodes.len()).filter(|n| *n != leader).map(End::Node).collect())
            }
            End::One => {
                let leader = self.leader()?;
                Some(
                    (0..self.nodes.len())
                        .filter(|n| *n != leader)
                        .take(1)
                        .map(End::Node)
                        .collect(),
                )
            }
            other => Some(vec![other.clone()]),
        }
    }

    /// Returns whether packets get from one host to another.
    pub(crate) fn passes(&self, from: &End, to: &End) -> bool {
        let cuts = |(a, b): &(End, End)| self.includes_end(a, from) && self.includes_end(b, to);
        !self.active_faults.cut_links.values().flatten().any(cuts)
    }

    pub(crate) fn machine_end(&self, machine: &str) -> End {
        End::Workers(self.workers.get(machine).map(|w| w.zone.clone()))
    }

    /// Reports the state of a controller's link to another controller to the former, if the state
    /// has changed. `arrives` says whether packets reach the other controller.
    pub(crate) fn report_link(&mut self, n: usize, other: usize, arrives: bool) {
        let there = self.nodes[other].controller.is_some();
        let acked = arrives && there && self.passes(&End::Node(other), &End::Node(n));
        if self.reported_links.insert((n, other), acked) == Some(acked) {
            return;
        }
        let (link, pause) = match (acked, there) {
            (true, _) => (Link::Up, 4 * MS),
            (false, true) if !self.active_faults.refused_peer_connections.is_empty() => (Link::Refused, 4 * MS),
            (false, true) => (Link::Silent, 1500 * MS),
            (false, false) => (Link::Refused, 4 * MS),
        };
        let node = self.nodes[other].settings.node.clone();
        let life = self.nodes[n].life;
        self.after(pause, ScheduledEvent::Event(n, life, Event::Link { node, link }));
    }
}
