//! Faults that the runner plants between a controller and the world, one for a guard each,
//! to show that the search for meetings finds them. The controllers' own code is what it is
//! in the daemon: nothing there can be switched.

use super::{Ev, Origin, World, SEC};
use glenhaven::coordination::{CloudAnswer, CloudRequest, Command, Effect, UserRequest};
use glenhaven::protocol::peer::PeerMessage;
use glenhaven::protocol::store::{Change, StoreRequest, Txn};
use glenhaven::protocol::users::{id_in, JobState, Phase};
use glenhaven::protocol::workers::{Direct, Order, Orders, Report};
use glenhaven::protocol::{from_cbor, to_cbor};
use glenhaven::transport::server::Outgoing;
use glenhaven_standins::user::job_of;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
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

pub const ALL: [Fault; 17] = [
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
pub type Kept = BTreeMap<String, (u64, Vec<Order>)>;

/// The submission of a job that each life of a node has yet to answer, and those that get the
/// same answer.
pub type Joined = BTreeMap<(usize, u64, String), (u64, Vec<u64>)>;

/// What each node last said of a job, and when.
pub type Cache = BTreeMap<(usize, String), (u64, Outgoing)>;

impl World {
    /// A copy of an earlier session's report, made to look like a later one's.
    pub fn plant_copy(&mut self, report: &mut Report) {
        if self.planted != Some(Fault::TakesEarlierSessions) {
            return;
        }
        let session = self.workers.get(&report.machine).map_or(0, |w| w.session());
        if report.session < session {
            report.session = session + 1;
        }
    }

    /// Starts too many, or too few.
    fn plant_starts(&self, fault: Fault, orders: &mut Vec<Order>) {
        if fault == Fault::StartsNotAll {
            orders.retain(|o| !matches!(o, Order::Start { task, .. } if job_of(task).ends_with('7')));
        }
        if fault != Fault::StartsCancelled {
            return;
        }
        for order in orders {
            if let Order::Stop { task, attempt, .. } = order {
                let user = self.users.get(job_of(task));
                if user.is_some_and(|u| u.cancelled.is_some_and(|at| at < self.now)) {
                    let (task, attempt) = (task.clone(), *attempt + 1000);
                    *order = Order::Start { task, attempt };
                }
            }
        }
    }

    /// Adds the starts that left for this address under an earlier term.
    fn plant_kept(&mut self, addr: &str, body: &mut Direct) {
        let starts = body.orders.iter().filter(|o| matches!(o, Order::Start { .. }));
        let starts: Vec<Order> = starts.cloned().collect();
        let kept = self.planted_kept.entry(addr.into()).or_default();
        if kept.0 < body.fence {
            body.orders.append(&mut kept.1);
            kept.0 = body.fence;
        }
        kept.1.extend(starts);
    }

    /// Keeps submissions from a node that has one of the same job to answer.
    pub fn plant_joins(&mut self, n: usize, batch: Vec<Command>) -> Vec<Command> {
        if self.planted != Some(Fault::JoinsSubmissions) {
            return batch;
        }
        let life = self.nodes[n].life;
        let mut taken = vec![];
        for command in batch {
            let submitted = match &command {
                Command::User {
                    id,
                    request: UserRequest::Submit(body),
                } => id_in(body).map(|job| (*id, job)),
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
    fn plant_joined(&mut self, answered: u64, answer: &Outgoing) -> Vec<Effect> {
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
    fn plant_look(&mut self, n: usize, number: u64, fault: Fault, answer: &mut Outgoing) {
        let Some(job) = self.troubles.job_of(number).map(str::to_string) else {
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
    pub fn plant(&mut self, n: usize, effects: Vec<Effect>) -> Vec<Effect> {
        let Some(fault) = self.planted else { return effects };
        let mut out = vec![];
        for mut effect in effects {
            if let (Fault::JoinsSubmissions, Effect::Reply { id, answer }) = (fault, &effect) {
                out.extend(self.plant_joined(*id, answer));
            }
            match &mut effect {
                Effect::Reply { id, answer } => match self.origins.get(id) {
                    Some(Origin::Worker(..)) if fault == Fault::RenewsUnproven && answer.status == 503 => {
                        let fence = self.last_term();
                        answer.status = 200;
                        answer.body = to_cbor(&Orders { fence, orders: vec![] });
                    }
                    Some(Origin::Worker(name, _)) if answer.status == 200 => {
                        if let Ok(mut orders) = from_cbor::<Orders>(&answer.body) {
                            if fault == Fault::StopsNothing {
                                orders.orders.retain(|o| !matches!(o, Order::Stop { .. }));
                            }
                            if fault == Fault::ForgetsAtOnce {
                                let tasks = self.workers.get(name).map(|w| &w.tasks);
                                for (task, attempt) in tasks.into_iter().flat_map(|t| t.keys()) {
                                    let (task, attempt) = (task.clone(), *attempt);
                                    orders.orders.push(Order::Forget { task, attempt });
                                }
                            }
                            self.plant_starts(fault, &mut orders.orders);
                            answer.body = to_cbor(&orders);
                        }
                    }
                    Some(Origin::User(..)) if fault == Fault::ForgetsInDoubt && answer.status == 503 => {
                        answer.status = 404;
                    }
                    Some(Origin::Look(number)) => self.plant_look(n, *number, fault, answer),
                    _ => {}
                },
                Effect::Store {
                    request: StoreRequest::Txn(txn),
                    ..
                } => strip(fault, txn),
                Effect::Direct { body, .. } if fault == Fault::StopsNothing => {
                    body.orders.retain(|o| !matches!(o, Order::Stop { .. }));
                }
                Effect::Direct { addr, body, .. } if fault == Fault::KeepsStarts => self.plant_kept(addr, body),
                Effect::Direct { body, .. } => self.plant_starts(fault, &mut body.orders),
                Effect::Peer {
                    to,
                    message:
                        PeerMessage::Vouched {
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
                                message: PeerMessage::Vouched {
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
                    let answer = CloudAnswer::Released;
                    let life = self.nodes[n].life;
                    self.after(1, Ev::Command(n, life, Command::Cloud { id: *id, answer }));
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
fn strip(fault: Fault, txn: &mut Txn) {
    use glenhaven::bookkeeping::keys;
    let puts = |prefix: &str| {
        txn.changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with(prefix)))
    };
    let (book, accepts) = (puts(keys::OPEN), puts(keys::ACCEPTED));
    let own_keys = puts(keys::JOBS) && !accepts && !book;
    let own = |key: &str| key.starts_with(keys::JOBS) && !key.starts_with(keys::ACCEPTED);
    match fault {
        Fault::StartsWhateverTheKey if book => txn.conditions.retain(|c| !own(&c.key)),
        Fault::WritesWhoeverLeads if book => txn.conditions.retain(|c| !c.key.starts_with(keys::TERM)),
        Fault::WritesOverPages => {
            txn.conditions
                .retain(|c| !c.key.starts_with(keys::OPEN) && !c.key.starts_with(keys::ACCEPTED));
        }
        Fault::CancelsWhateverTheKey if own_keys => txn.conditions.retain(|c| !own(&c.key)),
        _ => {}
    }
}
