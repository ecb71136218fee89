//! What a controller that does not lead remembers of workers, and how it answers alone.

use super::outbox::starts_cancelled;
use super::parse_task;
use crate::coordination::api::JobApi;
use crate::coordination::election::{Election, ElectionContinuation, Role};
use crate::coordination::lease_renewal::{self, CancellationAttestations};
use crate::coordination::store_queue::Urgency;
use crate::coordination::{timing, ClusterConfig, Context, Continuation};
use crate::protocol::agents::{AgentCommand, Heartbeat, HeartbeatResponse, TaskPhase};
use crate::protocol::store::{Change, StoreRequest, Transaction};
use crate::protocol::{json_size, to_cbor};
use crate::settings::Workers;
use crate::storage::keys;
use crate::storage::records::{to_value, ProxiedMachines};
use crate::time::Micros;
use std::collections::BTreeMap;

/// A report passed on to the leader.
pub(super) struct Forwarded {
    pub(super) reply: u64,
    pub(super) heartbeat: Heartbeat,
    pub(super) at: Micros,
}

/// What a node that does not lead remembers of workers.
#[derive(Default)]
pub struct HeartbeatProxy {
    /// Workers sent to another node: when, and to which.
    pub(super) sent_away: BTreeMap<String, (Micros, String)>,
    pub(super) forwarded: BTreeMap<u64, Forwarded>,
    /// The last report of each worker that reports here, and when it came.
    pub(super) served: BTreeMap<String, (Micros, Heartbeat)>,
    /// Nodes that workers could not reach, until when they are not named.
    pub(super) unreached: BTreeMap<String, Micros>,
    pub(super) unreached_for: Micros,
    /// Machines kept without the leader, and when each last reported.
    pub(super) kept: BTreeMap<String, Micros>,
    /// The last report of each that the state service was told of.
    pub(super) told: BTreeMap<String, (u64, u64)>,
    pub(super) next_publish: Micros,
    /// When the next worker may be sent on.
    pub(super) next_sent_on: Micros,
}

/// Kept machines that are named at the most.
const KEPT: usize = 400;
/// How often a node says which machines it keeps.
pub(super) const PUBLISH: Micros = Micros::from_millis(2000);

impl HeartbeatProxy {
    pub fn new(workers: &Workers) -> HeartbeatProxy {
        HeartbeatProxy {
            unreached_for: timing::unreachable_controller(workers),
            ..HeartbeatProxy::default()
        }
    }

    /// The leader's answer to a report that was passed on.
    /// What this node knows to be cancelled, and the leader may not, is stopped with it and not
    /// started. Of a leader that was deposed meanwhile nothing is started.
    pub fn answered(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        id: u64,
        mut commands: HeartbeatResponse,
    ) {
        let deposed = commands.fencing_token < election.term();
        let starts = |command: &AgentCommand| matches!(command, AgentCommand::Start { .. });
        let void = |command: &AgentCommand| starts_cancelled(api, command) || (deposed && starts(command));
        commands.commands.retain(|command| !void(command));
        if let Some(f) = self.forwarded.remove(&id) {
            self.kept.remove(&f.heartbeat.machine);
            lease_renewal::add_stops(api, &f.heartbeat, &mut commands.commands);
            context.reply(f.reply, 200, to_cbor(&commands), None);
        }
    }

    /// The zones of the workers that report here, and when each last did.
    pub fn reporting(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.served
            .values()
            .map(|(at, heartbeat)| (heartbeat.zone.as_str(), *at))
    }

    /// How many workers report here. The leader, which has more to do, counts
    /// them twice.
    pub fn serves(&mut self, now: Micros, leads: bool) -> u32 {
        self.served
            .retain(|_, (at, _)| now.since(*at) < Micros::from_secs(60.0));
        let recent = |at: Micros| now.since(at) < Micros::from_secs(15.0);
        let n = self.served.values().filter(|(at, _)| recent(*at)).count() as u32;
        if leads {
            n * 2
        } else {
            n
        }
    }

    /// The worker was sent to another node lately and came back: it could not
    /// reach that one.
    pub(super) fn came_back(&mut self, machine: &str, now: Micros) -> bool {
        let Some((at, to)) = self.sent_away.get(machine) else {
            return false;
        };
        let back = now.since(*at) < timing::REDIRECT_RETURN;
        if back {
            self.unreached.insert(to.clone(), now + self.unreached_for);
        }
        back
    }

