//! The capacity inventory: what every partition should have and has, by the records alone.

use crate::{shared::Shared, state::State, watch_cache::ActiveJob};
use jasperhill_scheduler::{
    autoscaler::{CapacityDemand, JobDemand, plan},
    config::Specs,
    dependencies::DependencyState,
};
use jasperhill_wire::{JobId, Micros, Name, record::HostAssignment};
use std::{cmp::Reverse, collections::BTreeMap};

/// How long what an owner says of unmet demand counts: it says it every second.
const UNMET_DEMAND_VALID: Micros = Micros::from_secs(8);

/// What a partition should have and has, in hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionInventory {
    /// What it should have.
    pub desired: i64,
    /// What it should have of on-demand hosts.
    pub desired_on_demand: i64,
    /// What it should have for production and urgent work alone.
    pub desired_pressing: i64,
    /// What it has.
    pub actual: i64,
    /// What it has of on-demand hosts.
    pub actual_on_demand: i64,
}

impl PartitionInventory {
    /// The hosts that it lacks for production and urgent work alone.
    pub fn pressing_shortage(&self) -> i64 {
        (self.desired_pressing - self.actual).max(0)
    }

    /// A host was given to the partition.
    fn add_host(&mut self, spot: bool) {
        self.actual += 1;
        self.actual_on_demand += i64::from(!spot);
    }

    /// A host was taken from the partition.
    pub fn remove_host(&mut self, spot: bool) {
        self.actual -= 1;
        self.actual_on_demand -= i64::from(!spot);
    }
}

/// A partition in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartitionZone {
    partition: u32,
    zone: Name,
}

/// What the partitions lack, kept up to date while machines are assigned.
pub(crate) struct CapacityNeeds {
    /// By partition.
    inventory: Vec<PartitionInventory>,
    /// Hosts of each partition in each zone.
    hosts_in_zone: BTreeMap<PartitionZone, i64>,
}

impl CapacityNeeds {
    /// The partition that a machine does the most good to: production and urgent work
    /// first, then the greatest shortage, then the one with the fewest hosts in that zone, so
    /// that replicas can be spread.
    pub fn partition_most_in_need(&self, zone: &Name, spot: bool) -> u32 {
        let in_zone = |partition: u32| {
            let zone = zone.clone();
            let key = PartitionZone { partition, zone };
            self.hosts_in_zone.get(&key).copied().unwrap_or(0)
        };
        let need = |(partition, hosts): &(u32, &PartitionInventory)| {
            let on_demand = if spot {
                0
            } else {
                (hosts.desired_on_demand - hosts.actual_on_demand).max(0)
            };
            let shortage = (hosts.desired - hosts.actual).max(0);
            (
                hosts.pressing_shortage(),
                (shortage > 0, -in_zone(*partition)),
                shortage,
                on_demand,
                -hosts.actual,
                Reverse(*partition),
            )
        };
        let most = (0..).zip(&self.inventory).max_by_key(need);
        most.map_or(0, |(partition, _)| partition)
    }

    /// A machine was assigned to a partition.
    pub fn record_assignment(&mut self, partition: u32, zone: &Name, spot: bool) {
        if let Some(hosts) = self.inventory.get_mut(partition as usize) {
            hosts.add_host(spot);
        }
        let zone = zone.clone();
        let key = PartitionZone { partition, zone };
        *self.hosts_in_zone.entry(key).or_default() += 1;
    }
}

impl Shared {
    /// What every partition should have and has, by the watch cache alone; empty until the
    /// machine types are known.
    pub(super) fn inventory(&self, state: &State) -> Vec<PartitionInventory> {
        let Some(specs) = &state.scheduling.specs else {
            return Vec::new();
        };
        let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
        let demands = self.job_demands(state, boot);
        let mut inventory: Vec<PartitionInventory> = self.desired(state, &demands, specs, boot);
        for entry in state.cache.hosts.values() {
            if let HostAssignment::Partition(partition) = entry.value.assignment
                && let Some(hosts) = inventory.get_mut(partition as usize)
            {
                hosts.add_host(entry.value.spot);
            }
        }
        inventory
    }

    /// The unfinished jobs that hosts are wanted for. `boot`: how long a machine takes to come up.
    fn job_demands<'a>(&self, state: &'a State, boot: Micros) -> Vec<JobDemand<'a>> {
        let (wall, now) = (self.clock.wall(), self.now());
        state
            .cache
            .active_jobs()
            // No machine is rented for what fails wherever it runs.
            .filter(|job| job.failed_attempts == 0)
            .filter(|job| self.is_ready_within(state, job, boot, now))
            .filter_map(|job| {
                Some(JobDemand {
                    request: &job.request,
                    partition: self.partition_of(&job.request.team)?,
                    unfinished: job.request.tasks.saturating_sub(job.done_count),
                    left: job.request.deadline.map(|d| (job.submitted + d) - wall),
                })
            })
            .collect()
    }

    /// Whether a machine rented now would be there no sooner than the job is ready. A job whose
    /// dependencies wait themselves does not count. Guards against walking long chains once for
    /// each of their jobs.
    fn is_ready_within(&self, state: &State, job: &ActiveJob, boot: Micros, now: Micros) -> bool {
        let dependencies = &state.cache.dependencies;
        let ready = |id: &JobId| dependencies.state_of(id) == DependencyState::Ready;
        let request = &job.request;
        ready(&request.id)
            || (request.dependencies.iter().all(ready)
                && self.time_until_ready(state, request, now) <= boot)
    }

    /// What every partition should have, by demand, forecast and the operators' tuning.
    fn desired(
        &self,
        state: &State,
        demands: &[JobDemand<'_>],
        specs: &Specs,
        boot: Micros,
    ) -> Vec<PartitionInventory> {
        let now = self.now();
        let tuning = &self.settings.operator.tuning;
        let provisioning = &state.provisioning;
        let within = &self.scheduler_config.start_within;
        let desired = |(partition, demand): (u32, CapacityDemand)| {
            let expected = provisioning.forecast.expected(partition, boot, within, now);
            let unmet = match provisioning.unmet_demand.get(&partition) {
                Some(unmet) if now - unmet.at < UNMET_DEMAND_VALID => unmet.hosts,
                _ => 0.0,
            };
            let floor = tuning.min_machines_of(partition, self.settings.size);
            PartitionInventory {
                desired: tuning.planned(demand.total(), expected + unmet, floor),
                desired_on_demand: tuning.planned(demand.ordinary, expected, floor),
                desired_pressing: tuning.planned(demand.pressing, 0.0, 0),
                ..PartitionInventory::default()
            }
        };
        let planned = plan(demands, &self.scheduler_config, specs);
        (0..).zip(planned).map(desired).collect()
    }

    /// What the partitions lack, for assigning machines to them. Called for heartbeats of
    /// machines without a record.
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
            inventory: self.inventory(state),
            hosts_in_zone,
        }
    }
}
