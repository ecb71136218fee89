//! Proofs that an answer to a user is new enough.
//!
//! Invariant (safety core 2): an answer that calls a job open, or says that it was never accepted,
//! rests on a read or write that the state service executed after the user's request had come. Only
//! a final phase may be answered from memory, because it never changes.
//!
//! Requests are numbered as they come. A request to the state service notes the number of the last
//! user request that had come when it was sent. It is executed later than that: its answer is a
//! proof for every user request up to this number and for none after it, however late it comes.

use super::JobApi;
use crate::protocol::users::Phase;

/// The number of a user's request, in the order in which this process received them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSequence(u64);

impl RequestSequence {
    /// The number of the next request.
    pub(super) fn next(self) -> RequestSequence {
        RequestSequence(self.0 + 1)
    }
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
    /// The last user request that had come when the request to the state service was sent.
    covers: RequestSequence,
    /// The revision of the state service that it shows.
    pub(super) revision: u64,
}

impl ReadProof {
    /// The proof by an answer to a request that was sent when `covers` was the last user request
    /// that had come.
    pub(super) fn new(source: ProofSource, covers: RequestSequence, revision: u64) -> ReadProof {
        ReadProof {
            source,
            covers,
            revision,
        }
    }

    /// The proof by a final phase that is known here, which is valid for any request.
    pub(super) fn of_final_phase(revision: u64) -> ReadProof {
        ReadProof::new(ProofSource::FinalPhase, RequestSequence(u64::MAX), revision)
    }

    /// Whether it is new enough for a request with this number.
    pub(super) fn covers(&self, request: RequestSequence) -> bool {
        request <= self.covers
    }

    /// Whether it allows to answer a request with this number by this phase.
    pub(super) fn allows(&self, request: RequestSequence, phase: Phase) -> bool {
        phase.is_final() || self.covers(request)
    }
}

impl JobApi {
    /// The proof by the final phase of a job that is known here.
    pub(super) fn final_proof(&self, job: &str) -> ReadProof {
        ReadProof::of_final_phase(self.statuses.get(job).map_or(0, |status| status.version))
    }
}
