//! Scale-out: decides how many machines of which type to rent, in which zone and on which terms, and
//! rents them from the cloud.

use super::{
    inventory::PartitionInventory,
    state::{BootingMachine, BootingSupply, LeaderState},
};
use crate::{
    shared::Shared,
    watch_cache::{HostEntry, WatchCache},
};
use jasperhill_http::{Method, Response};
use jasperhill_scheduler::{
    config::Specs,
    rental_plan::{ExpectedMachine, MachineOffer, Rental, next_rental},
};
use jasperhill_wire::{
    Micros, Name,
    cloud::{HostNames, RentRequest},
    record::HostAssignment,
};
use std::rc::Rc;

/// Maximum number of machines in one rental, a limit set by the cloud.
const MACHINES_PER_RENTAL_MAX: u32 = 50;
/// Maximum number of rentals in one round of the leader.
const RENTALS_PER_ROUND_MAX: usize = 3;
/// Time for which an offer is not tried again after the cloud had no capacity for it.
const EXHAUSTED_OFFER_BACKOFF: Micros = Micros::from_secs(15);
/// Text in the body of a 503 response by which the cloud reports a lack of machines.
const NO_CAPACITY: &[u8] = b"capacity";
/// Factor by which prices are scaled to integers for their comparison.
const PRICE_SCALE: f64 = 1e3;

/// Numbers of machines to rent in addition to those that are booting; negative for a surplus.
struct Shortage {
    /// Machines in total, spot or on-demand.
    total: i64,
    /// Machines that must be on-demand.
    on_demand: i64,
    /// Machines that may be spot machines.
    spot: i64,
}

/// A number of machines to rent, all spot or all on-demand.
struct RentalOrder {
    /// Number of machines; nothing is rented unless it is positive.
    count: i64,
    /// True for spot machines, false for on-demand machines.
    spot: bool,
}

impl Shortage {
    /// Computes the shortage of all partitions. `free_host_count` is the number of
    /// hosts that belong to no partition.
    fn new(inventory: &[PartitionInventory], booting: BootingSupply, free_host_count: i64) -> Self {
        let sum_shortages = |partition_shortage: fn(&PartitionInventory) -> i64| -> i64 {
            inventory.iter().map(|p| partition_shortage(p).max(0)).sum()
        };
        let total = sum_shortages(|p| p.desired - p.actual);
        let on_demand = sum_shortages(|p| p.desired_on_demand - p.actual_on_demand);
        // Work that may run on spot machines can leave the on-demand machines to other work, so
        // spot machines also help where no on-demand machines can be rented.
        let spot =
            sum_shortages(|p| (p.desired - p.desired_on_demand) - (p.actual - p.actual_on_demand));
        Self {
            total: total - (booting.spot + booting.on_demand + free_host_count),
            on_demand: on_demand - booting.on_demand,
            spot: spot.min(total) - booting.spot,
        }
    }

    /// Returns the possible orders by preference. The first one with a positive count and an
    /// available offer is to be rented.
    fn orders(&self) -> [RentalOrder; 2] {
        let rental_order = |count, spot| RentalOrder { count, spot };
        if self.on_demand > 0 {
            [
                rental_order(self.on_demand, false),
                rental_order(self.total.min(self.spot), true),
            ]
        } else {
            [
                rental_order(self.total, true),
                rental_order(self.total, false),
            ]
        }
    }
}

/// Rank of an offer by number of machines in its zone, then by price. The smallest rank is best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OfferRank {
    /// Hosts and booting machines in the offer's zone. Zones with few machines come first, which
    /// limits the loss if a zone fails.
    machines_in_zone: usize,
    /// Price of a machine, multiplied by `PRICE_SCALE`.
    price: u64,
    machine_type: Name,
    zone: Name,
}

/// Returns the best offer that is not exhausted, or `None` if all are.
fn best_offer(
    leader: &LeaderState,
    cache: &WatchCache,
    specs: &Specs,
    spot: bool,
) -> Option<MachineOffer> {
    let count_machines_in_zone = |zone: &Name| {
        let hosts = cache.hosts.values().filter(|e| &e.value.zone == zone);
        let booting = leader.booting.values().filter(|b| &b.offer.zone == zone);
        hosts.count() + booting.count()
    };
    let ranks = specs.values().flat_map(|spec| {
        let price = if spot { spec.spot_price } else { spec.price };
        MachineOffer::offers_of_type(spec, spot)
            .filter(|offer| !leader.exhausted_offers.contains_key(offer))
            .map(move |offer| OfferRank {
                machines_in_zone: count_machines_in_zone(&offer.zone),
                price: (price * PRICE_SCALE) as u64,
                machine_type: offer.machine_type,
                zone: offer.zone,
            })
            .collect::<Vec<_>>()
    });
    let best = ranks.min()?;
    Some(MachineOffer {
        machine_type: best.machine_type,
        zone: best.zone,
        spot,
    })
}

impl Shared {
    /// Rents machines until there is no shortage, the cloud has none to offer, or the limit of rentals
    /// in a round is reached. Stops if this controller is no longer the leader.
    pub(super) async fn scale_out(self: &Rc<Self>) {
        for _ in 0..RENTALS_PER_ROUND_MAX {
            if !self.has_authority() {
                return;
            }
            let Some(rental) = self.next_rental() else {
                return;
            };
            let body = serde_json::to_vec(&rental).unwrap_or_default();
            let response = self.cloud_call(Method::Post, "/rentals", body).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let Some(leader) = state.provisioning.leader.as_mut() else {
                return;
            };
            // After an outage, a rate limit or no response, the rental is retried later under the
            // same name.
            let Some(outcome) = response.and_then(RentalOutcome::from_response) else {
                return;
            };
            leader.finish_rental(&rental, outcome, now);
        }
    }

