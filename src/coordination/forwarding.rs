//! Routing around failed links: requests to the state service and the cloud, and messages to
//! controllers, are sent through another controller where the direct link is down.
//!
//! The controller passes the effects of each batch to this module, and the answers and messages that
//! may belong to forwarded requests. The [`Forwarder`] owns the table of links and the requests in
//! flight, this controller's own and those of others. It determines the route of a request, never
//! whether the request is allowed: terms, conditions, fencing tokens and names of rentals are part
//! of the request, and a delayed or lost forwarded request has the same effect as one that was
//! delayed or lost on the network.
//!
//! Invariant: at most one hop. A request or message that came through another controller is never
//! forwarded again.

use super::election::{Role, StepDownReason};
use super::{CloudRequest, CloudResponse, Controller, Effect, Event};
use crate::protocol::peer::{ForwardedBody, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::protocol::{from_cbor, to_cbor};
use crate::storage::keys;
use crate::time::Micros;
use glenhaven_connectivity::{Handover, HandoverPolicy, Host, LinkObservation, LinkState, LinkTable, Route};
use std::collections::BTreeMap;

/// The most requests of other controllers in flight from here at a time; more are refused.
const MAX_FORWARDED: usize = 48;
/// A forwarded request that took longer than this to arrive is refused: its sender may have been
/// deposed since then, or have given up on the request.
const MAX_DELAY: Micros = Micros::from_millis(1500);
/// A link that is down is probed this often, so that its recovery is noticed.
const DOWN_PROBES: ProbeTiming = ProbeTiming {
    period: Micros::from_millis(400),
    timeout: Micros::from_millis(350),
};
/// A link that has failed once is probed more often until its state is determined: an idle
/// controller would otherwise detect a failure only with its next requests.
const SUSPECT_PROBES: ProbeTiming = ProbeTiming {
    period: Micros::from_millis(120),
    timeout: Micros::from_millis(150),
};
/// How often a failing link to a service that this controller rarely needs is probed.
const IDLE_PROBE_PERIOD: Micros = Micros::from_millis(5000);
/// The largest answer that fits into a frame between controllers, in bytes.
const MAX_ANSWER_BYTES: usize = 900 * 1024;
/// The number of heartbeat periods, plus two seconds, for which a heartbeat counts as a sign of a
/// working link to its agent.
const HEARTBEAT_PERIODS: f64 = 1.25;
/// The largest clock drift between two messages, which are half a second apart, in microseconds.
const CLOCK_DRIFT: i64 = 500;

/// The period and the timeout of the probes of a failing link.
#[derive(Clone, Copy)]
struct ProbeTiming {
    period: Micros,
    timeout: Micros,
}

/// The service that a request was sent to. Each service has its own request numbers.
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

/// A request that this controller sent to a service directly.
struct SentRequest {
    sent_at: Micros,
    /// Whether the request is a watch, whose duration is no measure of the link's round trip.
    is_watch: bool,
    origin: RequestOrigin,
}

/// Where the answer to a request goes.
enum RequestOrigin {
    /// To this controller.
    Own,
    /// Nowhere: the answer only shows whether the link has recovered.
    Probe,
    /// To the controller that delegated the request to this one.
    Forwarded(ForwardedId),
}

/// The identity of a request that another controller delegated to this one.
struct ForwardedId {
    node: String,
    /// The number of that controller's process incarnation.
    process_number: u64,
    /// That controller's number for the request.
    id: u64,
}

/// The clock of another controller relative to this one, estimated from its messages.
struct ClockOffset {
    /// The least difference between the time of receipt on this controller's clock and the time of
    /// sending on the other's, in microseconds.
    min_offset: i64,
    /// That controller's clock at its last message, in microseconds.
    sender_clock: u64,
}

/// The links as observed by this controller, and the requests in flight.
pub struct Forwarder {
    /// The number of this process incarnation; answers to requests of an earlier one are dropped.
    process_number: u64,
    /// The state of all links.
    pub link_table: LinkTable,
    handover: HandoverPolicy,
    /// Requests sent from here, own and forwarded, by this controller's number for them.
    sent: BTreeMap<(Service, u64), SentRequest>,
    /// Own requests that were delegated to another controller, with the time at which each expires.
    delegated: BTreeMap<(Service, u64), Micros>,
    clocks: BTreeMap<String, ClockOffset>,
    next_probe_at: BTreeMap<Service, Micros>,
    /// Since when this controller has led with the write-ahead log loaded.
    led_since: Option<Micros>,
    /// Whether the link to a service was last logged as down.
    logged_down: BTreeMap<Service, bool>,
}

impl Forwarder {
    /// Creates a forwarder without any observed link.
    pub fn new(node: &str, process_number: u64) -> Forwarder {
        Forwarder {
            process_number,
            link_table: LinkTable::new(node),
            handover: HandoverPolicy::default(),
            sent: BTreeMap::new(),
            delegated: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next_probe_at: BTreeMap::new(),
            led_since: None,
            logged_down: BTreeMap::new(),
        }
    }

    /// Records another controller's announcement with its observed links. `sender_clock` is the
    /// sender's steady clock, in microseconds.
    pub fn on_alive(&mut self, node: &str, sender_clock: u64, links: &[LinkObservation], now: Micros) {
        self.link_table.record_contact(node, now);
        self.link_table.record_observations(node, links, now);
        let offset = now.0 as i64 - sender_clock as i64;
        match self.clocks.get_mut(node) {
            Some(clock) if sender_clock >= clock.sender_clock => {
                clock.min_offset = clock.min_offset.min(offset) + CLOCK_DRIFT;
                clock.sender_clock = sender_clock;
            }
            // A new process incarnation restarts its clock.
            _ => {
                let clock = ClockOffset {
                    min_offset: offset,
                    sender_clock,
                };
                self.clocks.insert(node.to_string(), clock);
            }
        }
    }

    /// Whether a message sent at `sender_clock` took too long to arrive. This is an estimate, which
    /// may reject a message that was in time; it proves nothing.
    fn is_late(&self, node: &str, sender_clock: u64, now: Micros) -> bool {
        let Some(clock) = self.clocks.get(node) else {
            return true;
        };
        now.0 as i64 - sender_clock as i64 - clock.min_offset > MAX_DELAY.0 as i64
    }

    /// Whether a controller can be reached, directly or through another one.
    pub fn reaches(&self, node: &str, now: Micros) -> bool {
        let host = Host::Node(node.to_string());
        match self.link_table.own_link(&host, now) {
            LinkState::Up => true,
            LinkState::Unknown => false,
            _ => matches!(self.link_table.route(&host, now), Route::Via(_)),
        }
    }

    /// Whether answers of the state service reach this controller, directly or through another one.
    /// If not, requests to the service may still be executed.
    pub fn receives_store_answers(&self, now: Micros) -> bool {
        self.link_table.route(&Host::State, now) != Route::Nowhere || self.link_table.is_recovering(&Host::State)
    }

    /// The number of other controllers' requests in flight from here.
    fn forwarded_requests(&self) -> usize {
        let is_forwarded = |sent: &&SentRequest| matches!(sent.origin, RequestOrigin::Forwarded(_));
        self.sent.values().filter(is_forwarded).count()
    }
}

impl Controller {
    /// Returns the effects of the batch, routed over working links.
    pub(super) fn route_effects(&mut self) -> Vec<Effect> {
        let decided = std::mem::take(&mut self.context.effects);
        let mut routed = Vec::with_capacity(decided.len());
        for effect in decided {
            let effect = match effect {
                Effect::Store { id, request, timeout } => self.route_store_request(id, request, timeout),
                Effect::Cloud { id, request, timeout } => self.route_cloud_request(id, request, timeout),
                Effect::Peer { to, message } => self.route_peer_message(to, message),
                other => other,
            };
            routed.push(effect);
        }
        routed
    }

    /// Records a request that is sent directly from here.
    fn record_sent(&mut self, service: Service, id: u64, is_watch: bool, origin: RequestOrigin) {
        let sent = SentRequest {
            sent_at: self.context.now,
            is_watch,
            origin,
        };
        self.forwarder.sent.insert((service, id), sent);
    }

    fn route_store_request(&mut self, id: u64, request: StoreRequest, timeout: Micros) -> Effect {
        // A request that is already recorded is a forwarded one or a probe: it is sent directly.
        if !self.forwarder.sent.contains_key(&(Service::State, id)) {
            if let Some(via) = self.route_via(&Host::State) {
                let request = ForwardedBody::State(to_cbor(&request));
                return self.delegate(via, Service::State, id, request, timeout);
            }
            let is_watch = matches!(request, StoreRequest::Watch { .. });
            self.record_sent(Service::State, id, is_watch, RequestOrigin::Own);
        }
        Effect::Store { id, request, timeout }
    }

    fn route_cloud_request(&mut self, id: u64, request: CloudRequest, timeout: Micros) -> Effect {
        if !self.forwarder.sent.contains_key(&(Service::Cloud, id)) {
            if let Some(via) = self.route_via(&Host::Cloud) {
                let request = ForwardedBody::Cloud(to_cbor(&request));
                return self.delegate(via, Service::Cloud, id, request, timeout);
            }
            self.record_sent(Service::Cloud, id, false, RequestOrigin::Own);
        }
        Effect::Cloud { id, request, timeout }
    }

    /// The controller through which a host is reached; `None` if the host is reached directly or not
    /// at all.
    fn route_via(&self, host: &Host) -> Option<String> {
        match self.forwarder.link_table.route(host, self.context.now) {
            Route::Via(node) if self.cluster.settings.operator.forwards_requests => Some(node),
            _ => None,
        }
    }

    /// Delegates a request to another controller.
    fn delegate(&mut self, to: String, service: Service, id: u64, request: ForwardedBody, timeout: Micros) -> Effect {
        let until = self.context.now + timeout;
        self.forwarder.delegated.insert((service, id), until);
        let message = PeerMessage::ForwardRequest {
            node: self.cluster.settings.node.clone(),
            process_number: self.forwarder.process_number,
            id,
            sent_at_us: self.context.now.0,
            term: self.election.term(),
            timeout_ms: (timeout.0 / 1000) as u32,
            body: request,
        };
        Effect::Peer { to, message }
    }

    /// Routes a message to a controller. Without a direct link, a message that the recipient or the
    /// sender waits for goes through a third controller; messages that are repeated anyway do not.
    fn route_peer_message(&self, to: String, message: PeerMessage) -> Effect {
        let is_awaited = matches!(
            message,
            PeerMessage::Heartbeat { .. }
                | PeerMessage::HeartbeatResponse { .. }
                | PeerMessage::LastHeartbeatsRequest { .. }
                | PeerMessage::LastHeartbeats { .. }
                | PeerMessage::RelayPush { .. }
                | PeerMessage::RelayedPushResult { .. }
        );
        let via = is_awaited.then(|| self.route_via(&Host::Node(to.clone()))).flatten();
        match via {
            Some(via) => {
                let body = bitcode::encode(&message);
                let message = PeerMessage::RelayMessage { to, body };
                Effect::Peer { to: via, message }
            }
            None => Effect::Peer { to, message },
        }
    }

    /// Handles an answer of the state service to a request sent directly from here. Returns the
    /// answer if this controller made the request, and `None` if it was a probe or a forwarded one.
    pub(super) fn take_own_store_answer(&mut self, id: u64, answer: StoreResponse) -> Option<StoreResponse> {
        let Some(sent) = self.forwarder.sent.remove(&(Service::State, id)) else {
            return Some(answer);
        };
        let has_failed = matches!(answer, StoreResponse::Refused | StoreResponse::Unknown);
        self.record_link_result(Service::State, &sent, has_failed);
        match sent.origin {
            RequestOrigin::Own => Some(answer),
            RequestOrigin::Probe => None,
            RequestOrigin::Forwarded(request) => {
                let mut body = to_cbor(&answer);
                if body.len() > MAX_ANSWER_BYTES {
                    body = to_cbor(&StoreResponse::Unknown);
                }
                self.return_forwarded(request, ForwardedBody::State(body));
                None
            }
        }
    }

    /// Handles an answer of the cloud like
    /// [`take_own_store_answer`](Controller::take_own_store_answer) for the state service.
    pub(super) fn take_own_cloud_answer(&mut self, id: u64, answer: CloudResponse) -> Option<CloudResponse> {
        let Some(sent) = self.forwarder.sent.remove(&(Service::Cloud, id)) else {
            return Some(answer);
        };
        let has_failed = matches!(answer, CloudResponse::Refused | CloudResponse::Unknown);
        self.record_link_result(Service::Cloud, &sent, has_failed);
        match sent.origin {
            RequestOrigin::Own => Some(answer),
            RequestOrigin::Probe => None,
            RequestOrigin::Forwarded(request) => {
                self.return_forwarded(request, ForwardedBody::Cloud(to_cbor(&answer)));
                None
            }
        }
    }

    /// Sends the answer to a forwarded request to the controller that delegated the request.
    fn return_forwarded(&mut self, request: ForwardedId, answer: ForwardedBody) {
        let message = PeerMessage::ForwardedResponse {
            process_number: request.process_number,
            id: request.id,
            body: answer,
        };
        let to = request.node;
        self.context.effects.push(Effect::Peer { to, message });
    }

    /// Records the link to a service as working or failed, by an answer or its absence.
    fn record_link_result(&mut self, service: Service, sent: &SentRequest, has_failed: bool) {
        let now = self.context.now;
        let links = &mut self.forwarder.link_table;
        if has_failed {
            links.record_failure(service.host(), now);
            return;
        }
        let round_trip = (!sent.is_watch).then(|| now.since(sent.sent_at));
        let was_down = links.own_link(&service.host(), now) == LinkState::Down;
        links.record_answer(service.host(), round_trip, now);
        if was_down && service == Service::State {
            self.election.request_renewal(now);
        }
    }

    /// Handles a message about a forwarded request or a relayed message.
    pub(super) fn on_forwarded(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::ForwardRequest { .. } => self.on_forward_request(message),
            PeerMessage::ForwardedResponse {
                process_number,
                id,
                body,
            } if process_number == self.forwarder.process_number => {
                self.on_forwarded_response(id, body);
            }
            PeerMessage::RelayMessage { to, body } => {
                let link = Host::Node(to.clone());
                if self.forwarder.link_table.own_link(&link, self.context.now) == LinkState::Up {
                    let message = PeerMessage::RelayedMessage(body);
                    self.context.effects.push(Effect::Peer { to, message });
                }
            }
            PeerMessage::RelayedMessage(body) => match bitcode::decode::<PeerMessage>(&body) {
                // At most one hop: a relayed message must not cause another relay or forward.
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

    /// Handles a request that another controller delegates to this one.
    fn on_forward_request(&mut self, message: PeerMessage) {
        let PeerMessage::ForwardRequest {
            node,
            process_number,
            id,
            sent_at_us,
            term,
            timeout_ms,
            body,
        } = message
        else {
            return;
        };
        // A call to the cloud has no condition, so it is refused for a leader that is known to be
        // deposed. A request to the state service is conditional, and its answer informs the sender
        // of a later term.
        let is_deposed = matches!(body, ForwardedBody::Cloud(_)) && term < self.election.term();
        let is_allowed = self.cluster.settings.operator.forwards_requests && self.is_peer(&node);
        let is_refused = !is_allowed
            || self.forwarder.forwarded_requests() >= MAX_FORWARDED
            || is_deposed
            || self.forwarder.is_late(&node, sent_at_us, self.context.now);
        let request = ForwardedId {
            node,
            process_number,
            id,
        };
        let timeout = Micros::from_millis(u64::from(timeout_ms));
        if is_refused {
            self.refuse_forwarded(request, &body);
            return;
        }
        match body {
            ForwardedBody::State(ref encoded) => match from_cbor::<StoreRequest>(encoded) {
                Ok(store_request) => self.forward_to_store(request, store_request, timeout),
                Err(_) => self.refuse_forwarded(request, &body),
            },
            ForwardedBody::Cloud(ref encoded) => match from_cbor::<CloudRequest>(encoded) {
                Ok(cloud_request) => self.forward_to_cloud(request, cloud_request, timeout),
                Err(_) => self.refuse_forwarded(request, &body),
            },
        }
    }

    fn forward_to_store(&mut self, forwarded: ForwardedId, request: StoreRequest, timeout: Micros) {
        let id = self.context.store.reserve_request_id();
        let is_watch = matches!(request, StoreRequest::Watch { .. });
        self.record_sent(Service::State, id, is_watch, RequestOrigin::Forwarded(forwarded));
        self.context.effects.push(Effect::Store { id, request, timeout });
    }

    fn forward_to_cloud(&mut self, forwarded: ForwardedId, request: CloudRequest, timeout: Micros) {
        let id = self.context.next_id();
        self.record_sent(Service::Cloud, id, false, RequestOrigin::Forwarded(forwarded));
        self.context.effects.push(Effect::Cloud { id, request, timeout });
    }

    /// Refuses a forwarded request; a refusal means that the request was never executed.
    fn refuse_forwarded(&mut self, request: ForwardedId, body: &ForwardedBody) {
        let refusal = match body {
            ForwardedBody::State(_) => ForwardedBody::State(to_cbor(&StoreResponse::Refused)),
            ForwardedBody::Cloud(_) => ForwardedBody::Cloud(to_cbor(&CloudResponse::Refused)),
        };
        self.return_forwarded(request, refusal);
    }

    /// Handles the answer to a request that this controller delegated to another one.
    fn on_forwarded_response(&mut self, id: u64, answer: ForwardedBody) {
        let service = match &answer {
            ForwardedBody::State(_) => Service::State,
            ForwardedBody::Cloud(_) => Service::Cloud,
        };
        // Ignores an answer that came after the timeout, or a duplicate.
        if self.forwarder.delegated.remove(&(service, id)).is_none() {
            return;
        }
        match answer {
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

    /// The states of this controller's links, for its announcement to the others.
    pub(super) fn observed_links(&mut self) -> Vec<LinkObservation> {
        let now = self.context.now;
        let heartbeat_s = self.cluster.settings.params.workers.report_s;
        let period = Micros::from_secs(heartbeat_s * HEARTBEAT_PERIODS + 2.0);
        let mut zones: BTreeMap<String, ZoneAgents> = BTreeMap::new();
        for machine_type in self.cluster.catalogue.values() {
            for zone in &machine_type.zones {
                zones.entry(zone.clone()).or_default();
            }
        }
        for (zone, heartbeat_at) in self.heartbeat_proxy.agent_zones() {
            if now.since(heartbeat_at) < period {
                if let Some(agents) = zones.get_mut(zone) {
                    agents.count += 1;
                    agents.last_heartbeat = agents.last_heartbeat.max(heartbeat_at);
                }
            }
        }
        let links = &mut self.forwarder.link_table;
        for (zone, agents) in zones {
            links.record_agents(&zone, agents.count, agents.last_heartbeat);
        }
        links.observations(now)
    }

    /// Probes failing links, gives up on delegated requests without an answer, and checks whether
    /// another controller should lead.
    pub(super) fn run_link_probes(&mut self) {
        self.expire_delegated();
        for service in [Service::State, Service::Cloud] {
            self.log_link_change(service);
            self.probe_if_due(service);
        }
        self.check_handover();
    }

    /// Gives up on delegated requests that were not answered in time.
    fn expire_delegated(&mut self) {
        let now = self.context.now;
        let delegated = self.forwarder.delegated.iter();
        let expired: Vec<(Service, u64)> = delegated
            .filter(|(_, until)| now >= **until)
            .map(|(request, _)| *request)
            .collect();
        for (service, id) in expired {
            self.forwarder.delegated.remove(&(service, id));
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
    }

    /// Logs that the link to a service went down or recovered, if it did.
    fn log_link_change(&mut self, service: Service) {
        let now = self.context.now;
        let host = service.host();
        let down = self.forwarder.link_table.own_link(&host, now) == LinkState::Down;
        let was_down = self.forwarder.logged_down.insert(service, down).unwrap_or(false);
        if down != was_down {
            let route = self.forwarder.link_table.route(&host, now);
            tracing::info!(?host, down, way = ?route, "the link to a service has changed");
            if service == Service::State && matches!(route, Route::Via(_)) {
                self.api.reset_outage();
            }
        }
    }

    /// Probes the link to a service if the link is failing and a probe is due.
    fn probe_if_due(&mut self, service: Service) {
        let now = self.context.now;
        let host = service.host();
        let is_down = self.forwarder.link_table.own_link(&host, now) == LinkState::Down;
        let timing = if is_down { DOWN_PROBES } else { SUSPECT_PROBES };
        // The other controllers rarely need the cloud, whose rate limit allows few calls.
        let is_needed = service == Service::State || self.election.role() == Role::Leader;
        let period = if is_needed { timing.period } else { IDLE_PROBE_PERIOD };
        let due_at = self.forwarder.next_probe_at.get(&service);
        let is_due = due_at.is_none_or(|at| now >= *at);
        if is_due && self.forwarder.link_table.is_failing(&host) {
            self.forwarder.next_probe_at.insert(service, now + period);
            self.probe(service, timing.timeout);
        }
    }

    fn probe(&mut self, service: Service, timeout: Micros) {
        match service {
            Service::State => {
                let id = self.context.store.reserve_request_id();
                self.record_sent(service, id, false, RequestOrigin::Probe);
                let request = StoreRequest::Get { key: keys::TERM.into() };
                self.context.effects.push(Effect::Store { id, request, timeout });
            }
            Service::Cloud => {
                let id = self.context.next_id();
                self.record_sent(service, id, false, RequestOrigin::Probe);
                let request = CloudRequest::Catalogue;
                self.context.effects.push(Effect::Cloud { id, request, timeout });
            }
        }
    }

    /// Gives up the leadership if another controller should lead.
    fn check_handover(&mut self) {
        let now = self.context.now;
        let is_leader = self.election.role() == Role::Leader;
        let leads = is_leader && self.leader.as_ref().is_some_and(|l| l.is_loaded());
        if !leads || self.election.is_writing_term() || self.election.is_lease_unverified() {
            if !is_leader {
                self.forwarder.led_since = None;
            }
            return;
        }
        let led_since = match self.forwarder.led_since {
            Some(at) => at,
            None => {
                self.forwarder.led_since = Some(now);
                self.forwarder.handover.on_leadership_began();
                now
            }
        };
        let others = self.cluster.settings.peers.len() as u32;
        // Counted only if the decision depends on the number: the count goes through all machines,
        // and the policy decides after every batch.
        let machines = || self.leader.as_ref().map_or(0, |l| l.up_machines());
        let links = &self.forwarder.link_table;
        let handover = self.forwarder.handover.decide(links, others, machines, led_since, now);
        if let Some(Handover { to, reason }) = handover {
            let why = reason.as_str();
            tracing::warn!(term = self.election.term(), to, why, "giving up the leadership");
            self.give_up_leadership(to, StepDownReason::Handover(reason));
        }
    }

    /// Whether this controller gave up the leadership recently.
    pub(super) fn gave_up_leadership_recently(&self) -> bool {
        self.forwarder.handover.handed_over_recently(self.context.now)
    }
}

/// The agents of a zone that send their heartbeats to this controller.
#[derive(Clone, Copy, Default)]
struct ZoneAgents {
    count: u32,
    last_heartbeat: Micros,
}
