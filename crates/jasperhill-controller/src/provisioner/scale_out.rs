//! Scaling out: how many machines of which type are rented, and where.

use super::{
    inventory::PartitionInventory,
    state::{BootingMachine, BootingSupply, LeaderState, MachineOffer},
};
use crate::{shared::Shared, watch_cache::WatchCache};
use jasperhill_http::{Method, Response};
use jasperhill_scheduler::config::Specs;
use jasperhill_wire::{
    Micros, Name,
    cloud::{HostNames, RentRequest},
    record::HostAssignment,
};
use std::rc::Rc;

/// Machines asked for in one request, at most; the cloud's own bound.
const RENT_MAX: u32 = 50;
/// Rentals in one round, at most.
const RENTALS_PER_ROUND: usize = 3;
/// An offer without capacity is left alone for so long.
const EXHAUSTED_FOR: Micros = Micros::from_secs(15);
/// What the cloud's answer contains if it has no machine to offer.
const NO_CAPACITY: &[u8] = b"capacity";
/// Prices are compared in this part of their unit.
const PRICE_PARTS: f64 = 1e3;

/// The machines that are to be rented, beyond those that are booting.
struct Shortage {
    /// Of any terms.
    total: i64,
    /// That have to be on-demand machines.
    on_demand: i64,
    /// That may be spot machines.
    spot: i64,
}

/// Machines to ask for, on some terms.
struct Order {
    count: i64,
    spot: bool,
}

impl Shortage {
    /// `free`: hosts that belong to no partition.
    fn new(inventory: &[PartitionInventory], booting: BootingSupply, free: i64) -> Self {
        let sum = |lack: fn(&PartitionInventory) -> i64| -> i64 {
            inventory.iter().map(|p| lack(p).max(0)).sum()
        };
        let total = sum(|p| p.desired - p.actual);
        let on_demand = sum(|p| p.desired_on_demand - p.actual_on_demand);
        // Work that may run on spot machines makes way on the on-demand ones: where those have
        // run out, spot machines help as well.
        let spot = sum(|p| (p.desired - p.desired_on_demand) - (p.actual - p.actual_on_demand));
        Self {
            total: total - (booting.spot + booting.on_demand + free),
            on_demand: on_demand - booting.on_demand,
            spot: spot.min(total) - booting.spot,
        }
    }

    /// What to ask for, the first that can be had.
    fn orders(&self) -> [Order; 2] {
        let order = |count, spot| Order { count, spot };
        if self.on_demand > 0 {
            [
                order(self.on_demand, false),
                order(self.total.min(self.spot), true),
            ]
        } else {
            [order(self.total, true), order(self.total, false)]
        }
    }
}

/// How well an offer suits, the smaller the better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OfferRank {
    /// Where the fewest are, so that a lost zone takes the least with it.
    machines_in_zone: usize,
    price: u64,
    machine_type: Name,
    zone: Name,
}

/// The offer that suits best and is not exhausted.
fn best_offer(
    leader: &LeaderState,
    cache: &WatchCache,
    specs: &Specs,
    spot: bool,
) -> Option<MachineOffer> {
    let machines_in = |zone: &Name| {
        let hosts = cache.hosts.values().filter(|e| &e.value.zone == zone);
        let booting = leader.booting.values().filter(|b| &b.offer.zone == zone);
        hosts.count() + booting.count()
    };
    let ranks = specs.values().flat_map(|spec| {
        let price = if spot { spec.spot_price } else { spec.price };
        MachineOffer::of(spec, spot)
            .filter(|offer| !leader.exhausted.contains_key(offer))
            .map(move |offer| OfferRank {
                machines_in_zone: machines_in(&offer.zone),
                price: (price * PRICE_PARTS) as u64,
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
    /// Rents machines as long as they are short and the cloud has some.
    pub(super) async fn scale_out(self: &Rc<Self>) {
        for _ in 0..RENTALS_PER_ROUND {
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
            // An outage, a limit or no answer: the same name again later.
            let Some(outcome) = response.and_then(RentalOutcome::of) else {
                return;
            };
            leader.finish_rental(&rental, outcome, now);
        }
    }

    /// The next rental, if machines are short.
    fn next_rental(&self) -> Option<RentRequest> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let inventory = self.inventory(&guarded);
        let state = &mut *guarded;
        let specs = state.scheduling.specs.clone()?;
        let leader = state.provisioning.leader.as_mut()?;
        if let Some(rental) = &leader.pending_rental {
            return Some(rental.clone());
        }
        if !leader.has_list {
            return None;
        }
        let hosts = &state.cache.hosts;
        let is_free = |assignment| assignment == HostAssignment::Free;
        let free = hosts.values().filter(|e| is_free(e.value.assignment));
        let booting = leader.booting_supply(&specs, hosts.len(), now);
        let shortage = Shortage::new(&inventory, booting, free.count() as i64);
        leader.exhausted.retain(|_, until| *until > now);
        let orders = shortage.orders();
        let (count, offer) = orders
            .into_iter()
            .filter(|order| order.count > 0)
            .find_map(|order| {
                let offer = best_offer(leader, &state.cache, &specs, order.spot)?;
                Some((order.count as u32, offer))
            })?;
        Some(leader.begin_rental(offer, count))
    }
}

/// What became of a rental.
enum RentalOutcome {
    /// These machines were rented; perhaps fewer than were asked for.
    Rented(HostNames),
    /// The cloud has no such machine.
    NoCapacity,
    /// The cloud does not understand the request.
    Malformed,
}

impl RentalOutcome {
    /// What a response says; `None` if that is nothing about the rental.
    fn of(response: Response) -> Option<Self> {
        let contains = |text: &[u8]| response.body.windows(text.len()).any(|w| w == text);
        match response.status {
            200 => {
                let none = HostNames { hosts: Vec::new() };
                let names = serde_json::from_slice(&response.body).unwrap_or(none);
                Some(Self::Rented(names))
            }
            503 if contains(NO_CAPACITY) => Some(Self::NoCapacity),
            400 => Some(Self::Malformed),
            _ => None,
        }
    }
}

impl LeaderState {
    /// Names a new rental, which is asked for until its outcome is known.
    fn begin_rental(&mut self, offer: MachineOffer, short: u32) -> RentRequest {
        self.rentals += 1;
        // Half of what is short, so that the next request may go to another zone.
        let count = short.div_ceil(2).clamp(1, RENT_MAX).min(short);
        let rental = RentRequest {
            // Unique: the revision of this leadership, and a counter.
            request: format!("r-{}-{}", self.since, self.rentals),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        };
        self.pending_rental = Some(rental.clone());
        rental
    }

    /// Notes what became of a rental.
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
                    self.exhausted.insert(offer.clone(), now + EXHAUSTED_FOR);
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
                self.exhausted.insert(offer, now + EXHAUSTED_FOR);
            }
            RentalOutcome::Malformed => {
                tracing::warn!(rental = %rental.request, "rental rejected as malformed");
            }
        }
    }
}
