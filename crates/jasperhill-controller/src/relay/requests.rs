//! Builders of the requests that workers answer.

use jasperhill_http::{Method, Request};

/// Returns a request for a worker's status. The body of the worker's response is a heartbeat.
pub(crate) fn status_request() -> Request {
    Request::new(Method::Get, "/inspect", Vec::new())
}

/// Returns a request that carries commands to a worker. `body` is encoded by `commands_body`. The body
/// of the worker's response is a heartbeat.
pub(crate) fn commands_request(body: Vec<u8>) -> Request {
    Request::new(Method::Post, "/do", body)
}
