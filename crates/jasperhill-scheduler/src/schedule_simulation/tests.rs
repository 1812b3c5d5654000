use super::*;
use jasperhill_wire::JobId;
use proptest::prelude::*;

fn reservation(adjusted: u64, estimate: u64) -> Reservation {
    Reservation {
        task: TaskId::new(&JobId::new("job-1"), 0),
        each: Resources::from_units(1.0, 1.0, 1.0),
        adjusted_deadline: Micros::from_secs(adjusted),
        estimate: Micros::from_secs(estimate),
    }
}

#[test]
fn two_at_a_time_meet_what_one_at_a_time_misses() {
    let queue = [reservation(10, 10), reservation(10, 10)];
    let one = Resources::from_units(1.0, 1.0, 1.0);
    assert_eq!(count_missed(Micros::ZERO, one, &[], &queue), 1);
    assert_eq!(count_missed(Micros::ZERO, one.times(2), &[], &queue), 0);
}

#[test]
fn what_never_ends_is_never_waited_for() {
    let held = Occupied {
        until: Micros::MAX,
        each: Resources::from_units(1.0, 1.0, 1.0),
    };
    assert_eq!(
        count_missed(
            Micros::ZERO,
            Resources::default(),
            &[held],
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
    fn queues_stay_in_deadline_order_and_alone_nobody_waits(
        items in proptest::collection::vec((1u64..300, 1u64..60), 1..30)
    ) {
        let mut queue = Vec::new();
        for (d, e) in &items { insert_by_deadline(&mut queue, reservation(*d, *e)); }
        prop_assert!(queue.windows(2).all(|w| w[0].adjusted_deadline <= w[1].adjusted_deadline));
        let wide = Resources::from_units(1.0, 1.0, 1.0).times(items.len() as u64);
        let alone = items.iter().filter(|(d, e)| e > d).count();
        prop_assert_eq!(count_missed(Micros::ZERO, wide, &[], &queue), alone);
    }
}
