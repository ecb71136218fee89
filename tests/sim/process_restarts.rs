//! Tests of a process that restarts within a fraction of a second, while answers to requests of
//! the previous process are still in flight; and the fixtures of the tests of single controllers.

use super::script::Script;
use glenhaven::coordination::agents::{CommandReasons, SendContext};
use glenhaven::coordination::api::JobApi;
use glenhaven::coordination::state::{Job, LeaderState, Placement, PlacementPhase, TaskState};
use glenhaven::coordination::{ClusterConfig, Controller, Effect, Event};
use glenhaven::protocol::agents::{Heartbeat, HeartbeatResponse, TaskStatus};
use glenhaven::protocol::peer::{Link, PeerMessage};
use glenhaven::protocol::store::{Row, Rows, StoreRequest, StoreResponse};
use glenhaven::storage::records::{to_value, Term};
use glenhaven::time::Micros;

pub(super) fn at(ms: u64) -> Micros {
    Micros::from_millis(86_400_000 + ms)
}

/// Returns a new process of node-0 that has learned that node-1 leads and can reach it.
pub(super) fn follower(seed: u64) -> Controller {
    let settings = Script::parse("nodes a a").unwrap().settings().remove(0);
    let mut controller = Controller::new(settings, seed, at(0));
    let effects = controller.handle(at(0), vec![]);
    let read = effects.iter().find_map(|e| match e {
        Effect::Store {
            id,
            request: StoreRequest::List { prefix, .. },
            ..
        } if prefix == "term" => Some(*id),
        _ => None,
    });
    let term = Term {
        term: 3,
        leader: "node-1".into(),
        members: vec![],
    };
    let row = |key: &str, value| Row {
        key: key.into(),
        value,
        version: 7,
    };
    let items = vec![row("term", to_value(&term)), row("term-live", to_value(&"node-1"))];
    let answer = StoreResponse::Rows(Rows {
        items,
        more: false,
        revision: 9,
    });
    let id = read.expect("the term is read first");
    let link = Event::Link {
        node: "node-1".into(),
        link: Link::Up,
    };
    let alive = Event::Peer(PeerMessage::Alive {
        node: "node-1".into(),
        term: 3,
        store_verified: true,
        leads: true,
        changes_per_1000_s: 0,
        agent_count: 0,
        sent_at_us: 5,
        links: vec![],
    });
    controller.handle(at(10), vec![Event::Store { id, answer }, alive, link]);
    controller
}

/// Delivers a worker's heartbeat, and returns the ID under which it is forwarded to the leader.
fn forward_heartbeat(controller: &mut Controller, machine: &str) -> u64 {
    let heartbeat = Heartbeat {
        machine: machine.into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: 5,
        fencing_token: 3,
        notice_s: None,
        tasks: vec![],
    };
    let effects = controller.handle(at(20), vec![Event::Heartbeat { id: 1, heartbeat }]);
    let forwarded = effects.iter().find_map(|e| match e {
        Effect::Peer {
            message: PeerMessage::Heartbeat { id, .. },
            ..
        } => Some(*id),
        _ => None,
    });
    forwarded.expect("the report is forwarded")
}

/// Delivers the leader's response to the forwarded heartbeat, and returns the number of answers
/// that are sent to workers.
fn deliver_response(controller: &mut Controller, id: u64) -> usize {
    let commands = HeartbeatResponse {
        fencing_token: 3,
        commands: vec![],
    };
    let response = Event::Peer(PeerMessage::HeartbeatResponse { id, commands });
    let effects = controller.handle(at(30), vec![response]);
    effects.iter().filter(|e| matches!(e, Effect::Reply { .. })).count()
}

#[test]
fn a_response_to_an_earlier_process_is_not_given_to_another_worker() {
    for seed in 0..20 {
        let earlier = forward_heartbeat(&mut follower(seed), "n-000001");
        let mut controller = follower(seed + 1000);
        let own = forward_heartbeat(&mut controller, "n-000002");
        assert_eq!(
            deliver_response(&mut controller, earlier),
            0,
            "commands for one worker are sent to another"
        );
        assert_eq!(
            deliver_response(&mut controller, own),
            1,
            "the worker's own answer is forwarded"
        );
    }
}

