//! Faults that the runner plants between a controller and the world, one for a guard each,
//! to show that the search for meetings finds them. The controllers' own code is what it is
//! in the daemon: nothing there can be switched.

use super::{Origin, ScheduledEvent, World, SEC};
use glenhaven::coordination::{CloudRequest, CloudResponse, Effect, Event, UserRequest};
use glenhaven::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, PushedCommands};
use glenhaven::protocol::peer::PeerMessage;
use glenhaven::protocol::store::{Change, StoreRequest, Transaction};
use glenhaven::protocol::users::{extract_job_id, JobState, Phase};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
use glenhaven_fakes::user::job_of;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// A report that may not be answered is answered all the same, with the highest fence.
    RenewsUnproven,
    /// The word of one controller is taken for that of all.
    OneVouchesForAll,
    /// Answers stop nothing.
    StopsNothing,
    /// Starts are recorded whatever the job's own key says.
    StartsWhateverTheKey,
    /// The book is written whoever leads.
    WritesWhoeverLeads,
    /// Pages are written over whatever their version.
    WritesOverPages,
    /// A cancellation is written over whatever the job's own key says.
    CancelsWhateverTheKey,
    /// A report of an earlier session is taken for one of a later session.
    TakesEarlierSessions,
    /// A task that exited is forgotten at once, whatever is on its way.
    ForgetsAtOnce,
    /// What the cloud has not confirmed is taken for gone.
    TakesReleaseForGranted,
    /// A job that can't be decided now is called unknown.
    ForgetsInDoubt,
    /// A task that a cancelled job's stop is for is started once more.
    StartsCancelled,
    /// What can't run or lacks a field is accepted.
    AcceptsAnything,
    /// A node repeats for a second what it said of a job.
    AnswersFromCache,
    /// Some jobs' starts are never sent.
    StartsNotAll,
    /// A start that was decided under one term is sent once more under the next.
    KeepsStarts,
    /// A submission that comes while another of its job waits at the same node gets that one's
    /// answer.
    JoinsSubmissions,
}

pub(crate) const ALL: [Fault; 17] = [
    Fault::RenewsUnproven,
    Fault::OneVouchesForAll,
    Fault::StopsNothing,
    Fault::StartsWhateverTheKey,
    Fault::WritesWhoeverLeads,
    Fault::WritesOverPages,
    Fault::CancelsWhateverTheKey,
    Fault::TakesEarlierSessions,
    Fault::ForgetsAtOnce,
    Fault::TakesReleaseForGranted,
    Fault::ForgetsInDoubt,
    Fault::StartsCancelled,
    Fault::AcceptsAnything,
    Fault::AnswersFromCache,
    Fault::StartsNotAll,
    Fault::KeepsStarts,
    Fault::JoinsSubmissions,
];

/// How long a node repeats itself.
const CACHED: u64 = SEC;

/// Starts last sent straight to each address, and the token under which they left.
pub(crate) type Kept = BTreeMap<String, (u64, Vec<AgentCommand>)>;

/// The submission of a job that each life of a node has yet to answer, and those that get the
/// same answer.
pub(crate) type Joined = BTreeMap<(usize, u64, String), (u64, Vec<u64>)>;

/// What each node last said of a job, and when.
pub(crate) type Cache = BTreeMap<(usize, String), (u64, HttpResponse)>;

impl World {
    /// A copy of an earlier session's report, made to look like a later one's.
    pub(crate) fn plant_copy(&mut self, heartbeat: &mut Heartbeat) {
        if self.planted != Some(Fault::TakesEarlierSessions) {
            return;
        }
        let incarnation = self.workers.get(&heartbeat.machine).map_or(0, |w| w.incarnation());
        if heartbeat.incarnation < incarnation {
            heartbeat.incarnation = incarnation + 1;
        }
    }

