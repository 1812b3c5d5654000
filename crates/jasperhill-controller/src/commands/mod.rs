//! Commands that are sent to workers in requests of their own, besides the commands in responses to
//! heartbeats. Also raises the fencing token of a host whose commands are in doubt, that is, when it is
//! not known whether the worker executed the commands of an unanswered request.
//!
//! The state is [`state::CommandState`]. Invariants: at most one request is in flight to a host, and a
//! host with commands in doubt gets no other commands until its fencing token has been raised.

pub(crate) mod log;
mod queue;
mod sending;
pub mod state;
pub(crate) mod tokens;

pub(crate) use self::state::CommandState;
