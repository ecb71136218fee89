//! The reasons to refuse a user's request, with the HTTP status and the text of the answer.

use crate::protocol::to_cbor;
use crate::protocol::users::ErrorBody;
use std::fmt;

use super::super::Context;
use super::RETRY_AFTER_S;

/// The reason why a request is refused. Its text is part of the API for users.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The state service did not decide the request in time.
    NotDecidedInTime,
    /// The state service has refused every request for a while.
    StoreOutage,
    /// Too many requests wait on this node.
    Overloaded,
    /// The body of a submission is malformed; the text says how.
    Malformed(String),
    /// No job has this id.
    NoSuchJob,
    /// The submission names a team that is not configured.
    UnknownTeam,
    /// The job depends on itself.
    DependsOnItself,
    /// The job depends on a service, which is never done.
    DependsOnService,
    /// The job depends on one that was never accepted.
    DependsOnUnknownJob,
    /// The catalogue of machine types has not been read yet.
    CatalogueUnknown,
    /// The named controller runs a release without job dependencies.
    LaggingController(String),
    /// The job can never run within its team's limit.
    OverTeamLimit,
    /// The description doesn't fit into a value of the state service.
    DescriptionTooLarge,
    /// No machine type that the job allows is large enough for a task.
    NoFittingMachineType,
    /// The state service rejected the page of acceptances as malformed.
    RejectedByStore,
}

impl Refusal {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::NoSuchJob => 404,
            Refusal::UnknownTeam
            | Refusal::DependsOnItself
            | Refusal::DependsOnService
            | Refusal::DependsOnUnknownJob
            | Refusal::OverTeamLimit
            | Refusal::NoFittingMachineType => 422,
            Refusal::NotDecidedInTime
            | Refusal::StoreOutage
            | Refusal::Overloaded
            | Refusal::CatalogueUnknown
            | Refusal::LaggingController(_)
            | Refusal::DescriptionTooLarge
            | Refusal::RejectedByStore => 503,
        }
    }

    /// Answers the request with this refusal; status 503 comes with a time after which to retry.
    pub(super) fn send(&self, context: &mut Context, id: u64) {
        let body = to_cbor(&ErrorBody {
            error: self.to_string(),
        });
        let status = self.status();
        context.reply(id, status, body, (status == 503).then_some(RETRY_AFTER_S));
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NotDecidedInTime => "not decided in time",
            Refusal::StoreOutage => "the state service does not answer",
            Refusal::Overloaded => "too much waits here",
            Refusal::Malformed(why) => why,
            Refusal::NoSuchJob => "no such job",
            Refusal::UnknownTeam => "unknown team",
            Refusal::DependsOnItself => "the job waits for itself",
            Refusal::DependsOnService => "a job waits for a service, which is never done",
            Refusal::DependsOnUnknownJob => "a job that it waits for was never accepted",
            Refusal::CatalogueUnknown => "the machine types are not known yet",
            Refusal::LaggingController(node) => return write!(f, "{node} has yet to get this version"),
            Refusal::OverTeamLimit => "over the team's limit",
            Refusal::DescriptionTooLarge => "the state service cannot hold the description",
            Refusal::NoFittingMachineType => "a task fits no allowed machine type",
            Refusal::RejectedByStore => "the state service refuses the job",
        })
    }
}
