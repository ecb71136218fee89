//! The links of this controller, and what goes by way of another one because a link
//! fails: requests to the state service and the cloud, and messages to controllers.
//!
//! This room owns the picture of links and the requests that are carried, its own and
//! those of others. It decides how something is sent, never whether it may be: terms,
//! conditions, fences and names of rentals travel with what they belong to, and what
//! is carried late or lost is as good as late or lost on the network.

use super::leadership::Role;
use super::{CloudAnswer, CloudRequest, Command, Core, Effect};
use crate::bookkeeping::keys;
use crate::protocol::peer::{Carried, PeerMessage};
use crate::protocol::store::{StoreAnswer, StoreRequest};
use crate::protocol::{from_cbor, to_cbor};
use crate::time::Micros;
use glenhaven_links::{Cell, Handover, Host, Lead, Picture, Sure, Way};
use std::collections::BTreeMap;

/// Requests of others that are on their way from here at a time; more are refused.
const AT_ONCE: usize = 48;
/// A request that was on its way here for longer is not made: its sender may have been
/// deposed meanwhile, or has given up.
const TOO_LATE: Micros = Micros::from_millis(1500);
/// A link that is down is tried this often, so that its return is noticed.
const PROBE: Micros = Micros::from_millis(400);
const PROBE_LIMIT: Micros = Micros::from_millis(350);
/// One that has failed once is tried more often until it is known to be down or not: a
/// quiet node would learn it only with its next requests.
const DOUBT: Micros = Micros::from_millis(120);
const DOUBT_LIMIT: Micros = Micros::from_millis(150);
const SELDOM: Micros = Micros::from_millis(5000);
/// An answer that a frame between controllers does not hold.
const LARGEST: usize = 900 * 1024;
/// Reports tell of workers' links for this many report periods.
const REPORTS: f64 = 1.25;

/// Which service a number belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Service {
    State,
    Cloud,
}

impl Service {
    fn host(self) -> Host {
        match self {
            Service::State => Host::State,
            Service::Cloud => Host::Cloud,
        }
    }
}

/// A request that this controller made itself.
struct Made {
    at: Micros,
    /// A watch waits by itself: how long it took says nothing.
    waits: bool,
    whose: Whose,
}

enum Whose {
    Own,
    /// Only to see whether the link is back.
    Probe,
    /// Of another controller: which, its life, and its number.
    Other(String, u64, u64),
}

/// How the clock of another controller stands to this one, as far as messages tell.
struct Clock {
    /// The least of (received here - sent there).
    least: i64,
    at: u64,
}

/// The links as they are known here, and what is carried.
pub struct Carrier {
    /// A number of this process: answers to what an earlier one asked are not for it.
    life: u64,
    pub picture: Picture,
    lead: Lead,
    made: BTreeMap<(Service, u64), Made>,
    /// Asked of another controller: until when.
    asked: BTreeMap<(Service, u64), Micros>,
    clocks: BTreeMap<String, Clock>,
    next_probe: [Micros; 2],
    /// Since when this node has led with the book read.
    led_since: Option<Micros>,
    told: BTreeMap<Host, bool>,
}

impl Carrier {
    pub fn new(node: &str, life: u64) -> Carrier {
        Carrier {
            life,
            picture: Picture::new(node),
            lead: Lead::default(),
            made: BTreeMap::new(),
            asked: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next_probe: [Micros::ZERO; 2],
            led_since: None,
            told: BTreeMap::new(),
        }
    }

    /// Another controller says that it is alive, and how its links are.
    pub fn hears(&mut self, node: &str, at: u64, links: &[Cell], now: Micros) {
        self.picture.heard(node, now);
        self.picture.told(node, links, now);
        let apart = now.0 as i64 - at as i64;
        match self.clocks.get_mut(node) {
            // A new life begins its clock anew; a clock that drifts is followed.
            Some(clock) if at >= clock.at => {
                clock.least = clock.least.min(apart) + DRIFT;
                clock.at = at;
            }
            _ => {
                self.clocks.insert(node.to_string(), Clock { least: apart, at });
            }
        }
    }

    /// Whether a message that says when it was sent was on its way for too long. It
    /// can only be too strict, never prove anything.
    fn is_late(&self, node: &str, at: u64, now: Micros) -> bool {
        let Some(clock) = self.clocks.get(node) else {
            return true;
        };
        now.0 as i64 - at as i64 - clock.least > TOO_LATE.0 as i64
    }

    /// Whether messages reach this controller, directly or by way of another.
    pub fn reaches(&self, node: &str, now: Micros) -> bool {
        let host = Host::Node(node.to_string());
        match self.picture.own(&host, now) {
            Sure::Up => true,
            Sure::Unknown => false,
            _ => matches!(self.picture.way(&host, now), Way::By(_)),
        }
    }

