//! The mirror of the host records: blocks change as wholes, hosts one by one.

use jasperhill_control::mirror::{Input, Mirror};
use jasperhill_wire::{
    HostId, Revision,
    record::{HostBlock, HostRecord, HostUse, block_key},
    state::{Event, Item},
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn record(bump: u64) -> HostRecord {
    HostRecord {
        usage: HostUse::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        kind: "box".into(),
        zone: "a".into(),
        spot: false,
        bump,
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
        let mut mirror = Mirror::default();
        mirror.apply(Input::Listed { items: vec![], first: Revision(0), last: Revision(0) });
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
            mirror.apply(Input::News {
                after: Revision(revision - 1),
                revision: Revision(revision),
                events: vec![Event::Put {
                    key: block_key(block),
                    value: value(&model, block),
                    version: Revision(revision),
                }],
            });
        }
        let seen: Vec<_> = mirror.hosts.iter().map(|(id, k)| (id.clone(), k.block, k.version.0)).collect();
        let meant: Vec<_> = model.iter().map(|(id, (b, v, _))| (id.clone(), *b, *v)).collect();
        prop_assert_eq!(seen, meant);
        let mut listed = Mirror::default();
        let last = Revision(edits.len() as u64);
        let items = blocks.iter().map(|(n, v)| Item {
            key: block_key(*n), value: value(&model, *n), version: Revision(*v), lease: None,
        }).collect();
        listed.apply(Input::Listed { items, first: last, last });
        for (id, kept) in &mirror.hosts {
            prop_assert_eq!(&listed.hosts[id].value, &kept.value);
            prop_assert!(listed.hosts[id].version >= kept.version);
        }
        prop_assert_eq!(listed.hosts.len(), mirror.hosts.len());
    }
}
