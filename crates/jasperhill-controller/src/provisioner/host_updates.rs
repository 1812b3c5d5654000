//! Builds the updates of host records that the provisioner makes.

use crate::{host_registry::HostUpdate, store::WritePriority, watch_cache::HostEntry};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{HostAssignment, HostRecord, Role},
};

/// A role and the revision since which this controller holds it. An update made under the role is
/// guarded by that revision.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldRole {
    /// The role under which the update is made.
    pub role: Role,
    /// The revision of the role's record.
    pub since: Revision,
}

/// Returns the update that gives a host another assignment. It increments the record's count of
/// rewrites, so that the content of the record always changes: otherwise the new revision could go
/// unnoticed, and the host's fencing token would not rise.
pub(super) fn reassign(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    assignment: HostAssignment,
    priority: WritePriority,
    deadline: Micros,
) -> HostUpdate {
    let record = HostRecord {
        assignment,
        rewrites: entry.value.rewrites + 1,
        ..entry.value.clone()
    };
    build_update(holder, host, entry, Some(record), priority, deadline)
}

/// Returns the update that deletes a host's record.
pub(super) fn delete_record(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    deadline: Micros,
) -> HostUpdate {
    build_update(holder, host, entry, None, WritePriority::Finish, deadline)
}

/// Returns the update that replaces `entry` by `new_record`, or deletes the record if that is `None`.
fn build_update(
    holder: HeldRole,
    host: &HostId,
    entry: &HostEntry,
    new_record: Option<HostRecord>,
    priority: WritePriority,
    deadline: Micros,
) -> HostUpdate {
    HostUpdate {
        priority,
        role: (holder.role, holder.since),
        host: host.clone(),
        expected_version: Some(entry.version),
        new_record,
        deadline,
    }
}
