//! The guarded write of a role's record.

use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, put},
};
use jasperhill_wire::{
    Micros,
    record::{Role, RoleRecord, role_key},
    store::{Change, Guard},
};

/// The guarded write of a role's record.
pub(super) struct RoleWrite {
    guards: Vec<Guard>,
    change: Change,
}

impl RoleWrite {
    /// That writes a new owner, if the guards hold.
    pub(super) fn new(role: Role, record: &RoleRecord, guards: Vec<Guard>) -> Self {
        let change = put(role_key(role), record);
        Self { guards, change }
    }
}

impl Shared {
    /// Writes a role's record. Whatever became of a write that is not known to be committed,
    /// the watch cache has it after the linearizable read.
    pub(super) async fn write_role(&self, write: RoleWrite, timeout: Micros) {
        let RoleWrite { guards, change } = write;
        let outcome = self
            .write(WritePriority::Role, guards, vec![change], timeout)
            .await;
        if !matches!(outcome, WriteOutcome::Committed(_)) {
            self.read_index().await;
        }
    }
}
