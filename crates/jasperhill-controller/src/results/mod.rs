//! Results that are written to the store: completed tasks and failed attempts of this controller's jobs,
//! and the cancellation of jobs that depend on cancelled ones.
//!
//! The state is [`state::ResultState`], which only the files here change. A result that is not written yet
//! is not lost: workers keep the status of a task until its owner tells them to clear it, and it does so
//! only for tasks whose results are durable.

mod cancellation;
mod record;
mod saving;
pub mod state;

pub(crate) use self::state::ResultState;
