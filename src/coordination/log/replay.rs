//! Replay of the log: folds its segments into the state that they describe together.
//!
//! Entries of later segments replace or add to those of earlier ones. The fold is a pure function
//! of the segments and independent of machines, clocks and the leader. `restore` builds the
//! leader's state from the result.

use crate::protocol::users::JobSpec;
use crate::storage::records::{ClaimValue, Entry, PlacementRow, Segment, TaskRangeRecord};
use std::collections::{BTreeMap, VecDeque};

/// A segment as it was read from the state service.
pub struct StoredSegment {
    /// The slot that its key names.
    pub slot: u32,
    /// The version of its key.
    pub version: u64,
    /// Its content.
    pub segment: Segment,
}

/// A segment with facts that no later segment repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveSegment {
    /// The slot that its key names.
    pub slot: u32,
    /// Its sequence number.
    pub seq: u64,
    /// The version of its key.
    pub version: u64,
}

/// A slot whose key may be overwritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlot {
    /// The number of the slot.
    pub slot: u32,
    /// The version of its key; 0 if it was never written.
    pub version: u64,
}

/// An open job as the log describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayedJob {
    /// The sequence number of the segment that describes it.
    pub segment: u64,
    /// The revision at which it was accepted.
    pub acceptance_revision: u64,
    /// The version of its own key; 0 if it was accepted in a page of acceptances.
    pub key_version: u64,
    /// Whether its user has cancelled it.
    pub cancelled: bool,
    /// Its description.
    pub spec: JobSpec,
    /// When it was submitted, in milliseconds of the log's clock; `None` if the log doesn't contain
    /// the time.
    pub submitted_log_ms: Option<u64>,
}

/// A task range of a job as the segments describe it together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayedTaskRange {
    /// The sequence number of the segment with the last full record, to which later records add.
    pub full_segment: Option<u64>,
    /// The highest attempt number ever used in it.
    pub last_attempt: u64,
    /// Completed tasks, as inclusive ranges.
    pub done: Vec<(u32, u32)>,
    /// Placements, by task.
    pub placements: BTreeMap<u32, PlacementRow>,
}

/// The state that the segments of the log describe together.
#[derive(Debug, Default)]
pub struct Replay {
    /// Open jobs, by id.
    pub jobs: BTreeMap<String, ReplayedJob>,
    /// Task ranges, by the job's id and then by their number.
    pub task_ranges: BTreeMap<String, BTreeMap<u32, ReplayedTaskRange>>,
    /// Rental requests that are not settled, by id, each with the sequence number of the segment
    /// that records it.
    pub claims: BTreeMap<String, (u64, ClaimValue)>,
    /// Segments with facts that no later segment repeats, oldest first.
    pub live_segments: VecDeque<LiveSegment>,
    /// Slots of segments that compaction has made obsolete.
    pub free_slots: Vec<FreeSlot>,
    /// The first slot after all that were read.
    pub slot_count: u32,
    /// The sequence number of the last segment; 0 if there is none.
    pub last_seq: u64,
    /// The log contains all changes of the jobs' keys up to this revision.
    pub seen_revision: u64,
    /// When the last segment was written, in milliseconds of the log's clock; `None` if no segment
    /// contains the time.
    pub written_log_ms: Option<u64>,
}

impl Replay {
    /// Folds the segments, which may be given in any order.
    pub fn of(mut segments: Vec<StoredSegment>) -> Replay {
        segments.sort_by_key(|s| s.segment.seq);
        let oldest = segments.iter().map(|s| s.segment.oldest).max().unwrap_or(0);
        let mut replay = Replay {
            slot_count: segments.iter().map(|s| s.slot + 1).max().unwrap_or(0),
            last_seq: segments.last().map_or(0, |s| s.segment.seq),
            seen_revision: newest_seen_revision(&segments),
            written_log_ms: segments
                .iter()
                .map(|s| s.segment.written_log_ms)
                .max()
                .filter(|ms| *ms > 0),
            ..Replay::default()
        };
        for StoredSegment { slot, version, segment } in segments {
            let seq = segment.seq;
            if seq < oldest {
                replay.free_slots.push(FreeSlot { slot, version });
                continue;
            }
            replay.live_segments.push_back(LiveSegment { slot, seq, version });
            replay.apply_segment(segment);
        }
        replay
    }

    fn apply_segment(&mut self, segment: Segment) {
        let seq = segment.seq;
        let mut submission_times = segment.submitted_log_ms.into_iter();
        for entry in segment.entries {
            let submitted_log_ms = match entry.job_spec() {
                Some(_) => submission_times.next().filter(|ms| *ms > 0),
                None => None,
            };
            self.apply_entry(seq, entry, submitted_log_ms);
        }
    }

    fn apply_entry(&mut self, seq: u64, entry: Entry, submitted_log_ms: Option<u64>) {
        let described = |version, key_version, cancelled, spec: Box<JobSpec>| ReplayedJob {
            segment: seq,
            acceptance_revision: version,
            key_version,
            cancelled,
            spec: *spec,
            submitted_log_ms,
        };
        match entry {
            Entry::Open(version, cancelled, spec) => {
                self.apply_job(described(version, version, cancelled, spec));
            }
            Entry::Accepted(version, cancelled, spec) => {
                self.apply_job(described(version, 0, cancelled, spec));
            }
            Entry::TaskRangeRecord(record) => self.apply_task_range(seq, record),
            Entry::Ended(id) => {
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

    fn apply_job(&mut self, job: ReplayedJob) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    fn apply_task_range(&mut self, seq: u64, entry: TaskRangeRecord) {
        let task_ranges = self.task_ranges.entry(entry.job).or_default();
        let task_range = task_ranges.entry(entry.range_index).or_default();
        if entry.full {
            *task_range = ReplayedTaskRange {
                full_segment: Some(seq),
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

/// Returns the revision up to which the segments contain all changes of the jobs' keys.
pub fn newest_seen_revision(segments: &[StoredSegment]) -> u64 {
    segments.iter().map(|s| s.segment.seen_revision).max().unwrap_or(0)
}

/// Adds inclusive ranges to a sorted list of ranges, and joins adjacent or overlapping ones.
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
