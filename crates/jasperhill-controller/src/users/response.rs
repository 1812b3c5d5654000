//! Responses to users: bodies, and the one place where errors become HTTP statuses and texts.

use jasperhill_http::Response;
use jasperhill_wire::{
    JobId,
    user::{ErrorBody, JobPhase, JobResponse},
};

/// How soon a user should ask again when a controller can't decide, in seconds.
const UNAVAILABLE_RETRY_S: u32 = 1;

/// Why a controller can't decide on a request now; another one may, or this one in a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Unavailable {
    /// The process was stalled, so that the request has waited for long.
    #[error("stood still")]
    Stalled,
    /// The controller is not ready for users.
    #[error("not ready")]
    NotReady,
    /// The store can't be read up to now.
    #[error("state unknown")]
    StateUnknown,
    /// No machine type is known, so that no job can be checked against them.
    #[error("machine types unknown")]
    MachineTypesUnknown,
    /// A controller of a version that ignores dependencies still serves.
    #[error("an earlier version still serves")]
    EarlierVersion,
    /// No partition belongs to the job's team.
    #[error("owner unknown")]
    OwnerUnknown,
    /// The owner was not reached, or the outcome of a write is not known.
    #[error("can't decide now")]
    Undecided,
}

/// Why a request of a user was not carried out. The texts are part of the API.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UserError {
    /// The path takes POST alone.
    #[error("only POST")]
    OnlyPost,
    /// The path takes GET alone.
    #[error("only GET")]
    OnlyGet,
    /// The path leads nowhere.
    #[error("no such path")]
    NoSuchPath,
    /// No job of that id was ever accepted.
    #[error("no such job")]
    NoSuchJob,
    /// The submission is not understood; the text names the field.
    #[error("{0}")]
    Malformed(String),
    /// The job can never be accepted as it is; the text names the field.
    #[error("{0}")]
    Unprocessable(String),
    /// The job would miss its deadline if it was accepted now.
    #[error("would miss its deadline")]
    Rejected {
        /// How soon another try is worth while, in seconds.
        retry_after_s: u32,
    },
    /// Nothing is decided; the user should come back.
    #[error("{0}")]
    Unavailable(Unavailable),
}

impl From<Unavailable> for UserError {
    fn from(reason: Unavailable) -> Self {
        Self::Unavailable(reason)
    }
}

impl UserError {
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

    /// The response with status, text and the headers that go with them.
    pub(super) fn into_response(self) -> Response {
        let error = self.to_string();
        let response = json(self.status(), &ErrorBody { error });
        match self {
            Self::OnlyPost => response.allow("POST"),
            Self::OnlyGet => response.allow("GET"),
            Self::Rejected { retry_after_s } => response.retry_after(retry_after_s),
            Self::Unavailable(reason) => {
                tracing::debug!(%reason, "request not decided, client to retry");
                response.retry_after(UNAVAILABLE_RETRY_S)
            }
            Self::NoSuchPath | Self::NoSuchJob | Self::Malformed(_) | Self::Unprocessable(_) => {
                response
            }
        }
    }
}

/// A response with a JSON body.
pub(super) fn json(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// The response to a submission or a cancellation.
pub(super) fn job_response(status: u16, id: &JobId, phase: JobPhase) -> Response {
    let id = id.as_str();
    json(status, &JobResponse { id, phase })
}
