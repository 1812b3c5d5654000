//! The host records: many share a block, one key of the store, so that a fleet can change in bulk. Owns
//! the updates that wait to be written and turns them into writes, at most one under way for each block.
//! An update is a compare-and-swap on one host's record; other hosts of the block do not bear on it.
//!
//! A block that is larger than a value may be is split by whoever writes it, once every member understands
//! that: one transaction rewrites it and puts what no longer fits into new blocks, so that no host is ever
//! in two blocks or in none.
//!
//! The state is [`state::HostRegistry`], which only the files here change.

mod batch;
mod split;
pub mod state;
mod writing;

pub(crate) use self::state::{HostRegistry, HostUpdate};
