//! Assignment of free hosts to partitions by the leader.

use super::host_updates::{HeldRole, reassign};
use crate::{
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority},
    watch_cache::HostEntry,
};
use jasperhill_wire::{
    HostId, Micros,
    record::{HostAssignment, Role},
};
use std::rc::Rc;

/// Time for which a free host is kept before it is decommissioned if no partition needs it, because
/// demand may come back.
const FREE_HOST_RETENTION: Micros = Micros::from_secs(5);
/// Timeout of the write of an assignment.
const WRITE_TIMEOUT: Micros = Micros::from_secs(3);

/// A planned write that gives a free host a new assignment.
struct PlannedReassignment {
    /// The leader role, which guards the write.
    holder: HeldRole,
    host: HostId,
    /// The host's current record, which the write replaces.
    entry: HostEntry,
    /// The host's new assignment.
    assignment: HostAssignment,
}

impl Shared {
    /// Assigns free hosts to partitions that are short of hosts, and decommissions free hosts that no
    /// partition has needed for a while.
    pub(super) fn assign_free_hosts(self: &Rc<Self>) {
        for reassignment in self.plan_assignments() {
            let shared = self.clone();
            self.clone()
                .spawn(async move { shared.write_assignment(reassignment).await });
        }
    }

    /// Chooses new assignments for free hosts and marks the hosts as having an update in progress.
    /// Returns none if this controller is not the leader.
    fn plan_assignments(&self) -> Vec<PlannedReassignment> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let mut capacity_needs = self.capacity_needs(&state_guard);
        let State {
            cache,
            commands,
            provisioning,
            ..
        } = &mut *state_guard;
        let Some(leader) = provisioning.leader.as_mut() else {
            return Vec::new();
        };
        let hosts = &cache.hosts;
        let is_free = |entry: &HostEntry| entry.value.assignment == HostAssignment::Free;
        leader
            .free_since
            .retain(|id, _| hosts.get(id).is_some_and(is_free));
        let mut planned = Vec::new();
        for (id, entry) in hosts.iter().filter(|(_, entry)| is_free(entry)) {
            let since = *leader.free_since.entry(id.clone()).or_insert(now);
            let offer = entry.offer();
            let assignment = match capacity_needs.partition_for_free_host(&offer) {
                Some(partition) => {
                    capacity_needs.record_assignment(partition, &offer);
                    HostAssignment::Partition(partition)
                }
                None if now - since > FREE_HOST_RETENTION => HostAssignment::Decommissioned(None),
                None => continue,
            };
            if commands.hosts_with_record_update.insert(id.clone()) {
                if let HostAssignment::Partition(partition) = assignment {
                    leader.record_assignment(partition, offer, now);
                }
                planned.push(PlannedReassignment {
                    holder: HeldRole {
                        role: Role::Leader,
                        since: leader.leader_since_revision,
                    },
                    host: id.clone(),
                    entry: entry.clone(),
                    assignment,
                });
            }
        }
        planned
    }

    /// Writes a planned assignment, then clears the mark that an update of the host is in progress.
    async fn write_assignment(self: &Rc<Self>, planned: PlannedReassignment) {
        let PlannedReassignment {
            holder,
            host,
            entry,
            assignment,
        } = planned;
        let deadline = self.now() + WRITE_TIMEOUT;
        let priority = WritePriority::Finish;
        let update = reassign(holder, &host, &entry, assignment, priority, deadline);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            tracing::info!(%host, ?assignment, "host assigned");
        }
        self.state
            .borrow_mut()
            .commands
            .hosts_with_record_update
            .remove(&host);
    }
}
