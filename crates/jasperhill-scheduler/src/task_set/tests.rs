use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn runs_round_trip(len in 1u32..500, picks in proptest::collection::vec(0u32..500, 0..200)) {
        let mut set = TaskSet::new(len);
        for p in picks { set.insert(p); }
        prop_assert_eq!(&TaskSet::from_runs(len, &set.to_runs(usize::MAX)), &set);
        // A shortened record never claims a task that is not done.
        let cut = TaskSet::from_runs(len, &set.to_runs(6));
        prop_assert!((0..len).all(|i| !cut.contains(i) || set.contains(i)));
    }

    #[test]
    fn any_runs_are_read(len in 1u32..300, runs in proptest::collection::vec(any::<u32>(), 0..20)) {
        let set = TaskSet::from_runs(len, &runs);
        prop_assert_eq!(set.count(), (0..len).filter(|i| set.contains(*i)).count() as u32);
    }
}
