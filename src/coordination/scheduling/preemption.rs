//! Stops work to make room for work that comes before it.

use super::super::state::{Job, LeaderState, MachineId, Placement, PlacementPhase};
use super::super::{ClusterConfig, JobId};
use super::candidates::CandidateMachine;
use super::quota::QuotaLedger;
use super::rules::{allowed, is_best_effort};
use super::{Pass, EPS};
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Only what has run for less than this is stopped for a guarantee: older work
/// loses more than the guarantee gains, and room falls idle soon enough.
const YOUNG: Micros = Micros::from_millis(4000);

impl LeaderState {
    /// Stops work to make room for production, and for work within its team's
    /// guarantee, unless room is being made already. What was started last is
    /// stopped first: it loses the least.
    pub(super) fn preempt_for(
        &mut self,
        pass: &mut Pass,
        cluster: &ClusterConfig,
        id: &JobId,
        within: &BTreeSet<JobId>,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let priority = job.priority;
        let mut wanted = job.waiting.len().min(64);
        let mut victims: Vec<(JobId, u32)> = vec![];
        if !pass.held.admits(cluster, &spec) {
            // Only its own team's work stands in the way.
            if priority == Priority::Production {
                let fits = |r: &CandidateMachine| r.fits(&spec) && self.allows(&spec, r);
                pass.looks += pass.rooms.len();
                if pass.rooms.iter().any(fits) {
                    victims = self.own_victims(&pass.held, cluster, &spec, priority, wanted);
                }
            }
        } else {
            let guaranteed = within.contains(id);
            let first: BTreeSet<usize> = match self.image_locations.get(spec.image.as_str()) {
                Some(at) if job.is_service() => at
                    .iter()
                    .filter_map(|name| self.machines.get(name).and_then(|m| m.candidate_index))
                    .collect(),
                _ => BTreeSet::new(),
            };
            let rest = (0..pass.rooms.len()).filter(|i| !first.contains(i));
            for i in first.iter().copied().chain(rest) {
                if wanted == 0 {
                    break;
                }
                pass.looks += 1;
                if !self.allows(&spec, &pass.rooms[i]) || job.failed_machines.contains(&pass.rooms[i].name) {
                    continue;
                }
                let room = &mut pass.rooms[i];
                let mut lower = self.victims(&room.name, |j, p| {
                    // What is stopped must still be done in its time.
                    let spare = priority == Priority::Production
                        || pass.now.since(p.placed_at) < YOUNG
                        || is_best_effort(cluster, j, pass.now);
                    (j.priority < priority && spare)
                        || (guaranteed
                            && pass.now.since(p.placed_at) < YOUNG
                            && j.priority <= priority
                            && j.spec.team != spec.team
                            && !within.contains(&j.id)
                            && pass.excess.get(&j.spec.team).copied().unwrap_or(0.0) >= j.spec.cpus)
                });
                lower.reverse();
                while wanted > 0 {
                    let mut chosen = vec![];
                    while !room.fits(&spec) {
                        let Some(victim) = lower.pop() else { break };
                        room.cpus += victim.takes.0;
                        room.gpus += victim.takes.1;
                        room.memory += victim.takes.2;
                        if victim.fresh {
                            *pass.excess.entry(victim.team).or_default() -= victim.takes.0;
                            chosen.push((victim.job, victim.task));
                        }
                    }
                    if !room.fits(&spec) {
                        break;
                    }
                    room.cpus -= spec.cpus;
                    room.gpus -= spec.gpus;
                    room.memory -= spec.memory;
                    wanted -= 1;
                    victims.extend(chosen);
                }
            }
        }
        for (job, task) in victims {
            tracing::debug!(job = %job, task, for_job = %id, "stopped to make room");
            let grace = self.jobs.get(&job).map_or(0.0, |j| j.spec.save_s * 1.2);
            self.stop(&job, task, grace, pass.now);
        }
    }

    /// Whether a job's tasks may run there.
    pub(super) fn allows(&self, spec: &JobSpec, room: &CandidateMachine) -> bool {
        let k = &self.scheduler.kinds[room.kind];
        allowed(spec, &k.machine_type, &k.zone, k.spot)
    }

