//! Workers' reports, the orders they get, and what a node that does not lead
//! does for a worker that cannot reach the leader.

use super::book::{EarlyReport, Leader, Machine, MachineId, MachineState, Stage, TaskState};
use super::commit::LeaderWait;
use super::desk::Desk;
use super::leadership::{LeadWait, Leadership, Role};
use super::renewal::{self, Vouchers, ORDERS};
use super::store_queue::Urgency;
use super::{times, Core, DirectAnswer, Effect, JobId, Shared, Site, Wait};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{to_value, Care};
use crate::protocol::peer::{Link, PeerMessage};
use crate::protocol::store::{Change, StoreRequest, Txn};
use crate::protocol::users::Phase;
use crate::protocol::workers::{Cause, Direct, Elsewhere, Order, Orders, Report, TaskPhase};
use crate::protocol::{json_size, to_cbor};
use crate::settings::Workers;
use crate::time::Micros;
use glenhaven_links::{Host, Sure};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Reports that wait until a new leader can answer them.
const EARLY: usize = 4000;
/// A direct order with no answer by then is in doubt.
const DIRECT_TIMEOUT: Micros = Micros::from_millis(1500);
/// The same by way of another node.
const RELAY_LIMIT: Micros = Micros::from_millis(2600);
/// Reports in one message to a new leader, well under the limit of a frame.
const RECALLED: usize = 30;
/// A node takes this many workers more than a third beyond the one with the
/// fewest before it sends new ones there.
const UNEVEN: u32 = 16;

/// Direct orders on their way.
pub struct SentDirect {
    pub machine: MachineId,
    pub orders: Vec<Order>,
    pub fence: u64,
    /// By way of another node, since then.
    pub relayed: bool,
    pub at: Micros,
}

/// Splits a task's name into its job and number.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, n) = task.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}

