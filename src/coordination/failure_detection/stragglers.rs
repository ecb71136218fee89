//! Stragglers: tasks that take far longer than others of their job, and the slow machines that they
//! reveal.
//!
//! Called by the leader every second. A slow machine gets nothing new for a while, and what would
//! still be done sooner elsewhere is stopped and starts again there.

use crate::coordination::state::{Job, LeaderState, MachineId, MachineState, Placement, PlacementPhase};
use crate::coordination::{timing, ClusterConfig, JobId};
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A task that runs for this many times the mean of its job's completed ones is a straggler.
const OVERDUE_FACTOR: f64 = 1.9;
/// Run times are known to heartbeats only: a straggler is late by at least this many seconds.
const MIN_OVERDUE_S: f64 = 2.0;
/// Tasks that must have completed for a mean. It counts only when half of those that were started
/// have completed: the short ones complete first.
const MIN_COMPLETED_RUNS: u32 = 6;
/// How much slower a slow machine is taken to be.
const SLOWDOWN_FACTOR: f64 = 3.0;
/// Share of the machines that can be slow: beyond it, it is rather the comparison that is wrong.
const MAX_SLOW_SHARE: f64 = 0.25;
/// Share of a task's work that is lost when it is moved, with checkpoints.
const LOST_WITH_CHECKPOINTS: f64 = 0.5;
/// What a move costs besides, as a share of the usual run time.
const MOVE_COST: f64 = 0.3;
/// Grace that a task gets to save its work, in multiples of what its job says it needs.
const GRACE_FACTOR: f64 = 1.2;

/// The mean run time of a job's tasks in seconds, if enough of them have completed.
fn mean_run_s(job: &Job) -> Option<f64> {
    let runs = job.completed_runs;
    (runs.count >= MIN_COMPLETED_RUNS && runs.count >= job.held_tasks).then(|| runs.mean_s())
}

/// For how many seconds a task has been running; `None` if it does not run, or is to stop.
fn running_s(placement: &Placement, now: Micros) -> Option<f64> {
    let is_running = placement.phase == PlacementPhase::Seen(TaskPhase::Running) && placement.stop_grace_s.is_none();
    placement
        .running_since
        .filter(|_| is_running)
        .map(|since| now.since(since).secs())
}

/// Whether a task that has run for so long on a slow machine would be done sooner elsewhere.
fn is_sooner_elsewhere(job: &Job, ran_s: f64) -> bool {
    let usual_s = mean_run_s(job).unwrap_or(job.spec.estimate_s);
    let lost = if job.spec.checkpoint_s > 0.0 {
        LOST_WITH_CHECKPOINTS
    } else {
        1.0
    };
    usual_s * SLOWDOWN_FACTOR - ran_s > usual_s * (lost + MOVE_COST) + 1.0
}

impl LeaderState {
    /// Looks for stragglers, and moves work off their machines.
    pub fn detect_stragglers(&mut self, cluster: &ClusterConfig, now: Micros) {
        let silence = Self::work_silence(cluster);
        let suspects = self.machines_with_stragglers(now);
        self.mark_slow(&suspects, silence, now);
        for (id, task) in self.tasks_to_move(silence, now) {
            tracing::debug!(job = %id, task, "task moved off a slow machine");
            let grace_s = self.jobs.get(&id).map_or(0.0, |j| j.spec.save_s * GRACE_FACTOR);
            self.stop(&id, task, grace_s, now);
        }
    }

    fn machines_with_stragglers(&self, now: Micros) -> BTreeSet<MachineId> {
        let mut machines = BTreeSet::new();
        for job in self.jobs.values().filter(|j| j.is_live() && !j.is_service()) {
            let Some(mean_s) = mean_run_s(job) else { continue };
            let max_s = (mean_s * OVERDUE_FACTOR).max(mean_s + MIN_OVERDUE_S);
            for placement in job.placements.values() {
                if running_s(placement, now).is_some_and(|ran_s| ran_s > max_s) {
                    machines.insert(placement.machine.clone());
                }
            }
        }
        machines
    }

    /// Marks machines as slow for a while, as long as not too many are. Silent ones are left out:
    /// what runs there may long be done.
    fn mark_slow(&mut self, suspects: &BTreeSet<MachineId>, silence: Micros, now: Micros) {
        let up = self.machines.values().filter(|m| m.state == MachineState::Up).count();
        let mut slow = self.machines.values().filter(|m| now < m.slow_until).count();
        for name in suspects {
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            if now.since(machine.last_heartbeat) > silence || machine.state != MachineState::Up {
                continue;
            }
            if now >= machine.slow_until {
                if slow as f64 >= (up as f64 * MAX_SLOW_SHARE).max(1.0) {
                    continue;
                }
                slow += 1;
                tracing::info!(machine = %name, "machine suspected: tasks take long on it");
            }
            machine.slow_until = now + timing::SLOW_MACHINE;
        }
    }

    /// Tasks on slow machines that would be done sooner elsewhere.
    fn tasks_to_move(&self, silence: Micros, now: Micros) -> Vec<(JobId, u32)> {
        let mut tasks = vec![];
        for machine in self.machines.values().filter(|m| now < m.slow_until) {
            if now.since(machine.last_heartbeat) > silence || machine.state != MachineState::Up {
                continue;
            }
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id).filter(|j| j.is_live() && !j.is_service()) else {
                    continue;
                };
                let placement = job.placements.get(task);
                let ran_s = placement.and_then(|p| running_s(p, now));
                if ran_s.is_some_and(|ran_s| is_sooner_elsewhere(job, ran_s)) {
                    tasks.push((id.clone(), *task));
                }
            }
        }
        tasks
    }
}
