//! The forward run: a copy of a host's queue is played in deadline order, filling the host's
//! room, to see who would miss. The admission test of the paper's section 4.2, extended from
//! one task at a time to as many as fit.

use jasperhill_wire::{Micros, Resources, TaskId};

/// A task booked on a host, not started yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Booking {
    pub task: TaskId,
    pub each: Resources,
    /// Deadline less factor times start delay.
    pub adjusted: Micros,
    pub estimate: Micros,
}

/// A task that holds room until about `until`.
#[derive(Clone, Copy, Debug)]
pub struct Occupied {
    pub until: Micros,
    pub each: Resources,
}

/// What is left of a task's run time. One that outlives its estimate gets a revised
/// remainder, so that those behind it are not promised the impossible.
pub fn remaining(estimate: Micros, elapsed: Micros) -> Micros {
    let least = elapsed.scale(0.15).max(Micros::from_secs(2));
    (estimate - elapsed).max(least)
}

/// Plays the queue from `now` and counts the tasks that would end after their adjusted
/// deadlines.
pub fn misses(now: Micros, mut room: Resources, running: &[Occupied], queue: &[Booking]) -> usize {
    let mut ends: Vec<Occupied> = running.to_vec();
    ends.sort_by_key(|o| std::cmp::Reverse(o.until));
    let (mut at, mut missed) = (now, 0);
    for booking in queue {
        while !booking.each.fits(&room) {
            let Some(next) = ends.pop() else {
                return missed + 1;
            };
            if next.until == Micros::MAX {
                // Held for good: what does not fit beside it never runs here.
                return missed + 1;
            }
            at = at.max(next.until);
            room += next.each;
        }
        let until = at + booking.estimate;
        if until > booking.adjusted {
            missed += 1;
        }
        room -= booking.each;
        let place = ends.partition_point(|o| o.until > until);
        ends.insert(
            place,
            Occupied {
                until,
                each: booking.each,
            },
        );
    }
    missed
}

/// The sum of estimate over time to deadline. Work whose time is up counts as dense as it gets.
pub fn density(now: Micros, queue: &[Booking]) -> f64 {
    queue
        .iter()
        .map(|b| b.estimate.as_secs_f64() / (b.adjusted - now).as_secs_f64().max(0.001))
        .sum()
}

/// Where a booking goes in a queue: by adjusted deadline, after its equals.
pub fn insert(queue: &mut Vec<Booking>, booking: Booking) {
    let place = queue.partition_point(|b| b.adjusted <= booking.adjusted);
    queue.insert(place, booking);
}

#[cfg(test)]
mod tests {
    use super::*;
    use jasperhill_wire::JobId;
    use proptest::prelude::*;

    fn booking(adjusted: u64, estimate: u64) -> Booking {
        Booking {
            task: TaskId::new(&JobId::new("job-1"), 0),
            each: Resources::from_units(1.0, 1.0, 1.0),
            adjusted: Micros::from_secs(adjusted),
            estimate: Micros::from_secs(estimate),
        }
    }

    #[test]
    fn two_at_a_time_meet_what_one_at_a_time_misses() {
        let queue = [booking(10, 10), booking(10, 10)];
        let one = Resources::from_units(1.0, 1.0, 1.0);
        assert_eq!(misses(Micros::ZERO, one, &[], &queue), 1);
        assert_eq!(misses(Micros::ZERO, one.times(2), &[], &queue), 0);
    }

    #[test]
    fn what_never_ends_is_never_waited_for() {
        let held = Occupied {
            until: Micros::MAX,
            each: Resources::from_units(1.0, 1.0, 1.0),
        };
        assert_eq!(
            misses(
                Micros::ZERO,
                Resources::default(),
                &[held],
                &[booking(1000, 1)]
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
            for (d, e) in &items { insert(&mut queue, booking(*d, *e)); }
            prop_assert!(queue.windows(2).all(|w| w[0].adjusted <= w[1].adjusted));
            let wide = Resources::from_units(1.0, 1.0, 1.0).times(items.len() as u64);
            let alone = items.iter().filter(|(d, e)| e > d).count();
            prop_assert_eq!(misses(Micros::ZERO, wide, &[], &queue), alone);
        }
    }
}
