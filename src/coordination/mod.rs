//! The single owner of all state. It takes batches of commands with the time
//! and returns effects; there is no I/O, clock or global randomness inside.

pub mod aims;
pub mod audit;
pub mod book;
pub mod boots;
pub mod carry;
pub mod chained;
pub mod commit;
pub mod cuts;
pub mod deaf;
pub mod decisions;
pub mod desk;
pub mod fleet;
pub mod gathered;
pub mod hung;
pub mod invariants;
pub mod job;
pub mod leadership;
pub mod machine;
pub mod messages;
pub mod pace;
pub mod placement;
mod planted;
pub mod pools;
pub mod rates;
pub mod renewal;
pub mod replicas;
pub mod shared;
pub mod site;
pub mod store_queue;
pub mod summary;
pub mod tick;
pub mod times;
pub mod void;
pub mod workers;
pub mod worth;

use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreAnswer, StoreRequest};
use crate::settings::Settings;
use crate::time::Micros;
use carry::Carrier;
use desk::Desk;
use fleet::CloudDesk;
use leadership::Leadership;
pub use messages::{CloudAnswer, CloudRequest, Command, DirectAnswer, Effect, UserRequest, Wait};
use renewal::Vouchers;
pub use shared::Shared;
pub use site::Site;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use store_queue::{StoreQueue, Urgency};
use workers::Caretaker;

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
pub struct Core {
    site: Site,
    sh: Shared,
    lead: Leadership,
    desk: Desk,
    cloud: CloudDesk,
    care: Caretaker,
    /// What the others said that they confirmed, while the state service did not answer.
    vouchers: Vouchers,
    leader: Option<book::Leader>,
    peers: BTreeMap<String, PeerView>,
    links: BTreeMap<String, Link>,
    /// What is known of all links, and what goes by way of other controllers.
    carry: Carrier,
    /// Commands sent to workers for the leader: whom to tell, and its number.
    relays: BTreeMap<u64, (String, u64)>,
    /// The leadership of this node that has asked for workers' last reports.
    recalled: u64,
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

impl Core {
    /// A controller that knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Core {
        let limits = settings.params.state.limits();
        let store = StoreQueue::new(limits.requests_per_s() * 0.2, limits.changes_per_s() * 0.2, now);
        let lead = Leadership::new(&settings, now);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Numbers of an earlier life of this process may still be on their way: the answer
        // to a report that was passed on, or what came of a command, would be taken for
        // that of another machine. Lives count from numbers far apart.
        let (node, life) = (settings.node.clone(), rng.u64(..));
        let care = Caretaker::new(&settings.params.workers);
        let mut core = Core {
            site: Site {
                settings,
                catalogue: BTreeMap::new(),
                limits,
                lagging: None,
            },
            sh: Shared {
                now,
                store,
                out: vec![],
                rng,
                next_id: life >> 1,
                day_ms: 0,
            },
            lead,
            desk: Desk::new(&node),
            cloud: CloudDesk::new(now),
            care,
            vouchers: Vouchers::new(now),
            leader: None,
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            carry: Carrier::new(&node, life),
            relays: BTreeMap::new(),
            recalled: 0,
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
        self.sh.day_ms = day_ms.saturating_sub(now.0 / 1000);
    }

    /// Works through a batch of commands and says what is to be done.
    pub fn handle(&mut self, now: Micros, batch: Vec<Command>) -> Vec<Effect> {
        self.sh.now = self.sh.now.max(now);
        if !self.started {
            self.started = true;
            self.lead.start(&mut self.sh);
        }
        let still = self.sh.now.since(self.last_batch);
        self.last_batch = self.sh.now;
        self.longest_pause = self.longest_pause.max(still);
        if still > STANDSTILL {
            self.stood_still(still);
        }
        for command in batch {
            self.one(command);
        }
        self.tick();
        for wait in self.sh.store.expire(self.sh.now) {
            self.on_store_answer(wait, StoreAnswer::Refused);
        }
        for (id, request, timeout) in self.sh.store.pump(self.sh.now) {
            self.sh.out.push(Effect::Store { id, request, timeout });
        }
        self.by_their_ways()
    }

    /// The process did nothing for a while. Whatever came due meanwhile says
    /// nothing about others: they get the time to be heard first.
    fn stood_still(&mut self, still: Micros) {
        tracing::warn!(still_s = still.secs(), "this controller stood still");
        let now = self.sh.now;
        self.lead.stood_still(now);
        if let Some(leader) = self.leader.as_mut() {
            leader.listens_since = now;
        }
    }

    fn one(&mut self, command: Command) {
        match command {
            Command::User { id, request } => self.on_user(id, request),
            Command::Report { id, report } => self.on_report(id, report),
            Command::Store { id, answer } => {
                let answer = self.note_limits(answer);
                let Some(answer) = self.on_direct_answer(id, answer) else {
                    return;
                };
                let refused = matches!(answer, StoreAnswer::Refused);
                self.desk.note_health(self.sh.now, &answer);
                if let Some(wait) = self.sh.store.answered(id, refused, self.sh.now) {
                    self.on_store_answer(wait, answer);
                }
            }
            Command::Cloud { id, answer } => {
                if let Some(answer) = self.on_direct_call(id, answer) {
                    self.on_cloud(id, answer);
                }
            }
            Command::Link { node, link } => {
                tracing::debug!(node, ?link, "link");
                self.carry.picture.sends(&node, link == Link::Up, link == Link::Refused);
                self.links.insert(node, link);
            }
            Command::Direct { id, answer } => {
                if let Some((to, id)) = self.relays.remove(&id) {
                    let message = PeerMessage::Relayed { id, answer };
                    self.sh.out.push(Effect::Peer { to, message });
                } else if let Some(leader) = self.leader.as_mut() {
                    leader.on_direct(id, answer);
                }
            }
            Command::Peer(message) => self.on_peer(message),
        }
    }

