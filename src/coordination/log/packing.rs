//! Packing of log entries into the pages that one transaction writes.
//!
//! A page is a value of the state service and has its limit; so have the transaction as a
//! whole and the number of pages in it. What finds no room stays for the next transaction.

use crate::protocol::json_size;
use crate::storage::records::{Entry, PlacementRow, TaskRangeRecord};

/// Room in a transaction, below the service's 64 KiB.
const TRANSACTION_BYTES: usize = 54 * 1024;
/// What a page holds beside its entries.
const PAGE_FRAME_BYTES: usize = 200;
/// What a page holds, beside its entry, for each job that it describes: when the job came.
const ARRIVAL_TIME_BYTES: usize = 14;
/// What separates an entry from the next.
const SEPARATOR_BYTES: usize = 2;
/// What a fragment of a part takes at least beside its frame.
const LEAST_FRAGMENT_BYTES: usize = 80;

/// What a list of entries takes in a page.
pub fn entry_bytes(entry: &Entry) -> usize {
    json_size(entry) + SEPARATOR_BYTES
}

/// Entries on their way into pages.
pub struct PagePacker {
    /// Room for entries in an empty page.
    page_bytes: usize,
    /// Pages at most, as long as no single entry needs more.
    page_budget: usize,
    /// Pages at most, whatever is to be written.
    page_limit: usize,
    pages: Vec<Vec<Entry>>,
    /// Room that is left in the last page.
    free_bytes: usize,
    /// What all pages take so far.
    total_bytes: usize,
}