    /// Whether the answers of the state service reach this node, its own or those to
    /// somebody who asks for it. If not, what is sent there may still be executed.
    pub fn hears_state(&self, now: Micros) -> bool {
        self.picture.way(&Host::State, now) != Way::Nowhere || self.picture.answers_again(&Host::State)
    }
}

/// What a clock may drift between two messages, half a second apart.
const DRIFT: i64 = 500;

impl Core {
    /// Sends what was decided by the ways that work.
    pub(super) fn by_their_ways(&mut self) -> Vec<Effect> {
        let decided = std::mem::take(&mut self.sh.out);
        let mut out = Vec::with_capacity(decided.len());
        for effect in decided {
            let effect = match effect {
                Effect::Store { id, request, timeout } => self.state_way(id, request, timeout),
                Effect::Cloud { id, request, timeout } => self.cloud_way(id, request, timeout),
                Effect::Peer { to, message } => self.peer_way(to, message),
                other => other,
            };
            out.push(effect);
        }
        out
    }

    fn made(&mut self, service: Service, id: u64, waits: bool, whose: Whose) {
        let at = self.sh.now;
        self.carry.made.insert((service, id), Made { at, waits, whose });
    }

    fn state_way(&mut self, id: u64, request: StoreRequest, timeout: Micros) -> Effect {
        let waits = matches!(request, StoreRequest::Watch { .. });
        if !self.carry.made.contains_key(&(Service::State, id)) {
            if let Some(by) = self.way_by(&Host::State) {
                let what = Carried::State(to_cbor(&request));
                return self.ask(by, Service::State, id, what, timeout);
            }
            self.made(Service::State, id, waits, Whose::Own);
        }
        Effect::Store { id, request, timeout }
    }

    fn cloud_way(&mut self, id: u64, request: CloudRequest, timeout: Micros) -> Effect {
        if !self.carry.made.contains_key(&(Service::Cloud, id)) {
            if let Some(by) = self.way_by(&Host::Cloud) {
                let what = Carried::Cloud(to_cbor(&request));
                return self.ask(by, Service::Cloud, id, what, timeout);
            }
            self.made(Service::Cloud, id, false, Whose::Own);
        }
        Effect::Cloud { id, request, timeout }
    }

    fn way_by(&self, host: &Host) -> Option<String> {
        match self.carry.picture.way(host, self.sh.now) {
            Way::By(node) if self.site.settings.operator.ways_by_others => Some(node),
            _ => None,
        }
    }

    fn ask(&mut self, to: String, service: Service, id: u64, what: Carried, timeout: Micros) -> Effect {
        self.carry.asked.insert((service, id), self.sh.now + timeout);
        let message = PeerMessage::Ask {
            node: self.site.settings.node.clone(),
            life: self.carry.life,
            id,
            at: self.sh.now.0,
            term: self.lead.term(),
            timeout_ms: (timeout.0 / 1000) as u32,
            what,
        };
        Effect::Peer { to, message }
    }

    /// Messages that somebody waits for go by way of a third controller where there is
    /// no link; what is repeated anyway does not.
    fn peer_way(&self, to: String, message: PeerMessage) -> Effect {
        let passes = matches!(
            message,
            PeerMessage::Report { .. }
                | PeerMessage::Answered { .. }
                | PeerMessage::Recall { .. }
                | PeerMessage::Recalled { .. }
                | PeerMessage::Relay { .. }
                | PeerMessage::Relayed { .. }
        );
        let by = passes.then(|| self.way_by(&Host::Node(to.clone()))).flatten();
        match by {
            Some(by) => {
                let body = bitcode::encode(&message);
                let message = PeerMessage::Pass { to, body };
                Effect::Peer { to: by, message }
            }
            None => Effect::Peer { to, message },
        }
    }

    /// An answer of the state service to this node itself, if it is for this node.
    pub(super) fn on_direct_answer(&mut self, id: u64, answer: StoreAnswer) -> Option<StoreAnswer> {
        let Some(made) = self.carry.made.remove(&(Service::State, id)) else {
            return Some(answer);
        };
        let failed = matches!(answer, StoreAnswer::Refused | StoreAnswer::Unknown);
        self.note_link(Service::State, &made, failed);
        match made.whose {
            Whose::Own => Some(answer),
            Whose::Probe => None,
            Whose::Other(to, life, id) => {
                let mut body = to_cbor(&answer);
                if body.len() > LARGEST {
                    body = to_cbor(&StoreAnswer::Unknown);
                }
                let what = Carried::State(body);
                let message = PeerMessage::Told { life, id, what };
                self.sh.out.push(Effect::Peer { to, message });
                None
            }
        }
    }

