//! Compaction: what stands in the oldest pages is written again with later ones, until nothing
//! is left there and the keys of those pages can be written over.

use super::super::state::LeaderState;
use super::super::JobId;
use super::transaction::Draft;
use std::collections::BTreeSet;

/// Pages, and bytes in them, that are kept however little there is in the log.
const MIN_LIVE_SEGMENTS: usize = 48;
const MIN_LIVE_BYTES: usize = 256 * 1024;
/// The least size of a value that is reckoned with.
const MIN_VALUE_BYTES: usize = 1024;
/// What an open job and a placement take in the log, about.
const JOB_BYTES: usize = 600;
const PLACEMENT_BYTES: usize = 30;
/// How many times what is open takes may be kept, so that each fact is written again only now
/// and then.
const REWRITE_FACTOR: usize = 3;
/// Pages that compaction opens when it is a little behind.
const EXTRA_SEGMENTS: usize = 2;

/// How many pages may say something.
pub fn segments_allowed(value_bytes: usize, open_jobs: usize, placements: usize) -> usize {
    let value_bytes = value_bytes.max(MIN_VALUE_BYTES);
    let open_bytes = open_jobs * JOB_BYTES + placements * PLACEMENT_BYTES;
    let for_open = open_bytes / value_bytes * REWRITE_FACTOR;
    for_open.max(MIN_LIVE_SEGMENTS).max(MIN_LIVE_BYTES / value_bytes)
}

/// How many pages compaction may open in a transaction, with so many more than are allowed.
///
/// What is rewritten fills pages that are there anyway: pages of its own would have to be
/// compacted in turn, ever more of them. But a part may need more than the room that is left
/// in them, and far behind, the oldest pages hold others that could go: then some are opened.
pub fn extra_segments(excess: usize, segment_limit: usize) -> usize {
    match excess {
        0 => 0,
        _ if excess < MIN_LIVE_SEGMENTS => EXTRA_SEGMENTS,
        _ => segment_limit,
    }
}

/// A fact of a job that stands in an old page. The oldest come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CompactionCandidate {
    segment: u64,
    job: JobId,
    /// The part that stands there; `None`: the job's description does.
    range_index: Option<u32>,
}

impl LeaderState {
    /// The first page to be kept: those before it are too many, and what they say is to be
    /// written again.
    pub(super) fn compaction_goal(&self, value_bytes: usize) -> u64 {
        let excess = self.excess_segments(value_bytes);
        self.log_writer.segments.get(excess).map_or(0, |p| p.seq)
    }

    /// Pages beyond those that are allowed.
    fn excess_segments(&self, value_bytes: usize) -> usize {
        let placements = self.jobs.values().map(|j| j.placements.len()).sum();
        let allowed = segments_allowed(value_bytes, self.jobs.len(), placements);
        self.log_writer.segments.len().saturating_sub(allowed)
    }

    /// Writes again what stands in pages that are to go, as far as there is room, and sets how
    /// far that has come.
    pub(super) fn compact(&mut self, draft: &mut Draft, value_bytes: usize) {
        let extra = extra_segments(self.excess_segments(value_bytes), draft.packer.segment_limit());
        draft.packer.allow_more_segments(extra);
        for fact in self.candidates_before(draft.compact_before) {
            if !draft.ends(&fact.job) && !self.rewrite(draft, &fact) {
                break;
            }
        }
        for (id, value) in self.provisioning.claims_before(draft.compact_before) {
            draft.add_claim(id, value);
        }
        draft.pending.oldest = self.oldest_segment_after(draft);
    }

    /// Facts of open jobs in pages before this one, the oldest first.
    fn candidates_before(&self, segment: u64) -> Vec<CompactionCandidate> {
        let is_old = |base: u64| base > 0 && base < segment;
        let mut facts = vec![];
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.closing) {
            let mut add = |segment: u64, range_index: Option<u32>| {
                let job = id.clone();
                facts.push(CompactionCandidate {
                    segment,
                    job,
                    range_index,
                });
            };
            if is_old(job.base) {
                add(job.base, None);
            }
            for (range_index, task_range) in job.task_ranges.iter().filter(|(_, c)| is_old(c.base)) {
                add(task_range.base, Some(*range_index));
            }
        }
        facts.sort();
        facts
    }

    /// Whether there was room.
    fn rewrite(&mut self, draft: &mut Draft, fact: &CompactionCandidate) -> bool {
        match fact.range_index {
            None => self.write_description(draft, &fact.job),
            Some(range_index) => self.write_task_range(draft, &fact.job, range_index),
        }
    }

    /// The first page that still says something once the draft is executed: what stands there
    /// and is not written again keeps it.
    fn oldest_segment_after(&self, draft: &Draft) -> u64 {
        let pending = &draft.pending;
        let described: BTreeSet<&JobId> = pending.descriptions.iter().map(|d| &d.job).collect();
        let rewritten = pending.task_ranges.iter().filter(|p| p.segment.is_some());
        let task_ranges: BTreeSet<(&JobId, u32)> = rewritten.map(|p| (&p.job, p.range_index)).collect();
        let claims: BTreeSet<&str> = pending.claims.iter().map(|c| c.claim.as_str()).collect();
        let mut oldest = draft.first_seq;
        for (id, job) in self.jobs.iter().filter(|(id, _)| !draft.ends(id)) {
            if job.base > 0 && !described.contains(id) {
                oldest = oldest.min(job.base);
            }
            for (range_index, task_range) in &job.task_ranges {
                if task_range.base > 0 && !task_ranges.contains(&(id, *range_index)) {
                    oldest = oldest.min(task_range.base);
                }
            }
        }
        let claimed = self.provisioning.oldest_claim(&claims);
        oldest.min(claimed.unwrap_or(draft.first_seq))
    }
}
