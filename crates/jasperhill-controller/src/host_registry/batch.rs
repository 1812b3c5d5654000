//! Prepares the next write of a block: selects the queued updates of one role that can be written
//! together, and splits the block if it is too large. Does no I/O.

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

/// Limits on the write of a block.
pub(super) struct BlockLimits {
    /// The maximum size of a value in the store, in bytes.
    pub value_bytes: usize,
    /// The maximum number of operations in a transaction of the store.
    pub txn_ops: usize,
    /// The number of partitions. A new block gets the number of the split block plus a multiple of this, so
    /// that it belongs to the same partition.
    pub partitions: u32,
    /// Whether every member supports split blocks.
    pub is_split_supported: bool,
}

/// A write of a block that is ready to be sent to the store.
pub(super) struct PreparedWrite {
    /// The updates that the write contains.
    pub updates: Vec<PendingUpdate>,
    /// The most urgent priority among the updates; a split has at least the priority `Finish`.
    pub priority: WritePriority,
    /// The conditions of the transaction; all must hold.
    pub guards: Vec<Guard>,
    /// The changes that the transaction makes.
    pub changes: Vec<Change>,
    /// Numbers of the new blocks that the transaction creates.
    pub new_blocks: Vec<u32>,
}

/// The next step in writing a block.
pub(super) enum NextWrite {
    /// The block has no updates left to write.
    Idle,
    /// No update can be written in this step, but updates are still queued, for example of another role.
    Deferred,
    /// The write that is to be sent to the store.
    Write(PreparedWrite),
}

/// An update that can't be written, and the outcome to report for it.
pub(super) struct RejectedUpdate {
    /// The rejected update.
    update: PendingUpdate,
    /// The reason for the rejection, reported to the caller.
    outcome: WriteOutcome,
}

impl RejectedUpdate {
    /// Reports the outcome to the caller that waits for the update.
    pub fn complete(self) {
        self.update.complete(self.outcome);
    }
}

/// Decision on whether a queued update goes into the next write of its block.
enum Decision {
    /// The update goes into this write.
    Include,
    /// The update stays queued for a later write.
    Defer,
    /// The update is dropped with this outcome.
    Reject(WriteOutcome),
}

/// The criteria by which updates are selected for the next write of a block.
struct UpdateSelection<'a> {
    /// The replica of the store.
    cache: &'a WatchCache,
    /// The block to be written.
    block: u32,
    /// The role whose updates are written, and the revision since which this controller owns the role.
    role: (Role, Revision),
    /// Whether the role's record has a newer version, so that updates under this role can't commit.
    is_role_lost: bool,
    /// Whether the block is in backoff after the store has refused its write.
    is_in_backoff: bool,
    /// The time of the decision, by the steady clock.
    now: Micros,
}

impl UpdateSelection<'_> {
    /// Decides on an update. `changed_hosts` are the hosts that earlier updates of this write change.
    fn decide_update(&self, update: &HostUpdate, changed_hosts: &BTreeSet<HostId>) -> Decision {
        if self.now >= update.deadline || self.is_in_backoff {
            return Decision::Reject(WriteOutcome::NotExecuted);
        }
        let cached = self.cache.hosts.get(&update.host);
        let is_outdated = cached.map(|record| record.version) != update.expected_version
            || cached.is_some_and(|record| record.block != self.block);
        let is_same_role = update.role == self.role;
        if is_outdated || (is_same_role && self.is_role_lost) {
            Decision::Reject(WriteOutcome::Conflict)
        } else if !is_same_role || changed_hosts.contains(&update.host) {
            Decision::Defer
        } else {
            Decision::Include
        }
    }
}

