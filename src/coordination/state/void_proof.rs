//! Proofs that the record of a placement is void.
//!
//! A placement is charged to its team and its machine for as long as the attempt is or may be on
//! the machine, or its start may still arrive there.
//! [`LeaderState::free`](super::LeaderState::free) removes a placement only with one of these
//! proofs, and only if the proof covers the record. Elapsed time alone is never a proof.

use crate::coordination::state::{Placement, PlacementPhase};
use crate::protocol::agents::Cause;

/// Proof that an attempt is not on its machine and that no start of it will be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidProof {
    /// The record is neither in the log nor in flight to it, so that no start was sent.
    NotRecorded,
    /// This leadership made the record, and has sent no start for it.
    NeverSent,
    /// The machine's agent has begun a later incarnation than the recorded one, and at its
    /// beginning killed the tasks of earlier ones.
    LaterIncarnation {
        /// The incarnation that the agent reported.
        reported: u64,
    },
    /// The machine refuses every fencing token under which a start may have been sent, and does not
    /// list the attempt.
    RefusedByToken {
        /// The fencing token that the agent reported.
        reported: u64,
    },
    /// The machine has reported that the attempt exited, for this cause.
    Exited(Cause),
    /// The cloud has reported that the machine is released.
    MachineReleased,
}

impl VoidProof {
    /// Whether this proof is valid for a placement, according to the fields of its record.
    pub fn covers(self, placement: &Placement) -> bool {
        match self {
            VoidProof::NotRecorded => placement.phase == PlacementPhase::Committing && !placement.sent,
            VoidProof::NeverSent => placement.phase == PlacementPhase::Sent && !placement.sent && !placement.restored,
            VoidProof::LaterIncarnation { reported } => reported > placement.incarnation,
            VoidProof::RefusedByToken { reported } => placement.sent && reported > placement.fencing_token,
            VoidProof::Exited(cause) => placement.phase == PlacementPhase::Exited(cause),
            VoidProof::MachineReleased => true,
        }
    }
}