impl Leader {
    /// Takes in a report that a worker sent at about `at`, here or to another
    /// node; returns the orders for its answer.
    pub fn on_report(
        &mut self,
        site: &Site,
        report: &Report,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Vec<Order> {
        // A worker has one report on its way at a time: its next one says that the answer to
        // the last has come, or never will.
        let newer = |m: &Machine| (report.session, report.serial) > (m.session, m.serial);
        if let Some(m) = self.machines.get_mut(report.machine.as_str()).filter(|m| newer(m)) {
            m.answered.clear();
        }
        let orders = self.take_report(site, report, via, at, now);
        if let Some(m) = self.machines.get_mut(report.machine.as_str()) {
            for order in &orders {
                if let Order::Start { task, attempt } = order {
                    m.answered.insert((task.clone(), *attempt));
                }
            }
        }
        orders
    }

    /// The same of a report that is not a worker's own: it came with the answer to a command,
    /// and says nothing of the answers to its reports.
    pub fn take_report(
        &mut self,
        site: &Site,
        report: &Report,
        via: Option<&str>,
        at: Micros,
        now: Micros,
    ) -> Vec<Order> {
        let name: MachineId = report.machine.as_str().into();
        if self.gone.contains(&name) {
            return vec![];
        }
        // A token that this leader never gave out: another one leads by now, or nobody ever
        // gave it. As a proof that starts are refused it would be worth nothing.
        if report.fence > self.term {
            return vec![];
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = report.machine, "a machine that was not expected reports");
            Machine::unknown(name.clone(), now)
        });
        if (report.session, report.serial) <= (machine.session, machine.serial) {
            // A late message: its task list is older than what we know.
            return vec![];
        }
        let new_session = report.session > machine.session;
        if at == now {
            machine.listens(via, now);
        }
        machine.reports += 1;
        machine.session = report.session;
        machine.serial = report.serial;
        machine.last_report = if new_session || machine.state == MachineState::Booting {
            at
        } else {
            machine.last_report.max(at)
        };
        if machine.via.as_deref() != via {
            machine.via = via.map(Rc::from);
        }
        machine.addr.clone_from(&report.addr);
        machine.describe(&report.machine_type, &report.zone, report.spot);
        machine.fence = machine.fence.max(report.fence);
        let seen_fence = machine.fence;
        machine.in_doubt.retain(|_, fence| *fence >= seen_fence);
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            if let (Some(rented), Some(t)) = (machine.rented_at, site.catalogue.get(&report.machine_type)) {
                let kind = (report.machine_type.clone(), report.zone.clone(), report.spot);
                self.boots.came_up(kind, at.since(rented), t.boot_s, now);
            }
            self.dirty = true;
            tracing::debug!(
                machine = report.machine,
                boot_s = now.since(machine.since).secs(),
                "machine up"
            );
        }
        if new_session {
            machine.in_doubt.clear();
            machine.urgent.clear();
            self.drop_images(&name);
            self.dirty = true;
        }
        let Some(machine) = self.machines.get_mut(&name) else {
            return vec![];
        };
        if let Some(notice) = report.notice_s {
            if machine.taken_at.is_none() {
                tracing::debug!(machine = report.machine, notice, "the cloud takes a machine back");
                machine.taken_at = Some(now + Micros::from_secs(notice));
                self.dirty = true;
            }
        }
        let listed: BTreeMap<(&str, u32), &crate::protocol::workers::TaskReport> = report
            .tasks
            .iter()
            .filter_map(|t| parse_task(&t.task).map(|key| (key, t)))
            .collect();
        let mut orders = vec![];
        let records: Vec<(JobId, u32)> = machine.tasks.iter().cloned().collect();
        for (id, task) in records {
            let entry = listed.get(&(&*id, task)).copied();
            self.match_record(site, &name, &id, task, entry, report, now, &mut orders);
        }
        // What is listed without a record.
        let mut strangers = 0;
        for t in &report.tasks {
            let known = parse_task(&t.task).is_some_and(|(job, task)| {
                self.jobs
                    .get(job)
                    .and_then(|j| j.placed.get(&task))
                    .is_some_and(|p| p.machine == name && p.attempt == t.attempt && p.session == report.session)
            });
            if known || orders.len() >= ORDERS {
                continue;
            }
            if t.phase == TaskPhase::Exited {
                if self.may_forget(&name, &t.task, t.attempt) {
                    orders.push(Order::Forget {
                        task: t.task.clone(),
                        attempt: t.attempt,
                    });
                }
            } else {
                strangers += 1;
                orders.push(Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                });
            }
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            if machine.strangers != strangers {
                self.dirty = true;
            }
            machine.strangers = strangers;
        }
        orders
    }

    /// What workers reported to a node that this one can't hear, by way of the state
    /// service. Good for what it says, as any late report; it does not tell that the
    /// machines are reached, and nobody waits for orders.
    pub fn told_by_store(&mut self, site: &Site, reports: &[Report], now: Micros) {
        for report in reports {
            let Some(m) = self.machines.get(report.machine.as_str()) else {
                continue;
            };
            let (via, at) = (m.via.clone(), m.last_report);
            self.on_report(site, report, via.as_deref(), at, now);
        }
    }

    /// Forgetting while a start of the same attempt may be on its way would let
    /// that start run the task again.
    fn may_forget(&self, machine: &MachineId, task: &str, attempt: u64) -> bool {
        let flying = self.direct.values().any(|d| {
            d.machine == *machine
                && d.orders
                    .iter()
                    .any(|o| matches!(o, Order::Start { task: t, attempt: a } if t == task && *a == attempt))
        });
        let key = (task.to_string(), attempt);
        let doubted = self
            .machines
            .get(machine)
            .is_some_and(|m| m.in_doubt.contains_key(&key) || m.answered.contains(&key));
        !flying && !doubted
    }

    /// Compares one record with a report.
    #[allow(clippy::too_many_arguments)]
    fn match_record(
        &mut self,
        site: &Site,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: Option<&crate::protocol::workers::TaskReport>,
        report: &Report,
        now: Micros,
        orders: &mut Vec<Order>,
    ) {
        let term = self.term;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let live = job.is_live();
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(p) = job.placed.get_mut(&task) else { return };
        if p.stage == Stage::Committing {
            return;
        }
        if report.session > p.session {
            // The session that the record was made for is over, and everything
            // of it was killed.
            tracing::debug!(job = %id, task, machine = %name, "lost with its session");
            self.free(id, task, now);
            return;
        }
        let text = format!("{id}/{task}");
        match entry.filter(|e| e.attempt == p.attempt) {
            Some(e) if e.phase == TaskPhase::Exited => {
                let cause = e.cause.unwrap_or(Cause::Other);
                let attempt = p.attempt;
                let first = !matches!(p.stage, Stage::Exited(_));
                p.stage = Stage::Exited(cause);
                let helper = p.helper;
                let cancelled = job.cancelled.is_some();
                if first {
                    job.vacates(helper);
                    if let Some(m) = self.machines.get_mut(name) {
                        m.take(&job.spec, -1.0);
                    }
                }
                if first {
                    self.exited(site, name, id, task, cause, now);
                }
                // A completion stays on the machine until it is recorded.
                if cause != Cause::Done || cancelled {
                    if self.may_forget(name, &text, attempt) && orders.len() < ORDERS {
                        orders.push(Order::Forget { task: text, attempt });
                    }
                    self.free(id, task, now);
                }
            }
            Some(e) => {
                if e.phase == TaskPhase::Running && p.running_since.is_none() {
                    p.running_since = Some(now);
                    if !p.restored && !job.ageless {
                        let (s, waited) = (&job.spec, now.since(job.arrived));
                        self.account.started(&s.class, &s.team, s.cpus, waited, now);
                    }
                    if !p.restored && !job.spec.needs.is_empty() {
                        self.chained.began(now.since(job.arrived));
                    }
                    tracing::debug!(
                        job = %id,
                        task,
                        class = job.spec.class,
                        machine = %name,
                        try_ = p.attempt,
                        waited_s = now.since(job.arrived).secs(),
                        placed_s = now.since(p.since).secs(),
                        "task runs"
                    );
                }
                if !matches!(p.stage, Stage::Exited(_)) {
                    p.stage = Stage::Seen(e.phase);
                }
                if let Some(grace_s) = p.stop {
                    if orders.len() < ORDERS {
                        orders.push(Order::Stop {
                            task: text,
                            attempt: p.attempt,
                            grace_s,
                        });
                    }
                }
                if e.phase == TaskPhase::Running {
                    let cache = site
                        .catalogue
                        .get(&report.machine_type)
                        .map_or(f64::INFINITY, |t| t.cache_gb);
                    self.use_image(name, &image, image_gb, cache);
                }
            }
            None if report.fence > p.fence => {
                // Starts sent under the record's term are refused from here on,
                // and the machine does not have the task.
                tracing::debug!(job = %id, task, machine = %name, "not on its machine");
                self.free(id, task, now);
            }
            None if p.stop.is_some() || !live => {
                if now.since(p.stop_at) > Micros::from_secs(3.0) {
                    self.new_term = Some("a start that is no longer wanted may still be on its way");
                }
            }
            None if matches!(p.stage, Stage::Sent) && p.sent => {
                if orders.len() < ORDERS {
                    p.fence = term;
                    orders.push(Order::Start {
                        task: text,
                        attempt: p.attempt,
                    });
                }
            }
            None => {}
        }
    }

    /// A task exited; what it means for its job and its machine.
    fn exited(&mut self, site: &Site, name: &MachineId, id: &JobId, task: u32, cause: Cause, now: Micros) {
        let chunk_tasks = self.chunk_tasks;
        self.dirty = true;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match cause {
            Cause::Done if job.is_live() => {
                let seen = job.placed.get(&task).filter(|p| !p.restored);
                if let Some(since) = seen.and_then(|p| p.running_since) {
                    let ran_s = now.since(since).secs();
                    tracing::debug!(job = %id, task, machine = %name, ran_s, "task done");
                    job.runs.0 += ran_s;
                    job.runs.1 += 1;
                    self.account.ran(&job.spec.class, job.spec.estimate_s, ran_s, now);
                }
                if job.states[task as usize] == TaskState::Placed {
                    job.states[task as usize] = TaskState::Finished;
                    job.finished += 1;
                    job.failures = 0;
                    job.failed_on.clear();
                    job.chunks.entry(task / chunk_tasks).or_default().done.insert(task);
                    if !job.is_service() && job.finished == job.spec.tasks {
                        self.committer.complete.insert(id.clone());
                        self.kept_aims(id, now);
                    }
                    self.touch(id, task / chunk_tasks, now);
                }
                if let Some(m) = self.machines.get_mut(name) {
                    m.faults.pop_first();
                }
            }
            Cause::Error => {
                tracing::debug!(job = %id, task, machine = %name, "task failed");
                job.failed_on.insert(name.clone());
                job.failures += 1;
                if job.is_suspect(now) {
                    // Tries follow each other ever more slowly.
                    let tries = job.failed_on.len().max(2) - 2 + job.failures as usize / job.spec.tasks.max(1) as usize;
                    let pause = Micros::from_secs((2u64 << tries.min(5)) as f64);
                    job.not_before = now + pause;
                    let machines = job.failed_on.clone();
                    for machine in machines {
                        self.exonerate(&machine, id);
                    }
                } else {
                    self.blame(name, id, now);
                }
            }
            Cause::NoRoom | Cause::Busy => {
                // What the machine holds differs from what we count; give its
                // next report time to tell.
                let pause = Micros::from_secs(site.settings.params.workers.report_s);
                if let Some(m) = self.machines.get_mut(name) {
                    m.doubted_until = m.doubted_until.max(now + pause);
                }
            }
            Cause::Unknown => {
                // The job's description is not uploaded yet.
                job.failures += 1;
                job.not_before = now + Micros::from_secs(f64::from(job.failures.min(10)));
            }
            _ => {}
        }
    }

    /// Tasks of this job, which is not known to fail everywhere, failed there.
    /// Failures of one job tell of the machine only if the job does well
    /// elsewhere: a job submitted with a mistake fails on good machines too.
    fn blame(&mut self, name: &MachineId, id: &JobId, now: Micros) {
        let jobs = &self.jobs;
        let Some(m) = self.machines.get_mut(name) else { return };
        *m.faults.entry(id.clone()).or_default() += 1;
        m.faults.retain(|job, _| jobs.contains_key(job));
        let does_well = |job: &JobId| jobs.get(job).is_some_and(|j| j.finished > 0);
        let told = m.faults.iter().any(|(job, n)| *n >= 2 && does_well(job));
        if told || m.faults.len() >= 3 {
            if m.doubted_since.is_none() {
                tracing::info!(machine = %name, jobs = m.faults.len(), "machine doubted: tasks fail on it");
            }
            m.doubted_since.get_or_insert(now);
            m.doubted_until = now + times::DOUBTED;
        }
    }

    /// The job fails wherever it is tried: its failures say nothing of a machine.
    fn exonerate(&mut self, name: &MachineId, id: &JobId) {
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.faults.remove(id).is_some() && m.faults.len() < 3 && m.doubted_since.take().is_some() {
            tracing::info!(machine = %name, job = %id, "machine no longer doubted: the job fails everywhere");
            m.doubted_until = Micros::ZERO;
            self.dirty = true;
        }
    }

    /// Sends what is urgent straight to the machines, one message at a time for
    /// each.
    /// They go by way of the node that the machine reports to, if that is heard:
    /// it has a way to the machine even where this one has none.
    pub fn flush_direct(&mut self, sh: &mut Shared, lead: &Leadership, reached: impl Fn(&str) -> bool) {
        if lead.role() != Role::Leader {
            return;
        }
        let mut starts: Vec<(JobId, u32)> = vec![];
        let names: Vec<MachineId> = self.urgent.iter().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                self.urgent.remove(&name);
                continue;
            };
            if m.urgent.is_empty() {
                self.urgent.remove(&name);
                continue;
            }
            if m.flying.is_some() || m.addr.is_empty() {
                continue;
            }
            let rest = m.urgent.split_off(m.urgent.len().min(ORDERS));
            let orders = std::mem::replace(&mut m.urgent, rest);
            for order in &orders {
                if let Order::Start { task, .. } = order {
                    if let Some((job, n)) = parse_task(task) {
                        starts.push((job.into(), n));
                    }
                }
            }
            let by = m.via.clone().filter(|node| reached(node));
            sh_send(sh, &mut self.direct, m, orders, lead, by.as_deref());
        }
        for (id, task) in starts {
            if let Some(p) = self.jobs.get_mut(&id).and_then(|j| j.placed.get_mut(&task)) {
                p.fence = p.fence.max(lead.term());
            }
        }
    }

    /// What came of orders sent straight to a machine.
    pub fn on_direct(&mut self, id: u64, answer: DirectAnswer) {
        let Some(sent) = self.direct.remove(&id) else { return };
        if let Some(m) = self.machines.get_mut(&sent.machine) {
            m.flying = None;
            if matches!(answer, DirectAnswer::Done(_) | DirectAnswer::Rejected(_)) {
                m.hears(sent.at);
            }
            if answer == DirectAnswer::Unknown {
                for order in &sent.orders {
                    if let Order::Start { task, attempt } = order {
                        m.in_doubt.insert((task.clone(), *attempt), sent.fence);
                    }
                }
            }
        }
        if let DirectAnswer::Done(report) | DirectAnswer::Rejected(report) = answer {
            if report.machine == *sent.machine {
                self.direct_reports.push(report);
            }
        }
    }

    /// Looks after machines between reports.
    pub fn tick_machines(&mut self, sh: &mut Shared, site: &Site, sure: bool) {
        let now = sh.now;
        for report in std::mem::take(&mut self.direct_reports) {
            let name: MachineId = report.machine.as_str().into();
            let via = self.machines.get(&name).and_then(|m| m.via.clone());
            let orders = self.take_report(site, &report, via.as_deref(), now, now);
            if let Some(m) = self.machines.get_mut(&name) {
                // Starts go again with the next report's answer if need be.
                m.urgent
                    .extend(orders.into_iter().filter(|o| matches!(o, Order::Forget { .. })));
                self.urgent.insert(name);
            }
        }
        if now < self.next_machines {
            return;
        }
        // What another node was asked to send and did not answer for.
        let late = |d: &SentDirect| d.relayed && now.since(d.at) > RELAY_LIMIT;
        let late: Vec<u64> = self.direct.iter().filter(|(_, d)| late(d)).map(|(id, _)| *id).collect();
        for id in late {
            self.on_direct(id, DirectAnswer::Unknown);
        }
        self.next_machines = now + Micros::from_millis(500);
        self.ask_the_deaf(sh, now);
        self.look_for_unsettled(now);
        let quiet = Self::work_silence(site);
        self.look_at_zones(site, now);
        self.log_replicas(site, now);
        self.keep_account(site, now);
        let unheard = |m: &Machine| m.session > 0 && now.since(m.last_report) > quiet;
        if (self.zones.any() || self.machines.values().any(unheard)) && now >= self.next_care {
            self.next_care = now + PUBLISH;
            let request = StoreRequest::List {
                prefix: keys::CARE.into(),
                after: String::new(),
            };
            let wait = Wait::Leader(self.incarnation, LeaderWait::Care);
            sh.store.push(Urgency::Start, request, wait, Micros::from_millis(700));
        }
        if sure {
            self.judge_machines(site, now);
        }
        if now >= self.next_pace {
            self.next_pace = now + Micros::from_millis(1000);
            self.judge_pace(site, now);
        }
    }
}

