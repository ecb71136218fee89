//! Reading the leader's book from the state service, and writing it back: one
//! transaction at a time, every write under the current term.
//!
//! The book is a list of pages. A transaction writes what has changed to pages
//! of its own, whatever jobs it is about, so that its cost follows what changed
//! and not how many jobs it concerns. Facts that stand in the oldest pages are
//! written again with later ones until nothing is left there; then the keys of
//! those pages are used anew.

mod answers;
mod outcome;
pub mod packing;
mod read_log;
pub mod replay;
mod restore;
mod transaction;

use super::book::{Job, Leader, Stage, TaskState};
use super::leadership::Leadership;
use super::store_queue::Urgency;
use super::{JobId, Shared, Site, Wait};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{self, ranges, to_value, Entry, JobValue, Page, Part};
use crate::protocol::store::{StoreRequest, Txn};
use crate::protocol::users::{Phase, Priority};
use crate::time::Micros;
use packing::{entry_bytes, PagePacker};
use read_log::LogReader;
use replay::{FreeSlot, LivePage};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use transaction::{PendingTransaction, WrittenClaim, WrittenDescription, WrittenPage, WrittenPart, WrittenStart};

/// What an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum LeaderWait {
    Pages,
    /// What happened to jobs since the book was last written.
    News,
    /// All jobs' keys, if the service has forgotten that far back.
    AllJobs,
    /// Which machines other nodes keep.
    Care,
    /// Pages of acceptances, for jobs that are missing here.
    Audit,
    Commit,
    /// A transaction went unanswered; this key tells whether it was executed.
    Probe,
}

/// What an entry says of a job beside its description.
const HEADER: usize = 50;
const TIMEOUT: Micros = Micros::from_millis(700);
/// Outcomes are recorded after this long at the latest.
const OUTCOME_DELAY: Micros = Micros::from_millis(1000);
/// Starts of ordinary work, acceptances and ends are gathered for this long.
const GATHER: Micros = Micros::from_millis(80);
/// What nobody waits for is gathered for this long.
const GATHER_REST: Micros = Micros::from_millis(400);
/// Pages that a transaction writes at most.
const MAX_PAGES: usize = 6;
/// How many closed jobs are remembered.
const CLOSED_JOBS: usize = 20_000;
/// What a placement takes in the book.
const PLACED: usize = 30;
/// Pages, and bytes in them, that are kept however little there is in the book.
const LEAST_PAGES: usize = 48;
const LEAST_BYTES: usize = 256 * 1024;

/// Writes the book, and remembers which jobs it has closed.
#[derive(Default)]
pub struct Committer {
    /// Reads the book at a takeover.
    reader: Option<Box<LogReader>>,
    loaded: bool,
    in_flight: Option<Box<PendingTransaction>>,
    resend_at: Option<Micros>,
    last_sent: Micros,
    /// What the book's clock is ahead of this process's, in milliseconds.
    ahead_ms: i64,
    /// Jobs closed by this leader, against late news of their acceptance.
    closed: BTreeSet<JobId>,
    /// Pages that still say something, oldest first.
    pages: VecDeque<LivePage>,
    /// Keys that may be used again, with their versions.
    free: Vec<FreeSlot>,
    slots: u32,
    last_seq: u64,
    seen: u64,
    /// Pages that a transaction writes at most, less while it is refused.
    page_budget: usize,
    /// Parts with starts to be recorded, the most urgent first.
    pub starting: BTreeSet<(Reverse<Priority>, u64, JobId, u32)>,
    /// Parts that differ from the book, in the order in which they changed.
    pub touched: VecDeque<(Micros, JobId, u32)>,
    /// Jobs whose description, or cancellation, is not in the book.
    pub unwritten: BTreeSet<(u64, JobId)>,
    /// Arrays whose every task has completed.
    pub complete: BTreeSet<JobId>,
    /// Jobs that are withdrawn with one that they need, which is to be recorded.
    pub withdrawn: BTreeSet<JobId>,
    /// Cancelled jobs with nothing left on machines.
    pub ended: BTreeSet<JobId>,
    /// How much was written, for an operator's log.
    pub written: (u64, u64),
}

