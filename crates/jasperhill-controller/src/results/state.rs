//! State of the results that are being written to the store.

use jasperhill_wire::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the write rate limit that partial results of unfinished jobs may use.
const PARTIAL_RATE_FRACTION: f64 = 0.3;
/// Minimum delay of a partial result, so that the results of several tasks share a write.
const PARTIAL_DELAY_MIN: Micros = Micros::from_millis(700);
/// Maximum delay of a partial result. Bounds the number of results that workers have to keep.
const PARTIAL_DELAY_MAX: Micros = Micros::from_secs(10);
/// Lower bound, in writes per second, for the rate used in calculations. Prevents division by zero.
const WRITES_PER_SECOND_MIN: f64 = 0.1;
/// Number of tracked jobs with partial results above which overdue entries are removed.
const PARTIAL_DUE_TIMES_MAX: usize = 4_000;
/// Limit for the number of results being written at a time.
const CONCURRENT_SAVES_MAX: usize = 100;

/// State of the results that are being written to the store.
#[derive(Default)]
pub(crate) struct ResultState {
    /// Jobs whose results are being written.
    pub saving: BTreeSet<JobId>,
    /// Jobs whose cancellation is being written because a job they depend on was cancelled.
    pub cancelling: BTreeSet<JobId>,
    /// Steady-clock time from which the partial result of each unfinished job is due.
    partial_due_times: BTreeMap<JobId, Micros>,
}

impl ResultState {
    /// Removes overdue entries if there are too many. Such entries may belong to jobs whose
    /// partitions have moved to other controllers.
    pub fn prune(&mut self, now: Micros) {
        if self.partial_due_times.len() > PARTIAL_DUE_TIMES_MAX {
            self.partial_due_times.retain(|_, due_at| now < *due_at);
        }
    }

    /// Returns whether the write of a job's result may start now, given the number of writes in
    /// progress. A job on which other jobs depend (`has_dependents`) is not subject to the limit,
    /// so that its result is written ahead of others.
    pub fn may_start_saving(&self, job: &JobId, has_dependents: bool) -> bool {
        !self.saving.contains(job) && (self.saving.len() <= CONCURRENT_SAVES_MAX || has_dependents)
    }

    /// Returns whether the partial result of an unfinished job is due. The delay grows with the
    /// number of jobs that have partial results, so that all of them together stay within
    /// [`PARTIAL_RATE_FRACTION`] of the write rate. `write_rate` is the rate available to this
    /// controller, in writes per second.
    pub fn is_partial_due(&mut self, job: &JobId, write_rate: f64, now: Micros) -> bool {
        let rate = (write_rate * PARTIAL_RATE_FRACTION).max(WRITES_PER_SECOND_MIN);
        let delay = Micros::from_secs_f64(self.partial_due_times.len() as f64 / rate)
            .clamp(PARTIAL_DELAY_MIN, PARTIAL_DELAY_MAX);
        let due_at = *self
            .partial_due_times
            .entry(job.clone())
            .or_insert(now + delay);
        now >= due_at
    }

    /// Marks the result of a job as being written, and clears the due time of its partial result.
    pub fn start_saving(&mut self, job: JobId) {
        self.partial_due_times.remove(&job);
        self.saving.insert(job);
    }
}

#[cfg(test)]
mod tests;
