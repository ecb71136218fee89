//! The pages of the leader's log: what is packed into them is read back as it was, within the
//! limits of a page and of a transaction.

use glenhaven::bookkeeping::records::{Entry, Page, Part};
use glenhaven::coordination::commit::packing::PagePacker;
use glenhaven::protocol::json_size;

/// The smallest values that the service announces, and the largest transaction.
const VALUE_BYTES: usize = 2048;
const TRANSACTION_BYTES: usize = 64 * 1024;

fn part(job: &str, full: bool, tasks: u32) -> Part {
    let row = |task: u32| (task, u64::from(task) + 1, format!("n-{task:06}"), 7, 3);
    Part {
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

fn fragments<'a>(pages: &'a [Page]) -> Vec<&'a Part> {
    let entries = pages.iter().flat_map(|p| &p.entries);
    let part = |entry: &'a Entry| match entry {
        Entry::Part(part) => Some(part),
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
