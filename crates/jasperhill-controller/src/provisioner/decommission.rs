//! Decommissioning: owners give up hosts that they do not need, and those that are lost or bad.

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

/// The part of the surplus that is drained at a time.
const DRAIN_PART: usize = 4;
/// How long a host has to be spare before another partition gets it.
const SPARE_KEPT_IF_SHORT: Micros = Micros::from_secs(1);
/// A host whose lease has lapsed is lost so long after that: a short cut is ridden out.
const LOST_AFTER_LAPSE: Micros = Micros::from_secs(30);
/// A host that takes so many times as long for its tasks as others is not worth its price.
const SLOWNESS_MAX: f64 = 2.2;
/// How long a write may take.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// The time between two attempts to take a host back.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// A host that its owner has given up, to be written.
struct Decommission {
    partition: u32,
    holder: HeldRole,
    host: HostId,
    entry: HostEntry,
    assignment: HostAssignment,
}

/// What decides on hosts of all partitions alike.
struct Criteria {
    now: Micros,
    /// Some partition lacks hosts.
    any_short: bool,
    /// How long a host has to be spare before it is given up.
    keep_spare: Micros,
    /// A host without an answer for so long is lost.
    lost_after: Micros,
}

impl Shared {
    /// Owners give up hosts that they do not need, and decommission those that are lost or bad.
    /// The host is out of use here before the write, and back only by the record.
    pub(super) fn decommission_surplus(self: Rc<Self>) {
        for planned in self.plan_decommissions() {
            let shared = self.clone();
            self.clone()
                .spawn(async move { shared.write_decommission(planned).await });
        }
    }

    fn plan_decommissions(&self) -> Vec<Decommission> {
        let now = self.now();
        let mut planned = Vec::new();
        let mut guarded = self.state.borrow_mut();
        if !guarded.authority.holds(now) {
            return planned;
        }
        let mut inventory = self.inventory(&guarded);
        let any_short = inventory.iter().any(|p| p.desired > p.actual);
        let criteria = Criteria {
            now,
            any_short,
            keep_spare: if any_short {
                SPARE_KEPT_IF_SHORT
            } else {
                self.settings.operator.tuning.idle_keep
            },
            lost_after: self.scheduler_config.lease_expiry() + LOST_AFTER_LAPSE,
        };
        let State {
            cache,
            scheduling,
            commands,
            ..
        } = &mut *guarded;
        for (number, partition) in &mut scheduling.partitions {
            let Some(hosts) = inventory.get_mut(*number as usize) else {
                continue;
            };
            drain_surplus(partition, hosts, now);
            let ids: Vec<HostId> = partition.hosts.keys().cloned().collect();
            for id in ids {
                if commands.token_updates.contains(&id) {
                    continue;
                }
                let Some(assignment) = next_assignment(partition, &id, hosts, &criteria) else {
                    continue;
                };
                let Some(entry) = cache.hosts.get(&id) else {
                    continue;
                };
                hosts.remove_host(entry.value.spot);
                commands.token_updates.insert(id.clone());
                if let Some(host) = partition.hosts.get_mut(&id) {
                    host.assignment = assignment;
                }
                planned.push(Decommission {
                    partition: *number,
                    holder: HeldRole {
                        role: Role::Partition(*number),
                        since: partition.since,
                    },
                    host: id,
                    entry: entry.clone(),
                    assignment,
                });
            }
        }
        planned
    }

    async fn write_decommission(self: &Rc<Self>, planned: Decommission) {
        let Decommission {
            partition,
            holder,
            host,
            entry,
            assignment,
        } = planned;
        let deadline = self.now() + WRITE_TIMEOUT;
        let urgency = WritePriority::Background;
        let update = reassign(holder, &host, &entry, assignment, urgency, deadline);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            tracing::info!(%host, ?assignment, "host decommissioned");
        } else {
            self.reclaim_host(partition, holder, &host, entry.value.assignment)
                .await;
        }
        self.state.borrow_mut().commands.token_updates.remove(&host);
    }

    /// After a decommission that failed, or may still be carried out: the host is used again
    /// only once its record has been rewritten, which kills the late write.
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
                let owned = state.scheduling.partitions.get(&partition);
                if owned.is_none_or(|p| p.since != holder.since) {
                    return;
                }
                state.cache.hosts.get(host).cloned()
            };
            let Some(entry) = entry.filter(|e| e.value.assignment == assignment) else {
                return;
            };
            let deadline = self.now() + WRITE_TIMEOUT;
            let urgency = WritePriority::Background;
            let update = reassign(holder, host, &entry, assignment, urgency, deadline);
            if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
                return;
            }
            self.read_index().await;
        }
    }
}

/// Drains a part of the surplus at a time: what is desired changes from one moment to the next,
/// and a replica that moves is away for a moment.
fn drain_surplus(partition: &mut Partition, hosts: &PartitionInventory, now: Micros) {
    let part = |surplus: i64| usize::try_from(surplus).unwrap_or(0).div_ceil(DRAIN_PART);
    let surplus = (
        part(hosts.actual - hosts.desired),
        part(hosts.actual_on_demand - hosts.desired_on_demand),
    );
    partition.drain_surplus(now, surplus);
}

/// What a host is to be assigned to instead; `None`: it stays.
fn next_assignment(
    partition: &Partition,
    id: &HostId,
    hosts: &PartitionInventory,
    criteria: &Criteria,
) -> Option<HostAssignment> {
    let host = partition.hosts.get(id)?;
    if !matches!(host.assignment, HostAssignment::Partition(_)) {
        return None;
    }
    if is_lost(host, criteria) || (is_bad(host, criteria) && host.fencing == FencingState::Fenced) {
        return Some(HostAssignment::Decommissioned(None));
    }
    let surplus = hosts.actual > hosts.desired
        && (host.spot || hosts.actual_on_demand > hosts.desired_on_demand);
    if !surplus || !partition.is_spare(id, criteria.now, criteria.keep_spare) {
        return None;
    }
    if criteria.any_short {
        Some(HostAssignment::Free)
    } else {
        // Nobody is short: it need not go by way of the leader.
        Some(HostAssignment::Decommissioned(None))
    }
}

/// Its lease has lapsed, and it has not answered for long.
fn is_lost(host: &Host, criteria: &Criteria) -> bool {
    host.fencing == FencingState::Lapsed && criteria.now - host.last_answer > criteria.lost_after
}

/// It is empty, and tasks fail or are slow on it.
fn is_bad(host: &Host, criteria: &Criteria) -> bool {
    host.is_empty() && (host.is_faulty(criteria.now) || host.slowness > SLOWNESS_MAX)
}
