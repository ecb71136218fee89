//! Proofs that the record of a start is void.
//!
//! A record is charged to its team and its machine for as long as the attempt may be, or may come
//! to be, on the machine. [`LeaderState::free`](super::LeaderState::free) removes it only with one
//! of these proofs, and only if the proof covers that record. Time alone is never a proof.

use crate::coordination::state::{Placement, PlacementPhase};
use crate::protocol::agents::Cause;

/// Proof that an attempt is not on its machine and that no start of it will be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidProof {
    /// Its start is not in the log and not on its way there: nothing was sent.
    NotRecorded,
    /// This leadership recorded it, and has sent nothing for it.
    NeverSent,
    /// The machine's agent has begun a later incarnation, and killed what ran in the recorded one.
    LaterSession {
        /// The incarnation that the agent reported.
        reported: u64,
    },
    /// The machine refuses every token under which a start may have left, and does not list it.
    RefusedByToken {
        /// The fencing token that the agent reported.
        reported: u64,
    },
    /// The machine has reported that it exited, for this cause.
    Exited(Cause),
    /// The cloud has answered that the machine is gone.
    MachineReleased,
}

impl VoidProof {
    /// Whether this proves that the record is void, judged by what the record itself says.
    pub fn covers(self, placement: &Placement) -> bool {
        match self {
            VoidProof::NotRecorded => placement.phase == PlacementPhase::Committing && !placement.sent,
            VoidProof::NeverSent => placement.phase == PlacementPhase::Sent && !placement.sent && !placement.restored,
            VoidProof::LaterSession { reported } => reported > placement.incarnation,
            VoidProof::RefusedByToken { reported } => placement.sent && reported > placement.fencing_token,
            VoidProof::Exited(cause) => placement.phase == PlacementPhase::Exited(cause),
            VoidProof::MachineReleased => true,
        }
    }
}
