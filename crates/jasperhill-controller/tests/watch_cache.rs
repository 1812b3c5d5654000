//! The watch cache of the host records: blocks change as wholes, hosts one by one.

use jasperhill_controller::watch_cache::{Change, Input, OwnChange, WatchCache};
use jasperhill_wire::{
    HostId, JobId, Revision,
    record::{HostAssignment, HostBlock, HostRecord, RecordPhase, block_key},
    store::{KeyValue, WatchEvent},
};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn record(bump: u64) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        rewrites: bump,
    }
}

/// Edits of hosts 0 to 5: set to a new record, or remove. Host `n` lives in block `n % 2`.
fn edits() -> impl Strategy<Value = Vec<(u32, bool)>> {
    proptest::collection::vec((0u32..6, any::<bool>()), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// A host's version is the revision of its own last change, whatever its neighbours do;
    /// a listing gives the same records and never a lower version.
    #[test]
    fn a_host_is_as_young_as_its_own_last_change(edits in edits()) {
        let mut cache = WatchCache::default();
        cache.apply(Input::Listed { items: vec![], first: Revision(0), last: Revision(0) });
        let mut model: BTreeMap<HostId, (u32, u64, HostRecord)> = BTreeMap::new();
        let mut blocks: BTreeMap<u32, u64> = BTreeMap::new();
        let value = |model: &BTreeMap<HostId, (u32, u64, HostRecord)>, n: u32| {
            let hosts = model.iter().filter(|(_, (b, ..))| *b == n);
            let hosts = hosts.map(|(id, (_, _, r))| (id.clone(), r.clone())).collect();
            serde_json::to_value(HostBlock { hosts }).unwrap()
        };
        for (i, (n, set)) in edits.iter().enumerate() {
            let (revision, block) = (i as u64 + 1, n % 2);
            let id = HostId::new(&format!("n-{n}"));
            if *set {
                model.insert(id, (block, revision, record(revision)));
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
        let seen: Vec<_> = cache.hosts.iter().map(|(id, k)| (id.clone(), k.block, k.version.0)).collect();
        let meant: Vec<_> = model.iter().map(|(id, (b, v, _))| (id.clone(), *b, *v)).collect();
        prop_assert_eq!(seen, meant);
        let mut listed = WatchCache::default();
        let last = Revision(edits.len() as u64);
        let items = blocks.iter().map(|(n, v)| KeyValue {
            key: block_key(*n), value: value(&model, *n), version: Revision(*v), lease: None,
        }).collect();
        listed.apply(Input::Listed { items, first: last, last });
        for (id, kept) in &cache.hosts {
            prop_assert_eq!(&listed.hosts[id].value, &kept.value);
            prop_assert!(listed.hosts[id].version >= kept.version);
        }
        prop_assert_eq!(listed.hosts.len(), cache.hosts.len());
    }
}

fn block(hosts: &[u32]) -> Value {
    let hosts = hosts
        .iter()
        .map(|n| (HostId::new(&format!("n-{n}")), record(0)));
    let hosts = hosts.collect();
    serde_json::to_value(HostBlock { hosts }).unwrap()
}

fn item(key: String, value: Value, version: u64) -> KeyValue {
    KeyValue {
        key,
        value,
        version: Revision(version),
        lease: None,
    }
}

fn put(key: String, value: Value, version: u64) -> WatchEvent {
    WatchEvent::Put {
        key,
        value,
        version: Revision(version),
    }
}

/// A cache of one block with three hosts, at revision 5.
fn three_in_one() -> WatchCache {
    let mut cache = WatchCache::default();
    cache.apply(Input::Listed {
        items: vec![item(block_key(0), block(&[1, 2, 3]), 5)],
        first: Revision(5),
        last: Revision(5),
    });
    cache
}

fn blocks(cache: &WatchCache) -> Vec<(&str, u32)> {
    let hosts = cache.hosts.iter();
    hosts.map(|(id, k)| (id.as_str(), k.block)).collect()
}

/// Whether a host was ever taken for gone: its owner would start its tasks elsewhere.
fn gone(cache: &WatchCache, changes: &[Change]) -> bool {
    changes
        .iter()
        .any(|c| matches!(c, Change::Host(id) if !cache.hosts.contains_key(id)))
}

/// What the version before makes of blocks, one after the other: a host that its block no longer
/// names is gone at once. Conclusions are drawn after a whole answer of a watch, but after each change
/// of an own write and each listing.
#[derive(Default)]
struct Before(BTreeMap<u32, Vec<u32>>);

impl Before {
    fn put(&mut self, n: u32, hosts: &[u32]) {
        self.0
            .values_mut()
            .for_each(|b| b.retain(|h| !hosts.contains(h)));
        self.0.insert(n, hosts.to_vec());
    }
    fn knows(&self, host: u32) -> bool {
        self.0.values().any(|b| b.contains(&host))
    }
}

/// Why no block is split before every member is new: the version before loses no host to a move that
/// a watch tells, in either order, but to its own it would, and to a listing that misses it.
#[test]
fn the_version_before_would_lose_hosts_to_moves_of_its_own_and_to_listings() {
    let start = || {
        let mut before = Before::default();
        before.put(0, &[1, 2, 3]);
        before
    };
    for turned in [false, true] {
        let mut halves: Vec<(u32, &[u32])> = vec![(0, &[1]), (3, &[2, 3])];
        if turned {
            halves.reverse();
        }
        let (mut watch, mut seen) = (start(), Vec::new());
        for (n, hosts) in &halves {
            watch.put(*n, hosts);
            seen.push(watch.knows(2));
        }
        // After the whole answer it is there; in between it was not, in one of the orders.
        assert!(watch.knows(2));
        assert_eq!(seen[0], turned);
    }
    let mut listing = start();
    listing.put(0, &[1]);
    assert!(
        !listing.knows(2),
        "the page with its new block was read before the move"
    );
}

/// The two halves of a move come in either order, from the watch and from the own write: the
/// hosts are never gone, and are in their new block afterwards.
#[test]
fn a_host_moves_between_blocks_without_being_gone() {
    let halves = || [(block_key(0), block(&[1])), (block_key(3), block(&[2, 3]))];
    for turned in [false, true] {
        let order = |mut h: [(String, Value); 2]| {
            if turned {
                h.reverse();
            }
            h
        };
        let mut cache = three_in_one();
        let changes = cache.apply(Input::WatchEvents {
            after: Revision(5),
            revision: Revision(6),
            events: order(halves()).map(|(k, v)| put(k, v, 6)).to_vec(),
        });
        assert!(!gone(&cache, &changes));
        assert_eq!(blocks(&cache), [("n-1", 0), ("n-2", 3), ("n-3", 3)]);
        let mut own = three_in_one();
        let changes = own.apply(Input::OwnWrite {
            changes: Vec::from(order(halves()).map(|(key, value)| OwnChange {
                key,
                record: Some(value),
            })),
            version: Revision(6),
        });
        assert!(!gone(&own, &changes));
        assert_eq!(blocks(&own), blocks(&cache));
        assert_eq!(own.block(0).hosts.len(), 1);
    }
}

/// A listing may show one block before a move and the other one after it: a host that stands on
/// neither page is not gone, and one that stands on both is in one block.
#[test]
fn a_listing_that_misses_a_move_loses_no_host() {
    for (pages, versions) in [
        // The new block was read before, the old one after the move, and the other way round.
        ([block(&[1]), block(&[])], [6, 4]),
        ([block(&[1, 2, 3]), block(&[2, 3])], [5, 6]),
    ] {
        let [old, new] = pages;
        let mut cache = three_in_one();
        let mut items = vec![item(block_key(0), old, versions[0])];
        if versions[1] > 4 {
            items.push(item(block_key(3), new, versions[1]));
        }
        let changes = cache.apply(Input::Listed {
            items,
            first: Revision(5),
            last: Revision(6),
        });
        assert!(!gone(&cache, &changes) && cache.hosts.len() == 3);
        // What is between two blocks is written into neither.
        assert!(cache.block(0).hosts.len() + cache.block(3).hosts.len() <= 3);
        let changes = cache.apply(Input::WatchEvents {
            after: Revision(5),
            revision: Revision(6),
            events: vec![
                put(block_key(0), block(&[1]), 6),
                put(block_key(3), block(&[2, 3]), 6),
            ],
        });
        assert!(!gone(&cache, &changes));
        assert_eq!(blocks(&cache), [("n-1", 0), ("n-2", 3), ("n-3", 3)]);
    }
    // One that really goes is gone once the cache is whole.
    let mut cache = three_in_one();
    cache.apply(Input::Listed {
        items: vec![item(block_key(0), block(&[1, 2]), 6)],
        first: Revision(5),
        last: Revision(6),
    });
    assert_eq!(cache.hosts.len(), 3);
    let changes = cache.apply(Input::WatchEvents {
        after: Revision(5),
        revision: Revision(6),
        events: vec![put(block_key(0), block(&[1, 2]), 6)],
    });
    assert!(gone(&cache, &changes) && cache.hosts.len() == 2);
}

fn job(id: &str, waits_on: &[&str], version: u64) -> WatchEvent {
    let value = json!({"p":"a","n":0,"t":1_700_000_000_000_000u64,"r":{"u":id,"c":"c","t":"red",
        "k":"array","p":"idle","n":1,"r":{"cpus":1,"gpus":0,"memory":1},"i":"i","g":1.0,"y":null,
        "z":null,"o":false,"s":false,"l":true,"e":5_000_000,"ce":0,"sv":0,"d":null,"w":waits_on}});
    put(format!("jh/job/{id}"), value, version)
}

/// What follows from a cancellation is told before anybody has written it, and what was told
/// stays so whatever is written afterwards.
#[test]
fn jobs_after_a_cancelled_one_are_cancelled_by_the_records_alone() {
    let mut cache = WatchCache::default();
    cache.apply(Input::Listed {
        items: vec![],
        first: Revision(0),
        last: Revision(0),
    });
    let over = |p: &str| json!({"p":p,"n":1});
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
    // The last one's record comes first.
    assert_eq!(apply(1, job("job-3", &["job-2"], 1)), [None; 3]);
    assert_eq!(apply(2, job("job-1", &[], 2)), [None; 3]);
    let event = put("jh/job/job-1".to_owned(), over("c"), 3);
    assert_eq!(apply(3, event), [cancelled, None, None]);
    assert_eq!(apply(4, job("job-2", &["job-1"], 4)), [cancelled; 3]);
    // A controller that knew nothing of it.
    let event = put("jh/job/job-2".to_owned(), over("d"), 5);
    assert_eq!(apply(5, event), [cancelled; 3]);
    assert_eq!(cache.active_jobs().count(), 0);
}
