//! Compaction: what stands in the oldest pages is written again with later ones, until nothing
//! is left there and the keys of those pages can be written over.

use super::super::state::LeaderState;
use super::super::JobId;
use super::transaction::Draft;
use std::collections::BTreeSet;

/// Pages, and bytes in them, that are kept however little there is in the log.
const LEAST_PAGES: usize = 48;
const LEAST_BYTES: usize = 256 * 1024;
/// The least size of a value that is reckoned with.
const LEAST_VALUE_BYTES: usize = 1024;
/// What an open job and a placement take in the log, about.
const JOB_BYTES: usize = 600;
const PLACEMENT_BYTES: usize = 30;
/// How many times what is open takes may be kept, so that each fact is written again only now
/// and then.
const SLACK: usize = 3;
/// Pages that compaction opens when it is a little behind.
const EXTRA_PAGES: usize = 2;

/// How many pages may say something.
pub fn pages_allowed(value_bytes: usize, open_jobs: usize, placements: usize) -> usize {
    let value_bytes = value_bytes.max(LEAST_VALUE_BYTES);
    let open_bytes = open_jobs * JOB_BYTES + placements * PLACEMENT_BYTES;
    let for_open = open_bytes / value_bytes * SLACK;
    for_open.max(LEAST_PAGES).max(LEAST_BYTES / value_bytes)
}

/// How many pages compaction may open in a transaction, with so many more than are allowed.
///
/// What is rewritten fills pages that are there anyway: pages of its own would have to be
/// compacted in turn, ever more of them. But a part may need more than the room that is left
/// in them, and far behind, the oldest pages hold others that could go: then some are opened.
pub fn extra_pages(excess: usize, page_limit: usize) -> usize {
    match excess {
        0 => 0,
        _ if excess < LEAST_PAGES => EXTRA_PAGES,
        _ => page_limit,
    }
}

/// A fact of a job that stands in an old page. The oldest come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OldFact {
    page: u64,
    job: JobId,
    /// The part that stands there; `None`: the job's description does.
    part: Option<u32>,
}

impl LeaderState {
    /// The first page to be kept: those before it are too many, and what they say is to be
    /// written again.
    pub(super) fn compaction_goal(&self, value_bytes: usize) -> u64 {
        let excess = self.excess_pages(value_bytes);
        self.log_writer.pages.get(excess).map_or(0, |p| p.seq)
    }

    /// Pages beyond those that are allowed.
    fn excess_pages(&self, value_bytes: usize) -> usize {
        let placements = self.jobs.values().map(|j| j.placements.len()).sum();
        let allowed = pages_allowed(value_bytes, self.jobs.len(), placements);
        self.log_writer.pages.len().saturating_sub(allowed)
    }

    /// Writes again what stands in pages that are to go, as far as there is room, and sets how
    /// far that has come.
    pub(super) fn compact(&mut self, draft: &mut Draft, value_bytes: usize) {
        let extra = extra_pages(self.excess_pages(value_bytes), draft.packer.page_limit());
        draft.packer.allow_more_pages(extra);
        for fact in self.facts_before(draft.compact_before) {
            if !draft.ends(&fact.job) && !self.rewrite(draft, &fact) {
                break;
            }
        }
        for (id, value) in self.provisioning.claims_before(draft.compact_before) {
            draft.add_claim(id, value);
        }
        draft.pending.oldest = self.oldest_page_after(draft);
    }

    /// Facts of open jobs in pages before this one, the oldest first.
    fn facts_before(&self, page: u64) -> Vec<OldFact> {
        let is_old = |base: u64| base > 0 && base < page;
        let mut facts = vec![];
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.closing) {
            let mut add = |page: u64, part: Option<u32>| {
                let job = id.clone();
                facts.push(OldFact { page, job, part });
            };
            if is_old(job.base_page) {
                add(job.base_page, None);
            }
            for (n, chunk) in job.task_ranges.iter().filter(|(_, c)| is_old(c.base_page)) {
                add(chunk.base_page, Some(*n));
            }
        }
        facts.sort();
        facts
    }

    /// Whether there was room.
    fn rewrite(&mut self, draft: &mut Draft, fact: &OldFact) -> bool {
        match fact.part {
            None => self.write_description(draft, &fact.job),
            Some(part) => self.write_part(draft, &fact.job, part),
        }
    }

    /// The first page that still says something once the draft is executed: what stands there
    /// and is not written again keeps it.
    fn oldest_page_after(&self, draft: &Draft) -> u64 {
        let pending = &draft.pending;
        let described: BTreeSet<&JobId> = pending.descriptions.iter().map(|d| &d.job).collect();
        let rewritten = pending.parts.iter().filter(|p| p.page.is_some());
        let parts: BTreeSet<(&JobId, u32)> = rewritten.map(|p| (&p.job, p.part)).collect();
        let claims: BTreeSet<&str> = pending.claims.iter().map(|c| c.claim.as_str()).collect();
        let mut oldest = draft.first_seq;
        for (id, job) in self.jobs.iter().filter(|(id, _)| !draft.ends(id)) {
            if job.base_page > 0 && !described.contains(id) {
                oldest = oldest.min(job.base_page);
            }
            for (n, chunk) in &job.task_ranges {
                if chunk.base_page > 0 && !parts.contains(&(id, *n)) {
                    oldest = oldest.min(chunk.base_page);
                }
            }
        }
        let claimed = self.provisioning.oldest_claim(&claims);
        oldest.min(claimed.unwrap_or(draft.first_seq))
    }
}