fn sh_send(
    sh: &mut Shared,
    direct: &mut BTreeMap<u64, SentDirect>,
    m: &mut Machine,
    orders: Vec<Order>,
    lead: &Leadership,
    by: Option<&str>,
) {
    let id = sh.id();
    let fence = lead.term();
    m.flying = Some(id);
    let body = Direct {
        fence,
        session: m.session,
        orders: orders.clone(),
    };
    let addr = m.addr.clone();
    sh.out.push(match by {
        Some(node) => Effect::Peer {
            to: node.to_string(),
            message: PeerMessage::Relay {
                node: lead.node().to_string(),
                id,
                addr,
                body,
            },
        },
        None => Effect::Direct {
            id,
            addr,
            body,
            timeout: DIRECT_TIMEOUT,
        },
    });
    let sent = SentDirect {
        machine: m.name.clone(),
        orders,
        fence,
        relayed: by.is_some(),
        at: sh.now,
    };
    direct.insert(id, sent);
}

/// A report passed on to the leader.
struct Forwarded {
    reply: u64,
    report: Report,
    at: Micros,
}

/// What a node that does not lead remembers of workers.
#[derive(Default)]
pub struct Caretaker {
    /// Workers sent to another node: when, and to which.
    sent_away: BTreeMap<String, (Micros, String)>,
    forwarded: BTreeMap<u64, Forwarded>,
    /// The last report of each worker that reports here, and when it came.
    served: BTreeMap<String, (Micros, Report)>,
    /// Nodes that workers could not reach, until when they are not named.
    unreached: BTreeMap<String, Micros>,
    unreached_for: Micros,
    /// Machines kept without the leader, and when each last reported.
    kept: BTreeMap<String, Micros>,
    /// The last report of each that the state service was told of.
    told: BTreeMap<String, (u64, u64)>,
    next_publish: Micros,
    /// When the next worker may be sent on.
    next_sent_on: Micros,
}

