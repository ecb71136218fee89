//! Checks of the answers to users and of the tasks that start, by the protocol alone.
//!
//! - No start is sent after a confirmed cancellation.
//! - No job is accepted that can't run or lacks a field.
//! - No answer is older than one that any controller gave before the request was sent.
//! - A submission sent after such an answer that its job is accepted is answered 200, never 201.
//!
//! Beyond the protocol, no answer is older than its request: an answer may not contradict what
//! the state service held when the request was sent, whether or not a user had been informed.

use super::script::Script;
use super::MS;
use glenhaven::protocol::agents::AgentCommand;
use glenhaven::protocol::cloud::MachineType;
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::store::Change;
use glenhaven::protocol::users::{JobSpec, JobState, Phase, Shape};
use glenhaven::settings::Team;
use glenhaven::storage::keys;
use glenhaven::storage::records::{from_value, AcceptancePage, JobValue};
use std::collections::BTreeMap;

/// The fields of a submission that may not be absent.
pub(super) const REQUIRED: [&str; 17] = [
    "ref",
    "jobclass",
    "owner",
    "shape",
    "rank",
    "pieces",
    "cores",
    "cards",
    "mem_gb",
    "together",
    "apart",
    "reclaimable",
    "bundle",
    "size_gb",
    "expected_s",
    "snapshot_every_s",
    "snapshot_cost_s",
];

/// What the users of a job have learned from answers.
#[derive(Default)]
struct ReportedState {
    /// When the first answer left that implied acceptance.
    accepted: Option<u64>,
    /// When the first answer with a final phase left, and that phase.
    ended: Option<(u64, Phase)>,
}

/// What the state service has stored of a job.
#[derive(Default)]
struct StoredState {
    /// When the first acceptance page that lists the job was written.
    accepted: Option<u64>,
    /// When a final phase was written under the job's own key.
    over: Option<u64>,
}

/// Time until every controller that the state service can reach has learned of a confirmed
/// cancellation. A start that left within this time was already on its way.
const CANCELLATION_PROPAGATION: u64 = 100 * MS;

/// One run of a controller's process: the controller's index and the number of its starts.
pub(super) type Life = (usize, u64);

/// A message with commands on its way to a worker: the answer to a heartbeat, or a push.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Carrier {
    /// The worker and its heartbeat's number.
    Answer(String, u64),
    /// The request's number.
    PushedCommands(Life, u64),
}

/// An answer to a user.
pub(crate) struct Answer {
    /// When the request was sent, and when the answer left the controller.
    pub asked: u64,
    pub left: u64,
    pub status: u16,
    pub phase: Option<Phase>,
}

pub(crate) struct Answers {
    teams: Vec<Team>,
    types: Vec<MachineType>,
    reported: BTreeMap<String, ReportedState>,
    stored: BTreeMap<String, StoredState>,
    /// When each controller first reported a job as cancelled.
    reported_cancelled: BTreeMap<(Life, String), u64>,
    /// Sender and departure time of the messages with starts that are in flight.
    in_flight: BTreeMap<Carrier, (Life, u64)>,
    /// Sender and departure time of the start that put a task's attempt on a machine, by machine,
    /// task and attempt.
    commanded: BTreeMap<(String, String, u64), (Life, u64)>,
}

impl Answers {
    pub(crate) fn new(script: &Script) -> Answers {
        Answers {
            teams: script.base.params.teams.clone(),
            types: script.types.clone(),
            reported: BTreeMap::new(),
            stored: BTreeMap::new(),
            reported_cancelled: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            commanded: BTreeMap::new(),
        }
    }

    /// Records a job that was accepted before the run.
    pub(crate) fn inherited(&mut self, job: &str) {
        self.reported.entry(job.into()).or_default().accepted = Some(0);
    }

