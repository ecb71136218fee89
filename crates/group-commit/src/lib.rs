//! Group commit of accepted jobs. The state service limits the rate of changes, not of bytes: a
//! controller that writes each accepted job by itself accepts only a few jobs a second, but one that
//! writes all waiting jobs into one value (a page) accepts as many as fit into the page.
//!
//! This crate decides which jobs go into which page and when, and which pages may be reused. It
//! makes no request: the caller writes a [`Batch`] on condition that the page has the batch's
//! version and that no job of the batch has ended, and reports the outcome.
//!
//! Invariant: a page that names an open job is never overwritten, and an offered job is in a page
//! or waits, whichever messages are lost, delayed or repeated.
//!
//! ```
//! use glenhaven_group_commit::{GroupCommit, PageCapacity};
//! use glenhaven_time::Micros;
//!
//! let capacity = PageCapacity { bytes: 8000, jobs: 90 };
//! let mut group_commit = GroupCommit::new();
//! group_commit.offer("run-1", 300, "its description", Micros::ZERO);
//! let batch = group_commit.next(capacity, Micros::ZERO).expect("nothing is in flight");
//! assert_eq!((batch.slot, batch.version), (0, 0));
//! let accepted = group_commit.committed(batch.number, 17, |_| false);
//! assert_eq!(accepted, [("run-1".to_string(), "its description")]);
//! // The page is kept until its jobs have ended; then its key is reused.
//! group_commit.job_ended("run-1");
//! group_commit.offer("run-2", 300, "its description", Micros::ZERO);
//! let batch = group_commit.next(capacity, Micros::ZERO).expect("nothing is in flight");
//! assert_eq!((batch.slot, batch.version), (0, 17));
//! ```
#![forbid(unsafe_code)]

mod waits;

pub use waits::{WaitHistogram, Waited};

use glenhaven_time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of pages in flight: more than one, so that one slow answer doesn't hold up all
/// other jobs.
const MAX_IN_FLIGHT: usize = 3;
/// Maximum time for which a page that is less than half full waits for more jobs while another page
/// is in flight. A single job is thus written at once, and under load many are written together.
const BATCH_DELAY: Micros = Micros::from_millis(50);

/// The capacity of a page.
#[derive(Clone, Copy, Debug)]
pub struct PageCapacity {
    /// Maximum size of all descriptions in bytes, as the state service counts them.
    pub bytes: usize,
    /// Maximum number of jobs, each of which takes a condition of the page's transaction.
    pub jobs: usize,
}

/// A page to be written, on condition that `slot` has `version` (0: it was never written) and that
/// none of its jobs has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<J> {
    /// Identifies the batch when its outcome is reported; no two batches have the same number.
    pub number: u64,
    /// The slot of the page.
    pub slot: u32,
    /// The version that the slot must have.
    pub version: u64,
    /// Ids and descriptions of the jobs, in the order in which they were offered.
    pub jobs: Vec<(String, J)>,
}

/// A job that waits or is in flight.
#[derive(Clone)]
struct Offer<J> {
    id: String,
    /// The size of its description in bytes.
    size: usize,
    job: J,
    offered_at: Micros,
    /// Whether a user still waits for its acceptance.
    wanted: bool,
}

/// A page in flight.
struct PageInFlight<J> {
    slot: u32,
    offers: Vec<Offer<J>>,
}

/// The newest known content of a page.
#[derive(Default)]
struct Page {
    version: u64,
    /// Jobs in it that are not known to have ended.
    open: BTreeSet<String>,
}

/// Groups the jobs that one controller accepts into pages, and tracks the pages.
pub struct GroupCommit<J> {
    waiting: VecDeque<Offer<J>>,
    /// Pages in flight, by the number of their batch.
    in_flight: BTreeMap<u64, PageInFlight<J>>,
    /// The number of the last batch; 0 before the first.
    last_batch_number: u64,
    /// Ids that wait or are in flight.
    offered: BTreeSet<String>,
    /// All known pages, by slot.
    pages: BTreeMap<u32, Page>,
    /// The slots of the pages that name an open job, by the job's id: more than one if an answer
    /// was lost.
    pages_of_job: BTreeMap<String, BTreeSet<u32>>,
    /// Slots that may be reused.
    free: BTreeSet<u32>,
    /// The number of slots ever used, which is also the next new slot.
    slot_count: u32,
}

