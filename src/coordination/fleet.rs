//! Renting and returning machines: for what waits and what is coming; late and
//! dead boots given up, silent machines released, unexpected ones adopted.

use super::aims::NO_HURRY_S;
use super::book::{Leader, Machine, MachineId, MachineState, Stage};
use super::placement::{allowed, latest_start, open_zones, takes_leftovers};
use super::{times, CloudAnswer, CloudRequest, Core, Effect, Shared, Site};
use crate::bookkeeping::records::ClaimValue;
use crate::protocol::cloud::{Hosts, Listed, MachineType, Rent};
use crate::protocol::users::{Priority, Spec};
use crate::time::Micros;
use crate::transport::pace::Bucket;
use glenhaven_zones::Move;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const TIMEOUT: Micros = Micros::from_millis(3000);

/// Work that may use spot machines gets ordinary ones in any case for what exceeds the
/// spot machines by this factor: what little is over the room is served as tasks end.
const PATIENCE: f64 = 2.5;
/// Share of the room that tasks give back during a boot that what waits now gets; what
/// comes meanwhile takes the rest.
const TURNOVER: f64 = 0.7;
/// Machines asked for at once: so many even if that is all of a need, and the
/// most that the cloud takes.
const BATCH: f64 = 6.0;
/// Requests on their way at a time.
const CLAIMS: usize = 16;
/// Machines in a release: the most that the cloud takes.
const RELEASED_AT_ONCE: usize = 100;
const MOST: f64 = 50.0;

enum CloudWait {
    Catalogue,
    Rent(u64, String),
    Release(u64, Vec<MachineId>),
    List(u64),
}

/// Calls to the cloud, paced.
pub struct CloudDesk {
    bucket: Option<Bucket>,
    pending: BTreeMap<u64, CloudWait>,
    next_catalogue: Micros,
    asking: bool,
}

impl CloudDesk {
    pub fn new(now: Micros) -> CloudDesk {
        CloudDesk {
            bucket: None,
            pending: BTreeMap::new(),
            next_catalogue: now,
            asking: false,
        }
    }

    fn call(&mut self, sh: &mut Shared, site: &Site, wait: CloudWait, request: CloudRequest, reserve: f64) -> bool {
        let rate = site.settings.params.cloud.rps * 0.85;
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(rate, sh.now));
        if !bucket.allows(1.0, reserve, sh.now) {
            return false;
        }
        bucket.take(1.0, sh.now);
        let id = sh.id();
        self.pending.insert(id, wait);
        sh.out.push(Effect::Cloud {
            id,
            request,
            timeout: TIMEOUT,
        });
        true
    }
}

/// How far a rental request has come.
enum ClaimState {
    /// To be written to the state service first.
    Wanted,
    Recorded,
    Asked,
    /// Answered; kept until every machine of it has been seen.
    Answered(Vec<MachineId>),
    /// Its record may be deleted.
    Over,
}

struct Claim {
    id: String,
    value: ClaimValue,
    state: ClaimState,
    /// The page of the book that names it; 0: none does.
    base: u64,
    again_at: Micros,
    tries: u32,
}

/// The leader's rentals.
pub struct Fleet {
    claims: Vec<Claim>,
    next_claim: u64,
    next_list: Micros,
    listing: Option<String>,
    list_flying: bool,
    /// Whether this leader has read the whole list of machines once.
    listed: bool,
    blocked: BTreeMap<(String, String, bool), Micros>,
    releasing: usize,
    /// Machines given up whose release has yet to be asked for: looked at with every batch
    /// instead of all machines.
    to_release: BTreeSet<MachineId>,
    next_decide: Micros,
    /// When ordinary machines are thought of again.
    next_advice: Micros,
    /// Decayed demand of work that may use spot machines, in cores.
    average: f64,
    average_at: Option<Micros>,
}

impl Fleet {
    pub fn new(now: Micros) -> Fleet {
        Fleet {
            claims: vec![],
            next_claim: 0,
            next_list: now,
            listing: None,
            list_flying: false,
            listed: false,
            blocked: BTreeMap::new(),
            releasing: 0,
            to_release: BTreeSet::new(),
            next_decide: now,
            next_advice: now,
            average: 0.0,
            average_at: None,
        }
    }

    /// Requests of an earlier leader: asked again under the same name, which
    /// tells their machines or, if they were never made, makes them now.
    pub fn adopt_claims(&mut self, claims: BTreeMap<String, (u64, ClaimValue)>, now: Micros) {
        for (id, (base, value)) in claims {
            self.claims.push(Claim {
                id,
                value,
                state: ClaimState::Recorded,
                base,
                again_at: now,
                tries: 0,
            });
        }
    }

