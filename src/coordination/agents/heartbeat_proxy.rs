//! The heartbeat proxy of every controller: it keeps the last heartbeat of each agent that sends
//! its heartbeats to this node, and answers agents without the leader while the leader can't be
//! reached.
//!
//! The proxy starts no task and makes no scheduling decision: it only renews leases, and stops
//! tasks of cancelled jobs. Invariant: a lease is renewed only if this node has read every job
//! whose tasks the agent runs, so that no task of a cancelled job is kept running.

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
use crate::settings::AgentTimes;
use crate::storage::keys;
use crate::storage::records::{to_value, ProxiedMachines};
use crate::time::Micros;
use std::collections::BTreeMap;

/// A heartbeat that was forwarded to the leader.
pub(super) struct ForwardedHeartbeat {
    /// The number of the agent's request, which waits for the response.
    pub(super) request_id: u64,
    pub(super) heartbeat: Heartbeat,
    /// When the heartbeat was forwarded.
    pub(super) at: Micros,
}

/// A heartbeat that this controller received.
pub(super) struct ReceivedHeartbeat {
    /// When the heartbeat was received.
    pub(super) at: Micros,
    pub(super) heartbeat: Heartbeat,
}

impl ReceivedHeartbeat {
    pub(super) fn new(at: Micros, heartbeat: &Heartbeat) -> ReceivedHeartbeat {
        ReceivedHeartbeat {
            at,
            heartbeat: heartbeat.clone(),
        }
    }
}

/// A redirect that was sent to an agent.
pub(super) struct SentRedirect {
    /// When the redirect was sent.
    pub(super) at: Micros,
    /// The controller to which the agent was redirected.
    pub(super) to: String,
}

/// The position of a heartbeat in the order of all heartbeats of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeartbeatNumber {
    incarnation: u64,
    sequence: u64,
}

impl HeartbeatNumber {
    pub(super) fn of(heartbeat: &Heartbeat) -> HeartbeatNumber {
        HeartbeatNumber {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        }
    }
}

/// The inputs to the decision whether this controller may renew a lease without the leader.
pub struct LeaseRenewer<'a> {
    /// The state of the election on this node.
    pub election: &'a Election,
    /// The attestations that show up to when cancellations are known.
    pub attestations: &'a CancellationAttestations,
    /// The job API, which has the phases of the jobs that this node has read.
    pub api: &'a JobApi,
    /// Settings and limits.
    pub cluster: &'a ClusterConfig,
}

/// A controller's state of the agents that send their heartbeats to it.
#[derive(Default)]
pub struct HeartbeatProxy {
    /// The last redirect of each agent, by machine.
    pub(super) redirects: BTreeMap<String, SentRedirect>,
    /// Forwarded heartbeats that the leader has not answered yet, by the number of the message.
    pub(super) forwarded: BTreeMap<u64, ForwardedHeartbeat>,
    /// The last heartbeat that this node received from each agent, by machine.
    pub(super) last_heartbeats: BTreeMap<String, ReceivedHeartbeat>,
    /// Controllers that agents could not reach, and until when no agent is redirected to them.
    pub(super) unreachable: BTreeMap<String, Micros>,
    /// How long no agent is redirected to a controller that an agent could not reach.
    pub(super) unreachable_for: Micros,
    /// Machines with a heartbeat that was answered without the leader, and the time of the last
    /// such answer.
    pub(super) proxied: BTreeMap<String, Micros>,
    /// The number of the last published heartbeat of each proxied machine.
    pub(super) published: BTreeMap<String, HeartbeatNumber>,
    /// The earliest time of the next publication of the proxied machines.
    pub(super) next_publication_at: Micros,
    /// The earliest time of the next redirect of an agent while this controller is isolated.
    pub(super) next_redirect_at: Micros,
}

/// The maximum number of proxied machines that are published.
const MAX_PUBLISHED: usize = 400;
/// The maximum number of redirects that are kept.
const MAX_REDIRECTS: usize = 10_000;
/// How long a machine counts as proxied after its last heartbeat that was answered without the
/// leader.
const PROXIED_FOR_S: f64 = 5.0;
/// How long the last heartbeat of an agent is kept.
const REMEMBERED_FOR_S: f64 = 60.0;
/// How long an agent counts as load after its last heartbeat.
const COUNTED_FOR_S: f64 = 15.0;
/// Timeout of a publication.
const PUBLISH_TIMEOUT: Micros = Micros::from_millis(700);
/// Interval between two publications of the proxied machines.
pub(super) const PUBLISH_INTERVAL: Micros = Micros::from_millis(2000);

