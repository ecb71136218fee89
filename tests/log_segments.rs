//! Tests of the segments of the leader's write-ahead log: packed entries are replayed unchanged
//! and stay within the size limits of a segment and of a transaction.

use glenhaven::coordination::log::compaction::{extra_segments, segments_allowed};
use glenhaven::coordination::log::packing::SegmentPacker;
use glenhaven::coordination::log::queues::QueuedStarts;
use glenhaven::coordination::log::replay::{FreeSlot, Replay, StoredSegment};
use glenhaven::protocol::json_size;
use glenhaven::protocol::users::{JobSpec, Priority};
use glenhaven::storage::records::{ClaimValue, Entry, PlacementRow, Segment, TaskRangeRecord};
use std::collections::BTreeSet;

/// Smallest limit on the size of a value that the state service announces.
const VALUE_BYTES: usize = 2048;
/// Largest size of a transaction.
const TRANSACTION_BYTES: usize = 64 * 1024;

fn task_range_record(job: &str, full: bool, tasks: u32) -> TaskRangeRecord {
    let row = |task: u32| (task, u64::from(task) + 1, format!("n-{task:06}"), 7, 3);
    TaskRangeRecord {
        job: job.into(),
        range_index: 0,
        full,
        last_attempt: 9,
        done: vec![],
        void: if full { vec![] } else { vec![(0, 0), (5, 9)] },
        placements: (0..tasks).map(row).collect(),
    }
}

/// Returns the packed segments as they are written.
fn segments(packer: SegmentPacker) -> Vec<Segment> {
    let segment = |entries| Segment {
        term: 1,
        seq: 1,
        entries,
        ..Segment::default()
    };
    packer.into_segments().into_iter().map(segment).collect()
}

fn fragments<'a>(segments: &'a [Segment]) -> Vec<&'a TaskRangeRecord> {
    let entries = segments.iter().flat_map(|p| &p.entries);
    let record = |entry: &'a Entry| match entry {
        Entry::TaskRangeRecord(record) => Some(record),
        _ => None,
    };
    entries.filter_map(record).collect()
}

#[test]
fn a_large_task_range_is_split_and_its_first_fragment_is_full() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 1, 20);
    let whole = task_range_record("run-000001", true, 200);
    assert_eq!(
        packer.add_task_range(whole.clone()),
        Some(0),
        "a task range alone may exceed the budget"
    );
    let segments = segments(packer);
    assert!(segments.len() > 2);
    assert!(segments.iter().all(|p| json_size(p) <= VALUE_BYTES));
    let fragments = fragments(&segments);
    assert!(fragments[0].full);
    assert!(fragments[1..].iter().all(|f| !f.full));
    assert!(fragments.iter().all(|f| f.last_attempt == whole.last_attempt));
    let rows = fragments.iter().flat_map(|f| f.placements.clone());
    assert_eq!(rows.collect::<Vec<_>>(), whole.placements);
}

#[test]
fn void_tasks_come_before_placements() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 20, 20);
    packer
        .add_task_range(task_range_record("run-000001", false, 150))
        .expect("room");
    let segments = segments(packer);
    let fragments = fragments(&segments);
    assert!(fragments.len() > 1);
    assert_eq!(fragments[0].void, vec![(0, 0), (5, 9)]);
    assert!(fragments[1..].iter().all(|f| f.void.is_empty()));
}

#[test]
fn a_task_range_that_does_not_fit_leaves_the_packer_unchanged() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 2, 20);
    packer.add(Entry::Ended("run-000001".into())).expect("room");
    assert_eq!(packer.add_task_range(task_range_record("run-000002", true, 200)), None);
    assert_eq!(
        packer.add_task_range(task_range_record("run-000003", true, 5)),
        Some(0),
        "a smaller one still fits"
    );
    let segments = segments(packer);
    assert_eq!(segments.len(), 1);
    assert_eq!(segments[0].entries.len(), 2);
}

#[test]
fn entries_stay_within_the_segment_budget() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 2, 20);
    let mut added = 0;
    while packer.add(Entry::Ended(format!("run-{added:06}"))).is_some() {
        added += 1;
    }
    assert_eq!(packer.add(Entry::Ended("run-999999".into())), None);
    packer.raise_budget(3);
    assert_eq!(packer.add(Entry::Ended("run-999999".into())), Some(2));
    let segments = segments(packer);
    assert_eq!(segments.len(), 3);
    assert!(segments.iter().all(|p| json_size(p) <= VALUE_BYTES));
}