    pub fn claims_to_record(&self, most: usize) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Wanted))
            .take(most)
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The request stands in this page of the book.
    pub fn claim_recorded(&mut self, id: &str, base: u64) {
        if let Some(c) = self.claims.iter_mut().find(|c| c.id == id) {
            c.base = base;
            if matches!(c.state, ClaimState::Wanted) {
                c.state = ClaimState::Recorded;
            }
        }
    }

    /// Requests that stand in pages before this one.
    pub fn claims_before(&self, page: u64) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| c.base > 0 && c.base < page && !matches!(c.state, ClaimState::Over))
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The first page that says something of a request other than these.
    pub fn oldest_claim(&self, but: &BTreeSet<&str>) -> Option<u64> {
        self.claims
            .iter()
            .filter(|c| c.base > 0 && !but.contains(c.id.as_str()))
            .map(|c| c.base)
            .min()
    }

    /// Requests that are settled, and of which the book is to say so.
    pub fn claims_to_drop(&self, most: usize) -> Vec<String> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Over))
            .take(most)
            .map(|c| c.id.clone())
            .collect()
    }

    /// The book says that these are settled.
    pub fn claims_dropped(&mut self, ids: &[String]) {
        self.claims.retain(|c| !ids.contains(&c.id));
    }

    /// Machines asked for and not yet named.
    pub fn coming(&self) -> impl Iterator<Item = &ClaimValue> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Wanted | ClaimState::Recorded | ClaimState::Asked))
            .map(|c| &c.value)
    }
}

/// A job that no machine has room for.
struct Stuck {
    version: u64,
    spec: Spec,
    /// Zones where its next task may start.
    open: Option<Vec<String>>,
    cores: f64,
    spot_only: bool,
}

/// Cores and machines of one kind.
#[derive(Default, Clone, Copy)]
struct Supply {
    cores: f64,
}

impl Core {
    /// The catalogue, on every node: it decides what can be accepted.
    pub(super) fn tick_cloud(&mut self) {
        let now = self.sh.now;
        if now >= self.cloud.next_catalogue && !self.cloud.asking {
            let asked = self.cloud.call(
                &mut self.sh,
                &self.site,
                CloudWait::Catalogue,
                CloudRequest::Catalogue,
                0.0,
            );
            self.cloud.asking = asked;
        }
    }

    pub(super) fn on_cloud(&mut self, id: u64, answer: CloudAnswer) {
        let now = self.sh.now;
        let Some(wait) = self.cloud.pending.remove(&id) else {
            return;
        };
        let incarnation = self.leader.as_ref().map(|l| l.incarnation);
        match wait {
            CloudWait::Catalogue => {
                self.cloud.asking = false;
                match answer {
                    CloudAnswer::Catalogue(catalogue) if !catalogue.types.is_empty() => {
                        self.site.catalogue = catalogue.types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.cloud.next_catalogue = now + Micros::from_secs(30.0);
                    }
                    _ => {
                        let pause = if self.site.catalogue.is_empty() { 400 } else { 3000 };
                        self.cloud.next_catalogue = now + self.sh.jitter(Micros::from_millis(pause));
                    }
                }
            }
            CloudWait::Rent(of, claim) if Some(of) == incarnation => {
                let pause = self.sh.jitter(Micros::from_millis(1000));
                if let Some(leader) = self.leader.as_mut() {
                    leader.rented(&claim, answer, now, pause);
                }
            }
            CloudWait::Release(of, names) if Some(of) == incarnation => {
                let Some(leader) = self.leader.as_mut() else { return };
                leader.fleet.releasing = leader.fleet.releasing.saturating_sub(1);
                for name in names {
                    if answer == CloudAnswer::Released {
                        leader.machine_gone(&name, now);
                    } else if let Some(m) = leader.machines.get_mut(&name) {
                        m.release_sent = None;
                        leader.fleet.to_release.insert(name);
                    }
                }
            }
            CloudWait::List(of) if Some(of) == incarnation => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.fleet.list_flying = false;
                    match answer {
                        CloudAnswer::List(page) => {
                            let last = page.machines.last().map(|m| m.name.clone());
                            for listed in page.machines {
                                leader.listed(listed, now);
                            }
                            leader.fleet.listing = if page.more { last } else { None };
                            if !page.more {
                                leader.fleet.listed = true;
                                let pause = self.site.settings.params.cloud.list_lag_s.max(2.0);
                                leader.fleet.next_list = now + Micros::from_secs(pause);
                            }
                        }
                        _ => {
                            leader.fleet.listing = None;
                            leader.fleet.next_list = now + self.sh.jitter(Micros::from_secs(2.0));
                        }
                    }
                }
            }
            // Asked by an earlier leadership of this node.
            _ => {}
        }
    }
}

