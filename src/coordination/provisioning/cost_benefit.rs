//! Ordinary machines for work that may use spot machines: what they would serve in
//! time, and cost. The decision is that of `glenhaven-provisioning`.

use super::effective_cores;
use crate::coordination::objectives::JobObjective;
use crate::coordination::scheduling::is_best_effort;
use crate::coordination::state::{Job, LeaderState, MachineState};
use crate::coordination::{ClusterConfig, JobId};
use crate::time::Micros;
use glenhaven_provisioning::{advise, Advice, Due, Offer, Supply, Work};
use std::collections::BTreeMap;

/// Waiting jobs that are looked at one by one; what is behind them in the queue
/// counts together.
const JOBS: usize = 250;
/// Jobs of up to so many cores that came within so many seconds are looked at
/// together.
const SMALL: f64 = 8.0;
const TOGETHER_S: f64 = 4.0;
/// What has missed all of its times is to start within this: it must not wait for
/// ever.
const AT_LAST_S: f64 = 60.0;
/// What that is worth beside a time that can still be kept.
const AT_LAST: f64 = 0.25;
/// What comes is looked at in parts of so many seconds, for so long.
const PART_S: f64 = 10.0;
const EXPECTED_S: f64 = 120.0;
/// Boots under way are counted on after so many times their usual time.
const BOOTS: f64 = 1.1;
/// The longest that an image is waited for.
const FETCH_S: f64 = 60.0;

impl LeaderState {
    /// How long a task of the job is expected to run: as those before it did, or as
    /// its owner says, corrected by how wrong the class's owners were lately.
    fn expected_s(&self, job: &Job) -> f64 {
        if job.completed_runs.count >= 3 {
            job.completed_runs.mean_s()
        } else {
            job.spec.estimate_s * self.slo.bias(&job.spec.class)
        }
    }

    /// Whether machines are rented for a class by what they would serve in time: where
    /// the operators say how long its tasks may wait, they are, as long as most of what
    /// such rentals promised came true. Other work has time: it gets machines for its
    /// backlog, which costs far less for each job that is in time.
    pub fn must_not_wait(&self, cluster: &ClusterConfig, class: &str, now: Micros) -> bool {
        let mut aims = cluster.settings.params.objectives.iter();
        let named = aims.any(|o| o.class == class && o.kind == "wait");
        named && self.slo.trust(class, now) >= BELIEVED
    }

    /// How many cores of ordinary machines to rent now for what may use spot
    /// machines, when none of those is to be had. `ordinary` cores of the room
    /// that there is and comes are for other work.
    pub fn on_demand_cost_benefit(&self, cluster: &ClusterConfig, ordinary: f64, now: Micros) -> (Advice, Promises) {
        let usable: Vec<_> = cluster
            .catalogue
            .values()
            .filter(|t| t.zones.iter().any(|z| !self.failures.zones.is_cut(z)))
            .collect();
        let per_core = |price: f64, cpus: f64| price / cpus.max(1.0) / 3600.0;
        let price = usable.iter().map(|t| per_core(t.price, t.cpus));
        let price = price.fold(f64::INFINITY, f64::min);
        let cheap = usable.iter().map(|t| per_core(t.spot_price, t.cpus));
        let cheap = cheap.fold(f64::INFINITY, f64::min);
        let Some(boot_s) = usable.iter().map(|t| t.boot_s).reduce(f64::max) else {
            return Default::default();
        };
        let rate = usable.iter().map(|t| t.fetch_gb_per_s).fold(0.01, f64::max);
        let fetch_s = |j: &Job| (j.spec.image_gb / rate).min(FETCH_S);

        // What everything costs a second: each aim of a class is taken to be worth
        // as much as a part of it, each job its share of that.
        let (mut spent, mut demand) = (0.0, 0.0);
        for m in self.machines.values().filter(|m| m.state != MachineState::Releasing) {
            if let Some(t) = cluster.catalogue.get(&m.machine_type) {
                spent += if m.spot { t.spot_price } else { t.price } / 3600.0;
            }
        }
        for job in self.jobs.values().filter(|j| j.may_run()) {
            let tasks = f64::from(job.held_tasks) + job.waiting.len() as f64;
            demand += tasks * effective_cores(&job.spec, cluster);
        }
        let spent = spent.max(demand * cheap) * cluster.settings.operator.in_time_worth;
        let mut hurries: BTreeMap<&str, bool> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.spot && !j.waiting.is_empty()) {
            let class = job.spec.class.as_str();
            hurries
                .entry(class)
                .or_insert_with(|| self.must_not_wait(cluster, class, now));
        }
        if !hurries.values().any(|h| *h) {
            return Default::default();
        }
        let worth = |class: &str, aim: &JobObjective| {
            if !hurries.get(class).copied().unwrap_or(false) {
                return 0.0;
            }
            let jobs = self.slo.inflow(class, now).jobs_per_s;
            // A class of which a job comes every few minutes is not worth all.
            let a_job = spent / jobs.max(1.0 / NO_OFTENER_S);
            a_job * self.slo.urgency(class, aim.number, aim.share, now)
        };

