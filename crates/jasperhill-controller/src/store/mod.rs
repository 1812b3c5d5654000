//! The client of the state service, the consensus-backed key-value store that holds everything that
//! must outlive a controller.
//!
//! Owns [`state::StoreState`]: the writes that wait, the reads that wait and the request budget. Only
//! the modules below change it. What it promises to the rest of the controller:
//!
//! - [`commit_queue`] and [`committer`]: group commit. A write ends with a typed [`WriteOutcome`], and
//!   is never repeated once it may have been executed.
//! - [`watch`]: the listing and the watch, which keep the watch cache up to date.
//! - [`read_index`]: the linearizable read, one request for all who wait for it.
//! - [`session`] and [`lease`]: the lease that this controller's roles are tied to.
//! - [`budget`]: no more requests than this controller's share of the service's limit.

mod budget;
mod commit_queue;
mod committer;
mod lease;
mod read_index;
mod session;
pub(crate) mod state;
mod transaction;
mod watch;

pub(crate) use self::{
    commit_queue::{WriteOutcome, WritePriority},
    transaction::{guard, put, put_with_lease},
};
