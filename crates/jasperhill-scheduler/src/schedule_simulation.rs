//! Simulation of a host's schedule.
//!
//! [`count_missed`] runs a copy of a host's queue in deadline order on the host's capacity and
//! counts the tasks that would miss their deadlines. This is the admission test of the paper's
//! section 4.2, extended from one task at a time to as many as fit.

use jasperhill_wire::{Micros, Resources, TaskId};

/// Entry of a task in a host's queue, before the task starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Reserved task.
    pub task: TaskId,
    /// Resources of the task.
    pub resources: Resources,
    /// Deadline minus the uncertainty factor times the start delay.
    pub adjusted_deadline: Micros,
    /// Expected run time on this host.
    pub estimate: Micros,
}

/// Resources held by a task until its expected end.
#[derive(Clone, Copy, Debug)]
pub struct Occupied {
    /// Expected end; [`Micros::MAX`] for a task that never ends.
    pub until: Micros,
    /// Resources of the task.
    pub resources: Resources,
}

/// Returns the remaining run time of a task. A task near or past its estimate is given a minimum
/// remainder, so that start times that cannot be kept are not promised to the tasks queued behind
/// it.
pub fn remaining_run_time(estimate: Micros, elapsed: Micros) -> Micros {
    let least = elapsed.scale(0.15).max(Micros::from_secs(2));
    (estimate - elapsed).max(least)
}

/// Simulates the queue from `now` and returns the number of tasks that would end after their
/// adjusted deadlines. `free` is the free capacity. `running` is sorted by expected end, the
/// earliest last.
///
/// The simulation stops with one more miss at the first task that can never run.
pub fn count_missed<'a>(
    now: Micros,
    mut free: Resources,
    running: &[Occupied],
    queue: impl IntoIterator<Item = &'a Reservation>,
) -> usize {
    let (mut clock, mut missed) = (now, 0);
    // The first `running_count` entries of `running` are still running; `started` holds the tasks
    // started in the simulation, the earliest end last.
    let mut running_count = running.len();
    let mut started: Vec<Occupied> = Vec::new();
    for reservation in queue {
        while !reservation.resources.fits(&free) {
            let next = match (
                running_count.checked_sub(1).map(|i| running[i]),
                started.last(),
            ) {
                (Some(r), Some(s)) if s.until < r.until => started.pop(),
                (Some(r), _) => {
                    running_count -= 1;
                    Some(r)
                }
                (None, _) => started.pop(),
            };
            match next {
                Some(next) if next.until < Micros::MAX => {
                    clock = clock.max(next.until);
                    free += next.resources;
                }
                // No task ends any more, or the remaining ones never end: a reservation that does
                // not fit beside them never runs on this host.
                _ => return missed + 1,
            }
        }
        let until = clock + reservation.estimate;
        if until > reservation.adjusted_deadline {
            missed += 1;
        }
        free -= reservation.resources;
        let position = started.partition_point(|o| o.until > until);
        let resources = reservation.resources;
        started.insert(position, Occupied { until, resources });
    }
    missed
}

/// Returns the sum over the queue of estimate divided by time to the adjusted deadline. For a
/// deadline that has passed, the time is taken as 1 ms, which gives the highest density.
pub fn density<'a>(now: Micros, queue: impl IntoIterator<Item = &'a Reservation>) -> f64 {
    queue
        .into_iter()
        .map(|reservation| {
            reservation.estimate.as_secs_f64()
                / (reservation.adjusted_deadline - now)
                    .as_secs_f64()
                    .max(0.001)
        })
        .sum()
}

/// Returns the position of a reservation in a queue sorted by adjusted deadline, after reservations
/// with the same deadline.
pub fn insert_position(queue: &[Reservation], reservation: &Reservation) -> usize {
    queue.partition_point(|queued| queued.adjusted_deadline <= reservation.adjusted_deadline)
}

/// Inserts a reservation at [`insert_position`].
pub fn insert_by_deadline(queue: &mut Vec<Reservation>, reservation: Reservation) {
    let position = insert_position(queue, &reservation);
    queue.insert(position, reservation);
}

#[cfg(test)]
mod tests;
