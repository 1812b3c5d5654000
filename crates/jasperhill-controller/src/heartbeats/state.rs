//! What is remembered of heartbeats.

use jasperhill_wire::{HostId, Micros, worker::Heartbeat};
use std::collections::BTreeMap;

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
