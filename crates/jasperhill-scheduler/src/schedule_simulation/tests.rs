use super::*;
use jasperhill_wire::JobId;
use proptest::prelude::*;

fn reservation(adjusted: u64, estimate: u64) -> Reservation {
    Reservation {
        task: TaskId::new(&JobId::new("job-1"), 0),
        resources: Resources::from_units(1.0, 1.0, 1.0),
        adjusted_deadline: Micros::from_secs(adjusted),
        estimate: Micros::from_secs(estimate),
    }
}

#[test]
fn concurrent_tasks_meet_deadlines_that_sequential_tasks_miss() {
    let queue = [reservation(10, 10), reservation(10, 10)];
    let single_capacity = Resources::from_units(1.0, 1.0, 1.0);
    assert_eq!(count_missed(Micros::ZERO, single_capacity, &[], &queue), 1);
    assert_eq!(
        count_missed(Micros::ZERO, single_capacity.times(2), &[], &queue),
        0
    );
}

#[test]
fn misses_when_capacity_is_held_forever() {
    let occupied = Occupied {
        until: Micros::MAX,
        resources: Resources::from_units(1.0, 1.0, 1.0),
    };
    assert_eq!(
        count_missed(
            Micros::ZERO,
            Resources::default(),
            &[occupied],
            &[reservation(1000, 1)]
        ),
        1
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn queue_stays_sorted_and_only_overlong_tasks_miss_without_contention(
        items in proptest::collection::vec((1u64..300, 1u64..60), 1..30)
    ) {
        let mut queue = Vec::new();
        for (deadline, estimate) in &items { insert_by_deadline(&mut queue, reservation(*deadline, *estimate)); }
        prop_assert!(queue.windows(2).all(|w| w[0].adjusted_deadline <= w[1].adjusted_deadline));
        let capacity_for_all = Resources::from_units(1.0, 1.0, 1.0).times(items.len() as u64);
        let overlong = items.iter().filter(|(deadline, estimate)| estimate > deadline).count();
        prop_assert_eq!(count_missed(Micros::ZERO, capacity_for_all, &[], &queue), overlong);
    }
}
