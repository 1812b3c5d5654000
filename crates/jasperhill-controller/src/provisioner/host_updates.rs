//! Updates of host records by the provisioner.

use crate::{host_registry::HostUpdate, store::WritePriority, watch_cache::HostEntry};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{HostAssignment, HostRecord, Role},
};

/// A role, and the revision since which this controller holds it: guards the update.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldRole {
    /// The role.
    pub role: Role,
    /// The revision of its record.
    pub since: Revision,
}

/// The update that gives a host another assignment. Every update raises the count of rewrites,
/// so that a record never looks as it did before: its new revision is always seen, and the
/// host's fencing token rises.
pub(super) fn reassign(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    assignment: HostAssignment,
    urgency: WritePriority,
    deadline: Micros,
) -> HostUpdate {
    let record = HostRecord {
        assignment,
        rewrites: entry.value.rewrites + 1,
        ..entry.value.clone()
    };
    update(holder, host, entry, Some(record), urgency, deadline)
}

/// The update that deletes a host's record.
pub(super) fn delete(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    deadline: Micros,
) -> HostUpdate {
    update(holder, host, entry, None, WritePriority::Finish, deadline)
}

fn update(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    new_record: Option<HostRecord>,
    urgency: WritePriority,
    deadline: Micros,
) -> HostUpdate {
    HostUpdate {
        priority: urgency,
        role: (holder.role, holder.since),
        host: host.clone(),
        expected_version: Some(entry.version),
        new_record,
        deadline,
    }
}
