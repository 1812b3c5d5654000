//! Decommissioning: partition owners give up hosts that they do not need, and hosts that are lost or
//! unhealthy.

use super::{
    host_updates::{HeldRole, reassign},
    inventory::{MISSING_TOO_LONG, PartitionInventory},
};
use crate::{
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority},
    watch_cache::HostEntry,
};
use jasperhill_scheduler::{
    CapacityClaims, FencingState, Host, Partition,
    rental_plan::{MachineOffer, PartitionMissing},
};
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
/// Time for which a host must have been idle before it is given to another partition whose jobs have
/// lacked it for too long, although its own partition has no more hosts than it should.
const IDLE_BEFORE_MOVE: Micros = Micros::from_secs(10);
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

/// Capacity that waiting jobs need, of one partition and of the others.
struct WaitingNeeds<'a> {
    /// Claims of the partition's own jobs.
    own: &'a CapacityClaims,
    /// Hosts that jobs of all partitions lack, for the job first that has lacked hosts for longest.
    missing: &'a mut Vec<PartitionMissing>,
}

impl WaitingNeeds<'_> {
    /// Returns for how long a job of another partition has lacked hosts of this kind; `None` if
    /// there is no such job.
    fn missing_elsewhere_for(&self, partition: u32, host: &Host) -> Option<Micros> {
        let is_missing = |entry: &&PartitionMissing| {
            let missing = &entry.missing;
            entry.partition != partition
                && missing.allows_host(&host.spec.machine_type, &host.zone, host.spot)
        };
        let entry = self.missing.iter().find(is_missing)?;
        Some(entry.missing.missing_for)
    }

    /// Removes the first entry of another partition that a host of this kind serves, so that it takes
    /// one host in a round.
    fn remove_served(&mut self, partition: u32, offer: &MachineOffer) {
        let is_served = |entry: &PartitionMissing| {
            entry.partition != partition && offer.is_among(&entry.missing)
        };
        if let Some(served) = self.missing.iter().position(is_served) {
            self.missing.remove(served);
        }
    }
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
        let criteria = self.decommission_criteria(&inventory, now);
        let mut missing = state_guard.provisioning.missing_hosts(now);
        let State {
            cache,
            scheduling,
            commands,
            provisioning,
            ..
        } = &mut *state_guard;
        let no_claims = CapacityClaims::default();
        for (number, partition) in &mut scheduling.partitions {
            let Some(hosts) = inventory.get_mut(*number as usize) else {
                continue;
            };
            let own = provisioning.claims.get(number).unwrap_or(&no_claims);
            drain_surplus(partition, hosts, own, now);
            let ids: Vec<HostId> = partition.hosts.keys().cloned().collect();
            for id in ids {
                let Some(entry) = cache.hosts.get(&id) else {
                    continue;
                };
                let mut needs = WaitingNeeds {
                    own,
                    missing: &mut missing,
                };
                let next = next_assignment(partition, &id, hosts, &criteria, &needs);
                let Some(assignment) = next else {
                    continue;
                };
                if !commands.hosts_with_record_update.insert(id.clone()) {
                    continue;
                }
                hosts.remove_host(entry.value.spot);
                if assignment == HostAssignment::Free {
                    needs.remove_served(*number, &entry.offer());
                }
                planned.push(plan_decommission(partition, &id, entry, assignment));
            }
        }
        planned
    }

    /// Returns the criteria for giving up hosts in this round.
    fn decommission_criteria(
        &self,
        inventory: &[PartitionInventory],
        now: Micros,
    ) -> DecommissionCriteria {
        let is_any_partition_short = inventory.iter().any(|p| p.desired > p.actual);
        DecommissionCriteria {
            now,
            is_any_partition_short,
            spare_retention: if is_any_partition_short {
                SPARE_RETENTION_IN_SHORTAGE
            } else {
                self.settings.operator.tuning.idle_retention
            },
            lost_after: self.scheduler_config.lease_expiry() + LOST_AFTER_LEASE_EXPIRY,
        }
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

/// Takes a host out of scheduling under its new assignment, and returns the write of its record.
fn plan_decommission(
    partition: &mut Partition,
    id: &HostId,
    entry: &HostEntry,
    assignment: HostAssignment,
) -> PlannedDecommission {
    if let Some(host) = partition.hosts.get_mut(id) {
        host.assignment = assignment;
    }
    PlannedDecommission {
        partition: partition.id,
        holder: HeldRole {
            role: Role::Partition(partition.id),
            since: partition.owned_since,
        },
        host: id.clone(),
        entry: entry.clone(),
        assignment,
    }
}

/// Drains a part of a partition's surplus hosts. The surplus is not drained at once because the
/// desired number of hosts fluctuates, and a replica that moves is briefly unavailable.
/// While jobs lack hosts none is drained, and hosts that are kept for waiting jobs are no surplus.
fn drain_surplus(
    partition: &mut Partition,
    hosts: &PartitionInventory,
    claims: &CapacityClaims,
    now: Micros,
) {
    if !claims.missing.is_empty() {
        partition.drain_surplus(now, (0, 0));
        return;
    }
    let kept = claims.kept.len() as i64;
    let portion = |surplus: i64| {
        usize::try_from(surplus)
            .unwrap_or(0)
            .div_ceil(DRAIN_DIVISOR)
    };
    let surplus = (
        portion(hosts.actual - hosts.desired - kept),
        portion(hosts.actual_on_demand - hosts.desired_on_demand - kept),
    );
    partition.drain_surplus(now, surplus);
}

/// Returns the new assignment of a host that is to be given up, or `None` if the partition keeps it.
fn next_assignment(
    partition: &Partition,
    id: &HostId,
    hosts: &PartitionInventory,
    criteria: &DecommissionCriteria,
    waiting: &WaitingNeeds<'_>,
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
    let missing_for = waiting.missing_elsewhere_for(partition.id, host);
    let is_missing_too_long = missing_for.is_some_and(|time| time >= MISSING_TOO_LONG);
    let own_missing_for = waiting.own.kept.get(id);
    let is_needed_more_elsewhere = is_missing_too_long && missing_for > own_missing_for.copied();
    if own_missing_for.is_some() && !is_needed_more_elsewhere {
        return None;
    }
    let retention = match (surplus, missing_for) {
        (_, Some(_)) if own_missing_for.is_some() => IDLE_BEFORE_MOVE,
        (true, None) => criteria.spare_retention,
        (true, Some(_)) => SPARE_RETENTION_IN_SHORTAGE,
        (false, _) if is_missing_too_long => IDLE_BEFORE_MOVE,
        (false, _) => return None,
    };
    if !partition.is_returnable(id, criteria.now, retention) {
        return None;
    }
    if criteria.is_any_partition_short || missing_for.is_some() {
        Some(HostAssignment::Free)
    } else {
        // No partition needs this host, so the leader need not reassign it.
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

#[cfg(test)]
mod tests;
