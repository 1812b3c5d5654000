//! Renting: how many machines of which kind, where, and what others may count on.

use super::Booting;
use crate::shared::Shared;
use jasperhill_http::Method;
use jasperhill_wire::{
    Micros, Name,
    cloud::{HostNames, RentRequest},
    mesh::MeshRequest,
    record::HostAssignment,
};
use std::rc::Rc;

use super::inventory::Inventory;

/// Machines asked for in one request, at most; the cloud's own bound.
const RENT_MAX: u32 = 50;

impl Shared {
    /// Refused jobs come again: the fleet grows for them as for accepted ones.
    pub(super) fn tell_unmet(self: &Rc<Self>) {
        let now = self.now();
        let mut tell = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            for p in state.scheduling.partitions.keys() {
                let hosts: f64 = state
                    .scheduling
                    .rejected
                    .values()
                    .filter(|r| r.partition == *p && now - r.last < Micros::from_secs(6))
                    .map(|r| r.hosts / 1.5)
                    .sum();
                let old = state
                    .provisioning
                    .unmet_demand
                    .insert(*p, (hosts, now))
                    .map_or(0.0, |(h, _)| h);
                if hosts > 0.0 || old > 0.0 {
                    tell.push((*p, (hosts * 1e3) as u32));
                }
            }
        }
        for (partition, thousandths) in tell {
            for peer in &self.settings.peers {
                let (inner, address) = (self.clone(), peer.address);
                self.clone().spawn(async move {
                    let ask = MeshRequest::UnmetDemand {
                        partition,
                        thousandths,
                    };
                    inner.mesh_call(address, ask, Micros::from_secs(1)).await;
                });
            }
        }
    }

    /// Tells the others how many machines can still be had, for their admission tests.
    pub(super) fn tell_elastic(self: &Rc<Self>) {
        let now = self.now();
        let (machines, ready) = {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            let (Some(leader), Some(specs)) = (&state.provisioning.leader, &state.scheduling.specs)
            else {
                return;
            };
            let open = specs
                .values()
                .flat_map(|s| s.zones.iter().map(move |z| (&s.machine_type, z)))
                .flat_map(|(k, z)| [(k, z, false), (k, z, true)])
                .filter(|(k, z, spot)| {
                    let place = ((*k).clone(), (*z).clone(), *spot);
                    leader.refused.get(&place).is_none_or(|until| now >= *until)
                })
                .count();
            // How many a place still has is not known: some in proportion to the fleet.
            let each = (state.cache.hosts.len() / 20).max(3);
            // The admission test counts only what will truly be there.
            let (spot, ordinary) = leader.coming(specs, state.cache.hosts.len(), now);
            let machines = (spot + ordinary) as u32 + (each * open) as u32;
            let ready = specs
                .values()
                .flat_map(|s| s.zones.iter().map(move |z| (s, z)))
                .map(|(s, z)| leader.boots.usual(&s.machine_type, z, s.boot, now))
                .max()
                .unwrap_or_default();
            state.provisioning.spare_capacity = Some((machines, ready, now));
            (machines, ready)
        };
        for peer in &self.settings.peers {
            let (inner, address) = (self.clone(), peer.address);
            self.clone().spawn(async move {
                inner
                    .mesh_call(
                        address,
                        MeshRequest::SpareCapacity {
                            machines,
                            boot_time: ready,
                        },
                        Micros::from_secs(1),
                    )
                    .await;
            });
        }
    }

    /// The next rental, if machines are short.
    pub(super) fn next_rental(&self) -> Option<RentRequest> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let stocks = self.inventory(&guarded);
        let state = &mut *guarded;
        let specs = state.scheduling.specs.clone()?;
        let leader = state.provisioning.leader.as_mut()?;
        if let Some(rental) = &leader.rental {
            return Some(rental.clone());
        }
        if !leader.complete {
            return None;
        }
        let free = state
            .cache
            .hosts
            .values()
            .filter(|k| k.value.assignment == HostAssignment::Free)
            .count();
        let (booting_spot, booting_ordinary) = leader.coming(&specs, state.cache.hosts.len(), now);
        let booting = booting_spot + booting_ordinary + free as i64;
        let sum = |f: &dyn Fn(&Inventory) -> i64| stocks.iter().map(|s| f(s).max(0)).sum::<i64>();
        let short = sum(&|s| s.want - s.have) - booting;
        let short_ordinary = sum(&|s| s.want_ordinary - s.have_ordinary) - booting_ordinary;
        // Work that may run on spot machines makes way on the ordinary ones: where those have
        // run out, spot machines help as well.
        let short_spot = sum(&|s| (s.want - s.want_ordinary) - (s.have - s.have_ordinary))
            .min(sum(&|s| s.want - s.have))
            - booting_spot;
        let order = if short_ordinary > 0 {
            [(short_ordinary, false), (short.min(short_spot), true)]
        } else {
            [(short, true), (short, false)]
        };
        leader.refused.retain(|_, until| *until > now);
        for (count, spot) in order {
            if count <= 0 {
                continue;
            }
            // Where the fewest are, so that a lost zone takes the least with it.
            let mut places: Vec<(usize, u64, Name, Name)> = specs
                .values()
                .flat_map(|s| s.zones.iter().map(move |z| (s, z)))
                .filter(|(s, z)| {
                    !leader
                        .refused
                        .contains_key(&(s.machine_type.clone(), (*z).clone(), spot))
                })
                .map(|(s, z)| {
                    let here = state
                        .cache
                        .hosts
                        .values()
                        .filter(|k| &k.value.zone == z)
                        .count()
                        + leader.booting.values().filter(|b| &b.zone == z).count();
                    let price = if spot { s.spot_price } else { s.price };
                    (
                        here,
                        (price * 1e3) as u64,
                        s.machine_type.clone(),
                        z.clone(),
                    )
                })
                .collect();
            places.sort();
            if let Some((_, _, kind, zone)) = places.into_iter().next() {
                leader.counter += 1;
                let spread = (count as u32).div_ceil(2).clamp(1, RENT_MAX);
                let rental = RentRequest {
                    // Unique: the revision of this leadership, and a counter.
                    request: format!("r-{}-{}", leader.since, leader.counter),
                    machine_type: kind,
                    zone,
                    spot,
                    count: spread.min(count as u32),
                };
                leader.rental = Some(rental.clone());
                return Some(rental);
            }
        }
        None
    }

    pub(super) async fn rent(self: &Rc<Self>) {
        for _ in 0..3 {
            if !self.has_authority() {
                return;
            }
            let Some(rental) = self.next_rental() else {
                return;
            };
            let body = serde_json::to_vec(&rental).unwrap_or_default();
            let answer = self.cloud_call(Method::Post, "/rentals", body).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let Some(leader) = state.provisioning.leader.as_mut() else {
                return;
            };
            match answer {
                Some(a) if a.status == 200 => {
                    leader.rental = None;
                    let hosts = serde_json::from_slice::<HostNames>(&a.body)
                        .map(|n| n.hosts)
                        .unwrap_or_default();
                    tracing::info!(
                        rental = %rental.request, zone = %rental.zone, spot = rental.spot,
                        wanted = rental.count, got = hosts.len(), ?hosts, "rented"
                    );
                    if hosts.len() < rental.count as usize {
                        let place = (
                            rental.machine_type.clone(),
                            rental.zone.clone(),
                            rental.spot,
                        );
                        leader.refused.insert(place, now + Micros::from_secs(15));
                    }
                    for id in hosts {
                        let booting = Booting {
                            kind: rental.machine_type.clone(),
                            zone: rental.zone.clone(),
                            spot: rental.spot,
                            since: now,
                        };
                        leader.booting.insert(id, booting);
                    }
                }
                Some(a) if a.status == 503 && a.body.windows(8).any(|w| w == b"capacity") => {
                    tracing::info!(zone = %rental.zone, spot = rental.spot, "no capacity");
                    leader.rental = None;
                    let place = (rental.machine_type, rental.zone, rental.spot);
                    leader.refused.insert(place, now + Micros::from_secs(15));
                }
                Some(a) if a.status == 400 => {
                    tracing::warn!(rental = %rental.request, "rental refused as malformed");
                    leader.rental = None;
                }
                // An outage, a limit or no answer: the same name again later.
                _ => return,
            }
        }
    }
}
