//! Whether an answer may renew a worker's lease: what the other controllers say while the state
//! service answers nobody, and starts of cancelled jobs that may still be on their way.

use super::lives::{at, life, place, site};
use glenhaven::bookkeeping::records::{to_value, JobValue, Release, VOUCHES};
use glenhaven::coordination::book::Leader;
use glenhaven::coordination::{Command, Core, Effect};
use glenhaven::protocol::from_cbor;
use glenhaven::protocol::peer::{Link, PeerMessage};
use glenhaven::protocol::store::{Event, Events, Row, StoreAnswer, StoreRequest};
use glenhaven::protocol::users::Phase;
use glenhaven::protocol::workers::{Order, Orders, Report, TaskPhase, TaskReport};

fn report(serial: u64, tasks: &[&str]) -> Report {
    let running = |task: &&str| TaskReport {
        task: task.to_string(),
        attempt: 1,
        phase: TaskPhase::Running,
        cause: None,
    };
    Report {
        machine: "n-000001".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        serial,
        fence: 1,
        notice_s: None,
        tasks: tasks.iter().map(running).collect(),
    }
}

/// The time passes: the other controller, which leads, is heard, and takes in what it is sent.
fn passes(core: &mut Core, ms: u64, mut batch: Vec<Command>) -> Vec<Effect> {
    if ms % 500 == 0 {
        batch.push(Command::Peer(PeerMessage::Alive {
            node: "node-1".into(),
            term: 3,
            fresh: false,
            leads: true,
            wants: 0,
            serves: 0,
            at: ms,
            links: vec![],
        }));
        let (node, link) = ("node-1".into(), Link::Up);
        batch.push(Command::Link { node, link });
    }
    core.handle(at(ms), batch)
}

/// Answers everything that a node asks of the state service for four seconds: one open job,
/// which a worker reports meanwhile, and what the other controller said that it runs.
fn serve(core: &mut Core, release: u32) {
    let (id, report) = (1, report(1, &[TASK]));
    let mut due = vec![(1600, Command::Report { id, report })];
    for now in (100..4100).step_by(20) {
        let (ready, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(when, _)| *when <= now);
        due = rest;
        let batch = ready.into_iter().map(|(_, command)| command).collect();
        for effect in passes(core, now, batch) {
            let Effect::Store { id, request, .. } = effect else {
                continue;
            };
            let said = to_value(&Release { release, began_ms: 1 });
            let (wait, answer) = match request {
                StoreRequest::Watch { prefix, after, wait_ms } => {
                    let put = |key: &str, value, version| Event::Put {
                        key: key.into(),
                        value,
                        version,
                    };
                    let events = match prefix.as_str() {
                        "term" if after < 10 => vec![put("term-release/node-1", said, 10)],
                        _ => vec![],
                    };
                    let wait = if events.is_empty() { wait_ms } else { 1 };
                    (wait, StoreAnswer::Events(Events { revision: 10, events }))
                }
                StoreRequest::Get { key } => {
                    let open = JobValue {
                        phase: Phase::Pending,
                        spec: None,
                    };
                    let value = to_value(&open);
                    (1, StoreAnswer::Row(Row { key, value, version: 4 }))
                }
                StoreRequest::List { .. } => (
                    1,
                    StoreAnswer::Rows(glenhaven::protocol::store::Rows {
                        items: vec![],
                        more: false,
                        revision: 9,
                    }),
                ),
                _ => (1, StoreAnswer::Committed { revision: 10 }),
            };
            due.push((now + wait, Command::Store { id, answer }));
        }
    }
}

/// Has a worker report while nobody hears of the leader; the answer's status and orders.
fn asks(core: &mut Core, ms: u64, serial: u64, tasks: &[&str]) -> (u16, Vec<Order>) {
    let report = report(serial, tasks);
    let id = 5000 + serial;
    // The other controller is heard before.
    for before in (ms - 1500..ms).step_by(20) {
        passes(core, before, vec![]);
    }
    let mut effects = passes(core, ms, vec![Command::Report { id, report }]);
    // Passed on in vain, it is answered alone after a while.
    for later in (20..2000).step_by(20) {
        effects.extend(passes(core, ms + later, vec![]));
    }
    let answer = effects.into_iter().find_map(|e| match e {
        Effect::Reply { id: to, answer } if to == id => Some(answer),
        _ => None,
    });
    let answer = answer.expect("every report is answered");
    let orders = from_cbor::<Orders>(&answer.body).map_or(vec![], |o| o.orders);
    (answer.status, orders)
}

/// Lets the time pass, and answers a question about cancellations if there is one, or says
/// that there was none.
fn vouch(core: &mut Core, from: u64, cancelled: &[(&str, u64)]) -> bool {
    for now in (from..from + 3000).step_by(20) {
        for effect in passes(core, now, vec![]) {
            let Effect::Peer {
                message: PeerMessage::Inquire { round, .. },
                ..
            } = effect
            else {
                continue;
            };
            let word = PeerMessage::Vouched {
                node: "node-1".into(),
                round,
                cancelled: cancelled.iter().map(|(job, v)| (job.to_string(), *v)).collect(),
            };
            core.handle(at(now + 1), vec![Command::Peer(word)]);
            return true;
        }
    }
    false
}

