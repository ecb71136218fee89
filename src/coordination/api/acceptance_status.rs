//! Whether the job of an accepted submission was new or known already: status 201 or 200.
//!
//! Invariant: a submission is answered 201 only here, on two proofs that both cover it: the commit
//! of a page of this node that accepts its job, and a read of all changes of jobs that shows no
//! earlier page with the job. Whoever has been told that a job is accepted before the submission was
//! sent was told so after a page that the read shows. A submission without the second proof is
//! answered 200, which is true of every stored job.

use super::super::fault_injection::{is_injected, InjectedFault};
use super::super::Context;
use super::read_proof::ReadProof;
use super::request::PendingRequest;
use super::status::FirstPage;
use super::JobApi;
use crate::protocol::users::Phase;
use crate::time::Micros;

/// How long a submission whose job is stored waits for the read that shows whether the job is new.
const NOVELTY_READ_WAIT: Micros = Micros::from_millis(100);

/// A page of this node that accepts the job of a submission, and was written after the submission
/// had arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnPage {
    /// The commit of the page.
    pub proof: ReadProof,
    /// When the commit became known here.
    pub committed_at: Micros,
}

/// Whether a job was accepted before the page that a submission rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Novelty {
    /// No earlier page accepts the job.
    New,
    /// An earlier page accepts the job, or it is not proven that none does.
    KnownAlready,
}

impl Novelty {
    /// Returns the HTTP status of the answer to the submission.
    pub(super) fn status(self) -> u16 {
        match self {
            Novelty::New => 201,
            Novelty::KnownAlready => 200,
        }
    }
}

impl JobApi {
    /// Returns the first page known here that accepts a job.
    pub(super) fn first_page(&self, job: &str) -> Option<FirstPage> {
        self.statuses.get(job)?.first_page
    }

    /// Returns whether the job of an accepted submission is new. `None` means that no page of this
    /// node accepts the job for this submission, or that the read of all changes has yet to show
    /// whether an earlier page does.
    pub(super) fn novelty(&self, pending: &PendingRequest) -> Option<Novelty> {
        let own_page = pending.own_page?;
        if is_injected(InjectedFault::AcceptsAnew) {
            return Some(Novelty::New);
        }
        let changes = pending.changes_proof?;
        let covers = own_page.proof.covers(pending.sequence) && changes.covers(pending.sequence);
        let first_page = self.first_page(&pending.job).map(|page| page.revision);
        Some(if covers && first_page == Some(own_page.proof.revision) {
            Novelty::New
        } else {
            Novelty::KnownAlready
        })
    }

    /// Answers submissions whose job is stored, but whose read of all changes takes too long. A job
    /// that waits for its dependencies may have been cancelled with one of them, which only the read
    /// shows.
    pub(super) fn answer_without_novelty(&mut self, context: &mut Context) {
        let now = context.now;
        let overdue = |pending: &&PendingRequest| {
            let own_page = pending.own_page.filter(|_| pending.changes_proof.is_none());
            own_page.is_some_and(|page| now.since(page.committed_at) > NOVELTY_READ_WAIT)
        };
        let overdue: Vec<(u64, ReadProof)> = self
            .pending
            .values()
            .filter(overdue)
            .filter(|pending| !self.waits_for_dependencies(&pending.job))
            .filter_map(|pending| Some((pending.id, pending.own_page?.proof)))
            .collect();
        for (id, proof) in overdue {
            let status = Novelty::KnownAlready.status();
            let phase = self.pending.get(&id).and_then(|pending| self.known_phase(&pending.job));
            self.answer_if_fresh(context, id, phase.unwrap_or(Phase::Pending), status, &proof);
        }
    }
}
