//! Writing the log: one transaction at a time, the most urgent changes first.

use super::super::book::{Job, Leader, Stage, TaskState};
use super::super::leadership::Leadership;
use super::super::store_queue::Urgency;
use super::super::{JobId, Shared, Site, Wait};
use super::packing::PagePacker;
use super::queues::{ChangedPart, QueuedStarts, Undescribed};
use super::transaction::{Draft, PendingTransaction, WrittenDescription, WrittenPage, WrittenPart, WrittenStart};
use super::{LeaderWait, MAX_PAGES};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{self, ranges, to_value, ClaimValue, Entry, Page, Part};
use crate::protocol::store::{StoreRequest, Txn};
use crate::protocol::users::{Phase, Priority};
use crate::time::Micros;
use std::collections::BTreeSet;

/// How long an answer is awaited before the transaction is in doubt.
const TIMEOUT: Micros = Micros::from_millis(700);
/// Outcomes are recorded after this long at the latest.
const OUTCOME_DELAY: Micros = Micros::from_millis(1000);
/// Starts of ordinary work, acceptances and ends are gathered for this long.
const GATHER: Micros = Micros::from_millis(80);
/// What nobody waits for is gathered for this long.
const GATHER_REST: Micros = Micros::from_millis(400);
/// Rental requests that a transaction records, or drops, at most.
const CLAIMS: usize = 20;
/// What an entry says of a job beside its description.
const JOB_ENTRY_BYTES: usize = 50;

/// Rental requests that the log is to name, or no longer to name.
struct ClaimChanges {
    wanted: Vec<(String, ClaimValue)>,
    settled: Vec<String>,
}

impl Leader {
    /// Builds and sends the next transaction, if there is something to write and none is on its
    /// way; sends one again that went unanswered.
    pub fn pump_commit(&mut self, sh: &mut Shared, site: &Site, lead: &Leadership) {
        let now = sh.now;
        if let Some(at) = self.committer.resend_at {
            if now >= at {
                self.resend(sh);
            }
            return;
        }
        if self.committer.in_flight.is_some() || lead.is_taking() {
            return;
        }
        let claims = ClaimChanges {
            wanted: self.fleet.claims_to_record(CLAIMS),
            settled: self.fleet.claims_to_drop(CLAIMS),
        };
        if !self.is_write_due(&claims, now) {
            return;
        }
        let value_bytes = site.limits.value_bytes();
        let mut draft = self.begin_draft(site.limits.changes(), value_bytes, lead);
        let starts = self.fill(&mut draft, claims, now);
        self.compact(&mut draft, value_bytes);
        if draft.packer.is_empty() {
            return;
        }
        let pending = self.seal(draft, lead, now);
        self.send_first(sh, pending, starts);
    }

    /// Whether something has waited for company long enough.
    fn is_write_due(&self, claims: &ClaimChanges, now: Micros) -> bool {
        let committer = &self.committer;
        let first_start = committer.starting.first();
        let hurry = first_start.is_some_and(|s| s.priority() == Priority::Production);
        let ends = !committer.complete.is_empty() || !committer.withdrawn.is_empty();
        let soon = first_start.is_some() || ends || !committer.undescribed.is_empty() || !claims.wanted.is_empty();
        let pause = match (hurry, soon) {
            (true, _) => Micros::ZERO,
            (_, true) => GATHER,
            _ => GATHER_REST,
        };
        if now.since(committer.last_sent) < pause {
            return false;
        }
        let first_change = committer.changed.front();
        let outcome_due = first_change.is_some_and(|c| now.since(c.since) > OUTCOME_DELAY);
        soon || outcome_due || !committer.ended.is_empty() || !claims.settled.is_empty()
    }

    /// A transaction with nothing in it but the condition that this leader leads.
    fn begin_draft(&self, max_changes: usize, value_bytes: usize, lead: &Leadership) -> Draft {
        let committer = &self.committer;
        // Ends of jobs take changes of their own; whatever else there is, some go out.
        let waiting_ends = committer.complete.len() + committer.withdrawn.len();
        let ends = waiting_ends.min((max_changes / 4).max(1));
        let page_budget = MAX_PAGES.min(max_changes * 3 / 4).min(committer.page_budget.max(1));
        let mut draft = Draft {
            pending: PendingTransaction::default(),
            packer: PagePacker::new(value_bytes, page_budget, max_changes - ends),
            first_seq: committer.last_seq + 1,
            compact_before: self.compaction_goal(value_bytes),
            max_changes,
        };
        draft.pending.txn.conditions.push(lead.condition());
        draft
    }

