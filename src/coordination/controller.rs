//! The controller: passes events to the components that handle them and collects their effects.
//!
//! Only the runtime calls this module. The controller owns the election, the job API, the leader's
//! state and the forwarder; these components make all decisions about jobs, machines and terms.
//!
//! Invariant: each batch is processed in a fixed order: its events in sequence, then the periodic
//! work, then the requests that leave the store queue. Nothing is sent outside of this order.

use super::agents::HeartbeatProxy;
use super::api::JobApi;
use super::cluster_config::ClusterConfig;
use super::context::Context;
use super::election::{Election, ElectionContinuation};
use super::events::{Continuation, Effect, Event, UserRequest};
use super::forwarding::Forwarder;
use super::lease_renewal::CancellationAttestations;
use super::peers::{PeerStatus, RelayedPush};
use super::provisioning::CloudCallTracker;
use super::state::LeaderState;
use super::store_queue::Urgency;
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::settings::Settings;
use crate::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The time between two batches from which on the process counts as paused. Batches normally follow
/// each other within milliseconds; events that were queued during a pause are old.
const PROCESS_PAUSE: Micros = Micros::from_millis(900);

/// A controller whose last verified read of the state service is older than this has lost contact
/// with the service.
const STORE_LOST: Micros = Micros::from_millis(4000);

/// The single owner of a controller's state.
pub struct Controller {
    pub(super) cluster: ClusterConfig,
    pub(super) context: Context,
    pub(super) election: Election,
    pub(super) api: JobApi,
    pub(super) cloud_calls: CloudCallTracker,
    pub(super) heartbeat_proxy: HeartbeatProxy,
    /// Cancellations that the other controllers attested while the state service did not answer.
    pub(super) attestations: CancellationAttestations,
    /// The leader's state, while this controller leads.
    pub(super) leader: Option<LeaderState>,
    /// The last status that each other controller announced, by its name.
    pub(super) peers: BTreeMap<String, PeerStatus>,
    /// The state of the links to the other controllers.
    pub(super) peer_links: BTreeMap<String, Link>,
    /// The table of all links, and the requests that are forwarded.
    pub(super) forwarder: Forwarder,
    /// Commands sent to agents on behalf of the leader, by this controller's request number.
    pub(super) relayed_pushes: BTreeMap<u64, RelayedPush>,
    /// The last incarnation of this controller's leadership that has requested the agents' last
    /// heartbeats from the other controllers.
    pub(super) last_heartbeats_requested_for: u64,
    /// When this controller next announces to the others that it is alive.
    pub(super) next_alive_at: Micros,
    election_started: bool,
    /// When the periodic summary is next logged.
    pub(super) next_log_at: Micros,
    /// When the last batch was processed.
    last_batch_at: Micros,
    /// The longest time between two batches since the last log.
    pub(super) longest_pause: Micros,
    /// The number of invariant violations found in this incarnation of the process.
    pub(super) broken_invariants: u64,
    /// When this incarnation of the process began.
    pub(super) started_at: Micros,
    /// When the state service recently refused changes because of its rate limit.
    pub(super) limited_at: VecDeque<Micros>,
}

