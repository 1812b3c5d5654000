//! Decommissioning: partition owners give up hosts that they do not need, and hosts that are lost or
//! unhealthy.

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
use jasperhill_scheduler::{FencingState, Host, Partition};
use jasperhill_wire::{
    HostId, Micros,
    record::{HostAssignment, Role},
};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Divisor of a partition's surplus of hosts: one quarter of the surplus is drained at a time.
const DRAIN_DIVISOR: usize = 4;
/// Time for which a host must have been spare before it is given up while any partition is short of
/// hosts.
const SPARE_RETENTION_IN_SHORTAGE: Micros = Micros::from_secs(1);
/// Time after the expiry of a host's lease until the host counts as lost, so that a short network
/// failure does not cost the host.
const LOST_AFTER_LEASE_EXPIRY: Micros = Micros::from_secs(30);
/// Slowness above which a host is not worth its price: the factor by which its tasks take longer than
/// on other hosts.
const SLOWNESS_MAX: f64 = 2.2;
/// Timeout of the write of a host's record.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// Pause before each attempt to reclaim a host.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// A planned write by which an owner gives up a host.
struct PlannedDecommission {
    /// The partition that gives up the host.
    partition: u32,
    /// The role of the partition, which guards the write.
    holder: HeldRole,
    host: HostId,
    /// The host's current record, which the write replaces.
    entry: HostEntry,
    /// The host's new assignment.
    assignment: HostAssignment,
}

/// Criteria for giving up hosts that are the same for all partitions.
struct DecommissionCriteria {
    /// The time of the decision, by the steady clock.
    now: Micros,
    /// Whether any partition has fewer hosts than desired.
    is_any_partition_short: bool,
    /// Time for which a host must have been spare before it is given up.
    spare_retention: Micros,
    /// Time since its last answer after which a host with an expired lease is lost.
    lost_after: Micros,
}

impl Shared {
    /// Gives up hosts of this controller's partitions that are surplus, lost or unhealthy. The
    /// scheduler stops using such a host before the write, and uses it again only after its record
    /// has been rewritten.
    pub(super) fn decommission_surplus(self: Rc<Self>) {
        for planned in self.plan_decommissions() {
            let shared = self.clone();
            self.clone()
                .spawn(async move { shared.write_decommission(planned).await });
        }
    }

    /// Chooses the hosts to give up, removes them from scheduling and marks them as having an update
    /// in progress. Returns none if this controller has no authority to act on its roles.
    fn plan_decommissions(&self) -> Vec<PlannedDecommission> {
        let now = self.now();
        let mut planned = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        if !state_guard.authority.is_valid_at(now) {
            return planned;
        }
        let mut inventory = self.inventory(&state_guard);
        let is_any_partition_short = inventory.iter().any(|p| p.desired > p.actual);
        let criteria = DecommissionCriteria {
            now,
            is_any_partition_short,
            spare_retention: if is_any_partition_short {
                SPARE_RETENTION_IN_SHORTAGE
            } else {
                self.settings.operator.tuning.idle_retention
            },
            lost_after: self.scheduler_config.lease_expiry() + LOST_AFTER_LEASE_EXPIRY,
        };
        let State {
            cache,
            scheduling,
            commands,
            ..
        } = &mut *state_guard;
        for (number, partition) in &mut scheduling.partitions {
            let Some(hosts) = inventory.get_mut(*number as usize) else {
                continue;
            };
            drain_surplus(partition, hosts, now);
            let ids: Vec<HostId> = partition.hosts.keys().cloned().collect();
            for id in ids {
                if commands.hosts_with_record_update.contains(&id) {
                    continue;
                }
                let Some(assignment) = next_assignment(partition, &id, hosts, &criteria) else {
                    continue;
                };
                let Some(entry) = cache.hosts.get(&id) else {
                    continue;
                };
                hosts.remove_host(entry.value.spot);
                commands.hosts_with_record_update.insert(id.clone());
                if let Some(host) = partition.hosts.get_mut(&id) {
                    host.assignment = assignment;
                }
                planned.push(PlannedDecommission {
                    partition: *number,
                    holder: HeldRole {
                        role: Role::Partition(*number),
                        since: partition.owned_since,
                    },
                    host: id,
                    entry: entry.clone(),
                    assignment,
                });
            }
        }
        planned
    }

