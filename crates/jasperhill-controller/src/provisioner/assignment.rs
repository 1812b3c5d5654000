//! Assignment of free hosts to partitions.

use super::{
    host_updates::{HeldRole, reassign},
    inventory::PartitionInventory,
};
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

/// A free host that no partition is short of is decommissioned after this time: demand may
/// come back.
const FREE_KEPT: Micros = Micros::from_secs(5);
/// How long the write may take.
const WRITE_TIMEOUT: Micros = Micros::from_secs(3);

/// A new assignment of a free host, to be written.
struct Reassignment {
    holder: HeldRole,
    host: HostId,
    entry: HostEntry,
    assignment: HostAssignment,
}

impl Shared {
    /// Assigns free hosts to partitions that are short, and decommissions those nobody needs.
    pub(super) fn assign_free_hosts(self: &Rc<Self>) {
        for reassignment in self.plan_assignments() {
            let shared = self.clone();
            self.clone()
                .spawn(async move { shared.write_assignment(reassignment).await });
        }
    }

    fn plan_assignments(&self) -> Vec<Reassignment> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let mut inventory = self.inventory(&guarded);
        let State {
            cache,
            commands,
            provisioning,
            ..
        } = &mut *guarded;
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
            let assignment = match shortest_partition(&inventory) {
                Some(partition) => {
                    inventory[partition].actual += 1;
                    HostAssignment::Partition(partition as u32)
                }
                None if now - since > FREE_KEPT => HostAssignment::Decommissioned(None),
                None => continue,
            };
            if commands.token_updates.insert(id.clone()) {
                planned.push(Reassignment {
                    holder: HeldRole {
                        role: Role::Leader,
                        since: leader.since,
                    },
                    host: id.clone(),
                    entry: entry.clone(),
                    assignment,
                });
            }
        }
        planned
    }

    async fn write_assignment(self: &Rc<Self>, planned: Reassignment) {
        let Reassignment {
            holder,
            host,
            entry,
            assignment,
        } = planned;
        let deadline = self.now() + WRITE_TIMEOUT;
        let urgency = WritePriority::Finish;
        let update = reassign(holder, &host, &entry, assignment, urgency, deadline);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            tracing::info!(%host, ?assignment, "host assigned");
        }
        self.state.borrow_mut().commands.token_updates.remove(&host);
    }
}

/// The partition that lacks the most hosts, for production and urgent work first; `None` if it
/// lacks none.
fn shortest_partition(inventory: &[PartitionInventory]) -> Option<usize> {
    let shortage = |partition: &usize| {
        let hosts = &inventory[*partition];
        (hosts.pressing_shortage(), hosts.desired - hosts.actual)
    };
    let shortest = (0..inventory.len()).max_by_key(shortage);
    shortest.filter(|p| inventory[*p].desired > inventory[*p].actual)
}