    fn on_store_answer(&mut self, wait: Wait, answer: StoreAnswer) {
        match wait {
            Wait::Lead(wait) => self.on_lead(wait, answer),
            Wait::Desk(wait) => self.desk.on_store(&mut self.sh, &self.site, wait, answer),
            Wait::Leader(incarnation, wait) => {
                if self.leader.as_ref().is_some_and(|l| l.incarnation == incarnation) {
                    self.on_leader_store(wait, answer);
                }
            }
        }
    }

    fn on_user(&mut self, id: u64, request: UserRequest) {
        match request {
            UserRequest::Ready => {
                let ready = self.is_ready();
                self.sh.reply(id, if ready { 200 } else { 503 }, vec![], None);
            }
            other => {
                let counts = |job: &str| self.leader.as_ref().and_then(|l| l.progress(job));
                self.desk.on_user(&mut self.sh, &self.site, id, other, counts);
            }
        }
    }

    /// A node takes requests when it can decide them. In an outage of the state
    /// service every node is alike and stays in; a node that alone lost the
    /// service steps out, so that the balancer sends users to the others.
    fn is_ready(&self) -> bool {
        let now = self.sh.now;
        if self.site.catalogue.is_empty() || !self.lead.is_known() || !self.desk.is_ready() {
            return false;
        }
        let stale = now.since(self.lead.fresh()) > Micros::from_secs(4.0);
        let heard = |p: &&PeerView| now.since(p.at) < Micros::from_secs(2.0);
        let peer_fresh = self.peers.values().filter(heard).any(|p| p.fresh);
        // One that hears nobody at all can't know whether the others are alike: it has lost
        // more than the service, and they are asked instead.
        let alone = self.site.nodes() > 1 && !self.peers.values().any(|p| heard(&p));
        !(stale && (peer_fresh || alone))
    }

    fn on_peer(&mut self, message: PeerMessage) {
        let now = self.sh.now;
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
                    self.carry.hears(&node, at, &links, now);
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
                if leads && term > self.lead.term() && self.leader.is_some() {
                    // The state service, which alone could tell otherwise, does
                    // not answer this node. Holding on would hold workers here
                    // that the new leader takes for dead.
                    self.step_down("a peer leads a later term");
                }
            }
            PeerMessage::Progress(list) => {
                if self.leader.is_none() {
                    self.desk.on_progress(list);
                }
            }
            PeerMessage::Report { node, id, report } => self.on_passed(node, id, report),
            PeerMessage::Answered { id, orders } => {
                self.care.answered(&mut self.sh, &self.lead, &self.desk, id, orders)
            }
            PeerMessage::Inquire { node, round, seen } => self.on_inquire(node, round, seen),
            PeerMessage::Vouched {
                node,
                round,
                term,
                cancelled,
            } => self.on_vouched(&node, round, term, cancelled),
            PeerMessage::Recall { node } => self.recall(node),
            PeerMessage::Recalled { node, reports } => self.on_recalled(&node, reports),
            PeerMessage::Relay { node, id, addr, body } => self.relay(node, id, addr, body),
            PeerMessage::Relayed { id, answer } => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_direct(id, answer);
                }
            }
            PeerMessage::Ask { .. } | PeerMessage::Told { .. } | PeerMessage::Pass { .. } | PeerMessage::Passed(_) => {
                self.on_carried(message)
            }
            PeerMessage::Yield { node, term, to } => {
                if term == self.lead.term() {
                    tracing::info!(node, to, "the leader gives up the lead");
                    self.lead.prefer(to, now);
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
        &self.site.settings.node
    }

    /// A peer that leads a later term than the one known here.
    fn later_leader(&self) -> Option<String> {
        let now = self.sh.now;
        self.peers
            .iter()
            .filter(|(_, p)| p.leads && p.term > self.lead.term() && now.since(p.at) < Micros::from_secs(3.0))
            .max_by_key(|(_, p)| p.term)
            .map(|(name, _)| name.clone())
    }

    /// Names of peers heard from lately, for the members of the next term.
    fn members(&self) -> Vec<String> {
        let mut names: BTreeSet<String> = self
            .peers
            .iter()
            .filter(|(_, p)| self.sh.now.since(p.at) < Micros::from_secs(3.0))
            .map(|(name, _)| name.clone())
            .collect();
        names.insert(self.site.settings.node.clone());
        names.into_iter().collect()
    }

    /// Queues a request of the given urgency for the leadership part.
    fn later(&mut self, at: Micros, request: StoreRequest, wait: leadership::LeadWait, timeout: Micros) {
        self.sh
            .store
            .push_at(at, Urgency::Lead, request, Wait::Lead(wait), timeout);
    }
}
