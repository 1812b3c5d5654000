//! What goes into the next write of a block: the updates of one role that can be written together, and
//! the block split if it is too large. Nothing here waits or talks to the store.

use super::{
    split::{BLOCK_OVERHEAD, split_block},
    state::{HostRegistry, HostUpdate, PendingUpdate},
};
use crate::{
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::WatchCache,
};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{HostBlock, Role, block_key, role_key},
    store::{Change, Guard},
};
use std::collections::BTreeSet;

/// What bounds the write of a block.
pub(super) struct BlockLimits {
    /// How long a value may be.
    pub value_bytes: usize,
    /// How many operations a transaction may have.
    pub txn_ops: usize,
    /// The number of partitions: a new block's number differs from that of the split one by a multiple.
    pub partitions: u32,
    /// Whether every member understands that blocks are split.
    pub may_split: bool,
}

/// What one write of a block consists of.
pub(super) struct PreparedWrite {
    /// The updates that it writes.
    pub updates: Vec<PendingUpdate>,
    /// The most urgent of them.
    pub priority: WritePriority,
    /// The compares of the transaction.
    pub guards: Vec<Guard>,
    /// The puts of the transaction.
    pub changes: Vec<Change>,
    /// The new blocks among them.
    pub new_blocks: Vec<u32>,
}

/// What is to be done next for a block.
pub(super) enum NextWrite {
    /// Nothing is left.
    Idle,
    /// Nothing can be written now, but updates of another role wait.
    OthersWait,
    /// This is to be written.
    Write(PreparedWrite),
}

/// An update that can't be written.
pub(super) struct RejectedUpdate {
    /// The update.
    update: PendingUpdate,
    /// Why it can't be written.
    outcome: WriteOutcome,
}

impl RejectedUpdate {
    /// Tells whoever waits for the update why it was not written.
    pub fn complete(self) {
        self.update.complete(self.outcome);
    }
}

/// What becomes of an update that waits.
enum Decision {
    /// It goes into this write.
    Include,
    /// It goes into a later one.
    WaitForNext,
    /// It is never written.
    Reject(WriteOutcome),
}

/// What decides on updates of a block.
struct Selection<'a> {
    /// The records as the store last showed them.
    cache: &'a WatchCache,
    /// The block to be written.
    block: u32,
    /// The role whose updates are written, and the revision since which it is owned.
    role: (Role, Revision),
    /// The role has changed hands since.
    is_role_lost: bool,
    /// A write of the block was refused a moment ago.
    is_backing_off: bool,
    /// The time of the decision.
    now: Micros,
}

impl Selection<'_> {
    /// What becomes of an update. `changed_hosts`: those that other updates of this write change.
    fn decide(&self, update: &HostUpdate, changed_hosts: &BTreeSet<HostId>) -> Decision {
        if self.now >= update.deadline || self.is_backing_off {
            return Decision::Reject(WriteOutcome::NotExecuted);
        }
        let cached = self.cache.hosts.get(&update.host);
        let is_outdated = cached.map(|record| record.version) != update.expected_version
            || cached.is_some_and(|record| record.block != self.block);
        let is_same_role = update.role == self.role;
        if is_outdated || (is_same_role && self.is_role_lost) {
            Decision::Reject(WriteOutcome::Conflict)
        } else if !is_same_role || changed_hosts.contains(&update.host) {
            Decision::WaitForNext
        } else {
            Decision::Include
        }
    }
}

