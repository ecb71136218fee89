//! Replay of the log: folds its pages into what they say together.
//!
//! Later entries replace or add to earlier ones. The fold knows nothing of machines, clocks or
//! the leader; what the facts mean for those is decided where they are restored.

use crate::protocol::users::JobSpec;
use crate::storage::records::{ClaimValue, Entry, Page, PlacementRow, TaskRangeRecord};
use std::collections::{BTreeMap, VecDeque};

/// A page as it was read from the state service.
pub struct StoredPage {
    pub slot: u32,
    pub version: u64,
    pub page: Page,
}

/// A page that still says something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePage {
    pub slot: u32,
    pub seq: u64,
    pub version: u64,
}

/// A slot whose key may be written over, and the version of that key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlot {
    pub slot: u32,
    pub version: u64,
}

/// An open job as the log describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayedJob {
    /// The page that describes it.
    pub page: u64,
    /// The revision at which it was accepted.
    pub version: u64,
    /// The version that its own key has; 0: it was accepted in a page.
    pub key_version: u64,
    pub cancelled: bool,
    pub spec: JobSpec,
    /// When it came, on the log's clock; 0: not said.
    pub arrived_ms: u64,
}

/// A part of a job as it is put together from pages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayedTaskRange {
    /// The page that says all of it, before what later ones add; 0: none does.
    pub page: u64,
    pub last_attempt: u64,
    /// Completed tasks, as inclusive ranges.
    pub done: Vec<(u32, u32)>,
    pub placements: BTreeMap<u32, PlacementRow>,
}

/// What the pages of the log say together.
#[derive(Debug, Default)]
pub struct Replay {
    pub jobs: BTreeMap<String, ReplayedJob>,
    pub parts: BTreeMap<String, BTreeMap<u32, ReplayedTaskRange>>,
    /// Rental requests that are not settled, each with the page that says so.
    pub claims: BTreeMap<String, (u64, ClaimValue)>,
    /// Pages that still say something, oldest first.
    pub live_pages: VecDeque<LivePage>,
    pub free_slots: Vec<FreeSlot>,
    /// The first slot after all that were read.
    pub slots: u32,
    /// The number of the last page; 0: there is none.
    pub last_seq: u64,
    /// What the jobs' keys said up to this revision is in the log.
    pub seen: u64,
    /// When the last page was written, on the log's clock; 0: not said.
    pub written_ms: u64,
}

impl Replay {
    /// Folds the pages, in whatever order they were read.
    pub fn of(mut pages: Vec<StoredPage>) -> Replay {
        pages.sort_by_key(|p| p.page.seq);
        let oldest = pages.iter().map(|p| p.page.oldest).max().unwrap_or(0);
        let mut replay = Replay {
            slots: pages.iter().map(|p| p.slot + 1).max().unwrap_or(0),
            last_seq: pages.last().map_or(0, |p| p.page.seq),
            seen: newest_seen(&pages),
            written_ms: pages.iter().map(|p| p.page.at_ms).max().unwrap_or(0),
            ..Replay::default()
        };
        for StoredPage { slot, version, page } in pages {
            let seq = page.seq;
            if seq < oldest {
                replay.free_slots.push(FreeSlot { slot, version });
                continue;
            }
            replay.live_pages.push_back(LivePage { slot, seq, version });
            replay.take_page(page);
        }
        replay
    }

    fn take_page(&mut self, page: Page) {
        let seq = page.seq;
        let mut arrivals = page.born_ms.into_iter();
        for entry in page.entries {
            let arrived_ms = match entry.describes() {
                Some(_) => arrivals.next().unwrap_or(0),
                None => 0,
            };
            self.take_entry(seq, entry, arrived_ms);
        }
    }

    fn take_entry(&mut self, seq: u64, entry: Entry, arrived_ms: u64) {
        match entry {
            Entry::Open(version, cancelled, spec) => {
                let job = ReplayedJob {
                    page: seq,
                    version,
                    key_version: version,
                    cancelled,
                    spec: *spec,
                    arrived_ms,
                };
                self.jobs.insert(job.spec.id.clone(), job);
            }
            Entry::Accepted(version, cancelled, spec) => {
                let job = ReplayedJob {
                    page: seq,
                    version,
                    key_version: 0,
                    cancelled,
                    spec: *spec,
                    arrived_ms,
                };
                self.jobs.insert(job.spec.id.clone(), job);
            }
            Entry::TaskRangeRecord(part) => self.take_part(seq, part),
            Entry::Over(id) => {
                self.jobs.remove(&id);
                self.parts.remove(&id);
            }
            Entry::Claim(id, value) => {
                self.claims.insert(id, (seq, value));
            }
            Entry::Settled(id) => {
                self.claims.remove(&id);
            }
        }
    }

    fn take_part(&mut self, seq: u64, entry: TaskRangeRecord) {
        let parts = self.parts.entry(entry.job).or_default();
        let part = parts.entry(entry.part).or_default();
        if entry.full {
            *part = ReplayedTaskRange {
                page: seq,
                ..ReplayedTaskRange::default()
            };
        }
        part.last_attempt = part.last_attempt.max(entry.last_attempt);
        for (from, to) in entry.void {
            part.placements.retain(|task, _| *task < from || *task > to);
        }
        for row in entry.placements {
            part.placements.insert(row.0, row);
        }
        add_ranges(&mut part.done, &entry.done);
    }
}

/// Up to which revision the jobs' keys are in the log.
pub fn newest_seen(pages: &[StoredPage]) -> u64 {
    pages.iter().map(|p| p.page.seen).max().unwrap_or(0)
}

/// Adds inclusive ranges to a sorted list of them, and joins what touches.
fn add_ranges(list: &mut Vec<(u32, u32)>, more: &[(u32, u32)]) {
    list.extend_from_slice(more);
    list.sort_unstable();
    let mut merged: Vec<(u32, u32)> = Vec::with_capacity(list.len());
    for &(from, to) in list.iter() {
        match merged.last_mut() {
            Some(last) if from <= last.1.saturating_add(1) => last.1 = last.1.max(to),
            _ => merged.push((from, to)),
        }
    }
    *list = merged;
}