    /// Records changes that the state service has committed.
    pub(crate) fn written(&mut self, changes: &[Change], now: u64) {
        for change in changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            if keys::parse_acceptance_page(key).is_some() {
                for spec in from_value::<AcceptancePage>(value).unwrap_or_default().jobs {
                    self.stored.entry(spec.id).or_default().accepted.get_or_insert(now);
                }
                continue;
            }
            let is_over = from_value::<JobValue>(value).is_some_and(|job| job.phase.is_final());
            if let (Some(job), true) = (key.strip_prefix(keys::JOBS), is_over) {
                self.stored.entry(job.into()).or_default().over.get_or_insert(now);
            }
        }
    }

    /// Records the starts among commands that leave a controller.
    pub(crate) fn commands_sent(&mut self, from: Life, carrier: Carrier, commands: &[AgentCommand], now: u64) {
        if commands
            .iter()
            .any(|command| matches!(command, AgentCommand::Start { .. }))
        {
            self.in_flight.insert(carrier, (from, now));
        }
    }

    /// Records that a controller reports a job as cancelled.
    pub(crate) fn state_sent(&mut self, from: Life, state: &JobState, now: u64) {
        if state.phase == Phase::Cancelled {
            self.reported_cancelled.entry((from, state.id.clone())).or_insert(now);
        }
    }

    /// Records the starts among commands that a worker executes.
    pub(crate) fn commands_executed(&mut self, carrier: &Carrier, machine: &str, commands: &[AgentCommand]) {
        let Some(left) = self.in_flight.remove(carrier) else {
            return;
        };
        for command in commands {
            if let AgentCommand::Start { task, attempt } = command {
                let start = (machine.to_string(), task.clone(), *attempt);
                self.commanded.entry(start).or_insert(left);
            }
        }
    }

    /// Removes an attempt that a worker has forgotten.
    pub(crate) fn forgotten(&mut self, machine: &str, task: &str, attempt: u64) {
        self.commanded.remove(&(machine.into(), task.into(), attempt));
    }

    /// Removes all attempts of a machine whose session has ended.
    pub(crate) fn session_ended(&mut self, machine: &str) {
        self.commanded.retain(|(on, ..), _| on != machine);
    }

    /// Returns what is wrong with a task that begins on a machine, if anything: its start left a
    /// controller that had already reported the job as cancelled, or left more than
    /// [`CANCELLATION_PROPAGATION`] after any controller had confirmed the cancellation.
    pub(crate) fn check_start(&self, machine: &str, task: &str, attempt: u64) -> Option<String> {
        let (from, left) = *self.commanded.get(&(machine.into(), task.into(), attempt))?;
        let job = task.rsplit_once('/')?.0;
        let told = self.reported.get(job).and_then(|told| told.ended);
        let late = matches!(told, Some((at, Phase::Cancelled)) if left > at + CANCELLATION_PROPAGATION);
        let was_reported = self
            .reported_cancelled
            .get(&(from, job.into()))
            .is_some_and(|at| *at < left);
        (late || was_reported).then(|| {
            let told = told.map(|told| told.0);
            format!("started_cancelled: {task} on {machine}, commanded by {from:?} at {left}, cancelled at {told:?}, knew: {was_reported}")
        })
    }

    /// Returns how an answer contradicts what the state service held when the request was sent.
    fn is_stale(&self, job: &str, answer: &Answer) -> Option<String> {
        let stored = self.stored.get(job)?;
        let before = |at: &u64| *at < answer.asked;
        match (answer.status, answer.phase) {
            (200 | 201, Some(phase)) if !phase.is_final() && stored.over.is_some_and(|at| before(&at)) => {
                let over = stored.over?;
                Some(format!(
                    "stale_answer: {job} was over in the state service since {over}, now {phase:?}"
                ))
            }
            (201, _) => {
                let accepted = stored.accepted.filter(before)?;
                Some(format!(
                    "accepted_anew: {job} answered 201, accepted in the state service since {accepted}"
                ))
            }
            (400 | 404 | 422, _) => {
                let accepted = stored.accepted.filter(before)?;
                let status = answer.status;
                Some(format!(
                    "stale_answer: {job} was accepted in the state service since {accepted}, now {status}"
                ))
            }
            _ => None,
        }
    }

    /// Records an answer about a job, and returns how it contradicts earlier answers or what the
    /// state service held.
    pub(crate) fn check_answer(&mut self, job: &str, answer: &Answer) -> Option<String> {
        let stale = self.is_stale(job, answer);
        let reported = self.reported.entry(job.into()).or_default();
        let before = |at: u64| at < answer.asked;
        let accepted_anew = (answer.status == 201)
            .then(|| reported.accepted.filter(|at| before(*at)))
            .flatten()
            .map(|at| format!("accepted_anew: {job} answered 201, reported as accepted since {at}"));
        let wrong = match (answer.status, answer.phase) {
            (200 | 201, Some(phase)) => {
                reported.accepted.get_or_insert(answer.left);
                match reported.ended {
                    Some((_, first)) if phase.is_final() && phase != first => {
                        Some(format!("went_back: {job} was {first:?}, now {phase:?}"))
                    }
                    Some((at, first)) if !phase.is_final() && before(at) => {
                        Some(format!("went_back: {job} was {first:?} since {at}, now {phase:?}"))
                    }
                    None if phase.is_final() => {
                        reported.ended = Some((answer.left, phase));
                        None
                    }
                    _ => None,
                }
            }
            (404, _) if reported.accepted.is_some_and(before) => Some(format!("forgotten: {job} answered 404")),
            (400 | 422, _) if reported.accepted.is_some_and(before) => {
                Some(format!("forgotten: {job} answered {}", answer.status))
            }
            _ => None,
        };
        wrong
            .or(accepted_anew)
            .or(stale)
            .map(|why| format!("{why}; asked at {}, answered at {}", answer.asked, answer.left))
    }

    /// Returns why a submission that has just been accepted must not be, if there is a reason.
    pub(crate) fn check_acceptance(&self, body: &[u8]) -> Option<String> {
        let Ok(fields) = from_cbor::<BTreeMap<String, ciborium::Value>>(body) else {
            return Some("accepted, though it is no map".into());
        };
        let absent = |name: &&&str| fields.get(**name).is_none_or(ciborium::Value::is_null);
        if let Some(name) = REQUIRED.iter().find(absent) {
            return Some(format!("accepted, though it lacks {name}"));
        }
        let Ok(spec) = from_cbor::<JobSpec>(body) else {
            return Some("accepted, though it is malformed".into());
        };
        self.never_runs(&spec)
            .map(|why| format!("{} accepted, though it can't run: {why}", spec.id))
    }

    fn never_runs(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.teams.iter().find(|team| team.name == spec.team) else {
            return Some("unknown team");
        };
        let at_once = match spec.shape {
            Shape::Array => 1.0,
            Shape::Service => f64::from(spec.tasks),
        };
        if team.cpus_max > 0.0 && at_once * spec.cpus > team.cpus_max + 1e-9 {
            return Some("over the team's limit");
        }
        let fits = |t: &MachineType| {
            t.cpus >= spec.cpus
                && t.gpus >= spec.gpus
                && t.memory >= spec.memory
                && spec.machine_types.as_ref().is_none_or(|types| types.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
        };
        (!self.types.iter().any(fits)).then_some("fits no allowed machine type")
    }
}

