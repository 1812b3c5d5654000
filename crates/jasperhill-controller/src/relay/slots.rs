//! Limits on the number of heartbeats and commands that are relayed or held back at the same time. Each
//! one occupies a slot until the slot is dropped.

use std::{cell::Cell, rc::Rc};

/// The largest number of command requests of other controllers that are relayed at the same time.
/// Further requests are answered at once with `CommandsNotSent`.
const MAX_RELAYED_COMMANDS: usize = 64;
/// The largest number of heartbeats that are relayed at the same time. Further heartbeats are not
/// relayed.
const MAX_RELAYED_HEARTBEATS: usize = 400;
/// The largest number of heartbeats that are held back at the same time while their roles move.
const MAX_DEFERRED_HEARTBEATS: usize = 2_000;

/// Counters of the occupied slots, by kind.
#[derive(Default)]
pub(crate) struct RelaySlots {
    /// The number of command requests of other controllers that are being relayed.
    commands: Rc<Cell<usize>>,
    /// The number of heartbeats that are being relayed.
    heartbeats: Rc<Cell<usize>>,
    /// The number of heartbeats that are held back while their roles move.
    deferred: Rc<Cell<usize>>,
}

impl RelaySlots {
    /// Acquires a slot for a command request of another controller; returns `None` if all are occupied.
    pub fn acquire_relayed_commands(&self) -> Option<RelaySlot> {
        RelaySlot::acquire(&self.commands, MAX_RELAYED_COMMANDS)
    }

    /// Acquires a slot for a heartbeat that is relayed; returns `None` if all are occupied.
    pub fn acquire_relayed_heartbeat(&self) -> Option<RelaySlot> {
        RelaySlot::acquire(&self.heartbeats, MAX_RELAYED_HEARTBEATS)
    }

    /// Acquires a slot for a heartbeat that is held back while its role moves; returns `None` if all
    /// are occupied.
    pub fn acquire_deferred_heartbeat(&self) -> Option<RelaySlot> {
        RelaySlot::acquire(&self.deferred, MAX_DEFERRED_HEARTBEATS)
    }

    /// Returns whether any heartbeat is held back.
    pub fn has_deferred_heartbeats(&self) -> bool {
        self.deferred.get() > 0
    }
}

/// An occupied slot for one relayed or held-back heartbeat or command request. The slot is released on
/// drop, as the task that waits for the response may be dropped before the response arrives.
pub(crate) struct RelaySlot(Rc<Cell<usize>>);

impl RelaySlot {
    /// Occupies one of `limit` slots and increments the counter `occupied`. Returns `None` if all slots
    /// are occupied.
    fn acquire(occupied: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        let occupied_count = occupied.get();
        (occupied_count < limit).then(|| {
            occupied.set(occupied_count + 1);
            Self(occupied.clone())
        })
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
