//! What is kept of dealings with the cloud, by the leader and by owners. The leader's part exists
//! only while this controller leads and is changed by the leader's round, by reports of machines
//! that have come up, and by the loading and unloading of the role.

use crate::{settings::Settings, token_bucket::TokenBucket};
use jasperhill_scheduler::{
    autoscaler::DemandForecast,
    boot_times::{BootTimes, replaceable},
    config::{MachineSpec, Specs},
};
use jasperhill_wire::{HostId, Micros, Name, Revision, cloud::RentRequest};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the cloud's limit that its only caller, the leader, uses.
const USED_SHARE: f64 = 0.8;
/// So long before now a new leader takes the last list to be: longer than any interval between
/// lists, so that it asks for one at once.
const LISTED_LONG_AGO: Micros = Micros::from_secs(3_000);

/// What is kept of dealings with the cloud.
pub(crate) struct ProvisioningState {
    /// What the leader knows; `None` while this controller does not lead.
    pub leader: Option<LeaderState>,
    /// Bounds the requests to the cloud.
    pub requests: TokenBucket,
    /// Machines that are to be returned.
    pub returning: BTreeSet<HostId>,
    /// What rejected jobs would need, by partition.
    pub unmet_demand: BTreeMap<u32, UnmetDemand>,
    /// What demand is expected, by what has come lately.
    pub forecast: DemandForecast,
    /// How many more machines can be had, as the leader last said.
    pub spare_capacity: Option<SpareCapacity>,
}

/// What the rejected jobs of a partition would need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnmetDemand {
    /// Hosts, with fractions.
    pub hosts: f64,
    /// When that became known here.
    pub at: Micros,
}

/// The machines that the fleet can scale out by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareCapacity {
    /// How many, for all partitions together.
    pub machines: u32,
    /// How long they take to come up.
    pub boot_time: Micros,
    /// When that became known here.
    pub at: Micros,
}

impl ProvisioningState {
    /// That of a process that has just started.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let rate = settings.cloud_rps;
        Self {
            leader: None,
            requests: TokenBucket::new(rate * USED_SHARE, rate, now),
            returning: BTreeSet::new(),
            unmet_demand: BTreeMap::new(),
            forecast: DemandForecast::new(now),
            spare_capacity: None,
        }
    }
}

/// What machines are rented by: their type, where, and on which terms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineOffer {
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Spot machines, or on-demand ones.
    pub spot: bool,
}

impl MachineOffer {
    /// The offers of a machine type: one for each of its zones.
    pub(super) fn of(spec: &MachineSpec, spot: bool) -> impl Iterator<Item = Self> + '_ {
        spec.zones.iter().map(move |zone| Self {
            machine_type: spec.machine_type.clone(),
            zone: zone.clone(),
            spot,
        })
    }
}

/// A machine that was rented and has not come up yet.
pub(crate) struct BootingMachine {
    /// What it was rented by.
    pub offer: MachineOffer,
    /// When its boot began, by the steady clock.
    pub since: Micros,
}

/// How many machines are booting that count as supply.
#[derive(Clone, Copy, Debug)]
pub(super) struct BootingSupply {
    /// Spot machines.
    pub spot: i64,
    /// On-demand machines.
    pub on_demand: i64,
}

/// What the leader of the fleet knows. Lost with the role; the machine list brings it back.
pub(crate) struct LeaderState {
    /// The revision at which the role came here; guards the leader's writes.
    pub since: Revision,
    /// Rentals asked for under this leadership.
    pub(super) rentals: u64,
    /// Machines that were rented and have not come up yet.
    pub booting: BTreeMap<HostId, BootingMachine>,
    /// How long machines take to come up.
    pub(super) boot_times: BootTimes,
    /// When a machine was first seen in a list, or by its record.
    pub(super) first_seen: BTreeMap<HostId, Micros>,
    /// Offers without capacity, and until when they are not asked for again.
    pub(super) exhausted: BTreeMap<MachineOffer, Micros>,
    /// A rental whose answer is not known yet: asked again under the same name.
    pub(super) pending_rental: Option<RentRequest>,
    /// When the last whole list was read.
    pub(super) listed_at: Micros,
    /// A whole list was read under this leadership.
    pub(super) has_list: bool,
    /// Since when a host has been free.
    pub(super) free_since: BTreeMap<HostId, Micros>,
    /// Machines returned already, which the list may still show, and when.
    pub(super) returned: BTreeMap<HostId, Micros>,
}

impl LeaderState {
    /// That of a leadership that has just begun.
    pub fn new(since: Revision, now: Micros) -> Self {
        Self {
            since,
            rentals: 0,
            booting: BTreeMap::new(),
            boot_times: BootTimes::default(),
            first_seen: BTreeMap::new(),
            exhausted: BTreeMap::new(),
            pending_rental: None,
            listed_at: now - LISTED_LONG_AGO,
            has_list: false,
            free_since: BTreeMap::new(),
            returned: BTreeMap::new(),
        }
    }

    /// A machine without a record has sent a heartbeat: it is up.
    pub fn came_up(&mut self, id: &HostId, now: Micros) {
        if let Some(machine) = self.booting.remove(id) {
            let MachineOffer {
                machine_type, zone, ..
            } = &machine.offer;
            self.boot_times
                .record(machine_type, zone, now - machine.since, now);
        }
    }

    /// Whether a machine is known to be booting.
    pub fn expects(&self, id: &HostId) -> bool {
        self.booting.contains_key(id) && !self.returned.contains_key(id)
    }

    /// The booting machines that count as supply. Those that are late do not, so that others
    /// are rented in their place; but no more than can be paid for if all of them come after
    /// all. `fleet`: the hosts that there are.
    pub(super) fn booting_supply(&self, specs: &Specs, fleet: usize, now: Micros) -> BootingSupply {
        let (mut spot, mut on_demand, mut late) = (0, 0, 0);
        for machine in self.booting.values() {
            if late < replaceable(fleet) && self.is_late(machine, specs, now) {
                late += 1;
            } else if machine.offer.spot {
                spot += 1;
            } else {
                on_demand += 1;
            }
        }
        BootingSupply { spot, on_demand }
    }

    fn is_late(&self, machine: &BootingMachine, specs: &Specs, now: Micros) -> bool {
        let MachineOffer {
            machine_type, zone, ..
        } = &machine.offer;
        specs.get(machine_type).is_some_and(|spec| {
            let age = now - machine.since;
            self.boot_times
                .is_late(machine_type, zone, spec.boot, age, now)
        })
    }
}
