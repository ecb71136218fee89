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
pub mod desk;
pub mod fleet;
pub mod gathered;
pub mod hung;
pub mod leadership;
pub mod machines;
pub mod pace;
pub mod placement;
pub mod pools;
pub mod renewal;
pub mod replicas;
pub mod store_queue;
pub mod times;
pub mod workers;
pub mod worth;

use crate::protocol::cloud::{Catalogue, Hosts, ListPage, MachineType, Rent};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{StoreAnswer, StoreRequest};
pub use crate::protocol::workers::DirectAnswer;
use crate::protocol::workers::{Direct, Report};
use crate::settings::Settings;
use crate::time::Micros;
use crate::transport::server::Outgoing;
use carry::Carrier;
use desk::Desk;
use fleet::CloudDesk;
use glenhaven_limits::Limits;
use leadership::{Leadership, Role};
use renewal::Vouchers;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use store_queue::{StoreQueue, Urgency};
use workers::Caretaker;

/// A controller that has done nothing for this long, though it looks at its
/// clocks every few milliseconds, stood still. What it had queued is old.
const STANDSTILL: Micros = Micros::from_millis(900);

/// So many changes refused within this time, though all controllers together make fewer
/// than the present limit allows, show that a lower one holds.
const LIMITED: usize = 3;
const LIMITED_WITHIN: Micros = Micros::from_millis(4000);

/// A controller that was not heard for this long is not counted on.
const HEARD: Micros = Micros::from_millis(1600);

/// A job's id.
pub type JobId = Rc<str>;

