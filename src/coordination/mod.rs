//! The single owner of all state. It takes batches of commands with the time
//! and returns effects; there is no I/O, clock or global randomness inside.

pub mod agents;
pub mod api;
pub mod audit;
pub mod cluster_config;
pub mod context;
pub mod decision_log;
pub mod dependencies;
pub mod election;
pub mod events;
pub mod failure_detection;
mod fault_injection;
pub mod forwarding;
pub mod invariants;
pub mod lease_renewal;
pub mod log;
pub mod objectives;
pub mod provisioning;
pub mod rate_shares;
pub mod replica_status;
pub mod reservation;
pub mod scheduling;
pub mod state;
pub mod store_queue;
pub mod summary;
pub mod tick;
pub mod timing;

use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::settings::Settings;
use crate::time::Micros;
use agents::HeartbeatProxy;
use api::JobApi;
pub use cluster_config::ClusterConfig;
pub use context::Context;
use election::Election;
pub use events::{CloudRequest, CloudResponse, Continuation, Effect, Event, PushResult, UserRequest};
use forwarding::Forwarder;
use lease_renewal::CancellationAttestations;
use provisioning::CloudCallTracker;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use store_queue::{StoreQueue, Urgency};

/// A controller that has done nothing for this long, though it looks at its
/// clocks every few milliseconds, stood still. What it had queued is old.
const STANDSTILL: Micros = Micros::from_millis(900);

/// A controller that was not heard for this long is not counted on.
const HEARD: Micros = Micros::from_millis(1600);

/// A job's id.
pub type JobId = Rc<str>;

/// What a peer last said of itself.
#[derive(Clone, Copy, Debug)]
struct PeerView {
    at: Micros,
    fresh: bool,
    term: u64,
    leads: bool,
    /// Changes a second that it wants to make.
    wants: f64,
    /// Workers that report to it.
    serves: u32,
    /// Its clock as it told it last, and when this life of it was heard first: a clock
    /// that goes back is that of a new life.
    clock: u64,
    since: Micros,
}

/// The single owner of a controller's state.
pub struct Controller {
    cluster: ClusterConfig,
    context: Context,
    election: Election,
    api: JobApi,
    cloud: CloudCallTracker,
    heartbeat_proxy: HeartbeatProxy,
    /// What the others said that they confirmed, while the state service did not answer.
    attestations: CancellationAttestations,
    leader: Option<state::LeaderState>,
    peers: BTreeMap<String, PeerView>,
    links: BTreeMap<String, Link>,
    /// What is known of all links, and what goes by way of other controllers.
    forwarder: Forwarder,
    /// Commands sent to workers for the leader: whom to tell, and its number.
    relayed_pushes: BTreeMap<u64, (String, u64)>,
    /// The leadership of this node that has asked for workers' last reports.
    heartbeats_requested: u64,
    next_alive: Micros,
    started: bool,
    next_log: Micros,
    /// When the last batch was worked through, and when this process began.
    last_batch: Micros,
    /// The longest time between two batches since the last log.
    longest_pause: Micros,
    /// Invariants that were seen broken in this life of the process.
    broken_invariants: u64,
    began: Micros,
    /// When changes were refused lately because there were too many.
    limited: VecDeque<Micros>,
}