/// Kept machines that are named at the most.
const KEPT: usize = 400;
/// Share of its workers that a node which hears no other one sends on in a second.
const SENT_ON: f64 = 0.25;
/// How often a node says which machines it keeps.
const PUBLISH: Micros = Micros::from_millis(2000);

impl Caretaker {
    pub fn new(workers: &Workers) -> Caretaker {
        Caretaker {
            unreached_for: times::unreached(workers),
            ..Caretaker::default()
        }
    }

    /// The leader's answer to a report that was passed on.
    /// What this node knows to be cancelled, and the leader may not, is stopped with it.
    pub fn answered(&mut self, sh: &mut Shared, desk: &Desk, id: u64, mut orders: Orders) {
        if let Some(f) = self.forwarded.remove(&id) {
            self.kept.remove(&f.report.machine);
            renewal::add_stops(desk, &f.report, &mut orders.orders);
            sh.reply(f.reply, 200, to_cbor(&orders), None);
        }
    }

    /// The zones of the workers that report here, and when each last did.
    pub fn reporting(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.served.values().map(|(at, report)| (report.zone.as_str(), *at))
    }

    /// How many workers report here. The leader, which has more to do, counts
    /// them twice.
    pub fn serves(&mut self, now: Micros, leads: bool) -> u32 {
        self.served
            .retain(|_, (at, _)| now.since(*at) < Micros::from_secs(60.0));
        let recent = |at: Micros| now.since(at) < Micros::from_secs(15.0);
        let n = self.served.values().filter(|(at, _)| recent(*at)).count() as u32;
        if leads {
            n * 2
        } else {
            n
        }
    }

