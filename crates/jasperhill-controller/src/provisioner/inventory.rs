//! The capacity inventory: how many hosts each partition should have and has, computed from the
//! records in the watch cache.

use crate::{shared::Shared, state::State, watch_cache::ActiveJob};
use jasperhill_scheduler::{
    autoscaler::{CapacityDemand, JobDemand, plan},
    config::Specs,
    dependencies::DependencyState,
    rental_plan::{MachineOffer, PartitionMissing},
};
use jasperhill_wire::{JobId, Micros, Name, record::HostAssignment};
use std::{cmp::Reverse, collections::BTreeMap};

/// Numbers of hosts that a partition should have and has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionInventory {
    /// Hosts that the partition should have.
    pub desired: i64,
    /// On-demand hosts that the partition should have.
    pub desired_on_demand: i64,
    /// Hosts that the partition should have for its production and urgent work alone.
    pub desired_high_priority: i64,
    /// Hosts that are assigned to the partition.
    pub actual: i64,
    /// On-demand hosts that are assigned to the partition.
    pub actual_on_demand: i64,
}

impl PartitionInventory {
    /// Returns the hosts that the partition lacks for its production and urgent work; at least 0.
    pub fn high_priority_shortage(&self) -> i64 {
        (self.desired_high_priority - self.actual).max(0)
    }

    /// Counts a host that is assigned to the partition.
    fn add_host(&mut self, spot: bool) {
        self.actual += 1;
        self.actual_on_demand += i64::from(!spot);
    }

    /// Subtracts a host that is taken from the partition.
    pub fn remove_host(&mut self, spot: bool) {
        self.actual -= 1;
        self.actual_on_demand -= i64::from(!spot);
    }
}

/// A partition and a zone, the key by which hosts are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartitionZone {
    partition: u32,
    zone: Name,
}

/// Time for which a job must have lacked hosts until a host that it may use goes to its partition
/// before all others, and is taken from a partition that keeps it idle.
pub(super) const MISSING_TOO_LONG: Micros = Micros::from_secs(45);

/// Capacity that the partitions lack, updated as machines are assigned to them.
pub(crate) struct CapacityNeeds {
    /// Hosts that waiting jobs lack, for the job first that has lacked hosts for longest.
    missing: Vec<PartitionMissing>,
    /// Inventory of each partition, indexed by partition.
    inventory: Vec<PartitionInventory>,
    /// Number of hosts of each partition in each zone.
    hosts_in_zone: BTreeMap<PartitionZone, i64>,
}

impl CapacityNeeds {
    /// Returns the partition that benefits most from a machine. Partitions are ranked by whether a
    /// job that may use the machine has lacked hosts for too long, by their shortage for production
    /// and urgent work, by whether any job that may use the machine lacks hosts, by whether they
    /// have any shortage, then by fewest hosts in the zone, so that replicas can be spread, and then
    /// by the size of their shortage. Returns partition 0 if the inventory is empty.
    pub fn partition_most_in_need(&self, offer: &MachineOffer) -> u32 {
        let host_count_in_zone = |partition: u32| {
            let zone = offer.zone.clone();
            let key = PartitionZone { partition, zone };
            self.hosts_in_zone.get(&key).copied().unwrap_or(0)
        };
        let need_rank = |(partition, hosts): &(u32, &PartitionInventory)| {
            let on_demand = if offer.spot {
                0
            } else {
                (hosts.desired_on_demand - hosts.actual_on_demand).max(0)
            };
            let shortage = (hosts.desired - hosts.actual).max(0);
            (
                self.missing_rank(*partition, hosts, offer),
                (shortage > 0, -host_count_in_zone(*partition)),
                shortage,
                on_demand,
                -hosts.actual,
                Reverse(*partition),
            )
        };
        let most_in_need = (0..).zip(&self.inventory).max_by_key(need_rank);
        most_in_need.map_or(0, |(partition, _)| partition)
    }

    /// Returns the partition that a free host is assigned to, or `None` if none needs it. Partitions
    /// are ranked as in [`Self::partition_most_in_need`], but by the size of their shortage alone if
    /// no job lacks this host.
    pub fn partition_for_free_host(&self, offer: &MachineOffer) -> Option<u32> {
        let need_rank = |(partition, hosts): &(u32, &PartitionInventory)| {
            let missing_rank = self.missing_rank(*partition, hosts, offer);
            (missing_rank, hosts.desired - hosts.actual)
        };
        let partitions = (0..).zip(&self.inventory);
        let (partition, hosts) = partitions.max_by_key(need_rank)?;
        let is_missing = self.missing_for(partition, offer).is_some();
        (is_missing || hosts.desired > hosts.actual).then_some(partition)
    }

    /// Returns the rank of a partition by the jobs that lack this machine and by its shortage for
    /// production and urgent work.
    fn missing_rank(
        &self,
        partition: u32,
        hosts: &PartitionInventory,
        offer: &MachineOffer,
    ) -> (bool, i64, bool) {
        let missing_for = self.missing_for(partition, offer);
        let is_missing_too_long = missing_for.is_some_and(|time| time >= MISSING_TOO_LONG);
        (
            is_missing_too_long,
            hosts.high_priority_shortage(),
            missing_for.is_some(),
        )
    }

    /// Returns for how long a job of the partition that may use this machine has lacked hosts; `None`
    /// if there is no such job.
    fn missing_for(&self, partition: u32, offer: &MachineOffer) -> Option<Micros> {
        let is_missing = |entry: &&PartitionMissing| {
            entry.partition == partition && offer.is_among(&entry.missing)
        };
        let entry = self.missing.iter().find(is_missing)?;
        Some(entry.missing.missing_for)
    }