impl Leader {
    fn rented(&mut self, id: &str, answer: CloudAnswer, now: Micros, pause: Micros) {
        let Some(claim) = self.fleet.claims.iter_mut().find(|c| c.id == id) else {
            return;
        };
        match answer {
            CloudAnswer::Rented(names) => {
                let names: Vec<MachineId> = names.iter().map(|n| n.as_str().into()).collect();
                if (names.len() as u32) < claim.value.count {
                    let key = (
                        claim.value.machine_type.clone(),
                        claim.value.zone.clone(),
                        claim.value.spot,
                    );
                    self.fleet.blocked.insert(key, now + times::NO_CAPACITY);
                }
                tracing::debug!(
                    claim = id,
                    machine_type = claim.value.machine_type,
                    zone = claim.value.zone,
                    spot = claim.value.spot,
                    asked = claim.value.count,
                    got = names.len(),
                    "rented"
                );
                for name in &names {
                    if self.gone.contains(name) {
                        continue;
                    }
                    let m = self
                        .machines
                        .entry(name.clone())
                        .or_insert_with(|| Machine::unknown(name.clone(), now));
                    m.rented_at.get_or_insert(now);
                    if m.machine_type.is_empty() {
                        let v = &claim.value;
                        m.describe(&v.machine_type, &v.zone, v.spot);
                    }
                }
                claim.state = ClaimState::Answered(names);
            }
            CloudAnswer::NoCapacity | CloudAnswer::Malformed => {
                // Nothing was rented under this name, and it is not asked
                // again. An earlier try that went unanswered may still be
                // executed; its machines are adopted when they show.
                let key = (
                    claim.value.machine_type.clone(),
                    claim.value.zone.clone(),
                    claim.value.spot,
                );
                self.fleet.blocked.insert(key, now + times::NO_CAPACITY);
                claim.state = ClaimState::Over;
            }
            _ => {
                claim.state = ClaimState::Recorded;
                claim.tries += 1;
                claim.again_at = now + pause;
            }
        }
    }