impl PagePacker {
    /// Packs into pages of values of so many bytes: usually up to `page_budget` of them, and
    /// up to `page_limit` for a part that doesn't fit into so few.
    pub fn new(value_bytes: usize, page_budget: usize, page_limit: usize) -> PagePacker {
        PagePacker {
            page_bytes: value_bytes.saturating_sub(PAGE_FRAME_BYTES),
            page_budget: page_budget.min(page_limit),
            page_limit,
            pages: vec![],
            free_bytes: 0,
            total_bytes: 0,
        }
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    /// Room for entries in an empty page.
    pub fn page_bytes(&self) -> usize {
        self.page_bytes
    }

    /// Pages at most, whatever is to be written.
    pub fn page_limit(&self) -> usize {
        self.page_limit
    }

    /// Pages that there are with one more entry of this size.
    pub fn pages_with(&self, bytes: usize) -> usize {
        self.pages.len() + usize::from(bytes > self.free_bytes)
    }

    /// Allows so many pages at most from now on.
    pub fn lower_limit(&mut self, pages: usize) {
        self.page_limit = self.page_limit.min(pages);
        self.page_budget = self.page_budget.min(pages);
    }

    /// Allows so many pages at least, for an entry that must go out now.
    pub fn raise_budget(&mut self, pages: usize) {
        self.page_budget = self.page_budget.max(pages);
    }

    /// From now on fills the pages that there are, at least one, and opens only so many more.
    pub fn allow_more_pages(&mut self, more: usize) {
        self.page_budget = (self.pages.len().max(1) + more).min(self.page_limit);
    }

    /// The entries of each page.
    pub fn into_pages(self) -> Vec<Vec<Entry>> {
        self.pages
    }

    /// Adds an entry; the index of its page, or `None` if there is no room left.
    pub fn add(&mut self, entry: Entry) -> Option<usize> {
        let arrival = if entry.describes().is_some() {
            ARRIVAL_TIME_BYTES
        } else {
            0
        };
        let bytes = entry_bytes(&entry) + arrival;
        if self.total_bytes + bytes > TRANSACTION_BYTES {
            return None;
        }
        if bytes > self.free_bytes {
            if self.pages.len() >= self.page_budget || bytes > self.page_bytes {
                return None;
            }
            self.open_page();
        }
        self.free_bytes -= bytes;
        self.total_bytes += bytes;
        self.pages.last_mut()?.push(entry);
        Some(self.pages.len() - 1)
    }

    fn open_page(&mut self) {
        self.pages.push(vec![]);
        self.free_bytes = self.page_bytes;
        self.total_bytes += PAGE_FRAME_BYTES;
    }

    /// Adds a part, in fragments if it doesn't fit into a page; the index of the first page,
    /// or `None` if there is no room for all of it. The fragments say together what the part
    /// says: one that says all of it is the first, and the others add to it.
    pub fn add_part(&mut self, part: TaskRangeRecord) -> Option<usize> {
        // A part may need more than what is usual; alone, it gets that.
        let most = if self.pages.is_empty() {
            self.page_limit
        } else {
            self.page_budget
        };
        let mut splitter = TaskRangeSplitter::new(self, &part);
        let first = splitter.last_page();
        for fact in facts_of(part) {
            splitter.add(fact)?;
        }
        splitter.end_fragment();
        if splitter.pages > most || splitter.total_bytes > TRANSACTION_BYTES {
            return None;
        }
        self.pages.resize_with(splitter.pages, Vec::new);
        self.free_bytes = splitter.free_bytes;
        self.total_bytes = splitter.total_bytes;
        for fragment in splitter.fragments {
            self.pages
                .get_mut(fragment.page)?
                .push(Entry::TaskRangeRecord(fragment.part));
        }
        Some(first)
    }
}

/// A piece of a part, and the index of the page that it goes to.
struct Fragment {
    page: usize,
    part: TaskRangeRecord,
}

/// Splits one part into fragments that fit into pages. It works on figures of its own: if the
/// part doesn't fit, nothing of the packer has changed.
struct TaskRangeSplitter {
    page_bytes: usize,
    /// A fragment that says nothing yet, and what it takes.
    blank: TaskRangeRecord,
    frame_bytes: usize,
    pages: usize,
    free_bytes: usize,
    total_bytes: usize,
    current: TaskRangeRecord,
    fragments: Vec<Fragment>,
}

impl TaskRangeSplitter {
    fn new(packer: &PagePacker, part: &TaskRangeRecord) -> TaskRangeSplitter {
        let blank = TaskRangeRecord {
            job: part.job.clone(),
            part: part.part,
            last_attempt: part.last_attempt,
            ..TaskRangeRecord::default()
        };
        let current = TaskRangeRecord {
            full: part.full,
            ..blank.clone()
        };
        let mut splitter = TaskRangeSplitter {
            page_bytes: packer.page_bytes,
            frame_bytes: entry_bytes(&Entry::TaskRangeRecord(blank.clone())),
            blank,
            pages: packer.pages.len(),
            free_bytes: packer.free_bytes,
            total_bytes: packer.total_bytes,
            current,
            fragments: vec![],
        };
        if splitter.pages == 0 || splitter.free_bytes < splitter.frame_bytes + LEAST_FRAGMENT_BYTES {
            splitter.open_page();
        }
        splitter.begin_fragment();
        splitter
    }

    fn last_page(&self) -> usize {
        self.pages - 1
    }

    fn open_page(&mut self) {
        self.pages += 1;
        self.free_bytes = self.page_bytes;
        self.total_bytes += PAGE_FRAME_BYTES;
    }

    fn begin_fragment(&mut self) {
        self.free_bytes = self.free_bytes.saturating_sub(self.frame_bytes);
        self.total_bytes += self.frame_bytes;
    }

    fn end_fragment(&mut self) {
        let part = std::mem::replace(&mut self.current, self.blank.clone());
        let page = self.last_page();
        self.fragments.push(Fragment { page, part });
    }

    /// Adds a fact; `None` if it doesn't fit into any page.
    fn add(&mut self, fact: Fact) -> Option<()> {
        let bytes = fact.bytes();
        if bytes > self.free_bytes {
            self.end_fragment();
            self.open_page();
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
fn facts_of(part: TaskRangeRecord) -> impl Iterator<Item = Fact> {
    let voids = part.void.into_iter().map(Fact::Void);
    let dones = part.done.into_iter().map(Fact::Done);
    let rows = part.placements.into_iter().map(Fact::Placed);
    voids.chain(dones).chain(rows)
}