impl Controller {
    /// A controller that knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Controller {
        let limits = settings.params.state.limits();
        let store = StoreQueue::new(limits.requests_per_s() * 0.2, limits.changes_per_s() * 0.2, now);
        let election = Election::new(&settings, now);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Numbers of an earlier life of this process may still be on their way: the answer
        // to a report that was passed on, or what came of a command, would be taken for
        // that of another machine. Lives count from numbers far apart.
        let (node, life) = (settings.node.clone(), rng.u64(..));
        let heartbeat_proxy = HeartbeatProxy::new(&settings.params.workers);
        let mut core = Controller {
            cluster: ClusterConfig {
                settings,
                catalogue: BTreeMap::new(),
                limits,
                lagging: None,
            },
            context: Context {
                now,
                store,
                out: vec![],
                rng,
                next_id: life >> 1,
                day_ms: 0,
            },
            election,
            api: JobApi::new(&node),
            cloud: CloudCallTracker::new(now),
            heartbeat_proxy,
            attestations: CancellationAttestations::new(now),
            leader: None,
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            forwarder: Forwarder::new(&node, life),
            relayed_pushes: BTreeMap::new(),
            heartbeats_requested: 0,
            next_alive: now,
            started: false,
            next_log: now,
            last_batch: now,
            longest_pause: Micros::ZERO,
            broken_invariants: 0,
            began: now,
            limited: VecDeque::new(),
        };
        core.set_rates();
        core
    }

    /// Says what time of day it is, in milliseconds since 1970.
    pub fn set_time_of_day(&mut self, now: Micros, day_ms: u64) {
        self.context.day_ms = day_ms.saturating_sub(now.0 / 1000);
    }

    /// Works through a batch of commands and says what is to be done.
    pub fn handle(&mut self, now: Micros, batch: Vec<Event>) -> Vec<Effect> {
        self.context.now = self.context.now.max(now);
        if !self.started {
            self.started = true;
            self.election.start(&mut self.context);
        }
        let still = self.context.now.since(self.last_batch);
        self.last_batch = self.context.now;
        self.longest_pause = self.longest_pause.max(still);
        if still > STANDSTILL {
            self.on_process_pause(still);
        }
        for event in batch {
            self.apply(event);
        }
        self.tick();
        for continuation in self.context.store.expire(self.context.now) {
            self.on_store_answer(continuation, StoreResponse::Refused);
        }
        for (id, request, timeout) in self.context.store.pump(self.context.now) {
            self.context.out.push(Effect::Store { id, request, timeout });
        }
        self.route_effects()
    }

    /// The process did nothing for a while. Whatever came due meanwhile says
    /// nothing about others: they get the time to be heard first.
    fn on_process_pause(&mut self, still: Micros) {
        tracing::warn!(still_s = still.secs(), "this controller stood still");
        let now = self.context.now;
        self.election.on_process_pause(now);
        if let Some(leader) = self.leader.as_mut() {
            leader.listens_since = now;
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::User { id, request } => self.on_user(id, request),
            Event::Heartbeat { id, heartbeat } => self.on_heartbeat(id, heartbeat),
            Event::Store { id, answer } => {
                let answer = self.note_limits(answer);
                let Some(answer) = self.on_direct_answer(id, answer) else {
                    return;
                };
                let refused = matches!(answer, StoreResponse::Refused);
                self.api.note_health(self.context.now, &answer);
                if let Some(continuation) = self.context.store.answered(id, refused, self.context.now) {
                    self.on_store_answer(continuation, answer);
                }
            }
            Event::Cloud { id, answer } => {
                if let Some(answer) = self.on_direct_call(id, answer) {
                    self.on_cloud(id, answer);
                }
            }
            Event::Link { node, link } => {
                tracing::debug!(node, ?link, "link");
                self.forwarder
                    .link_table
                    .sends(&node, link == Link::Up, link == Link::Refused);
                self.links.insert(node, link);
            }
            Event::PushedCommands { id, answer } => {
                if let Some((to, id)) = self.relayed_pushes.remove(&id) {
                    let message = PeerMessage::RelayedPushResult { id, answer };
                    self.context.out.push(Effect::Peer { to, message });
                } else if let Some(leader) = self.leader.as_mut() {
                    leader.on_push_result(id, answer);
                }
            }
            Event::Peer(message) => self.on_peer(message),
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
                let ready = self.is_ready();
                self.context.reply(id, if ready { 200 } else { 503 }, vec![], None);
            }
            other => {
                let counts = |job: &str| self.leader.as_ref().and_then(|l| l.progress(job));
                self.api.on_user(&mut self.context, &self.cluster, id, other, counts);
            }
        }
    }

    /// A node takes requests when it can decide them. In an outage of the state
    /// service every node is alike and stays in; a node that alone lost the
    /// service steps out, so that the balancer sends users to the others.
    fn is_ready(&self) -> bool {
        let now = self.context.now;
        if self.cluster.catalogue.is_empty() || !self.election.is_initialized() || !self.api.is_ready() {
            return false;
        }
        let stale = now.since(self.election.verified_at()) > Micros::from_secs(4.0);
        let heard = |p: &&PeerView| now.since(p.at) < Micros::from_secs(2.0);
        let peer_fresh = self.peers.values().filter(heard).any(|p| p.fresh);
        // One that hears nobody at all can't know whether the others are alike: it has lost
        // more than the service, and they are asked instead.
        let alone = self.cluster.nodes() > 1 && !self.peers.values().any(|p| heard(&p));
        !(stale && (peer_fresh || alone))
    }

    fn on_peer(&mut self, message: PeerMessage) {
        let now = self.context.now;
        match message {
            PeerMessage::Alive {
                node,
                term,
                fresh,
                leads,
                wants,
                serves,
                at,
                links,
            } => {
                if self.is_peer(&node) {
                    self.forwarder.hears(&node, at, &links, now);
                    let same_life = self.peers.get(&node).filter(|p| p.clock <= at);
                    let since = same_life.map_or(now, |p| p.since);
                    let view = PeerView {
                        clock: at,
                        since,
                        at: now,
                        fresh,
                        term,
                        leads,
                        wants: f64::from(wants) / 1000.0,
                        serves,
                    };
                    self.peers.insert(node, view);
                }
                if leads && term > self.election.term() && self.leader.is_some() {
                    // The state service, which alone could tell otherwise, does
                    // not answer this node. Holding on would hold workers here
                    // that the new leader takes for dead.
                    self.step_down(election::StepDownReason::LaterTermAtPeer);
                }
            }
            PeerMessage::Progress(list) => {
                if self.leader.is_none() {
                    self.api.on_progress(list);
                }
            }
            PeerMessage::Heartbeat { node, id, heartbeat } => self.on_forwarded_heartbeat(node, id, heartbeat),
            PeerMessage::HeartbeatResponse { id, commands } => {
                self.heartbeat_proxy
                    .on_leader_response(&mut self.context, &self.election, &self.api, id, commands)
            }
            PeerMessage::AttestationRequest { node, round, seen } => self.on_attestation_request(node, round, seen),
            PeerMessage::Attestation {
                node,
                round,
                term,
                cancelled,
            } => self.on_attestation(&node, round, term, cancelled),
            PeerMessage::LastHeartbeatsRequest { node } => self.send_last_heartbeats(node),
            PeerMessage::LastHeartbeats { node, heartbeats } => self.on_last_heartbeats(&node, heartbeats),
            PeerMessage::RelayPush { node, id, addr, body } => self.relay_push(node, id, addr, body),
            PeerMessage::RelayedPushResult { id, answer } => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_push_result(id, answer);
                }
            }
            PeerMessage::ForwardRequest { .. }
            | PeerMessage::ForwardedResponse { .. }
            | PeerMessage::RelayMessage { .. }
            | PeerMessage::RelayedMessage(_) => self.on_forwarded(message),
            PeerMessage::TransferLeadership { node, term, to } => {
                if term == self.election.term() {
                    tracing::info!(node, to, "the leader gives up the lead");
                    self.election.prefer_successor(to, now);
                }
            }
        }
    }

    /// Lets a scenario look at who leads.
    pub fn is_leader(&self) -> bool {
        self.leader.as_ref().is_some_and(|l| l.is_loaded())
    }

    /// The node's name.
    pub fn node(&self) -> &str {
        &self.cluster.settings.node
    }

    /// A peer that leads a later term than the one known here.
    fn later_leader(&self) -> Option<String> {
        let now = self.context.now;
        self.peers
            .iter()
            .filter(|(_, p)| p.leads && p.term > self.election.term() && now.since(p.at) < Micros::from_secs(3.0))
            .max_by_key(|(_, p)| p.term)
            .map(|(name, _)| name.clone())
    }

    /// Names of peers heard from lately, for the members of the next term.
    fn members(&self) -> Vec<String> {
        let mut names: BTreeSet<String> = self
            .peers
            .iter()
            .filter(|(_, p)| self.context.now.since(p.at) < Micros::from_secs(3.0))
            .map(|(name, _)| name.clone())
            .collect();
        names.insert(self.cluster.settings.node.clone());
        names.into_iter().collect()
    }

    /// Queues a request of the given urgency for the leadership part.
    fn later(
        &mut self,
        at: Micros,
        request: StoreRequest,
        continuation: election::ElectionContinuation,
        timeout: Micros,
    ) {
        self.context.store.push_at(
            at,
            Urgency::Lead,
            request,
            Continuation::Election(continuation),
            timeout,
        );
    }
}
