//! Acceptances in pages. The state service counts changes, not bytes: a controller that
//! writes each accepted job by itself accepts a few jobs a second, one that writes what
//! waits into one value accepts as many as fit.
//!
//! This crate decides which jobs go into which page and when, and which pages may be used
//! again. It makes no request: the caller writes a [`Batch`] on condition that the page
//! has the batch's version and that no job of it is over, and says what came of it. A page
//! that names an open job is never written over; whatever is lost, late or repeated, a job
//! is in a page or it waits.
//!
//! ```
//! use glenhaven_group_commit::{GroupCommit, PageCapacity};
//! use glenhaven_time::Micros;
//!
//! let room = PageCapacity { bytes: 8000, jobs: 90 };
//! let mut intake = GroupCommit::new();
//! intake.offer("run-1", 300, "its description", Micros::ZERO);
//! let batch = intake.next(room, Micros::ZERO).expect("nothing is on its way");
//! assert_eq!((batch.slot, batch.version), (0, 0));
//! let accepted = intake.committed(batch.number, 17, |_| false);
//! assert_eq!(accepted, [("run-1".to_string(), "its description")]);
//! // The page is kept until its jobs are over; then its key is written again.
//! intake.over("run-1");
//! intake.offer("run-2", 300, "its description", Micros::ZERO);
//! let batch = intake.next(room, Micros::ZERO).expect("nothing is on its way");
//! assert_eq!((batch.slot, batch.version), (0, 17));
//! ```
#![forbid(unsafe_code)]

mod waits;

pub use waits::{Waited, Waits};

use glenhaven_time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Pages on their way at a time: one slow answer doesn't hold up everybody else.
const FLYING: usize = 3;
/// While a page is on its way, a page that would not be half full waits this long for
/// company: at rest a job goes out at once and alone, under load in company.
const GATHER: Micros = Micros::from_millis(50);

/// What a page holds at most.
#[derive(Clone, Copy, Debug)]
pub struct PageCapacity {
    /// Bytes for descriptions, as the state service counts them.
    pub bytes: usize,
    /// Jobs, each of which is a condition of its transaction.
    pub jobs: usize,
}

/// A page to be written: on condition that `slot` has `version` (0: it was never written)
/// and that none of its jobs is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<J> {
    /// What its outcome is said of: no two batches have the same.
    pub number: u64,
    pub slot: u32,
    pub version: u64,
    /// Ids and descriptions, in the order in which they came.
    pub jobs: Vec<(String, J)>,
}

#[derive(Clone)]
struct Offer<J> {
    id: String,
    size: usize,
    job: J,
    since: Micros,
    /// Somebody still waits for it.
    wanted: bool,
}

#[derive(Default)]
struct Page {
    version: u64,
    /// Jobs in it that are not known to be over.
    open: BTreeSet<String>,
}

/// The acceptances of one controller.
pub struct GroupCommit<J> {
    waiting: VecDeque<Offer<J>>,
    /// By number: the slot, and what is on its way there.
    flying: BTreeMap<u64, (u32, Vec<Offer<J>>)>,
    numbers: u64,
    /// Ids that wait or are on their way.
    offered: BTreeSet<String>,
    pages: BTreeMap<u32, Page>,
    /// The pages that name an open job: more than one if an answer was lost.
    named: BTreeMap<String, BTreeSet<u32>>,
    free: BTreeSet<u32>,
    slots: u32,
}

impl<J> Default for GroupCommit<J> {
    fn default() -> Self {
        GroupCommit {
            waiting: VecDeque::new(),
            flying: BTreeMap::new(),
            numbers: 0,
            offered: BTreeSet::new(),
            pages: BTreeMap::new(),
            named: BTreeMap::new(),
            free: BTreeSet::new(),
            slots: 0,
        }
    }
}

impl<J: Clone> GroupCommit<J> {
    /// Nothing waits, and no page is known.
    pub fn new() -> GroupCommit<J> {
        GroupCommit::default()
    }

    /// A job that is to be accepted; its description takes `size` bytes. One that waits or
    /// is on its way already goes on as it is.
    pub fn offer(&mut self, id: &str, size: usize, job: J, now: Micros) {
        if !self.offered.insert(id.to_string()) {
            self.want(id, true);
            return;
        }
        self.waiting.push_back(Offer {
            id: id.to_string(),
            size,
            job,
            since: now,
            wanted: true,
        });
    }

    /// Nobody waits for the job any more: unless it is on its way, it is not written.
    pub fn withdraw(&mut self, id: &str) {
        if !self.offered.contains(id) {
            return;
        }
        if let Some(at) = self.waiting.iter().position(|o| o.id == id) {
            self.waiting.remove(at);
            self.offered.remove(id);
        }
        self.want(id, false);
    }

    fn want(&mut self, id: &str, wanted: bool) {
        let flying = self.flying.values_mut().flat_map(|f| &mut f.1);
        for offer in flying.filter(|o| o.id == id) {
            offer.wanted = wanted;
        }
    }

    /// Whether the job is on its way into a page.
    pub fn is_flying(&self, id: &str) -> bool {
        self.flying.values().any(|f| f.1.iter().any(|o| o.id == id))
    }

    /// Jobs that wait, those on their way aside.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Pages that what waits would fill.
    pub fn pages_waiting(&self, room: PageCapacity) -> usize {
        let bytes: usize = self.waiting.iter().map(|o| o.size).sum();
        bytes
            .div_ceil(room.bytes.max(1))
            .max(self.waiting.len().div_ceil(room.jobs.max(1)))
    }