impl HeartbeatProxy {
    /// Creates a proxy that has received no heartbeat yet.
    pub fn new(workers: &AgentTimes) -> HeartbeatProxy {
        HeartbeatProxy {
            unreachable_for: timing::unreachable_controller_timeout(workers),
            ..HeartbeatProxy::default()
        }
    }

    /// Passes the leader's response to a forwarded heartbeat on to the agent.
    ///
    /// Tasks of jobs that this node has read as cancelled are stopped and not started, because the
    /// leader may not have read the cancellation yet. No start is passed on from a leader that has
    /// been replaced.
    pub fn on_leader_response(
        &mut self,
        context: &mut Context,
        election: &Election,
        api: &JobApi,
        id: u64,
        mut commands: HeartbeatResponse,
    ) {
        let is_outdated = commands.fencing_token < election.term();
        let starts = |command: &AgentCommand| matches!(command, AgentCommand::Start { .. });
        let is_dropped = |command: &AgentCommand| starts_cancelled(api, command) || (is_outdated && starts(command));
        commands.commands.retain(|command| !is_dropped(command));
        if let Some(f) = self.forwarded.remove(&id) {
            self.proxied.remove(&f.heartbeat.machine);
            lease_renewal::add_stops_of_cancelled(api, &f.heartbeat, &mut commands.commands);
            context.reply(f.request_id, 200, to_cbor(&commands), None);
        }
    }

    /// Returns the zone of each agent that sends its heartbeats to this node, and the time of its
    /// last heartbeat.
    pub fn agent_zones(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.last_heartbeats
            .values()
            .map(|received| (received.heartbeat.zone.as_str(), received.at))
    }

    /// Returns the number of agents that send their heartbeats to this node. On the leader, which
    /// has more work for each agent, every agent counts twice.
    pub fn agent_count(&mut self, now: Micros, leads: bool) -> u32 {
        self.last_heartbeats
            .retain(|_, received| now.since(received.at) < Micros::from_secs(REMEMBERED_FOR_S));
        let counts = |received: &&ReceivedHeartbeat| now.since(received.at) < Micros::from_secs(COUNTED_FOR_S);
        let count = self.last_heartbeats.values().filter(counts).count() as u32;
        if leads {
            count * 2
        } else {
            count
        }
    }

    /// Returns whether the agent has just returned from a redirect because it could not reach the
    /// other controller. If so, no agent is redirected to that controller for a while.
    pub(super) fn returned_from_redirect(&mut self, machine: &str, now: Micros) -> bool {
        let Some(redirect) = self.redirects.get(machine) else {
            return false;
        };
        let returned = now.since(redirect.at) < timing::REDIRECT_RETURN;
        if returned {
            self.unreachable.insert(redirect.to.clone(), now + self.unreachable_for);
        }
        returned
    }

    /// Builds the lists of proxied machines to publish.
    ///
    /// A list has the names of its machines and as many of their last heartbeats with exited tasks
    /// as fit; heartbeats that were not published yet come first. The leader, which can't receive
    /// these heartbeats, records the outcomes of tasks from them. The names are split into several
    /// lists so that the names of one list take at most half of the size limit of a value.
    fn proxied_machine_lists(&mut self, cluster: &ClusterConfig) -> Vec<ProxiedMachines> {
        self.published.retain(|machine, _| self.proxied.contains_key(machine));
        let names: Vec<String> = self.proxied.keys().take(MAX_PUBLISHED).cloned().collect();
        let half = cluster.limits.max_value_bytes() / 2;
        let (mut lists, mut size) = (vec![], half);
        for name in names {
            let bytes = name.len() + 3;
            if size + bytes > half {
                lists.push(vec![]);
                size = 0;
            }
            size += bytes;
            if let Some(list) = lists.last_mut() {
                list.push(name);
            }
        }
        lists.truncate(cluster.limits.max_changes());
        let with_heartbeats = |machines| self.proxied_machine_list(cluster, machines);
        lists.into_iter().map(with_heartbeats).collect()
    }

