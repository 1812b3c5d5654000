//! The HTTP API for users: job submission, status queries, cancellation and readiness.
//!
//! The module owns no state. Responses are computed from the watch cache, after a linearizable read
//! wherever the answer could still change. Every job is accepted by one write that is guarded by the
//! absence of the job's record, so that a repeated submission is idempotent on every controller.

mod admission;
mod cancellation;
mod dependencies;
mod job_creation;
mod job_view;
mod query;
mod readiness;
mod response;
mod submission;

use crate::shared::Shared;
use jasperhill_http::{Method, Request, Response};
use response::{Unavailable, UserError};
use std::rc::Rc;

/// Path to which workers send heartbeats.
const HEARTBEAT_PATH: &str = "/hello";
/// Path on which the load balancer and operators query readiness.
const READINESS_PATH: &str = "/ready";
/// Path to which jobs are submitted.
const JOBS_PATH: &str = "/v1/jobs";
/// Prefix of the paths of a single job.
const JOB_PREFIX: &str = "/v1/jobs/";
/// Last segment of the path that cancels a job.
const CANCEL_SEGMENT: &str = "abort";

impl Shared {
    /// Handles a request from a user, a worker or a health check. Called for every request on the
    /// controller's public address.
    pub async fn serve(self: Rc<Self>, request: Request) -> Response {
        let path = request.path().to_owned();
        if self.note_activity() && path != READINESS_PATH {
            // Requests that queued up while the process was stalled are not served: their senders
            // have given up on them and ask another controller.
            return UserError::Unavailable(Unavailable::Stalled).into_response();
        }
        let result = self.route(request.method, &path, &request.body).await;
        result.unwrap_or_else(UserError::into_response)
    }

    /// Dispatches a request to the handler of its path and method.
    async fn route(
        self: &Rc<Self>,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Response, UserError> {
        match (method, path) {
            (Method::Post, HEARTBEAT_PATH) => Ok(self.handle_heartbeat(body).await),
            (Method::Get, READINESS_PATH) => self.readiness(),
            (Method::Post, JOBS_PATH) => self.submit_job(body).await,
            (_, HEARTBEAT_PATH | JOBS_PATH) => Err(UserError::OnlyPost),
            (_, READINESS_PATH) => Err(UserError::OnlyGet),
            (method, path) => match path.strip_prefix(JOB_PREFIX) {
                Some(job_path) => self.route_job(method, job_path).await,
                None => Err(UserError::NoSuchPath),
            },
        }
    }

    /// Dispatches a request for a single job. `path`: the part after [`JOB_PREFIX`].
    async fn route_job(self: &Rc<Self>, method: Method, path: &str) -> Result<Response, UserError> {
        match (method, path.split_once('/')) {
            (Method::Get, None) => self.job_status(path).await,
            (_, None) => Err(UserError::OnlyGet),
            (Method::Post, Some((id, CANCEL_SEGMENT))) => self.cancel_job(id).await,
            (_, Some((_, CANCEL_SEGMENT))) => Err(UserError::OnlyPost),
            _ => Err(UserError::NoSuchPath),
        }
    }
}
