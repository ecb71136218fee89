//! Faults that the simulation injects between a controller and its environment, one for each
//! safeguard, to show that the search for fault combinations finds them. The controllers run
//! the unchanged code of the daemon, which has no switches for these faults.

use super::{Origin, ScheduledEvent, World, SEC};
use glenhaven::coordination::{CloudRequest, CloudResponse, Effect, Event, UserRequest};
use glenhaven::protocol::agents::{AgentCommand, Cause, Heartbeat, HeartbeatResponse, PushedCommands, TaskPhase};
use glenhaven::protocol::peer::PeerMessage;
use glenhaven::protocol::store::{Change, StoreRequest, Transaction};
use glenhaven::protocol::users::{extract_job_id, JobState, Phase};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::HttpResponse;
use glenhaven_fakes::user::job_of;
use std::collections::BTreeMap;

/// An injected fault: the safeguard that is disabled, described by what happens without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// Reports that the controller may not confirm are confirmed with the highest fencing token.
    RenewsUnproven,
    /// The attestation of one controller counts as that of all controllers.
    OneVouchesForAll,
    /// Commands to stop tasks are removed.
    StopsNothing,
    /// Starts are recorded without a condition on the job's own key.
    StartsWhateverTheKey,
    /// The log is written without a condition on the leader's term.
    WritesWhoeverLeads,
    /// Segments of the log and pages of acceptances are overwritten without a condition on their
    /// version.
    WritesOverPages,
    /// Cancellations are written without a condition on the job's own key.
    CancelsWhateverTheKey,
    /// A heartbeat of an earlier session counts as one of a later session.
    TakesEarlierSessions,
    /// Machines forget a task at once, also while messages about the task are in flight.
    ForgetsAtOnce,
    /// A machine counts as released before the cloud has confirmed the release.
    TakesReleaseForGranted,
    /// A job about which no answer is possible now is reported as unknown.
    ForgetsInDoubt,
    /// A task of a cancelled job is started again instead of stopped.
    StartsCancelled,
    /// Submissions that can't run or lack a field are accepted.
    AcceptsAnything,
    /// A controller repeats its last answer about a job for a second.
    AnswersFromCache,
    /// The starts of some jobs are never sent.
    StartsNotAll,
    /// Starts that were sent under one term are sent again under the next.
    KeepsStarts,
    /// A submission that arrives while another submission of the same job waits at the same
    /// controller gets the answer to the earlier one.
    JoinsSubmissions,
    /// Attempts that have ended are forgotten when the pushes of their starts must have been
    /// answered.
    ForgetsAfterAnswer,
    /// A submission that is repeated at another controller is answered as if its job were new.
    AcceptsAnew,
}

/// All injected faults.
pub(crate) const ALL: [Fault; 19] = [
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
    Fault::ForgetsAfterAnswer,
    Fault::AcceptsAnew,
];

/// Time for which [`Fault::AnswersFromCache`] repeats an answer, in microseconds.
const CACHED: u64 = SEC;

/// Time after which [`Fault::ForgetsAfterAnswer`] forgets an ended attempt, in microseconds.
const ANSWERED_WITHIN: u64 = 4 * SEC;

/// The times at which ended attempts were first seen, by machine, task and attempt.
pub(crate) type EndedAttempts = BTreeMap<(String, String, u64), u64>;

/// Starts pushed to each address under the last fencing token, with the token.
pub(crate) type RepeatedStarts = BTreeMap<String, (u64, Vec<AgentCommand>)>;

/// The unanswered submission of each job at each life of a controller, with the later submissions
/// that get the same answer.
pub(crate) type JoinedSubmissions = BTreeMap<(usize, u64, String), (u64, Vec<u64>)>;

/// The answer about each job that each controller repeats, and the time since which it does.
pub(crate) type CachedAnswers = BTreeMap<(usize, String), (u64, HttpResponse)>;

impl World {
    /// Gives a heartbeat of an earlier session the number of a later one.
    pub(crate) fn inject_into_report(&mut self, heartbeat: &mut Heartbeat) {
        if self.injected_fault != Some(Fault::TakesEarlierSessions) {
            return;
        }
        let incarnation = self.workers.get(&heartbeat.machine).map_or(0, |w| w.incarnation());
        if heartbeat.incarnation < incarnation {
            heartbeat.incarnation = incarnation + 1;
        }
    }

    /// Replaces stops of cancelled tasks by starts, or removes the starts of some jobs.
    fn inject_starts(&self, fault: Fault, commands: &mut Vec<AgentCommand>) {
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

    /// Adds commands to forget the attempts on a machine that ended some time ago.
    fn inject_forgets(&mut self, machine: &str, commands: &mut Vec<AgentCommand>) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        for ((task, attempt), status) in &worker.tasks {
            if status.phase != TaskPhase::Exited || status.cause == Some(Cause::Done) {
                continue;
            }
            let (task, attempt) = (task.clone(), *attempt);
            let key = (machine.to_string(), task.clone(), attempt);
            let ended = *self.ended_attempts.entry(key).or_insert(self.now);
            if self.now > ended + ANSWERED_WITHIN {
                commands.push(AgentCommand::Forget { task, attempt });
            }
        }
    }