/// `cancel_s` is 40 s and the lease 10 s in the runner's settings: what was read at 4 s renews
/// nothing from 33 s on.
const LATE: u64 = 60_000;
const TASK: &str = "run-000007/0";

fn known(release: u32) -> Core {
    let mut core = life(3);
    // What it asked as it began went unanswered.
    let unanswered = |id| Command::Store {
        id,
        answer: StoreAnswer::Unknown,
    };
    core.handle(at(50), (1..20).map(unanswered).collect());
    serve(&mut core, release);
    assert_eq!(asks(&mut core, 4200, 2, &[TASK]).0, 200, "it is known, and fresh");
    core
}

#[test]
fn in_an_outage_leases_live_by_the_word_of_all_others() {
    let mut core = known(VOUCHES);
    assert_eq!(asks(&mut core, LATE, 3, &[TASK]).0, 503, "nobody has said anything");
    assert!(vouch(&mut core, LATE + 3000, &[]));
    assert_eq!(asks(&mut core, LATE + 6100, 4, &[TASK]), (200, vec![]));
    // The word is good for as long as what the state service says.
    assert_eq!(asks(&mut core, LATE + 60_000, 5, &[TASK]).0, 503);
}

#[test]
fn what_another_controller_confirmed_in_secret_is_stopped() {
    let mut core = known(VOUCHES);
    assert!(vouch(&mut core, LATE, &[("run-000007", 44)]));
    let (status, orders) = asks(&mut core, LATE + 3100, 4, &[TASK]);
    assert_eq!(status, 200);
    assert!(
        matches!(&orders[..], [Order::Stop { task, grace_s, .. }] if task == TASK && *grace_s == 0.0),
        "{orders:?}"
    );
}

#[test]
fn a_controller_of_an_earlier_release_is_not_asked() {
    let mut core = known(VOUCHES - 1);
    assert!(!vouch(&mut core, LATE, &[]));
    assert_eq!(asks(&mut core, LATE + 3100, 4, &[TASK]).0, 503);
}

/// An answer to another question, or in the name of a stranger, proves nothing.
#[test]
fn a_word_for_another_question_counts_for_nothing() {
    let mut core = known(VOUCHES);
    for (node, round) in [("node-1", 0), ("node-9", 0), ("node-1", u64::MAX)] {
        let word = PeerMessage::Vouched {
            node: node.into(),
            round,
            cancelled: vec![],
        };
        core.handle(at(LATE), vec![Command::Peer(word)]);
    }
    assert_eq!(asks(&mut core, LATE + 100, 4, &[TASK]).0, 503);
}

/// What this life of a process was told is all it can say: asked from before it began, it is
/// silent, since an earlier life may have confirmed more.
#[test]
fn a_process_that_has_begun_says_nothing_of_its_earlier_lives() {
    let mut core = life(3);
    let mut answers = |seen: u64, ms: u64| {
        let question = PeerMessage::Inquire {
            node: "node-1".into(),
            round: 1,
            seen,
        };
        let effects = core.handle(at(ms), vec![Command::Peer(question)]);
        let word = |e: &Effect| {
            matches!(
                e,
                Effect::Peer {
                    message: PeerMessage::Vouched { .. },
                    ..
                }
            )
        };
        effects.iter().filter(|e| word(e)).count()
    };
    // It read the term's keys at revision 9.
    assert_eq!(answers(8, 100), 0);
    assert_eq!(answers(9, 120), 1);
}

/// A leader of term 1 whose cancelled job's start was sent and never seen.
fn flying() -> Leader {
    let mut leader = Leader::new(1, 1, at(0));
    leader.on_report(&site(), &report(1, &[]), None, at(10), at(10));
    place(&mut leader, at(20));
    leader
}

#[test]
fn a_start_that_was_never_seen_raises_the_term_also_when_its_machine_is_not_heard() {
    let mut leader = flying();
    leader.cancel("run-000001", at(1000));
    leader.look_for_unsettled(at(3000));
    assert!(leader.new_term.is_none(), "its next report may tell");
    leader.look_for_unsettled(at(5000));
    assert!(leader.new_term.is_some());
    leader.term_raised(2);
    leader.look_for_unsettled(at(9000));
    assert!(leader.new_term.is_none(), "once is enough");
}

#[test]
fn a_lease_ends_in_time_where_a_cancelled_start_may_still_arrive() {
    let site = site();
    let lapses = |leader: &Leader, ms: u64, tasks: &[&str]| leader.must_lapse(&site, &report(2, tasks), at(ms));
    let mut leader = flying();
    leader.proven = at(900);
    leader.cancel("run-000001", at(1000));
    leader.look_for_unsettled(at(5000));
    assert!(!lapses(&leader, 5000, &[]), "there is time to raise the term");
    // 40 s after the cancellation, at the latest, nothing may begin: 10 s of lease before.
    assert!(lapses(&leader, 31_000, &[]));
    assert!(!lapses(&leader, 31_000, &["run-000001/0"]), "it is there, and stopped");
    leader.term_raised(2);
    assert!(!lapses(&leader, 31_000, &[]), "the answer's fence refuses it");
}