#[test]
fn a_lowered_limit_applies_to_task_ranges_too() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 6, 20);
    packer.lower_limit(2);
    assert_eq!(packer.segment_limit(), 2);
    assert_eq!(packer.add_task_range(task_range_record("run-000001", true, 200)), None);
    assert!(packer.is_empty());
}

#[test]
fn all_segments_together_fit_into_a_transaction() {
    let mut packer = SegmentPacker::new(32 * 1024, 20, 20);
    let mut jobs = 0;
    while packer
        .add_task_range(task_range_record(&format!("run-{jobs:06}"), true, 40))
        .is_some()
    {
        jobs += 1;
    }
    assert!(jobs > 10);
    assert!(json_size(&segments(packer)) < TRANSACTION_BYTES);
}

#[test]
fn a_fact_that_fits_into_no_segment_is_refused() {
    let mut packer = SegmentPacker::new(256, 6, 20);
    let mut large = task_range_record("run-000001", true, 1);
    large.placements[0].2 = "n".repeat(400);
    assert_eq!(packer.add_task_range(large), None);
    assert_eq!(packer.add(Entry::Ended("x".repeat(400))), None);
    assert!(packer.is_empty());
}

fn job_of(id: &str) -> Box<JobSpec> {
    let text = r#"{"ref":"run-000000","jobclass":"train","owner":"vision","shape":"array","rank":"urgent","pieces":16,
        "cores":8.0,"cards":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"yard":null,
        "together":false,"apart":false,"reclaimable":true,"expected_s":240.0,"snapshot_every_s":0.0,
        "snapshot_cost_s":0.0,"due_s":900.0}"#;
    let mut spec: JobSpec = serde_json::from_str(text).expect("a description");
    spec.id = id.into();
    Box::new(spec)
}

/// Returns a segment stored in the slot of the same number.
fn stored(seq: u64, oldest: u64, entries: Vec<Entry>) -> StoredSegment {
    let described = entries.iter().filter(|e| e.job_spec().is_some()).count();
    StoredSegment {
        slot: seq as u32,
        version: seq * 10,
        segment: Segment {
            term: 1,
            seq,
            oldest,
            seen_revision: seq * 100,
            written_log_ms: seq * 1000,
            submitted_log_ms: (1..=described as u64).map(|n| seq * 1000 + n).collect(),
            entries,
        },
    }
}

fn placed(task: u32) -> PlacementRow {
    (task, 1, "n-000001".into(), 7, 1)
}

#[test]
fn segments_are_replayed_in_sequence_whatever_order_they_are_read_in() {
    let first = || {
        stored(
            1,
            0,
            vec![
                Entry::Open(5, false, job_of("run-000001")),
                Entry::Ended("run-000002".into()),
            ],
        )
    };
    let second = || {
        stored(
            2,
            0,
            vec![
                Entry::Accepted(6, false, job_of("run-000002")),
                Entry::Open(5, true, job_of("run-000001")),
            ],
        )
    };
    for segments in [vec![first(), second()], vec![second(), first()]] {
        let replay = Replay::of(segments);
        assert_eq!(replay.jobs.len(), 2);
        let job = &replay.jobs["run-000001"];
        assert_eq!(
            (job.segment, job.key_version, job.cancelled, job.submitted_log_ms),
            (2, 5, true, Some(2002))
        );
        let job = &replay.jobs["run-000002"];
        assert_eq!(
            (job.acceptance_revision, job.key_version, job.submitted_log_ms),
            (6, 0, Some(2001)),
            "accepted in a page: no key of its own"
        );
        assert_eq!(
            (
                replay.last_seq,
                replay.seen_revision,
                replay.written_log_ms,
                replay.slot_count
            ),
            (2, 200, Some(2000), 3)
        );
    }
}

#[test]
fn segments_before_the_oldest_are_ignored_and_their_slots_are_free() {
    let replay = Replay::of(vec![
        stored(1, 0, vec![Entry::Open(5, false, job_of("run-000001"))]),
        stored(2, 0, vec![Entry::Open(6, false, job_of("run-000002"))]),
        stored(3, 2, vec![]),
    ]);
    assert_eq!(replay.jobs.keys().collect::<Vec<_>>(), ["run-000002"]);
    assert_eq!(replay.free_slots, [FreeSlot { slot: 1, version: 10 }]);
    let live: Vec<u64> = replay.live_segments.iter().map(|p| p.seq).collect();
    assert_eq!(live, [2, 3]);
}

#[test]
fn the_end_of_a_job_removes_its_task_ranges() {
    let replay = Replay::of(vec![
        stored(
            1,
            0,
            vec![
                Entry::Open(5, false, job_of("run-000001")),
                Entry::TaskRangeRecord(task_range_record("run-000001", true, 3)),
            ],
        ),
        stored(2, 0, vec![Entry::Ended("run-000001".into())]),
    ]);
    assert!(replay.jobs.is_empty());
    assert!(replay.task_ranges.is_empty());
}