    /// Starts too many, or too few.
    fn plant_starts(&self, fault: Fault, commands: &mut Vec<AgentCommand>) {
        if fault == Fault::StartsNotAll {
            commands.retain(|o| !matches!(o, AgentCommand::Start { task, .. } if job_of(task).ends_with('7')));
        }
        if fault != Fault::StartsCancelled {
            return;
        }
        for order in commands {
            if let AgentCommand::Stop { task, attempt, .. } = order {
                let user = self.users.get(job_of(task));
                if user.is_some_and(|u| u.cancelled.is_some_and(|at| at < self.now)) {
                    let (task, attempt) = (task.clone(), *attempt + 1000);
                    *order = AgentCommand::Start { task, attempt };
                }
            }
        }
    }

    /// Adds the starts that left for this address under an earlier term.
    fn plant_kept(&mut self, addr: &str, body: &mut PushedCommands) {
        let starts = body.commands.iter().filter(|o| matches!(o, AgentCommand::Start { .. }));
        let starts: Vec<AgentCommand> = starts.cloned().collect();
        let kept = self.planted_kept.entry(addr.into()).or_default();
        if kept.0 < body.fencing_token {
            body.commands.append(&mut kept.1);
            kept.0 = body.fencing_token;
        }
        kept.1.extend(starts);
    }

    /// Keeps submissions from a node that has one of the same job to answer.
    pub(crate) fn plant_joins(&mut self, n: usize, batch: Vec<Event>) -> Vec<Event> {
        if self.planted != Some(Fault::JoinsSubmissions) {
            return batch;
        }
        let life = self.nodes[n].life;
        let mut taken = vec![];
        for command in batch {
            let submitted = match &command {
                Event::User {
                    id,
                    request: UserRequest::Submit(body),
                } => extract_job_id(body).map(|job| (*id, job)),
                _ => None,
            };
            let Some((id, job)) = submitted else {
                taken.push(command);
                continue;
            };
            match self.planted_joined.get_mut(&(n, life, job.clone())) {
                Some((_, joined)) => joined.push(id),
                None => {
                    self.planted_joined.insert((n, life, job), (id, vec![]));
                    taken.push(command);
                }
            }
        }
        taken
    }

    /// The answers to the submissions that wait for the one that this is the answer to.
    fn plant_joined(&mut self, answered: u64, answer: &HttpResponse) -> Vec<Effect> {
        let found = self.planted_joined.iter().find(|(_, (id, _))| *id == answered);
        let Some(key) = found.map(|(key, _)| key.clone()) else {
            return vec![];
        };
        let joined = self.planted_joined.remove(&key).map(|(_, joined)| joined);
        let reply = |id| Effect::Reply {
            id,
            answer: answer.clone(),
        };
        joined.into_iter().flatten().map(reply).collect()
    }

    /// Answers a question beside those that users ask in turn.
    fn plant_look(&mut self, n: usize, number: u64, fault: Fault, answer: &mut HttpResponse) {
        let Some(job) = self.one_way_faults.job_of(number).map(str::to_string) else {
            return;
        };
        if fault == Fault::AcceptsAnything && matches!(answer.status, 400 | 422) {
            let state = JobState {
                id: job.clone(),
                phase: Phase::Pending,
                done: None,
                running: None,
            };
            (answer.status, answer.body) = (201, to_cbor(&state));
        }
        if fault == Fault::AnswersFromCache {
            let now = self.now;
            let cached = self.planted_cache.entry((n, job));
            let said = cached.or_insert_with(|| (now, answer.clone()));
            if now > said.0 + CACHED {
                *said = (now, answer.clone());
            }
            *answer = said.1.clone();
        }
    }

