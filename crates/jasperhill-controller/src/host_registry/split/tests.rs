//! Property test of block splitting: no host is lost or duplicated.

use super::*;
use jasperhill_wire::record::HostAssignment;
use proptest::prelude::*;

fn block_with_hosts(hosts: usize) -> HostBlock {
    let host = |n: usize| {
        let record = HostRecord {
            assignment: HostAssignment::Partition(1),
            address: format!("10.1.{}.{}:9000", n / 200, n % 200),
            machine_type: "box".into(),
            zone: "somewhere".into(),
            spot: n.is_multiple_of(2),
            rewrites: n as u64,
        };
        (HostId::new(&format!("n-{n:06}")), record)
    };
    HostBlock {
        hosts: (0..hosts).map(host).collect(),
    }
}

fn encoded_bytes(block: &HostBlock) -> usize {
    serde_json::to_vec(block).unwrap().len()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against hosts that are lost, duplicated or altered by a split. Every host is in exactly
    /// one part, and only its count of rewrites may differ. All parts fit the capacity, except that
    /// the first holds the remaining hosts once the number of parts is exhausted.
    #[test]
    fn split_keeps_every_host_exactly_once(hosts in 0usize..160, kb in 2usize..6, parts_max in 1usize..16) {
        let whole = block_with_hosts(hosts);
        let capacity = kb * 1_024 - BLOCK_OVERHEAD;
        let parts = split_block(whole.clone(), capacity, parts_max);
        prop_assert!(parts.len() <= parts_max);
        let mut merged = HostBlock::default();
        for (n, part) in parts.iter().enumerate() {
            for (id, record) in &part.hosts {
                let mut record = record.clone();
                record.rewrites -= u64::from(n > 0);
                prop_assert!(merged.hosts.insert(id.clone(), record).is_none());
            }
            if parts.len() < parts_max || n > 0 {
                prop_assert!(encoded_bytes(part) <= kb * 1_024, "{} bytes", encoded_bytes(part));
            }
        }
        prop_assert_eq!(merged, whole);
    }
}
