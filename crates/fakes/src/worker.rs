//! A fake of the workers: a machine, the agent on it and its tasks.

use crate::user::{job_of, User};
use crate::{MS, SEC};
use glenhaven::protocol::agents::{
    AgentCommand, Cause, Heartbeat, HeartbeatResponse, PushedCommands, TaskPhase, TaskStatus,
};
use glenhaven::protocol::cloud::MachineType;
use glenhaven::protocol::users::{JobSpec, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// The transitions that tasks made without a command.
#[derive(Default)]
pub struct Progress {
    /// Tasks that have begun, with their attempts.
    pub started: Vec<(String, u64)>,
    /// Tasks that have completed.
    pub completed: Vec<String>,
    /// Tasks that have failed.
    pub failures: usize,
}

/// The results of the commands that a worker executed.
#[derive(Default)]
pub struct Executed {
    /// Stop commands that reached an unfinished task of a job that its user had not asked to
    /// cancel.
    pub stops: usize,
    /// Tasks and attempts that the worker has forgotten.
    pub forgotten: Vec<(String, u64)>,
    /// Tasks and attempts whose start the worker has accepted; it fetches their images.
    pub accepted_starts: Vec<(String, u64)>,
    /// Accepted starts of attempts that the worker had forgotten in this session, which must not be
    /// started again.
    pub repeated_starts: Vec<(String, u64)>,
}

/// A task on a machine.
pub struct Task {
    /// Its phase, as reported.
    pub phase: TaskPhase,
    /// Why it exited, if it has.
    pub cause: Option<Cause>,
    /// When it leaves this phase without a command.
    pub until: u64,
}

/// A machine with its worker.
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// The address at which it takes pushed commands.
    pub addr: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    cpus: f64,
    gpus: f64,
    memory: f64,
    fetch_gb_per_s: f64,
    /// Whether it is up.
    pub up: bool,
    /// Whether it is gone for good.
    pub dead: bool,
    /// Whether every task that runs on it fails.
    pub faulty: bool,
    /// The factor by which run times are prolonged.
    slowdown: u64,
    /// Until when it hangs.
    pub hangs_until: u64,
    /// When the cloud reclaims it, if that was announced.
    pub reclaimed_at: Option<u64>,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Its tasks, by name and attempt.
    pub tasks: BTreeMap<(String, u64), Task>,
    /// The attempts that it has forgotten in this session.
    forgotten: BTreeSet<(String, u64)>,
    images: BTreeSet<String>,
    /// When the last answered heartbeat was sent, or the session began; the lease runs from this
    /// time.
    lease_start: u64,
    /// The number of the controller that gets its heartbeats.
    pub node: usize,
    /// The heartbeat that awaits its answer: its number, when it was sent, and its session.
    pub pending_heartbeat: Option<(u64, u64, u64)>,
    next_heartbeat: u64,
    last_sent: u64,
    /// The fencing token in the last heartbeat.
    reported_token: u64,
}

impl Worker {
    /// Creates a machine that is not up yet.
    pub fn new(name: &str, addr: &str, t: &MachineType, zone: &str, spot: bool) -> Worker {
        Worker {
            name: name.into(),
            addr: addr.into(),
            machine_type: t.name.clone(),
            zone: zone.into(),
            spot,
            cpus: t.cpus,
            gpus: t.gpus,
            memory: t.memory,
            fetch_gb_per_s: t.fetch_gb_per_s,
            up: false,
            dead: false,
            faulty: false,
            slowdown: 1,
            hangs_until: 0,
            reclaimed_at: None,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            forgotten: BTreeSet::new(),
            images: BTreeSet::new(),
            lease_start: 0,
            node: 0,
            pending_heartbeat: None,
            next_heartbeat: 0,
            last_sent: 0,
            reported_token: 0,
        }
    }