impl Committer {
    pub fn is_closed(&self, id: &str) -> bool {
        self.closed.contains(id)
    }

    /// Whether the transaction in flight records this start.
    pub fn carries(&self, id: &JobId, task: u32) -> bool {
        let pending = self.in_flight.as_ref();
        pending.is_some_and(|p| p.records_start(id, task))
    }

    /// Pages that still say something.
    pub fn pages_kept(&self) -> usize {
        self.pages.len()
    }

    /// The book's clock, in milliseconds.
    fn log_ms(&self, at: Micros) -> u64 {
        ((at.0 / 1000) as i64 + self.ahead_ms).max(1) as u64
    }

    /// A time of the book's clock on this process's.
    fn on_own_clock(&self, ms: u64) -> Micros {
        Micros((ms as i64 - self.ahead_ms).max(0) as u64 * 1000)
    }

    /// Whether the transaction in flight may be executed without a word of it.
    fn is_in_doubt(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|p| p.in_doubt)
    }

    /// A slot for a page: one whose page says nothing any more, or a new one.
    fn take_slot(&mut self) -> FreeSlot {
        self.free.pop().unwrap_or_else(|| {
            let slot = self.slots;
            self.slots += 1;
            FreeSlot { slot, version: 0 }
        })
    }

    fn remember_closed(&mut self, id: JobId) {
        self.closed.insert(id);
        while self.closed.len() > CLOSED_JOBS {
            self.closed.pop_first();
        }
    }

    pub fn term_raised(&mut self) {
        // A transaction in flight either was executed under the old term or
        // fails on its condition; its answer tells which.
    }
}

/// Jobs whose ends a transaction has recorded.
#[derive(Default)]
pub struct Ends {
    pub done: Vec<JobId>,
    pub withdrawn: Vec<JobId>,
}

impl Leader {
    /// A part of a job differs from what the book says.
    pub fn touch(&mut self, id: &JobId, part: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let chunk = job.chunks.entry(part).or_default();
        if chunk.dirty.is_none() {
            chunk.dirty = Some(now);
            self.committer.touched.push_back((now, id.clone(), part));
        }
    }

    /// A part as it should be in the book: all of it, or what has changed.
    fn part_value(job: &Job, n: u32, chunk_tasks: u32, full: bool) -> Part {
        let from = n * chunk_tasks;
        let to = (from + chunk_tasks).min(job.spec.tasks);
        let Some(chunk) = job.chunks.get(&n) else {
            return Part::default();
        };
        let finished = |t: &u32| matches!(job.states[*t as usize], TaskState::Finished | TaskState::Recorded);
        let placements = job
            .placed
            .range(from..to)
            .filter(|(t, p)| job.states[**t as usize] == TaskState::Placed && (full || p.stage == Stage::Committing))
            .map(|(t, p)| (*t, p.attempt, p.machine.to_string(), p.session, p.fence))
            .collect();
        Part {
            job: job.id.to_string(),
            part: n,
            full,
            last_attempt: chunk.last_attempt,
            done: if full {
                ranges((from..to).filter(finished))
            } else {
                ranges(chunk.done.iter().copied())
            },
            void: if full {
                vec![]
            } else {
                ranges(chunk.void.iter().copied())
            },
            placements,
        }
    }

