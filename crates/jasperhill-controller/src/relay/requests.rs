//! The requests that workers answer.

use jasperhill_http::{Method, Request};

/// Asks a worker for its status; the answer is a heartbeat.
pub(crate) fn status_request() -> Request {
    Request::new(Method::Get, "/inspect", Vec::new())
}

/// Sends a worker commands, encoded by `commands_body`; the answer is a heartbeat.
pub(crate) fn commands_request(body: Vec<u8>) -> Request {
    Request::new(Method::Post, "/do", body)
}
