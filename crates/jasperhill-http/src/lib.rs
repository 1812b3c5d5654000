//! A small HTTP/1.1 server and client over `httparse`, with every size and time bounded.

pub mod client;
pub mod connections;
pub mod head;
pub mod server;

pub use client::{Client, ClientError, ClientLimits};
pub use connections::{ConnectionPermit, ConnectionTracker};
pub use head::{Method, Request, Response};
pub use server::{Door, ServerLimits, serve};

/// Bodies of requests are never longer.
pub const BODY_MAX: usize = 64 * 1024;