    /// The worker was sent to another node lately and came back: it could not
    /// reach that one.
    fn came_back(&mut self, machine: &str, now: Micros) -> bool {
        let Some((at, to)) = self.sent_away.get(machine) else {
            return false;
        };
        let back = now.since(*at) < times::COMES_BACK;
        if back {
            self.unreached.insert(to.clone(), now + self.unreached_for);
        }
        back
    }

    /// What this node says of the machines that it keeps: their names, and of as many as
    /// fit the reports that tell of tasks that ended, those first that were not told.
    /// The leader, which can't hear these workers, records the outcomes meanwhile.
    ///
    /// As many values as it takes: the names alone may exceed one.
    fn care_values(&mut self, site: &Site) -> Vec<Care> {
        self.told.retain(|machine, _| self.kept.contains_key(machine));
        let names: Vec<String> = self.kept.keys().take(KEPT).cloned().collect();
        let half = site.limits.value_bytes() / 2;
        let (mut parts, mut size) = (vec![], half);
        for name in names {
            let takes = name.len() + 3;
            if size + takes > half {
                parts.push(vec![]);
                size = 0;
            }
            size += takes;
            if let Some(part) = parts.last_mut() {
                part.push(name);
            }
        }
        parts.truncate(site.limits.changes());
        parts.into_iter().map(|kept| self.care_value(site, kept)).collect()
    }

    fn care_value(&mut self, site: &Site, kept: Vec<String>) -> Care {
        let ended = |r: &&Report| r.tasks.iter().any(|t| t.phase == TaskPhase::Exited);
        let reports = kept.iter().filter_map(|name| self.served.get(name));
        let mut reports: Vec<&Report> = reports.map(|(_, r)| r).filter(ended).collect();
        let number = |r: &Report| (r.session, r.serial);
        reports.sort_by_key(|r| self.told.get(&r.machine) == Some(&number(r)));
        let value = site.limits.value_bytes();
        let room = value.saturating_sub(json_size(&kept) + 300);
        let reports: Vec<Report> = reports.into_iter().cloned().collect();
        let (told, taken) = glenhaven_packed::pack(&reports, room);
        for r in &reports[..taken] {
            self.told.insert(r.machine.clone(), number(r));
        }
        // Even nothing takes a few bytes.
        let told = if taken == 0 { String::new() } else { told };
        Care { kept, told }
    }

