//! The report of an experiment: `report.json`, `samples.csv` and the summary.

use crate::cluster::EmulatedCluster;
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use crate::plots;
use crate::samples::Sample;
use crate::scheduled_failures::LostLeader;
use crate::users;
use glenhaven::protocol::users::Priority;
use glenhaven_fakes::user::{job_of, User};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Significant decimal digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Time after the boots of the initial machines from which samples count, in seconds.
const SETTLING_TIME_S: f64 = 5.0;
/// Longest time for which requests about an accepted job may remain unanswered, in seconds.
const MAX_SILENCE_S: u64 = 75;

/// A controller that exited without being killed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ControllerExit {
    pub node: usize,
    pub at_s: f64,
}

/// Data collected while an experiment ran.
pub(crate) struct Observed {
    pub samples: Vec<Sample>,
    pub ended: Vec<ControllerExit>,
    /// Number of answers in the audit at the end; `None` if the audit took too long.
    pub audited: Option<usize>,
    pub lost: Vec<LostLeader>,
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Times {
    pub count: u64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    /// Pairs of a quantile and its time in milliseconds, for plots.
    pub curve: Vec<(f64, f64)>,
}

/// Resource use of the controllers in one role.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Role {
    pub samples: usize,
    pub cpu_mean: f64,
    pub cpu_max: f64,
    pub memory_mb_max: f64,
    pub sockets_max: usize,
    /// Bytes per second received and sent, without traffic between controllers.
    pub received_mean: f64,
    pub sent_mean: f64,
    pub workers_received_mean: f64,
    pub workers_sent_mean: f64,
}

/// Numbers of jobs by outcome, and of their tasks.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Jobs {
    pub submitted: usize,
    pub accepted: usize,
    pub refused: usize,
    pub done: usize,
    pub cancelled: usize,
    pub tasks: u64,
    pub tasks_never_started: u64,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub name: String,
    pub experiment: Experiment,
    pub seconds: f64,
    /// Rules of the protocol that were broken.
    pub broken: Vec<String>,
    /// Invalid requests that the state service or the cloud received.
    pub problems: Vec<String>,
    pub controllers_ended: Vec<ControllerExit>,
    pub longest_silence_s: u64,
    pub audited_answers: Option<usize>,
    pub starts: u64,
    pub starts_a_second: f64,
    pub running_mean: f64,
    pub machines_mean: f64,
    pub lease_kills: usize,
    pub stops: usize,
    pub state_requests_a_second: f64,
    pub state_changes_a_second: f64,
    pub state_refused: u64,
    pub cloud_calls: u64,
    pub jobs: Jobs,
    pub times: BTreeMap<&'static str, Times>,
    pub leader: Role,
    pub follower: Role,
    #[serde(skip)]
    samples: Vec<Sample>,
}

impl Report {
    /// Returns whether all rules held, no controller exited by itself, requests about jobs and the
    /// audit were answered in time, and at least one task was started.
    pub(crate) fn holds(&self) -> bool {
        self.broken.is_empty()
            && self.problems.is_empty()
            && self.controllers_ended.is_empty()
            && self.longest_silence_s <= MAX_SILENCE_S
            && self.audited_answers.is_some()
            && self.starts > 0
    }

    /// Summarizes the report in a few lines.
    pub(crate) fn summary(&self) -> String {
        let mut text = format!(
            "{}: {} in {:.0} s; {} starts, {:.1} a second; {} of {} jobs accepted, {} done\n",
            self.name,
            if self.holds() { "rules hold" } else { "FAILED" },
            self.seconds,
            self.starts,
            self.starts_a_second,
            self.jobs.accepted,
            self.jobs.submitted,
            self.jobs.done,
        );
        for (name, role) in [("leader", &self.leader), ("follower", &self.follower)] {
            let _ = writeln!(
                text,
                "{name}: cpu mean {:.3}, max {:.3}; memory {:.0} MB; sockets {}; received {:.0}, sent {:.0} bytes a second",
                role.cpu_mean, role.cpu_max, role.memory_mb_max, role.sockets_max, role.received_mean, role.sent_mean
            );
        }
        for (name, times) in &self.times {
            let _ = writeln!(
                text,
                "{name}: {} times, p50 {:.1}, p99 {:.1}, max {:.1} ms",
                times.count, times.p50_ms, times.p99_ms, times.max_ms
            );
        }
        for violation in self.broken.iter().chain(&self.problems) {
            let _ = writeln!(text, "broken: {violation}");
        }
        for ended in &self.controllers_ended {
            let _ = writeln!(text, "controller {} ended by itself at {:.1} s", ended.node, ended.at_s);
        }
        if self.longest_silence_s > MAX_SILENCE_S {
            let _ = writeln!(
                text,
                "requests about a job were not answered for {} s",
                self.longest_silence_s
            );
        }
        if self.audited_answers.is_none() {
            text.push_str("the audit at the end did not finish in time\n");
        }
        text
    }
}