    /// Tasks on a machine that may be stopped: those already asked to, then the
    /// lowest and youngest.
    pub(super) fn victims(&self, machine: &MachineId, may: impl Fn(&Job, &Placement) -> bool) -> Vec<Victim> {
        let Some(m) = self.machines.get(machine) else {
            return vec![];
        };
        let mut list = vec![];
        for (id, task) in &m.tasks {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(p) = job.placements.get(task) else { continue };
            if p.stop_grace_s.is_some() || (!matches!(p.phase, PlacementPhase::Exited(_)) && may(job, p)) {
                list.push(Victim {
                    fresh: p.stop_grace_s.is_none(),
                    priority: job.priority,
                    since: p.placed_at,
                    team: job.spec.team.clone(),
                    job: id.clone(),
                    task: *task,
                    takes: (job.spec.cpus, job.spec.gpus, job.spec.memory),
                });
            }
        }
        list.sort_by_key(|v| (v.fresh, v.priority, std::cmp::Reverse(v.since)));
        list
    }

    /// Work of lower priority of the job's own team, where the team's limit is what the job
    /// waits for: as much as lets its tasks start, and nothing if none could start even so.
    pub(super) fn own_victims(
        &self,
        held: &QuotaLedger,
        cluster: &ClusterConfig,
        spec: &JobSpec,
        priority: Priority,
        wanted: usize,
    ) -> Vec<(JobId, u32)> {
        let mut list: Vec<Victim> = self
            .machines
            .keys()
            .flat_map(|m| self.victims(m, |j, _| j.priority < priority))
            .filter(|v| v.team == spec.team)
            .collect();
        list.sort_by_key(|v| (v.fresh, v.priority, std::cmp::Reverse(v.since)));
        let mut excess = Excess::of(held, cluster, spec);
        let mut chosen = vec![];
        for _ in 0..wanted {
            excess.add(spec);
            let found = excess.remove(&list);
            if excess.is_over() {
                break;
            }
            for index in found.into_iter().rev() {
                let victim = list.remove(index);
                if victim.fresh {
                    chosen.push((victim.job, victim.task));
                }
            }
        }
        chosen
    }

    /// Whether a machine that has the service's image could take it if work of
    /// lower priority stopped: faster than fetching the image elsewhere.
    pub(super) fn better_to_stop(&self, rooms: &[CandidateMachine], job: &Job) -> bool {
        let spec = &job.spec;
        let Some(at) = self.image_locations.get(spec.image.as_str()) else {
            return false;
        };
        at.iter().filter_map(|name| self.machines.get(name)).any(|m| {
            let Some(room) = m.candidate_index.map(|i| &rooms[i]).filter(|r| self.allows(spec, r)) else {
                return false;
            };
            let (mut cpus, mut gpus, mut memory) = (room.cpus, room.gpus, room.memory);
            for (id, task) in &m.tasks {
                let Some(other) = self.jobs.get(id) else { continue };
                let Some(p) = other.placements.get(task) else { continue };
                let lower = other.priority < job.priority && !matches!(p.phase, PlacementPhase::Exited(_));
                if p.stop_grace_s.is_some() || lower {
                    cpus += other.spec.cpus;
                    gpus += other.spec.gpus;
                    memory += other.spec.memory;
                }
            }
            cpus + EPS >= spec.cpus && gpus + EPS >= spec.gpus && memory + EPS >= spec.memory
        })
    }
}

/// A task that may be stopped to make room.
pub(super) struct Victim {
    /// Not yet asked to stop.
    fresh: bool,
    priority: Priority,
    since: Micros,
    team: String,
    job: JobId,
    task: u32,
    /// CPUs, GPUs and memory it gives back.
    takes: (f64, f64, f64),
}

/// What a team holds beyond its limit, in CPUs and GPUs; below zero it has room.
struct Excess {
    cpus: f64,
    gpus: f64,
}

impl Excess {
    fn of(held: &QuotaLedger, cluster: &ClusterConfig, spec: &JobSpec) -> Excess {
        let (cpus, gpus) = held.of_team(&spec.team);
        let (max_cpus, max_gpus) = cluster.limits(&spec.team);
        Excess {
            cpus: cpus - max_cpus,
            gpus: gpus - max_gpus,
        }
    }

    fn is_over(&self) -> bool {
        self.cpus > EPS || self.gpus > EPS
    }

    /// One more task is to start.
    fn add(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
    }

    /// Tasks are taken away, the first of the list first, until nothing is in excess; those that
    /// take nothing of what is stay. Which ones, in the order of the list.
    fn remove(&mut self, list: &[Victim]) -> Vec<usize> {
        let mut found = vec![];
        for (index, victim) in list.iter().enumerate() {
            let (cpus, gpus, _) = victim.takes;
            let helps = (self.cpus > EPS && cpus > 0.0) || (self.gpus > EPS && gpus > 0.0);
            if helps {
                self.cpus -= cpus;
                self.gpus -= gpus;
                found.push(index);
            }
        }
        found
    }
}
