//! What is remembered of heartbeats.

use jasperhill_wire::{HostId, Micros, worker::Heartbeat};
use std::collections::BTreeMap;

/// Workers whose own heartbeats were answered here are remembered for a lease; beyond this number, the
/// older ones are removed with each new one.
const ANSWERED_MAX: usize = 5_000;

/// What is remembered of heartbeats.
#[derive(Default)]
pub(crate) struct HeartbeatState {
    /// Workers whose own heartbeats were answered here, and when.
    pub answered: BTreeMap<HostId, Micros>,
    /// Heartbeats of machines without a record, which are about to be registered together.
    pub unregistered: Vec<Heartbeat>,
    /// Heartbeats answered 200 since the state service last answered.
    pub answered_without_store: u32,
}

impl HeartbeatState {
    /// Notes that a worker's own heartbeat was answered here. `lease`: how long that is remembered.
    pub fn record_answer(&mut self, host: HostId, lease: Micros, now: Micros) {
        if self.answered.len() > ANSWERED_MAX {
            self.answered
                .retain(|_, answered_at| now - *answered_at < lease);
        }
        self.answered.insert(host, now);
    }
}
