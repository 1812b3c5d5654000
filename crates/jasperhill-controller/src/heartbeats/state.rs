//! State of the heartbeat module: recent answers to workers, and machines that wait for their
//! registration.

use jasperhill_wire::{HostId, Micros, worker::Heartbeat};
use std::collections::BTreeMap;

/// The number of recorded direct answers above which each new answer also removes the records that are
/// older than a lease.
const MAX_RECORDED_ANSWERS: usize = 5_000;

/// State of the heartbeats that this controller answers and of the machines that it registers.
#[derive(Default)]
pub(crate) struct HeartbeatState {
    /// The time at which this controller last answered a direct heartbeat of each worker, by the
    /// monotonic clock.
    pub answered_at: BTreeMap<HostId, Micros>,
    /// Heartbeats of machines without a record: the next registration batch.
    pub pending_registrations: Vec<Heartbeat>,
    /// The number of heartbeats answered with status 200 while the link to the store was down, since
    /// the count was last logged.
    pub answered_without_store: u32,
}

impl HeartbeatState {
    /// Records that a direct heartbeat of a worker was answered now. The record is kept for at least
    /// `lease`, the lease duration of workers.
    pub fn record_answer(&mut self, host: HostId, lease: Micros, now: Micros) {
        if self.answered_at.len() > MAX_RECORDED_ANSWERS {
            self.answered_at
                .retain(|_, answered_at| now - *answered_at < lease);
        }
        self.answered_at.insert(host, now);
    }
}