    /// What a controller with the planted fault would do instead.
    pub(crate) fn plant(&mut self, n: usize, effects: Vec<Effect>) -> Vec<Effect> {
        let Some(fault) = self.planted else { return effects };
        let mut out = vec![];
        for mut effect in effects {
            if let (Fault::JoinsSubmissions, Effect::Reply { id, answer }) = (fault, &effect) {
                out.extend(self.plant_joined(*id, answer));
            }
            match &mut effect {
                Effect::Reply { id, answer } => match self.origins.get(id) {
                    Some(Origin::Worker(..)) if fault == Fault::RenewsUnproven && answer.status == 503 => {
                        let fencing_token = self.last_term();
                        answer.status = 200;
                        answer.body = to_cbor(&HeartbeatResponse {
                            fencing_token,
                            commands: vec![],
                        });
                    }
                    Some(Origin::Worker(name, _)) if answer.status == 200 => {
                        if let Ok(mut commands) = from_cbor::<HeartbeatResponse>(&answer.body) {
                            if fault == Fault::StopsNothing {
                                commands.commands.retain(|o| !matches!(o, AgentCommand::Stop { .. }));
                            }
                            if fault == Fault::ForgetsAtOnce {
                                let tasks = self.workers.get(name).map(|w| &w.tasks);
                                for (task, attempt) in tasks.into_iter().flat_map(|t| t.keys()) {
                                    let (task, attempt) = (task.clone(), *attempt);
                                    commands.commands.push(AgentCommand::Forget { task, attempt });
                                }
                            }
                            self.plant_starts(fault, &mut commands.commands);
                            answer.body = to_cbor(&commands);
                        }
                    }
                    Some(Origin::User(..)) if fault == Fault::ForgetsInDoubt && answer.status == 503 => {
                        answer.status = 404;
                    }
                    Some(Origin::Query(number)) => self.plant_look(n, *number, fault, answer),
                    _ => {}
                },
                Effect::Store {
                    request: StoreRequest::Transaction(txn),
                    ..
                } => strip(fault, txn),
                Effect::PushedCommands { body, .. } if fault == Fault::StopsNothing => {
                    body.commands.retain(|o| !matches!(o, AgentCommand::Stop { .. }));
                }
                Effect::PushedCommands { addr, body, .. } if fault == Fault::KeepsStarts => self.plant_kept(addr, body),
                Effect::PushedCommands { body, .. } => self.plant_starts(fault, &mut body.commands),
                Effect::Peer {
                    to,
                    message:
                        PeerMessage::Attestation {
                            round, term, cancelled, ..
                        },
                } if fault == Fault::OneVouchesForAll => {
                    // Its word is repeated in the name of every other.
                    for other in 0..self.nodes.len() {
                        let node = self.nodes[other].settings.node.clone();
                        if other != n && node != *to {
                            let (round, term, cancelled) = (*round, *term, cancelled.clone());
                            out.push(Effect::Peer {
                                to: to.clone(),
                                message: PeerMessage::Attestation {
                                    node,
                                    round,
                                    term,
                                    cancelled,
                                },
                            });
                        }
                    }
                }
                Effect::Cloud {
                    id,
                    request: CloudRequest::Release(_),
                    ..
                } if fault == Fault::TakesReleaseForGranted => {
                    let answer = CloudResponse::Released;
                    let life = self.nodes[n].life;
                    self.after(1, ScheduledEvent::Event(n, life, Event::Cloud { id: *id, answer }));
                    continue;
                }
                _ => {}
            }
            out.push(effect);
        }
        out
    }
}

/// Takes those conditions away that guard against this fault.
fn strip(fault: Fault, txn: &mut Transaction) {
    use glenhaven::storage::keys;
    let puts = |prefix: &str| {
        txn.changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with(prefix)))
    };
    let (book, accepts) = (puts(keys::LOG_SEGMENTS), puts(keys::ACCEPTANCE_PAGES));
    let own_keys = puts(keys::JOBS) && !accepts && !book;
    let own = |key: &str| key.starts_with(keys::JOBS) && !key.starts_with(keys::ACCEPTANCE_PAGES);
    match fault {
        Fault::StartsWhateverTheKey if book => txn.conditions.retain(|c| !own(&c.key)),
        Fault::WritesWhoeverLeads if book => txn.conditions.retain(|c| !c.key.starts_with(keys::TERM)),
        Fault::WritesOverPages => {
            txn.conditions
                .retain(|c| !c.key.starts_with(keys::LOG_SEGMENTS) && !c.key.starts_with(keys::ACCEPTANCE_PAGES));
        }
        Fault::CancelsWhateverTheKey if own_keys => txn.conditions.retain(|c| !own(&c.key)),
        _ => {}
    }
}