    /// Writes a planned decommission, and reclaims the host if the write is not known to be committed.
    async fn write_decommission(self: &Rc<Self>, planned: PlannedDecommission) {
        let PlannedDecommission {
            partition,
            holder,
            host,
            entry,
            assignment,
        } = planned;
        let deadline = self.now() + WRITE_TIMEOUT;
        let priority = WritePriority::Background;
        let update = reassign(holder, &host, &entry, assignment, priority, deadline);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            tracing::info!(%host, ?assignment, "host decommissioned");
        } else {
            self.reclaim_host(partition, holder, &host, entry.value.assignment)
                .await;
        }
        self.state
            .borrow_mut()
            .commands
            .hosts_with_record_update
            .remove(&host);
    }

    /// Returns a host to its partition after a decommission that failed or whose outcome is unknown.
    /// Retries until the host's record has been rewritten with its old `assignment`, which makes a
    /// late write of the decommission fail. Gives up if the partition has been lost or the record
    /// no longer has that assignment.
    async fn reclaim_host(
        self: &Rc<Self>,
        partition: u32,
        holder: HeldRole,
        host: &HostId,
        assignment: HostAssignment,
    ) {
        loop {
            sleep(RECLAIM_INTERVAL).await;
            let entry = {
                let state = self.state.borrow();
                let owned_partition = state.scheduling.partitions.get(&partition);
                if owned_partition.is_none_or(|p| p.owned_since != holder.since) {
                    return;
                }
                state.cache.hosts.get(host).cloned()
            };
            let Some(entry) = entry.filter(|e| e.value.assignment == assignment) else {
                return;
            };
            let deadline = self.now() + WRITE_TIMEOUT;
            let priority = WritePriority::Background;
            let update = reassign(holder, host, &entry, assignment, priority, deadline);
            if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
                return;
            }
            self.linearizable_read().await;
        }
    }
}

/// Drains a part of a partition's surplus hosts. The surplus is not drained at once because the
/// desired number of hosts fluctuates, and a replica that moves is briefly unavailable.
fn drain_surplus(partition: &mut Partition, hosts: &PartitionInventory, now: Micros) {
    let portion = |surplus: i64| {
        usize::try_from(surplus)
            .unwrap_or(0)
            .div_ceil(DRAIN_DIVISOR)
    };
    let surplus = (
        portion(hosts.actual - hosts.desired),
        portion(hosts.actual_on_demand - hosts.desired_on_demand),
    );
    partition.drain_surplus(now, surplus);
}

/// Returns the new assignment of a host that is to be given up, or `None` if the partition keeps it.
fn next_assignment(
    partition: &Partition,
    id: &HostId,
    hosts: &PartitionInventory,
    criteria: &DecommissionCriteria,
) -> Option<HostAssignment> {
    let host = partition.hosts.get(id)?;
    if !matches!(host.assignment, HostAssignment::Partition(_)) {
        return None;
    }
    if is_lost(host, criteria)
        || (is_empty_and_unhealthy(host, criteria) && host.fencing == FencingState::Fenced)
    {
        return Some(HostAssignment::Decommissioned(None));
    }
    let surplus = hosts.actual > hosts.desired
        && (host.spot || hosts.actual_on_demand > hosts.desired_on_demand);
    if !surplus || !partition.is_returnable(id, criteria.now, criteria.spare_retention) {
        return None;
    }
    if criteria.is_any_partition_short {
        Some(HostAssignment::Free)
    } else {
        // No partition is short of hosts, so the leader need not reassign this one.
        Some(HostAssignment::Decommissioned(None))
    }
}

/// Returns whether a host is lost: its lease has expired, and it has not answered for longer than
/// `lost_after`.
fn is_lost(host: &Host, criteria: &DecommissionCriteria) -> bool {
    host.fencing == FencingState::LeaseExpired
        && criteria.now - host.lease_renewed_at_latest > criteria.lost_after
}

/// Returns whether a host is empty and unhealthy: tasks fail or run too slowly on it.
fn is_empty_and_unhealthy(host: &Host, criteria: &DecommissionCriteria) -> bool {
    host.is_empty() && (host.is_faulty(criteria.now) || host.run_time_ratio > SLOWNESS_MAX)
}
