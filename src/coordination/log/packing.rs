//! Packing of log entries into the pages that one transaction writes.
//!
//! A page is a value of the state service and has its limit; so have the transaction as a
//! whole and the number of pages in it. What finds no room stays for the next transaction.

use crate::protocol::json_size;
use crate::storage::records::{Entry, PlacementRow, TaskRangeRecord};

/// Room in a transaction, below the service's 64 KiB.
const TRANSACTION_BYTES: usize = 54 * 1024;
/// What a page holds beside its entries.
const SEGMENT_FRAME_BYTES: usize = 200;
/// What a page holds, beside its entry, for each job that it describes: when the job came.
const SUBMISSION_TIME_BYTES: usize = 14;
/// What separates an entry from the next.
const SEPARATOR_BYTES: usize = 2;
/// What a fragment of a part takes at least beside its frame.
const MIN_FRAGMENT_BYTES: usize = 80;

/// What a list of entries takes in a page.
pub fn entry_bytes(entry: &Entry) -> usize {
    json_size(entry) + SEPARATOR_BYTES
}

/// Entries on their way into pages.
pub struct SegmentPacker {
    /// Room for entries in an empty page.
    segment_bytes: usize,
    /// Pages at most, as long as no single entry needs more.
    segment_budget: usize,
    /// Pages at most, whatever is to be written.
    segment_limit: usize,
    segments: Vec<Vec<Entry>>,
    /// Room that is left in the last page.
    free_bytes: usize,
    /// What all pages take so far.
    total_bytes: usize,
}

impl SegmentPacker {
    /// Packs into pages of values of so many bytes: usually up to `segment_budget` of them, and
    /// up to `segment_limit` for a part that doesn't fit into so few.
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

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Room for entries in an empty page.
    pub fn segment_bytes(&self) -> usize {
        self.segment_bytes
    }

    /// Pages at most, whatever is to be written.
    pub fn segment_limit(&self) -> usize {
        self.segment_limit
    }

    /// Pages that there are with one more entry of this size.
    pub fn segments_with(&self, bytes: usize) -> usize {
        self.segments.len() + usize::from(bytes > self.free_bytes)
    }

    /// Allows so many pages at most from now on.
    pub fn lower_limit(&mut self, segments: usize) {
        self.segment_limit = self.segment_limit.min(segments);
        self.segment_budget = self.segment_budget.min(segments);
    }

    /// Allows so many pages at least, for an entry that must go out now.
    pub fn raise_budget(&mut self, segments: usize) {
        self.segment_budget = self.segment_budget.max(segments);
    }

    /// From now on fills the pages that there are, at least one, and opens only so many more.
    pub fn allow_more_segments(&mut self, more: usize) {
        self.segment_budget = (self.segments.len().max(1) + more).min(self.segment_limit);
    }

    /// The entries of each page.
    pub fn into_segments(self) -> Vec<Vec<Entry>> {
        self.segments
    }

    /// Adds an entry; the index of its page, or `None` if there is no room left.
    pub fn add(&mut self, entry: Entry) -> Option<usize> {
        let arrival = if entry.describes().is_some() {
            SUBMISSION_TIME_BYTES
        } else {
            0
        };
        let bytes = entry_bytes(&entry) + arrival;
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

    /// Adds a part, in fragments if it doesn't fit into a page; the index of the first page,
    /// or `None` if there is no room for all of it. The fragments say together what the part
    /// says: one that says all of it is the first, and the others add to it.
    pub fn add_task_range(&mut self, record: TaskRangeRecord) -> Option<usize> {
        // A part may need more than what is usual; alone, it gets that.
        let most = if self.segments.is_empty() {
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
        if splitter.segments > most || splitter.total_bytes > TRANSACTION_BYTES {
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

/// A piece of a part, and the index of the page that it goes to.
struct Fragment {
    segment: usize,
    record: TaskRangeRecord,
}

/// Splits one part into fragments that fit into pages. It works on figures of its own: if the
/// part doesn't fit, nothing of the packer has changed.
struct TaskRangeSplitter {
    segment_bytes: usize,
    /// A fragment that says nothing yet, and what it takes.
    blank: TaskRangeRecord,
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

    /// Adds a fact; `None` if it doesn't fit into any page.
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

/// One fact of a part.
enum Fact {
    Void((u32, u32)),
    Done((u32, u32)),
    Placed(PlacementRow),
}

impl Fact {
    /// Its size in a list.
    fn bytes(&self) -> usize {
        1 + match self {
            Fact::Void(range) | Fact::Done(range) => json_size(range),
            Fact::Placed(row) => json_size(row),
        }
    }
}

/// What a part says, one by one: what is void before what is placed, because fragments count
/// in their order.
fn facts_of(record: TaskRangeRecord) -> impl Iterator<Item = Fact> {
    let voids = record.void.into_iter().map(Fact::Void);
    let dones = record.done.into_iter().map(Fact::Done);
    let rows = record.placements.into_iter().map(Fact::Placed);
    voids.chain(dones).chain(rows)
}