    /// The same of the cloud.
    pub(super) fn on_direct_call(&mut self, id: u64, answer: CloudAnswer) -> Option<CloudAnswer> {
        let Some(made) = self.carry.made.remove(&(Service::Cloud, id)) else {
            return Some(answer);
        };
        let failed = matches!(answer, CloudAnswer::Refused | CloudAnswer::Unknown);
        self.note_link(Service::Cloud, &made, failed);
        match made.whose {
            Whose::Own => Some(answer),
            Whose::Probe => None,
            Whose::Other(to, life, id) => {
                let what = Carried::Cloud(to_cbor(&answer));
                let message = PeerMessage::Told { life, id, what };
                self.sh.out.push(Effect::Peer { to, message });
                None
            }
        }
    }

    fn note_link(&mut self, service: Service, made: &Made, failed: bool) {
        let now = self.sh.now;
        if failed {
            self.carry.picture.failed(service.host(), now);
        } else {
            let took = (!made.waits).then(|| now.since(made.at));
            let was_down = self.carry.picture.own(&service.host(), now) == Sure::Down;
            self.carry.picture.answered(service.host(), took, now);
            if was_down && service == Service::State {
                self.lead.renew_soon(now);
            }
        }
    }

    /// What is carried for others, and what others carried.
    pub(super) fn on_carried(&mut self, message: PeerMessage) {
        let now = self.sh.now;
        match message {
            PeerMessage::Ask {
                node,
                life,
                id,
                at,
                term,
                timeout_ms,
                what,
            } => {
                let timeout = Micros::from_millis(u64::from(timeout_ms));
                let others = |m: &&Made| matches!(m.whose, Whose::Other(..));
                let full = self.carry.made.values().filter(others).count() >= AT_ONCE;
                // A call to the cloud carries no condition: a leader that is known to be
                // deposed makes none. What goes to the state service does, and it is how
                // the sender learns of a later term.
                let deposed = matches!(what, Carried::Cloud(_)) && term < self.lead.term();
                let never = !self.site.settings.operator.ways_by_others || !self.is_peer(&node);
                let late = never || full || deposed || self.carry.is_late(&node, at, now);
                self.carry_for(node, life, id, what, timeout, late);
            }
            PeerMessage::Told { life, id, what } if life == self.carry.life => {
                let service = match &what {
                    Carried::State(_) => Service::State,
                    Carried::Cloud(_) => Service::Cloud,
                };
                if self.carry.asked.remove(&(service, id)).is_none() {
                    return;
                }
                match what {
                    Carried::State(body) => {
                        let answer = from_cbor(&body).unwrap_or(StoreAnswer::Unknown);
                        self.one(Command::Store { id, answer });
                    }
                    Carried::Cloud(body) => {
                        let answer = from_cbor(&body).unwrap_or(CloudAnswer::Unknown);
                        self.one(Command::Cloud { id, answer });
                    }
                }
            }
            PeerMessage::Pass { to, body } => {
                if self.carry.picture.own(&Host::Node(to.clone()), now) == Sure::Up {
                    let message = PeerMessage::Passed(body);
                    self.sh.out.push(Effect::Peer { to, message });
                }
            }
            PeerMessage::Passed(body) => match bitcode::decode::<PeerMessage>(&body) {
                // One hop: nothing that is passed on makes this node pass or ask.
                Ok(PeerMessage::Pass { .. } | PeerMessage::Passed(_) | PeerMessage::Ask { .. }) => {}
                Ok(message) => self.on_peer(message),
                Err(error) => tracing::warn!(%error, "malformed message from a controller"),
            },
            _ => {}
        }
    }

    /// Makes a request for another controller. `not` says that it must not be made: it
    /// was never executed then, which is what a refusal says.
    fn carry_for(&mut self, to: String, life: u64, id: u64, what: Carried, timeout: Micros, not: bool) {
        let whose = Whose::Other(to.clone(), life, id);
        let refused = match what {
            Carried::State(body) => match from_cbor::<StoreRequest>(&body) {
                Ok(request) if !not => {
                    let own = self.sh.store.foreign();
                    let waits = matches!(request, StoreRequest::Watch { .. });
                    self.made(Service::State, own, waits, whose);
                    let effect = Effect::Store {
                        id: own,
                        request,
                        timeout,
                    };
                    return self.sh.out.push(effect);
                }
                _ => Carried::State(to_cbor(&StoreAnswer::Refused)),
            },
            Carried::Cloud(body) => match from_cbor::<CloudRequest>(&body) {
                Ok(request) if !not => {
                    let own = self.sh.id();
                    self.made(Service::Cloud, own, false, whose);
                    let effect = Effect::Cloud {
                        id: own,
                        request,
                        timeout,
                    };
                    return self.sh.out.push(effect);
                }
                _ => Carried::Cloud(to_cbor(&CloudAnswer::Refused)),
            },
        };
        let message = PeerMessage::Told {
            life,
            id,
            what: refused,
        };
        self.sh.out.push(Effect::Peer { to, message });
    }

