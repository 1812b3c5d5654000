//! Tests of the selection of updates for a block write, of rejected updates and of splits.

use super::*;
use crate::watch_cache::Input;
use jasperhill_wire::{
    record::{HostAssignment, HostRecord},
    store::WatchEvent,
};
use tokio::sync::oneshot::{self, Receiver};

const BLOCK: u32 = 1;
const NOW: Micros = Micros::from_secs(100);
const ROLE: (Role, Revision) = (Role::Partition(1), Revision(3));

fn host(n: usize) -> HostId {
    HostId::new(&format!("n-{n:06}"))
}

fn record(n: usize) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(1),
        address: format!("10.1.0.{n}:9000"),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        rewrites: 0,
    }
}

/// Returns a cache in which the block has `hosts` hosts, all of revision 5.
fn cache_with_hosts(hosts: usize) -> WatchCache {
    let block = HostBlock {
        hosts: (0..hosts).map(|n| (host(n), record(n))).collect(),
    };
    let mut cache = WatchCache::default();
    cache.apply(Input::Listed {
        items: vec![],
        first: Revision(4),
        last: Revision(4),
    });
    cache.apply(Input::WatchEvents {
        after: Revision(4),
        revision: Revision(5),
        events: vec![WatchEvent::Put {
            key: block_key(BLOCK),
            value: serde_json::to_value(block).unwrap(),
            version: Revision(5),
        }],
    });
    cache
}

fn limits(value_bytes: usize) -> BlockLimits {
    BlockLimits {
        value_bytes,
        txn_ops: 16,
        partitions: 4,
        is_split_supported: true,
    }
}

/// Queues an update of host `n`, modified by `change`, and returns the receiver of its outcome.
fn enqueue(
    registry: &mut HostRegistry,
    n: usize,
    change: impl FnOnce(&mut HostUpdate),
) -> Receiver<WriteOutcome> {
    let mut update = HostUpdate {
        priority: WritePriority::Finish,
        role: ROLE,
        host: host(n),
        expected_version: Some(Revision(5)),
        new_record: Some(record(n)),
        deadline: NOW + Micros::from_secs(3),
    };
    change(&mut update);
    let (reply, outcome) = oneshot::channel();
    assert!(registry.enqueue(BLOCK, PendingUpdate { update, reply }));
    outcome
}

fn updated_hosts(write: &PreparedWrite) -> Vec<HostId> {
    let updates = write.updates.iter();
    updates.map(|pending| pending.update.host.clone()).collect()
}

/// Guards against updates that overwrite a newer record, are written after their deadline, or are written
/// under another role than their own.
#[test]
fn defers_or_rejects_updates_that_cannot_share_a_write() {
    let (cache, limits) = (cache_with_hosts(5), limits(60_000));
    let mut registry = HostRegistry::default();
    let _first = enqueue(&mut registry, 0, |_| {});
    let _second = enqueue(&mut registry, 1, |_| {});
    let _same_host = enqueue(&mut registry, 1, |_| {});
    let _other_role = enqueue(&mut registry, 2, |update| update.role.0 = Role::Leader);
    let mut outdated_outcome = enqueue(&mut registry, 3, |update| {
        update.expected_version = Some(Revision(4));
    });
    let mut expired_outcome = enqueue(&mut registry, 4, |update| update.deadline = NOW);
    let (next, rejected) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    let NextWrite::Write(write) = next else {
        panic!("nothing to write")
    };
    assert_eq!(updated_hosts(&write), [host(0), host(1)]);
    assert_eq!(write.changes.len(), 1);
    assert_eq!(write.guards.len(), 2);
    assert_eq!(rejected.len(), 2);
    rejected.into_iter().for_each(RejectedUpdate::complete);
    assert_eq!(
        outdated_outcome.try_recv().ok(),
        Some(WriteOutcome::Conflict)
    );
    assert_eq!(
        expired_outcome.try_recv().ok(),
        Some(WriteOutcome::NotExecuted)
    );
    // The second update of host 1 is written next, then the update of the other role.
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Write(write) if updated_hosts(&write) == [host(1)]));
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Write(write) if updated_hosts(&write) == [host(2)]));
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Idle));
}

/// Guards against rewriting a block in a tight loop although the store refuses the write: updates are
/// rejected during the backoff.
#[test]
fn rejects_updates_during_backoff_after_refusal() {
    let (cache, limits) = (cache_with_hosts(1), limits(60_000));
    let mut registry = HostRegistry::default();
    registry.back_off(BLOCK, NOW);
    let mut outcome = enqueue(&mut registry, 0, |_| {});
    let (next, rejected) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Idle));
    rejected.into_iter().for_each(RejectedUpdate::complete);
    assert_eq!(outcome.try_recv().ok(), Some(WriteOutcome::NotExecuted));
}

/// Guards against a host that is in two blocks, or in none, after a split: new blocks get unused numbers of
/// the same partition, and the transaction requires that they don't exist yet.
#[test]
fn splits_oversized_block_into_new_blocks() {
    let (cache, limits) = (cache_with_hosts(40), limits(2_048));
    let mut registry = HostRegistry::default();
    assert_eq!(
        registry.choose_splits(&cache, limits.value_bytes, NOW),
        [BLOCK]
    );
    let leadership = Some(Revision(3));
    let (next, _) = registry.next_write(&cache, leadership, &limits, BLOCK, NOW);
    let NextWrite::Write(write) = next else {
        panic!("nothing to write")
    };
    assert!(!write.new_blocks.is_empty());
    assert!(write.new_blocks.iter().all(|block| block % 4 == BLOCK));
    assert_eq!(write.changes.len(), write.new_blocks.len() + 1);
    assert_eq!(write.guards.len(), write.new_blocks.len() + 2);
    let new_blocks = write.new_blocks.iter().copied();
    assert!(new_blocks.eq(registry.reserved_blocks.iter().copied()));
    registry.release_reserved(&write.new_blocks);
    assert!(registry.reserved_blocks.is_empty());
}