/// Returns the configuration of a cluster of two controllers.
pub(super) fn cluster() -> ClusterConfig {
    let settings = Script::parse("nodes a a").unwrap().settings().remove(0);
    ClusterConfig {
        limits: settings.params.state.limits(),
        settings,
        catalogue: Default::default(),
        outdated_peer: None,
    }
}

/// Returns a heartbeat of n-000001 in its first session.
pub(super) fn heartbeat(sequence: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "n-000001".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: 1,
        notice_s: None,
        tasks,
    }
}

/// Adds a placement of `run-000001/0` on n-000001, in its first session, whose start was sent.
pub(super) fn place(leader: &mut LeaderState, since: Micros) {
    let mut job = Job::new("run-000001", super::script::plain_spec("run-000001"), 5, 0, since);
    job.waiting.clear();
    job.task_states[0] = TaskState::Placed;
    job.held_tasks = 1;
    let placement = Placement {
        attempt: 1,
        machine: "n-000001".into(),
        incarnation: 1,
        fencing_token: 1,
        phase: PlacementPhase::Sent,
        sent: true,
        stop_grace_s: None,
        stop_requested_at: since,
        on_helper_slots: false,
        placed_at: since,
        running_since: None,
        restored: false,
    };
    job.placements.insert(0, placement);
    let machine = leader.machines.get_mut("n-000001").expect("the machine reported");
    machine.add_task(&job.id, 0, &job.spec);
    leader.jobs.insert(job.id.clone(), job);
}

/// A start is pushed to the worker, and is also part of the answer to a heartbeat that left before
/// the push arrived. The worker gets no command to forget the attempt while that answer may be in
/// flight: otherwise the answer would start the attempt again while the next attempt runs.
#[test]
fn a_start_in_an_answer_keeps_its_attempt_known() {
    use glenhaven::protocol::agents::{AgentCommand, Cause, TaskPhase};

    let cluster = cluster();
    let heartbeat = |sequence: u64, phase: Option<(TaskPhase, Option<Cause>)>| {
        let task = |(phase, cause)| TaskStatus {
            task: "run-000001/0".into(),
            attempt: 1,
            phase,
            cause,
        };
        heartbeat(sequence, phase.map(task).into_iter().collect())
    };
    let mut leader = LeaderState::new(1, 1, at(0));
    let api = JobApi::new("node-0");
    let commands = |leader: &mut LeaderState, due: CommandReasons, ms: u64| {
        let leave = SendContext {
            fencing_token: 1,
            api: &api,
            now: at(ms),
        };
        leader.commands_in_response(&"n-000001".into(), due, &leave)
    };
    let due = leader.apply_heartbeat(&cluster, &heartbeat(1, None), None, at(10), at(10));
    assert!(commands(&mut leader, due, 10).is_empty());
    place(&mut leader, at(20));
    let starts = |commands: &[AgentCommand]| {
        commands
            .iter()
            .filter(|o| matches!(o, AgentCommand::Start { .. }))
            .count()
    };
    let forgets = |commands: &[AgentCommand]| {
        commands
            .iter()
            .filter(|o| matches!(o, AgentCommand::Forget { .. }))
            .count()
    };
    // This heartbeat left before the pushed start arrived.
    let due = leader.apply_heartbeat(&cluster, &heartbeat(2, None), None, at(30), at(30));
    assert_eq!(starts(&commands(&mut leader, due, 30)), 1);
    let running = heartbeat(3, Some((TaskPhase::Running, None)));
    leader.apply_heartbeat_content(&cluster, &running, None, at(40), at(40));
    let stopped = || Some((TaskPhase::Exited, Some(Cause::Stopped)));
    let due = leader.apply_heartbeat_content(&cluster, &heartbeat(4, stopped()), None, at(60), at(60));
    let sent = commands(&mut leader, due, 60);
    assert_eq!(forgets(&sent), 0, "the answer to report 2 may still be on its way");
    // A copy of an old heartbeat proves nothing about that answer.
    leader.apply_heartbeat(&cluster, &heartbeat(1, None), None, at(65), at(65));
    let due = leader.apply_heartbeat_content(&cluster, &heartbeat(5, stopped()), None, at(70), at(70));
    assert_eq!(forgets(&commands(&mut leader, due, 70)), 0);
    // The worker's next heartbeat proves that the answer was received or dropped.
    let due = leader.apply_heartbeat(&cluster, &heartbeat(6, stopped()), None, at(500), at(500));
    assert_eq!(forgets(&commands(&mut leader, due, 500)), 1);
}
