//! Stragglers: tasks that take far longer than others of their job, and the slow machines that they
//! reveal.
//!
//! Called by the leader every second. A slow machine gets no new work for a while, and those of its
//! tasks that would complete sooner elsewhere are stopped and restarted there.

use crate::coordination::state::{Job, LeaderState, MachineId, MachineState, Placement, PlacementPhase};
use crate::coordination::{timing, ClusterConfig, JobId};
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A task is a straggler when it runs for more than this many times the mean run time of its job's
/// completed tasks.
const OVERDUE_FACTOR: f64 = 1.9;
/// Minimum excess of a straggler's run time over the mean, in seconds: run times are only as
/// precise as the heartbeats that report them.
const MIN_OVERDUE_S: f64 = 2.0;
/// Minimum number of completed tasks for a mean. In addition, at least half of the started tasks
/// must have completed, because short tasks complete first.
const MIN_COMPLETED_RUNS: u32 = 6;
/// Assumed ratio of run times on a slow machine to the usual ones.
const SLOWDOWN_FACTOR: f64 = 3.0;
/// Maximum share of the machines that are marked as slow: if more seem slow, the comparison is more
/// likely wrong.
const MAX_SLOW_SHARE: f64 = 0.25;
/// Share of a task's work that is lost in a move if its job writes checkpoints.
const LOST_WITH_CHECKPOINTS: f64 = 0.5;
/// Additional cost of a move, as a share of the usual run time.
const MOVE_COST: f64 = 0.3;
/// Grace period in which a task can save its work, as a multiple of the job's `save_s`.
const CHECKPOINT_GRACE_FACTOR: f64 = 1.2;

/// Mean run time of a job's completed tasks in seconds, if enough of them have completed.
fn mean_run_s(job: &Job) -> Option<f64> {
    let runs = job.completed_runs;
    (runs.count >= MIN_COMPLETED_RUNS && runs.count >= job.held_tasks).then(|| runs.mean_s())
}

/// Time for which a task has been running, in seconds; `None` if it is not running or is being
/// stopped.
fn running_s(placement: &Placement, now: Micros) -> Option<f64> {
    let is_running = placement.phase == PlacementPhase::Seen(TaskPhase::Running) && placement.stop_grace_s.is_none();
    placement
        .running_since
        .filter(|_| is_running)
        .map(|since| now.since(since).secs())
}

/// Whether a task that has run for `ran_s` seconds on a slow machine would complete sooner if it
/// were restarted elsewhere.
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
    /// Detects stragglers, marks their machines as slow and stops tasks that are moved elsewhere.
    pub fn detect_stragglers(&mut self, cluster: &ClusterConfig, now: Micros) {
        let silence = Self::max_heartbeat_age(cluster);
        let suspects = self.machines_with_stragglers(now);
        self.mark_slow(&suspects, silence, now);
        for (id, task) in self.tasks_to_move(silence, now) {
            tracing::debug!(job = %id, task, "task stopped on a slow machine, to be restarted elsewhere");
            let grace_s = self
                .jobs
                .get(&id)
                .map_or(0.0, |j| j.spec.save_s * CHECKPOINT_GRACE_FACTOR);
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

    /// Marks machines as slow for a while, up to the maximum share. Silent machines are skipped,
    /// since their tasks may have completed long ago.
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
                tracing::info!(
                    machine = %name,
                    "machine suspected to be slow: a task runs far longer there than others of its job"
                );
            }
            machine.slow_until = now + timing::SLOW_MACHINE_PAUSE;
        }
    }

    /// Tasks on slow machines that would complete sooner elsewhere.
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