    /// How this node's links are, for the others.
    pub(super) fn tell_links(&mut self) -> Vec<Cell> {
        let now = self.sh.now;
        let period = Micros::from_secs(self.site.settings.params.workers.report_s * REPORTS + 2.0);
        let mut zones: BTreeMap<String, (u32, Micros)> = BTreeMap::new();
        for t in self.site.catalogue.values() {
            for zone in &t.zones {
                zones.entry(zone.clone()).or_default();
            }
        }
        for (zone, at) in self.care.reporting() {
            if now.since(at) < period {
                if let Some(entry) = zones.get_mut(zone) {
                    *entry = (entry.0 + 1, entry.1.max(at));
                }
            }
        }
        for (zone, (count, last)) in zones {
            self.carry.picture.workers(&zone, count, last);
        }
        self.carry.picture.tell(now)
    }

    /// Links that are down are tried, what was asked of others in vain is given up, and
    /// a leader looks whether another controller had better lead.
    pub(super) fn tick_links(&mut self) {
        let now = self.sh.now;
        let over: Vec<(Service, u64)> = self
            .carry
            .asked
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(key, _)| *key)
            .collect();
        for (service, id) in over {
            self.carry.asked.remove(&(service, id));
            self.one(match service {
                Service::State => Command::Store {
                    id,
                    answer: StoreAnswer::Unknown,
                },
                Service::Cloud => Command::Cloud {
                    id,
                    answer: CloudAnswer::Unknown,
                },
            });
        }
        for (i, service) in [Service::State, Service::Cloud].into_iter().enumerate() {
            let host = service.host();
            let down = self.carry.picture.own(&host, now) == Sure::Down;
            let before = self.carry.told.insert(host.clone(), down);
            if down != before.unwrap_or(false) {
                let way = self.carry.picture.way(&host, now);
                tracing::info!(?host, down, ?way, "a link has changed");
                if service == Service::State && matches!(way, Way::By(_)) {
                    self.desk.served_again();
                }
            }
            let (pause, limit) = if down {
                (PROBE, PROBE_LIMIT)
            } else {
                (DOUBT, DOUBT_LIMIT)
            };
            // Hardly anybody but the leader needs the cloud, which takes few calls.
            let needs = service == Service::State || self.lead.role() == Role::Leader;
            let pause = if needs { pause } else { SELDOM };
            let fails = self.carry.picture.fails(&host);
            if fails && now >= self.carry.next_probe[i] {
                self.carry.next_probe[i] = now + pause;
                self.probe(service, limit);
            }
        }
        self.look_at_lead();
    }

    fn probe(&mut self, service: Service, timeout: Micros) {
        match service {
            Service::State => {
                let id = self.sh.store.foreign();
                self.made(service, id, false, Whose::Probe);
                let request = StoreRequest::Get { key: keys::TERM.into() };
                self.sh.out.push(Effect::Store { id, request, timeout });
            }
            Service::Cloud => {
                let id = self.sh.id();
                self.made(service, id, false, Whose::Probe);
                let request = CloudRequest::Catalogue;
                self.sh.out.push(Effect::Cloud { id, request, timeout });
            }
        }
    }

    /// A leader that another controller would do better for gives up the lead.
    fn look_at_lead(&mut self) {
        let now = self.sh.now;
        let leads = self.lead.role() == Role::Leader && self.leader.as_ref().is_some_and(|l| l.is_loaded());
        if !leads || self.lead.is_taking() || self.lead.in_doubt() {
            if self.lead.role() != Role::Leader {
                self.carry.led_since = None;
            }
            return;
        }
        let began = match self.carry.led_since {
            Some(at) => at,
            None => {
                self.carry.led_since = Some(now);
                self.carry.lead.begun();
                now
            }
        };
        let others = self.site.settings.peers.len() as u32;
        // Counted only where the decision depends on it: it looks at every machine, and this is
        // asked with every batch.
        let machines = || self.leader.as_ref().map_or(0, |l| l.working_machines());
        let found = self.carry.lead.look(&self.carry.picture, others, machines, began, now);
        if let Some(Handover { to, why }) = found {
            tracing::warn!(term = self.lead.term(), to, why = why.text(), "giving up the lead");
            self.give_up_lead(to, why.text());
        }
    }

    /// Whether the settings name another controller like this.
    pub(super) fn is_peer(&self, node: &str) -> bool {
        self.site.settings.peers.iter().any(|p| p.node == node)
    }

    /// Whether this node gave up the lead a moment ago.
    pub(super) fn gave_lately(&self) -> bool {
        self.carry.lead.gave_lately(self.sh.now)
    }
}