    /// A machine in the list: unknown ones are adopted, failed ones returned.
    fn listed(&mut self, listed: Listed, now: Micros) {
        let name: MachineId = listed.name.as_str().into();
        if self.gone.contains(&name) {
            return;
        }
        let age = Micros::from_secs(listed.age_s);
        let m = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::debug!(machine = listed.name, phase = listed.phase, "adopted from the list");
            let mut m = Machine::unknown(name, now);
            m.since = now.since(age);
            m
        });
        if m.machine_type.is_empty() {
            m.describe(&listed.machine_type, &listed.zone, listed.spot);
        }
        m.rented_at.get_or_insert(now.since(age));
        if m.addr.is_empty() {
            m.addr = listed.addr;
        }
        if listed.phase == "failed" && m.state != MachineState::Doomed {
            tracing::info!(machine = listed.name, "machine failed");
            m.state = MachineState::Doomed;
            self.fleet.to_release.insert(m.name.clone());
        }
    }

    /// Gives up on machines that are late, silent or taken, and on those that
    /// keep a cancelled task for too long.
    pub fn judge_machines(&mut self, site: &Site, now: Micros) {
        self.boots.look(site, &self.machines, now);
        let w = &site.settings.params.workers;
        let silent = times::silent(w);
        let lease = Micros::from_secs(w.lease_s);
        // A silent spot machine was most likely taken back. An ordinary one is
        // more likely cut off with its tasks running; they run on until its
        // lease ends, and releasing it earlier would only stop them.
        // A machine that a new leader knows from the book only, neither reporting
        // nor listed, is most likely gone as well.
        // Inside a zone that is cut off, its controllers go on answering for as long as
        // their knowledge is fresh enough, and services run on until the leases renewed
        // by them end. If they were dead instead, the cloud's list would tell.
        let inside = site.knowledge_limit();
        let kept_inside = |m: &Machine| {
            m.services > 0 && self.zones.is_cut(&m.zone) && site.settings.peers.iter().any(|p| p.zone == m.zone)
        };
        let patience = |m: &Machine| {
            if kept_inside(m) {
                inside + times::lease_ends(w)
            } else if m.spot || m.machine_type.is_empty() {
                silent
            } else {
                times::lease_ends(w)
            }
        };
        // Where a node is lost, its workers find another one first.
        let listens = |m: &Machine| self.listens_to(m, now);
        // A zone that is cut off says nothing of the node that heard it.
        let cut_off = |m: &Machine| self.zones.is_cut(&m.zone);
        // Half of the machines that one node hears silent at once says more about
        // that node than about the machines; they get as long as their leases
        // last.
        let mut heard_by: BTreeMap<Option<Rc<str>>, (usize, usize)> = BTreeMap::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up && !cut_off(m))
        {
            let quiet = now.since(m.last_report.max(m.kept_at).max(listens(m))) > silent;
            let group = heard_by.entry(m.via.clone()).or_default();
            group.0 += 1;
            group.1 += usize::from(quiet);
        }
        let doubted: BTreeSet<Option<Rc<str>>> = heard_by
            .into_iter()
            .filter(|(_, (all, quiet))| *quiet >= 3 && quiet * 2 > *all)
            .map(|(via, _)| via)
            .collect();
        let listening: BTreeMap<MachineId, Micros> =
            self.machines.values().map(|m| (m.name.clone(), listens(m))).collect();
        let boots = &self.boots;
        let held_too_long: BTreeSet<MachineId> = self
            .jobs
            .values()
            .filter(|j| j.cancelled.is_some())
            .flat_map(|j| j.placed.values())
            .filter(|p| now.since(p.stop_at) > Micros::from_secs(w.cancel_s * 0.5))
            .map(|p| p.machine.clone())
            .collect();
        let released = self.released_in_step(site, now);
        let alone = |m: &Machine| {
            let judged = !cut_off(m) && !doubted.contains(&m.via) && now.since(m.kept_at) > times::KEPT_TOLD;
            judged.then(|| now.since(m.last_report.max(listens(m))))
        };
        let hung = self.given_up_early(site, alone);
        let zones = &self.zones;
        for m in self.machines.values_mut().filter(|m| m.state != MachineState::Doomed) {
            let listens = listening.get(&m.name).copied().unwrap_or(self.listens_since);
            // What another node keeps runs on, but nothing that ends there can be
            // recorded: a short cut is sat out, a long one is not.
            let sat_out = now.since(m.last_report.max(listens)) < times::kept(w);
            let kept_at = if sat_out { m.kept_at } else { Micros::ZERO };
            // In a zone that is cut off, leases run on from the last report.
            let known = zones.is_cut(&m.zone) && m.last_report > Micros::ZERO;
            let listens = if known { Micros::ZERO } else { listens };
            let unheard = now.since(m.last_report.max(kept_at).max(listens));
            let boot = site.catalogue.get(&m.machine_type).map_or(60.0, |t| t.boot_s);
            let why = match m.state {
                MachineState::Booting if m.tasks.is_empty() => {
                    // To a new leader all machines are booting until they report.
                    let heard = now.since(self.listens_since) > silent;
                    let late = boots.pace(m).is_dead(now.since(m.since), boot);
                    (late && heard).then_some("never came up")
                }
                _ if released.contains(&m.name) => Some("there is room for its work outside its zone"),
                _ if hung.contains(&m.name) => Some("silent, and there is room for its services"),
                _ if unheard > patience(m)
                    && (zones.is_cut(&m.zone) || !doubted.contains(&m.via) || unheard > patience(m) + lease) =>
                {
                    Some("silent")
                }
                _ if m.taken_at.is_some_and(|at| now > at) && unheard > Micros::from_secs(w.report_s * 1.5 + 1.0) => {
                    Some("taken back")
                }
                _ => None,
            };
            // A node that keeps a machine stops cancelled tasks there itself.
            let kept = now.since(m.kept_at) < times::KEPT_TOLD;
            let why = why.or_else(|| (!kept && held_too_long.contains(&m.name)).then_some("keeps a cancelled task"));
            if let Some(why) = why {
                let (tasks, services) = (m.tasks.len(), m.services);
                tracing::info!(machine = %m.name, zone = &*m.zone, why, tasks, services, "machine given up");
                m.state = MachineState::Doomed;
                self.fleet.to_release.insert(m.name.clone());
                self.dirty = true;
            }
        }
    }

    /// Rents, lists and returns machines.
    pub fn tick_fleet(&mut self, sh: &mut Shared, site: &Site, cloud: &mut CloudDesk) {
        let now = sh.now;
        if site.catalogue.is_empty() {
            return;
        }
        // What is lost frees its tasks only when it is returned: that first.
        let machines = &self.machines;
        let waits = |m: &Machine| m.state == MachineState::Doomed && m.release_sent.is_none();
        self.fleet
            .to_release
            .retain(|name| machines.get(name).is_some_and(waits));
        let doomed: Vec<MachineId> = self.fleet.to_release.iter().take(RELEASED_AT_ONCE).cloned().collect();
        if !doomed.is_empty() && self.fleet.releasing < 2 {
            let request = CloudRequest::Release(Hosts {
                machines: doomed.iter().map(|n| n.to_string()).collect(),
            });
            let wait = CloudWait::Release(self.incarnation, doomed.clone());
            if cloud.call(sh, site, wait, request, 0.0) {
                self.fleet.releasing += 1;
                for name in doomed {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.release_sent = Some(now);
                    }
                }
            }
        }
        for claim in &mut self.fleet.claims {
            if matches!(claim.state, ClaimState::Recorded) && now >= claim.again_at {
                let request = CloudRequest::Rent(Rent {
                    claim: claim.id.clone(),
                    machine_type: claim.value.machine_type.clone(),
                    zone: claim.value.zone.clone(),
                    spot: claim.value.spot,
                    count: claim.value.count,
                });
                let wait = CloudWait::Rent(self.incarnation, claim.id.clone());
                if !cloud.call(sh, site, wait, request, 0.1) {
                    break;
                }
                claim.state = ClaimState::Asked;
            }
        }
        let (machines, gone) = (&self.machines, &self.gone);
        for claim in &mut self.fleet.claims {
            if let ClaimState::Answered(names) = &claim.state {
                let seen = |n: &MachineId| {
                    gone.contains(n) || machines.get(n).is_none_or(|m| m.session > 0 || !m.addr.is_empty())
                };
                if names.iter().all(seen) {
                    claim.state = ClaimState::Over;
                }
            }
        }
        if !self.fleet.list_flying && (self.fleet.listing.is_some() || now >= self.fleet.next_list) {
            let request = CloudRequest::List {
                after: self.fleet.listing.clone().unwrap_or_default(),
            };
            if cloud.call(sh, site, CloudWait::List(self.incarnation), request, 0.3) {
                self.fleet.list_flying = true;
            }
        }
        if now >= self.fleet.next_decide {
            self.fleet.next_decide = now + Micros::from_millis(250);
            self.decide(site, now);
        }
    }

    /// Cores that work of each kind holds and waits for, as far as the teams'
    /// limits let it run: (needs ordinary machines, may use spot machines).
    fn demand(&self, site: &Site, now: Micros) -> (f64, f64) {
        let mut by_team: BTreeMap<&str, (f64, f64, f64, f64)> = BTreeMap::new();
        for job in self.jobs.values() {
            let cores = effective_cores(&job.spec, site);
            let held = f64::from(job.held);
            let waits = if job.may_run() {
                worth_renting(site, job, now)
            } else {
                0.0
            };
            let e = by_team.entry(&job.spec.team).or_default();
            if job.spec.spot {
                e.1 += held * cores;
                e.3 += waits * cores;
            } else {
                e.0 += held * cores;
                e.2 += waits * cores;
            }
        }
        let (mut ordinary, mut spot) = (0.0, 0.0);
        for (team, (held_o, held_s, wait_o, wait_s)) in by_team {
            let left = (site.limits(team).0 - held_o - held_s).max(0.0);
            let wait_o = wait_o.min(left);
            ordinary += held_o + wait_o;
            spot += held_s + wait_s.min(left - wait_o);
        }
        (ordinary, spot)
    }

    /// Decides what to rent and what to return.
    fn decide(&mut self, site: &Site, now: Micros) {
        let (ordinary, flexible) = self.demand(site, now);
        let span = self.fleet.average_at.map_or(0.0, |at| now.since(at).secs());
        self.fleet.average_at = Some(now);
        let keep = 0.5f64.powf(span / 20.0);
        self.fleet.average = self.fleet.average * keep + flexible * (1.0 - keep);
        // A new leader knows from the book only the names of machines with
        // tasks. Before the list has told what they are, it would rent all that
        // is there a second time.
        let patience = Micros::from_secs(site.settings.params.workers.report_s * 1.5 + 2.0);
        let heard = now.since(self.began) > patience;
        if !self.fleet.listed && !heard {
            return;
        }
        let headroom = 1.0 + site.settings.operator.headroom;
        let want_ordinary = if ordinary > 0.0 {
            ordinary + self.service_reserve()
        } else {
            0.0
        };
        // What runs on in a cut-off zone is not replaced yet, or its room is not
        // counted any more.
        let cuts: BTreeMap<&str, Move> = self
            .machines
            .values()
            .filter(|m| self.zones.is_cut(&m.zone))
            .map(|m| (&*m.zone, self.moves_out(site, &m.zone, now)))
            .collect();
        let far = self.held_far(site, &cuts);
        let want_ordinary = (want_ordinary - far[0]).max(0.0);
        let want_flexible = (flexible.max(self.fleet.average * headroom) - far[1]).max(0.0);
        let mut supply = [Supply::default(); 2];
        for m in self.machines.values() {
            let Some(t) = site.catalogue.get(&m.machine_type) else {
                continue;
            };
            // Kept by another node only: it runs on, but takes no new work.
            let away = m.kept_at > m.last_report && now.since(m.last_report) > Self::work_silence(site);
            // Machines that are up show as booting until they report here.
            let counted = if m.state == MachineState::Booting && heard {
                self.boots.pace(m).counted(now.since(m.since), t.boot_s)
            } else {
                1.0
            };
            let usable = m.state != MachineState::Doomed
                && m.taken_at.is_none()
                && now >= m.doubted_until
                && now >= m.slow_until
                && !m.is_deaf()
                && !away
                && !self.zones.is_cut(&m.zone);
            if usable {
                supply[usize::from(m.spot)].cores += t.cpus * counted;
            }
        }
        for claim in self.fleet.coming().filter(|c| !self.zones.is_cut(&c.zone)) {
            if let Some(t) = site.catalogue.get(&claim.machine_type) {
                supply[usize::from(claim.spot)].cores += t.cpus * f64::from(claim.count);
            }
        }
        let missing = want_ordinary - supply[0].cores;
        if missing > 0.0 {
            self.rent(site, now, false, missing);
        }
        let spare = (supply[0].cores - want_ordinary).max(0.0);
        let missing = want_flexible - spare - supply[1].cores;
        if missing > 1.0 {
            let waits = self
                .jobs
                .values()
                .any(|j| j.may_run() && j.spec.spot && !j.waiting.is_empty());
            if !self.rent(site, now, true, missing) && waits && now >= self.fleet.next_advice {
                // No spot machine is to be had: ordinary ones for what is worth it.
                let others = (want_ordinary - supply[0].cores).max(0.0);
                let (advice, promises) = self.worth_ordinary(site, others, now);
                let cores = advice.cores.max(self.by_backlog(site, spare + supply[1].cores, now));
                let rents = cores > 0.5 && self.rent(site, now, false, cores);
                if rents {
                    self.promise(promises);
                }
                let pause = if rents { 250 } else { 1000 };
                self.fleet.next_advice = now + Micros::from_millis(pause);
            }
        }
        let enough = supply[0].cores + supply[1].cores >= ordinary + flexible;
        self.rent_for_stuck(site, now, enough);
        self.return_idle(site, now, want_ordinary, want_flexible, supply);
    }

    /// Cores missing for work that has the time to wait and may use spot machines, when
    /// none of those is to be had: for what waits and can still be done in time on a
    /// machine that has yet to boot, and for a part of all else, so that a backlog does
    /// not grow without end. `room` are the cores that there are for all such work.
    fn by_backlog(&self, site: &Site, room: f64, now: Micros) -> f64 {
        let boots: Vec<f64> = site.catalogue.values().map(|t| t.boot_s).collect();
        let boot = boots.iter().sum::<f64>() / boots.len().max(1) as f64;
        let (mut held, mut helped, mut freed, mut low) = (0.0, 0.0, 0.0, 0.0);
        let (mut all, mut others) = (0.0, 0.0);
        let mut hurries: BTreeMap<&str, bool> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.spot) {
            let cores = effective_cores(&job.spec, site);
            let holds = f64::from(job.held) * cores;
            let wants = holds
                + if job.may_run() {
                    worth_renting(site, job, now) * cores
                } else {
                    0.0
                };
            let class = job.spec.class.as_str();
            if *hurries
                .entry(class)
                .or_insert_with(|| self.must_not_wait(site, class, now))
            {
                others += wants;
                continue;
            }
            all += wants;
            held += holds;
            // What runs now makes room while a machine boots.
            freed += holds * (boot / job.spec.estimate_s.max(1.0)).min(1.0) * TURNOVER;
            let fetch = site
                .catalogue
                .values()
                .map(|t| job.spec.image_gb / t.fetch_gb_per_s.max(0.01))
                .fold(f64::INFINITY, f64::min);
            let up = now + Micros::from_secs(boot * 1.1 + fetch.min(60.0));
            let in_time = latest_start(site, job).is_none_or(|at| up <= at);
            // Work of low priority that has the time waits for spot machines.
            if job.may_run() && in_time && !takes_leftovers(site, job, now) {
                helped += worth_renting(site, job, now) * cores;
            }
            if job.priority == Priority::Low {
                low += holds + worth_renting(site, job, now) * cores;
            }
        }
        let least = (all - low).max(0.0) / PATIENCE;
        let wanted = if helped > freed {
            least.max((held + helped - freed).min(all))
        } else {
            least
        };
        wanted - (room - others).max(0.0)
    }

    /// Cores held in cut-off zones by work that is not to be moved yet: (needs
    /// ordinary machines, may use spot machines).
    fn held_far(&self, site: &Site, cuts: &BTreeMap<&str, Move>) -> [f64; 2] {
        let mut held = [0.0; 2];
        for m in self.machines.values() {
            let Some(step) = cuts.get(&*m.zone) else { continue };
            for (id, task) in &m.tasks {
                let Some(job) = self.jobs.get(id) else { continue };
                let holds = job
                    .placed
                    .get(task)
                    .is_some_and(|p| !matches!(p.stage, Stage::Exited(_)));
                let stays = match step {
                    Move::Nothing => true,
                    Move::Services => job.spec.spot,
                    Move::All => false,
                };
                if holds && stays {
                    held[usize::from(job.spec.spot)] += effective_cores(&job.spec, site);
                }
            }
        }
        held
    }

    /// Rents for jobs that no machine has room for although there are cores
    /// enough in all: zones, types or scattered room keep them waiting.
    fn rent_for_stuck(&mut self, site: &Site, now: Micros, enough: bool) {
        let mut zones: Vec<String> = site.catalogue.values().flat_map(|t| t.zones.clone()).collect();
        zones.sort();
        zones.dedup();
        // What is on its way, to be shared among those who wait.
        let mut coming: Vec<(String, String, bool, f64)> = vec![];
        for m in self.machines.values().filter(|m| m.state == MachineState::Booting) {
            if let Some(t) = site.catalogue.get(&m.machine_type) {
                if self.boots.pace(m).counted(now.since(m.since), t.boot_s) > 0.0 {
                    coming.push((m.machine_type.clone(), m.zone.clone(), m.spot, t.cpus));
                }
            }
        }
        for claim in self.fleet.coming() {
            if let Some(t) = site.catalogue.get(&claim.machine_type) {
                let cores = t.cpus * f64::from(claim.count);
                coming.push((claim.machine_type.clone(), claim.zone.clone(), claim.spot, cores));
            }
        }
        let held = super::placement::team_use(&self.jobs);
        let mut wanted: Vec<Stuck> = vec![];
        for job in self.jobs.values() {
            let s = &job.spec;
            // What its team's limit stops starts on no machine, however many are rented.
            let team_holds = held.get(&s.team).map_or(0.0, |h| h.0);
            let left = site.limits(&s.team).0 - team_holds;
            if left < s.cpus {
                continue;
            }
            let bound = s.one_zone || s.spread || s.zone.is_some() || s.types.is_some();
            // Where cores are short in all, the ordinary decision rents; here
            // only what it cannot see.
            let patience = if bound { 2.0 } else { 6.0 };
            let stuck = job
                .stuck_since
                .is_some_and(|at| now.since(at) > Micros::from_secs(patience));
            let stuck = stuck && (bound || enough);
            if !job.may_run() || job.waiting.is_empty() || !stuck || !now_waiting(job, now) {
                continue;
            }
            let open = open_zones(job, &self.machines, &zones);
            let cores = (job.waiting.len() as f64 * effective_cores(&job.spec, site)).min(left);
            let spot_only = takes_leftovers(site, job, now);
            wanted.push(Stuck {
                version: job.version,
                spec: job.spec.clone(),
                open,
                cores,
                spot_only,
            });
        }
        wanted.sort_by_key(|w| w.version);
        for Stuck {
            spec,
            open,
            cores,
            spot_only,
            ..
        } in wanted
        {
            let zone_open = |z: &String| open.as_ref().is_none_or(|o| o.contains(z));
            let mut missing = cores;
            for (machine_type, zone, spot, left) in &mut coming {
                if allowed(&spec, machine_type, zone, *spot) && zone_open(zone) && *left >= spec.cpus {
                    let take = missing.min(*left);
                    *left -= take;
                    missing -= take;
                }
            }
            if missing < 0.5 {
                continue;
            }
            // One machine at a time: what waits moves on as others exit.
            let kinds: &[bool] = match (spec.spot, spot_only) {
                (true, true) => &[true],
                (true, false) => &[true, false],
                _ => &[false],
            };
            for spot in kinds {
                if self.rent_where(site, now, *spot, spec.cpus.max(1.0), Some(&spec), &zone_open) {
                    return;
                }
            }
        }
    }

    /// Requests machines of one kind for so many cores; false if none can be
    /// asked for now.
    fn rent(&mut self, site: &Site, now: Micros, spot: bool, cores: f64) -> bool {
        self.rent_where(site, now, spot, cores, None, &|_| true)
    }

    /// The same in some zones only and, if given, for one job.
    fn rent_where(
        &mut self,
        site: &Site,
        now: Micros,
        spot: bool,
        cores: f64,
        only: Option<&Spec>,
        zone_open: &dyn Fn(&String) -> bool,
    ) -> bool {
        if self.fleet.coming().count() >= CLAIMS {
            return true;
        }
        let specs: Vec<&Spec> = match only {
            Some(spec) => vec![spec],
            None => self
                .jobs
                .values()
                .filter(|j| {
                    j.cancelled.is_none() && !j.blocked && (j.spec.spot == spot || (!spot && !j.waiting.is_empty()))
                })
                .map(|j| &j.spec)
                .collect(),
        };
        let mut best: Option<(f64, usize, String, &MachineType)> = None;
        for t in site.catalogue.values() {
            let price = if spot { t.spot_price } else { t.price };
            for zone in t.zones.iter().filter(|z| zone_open(z) && !self.zones.is_cut(z)) {
                let key = (t.name.clone(), zone.clone(), spot);
                if self.fleet.blocked.get(&key).is_some_and(|until| now < *until) {
                    continue;
                }
                if !specs.is_empty()
                    && !specs.iter().any(|s| {
                        allowed(s, &t.name, zone, spot) && s.cpus <= t.cpus && s.memory <= t.memory && s.gpus <= t.gpus
                    })
                {
                    continue;
                }
                let count = (cores / t.cpus.max(1.0)).ceil().max(1.0);
                // What the request costs for the cores that are used.
                let cost = price * count / cores.max(1.0);
                let here = self
                    .machines
                    .values()
                    .filter(|m| m.zone == *zone && m.spot == spot && m.state != MachineState::Doomed)
                    .count();
                let better = match &best {
                    None => true,
                    Some((c, n, _, b)) => {
                        let alike = cost < c * 1.03;
                        cost < c * 0.97 || (alike && t.cpus < b.cpus) || (alike && t.cpus <= b.cpus && here < *n)
                    }
                };
                if better {
                    best = Some((cost, here, zone.clone(), t));
                }
            }
        }
        let Some((_, _, zone, t)) = best else { return false };
        // A large need is spread over the zones, one request after the other.
        let all = (cores / t.cpus.max(1.0)).ceil();
        let share = (all / t.zones.len().max(1) as f64).ceil().max(BATCH);
        let count = all.min(share).clamp(1.0, MOST) as u32;
        self.fleet.next_claim += 1;
        let id = format!("r-{}-{}", self.term, self.fleet.next_claim);
        tracing::debug!(
            claim = id,
            machine_type = t.name,
            zone,
            spot,
            count,
            cores,
            "to be rented"
        );
        let value = ClaimValue {
            machine_type: t.name.clone(),
            zone,
            spot,
            count,
        };
        self.fleet.claims.push(Claim {
            id,
            value,
            state: ClaimState::Wanted,
            base: 0,
            again_at: now,
            tries: 0,
        });
        true
    }

    /// Returns machines that have been idle for a while and are not wanted.
    fn return_idle(
        &mut self,
        site: &Site,
        now: Micros,
        want_ordinary: f64,
        want_flexible: f64,
        mut supply: [Supply; 2],
    ) {
        let idle = Micros::from_secs(site.settings.operator.idle_s);
        for m in self.machines.values_mut() {
            let Some(t) = site.catalogue.get(&m.machine_type) else {
                continue;
            };
            if m.state != MachineState::Up || !m.tasks.is_empty() || m.strangers > 0 {
                m.idle_since = None;
                continue;
            }
            if m.taken_at.is_some() {
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            // Time to learn whether a job is to blame instead.
            let faulty = m.doubted_since.is_some_and(|at| now.since(at) > times::FAULTY) && now < m.doubted_until;
            let doubted = faulty || now < m.slow_until || (m.is_deaf() && now.since(since) > times::FAULTY);
            if doubted {
                m.state = MachineState::Doomed;
                self.fleet.to_release.insert(m.name.clone());
                continue;
            }
            if now.since(since) < idle {
                continue;
            }
            let kind = usize::from(m.spot);
            let rest = supply[kind].cores - t.cpus;
            let total = supply[0].cores + supply[1].cores - t.cpus;
            let enough = total >= want_ordinary + want_flexible && (m.spot || rest >= want_ordinary);
            if enough {
                tracing::debug!(machine = %m.name, "idle machine returned");
                supply[kind].cores = rest;
                m.state = MachineState::Doomed;
                self.fleet.to_release.insert(m.name.clone());
            }
        }
    }
}

