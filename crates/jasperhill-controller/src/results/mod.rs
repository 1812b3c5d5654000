//! Persistence of results: writes completed tasks and failed attempts of this controller's jobs to
//! the store, and cancels jobs that depend on cancelled jobs.
//!
//! The state is [`state::ResultState`], which only this module and its submodules change. A result
//! that has not been written yet is not lost: a worker keeps the status of a task until the task's
//! owner tells the worker to clear it, and the owner does so only when the result is durable.

mod cancellation;
mod record;
mod saving;
pub mod state;

pub(crate) use self::state::ResultState;
