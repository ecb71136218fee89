//! A stand-in for workers.

use super::answers::Carrier;
use super::rules::job_of;
use super::users::User;
use super::{Ev, World, MS, SEC};
use glenhaven::coordination::{Command, DirectAnswer};
use glenhaven::protocol::cloud::MachineType;
use glenhaven::protocol::users::Shape;
use glenhaven::protocol::workers::{Cause, Direct, Order, Report, TaskPhase, TaskReport};
use glenhaven::transport::server::Outgoing;
use std::collections::{BTreeMap, BTreeSet};

pub struct Task {
    pub phase: TaskPhase,
    pub cause: Option<Cause>,
    pub until: u64,
}

pub struct Worker {
    pub name: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    cpus: f64,
    memory: f64,
    fetch: f64,
    pub up: bool,
    pub dead: bool,
    pub faulty: bool,
    slowness: u64,
    pub hangs_until: u64,
    pub taken: Option<u64>,
    session: u64,
    serial: u64,
    fence: u64,
    pub tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    /// When the last answered report was sent, or the session began.
    answered: u64,
    pub node: usize,
    pub flying: Option<(u64, u64, u64)>,
    next_report: u64,
    last_sent: u64,
    fence_told: u64,
}

impl Worker {
    pub fn new(name: &str, addr: &str, t: &MachineType, zone: &str, spot: bool) -> Worker {
        Worker {
            name: name.into(),
            addr: addr.into(),
            machine_type: t.name.clone(),
            zone: zone.into(),
            spot,
            cpus: t.cpus,
            memory: t.memory,
            fetch: t.fetch_gb_per_s,
            up: false,
            dead: false,
            faulty: false,
            slowness: 1,
            hangs_until: 0,
            taken: None,
            session: 1,
            serial: 0,
            fence: 0,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            answered: 0,
            node: 0,
            flying: None,
            next_report: 0,
            last_sent: 0,
            fence_told: 0,
        }
    }

    fn report(&mut self, now: u64) -> Report {
        self.serial += 1;
        Report {
            machine: self.name.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            serial: self.serial,
            fence: self.fence,
            notice_s: self.taken.map(|t| t.saturating_sub(now) as f64 / SEC as f64),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    cause: t.cause,
                })
                .collect(),
        }
    }

    pub fn session(&self) -> u64 {
        self.session
    }

    fn changed(&mut self, now: u64) {
        self.next_report = self.next_report.min((self.last_sent + SEC / 2).max(now));
    }

    /// From now on everything takes so many times as long.
    pub fn slow_down(&mut self, now: u64, factor: u64) {
        self.slowness = factor;
        for t in self.tasks.values_mut().filter(|t| t.phase == TaskPhase::Running) {
            t.until = now.saturating_add(t.until.saturating_sub(now).saturating_mul(factor));
        }
    }

    /// Running tasks that don't end before this.
    pub fn long_to_go(&self, until: u64) -> impl Iterator<Item = &str> {
        let runs = move |t: &Task| t.phase == TaskPhase::Running && t.until > until;
        let long = self.tasks.iter().filter(move |(_, t)| runs(t));
        long.map(|((task, _), _)| task.as_str())
    }

    /// Tasks that have not exited.
    pub fn live(&self) -> impl Iterator<Item = &str> {
        let live = self.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited);
        live.map(|((task, _), _)| task.as_str())
    }

    /// The cores and memory that these tasks leave.
    pub fn free(&self, users: &BTreeMap<String, User>) -> (f64, f64) {
        let specs = self.live().filter_map(|task| users.get(job_of(task)));
        specs.fold((self.cpus, self.memory), |(cpus, memory), user| {
            (cpus - user.spec.cpus, memory - user.spec.memory)
        })
    }

    /// Tasks that have their image and have not exited.
    pub fn on_machine(&self) -> impl Iterator<Item = &str> {
        self.tasks
            .iter()
            .filter(|(_, t)| matches!(t.phase, TaskPhase::Running | TaskPhase::Saving))
            .map(|((task, _), _)| task.as_str())
    }
}

