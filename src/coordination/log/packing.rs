//! Packs log entries into the segments that one transaction writes.
//!
//! A segment is one value of the state service. The sizes of a value and of a transaction and the
//! number of segments in a transaction are limited. The packer rejects an entry that doesn't fit,
//! and the caller keeps the entry for the next transaction.

use crate::protocol::json_size;
use crate::storage::records::{Entry, PlacementRow, TaskRangeRecord};

/// Maximum size of a transaction, below the service's limit of 64 KiB.
const TRANSACTION_BYTES: usize = 54 * 1024;
/// Size of a segment without its entries.
const SEGMENT_FRAME_BYTES: usize = 200;
/// Size of the submission time that a segment holds for each job described in it.
const SUBMISSION_TIME_BYTES: usize = 14;
/// Size of the separator between two entries.
const SEPARATOR_BYTES: usize = 2;
/// Minimum space for facts, in addition to the fragment's frame, that must be left in a segment for
/// a task range to begin there.
const MIN_FRAGMENT_BYTES: usize = 80;

/// Returns the size of an entry in a segment.
pub fn entry_bytes(entry: &Entry) -> usize {
    json_size(entry) + SEPARATOR_BYTES
}

/// Collects entries into segments within the limits of a transaction.
pub struct SegmentPacker {
    /// Bytes for entries in an empty segment.
    segment_bytes: usize,
    /// Maximum number of segments, unless a single task range needs more.
    segment_budget: usize,
    /// Maximum number of segments in any case.
    segment_limit: usize,
    segments: Vec<Vec<Entry>>,
    /// Bytes left in the last segment.
    free_bytes: usize,
    /// Bytes of all segments so far.
    total_bytes: usize,
}

impl SegmentPacker {
    /// Creates an empty packer for values of at most `value_bytes`. It usually fills at most
    /// `segment_budget` segments, and at most `segment_limit` for a task range that needs more.
    pub fn new(value_bytes: usize, segment_budget: usize, segment_limit: usize) -> SegmentPacker {
        SegmentPacker {
            segment_bytes: value_bytes.saturating_sub(SEGMENT_FRAME_BYTES),
            segment_budget: segment_budget.min(segment_limit),
            segment_limit,
            segments: vec![],
            free_bytes: 0,
            total_bytes: 0,
        }
    }

    /// Whether no entry was added.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Bytes for entries in an empty segment.
    pub fn segment_bytes(&self) -> usize {
        self.segment_bytes
    }

    /// The maximum number of segments in any case.
    pub fn segment_limit(&self) -> usize {
        self.segment_limit
    }

    /// Returns the number of segments that there would be after adding an entry of this size.
    pub fn segments_with(&self, bytes: usize) -> usize {
        self.segments.len() + usize::from(bytes > self.free_bytes)
    }

    /// Lowers the limit, and the budget with it, to at most this number of segments.
    pub fn lower_limit(&mut self, segments: usize) {
        self.segment_limit = self.segment_limit.min(segments);
        self.segment_budget = self.segment_budget.min(segments);
    }

    /// Raises the budget to at least this number of segments, for an entry that can't wait.
    pub fn raise_budget(&mut self, segments: usize) {
        self.segment_budget = self.segment_budget.max(segments);
    }

    /// Sets the budget to the current number of segments, at least one, plus `more`, within the
    /// limit.
    pub fn allow_more_segments(&mut self, more: usize) {
        self.segment_budget = (self.segments.len().max(1) + more).min(self.segment_limit);
    }

    /// Returns the entries of each segment.
    pub fn into_segments(self) -> Vec<Vec<Entry>> {
        self.segments
    }

    /// Adds an entry and returns the index of its segment; `None` if it doesn't fit.
    pub fn add(&mut self, entry: Entry) -> Option<usize> {
        let submission_time = if entry.job_spec().is_some() {
            SUBMISSION_TIME_BYTES
        } else {
            0
        };
        let bytes = entry_bytes(&entry) + submission_time;
        if self.total_bytes + bytes > TRANSACTION_BYTES {
            return None;
        }
        if bytes > self.free_bytes {
            if self.segments.len() >= self.segment_budget || bytes > self.segment_bytes {
                return None;
            }
            self.open_segment();
        }
        self.free_bytes -= bytes;
        self.total_bytes += bytes;
        self.segments.last_mut()?.push(entry);
        Some(self.segments.len() - 1)
    }

    fn open_segment(&mut self) {
        self.segments.push(vec![]);
        self.free_bytes = self.segment_bytes;
        self.total_bytes += SEGMENT_FRAME_BYTES;
    }