impl<J> Default for GroupCommit<J> {
    fn default() -> Self {
        GroupCommit {
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            last_batch_number: 0,
            offered: BTreeSet::new(),
            pages: BTreeMap::new(),
            pages_of_job: BTreeMap::new(),
            free: BTreeSet::new(),
            slot_count: 0,
        }
    }
}

impl<J: Clone> GroupCommit<J> {
    /// Creates a state in which no job waits and no page is known.
    pub fn new() -> GroupCommit<J> {
        GroupCommit::default()
    }

    /// Offers a job for acceptance, whose description takes `size` bytes. The offer of a job that
    /// already waits or is in flight stays unchanged, but a withdrawn one is wanted again.
    pub fn offer(&mut self, id: &str, size: usize, job: J, now: Micros) {
        if !self.offered.insert(id.to_string()) {
            self.set_wanted(id, true);
            return;
        }
        self.waiting.push_back(Offer {
            id: id.to_string(),
            size,
            job,
            offered_at: now,
            wanted: true,
        });
    }

    /// Withdraws a job for which no user waits any more. A waiting job is removed; a job in flight
    /// doesn't wait again if its page fails.
    pub fn withdraw(&mut self, id: &str) {
        if !self.offered.contains(id) {
            return;
        }
        if let Some(index) = self.waiting.iter().position(|o| o.id == id) {
            self.waiting.remove(index);
            self.offered.remove(id);
        }
        self.set_wanted(id, false);
    }

    /// Sets whether a user waits for a job that is in flight.
    fn set_wanted(&mut self, id: &str, wanted: bool) {
        let in_flight = self.in_flight.values_mut().flat_map(|page| &mut page.offers);
        for offer in in_flight.filter(|o| o.id == id) {
            offer.wanted = wanted;
        }
    }

    /// Whether a page with the job is in flight.
    pub fn is_in_flight(&self, id: &str) -> bool {
        self.in_flight
            .values()
            .any(|page| page.offers.iter().any(|o| o.id == id))
    }

    /// Returns the number of jobs that wait, without those in flight.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of pages that the waiting jobs would fill.
    pub fn pages_waiting(&self, capacity: PageCapacity) -> usize {
        let bytes: usize = self.waiting.iter().map(|o| o.size).sum();
        bytes
            .div_ceil(capacity.bytes.max(1))
            .max(self.waiting.len().div_ceil(capacity.jobs.max(1)))
    }

    /// Returns the number of pages that name open jobs, and of all known pages.
    pub fn pages(&self) -> (usize, usize) {
        (
            self.pages.values().filter(|p| !p.open.is_empty()).count(),
            self.pages.len(),
        )
    }

    /// Returns the next page to be written, if one should be sent now. The page is in flight until
    /// [`committed`](GroupCommit::committed), [`failed`](GroupCommit::failed) or
    /// [`abandon`](GroupCommit::abandon) is called with its number.
    pub fn next(&mut self, capacity: PageCapacity, now: Micros) -> Option<Batch<J>> {
        let first = self.waiting.front()?;
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        if !self.in_flight.is_empty() && now.since(first.offered_at) < BATCH_DELAY {
            let bytes: usize = self.waiting.iter().map(|o| o.size).sum();
            if bytes * 2 < capacity.bytes && self.waiting.len() * 2 < capacity.jobs {
                return None;
            }
        }
        let offers = self.take_offers(capacity);
        let slot = self.free.pop_first().unwrap_or_else(|| {
            self.slot_count += 1;
            self.slot_count - 1
        });
        let version = self.pages.entry(slot).or_default().version;
        let jobs = offers.iter().map(|o| (o.id.clone(), o.job.clone())).collect();
        self.last_batch_number += 1;
        let number = self.last_batch_number;
        self.in_flight.insert(number, PageInFlight { slot, offers });
        Some(Batch {
            number,
            slot,
            version,
            jobs,
        })
    }

    /// Removes and returns as many waiting jobs as fit into a page, but at least one.
    fn take_offers(&mut self, capacity: PageCapacity) -> Vec<Offer<J>> {
        let (mut bytes, mut offers) = (0, vec![]);
        while let Some(offer) = self.waiting.front() {
            let full = bytes + offer.size > capacity.bytes || offers.len() >= capacity.jobs;
            if full && !offers.is_empty() {
                break;
            }
            bytes += offer.size;
            offers.extend(self.waiting.pop_front());
        }
        offers
    }

