//! What is remembered of heartbeats and commands that are relayed round a cut.

use crate::relay::RelaySlots;
use jasperhill_wire::{HostId, Micros};
use std::collections::BTreeMap;

/// What is remembered of relayed heartbeats and commands.
#[derive(Default)]
pub(crate) struct RelayState {
    pub slots: RelaySlots,
    /// When workers were last redirected to their owners.
    pub redirected: BTreeMap<HostId, Micros>,
    /// Workers whose heartbeats were relayed here and that were told to come themselves, and when.
    pub sent_to_owner: BTreeMap<HostId, Micros>,
    /// Workers whose heartbeats come by way of another controller: when they were last probed
    /// directly, and whether that worked.
    pub probes: BTreeMap<HostId, (Micros, bool)>,
}