    /// Adds a task range, in fragments if it doesn't fit into one segment, and returns the index of
    /// its first segment; `None` if not all of it fits. Together the fragments have the meaning of
    /// the record: only the first can be full, and the others add to it.
    pub fn add_task_range(&mut self, record: TaskRangeRecord) -> Option<usize> {
        // A task range may need more segments than the budget; as the first entry, it gets them.
        let max_segments = if self.segments.is_empty() {
            self.segment_limit
        } else {
            self.segment_budget
        };
        let mut splitter = TaskRangeSplitter::new(self, &record);
        let first = splitter.last_segment();
        for fact in facts_of(record) {
            splitter.add(fact)?;
        }
        splitter.end_fragment();
        if splitter.segments > max_segments || splitter.total_bytes > TRANSACTION_BYTES {
            return None;
        }
        self.segments.resize_with(splitter.segments, Vec::new);
        self.free_bytes = splitter.free_bytes;
        self.total_bytes = splitter.total_bytes;
        for fragment in splitter.fragments {
            self.segments
                .get_mut(fragment.segment)?
                .push(Entry::TaskRangeRecord(fragment.record));
        }
        Some(first)
    }
}

/// A part of the record of a task range, and the index of the segment that will hold it.
struct Fragment {
    segment: usize,
    record: TaskRangeRecord,
}

/// Splits one task range into fragments that fit into segments. It works on a copy of the packer's
/// counters: if the task range doesn't fit, the packer is unchanged.
struct TaskRangeSplitter {
    segment_bytes: usize,
    /// A fragment without facts.
    blank: TaskRangeRecord,
    /// The size of a fragment without facts.
    frame_bytes: usize,
    segments: usize,
    free_bytes: usize,
    total_bytes: usize,
    current: TaskRangeRecord,
    fragments: Vec<Fragment>,
}

impl TaskRangeSplitter {
    fn new(packer: &SegmentPacker, record: &TaskRangeRecord) -> TaskRangeSplitter {
        let blank = TaskRangeRecord {
            job: record.job.clone(),
            range_index: record.range_index,
            last_attempt: record.last_attempt,
            ..TaskRangeRecord::default()
        };
        let current = TaskRangeRecord {
            full: record.full,
            ..blank.clone()
        };
        let mut splitter = TaskRangeSplitter {
            segment_bytes: packer.segment_bytes,
            frame_bytes: entry_bytes(&Entry::TaskRangeRecord(blank.clone())),
            blank,
            segments: packer.segments.len(),
            free_bytes: packer.free_bytes,
            total_bytes: packer.total_bytes,
            current,
            fragments: vec![],
        };
        if splitter.segments == 0 || splitter.free_bytes < splitter.frame_bytes + MIN_FRAGMENT_BYTES {
            splitter.open_segment();
        }
        splitter.begin_fragment();
        splitter
    }

    fn last_segment(&self) -> usize {
        self.segments - 1
    }

    fn open_segment(&mut self) {
        self.segments += 1;
        self.free_bytes = self.segment_bytes;
        self.total_bytes += SEGMENT_FRAME_BYTES;
    }

    fn begin_fragment(&mut self) {
        self.free_bytes = self.free_bytes.saturating_sub(self.frame_bytes);
        self.total_bytes += self.frame_bytes;
    }

    fn end_fragment(&mut self) {
        let record = std::mem::replace(&mut self.current, self.blank.clone());
        let segment = self.last_segment();
        self.fragments.push(Fragment { segment, record });
    }

    /// Adds a fact; `None` if it doesn't fit into any segment.
    fn add(&mut self, fact: Fact) -> Option<()> {
        let bytes = fact.bytes();
        if bytes > self.free_bytes {
            self.end_fragment();
            self.open_segment();
            self.begin_fragment();
        }
        self.free_bytes = self.free_bytes.checked_sub(bytes)?;
        self.total_bytes += bytes;
        match fact {
            Fact::Void(range) => self.current.void.push(range),
            Fact::Done(range) => self.current.done.push(range),
            Fact::Placed(row) => self.current.placements.push(row),
        }
        Some(())
    }
}

/// One fact of a task range.
enum Fact {
    /// The earlier placements of an inclusive range of tasks are void.
    Void((u32, u32)),
    /// An inclusive range of tasks has completed.
    Done((u32, u32)),
    /// A task is placed.
    Placed(PlacementRow),
}

impl Fact {
    /// Returns the size of the fact as an element of a list.
    fn bytes(&self) -> usize {
        1 + match self {
            Fact::Void(range) | Fact::Done(range) => json_size(range),
            Fact::Placed(row) => json_size(row),
        }
    }
}

/// Returns the facts of a task range: void placements come before new ones, because fragments are
/// replayed in their order.
fn facts_of(record: TaskRangeRecord) -> impl Iterator<Item = Fact> {
    let voids = record.void.into_iter().map(Fact::Void);
    let dones = record.done.into_iter().map(Fact::Done);
    let rows = record.placements.into_iter().map(Fact::Placed);
    voids.chain(dones).chain(rows)
}
