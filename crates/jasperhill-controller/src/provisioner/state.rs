//! State of the provisioner, for the leader and for partition owners. The leader's part exists only
//! while this controller is the leader. It is changed by the leader's rounds, by first heartbeats of
//! machines that have booted, and by the loading and unloading of the leader role.

use crate::{settings::Settings, token_bucket::TokenBucket};
use jasperhill_scheduler::{
    CapacityClaims,
    autoscaler::DemandForecast,
    boot_times::{BootTimes, max_late_replacements},
    config::Specs,
    rental_plan::{ExpectedMachine, MachineOffer, PartitionMissing},
};
use jasperhill_wire::{
    HostId, Micros, Revision,
    cloud::{MachineTypes, RentRequest},
    mesh::MissingHosts,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Fraction of the cloud's rate limit that the leader, its only regular caller, uses.
const CLOUD_RATE_SHARE: f64 = 0.8;
/// Time for which an owner's report of unmet demand is valid. Owners report every second.
const UNMET_DEMAND_MAX_AGE: Micros = Micros::from_secs(8);
/// Time after which an owner's reports count a host that was assigned to its partition.
const ASSIGNMENT_REPORT_DELAY: Micros = Micros::from_secs(5);
/// Assumed age of the last machine list at the start of a leadership. Longer than any interval
/// between lists, so that a new leader requests a list at once.
const INITIAL_LIST_AGE: Micros = Micros::from_secs(3_000);

/// The provisioner's state of a controller.
pub(crate) struct ProvisioningState {
    /// The leader's state; `None` while this controller is not the leader.
    pub leader: Option<LeaderState>,
    /// Machine types as this controller last fetched them; `None` if it has not, or if they are too
    /// long for the store.
    pub fetched_types: Option<MachineTypes>,
    /// Rate limiter of requests to the cloud.
    pub request_limiter: TokenBucket,
    /// Machines that the leader is to return to the cloud.
    pub machines_to_return: BTreeSet<HostId>,
    /// Capacity that recently rejected jobs and waiting jobs lack, by partition.
    pub unmet_demand: BTreeMap<u32, UnmetDemand>,
    /// Claims of the waiting jobs in this controller's partitions, by partition.
    pub claims: BTreeMap<u32, CapacityClaims>,
    /// Forecast of demand from recently submitted jobs.
    pub forecast: DemandForecast,
    /// The spare capacity last reported by the leader; `None` if none was reported yet.
    pub spare_capacity: Option<SpareCapacity>,
}

/// Capacity that the rejected and waiting jobs of a partition lack, as its owner reported it.
#[derive(Clone, Debug)]
pub(crate) struct UnmetDemand {
    /// Hosts that the rejected jobs would need, possibly a fraction.
    pub hosts: f64,
    /// Hosts that waiting jobs lack.
    pub missing: Vec<MissingHosts>,
    /// When this controller learned of the demand, by the steady clock.
    pub received_at: Micros,
}

impl UnmetDemand {
    /// Returns whether no job lacks anything.
    pub fn is_empty(&self) -> bool {
        self.hosts <= 0.0 && self.missing.is_empty()
    }
}

/// Machines that are booting or are assumed to be rentable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareCapacity {
    /// Number of machines, for all partitions together.
    pub machines: u32,
    /// The time that spare machines usually take to boot.
    pub boot_time: Micros,
    /// When this controller learned of the capacity, by the steady clock.
    pub received_at: Micros,
}

impl ProvisioningState {
    /// Creates the state of a process that has just started.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let rate = settings.cloud_rps;
        Self {
            leader: None,
            fetched_types: None,
            request_limiter: TokenBucket::new(rate * CLOUD_RATE_SHARE, rate, now),
            machines_to_return: BTreeSet::new(),
            unmet_demand: BTreeMap::new(),
            claims: BTreeMap::new(),
            forecast: DemandForecast::new(now),
            spare_capacity: None,
        }
    }

    /// Returns what the owner of a partition last reported as unmet, unless that is too old.
    pub fn unmet_demand_of(&self, partition: u32, now: Micros) -> Option<&UnmetDemand> {
        let unmet = self.unmet_demand.get(&partition)?;
        (now - unmet.received_at < UNMET_DEMAND_MAX_AGE).then_some(unmet)
    }

    /// Returns the hosts that waiting jobs of all partitions lack, for the job first that has lacked
    /// hosts for longest.
    pub fn missing_hosts(&self, now: Micros) -> Vec<PartitionMissing> {
        let partitions = self.unmet_demand.keys();
        let reports = partitions.filter_map(|p| Some((*p, self.unmet_demand_of(*p, now)?)));
        let mut missing: Vec<PartitionMissing> = reports
            .flat_map(|(partition, unmet)| {
                let entries = unmet.missing.iter().cloned();
                entries.map(move |missing| PartitionMissing { partition, missing })
            })
            .collect();
        missing.sort_by_key(|entry| Reverse(entry.missing.missing_for));
        missing
    }
}

/// A rented machine that has not sent a heartbeat yet.
pub(crate) struct BootingMachine {
    /// The offer under which the machine was rented.
    pub offer: MachineOffer,
    /// When the machine started to boot, by the steady clock.
    pub since: Micros,
}

/// Numbers of booting machines that count as supply.
#[derive(Clone, Copy, Debug)]
pub(super) struct BootingSupply {
    /// Number of spot machines.
    pub spot: i64,
    /// Number of on-demand machines.
    pub on_demand: i64,
}