/// What a user asks.
#[derive(Clone, Debug)]
pub enum UserRequest {
    Submit(Vec<u8>),
    Poll(String),
    Abort(String),
    Ready,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudRequest {
    Catalogue,
    Rent(Rent),
    Release(Hosts),
    List { after: String },
}

/// What came of a call to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloudAnswer {
    Catalogue(Catalogue),
    Rented(Vec<String>),
    Released,
    List(ListPage),
    NoCapacity,
    /// Malformed request, in the cloud's view.
    Malformed,
    /// 429 or an outage.
    Refused,
    /// No usable answer; it may be executed later.
    Unknown,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Command {
    User {
        id: u64,
        request: UserRequest,
    },
    Report {
        id: u64,
        report: Report,
    },
    Store {
        id: u64,
        answer: StoreAnswer,
    },
    Cloud {
        id: u64,
        answer: CloudAnswer,
    },
    Direct {
        id: u64,
        answer: DirectAnswer,
    },
    Peer(PeerMessage),
    /// A link to another controller has changed.
    Link {
        node: String,
        link: Link,
    },
}

/// Something to be done outside.
#[derive(Clone, Debug)]
pub enum Effect {
    Reply {
        id: u64,
        answer: Outgoing,
    },
    Store {
        id: u64,
        request: StoreRequest,
        timeout: Micros,
    },
    Cloud {
        id: u64,
        request: CloudRequest,
        timeout: Micros,
    },
    Direct {
        id: u64,
        addr: String,
        body: Direct,
        timeout: Micros,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum Wait {
    Lead(leadership::LeadWait),
    Desk(desk::DeskWait),
    /// Of the leader's incarnation with this number.
    Leader(u64, commit::LeaderWait),
}

/// Settings and facts that every part looks at.
pub struct Site {
    pub settings: Settings,
    pub catalogue: BTreeMap<String, MachineType>,
    /// What the state service takes.
    pub limits: Limits,
    /// A controller that is heard and not known to run this release, or a later one.
    pub lagging: Option<String>,
}

impl Site {
    /// Nodes in all, this one included.
    pub fn nodes(&self) -> usize {
        self.settings.peers.len() + 1
    }

    /// How long knowledge of term and cancellations may age before reports are
    /// no longer answered: a lease renewed at the last moment still ends before
    /// a cancellation unknown here is due. The margin covers drifting clocks.
    pub fn knowledge_limit(&self) -> Micros {
        let w = &self.settings.params.workers;
        Micros::from_secs((w.cancel_s - w.lease_s) * 0.99 - 1.0)
    }

    /// The limit of a team for CPUs and GPUs; 0 in the settings means none.
    pub fn limits(&self, team: &str) -> (f64, f64) {
        let open = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
        self.settings
            .params
            .teams
            .iter()
            .find(|t| t.name == team)
            .map_or((0.0, 0.0), |t| (open(t.cpus_max), open(t.gpus_max)))
    }

    /// The guarantee of a team for CPUs and GPUs.
    pub fn guarantee(&self, team: &str) -> (f64, f64) {
        self.settings
            .params
            .teams
            .iter()
            .find(|t| t.name == team)
            .map_or((0.0, 0.0), |t| (t.cpus, t.gpus))
    }
}

/// What the parts share: pacing, effects and numbers.
pub struct Shared {
    pub now: Micros,
    pub store: StoreQueue<Wait>,
    pub out: Vec<Effect>,
    pub rng: fastrand::Rng,
    next_id: u64,
    /// The time of day at the start of this process's clock, in milliseconds.
    day_ms: u64,
}

impl Shared {
    /// A number never used before by this process.
    pub fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// The time of day at a time of this process's clock, in milliseconds since 1970. It
    /// decides order and rentals only, never safety.
    pub fn time_of_day(&self, at: Micros) -> u64 {
        self.day_ms + at.0 / 1000
    }

    /// The other way round.
    pub fn own_time(&self, day_ms: u64) -> Micros {
        Micros::from_millis(day_ms.saturating_sub(self.day_ms))
    }

    /// A span of up to twice `around`, so that nodes do not retry in step.
    pub fn jitter(&mut self, around: Micros) -> Micros {
        Micros(around.0 / 2 + self.rng.u64(0..=around.0))
    }

    pub fn reply(&mut self, id: u64, status: u16, body: Vec<u8>, retry_after_s: Option<u32>) {
        self.out.push(Effect::Reply {
            id,
            answer: Outgoing {
                status,
                body,
                retry_after_s,
            },
        });
    }
}

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

    /// What this node may always ask of the state service, and what it may ask
    /// while the service refuses nothing: users come to the nodes unevenly.
    /// Changes of all nodes together stay below the limit. At the limit, the
    /// service would take the acceptances, one change each, and refuse the
    /// leader's larger transactions time and again.
    fn set_rates(&mut self) {
        let (all_rps, all_writes) = (self.site.limits.requests_per_s(), self.site.limits.changes_per_s());
        let others = (self.site.nodes() - 1).max(1) as f64;
        let (rps, writes) = if self.leader.is_some() {
            ((all_rps * 0.4, all_rps * 0.6), (all_writes * 0.45, all_writes * 0.45))
        } else {
            // Of two controllers the one that doesn't lead has an even part that is more than
            // what many may grow to.
            let even = all_rps * 0.55 / others;
            (
                (even, even.max(all_rps * 0.3)),
                (all_writes * 0.35 / others, all_writes * 0.5 / others),
            )
        };
        self.sh.store.set_rates(rps, writes, self.sh.now);
    }

    /// Sets this node's share of the changes that the state service takes, by what
    /// each node said it wants; returns what this one wants. Users come to the
    /// nodes unevenly, and the leader does not always need its part. A node that
    /// is not heard counts as wanting an even part.
    fn share_changes(&mut self) -> f64 {
        let now = self.sh.now;
        let own = self.sh.store.wants(now);
        let all = self.site.limits.changes_used();
        let others = (self.site.nodes() - 1).max(1) as f64;
        let even = all * 0.5 / others;
        let heard = |p: &&PeerView| now.since(p.at) < Micros::from_secs(2.5);
        let peers = &self.site.settings.peers;
        let views: Vec<&PeerView> = peers
            .iter()
            .filter_map(|p| self.peers.get(&p.node))
            .filter(heard)
            .collect();
        let unheard = (peers.len() - views.len()) as f64;
        let leads = self.lead.role() == Role::Leader;
        // The leader's transactions are large and come in bursts.
        let for_leader = |wants: f64| (wants * 1.5 + 2.0).clamp(all * 0.3, all * 0.6);
        let share = if leads {
            for_leader(own)
        } else {
            let leader = views
                .iter()
                .find(|p| p.leads)
                .map_or(all * 0.5, |p| for_leader(p.wants));
            let rest = all - leader;
            let demand: f64 = views.iter().filter(|p| !p.leads).map(|p| p.wants).sum::<f64>() + own + unheard * even;
            // A part is even, so that a sudden need is met while it is told.
            let by_demand = if demand > 0.01 { own / demand } else { 1.0 / others };
            rest * (0.4 / others + 0.6 * by_demand)
        };
        self.sh.store.set_write_rate(share, now);
        own
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

    /// A change was refused because there are too many of them. More than now and then, this
    /// means that the lower limits hold.
    fn note_limits(&mut self, answer: StoreAnswer) -> StoreAnswer {
        if answer != StoreAnswer::Limited {
            return answer;
        }
        let now = self.sh.now;
        self.limited.push_back(now);
        while self.limited.front().is_some_and(|at| now.since(*at) > LIMITED_WITHIN) {
            self.limited.pop_front();
        }
        if self.limited.len() >= LIMITED && self.site.limits.lower() {
            tracing::warn!(
                changes_per_s = self.site.limits.changes_per_s(),
                "changes are refused: the lower limits of the state service hold"
            );
            self.set_rates();
        }
        StoreAnswer::Refused
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

    fn tick(&mut self) {
        let now = self.sh.now;
        self.tick_links();
        self.tick_lead();
        self.tick_say();
        self.tick_chains();
        self.tick_audit();
        let seen = self.lead.jobs_seen_if_known();
        self.desk.tick(&mut self.sh, &self.site, seen);
        self.tick_vouchers();
        self.care
            .tick(&mut self.sh, &self.lead, &self.vouchers, &self.desk, &self.site);
        self.tick_cloud();
        self.tick_leader();
        if now >= self.next_alive {
            self.next_alive = now + Micros::from_millis(500);
            let message = PeerMessage::Alive {
                node: self.site.settings.node.clone(),
                term: self.lead.term(),
                fresh: now.since(self.lead.fresh()) < Micros::from_secs(2.5),
                leads: self.lead.role() == Role::Leader,
                wants: (self.share_changes() * 1000.0).min(4e9) as u32,
                serves: self.care.serves(now, self.lead.role() == Role::Leader),
                at: now.0,
                links: self.tell_links(),
            };
            for peer in &self.site.settings.peers {
                self.sh.out.push(Effect::Peer {
                    to: peer.node.clone(),
                    message: message.clone(),
                });
            }
            if let Some(leader) = self.leader.as_mut() {
                let changed = leader.changed_progress();
                if !changed.is_empty() {
                    for peer in &self.site.settings.peers {
                        self.sh.out.push(Effect::Peer {
                            to: peer.node.clone(),
                            message: PeerMessage::Progress(changed.clone()),
                        });
                    }
                }
            }
        }
        if now >= self.next_log {
            self.next_log = now + Micros::from_secs(10.0);
            self.log_state_service();
            if let Some(waited) = self.desk.take_waits() {
                let (open, pages) = self.desk.pages();
                tracing::debug!(?waited, open, pages, "accepted");
            }
            let (answered, asked_anew) = self.desk.take_answered();
            if !answered.is_empty() {
                tracing::info!(?answered, asked_anew, "answers, by what they rested on");
            }
            let refused = self.desk.take_refusals();
            if !refused.is_empty() {
                let (open, pages) = self.desk.pages();
                tracing::info!(?refused, open, pages, "requests were refused");
            }
            if let Some(leader) = self.leader.as_mut() {
                if let Some(waited) = leader.chained.take_waits() {
                    tracing::info!(?waited, "tasks of jobs that waited for others began");
                }
                leader.log_summary(&self.site, now);
                leader.log_account(&self.site, now);
            }
        }
    }

    /// Whose token this controller acts under, up to which revision it has read the state
    /// service, how long answers took, and how long this process did nothing: it tells a slow
    /// service from a controller that waits for its processor.
    fn log_state_service(&mut self) {
        let longest_pause = std::mem::take(&mut self.longest_pause);
        tracing::info!(
            term = self.lead.term(),
            leads = self.leader.is_some(),
            jobs_seen = self.lead.jobs_seen_if_known(),
            round_trips = ?self.sh.store.take_round_trips(),
            longest_pause_ms = longest_pause.0 / 1000,
            "state service"
        );
    }

    fn tick_leader(&mut self) {
        self.ask_recall();
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.is_loaded() {
            leader.load(&mut self.sh);
            return;
        }
        // After a standstill, another node may lead by now.
        if self.lead.in_doubt() {
            return;
        }
        let sure = self.lead.is_sure(self.sh.now);
        for (name, peer) in &self.peers {
            leader.hear_node(name, peer.at, HEARD, self.sh.now);
        }
        leader.tick_machines(&mut self.sh, &self.site, sure);
        leader.schedule(&mut self.sh, &self.site);
        // A leader that may have been deposed returns no machines: the next one
        // may be using them.
        if sure {
            leader.tick_fleet(&mut self.sh, &self.site, &mut self.cloud);
        }
        leader.pump_commit(&mut self.sh, &self.site, &self.lead);
        if let Some(why) = leader.wants_new_term(self.sh.now) {
            self.lead.raise(&mut self.sh, why);
        }
        let now = self.sh.now;
        let carry = &self.carry;
        let reached = |node: &str| carry.reaches(node, now);
        leader.flush_outboxes(&mut self.sh, &self.lead, &self.desk, reached);
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
