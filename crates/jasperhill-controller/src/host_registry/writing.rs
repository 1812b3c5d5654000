//! Writing blocks of host records: one task for each block that has updates, which ends when none are
//! left.

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

/// Updates that come within this time are written together.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long the write of a block is tried.
const WRITE_LIMIT: Micros = Micros::from_secs(3);

/// What is handed to the store of a prepared write.
struct BlockTransaction {
    /// How it is ranked among other writes.
    priority: WritePriority,
    /// Its compares.
    guards: Vec<Guard>,
    /// Its puts.
    changes: Vec<Change>,
}

impl Shared {
    /// Queues an update of a host's record in this block and waits for its outcome. `NotExecuted` also if
    /// too many wait for the block, or it was refused a moment ago.
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

    /// Begins to write a block's updates, unless that is under way.
    fn write_block(self: &Rc<Self>, block: u32) {
        let is_started = {
            let mut state = self.state.borrow_mut();
            state.host_registry.start_writing(block)
        };
        if is_started {
            let shared = self.clone();
            self.clone().spawn(async move {
                while shared.write_block_once(block).await {}
                let mut state = shared.state.borrow_mut();
                state.host_registry.finish_writing(block);
            });
        }
    }

    /// Writes a block once. False: nothing is left to write.
    async fn write_block_once(self: &Rc<Self>, block: u32) -> bool {
        tokio::time::sleep(BATCH_DELAY).await;
        let write = match self.next_block_write(block) {
            NextWrite::Idle => return false,
            NextWrite::OthersWait => return true,
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
        if outcome == WriteOutcome::Conflict && self.read_index().await {
            // Another controller has changed the block: the updates are tried on what it is now.
            let mut state = self.state.borrow_mut();
            state.host_registry.requeue(block, updates);
        } else {
            for pending in updates {
                pending.complete(outcome);
            }
        }
        true
    }

    /// What is to be written of a block next; tells those whose updates can't be written.
    fn next_block_write(&self, block: u32) -> NextWrite {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let leader = state.provisioning.leader.as_ref();
        let leadership = leader.map(|leader| leader.since);
        let limits = BlockLimits {
            value_bytes: self.settings.value_bytes,
            txn_ops: self.settings.txn_ops,
            partitions: self.settings.size,
            may_split: state.membership.features.supports(DEPENDENCIES),
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

    /// Writes a block and takes note of the outcome.
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
        let outcome = self.write(priority, guards, changes, WRITE_LIMIT).await;
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if outcome == WriteOutcome::NotExecuted && now - sent_at < WRITE_LIMIT {
            // Refused, not merely late.
            state.host_registry.back_off(block, now);
        }
        if matches!(outcome, WriteOutcome::Committed(_)) && !new_blocks.is_empty() {
            tracing::info!(block, into = new_blocks.len(), "host block split");
            state.host_registry.follow_split(&state.cache, block);
        }
        state.host_registry.release_reserved(new_blocks);
        outcome
    }

    /// Has blocks split that are larger than a value may be, a few at a time, if this controller leads.
    /// Guards against blocks that nobody happens to update before the limits fall. Called with each round
    /// of the leader.
    pub fn split_blocks(self: &Rc<Self>) {
        let chosen = {
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
        for block in chosen {
            self.write_block(block);
        }
    }
}