impl Controller {
    /// Creates a controller that has only its settings; it has had no contact with any service.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Controller {
        let election = Election::new(&settings, now);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Answers to requests of an earlier incarnation of this process may still arrive. Each
        // incarnation starts its request numbers at a random value, so that such an answer is not
        // taken for the answer to another request.
        let process_number = rng.u64(..);
        let node = settings.node.clone();
        let heartbeat_proxy = HeartbeatProxy::new(&settings.params.workers);
        let cluster = ClusterConfig::new(settings);
        let mut controller = Controller {
            context: Context::new(&cluster.limits, rng, process_number >> 1, now),
            cluster,
            election,
            api: JobApi::new(&node),
            cloud_calls: CloudCallTracker::new(now),
            heartbeat_proxy,
            attestations: CancellationAttestations::new(now),
            leader: None,
            peers: BTreeMap::new(),
            peer_links: BTreeMap::new(),
            forwarder: Forwarder::new(&node, process_number),
            relayed_pushes: BTreeMap::new(),
            last_heartbeats_requested_for: 0,
            next_alive_at: now,
            election_started: false,
            next_log_at: now,
            last_batch_at: now,
            longest_pause: Micros::ZERO,
            broken_invariants: 0,
            started_at: now,
            limited_at: VecDeque::new(),
        };
        controller.set_rates();
        controller
    }

    /// Sets the time of day, in milliseconds since 1970, that corresponds to `now` on this process's
    /// clock.
    pub fn set_time_of_day(&mut self, now: Micros, day_ms: u64) {
        self.context.clock_origin_ms = day_ms.saturating_sub(now.0 / 1000);
    }

    /// Processes a batch of events and returns the resulting effects, in order.
    pub fn handle(&mut self, now: Micros, batch: Vec<Event>) -> Vec<Effect> {
        self.context.now = self.context.now.max(now);
        if !self.election_started {
            self.election_started = true;
            self.election.start(&mut self.context);
        }
        let pause = self.context.now.since(self.last_batch_at);
        self.last_batch_at = self.context.now;
        self.longest_pause = self.longest_pause.max(pause);
        if pause > PROCESS_PAUSE {
            self.on_process_pause(pause);
        }
        for event in batch {
            self.apply(event);
        }
        self.tick();
        for continuation in self.context.store.expire(self.context.now) {
            self.on_store_answer(continuation, StoreResponse::Refused);
        }
        for (id, request, timeout) in self.context.store.take_sendable(self.context.now) {
            self.context.effects.push(Effect::Store { id, request, timeout });
        }
        self.route_effects()
    }

    /// Handles a pause of this process. A timeout that expired during the pause is no evidence that
    /// another node failed: the messages that arrived meanwhile are processed first.
    fn on_process_pause(&mut self, pause: Micros) {
        tracing::warn!(paused_s = pause.secs(), "this process was paused");
        let now = self.context.now;
        self.election.on_process_pause(now);
        if let Some(leader) = self.leader.as_mut() {
            leader.listening_since = now;
        }
    }

    /// Processes one event. After each event, the leader's state has every cancellation that the job
    /// API has.
    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::User { id, request } => self.on_user(id, request),
            Event::Heartbeat { id, heartbeat } => self.on_heartbeat(id, heartbeat),
            Event::Store { id, answer } => self.on_store_event(id, answer),
            Event::Cloud { id, answer } => {
                if let Some(answer) = self.take_own_cloud_answer(id, answer) {
                    self.on_cloud_response(id, answer);
                }
            }
            Event::Link { node, link } => {
                tracing::debug!(node, ?link, "the link to a controller has changed");
                self.forwarder
                    .link_table
                    .record_delivery(&node, link == Link::Up, link == Link::Refused);
                self.peer_links.insert(node, link);
            }
            Event::PushResult { id, answer } => {
                if let Some(push) = self.relayed_pushes.remove(&id) {
                    let message = PeerMessage::RelayedPushResult {
                        id: push.request_id,
                        answer,
                    };
                    let to = push.requester;
                    self.context.effects.push(Effect::Peer { to, message });
                } else if let Some(leader) = self.leader.as_mut() {
                    leader.on_push_result(id, answer);
                }
            }
            Event::Peer(message) => self.on_peer(message),
        }
        self.apply_cancellations_to_leader();
    }

    /// Handles an answer of the state service to one of this controller's own requests or to a
    /// forwarded one.
    fn on_store_event(&mut self, id: u64, answer: StoreResponse) {
        let answer = self.record_limit_refusal(answer);
        let Some(answer) = self.take_own_store_answer(id, answer) else {
            return;
        };
        let is_refused = matches!(answer, StoreResponse::Refused);
        self.api.record_store_response(self.context.now, &answer);
        if let Some(continuation) = self.context.store.answered(id, is_refused, self.context.now) {
            self.on_store_answer(continuation, answer);
        }
    }

    fn on_store_answer(&mut self, continuation: Continuation, answer: StoreResponse) {
        match continuation {
            Continuation::Election(continuation) => self.on_election_answer(continuation, answer),
            Continuation::Api(continuation) => {
                self.api
                    .on_store(&mut self.context, &self.cluster, continuation, answer)
            }
            Continuation::Log(incarnation, continuation) => {
                if self.leader.as_ref().is_some_and(|l| l.incarnation == incarnation) {
                    self.on_log_answer(continuation, answer);
                }
            }
        }
    }

    fn on_user(&mut self, id: u64, request: UserRequest) {
        match request {
            UserRequest::Ready => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.context.reply(id, status, vec![], None);
            }
            other => {
                let counts = |job: &str| {
                    let progress = self.leader.as_ref().and_then(|l| l.progress(job));
                    progress.map(|p| (p.finished, p.running))
                };
                self.api.on_user(&mut self.context, &self.cluster, id, other, counts);
            }
        }
    }

    /// Whether this controller is ready for user requests, that is, whether it can decide them.
    ///
    /// In an outage of the state service that affects all controllers, they all stay ready. A
    /// controller that alone has lost the service is not ready, so that the load balancer sends
    /// users to the others.
    fn is_ready(&self) -> bool {
        if self.cluster.catalogue.is_empty() || !self.election.is_initialized() || !self.api.is_ready() {
            return false;
        }
        let has_lost_store = self.context.now.since(self.election.verified_at()) > STORE_LOST;
        let a_peer_has_store = self.recent_peers().any(|peer| peer.store_is_current);
        // Without contact to any other controller, this one can't determine whether the others have
        // lost the service too. It has lost more than the service, so users should go to the others.
        let is_isolated = self.cluster.nodes() > 1 && self.recent_peers().next().is_none();
        !(has_lost_store && (a_peer_has_store || is_isolated))
    }

    /// Whether this controller leads and has read the write-ahead log; for tests.
    pub fn is_leader(&self) -> bool {
        self.leader.as_ref().is_some_and(|l| l.is_loaded())
    }

    /// Returns the number of jobs that are known to be cancelled to the job API and not to the
    /// leader's state; for tests. It is 0 whenever a lease is renewed.
    pub fn missed_cancellations(&self) -> usize {
        let leader = self.leader.as_ref();
        leader.map_or(0, |leader| leader.missed_cancellations(&self.api).count())
    }

    /// The controller's name.
    pub fn node(&self) -> &str {
        &self.cluster.settings.node
    }

    /// The number of invariant violations found in this incarnation of the process.
    pub fn broken_invariants(&self) -> u64 {
        self.broken_invariants
    }

    /// Queues a request of the election that is sent no earlier than `at`.
    pub(super) fn push_election_request_at(
        &mut self,
        at: Micros,
        request: StoreRequest,
        continuation: ElectionContinuation,
        timeout: Micros,
    ) {
        let continuation = Continuation::Election(continuation);
        self.context
            .store
            .push_at(at, Urgency::Leadership, request, continuation, timeout);
    }
}
