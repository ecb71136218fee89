//! What has to hold at every moment, looked at while the leader runs. A broken invariant is an
//! error line with the decisions that led to it; it never ends the process.

use super::book::{Job, Leader, Stage};
use super::placement::unexplained;
use super::Site;
use crate::time::Micros;
use std::collections::BTreeMap;

/// How often the leader looks.
const EVERY: Micros = Micros::from_millis(2000);
/// Sums of cores differ by less than this from what they should be.
const ROUNDING: f64 = 1e-6;

/// CPUs and GPUs of tasks that machines list.
type Listed = (f64, f64);

impl Leader {
    /// Looks at the invariants when it is time.
    pub fn look_at_invariants(&mut self, site: &Site, now: Micros) {
        if now < self.next_invariants {
            return;
        }
        self.next_invariants = now + EVERY;
        self.look_at_limits(site);
        let miscounted = self.jobs.values().filter(|job| !is_counted_right(job)).count();
        self.broken_invariants += miscounted as u64;
    }

    /// No team's tasks, as machines list them since this leadership began, exceed its limit. What an
    /// earlier report says may have ended before something else began.
    fn look_at_limits(&mut self, site: &Site) {
        let listed = self.listed_use();
        let exceeds = |team: &str| {
            let (cpus, gpus) = listed.get(team).copied().unwrap_or_default();
            let (max_cpus, max_gpus) = site.limits(team);
            cpus > max_cpus + ROUNDING || gpus > max_gpus + ROUNDING
        };
        let over: Vec<String> = listed.keys().filter(|team| exceeds(team)).cloned().collect();
        for team in &over {
            if self.over_limit.insert(team.clone()) {
                self.broken_invariants += 1;
                self.tell_over_limit(site, team, listed[team]);
            }
        }
        self.over_limit.retain(|team| over.contains(team));
    }

    /// What machines list, by team, with a record or without.
    fn listed_use(&self) -> BTreeMap<String, Listed> {
        let mut listed: BTreeMap<String, Listed> = BTreeMap::new();
        let mut add = |team: &str, cpus: f64, gpus: f64| {
            let held = listed.entry(team.to_string()).or_default();
            held.0 += cpus;
            held.1 += gpus;
        };
        for job in self.jobs.values().filter(|job| job.held > 0) {
            let confirmed = job.placed.values().filter(|placement| {
                let machine = self.machines.get(&placement.machine);
                let is_current = machine.is_some_and(|machine| machine.fence >= self.first_term);
                is_current && matches!(placement.stage, Stage::Seen(_))
            });
            let count = confirmed.count() as f64;
            add(&job.spec.team, count * job.spec.cpus, count * job.spec.gpus);
        }
        for spec in unexplained(&self.jobs, &self.machines) {
            add(&spec.team, spec.cpus, spec.gpus);
        }
        listed
    }

    fn tell_over_limit(&self, site: &Site, team: &str, listed: Listed) {
        let limit = site.limits(team);
        tracing::error!(
            team,
            term = self.term,
            since_term = self.first_term,
            ?listed,
            ?limit,
            "machines list more of a team's tasks than its limit allows"
        );
        for decision in self.decisions.of_team(team) {
            tracing::info!(team, ?decision, "a decision before it");
        }
    }
}

/// What is counted of a job as it changes is what its records say.
fn is_counted_right(job: &Job) -> bool {
    let records = job.holding().count();
    let right = records == job.held as usize;
    if !right {
        tracing::error!(job = %job.id, held = job.held, records, "a job's count differs from its records");
    }
    right
}