    /// Returns the next rental: the pending one if there is any, else a new one if waiting jobs lack
    /// hosts or machines are short.
    /// Returns `None` before the first complete machine list of this leadership.
    fn next_rental(&self) -> Option<RentRequest> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let inventory = self.inventory(&state_guard);
        let state = &mut *state_guard;
        let specs = state.scheduling.machine_types.clone()?;
        let missing = state.provisioning.missing_hosts(now);
        let leader = state.provisioning.leader.as_mut()?;
        if let Some(rental) = &leader.pending_rental {
            return Some(rental.clone());
        }
        if !leader.has_machine_list {
            return None;
        }
        let hosts = &state.cache.hosts;
        let is_free = |assignment| assignment == HostAssignment::Free;
        let free_hosts: Vec<&HostEntry> = hosts
            .values()
            .filter(|e| is_free(e.value.assignment))
            .collect();
        leader.exhausted_offers.retain(|_, until| *until > now);
        let mut expected = leader.expected_machines(&specs, hosts.len(), now);
        expected.extend(free_hosts.iter().map(|entry| ExpectedMachine {
            offer: entry.offer(),
            partition: None,
        }));
        let is_offered = |offer: &MachineOffer| {
            let spec = specs.get(&offer.machine_type);
            spec.is_some_and(|spec| spec.zones.contains(&offer.zone))
                && !leader.exhausted_offers.contains_key(offer)
        };
        if let Some(rental) = next_rental(&missing, &expected, is_offered) {
            let Rental {
                offer,
                count,
                partition,
            } = rental;
            tracing::info!(
                partition, zone = %offer.zone, machine_type = %offer.machine_type,
                spot = offer.spot, count, "machines rented for waiting jobs"
            );
            return Some(leader.begin_rental(offer, count));
        }
        let booting = leader.booting_supply(&specs, hosts.len(), now);
        let shortage = Shortage::new(&inventory, booting, free_hosts.len() as i64);
        let orders = shortage.orders();
        let (count, offer) = orders
            .into_iter()
            .filter(|rental_order| rental_order.count > 0)
            .find_map(|rental_order| {
                let offer = best_offer(leader, &state.cache, &specs, rental_order.spot)?;
                // Rent half of the shortage, so that the next rental can go to another zone.
                Some(((rental_order.count as u32).div_ceil(2), offer))
            })?;
        Some(leader.begin_rental(offer, count))
    }
}

/// Outcome of a rental.
enum RentalOutcome {
    /// These machines were rented, possibly fewer than requested.
    Rented(HostNames),
    /// The cloud has no machine of this offer.
    NoCapacity,
    /// The cloud rejected the request as malformed.
    Malformed,
}

impl RentalOutcome {
    /// Parses a response. Returns `None` if it doesn't tell the outcome, as after an outage or a rate
    /// limit.
    fn from_response(response: Response) -> Option<Self> {
        let body_contains = |text: &[u8]| response.body.windows(text.len()).any(|w| w == text);
        match response.status {
            200 => {
                let no_hosts = HostNames { hosts: Vec::new() };
                let names = serde_json::from_slice(&response.body).unwrap_or(no_hosts);
                Some(Self::Rented(names))
            }
            503 if body_contains(NO_CAPACITY) => Some(Self::NoCapacity),
            400 => Some(Self::Malformed),
            _ => None,
        }
    }
}

impl LeaderState {
    /// Creates a new rental of up to `count` machines and stores it as the pending one, which is
    /// retried until its outcome is known.
    fn begin_rental(&mut self, offer: MachineOffer, count: u32) -> RentRequest {
        self.rental_count += 1;
        let rental = RentRequest {
            // Unique name from the revision of this leadership and a counter.
            request: format!("r-{}-{}", self.leader_since_revision, self.rental_count),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count: count.clamp(1, MACHINES_PER_RENTAL_MAX),
        };
        self.pending_rental = Some(rental.clone());
        rental
    }

    /// Records the outcome of a rental: the rented machines as booting, and the offer as exhausted if
    /// the cloud had fewer machines than requested.
    fn finish_rental(&mut self, rental: &RentRequest, outcome: RentalOutcome, now: Micros) {
        self.pending_rental = None;
        let offer = MachineOffer {
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        };
        match outcome {
            RentalOutcome::Rented(HostNames { hosts }) => {
                tracing::info!(
                    rental = %rental.request, zone = %rental.zone, spot = rental.spot,
                    requested = rental.count, rented = hosts.len(), ?hosts, "machines rented"
                );
                if hosts.len() < rental.count as usize {
                    self.exhausted_offers
                        .insert(offer.clone(), now + EXHAUSTED_OFFER_BACKOFF);
                }
                for id in hosts {
                    let machine = BootingMachine {
                        offer: offer.clone(),
                        since: now,
                    };
                    self.booting.insert(id, machine);
                }
            }
            RentalOutcome::NoCapacity => {
                tracing::info!(zone = %rental.zone, spot = rental.spot, "no capacity");
                self.exhausted_offers
                    .insert(offer, now + EXHAUSTED_OFFER_BACKOFF);
            }
            RentalOutcome::Malformed => {
                tracing::warn!(rental = %rental.request, "rental rejected as malformed");
            }
        }
    }
}
