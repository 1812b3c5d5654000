//! The users' API: submissions, polls, cancellations and readiness, over HTTP.
//!
//! Owns no state. What it answers rests on the watch cache, after a linearizable read wherever
//! the answer could change, and every job is accepted by one write that is guarded by the
//! absence of the job's record: a repeated submission is idempotent on every controller.

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

/// Where workers send heartbeats.
const HEARTBEAT_PATH: &str = "/hello";
/// Where the load balancer and operators ask for readiness.
const READINESS_PATH: &str = "/ready";
/// Where jobs are submitted.
const JOBS_PATH: &str = "/v1/jobs";
/// What the path of a single job starts with.
const JOB_PREFIX: &str = "/v1/jobs/";
/// The last segment of the path that cancels a job.
const CANCELLATION: &str = "abort";

impl Shared {
    /// Answers a request of a user, a worker or a health check. Called by the controller for
    /// every request on its public address.
    pub async fn serve(self: Rc<Self>, request: Request) -> Response {
        let path = request.path().to_owned();
        if self.note_activity() && path != READINESS_PATH {
            // Guards against working off what queued up while the process was stalled: users
            // and workers have given up on it and ask elsewhere.
            return UserError::Unavailable(Unavailable::Stalled).into_response();
        }
        let served = self.route(request.method, &path, &request.body).await;
        served.unwrap_or_else(UserError::into_response)
    }

    /// Calls the handler of a path and method.
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
                Some(rest) => self.route_job(method, rest).await,
                None => Err(UserError::NoSuchPath),
            },
        }
    }

    /// Calls the handler of a path below that of all jobs.
    async fn route_job(self: &Rc<Self>, method: Method, path: &str) -> Result<Response, UserError> {
        match (method, path.split_once('/')) {
            (Method::Get, None) => self.job_status(path).await,
            (_, None) => Err(UserError::OnlyGet),
            (Method::Post, Some((id, CANCELLATION))) => self.cancel_job(id).await,
            (_, Some((_, CANCELLATION))) => Err(UserError::OnlyPost),
            _ => Err(UserError::NoSuchPath),
        }
    }
}
