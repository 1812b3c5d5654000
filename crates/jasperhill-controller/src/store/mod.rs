//! Client of the state service, the consensus-backed key-value store for all data that must survive
//! a controller restart.
//!
//! The state is [`state::StoreState`]: queued writes, waiting reads and the request budget. Only
//! the submodules change this state. The submodules and their guarantees are:
//!
//! - [`commit_queue`] and [`committer`]: group commit. Each write ends with a typed
//!   [`WriteOutcome`], and a write that may have been executed is never sent again.
//! - [`watch`]: the listing and the watch that keep the watch cache up to date.
//! - [`read_index`]: linearizable reads, with one request for all waiting callers.
//! - [`session`] and [`lease`]: the lease that the roles of this controller are bound to.
//! - [`budget`]: rate limiting to this controller's share of the request limit of the service.

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