        // What waits, in the order of the queue.
        let within = self.within_guarantee(cluster);
        let mut left: BTreeMap<&str, f64> = BTreeMap::new();
        let held = crate::coordination::scheduling::team_use(&self.jobs);
        let mut waiting: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.spec.spot && j.may_run() && !j.waiting.is_empty())
            .filter(|j| !j.is_suspect(now) && !is_best_effort(cluster, j, now))
            .collect();
        waiting.sort_by_key(|j| {
            (
                std::cmp::Reverse(j.priority),
                !within.contains(&j.id),
                j.acceptance_revision,
            )
        });
        let mut queue: Vec<Work> = vec![];
        // Whose aims the times of each work are.
        let mut whose: Vec<Vec<(JobId, Vec<usize>)>> = vec![];
        let mut alike = BTreeMap::new();
        let mut last: BTreeMap<&str, &Job> = BTreeMap::new();
        for job in waiting {
            let class = job.spec.class.as_str();
            if last
                .get(class)
                .is_none_or(|l| l.acceptance_revision < job.acceptance_revision)
            {
                last.insert(class, job);
            }
            let team = left.entry(&job.spec.team).or_insert_with(|| {
                let of_team = held.get(&job.spec.team).map_or(0.0, |usage| usage.cpus);
                (cluster.limits(&job.spec.team).0 - of_team).max(0.0)
            });
            let cores = (job.waiting.len() as f64 * effective_cores(&job.spec, cluster)).min(*team);
            *team -= cores;
            if cores <= 0.0 {
                continue;
            }
            let run_s = self.expected_s(job) + fetch_s(job);
            let age = now.since(job.arrived_at).secs();
            let mut dues: Vec<Due> = vec![];
            let mut numbers = vec![];
            let mut most: f64 = 0.0;
            for aim in job.objectives.iter().flatten() {
                let worth = worth(class, aim);
                most = most.max(worth);
                let start_by_s = aim.due_s - age - if aim.starts { fetch_s(job) } else { run_s };
                if start_by_s >= 0.0 {
                    dues.push(Due { start_by_s, worth });
                    numbers.push(aim.number);
                }
            }
            if dues.is_empty() {
                dues.push(Due {
                    start_by_s: AT_LAST_S,
                    worth: most * AT_LAST,
                });
            }
            // Small jobs that came together are looked at together: there may be
            // thousands.
            let small = (cores <= SMALL).then(|| {
                let moment = (age / TOGETHER_S) as u64;
                (job.priority, within.contains(&job.id), class, moment, dues.len())
            });
            let like = small.and_then(|key| alike.get(&key).copied());
            let like = like.or((queue.len() >= JOBS).then(|| queue.len() - 1));
            if let Some(like) = like {
                queue[like].cores += cores;
                whose[like].push((job.id.clone(), numbers));
                for (sum, due) in queue[like].dues.iter_mut().zip(&dues) {
                    sum.worth += due.worth;
                }
                continue;
            }
            if let Some(key) = small {
                alike.insert(key, queue.len());
            }
            whose.push(vec![(job.id.clone(), numbers)]);
            queue.push(Work {
                cores,
                run_s,
                from_s: 0.0,
                dues,
            });
        }
        if queue.is_empty() {
            return Default::default();
        }
        // What is expected to come meanwhile takes its part of the room.
        for (class, job) in last {
            let inflow = self.slo.inflow(class, now);
            let run_s = inflow.run_s * self.slo.bias(class) + fetch_s(job);
            let mut from_s = PART_S / 2.0;
            while from_s < EXPECTED_S {
                let dues = job.objectives.iter().flatten().map(|aim| Due {
                    start_by_s: from_s + aim.due_s - if aim.starts { fetch_s(job) } else { run_s },
                    worth: worth(class, aim) * inflow.jobs_per_s * PART_S,
                });
                queue.push(Work {
                    cores: inflow.cores_per_s * PART_S,
                    run_s,
                    from_s,
                    dues: dues.collect(),
                });
                from_s += PART_S;
            }
        }

        let mut supply = Supply {
            free: -ordinary,
            coming: vec![],
        };
        let quiet = Self::work_silence(cluster);
        for m in self.machines.values().filter(|m| !self.failures.zones.is_cut(&m.zone)) {
            let Some(t) = cluster.catalogue.get(&m.machine_type) else {
                continue;
            };
            if m.state == MachineState::Booting {
                let age = now.since(m.known_since);
                let counted = self.provisioning.boot_times.pace(m).counted(age, t.boot_s);
                let ready_s = (t.boot_s * BOOTS - age.secs()).max(1.0);
                supply.coming.push((ready_s, t.cpus * counted));
            } else if m.accepts_work(now, quiet) {
                supply.free += t.cpus - m.used.cpus;
                for (id, task) in &m.tasks {
                    let Some(job) = self.jobs.get(id).filter(|j| !j.is_service()) else {
                        continue;
                    };
                    let Some(p) = job.placements.get(task) else { continue };
                    let run_s = self.expected_s(job) + fetch_s(job);
                    let ran_s = now.since(p.placed_at).secs();
                    supply.coming.push(((run_s - ran_s).max(2.0), job.spec.cpus));
                }
            }
        }
        for claim in self
            .provisioning
            .coming()
            .filter(|c| !self.failures.zones.is_cut(&c.zone))
        {
            if let Some(t) = cluster.catalogue.get(&claim.machine_type) {
                let cores = t.cpus * f64::from(claim.count);
                supply.coming.push((t.boot_s * BOOTS, cores));
            }
        }
        let offer = Offer {
            ready_s: boot_s,
            price,
            idle_s: cluster.settings.operator.idle_s,
            most: 1e9,
        };
        let advice = advise(&queue, &supply, &offer);
        if advice.cores > 0.0 {
            tracing::debug!(
                cores = advice.cores,
                saves = advice.saves,
                costs = advice.costs,
                "ordinary machines are worth it"
            );
        }
        let mut promises = vec![];
        for (work, due) in &advice.saved {
            for (job, numbers) in whose.get(*work).into_iter().flatten() {
                promises.extend(numbers.get(*due).map(|number| (job.clone(), *number)));
            }
        }
        (advice, promises)
    }

    /// A rental was made on the promise that these jobs keep these times: what comes
    /// of it tells how far such projections are to be believed.
    pub fn promise(&mut self, promises: Promises) {
        for (id, number) in promises {
            let aims = self.jobs.get_mut(&id).and_then(|j| j.objectives.as_mut());
            for aim in aims.into_iter().flatten().filter(|a| a.number == number) {
                aim.promised = true;
            }
        }
    }
}

/// Jobs and the numbers of their aims.
pub type Promises = Vec<(JobId, usize)>;

/// Projections are believed while so much of what they promised came true.
const BELIEVED: f64 = 0.5;

/// A class counts as if a job of it came at least this often, in seconds.
const NO_OFTENER_S: f64 = 20.0;