impl World {
    /// A machine hangs until then.
    pub fn hang(&mut self, name: &str, until: u64) {
        if let Some(w) = self.workers.get_mut(name) {
            w.hangs_until = w.hangs_until.max(until);
            self.after(until - self.now, Ev::Worker(name.into()));
        }
    }

    pub fn boot(&mut self, name: &str) {
        let now = self.now;
        let nodes = self.nodes.len();
        let node = self.rng.usize(0..nodes);
        if let Some(w) = self.workers.get_mut(name) {
            if !w.dead {
                w.up = true;
                w.answered = now;
                w.node = node;
                w.next_report = now;
                self.after(1, Ev::Worker(name.into()));
            }
        }
    }

    pub fn notice(&mut self, name: &str, seconds: u64) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(name) {
            if w.up {
                w.taken = Some(now + seconds * SEC);
                w.changed(now);
                self.after(1, Ev::Worker(name.into()));
                self.after(seconds * SEC, Ev::Worker(name.into()));
            }
        }
    }

    /// Looks at everything a worker does by itself.
    pub fn worker_wakes(&mut self, name: &str) {
        let now = self.now;
        let (lease, nodes) = (self.script.lease(), self.nodes.len());
        let Some(w) = self.workers.get_mut(name) else { return };
        if !w.up || now < w.hangs_until {
            return;
        }
        if w.taken.is_some_and(|t| now >= t) {
            return self.machine_dies(name);
        }
        if now > w.answered + lease {
            self.rules.lease_kills += w.tasks.len();
            w.tasks.clear();
            self.answers.session_ended(name);
            w.session += 1;
            w.answered = now;
            w.flying = None;
            w.changed(now);
        }
        let (mut started, mut ended) = (vec![], vec![]);
        let mut changed = false;
        for ((task, attempt), t) in &mut w.tasks {
            if now < t.until {
                continue;
            }
            let (job, _) = task.rsplit_once('/').unwrap_or((task, "0"));
            match t.phase {
                TaskPhase::Fetching => {
                    changed = true;
                    let user = self.users.get(job);
                    if let Some(u) = user {
                        w.images.insert(u.spec.image.clone());
                    }
                    if self.results.contains(task) {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Done);
                        continue;
                    }
                    t.phase = TaskPhase::Running;
                    started.push((task.clone(), *attempt));
                    t.until = match user {
                        Some(u) if u.spec.shape == Shape::Array => now + u.run * w.slowness,
                        _ => u64::MAX,
                    };
                    if w.faulty || user.is_some_and(|u| u.mistake) {
                        t.until = now + SEC;
                    }
                }
                TaskPhase::Running => {
                    changed = true;
                    t.phase = TaskPhase::Exited;
                    let fails = w.faulty || self.users.get(job).is_some_and(|u| u.mistake);
                    self.rules.failures += usize::from(fails);
                    t.cause = Some(if fails { Cause::Error } else { Cause::Done });
                    if !fails {
                        self.results.insert(task.clone());
                        ended.push(task.clone());
                    }
                }
                TaskPhase::Saving => {
                    changed = true;
                    t.phase = TaskPhase::Exited;
                    t.cause = Some(Cause::Stopped);
                }
                _ => {}
            }
        }
        if changed {
            w.changed(now);
        }
        let mut send = None;
        if now >= w.next_report && w.flying.is_none() {
            let node = w.node;
            let rid = w.serial + 1;
            w.flying = Some((rid, now, w.session));
            w.last_sent = now;
            w.fence_told = w.fence;
            let report = w.report(now);
            send = Some((node, rid, report));
        }
        let report_s = self.script.base.params.workers.report_s;
        if send
            .as_ref()
            .is_some_and(|(_, rid, _)| self.report_fails_to_leave(name, *rid))
        {
            send = None;
        }
        if let Some((node, rid, report)) = send {
            let pause = (report_s * (0.75 + 0.5 * self.rng.f64()) * SEC as f64) as u64;
            if let Some(w) = self.workers.get_mut(name) {
                w.next_report = now + pause;
            }
            self.keep_for_next(&report);
            let hop = self.hop();
            let share = self.broken.late_reports.values().copied().fold(0.0, f64::max);
            if share > 0.0 && self.rng.f64() < share {
                let late = 2 * SEC + self.rng.u64(0..2 * lease);
                let to = self.rng.usize(0..nodes);
                self.after(late, Ev::Report(name.into(), to, u64::MAX, report.clone()));
            }
            if let Some(late) = self.broken.copies.values().copied().max() {
                // Nobody waits for the answer to a copy.
                let ev = Ev::Report(name.into(), node, u64::MAX, report.clone());
                self.after(hop + late, ev);
            }
            self.after(hop, Ev::Report(name.into(), node, rid, report));
            self.after(4 * SEC, Ev::ReportLate(name.into(), rid));
        }
        for task in ended {
            self.task_ended(&task);
        }
        for (task, attempt) in started {
            self.rules.broken.extend(self.answers.started(name, &task, attempt));
            self.rules.started(now, name, &task, &self.workers, &self.users);
            self.rules.started_in_order(&task, &self.users, &self.results);
        }
        let Some(w) = self.workers.get(name) else { return };
        let next = w
            .tasks
            .values()
            .filter(|t| t.phase != TaskPhase::Exited)
            .map(|t| t.until)
            .chain([w.answered + lease + 1])
            .chain(w.flying.is_none().then_some(w.next_report))
            .min()
            .unwrap_or(now + SEC)
            .max(now + MS);
        if next < self.script.until {
            self.after(next - now, Ev::Worker(name.into()));
        }
    }

    pub fn report_answered(&mut self, name: &str, rid: u64, answer: Outgoing) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(w) = self.workers.get_mut(name) else { return };
        let Some((flying, sent, session)) = w.flying else {
            return;
        };
        if flying == rid && w.up && now < w.hangs_until {
            // It lies there until the machine goes on, if its time is not over by then.
            let pause = w.hangs_until - now + 1;
            return self.after(pause, Ev::ReportAnswer(name.into(), rid, answer));
        }
        if flying != rid || !w.up {
            return;
        }
        w.flying = None;
        match World::read_answer(&answer) {
            Ok(orders) if orders.fence >= w.fence && session == w.session => {
                w.answered = w.answered.max(sent);
                w.fence = orders.fence;
                self.execute(name, &orders.orders);
                let carrier = Carrier::Answer(name.into(), rid);
                self.answers.executed(&carrier, name, &orders.orders);
                if let Some(w) = self.workers.get_mut(name) {
                    if w.fence > w.fence_told {
                        w.changed(now);
                    }
                }
            }
            Ok(_) => {}
            Err(other) => {
                let other = other.and_then(|o| self.nodes.iter().position(|n| n.settings.node == o));
                let Some(w) = self.workers.get_mut(name) else { return };
                match other {
                    Some(n) if n != w.node => {
                        w.node = n;
                        w.next_report = now + MS;
                    }
                    _ => {
                        w.node = (w.node + 1) % nodes;
                        w.next_report = now + SEC;
                    }
                }
            }
        }
        self.after(1, Ev::Worker(name.into()));
    }

    pub fn report_late(&mut self, name: &str, rid: u64) {
        let nodes = self.nodes.len();
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.flying.is_some_and(|f| f.0 == rid) {
            w.flying = None;
            w.node = (w.node + 1) % nodes;
            w.next_report = now + SEC;
            self.after(SEC, Ev::Worker(name.into()));
        }
    }

    fn execute(&mut self, name: &str, orders: &[Order]) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        let serial = w.tasks.len();
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let job = task.rsplit_once('/').map_or("", |x| x.0);
                    let user = self.users.get(job).filter(|u| u.submitted);
                    let live = |t: &Task| t.phase != TaskPhase::Exited;
                    let busy = w.tasks.iter().any(|((t, _), x)| t == task && live(x));
                    let (cpus, memory) = w.free(&self.users);
                    let refuse = match user {
                        None => Some(Cause::Unknown),
                        Some(_) if busy => Some(Cause::Busy),
                        Some(u) if u.spec.cpus > cpus + 1e-9 || u.spec.memory > memory + 1e-9 => Some(Cause::NoRoom),
                        Some(_) => None,
                    };
                    let until = match user {
                        Some(u) if !w.images.contains(&u.spec.image) => {
                            now + (u.spec.image_gb / w.fetch * SEC as f64) as u64
                        }
                        _ => now + 5 * MS,
                    };
                    w.tasks.insert(
                        key,
                        Task {
                            phase: if refuse.is_some() {
                                TaskPhase::Exited
                            } else {
                                TaskPhase::Fetching
                            },
                            cause: refuse,
                            until,
                        },
                    );
                }
                Order::Stop { task, attempt, grace_s } => {
                    if let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.phase != TaskPhase::Exited {
                            let user = self.users.get(task.rsplit_once('/').map_or("", |x| x.0));
                            let save = user.map_or(0.0, |u| u.spec.save_s);
                            if user.is_some_and(|u| !u.wants_abort) {
                                self.rules.stops += 1;
                            }
                            if t.phase == TaskPhase::Running && save > 0.0 && *grace_s >= save {
                                t.phase = TaskPhase::Saving;
                                t.until = now + (save * SEC as f64) as u64;
                            } else if t.phase != TaskPhase::Saving || *grace_s == 0.0 {
                                t.phase = TaskPhase::Exited;
                                t.cause = Some(Cause::Stopped);
                            }
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        w.tasks.remove(&key);
                        self.answers.forgotten(name, task, *attempt);
                    }
                }
            }
        }
        if !orders.is_empty() || serial != w.tasks.len() {
            w.changed(now);
        }
    }

    pub fn direct_request(&mut self, n: usize, life: u64, id: u64, addr: &str, body: &Direct) {
        let now = self.now;
        let Some(name) = self
            .workers
            .values()
            .find(|w| w.addr == addr && !w.dead)
            .map(|w| w.name.clone())
        else {
            return;
        };
        if !self.passes(&super::links::End::Node(n), &self.zone_end(&name)) {
            return;
        }
        if self.broken.is_deaf(&name) {
            return;
        }
        if !self.reaches(n, &name) {
            // Held back, and delivered when the cut is over.
            let ev = Ev::Direct(n, life, id, addr.into(), body.clone());
            self.held.push((n, ev));
            return;
        }
        let Some(w) = self.workers.get_mut(&name) else { return };
        if !w.up {
            return;
        }
        if now < w.hangs_until {
            let pause = w.hangs_until - now + 1;
            return self.after(pause, Ev::Direct(n, life, id, addr.into(), body.clone()));
        }
        let good = body.fence >= w.fence && body.session == w.session;
        if good {
            w.fence = body.fence;
            self.execute(&name, &body.orders);
            let carrier = Carrier::Direct((n, life), id);
            self.answers.executed(&carrier, &name, &body.orders);
        }
        let Some(w) = self.workers.get_mut(&name) else { return };
        let report = w.report(now);
        let answer = if good {
            DirectAnswer::Done(report)
        } else {
            DirectAnswer::Rejected(report)
        };
        let hop = self.hop();
        if self.passes(&self.zone_end(&name), &super::links::End::Node(n)) {
            let held = self.answer_held(&name);
            self.after(hop + held, Ev::Command(n, life, Command::Direct { id, answer }));
        }
        self.after(1, Ev::Worker(name));
    }
}
