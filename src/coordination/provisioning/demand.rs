//! Which machines are worth renting: for what waits, what is coming and what is stuck.

use super::super::objectives::NO_HURRY_S;
use super::super::scheduling::{allowed, is_best_effort, latest_start, open_zones, team_use};
use super::super::state::{Job, LeaderState, MachineState, PlacementPhase};
use super::super::ClusterConfig;
use crate::protocol::users::{JobSpec, Priority};
use crate::time::Micros;
use glenhaven_zone_health::Move;
use std::collections::BTreeMap;

/// Work that may use spot machines gets ordinary ones in any case for what exceeds the
/// spot machines by this factor: what little is over the room is served as tasks end.
const PATIENCE: f64 = 2.5;
/// Share of the room that tasks give back during a boot that what waits now gets; what
/// comes meanwhile takes the rest.
const TURNOVER: f64 = 0.7;

/// A job that no machine has room for.
struct Stuck {
    version: u64,
    spec: JobSpec,
    /// Zones where its next task may start.
    open: Option<Vec<String>>,
    cores: f64,
    spot_only: bool,
}

/// Cores and machines of one kind.
#[derive(Default, Clone, Copy)]
pub(super) struct Supply {
    pub(super) cores: f64,
}

impl LeaderState {
    /// Cores that work of each kind holds and waits for, as far as the teams'
    /// limits let it run: (needs ordinary machines, may use spot machines).
    pub(super) fn demand(&self, cluster: &ClusterConfig, now: Micros) -> (f64, f64) {
        let mut by_team: BTreeMap<&str, (f64, f64, f64, f64)> = BTreeMap::new();
        for job in self.jobs.values() {
            let cores = effective_cores(&job.spec, cluster);
            let held = f64::from(job.held_tasks);
            let waits = if job.may_run() {
                worth_renting(cluster, job, now)
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
            let left = (cluster.limits(team).0 - held_o - held_s).max(0.0);
            let wait_o = wait_o.min(left);
            ordinary += held_o + wait_o;
            spot += held_s + wait_s.min(left - wait_o);
        }
        (ordinary, spot)
    }

    /// Decides what to rent and what to return.
    pub(super) fn decide(&mut self, cluster: &ClusterConfig, now: Micros) {
        let (ordinary, flexible) = self.demand(cluster, now);
        let span = self.provisioning.average_at.map_or(0.0, |at| now.since(at).secs());
        self.provisioning.average_at = Some(now);
        let keep = 0.5f64.powf(span / 20.0);
        self.provisioning.average = self.provisioning.average * keep + flexible * (1.0 - keep);
        // A new leader knows from the book only the names of machines with
        // tasks. Before the list has told what they are, it would rent all that
        // is there a second time.
        let patience = Micros::from_secs(cluster.settings.params.workers.report_s * 1.5 + 2.0);
        let heard = now.since(self.started_at) > patience;
        if !self.provisioning.listed && !heard {
            return;
        }
        let headroom = 1.0 + cluster.settings.operator.headroom;
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
            .filter(|m| self.failures.zones.is_cut(&m.zone))
            .map(|m| (&*m.zone, self.moves_out(cluster, &m.zone, now)))
            .collect();
        let far = self.held_far(cluster, &cuts);
        let want_ordinary = (want_ordinary - far[0]).max(0.0);
        let want_flexible = (flexible.max(self.provisioning.average * headroom) - far[1]).max(0.0);
        let mut supply = [Supply::default(); 2];
        for m in self.machines.values() {
            let Some(t) = cluster.catalogue.get(&m.machine_type) else {
                continue;
            };
            // Kept by another node only: it runs on, but takes no new work.
            let away =
                m.last_proxied_at > m.last_heartbeat && now.since(m.last_heartbeat) > Self::work_silence(cluster);
            // Machines that are up show as booting until they report here.
            let counted = if m.state == MachineState::Booting && heard {
                self.provisioning
                    .boot_times
                    .pace(m)
                    .counted(now.since(m.known_since), t.boot_s)
            } else {
                1.0
            };
            let usable = m.state != MachineState::Releasing
                && m.interruption_at.is_none()
                && now >= m.quarantined_until
                && now >= m.slow_until
                && !m.is_asymmetrically_partitioned()
                && !away
                && !self.failures.zones.is_cut(&m.zone);
            if usable {
                supply[usize::from(m.spot)].cores += t.cpus * counted;
            }
        }
        for claim in self
            .provisioning
            .coming()
            .filter(|c| !self.failures.zones.is_cut(&c.zone))
        {
            if let Some(t) = cluster.catalogue.get(&claim.machine_type) {
                supply[usize::from(claim.spot)].cores += t.cpus * f64::from(claim.count);
            }
        }
        let missing = want_ordinary - supply[0].cores;
        if missing > 0.0 {
            self.rent(cluster, now, false, missing);
        }
        let spare = (supply[0].cores - want_ordinary).max(0.0);
        let missing = want_flexible - spare - supply[1].cores;
        if missing > 1.0 {
            let waits = self
                .jobs
                .values()
                .any(|j| j.may_run() && j.spec.spot && !j.waiting.is_empty());
            if !self.rent(cluster, now, true, missing) && waits && now >= self.provisioning.next_advice {
                // No spot machine is to be had: ordinary ones for what is worth it.
                let others = (want_ordinary - supply[0].cores).max(0.0);
                let (advice, promises) = self.on_demand_cost_benefit(cluster, others, now);
                let cores = advice.cores.max(self.by_backlog(cluster, spare + supply[1].cores, now));
                let rents = cores > 0.5 && self.rent(cluster, now, false, cores);
                if rents {
                    self.promise(promises);
                }
                let pause = if rents { 250 } else { 1000 };
                self.provisioning.next_advice = now + Micros::from_millis(pause);
            }
        }
        let enough = supply[0].cores + supply[1].cores >= ordinary + flexible;
        self.rent_for_stuck(cluster, now, enough);
        self.return_idle(cluster, now, want_ordinary, want_flexible, supply);
    }

    /// Cores missing for work that has the time to wait and may use spot machines, when
    /// none of those is to be had: for what waits and can still be done in time on a
    /// machine that has yet to boot, and for a part of all else, so that a backlog does
    /// not grow without end. `room` are the cores that there are for all such work.
    pub(super) fn by_backlog(&self, cluster: &ClusterConfig, room: f64, now: Micros) -> f64 {
        let boots: Vec<f64> = cluster.catalogue.values().map(|t| t.boot_s).collect();
        let boot = boots.iter().sum::<f64>() / boots.len().max(1) as f64;
        let (mut held, mut helped, mut freed, mut low) = (0.0, 0.0, 0.0, 0.0);
        let (mut all, mut others) = (0.0, 0.0);
        let mut hurries: BTreeMap<&str, bool> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.spot) {
            let cores = effective_cores(&job.spec, cluster);
            let holds = f64::from(job.held_tasks) * cores;
            let wants = holds
                + if job.may_run() {
                    worth_renting(cluster, job, now) * cores
                } else {
                    0.0
                };
            let class = job.spec.class.as_str();
            if *hurries
                .entry(class)
                .or_insert_with(|| self.must_not_wait(cluster, class, now))
            {
                others += wants;
                continue;
            }
            all += wants;
            held += holds;
            // What runs now makes room while a machine boots.
            freed += holds * (boot / job.spec.estimate_s.max(1.0)).min(1.0) * TURNOVER;
            let fetch = cluster
                .catalogue
                .values()
                .map(|t| job.spec.image_gb / t.fetch_gb_per_s.max(0.01))
                .fold(f64::INFINITY, f64::min);
            let up = now + Micros::from_secs(boot * 1.1 + fetch.min(60.0));
            let in_time = latest_start(cluster, job).is_none_or(|at| up <= at);
            // Work of low priority that has the time waits for spot machines.
            if job.may_run() && in_time && !is_best_effort(cluster, job, now) {
                helped += worth_renting(cluster, job, now) * cores;
            }
            if job.priority == Priority::Low {
                low += holds + worth_renting(cluster, job, now) * cores;
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
    pub(super) fn held_far(&self, cluster: &ClusterConfig, cuts: &BTreeMap<&str, Move>) -> [f64; 2] {
        let mut held = [0.0; 2];
        for m in self.machines.values() {
            let Some(step) = cuts.get(&*m.zone) else { continue };
            for (id, task) in &m.tasks {
                let Some(job) = self.jobs.get(id) else { continue };
                let holds = job
                    .placements
                    .get(task)
                    .is_some_and(|p| !matches!(p.phase, PlacementPhase::Exited(_)));
                let stays = match step {
                    Move::Nothing => true,
                    Move::Services => job.spec.spot,
                    Move::All => false,
                };
                if holds && stays {
                    held[usize::from(job.spec.spot)] += effective_cores(&job.spec, cluster);
                }
            }
        }
        held
    }

    /// Rents for jobs that no machine has room for although there are cores
    /// enough in all: zones, types or scattered room keep them waiting.
    pub(super) fn rent_for_stuck(&mut self, cluster: &ClusterConfig, now: Micros, enough: bool) {
        let mut zones: Vec<String> = cluster.catalogue.values().flat_map(|t| t.zones.clone()).collect();
        zones.sort();
        zones.dedup();
        // What is on its way, to be shared among those who wait.
        let mut coming: Vec<(String, String, bool, f64)> = vec![];
        for m in self.machines.values().filter(|m| m.state == MachineState::Booting) {
            if let Some(t) = cluster.catalogue.get(&m.machine_type) {
                if self
                    .provisioning
                    .boot_times
                    .pace(m)
                    .counted(now.since(m.known_since), t.boot_s)
                    > 0.0
                {
                    coming.push((m.machine_type.clone(), m.zone.clone(), m.spot, t.cpus));
                }
            }
        }
        for claim in self.provisioning.coming() {
            if let Some(t) = cluster.catalogue.get(&claim.machine_type) {
                let cores = t.cpus * f64::from(claim.count);
                coming.push((claim.machine_type.clone(), claim.zone.clone(), claim.spot, cores));
            }
        }
        let held = team_use(&self.jobs);
        let mut wanted: Vec<Stuck> = vec![];
        for job in self.jobs.values() {
            let s = &job.spec;
            // What its team's limit stops starts on no machine, however many are rented.
            let team_holds = held.get(&s.team).map_or(0.0, |usage| usage.cpus);
            let left = cluster.limits(&s.team).0 - team_holds;
            if left < s.cpus {
                continue;
            }
            let bound = s.one_zone || s.spread || s.zone.is_some() || s.types.is_some();
            // Where cores are short in all, the ordinary decision rents; here
            // only what it cannot see.
            let patience = if bound { 2.0 } else { 6.0 };
            let stuck = job
                .unplaceable_since
                .is_some_and(|at| now.since(at) > Micros::from_secs(patience));
            let stuck = stuck && (bound || enough);
            if !job.may_run() || job.waiting.is_empty() || !stuck || !now_waiting(job, now) {
                continue;
            }
            let open = open_zones(job, &self.machines, &zones);
            let cores = (job.waiting.len() as f64 * effective_cores(&job.spec, cluster)).min(left);
            let spot_only = is_best_effort(cluster, job, now);
            wanted.push(Stuck {
                version: job.acceptance_revision,
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
                if self.rent_where(cluster, now, *spot, spec.cpus.max(1.0), Some(&spec), &zone_open) {
                    return;
                }
            }
        }
    }
}

/// How many of a job's waiting tasks machines are worth renting for. A job that
/// fails everywhere gets none. Work of low priority runs when others leave room:
/// tasks that can follow each other on the same cores in the time there is need
/// no cores of their own.
fn worth_renting(cluster: &ClusterConfig, job: &Job, now: Micros) -> f64 {
    if !now_waiting(job, now) {
        return 0.0;
    }
    let waiting = job.waiting.len() as f64;
    if job.priority != Priority::Low || job.is_service() {
        return waiting;
    }
    let span = match latest_start(cluster, job) {
        Some(at) => at.since(now).secs() + job.spec.estimate_s,
        None => NO_HURRY_S,
    };
    // Estimates are often wrong by half.
    let rounds = (span / (job.spec.estimate_s * 1.5 + 1.0)).floor().max(1.0);
    (waiting / rounds).ceil()
}

/// A job that fails everywhere is not worth new machines.
fn now_waiting(job: &Job, now: Micros) -> bool {
    !job.is_suspect(now)
}

/// Cores one task takes off a machine, counting memory it takes beyond its
/// share of the cores.
pub fn effective_cores(spec: &JobSpec, cluster: &ClusterConfig) -> f64 {
    cluster
        .catalogue
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
