//! Scenario files: what the world is like, what happens, what is expected.

use super::one_way_faults::OneWayFault;
use super::SEC;
use glenhaven::protocol::cloud::MachineType;
use glenhaven::protocol::users::{JobSpec, Priority, Shape};
use glenhaven::settings::{AnnouncedLimits, Peer, Settings, Team};
use glenhaven_fakes::cloud::Cloud;
pub(crate) use glenhaven_fakes::user::plain_spec;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub(crate) enum Act {
    Submit(Box<JobSpec>),
    /// A job that an earlier version of the service accepted, by a key of its own.
    Inherit(Box<JobSpec>),
    Abort(String),
    Resubmit(String),
    AskUnknown(String),
    Crash(String),
    /// The next controller that writes a key that begins like this ends between the
    /// commit and its answer.
    CrashOn(String),
    StateOut,
    /// One node alone is refused by the state service; MAX: the leader.
    StateDeaf(usize),
    CloudOut,
    /// Transactions go unanswered; half are executed this much later.
    LoseTxn(u64),
    /// So large a share of transactions gets no answer and is executed 2 to 12 s later,
    /// after newer ones; of those that write a key that begins like this.
    LateWrites(f64, String),
    /// Of so large a share of reports a copy arrives again, after 2 s to well over a lease.
    LateReports(f64),
    /// Direct orders arrive this much later.
    HoldDirect(u64),
    Cut(usize),
    ZoneCut(String, String),
    /// A zone is cut off from everything outside it.
    ZoneOff(String),
    Hang(usize),
    Kill(usize),
    Notice(u64),
    Faulty(usize),
    /// Tasks take four times as long on so many machines.
    Slow(usize),
    /// A machine that nobody expects.
    Ghost,
    /// A controller stands still, its clocks running on.
    Freeze(String),
    /// The next controller that asks for a lease stands still.
    FreezeOnGrant,
    /// A controller is cut off from `all`, `state`, `workers` or `peers`.
    NodeCut(String, String),
    /// Connections between controllers are refused.
    PeersRefuse,
    /// Packets from one end to another are lost.
    LinkCut(super::links::End, super::links::End),
    /// So many machines get no answers and no commands; their reports arrive.
    Deaf(usize),
    /// Answers to reports take up to this much longer.
    SlowAnswers(u64),
    /// Copies of all reports arrive this much later.
    Copies(u64),
    /// Machines rented now boot so many times as long; 0: never.
    BootTimes(f64),
    /// Users ask so many times as often.
    Storm(u64),
    /// A controller is said to run the release before the present one.
    OldRelease(String),
    /// A key of the state service holds something that can't be read.
    Garbage(String),
    /// The state service has its lower limits from now on.
    StateLimits,
    /// So many jobs that run and have long to go are called off within a fifth of a second,
    /// up to eight of their machines hanging for so long.
    CancelNow(usize, Option<u64>),
    /// So large a share of the jobs that end is called off at the moment of the end.
    CancelAtEnd(f64),
    /// Users repeat unfinished submissions, cancel done jobs and send what can't be accepted.
    OddRequests,
    /// Users ask all nodes at once, again and again, when a job is accepted, ends or is cancelled.
    CloseLooks,
    OneWayFault(OneWayFault),
}

#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub at: u64,
    pub lasts: Option<u64>,
    pub act: Act,
    pub run_s: f64,
    /// The job fails on every machine.
    pub mistake: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Expect {
    Done(String, u64),
    Cancelled(String, u64),
    /// Pages of the book ever used.
    Book(usize),
    /// The state service says at the end that it is withdrawn.
    Withdrawn(String),
    Started(String, u64),
    Replicas(String, usize),
    Refused(String, u16),
    /// Replica seconds that a service missed once all its replicas had run.
    Missed(String, u64),
    /// Every job is accepted within so many seconds.
    AcceptedWithin(u64),
    Rented(usize),
    LeaseKills(usize),
    LeaseKillsAtLeast(usize),
    /// Running tasks stopped without their job being cancelled.
    Stops(usize),
    Terms(u64),
    TermsAtMost(u64),
    /// Tasks that failed.
    Failures(usize),
    /// Changes made in the state service.
    Changes(u64),
    /// Machines ever rented.
    RentedInAll(usize),
    /// Calls made to the cloud.
    CloudCalls(u64),
    /// Messages that `troubles.rs` lost, held up or copied: its verbs reach something.
    Met(usize),
}

