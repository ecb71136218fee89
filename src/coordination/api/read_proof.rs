//! Proofs that an answer to a user is new enough.
//!
//! Invariant (rule 2 of the safety core in `docs/DESIGN.md`): an answer that reports a job as open,
//! or as never accepted, is based on a read or write that the state service executed after the
//! user's request had arrived. Only a final phase may be answered from memory, because it never
//! changes.
//!
//! User requests are numbered in the order of their arrival. Each request to the state service
//! records the number of the last user request that had arrived when it was sent. The state service
//! executes it after that moment, so its answer is a proof for every user request up to the
//! recorded number, and for no later one, no matter when the answer arrives.

use super::JobApi;
use crate::protocol::users::Phase;

/// The number of a user's request, in the order in which this process received them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSequence(u64);

impl RequestSequence {
    /// Returns the number of the next request.
    pub(super) fn next(self) -> RequestSequence {
        RequestSequence(self.0 + 1)
    }
}

/// What had happened at this node when it sent a request to the state service, and so which user
/// requests the answer can decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The last user request that had arrived.
    last_request: RequestSequence,
    /// The number of the scan of pages that was complete; `None` while one was running.
    scan: Option<u64>,
}

/// The kind of read or write that a proof comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProofSource {
    /// The commit of a page of acceptances by this node.
    PageCommit,
    /// A compare of the versions of jobs' own keys.
    KeyCompare,
    /// A read of the job's own key.
    KeyRead,
    /// A read of all changes of jobs.
    JobChanges,
    /// A final phase that was known already, which never changes.
    FinalPhase,
}

/// The proof for an answer to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadProof {
    pub(super) source: ProofSource,
    /// What had happened when the request to the state service was sent.
    pub(super) covers: Coverage,
    /// The revision of the state service that the proof shows.
    pub(super) revision: u64,
}

impl ReadProof {
    /// Creates the proof from an answer of the state service.
    pub(super) fn new(source: ProofSource, covers: Coverage, revision: u64) -> ReadProof {
        ReadProof {
            source,
            covers,
            revision,
        }
    }

    /// Creates the proof from a known final phase, which is valid for any request.
    pub(super) fn of_final_phase(revision: u64) -> ReadProof {
        let covers = Coverage {
            last_request: RequestSequence(u64::MAX),
            scan: None,
        };
        ReadProof::new(ProofSource::FinalPhase, covers, revision)
    }

    /// Returns whether the proof is new enough for a request with this number.
    pub(super) fn covers(&self, request: RequestSequence) -> bool {
        request <= self.covers.last_request
    }

    /// Returns whether a request with this number may be answered with this phase.
    pub(super) fn allows(&self, request: RequestSequence, phase: Phase) -> bool {
        phase.is_final() || self.covers(request)
    }
}

impl JobApi {
    /// Returns what the answer to a request that is sent now can decide.
    pub(super) fn coverage(&self) -> Coverage {
        Coverage {
            last_request: self.last_sequence,
            scan: self.is_ready().then_some(self.scan_generation),
        }
    }

    /// Returns whether a request was sent after the present scan of pages was complete. Only then
    /// can its answer show that a job was never accepted.
    pub(super) fn follows_scan(&self, covers: Coverage) -> bool {
        covers.scan == Some(self.scan_generation)
    }

    /// Queues requests whose answers were read before the present scan of pages was complete.
    pub(super) fn await_scan(&mut self, requests: Vec<u64>) {
        for id in requests {
            let Some(pending) = self.pending.get(&id) else { continue };
            if pending.own_page.is_some() {
                self.awaiting_job_changes.push(id);
                continue;
            }
            // A submission that waits for its page gets a read together with the page.
            let waits_for_page = self.submissions.get(&pending.job).is_some_and(|ids| ids.contains(&id));
            if !waits_for_page {
                self.awaiting_compare.entry(pending.job.clone()).or_default().push(id);
            }
        }
    }

    /// Returns the proof from the known final phase of a job; its revision is 0 if the job has no
    /// status here.
    pub(super) fn final_proof(&self, job: &str) -> ReadProof {
        ReadProof::of_final_phase(self.statuses.get(job).map_or(0, |status| status.version))
    }
}
