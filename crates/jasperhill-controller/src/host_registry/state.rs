//! State of the host registry: queued updates of host records, and the assignment of hosts to blocks.

use super::split::{BLOCK_OVERHEAD, entry_bytes};
use crate::{
    store::{WriteOutcome, WritePriority},
    watch_cache::WatchCache,
};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{HostRecord, Role},
};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// Maximum number of updates queued for one block; further updates are rejected.
const PENDING_UPDATES_MAX: usize = 1_000;
/// Time for which a block is not written after the store has refused its write. Guards against rewriting
/// a block in a tight loop although the store does not accept it.
const REFUSAL_BACKOFF: Micros = Micros::from_secs(2);
/// Maximum number of oversized blocks chosen for a split in one round of the leader.
const SPLITS_PER_ROUND_MAX: usize = 4;

/// A compare-and-swap update of one host's record.
pub(crate) struct HostUpdate {
    /// The priority of the write in the commit queue.
    pub priority: WritePriority,
    /// The role under which this controller makes the update, and the revision since which it owns the
    /// role.
    pub role: (Role, Revision),
    /// The host whose record changes.
    pub host: HostId,
    /// The version of the record that the update replaces; `None` if there must be no record yet.
    pub expected_version: Option<Revision>,
    /// The record to be written; `None` deletes the record.
    pub new_record: Option<HostRecord>,
    /// The time after which the update is not written any more, by the steady clock.
    pub deadline: Micros,
}

/// A queued update and the channel for its outcome.
pub(super) struct PendingUpdate {
    /// The update to be written.
    pub update: HostUpdate,
    /// The sender of the outcome to the caller that waits for it.
    pub reply: oneshot::Sender<WriteOutcome>,
}

impl PendingUpdate {
    /// Sends the outcome to the caller that waits for the update.
    pub fn complete(self, outcome: WriteOutcome) {
        // A dropped receiver means that the caller no longer waits.
        let _ = self.reply.send(outcome);
    }
}

/// Queued updates of host records by block, and the blocks that hosts are assigned to.
#[derive(Default)]
pub(crate) struct HostRegistry {
    /// Queued updates, by block.
    pub(super) pending: BTreeMap<u32, Vec<PendingUpdate>>,
    /// Blocks that a task is writing.
    blocks_being_written: BTreeSet<u32>,
    /// The block of each host that this controller has registered as the leader. A host keeps its block
    /// for the whole leadership, even if the outcome of a write is unknown, so that it is never in two
    /// blocks.
    assigned_blocks: BTreeMap<HostId, u32>,
    /// Blocks that the leader has chosen for a split, with or without queued updates.
    pub(super) blocks_to_split: BTreeSet<u32>,
    /// Numbers of the new blocks in split writes that are in progress.
    pub(super) reserved_blocks: BTreeSet<u32>,
    /// Blocks whose writes the store has refused, and the time until which they are not written.
    backoff_until: BTreeMap<u32, Micros>,
}

impl HostRegistry {
    /// Forgets all block assignments at the start of a new leadership. Late writes of the previous
    /// leadership can't commit, because their guard on the leader's revision fails.
    pub fn clear_assignments(&mut self) {
        self.assigned_blocks.clear();
    }