/// The provisioner's state of the leader. It is lost with the role; a new leader rebuilds it from
/// the machine list.
pub(crate) struct LeaderState {
    /// The revision at which this controller became the leader. It guards the leader's writes.
    pub leader_since_revision: Revision,
    /// Number of rentals begun in this leadership; part of the rentals' names.
    pub(super) rental_count: u64,
    /// Rented machines that have not sent a heartbeat yet.
    pub booting: BTreeMap<HostId, BootingMachine>,
    /// Recently observed boot times, by machine type and zone.
    pub(super) boot_times: BootTimes,
    /// When each machine was first seen in a machine list or by its record, by the steady clock.
    pub(super) first_seen: BTreeMap<HostId, Micros>,
    /// Offers for which the cloud had no capacity, and the time until which they are not tried again.
    pub(super) exhausted_offers: BTreeMap<MachineOffer, Micros>,
    /// The rental whose outcome is not known yet. It is retried under the same name, so that it
    /// takes effect only once.
    pub(super) pending_rental: Option<RentRequest>,
    /// When the last complete machine list was read, by the steady clock.
    pub(super) listed_at: Micros,
    /// Whether a complete machine list was read in this leadership.
    pub(super) has_machine_list: bool,
    /// The time since which each free host has been free, by the steady clock.
    pub(super) free_since: BTreeMap<HostId, Micros>,
    /// Hosts that were given to partitions lately, and when. The owners' reports may not count them
    /// yet.
    recently_assigned: Vec<(ExpectedMachine, Micros)>,
    /// Machines that were returned to the cloud, and when. The machine list may still show them.
    pub(super) returned: BTreeMap<HostId, Micros>,
}

impl LeaderState {
    /// Creates the state of a leadership that has just begun at revision `since`.
    pub fn new(since: Revision, now: Micros) -> Self {
        Self {
            leader_since_revision: since,
            rental_count: 0,
            booting: BTreeMap::new(),
            boot_times: BootTimes::default(),
            first_seen: BTreeMap::new(),
            exhausted_offers: BTreeMap::new(),
            pending_rental: None,
            listed_at: now - INITIAL_LIST_AGE,
            has_machine_list: false,
            free_since: BTreeMap::new(),
            recently_assigned: Vec::new(),
            returned: BTreeMap::new(),
        }
    }

    /// Records that a machine has booted: it has sent a heartbeat and has no record yet. Its boot time
    /// is added to the observed ones.
    pub fn record_boot_completed(&mut self, id: &HostId, now: Micros) {
        if let Some(machine) = self.booting.remove(id) {
            let MachineOffer {
                machine_type, zone, ..
            } = &machine.offer;
            self.boot_times
                .record(machine_type, zone, now - machine.since, now);
        }
    }

    /// Returns whether a machine is known to be booting and has not been returned.
    pub fn is_booting(&self, id: &HostId) -> bool {
        self.booting.contains_key(id) && !self.returned.contains_key(id)
    }

    /// Returns the booting machines that count as supply. Late machines do not count, so that others
    /// are rented in their place. The number of late machines left out is limited according to
    /// `host_count`, the current number of hosts: this bounds the cost if all late machines come up
    /// after all.
    pub(super) fn booting_in_time<'a>(
        &'a self,
        specs: &'a Specs,
        host_count: usize,
        now: Micros,
    ) -> impl Iterator<Item = &'a MachineOffer> {
        let mut late = 0;
        let machines = self.booting.values().filter(move |machine| {
            let is_left_out =
                late < max_late_replacements(host_count) && self.is_late(machine, specs, now);
            late += usize::from(is_left_out);
            !is_left_out
        });
        machines.map(|machine| &machine.offer)
    }

    /// Returns the numbers of booting machines that count as supply; see
    /// [`Self::booting_in_time`].
    pub(super) fn booting_supply(
        &self,
        specs: &Specs,
        host_count: usize,
        now: Micros,
    ) -> BootingSupply {
        let (mut spot, mut on_demand) = (0, 0);
        for offer in self.booting_in_time(specs, host_count, now) {
            if offer.spot {
                spot += 1;
            } else {
                on_demand += 1;
            }
        }
        BootingSupply { spot, on_demand }
    }

    /// Records that a machine of this kind was given to a partition.
    pub(crate) fn record_assignment(&mut self, partition: u32, offer: MachineOffer, now: Micros) {
        let machine = ExpectedMachine {
            offer,
            partition: Some(partition),
        };
        self.recently_assigned
            .retain(|(_, at)| now - *at < ASSIGNMENT_REPORT_DELAY);
        self.recently_assigned.push((machine, now));
    }

    /// Returns the machines that will serve missing hosts although the owners' reports do not count
    /// them: machines that boot, and hosts that were assigned lately.
    pub(super) fn expected_machines(
        &self,
        specs: &Specs,
        host_count: usize,
        now: Micros,
    ) -> Vec<ExpectedMachine> {
        let recently_assigned = self.recently_assigned.iter();
        let assigned = recently_assigned.filter(|(_, at)| now - *at < ASSIGNMENT_REPORT_DELAY);
        let booting = self.booting_in_time(specs, host_count, now);
        let unassigned = |offer: &MachineOffer| ExpectedMachine {
            offer: offer.clone(),
            partition: None,
        };
        assigned
            .map(|(machine, _)| machine.clone())
            .chain(booting.map(unassigned))
            .collect()
    }

    /// Returns whether a machine has been booting for longer than its type usually takes in its
    /// zone. False for an unknown machine type.
    fn is_late(&self, machine: &BootingMachine, specs: &Specs, now: Micros) -> bool {
        let MachineOffer {
            machine_type, zone, ..
        } = &machine.offer;
        specs.get(machine_type).is_some_and(|spec| {
            let age = now - machine.since;
            self.boot_times
                .is_late(machine_type, zone, spec.nominal_boot_time, age, now)
        })
    }
}