/// How many of a job's waiting tasks machines are worth renting for. A job that
/// fails everywhere gets none. Work of low priority runs when others leave room:
/// tasks that can follow each other on the same cores in the time there is need
/// no cores of their own.
fn worth_renting(site: &Site, job: &super::book::Job, now: Micros) -> f64 {
    if !now_waiting(job, now) {
        return 0.0;
    }
    let waiting = job.waiting.len() as f64;
    if job.priority != Priority::Low || job.is_service() {
        return waiting;
    }
    let span = match latest_start(site, job) {
        Some(at) => at.since(now).secs() + job.spec.estimate_s,
        None => NO_HURRY_S,
    };
    // Estimates are often wrong by half.
    let rounds = (span / (job.spec.estimate_s * 1.5 + 1.0)).floor().max(1.0);
    (waiting / rounds).ceil()
}

/// A job that fails everywhere is not worth new machines.
fn now_waiting(job: &super::book::Job, now: Micros) -> bool {
    !job.is_suspect(now)
}

/// Cores one task takes off a machine, counting memory it takes beyond its
/// share of the cores.
pub fn effective_cores(spec: &Spec, site: &Site) -> f64 {
    site.catalogue
        .values()
        .filter(|t| t.cpus >= spec.cpus && t.memory >= spec.memory && t.gpus >= spec.gpus)
        .map(|t| {
            let by_memory = if t.memory > 0.0 {
                spec.memory / t.memory * t.cpus
            } else {
                0.0
            };
            spec.cpus.max(by_memory)
        })
        .fold(f64::INFINITY, f64::min)
        .min(1e6)
}
