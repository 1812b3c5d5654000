//! Batched writes of host records. Many records share a block, which is one key of the store, so that a
//! large part of the fleet can change in few writes. This module queues updates and combines them into
//! writes, with at most one write in progress for each block. An update is a compare-and-swap on one host's
//! record; changes of other hosts in the block don't make it fail.
//!
//! A block that exceeds the store's value size is split by the next controller that writes it, once every
//! member supports split blocks: one transaction rewrites the block and moves the records that don't fit
//! into new blocks, so that every host is in exactly one block at any time.
//!
//! The state is [`state::HostRegistry`], which only this module changes.

mod batch;
mod split;
pub mod state;
mod writing;

pub(crate) use self::state::{HostRegistry, HostUpdate};
