//! A small HTTP/1.1 server and client over `httparse`, with every size and time bounded. Each
//! connection is admitted by the connection budget of the process.
//!
//! The controller uses it for users, workers and other controllers.

pub mod client;
pub mod connections;
pub mod head;
pub mod server;

pub use client::{Client, ClientError, ClientLimits};
pub use connections::{ConnectionPermit, ConnectionTotals, ConnectionTracker};
pub use head::{Method, Request, Response};
pub use server::{Endpoint, ServerLimits, serve};

/// The most bytes of the body of a request; longer ones are refused.
pub const BODY_MAX: usize = 64 * 1024;
