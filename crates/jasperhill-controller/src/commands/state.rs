//! What is remembered of commands to workers.

use jasperhill_connections::ConcurrencyLimiter;
use jasperhill_wire::HostId;
use std::collections::BTreeSet;

/// What is remembered of commands to workers.
pub(crate) struct CommandState {
    /// Bounds how many workers are sent commands at a time; a host with its partition.
    pub limiter: ConcurrencyLimiter<(u32, HostId)>,
    /// Hosts whose records are being rewritten.
    pub token_updates: BTreeSet<HostId>,
}

impl CommandState {
    /// `concurrency`: workers that are sent commands at a time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(concurrency),
            token_updates: BTreeSet::new(),
        }
    }
}
