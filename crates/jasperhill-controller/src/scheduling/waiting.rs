//! Logs what the jobs wait for that have nothing running.

use crate::shared::Shared;
use jasperhill_scheduler::partition::{WaitReason, WaitingJobs};
use jasperhill_wire::Name;
use std::cmp::Reverse;

/// Lines for one partition each time, at most: those with the jobs that have waited for the longest.
const LINES_MAX: usize = 8;

impl Shared {
    /// Logs for each partition held here which classes wait, for what, and the oldest job of each.
    pub(crate) fn log_waiting_jobs(&self) {
        let now = self.now();
        let state = self.state.borrow();
        for (number, partition) in &state.scheduling.partitions {
            let waiting = partition.waiting_jobs(now).into_iter();
            let mut waiting: Vec<((Name, WaitReason), WaitingJobs)> = waiting.collect();
            waiting.sort_by_key(|(_, waiting)| Reverse(waiting.longest));
            for ((class, reason), waiting) in waiting.iter().take(LINES_MAX) {
                tracing::info!(
                    partition = number,
                    %class,
                    ?reason,
                    jobs = waiting.jobs,
                    oldest = %waiting.oldest,
                    tasks = waiting.tasks,
                    longest_s = waiting.longest.as_secs_f64(),
                    "jobs that wait"
                );
            }
        }
    }
}
