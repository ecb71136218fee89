//! Log compaction: rewrites facts of the oldest segments to new segments, until the old segments
//! contain nothing that is needed and their keys can be reused.
//!
//! Compaction is the last step of drafting a transaction. It uses the space that newer changes
//! leave in the segments of the transaction.

use super::super::state::LeaderState;
use super::super::JobId;
use super::transaction::Draft;
use std::collections::BTreeSet;

/// Number of live segments that is always allowed.
const MIN_LIVE_SEGMENTS: usize = 48;
/// Total size of live segments that is always allowed.
const MIN_LIVE_BYTES: usize = 256 * 1024;
/// Lower bound of the value size from which the allowed number of segments is computed.
const MIN_VALUE_BYTES: usize = 1024;
/// Approximate size of an open job's description in the log.
const JOB_BYTES: usize = 600;
/// Approximate size of a placement in the log.
const PLACEMENT_BYTES: usize = 30;
/// Allowed size of the log as a multiple of the size of all open jobs. A larger factor makes
/// rewrites of each fact less frequent.
const LOG_SIZE_FACTOR: usize = 3;
/// Number of segments that compaction may add to a transaction while fewer than
/// `MIN_LIVE_SEGMENTS` live segments are in excess.
const EXTRA_SEGMENTS: usize = 2;

/// Returns how many live segments are allowed for these numbers of open jobs and placements, if a
/// value of the state service holds `value_bytes`.
pub fn segments_allowed(value_bytes: usize, open_jobs: usize, placements: usize) -> usize {
    let value_bytes = value_bytes.max(MIN_VALUE_BYTES);
    let open_bytes = open_jobs * JOB_BYTES + placements * PLACEMENT_BYTES;
    let segments_for_open = open_bytes / value_bytes * LOG_SIZE_FACTOR;
    segments_for_open
        .max(MIN_LIVE_SEGMENTS)
        .max(MIN_LIVE_BYTES / value_bytes)
}

/// Returns how many segments compaction may add to a transaction while the number of live segments
/// exceeds the allowed number by `excess`.
///
/// Rewritten facts usually fill the segments that the transaction writes anyway: additional
/// segments would have to be compacted in turn. Segments are added while some are in excess,
/// because a task range may need more than the space left in the others and because, when
/// compaction is far behind, the oldest segments delay the reuse of all later ones.
pub fn extra_segments(excess: usize, segment_limit: usize) -> usize {
    match excess {
        0 => 0,
        _ if excess < MIN_LIVE_SEGMENTS => EXTRA_SEGMENTS,
        _ => segment_limit,
    }
}

/// A fact of a job in an old segment. Candidates are ordered as they are rewritten: those in the
/// oldest segment first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CompactionCandidate {
    /// The sequence number of the segment.
    segment: u64,
    job: JobId,
    /// The task range to rewrite; `None` for the job's description.
    range_index: Option<u32>,
}

impl LeaderState {
    /// Returns the sequence number of the first segment to keep; 0 if the log is empty. Earlier
    /// segments exceed the allowed number, and their facts are to be rewritten.
    pub(super) fn first_segment_to_keep(&self, value_bytes: usize) -> u64 {
        let excess = self.excess_segments(value_bytes);
        self.log_writer.segments.get(excess).map_or(0, |s| s.seq)
    }

    /// Returns by how much the number of live segments exceeds the allowed number.
    fn excess_segments(&self, value_bytes: usize) -> usize {
        let placements = self.jobs.values().map(|j| j.placements.len()).sum();
        let allowed = segments_allowed(value_bytes, self.jobs.len(), placements);
        self.log_writer.segments.len().saturating_sub(allowed)
    }

    /// Adds facts of the segments to be compacted as far as they fit, and sets which segments
    /// the transaction makes obsolete.
    pub(super) fn compact(&mut self, draft: &mut Draft, value_bytes: usize) {
        let extra = extra_segments(self.excess_segments(value_bytes), draft.packer.segment_limit());
        draft.packer.allow_more_segments(extra);
        for fact in self.candidates_before(draft.compact_before) {
            if !draft.ends(&fact.job) && !self.rewrite(draft, &fact) {
                break;
            }
        }
        for (id, value) in self.provisioning.claims_in_segments_before(draft.compact_before) {
            draft.add_claim(id, value);
        }
        draft.pending.oldest = self.oldest_segment_after(draft);
    }

    /// Returns the facts of open jobs in segments before `first_kept`, the oldest first.
    fn candidates_before(&self, first_kept: u64) -> Vec<CompactionCandidate> {
        let old = |segment: Option<u64>| segment.filter(|s| *s < first_kept);
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
            if let Some(segment) = old(job.described_in) {
                add(segment, None);
            }
            for (range_index, task_range) in &job.task_ranges {
                if let Some(segment) = old(task_range.recorded_in) {
                    add(segment, Some(*range_index));
                }
            }
        }
        facts.sort();
        facts
    }

    /// Adds the current form of a fact to the draft; returns false if it doesn't fit.
    fn rewrite(&mut self, draft: &mut Draft, fact: &CompactionCandidate) -> bool {
        match fact.range_index {
            None => self.write_description(draft, &fact.job),
            Some(range_index) => self.write_task_range(draft, &fact.job, range_index),
        }
    }

    /// The first segment that is still needed once the draft is executed: the oldest with a
    /// fact that the draft does not rewrite.
    fn oldest_segment_after(&self, draft: &Draft) -> u64 {
        let pending = &draft.pending;
        let described: BTreeSet<&JobId> = pending.descriptions.iter().map(|d| &d.job).collect();
        let rewritten = pending.task_ranges.iter().filter(|r| r.segment.is_some());
        let task_ranges: BTreeSet<(&JobId, u32)> = rewritten.map(|r| (&r.job, r.range_index)).collect();
        let claims: BTreeSet<&str> = pending.claims.iter().map(|c| c.claim.as_str()).collect();
        let mut oldest = draft.first_seq;
        for (id, job) in self.jobs.iter().filter(|(id, _)| !draft.ends(id)) {
            if let Some(segment) = job.described_in.filter(|_| !described.contains(id)) {
                oldest = oldest.min(segment);
            }
            for (range_index, task_range) in &job.task_ranges {
                let is_rewritten = || task_ranges.contains(&(id, *range_index));
                if let Some(segment) = task_range.recorded_in.filter(|_| !is_rewritten()) {
                    oldest = oldest.min(segment);
                }
            }
        }
        let claimed = self.provisioning.oldest_claim_segment(&claims);
        oldest.min(claimed.unwrap_or(draft.first_seq))
    }
}
