//! The account of one class or team.

use crate::{Decayed, Inflow};
use glenhaven_time::Micros;
use hdrhistogram::Histogram;

/// Waits are told apart up to this many seconds, to two digits.
const LONGEST_MS: u64 = 3_600_000;
const DIGITS: u8 = 2;
/// Aims of a class that are counted.
const AIMS: usize = 16;
/// Run times may differ so much from their estimates.
const BIAS: (f64, f64) = (0.4, 2.5);
/// A projection is believed like one that was right so many times.
const PROMISES: f64 = 2.0;
/// So many tasks make a bias known.
const RUNS: f64 = 5.0;

/// What a class or team asked for, got and waited for lately.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub name: String,
    /// Cores of jobs that came, and of tasks that started, a second.
    pub asked: f64,
    pub got: f64,
    /// Waits of the tasks that started, in seconds: the median, and that of one in
    /// a hundred.
    pub wait_p50_s: f64,
    pub wait_p99_s: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    jobs: Decayed,
    cores: Decayed,
    run: Decayed,
    got: Decayed,
    estimated: Decayed,
    ran: Decayed,
    runs: Decayed,
    aims: Vec<(Decayed, Decayed)>,
    waits: Waits,
    /// Times that a projection said would be kept, and those that were.
    promised: Decayed,
    came_true: Decayed,
}

/// Waits of this half life and the one before.
#[derive(Clone, Debug, Default)]
struct Waits {
    now: Option<Histogram<u32>>,
    before: Option<Histogram<u32>>,
    since: Micros,
}

impl Waits {
    fn add(&mut self, waited: Micros, half_life: Micros, now: Micros) {
        if now.since(self.since) > half_life {
            self.before = self.now.take();
            self.since = now;
        }
        if self.now.is_none() {
            self.now = Histogram::new_with_max(LONGEST_MS, DIGITS).ok();
        }
        if let Some(h) = &mut self.now {
            h.saturating_record((waited.0 / 1000).max(1));
        }
    }

    fn quantile_s(&self, q: f64) -> f64 {
        let mut all = match (&self.now, &self.before) {
            (Some(now), _) => now.clone(),
            (None, Some(before)) => return before.value_at_quantile(q) as f64 / 1000.0,
            (None, None) => return 0.0,
        };
        if let Some(before) = &self.before {
            all.add(before).ok();
        }
        all.value_at_quantile(q) as f64 / 1000.0
    }
}

impl Line {
    pub fn arrived(&mut self, cores: f64, run_s: f64, age: Micros, half_life: Micros, now: Micros) {
        let left = 0.5f64.powf(age.secs() / half_life.secs().max(1e-6));
        self.jobs.add(left, half_life, now);
        self.cores.add(cores * left, half_life, now);
        self.run.add(run_s * left, half_life, now);
    }

    pub fn started(&mut self, cores: f64, waited: Micros, half_life: Micros, now: Micros) {
        self.got.add(cores, half_life, now);
        self.waits.add(waited, half_life, now);
    }

    pub fn promised(&mut self, kept: bool, half_life: Micros, now: Micros) {
        self.promised.add(1.0, half_life, now);
        self.came_true.add(if kept { 1.0 } else { 0.0 }, half_life, now);
    }

    pub fn trust(&self, half_life: Micros, now: Micros) -> f64 {
        let get = |d: &Decayed| d.get(half_life, now) + PROMISES;
        (get(&self.came_true) / get(&self.promised)).min(1.0)
    }

    pub fn judged(&mut self, number: usize, kept: bool, half_life: Micros, now: Micros) {
        if number >= AIMS {
            return;
        }
        if self.aims.len() <= number {
            self.aims.resize(number + 1, Default::default());
        }
        let (yes, no) = &mut self.aims[number];
        if kept { yes } else { no }.add(1.0, half_life, now);
    }

    pub fn judgement(&self, number: usize, half_life: Micros, now: Micros) -> Option<(f64, f64)> {
        let (yes, no) = self.aims.get(number)?;
        Some((yes.get(half_life, now), no.get(half_life, now)))
    }

    pub fn ran(&mut self, estimated_s: f64, ran_s: f64, half_life: Micros, now: Micros) {
        if estimated_s > 0.0 && ran_s.is_finite() {
            self.estimated.add(estimated_s, half_life, now);
            self.ran.add(ran_s.max(0.0), half_life, now);
            self.runs.add(1.0, half_life, now);
        }
    }

    pub fn bias(&self) -> f64 {
        // All three decay alike, so their ratios need no time.
        let at = Micros::ZERO;
        let forever = Micros(u64::MAX);
        let (estimated, ran) = (self.estimated.get(forever, at), self.ran.get(forever, at));
        if self.runs.get(forever, at) < RUNS || estimated <= 0.0 {
            return 1.0;
        }
        (ran / estimated).clamp(BIAS.0, BIAS.1)
    }

    pub fn inflow(&self, half_life: Micros, now: Micros) -> Inflow {
        let jobs = self.jobs.get(half_life, now);
        Inflow {
            jobs_per_s: self.jobs.rate(half_life, now),
            cores_per_s: self.cores.rate(half_life, now),
            run_s: if jobs > 0.0 {
                self.run.get(half_life, now) / jobs
            } else {
                0.0
            },
        }
    }

    pub fn row(&self, name: &str, half_life: Micros, now: Micros) -> Row {
        Row {
            name: name.to_string(),
            asked: self.cores.rate(half_life, now),
            got: self.got.rate(half_life, now),
            wait_p50_s: self.waits.quantile_s(0.5),
            wait_p99_s: self.waits.quantile_s(0.99),
        }
    }
}