    /// Adds a part to the transaction, with its job's description if that is
    /// not in the book; false if there is no room left.
    fn write_part(
        &mut self,
        w: &mut PagePacker,
        f: &mut PendingTransaction,
        seq: u64,
        id: &JobId,
        n: u32,
        ops: usize,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        if job.closing || f.parts.iter().any(|p| p.part == n && p.job == *id) {
            return true;
        }
        if !job.chunks.contains_key(&n) {
            return true;
        }
        let from = n * self.chunk_tasks;
        let to = from + self.chunk_tasks;
        let starts: Vec<WrittenStart> = job
            .placed
            .range(from..to)
            .filter(|(_, p)| p.stage == Stage::Committing)
            .map(|(t, p)| WrittenStart {
                job: id.clone(),
                task: *t,
                attempt: p.attempt,
            })
            .collect();
        let key = keys::job(id);
        let conditioned = f.txn.conditions.iter().any(|c| c.key == key);
        // Room is left for the conditions on the pages' own keys.
        if !starts.is_empty() && !conditioned && f.txn.conditions.len() + w.page_limit() + 1 > 4 * ops {
            return false;
        }
        if !self.write_header(w, f, seq, id) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return true };
        // Without a description, what is placed would mean nothing to the next leader.
        if job.base == 0 && !f.descriptions.iter().any(|d| d.job == *id) {
            return true;
        }
        let full = chunk_is_new(job, n) || chunk_is_old(job, n, f.oldest);
        let Some(page) = w.add_part(Self::part_value(job, n, self.chunk_tasks, full)) else {
            if w.is_empty() {
                tracing::error!(job = %id, part = n, "a part of a job doesn't fit into a transaction");
            }
            return false;
        };
        // Nothing starts after a cancel: a start holds only while the job's
        // key is as it was when it was accepted, not there or with that version.
        if !starts.is_empty() && !conditioned {
            let version = job.stamp;
            f.require(key, version);
        }
        let version = job.version;
        if let Some(chunk) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(&n)) {
            if let Some(priority) = chunk.queued.take() {
                let entry = (Reverse(priority), version, id.clone(), n);
                self.committer.starting.remove(&entry);
            }
            chunk.dirty = None;
            f.parts.push(WrittenPart {
                job: id.clone(),
                part: n,
                page: full.then_some(seq + page as u64),
                done: std::mem::take(&mut chunk.done),
                void: std::mem::take(&mut chunk.void),
            });
        }
        f.starts.extend(starts);
        true
    }

    /// Adds a job's description if the book does not have it as it is now.
    fn write_header(&mut self, w: &mut PagePacker, f: &mut PendingTransaction, seq: u64, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let unwritten = (job.version, id.clone());
        let due = self.committer.unwritten.contains(&unwritten) || job.base < f.oldest;
        if !due || job.closing || f.descriptions.iter().any(|d| d.job == *id) {
            return true;
        }
        let cancelled = job.cancelled.is_some();
        let came_ms = self.day_ms + job.came.0 / 1000;
        // It was accepted into a value of this size; one of an older version may be larger.
        let Some(spec) = records::kept(&job.spec, came_ms, w.page_bytes().saturating_sub(HEADER)) else {
            // It stays unwritten, and so does all that is placed of it: nothing starts.
            tracing::error!(job = %id, "the description doesn't fit into a page of the book");
            return true;
        };
        let spec = Box::new(spec);
        let entry = match job.stamp {
            0 => Entry::Accepted(job.version, cancelled, spec),
            _ => Entry::Open(job.version, cancelled, spec),
        };
        let Some(page) = w.add(entry) else { return false };
        let was_due = self.committer.unwritten.remove(&unwritten);
        f.descriptions.push(WrittenDescription {
            job: id.clone(),
            page: seq + page as u64,
            was_due,
        });
        true
    }

    /// Builds and sends the next transaction, the most urgent changes first.
    pub fn pump_commit(&mut self, sh: &mut Shared, site: &Site, lead: &Leadership) {
        let now = sh.now;
        if let Some(at) = self.committer.resend_at {
            if now >= at {
                self.committer.resend_at = None;
                if let Some(pending) = &self.committer.in_flight {
                    self.send(sh, pending.txn.clone());
                }
            }
            return;
        }
        if self.committer.in_flight.is_some() || lead.is_taking() {
            return;
        }
        let c = &self.committer;
        let hurry = c.starting.first().is_some_and(|s| s.0 .0 == Priority::Production);
        let claims = self.fleet.claims_to_record(20);
        let ends = !c.complete.is_empty() || !c.withdrawn.is_empty();
        let soon = !c.starting.is_empty() || ends || !c.unwritten.is_empty() || !claims.is_empty();
        let pause = match (hurry, soon) {
            (true, _) => Micros::ZERO,
            (_, true) => GATHER,
            _ => GATHER_REST,
        };
        if now.since(c.last_sent) < pause {
            return;
        }
        let due = c.touched.front().is_some_and(|t| now.since(t.0) > OUTCOME_DELAY);
        let settled = self.fleet.claims_to_drop(20);
        if !soon && !due && c.ended.is_empty() && settled.is_empty() {
            return;
        }
        let ops = site.limits.changes();
        let value = site.limits.value_bytes();
        let seq = c.last_seq + 1;
        // Ends of jobs take changes of their own; whatever else there is, some go out.
        let ends = (c.complete.len() + c.withdrawn.len()).min((ops / 4).max(1));
        let pages = MAX_PAGES.min(ops * 3 / 4).min(self.committer.page_budget.max(1));
        let mut w = PagePacker::new(value, pages, ops - ends);
        let mut f = Box::new(PendingTransaction {
            oldest: self.clean_up_to(value),
            ..PendingTransaction::default()
        });
        f.txn.conditions.push(lead.condition());
        for (id, value) in claims {
            if let Some(page) = w.add(Entry::Claim(id.clone(), value)) {
                f.claims.push(WrittenClaim {
                    claim: id,
                    page: seq + page as u64,
                });
            }
        }
        let starting: Vec<(JobId, u32)> = self
            .committer
            .starting
            .iter()
            .take(4 * ops)
            .map(|s| (s.2.clone(), s.3))
            .collect();
        for (id, n) in starting {
            if !self.write_part(&mut w, &mut f, seq, &id, n, ops) {
                break;
            }
        }
        let starts = f.starts.len();
        let complete: Vec<JobId> = self.committer.complete.iter().cloned().collect();
        for id in complete {
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_live()) else {
                self.committer.complete.remove(&id);
                continue;
            };
            let stamp = job.stamp;
            if !add_end(&mut w, &mut f, ops, &id, stamp, Phase::Done) {
                break;
            }
            let Some(job) = self.jobs.get(&id) else { break };
            self.committer.complete.remove(&id);
            self.committer.unwritten.remove(&(job.version, id.clone()));
            if let Some(job) = self.jobs.get_mut(&id) {
                job.closing = true;
            }
            f.completed.push(id);
        }
        let withdrawn: Vec<JobId> = self.committer.withdrawn.iter().cloned().collect();
        for id in withdrawn {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.committer.withdrawn.remove(&id);
                continue;
            };
            if !add_end(&mut w, &mut f, ops, &id, job.stamp, Phase::Cancelled) {
                break;
            }
            job.closing = true;
            self.committer.withdrawn.remove(&id);
            f.withdrawn.push(id);
        }
        w.lower_limit(ops - f.txn.changes.len());
        let unwritten: Vec<JobId> = self.committer.unwritten.iter().map(|u| u.1.clone()).collect();
        for id in unwritten {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.cancelled.is_some() && job.placed.is_empty() {
                continue; // Over in a moment; that is said next.
            }
            if !self.write_header(&mut w, &mut f, seq, &id) {
                break;
            }
        }
        let ended: Vec<JobId> = self.committer.ended.iter().cloned().collect();
        for id in ended {
            let Some(job) = self
                .jobs
                .get(&id)
                .filter(|j| j.cancelled.is_some() && j.placed.is_empty())
            else {
                self.committer.ended.remove(&id);
                continue;
            };
            if w.add(Entry::Over(id.to_string())).is_none() {
                break;
            }
            self.committer.unwritten.remove(&(job.version, id.clone()));
            self.committer.ended.remove(&id);
            f.ended.push(id);
        }
        for id in settled {
            if w.add(Entry::Settled(id.clone())).is_some() {
                f.settled.push(id);
            } else {
                break;
            }
        }
        while let Some((at, id, n)) = self.committer.touched.front().cloned() {
            // Outcomes wait for company, so that a busy array is not written
            // for every one.
            if now.since(at) <= OUTCOME_DELAY {
                break;
            }
            let dirty = |j: &Job| j.chunks.get(&n).is_some_and(|c| c.dirty == Some(at));
            if self.jobs.get(&id).is_some_and(dirty) && !self.write_part(&mut w, &mut f, seq, &id, n, ops) {
                break;
            }
            self.committer.touched.pop_front();
        }
        self.clean(&mut w, &mut f, seq, ops, value);
        if w.is_empty() {
            return;
        }
        self.seal(&mut f, w, seq, lead, now);
        let urgent = starts > 0 || !f.claims.is_empty();
        let urgency = if urgent { Urgency::Start } else { Urgency::User };
        self.committer.written.0 += 1;
        self.committer.written.1 += f.txn.changes.len() as u64;
        tracing::debug!(
            pages = f.pages.len(),
            headers = f.descriptions.len(),
            parts = f.parts.len(),
            rewritten = f.parts.iter().filter(|p| p.page.is_some()).count(),
            starts,
            closed = f.completed.len(),
            over = f.ended.len(),
            "transaction"
        );
        let txn = f.txn.clone();
        self.committer.last_sent = now;
        self.committer.in_flight = Some(f);
        sh.store.push(
            urgency,
            StoreRequest::Txn(txn),
            Wait::Leader(self.incarnation, LeaderWait::Commit),
            TIMEOUT,
        );
    }

    /// The first page to be kept: those before it are too many, and what they
    /// say is to be written again.
    fn clean_up_to(&self, value: usize) -> u64 {
        let pages = &self.committer.pages;
        let over = pages.len().saturating_sub(self.pages_allowed(value));
        pages.get(over).map_or(0, |p| p.seq)
    }

    /// How many pages may say something: what is open takes about so much; three times that is
    /// kept, so that each fact is written again only now and then.
    fn pages_allowed(&self, value: usize) -> usize {
        let placed: usize = self.jobs.values().map(|j| j.placed.len()).sum();
        let open = self.jobs.len() * 600 + placed * PLACED;
        let least = open / value.max(1024) * 3;
        least.max(LEAST_PAGES).max(LEAST_BYTES / value.max(1024))
    }

    /// Writes again what stands in pages that are to go, as far as there is
    /// room, and sets how far that has come.
    fn clean(&mut self, w: &mut PagePacker, f: &mut PendingTransaction, seq: u64, ops: usize, value: usize) {
        let goal = f.oldest;
        // What is rewritten fills pages that are there anyway: pages of its own
        // would have to be cleaned in turn, ever more of them.
        // But a part may need more than the room that is left in them, and far behind, the
        // oldest pages hold others that could go: then some are opened.
        let behind = self.committer.pages.len().saturating_sub(self.pages_allowed(value));
        let more = match behind {
            0 => 0,
            _ if behind < LEAST_PAGES => 2,
            _ => w.page_limit(),
        };
        w.allow_more_pages(more);
        let mut old: Vec<(u64, JobId, Option<u32>)> = vec![];
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.closing) {
            if job.base > 0 && job.base < goal {
                old.push((job.base, id.clone(), None));
            }
            for (n, chunk) in &job.chunks {
                if chunk.base > 0 && chunk.base < goal {
                    old.push((chunk.base, id.clone(), Some(*n)));
                }
            }
        }
        old.sort();
        for (_, id, n) in old {
            if f.completed.contains(&id) || f.ended.contains(&id) || f.withdrawn.contains(&id) {
                continue;
            }
            let fits = match n {
                None => self.write_header(w, f, seq, &id),
                Some(n) => self.write_part(w, f, seq, &id, n, ops),
            };
            if !fits {
                break;
            }
        }
        for (id, value) in self.fleet.claims_before(goal) {
            if let Some(page) = w.add(Entry::Claim(id.clone(), value)) {
                f.claims.push(WrittenClaim {
                    claim: id,
                    page: seq + page as u64,
                });
            }
        }
        // What still stands in old pages keeps them.
        let headers: BTreeSet<&JobId> = f.descriptions.iter().map(|d| &d.job).collect();
        let parts: BTreeSet<(&JobId, u32)> = f
            .parts
            .iter()
            .filter(|p| p.page.is_some())
            .map(|p| (&p.job, p.part))
            .collect();
        let claims: BTreeSet<&str> = f.claims.iter().map(|c| c.claim.as_str()).collect();
        let mut oldest = seq;
        for (id, job) in &self.jobs {
            if f.completed.contains(id) || f.ended.contains(id) || f.withdrawn.contains(id) {
                continue;
            }
            if job.base > 0 && !headers.contains(id) {
                oldest = oldest.min(job.base);
            }
            for (n, chunk) in &job.chunks {
                if chunk.base > 0 && !parts.contains(&(id, *n)) {
                    oldest = oldest.min(chunk.base);
                }
            }
        }
        oldest = oldest.min(self.fleet.oldest_claim(&claims).unwrap_or(seq));
        f.oldest = oldest;
    }

    /// Turns entries into pages of the transaction.
    fn seal(&mut self, f: &mut PendingTransaction, w: PagePacker, seq: u64, lead: &Leadership, now: Micros) {
        let jobs = &self.jobs;
        let unseen = |(version, id): &(u64, JobId)| {
            let job = jobs.get(id)?;
            Some(if job.cancelled.is_some() && job.cancel_version > 0 {
                job.cancel_version
            } else {
                *version
            })
        };
        let first = self.committer.unwritten.iter().filter_map(unseen).min();
        let known = lead.jobs_seen();
        f.seen = first
            .map_or(known, |v| known.min(v.saturating_sub(1)))
            .max(self.committer.seen);
        let at_ms = self.committer.log_ms(now);
        for (i, entries) in w.into_pages().into_iter().enumerate() {
            let born = |entry: &Entry| {
                let job = jobs.get(entry.describes()?.id.as_str()).filter(|j| !j.ageless);
                Some(job.map_or(0, |j| self.committer.log_ms(j.arrived)))
            };
            let born_ms: Vec<u64> = entries.iter().filter_map(born).collect();
            let FreeSlot { slot, version } = self.committer.take_slot();
            let key = keys::page(slot);
            let page = Page {
                term: lead.term(),
                seq: seq + i as u64,
                oldest: f.oldest,
                seen: f.seen,
                at_ms,
                born_ms,
                entries,
            };
            f.put(key, version, to_value(&page));
            f.pages.push(WrittenPage { slot, seq: page.seq });
        }
    }

    fn send(&self, sh: &mut Shared, txn: Txn) {
        sh.store.push(
            Urgency::Start,
            StoreRequest::Txn(txn),
            Wait::Leader(self.incarnation, LeaderWait::Commit),
            TIMEOUT,
        );
    }
}

/// Adds the end of a job: its final phase, on condition that its key is as it was. False if
/// there is no room left for it, with the pages there are and the one that says so.
fn add_end(w: &mut PagePacker, f: &mut PendingTransaction, ops: usize, id: &JobId, stamp: u64, phase: Phase) -> bool {
    let over = Entry::Over(id.to_string());
    let pages = w.pages_with(entry_bytes(&over));
    let changes = f.txn.changes.len() + 1 + pages;
    if changes > ops || f.txn.conditions.len() + 1 + pages > 4 * ops || pages > w.page_limit() {
        return false;
    }
    w.raise_budget(pages);
    if w.add(over).is_none() {
        return false;
    }
    let value = to_value(&JobValue { phase, spec: None });
    f.put(keys::job(id), stamp, value);
    true
}

fn chunk_is_new(job: &Job, n: u32) -> bool {
    job.chunks.get(&n).is_none_or(|c| c.base == 0)
}

fn chunk_is_old(job: &Job, n: u32, goal: u64) -> bool {
    job.chunks.get(&n).is_some_and(|c| c.base < goal)
}
