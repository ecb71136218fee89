//! The links of this controller, and what goes by way of another one because a link
//! fails: requests to the state service and the cloud, and messages to controllers.
//!
//! This room owns the picture of links and the requests that are carried, its own and
//! those of others. It decides how something is sent, never whether it may be: terms,
//! conditions, fences and names of rentals travel with what they belong to, and what
//! is carried late or lost is as good as late or lost on the network.

use super::election::Role;
use super::{CloudRequest, CloudResponse, Controller, Effect, Event};
use crate::protocol::peer::{ForwardedBody, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::protocol::{from_cbor, to_cbor};
use crate::storage::keys;
use crate::time::Micros;
use glenhaven_connectivity::{Handover, Host, Lead, LinkObservation, LinkState, LinkTable, Route};
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
pub struct Forwarder {
    /// A number of this process: answers to what an earlier one asked are not for it.
    life: u64,
    pub link_table: LinkTable,
    handover: Lead,
    made: BTreeMap<(Service, u64), Made>,
    /// Asked of another controller: until when.
    asked: BTreeMap<(Service, u64), Micros>,
    clocks: BTreeMap<String, Clock>,
    next_probe: [Micros; 2],
    /// Since when this node has led with the book read.
    led_since: Option<Micros>,
    told: BTreeMap<Host, bool>,
}

impl Forwarder {
    pub fn new(node: &str, life: u64) -> Forwarder {
        Forwarder {
            life,
            link_table: LinkTable::new(node),
            handover: Lead::default(),
            made: BTreeMap::new(),
            asked: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next_probe: [Micros::ZERO; 2],
            led_since: None,
            told: BTreeMap::new(),
        }
    }

    /// Another controller says that it is alive, and how its links are.
    pub fn hears(&mut self, node: &str, at: u64, links: &[LinkObservation], now: Micros) {
        self.link_table.heard(node, now);
        self.link_table.told(node, links, now);
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
        match self.link_table.own(&host, now) {
            LinkState::Up => true,
            LinkState::Unknown => false,
            _ => matches!(self.link_table.way(&host, now), Route::By(_)),
        }
    }

    /// Whether the answers of the state service reach this node, its own or those to
    /// somebody who asks for it. If not, what is sent there may still be executed.
    pub fn hears_state(&self, now: Micros) -> bool {
        self.link_table.way(&Host::State, now) != Route::Nowhere || self.link_table.answers_again(&Host::State)
    }
}

/// What a clock may drift between two messages, half a second apart.
const DRIFT: i64 = 500;

impl Controller {
    /// Sends what was decided by the ways that work.
    pub(super) fn route_effects(&mut self) -> Vec<Effect> {
        let decided = std::mem::take(&mut self.context.out);
        let mut out = Vec::with_capacity(decided.len());
        for effect in decided {
            let effect = match effect {
                Effect::Store { id, request, timeout } => self.route_store_request(id, request, timeout),
                Effect::Cloud { id, request, timeout } => self.route_cloud_request(id, request, timeout),
                Effect::Peer { to, message } => self.route_peer_message(to, message),
                other => other,
            };
            out.push(effect);
        }
        out
    }

    fn made(&mut self, service: Service, id: u64, waits: bool, whose: Whose) {
        let at = self.context.now;
        self.forwarder.made.insert((service, id), Made { at, waits, whose });
    }

    fn route_store_request(&mut self, id: u64, request: StoreRequest, timeout: Micros) -> Effect {
        let waits = matches!(request, StoreRequest::Watch { .. });
        if !self.forwarder.made.contains_key(&(Service::State, id)) {
            if let Some(by) = self.route_via(&Host::State) {
                let what = ForwardedBody::State(to_cbor(&request));
                return self.ask(by, Service::State, id, what, timeout);
            }
            self.made(Service::State, id, waits, Whose::Own);
        }
        Effect::Store { id, request, timeout }
    }

    fn route_cloud_request(&mut self, id: u64, request: CloudRequest, timeout: Micros) -> Effect {
        if !self.forwarder.made.contains_key(&(Service::Cloud, id)) {
            if let Some(by) = self.route_via(&Host::Cloud) {
                let what = ForwardedBody::Cloud(to_cbor(&request));
                return self.ask(by, Service::Cloud, id, what, timeout);
            }
            self.made(Service::Cloud, id, false, Whose::Own);
        }
        Effect::Cloud { id, request, timeout }
    }

    fn route_via(&self, host: &Host) -> Option<String> {
        match self.forwarder.link_table.way(host, self.context.now) {
            Route::By(node) if self.cluster.settings.operator.ways_by_others => Some(node),
            _ => None,
        }
    }

    fn ask(&mut self, to: String, service: Service, id: u64, what: ForwardedBody, timeout: Micros) -> Effect {
        self.forwarder.asked.insert((service, id), self.context.now + timeout);
        let message = PeerMessage::ForwardRequest {
            node: self.cluster.settings.node.clone(),
            life: self.forwarder.life,
            id,
            at: self.context.now.0,
            term: self.election.term(),
            timeout_ms: (timeout.0 / 1000) as u32,
            what,
        };
        Effect::Peer { to, message }
    }

    /// Messages that somebody waits for go by way of a third controller where there is
    /// no link; what is repeated anyway does not.
    fn route_peer_message(&self, to: String, message: PeerMessage) -> Effect {
        let passes = matches!(
            message,
            PeerMessage::Heartbeat { .. }
                | PeerMessage::HeartbeatResponse { .. }
                | PeerMessage::LastHeartbeatsRequest { .. }
                | PeerMessage::LastHeartbeats { .. }
                | PeerMessage::RelayPush { .. }
                | PeerMessage::RelayedPushResult { .. }
        );
        let by = passes.then(|| self.route_via(&Host::Node(to.clone()))).flatten();
        match by {
            Some(by) => {
                let body = bitcode::encode(&message);
                let message = PeerMessage::RelayMessage { to, body };
                Effect::Peer { to: by, message }
            }
            None => Effect::Peer { to, message },
        }
    }

    /// An answer of the state service to this node itself, if it is for this node.
    pub(super) fn on_direct_answer(&mut self, id: u64, answer: StoreResponse) -> Option<StoreResponse> {
        let Some(made) = self.forwarder.made.remove(&(Service::State, id)) else {
            return Some(answer);
        };
        let failed = matches!(answer, StoreResponse::Refused | StoreResponse::Unknown);
        self.note_link(Service::State, &made, failed);
        match made.whose {
            Whose::Own => Some(answer),
            Whose::Probe => None,
            Whose::Other(to, life, id) => {
                let mut body = to_cbor(&answer);
                if body.len() > LARGEST {
                    body = to_cbor(&StoreResponse::Unknown);
                }
                let what = ForwardedBody::State(body);
                let message = PeerMessage::ForwardedResponse { life, id, what };
                self.context.out.push(Effect::Peer { to, message });
                None
            }
        }
    }

    /// The same of the cloud.
    pub(super) fn on_direct_call(&mut self, id: u64, answer: CloudResponse) -> Option<CloudResponse> {
        let Some(made) = self.forwarder.made.remove(&(Service::Cloud, id)) else {
            return Some(answer);
        };
        let failed = matches!(answer, CloudResponse::Refused | CloudResponse::Unknown);
        self.note_link(Service::Cloud, &made, failed);
        match made.whose {
            Whose::Own => Some(answer),
            Whose::Probe => None,
            Whose::Other(to, life, id) => {
                let what = ForwardedBody::Cloud(to_cbor(&answer));
                let message = PeerMessage::ForwardedResponse { life, id, what };
                self.context.out.push(Effect::Peer { to, message });
                None
            }
        }
    }

    fn note_link(&mut self, service: Service, made: &Made, failed: bool) {
        let now = self.context.now;
        if failed {
            self.forwarder.link_table.failed(service.host(), now);
        } else {
            let took = (!made.waits).then(|| now.since(made.at));
            let was_down = self.forwarder.link_table.own(&service.host(), now) == LinkState::Down;
            self.forwarder.link_table.answered(service.host(), took, now);
            if was_down && service == Service::State {
                self.election.renew_now(now);
            }
        }
    }

    /// What is carried for others, and what others carried.
    pub(super) fn on_forwarded(&mut self, message: PeerMessage) {
        let now = self.context.now;
        match message {
            PeerMessage::ForwardRequest {
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
                let full = self.forwarder.made.values().filter(others).count() >= AT_ONCE;
                // A call to the cloud carries no condition: a leader that is known to be
                // deposed makes none. What goes to the state service does, and it is how
                // the sender learns of a later term.
                let deposed = matches!(what, ForwardedBody::Cloud(_)) && term < self.election.term();
                let never = !self.cluster.settings.operator.ways_by_others || !self.is_peer(&node);
                let late = never || full || deposed || self.forwarder.is_late(&node, at, now);
                self.forward_for(node, life, id, what, timeout, late);
            }
            PeerMessage::ForwardedResponse { life, id, what } if life == self.forwarder.life => {
                let service = match &what {
                    ForwardedBody::State(_) => Service::State,
                    ForwardedBody::Cloud(_) => Service::Cloud,
                };
                if self.forwarder.asked.remove(&(service, id)).is_none() {
                    return;
                }
                match what {
                    ForwardedBody::State(body) => {
                        let answer = from_cbor(&body).unwrap_or(StoreResponse::Unknown);
                        self.apply(Event::Store { id, answer });
                    }
                    ForwardedBody::Cloud(body) => {
                        let answer = from_cbor(&body).unwrap_or(CloudResponse::Unknown);
                        self.apply(Event::Cloud { id, answer });
                    }
                }
            }
            PeerMessage::RelayMessage { to, body } => {
                if self.forwarder.link_table.own(&Host::Node(to.clone()), now) == LinkState::Up {
                    let message = PeerMessage::RelayedMessage(body);
                    self.context.out.push(Effect::Peer { to, message });
                }
            }
            PeerMessage::RelayedMessage(body) => match bitcode::decode::<PeerMessage>(&body) {
                // One hop: nothing that is passed on makes this node pass or ask.
                Ok(
                    PeerMessage::RelayMessage { .. }
                    | PeerMessage::RelayedMessage(_)
                    | PeerMessage::ForwardRequest { .. },
                ) => {}
                Ok(message) => self.on_peer(message),
                Err(error) => tracing::warn!(%error, "malformed message from a controller"),
            },
            _ => {}
        }
    }

    /// Makes a request for another controller. `not` says that it must not be made: it
    /// was never executed then, which is what a refusal says.
    fn forward_for(&mut self, to: String, life: u64, id: u64, what: ForwardedBody, timeout: Micros, not: bool) {
        let whose = Whose::Other(to.clone(), life, id);
        let refused = match what {
            ForwardedBody::State(body) => match from_cbor::<StoreRequest>(&body) {
                Ok(request) if !not => {
                    let own = self.context.store.foreign();
                    let waits = matches!(request, StoreRequest::Watch { .. });
                    self.made(Service::State, own, waits, whose);
                    let effect = Effect::Store {
                        id: own,
                        request,
                        timeout,
                    };
                    return self.context.out.push(effect);
                }
                _ => ForwardedBody::State(to_cbor(&StoreResponse::Refused)),
            },
            ForwardedBody::Cloud(body) => match from_cbor::<CloudRequest>(&body) {
                Ok(request) if !not => {
                    let own = self.context.id();
                    self.made(Service::Cloud, own, false, whose);
                    let effect = Effect::Cloud {
                        id: own,
                        request,
                        timeout,
                    };
                    return self.context.out.push(effect);
                }
                _ => ForwardedBody::Cloud(to_cbor(&CloudResponse::Refused)),
            },
        };
        let message = PeerMessage::ForwardedResponse {
            life,
            id,
            what: refused,
        };
        self.context.out.push(Effect::Peer { to, message });
    }

    /// How this node's links are, for the others.
    pub(super) fn observed_links(&mut self) -> Vec<LinkObservation> {
        let now = self.context.now;
        let period = Micros::from_secs(self.cluster.settings.params.workers.report_s * REPORTS + 2.0);
        let mut zones: BTreeMap<String, (u32, Micros)> = BTreeMap::new();
        for t in self.cluster.catalogue.values() {
            for zone in &t.zones {
                zones.entry(zone.clone()).or_default();
            }
        }
        for (zone, at) in self.heartbeat_proxy.agent_zones() {
            if now.since(at) < period {
                if let Some(entry) = zones.get_mut(zone) {
                    *entry = (entry.0 + 1, entry.1.max(at));
                }
            }
        }
        for (zone, (count, last)) in zones {
            self.forwarder.link_table.workers(&zone, count, last);
        }
        self.forwarder.link_table.tell(now)
    }

    /// Links that are down are tried, what was asked of others in vain is given up, and
    /// a leader looks whether another controller had better lead.
    pub(super) fn run_link_probes(&mut self) {
        let now = self.context.now;
        let over: Vec<(Service, u64)> = self
            .forwarder
            .asked
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(key, _)| *key)
            .collect();
        for (service, id) in over {
            self.forwarder.asked.remove(&(service, id));
            self.apply(match service {
                Service::State => Event::Store {
                    id,
                    answer: StoreResponse::Unknown,
                },
                Service::Cloud => Event::Cloud {
                    id,
                    answer: CloudResponse::Unknown,
                },
            });
        }
        for (i, service) in [Service::State, Service::Cloud].into_iter().enumerate() {
            let host = service.host();
            let down = self.forwarder.link_table.own(&host, now) == LinkState::Down;
            let before = self.forwarder.told.insert(host.clone(), down);
            if down != before.unwrap_or(false) {
                let way = self.forwarder.link_table.way(&host, now);
                tracing::info!(?host, down, ?way, "a link has changed");
                if service == Service::State && matches!(way, Route::By(_)) {
                    self.api.reset_outage();
                }
            }
            let (pause, limit) = if down {
                (PROBE, PROBE_LIMIT)
            } else {
                (DOUBT, DOUBT_LIMIT)
            };
            // Hardly anybody but the leader needs the cloud, which takes few calls.
            let needs = service == Service::State || self.election.role() == Role::Leader;
            let pause = if needs { pause } else { SELDOM };
            let fails = self.forwarder.link_table.fails(&host);
            if fails && now >= self.forwarder.next_probe[i] {
                self.forwarder.next_probe[i] = now + pause;
                self.probe(service, limit);
            }
        }
        self.check_handover();
    }

    fn probe(&mut self, service: Service, timeout: Micros) {
        match service {
            Service::State => {
                let id = self.context.store.foreign();
                self.made(service, id, false, Whose::Probe);
                let request = StoreRequest::Get { key: keys::TERM.into() };
                self.context.out.push(Effect::Store { id, request, timeout });
            }
            Service::Cloud => {
                let id = self.context.id();
                self.made(service, id, false, Whose::Probe);
                let request = CloudRequest::Catalogue;
                self.context.out.push(Effect::Cloud { id, request, timeout });
            }
        }
    }

    /// A leader that another controller would do better for gives up the lead.
    fn check_handover(&mut self) {
        let now = self.context.now;
        let leads = self.election.role() == Role::Leader && self.leader.as_ref().is_some_and(|l| l.is_loaded());
        if !leads || self.election.is_writing_term() || self.election.is_lease_unverified() {
            if self.election.role() != Role::Leader {
                self.forwarder.led_since = None;
            }
            return;
        }
        let began = match self.forwarder.led_since {
            Some(at) => at,
            None => {
                self.forwarder.led_since = Some(now);
                self.forwarder.handover.begun();
                now
            }
        };
        let others = self.cluster.settings.peers.len() as u32;
        // Counted only where the decision depends on it: it looks at every machine, and this is
        // asked with every batch.
        let machines = || self.leader.as_ref().map_or(0, |l| l.working_machines());
        let found = self
            .forwarder
            .handover
            .look(&self.forwarder.link_table, others, machines, began, now);
        if let Some(Handover { to, why }) = found {
            tracing::warn!(term = self.election.term(), to, why = why.text(), "giving up the lead");
            self.give_up_lead(to, super::election::StepDownReason::HandsOver(why.text()));
        }
    }

    /// Whether the settings name another controller like this.
    pub(super) fn is_peer(&self, node: &str) -> bool {
        self.cluster.settings.peers.iter().any(|p| p.node == node)
    }

    /// Whether this node gave up the lead a moment ago.
    pub(super) fn gave_lately(&self) -> bool {
        self.forwarder.handover.gave_lately(self.context.now)
    }
}
