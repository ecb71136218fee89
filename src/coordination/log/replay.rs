//! Replay of the log: folds its pages into what they say together.
//!
//! Later entries replace or add to earlier ones. The fold knows nothing of machines, clocks or
//! the leader; what the facts mean for those is decided where they are restored.

use crate::protocol::users::JobSpec;
use crate::storage::records::{ClaimValue, Entry, PlacementRow, Segment, TaskRangeRecord};
use std::collections::{BTreeMap, VecDeque};

/// A page as it was read from the state service.
pub struct StoredSegment {
    pub slot: u32,
    pub version: u64,
    pub segment: Segment,
}

/// A page that still says something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveSegment {
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
    pub segment: u64,
    /// The revision at which it was accepted.
    pub version: u64,
    /// The version that its own key has; 0: it was accepted in a page.
    pub key_version: u64,
    pub cancelled: bool,
    pub spec: JobSpec,
    /// When it came, on the log's clock; 0: not said.
    pub submitted_log_ms: u64,
}

/// A part of a job as it is put together from pages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayedTaskRange {
    /// The page that says all of it, before what later ones add; 0: none does.
    pub segment: u64,
    pub last_attempt: u64,
    /// Completed tasks, as inclusive ranges.
    pub done: Vec<(u32, u32)>,
    pub placements: BTreeMap<u32, PlacementRow>,
}

/// What the pages of the log say together.
#[derive(Debug, Default)]
pub struct Replay {
    pub jobs: BTreeMap<String, ReplayedJob>,
    pub task_ranges: BTreeMap<String, BTreeMap<u32, ReplayedTaskRange>>,
    /// Rental requests that are not settled, each with the page that says so.
    pub claims: BTreeMap<String, (u64, ClaimValue)>,
    /// Pages that still say something, oldest first.
    pub live_segments: VecDeque<LiveSegment>,
    pub free_slots: Vec<FreeSlot>,
    /// The first slot after all that were read.
    pub slots: u32,
    /// The number of the last page; 0: there is none.
    pub last_seq: u64,
    /// What the jobs' keys said up to this revision is in the log.
    pub seen_revision: u64,
    /// When the last page was written, on the log's clock; 0: not said.
    pub written_log_ms: u64,
}

impl Replay {
    /// Folds the pages, in whatever order they were read.
    pub fn of(mut segments: Vec<StoredSegment>) -> Replay {
        segments.sort_by_key(|p| p.segment.seq);
        let oldest = segments.iter().map(|p| p.segment.oldest).max().unwrap_or(0);
        let mut replay = Replay {
            slots: segments.iter().map(|p| p.slot + 1).max().unwrap_or(0),
            last_seq: segments.last().map_or(0, |p| p.segment.seq),
            seen_revision: newest_seen_revision(&segments),
            written_log_ms: segments.iter().map(|p| p.segment.written_log_ms).max().unwrap_or(0),
            ..Replay::default()
        };
        for StoredSegment { slot, version, segment } in segments {
            let seq = segment.seq;
            if seq < oldest {
                replay.free_slots.push(FreeSlot { slot, version });
                continue;
            }
            replay.live_segments.push_back(LiveSegment { slot, seq, version });
            replay.take_segment(segment);
        }
        replay
    }

    fn take_segment(&mut self, segment: Segment) {
        let seq = segment.seq;
        let mut arrivals = segment.submitted_log_ms.into_iter();
        for entry in segment.entries {
            let submitted_log_ms = match entry.describes() {
                Some(_) => arrivals.next().unwrap_or(0),
                None => 0,
            };
            self.take_entry(seq, entry, submitted_log_ms);
        }
    }

    fn take_entry(&mut self, seq: u64, entry: Entry, submitted_log_ms: u64) {
        match entry {
            Entry::Open(version, cancelled, spec) => {
                let job = ReplayedJob {
                    segment: seq,
                    version,
                    key_version: version,
                    cancelled,
                    spec: *spec,
                    submitted_log_ms,
                };
                self.jobs.insert(job.spec.id.clone(), job);
            }
            Entry::Accepted(version, cancelled, spec) => {
                let job = ReplayedJob {
                    segment: seq,
                    version,
                    key_version: 0,
                    cancelled,
                    spec: *spec,
                    submitted_log_ms,
                };
                self.jobs.insert(job.spec.id.clone(), job);
            }
            Entry::TaskRangeRecord(record) => self.take_task_range(seq, record),
            Entry::Over(id) => {
                self.jobs.remove(&id);
                self.task_ranges.remove(&id);
            }
            Entry::Claim(id, value) => {
                self.claims.insert(id, (seq, value));
            }
            Entry::Settled(id) => {
                self.claims.remove(&id);
            }
        }
    }

    fn take_task_range(&mut self, seq: u64, entry: TaskRangeRecord) {
        let task_ranges = self.task_ranges.entry(entry.job).or_default();
        let task_range = task_ranges.entry(entry.range_index).or_default();
        if entry.full {
            *task_range = ReplayedTaskRange {
                segment: seq,
                ..ReplayedTaskRange::default()
            };
        }
        task_range.last_attempt = task_range.last_attempt.max(entry.last_attempt);
        for (from, to) in entry.void {
            task_range.placements.retain(|task, _| *task < from || *task > to);
        }
        for row in entry.placements {
            task_range.placements.insert(row.0, row);
        }
        add_ranges(&mut task_range.done, &entry.done);
    }
}

/// Up to which revision the jobs' keys are in the log.
pub fn newest_seen_revision(segments: &[StoredSegment]) -> u64 {
    segments.iter().map(|p| p.segment.seen_revision).max().unwrap_or(0)
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