#[cfg(test)]
mod tests {
    use super::super::script::plain_spec;
    use super::*;
    use glenhaven::protocol::to_cbor;
    use glenhaven::storage::records::to_value;

    const JOB: &str = "run-000001";

    fn answers() -> Answers {
        Answers::new(&Script::parse("team blue max=8").unwrap())
    }

    fn contradicts(answers: &mut Answers, asked: u64, left: u64, status: u16, phase: Option<Phase>) -> bool {
        let answer = Answer {
            asked,
            left,
            status,
            phase,
        };
        answers.check_answer(JOB, &answer).is_some()
    }

    #[test]
    fn an_older_answer_is_reported() {
        let mut a = answers();
        assert!(!contradicts(&mut a, 1, 2, 404, None), "the job was never accepted");
        assert!(!contradicts(&mut a, 1, 10, 201, Some(Phase::Pending)));
        assert!(!contradicts(&mut a, 9, 11, 404, None), "sent before the acceptance");
        assert!(contradicts(&mut a, 11, 12, 404, None));
        assert!(contradicts(&mut a, 11, 12, 422, None));
        assert!(!contradicts(&mut a, 12, 20, 200, Some(Phase::Cancelled)));
        assert!(
            !contradicts(&mut a, 19, 21, 200, Some(Phase::Running)),
            "asked before the end"
        );
        assert!(contradicts(&mut a, 21, 22, 200, Some(Phase::Running)));
        assert!(
            contradicts(&mut a, 19, 22, 200, Some(Phase::Done)),
            "two different final phases"
        );
    }