pub(crate) struct Script {
    pub seed: u64,
    pub until: u64,
    pub base: Settings,
    pub zones: Vec<String>,
    pub types: Vec<MachineType>,
    pub capacity: u32,
    pub dead_boots: u32,
    /// Packets between hosts that can't reach each other are held back, and delivered
    /// when they can.
    pub held_packets: bool,
    pub steps: Vec<Step>,
    pub expect: Vec<Expect>,
}

const BASE: &str = r#"
node = "node-0"
zone = "a"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
teams = []
[params.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 40.0
[params.state]
rps = 250.0
write_rps = 100.0
value_kb = 32.0
txn_ops = 32
[params.cloud]
rps = 5.0
list_lag_s = 8.0
[params.resources]
cpu = 0.2
mem_mb = 100.0
sockets = 500
"#;

fn secs(text: &str) -> Result<u64, String> {
    let s: f64 = text
        .parse()
        .map_err(|_| format!("\"{text}\" is not a number of seconds"))?;
    Ok((s * SEC as f64) as u64)
}

/// A line's words, and what it names as `name=value`.
pub(crate) struct Words<'a> {
    plain: Vec<&'a str>,
    pub named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    pub(crate) fn num<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.named.get(name) {
            None => Ok(default),
            Some(v) => v.parse().map_err(|_| format!("{name}: \"{v}\"")),
        }
    }
    pub(crate) fn word(&self, i: usize) -> Result<&'a str, String> {
        self.plain
            .get(i)
            .copied()
            .ok_or_else(|| "a word is missing".to_string())
    }
    pub(crate) fn has(&self, word: &str) -> bool {
        self.plain.contains(&word)
    }
}

impl Script {
    /// A worker's lease.
    pub(crate) fn lease(&self) -> u64 {
        (self.base.params.workers.lease_s * SEC as f64) as u64
    }

    /// When the last trouble is over.
    pub(crate) fn calm_from(&self) -> u64 {
        let quiet = |a: &Act| {
            use Act::*;
            matches!(
                a,
                Submit(_) | Inherit(_) | Abort(_) | Resubmit(_) | AskUnknown(_) | Ghost
            )
        };
        let over = |s: &Step| match &s.act {
            // Copies come after the trouble that made them.
            Act::Copies(late) => s.at + s.lasts.unwrap_or(0) + late,
            Act::LateReports(_) => s.at + s.lasts.unwrap_or(0) + 2 * self.lease(),
            Act::LateWrites(..) | Act::LoseTxn(_) => s.at + s.lasts.unwrap_or(0) + 12 * SEC,
            Act::HoldDirect(late) => s.at + s.lasts.unwrap_or(0) + late,
            Act::CancelNow(_, hangs) => s.at + hangs.unwrap_or(0) + SEC,
            Act::OneWayFault(trouble) => s.at + s.lasts.unwrap_or(0) + trouble.lingers(),
            Act::Crash(_) | Act::CrashOn(_) => s.at + s.lasts.unwrap_or(3 * SEC),
            _ => s.at + s.lasts.unwrap_or(0),
        };
        self.steps
            .iter()
            .filter(|s| !quiet(&s.act))
            .map(over)
            .max()
            .unwrap_or(0)
    }

