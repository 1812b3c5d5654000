//! A small HTTP/1.1 server and client over `httparse`. All sizes and times are bounded, and the
//! connection budget of the process admits each connection.
//!
//! The controller serves users, workers and other controllers with [`serve`], and sends its own
//! requests with [`Client`].

pub mod client;
pub mod connections;
pub mod head;
pub mod server;

pub use client::{Client, ClientError, ClientLimits};
pub use connections::{ConnectionPermit, ConnectionTotals, ConnectionTracker};
pub use head::{Method, Request, Response};
pub use server::{Endpoint, ServerLimits, serve};

/// The maximum length of a request body, in bytes. The server refuses a request with a longer body.
pub const REQUEST_BODY_MAX_BYTES: usize = 64 * 1024;