    #[test]
    fn a_repeated_submission_accepted_anew_is_reported() {
        let mut a = answers();
        assert!(!contradicts(&mut a, 1, 10, 201, Some(Phase::Pending)));
        assert!(
            !contradicts(&mut a, 9, 14, 201, Some(Phase::Pending)),
            "sent before the first answer"
        );
        assert!(!contradicts(&mut a, 11, 14, 200, Some(Phase::Pending)));
        assert!(contradicts(&mut a, 11, 14, 201, Some(Phase::Pending)));
    }

    #[test]
    fn an_answer_older_than_its_request_is_reported() {
        let mut a = answers();
        let put = |key: String, value| Change::Put {
            key,
            value,
            lease: None,
        };
        let page = AcceptancePage {
            jobs: vec![plain_spec(JOB)],
        };
        a.written(&[put(keys::acceptance_page("node-0", 0), to_value(&page))], 5);
        assert!(
            !contradicts(&mut a, 4, 9, 404, None),
            "sent before the page was written"
        );
        assert!(
            contradicts(&mut a, 6, 9, 404, None),
            "accepted, though no user had been informed"
        );
        assert!(contradicts(&mut a, 6, 9, 422, None));
        assert!(
            !contradicts(&mut a, 4, 9, 201, Some(Phase::Pending)),
            "sent before the page was written"
        );
        assert!(contradicts(&mut a, 6, 9, 201, Some(Phase::Pending)));
        let over = JobValue {
            phase: Phase::Cancelled,
            spec: None,
        };
        a.written(&[put(keys::job(JOB), to_value(&over))], 10);
        assert!(
            !contradicts(&mut a, 9, 14, 200, Some(Phase::Pending)),
            "asked before the end"
        );
        assert!(
            contradicts(&mut a, 11, 14, 201, Some(Phase::Pending)),
            "final, though no user had been informed"
        );
        assert!(contradicts(&mut a, 11, 14, 200, Some(Phase::Running)));
        assert!(!contradicts(&mut a, 11, 14, 200, Some(Phase::Cancelled)));
    }

    #[test]
    fn a_start_after_a_confirmed_cancellation_is_reported() {
        let start = |attempt| AgentCommand::Start {
            task: format!("{JOB}/0"),
            attempt,
        };
        let cancelled = JobState {
            id: JOB.into(),
            phase: Phase::Cancelled,
            done: None,
            running: None,
        };
        let mut a = answers();
        contradicts(&mut a, 1, 10, 200, Some(Phase::Cancelled));
        a.state_sent((0, 1), &cancelled, 10);
        let starts = [
            (0, 9, false),
            (0, 11, true),
            (1, 11, false),
            (1, 11 + CANCELLATION_PROPAGATION, true),
        ];
        for (attempt, (node, left, wrong)) in starts.into_iter().enumerate() {
            let attempt = attempt as u64;
            let carrier = || Carrier::PushedCommands((node, 1), attempt);
            a.commands_sent((node, 1), carrier(), &[start(attempt)], left);
            a.commands_executed(&carrier(), "n-1", &[start(attempt)]);
            assert_eq!(
                a.check_start("n-1", "run-000001/0", attempt).is_some(),
                wrong,
                "{attempt}"
            );
        }
    }

    #[test]
    fn accepting_an_invalid_job_is_reported() {
        let a = answers();
        let good = JobSpec {
            cpus: 4.0,
            tasks: 3,
            ..plain_spec(JOB)
        };
        assert_eq!(a.check_acceptance(&to_cbor(&good)), None);
        let change = |change: fn(&mut JobSpec)| {
            let mut spec = good.clone();
            change(&mut spec);
            a.check_acceptance(&to_cbor(&spec))
        };
        let changes: [fn(&mut JobSpec); 6] = [
            |s| s.team = "green".into(),
            |s| s.cpus = 9.0,
            |s| s.shape = Shape::Service,
            |s| s.memory = 65.0,
            |s| s.machine_types = Some(vec!["none".into()]),
            |s| s.zone = Some("z".into()),
        ];
        for (n, bad) in changes.into_iter().enumerate() {
            assert!(change(bad).is_some(), "change {n}");
        }
        for field in REQUIRED {
            let mut fields: BTreeMap<String, ciborium::Value> = from_cbor(&to_cbor(&good)).unwrap();
            fields.remove(field);
            assert!(a.check_acceptance(&to_cbor(&fields)).is_some(), "{field}");
        }
        assert!(a.check_acceptance(b"\xff").is_some());
    }
}
