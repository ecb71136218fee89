//! Tests of attempts that have ended: which proof lets an agent forget them, and what bounds the
//! number of those that have to wait for one.

use super::process_restarts::{at, cluster, heartbeat, place};
use glenhaven::coordination::agents::{Attempt, ForgetProof, SendContext, SentStarts};
use glenhaven::coordination::api::JobApi;
use glenhaven::coordination::state::{LeaderState, NewTermReason};
use glenhaven::protocol::agents::{AgentCommand, Cause, Heartbeat, TaskPhase, TaskStatus};

/// Returns the attempt at this task of one job.
fn attempt(task: usize) -> Attempt {
    Attempt {
        task: format!("run-000009/{task}"),
        number: 1,
    }
}

fn start(attempt: &Attempt) -> AgentCommand {
    AgentCommand::Start {
        task: attempt.task.clone(),
        attempt: attempt.number,
    }
}

/// Returns a heartbeat that lists these attempts as stopped.
fn stopped(sequence: u64, fencing_token: u64, tasks: std::ops::Range<usize>) -> Heartbeat {
    let status = |task| TaskStatus {
        task: attempt(task).task,
        attempt: 1,
        phase: TaskPhase::Exited,
        cause: Some(Cause::Stopped),
    };
    Heartbeat {
        fencing_token,
        ..heartbeat(sequence, tasks.map(status).collect())
    }
}

/// Returns a leader of term 1 that has pushed the starts of these tasks to n-000001, all answered.
fn leader_with_answered_starts(tasks: usize) -> LeaderState {
    let mut leader = LeaderState::new(1, 1, at(0));
    leader.apply_heartbeat(&cluster(), &heartbeat(1, vec![]), None, at(10), at(10));
    let machine = leader.machines.get_mut("n-000001").expect("the machine reported");
    let starts: Vec<AgentCommand> = (0..tasks).map(|task| start(&attempt(task))).collect();
    machine.outbox.sent_starts.record_push(&starts, 1);
    machine.outbox.sent_starts.on_push_answer(&starts);
    leader
}

/// Applies a heartbeat and returns the number of attempts that the response forgets.
fn forgotten_in_response(leader: &mut LeaderState, heartbeat: &Heartbeat) -> usize {
    let reasons = leader.apply_heartbeat(&cluster(), heartbeat, None, at(100), at(100));
    let api = JobApi::new("node-0");
    let send = SendContext {
        fencing_token: leader.term,
        api: &api,
        now: at(100),
    };
    let commands = leader.commands_in_response(&"n-000001".into(), reasons, &send);
    let is_forget = |command: &&AgentCommand| matches!(command, AgentCommand::Forget { .. });
    commands.iter().filter(is_forget).count()
}

#[test]
fn the_answer_to_a_start_is_no_proof_that_the_attempt_may_be_forgotten() {
    let (mut sent, ended) = (SentStarts::default(), attempt(0));
    sent.record_push(&[start(&ended)], 3);
    assert_eq!(
        sent.forget_proof(&ended, Cause::Done, 3),
        None,
        "the push is not answered"
    );
    sent.on_push_answer(&[start(&ended)]);
    for cause in [
        Cause::Stopped,
        Cause::Error,
        Cause::NoRoom,
        Cause::Busy,
        Cause::Unknown,
        Cause::Other,
    ] {
        assert_eq!(sent.forget_proof(&ended, cause, 3), None, "{cause:?}");
        let refused = Some(ForgetProof::RefusedByToken);
        assert_eq!(sent.forget_proof(&ended, cause, 4), refused, "{cause:?}");
    }
    let completed = Some(ForgetProof::Completed);
    assert_eq!(sent.forget_proof(&ended, Cause::Done, 3), completed);
    // One of two pushes of the start has no answer, and the start is pushed again under a later token.
    sent.record_push(&[start(&ended)], 3);
    sent.record_push(&[start(&ended)], 4);
    sent.on_push_answer(&[start(&ended)]);
    assert_eq!(sent.forget_proof(&ended, Cause::Done, 4), None);
    assert_eq!(sent.forget_proof(&ended, Cause::Stopped, 4), None);
    sent.drop_below(4);
    assert_eq!(sent.forget_proof(&ended, Cause::Stopped, 4), None);
    sent.drop_below(5);
    assert!(sent.forget_proof(&ended, Cause::Stopped, 4).is_some());
}