#[test]
fn a_task_range_record_adds_to_earlier_ones_unless_it_is_full() {
    let full = TaskRangeRecord {
        full: true,
        last_attempt: 4,
        done: vec![(0, 1)],
        placements: vec![placed(5), placed(6)],
        ..task_range_record("run-000001", true, 0)
    };
    let more = TaskRangeRecord {
        full: false,
        last_attempt: 9,
        done: vec![(2, 2)],
        void: vec![(5, 5)],
        placements: vec![placed(7)],
        ..full.clone()
    };
    let added = Replay::of(vec![
        stored(1, 0, vec![Entry::TaskRangeRecord(full.clone())]),
        stored(2, 0, vec![Entry::TaskRangeRecord(more.clone())]),
    ]);
    let found = &added.task_ranges["run-000001"][&0];
    assert_eq!((found.full_segment, found.last_attempt), (Some(1), 9));
    assert_eq!(found.done, [(0, 2)]);
    assert_eq!(found.placements.keys().collect::<Vec<_>>(), [&6, &7]);
    let replaced = Replay::of(vec![
        stored(1, 0, vec![Entry::TaskRangeRecord(more)]),
        stored(2, 0, vec![Entry::TaskRangeRecord(full)]),
    ]);
    let found = &replaced.task_ranges["run-000001"][&0];
    assert_eq!((found.full_segment, found.last_attempt), (Some(2), 4));
    assert_eq!(found.done, [(0, 1)]);
    assert_eq!(found.placements.keys().collect::<Vec<_>>(), [&5, &6]);
}

#[test]
fn a_split_task_range_is_read_back_whole() {
    let mut packer = SegmentPacker::new(VALUE_BYTES, 20, 20);
    let whole = task_range_record("run-000001", true, 200);
    packer.add_task_range(whole.clone()).expect("room");
    let entries = packer.into_segments();
    let segments = entries.into_iter().enumerate().map(|(i, e)| stored(i as u64 + 1, 0, e));
    let replay = Replay::of(segments.collect());
    let found = &replay.task_ranges["run-000001"][&0];
    assert_eq!(found.full_segment, Some(1));
    assert_eq!(found.placements.values().cloned().collect::<Vec<_>>(), whole.placements);
}

#[test]
fn a_rental_request_is_kept_until_it_is_settled() {
    let claim = |count| ClaimValue {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        count,
    };
    let replay = Replay::of(vec![
        stored(
            1,
            0,
            vec![
                Entry::Claim("c-1".into(), claim(1)),
                Entry::Claim("c-2".into(), claim(2)),
            ],
        ),
        stored(
            2,
            0,
            vec![Entry::Settled("c-1".into()), Entry::Claim("c-2".into(), claim(3))],
        ),
    ]);
    assert_eq!(replay.claims.keys().collect::<Vec<_>>(), ["c-2"]);
    assert_eq!(replay.claims["c-2"], (2, claim(3)));
}

#[test]
fn live_segments_are_limited_to_three_times_the_size_of_the_open_jobs() {
    let large = 32 * 1024;
    assert_eq!(segments_allowed(large, 0, 0), 48, "the least number of segments");
    assert_eq!(
        segments_allowed(VALUE_BYTES, 0, 0),
        128,
        "at least 256 KiB of small segments"
    );
    assert_eq!(segments_allowed(0, 0, 0), 256, "a value without a size counts as 1 KiB");
    assert_eq!(segments_allowed(VALUE_BYTES, 1000, 20_000), 3 * (1_200_000 / 2048));
}

#[test]
fn compaction_opens_segments_only_when_it_is_behind() {
    assert_eq!(extra_segments(0, 20), 0);
    assert_eq!(extra_segments(1, 20), 2);
    assert_eq!(extra_segments(47, 20), 2);
    assert_eq!(extra_segments(48, 20), 20);
}

#[test]
fn the_most_urgent_starts_come_first_and_then_those_accepted_first() {
    let starts =
        |priority, version, range_index| QueuedStarts::new(priority, version, "run-000001".into(), range_index);
    let queue: BTreeSet<QueuedStarts> = [
        starts(Priority::Low, 1, 0),
        starts(Priority::Production, 9, 1),
        starts(Priority::Production, 8, 2),
        starts(Priority::Normal, 2, 3),
    ]
    .into();
    assert_eq!(queue.iter().map(|s| s.range_index).collect::<Vec<_>>(), [2, 1, 3, 0]);
}