    /// Records that the page of batch `number` was written at this revision, and returns its jobs,
    /// which are accepted. `has_ended` returns whether a job is known to have ended.
    pub fn committed(&mut self, number: u64, revision: u64, has_ended: impl Fn(&str) -> bool) -> Vec<(String, J)> {
        let Some(PageInFlight { slot, offers }) = self.in_flight.remove(&number) else {
            return vec![];
        };
        let ids: Vec<String> = offers.iter().map(|o| o.id.clone()).collect();
        for id in &ids {
            self.offered.remove(id);
        }
        self.page_seen(slot, revision, &ids, has_ended);
        self.update_free(slot);
        offers.into_iter().map(|o| (o.id, o.job)).collect()
    }

    /// Records that the page of batch `number` was not written, or that its outcome is unknown.
    /// Jobs that are still wanted and not in `refused` wait again, before all others. If the page
    /// was written nevertheless, the next write fails on its version, and the caller reads it.
    pub fn failed(&mut self, number: u64, refused: &[String]) {
        let Some(PageInFlight { slot, offers }) = self.in_flight.remove(&number) else {
            return;
        };
        for offer in offers.into_iter().rev() {
            if offer.wanted && !refused.contains(&offer.id) {
                self.waiting.push_front(offer);
            } else {
                self.offered.remove(&offer.id);
            }
        }
        self.update_free(slot);
    }

    /// Records that the page of batch `number` was rejected permanently, and returns the ids of its
    /// jobs, which no longer wait.
    pub fn abandon(&mut self, number: u64) -> Vec<String> {
        let offers = self
            .in_flight
            .get(&number)
            .map(|page| page.offers.as_slice())
            .unwrap_or_default();
        let ids: Vec<String> = offers.iter().map(|o| o.id.clone()).collect();
        self.failed(number, &ids);
        ids
    }

    /// Records the content of a page of this controller as read from the state service, unless a
    /// version at least as new is known. The page may have been written by an earlier process
    /// incarnation, or by a delayed transaction.
    pub fn page_seen(&mut self, slot: u32, version: u64, jobs: &[String], has_ended: impl Fn(&str) -> bool) {
        self.slot_count = self.slot_count.max(slot + 1);
        let page = self.pages.entry(slot).or_default();
        if version <= page.version {
            return;
        }
        let before = std::mem::take(&mut page.open);
        page.version = version;
        page.open = jobs.iter().filter(|id| !has_ended(id)).cloned().collect();
        for id in &page.open {
            self.pages_of_job.entry(id.clone()).or_default().insert(slot);
        }
        let removed: Vec<String> = before.difference(&page.open).cloned().collect();
        for id in removed {
            self.remove_page_of_job(&id, slot);
        }
        self.update_free(slot);
    }

    /// Records that a job has ended; pages without any other open job may be reused.
    pub fn job_ended(&mut self, id: &str) {
        for slot in self.pages_of_job.remove(id).unwrap_or_default() {
            if let Some(page) = self.pages.get_mut(&slot) {
                page.open.remove(id);
            }
            self.update_free(slot);
        }
    }

    /// Discards the content of all pages, before the caller reports them again. Waiting jobs stay,
    /// and jobs in flight that are still wanted wait again.
    pub fn clear_pages(&mut self) {
        for number in self.in_flight.keys().copied().collect::<Vec<_>>() {
            self.failed(number, &[]);
        }
        self.pages.clear();
        self.pages_of_job.clear();
        self.free.clear();
    }

    fn remove_page_of_job(&mut self, id: &str, slot: u32) {
        if let Some(slots) = self.pages_of_job.get_mut(id) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.pages_of_job.remove(id);
            }
        }
    }

    /// Updates whether a slot may be reused, which requires that its page names no open job and is
    /// not in flight.
    fn update_free(&mut self, slot: u32) {
        let is_empty = self.pages.get(&slot).is_some_and(|p| p.open.is_empty());
        if is_empty && !self.in_flight.values().any(|page| page.slot == slot) {
            self.free.insert(slot);
        } else {
            self.free.remove(&slot);
        }
    }
}