    /// Records that a machine was assigned to a partition.
    pub fn record_assignment(&mut self, partition: u32, offer: &MachineOffer) {
        if let Some(hosts) = self.inventory.get_mut(partition as usize) {
            hosts.add_host(offer.spot);
        }
        let is_served = |entry: &PartitionMissing| {
            entry.partition == partition && offer.is_among(&entry.missing)
        };
        if let Some(served) = self.missing.iter().position(is_served) {
            let zones = &mut self.missing[served].missing.zones;
            let in_zone = zones
                .iter_mut()
                .filter(|in_zone| in_zone.zone == offer.zone);
            in_zone.for_each(|in_zone| in_zone.hosts = in_zone.hosts.saturating_sub(1));
            if zones.iter().any(|in_zone| in_zone.hosts == 0) {
                self.missing.remove(served);
            }
        }
        let zone = offer.zone.clone();
        let key = PartitionZone { partition, zone };
        *self.hosts_in_zone.entry(key).or_default() += 1;
    }
}

impl Shared {
    /// Computes the inventory of every partition, indexed by partition. Returns none while the machine
    /// types are unknown.
    pub(super) fn inventory(&self, state: &State) -> Vec<PartitionInventory> {
        let Some(specs) = &state.scheduling.machine_types else {
            return Vec::new();
        };
        let boot_time = specs
            .values()
            .map(|s| s.nominal_boot_time)
            .max()
            .unwrap_or_default();
        let demands = self.job_demands(state, boot_time);
        let mut inventory: Vec<PartitionInventory> =
            self.desired_capacity(state, &demands, specs, boot_time);
        for entry in state.cache.hosts.values() {
            if let HostAssignment::Partition(partition) = entry.value.assignment
                && let Some(hosts) = inventory.get_mut(partition as usize)
            {
                hosts.add_host(entry.value.spot);
            }
        }
        inventory
    }

    /// Returns the unfinished jobs that need hosts. `boot_time` is the time that a machine takes to
    /// boot.
    fn job_demands<'a>(&self, state: &'a State, boot_time: Micros) -> Vec<JobDemand<'a>> {
        let (wall, now) = (self.clock.wall(), self.now());
        state
            .cache
            .active_jobs()
            // Jobs with failed attempts don't count, so that no fleet is rented for a job that fails
            // on every host. Their owner reports the hosts that one retry lacks.
            .filter(|job| job.failed_attempts == 0)
            .filter(|job| self.is_ready_within(state, job, boot_time, now))
            .filter_map(|job| {
                Some(JobDemand {
                    request: &job.request,
                    partition: self.partition_of(&job.request.team)?,
                    unfinished: job.request.tasks.saturating_sub(job.done_count),
                    time_to_deadline: job.request.deadline.map(|d| (job.submitted + d) - wall),
                })
            })
            .collect()
    }

    /// Returns whether a job is ready now or will be by the time that a machine rented now has booted.
    /// False for a job with a dependency that waits for dependencies of its own: this guards against
    /// walking a long dependency chain once for each of its jobs.
    fn is_ready_within(
        &self,
        state: &State,
        job: &ActiveJob,
        boot_time: Micros,
        now: Micros,
    ) -> bool {
        let dependencies = &state.cache.dependencies;
        let ready = |id: &JobId| dependencies.state_of(id) == DependencyState::Ready;
        let request = &job.request;
        ready(&request.id)
            || (request.dependencies.iter().all(ready)
                && self.time_until_ready(state, request, now) <= boot_time)
    }

    /// Computes the hosts that every partition should have from current demand, unmet demand, the
    /// forecast and the operators' tuning. The counts of actual hosts are left at 0.
    fn desired_capacity(
        &self,
        state: &State,
        demands: &[JobDemand<'_>],
        specs: &Specs,
        boot_time: Micros,
    ) -> Vec<PartitionInventory> {
        let now = self.now();
        let tuning = &self.settings.operator.tuning;
        let provisioning = &state.provisioning;
        let start_within = &self.scheduler_config.start_within;
        let desired = |(partition, demand): (u32, CapacityDemand)| {
            let expected = provisioning
                .forecast
                .expected(partition, boot_time, start_within, now);
            let unmet = provisioning.unmet_demand_of(partition, now);
            let unmet = unmet.map_or(0.0, |unmet| unmet.hosts);
            let floor = tuning.min_machines_of(partition, self.settings.partition_count);
            PartitionInventory {
                desired: tuning.desired_machines(demand.total(), expected + unmet, floor),
                desired_on_demand: tuning.desired_machines(demand.on_demand, expected, floor),
                desired_high_priority: tuning.desired_machines(demand.high_priority, 0.0, 0),
                ..PartitionInventory::default()
            }
        };
        let planned = plan(demands, &self.scheduler_config, specs);
        (0..).zip(planned).map(desired).collect()
    }

    /// Returns the capacity that the partitions lack, for the assignment of new machines and of free
    /// hosts.
    pub fn capacity_needs(&self, state: &State) -> CapacityNeeds {
        let mut hosts_in_zone: BTreeMap<PartitionZone, i64> = BTreeMap::new();
        for entry in state.cache.hosts.values() {
            if let Some(partition) = entry.value.partition() {
                let zone = entry.value.zone.clone();
                let key = PartitionZone { partition, zone };
                *hosts_in_zone.entry(key).or_default() += 1;
            }
        }
        CapacityNeeds {
            missing: state.provisioning.missing_hosts(self.now()),
            inventory: self.inventory(state),
            hosts_in_zone,
        }
    }
}
