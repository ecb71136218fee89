//! Slow machines: noticed by tasks that take far longer than others of their
//! job. They get nothing new for a while, and what would still be done sooner
//! elsewhere is started again there.

use crate::coordination::state::{LeaderState, MachineId, MachineState, Placement, PlacementPhase};
use crate::coordination::{timing, ClusterConfig, JobId};
use crate::protocol::agents::TaskPhase;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A task that runs for this many times the mean of its job's completed ones is
/// on a slow machine. The mean counts only when half of those that were started
/// have completed: the short ones complete first.
const OVERDUE: f64 = 1.9;
const LEAST_RUNS: u32 = 6;
/// How much slower a slow machine is taken to be.
const SLOWNESS: f64 = 3.0;
/// Share of the machines that can be slow: beyond it, it is rather the
/// comparison that is wrong.
const MOST: f64 = 0.25;

impl LeaderState {
    /// The time a task of the job runs, if enough of them have completed.
    fn usual_s(job: &crate::coordination::state::Job) -> Option<f64> {
        let runs = job.completed_runs;
        (runs.count >= LEAST_RUNS && runs.count >= job.held_tasks).then(|| runs.mean_s())
    }

    /// Looks for tasks that are overdue, and moves work off their machines.
    pub fn detect_stragglers(&mut self, cluster: &ClusterConfig, now: Micros) {
        let quiet = Self::work_silence(cluster);
        let runs = |p: &Placement| {
            let on = p.phase == PlacementPhase::Seen(TaskPhase::Running) && p.stop_grace_s.is_none();
            p.running_since.filter(|_| on).map(|since| now.since(since).secs())
        };
        let mut slow: BTreeSet<MachineId> = BTreeSet::new();
        for job in self.jobs.values().filter(|j| j.is_live() && !j.is_service()) {
            let Some(usual) = Self::usual_s(job) else { continue };
            // Times are seen at reports, so the shortest tasks tell nothing.
            let limit = (usual * OVERDUE).max(usual + 2.0);
            for p in job.placements.values() {
                if runs(p).is_some_and(|s| s > limit) {
                    slow.insert(p.machine.clone());
                }
            }
        }
        let up = self.machines.values().filter(|m| m.state == MachineState::Up).count();
        let mut known = self.machines.values().filter(|m| now < m.slow_until).count();
        for name in &slow {
            let Some(m) = self.machines.get_mut(name) else { continue };
            // Silence is another matter: what runs there may long be done.
            if now.since(m.last_heartbeat) > quiet || m.state != MachineState::Up {
                continue;
            }
            if now >= m.slow_until {
                if known as f64 >= (up as f64 * MOST).max(1.0) {
                    continue;
                }
                known += 1;
                tracing::info!(machine = %name, "machine doubted: tasks take long on it");
            }
            m.slow_until = now + timing::SLOW_MACHINE;
        }
        // What would be done sooner elsewhere starts again there.
        let mut moved: Vec<(JobId, u32)> = vec![];
        for m in self.machines.values().filter(|m| now < m.slow_until) {
            if now.since(m.last_heartbeat) > quiet || m.state != MachineState::Up {
                continue;
            }
            for (id, task) in &m.tasks {
                let Some(job) = self.jobs.get(id).filter(|j| j.is_live() && !j.is_service()) else {
                    continue;
                };
                let usual = Self::usual_s(job).unwrap_or(job.spec.estimate_s);
                let Some(ran) = job.placements.get(task).and_then(runs) else {
                    continue;
                };
                // With checkpoints, what has run is not lost.
                let lost = if job.spec.checkpoint_s > 0.0 { 0.5 } else { 1.0 };
                if usual * SLOWNESS - ran > usual * (lost + 0.3) + 1.0 {
                    moved.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in moved {
            tracing::debug!(job = %id, task, "moved off a slow machine");
            let grace = self.jobs.get(&id).map_or(0.0, |j| j.spec.save_s * 1.2);
            self.stop(&id, task, grace, now);
        }
    }
}
