//! The schedule simulation: a copy of a host's queue is played in deadline order, filling the host's
//! room, to see who would miss. The admission test of the paper's section 4.2, extended from
//! one task at a time to as many as fit.

use jasperhill_wire::{Micros, Resources, TaskId};

/// A task reserved on a host, not started yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Which task.
    pub task: TaskId,
    /// What it takes.
    pub each: Resources,
    /// Deadline less factor times start delay.
    pub adjusted_deadline: Micros,
    /// How long it is expected to run there.
    pub estimate: Micros,
}

/// A task that holds room until about `until`.
#[derive(Clone, Copy, Debug)]
pub struct Occupied {
    /// When it is expected to end; [`Micros::MAX`]: never.
    pub until: Micros,
    /// What it takes.
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
    for reservation in queue {
        while !reservation.each.fits(&room) {
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
        let until = at + reservation.estimate;
        if until > reservation.adjusted_deadline {
            missed += 1;
        }
        room -= reservation.each;
        let place = started.partition_point(|o| o.until > until);
        let each = reservation.each;
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

/// Where a reservation goes in a queue: by adjusted deadline, after its equals.
pub fn insert_position(queue: &[Reservation], reservation: &Reservation) -> usize {
    queue.partition_point(|b| b.adjusted_deadline <= reservation.adjusted_deadline)
}

/// Puts a reservation where [`insert_position`] says.
pub fn insert_by_deadline(queue: &mut Vec<Reservation>, reservation: Reservation) {
    let place = insert_position(queue, &reservation);
    queue.insert(place, reservation);
}

#[cfg(test)]
mod tests;
