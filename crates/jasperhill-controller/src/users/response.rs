//! Responses to users: JSON bodies, and the mapping of errors to HTTP statuses and texts.

use jasperhill_http::Response;
use jasperhill_wire::{
    JobId,
    user::{ErrorBody, JobPhase, JobResponse},
};

/// `Retry-After` of a request on which the controller can't decide, in seconds.
const UNAVAILABLE_RETRY_AFTER_S: u32 = 1;

/// The reason why a controller can't decide on a request now. Another controller may be able to, or
/// this one shortly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Unavailable {
    /// The process was stalled while the request was queued.
    #[error("stood still")]
    Stalled,
    /// The controller is not ready for users.
    #[error("not ready")]
    NotReady,
    /// The current state can't be read from the store.
    #[error("state unknown")]
    StateUnknown,
    /// The machine types are unknown, so that jobs can't be checked against them.
    #[error("machine types unknown")]
    MachineTypesUnknown,
    /// A controller that runs a version without support for dependencies is still active.
    #[error("an earlier version still serves")]
    EarlierVersion,
    /// The job's team has no partition.
    #[error("owner unknown")]
    OwnerUnknown,
    /// The partition's owner was not reached, or the outcome of a write is unknown.
    #[error("can't decide now")]
    Undecided,
}

/// The reason why a user's request failed. The texts are part of the API.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UserError {
    /// The path accepts only POST.
    #[error("only POST")]
    OnlyPost,
    /// The path accepts only GET.
    #[error("only GET")]
    OnlyGet,
    /// The path does not exist.
    #[error("no such path")]
    NoSuchPath,
    /// No job with this id was ever accepted.
    #[error("no such job")]
    NoSuchJob,
    /// The submission can't be parsed; the text names the field.
    #[error("{0}")]
    Malformed(String),
    /// The submission is well-formed but can never be accepted; the text names the field.
    #[error("{0}")]
    Unprocessable(String),
    /// The job would miss its deadline if it were accepted now.
    #[error("would miss its deadline")]
    Rejected {
        /// Time after which to submit the job again, in seconds.
        retry_after_s: u32,
    },
    /// The request was not decided on; the user should retry.
    #[error("{0}")]
    Unavailable(Unavailable),
}

impl From<Unavailable> for UserError {
    fn from(reason: Unavailable) -> Self {
        Self::Unavailable(reason)
    }
}

impl UserError {
    /// Returns the HTTP status of the error.
    fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::NoSuchPath | Self::NoSuchJob => 404,
            Self::OnlyPost | Self::OnlyGet => 405,
            Self::Unprocessable(_) => 422,
            Self::Rejected { .. } => 429,
            Self::Unavailable(_) => 503,
        }
    }

    /// Builds the response with the error's status, text, and `Allow` or `Retry-After` header.
    pub(super) fn into_response(self) -> Response {
        let error = self.to_string();
        let response = json(self.status(), &ErrorBody { error });
        match self {
            Self::OnlyPost => response.allow("POST"),
            Self::OnlyGet => response.allow("GET"),
            Self::Rejected { retry_after_s } => response.retry_after(retry_after_s),
            Self::Unavailable(reason) => {
                tracing::debug!(%reason, "request not decided; client told to retry");
                response.retry_after(UNAVAILABLE_RETRY_AFTER_S)
            }
            Self::NoSuchPath | Self::NoSuchJob | Self::Malformed(_) | Self::Unprocessable(_) => {
                response
            }
        }
    }
}

/// Builds a response with a JSON body.
pub(super) fn json(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Builds the response to a submission or a cancellation.
pub(super) fn job_response(status: u16, id: &JobId, phase: JobPhase) -> Response {
    let id = id.as_str();
    json(status, &JobResponse { id, phase })
}
