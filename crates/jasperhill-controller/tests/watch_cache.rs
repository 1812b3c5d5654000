//! The watch cache: host records, which are stored in blocks and versioned per host, and the
//! cancellation of jobs whose dependencies were cancelled.

use jasperhill_controller::watch_cache::{Change, Input, OwnChange, WatchCache};
use jasperhill_wire::{
    HostId, JobId, Revision,
    record::{HostAssignment, HostBlock, HostRecord, RecordPhase, block_key},
    store::{KeyValue, WatchEvent},
};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn host_record(rewrites: u64) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        rewrites,
    }
}

/// Generates edits of hosts 0 to 5 as (host, whether to set a new record or remove it). Host `n` is
/// stored in block `n % 2`.
fn edits() -> impl Strategy<Value = Vec<(u32, bool)>> {
    proptest::collection::vec((0u32..6, any::<bool>()), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// The version of a host must be the revision of the host's own last change, even if other
    /// hosts in the same block change later. A listing must give the same records and no lower
    /// version.
    #[test]
    fn host_version_is_revision_of_its_own_last_change(edits in edits()) {
        let mut cache = WatchCache::default();
        cache.apply(Input::Listed { items: vec![], first: Revision(0), last: Revision(0) });
        let mut model: BTreeMap<HostId, (u32, u64, HostRecord)> = BTreeMap::new();
        let mut blocks: BTreeMap<u32, u64> = BTreeMap::new();
        let value = |model: &BTreeMap<HostId, (u32, u64, HostRecord)>, n: u32| {
            let hosts = model.iter().filter(|(_, (b, ..))| *b == n);
            let hosts = hosts.map(|(id, (_, _, r))| (id.clone(), r.clone())).collect();
            serde_json::to_value(HostBlock { hosts }).unwrap()
        };
        for (i, (n, is_set)) in edits.iter().enumerate() {
            let (revision, block) = (i as u64 + 1, n % 2);
            let id = HostId::new(&format!("n-{n}"));
            if *is_set {
                model.insert(id, (block, revision, host_record(revision)));
            } else {
                model.remove(&id);
            }
            blocks.insert(block, revision);
            cache.apply(Input::WatchEvents {
                after: Revision(revision - 1),
                revision: Revision(revision),
                events: vec![WatchEvent::Put {
                    key: block_key(block),
                    value: value(&model, block),
                    version: Revision(revision),
                }],
            });
        }
        let actual: Vec<_> = cache.hosts.iter().map(|(id, entry)| (id.clone(), entry.block, entry.version.0)).collect();
        let expected: Vec<_> = model.iter().map(|(id, (b, v, _))| (id.clone(), *b, *v)).collect();
        prop_assert_eq!(actual, expected);
        let mut listed_cache = WatchCache::default();
        let last = Revision(edits.len() as u64);
        let items = blocks.iter().map(|(n, v)| KeyValue {
            key: block_key(*n), value: value(&model, *n), version: Revision(*v), lease: None,
        }).collect();
        listed_cache.apply(Input::Listed { items, first: last, last });
        for (id, entry) in &cache.hosts {
            prop_assert_eq!(&listed_cache.hosts[id].value, &entry.value);
            prop_assert!(listed_cache.hosts[id].version >= entry.version);
        }
        prop_assert_eq!(listed_cache.hosts.len(), cache.hosts.len());
    }
}

/// Encodes a block that holds these hosts.
fn block_value(hosts: &[u32]) -> Value {
    let hosts = hosts
        .iter()
        .map(|n| (HostId::new(&format!("n-{n}")), host_record(0)));
    let hosts = hosts.collect();
    serde_json::to_value(HostBlock { hosts }).unwrap()
}

/// Builds an item of a listing.
fn listing_item(key: String, value: Value, version: u64) -> KeyValue {
    KeyValue {
        key,
        value,
        version: Revision(version),
        lease: None,
    }
}

/// Builds a put event of a watch.
fn put_event(key: String, value: Value, version: u64) -> WatchEvent {
    WatchEvent::Put {
        key,
        value,
        version: Revision(version),
    }
}

/// Returns a cache at revision 5 whose only block, number 0, holds hosts 1 to 3.
fn cache_with_three_hosts() -> WatchCache {
    let mut cache = WatchCache::default();
    cache.apply(Input::Listed {
        items: vec![listing_item(block_key(0), block_value(&[1, 2, 3]), 5)],
        first: Revision(5),
        last: Revision(5),
    });
    cache
}

/// Returns the block of each host.
fn host_blocks(cache: &WatchCache) -> Vec<(&str, u32)> {
    let hosts = cache.hosts.iter();
    hosts
        .map(|(id, entry)| (id.as_str(), entry.block))
        .collect()
}

/// Returns whether a host was reported as removed. The host's owner would then start its tasks on
/// other hosts.
fn reports_removed_host(cache: &WatchCache, changes: &[Change]) -> bool {
    changes
        .iter()
        .any(|change| matches!(change, Change::Host(id) if !cache.hosts.contains_key(id)))
}

/// A model of how the previous version handles blocks: a host that its block no longer names is
/// removed immediately. That version acts on removals after a whole watch response, but also after
/// each single change of its own writes and after each listing.
#[derive(Default)]
struct PreviousVersionCache(BTreeMap<u32, Vec<u32>>);

impl PreviousVersionCache {
    fn put(&mut self, n: u32, hosts: &[u32]) {
        self.0
            .values_mut()
            .for_each(|block| block.retain(|host| !hosts.contains(host)));
        self.0.insert(n, hosts.to_vec());
    }
    fn contains(&self, host: u32) -> bool {
        self.0.values().any(|block| block.contains(&host))
    }
}

/// Shows why blocks must not be split until all members run the current version. The previous
/// version loses no host to a move that it sees in a watch response, in either order. It would lose
/// hosts to a move of its own, since the host is missing between the two changes, and to a listing
/// that misses the move.
#[test]
fn previous_version_loses_hosts_in_own_moves_and_listings() {
    let cache_with_one_block = || {
        let mut cache = PreviousVersionCache::default();
        cache.put(0, &[1, 2, 3]);
        cache
    };
    for is_reversed in [false, true] {
        let mut changes: Vec<(u32, &[u32])> = vec![(0, &[1]), (3, &[2, 3])];
        if is_reversed {
            changes.reverse();
        }
        let (mut watch, mut is_present) = (cache_with_one_block(), Vec::new());
        for (n, hosts) in &changes {
            watch.put(*n, hosts);
            is_present.push(watch.contains(2));
        }
        // The host is present after both changes. Between them it is missing in one of the two orders.
        assert!(watch.contains(2));
        assert_eq!(is_present[0], is_reversed);
    }
    let mut listing = cache_with_one_block();
    listing.put(0, &[1]);
    assert!(
        !listing.contains(2),
        "the page with its new block was read before the move"
    );
}

/// A move between blocks arrives as two changes in either order, from the watch or from this
/// controller's own write. The moved hosts must never be reported as removed, and must be in their
/// new block afterwards.
#[test]
fn host_is_not_removed_while_moving_between_blocks() {
    let block_changes = || {
        [
            (block_key(0), block_value(&[1])),
            (block_key(3), block_value(&[2, 3])),
        ]
    };
    for is_reversed in [false, true] {
        let ordered = |mut changes: [(String, Value); 2]| {
            if is_reversed {
                changes.reverse();
            }
            changes
        };
        let mut cache = cache_with_three_hosts();
        let changes = cache.apply(Input::WatchEvents {
            after: Revision(5),
            revision: Revision(6),
            events: ordered(block_changes())
                .map(|(key, value)| put_event(key, value, 6))
                .to_vec(),
        });
        assert!(!reports_removed_host(&cache, &changes));
        assert_eq!(host_blocks(&cache), [("n-1", 0), ("n-2", 3), ("n-3", 3)]);
        let mut own_write_cache = cache_with_three_hosts();
        let changes = own_write_cache.apply(Input::OwnWrite {
            changes: Vec::from(ordered(block_changes()).map(|(key, value)| OwnChange {
                key,
                record: Some(value),
            })),
            version: Revision(6),
        });
        assert!(!reports_removed_host(&own_write_cache, &changes));
        assert_eq!(host_blocks(&own_write_cache), host_blocks(&cache));
        assert_eq!(own_write_cache.block(0).hosts.len(), 1);
    }
}

/// The pages of a listing may show one block from before a move and the other block from after it.
/// A host on neither page must not be reported as removed, and a host on both pages must be in only
/// one block.
#[test]
fn listing_that_misses_move_removes_no_host() {
    for (pages, versions) in [
        // First the new block read before the move and the old block after it, then the reverse.
        ([block_value(&[1]), block_value(&[])], [6, 4]),
        ([block_value(&[1, 2, 3]), block_value(&[2, 3])], [5, 6]),
    ] {
        let [old, new] = pages;
        let mut cache = cache_with_three_hosts();
        let mut items = vec![listing_item(block_key(0), old, versions[0])];
        if versions[1] > 4 {
            items.push(listing_item(block_key(3), new, versions[1]));
        }
        let changes = cache.apply(Input::Listed {
            items,
            first: Revision(5),
            last: Revision(6),
        });
        assert!(!reports_removed_host(&cache, &changes) && cache.hosts.len() == 3);
        // A host that is between two blocks must not be written into either.
        assert!(cache.block(0).hosts.len() + cache.block(3).hosts.len() <= 3);
        let changes = cache.apply(Input::WatchEvents {
            after: Revision(5),
            revision: Revision(6),
            events: vec![
                put_event(block_key(0), block_value(&[1]), 6),
                put_event(block_key(3), block_value(&[2, 3]), 6),
            ],
        });
        assert!(!reports_removed_host(&cache, &changes));
        assert_eq!(host_blocks(&cache), [("n-1", 0), ("n-2", 3), ("n-3", 3)]);
    }
    // A host that was really deleted is reported as removed once the cache is complete.
    let mut cache = cache_with_three_hosts();
    cache.apply(Input::Listed {
        items: vec![listing_item(block_key(0), block_value(&[1, 2]), 6)],
        first: Revision(5),
        last: Revision(6),
    });
    assert_eq!(cache.hosts.len(), 3);
    let changes = cache.apply(Input::WatchEvents {
        after: Revision(5),
        revision: Revision(6),
        events: vec![put_event(block_key(0), block_value(&[1, 2]), 6)],
    });
    assert!(reports_removed_host(&cache, &changes) && cache.hosts.len() == 2);
}

/// Builds the put event of an unfinished job's record.
fn job_event(id: &str, waits_on: &[&str], version: u64) -> WatchEvent {
    let value = json!({"p":"a","n":0,"t":1_700_000_000_000_000u64,"r":{"u":id,"c":"c","t":"red",
        "k":"array","p":"idle","n":1,"r":{"cpus":1,"gpus":0,"memory":1},"i":"i","g":1.0,"y":null,
        "z":null,"o":false,"s":false,"l":true,"e":5_000_000,"ce":0,"sv":0,"d":null,"w":waits_on}});
    put_event(format!("jh/job/{id}"), value, version)
}

/// The cancellation of a job must make the jobs that depend on it final before any controller has
/// written their records, and their final phase must not change with later writes.
#[test]
fn dependents_of_cancelled_job_are_cancelled_without_writes() {
    let mut cache = WatchCache::default();
    cache.apply(Input::Listed {
        items: vec![],
        first: Revision(0),
        last: Revision(0),
    });
    let final_record = |phase: &str| json!({"p":phase,"n":1});
    let mut apply = |revision: u64, event: WatchEvent| {
        cache.apply(Input::WatchEvents {
            after: Revision(revision - 1),
            revision: Revision(revision),
            events: vec![event],
        });
        let phase = |id: &str| cache.final_phase(&JobId::new(id)).map(|(p, _)| p);
        [phase("job-1"), phase("job-2"), phase("job-3")]
    };
    let cancelled = Some(RecordPhase::Cancelled);
    // The record of the last job in the chain arrives first.
    assert_eq!(apply(1, job_event("job-3", &["job-2"], 1)), [None; 3]);
    assert_eq!(apply(2, job_event("job-1", &[], 2)), [None; 3]);
    let event = put_event("jh/job/job-1".to_owned(), final_record("c"), 3);
    assert_eq!(apply(3, event), [cancelled, None, None]);
    assert_eq!(apply(4, job_event("job-2", &["job-1"], 4)), [cancelled; 3]);
    // A controller that did not know of the cancellation writes the job as done.
    let event = put_event("jh/job/job-2".to_owned(), final_record("d"), 5);
    assert_eq!(apply(5, event), [cancelled; 3]);
    assert_eq!(cache.active_jobs().count(), 0);
}

/// Guards against a linearizable read that passes without its changes: a listing that began before
/// them is completed while their response is under way, and the cache ignores the response.
#[test]
fn ignored_response_does_not_count_as_contained() {
    let mut cache = WatchCache::default();
    assert!(
        !cache.contains_revision(Revision(0)),
        "nothing is listed yet"
    );
    let listed = |revision| Input::Listed {
        items: vec![],
        first: Revision(revision),
        last: Revision(revision),
    };
    let response = |after, revision| Input::WatchEvents {
        after: Revision(after),
        revision: Revision(revision),
        events: vec![],
    };
    cache.apply(listed(10));
    cache.apply(response(10, 12));
    assert!(cache.contains_revision(Revision(12)));
    // A read after revision 12 is under way when a listing of revision 11 is completed.
    cache.apply(listed(11));
    cache.apply(response(12, 14));
    assert!(cache.is_synced());
    assert!(!cache.contains_revision(Revision(14)));
    cache.apply(response(11, 14));
    assert!(cache.contains_revision(Revision(14)));
}
