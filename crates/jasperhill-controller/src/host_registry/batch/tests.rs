//! Updates of a block are written together as far as they can be, and the others are told why not.

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

/// A cache with so many hosts in the block, all of revision 5.
fn cache(hosts: usize) -> WatchCache {
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
        may_split: true,
    }
}

/// Queues an update of a host and returns where its outcome comes.
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

fn hosts_of(write: &PreparedWrite) -> Vec<HostId> {
    let updates = write.updates.iter();
    updates.map(|pending| pending.update.host.clone()).collect()
}

/// Guards against updates that are written over a newer record, after their deadline, or under the role of
/// others.
#[test]
fn only_updates_that_fit_together_are_written() {
    let (cache, limits) = (cache(5), limits(60_000));
    let mut registry = HostRegistry::default();
    let _first = enqueue(&mut registry, 0, |_| {});
    let _second = enqueue(&mut registry, 1, |_| {});
    let _same_host = enqueue(&mut registry, 1, |_| {});
    let _other_role = enqueue(&mut registry, 2, |update| update.role.0 = Role::Leader);
    let mut outdated = enqueue(&mut registry, 3, |update| {
        update.expected_version = Some(Revision(4));
    });
    let mut expired = enqueue(&mut registry, 4, |update| update.deadline = NOW);
    let (next, rejected) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    let NextWrite::Write(write) = next else {
        panic!("nothing to write")
    };
    assert_eq!(hosts_of(&write), [host(0), host(1)]);
    assert_eq!(write.changes.len(), 1);
    assert_eq!(write.guards.len(), 2);
    assert_eq!(rejected.len(), 2);
    rejected.into_iter().for_each(RejectedUpdate::complete);
    assert_eq!(outdated.try_recv().ok(), Some(WriteOutcome::Conflict));
    assert_eq!(expired.try_recv().ok(), Some(WriteOutcome::NotExecuted));
    // The second update of the host goes next, and then that of the other role.
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Write(write) if hosts_of(&write) == [host(1)]));
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Write(write) if hosts_of(&write) == [host(2)]));
    let (next, _) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Idle));
}

/// Guards against a block that is written again and again although the store does not take it.
#[test]
fn a_refused_block_is_left_alone() {
    let (cache, limits) = (cache(1), limits(60_000));
    let mut registry = HostRegistry::default();
    registry.back_off(BLOCK, NOW);
    let mut outcome = enqueue(&mut registry, 0, |_| {});
    let (next, rejected) = registry.next_write(&cache, None, &limits, BLOCK, NOW);
    assert!(matches!(next, NextWrite::Idle));
    rejected.into_iter().for_each(RejectedUpdate::complete);
    assert_eq!(outcome.try_recv().ok(), Some(WriteOutcome::NotExecuted));
}

/// Guards against a host that is in two blocks, or in none, after a split.
#[test]
fn a_block_that_is_too_large_is_split_into_new_blocks() {
    let (cache, limits) = (cache(40), limits(2_048));
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
    assert!(new_blocks.eq(registry.reserved.iter().copied()));
    registry.release_reserved(&write.new_blocks);
    assert!(registry.reserved.is_empty());
}