    /// Answers reports that the leader has not answered in time.
    pub fn tick(&mut self, sh: &mut Shared, lead: &Leadership, vouchers: &Vouchers, desk: &Desk, site: &Site) {
        let now = sh.now;
        let late: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, f)| now.since(f.at) > times::FORWARD)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(f) = self.forwarded.remove(&id) {
                if answer_alone(sh, lead, vouchers, desk, site, f.reply, &f.report) {
                    self.kept.insert(f.report.machine.clone(), now);
                }
            }
        }
        // The leader, cut off from these machines, would take them for dead
        // and release them with everything that runs there.
        self.kept.retain(|_, at| now.since(*at) < Micros::from_secs(5.0));
        if !self.kept.is_empty() && now >= self.next_publish && lead.role() != Role::Leader {
            self.next_publish = now + PUBLISH;
            let mut changes = vec![];
            for (n, care) in self.care_values(site).into_iter().enumerate() {
                let key = match n {
                    0 => format!("{}{}", keys::CARE, site.settings.node),
                    n => format!("{}{}.{n}", keys::CARE, site.settings.node),
                };
                changes.push(Change::Put {
                    key,
                    value: to_value(&care),
                    lease: None,
                });
            }
            let txn = Txn {
                conditions: vec![lead.condition()],
                changes,
            };
            let wait = Wait::Lead(LeadWait::Care);
            sh.store
                .push(Urgency::Start, StoreRequest::Txn(txn), wait, Micros::from_millis(700));
        }
        while self.sent_away.len() > 10_000 {
            self.sent_away.pop_first();
        }
    }
}

/// Keeps a worker's lease alive without the leader: only while this node knows the state of
/// every job in the report, so that no cancelled task is kept.
fn answer_alone(
    sh: &mut Shared,
    lead: &Leadership,
    vouchers: &Vouchers,
    desk: &Desk,
    site: &Site,
    reply: u64,
    report: &Report,
) -> bool {
    let mut runs = report.tasks.iter().filter(|t| t.phase != TaskPhase::Exited);
    let all_known = runs.all(|t| parse_task(&t.task).is_some_and(|(job, _)| desk.phase(job).is_some()));
    let orders = all_known.then(|| vouchers.renewal(lead, desk, site, report, vec![], sh.now));
    match orders.flatten() {
        Some(orders) => sh.reply(reply, 200, to_cbor(&orders), None),
        None => {
            sh.reply(reply, 503, vec![], Some(1));
            return false;
        }
    }
    true
}

impl Core {
    /// Whether messages reach this node and come back, directly or by way of another.
    fn reaches_node(&self, node: &str) -> bool {
        self.carry.reaches(node, self.sh.now)
    }

    /// A node with far fewer workers, for one that reports here for the first
    /// time.
    fn less_busy(&mut self, machine: &str) -> Option<String> {
        let now = self.sh.now;
        let known = self.care.served.get(machine);
        let lease = Micros::from_secs(self.site.settings.params.workers.lease_s);
        if known.is_some_and(|(at, _)| now.since(*at) < lease) || self.care.came_back(machine, now) {
            return None;
        }
        self.care.unreached.retain(|_, until| now < *until);
        let own = self.care.serves(now, self.lead.role() == Role::Leader);
        let (node, least) = self
            .peers
            .iter()
            .filter(|(name, p)| p.fresh && self.reaches_node(name) && !self.care.unreached.contains_key(*name))
            // One that keeps ending has few workers every time that it is back.
            .filter(|(_, p)| now.since(p.since) > times::SETTLED)
            .map(|(name, p)| (name.clone(), p.serves))
            .min_by_key(|(_, serves)| *serves)?;
        (own > least + least / 3 + UNEVEN).then_some(node)
    }