    /// What this node says of the machines that it keeps: their names, and of as many as
    /// fit the reports that tell of tasks that ended, those first that were not told.
    /// The leader, which can't hear these workers, records the outcomes meanwhile.
    ///
    /// As many values as it takes: the names alone may exceed one.
    fn care_values(&mut self, cluster: &ClusterConfig) -> Vec<ProxiedMachines> {
        self.told.retain(|machine, _| self.kept.contains_key(machine));
        let names: Vec<String> = self.kept.keys().take(KEPT).cloned().collect();
        let half = cluster.limits.value_bytes() / 2;
        let (mut parts, mut size) = (vec![], half);
        for name in names {
            let takes = name.len() + 3;
            if size + takes > half {
                parts.push(vec![]);
                size = 0;
            }
            size += takes;
            if let Some(part) = parts.last_mut() {
                part.push(name);
            }
        }
        parts.truncate(cluster.limits.changes());
        parts.into_iter().map(|kept| self.care_value(cluster, kept)).collect()
    }

    fn care_value(&mut self, cluster: &ClusterConfig, kept: Vec<String>) -> ProxiedMachines {
        let ended = |r: &&Heartbeat| r.tasks.iter().any(|t| t.phase == TaskPhase::Exited);
        let heartbeats = kept.iter().filter_map(|name| self.served.get(name));
        let mut heartbeats: Vec<&Heartbeat> = heartbeats.map(|(_, r)| r).filter(ended).collect();
        let number = |r: &Heartbeat| (r.incarnation, r.sequence);
        heartbeats.sort_by_key(|r| self.told.get(&r.machine) == Some(&number(r)));
        let value = cluster.limits.value_bytes();
        let room = value.saturating_sub(json_size(&kept) + 300);
        let heartbeats: Vec<Heartbeat> = heartbeats.into_iter().cloned().collect();
        let (told, taken) = glenhaven_compression::pack(&heartbeats, room);
        for r in &heartbeats[..taken] {
            self.told.insert(r.machine.clone(), number(r));
        }
        // Even nothing takes a few bytes.
        let told = if taken == 0 { String::new() } else { told };
        ProxiedMachines {
            machines: kept,
            last_heartbeats: told,
        }
    }

    /// Answers reports that the leader has not answered in time.
    pub fn tick(
        &mut self,
        context: &mut Context,
        election: &Election,
        attestations: &CancellationAttestations,
        api: &JobApi,
        cluster: &ClusterConfig,
    ) {
        let now = context.now;
        let late: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, f)| now.since(f.at) > timing::HEARTBEAT_FORWARD)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(f) = self.forwarded.remove(&id) {
                if answer_alone(context, election, attestations, api, cluster, f.reply, &f.heartbeat) {
                    self.kept.insert(f.heartbeat.machine.clone(), now);
                }
            }
        }
        // The leader, cut off from these machines, would take them for dead
        // and release them with everything that runs there.
        self.kept.retain(|_, at| now.since(*at) < Micros::from_secs(5.0));
        if !self.kept.is_empty() && now >= self.next_publish && election.role() != Role::Leader {
            self.next_publish = now + PUBLISH;
            let mut changes = vec![];
            for (n, care) in self.care_values(cluster).into_iter().enumerate() {
                let key = match n {
                    0 => format!("{}{}", keys::PROXIED_MACHINES, cluster.settings.node),
                    n => format!("{}{}.{n}", keys::PROXIED_MACHINES, cluster.settings.node),
                };
                changes.push(Change::Put {
                    key,
                    value: to_value(&care),
                    lease: None,
                });
            }
            let txn = Transaction {
                conditions: vec![election.condition()],
                changes,
            };
            let continuation = Continuation::Election(ElectionContinuation::Unacknowledged);
            context.store.push(
                Urgency::Start,
                StoreRequest::Transaction(txn),
                continuation,
                Micros::from_millis(700),
            );
        }
        while self.sent_away.len() > 10_000 {
            self.sent_away.pop_first();
        }
    }
}

/// Keeps a worker's lease alive without the leader: only while this node knows the state of
/// every job in the report, so that no cancelled task is kept.
pub(super) fn answer_alone(
    context: &mut Context,
    election: &Election,
    attestations: &CancellationAttestations,
    api: &JobApi,
    cluster: &ClusterConfig,
    reply: u64,
    heartbeat: &Heartbeat,
) -> bool {
    let mut runs = heartbeat.tasks.iter().filter(|t| t.phase != TaskPhase::Exited);
    let all_known = runs.all(|t| parse_task(&t.task).is_some_and(|(job, _)| api.phase(job).is_some()));
    let commands = all_known.then(|| attestations.renewal(election, api, cluster, heartbeat, vec![], context.now));
    match commands.flatten() {
        Some(commands) => context.reply(reply, 200, to_cbor(&commands), None),
        None => {
            context.reply(reply, 503, vec![], Some(1));
            return false;
        }
    }
    true
}