impl HostRegistry {
    /// Takes the updates of a block that can be written together now, and prepares their write.
    /// `leadership`: since which revision this controller leads, if it does. Rejected updates are returned
    /// for the caller to complete.
    pub(super) fn next_write(
        &mut self,
        cache: &WatchCache,
        leadership: Option<Revision>,
        limits: &BlockLimits,
        block: u32,
        now: Micros,
    ) -> (NextWrite, Vec<RejectedUpdate>) {
        let split_due = self.splits_due.remove(&block);
        let pending = self.pending.remove(&block).unwrap_or_default();
        let leader = leadership.filter(|_| split_due);
        let role = match pending.first() {
            Some(first) => Some(first.update.role),
            None => leader.map(|since| (Role::Leader, since)),
        };
        let Some(role) = role else {
            return (NextWrite::Idle, Vec::new());
        };
        let current_version = cache.roles.get(&role.0).map(|cached| cached.version);
        let selection = Selection {
            cache,
            block,
            role,
            is_role_lost: current_version.is_some_and(|version| version > role.1),
            is_backing_off: self.is_backing_off(block, now),
            now,
        };
        let mut hosts = cache.block(block);
        let (mut included, mut waiting, mut rejected) = (Vec::new(), Vec::new(), Vec::new());
        let mut changed_hosts = BTreeSet::new();
        for pending in pending {
            let update = &pending.update;
            match selection.decide(update, &changed_hosts) {
                Decision::Include => {
                    apply_update(&mut hosts, update);
                    changed_hosts.insert(update.host.clone());
                    included.push(pending);
                }
                Decision::WaitForNext => waiting.push(pending),
                Decision::Reject(outcome) => rejected.push(RejectedUpdate {
                    update: pending,
                    outcome,
                }),
            }
        }
        let others_wait = !waiting.is_empty();
        if others_wait {
            self.pending.insert(block, waiting);
        }
        let exists = cache.blocks.contains_key(&block);
        let next = if !included.is_empty() || (split_due && exists) {
            NextWrite::Write(self.prepare_write(cache, limits, block, role, hosts, included))
        } else if others_wait {
            NextWrite::OthersWait
        } else {
            NextWrite::Idle
        };
        (next, rejected)
    }

    /// The write of a block with these hosts; split if they don't fit.
    fn prepare_write(
        &mut self,
        cache: &WatchCache,
        limits: &BlockLimits,
        block: u32,
        role: (Role, Revision),
        hosts: HostBlock,
        updates: Vec<PendingUpdate>,
    ) -> PreparedWrite {
        let priorities = updates.iter().map(|pending| pending.update.priority);
        let priority = priorities.min().unwrap_or(WritePriority::Finish);
        let version = cache.blocks.get(&block).copied().unwrap_or_default();
        let bytes = serde_json::to_vec(&hosts).map_or(0, |bytes| bytes.len());
        tracing::debug!(
            block,
            bytes,
            hosts = hosts.hosts.len(),
            updates = updates.len(),
            "host block"
        );
        let must_split = bytes > limits.value_bytes && limits.may_split;
        let mut write = PreparedWrite {
            updates,
            priority,
            guards: vec![
                guard(role_key(role.0), role.1),
                guard(block_key(block), version),
            ],
            changes: Vec::new(),
            new_blocks: Vec::new(),
        };
        if must_split {
            // Not behind what can wait: a block that is too large soon can't be written at all.
            write.priority = priority.min(WritePriority::Finish);
            self.add_split(&mut write, cache, limits, block, hosts);
        } else {
            write.changes.push(put(block_key(block), &hosts));
        }
        write
    }

    /// Adds the parts of a block to its write: the first under its own key, the others in new blocks.
    fn add_split(
        &mut self,
        write: &mut PreparedWrite,
        cache: &WatchCache,
        limits: &BlockLimits,
        block: u32,
        hosts: HostBlock,
    ) {
        let capacity = limits.value_bytes.saturating_sub(BLOCK_OVERHEAD);
        let mut parts = split_block(hosts, capacity, limits.txn_ops).into_iter();
        let first = parts.next().unwrap_or_default();
        write.changes.push(put(block_key(block), &first));
        let mut new_block = block;
        for part in parts {
            new_block += limits.partitions;
            while self.is_taken(cache, new_block) {
                new_block += limits.partitions;
            }
            self.reserved.insert(new_block);
            write.new_blocks.push(new_block);
            write.guards.push(guard(block_key(new_block), Revision(0)));
            write.changes.push(put(block_key(new_block), &part));
        }
    }

    /// Whether a block's number can't be used for a new one.
    fn is_taken(&self, cache: &WatchCache, block: u32) -> bool {
        cache.blocks.contains_key(&block)
            || self.reserved.contains(&block)
            || self.pending.contains_key(&block)
    }
}

/// Changes a block as an update says.
fn apply_update(block: &mut HostBlock, update: &HostUpdate) {
    let host = &update.host;
    match &update.new_record {
        Some(record) => block.hosts.insert(host.clone(), record.clone()),
        None => block.hosts.remove(host),
    };
}

#[cfg(test)]
mod tests;
