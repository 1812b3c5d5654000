//! Guarded writes of role records.

use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, put},
};
use jasperhill_wire::{
    Micros,
    record::{Role, RoleRecord, role_key},
    store::{Change, Guard},
};

/// A guarded write of a role's record.
pub(super) struct RoleWrite {
    /// The conditions of the write; all must hold.
    guards: Vec<Guard>,
    /// The put of the role's record.
    change: Change,
}

impl RoleWrite {
    /// Creates a write of `record` that is executed only if all `guards` hold.
    pub(super) fn new(role: Role, record: &RoleRecord, guards: Vec<Guard>) -> Self {
        let change = put(role_key(role), record);
        Self { guards, change }
    }
}

impl Shared {
    /// Writes a role's record. Unless the write is known to be committed, waits for a linearizable
    /// read, so that the watch cache shows the actual owner.
    pub(super) async fn write_role(&self, write: RoleWrite, timeout: Micros) {
        let RoleWrite { guards, change } = write;
        let outcome = self
            .write(WritePriority::Role, guards, vec![change], timeout)
            .await;
        if !matches!(outcome, WriteOutcome::Committed(_)) {
            self.linearizable_read().await;
        }
    }
}