    /// Adds the starts that were pushed to this address under an earlier term.
    fn inject_repeated_starts(&mut self, addr: &str, body: &mut PushedCommands) {
        let starts = body.commands.iter().filter(|o| matches!(o, AgentCommand::Start { .. }));
        let starts: Vec<AgentCommand> = starts.cloned().collect();
        let kept = self.repeated_starts.entry(addr.into()).or_default();
        if kept.0 < body.fencing_token {
            body.commands.append(&mut kept.1);
            kept.0 = body.fencing_token;
        }
        kept.1.extend(starts);
    }

    /// Withholds submissions from a controller that has an unanswered submission of the same job.
    /// Returns the remaining events.
    pub(crate) fn inject_into_events(&mut self, n: usize, batch: Vec<Event>) -> Vec<Event> {
        if self.injected_fault != Some(Fault::JoinsSubmissions) {
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
            match self.joined_submissions.get_mut(&(n, life, job.clone())) {
                Some((_, joined)) => joined.push(id),
                None => {
                    self.joined_submissions.insert((n, life, job), (id, vec![]));
                    taken.push(command);
                }
            }
        }
        taken
    }

    /// Returns the answers to the withheld submissions that get the answer of this submission.
    fn inject_joined_answers(&mut self, answered: u64, answer: &HttpResponse) -> Vec<Effect> {
        let found = self.joined_submissions.iter().find(|(_, (id, _))| *id == answered);
        let Some(key) = found.map(|(key, _)| key.clone()) else {
            return vec![];
        };
        let joined = self.joined_submissions.remove(&key).map(|(_, joined)| joined);
        let reply = |id| Effect::Reply {
            id,
            answer: answer.clone(),
        };
        joined.into_iter().flatten().map(reply).collect()
    }

    /// Changes the answer to a query of the users who query all controllers at once.
    fn inject_query_answer(&mut self, n: usize, number: u64, fault: Fault, answer: &mut HttpResponse) {
        let Some(job) = self.close_queries.job_of(number).map(str::to_string) else {
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
        if fault == Fault::AcceptsAnew && answer.status == 200 && self.close_queries.is_submission(number) {
            answer.status = 201;
        }
        if fault == Fault::AnswersFromCache {
            let now = self.now;
            let cached = self.cached_answers.entry((n, job));
            let said = cached.or_insert_with(|| (now, answer.clone()));
            if now > said.0 + CACHED {
                *said = (now, answer.clone());
            }
            *answer = said.1.clone();
        }
    }

    /// Returns the effects that a controller with the injected fault would have instead.
    pub(crate) fn inject_into_effects(&mut self, n: usize, effects: Vec<Effect>) -> Vec<Effect> {
        let Some(fault) = self.injected_fault else {
            return effects;
        };
        let mut out = vec![];
        for mut effect in effects {
            if let (Fault::JoinsSubmissions, Effect::Reply { id, answer }) = (fault, &effect) {
                out.extend(self.inject_joined_answers(*id, answer));
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
                            if fault == Fault::ForgetsAfterAnswer {
                                let machine = name.clone();
                                self.inject_forgets(&machine, &mut commands.commands);
                            }
                            self.inject_starts(fault, &mut commands.commands);
                            answer.body = to_cbor(&commands);
                        }
                    }
                    Some(Origin::User(..)) if fault == Fault::ForgetsInDoubt && answer.status == 503 => {
                        answer.status = 404;
                    }
                    Some(Origin::Query(number)) => self.inject_query_answer(n, *number, fault, answer),
                    _ => {}
                },
                Effect::Store {
                    request: StoreRequest::Transaction(txn),
                    ..
                } => remove_conditions(fault, txn),
                Effect::PushedCommands { body, .. } if fault == Fault::StopsNothing => {
                    body.commands.retain(|o| !matches!(o, AgentCommand::Stop { .. }));
                }
                Effect::PushedCommands { addr, body, .. } if fault == Fault::KeepsStarts => {
                    self.inject_repeated_starts(addr, body)
                }
                Effect::PushedCommands { body, .. } => self.inject_starts(fault, &mut body.commands),
                Effect::Peer {
                    to,
                    message:
                        PeerMessage::Attestation {
                            round, term, cancelled, ..
                        },
                } if fault == Fault::OneVouchesForAll => {
                    // The attestation is repeated in the name of every other controller.
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

/// Removes the conditions of a transaction that protect against this fault.
fn remove_conditions(fault: Fault, txn: &mut Transaction) {
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
