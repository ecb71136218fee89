//! Who leads: a lease in the state service, taken over by compare-and-set on
//! the key `term`. The term number is the fence that workers check.

mod announce;
mod campaign;
mod watches;

use super::store_queue::Urgency;
use super::{Context, Continuation};
use crate::protocol::store::{Condition, StoreRequest};
use crate::settings::Settings;
use crate::storage::keys;
use crate::storage::records::{from_value, Release, Term};
use crate::time::Micros;
use std::collections::BTreeMap;

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum ElectionContinuation {
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

/// How long others let the one go first that a leader has named, and for how long its
/// word counts.
const DEFERENCE: Micros = Micros::from_millis(500);
const PREFERRED: Micros = Micros::from_millis(5000);

/// This node's knowledge of the term, and its part in it.
pub struct Election {
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

impl Election {
    pub fn new(settings: &Settings, now: Micros) -> Election {
        let index = settings.peers.iter().filter(|p| p.node < settings.node).count();
        Election {
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
    pub fn on_process_pause(&mut self, now: Micros) {
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

    pub fn start(&mut self, context: &mut Context) {
        let request = StoreRequest::List {
            prefix: keys::TERM.into(),
            after: String::new(),
        };
        let continuation = Continuation::Election(ElectionContinuation::Read { sent: context.now });
        context
            .store
            .push(Urgency::Lead, request, continuation, Micros::from_millis(700));
    }

    /// Asks for a higher term with everything kept: proves to workers, by their
    /// fence, that nothing sent under the old one can still be executed.
    pub fn raise(&mut self, context: &mut Context, why: &str) {
        let due = context.now.since(self.last_raise) > Micros::from_secs(5.0);
        if self.role == Role::Leader && !self.taking && !self.want_raise && due {
            tracing::info!(why, "raising the term");
            self.last_raise = context.now;
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
            keys::LIMITS_LOWERED => self.lowered = row.is_some(),
            _ => {
                let said = row.and_then(|(value, _)| from_value::<Release>(value));
                if let (Some(node), Some(said)) = (key.strip_prefix(keys::RELEASES), said) {
                    self.releases.insert(node.to_string(), said);
                }
            }
        }
    }
}
