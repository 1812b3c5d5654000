//! Commands that are sent directly to workers, besides those in responses to heartbeats, and the raising
//! of fencing tokens after commands whose fate is in doubt.
//!
//! The state is [`state::CommandState`]. At most one request is under way to a host; what it carried is
//! in doubt until it is answered, and a host with commands in doubt gets no others until its fencing token
//! has been raised.

mod queue;
mod sending;
pub mod state;
mod tokens;

pub(crate) use self::state::CommandState;