/// Builds a histogram of times in microseconds.
fn histogram(times: impl Iterator<Item = u64>) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).ok()?;
    for time in times {
        histogram.record(time).ok()?;
    }
    Some(histogram)
}

/// Summarizes times in microseconds; `None` if there are none.
fn times(values: impl Iterator<Item = u64>) -> Option<Times> {
    let histogram = histogram(values).filter(|h| !h.is_empty())?;
    let ms = |micros: u64| micros as f64 / 1e3;
    let steps = histogram.iter_quantiles(2);
    Some(Times {
        count: histogram.len(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p90_ms: ms(histogram.value_at_quantile(0.9)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
        curve: steps
            .map(|step| (step.quantile_iterated_to(), ms(step.value_iterated_to())))
            .collect(),
    })
}

/// Summarizes the samples of one role, without samples before `settled`.
fn role(samples: &[Sample], leads: bool, settled: f64) -> Role {
    let of_role = || samples.iter().filter(|s| s.leads == leads && s.at_s >= settled);
    let count = of_role().count();
    let mean = |value: fn(&Sample) -> f64| of_role().map(value).sum::<f64>() / count.max(1) as f64;
    Role {
        samples: count,
        cpu_mean: mean(|s| s.cpu),
        cpu_max: of_role().map(|s| s.cpu).fold(0.0, f64::max),
        memory_mb_max: of_role().map(|s| s.memory_kb).max().unwrap_or(0) as f64 / 1024.0,
        sockets_max: of_role().map(|s| s.sockets).max().unwrap_or(0),
        received_mean: mean(|s| s.workers_in + s.users_in + s.state_in + s.cloud_in),
        sent_mean: mean(|s| s.workers_out + s.users_out + s.state_out + s.cloud_out),
        workers_received_mean: mean(|s| s.workers_in),
        workers_sent_mean: mean(|s| s.workers_out),
    }
}

/// Counts jobs and tasks by outcome.
fn jobs(users: &BTreeMap<String, User>, first_start: &BTreeMap<String, u64>) -> Jobs {
    let count = |which: fn(&User) -> bool| users.values().filter(|u| which(u)).count();
    let wanted = users.values().filter(|u| u.accepted.is_some() && !u.wants_abort);
    let tasks: u64 = wanted.clone().map(|u| u64::from(u.spec.tasks)).sum();
    let started = |task: &&String| users.get(job_of(task)).is_some_and(|u| !u.wants_abort);
    let started = first_start.keys().filter(started).count() as u64;
    Jobs {
        submitted: count(|u| u.submitted),
        accepted: count(|u| u.accepted.is_some()),
        refused: count(|u| u.refused.is_some()),
        done: count(|u| u.done.is_some()),
        cancelled: count(|u| u.cancelled.is_some()),
        tasks,
        tasks_never_started: tasks.saturating_sub(started),
    }
}

/// Returns the time from the first submission to the start of each started task, in microseconds.
fn wait_times(users: &BTreeMap<String, User>, first_start: &BTreeMap<String, u64>, urgent: bool) -> Vec<u64> {
    let wait = |(task, at): (&String, &u64)| {
        let user = users.get(job_of(task))?;
        let is_urgent = user.spec.priority == Priority::High;
        let asked = user.first_asked.filter(|_| is_urgent == urgent)?;
        Some(at.saturating_sub(asked))
    };
    first_start.iter().filter_map(wait).collect()
}

/// Builds the report of an experiment.
pub(crate) fn build(cluster: &EmulatedCluster, observed: &Observed) -> Report {
    let silence = users::longest_silence(cluster);
    let fleet = cluster.fleet();
    let store = cluster.store();
    let experiment = &cluster.experiment;
    let settled = experiment.workers.ramp_s + SETTLING_TIME_S;
    let samples = &observed.samples;
    let settled_samples: Vec<&Sample> = samples.iter().filter(|s| s.at_s >= settled).collect();
    let mean = |value: fn(&Sample) -> f64| {
        settled_samples.iter().map(|s| value(s)).sum::<f64>() / settled_samples.len().max(1) as f64
    };
    let accepted = fleet.users.values().filter_map(|u| Some(u.accepted? - u.first_asked?));
    // Time from the kill of a leader to the first response of a later leader that a worker accepts.
    let takeovers = observed.lost.iter().filter_map(|lost| {
        let next = fleet
            .terms
            .iter()
            .find(|term| term.fencing_token > lost.fencing_token)?;
        Some(next.at.saturating_sub(lost.at))
    });
    let first = &fleet.rules.first_start;
    let all = [
        ("submit", times(accepted)),
        ("start_urgent", times(wait_times(&fleet.users, first, true).into_iter())),
        ("start_other", times(wait_times(&fleet.users, first, false).into_iter())),
        ("takeover", times(takeovers)),
    ];
    let seconds = cluster.now() as f64 / 1e6;
    let requests: u64 = store.requests_by_second.values().sum();
    Report {
        name: experiment.name.clone(),
        experiment: experiment.clone(),
        seconds,
        broken: fleet.rules.broken.clone(),
        problems: store.problems.iter().chain(&fleet.cloud.problems).cloned().collect(),
        controllers_ended: observed.ended.clone(),
        longest_silence_s: silence,
        audited_answers: observed.audited,
        starts: fleet.rules.starts,
        starts_a_second: mean(|s| s.starts),
        running_mean: mean(|s| s.running as f64),
        machines_mean: mean(|s| s.machines as f64),
        lease_kills: fleet.rules.lease_kills,
        stops: fleet.rules.stops,
        state_requests_a_second: requests as f64 / seconds,
        state_changes_a_second: store.changes as f64 / seconds,
        state_refused: store.refused,
        cloud_calls: fleet.cloud.calls,
        jobs: jobs(&fleet.users, first),
        times: all.into_iter().filter_map(|(name, t)| Some((name, t?))).collect(),
        leader: role(samples, true, settled),
        follower: role(samples, false, settled),
        samples: samples.clone(),
    }
}

/// Writes `report.json`, `samples.csv` and the plots into `dir`.
pub(crate) fn write(report: &Report, dir: &Path) -> Result<(), EmulatorError> {
    let write = |name: &str, text: String| {
        let path = dir.join(name);
        std::fs::write(&path, text).map_err(|source| EmulatorError::Unwritable { path, source })
    };
    let json = serde_json::to_string_pretty(report).map_err(|e| EmulatorError::Other(e.to_string()))?;
    write("report.json", json)?;
    write("samples.csv", csv(&report.samples))?;
    plots::draw(dir, &report.samples, &report.times)
}

/// Formats samples as CSV.
fn csv(samples: &[Sample]) -> String {
    let mut text = String::from(
        "at_s,node,leads,cpu,memory_kb,sockets,workers_in,workers_out,users_in,users_out,\
         state_in,state_out,cloud_in,cloud_out,starts,running,machines,open_jobs\n",
    );
    for s in samples {
        let _ = writeln!(
            text,
            "{:.2},{},{},{:.3},{},{},{:.0},{:.0},{:.0},{:.0},{:.0},{:.0},{:.0},{:.0},{:.1},{},{},{}",
            s.at_s,
            s.node,
            s.leads,
            s.cpu,
            s.memory_kb,
            s.sockets,
            s.workers_in,
            s.workers_out,
            s.users_in,
            s.users_out,
            s.state_in,
            s.state_out,
            s.cloud_in,
            s.cloud_out,
            s.starts,
            s.running,
            s.machines,
            s.open_jobs
        );
    }
    text
}
