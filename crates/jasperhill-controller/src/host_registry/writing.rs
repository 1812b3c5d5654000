//! Writes blocks of host records. Each block with queued updates has one writer task, which ends once the
//! queue is empty.

use super::{
    batch::{BlockLimits, NextWrite, PreparedWrite},
    state::{HostUpdate, PendingUpdate},
};
use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority},
};
use jasperhill_wire::{
    Micros,
    record::DEPENDENCIES,
    store::{Change, Guard},
};
use std::{rc::Rc, time::Duration};
use tokio::sync::oneshot;

/// Time for which a block's writer collects updates before it writes them together.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Timeout of the write of a block.
const WRITE_TIMEOUT: Micros = Micros::from_secs(3);

/// The part of a prepared write that goes to the store.
struct BlockTransaction {
    /// The priority of the write in the commit queue.
    priority: WritePriority,
    /// The conditions of the transaction; all must hold.
    guards: Vec<Guard>,
    /// The changes that the transaction makes.
    changes: Vec<Change>,
}

impl Shared {
    /// Queues an update of a host's record in `block` and waits for its outcome. The outcome is also
    /// `NotExecuted` if the block's queue is full, or the store has recently refused a write of the block.
    pub async fn update_host(self: &Rc<Self>, block: u32, update: HostUpdate) -> WriteOutcome {
        let (reply, outcome) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let pending = PendingUpdate { update, reply };
            if !state.host_registry.enqueue(block, pending) {
                return WriteOutcome::NotExecuted;
            }
        }
        self.write_block(block);
        outcome.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Spawns the writer task of a block unless one is running.
    fn write_block(self: &Rc<Self>, block: u32) {
        let is_writer_needed = {
            let mut state = self.state.borrow_mut();
            state.host_registry.start_writing(block)
        };
        if is_writer_needed {
            let shared = self.clone();
            self.clone().spawn(async move {
                while shared.write_block_once(block).await {}
                let mut state = shared.state.borrow_mut();
                state.host_registry.finish_writing(block);
            });
        }
    }

    /// Writes a block once. Returns false if there are no updates left.
    async fn write_block_once(self: &Rc<Self>, block: u32) -> bool {
        tokio::time::sleep(BATCH_DELAY).await;
        let write = match self.next_block_write(block) {
            NextWrite::Idle => return false,
            NextWrite::Deferred => return true,
            NextWrite::Write(write) => write,
        };
        let PreparedWrite {
            updates,
            priority,
            guards,
            changes,
            new_blocks,
        } = write;
        let transaction = BlockTransaction {
            priority,
            guards,
            changes,
        };
        let outcome = self.commit_block(block, transaction, &new_blocks).await;
        if outcome == WriteOutcome::Conflict && self.linearizable_read().await {
            // Another controller has changed the block: retry the updates on its current content.
            let mut state = self.state.borrow_mut();
            state.host_registry.requeue(block, updates);
        } else {
            for pending in updates {
                pending.complete(outcome);
            }
        }
        true
    }

    /// Returns the next write of a block, and reports to their callers the updates that can't be written.
    fn next_block_write(&self, block: u32) -> NextWrite {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let leader = state.provisioning.leader.as_ref();
        let leadership = leader.map(|leader| leader.leader_since_revision);
        let limits = BlockLimits {
            value_bytes: self.settings.value_bytes,
            txn_ops: self.settings.transaction_ops_max,
            partitions: self.settings.partition_count,
            is_split_supported: state.membership.features.supports(DEPENDENCIES),
        };
        let (next, rejected) =
            state
                .host_registry
                .next_write(&state.cache, leadership, &limits, block, now);
        for update in rejected {
            update.complete();
        }
        next
    }

    /// Sends a block's transaction to the store and updates the registry according to the outcome.
    async fn commit_block(
        &self,
        block: u32,
        transaction: BlockTransaction,
        new_blocks: &[u32],
    ) -> WriteOutcome {
        let BlockTransaction {
            priority,
            guards,
            changes,
        } = transaction;
        let sent_at = self.now();
        let outcome = self.write(priority, guards, changes, WRITE_TIMEOUT).await;
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if outcome == WriteOutcome::NotExecuted && now - sent_at < WRITE_TIMEOUT {
            // The store has refused the write; it did not merely time out.
            state.host_registry.back_off(block, now);
        }
        if matches!(outcome, WriteOutcome::Committed(_)) && !new_blocks.is_empty() {
            tracing::info!(block, into = new_blocks.len(), "host block split");
            state
                .host_registry
                .reassign_after_split(&state.cache, block);
        }
        state.host_registry.release_reserved(new_blocks);
        outcome
    }

    /// Starts to split a few of the blocks that exceed the store's value size, if this controller is the
    /// leader. Guards against oversized blocks that get no update before the store lowers its limits.
    /// Called in each round of the leader.
    pub fn split_blocks(self: &Rc<Self>) {
        let blocks_to_split = {
            let mut state_guard = self.state.borrow_mut();
            let state = &mut *state_guard;
            if !state.membership.features.supports(DEPENDENCIES)
                || state.provisioning.leader.is_none()
            {
                return;
            }
            let now = self.now();
            let value_bytes = self.settings.value_bytes;
            state
                .host_registry
                .choose_splits(&state.cache, value_bytes, now)
        };
        for block in blocks_to_split {
            self.write_block(block);
        }
    }
}
