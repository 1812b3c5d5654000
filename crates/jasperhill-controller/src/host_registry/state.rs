//! What is remembered of host updates and of the blocks that they go to.

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

/// Updates that may wait for one block; more are refused.
const PENDING_MAX: usize = 1_000;
/// A refused block is left alone for so long: guards against one block that is written again and again
/// although the store does not take it.
const REFUSAL_BACKOFF: Micros = Micros::from_secs(2);
/// Blocks split at a time.
const SPLITS_MAX: usize = 4;

/// One change of one host's record.
pub(crate) struct HostUpdate {
    /// How its write is ranked among others.
    pub priority: WritePriority,
    /// The role that entitles to it, and the revision since which it is owned.
    pub role: (Role, Revision),
    /// The host whose record changes.
    pub host: HostId,
    /// The version that it changes; `None`: there is no record yet.
    pub expected_version: Option<Revision>,
    /// The record to be written; `None`: it is deleted.
    pub new_record: Option<HostRecord>,
    /// It is not written after this, by the steady clock.
    pub deadline: Micros,
}

/// An update that waits to be written.
pub(super) struct PendingUpdate {
    /// The update.
    pub update: HostUpdate,
    /// Where its outcome is awaited.
    pub reply: oneshot::Sender<WriteOutcome>,
}

impl PendingUpdate {
    /// Tells whoever waits for the update what came of it.
    pub fn complete(self, outcome: WriteOutcome) {
        // Nobody waits any more if the receiver is gone.
        let _ = self.reply.send(outcome);
    }
}

/// Updates that wait, by block, and where hosts have been put.
#[derive(Default)]
pub(crate) struct HostRegistry {
    /// The updates that wait for each block.
    pub(super) pending: BTreeMap<u32, Vec<PendingUpdate>>,
    /// Blocks with a write under way.
    writing: BTreeSet<u32>,
    /// Where the leader has put hosts. A host keeps its block while this leadership lasts, even if the
    /// outcome of a write is unknown: it must never be in two blocks.
    assigned_blocks: BTreeMap<HostId, u32>,
    /// Blocks that the leader wants split, whether or not updates wait for them.
    pub(super) splits_due: BTreeSet<u32>,
    /// New blocks of splits that are being written.
    pub(super) reserved: BTreeSet<u32>,
    /// Blocks whose writes were refused, and until when they are left alone.
    backing_off: BTreeMap<u32, Micros>,
}

impl HostRegistry {
    /// Begins with a new leadership, at whose revision late writes of the earlier one are refused.
    pub fn clear_assignments(&mut self) {
        self.assigned_blocks.clear();
    }

    /// The block for a new host of `partition`, of so many `partitions`. Blocks are filled by partition,
    /// so that their owners seldom write the same one at the same time. `value_bytes`: how long a value
    /// may be.
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
        let capacity = value_bytes.saturating_sub(BLOCK_OVERHEAD);
        let new_bytes = entry_bytes(id, record);
        let mut used_bytes: BTreeMap<u32, usize> = BTreeMap::new();
        for (block, bytes) in &cache.block_bytes {
            if block % partitions == partition {
                used_bytes.insert(*block, *bytes);
            }
        }
        for (assigned, block) in &self.assigned_blocks {
            if !cache.hosts.contains_key(assigned) {
                // Entries are alike: this one stands for those whose writes are under way.
                *used_bytes.entry(*block).or_default() += new_bytes;
            }
        }
        let is_full = |block: &u32| {
            let used = used_bytes.get(block);
            self.reserved.contains(block) || used.is_some_and(|used| used + new_bytes > capacity)
        };
        let mut block = partition;
        while is_full(&block) {
            block += partitions;
        }
        self.assigned_blocks.insert(id.clone(), block);
        block
    }

    /// Notes that the record of a host is gone: it may be assigned another block.
    pub fn unassign_block(&mut self, id: &HostId) {
        self.assigned_blocks.remove(id);
    }

    /// Whether a write of this block was refused a moment ago.
    pub fn is_backing_off(&self, block: u32, now: Micros) -> bool {
        self.backing_off
            .get(&block)
            .is_some_and(|until| now < *until)
    }

    /// Notes that a write of this block was refused.
    pub(super) fn back_off(&mut self, block: u32, now: Micros) {
        self.backing_off.retain(|_, until| now < *until);
        self.backing_off.insert(block, now + REFUSAL_BACKOFF);
    }

    /// Queues an update. False if too many wait for the block already.
    pub(super) fn enqueue(&mut self, block: u32, update: PendingUpdate) -> bool {
        let pending = self.pending.entry(block).or_default();
        let has_room = pending.len() < PENDING_MAX;
        if has_room {
            pending.push(update);
        }
        has_room
    }

    /// Queues updates again, before those that wait.
    pub(super) fn requeue(&mut self, block: u32, updates: Vec<PendingUpdate>) {
        let pending = self.pending.entry(block).or_default();
        pending.splice(0..0, updates);
    }

    /// Notes that a block is being written. False if it is already.
    pub(super) fn start_writing(&mut self, block: u32) -> bool {
        self.writing.insert(block)
    }

    /// Notes that nothing of a block is left to be written.
    pub(super) fn finish_writing(&mut self, block: u32) {
        self.writing.remove(&block);
    }

    /// Chooses blocks that are larger than `value_bytes`, a few at a time, and marks them to be split.
    pub(super) fn choose_splits(
        &mut self,
        cache: &WatchCache,
        value_bytes: usize,
        now: Micros,
    ) -> Vec<u32> {
        let can_split =
            |block: &u32| !self.is_backing_off(*block, now) && !self.writing.contains(block);
        let too_large = cache
            .block_bytes
            .iter()
            .filter(|(block, bytes)| **bytes > value_bytes && can_split(block));
        let chosen: Vec<u32> = too_large
            .map(|(block, _)| *block)
            .take(SPLITS_MAX)
            .collect();
        self.splits_due.extend(chosen.iter().copied());
        chosen
    }

    /// Takes over where the hosts of a block are after it was split.
    pub(super) fn follow_split(&mut self, cache: &WatchCache, block: u32) {
        for (id, assigned) in &mut self.assigned_blocks {
            if *assigned == block
                && let Some(cached) = cache.hosts.get(id)
            {
                *assigned = cached.block;
            }
        }
    }

    /// Notes that the write of new blocks is over.
    pub(super) fn release_reserved(&mut self, new_blocks: &[u32]) {
        for block in new_blocks {
            self.reserved.remove(block);
        }
    }
}