    /// Pages that name open jobs, and all that were ever used.
    pub fn pages(&self) -> (usize, usize) {
        (
            self.pages.values().filter(|p| !p.open.is_empty()).count(),
            self.pages.len(),
        )
    }

    /// The next page to be written, if one should go out now. It is on its way until
    /// [`committed`](GroupCommit::committed) or [`failed`](GroupCommit::failed) is said of it.
    pub fn next(&mut self, room: PageCapacity, now: Micros) -> Option<Batch<J>> {
        let first = self.waiting.front()?;
        if self.flying.len() >= FLYING {
            return None;
        }
        if !self.flying.is_empty() && now.since(first.since) < GATHER {
            let bytes: usize = self.waiting.iter().map(|o| o.size).sum();
            if bytes * 2 < room.bytes && self.waiting.len() * 2 < room.jobs {
                return None;
            }
        }
        let (mut bytes, mut offers) = (0, vec![]);
        while let Some(offer) = self.waiting.front() {
            let full = bytes + offer.size > room.bytes || offers.len() >= room.jobs;
            if full && !offers.is_empty() {
                break;
            }
            bytes += offer.size;
            offers.extend(self.waiting.pop_front());
        }
        let slot = self.free.pop_first().unwrap_or_else(|| {
            self.slots += 1;
            self.slots - 1
        });
        let version = self.pages.entry(slot).or_default().version;
        let jobs = offers.iter().map(|o| (o.id.clone(), o.job.clone())).collect();
        self.numbers += 1;
        let number = self.numbers;
        self.flying.insert(number, (slot, offers));
        Some(Batch {
            number,
            slot,
            version,
            jobs,
        })
    }

    /// The page on its way was written at this revision. Returns its jobs: they are
    /// accepted.
    pub fn committed(&mut self, number: u64, revision: u64, is_over: impl Fn(&str) -> bool) -> Vec<(String, J)> {
        let Some((slot, offers)) = self.flying.remove(&number) else {
            return vec![];
        };
        let ids: Vec<String> = offers.iter().map(|o| o.id.clone()).collect();
        for id in &ids {
            self.offered.remove(id);
        }
        self.saw(slot, revision, &ids, is_over);
        self.settle(slot);
        offers.into_iter().map(|o| (o.id, o.job)).collect()
    }

    /// The page on its way was not written, or nobody knows. What is not among `refused`,
    /// and still wanted, waits again, before all others: a page that was written all the
    /// same makes the next try fail on its version, and is seen.
    pub fn failed(&mut self, number: u64, refused: &[String]) {
        let Some((slot, offers)) = self.flying.remove(&number) else {
            return;
        };
        for offer in offers.into_iter().rev() {
            if offer.wanted && !refused.contains(&offer.id) {
                self.waiting.push_front(offer);
            } else {
                self.offered.remove(&offer.id);
            }
        }
        self.settle(slot);
    }

    /// The page on its way can't be written, and the same is to be expected of any other
    /// try. Returns its jobs, which wait no more.
    pub fn abandon(&mut self, number: u64) -> Vec<String> {
        let offers = self.flying.get(&number).map(|f| f.1.as_slice()).unwrap_or_default();
        let ids: Vec<String> = offers.iter().map(|o| o.id.clone()).collect();
        self.failed(number, &ids);
        ids
    }

    /// What the state service holds in a page of this controller: written by this life or
    /// an earlier one, possibly late.
    pub fn saw(&mut self, slot: u32, version: u64, jobs: &[String], is_over: impl Fn(&str) -> bool) {
        self.slots = self.slots.max(slot + 1);
        let page = self.pages.entry(slot).or_default();
        if version <= page.version {
            return;
        }
        let before = std::mem::take(&mut page.open);
        page.version = version;
        page.open = jobs.iter().filter(|id| !is_over(id)).cloned().collect();
        for id in &page.open {
            self.named.entry(id.clone()).or_default().insert(slot);
        }
        let gone: Vec<String> = before.difference(&page.open).cloned().collect();
        for id in gone {
            self.unname(&id, slot);
        }
        self.settle(slot);
    }

    /// The job is over for good.
    pub fn over(&mut self, id: &str) {
        for slot in self.named.remove(id).unwrap_or_default() {
            if let Some(page) = self.pages.get_mut(&slot) {
                page.open.remove(id);
            }
            self.settle(slot);
        }
    }

    /// Forgets what pages hold, to be told anew; what waits goes on waiting.
    pub fn forget_pages(&mut self) {
        for number in self.flying.keys().copied().collect::<Vec<_>>() {
            self.failed(number, &[]);
        }
        self.pages.clear();
        self.named.clear();
        self.free.clear();
    }

    fn unname(&mut self, id: &str, slot: u32) {
        if let Some(slots) = self.named.get_mut(id) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.named.remove(id);
            }
        }
    }

    /// A page may be used again exactly while it names no open job and is not on its way.
    fn settle(&mut self, slot: u32) {
        let empty = self.pages.get(&slot).is_some_and(|p| p.open.is_empty());
        if empty && !self.flying.values().any(|f| f.0 == slot) {
            self.free.insert(slot);
        } else {
            self.free.remove(&slot);
        }
    }
}