    /// Another node for a worker that this one can do little for: it exchanges nothing
    /// with any other controller, not even in its own zone. Then its own links fail, not
    /// those of the zone, and the worker most likely reaches its neighbours. They are sent on a few at a time: each is lost to this
    /// node's answers, and spends some of its lease, if the guess is wrong.
    fn better_placed(&mut self, machine: &str) -> Option<String> {
        let now = self.sh.now;
        let picture = &self.carry.picture;
        let alone = self
            .site
            .settings
            .peers
            .iter()
            .all(|p| picture.own(&Host::Node(p.node.clone()), now) < Sure::Slow);
        if !alone || now < self.care.next_sent_on {
            return None;
        }
        if self.care.came_back(machine, now) {
            return None;
        }
        self.care.unreached.retain(|_, until| now < *until);
        let near: Vec<&String> = self
            .site
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == self.site.settings.zone && !self.care.unreached.contains_key(&p.node))
            .map(|p| &p.node)
            .collect();
        let node = (*near.get(self.sh.rng.usize(0..near.len().max(1)))?).clone();
        let rate = (self.care.served.len() as f64 * SENT_ON).max(1.0);
        self.care.next_sent_on = now + Micros::from_secs(1.0 / rate);
        Some(node)
    }

    fn send_away(&mut self, id: u64, machine: &str, to: String) {
        let now = self.sh.now;
        self.care.sent_away.insert(machine.to_string(), (now, to.clone()));
        self.care.served.remove(machine);
        let body = to_cbor(&Elsewhere { report_to: Some(to) });
        self.sh.reply(id, 421, body, None);
    }

    /// A worker reports to this node. Every node takes reports, so that none
    /// needs a connection to every worker; they are passed on to the leader.
    pub(super) fn on_report(&mut self, id: u64, report: Report) {
        let now = self.sh.now;
        let number = (report.session, report.serial);
        if self
            .care
            .served
            .get(&report.machine)
            .is_some_and(|(_, r)| (r.session, r.serial) >= number)
        {
            // A copy of a report that was taken in: nobody waits for the answer, and it must
            // move neither the worker nor what is known of it.
            return self.sh.reply(id, 503, vec![], Some(1));
        }
        if let Some(node) = self.less_busy(&report.machine) {
            return self.send_away(id, &report.machine, node);
        }
        self.care.served.insert(report.machine.clone(), (now, report.clone()));
        self.answer_report(id, report);
    }

    /// Answers a worker's report, now or when the leader has.
    pub(super) fn answer_report(&mut self, id: u64, report: Report) {
        let now = self.sh.now;
        if self.lead.role() == Role::Leader {
            if !self.vouchers.may_renew(&self.lead, &self.site, now) || report.fence > self.lead.term() {
                return self.sh.reply(id, 503, vec![], Some(1));
            }
            // A leader that can't know any more whether it leads, and hears nobody, would
            // hold workers that another one takes for dead.
            if !self.lead.is_sure(now) && !self.carry.hears_state(now) {
                if let Some(node) = self.better_placed(&report.machine) {
                    return self.send_away(id, &report.machine, node);
                }
            }
            let Some(leader) = self.leader.as_mut() else {
                return self.sh.reply(id, 503, vec![], Some(1));
            };
            if !leader.is_loaded() || self.lead.in_doubt() {
                // Answered as soon as the book is read, or the lease confirmed,
                // which takes moments.
                if leader.early_reports.len() < EARLY {
                    leader.early_reports.push((EarlyReport::Worker(id), report, now));
                } else {
                    self.sh.reply(id, 503, vec![], Some(1));
                }
                return;
            }
            let body = to_cbor(&self.leaders_answer(&report, None));
            return self.sh.reply(id, 200, body, None);
        }
        for t in &report.tasks {
            if let Some((job, _)) = parse_task(&t.task) {
                if t.phase != TaskPhase::Exited && self.desk.phase(job).is_none() {
                    self.desk.read_job(&mut self.sh, job);
                }
            }
        }
        let known = self.lead.leader().map(str::to_string);
        let Some(leader) = self.later_leader().or(known) else {
            // Nobody leads just now; a new leader is moments away.
            return self.keep(id, &report);
        };
        if !self.reaches_node(&leader) {
            // Connections to the leader are refused, but its host is there: the
            // worker may get through where this node does not. Where nothing
            // comes back, it would most likely wait in vain while its lease
            // runs out.
            let refused = self.links.get(&leader) == Some(&Link::Refused);
            // A leader that had the state service by way of others only, and is not
            // heard by now, most likely leads no more.
            let lost = self.carry.picture.last_told(&leader, &Host::State) == Sure::Down;
            if refused && !lost && !self.care.came_back(&report.machine, now) {
                return self.send_away(id, &report.machine, leader);
            }
            if let Some(node) = self.better_placed(&report.machine) {
                return self.send_away(id, &report.machine, node);
            }
            return self.keep(id, &report);
        }
        let number = self.sh.id();
        let message = PeerMessage::Report {
            node: self.site.settings.node.clone(),
            id: number,
            report: report.clone(),
        };
        let passed = Forwarded {
            reply: id,
            report,
            at: now,
        };
        self.care.forwarded.insert(number, passed);
        self.sh.out.push(Effect::Peer { to: leader, message });
    }

    /// Answers a report alone, and remembers the machine as kept here.
    fn keep(&mut self, id: u64, report: &Report) {
        let (lead, vouchers, desk) = (&self.lead, &self.vouchers, &self.desk);
        if answer_alone(&mut self.sh, lead, vouchers, desk, &self.site, id, report) {
            self.care.kept.insert(report.machine.clone(), self.sh.now);
        }
    }

    /// Another node passes on a report.
    pub(super) fn on_passed(&mut self, node: String, id: u64, report: Report) {
        let now = self.sh.now;
        match self.leader.as_mut() {
            Some(leader) if !leader.is_loaded() || self.lead.in_doubt() => {
                if leader.early_reports.len() < EARLY {
                    leader.early_reports.push((EarlyReport::Peer(node, id), report, now));
                }
            }
            Some(_) => self.answer_forward(node, id, report),
            // No answer: the other node decides alone.
            None => {}
        }
    }

    /// Answers the reports that came before this leader could.
    pub(super) fn take_early_reports(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            return;
        };
        for (from, report, at) in std::mem::take(&mut leader.early_reports) {
            match from {
                EarlyReport::Worker(id) => self.answer_report(id, report),
                EarlyReport::Peer(node, id) => self.answer_forward(node, id, report),
                EarlyReport::Recalled(node) => self.take_recalled(&node, &report, at),
            }
        }
    }

    fn answer_forward(&mut self, node: String, id: u64, report: Report) {
        let now = self.sh.now;
        let current = self.vouchers.may_renew(&self.lead, &self.site, now);
        if self.lead.role() != Role::Leader || !current || report.fence > self.lead.term() {
            return;
        }
        let orders = self.leaders_answer(&report, Some(&node));
        let message = PeerMessage::Answered { id, orders };
        self.sh.out.push(Effect::Peer { to: node, message });
    }

    /// What the leader answers to a report, here or by way of another node.
    fn leaders_answer(&mut self, report: &Report, via: Option<&str>) -> Orders {
        let now = self.sh.now;
        let Some(leader) = self.leader.as_mut() else {
            return renewal::dropped();
        };
        let orders = leader.on_report(&self.site, report, via, now, now);
        if leader.must_lapse(&self.site, report, now) {
            tracing::warn!(
                machine = report.machine,
                "not answered: a cancelled job's start may be on its way there"
            );
            return renewal::dropped();
        }
        let answer = self
            .vouchers
            .renewal(&self.lead, &self.desk, &self.site, report, orders, now);
        answer.unwrap_or_else(renewal::dropped)
    }

    /// A new leader asks the others, once, what workers reported last: it would
    /// hear of its machines only over a whole report period otherwise.
    pub(super) fn ask_recall(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.incarnation != self.recalled) else {
            return;
        };
        self.recalled = leader.incarnation;
        let node = self.site.settings.node.clone();
        for peer in &self.site.settings.peers {
            let message = PeerMessage::Recall { node: node.clone() };
            self.sh.out.push(Effect::Peer {
                to: peer.node.clone(),
                message,
            });
        }
        for (at, report) in self.care.served.values() {
            let from = EarlyReport::Recalled(node.clone());
            leader.early_reports.push((from, report.clone(), *at));
        }
    }

    /// Tells a new leader what workers reported here last.
    pub(super) fn recall(&mut self, to: String) {
        let now = self.sh.now;
        let lease = Micros::from_secs(self.site.settings.params.workers.lease_s);
        let recent = |at: &Micros| now.since(*at) < lease;
        let reports: Vec<(u32, Report)> = self
            .care
            .served
            .values()
            .filter(|(at, _)| recent(at))
            .map(|(at, report)| ((now.since(*at).0 / 1000) as u32, report.clone()))
            .collect();
        for some in reports.chunks(RECALLED) {
            let message = PeerMessage::Recalled {
                node: self.site.settings.node.clone(),
                reports: some.to_vec(),
            };
            self.sh.out.push(Effect::Peer {
                to: to.clone(),
                message,
            });
        }
    }

    /// What workers reported last to another node.
    pub(super) fn on_recalled(&mut self, node: &str, reports: Vec<(u32, Report)>) {
        let now = self.sh.now;
        for (age_ms, report) in reports {
            let at = Micros(now.0.saturating_sub(u64::from(age_ms) * 1000));
            match self.leader.as_mut() {
                Some(leader) if !leader.is_loaded() => {
                    if leader.early_reports.len() < EARLY {
                        let from = EarlyReport::Recalled(node.to_string());
                        leader.early_reports.push((from, report, at));
                    }
                }
                Some(_) => self.take_recalled(node, &report, at),
                None => {}
            }
        }
    }

    /// A report that was answered before: what it says is as good as of any late
    /// report, but nobody waits for orders.
    fn take_recalled(&mut self, node: &str, report: &Report, at: Micros) {
        let now = self.sh.now;
        let via = (node != self.site.settings.node).then_some(node);
        if let Some(leader) = self.leader.as_mut() {
            leader.on_report(&self.site, report, via, at, now);
        }
    }

    /// Whether this task's job is known here to be cancelled.
    fn is_cancelled(&self, task: &str) -> bool {
        parse_task(task).is_some_and(|(job, _)| self.desk.phase(job) == Some(Phase::Cancelled))
    }

    /// Sends commands to a worker for the leader.
    pub(super) fn relay(&mut self, node: String, id: u64, addr: String, body: Direct) {
        // From a leader that was deposed meanwhile, or held up on the way until its job was
        // cancelled.
        let cancelled = |o: &Order| matches!(o, Order::Start { task, .. } if self.is_cancelled(task));
        if body.fence < self.lead.term() || body.orders.iter().any(cancelled) {
            let answer = DirectAnswer::NotSent;
            let message = PeerMessage::Relayed { id, answer };
            self.sh.out.push(Effect::Peer { to: node, message });
            return;
        }
        let own = self.sh.id();
        self.relays.insert(own, (node, id));
        self.sh.out.push(Effect::Direct {
            id: own,
            addr,
            body,
            timeout: DIRECT_TIMEOUT,
        });
    }
}
