//! State of the commands that are sent directly to workers: the queue of hosts and the pending updates
//! of host records.

use super::log::CommandMetrics;
use jasperhill_connections::ConcurrencyLimiter;
use jasperhill_wire::{HostId, Micros, Revision};
use std::collections::BTreeSet;

/// State of the commands that are sent to workers and of the updates of fencing tokens.
pub(crate) struct CommandState {
    /// Bounds the number of workers that are sent commands at the same time. A key is a partition
    /// number with a host of the partition.
    pub limiter: ConcurrencyLimiter<(u32, HostId)>,
    /// Hosts with a pending update of their record; at most one update is pending for a host. A rewrite
    /// of the record raises the host's fencing token.
    pub hosts_with_record_update: BTreeSet<HostId>,
    /// The latest revision of the store, and since when it has not changed.
    pub latest_revision: LatestRevision,
    /// Commands and related events since they were last logged.
    pub metrics: CommandMetrics,
}

impl CommandState {
    /// Creates the state with a limit of `concurrency` workers that are sent commands at the same time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(concurrency),
            hosts_with_record_update: BTreeSet::new(),
            latest_revision: LatestRevision::default(),
            metrics: CommandMetrics::new(),
        }
    }
}

/// The latest known revision of the store, and since when it has not changed.
#[derive(Default)]
pub(crate) struct LatestRevision {
    revision: Revision,
    unchanged_since: Micros,
}

impl LatestRevision {
    /// Records the revision of the watch cache.
    pub fn observe(&mut self, revision: Revision, now: Micros) {
        if revision != self.revision {
            self.revision = revision;
            self.unchanged_since = now;
        }
    }

    /// Returns whether there has been no new revision for this long.
    pub fn is_unchanged_for(&self, time: Micros, now: Micros) -> bool {
        now - self.unchanged_since >= time
    }

    /// Counts from now again, because a write has been started.
    pub fn restart(&mut self, now: Micros) {
        self.unchanged_since = now;
    }
}