    /// Creates the next heartbeat.
    pub fn heartbeat(&mut self, now: u64) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            notice_s: self.reclaimed_at.map(|t| t.saturating_sub(now) as f64 / SEC as f64),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    cause: t.cause,
                })
                .collect(),
        }
    }

    /// Returns the number of the current session.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Brings the next heartbeat forward after a change, to half a second after the last one or
    /// now.
    pub fn expedite_heartbeat(&mut self, now: u64) {
        self.next_heartbeat = self.next_heartbeat.min((self.last_sent + SEC / 2).max(now));
    }

    /// Prolongs run times by `factor`: what is left of those of running tasks, and those of later
    /// tasks.
    pub fn slow_down(&mut self, now: u64, factor: u64) {
        self.slowdown = factor;
        for t in self.tasks.values_mut().filter(|t| t.phase == TaskPhase::Running) {
            t.until = now.saturating_add(t.until.saturating_sub(now).saturating_mul(factor));
        }
    }

    /// Returns the running tasks that end after `until`.
    pub fn running_beyond(&self, until: u64) -> impl Iterator<Item = &str> {
        let runs = move |t: &Task| t.phase == TaskPhase::Running && t.until > until;
        let long = self.tasks.iter().filter(move |(_, t)| runs(t));
        long.map(|((task, _), _)| task.as_str())
    }

    /// Returns the tasks that have not exited.
    pub fn unfinished_tasks(&self) -> impl Iterator<Item = &str> {
        let live = self.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited);
        live.map(|((task, _), _)| task.as_str())
    }

    /// Returns the cores and memory that tasks which have not exited leave free.
    pub fn free(&self, users: &BTreeMap<String, User>) -> (f64, f64) {
        let specs = self.unfinished_tasks().filter_map(|task| users.get(job_of(task)));
        specs.fold((self.cpus, self.memory), |(cpus, memory), user| {
            (cpus - user.spec.cpus, memory - user.spec.memory)
        })
    }

    /// Returns whether the free resources suffice for one more task of this job.
    pub fn has_capacity(&self, spec: &JobSpec, users: &BTreeMap<String, User>) -> bool {
        let (cpus, memory) = self.free(users);
        spec.cpus <= cpus && spec.memory <= memory && spec.gpus <= self.free_gpus(users)
    }

    fn free_gpus(&self, users: &BTreeMap<String, User>) -> f64 {
        let specs = self.unfinished_tasks().filter_map(|task| users.get(job_of(task)));
        self.gpus - specs.map(|user| user.spec.gpus).sum::<f64>()
    }

    /// Returns the tasks that have their image and have not exited.
    pub fn running_tasks(&self) -> impl Iterator<Item = &str> {
        self.tasks
            .iter()
            .filter(|(_, t)| matches!(t.phase, TaskPhase::Running | TaskPhase::Saving))
            .map(|((task, _), _)| task.as_str())
    }

    /// Completes the boot of the machine, which sends its first heartbeat to controller `node`.
    pub fn finish_boot(&mut self, now: u64, node: usize) {
        self.up = true;
        self.lease_start = now;
        self.node = node;
        self.next_heartbeat = now;
    }

    /// Removes the machine with everything on it.
    pub fn power_off(&mut self) {
        self.up = false;
        self.dead = true;
        self.tasks.clear();
    }

    /// Removes all tasks and begins a new session if the lease has expired, and returns the number
    /// of removed tasks; `None` if the lease has not expired.
    pub fn expire_lease(&mut self, now: u64, lease: u64) -> Option<usize> {
        if now <= self.lease_start + lease {
            return None;
        }
        let killed = self.tasks.len();
        self.tasks.clear();
        self.forgotten.clear();
        self.incarnation += 1;
        self.lease_start = now;
        self.pending_heartbeat = None;
        self.expedite_heartbeat(now);
        Some(killed)
    }

    /// Makes the transitions of tasks that are due at `now`, and adds completed tasks to `results`.
    pub fn run_tasks(&mut self, now: u64, users: &BTreeMap<String, User>, results: &mut BTreeSet<String>) -> Progress {
        let mut progress = Progress::default();
        let mut changed = false;
        for ((task, attempt), t) in &mut self.tasks {
            if now < t.until {
                continue;
            }
            let user = users.get(job_of(task));
            match t.phase {
                TaskPhase::Fetching => {
                    changed = true;
                    if let Some(u) = user {
                        self.images.insert(u.spec.image.clone());
                    }
                    if results.contains(task) {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Done);
                        continue;
                    }
                    t.phase = TaskPhase::Running;
                    progress.started.push((task.clone(), *attempt));
                    t.until = match user {
                        Some(u) if u.spec.shape == Shape::Array => now + u.run_time * self.slowdown,
                        _ => u64::MAX,
                    };
                    if self.faulty || user.is_some_and(|u| u.always_fails) {
                        t.until = now + SEC;
                    }
                }
                TaskPhase::Running => {
                    changed = true;
                    t.phase = TaskPhase::Exited;
                    let fails = self.faulty || user.is_some_and(|u| u.always_fails);
                    progress.failures += usize::from(fails);
                    t.cause = Some(if fails { Cause::Error } else { Cause::Done });
                    if !fails {
                        results.insert(task.clone());
                        progress.completed.push(task.clone());
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
            self.expedite_heartbeat(now);
        }
        progress
    }

    /// Returns the heartbeat that is due, with its number. The caller has to schedule the next one
    /// by `schedule_heartbeat`.
    pub fn due_heartbeat(&mut self, now: u64) -> Option<(u64, Heartbeat)> {
        if now < self.next_heartbeat || self.pending_heartbeat.is_some() {
            return None;
        }
        let rid = self.sequence + 1;
        self.pending_heartbeat = Some((rid, now, self.incarnation));
        self.last_sent = now;
        self.reported_token = self.fencing_token;
        Some((rid, self.heartbeat(now)))
    }

    /// Schedules the next heartbeat at this time; a change brings it forward.
    pub fn schedule_heartbeat(&mut self, at: u64) {
        self.next_heartbeat = at;
    }

    /// Returns when the worker next acts without a command, a millisecond from now at the earliest.
    pub fn next_action_at(&self, now: u64, lease: u64) -> u64 {
        self.tasks
            .values()
            .filter(|t| t.phase != TaskPhase::Exited)
            .map(|t| t.until)
            .chain([self.lease_start + lease + 1])
            .chain(self.pending_heartbeat.is_none().then_some(self.next_heartbeat))
            .min()
            .unwrap_or(now + SEC)
            .max(now + MS)
    }

    /// Returns whether an answer with this fencing token, to a heartbeat of this session, is valid.
    pub fn accepts(&self, fencing_token: u64, incarnation: u64) -> bool {
        fencing_token >= self.fencing_token && incarnation == self.incarnation
    }

    /// Executes the commands in the answer to a heartbeat that was sent at `sent`.
    pub fn execute_response(
        &mut self,
        now: u64,
        sent: u64,
        commands: &HeartbeatResponse,
        users: &BTreeMap<String, User>,
    ) -> Executed {
        self.lease_start = self.lease_start.max(sent);
        self.fencing_token = commands.fencing_token;
        let executed = self.execute(now, &commands.commands, users);
        if self.fencing_token > self.reported_token {
            self.expedite_heartbeat(now);
        }
        executed
    }

    /// Executes commands that were pushed to the machine; `None` if their fencing token or session
    /// is outdated.
    pub fn execute_pushed(
        &mut self,
        now: u64,
        body: &PushedCommands,
        users: &BTreeMap<String, User>,
    ) -> Option<Executed> {
        if !self.accepts(body.fencing_token, body.incarnation) {
            return None;
        }
        self.fencing_token = body.fencing_token;
        Some(self.execute(now, &body.commands, users))
    }

    /// Follows a redirect to controller `to`; tries the next controller if `to` is unknown or is
    /// the one that sent the redirect.
    pub fn follow_redirect(&mut self, now: u64, to: Option<usize>, nodes: usize) {
        match to {
            Some(n) if n != self.node => {
                self.node = n;
                self.next_heartbeat = now + MS;
            }
            _ => self.try_next_controller(now, nodes),
        }
    }

    /// Switches to the next controller after the current one gave no usable answer.
    pub fn try_next_controller(&mut self, now: u64, nodes: usize) {
        self.node = (self.node + 1) % nodes;
        self.next_heartbeat = now + SEC;
    }

    /// Executes commands.
    fn execute(&mut self, now: u64, commands: &[AgentCommand], users: &BTreeMap<String, User>) -> Executed {
        let mut executed = Executed::default();
        let before = self.tasks.len();
        for order in commands {
            match order {
                AgentCommand::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.start(now, task, *attempt, users) {
                        let again = self.forgotten.contains(&key);
                        executed.repeated_starts.extend(again.then(|| key.clone()));
                        executed.accepted_starts.push(key);
                    }
                }
                AgentCommand::Stop { task, attempt, grace_s } => {
                    let key = (task.clone(), *attempt);
                    executed.stops += usize::from(self.stop(now, &key, *grace_s, users));
                }
                AgentCommand::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                        self.forgotten.insert(key.clone());
                        executed.forgotten.push(key);
                    }
                }
            }
        }
        if !commands.is_empty() || before != self.tasks.len() {
            self.expedite_heartbeat(now);
        }
        executed
    }

    /// Executes a start command; returns whether the worker has accepted it and fetches the image.
    fn start(&mut self, now: u64, task: &str, attempt: u64, users: &BTreeMap<String, User>) -> bool {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return false;
        }
        let user = users.get(job_in_task_name(task)).filter(|u| u.submitted);
        let live = |t: &Task| t.phase != TaskPhase::Exited;
        let busy = self.tasks.iter().any(|((t, _), x)| t == task && live(x));
        let (cpus, memory) = self.free(users);
        let gpus = self.free_gpus(users);
        let refuse = match user {
            None => Some(Cause::Unknown),
            Some(_) if busy => Some(Cause::Busy),
            Some(u) if u.spec.cpus > cpus + 1e-9 || u.spec.memory > memory + 1e-9 || u.spec.gpus > gpus + 1e-9 => {
                Some(Cause::NoRoom)
            }
            Some(_) => None,
        };
        let until = match user {
            Some(u) if !self.images.contains(&u.spec.image) => {
                now + (u.spec.image_gb / self.fetch_gb_per_s * SEC as f64) as u64
            }
            _ => now + 5 * MS,
        };
        let phase = if refuse.is_some() {
            TaskPhase::Exited
        } else {
            TaskPhase::Fetching
        };
        let cause = refuse;
        self.tasks.insert(key, Task { phase, cause, until });
        cause.is_none()
    }

    /// Executes a stop command; returns whether it reached an unfinished task of a job that its
    /// user has not asked to cancel.
    fn stop(&mut self, now: u64, key: &(String, u64), grace_s: f64, users: &BTreeMap<String, User>) -> bool {
        let Some(t) = self.tasks.get_mut(key).filter(|t| t.phase != TaskPhase::Exited) else {
            return false;
        };
        let user = users.get(job_in_task_name(&key.0));
        let save = user.map_or(0.0, |u| u.spec.save_s);
        if t.phase == TaskPhase::Running && save > 0.0 && grace_s >= save {
            t.phase = TaskPhase::Saving;
            t.until = now + (save * SEC as f64) as u64;
        } else if t.phase != TaskPhase::Saving || grace_s == 0.0 {
            t.phase = TaskPhase::Exited;
            t.cause = Some(Cause::Stopped);
        }
        user.is_some_and(|u| !u.wants_abort)
    }
}

/// Returns the id of the job in a task's name; empty if the name has none.
fn job_in_task_name(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |x| x.0)
}
