//! What the steps of a scenario do to the world, and how it heals.

use super::script::Act;
use super::{users, ScheduledEvent, World, MS, SEC};
use glenhaven::coordination::Event;
use std::collections::BTreeSet;

impl World {
    /// A step of the scenario begins.
    pub(crate) fn step(&mut self, i: usize) {
        let step = self.script.steps[i].clone();
        if let Act::FreezeOnGrant = step.act {
            self.active_faults.trap = step.lasts.map(|lasts| (i, lasts));
            return;
        }
        if let Some(lasts) = step.lasts {
            self.after(lasts, ScheduledEvent::Heal(i));
        }
        match step.act {
            Act::Submit(spec) => {
                let id = spec.id.clone();
                self.users
                    .insert(id.clone(), users::User::new(*spec, step.run_s, step.mistake));
                self.event(ScheduledEvent::User(id));
            }
            Act::Inherit(spec) => {
                self.store.put_inherited_job(&spec);
                let mut user = users::User::new(*spec.clone(), step.run_s, step.mistake);
                user.submitted = true;
                user.accepted = Some(self.now);
                self.answers.inherited(&spec.id);
                self.users.insert(spec.id.clone(), user);
                self.event(ScheduledEvent::User(spec.id));
            }
            Act::Abort(job) => {
                if let Some(user) = self.users.get_mut(&job) {
                    user.wants_abort = true;
                }
                self.event(ScheduledEvent::User(job));
            }
            Act::Resubmit(job) => {
                if let Some(user) = self.users.get_mut(&job) {
                    user.resubmit = true;
                }
                self.event(ScheduledEvent::User(job));
            }
            Act::AskUnknown(job) => {
                self.users.insert(job.clone(), users::User::never_submitted(&job));
                self.event(ScheduledEvent::User(job));
            }
            Act::Crash(who) => {
                let nodes: Vec<usize> = match who.as_str() {
                    "all" => (0..self.nodes.len()).collect(),
                    "leader" => self.leader().into_iter().collect(),
                    n => n.parse().into_iter().collect(),
                };
                for n in nodes {
                    self.crash_node(n);
                    self.after(step.lasts.unwrap_or(3 * SEC), ScheduledEvent::Start(n));
                }
            }
            Act::CrashOn(key) => self.active_faults.ends_on.push((key, step.lasts.unwrap_or(3 * SEC))),
            Act::StateOut => {
                self.active_faults.state_out.insert(i);
                self.store.set_unavailable(true, self.now);
            }
            Act::StateDeaf(n) => {
                let n = if n == usize::MAX { self.leader().unwrap_or(0) } else { n };
                self.active_faults.state_deaf.insert(i, n);
            }
            Act::CloudOut => {
                self.active_faults.cloud_out.insert(i);
            }
            Act::LoseTxn(late) => {
                self.active_faults.lose_txn.insert(i, late);
            }
            Act::LateWrites(share, prefix) => {
                self.active_faults.late_writes.insert(i, (share, prefix));
            }
            Act::LateReports(share) => {
                self.active_faults.late_reports.insert(i, share);
            }
            Act::HoldDirect(late) => {
                self.active_faults.hold_direct.insert(i, late);
            }
            Act::Cut(count) => {
                let busy = self.busiest(count);
                self.active_faults.cut.insert(i, busy);
            }
            Act::ZoneCut(a, b) => {
                self.active_faults.zones.insert(i, (a, b));
            }
            Act::ZoneOff(zone) => {
                self.active_faults.zone_off.insert(i, zone);
            }
            Act::Hang(count) => {
                let until = self.now + step.lasts.unwrap_or(SEC);
                for name in self.busiest(count) {
                    self.hang(&name, until);
                }
            }
            Act::Kill(count) => {
                for name in self.busiest(count) {
                    self.machine_dies(&name);
                }
            }
            Act::Notice(seconds) => {
                let spot: Vec<String> = self
                    .workers
                    .values()
                    .filter(|w| w.spot)
                    .map(|w| w.name.clone())
                    .collect();
                for name in spot {
                    self.notice(&name, seconds);
                }
            }
            Act::Faulty(count) => {
                for name in self.busiest(count) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.faulty = true;
                    }
                }
            }
            Act::Slow(count) => {
                let now = self.now;
                for name in self.busiest(count) {
                    if let Some(w) = self.workers.get_mut(&name) {
                        w.slow_down(now, 4);
                    }
                }
            }
            Act::Ghost => self.ghost_machine(),
            Act::FreezeOnGrant => {}
            Act::Freeze(who) => {
                if let Some(n) = self.which(&who) {
                    self.active_faults.frozen.insert(i, n);
                }
            }
            Act::NodeCut(who, from) => {
                if let Some(n) = self.which(&who) {
                    self.active_faults.node_cut.insert(i, (n, from));
                }
            }
            Act::PeersRefuse => {
                self.active_faults.refuse.insert(i);
            }
            Act::LinkCut(from, to) => {
                if let (Some(from), Some(to)) = (self.fixed(&from), self.fixed(&to)) {
                    let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (a.clone(), b.clone())));
                    self.active_faults.links.insert(i, pairs.collect());
                }
            }
            Act::Deaf(count) => {
                let busy = self.busiest(count);
                self.active_faults.deaf.insert(i, busy);
            }
            Act::SlowAnswers(late) => {
                self.active_faults.slow_answers.insert(i, late);
            }
            Act::Copies(late) => {
                self.active_faults.copies.insert(i, late);
            }
            Act::BootTimes(factor) => {
                self.active_faults.boots.insert(i, factor);
            }
            Act::OldRelease(node) => {
                self.store.put_old_release(&node);
                self.tell_watches();
            }
            Act::Garbage(key) => {
                self.store.put_malformed(key);
                self.tell_watches();
            }
            Act::StateLimits => self.store.apply_announced_limits(),
            Act::CancelNow(count, hangs) => self.cancel_now(count, hangs),
            Act::CancelAtEnd(share) => {
                self.one_way_faults.cancel_at_end.insert(i, share);
            }
            Act::CloseLooks => {
                self.one_way_faults.close_looks.insert(i);
            }
            Act::OddRequests => {
                self.one_way_faults.odd_requests.insert(i);
                self.odd_requests(i);
            }
            Act::OneWayFault(trouble) => self.begin_trouble(i, &trouble),
            Act::Storm(factor) => {
                self.active_faults.storm.insert(i, factor);
                let all: Vec<String> = self.users.keys().cloned().collect();
                for job in all {
                    self.event(ScheduledEvent::User(job));
                }
            }
        }
    }

    /// The controller that a script means: a number, or `leader`.
    fn which(&self, who: &str) -> Option<usize> {
        match who {
            "leader" => self.leader(),
            n => n.parse().ok(),
        }
    }

    /// The controller that this step froze goes on.
    pub(crate) fn thaw(&mut self, step: usize) {
        let Some(n) = self.active_faults.frozen.remove(&step) else {
            return;
        };
        // Everything that came meanwhile is there at once, each message on a
        // connection of its own: they are read in any order.
        let mut inbox = std::mem::take(&mut self.nodes[n].inbox);
        self.rng.shuffle(&mut inbox);
        self.nodes[n].inbox = inbox;
        while !self.active_faults.is_frozen(n) && !self.nodes[n].inbox.is_empty() {
            let most = self.nodes[n].inbox.len().min(256);
            let batch: Vec<Event> = self.nodes[n].inbox.drain(..most).collect();
            self.run(n, batch);
        }
    }

    /// What a step did is over.
    pub(crate) fn heal(&mut self, i: usize) {
        self.thaw(i);
        self.one_way_faults.heal(i);
        let b = &mut self.active_faults;
        b.state_out.remove(&i);
        b.state_deaf.remove(&i);
        b.cloud_out.remove(&i);
        b.cut.remove(&i);
        b.zones.remove(&i);
        b.zone_off.remove(&i);
        b.lose_txn.remove(&i);
        b.hold_direct.remove(&i);
        b.late_writes.remove(&i);
        b.late_reports.remove(&i);
        b.node_cut.remove(&i);
        b.refuse.remove(&i);
        b.links.remove(&i);
        b.deaf.remove(&i);
        b.copies.remove(&i);
        b.slow_answers.remove(&i);
        b.boots.remove(&i);
        b.storm.remove(&i);
        b.lasting.heal(i);
        if self.active_faults.state_out.is_empty() {
            self.store.set_unavailable(false, self.now);
        }
        // What was held back arrives now, in order.
        for (_, ev) in std::mem::take(&mut self.held) {
            self.after(MS, ev);
        }
    }

    /// The machines with most tasks.
    pub(crate) fn busiest(&self, count: usize) -> BTreeSet<String> {
        let mut by: Vec<(std::cmp::Reverse<usize>, String)> = self
            .workers
            .values()
            .filter(|w| w.up)
            .map(|w| (std::cmp::Reverse(w.tasks.len()), w.name.clone()))
            .collect();
        by.sort();
        by.into_iter().take(count).map(|x| x.1).collect()
    }
}
