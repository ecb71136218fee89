//! The pages of the leader's log: what is packed into them is read back as it was, within the
//! limits of a page and of a transaction.

use glenhaven::coordination::log::compaction::{extra_pages, pages_allowed};
use glenhaven::coordination::log::packing::PagePacker;
use glenhaven::coordination::log::queues::QueuedStarts;
use glenhaven::coordination::log::replay::{FreeSlot, Replay, StoredPage};
use glenhaven::protocol::json_size;
use glenhaven::protocol::users::{JobSpec, Priority};
use glenhaven::storage::records::{ClaimValue, Entry, Page, PlacementRow, TaskRangeRecord};
use std::collections::BTreeSet;

/// The smallest values that the service announces, and the largest transaction.
const VALUE_BYTES: usize = 2048;
const TRANSACTION_BYTES: usize = 64 * 1024;

fn part(job: &str, full: bool, tasks: u32) -> TaskRangeRecord {
    let row = |task: u32| (task, u64::from(task) + 1, format!("n-{task:06}"), 7, 3);
    TaskRangeRecord {
        job: job.into(),
        part: 0,
        full,
        last_attempt: 9,
        done: vec![],
        void: if full { vec![] } else { vec![(0, 0), (5, 9)] },
        placements: (0..tasks).map(row).collect(),
    }
}

/// The pages as they are written.
fn pages(packer: PagePacker) -> Vec<Page> {
    let page = |entries| Page {
        term: 1,
        seq: 1,
        entries,
        ..Page::default()
    };
    packer.into_pages().into_iter().map(page).collect()
}

fn fragments<'a>(pages: &'a [Page]) -> Vec<&'a TaskRangeRecord> {
    let entries = pages.iter().flat_map(|p| &p.entries);
    let part = |entry: &'a Entry| match entry {
        Entry::TaskRangeRecord(part) => Some(part),
        _ => None,
    };
    entries.filter_map(part).collect()
}

#[test]
fn a_large_part_is_split_and_its_first_fragment_says_all() {
    let mut packer = PagePacker::new(VALUE_BYTES, 1, 20);
    let whole = part("run-000001", true, 200);
    assert_eq!(
        packer.add_part(whole.clone()),
        Some(0),
        "alone, it gets the pages that it needs"
    );
    let pages = pages(packer);
    assert!(pages.len() > 2);
    assert!(pages.iter().all(|p| json_size(p) <= VALUE_BYTES));
    let fragments = fragments(&pages);
    assert!(fragments[0].full);
    assert!(fragments[1..].iter().all(|f| !f.full));
    assert!(fragments.iter().all(|f| f.last_attempt == whole.last_attempt));
    let rows = fragments.iter().flat_map(|f| f.placements.clone());
    assert_eq!(rows.collect::<Vec<_>>(), whole.placements);
}

#[test]
fn what_is_void_comes_before_what_is_placed() {
    let mut packer = PagePacker::new(VALUE_BYTES, 20, 20);
    packer.add_part(part("run-000001", false, 150)).expect("room");
    let pages = pages(packer);
    let fragments = fragments(&pages);
    assert!(fragments.len() > 1);
    assert_eq!(fragments[0].void, vec![(0, 0), (5, 9)]);
    assert!(fragments[1..].iter().all(|f| f.void.is_empty()));
}

#[test]
fn a_part_without_room_leaves_the_packer_as_it_was() {
    let mut packer = PagePacker::new(VALUE_BYTES, 2, 20);
    packer.add(Entry::Over("run-000001".into())).expect("room");
    assert_eq!(packer.add_part(part("run-000002", true, 200)), None);
    assert_eq!(
        packer.add_part(part("run-000003", true, 5)),
        Some(0),
        "a smaller one still fits"
    );
    let pages = pages(packer);
    assert_eq!(pages.len(), 1);
    assert_eq!(pages[0].entries.len(), 2);
}

