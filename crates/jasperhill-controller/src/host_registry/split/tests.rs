//! A split block keeps every host, once.

use super::*;
use jasperhill_wire::record::HostAssignment;
use proptest::prelude::*;

fn block(hosts: usize) -> HostBlock {
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

fn bytes(block: &HostBlock) -> usize {
    serde_json::to_vec(block).unwrap().len()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Every host is in exactly one part, changed only in its count of changes; all parts fit
    /// if there are enough of them, and otherwise the first keeps what is left.
    #[test]
    fn a_split_block_loses_no_host(hosts in 0usize..160, kb in 2usize..6, parts_max in 1usize..16) {
        let whole = block(hosts);
        let capacity = kb * 1_024 - BLOCK_OVERHEAD;
        let parts = split_block(whole.clone(), capacity, parts_max);
        prop_assert!(parts.len() <= parts_max);
        let mut again = HostBlock::default();
        for (n, part) in parts.iter().enumerate() {
            for (id, record) in &part.hosts {
                let mut record = record.clone();
                record.rewrites -= u64::from(n > 0);
                prop_assert!(again.hosts.insert(id.clone(), record).is_none());
            }
            if parts.len() < parts_max || n > 0 {
                prop_assert!(bytes(part) <= kb * 1_024, "{} bytes", bytes(part));
            }
        }
        prop_assert_eq!(again, whole);
    }
}
