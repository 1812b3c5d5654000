//! Bounds on what is relayed, or held back, at a time.

use std::{cell::Cell, rc::Rc};

/// Commands of other controllers that are relayed at a time; beyond, the sender is told so at once.
const COMMANDS_MAX: usize = 64;
/// Heartbeats that are relayed at a time; beyond, they are not.
const HEARTBEATS_MAX: usize = 400;
/// Heartbeats that are held back at a time until their role has moved.
const DEFERRED_MAX: usize = 2_000;

/// Counts of what is being relayed or held back.
#[derive(Default)]
pub(crate) struct RelaySlots {
    /// Commands of other controllers that are being relayed.
    commands: Rc<Cell<usize>>,
    /// Heartbeats that are being relayed.
    heartbeats: Rc<Cell<usize>>,
    /// Heartbeats that are held back.
    deferred: Rc<Cell<usize>>,
}

impl RelaySlots {
    /// A slot for commands of another controller; `None` if all are taken.
    pub fn relayed_commands(&self) -> Option<RelaySlot> {
        RelaySlot::take(&self.commands, COMMANDS_MAX)
    }

    /// A slot for a heartbeat that is relayed; `None` if all are taken.
    pub fn relayed_heartbeat(&self) -> Option<RelaySlot> {
        RelaySlot::take(&self.heartbeats, HEARTBEATS_MAX)
    }

    /// A slot for a heartbeat that is held back until its role has moved; `None` if all are taken.
    pub fn deferred_heartbeat(&self) -> Option<RelaySlot> {
        RelaySlot::take(&self.deferred, DEFERRED_MAX)
    }

    /// Whether any heartbeat is held back.
    pub fn has_deferred_heartbeats(&self) -> bool {
        self.deferred.get() > 0
    }
}

/// A slot among those that are relayed or held back. Released when dropped, since whoever waits for an
/// answer may go away before it comes.
pub(crate) struct RelaySlot(Rc<Cell<usize>>);

impl RelaySlot {
    /// Takes one of `limit` slots, of which so many are `taken`; `None` if that is all.
    fn take(taken: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        let count = taken.get();
        (count < limit).then(|| {
            taken.set(count + 1);
            Self(taken.clone())
        })
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
