//! Tests of outgoing commands: they are built from the records when a message leaves. What was
//! queued earlier is only a reason to look at a record, and sends nothing by itself.

use super::process_restarts::{at, cluster, heartbeat, place};
use glenhaven::coordination::agents::{parse_task, CommandReasons, SendContext};
use glenhaven::coordination::api::JobApi;
use glenhaven::coordination::state::void_proof::VoidProof;
use glenhaven::coordination::state::{LeaderState, MachineId, MachineState};
use glenhaven::protocol::agents::{AgentCommand, Cause, Heartbeat, TaskPhase, TaskStatus};
use glenhaven::protocol::users::Phase;

/// Returns a leader of term 1 that has recorded a start for n-000001 but not sent it.
fn leader_with_unsent_start() -> LeaderState {
    let mut leader = LeaderState::new(1, 1, at(0));
    leader.apply_heartbeat(&cluster(), &heartbeat(1, vec![]), None, at(10), at(10));
    place(&mut leader, at(20));
    let job = leader.jobs.get_mut("run-000001").expect("it was placed");
    job.placements.get_mut(&0).expect("it was placed").sent = false;
    leader.queue_start(&"run-000001".into(), 0);
    leader
}

/// Returns the commands of a push that leaves now with this fencing token.
fn pushed_commands(leader: &mut LeaderState, fencing_token: u64, api: &JobApi) -> Vec<AgentCommand> {
    let name: MachineId = "n-000001".into();
    let reasons: CommandReasons = leader.machines[&name].outbox.reasons.clone();
    let now = at(500);
    leader.commands_in_response(
        &name,
        reasons,
        &SendContext {
            fencing_token,
            api,
            now,
        },
    )
}

fn fenced(sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        fencing_token,
        ..heartbeat(sequence, vec![])
    }
}

fn is_placed(leader: &LeaderState) -> bool {
    leader.jobs["run-000001"].placements.contains_key(&0)
}

/// A heartbeat with a higher token does not void a placement whose start was never sent: the start
/// leaves with the new token, and the placement records that token.
#[test]
fn an_unsent_start_survives_a_new_term() {
    let mut leader = leader_with_unsent_start();
    leader.term_raised(2);
    leader.apply_heartbeat(&cluster(), &fenced(2, 2), None, at(100), at(100));
    assert!(is_placed(&leader), "nothing was sent that could have been refused");
    // Counted as free, its cores would let the team start more than its limit allows.
    assert_eq!(leader.jobs["run-000001"].held_tasks, 1);
    assert_eq!(pushed_commands(&mut leader, 2, &JobApi::new("node-0")).len(), 1);
    // The next heartbeat may have been sent before that start arrived, so it proves nothing.
    leader.apply_heartbeat(&cluster(), &fenced(3, 2), None, at(600), at(600));
    assert!(is_placed(&leader), "the start under token 2 may be on its way");
    leader.term_raised(3);
    leader.apply_heartbeat(&cluster(), &fenced(4, 3), None, at(700), at(700));
    assert!(!is_placed(&leader), "the start under token 2 is refused from now on");
}

/// A queued start is not sent if its record was freed or its task was stopped or its job cancelled.
#[test]
fn a_start_whose_reason_has_lapsed_is_not_sent() {
    let api = JobApi::new("node-0");
    let mut freed = leader_with_unsent_start();
    freed.free(&"run-000001".into(), 0, VoidProof::NeverSent, at(100));
    assert!(pushed_commands(&mut freed, 1, &api).is_empty());

    let mut stopped = leader_with_unsent_start();
    stopped.stop("run-000001", 0, 5.0, at(100));
    assert!(!is_placed(&stopped), "nothing was sent, so no confirmation is needed");
    assert!(pushed_commands(&mut stopped, 1, &api).is_empty());

    let mut cancelled = leader_with_unsent_start();
    cancelled.cancel("run-000001", at(100));
    assert!(pushed_commands(&mut cancelled, 1, &api).is_empty());

    // This controller has confirmed the cancellation; the leader's records don't have it yet.
    let mut confirmed = leader_with_unsent_start();
    let mut api = JobApi::new("node-0");
    api.record_phase("run-000001", 9, Phase::Cancelled);
    assert!(pushed_commands(&mut confirmed, 1, &api).is_empty());
}

