use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn from_runs_restores_to_runs(len in 1u32..500, tasks in proptest::collection::vec(0u32..500, 0..200)) {
        let mut set = TaskSet::new(len);
        for task in tasks { set.insert(task); }
        prop_assert_eq!(&TaskSet::from_runs(len, &set.to_runs(usize::MAX)), &set);
        // A truncated record contains no task that is not in the set.
        let truncated = TaskSet::from_runs(len, &set.to_runs(6));
        prop_assert!((0..len).all(|i| !truncated.contains(i) || set.contains(i)));
    }

    #[test]
    fn accepts_arbitrary_runs(len in 1u32..300, runs in proptest::collection::vec(any::<u32>(), 0..20)) {
        let set = TaskSet::from_runs(len, &runs);
        prop_assert_eq!(set.count(), (0..len).filter(|i| set.contains(*i)).count() as u32);
    }
}