    /// Adds what has changed, the most urgent first; how many starts were in a hurry.
    fn fill(&mut self, draft: &mut Draft, claims: ClaimChanges, now: Micros) -> usize {
        for (id, value) in claims.wanted {
            draft.add_claim(id, value);
        }
        self.write_starts(draft);
        let starts = draft.pending.starts.len();
        self.write_completed(draft);
        self.write_withdrawn(draft);
        draft.limit_pages();
        self.write_new_descriptions(draft);
        self.write_ended(draft);
        write_settled(draft, claims.settled);
        self.write_outcomes(draft, now);
        starts
    }

    /// Parts with starts to be recorded.
    fn write_starts(&mut self, draft: &mut Draft) {
        let most = 4 * draft.max_changes;
        let queued = self.committer.starting.iter().take(most);
        let parts: Vec<(JobId, u32)> = queued.map(|s| (s.job.clone(), s.part)).collect();
        for (id, part) in parts {
            if !self.write_part(draft, &id, part) {
                break;
            }
        }
    }

    /// Arrays whose every task has completed.
    fn write_completed(&mut self, draft: &mut Draft) {
        let complete: Vec<JobId> = self.committer.complete.iter().cloned().collect();
        for id in complete {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.committer.complete.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.stamp, Phase::Done) {
                break;
            }
            job.closing = true;
            self.committer.complete.remove(&id);
            let entry = Undescribed::new(job.version, id.clone());
            self.committer.undescribed.remove(&entry);
            draft.pending.completed.push(id);
        }
    }

    /// Jobs that are withdrawn with one that they need.
    fn write_withdrawn(&mut self, draft: &mut Draft) {
        let withdrawn: Vec<JobId> = self.committer.withdrawn.iter().cloned().collect();
        for id in withdrawn {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) else {
                self.committer.withdrawn.remove(&id);
                continue;
            };
            if !draft.add_end(&id, job.stamp, Phase::Cancelled) {
                break;
            }
            job.closing = true;
            self.committer.withdrawn.remove(&id);
            draft.pending.withdrawn.push(id);
        }
    }

    /// Jobs whose description, or cancellation, is not in the log.
    fn write_new_descriptions(&mut self, draft: &mut Draft) {
        let undescribed = self.committer.undescribed.iter();
        let jobs: Vec<JobId> = undescribed.map(|u| u.job.clone()).collect();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.cancelled.is_some() && job.placed.is_empty() {
                continue; // Over in a moment; that is said next.
            }
            if !self.write_description(draft, &id) {
                break;
            }
        }
    }

    /// Cancelled jobs with nothing left on machines.
    fn write_ended(&mut self, draft: &mut Draft) {
        let ended: Vec<JobId> = self.committer.ended.iter().cloned().collect();
        let is_over = |job: &&Job| job.cancelled.is_some() && job.placed.is_empty();
        for id in ended {
            let Some(job) = self.jobs.get(&id).filter(is_over) else {
                self.committer.ended.remove(&id);
                continue;
            };
            if draft.add(Entry::Over(id.to_string())).is_none() {
                break;
            }
            let entry = Undescribed::new(job.version, id.clone());
            self.committer.undescribed.remove(&entry);
            self.committer.ended.remove(&id);
            draft.pending.ended.push(id);
        }
    }

    /// Parts that have differed from the log for long enough. Outcomes wait for company, so
    /// that a busy array is not written for every one.
    fn write_outcomes(&mut self, draft: &mut Draft, now: Micros) {
        while let Some(ChangedPart {
            since,
            job: id,
            part: n,
        }) = self.committer.changed.front().cloned()
        {
            if now.since(since) <= OUTCOME_DELAY {
                break;
            }
            let differs = |job: &Job| job.chunks.get(&n).is_some_and(|c| c.dirty == Some(since));
            let is_due = self.jobs.get(&id).is_some_and(differs);
            if is_due && !self.write_part(draft, &id, n) {
                break;
            }
            self.committer.changed.pop_front();
        }
    }

    /// Adds a part, with its job's description if that is not in the log; false if there is no
    /// room left.
    pub(super) fn write_part(&mut self, draft: &mut Draft, id: &JobId, n: u32) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        if job.closing || draft.has_part(id, n) || !job.chunks.contains_key(&n) {
            return true;
        }
        let starts = self.unrecorded_starts(job, n);
        let key = keys::job(id);
        let needs_condition = !starts.is_empty() && !draft.has_condition(&key);
        if needs_condition && !draft.has_room_for_condition() {
            return false;
        }
        if !self.write_description(draft, id) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return true };
        // Without a description, what is placed would mean nothing to the next leader.
        if job.base == 0 && !draft.describes(id) {
            return true;
        }
        let full = must_be_full(job, n, draft.compact_before);
        let Some(page) = draft.add_part(part_value(job, n, self.chunk_tasks, full)) else {
            if draft.packer.is_empty() {
                tracing::error!(job = %id, part = n, "a part of a job doesn't fit into a transaction");
            }
            return false;
        };
        // Nothing starts after a cancel: a start holds only while the job's key is as it was
        // when it was accepted, not there or with that version.
        if needs_condition {
            draft.pending.require(key, job.stamp);
        }
        let written = self.take_changes(id, n, full.then_some(page));
        draft.pending.parts.extend(written);
        draft.pending.starts.extend(starts);
        true
    }

    /// Starts in a part that are not in the log.
    fn unrecorded_starts(&self, job: &Job, n: u32) -> Vec<WrittenStart> {
        let from = n * self.chunk_tasks;
        let to = from + self.chunk_tasks;
        let placed = job.placed.range(from..to);
        let unrecorded = placed.filter(|(_, p)| p.stage == Stage::Committing);
        let start = |task: u32, attempt: u64| WrittenStart {
            job: job.id.clone(),
            task,
            attempt,
        };
        unrecorded.map(|(task, p)| start(*task, p.attempt)).collect()
    }

    /// A part is in the draft: what had changed in it does no longer wait.
    fn take_changes(&mut self, id: &JobId, n: u32, page: Option<u64>) -> Option<WrittenPart> {
        let job = self.jobs.get_mut(id)?;
        let chunk = job.chunks.get_mut(&n)?;
        if let Some(priority) = chunk.queued.take() {
            let entry = QueuedStarts::new(priority, job.version, id.clone(), n);
            self.committer.starting.remove(&entry);
        }
        chunk.dirty = None;
        Some(WrittenPart {
            job: id.clone(),
            part: n,
            page,
            done: std::mem::take(&mut chunk.done),
            void: std::mem::take(&mut chunk.void),
        })
    }

    /// Adds a job's description if the log does not have it as it is now; false if there is no
    /// room left.
    pub(super) fn write_description(&mut self, draft: &mut Draft, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let entry = Undescribed::new(job.version, id.clone());
        let due = self.committer.undescribed.contains(&entry) || job.base < draft.compact_before;
        if !due || job.closing || draft.describes(id) {
            return true;
        }
        let Some(description) = self.description(job, draft.packer.page_bytes()) else {
            // It stays unwritten, and so does all that is placed of it: nothing starts.
            tracing::error!(job = %id, "the description doesn't fit into a page of the book");
            return true;
        };
        let Some(page) = draft.add(description) else {
            return false;
        };
        let was_due = self.committer.undescribed.remove(&entry);
        draft.pending.descriptions.push(WrittenDescription {
            job: id.clone(),
            page,
            was_due,
        });
        true
    }

    /// The entry that describes a job; `None` if it doesn't fit into a page.
    fn description(&self, job: &Job, page_bytes: usize) -> Option<Entry> {
        let came_ms = self.day_ms + job.came.0 / 1000;
        // It was accepted into a value of this size; one of an older version may be larger.
        let bytes = page_bytes.saturating_sub(JOB_ENTRY_BYTES);
        let spec = Box::new(records::kept(&job.spec, came_ms, bytes)?);
        let cancelled = job.cancelled.is_some();
        Some(match job.stamp {
            0 => Entry::Accepted(job.version, cancelled, spec),
            _ => Entry::Open(job.version, cancelled, spec),
        })
    }

    /// Turns the entries into pages of the transaction.
    fn seal(&mut self, draft: Draft, lead: &Leadership, now: Micros) -> PendingTransaction {
        let Draft {
            mut pending,
            packer,
            first_seq,
            ..
        } = draft;
        pending.seen = self.seen_after(lead);
        let at_ms = self.committer.log_ms(now);
        for (seq, entries) in (first_seq..).zip(packer.into_pages()) {
            let page = Page {
                term: lead.term(),
                seq,
                oldest: pending.oldest,
                seen: pending.seen,
                at_ms,
                born_ms: self.arrival_times(&entries),
                entries,
            };
            let free = self.committer.take_slot();
            pending.put(keys::page(free.slot), free.version, to_value(&page));
            pending.pages.push(WrittenPage { slot: free.slot, seq });
        }
        pending
    }

    /// Up to which revision the jobs' keys are in the log, all but what is still to be
    /// written.
    fn seen_after(&self, lead: &Leadership) -> u64 {
        let change_of = |entry: &Undescribed| {
            let job = self.jobs.get(&entry.job)?;
            let by_cancellation = job.cancelled.is_some() && job.cancel_version > 0;
            Some(if by_cancellation {
                job.cancel_version
            } else {
                entry.version
            })
        };
        let first = self.committer.undescribed.iter().filter_map(change_of).min();
        let known = lead.jobs_seen();
        let seen = first.map_or(known, |version| known.min(version.saturating_sub(1)));
        seen.max(self.committer.seen)
    }

    /// When the jobs came that these entries describe; 0: not known.
    fn arrival_times(&self, entries: &[Entry]) -> Vec<u64> {
        let arrival = |entry: &Entry| {
            let job = self.jobs.get(entry.describes()?.id.as_str());
            let job = job.filter(|j| !j.ageless);
            Some(job.map_or(0, |j| self.committer.log_ms(j.arrived)))
        };
        entries.iter().filter_map(arrival).collect()
    }

    fn send_first(&mut self, sh: &mut Shared, pending: PendingTransaction, starts: usize) {
        let urgent = starts > 0 || !pending.claims.is_empty();
        let urgency = if urgent { Urgency::Start } else { Urgency::User };
        self.committer.written.transactions += 1;
        self.committer.written.changes += pending.txn.changes.len() as u64;
        tracing::debug!(
            pages = pending.pages.len(),
            headers = pending.descriptions.len(),
            parts = pending.parts.len(),
            rewritten = pending.parts.iter().filter(|p| p.page.is_some()).count(),
            starts,
            closed = pending.completed.len(),
            over = pending.ended.len(),
            "transaction"
        );
        let txn = pending.txn.clone();
        self.committer.last_sent = sh.now;
        self.committer.in_flight = Some(Box::new(pending));
        self.send(sh, txn, urgency);
    }

    /// Sends the transaction again that went unanswered.
    fn resend(&mut self, sh: &mut Shared) {
        self.committer.resend_at = None;
        if let Some(pending) = &self.committer.in_flight {
            self.send(sh, pending.txn.clone(), Urgency::Start);
        }
    }

    fn send(&self, sh: &mut Shared, txn: Txn, urgency: Urgency) {
        let wait = Wait::Leader(self.incarnation, LeaderWait::Commit);
        sh.store.push(urgency, StoreRequest::Txn(txn), wait, TIMEOUT);
    }
}