impl HostRegistry {
    /// Dequeues the updates of a block that can be written together now, and prepares their write.
    /// `leadership` is the revision since which this controller is the leader, or `None`. Returns the
    /// rejected updates, too, which the caller has to complete.
    pub(super) fn next_write(
        &mut self,
        cache: &WatchCache,
        leadership: Option<Revision>,
        limits: &BlockLimits,
        block: u32,
        now: Micros,
    ) -> (NextWrite, Vec<RejectedUpdate>) {
        let is_split_requested = self.blocks_to_split.remove(&block);
        let pending = self.pending.remove(&block).unwrap_or_default();
        let leader = leadership.filter(|_| is_split_requested);
        let role = match pending.first() {
            Some(first) => Some(first.update.role),
            None => leader.map(|since| (Role::Leader, since)),
        };
        let Some(role) = role else {
            return (NextWrite::Idle, Vec::new());
        };
        let current_version = cache.roles.get(&role.0).map(|cached| cached.version);
        let selection = UpdateSelection {
            cache,
            block,
            role,
            is_role_lost: current_version.is_some_and(|version| version > role.1),
            is_in_backoff: self.is_backing_off(block, now),
            now,
        };
        let mut hosts = cache.block(block);
        let (mut included, mut deferred, mut rejected) = (Vec::new(), Vec::new(), Vec::new());
        let mut changed_hosts = BTreeSet::new();
        for pending in pending {
            let update = &pending.update;
            match selection.decide_update(update, &changed_hosts) {
                Decision::Include => {
                    apply_update(&mut hosts, update);
                    changed_hosts.insert(update.host.clone());
                    included.push(pending);
                }
                Decision::Defer => deferred.push(pending),
                Decision::Reject(outcome) => rejected.push(RejectedUpdate {
                    update: pending,
                    outcome,
                }),
            }
        }
        let has_deferred = !deferred.is_empty();
        if has_deferred {
            self.pending.insert(block, deferred);
        }
        let exists = cache.blocks.contains_key(&block);
        let next = if !included.is_empty() || (is_split_requested && exists) {
            NextWrite::Write(self.prepare_write(cache, limits, block, role, hosts, included))
        } else if has_deferred {
            NextWrite::Deferred
        } else {
            NextWrite::Idle
        };
        (next, rejected)
    }

    /// Prepares the write of a block with the given hosts, split into several blocks if they don't fit.
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
            "prepared write of a host block"
        );
        let must_split = bytes > limits.value_bytes && limits.is_split_supported;
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
            // Not with background priority: a block that keeps growing soon can't be written at all.
            write.priority = priority.min(WritePriority::Finish);
            self.add_split_changes(&mut write, cache, limits, block, hosts);
        } else {
            write.changes.push(put(block_key(block), &hosts));
        }
        write
    }

    /// Splits a block and adds the parts to its write: the first under the block's own key, the others in
    /// new blocks.
    fn add_split_changes(
        &mut self,
        write: &mut PreparedWrite,
        cache: &WatchCache,
        limits: &BlockLimits,
        block: u32,
        hosts: HostBlock,
    ) {
        let capacity_bytes = limits.value_bytes.saturating_sub(BLOCK_OVERHEAD);
        let mut parts = split_block(hosts, capacity_bytes, limits.txn_ops).into_iter();
        let first_part = parts.next().unwrap_or_default();
        write.changes.push(put(block_key(block), &first_part));
        let mut new_block = block;
        for part in parts {
            new_block += limits.partitions;
            while self.is_block_number_used(cache, new_block) {
                new_block += limits.partitions;
            }
            self.reserved_blocks.insert(new_block);
            write.new_blocks.push(new_block);
            write.guards.push(guard(block_key(new_block), Revision(0)));
            write.changes.push(put(block_key(new_block), &part));
        }
    }

    /// Returns whether a block number is in use and can't be given to a new block.
    fn is_block_number_used(&self, cache: &WatchCache, block: u32) -> bool {
        cache.blocks.contains_key(&block)
            || self.reserved_blocks.contains(&block)
            || self.pending.contains_key(&block)
    }
}

/// Inserts, replaces or removes the record of the update's host in a block.
fn apply_update(block: &mut HostBlock, update: &HostUpdate) {
    let host = &update.host;
    match &update.new_record {
        Some(record) => block.hosts.insert(host.clone(), record.clone()),
        None => block.hosts.remove(host),
    };
}

#[cfg(test)]
mod tests;
