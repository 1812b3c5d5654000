//! What is remembered of results that are being written to the store.

use jasperhill_wire::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the rate limit on writes that partial results of unfinished jobs may use.
const PARTIAL_SHARE: f64 = 0.3;
/// A partial result waits at least so long, so that several tasks' results go together.
const PARTIAL_DELAY_MIN: Micros = Micros::from_millis(700);
/// A partial result waits at most so long, which bounds what workers have to keep.
const PARTIAL_DELAY_MAX: Micros = Micros::from_secs(10);
/// The lowest rate of writes that is reckoned with, per second: guards against division by zero.
const RATE_MIN: f64 = 0.1;
/// Jobs with partial results that are remembered before those that are overdue are removed.
const PARTIAL_MAX: usize = 4_000;
/// Results being written at a time.
const SAVING_MAX: usize = 100;

/// What is remembered of results that are being written to the store.
#[derive(Default)]
pub(crate) struct ResultState {
    /// Jobs whose results are being written.
    pub saving: BTreeSet<JobId>,
    /// Jobs whose records are being cancelled because a job that they depend on is.
    pub cancelling: BTreeSet<JobId>,
    /// When the partial results of unfinished jobs are to be written.
    partial_due: BTreeMap<JobId, Micros>,
}

impl ResultState {
    /// Removes overdue entries of jobs whose partitions have moved to other controllers.
    pub fn prune(&mut self, now: Micros) {
        if self.partial_due.len() > PARTIAL_MAX {
            self.partial_due.retain(|_, due_at| now < *due_at);
        }
    }

    /// Whether the write of a job's result may begin now, as far as the number of writes goes. `needed`:
    /// other jobs wait for this one, so that its result goes ahead.
    pub fn may_start_saving(&self, job: &JobId, needed: bool) -> bool {
        !self.saving.contains(job) && (self.saving.len() <= SAVING_MAX || needed)
    }

    /// Whether the partial result of an unfinished job is due. The more jobs have partial results, the
    /// more seldom each is written: together they use no more than a part of the limit. `write_rate`:
    /// writes per second that this controller may make.
    pub fn is_partial_due(&mut self, job: &JobId, write_rate: f64, now: Micros) -> bool {
        let rate = (write_rate * PARTIAL_SHARE).max(RATE_MIN);
        let delay = Micros::from_secs_f64(self.partial_due.len() as f64 / rate)
            .clamp(PARTIAL_DELAY_MIN, PARTIAL_DELAY_MAX);
        let due_at = *self.partial_due.entry(job.clone()).or_insert(now + delay);
        now >= due_at
    }

    /// Notes that a job's result is being written; a partial one no longer waits.
    pub fn start_saving(&mut self, job: JobId) {
        self.partial_due.remove(&job);
        self.saving.insert(job);
    }
}

#[cfg(test)]
mod tests;
