//! What the answers to users rest on, and whether it is new enough.
//!
//! Invariant (safety core 2): an answer that calls a job open, or says that it was never accepted,
//! rests on state that the state service read or wrote after the request had come. Only a final
//! phase may be told from memory, because it is kept for ever.
//!
//! Requests are numbered as they come. A message to the state service notes the last request that
//! was here when it left: it is executed later than that, so that its answer is evidence for every
//! request up to this number and for none after it, however long the answer takes.

use super::JobApi;
use crate::protocol::users::Phase;

/// The number of a user's request, in the order in which this process took them in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSequence(u64);

impl RequestSequence {
    /// The number of the next request.
    pub(super) fn next(self) -> RequestSequence {
        RequestSequence(self.0 + 1)
    }
}

/// Where the state comes from that an answer rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The commit of a page of acceptances of this node.
    Page,
    /// A compare of the versions of jobs' own keys.
    Compare,
    /// A read of the job's own key.
    Read,
    /// All news of jobs up to a moment.
    News,
    /// A final phase, which is kept for ever.
    Final,
}

/// Evidence for an answer to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProof {
    pub(super) source: Source,
    /// The last request that had come when the message left that brought the evidence.
    covers: RequestSequence,
    /// The revision of the state service that it shows, as far as the answer says.
    pub(super) revision: u64,
}

impl ReadProof {
    /// What the state service answered to a message that left when `covers` was the last request
    /// that had come.
    pub(super) fn new(source: Source, covers: RequestSequence, revision: u64) -> ReadProof {
        ReadProof {
            source,
            covers,
            revision,
        }
    }

    /// A final phase that is known here: good for any request.
    pub(super) fn of_final_phase(revision: u64) -> ReadProof {
        ReadProof::new(Source::Final, RequestSequence(u64::MAX), revision)
    }

    /// Whether a request with this number may be answered by it.
    pub(super) fn covers(&self, request: RequestSequence) -> bool {
        request <= self.covers
    }

    /// Whether a request with this number may be told this phase by it.
    pub(super) fn allows(&self, request: RequestSequence, phase: Phase) -> bool {
        phase.is_final() || self.covers(request)
    }
}

impl JobApi {
    /// The evidence that a final phase known here is.
    pub(super) fn final_evidence(&self, job: &str) -> ReadProof {
        ReadProof::of_final_phase(self.known.get(job).map_or(0, |known| known.version))
    }
}