#[test]
fn an_attempt_whose_start_was_answered_is_forgotten_only_under_a_higher_term() {
    let mut leader = leader_with_answered_starts(2);
    assert_eq!(forgotten_in_response(&mut leader, &stopped(2, 1, 0..2)), 0);
    assert_eq!(leader.machines["n-000001"].retained_exits, 2);
    leader.term_raised(2);
    // The agent does not have the new token yet: the response that forgets the attempts brings it.
    assert_eq!(forgotten_in_response(&mut leader, &stopped(3, 1, 0..2)), 2);
    assert_eq!(leader.machines["n-000001"].retained_exits, 0);
}

#[test]
fn an_attempt_of_an_earlier_incarnation_or_leader_is_forgotten_at_once() {
    let mut leader = leader_with_answered_starts(1);
    let restarted = Heartbeat {
        incarnation: 2,
        ..stopped(1, 1, 0..1)
    };
    assert_eq!(forgotten_in_response(&mut leader, &restarted), 1);
    let mut successor = LeaderState::new(2, 2, at(0));
    assert_eq!(forgotten_in_response(&mut successor, &stopped(2, 1, 0..1)), 1);
}

#[test]
fn many_ended_attempts_request_a_higher_term_with_pauses_and_few_never() {
    let mut leader = leader_with_answered_starts(200);
    leader.apply_heartbeat(&cluster(), &stopped(2, 1, 0..63), None, at(100), at(100));
    for minute in 0..60 {
        leader.request_term_for_ended_attempts(&cluster(), at(minute * 60_000));
        assert_eq!(leader.new_term_reason, None, "63 attempts");
    }
    leader.apply_heartbeat(&cluster(), &stopped(3, 1, 0..64), None, at(200), at(200));
    let asked = at(60 * 60_000);
    leader.request_term_for_ended_attempts(&cluster(), asked);
    assert_eq!(leader.new_term_reason, Some(NewTermReason::EndedAttempts));
    leader.term_raised(2);
    let machine = leader.machines.get_mut("n-000001").expect("the machine reported");
    let starts: Vec<AgentCommand> = (0..200).map(|task| start(&attempt(task))).collect();
    machine.outbox.sent_starts.record_push(&starts, 2);
    leader.apply_heartbeat(&cluster(), &stopped(4, 2, 0..200), None, at(300), at(300));
    // The next request follows two leases of 10 s after the first.
    leader.request_term_for_ended_attempts(&cluster(), at(60 * 60_000 + 19_900));
    assert_eq!(leader.new_term_reason, None);
    leader.request_term_for_ended_attempts(&cluster(), at(60 * 60_000 + 20_000));
    assert_eq!(leader.new_term_reason, Some(NewTermReason::EndedAttempts));
}

#[test]
fn a_machine_with_very_many_ended_attempts_gets_starts_only_in_responses() {
    let mut leader = leader_with_answered_starts(300);
    place(&mut leader, at(20));
    let accepts = |leader: &LeaderState| leader.machines["n-000001"].accepts_pushed_starts();
    leader.apply_heartbeat(&cluster(), &stopped(2, 1, 0..255), None, at(100), at(100));
    assert!(accepts(&leader));
    let reasons = leader.apply_heartbeat(&cluster(), &stopped(3, 1, 0..256), None, at(200), at(200));
    assert!(!accepts(&leader));
    assert_eq!(reasons.starts.len(), 1, "the response starts the task");
    let heartbeat = stopped(4, 1, 0..256);
    let bytes = glenhaven::protocol::json_size(&heartbeat);
    assert!(bytes < 24 * 1024, "{bytes} of the 64 KiB of a heartbeat");
}

#[test]
fn an_attempt_that_runs_again_without_a_record_is_a_broken_invariant() {
    let mut leader = leader_with_answered_starts(1);
    let mut runs = stopped(2, 1, 0..1);
    (runs.tasks[0].phase, runs.tasks[0].cause) = (TaskPhase::Running, None);
    let reasons = leader.apply_heartbeat(&cluster(), &runs, None, at(100), at(100));
    assert_eq!(reasons.orphaned_attempts.len(), 1, "it is stopped");
    assert_eq!(leader.invariants.broken(), 1);
    runs.sequence = 3;
    leader.apply_heartbeat(&cluster(), &runs, None, at(200), at(200));
    assert_eq!(leader.invariants.broken(), 1, "counted once");
}