#[test]
fn entries_stay_within_the_budget_of_pages() {
    let mut packer = PagePacker::new(VALUE_BYTES, 2, 20);
    let mut added = 0;
    while packer.add(Entry::Over(format!("run-{added:06}"))).is_some() {
        added += 1;
    }
    assert_eq!(packer.add(Entry::Over("run-999999".into())), None);
    packer.raise_budget(3);
    assert_eq!(packer.add(Entry::Over("run-999999".into())), Some(2));
    let pages = pages(packer);
    assert_eq!(pages.len(), 3);
    assert!(pages.iter().all(|p| json_size(p) <= VALUE_BYTES));
}

#[test]
fn a_lowered_limit_holds_for_parts_too() {
    let mut packer = PagePacker::new(VALUE_BYTES, 6, 20);
    packer.lower_limit(2);
    assert_eq!(packer.page_limit(), 2);
    assert_eq!(packer.add_part(part("run-000001", true, 200)), None);
    assert!(packer.is_empty());
}

#[test]
fn all_pages_together_fit_into_a_transaction() {
    let mut packer = PagePacker::new(32 * 1024, 20, 20);
    let mut jobs = 0;
    while packer.add_part(part(&format!("run-{jobs:06}"), true, 40)).is_some() {
        jobs += 1;
    }
    assert!(jobs > 10);
    assert!(json_size(&pages(packer)) < TRANSACTION_BYTES);
}

