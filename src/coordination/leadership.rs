//! Who leads: a lease in the state service, taken over by compare-and-set on
//! the key `term`. The term number is the fence that workers check.

use super::book::Leader;
use super::store_queue::Urgency;
use super::{times, Core, Effect, Shared, Wait};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{from_value, to_value, Release, Term, CHAINS, RELEASE};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Change, Condition, Event, Row, StoreAnswer, StoreRequest, Txn};
use crate::settings::Settings;
use crate::time::Micros;
use glenhaven_links::{Host, Sure};
use std::collections::BTreeMap;

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum LeadWait {
    /// Reading the term's keys, to start or to start over.
    Read {
        sent: Micros,
    },
    /// Watching the term's keys.
    Terms {
        sent: Micros,
    },
    /// Watching the jobs.
    Jobs {
        sent: Micros,
    },
    Grant {
        sent: Micros,
    },
    Renew {
        sent: Micros,
        lease: u64,
    },
    /// Saying which release this node runs, or that the lower limits hold.
    Say,
    /// Publishing which machines this node keeps, or ending a lease: any answer will
    /// do, since the one is repeated and the other ends by itself.
    Care,
    /// Taking over, or raising the own term.
    Take {
        term: Term,
        lease: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    Leader,
}

/// How long a watch waits for news. Its completion is what proves knowledge to
/// be current, so it is short beside every limit on staleness.
const WATCH_MS: u64 = 1000;

/// How long news of jobs are gathered, by the leader and by others.
const NEWS_LEADER: Micros = Micros::from_millis(60);
const NEWS: Micros = Micros::from_millis(400);

/// How long others let the one go first that a leader has named, and for how long its
/// word counts.
const DEFERENCE: Micros = Micros::from_millis(500);
const PREFERRED: Micros = Micros::from_millis(5000);
/// What is said in the state service is said again after this long, unless it was seen.
const SAY_AGAIN: Micros = Micros::from_millis(3000);
/// A controller that was heard within this time may be listening.
const LISTENS: Micros = Micros::from_millis(2500);
/// A node that gave up the lead lets all others go first by this.
const AFTER_GIVING: Micros = Micros::from_millis(1500);
/// A node that others reach far more than takes over this much later for each of them.
const BEHIND: u64 = 60_000;

/// This node's knowledge of the term, and its part in it.
pub struct Leadership {
    node: String,
    index: usize,
    ttl: Micros,
    current: Option<(Term, u64)>,
    live: Option<(String, u64)>,
    known: bool,
    /// The revision at which this life of the process began to read.
    read_from: Option<u64>,
    /// When the requests were sent that proved what we know.
    terms_at: Micros,
    jobs_at: Micros,
    terms_after: u64,
    jobs_after: u64,
    role: Role,
    lease: Option<u64>,
    lease_at: Micros,
    next_renew: Micros,
    /// A takeover or raise is under way; its outcome may be unknown for a while.
    taking: bool,
    granting: bool,
    want_raise: bool,
    elect_at: Option<Micros>,
    last_raise: Micros,
    /// Whether this process has led: its own old term then says nothing about
    /// an earlier life.
    has_led: bool,
    /// The process stood still for so long that its lease may have ended:
    /// nothing is done as the leader until a renewal sent since then holds.
    doubts_since: Option<Micros>,
    /// Who was named by a leader that gave up the lead, and when; nobody in particular
    /// if it knew of nobody.
    preferred: Option<(Option<String>, Micros)>,
    /// Which release each controller said that it runs.
    releases: BTreeMap<String, Release>,
    /// What this life of the process says of itself, and until when it leaves the lead to
    /// others because it keeps ending.
    said: Release,
    leaves_lead: Option<Micros>,
    /// The state service's lower limits were met.
    lowered: bool,
    /// When something may be said next.
    next_say: Micros,
}

impl Leadership {
    pub fn new(settings: &Settings, now: Micros) -> Leadership {
        let index = settings.peers.iter().filter(|p| p.node < settings.node).count();
        Leadership {
            node: settings.node.clone(),
            index,
            ttl: Micros::from_secs(settings.operator.leader_lease_s),
            current: None,
            live: None,
            known: false,
            read_from: None,
            terms_at: Micros::ZERO,
            jobs_at: Micros::ZERO,
            terms_after: 0,
            jobs_after: 0,
            role: Role::Follower,
            lease: None,
            lease_at: now,
            next_renew: now,
            taking: false,
            granting: false,
            want_raise: false,
            elect_at: None,
            last_raise: Micros::ZERO,
            has_led: false,
            doubts_since: None,
            preferred: None,
            releases: BTreeMap::new(),
            said: Release::default(),
            leaves_lead: None,
            lowered: false,
            next_say: now,
        }
    }

    /// The state service answers again: the lease is renewed at once.
    pub fn renew_soon(&mut self, now: Micros) {
        if self.role == Role::Leader {
            self.next_renew = now;
        }
    }

    /// The leader gives up the lead, to this controller if it names one.
    pub fn prefer(&mut self, to: Option<String>, now: Micros) {
        self.preferred = Some((to, now));
    }

    /// How much longer than others this node waits before it takes the lead over: the
    /// one that was named goes first.
    fn deference(&self, now: Micros) -> Micros {
        match &self.preferred {
            Some((Some(to), at)) if now.since(*at) < PREFERRED && *to != self.node => DEFERENCE,
            _ => Micros::ZERO,
        }
    }

    /// This node's name.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The term as known here; 0 before any.
    pub fn term(&self) -> u64 {
        self.current.as_ref().map_or(0, |(t, _)| t.term)
    }

    /// The condition that every coordination write carries.
    pub fn condition(&self) -> Condition {
        Condition {
            key: keys::TERM.into(),
            version: self.current.as_ref().map_or(0, |(_, v)| *v),
        }
    }

    /// The leader's name, if its lease is alive as far as known here.
    pub fn leader(&self) -> Option<&str> {
        let (term, _) = self.current.as_ref()?;
        self.live.as_ref()?;
        Some(&term.leader)
    }

    /// Everything known here was true at this time or later.
    pub fn fresh(&self) -> Micros {
        self.terms_at.min(self.jobs_at)
    }

    /// Every change of a job's key up to this revision was seen here.
    pub fn jobs_seen(&self) -> u64 {
        self.jobs_after
    }

    /// The same, once anything was read.
    pub fn jobs_seen_if_known(&self) -> Option<u64> {
        self.known.then_some(self.jobs_after)
    }

    /// What earlier lives of this process did was done by this revision, once anything was
    /// read in this one.
    pub fn read_from(&self) -> Option<u64> {
        self.read_from
    }

    /// The release that a controller said it runs; 0: it said nothing.
    pub fn release(&self, node: &str) -> u32 {
        self.releases.get(node).map_or(0, |r| r.release)
    }

    pub fn is_known(&self) -> bool {
        self.known && self.current.is_some()
    }

    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether a change of the term by this node is under way.
    pub fn is_taking(&self) -> bool {
        self.taking
    }

    /// Whether this node leads and its lease cannot have ended yet.
    pub fn is_sure(&self, now: Micros) -> bool {
        self.role == Role::Leader && now.since(self.lease_at) < self.ttl
    }

    /// Whether this node leads as far as it may tell: after a standstill that
    /// has yet to be confirmed.
    pub fn in_doubt(&self) -> bool {
        self.doubts_since.is_some()
    }

    /// This process did nothing for a while, its clocks running on. A leader
    /// asks for its lease before it does anything else.
    pub fn stood_still(&mut self, now: Micros) {
        self.elect_at = None;
        if self.role == Role::Leader && now.since(self.lease_at) >= Micros(self.ttl.0 * 4 / 5) {
            self.doubts_since = Some(now);
            self.next_renew = now;
        }
    }

    /// Whether another node leads as far as known here: then nothing is taken.
    fn is_led_by_other(&self) -> bool {
        let other = self.current.as_ref().is_some_and(|(t, _)| t.leader != self.node);
        self.role == Role::Follower && self.live.is_some() && other
    }

    pub fn start(&mut self, sh: &mut Shared) {
        let request = StoreRequest::List {
            prefix: keys::TERM.into(),
            after: String::new(),
        };
        let wait = Wait::Lead(LeadWait::Read { sent: sh.now });
        sh.store.push(Urgency::Lead, request, wait, Micros::from_millis(700));
    }

    /// Asks for a higher term with everything kept: proves to workers, by their
    /// fence, that nothing sent under the old one can still be executed.
    pub fn raise(&mut self, sh: &mut Shared, why: &str) {
        let due = sh.now.since(self.last_raise) > Micros::from_secs(5.0);
        if self.role == Role::Leader && !self.taking && !self.want_raise && due {
            tracing::info!(why, "raising the term");
            self.last_raise = sh.now;
            self.want_raise = true;
        }
    }

    fn row(&mut self, key: &str, row: Option<(&ciborium::Value, u64)>) {
        match key {
            keys::TERM => {
                // `term` is never deleted; a malformed value is an operator's
                // accident, and no one may lead until it is repaired.
                if let Some((value, version)) = row {
                    match from_value::<Term>(value) {
                        Some(term) => {
                            if self.current.as_ref().is_none_or(|(_, v)| *v < version) {
                                self.current = Some((term, version));
                            }
                        }
                        None => tracing::error!("the key `term` holds a malformed value"),
                    }
                }
            }
            keys::TERM_LIVE => {
                self.live = row.map(|(value, version)| (from_value(value).unwrap_or_default(), version));
            }
            keys::LOWERED => self.lowered = row.is_some(),
            _ => {
                let said = row.and_then(|(value, _)| from_value::<Release>(value));
                if let (Some(node), Some(said)) = (key.strip_prefix(keys::RELEASES), said) {
                    self.releases.insert(node.to_string(), said);
                }
            }
        }
    }
}

impl Core {
    pub(super) fn on_lead(&mut self, wait: LeadWait, answer: StoreAnswer) {
        let now = self.sh.now;
        match wait {
            LeadWait::Read { sent } => match answer {
                StoreAnswer::Rows(rows) => {
                    // No job is known yet, and an unknown one is always read,
                    // so the knowledge of jobs is as current as this read.
                    self.lead.terms_at = sent;
                    self.lead.jobs_at = sent;
                    for Row { key, value, version } in &rows.items {
                        self.lead.row(key, Some((value, *version)));
                    }
                    if !rows.items.iter().any(|r| r.key == keys::TERM_LIVE) {
                        self.lead.live = None;
                    }
                    self.lead.known = true;
                    self.lead.read_from.get_or_insert(rows.revision);
                    self.lead.terms_after = rows.revision;
                    self.lead.jobs_after = rows.revision;
                    self.watch_terms(Micros::ZERO);
                    self.watch_jobs(Micros::ZERO);
                }
                _ => {
                    let at = now + self.sh.jitter(Micros::from_millis(200));
                    let request = StoreRequest::List {
                        prefix: keys::TERM.into(),
                        after: String::new(),
                    };
                    self.later(at, request, LeadWait::Read { sent: at }, Micros::from_millis(700));
                }
            },
            LeadWait::Terms { sent } => match answer {
                StoreAnswer::Events(events) => {
                    for event in &events.events {
                        match event {
                            Event::Put { key, value, version } => self.lead.row(key, Some((value, *version))),
                            Event::Delete { key, .. } => self.lead.row(key, None),
                        }
                    }
                    self.lead.terms_after = self.lead.terms_after.max(events.revision);
                    self.lead.terms_at = self.lead.terms_at.max(sent);
                    self.after_terms();
                    self.watch_terms(Micros::ZERO);
                }
                StoreAnswer::Compacted => self.start_over(),
                _ => {
                    let pause = self.sh.jitter(Micros::from_millis(150));
                    self.watch_terms(pause);
                }
            },
            LeadWait::Jobs { sent } => match answer {
                StoreAnswer::Events(events) => {
                    self.desk.on_news(&mut self.sh, &self.site, &events.events);
                    if let Some(leader) = self.leader.as_mut() {
                        leader.on_job_news(events.events, now);
                    }
                    self.lead.jobs_after = self.lead.jobs_after.max(events.revision);
                    self.lead.jobs_at = self.lead.jobs_at.max(sent);
                    self.prove_to_leader();
                    // Every watch that is opened counts as a request: the news
                    // of a moment are fetched at once. Only the leader acts on
                    // them soon.
                    let pause = if self.leader.is_some() { NEWS_LEADER } else { NEWS };
                    self.watch_jobs(pause);
                }
                StoreAnswer::Compacted => self.start_over(),
                _ => {
                    let pause = self.sh.jitter(Micros::from_millis(150));
                    self.watch_jobs(pause);
                }
            },
            LeadWait::Grant { sent } => {
                self.lead.granting = false;
                if let StoreAnswer::Lease(lease) = answer {
                    self.lead.lease = Some(lease);
                    self.lead.lease_at = sent;
                    self.lead.next_renew = sent + Micros(self.lead.ttl.0 / 3);
                    self.take();
                } else {
                    let pause = self.sh.jitter(Micros::from_millis(150));
                    self.lead.elect_at = Some(now + pause);
                }
            }
            LeadWait::Renew { sent, lease } => {
                if self.lead.lease != Some(lease) {
                    return;
                }
                match answer {
                    StoreAnswer::Lease(_) | StoreAnswer::Committed { .. } => {
                        self.lead.lease_at = self.lead.lease_at.max(sent);
                        if self.lead.doubts_since.is_some_and(|at| sent >= at) {
                            self.lead.doubts_since = None;
                            self.take_early_reports();
                        }
                    }
                    StoreAnswer::NoLease => {
                        // Our lease ended. Nobody may have noticed: raising our
                        // own term by compare-and-set settles it either way.
                        self.lead.lease = None;
                        if self.lead.role == Role::Leader {
                            self.lead.want_raise = true;
                        }
                    }
                    _ => self.lead.next_renew = now + self.sh.jitter(Micros::from_millis(200)),
                }
            }
            LeadWait::Care | LeadWait::Say => {}
            LeadWait::Take { term, lease } => self.on_take(term, lease, answer),
        }
    }

    /// Says in the state service which release this node runs, once, and that the lower
    /// limits hold, if it was the first to meet them. What was not written is said again.
    pub(super) fn tick_say(&mut self) {
        let now = self.sh.now;
        let site = &mut self.site;
        if self.lead.lowered && site.limits.lower() {
            tracing::warn!(
                changes_per_s = site.limits.changes_per_s(),
                "the lower limits of the state service hold"
            );
            self.set_rates();
        }
        let lagging = self.lagging();
        if lagging != self.site.lagging {
            match &lagging {
                Some(node) => tracing::info!(
                    node,
                    "a controller has yet to get this version: jobs that name others wait"
                ),
                None => tracing::info!("all controllers that are heard run this version"),
            }
            self.site.lagging = lagging;
        }
        if !self.lead.known || now < self.lead.next_say {
            return;
        }
        let said = self.lead.releases.get(&self.lead.node);
        if self.lead.said.release == 0 {
            let began_ms = self.sh.time_of_day(self.began).max(1);
            let release = RELEASE;
            self.lead.said = Release { release, began_ms };
            let before = said.map_or(0, |s| s.began_ms);
            let apart = Micros::from_millis(began_ms.saturating_sub(before));
            if before > 0 && apart < times::KEEPS_ENDING {
                tracing::warn!(
                    after_s = apart.secs(),
                    "this process keeps ending: others lead, if there are any"
                );
                self.lead.leaves_lead = Some(now + times::LEAVES_LEAD);
            }
        }
        let lowered = self.site.limits.is_lowered() && !self.lead.lowered;
        let mut changes = vec![];
        if said != Some(&self.lead.said) {
            let key = format!("{}{}", keys::RELEASES, self.lead.node);
            changes.push((key, to_value(&self.lead.said)));
        }
        if lowered {
            changes.push((keys::LOWERED.to_string(), to_value(&true)));
        }
        if changes.is_empty() {
            return;
        }
        // The watch on the term brings it back, here as everywhere.
        self.lead.next_say = now + SAY_AGAIN;
        let put = |(key, value)| Change::Put {
            key,
            value,
            lease: None,
        };
        let txn = Txn {
            conditions: vec![],
            changes: changes.into_iter().map(put).collect(),
        };
        let wait = Wait::Lead(LeadWait::Say);
        self.sh
            .store
            .push(Urgency::User, StoreRequest::Txn(txn), wait, Micros::from_millis(600));
    }

    /// A controller that is heard and has not said that it runs this release.
    fn lagging(&self) -> Option<String> {
        let heard = |p: &&crate::settings::Peer| {
            let view = self.peers.get(&p.node);
            view.is_some_and(|v| self.sh.now.since(v.at) < LISTENS)
        };
        let peers = self.site.settings.peers.iter().filter(heard);
        let mut behind = peers.filter(|p| self.lead.releases.get(&p.node).is_none_or(|r| r.release < CHAINS));
        behind.next().map(|p| p.node.clone())
    }

    fn start_over(&mut self) {
        tracing::warn!("fell behind the state service's history; reading anew");
        self.step_down("fell behind");
        self.desk.forget_open();
        self.lead.start(&mut self.sh);
    }

    fn watch_terms(&mut self, pause: Micros) {
        let at = self.sh.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::TERM.into(),
            after: self.lead.terms_after,
            wait_ms: WATCH_MS,
        };
        self.later(
            at,
            request,
            LeadWait::Terms { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    fn watch_jobs(&mut self, pause: Micros) {
        let at = self.sh.now + pause;
        let request = StoreRequest::Watch {
            prefix: keys::JOBS.into(),
            after: self.lead.jobs_after,
            wait_ms: WATCH_MS,
        };
        self.later(
            at,
            request,
            LeadWait::Jobs { sent: at },
            Micros::from_millis(WATCH_MS + 1500),
        );
    }

    /// The term's keys were read or have changed.
    fn after_terms(&mut self) {
        let mine = self
            .lead
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.lead.node);
        if self.lead.role == Role::Leader && !mine {
            self.step_down("another node leads");
        }
        if self.lead.role == Role::Leader && self.lead.live.is_none() && !self.lead.taking {
            self.lead.lease = None;
            self.lead.want_raise = true;
        }
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if self.lead.role == Role::Leader {
            tracing::warn!(why, term = self.lead.term(), "no longer the leader");
        }
        self.lead.role = Role::Follower;
        self.lead.doubts_since = None;
        self.lead.lease = None;
        self.lead.want_raise = false;
        if let Some(leader) = self.leader.take() {
            leader.abandon(&mut self.sh);
        }
        self.set_rates();
    }

    /// Gives up the lead: this node stops first, then says so to the others and ends its
    /// lease, which they see by their watches. Lost on the way, the lease ends by itself.
    /// What it still has under way carries a term that the next leader's replaces.
    pub(super) fn give_up_lead(&mut self, to: Option<String>, why: &str) {
        let (lease, term) = (self.lead.lease, self.lead.term());
        self.step_down(why);
        self.lead.prefer(to.clone(), self.sh.now);
        for peer in &self.site.settings.peers {
            let message = PeerMessage::Yield {
                node: self.lead.node.clone(),
                term,
                to: to.clone(),
            };
            self.sh.out.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        if let Some(lease) = lease {
            let request = StoreRequest::Drop { lease };
            let wait = Wait::Lead(LeadWait::Care);
            self.sh
                .store
                .push(Urgency::Lead, request, wait, Micros::from_millis(600));
        }
    }

    /// Makes or renews the lease and starts a takeover when nobody leads.
    pub(super) fn tick_lead(&mut self) {
        let now = self.sh.now;
        if self.lead.role == Role::Leader {
            if let Some(lease) = self.lead.lease {
                // A lease that is renewed without anybody hearing of it keeps all others
                // from taking over. Answers are waited for by trying the link instead;
                // after an outage every lease has its full time again.
                if now >= self.lead.next_renew && self.carry.hears_state(now) {
                    self.lead.next_renew = now + Micros(self.lead.ttl.0 / 3);
                    let wait = Wait::Lead(LeadWait::Renew { sent: now, lease });
                    self.sh.store.push(
                        Urgency::Lead,
                        StoreRequest::Renew { lease },
                        wait,
                        Micros::from_millis(600),
                    );
                }
            }
            if self.lead.want_raise && !self.lead.taking {
                match self.lead.lease {
                    Some(_) => self.take(),
                    None => self.grant(),
                }
            }
            return;
        }
        if !self.lead.known || self.lead.terms_at == Micros::ZERO || self.lead.taking {
            return;
        }
        // An earlier life of this process led: nobody else will miss its lease.
        // One that keeps ending would take the lead again every time, for a moment: it lets
        // its old lease end, and then the others go first.
        let ends = self.lead.leaves_lead.is_some_and(|until| now < until);
        let own = self
            .lead
            .current
            .as_ref()
            .is_some_and(|(t, _)| t.leader == self.lead.node)
            && !self.lead.has_led
            && !ends;
        if self.lead.live.is_some() && !own {
            self.lead.elect_at = None;
            return;
        }
        // Whoever has the state service only by way of others leaves the lead to them.
        let host = Host::State;
        if self.carry.picture.own(&host, now) == Sure::Down && self.carry.picture.someone_reaches(&host, now) {
            self.lead.elect_at = None;
            return;
        }
        if self.site.catalogue.is_empty() && now.since(self.began) < Micros::from_secs(3.0) {
            return;
        }
        match self.lead.elect_at {
            None => {
                let pause = if own || self.lead.current.is_none() {
                    Micros(self.lead.index as u64 * 150_000)
                } else {
                    let rank = u64::from(self.carry.picture.rank(now));
                    let last = ends || self.gave_lately();
                    let given = if last { AFTER_GIVING } else { Micros::ZERO };
                    Micros(rank * BEHIND + self.sh.rng.u64(0..40_000)) + given + self.lead.deference(now)
                };
                self.lead.elect_at = Some(now + pause);
            }
            Some(at) if now >= at => match self.lead.lease {
                // A lease from an earlier try may be about to end.
                Some(_) if now.since(self.lead.lease_at) < Micros(self.lead.ttl.0 / 2) => self.take(),
                _ => self.grant(),
            },
            Some(_) => {}
        }
    }

    fn grant(&mut self) {
        if self.lead.granting {
            return;
        }
        self.lead.granting = true;
        self.lead.lease = None;
        let wait = Wait::Lead(LeadWait::Grant { sent: self.sh.now });
        let request = StoreRequest::Grant {
            ttl_ms: self.lead.ttl.0 / 1000,
        };
        self.sh
            .store
            .push(Urgency::Lead, request, wait, Micros::from_millis(500));
    }

    /// Compare-and-set on the term: from what is known here to one higher.
    fn take(&mut self) {
        let Some(lease) = self.lead.lease else { return };
        if self.lead.taking {
            return;
        }
        // The lease was asked for when nobody led. A node that stood still
        // meanwhile would take the lead from the one that has taken over.
        if self.lead.is_led_by_other() {
            self.lead.elect_at = None;
            return;
        }
        self.lead.taking = true;
        self.lead.want_raise = false;
        let term = Term {
            term: self.lead.term() + 1,
            leader: self.lead.node.clone(),
            members: self.members(),
        };
        let txn = Txn {
            conditions: vec![
                self.lead.condition(),
                Condition {
                    key: keys::TERM_LIVE.into(),
                    version: self.lead.live.as_ref().map_or(0, |(_, v)| *v),
                },
            ],
            changes: vec![
                Change::Put {
                    key: keys::TERM.into(),
                    value: to_value(&term),
                    lease: None,
                },
                Change::Put {
                    key: keys::TERM_LIVE.into(),
                    value: to_value(&self.lead.node),
                    lease: Some(lease),
                },
            ],
        };
        let wait = Wait::Lead(LeadWait::Take { term, lease });
        self.sh
            .store
            .push(Urgency::Lead, StoreRequest::Txn(txn), wait, Micros::from_millis(600));
    }

    fn on_take(&mut self, term: Term, lease: u64, answer: StoreAnswer) {
        let now = self.sh.now;
        self.lead.taking = false;
        match answer {
            StoreAnswer::Committed { revision } => {
                if self.lead.current.as_ref().is_some_and(|(_, v)| *v > revision) {
                    // Overtaken before we heard of our success.
                    return;
                }
                let raised = self.lead.role == Role::Leader;
                tracing::info!(term = term.term, raised, "leading");
                self.lead.current = Some((term, revision));
                self.lead.live = Some((self.lead.node.clone(), revision));
                self.lead.role = Role::Leader;
                self.lead.has_led = true;
                self.lead.elect_at = None;
                self.lead.lease = Some(lease);
                if raised {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.term_raised(self.lead.term());
                    }
                    // A compare-and-set from the own term: nobody led meanwhile.
                    if self.lead.doubts_since.take().is_some() {
                        self.take_early_reports();
                    }
                } else {
                    let incarnation = self.sh.id();
                    let mut leader = Leader::new(incarnation, self.lead.term(), now);
                    leader.day_ms = self.sh.day_ms;
                    self.leader = Some(leader);
                    self.prove_to_leader();
                    self.set_rates();
                }
            }
            StoreAnswer::NoLease | StoreAnswer::Malformed => {
                self.lead.lease = None;
                if self.lead.role == Role::Leader {
                    self.lead.want_raise = true;
                } else {
                    self.lead.elect_at = None;
                }
            }
            // Not executed, or lost to another, or unknown: the watch tells
            // which. A leader whose own raise is unknown reads the term anew,
            // since its success changes the condition of every write.
            other => {
                if self.lead.role == Role::Leader {
                    if matches!(other, StoreAnswer::Refused) {
                        self.lead.want_raise = true;
                    } else {
                        self.step_down("a raise of the term is in doubt");
                    }
                }
                self.lead.elect_at = Some(now + self.sh.jitter(Micros::from_millis(150)));
            }
        }
    }
}
