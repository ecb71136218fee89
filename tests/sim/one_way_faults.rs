//! Faults of machines, of the state service and of controllers that affect one direction or one
//! kind of message only: a request is executed and its reply lost, or a machine reaches no
//! controller while controllers reach it.

use super::script::Words;
use super::{ScheduledEvent, World, MS, SEC};
use glenhaven::protocol::agents::{Heartbeat, PushedCommands};
use glenhaven::protocol::store::{StoreRequest, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// Templates of these faults for the search, in the form that `fault_combinations.rs` describes.
pub(crate) const KINDS: [&str; 10] = [
    "lose-write-replies {h} for {d}",
    "lose-write-replies {h} key=open/ for {d}\ncrash leader for {q} later=3",
    "replay-reports {h} for {d}\ncrash leader for {q} later=5",
    "block-outbound {m} for {d}",
    "block-outbound zone=b for {d}",
    "late-commands {h} for {d}",
    "delay-push-replies {m} by={s} for {d}",
    "kill {m} zone=a",
    "state-slow {s} for {d}",
    "boot-factor 0.05 for 60\nkill {m} later=1",
];

/// Further faults of some seeds: replies are delayed by tens of milliseconds while users query all
/// controllers.
pub(crate) const SLOW_REPLIES: [&str; 2] = [
    "query-all-nodes for 60\nstate-slow 0.08 for 60",
    "query-all-nodes for 60\nthrottle {n} share=0.16 for 60",
];

/// A further fault of some seeds: machines get commands again that they have executed and answered.
pub(crate) const COPIED_COMMANDS: &str = "copy-commands 0.5 for 60";

/// Machines that a fault affects.
#[derive(Clone, Debug)]
pub(crate) enum MachineSelection {
    /// This many machines, those with the most tasks.
    Busiest(usize),
    /// This share of all machines, those with the most tasks.
    Share(f64),
    /// All machines of one zone.
    Zone(String),
    /// This many machines of one zone, those with the most tasks.
    BusiestIn(String, usize),
}

/// A fault in one direction or of one kind of message. Times are in microseconds, and a share is
/// between 0 and 1.
#[derive(Clone, Debug)]
pub(crate) enum OneWayFault {
    /// This share of the transactions that write a key with this prefix is executed at once, and
    /// only the reply is lost.
    LoseWriteReplies(f64, String),
    /// This share of the replies to reads of one key with this prefix, or of all changes of keys
    /// with it, is lost.
    LoseReadReplies(f64, String),
    /// Copies of this share of the heartbeats are kept, and reach every controller when the next
    /// leader begins to lead.
    ReplayReports(f64),
    /// Machines can't connect to any controller, while pushed commands reach them.
    BlockOutbound(MachineSelection),
    /// This share of the pushed commands gets no reply and is executed once, 2 to 16 s later.
    LateCommands(f64),
    /// Copies of this share of the pushed commands reach their machines again, from a fraction of a
    /// second to well over a lease after the commands were executed and answered.
    CopyCommands(f64),
    /// Machines execute pushed commands at once and reply up to this much later.
    DelayPushReplies(MachineSelection, u64),
    /// Machines die without notice.
    Kill(MachineSelection),
    /// The state service replies up to this much later.
    SlowState(u64),
    /// A controller gets its processor only for this share of each period.
    Throttle(usize, f64),
}

/// Period of throttling in microseconds. A throttled controller runs at the beginning of each
/// period.
const THROTTLE_PERIOD: u64 = 100 * MS;

/// Shortest and longest delay of the copy of a pushed command, in microseconds.
const SHORTEST_COPY_DELAY: u64 = 100 * MS;
const LONGEST_COPY_DELAY: u64 = 30 * SEC;

impl MachineSelection {
    fn parse(words: &Words) -> Result<MachineSelection, String> {
        let count = words
            .word(3)
            .and_then(|n| n.parse().map_err(|_| "the count is not a number".into()));
        match (words.named.get("zone"), count) {
            (Some(zone), Ok(count)) => Ok(MachineSelection::BusiestIn(zone.to_string(), count)),
            (Some(zone), Err(_)) => Ok(MachineSelection::Zone(zone.to_string())),
            (None, Err(_)) if words.named.contains_key("share") => words.num("share", 0.0).map(MachineSelection::Share),
            (None, count) => count.map(MachineSelection::Busiest),
        }
    }
}

impl OneWayFault {
    /// Parses the fault of a line of a scenario.
    pub(crate) fn parse(words: &Words) -> Result<OneWayFault, String> {
        let share = || {
            words
                .word(3)?
                .parse::<f64>()
                .map_err(|_| "the share is not a number".to_string())
        };
        Ok(match words.word(2)? {
            "lose-write-replies" => {
                let prefix = words.named.get("key").unwrap_or(&"");
                OneWayFault::LoseWriteReplies(share()?, prefix.to_string())
            }
            "lose-read-replies" => {
                let prefix = words.named.get("key").unwrap_or(&"");
                OneWayFault::LoseReadReplies(share()?, prefix.to_string())
            }
            "replay-reports" => OneWayFault::ReplayReports(share()?),
            "block-outbound" => OneWayFault::BlockOutbound(MachineSelection::parse(words)?),
            "late-commands" => OneWayFault::LateCommands(share()?),
            "copy-commands" => OneWayFault::CopyCommands(share()?),
            "delay-push-replies" => {
                let by: f64 = words.num("by", 10.0)?;
                OneWayFault::DelayPushReplies(MachineSelection::parse(words)?, (by * SEC as f64) as u64)
            }
            "kill" => OneWayFault::Kill(MachineSelection::parse(words)?),
            "state-slow" => OneWayFault::SlowState((share()? * SEC as f64) as u64),
            "throttle" => {
                let node = words
                    .word(3)?
                    .parse()
                    .map_err(|_| "the controller is not a number".to_string())?;
                OneWayFault::Throttle(node, words.num("share", 0.16)?)
            }
            other => return Err(format!("unknown action {other}")),
        })
    }

    /// Returns the longest time after the end of the fault at which delayed messages may arrive.
    pub(crate) fn longest_delay(&self) -> u64 {
        match self {
            OneWayFault::LateCommands(_) => 16 * SEC,
            OneWayFault::CopyCommands(_) => LONGEST_COPY_DELAY,
            OneWayFault::DelayPushReplies(_, by) | OneWayFault::SlowState(by) => *by,
            _ => 0,
        }
    }
}

/// The active faults of this module, by the step that began them.
#[derive(Default)]
pub(crate) struct ActiveOneWayFaults {
    lost_replies: BTreeMap<usize, (f64, String)>,
    lost_read_replies: BTreeMap<usize, (f64, String)>,
    replayed_reports: BTreeMap<usize, f64>,
    blocked_outbound: BTreeMap<usize, BTreeSet<String>>,
    late_commands: BTreeMap<usize, f64>,
    copied_commands: BTreeMap<usize, f64>,
    delayed_replies: BTreeMap<usize, (BTreeSet<String>, u64)>,
    slow_state: BTreeMap<usize, u64>,
    /// The throttled controller, and its share of the processor.
    throttled: BTreeMap<usize, (usize, f64)>,
    /// Number of messages that these faults lost, delayed or copied.
    pub affected: usize,
    /// Copies of heartbeats for the next leader.
    kept_for_next: Vec<Heartbeat>,
    /// The controller that led last, and the number of its life, which changes at each restart.
    last_leader: Option<(usize, u64)>,
}

impl ActiveOneWayFaults {
    /// Ends the fault of a step. Reports that are kept for the next leader stay.
    pub(crate) fn end_faults(&mut self, step: usize) {
        self.lost_replies.remove(&step);
        self.lost_read_replies.remove(&step);
        self.replayed_reports.remove(&step);
        self.blocked_outbound.remove(&step);
        self.late_commands.remove(&step);
        self.copied_commands.remove(&step);
        self.delayed_replies.remove(&step);
        self.slow_state.remove(&step);
        self.throttled.remove(&step);
    }
}

/// Returns the largest share of the faults whose key prefix applies.
fn largest_share(faults: &BTreeMap<usize, (f64, String)>, applies: impl Fn(&str) -> bool) -> f64 {
    let applicable = faults.values().filter(|(_, prefix)| applies(prefix));
    applicable.map(|(share, _)| *share).fold(0.0, f64::max)
}

impl World {
    /// Returns the names of the running machines that a fault affects.
    fn machines(&self, which: &MachineSelection) -> BTreeSet<String> {
        let all = self.busiest(usize::MAX).into_iter();
        let in_zone = |name: &String, zone: &String| self.workers[name].zone == *zone;
        match which {
            MachineSelection::Busiest(count) => self.busiest(*count),
            MachineSelection::Share(share) => self.busiest((all.len() as f64 * share).ceil() as usize),
            MachineSelection::Zone(zone) => all.filter(|name| in_zone(name, zone)).collect(),
            MachineSelection::BusiestIn(zone, count) => {
                let mut names: Vec<String> = all.filter(|name| in_zone(name, zone)).collect();
                names.sort_by_key(|name| std::cmp::Reverse(self.workers[name].tasks.len()));
                names.into_iter().take(*count).collect()
            }
        }
    }

    /// Begins the fault of a step.
    pub(crate) fn begin_one_way_fault(&mut self, step: usize, fault: &OneWayFault) {
        match fault {
            OneWayFault::LoseWriteReplies(share, prefix) => {
                self.active_faults
                    .one_way
                    .lost_replies
                    .insert(step, (*share, prefix.clone()));
            }
            OneWayFault::LoseReadReplies(share, prefix) => {
                self.active_faults
                    .one_way
                    .lost_read_replies
                    .insert(step, (*share, prefix.clone()));
            }
            OneWayFault::ReplayReports(share) => {
                self.active_faults.one_way.replayed_reports.insert(step, *share);
            }
            OneWayFault::BlockOutbound(which) => {
                let machines = self.machines(which);
                self.active_faults.one_way.blocked_outbound.insert(step, machines);
            }
            OneWayFault::LateCommands(share) => {
                self.active_faults.one_way.late_commands.insert(step, *share);
            }
            OneWayFault::CopyCommands(share) => {
                self.active_faults.one_way.copied_commands.insert(step, *share);
            }
            OneWayFault::DelayPushReplies(which, by) => {
                let machines = self.machines(which);
                self.active_faults.one_way.delayed_replies.insert(step, (machines, *by));
            }
            OneWayFault::Kill(which) => {
                for name in self.machines(which) {
                    self.remove_machine(&name);
                }
            }
            OneWayFault::SlowState(by) => {
                self.active_faults.one_way.slow_state.insert(step, *by);
            }
            OneWayFault::Throttle(n, share) => {
                self.active_faults.one_way.throttled.insert(step, (*n, *share));
                self.throttle(step);
            }
        }
    }

    /// Suspends a throttled controller that has used its share of the period, or resumes the
    /// controller when the next period begins.
    pub(crate) fn throttle(&mut self, step: usize) {
        let Some(&(n, share)) = self.active_faults.one_way.throttled.get(&step) else {
            return;
        };
        let runs = (THROTTLE_PERIOD as f64 * share) as u64;
        if self.active_faults.frozen.contains_key(&step) {
            self.resume(step);
            return self.after(runs, ScheduledEvent::Throttle(step));
        }
        self.active_faults.frozen.insert(step, n);
        self.after(THROTTLE_PERIOD - runs, ScheduledEvent::Throttle(step));
    }

    /// Draws whether a fault with this share affects a message, and counts affected messages.
    fn draw(&mut self, share: f64) -> bool {
        let drawn = share > 0.0 && self.rng.f64() < share;
        self.active_faults.one_way.affected += usize::from(drawn);
        drawn
    }

    /// Returns whether a request is executed and its reply lost.
    pub(crate) fn loses_reply(&mut self, request: &StoreRequest) -> bool {
        let faults = &self.active_faults.one_way;
        let share = match request {
            StoreRequest::Transaction(Transaction { changes, .. }) => largest_share(&faults.lost_replies, |prefix| {
                changes.iter().any(|change| change.key().starts_with(prefix))
            }),
            StoreRequest::Get { key: read }
            | StoreRequest::Watch {
                prefix: read,
                wait_ms: 0,
                ..
            } => largest_share(&faults.lost_read_replies, |prefix| read.starts_with(prefix)),
            _ => 0.0,
        };
        self.draw(share)
    }

    /// Returns the additional delay of the state service's reply to a request.
    pub(crate) fn state_delay(&mut self, request: &StoreRequest) -> u64 {
        let slow = self
            .active_faults
            .one_way
            .slow_state
            .values()
            .copied()
            .max()
            .unwrap_or(0);
        if slow == 0 || matches!(request, StoreRequest::Watch { wait_ms: 1.., .. }) {
            return 0;
        }
        self.rng.u64(0..=slow)
    }

    /// Returns whether a machine reaches no controller. If so, the attempt to connect fails at once
    /// or after a timeout of 4 s.
    pub(crate) fn report_cannot_be_sent(&mut self, name: &str, rid: u64) -> bool {
        if !self
            .active_faults
            .one_way
            .blocked_outbound
            .values()
            .any(|m| m.contains(name))
        {
            return false;
        }
        self.active_faults.one_way.affected += 1;
        let pause = if self.rng.bool() { MS } else { 4 * SEC };
        self.after(pause, ScheduledEvent::ReportTimeout(name.into(), rid));
        true
    }

    /// Keeps a copy of the heartbeat for the next leader, if drawn from the share.
    pub(crate) fn keep_for_next_leader(&mut self, heartbeat: &Heartbeat) {
        let shares = self.active_faults.one_way.replayed_reports.values();
        let share = shares.copied().fold(0.0, f64::max);
        if self.draw(share) {
            self.active_faults.one_way.kept_for_next.push(heartbeat.clone());
        }
    }

    /// Sends the kept heartbeats to every controller within a second, if this controller has just
    /// begun to lead.
    pub(crate) fn replay_reports_to_new_leader(&mut self, n: usize) {
        let node = &self.nodes[n];
        let leads = node
            .controller
            .as_ref()
            .is_some_and(|controller| controller.is_leader());
        let life = Some((n, node.life));
        if !leads || self.active_faults.one_way.last_leader == life {
            return;
        }
        self.active_faults.one_way.last_leader = life;
        for heartbeat in std::mem::take(&mut self.active_faults.one_way.kept_for_next) {
            for to in 0..self.nodes.len() {
                let pause = self.rng.u64(0..SEC);
                let name = heartbeat.machine.clone();
                self.after(pause, ScheduledEvent::Heartbeat(name, to, u64::MAX, heartbeat.clone()));
            }
        }
    }

    /// Delivers the commands again after a random delay, if drawn from the share. The reply to the
    /// copy reaches no controller.
    fn copy_commands(&mut self, n: usize, id: u64, addr: &str, body: &PushedCommands) {
        let shares = self.active_faults.one_way.copied_commands.values();
        let share = shares.copied().fold(0.0, f64::max);
        if self.draw(share) {
            let late = self.rng.u64(SHORTEST_COPY_DELAY..=LONGEST_COPY_DELAY);
            self.after(
                late,
                ScheduledEvent::PushedCommands(n, u64::MAX, id, addr.into(), body.clone()),
            );
        }
    }

    /// Pushes commands to a machine. Commands that the fault delays by 2 to 16 s are executed
    /// without a reply to any controller.
    pub(crate) fn push_commands(&mut self, n: usize, life: u64, id: u64, hop: u64, addr: String, body: PushedCommands) {
        self.copy_commands(n, id, &addr, &body);
        let held = self.active_faults.push_delays.values().copied().max().unwrap_or(0);
        let shares = self.active_faults.one_way.late_commands.values();
        let share = shares.copied().fold(0.0, f64::max);
        if self.draw(share) {
            let late = 2 * SEC + self.rng.u64(0..14 * SEC);
            return self.after(late, ScheduledEvent::PushedCommands(n, u64::MAX, id, addr, body));
        }
        self.after(hop + held, ScheduledEvent::PushedCommands(n, life, id, addr, body));
    }

    /// Returns the additional delay of a machine's reply to a pushed command.
    pub(crate) fn push_reply_delay(&mut self, name: &str) -> u64 {
        let held = self.active_faults.one_way.delayed_replies.values();
        let by = held.filter(|(names, _)| names.contains(name)).map(|(_, by)| *by);
        let by = by.max().unwrap_or(0);
        if by == 0 {
            return 0;
        }
        self.active_faults.one_way.affected += 1;
        self.rng.u64(0..=by)
    }
}
