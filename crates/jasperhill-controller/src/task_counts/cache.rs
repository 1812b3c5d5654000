//! The task counts that other controllers have given, and the requests for them. Pure; only
//! `super` (the requests) changes it.

use jasperhill_wire::{JobId, Member, Micros, mesh::TaskCounts};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[cfg(test)]
mod tests;

/// Counts may lag by three seconds; those given are used for less than that.
const FRESH_PERIOD: Micros = Micros::from_millis(2_000);
/// Jobs in one request, at most: bounds the size of a message.
pub(super) const JOBS_PER_REQUEST_MAX: usize = 500;
/// Counts that are kept, at most: bounds memory.
const COUNTS_MAX: usize = 8_000;

/// Counts as they were given.
struct ReceivedCounts {
    /// The counts.
    counts: TaskCounts,
    /// When they came, by the steady clock.
    received: Micros,
}

impl ReceivedCounts {
    /// Whether they may still be shown.
    fn is_fresh(&self, now: Micros) -> bool {
        now - self.received < FRESH_PERIOD
    }
}

/// The task counts that other controllers have given, and the requests for them.
#[derive(Default)]
pub(crate) struct TaskCountCache {
    /// By job; at most [`COUNTS_MAX`].
    known: HashMap<JobId, ReceivedCounts>,
    /// The jobs of the next request to each owner.
    pending: BTreeMap<Member, BTreeSet<JobId>>,
    /// Owners that are being asked, so that nobody else has to begin.
    outstanding: BTreeSet<Member>,
}

impl TaskCountCache {
    /// The counts of a job, if they are fresh.
    pub(super) fn get(&self, id: &JobId, now: Micros) -> Option<TaskCounts> {
        let known = self.known.get(id)?;
        known.is_fresh(now).then_some(known.counts)
    }

    /// Keeps counts as they are given. If there are too many, drops those that are no longer fresh, or
    /// else these.
    pub(super) fn insert(&mut self, id: JobId, counts: TaskCounts, now: Micros) {
        if self.known.len() >= COUNTS_MAX {
            self.known.retain(|_, known| known.is_fresh(now));
        }
        if self.known.len() < COUNTS_MAX {
            let received = ReceivedCounts {
                counts,
                received: now,
            };
            self.known.insert(id, received);
        }
    }

    /// Notes that the counts of a job are wanted of its owner. True if nobody asks that owner yet: the
    /// caller has to begin.
    pub(super) fn request(&mut self, owner: &Member, id: &JobId) -> bool {
        let jobs = self.pending.entry(owner.clone()).or_default();
        if jobs.len() < JOBS_PER_REQUEST_MAX {
            jobs.insert(id.clone());
        }
        self.outstanding.insert(owner.clone())
    }

    /// The jobs of the next request to an owner; `None`, and the owner is no longer being asked, if
    /// there are none.
    pub(super) fn next_request(&mut self, owner: &Member) -> Option<Vec<JobId>> {
        let jobs = self.pending.remove(owner).unwrap_or_default();
        if jobs.is_empty() {
            self.outstanding.remove(owner);
            return None;
        }
        Some(jobs.into_iter().collect())
    }
}
