//! Cache of task counts received from other controllers, and the queue of requests for them.
//! Performs no I/O; only the parent module, which sends the requests, changes the cache.

use jasperhill_wire::{JobId, Member, Micros, mesh::TaskCounts};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[cfg(test)]
mod tests;

/// Time for which received counts may be served. Displayed counts may lag by at most three seconds.
const COUNTS_TTL: Micros = Micros::from_millis(2_000);
/// Maximum number of jobs in one request. Bounds the message size.
pub(super) const JOBS_PER_REQUEST_MAX: usize = 500;
/// Maximum number of cached task counts. Bounds memory use.
const COUNTS_MAX: usize = 8_000;

/// Task counts of a job as received from its owner.
struct ReceivedCounts {
    /// Received task counts.
    counts: TaskCounts,
    /// Steady-clock time at which the counts were received.
    received_at: Micros,
}

impl ReceivedCounts {
    /// Returns whether the counts are recent enough to be served.
    fn is_fresh(&self, now: Micros) -> bool {
        now - self.received_at < COUNTS_TTL
    }
}

/// Cache of task counts received from other controllers, with the pending requests for task counts.
#[derive(Default)]
pub(crate) struct TaskCountCache {
    /// Received task counts by job; at most [`COUNTS_MAX`] entries.
    counts_by_job: HashMap<JobId, ReceivedCounts>,
    /// Jobs to include in the next request to each owner.
    pending_jobs: BTreeMap<Member, BTreeSet<JobId>>,
    /// Owners with a running fetch task, for which no second fetch may be started.
    fetching_owners: BTreeSet<Member>,
}

impl TaskCountCache {
    /// Returns the counts of a job if they are recent enough.
    pub(super) fn get(&self, id: &JobId, now: Micros) -> Option<TaskCounts> {
        let entry = self.counts_by_job.get(id)?;
        entry.is_fresh(now).then_some(entry.counts)
    }

    /// Stores received counts. If the cache is full, drops entries that are too old; if it is still
    /// full, drops the new counts.
    pub(super) fn insert(&mut self, id: JobId, counts: TaskCounts, now: Micros) {
        if self.counts_by_job.len() >= COUNTS_MAX {
            self.counts_by_job.retain(|_, entry| entry.is_fresh(now));
        }
        if self.counts_by_job.len() < COUNTS_MAX {
            let entry = ReceivedCounts {
                counts,
                received_at: now,
            };
            self.counts_by_job.insert(id, entry);
        }
    }

    /// Adds a job to the next request to its owner. Returns true if no fetch from that owner is
    /// running, in which case the caller must start one.
    pub(super) fn request(&mut self, owner: &Member, id: &JobId) -> bool {
        let jobs = self.pending_jobs.entry(owner.clone()).or_default();
        if jobs.len() < JOBS_PER_REQUEST_MAX {
            jobs.insert(id.clone());
        }
        self.fetching_owners.insert(owner.clone())
    }

    /// Returns the jobs of the next request to an owner. If there are none, returns `None` and
    /// marks the fetch from that owner as ended.
    pub(super) fn next_request(&mut self, owner: &Member) -> Option<Vec<JobId>> {
        let jobs = self.pending_jobs.remove(owner).unwrap_or_default();
        if jobs.is_empty() {
            self.fetching_owners.remove(owner);
            return None;
        }
        Some(jobs.into_iter().collect())
    }
}