    pub(crate) fn parse(text: &str) -> Result<Script, String> {
        let mut s = Script {
            seed: 1,
            until: 120 * SEC,
            base: Settings::parse(BASE)?,
            zones: vec!["a".into(), "b".into(), "a".into()],
            types: vec![],
            capacity: 20,
            dead_boots: 0,
            held_packets: false,
            steps: vec![],
            expect: vec![],
        };
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if !line.is_empty() {
                s.line(line).map_err(|e| format!("line {}: {e}", n + 1))?;
            }
        }
        if s.base.params.teams.is_empty() {
            s.team("blue", 0.0, 0.0);
        }
        if s.types.is_empty() {
            s.machine_type("m", 16.0, 64.0, 20.0, 0.5);
        }
        Ok(s)
    }

    fn team(&mut self, name: &str, cpus: f64, cpus_max: f64) {
        self.base.params.teams.push(Team {
            name: name.into(),
            cpus,
            cpus_max,
            ..Team::default()
        });
    }

    fn machine_type(&mut self, name: &str, cpus: f64, memory: f64, boot_s: f64, fetch_gb_per_s: f64) {
        let mut zones = self.zones.clone();
        zones.sort();
        zones.dedup();
        self.types.push(MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory,
            cache_gb: 20.0,
            fetch_gb_per_s,
            price: cpus * 0.06,
            spot_price: cpus * 0.02,
            boot_s,
            zones,
        });
    }

    fn line(&mut self, line: &str) -> Result<(), String> {
        let mut words = Words {
            plain: vec![],
            named: BTreeMap::new(),
        };
        for word in line.split_whitespace() {
            match word.split_once('=') {
                Some((k, v)) => {
                    words.named.insert(k, v);
                }
                None => words.plain.push(word),
            }
        }
        let w = words;
        let p = &mut self.base.params;
        match w.word(0)? {
            "seed" => self.seed = w.word(1)?.parse().map_err(|_| "seed")?,
            "until" => self.until = secs(w.word(1)?)?,
            "nodes" => self.zones = w.plain[1..].iter().map(|z| z.to_string()).collect(),
            "list-lag" => p.cloud.list_lag_s = w.word(1)?.parse().map_err(|_| "list-lag")?,
            "held-packets" => self.held_packets = true,
            "capacity" => self.capacity = w.word(1)?.parse().map_err(|_| "capacity")?,
            "dead-boots" => self.dead_boots = w.word(1)?.parse().map_err(|_| "dead-boots")?,
            "workers" => {
                p.workers.report_s = w.num("report", p.workers.report_s)?;
                p.workers.lease_s = w.num("lease", p.workers.lease_s)?;
                p.workers.cancel_s = w.num("cancel", p.workers.cancel_s)?;
            }
            "state" => {
                p.state.rps = w.num("rps", p.state.rps)?;
                p.state.write_rps = w.num("writes", p.state.write_rps)?;
                p.state.value_kb = w.num("value_kb", p.state.value_kb)?;
                p.state.txn_ops = w.num("ops", p.state.txn_ops)?;
            }
            // What is announced for later.
            "state-next" => {
                p.state.next = Some(AnnouncedLimits {
                    write_rps: Some(w.num("writes", p.state.write_rps)?),
                    value_kb: Some(w.num("value_kb", p.state.value_kb)?),
                    txn_ops: Some(w.num("ops", p.state.txn_ops)?),
                });
            }
            "team" => {
                let (cpus, max) = (w.num("cpus", 0.0)?, w.num("max", 0.0)?);
                self.team(w.word(1)?, cpus, max);
            }
            "type" => {
                let (cpus, mem, boot) = (w.num("cpus", 16.0)?, w.num("mem", 64.0)?, w.num("boot", 20.0)?);
                self.machine_type(w.word(1)?, cpus, mem, boot, w.num("fetch", 0.5)?);
            }
            "at" => {
                let at = secs(w.word(1)?)?;
                let lasts = match w.plain.iter().position(|x| *x == "for") {
                    Some(i) => Some(secs(w.word(i + 1)?)?),
                    None => None,
                };
                let run_s = w.num("run", 10.0)?;
                let count = || w.word(3).and_then(|x| x.parse().map_err(|_| "count".to_string()));
                let act = match w.word(2)? {
                    "submit" => Act::Submit(Box::new(Self::spec(&w)?)),
                    "inherit" => Act::Inherit(Box::new(Self::spec(&w)?)),
                    "abort" => Act::Abort(w.word(3)?.into()),
                    "resubmit" => Act::Resubmit(w.word(3)?.into()),
                    "ask-unknown" => Act::AskUnknown(w.word(3)?.into()),
                    "crash" => Act::Crash(w.word(3)?.into()),
                    "crash-on" => Act::CrashOn(w.word(3)?.into()),
                    "state-out" => Act::StateOut,
                    "state-deaf" => Act::StateDeaf(w.word(3)?.parse().unwrap_or(usize::MAX)),
                    "cloud-out" => Act::CloudOut,
                    "lose-txn" => Act::LoseTxn(secs(w.word(3)?)?),
                    "late-writes" if !w.has("at-once") => {
                        let prefix = w.named.get("key").unwrap_or(&"");
                        Act::LateWrites(w.word(3)?.parse().map_err(|_| "share")?, prefix.to_string())
                    }
                    "late-reports" if !w.has("for-next") => Act::LateReports(w.word(3)?.parse().map_err(|_| "share")?),
                    "hold-direct" => Act::HoldDirect(secs(w.word(3)?)?),
                    "cut" => Act::Cut(count()?),
                    "zone-cut" => Act::ZoneCut(w.word(3)?.into(), w.word(4)?.into()),
                    "zone-off" => Act::ZoneOff(w.word(3)?.into()),
                    "hang" => Act::Hang(count()?),
                    "kill" if !w.named.contains_key("zone") => Act::Kill(count()?),
                    "notice" => Act::Notice(w.word(3)?.parse().map_err(|_| "seconds")?),
                    "faulty" => Act::Faulty(count()?),
                    "slow" => Act::Slow(count()?),
                    "ghost" => Act::Ghost,
                    "freeze-on-grant" => Act::FreezeOnGrant,
                    "freeze" => Act::Freeze(w.word(3)?.into()),
                    "node-cut" => Act::NodeCut(w.word(3)?.into(), w.word(4)?.into()),
                    "peers-refuse" => Act::PeersRefuse,
                    "link-cut" => {
                        use super::links::End;
                        Act::LinkCut(End::parse(w.word(3)?)?, End::parse(w.word(4)?)?)
                    }
                    "deaf" => Act::Deaf(count()?),
                    "slow-answers" => Act::SlowAnswers(secs(w.word(3)?)?),
                    "copies" => Act::Copies(secs(w.word(3)?)?),
                    "boots" => Act::BootTimes(w.word(3)?.parse().map_err(|_| "factor")?),
                    "old-release" => Act::OldRelease(w.word(3)?.into()),
                    "garbage" => Act::Garbage(w.word(3)?.into()),
                    "state-limits" => Act::StateLimits,
                    "cancel-now" => {
                        let hangs = w.named.get("hang").map(|hang| secs(hang)).transpose()?;
                        Act::CancelNow(count()?, hangs)
                    }
                    "cancel-at-end" => Act::CancelAtEnd(w.word(3)?.parse().map_err(|_| "share")?),
                    "odd-requests" => Act::OddRequests,
                    "close-looks" => Act::CloseLooks,
                    "storm" => Act::Storm(w.word(3)?.parse().map_err(|_| "factor")?),
                    _ => Act::OneWayFault(OneWayFault::parse(&w)?),
                };
                // `every=s times=n`: again and again. `copies=n`: jobs with the following
                // numbers as well. `step=n`: of jobs that are cancelled, each n-th.
                let (every, times) = (secs(w.named.get("every").unwrap_or(&"0"))?, w.num("times", 1u64)?);
                for again in 0..times {
                    let at = at + again * every;
                    for copy in 0..w.num("copies", 1u32)? {
                        let mut act = act.clone();
                        if let Act::Submit(spec) | Act::Inherit(spec) = &mut act {
                            let number: u32 = spec.id[4..].parse().map_err(|_| "a number is missing")?;
                            let number = number + again as u32 * w.num("copies", 1u32)?;
                            spec.id = format!("run-{:06}", number + copy);
                            // Of copies that form a chain, each waits for the one before.
                            if w.has("chained") && copy > 0 {
                                spec.dependencies = vec![format!("run-{:06}", number + copy - 1)];
                            }
                        }
                        if let Act::Abort(job) = &mut act {
                            let number: u64 = job[4..].parse().map_err(|_| "a number is missing")?;
                            *job = format!("run-{:06}", number + again * w.num("step", 1u64)?);
                        }
                        let mistake = w.has("mistake");
                        self.steps.push(Step {
                            at,
                            lasts,
                            act,
                            run_s,
                            mistake,
                        });
                    }
                }
            }
            "expect" => {
                let by = || -> Result<u64, String> {
                    let i = w.plain.iter().position(|x| *x == "by").ok_or("by is missing")?;
                    secs(w.word(i + 1)?)
                };
                let number = |i: usize| {
                    w.word(i)
                        .and_then(|x| x.parse::<u64>().map_err(|_| "number".to_string()))
                };
                let e = match w.word(1)? {
                    "done" => Expect::Done(w.word(2)?.into(), by()?),
                    "book-at-most" => Expect::Book(number(2)? as usize),
                    "withdrawn" => Expect::Withdrawn(w.word(2)?.into()),
                    "cancelled" => Expect::Cancelled(w.word(2)?.into(), by()?),
                    "started" => Expect::Started(w.word(2)?.into(), by()?),
                    "replicas" => Expect::Replicas(w.word(2)?.into(), number(3)? as usize),
                    "refused" => Expect::Refused(w.word(2)?.into(), number(3)? as u16),
                    "missed-at-most" => Expect::Missed(w.word(2)?.into(), number(3)?),
                    "accepted-within" => Expect::AcceptedWithin(number(2)?),
                    "rented-at-most" => Expect::Rented(number(2)? as usize),
                    "lease-kills-at-most" => Expect::LeaseKills(number(2)? as usize),
                    "lease-kills-at-least" => Expect::LeaseKillsAtLeast(number(2)? as usize),
                    "stops-at-most" => Expect::Stops(number(2)? as usize),
                    "failures-at-most" => Expect::Failures(number(2)? as usize),
                    "terms-at-most" => Expect::TermsAtMost(number(2)?),
                    "terms-at-least" => Expect::Terms(number(2)?),
                    "rented-in-all-at-most" => Expect::RentedInAll(number(2)? as usize),
                    "changes-at-most" => Expect::Changes(number(2)?),
                    "cloud-calls-at-most" => Expect::CloudCalls(number(2)?),
                    "met-at-least" => Expect::Met(number(2)? as usize),
                    other => return Err(format!("unknown expectation {other}")),
                };
                self.expect.push(e);
            }
            other => return Err(format!("unknown line {other}")),
        }
        Ok(())
    }

    fn spec(w: &Words) -> Result<JobSpec, String> {
        let mut spec = plain_spec(w.word(3)?);
        spec.class = w.named.get("class").unwrap_or(&"plain").to_string();
        spec.team = w.named.get("team").unwrap_or(&"blue").to_string();
        spec.image = w.named.get("image").unwrap_or(&"img-1").to_string();
        spec.zone = w.named.get("zone").map(|z| z.to_string());
        spec.machine_types = w.named.get("types").map(|t| t.split(',').map(str::to_string).collect());
        spec.tasks = w.num("pieces", 1)?;
        spec.cpus = w.num("cores", 1.0)?;
        spec.memory = w.num("mem", 1.0)?;
        spec.image_gb = w.num("image_gb", spec.image_gb)?;
        spec.save_s = w.num("save", 0.0)?;
        spec.estimate_s = w.num("estimate", spec.estimate_s)?;
        spec.one_zone = w.has("together");
        spec.spread = w.has("apart");
        spec.spot = w.has("spot");
        // `run-000100..000299` names all of these.
        for named in w.named.get("waits").into_iter().flat_map(|n| n.split(',')) {
            match named.split_once("..") {
                Some((from, to)) => {
                    let number = |t: &str| {
                        t.trim_start_matches("run-")
                            .parse::<u32>()
                            .map_err(|_| "a range of jobs")
                    };
                    spec.dependencies
                        .extend((number(from)?..=number(to)?).map(|n| format!("run-{n:06}")));
                }
                None => spec.dependencies.push(named.to_string()),
            }
        }
        spec.deadline_s = w.named.get("due").and_then(|d| d.parse().ok());
        if w.has("high") {
            spec.priority = Priority::High;
        }
        if w.has("low") {
            spec.priority = Priority::Low;
        }
        if w.has("service") {
            spec.shape = Shape::Service;
            spec.priority = Priority::Production;
            spec.estimate_s = 0.0;
        }
        Ok(spec)
    }

    /// The cloud at the beginning.
    pub(crate) fn cloud(&self) -> Cloud {
        let lag = (self.base.params.cloud.list_lag_s * SEC as f64) as u64;
        Cloud::new(self.types.clone(), self.capacity, self.dead_boots, lag)
    }

    /// The settings of every node.
    pub(crate) fn settings(&self) -> Vec<Settings> {
        let peer = |n: usize| Peer {
            node: format!("node-{n}"),
            zone: self.zones[n].clone(),
            addr: format!("10.0.0.{}:8081", n + 1),
        };
        (0..self.zones.len())
            .map(|n| Settings {
                node: format!("node-{n}"),
                zone: self.zones[n].clone(),
                peers: (0..self.zones.len()).filter(|m| *m != n).map(peer).collect(),
                ..self.base.clone()
            })
            .collect()
    }
}