#[test]
fn a_fact_that_fits_into_no_page_is_refused() {
    let mut packer = PagePacker::new(256, 6, 20);
    let mut large = part("run-000001", true, 1);
    large.placements[0].2 = "n".repeat(400);
    assert_eq!(packer.add_part(large), None);
    assert_eq!(packer.add(Entry::Over("x".repeat(400))), None);
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

/// A page that stands in the slot of the same number.
fn stored(seq: u64, oldest: u64, entries: Vec<Entry>) -> StoredPage {
    let described = entries.iter().filter(|e| e.describes().is_some()).count();
    StoredPage {
        slot: seq as u32,
        version: seq * 10,
        page: Page {
            term: 1,
            seq,
            oldest,
            seen: seq * 100,
            at_ms: seq * 1000,
            born_ms: (1..=described as u64).map(|n| seq * 1000 + n).collect(),
            entries,
        },
    }
}

fn placed(task: u32) -> PlacementRow {
    (task, 1, "n-000001".into(), 7, 1)
}

#[test]
fn pages_count_in_their_order_whatever_order_they_are_read_in() {
    let first = || {
        stored(
            1,
            0,
            vec![
                Entry::Open(5, false, job_of("run-000001")),
                Entry::Over("run-000002".into()),
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
    for pages in [vec![first(), second()], vec![second(), first()]] {
        let replay = Replay::of(pages);
        assert_eq!(replay.jobs.len(), 2);
        let job = &replay.jobs["run-000001"];
        assert_eq!(
            (job.page, job.key_version, job.cancelled, job.arrived_ms),
            (2, 5, true, 2002)
        );
        let job = &replay.jobs["run-000002"];
        assert_eq!(
            (job.version, job.key_version, job.arrived_ms),
            (6, 0, 2001),
            "accepted in a page: no key of its own"
        );
        assert_eq!(
            (replay.last_seq, replay.seen, replay.written_ms, replay.slots),
            (2, 200, 2000, 3)
        );
    }
}

#[test]
fn pages_before_the_oldest_say_nothing_and_their_slots_are_free() {
    let replay = Replay::of(vec![
        stored(1, 0, vec![Entry::Open(5, false, job_of("run-000001"))]),
        stored(2, 0, vec![Entry::Open(6, false, job_of("run-000002"))]),
        stored(3, 2, vec![]),
    ]);
    assert_eq!(replay.jobs.keys().collect::<Vec<_>>(), ["run-000002"]);
    assert_eq!(replay.free_slots, [FreeSlot { slot: 1, version: 10 }]);
    let live: Vec<u64> = replay.live_pages.iter().map(|p| p.seq).collect();
    assert_eq!(live, [2, 3]);
}

#[test]
fn a_job_that_is_over_takes_its_parts_with_it() {
    let replay = Replay::of(vec![
        stored(
            1,
            0,
            vec![
                Entry::Open(5, false, job_of("run-000001")),
                Entry::TaskRangeRecord(part("run-000001", true, 3)),
            ],
        ),
        stored(2, 0, vec![Entry::Over("run-000001".into())]),
    ]);
    assert!(replay.jobs.is_empty());
    assert!(replay.parts.is_empty());
}

#[test]
fn a_part_adds_to_earlier_ones_unless_it_says_all() {
    let full = TaskRangeRecord {
        full: true,
        last_attempt: 4,
        done: vec![(0, 1)],
        placements: vec![placed(5), placed(6)],
        ..part("run-000001", true, 0)
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
    let found = &added.parts["run-000001"][&0];
    assert_eq!((found.page, found.last_attempt), (1, 9));
    assert_eq!(found.done, [(0, 2)]);
    assert_eq!(found.placements.keys().collect::<Vec<_>>(), [&6, &7]);
    let replaced = Replay::of(vec![
        stored(1, 0, vec![Entry::TaskRangeRecord(more)]),
        stored(2, 0, vec![Entry::TaskRangeRecord(full)]),
    ]);
    let found = &replaced.parts["run-000001"][&0];
    assert_eq!((found.page, found.last_attempt), (2, 4));
    assert_eq!(found.done, [(0, 1)]);
    assert_eq!(found.placements.keys().collect::<Vec<_>>(), [&5, &6]);
}

#[test]
fn a_split_part_is_read_back_whole() {
    let mut packer = PagePacker::new(VALUE_BYTES, 20, 20);
    let whole = part("run-000001", true, 200);
    packer.add_part(whole.clone()).expect("room");
    let entries = packer.into_pages();
    let pages = entries.into_iter().enumerate().map(|(i, e)| stored(i as u64 + 1, 0, e));
    let replay = Replay::of(pages.collect());
    let found = &replay.parts["run-000001"][&0];
    assert_eq!(found.page, 1);
    assert_eq!(found.placements.values().cloned().collect::<Vec<_>>(), whole.placements);
}

#[test]
fn a_rental_request_stands_until_it_is_settled() {
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
fn as_many_pages_are_kept_as_what_is_open_takes_three_times() {
    let large = 32 * 1024;
    assert_eq!(
        pages_allowed(large, 0, 0),
        48,
        "at least so many, however little is open"
    );
    assert_eq!(pages_allowed(VALUE_BYTES, 0, 0), 128, "or 256 KiB in small ones");
    assert_eq!(pages_allowed(0, 0, 0), 256, "a value without a size counts as 1 KiB");
    assert_eq!(pages_allowed(VALUE_BYTES, 1000, 20_000), 3 * (1_200_000 / 2048));
}

#[test]
fn compaction_opens_pages_only_when_it_is_behind() {
    assert_eq!(extra_pages(0, 20), 0);
    assert_eq!(extra_pages(1, 20), 2);
    assert_eq!(extra_pages(47, 20), 2);
    assert_eq!(extra_pages(48, 20), 20);
}

#[test]
fn the_most_urgent_starts_come_first_and_then_those_accepted_first() {
    let starts = |priority, version, part| QueuedStarts::new(priority, version, "run-000001".into(), part);
    let queue: BTreeSet<QueuedStarts> = [
        starts(Priority::Low, 1, 0),
        starts(Priority::Production, 9, 1),
        starts(Priority::Production, 8, 2),
        starts(Priority::Normal, 2, 3),
    ]
    .into();
    assert_eq!(queue.iter().map(|s| s.part).collect::<Vec<_>>(), [2, 1, 3, 0]);
}