    /// Assigns a new host of `partition` to a block and returns the block's number. `partitions` is the
    /// number of partitions, and `value_bytes` the maximum size of a value in the store. Each block is
    /// filled with hosts of one partition, so that the owners of different partitions seldom write the
    /// same block at the same time.
    pub fn assign_block(
        &mut self,
        cache: &WatchCache,
        id: &HostId,
        record: &HostRecord,
        (partition, partitions): (u32, u32),
        value_bytes: usize,
    ) -> u32 {
        if let Some(block) = self.assigned_blocks.get(id) {
            return *block;
        }
        let capacity_bytes = value_bytes.saturating_sub(BLOCK_OVERHEAD);
        let new_entry_bytes = entry_bytes(id, record);
        let mut used_bytes: BTreeMap<u32, usize> = BTreeMap::new();
        for (block, bytes) in &cache.block_bytes {
            if block % partitions == partition {
                used_bytes.insert(*block, *bytes);
            }
        }
        for (assigned, block) in &self.assigned_blocks {
            if !cache.hosts.contains_key(assigned) {
                // Hosts whose writes are in progress are counted with the size of the new entry, as
                // entries are of similar size.
                *used_bytes.entry(*block).or_default() += new_entry_bytes;
            }
        }
        let is_full = |block: &u32| {
            let used = used_bytes.get(block);
            self.reserved_blocks.contains(block)
                || used.is_some_and(|used| used + new_entry_bytes > capacity_bytes)
        };
        let mut block = partition;
        while is_full(&block) {
            block += partitions;
        }
        self.assigned_blocks.insert(id.clone(), block);
        block
    }

    /// Forgets the block of a host whose record is deleted, so that it may be assigned to another block.
    pub fn unassign_block(&mut self, id: &HostId) {
        self.assigned_blocks.remove(id);
    }

    /// Returns whether a block is not to be written now, because the store has recently refused its write.
    pub fn is_backing_off(&self, block: u32, now: Micros) -> bool {
        self.backoff_until
            .get(&block)
            .is_some_and(|until| now < *until)
    }

    /// Starts the backoff of a block whose write the store has refused.
    pub(super) fn back_off(&mut self, block: u32, now: Micros) {
        self.backoff_until.retain(|_, until| now < *until);
        self.backoff_until.insert(block, now + REFUSAL_BACKOFF);
    }

    /// Queues an update. Returns false, and drops the update, if the block's queue is full.
    pub(super) fn enqueue(&mut self, block: u32, update: PendingUpdate) -> bool {
        let pending = self.pending.entry(block).or_default();
        let has_room = pending.len() < PENDING_UPDATES_MAX;
        if has_room {
            pending.push(update);
        }
        has_room
    }

    /// Puts updates back at the head of a block's queue.
    pub(super) fn requeue(&mut self, block: u32, updates: Vec<PendingUpdate>) {
        let pending = self.pending.entry(block).or_default();
        pending.splice(0..0, updates);
    }

    /// Marks a block as being written. Returns false if it is marked already.
    pub(super) fn start_writing(&mut self, block: u32) -> bool {
        self.blocks_being_written.insert(block)
    }

    /// Marks a block as no longer being written.
    pub(super) fn finish_writing(&mut self, block: u32) {
        self.blocks_being_written.remove(&block);
    }

    /// Chooses up to `SPLITS_PER_ROUND_MAX` blocks that are larger than `value_bytes` and marks them for a
    /// split. Skips blocks that are being written or in backoff.
    pub(super) fn choose_splits(
        &mut self,
        cache: &WatchCache,
        value_bytes: usize,
        now: Micros,
    ) -> Vec<u32> {
        let can_split = |block: &u32| {
            !self.is_backing_off(*block, now) && !self.blocks_being_written.contains(block)
        };
        let too_large = cache
            .block_bytes
            .iter()
            .filter(|(block, bytes)| **bytes > value_bytes && can_split(block));
        let chosen: Vec<u32> = too_large
            .map(|(block, _)| *block)
            .take(SPLITS_PER_ROUND_MAX)
            .collect();
        self.blocks_to_split.extend(chosen.iter().copied());
        chosen
    }

    /// Updates the block assignments of hosts that a split has moved out of `block`.
    pub(super) fn reassign_after_split(&mut self, cache: &WatchCache, block: u32) {
        for (id, assigned) in &mut self.assigned_blocks {
            if *assigned == block
                && let Some(cached) = cache.hosts.get(id)
            {
                *assigned = cached.block;
            }
        }
    }

    /// Releases the numbers of new blocks whose split write has ended.
    pub(super) fn release_reserved(&mut self, new_blocks: &[u32]) {
        for block in new_blocks {
            self.reserved_blocks.remove(block);
        }
    }
}