/// Rental requests that are settled.
fn write_settled(draft: &mut Draft, settled: Vec<String>) {
    for id in settled {
        if draft.add(Entry::Settled(id.clone())).is_none() {
            break;
        }
        draft.pending.settled.push(id);
    }
}

/// Whether all of a part has to be said: no page says it, or one that is to go.
fn must_be_full(job: &Job, n: u32, compact_before: u64) -> bool {
    let page = job.chunks.get(&n).map_or(0, |c| c.base);
    page == 0 || page < compact_before
}

/// A part as it should be in the log: all of it, or what has changed.
fn part_value(job: &Job, n: u32, chunk_tasks: u32, full: bool) -> Part {
    let Some(chunk) = job.chunks.get(&n) else {
        return Part::default();
    };
    let from = n * chunk_tasks;
    let to = (from + chunk_tasks).min(job.spec.tasks);
    let is_finished = |t: &u32| matches!(job.states[*t as usize], TaskState::Finished | TaskState::Recorded);
    let is_placed = |t: u32| job.states[t as usize] == TaskState::Placed;
    let placements = job
        .placed
        .range(from..to)
        .filter(|(t, p)| is_placed(**t) && (full || p.stage == Stage::Committing))
        .map(|(t, p)| (*t, p.attempt, p.machine.to_string(), p.session, p.fence))
        .collect();
    let (done, void) = if full {
        (ranges((from..to).filter(is_finished)), vec![])
    } else {
        (ranges_of(&chunk.done), ranges_of(&chunk.void))
    };
    Part {
        job: job.id.to_string(),
        part: n,
        full,
        last_attempt: chunk.last_attempt,
        done,
        void,
        placements,
    }
}

fn ranges_of(tasks: &BTreeSet<u32>) -> Vec<(u32, u32)> {
    ranges(tasks.iter().copied())
}
