//! Logs the jobs that have no running tasks, by the reason why they wait.

use crate::shared::Shared;
use jasperhill_scheduler::partition::{WaitReason, WaitingJobs};
use jasperhill_wire::Name;
use std::cmp::Reverse;

/// Maximum number of lines that are logged for one partition at a time. The lines with the longest
/// waiting times are logged.
const LOG_LINES_PER_PARTITION_MAX: usize = 8;

impl Shared {
    /// Logs for each owned partition the waiting jobs by class and reason, with the oldest job of each.
    pub(crate) fn log_waiting_jobs(&self) {
        let now = self.now();
        let state = self.state.borrow();
        for (partition_id, partition) in &state.scheduling.partitions {
            let waiting = partition.waiting_jobs(now).into_iter();
            let mut waiting: Vec<((Name, WaitReason), WaitingJobs)> = waiting.collect();
            waiting.sort_by_key(|(_, waiting)| Reverse(waiting.longest_wait));
            for ((class, reason), waiting) in waiting.iter().take(LOG_LINES_PER_PARTITION_MAX) {
                tracing::info!(
                    partition = partition_id,
                    %class,
                    ?reason,
                    jobs = waiting.jobs,
                    oldest = %waiting.oldest,
                    tasks = waiting.oldest_task_count,
                    longest_s = waiting.longest_wait.as_secs_f64(),
                    "jobs that wait"
                );
            }
        }
    }
}