    /// Builds one list of these machines, with as many of their heartbeats as fit.
    fn proxied_machine_list(&mut self, cluster: &ClusterConfig, machines: Vec<String>) -> ProxiedMachines {
        let has_ended_tasks = |h: &&Heartbeat| h.tasks.iter().any(|t| t.phase == TaskPhase::Exited);
        let received = machines.iter().filter_map(|name| self.last_heartbeats.get(name));
        let mut heartbeats: Vec<&Heartbeat> = received.map(|r| &r.heartbeat).filter(has_ended_tasks).collect();
        heartbeats.sort_by_key(|h| self.published.get(&h.machine) == Some(&HeartbeatNumber::of(h)));
        let value_bytes = cluster.limits.max_value_bytes();
        let free_bytes = value_bytes.saturating_sub(json_size(&machines) + 300);
        let heartbeats: Vec<Heartbeat> = heartbeats.into_iter().cloned().collect();
        let (packed, packed_count) = glenhaven_compression::pack(&heartbeats, free_bytes);
        for heartbeat in &heartbeats[..packed_count] {
            self.published
                .insert(heartbeat.machine.clone(), HeartbeatNumber::of(heartbeat));
        }
        // Even an empty list takes a few bytes when packed.
        let last_heartbeats = if packed_count == 0 { String::new() } else { packed };
        ProxiedMachines {
            machines,
            last_heartbeats,
        }
    }

    /// Answers forwarded heartbeats that the leader has not answered in time, and publishes the
    /// proxied machines when a publication is due.
    pub fn tick(&mut self, context: &mut Context, renewer: &LeaseRenewer) {
        self.answer_late(context, renewer);
        let now = context.now;
        self.proxied
            .retain(|_, at| now.since(*at) < Micros::from_secs(PROXIED_FOR_S));
        let is_leader = renewer.election.role() == Role::Leader;
        if !self.proxied.is_empty() && now >= self.next_publication_at && !is_leader {
            self.next_publication_at = now + PUBLISH_INTERVAL;
            self.publish(context, renewer);
        }
        while self.redirects.len() > MAX_REDIRECTS {
            self.redirects.pop_first();
        }
    }

    /// Answers forwarded heartbeats without the leader if it has not answered them in time.
    fn answer_late(&mut self, context: &mut Context, renewer: &LeaseRenewer) {
        let now = context.now;
        let late: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, f)| now.since(f.at) > timing::HEARTBEAT_FORWARD_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(f) = self.forwarded.remove(&id) {
                if answer_without_leader(context, renewer, f.request_id, &f.heartbeat) {
                    self.proxied.insert(f.heartbeat.machine.clone(), now);
                }
            }
        }
    }

    /// Publishes the proxied machines in the state service.
    ///
    /// Otherwise the leader, which receives no heartbeats from these machines, would consider them
    /// lost and release them with all their tasks.
    fn publish(&mut self, context: &mut Context, renewer: &LeaseRenewer) {
        let node = &renewer.cluster.settings.node;
        let mut changes = vec![];
        for (index, list) in self.proxied_machine_lists(renewer.cluster).into_iter().enumerate() {
            let key = match index {
                0 => format!("{}{node}", keys::PROXIED_MACHINES),
                _ => format!("{}{node}.{index}", keys::PROXIED_MACHINES),
            };
            changes.push(Change::Put {
                key,
                value: to_value(&list),
                lease: None,
            });
        }
        let txn = Transaction {
            conditions: vec![renewer.election.term_condition()],
            changes,
        };
        let continuation = Continuation::Election(ElectionContinuation::Unacknowledged);
        let request = StoreRequest::Transaction(txn);
        context
            .store
            .push(Urgency::Start, request, continuation, PUBLISH_TIMEOUT);
    }
}

/// Answers a heartbeat without the leader, and returns whether the agent's lease was renewed.
///
/// The lease is renewed only if this node has read the jobs of all running tasks in the heartbeat,
/// so that no task of a cancelled job is kept running.
pub(super) fn answer_without_leader(
    context: &mut Context,
    renewer: &LeaseRenewer,
    request_id: u64,
    heartbeat: &Heartbeat,
) -> bool {
    let LeaseRenewer {
        election,
        attestations,
        api,
        cluster,
    } = renewer;
    let mut running = heartbeat.tasks.iter().filter(|t| t.phase != TaskPhase::Exited);
    let all_known = running.all(|t| parse_task(&t.task).is_some_and(|(job, _)| api.phase(job).is_some()));
    let response = all_known.then(|| attestations.renewal(election, api, cluster, heartbeat, vec![], context.now));
    match response.flatten() {
        Some(response) => context.reply(request_id, 200, to_cbor(&response), None),
        None => {
            context.reply(request_id, 503, vec![], Some(1));
            return false;
        }
    }
    true
}
