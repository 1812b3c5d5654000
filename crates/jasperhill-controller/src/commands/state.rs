//! State of the commands that are sent directly to workers: the queue of hosts and the pending updates
//! of host records.

use jasperhill_connections::ConcurrencyLimiter;
use jasperhill_wire::HostId;
use std::collections::BTreeSet;

/// State of the commands that are sent to workers and of the updates of fencing tokens.
pub(crate) struct CommandState {
    /// Bounds the number of workers that are sent commands at the same time. A key is a partition
    /// number with a host of the partition.
    pub limiter: ConcurrencyLimiter<(u32, HostId)>,
    /// Hosts with a pending update of their record; at most one update is pending for a host. A rewrite
    /// of the record raises the host's fencing token.
    pub hosts_with_record_update: BTreeSet<HostId>,
}

impl CommandState {
    /// Creates the state with a limit of `concurrency` workers that are sent commands at the same time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(concurrency),
            hosts_with_record_update: BTreeSet::new(),
        }
    }
}
