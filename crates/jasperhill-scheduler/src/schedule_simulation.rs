//! The forward run: a copy of a host's queue is played in deadline order, filling the host's
//! room, to see who would miss. The admission test of the paper's section 4.2, extended from
//! one task at a time to as many as fit.

use jasperhill_wire::{Micros, Resources, TaskId};

/// A task booked on a host, not started yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    pub task: TaskId,
    pub each: Resources,
    /// Deadline less factor times start delay.
    pub adjusted_deadline: Micros,
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
/// deadlines. `running` is in order of ends, the soonest last.
pub fn count_missed<'a>(
    now: Micros,
    mut room: Resources,
    running: &[Occupied],
    queue: impl IntoIterator<Item = &'a Reservation>,
) -> usize {
    let (mut at, mut missed) = (now, 0);
    // Of those that run, and of those that have been started in the play.
    let mut left = running.len();
    let mut started: Vec<Occupied> = Vec::new();
    for booking in queue {
        while !booking.each.fits(&room) {
            let next = match (left.checked_sub(1).map(|i| running[i]), started.last()) {
                (Some(r), Some(s)) if s.until < r.until => started.pop(),
                (Some(r), _) => {
                    left -= 1;
                    Some(r)
                }
                (None, _) => started.pop(),
            };
            match next {
                Some(next) if next.until < Micros::MAX => {
                    at = at.max(next.until);
                    room += next.each;
                }
                // Nothing ends any more, or what holds the room holds it for good: what does
                // not fit beside it never runs here.
                _ => return missed + 1,
            }
        }
        let until = at + booking.estimate;
        if until > booking.adjusted_deadline {
            missed += 1;
        }
        room -= booking.each;
        let place = started.partition_point(|o| o.until > until);
        let each = booking.each;
        started.insert(place, Occupied { until, each });
    }
    missed
}

/// The sum of estimate over time to deadline. Work whose time is up counts as dense as it gets.
pub fn density<'a>(now: Micros, queue: impl IntoIterator<Item = &'a Reservation>) -> f64 {
    queue
        .into_iter()
        .map(|b| b.estimate.as_secs_f64() / (b.adjusted_deadline - now).as_secs_f64().max(0.001))
        .sum()
}

/// Where a booking goes in a queue: by adjusted deadline, after its equals.
pub fn insert_position(queue: &[Reservation], booking: &Reservation) -> usize {
    queue.partition_point(|b| b.adjusted_deadline <= booking.adjusted_deadline)
}

pub fn insert_by_deadline(queue: &mut Vec<Reservation>, booking: Reservation) {
    let place = insert_position(queue, &booking);
    queue.insert(place, booking);
}

#[cfg(test)]
mod tests {
    use super::*;
    use jasperhill_wire::JobId;
    use proptest::prelude::*;

    fn booking(adjusted: u64, estimate: u64) -> Reservation {
        Reservation {
            task: TaskId::new(&JobId::new("job-1"), 0),
            each: Resources::from_units(1.0, 1.0, 1.0),
            adjusted_deadline: Micros::from_secs(adjusted),
            estimate: Micros::from_secs(estimate),
        }
    }

    #[test]
    fn two_at_a_time_meet_what_one_at_a_time_misses() {
        let queue = [booking(10, 10), booking(10, 10)];
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
            for (d, e) in &items { insert_by_deadline(&mut queue, booking(*d, *e)); }
            prop_assert!(queue.windows(2).all(|w| w[0].adjusted_deadline <= w[1].adjusted_deadline));
            let wide = Resources::from_units(1.0, 1.0, 1.0).times(items.len() as u64);
            let alone = items.iter().filter(|(d, e)| e > d).count();
            prop_assert_eq!(count_missed(Micros::ZERO, wide, &[], &queue), alone);
        }
    }
}