/// No start is sent to a machine that is being released, or for a session that has ended.
#[test]
fn a_start_for_a_releasing_or_restarted_machine_is_not_sent() {
    let api = JobApi::new("node-0");
    let mut releasing = leader_with_unsent_start();
    releasing
        .machines
        .get_mut("n-000001")
        .expect("the machine reported")
        .state = MachineState::Releasing;
    assert!(pushed_commands(&mut releasing, 1, &api).is_empty());
    assert!(
        !is_placed(&releasing),
        "the start was never sent, so the task may start elsewhere"
    );

    let mut restarted = leader_with_unsent_start();
    let next_session = Heartbeat {
        incarnation: 2,
        ..heartbeat(1, vec![])
    };
    restarted.apply_heartbeat(&cluster(), &next_session, None, at(100), at(100));
    assert!(pushed_commands(&mut restarted, 1, &api).is_empty());
}

/// An exited attempt and a later one of the same task are kept apart, whichever of them a heartbeat
/// lists first.
#[test]
fn attempts_at_one_task_are_distinguished() {
    let listed = |attempt: u64, phase: TaskPhase| TaskStatus {
        task: "run-000001/0".into(),
        attempt,
        phase,
        cause: None,
    };
    for last_first in [false, true] {
        let mut leader = LeaderState::new(1, 1, at(0));
        leader.apply_heartbeat(&cluster(), &heartbeat(1, vec![]), None, at(10), at(10));
        place(&mut leader, at(20));
        leader.term_raised(2);
        let mut tasks = vec![listed(0, TaskPhase::Exited), listed(1, TaskPhase::Running)];
        if last_first {
            tasks.reverse();
        }
        let heartbeat = Heartbeat {
            fencing_token: 2,
            ..heartbeat(2, tasks)
        };
        leader.apply_heartbeat(&cluster(), &heartbeat, None, at(100), at(100));
        assert!(is_placed(&leader), "attempt 1 is on the machine");
    }
}

#[test]
fn a_task_has_one_name() {
    assert_eq!(parse_task("run-000001/17"), Some(("run-000001", 17)));
    assert_eq!(parse_task("run-000001/0"), Some(("run-000001", 0)));
    for name in [
        "run-000001/+0",
        "run-000001/00",
        "run-000001/",
        "run-000001",
        "run-000001/4294967296",
    ] {
        assert_eq!(parse_task(name), None, "{name}");
    }
}

/// A placement is freed only by a proof that covers it; any other proof changes nothing.
#[test]
fn a_record_stays_without_a_proof_that_covers_it() {
    let id = "run-000001".into();
    let uncovering = [
        VoidProof::NotRecorded,
        VoidProof::LaterIncarnation { reported: 1 },
        VoidProof::RefusedByToken { reported: 9 },
        VoidProof::Exited(Cause::Stopped),
    ];
    for proof in uncovering {
        let mut leader = leader_with_unsent_start();
        leader.free(&id, 0, proof, at(100));
        assert!(is_placed(&leader), "{proof:?} freed a record that it does not cover");
        assert_eq!(leader.jobs["run-000001"].held_tasks, 1);
    }
    let mut sent = leader_with_unsent_start();
    assert_eq!(pushed_commands(&mut sent, 1, &JobApi::new("node-0")).len(), 1);
    sent.free(&id, 0, VoidProof::NeverSent, at(100));
    assert!(is_placed(&sent), "the start was sent");
    sent.free(&id, 0, VoidProof::MachineReleased, at(100));
    assert!(!is_placed(&sent));
}

/// The leader that made a placement may have freed it without having written that to the log.
/// A later leader that restores the placement doesn't send its start again, and a heartbeat with
/// the current token voids the placement.
#[test]
fn an_inherited_start_is_not_sent_again() {
    let mut leader = leader_with_unsent_start();
    let job = leader.jobs.get_mut("run-000001").expect("it is open");
    let placement = job.placements.get_mut(&0).expect("it is placed");
    (placement.restored, placement.sent) = (true, true);
    leader.term_raised(2);
    let due = leader.apply_heartbeat(&cluster(), &fenced(2, 1), None, at(100), at(100));
    assert!(due.starts.is_empty(), "{due:?}");
    assert!(due.wants_heartbeat, "no report is requested from the machine");
    assert!(pushed_commands(&mut leader, 2, &JobApi::new("node-0")).is_empty());
    assert!(is_placed(&leader), "an earlier token proves nothing");
    leader.apply_heartbeat(&cluster(), &fenced(3, 2), None, at(200), at(200));
    assert!(!is_placed(&leader));
}
