//! What controllers tell each other of capacity: owners what rejected jobs would need, the leader
//! how many machines the fleet can still scale out by.

use super::state::{LeaderState, MachineOffer, SpareCapacity, UnmetDemand};
use crate::{shared::Shared, state::State};
use jasperhill_scheduler::config::Specs;
use jasperhill_wire::{Micros, mesh::MeshRequest};
use std::rc::Rc;

/// How long another controller's answer is waited for.
const TIMEOUT: Micros = Micros::from_secs(1);
/// A rejected job counts as demand for so long: a client that has given up does not come again.
const REJECTED_COUNTS: Micros = Micros::from_secs(6);
/// Rejected jobs count for less than accepted ones by this: some fit without more machines.
const REJECTED_DISCOUNT: f64 = 1.5;
/// The unit of unmet demand in messages: this many parts of a host.
const PARTS_PER_HOST: f64 = 1e3;
/// An offer that was not exhausted yet is taken to have a machine for every so many hosts ...
const HOSTS_PER_OFFERED_MACHINE: usize = 20;
/// ... and at least so many.
const OFFERED_MACHINES_MIN: usize = 3;

impl Shared {
    /// Tells the others what rejected jobs would need: they come again, and the fleet scales out
    /// for them as for accepted ones.
    pub(super) fn broadcast_unmet_demand(self: &Rc<Self>) {
        for message in self.note_unmet_demand() {
            self.broadcast(&message);
        }
    }

    /// Notes what the rejected jobs of each partition owned here would need; the messages for
    /// the others, where that is or was anything.
    fn note_unmet_demand(&self) -> Vec<MeshRequest> {
        let now = self.now();
        let mut messages = Vec::new();
        let mut guarded = self.state.borrow_mut();
        let State {
            scheduling,
            provisioning,
            ..
        } = &mut *guarded;
        for partition in scheduling.partitions.keys().copied() {
            let hosts: f64 = scheduling
                .rejected
                .values()
                .filter(|job| job.partition == partition && now - job.last < REJECTED_COUNTS)
                .map(|job| job.hosts / REJECTED_DISCOUNT)
                .sum();
            let demand = UnmetDemand { hosts, at: now };
            let before = provisioning.unmet_demand.insert(partition, demand);
            if hosts > 0.0 || before.is_some_and(|demand| demand.hosts > 0.0) {
                messages.push(MeshRequest::UnmetDemand {
                    partition,
                    thousandths: (hosts * PARTS_PER_HOST) as u32,
                });
            }
        }
        messages
    }

    /// Tells the others how many machines the fleet can still scale out by, for their admission
    /// tests.
    pub(super) fn broadcast_spare_capacity(self: &Rc<Self>) {
        let spare = {
            let mut state = self.state.borrow_mut();
            let Some(spare) = self.spare_capacity(&state) else {
                return;
            };
            state.provisioning.spare_capacity = Some(spare);
            spare
        };
        self.broadcast(&MeshRequest::SpareCapacity {
            machines: spare.machines,
            boot_time: spare.boot_time,
        });
    }

    /// The machines that the fleet can still scale out by; `None` where this controller does not
    /// lead.
    fn spare_capacity(&self, state: &State) -> Option<SpareCapacity> {
        let now = self.now();
        let leader = state.provisioning.leader.as_ref()?;
        let specs = state.scheduling.specs.as_ref()?;
        let fleet = state.cache.hosts.len();
        // How many machines an offer still has is not known: some in proportion to the fleet.
        let per_offer = (fleet / HOSTS_PER_OFFERED_MACHINE).max(OFFERED_MACHINES_MIN);
        // The admission test counts only what will truly be there.
        let booting = leader.booting_supply(specs, fleet, now);
        let boot_time = specs
            .values()
            .flat_map(|spec| spec.zones.iter().map(move |zone| (spec, zone)))
            .map(|(spec, zone)| {
                let boot_times = &leader.boot_times;
                boot_times.usual(&spec.machine_type, zone, spec.boot, now)
            })
            .max()
            .unwrap_or_default();
        Some(SpareCapacity {
            machines: (booting.spot + booting.on_demand) as u32
                + (per_offer * open_offers(leader, specs, now)) as u32,
            boot_time,
            at: now,
        })
    }

    /// Sends a message to every other controller.
    fn broadcast(self: &Rc<Self>, message: &MeshRequest) {
        for peer in &self.settings.peers {
            let (shared, address, message) = (self.clone(), peer.address, message.clone());
            self.clone().spawn(async move {
                shared.mesh_call(address, message, TIMEOUT).await;
            });
        }
    }
}

/// How many offers are not known to be exhausted.
fn open_offers(leader: &LeaderState, specs: &Specs, now: Micros) -> usize {
    let offers = specs
        .values()
        .flat_map(|spec| [false, true].map(|spot| MachineOffer::of(spec, spot)));
    offers
        .flatten()
        .filter(|offer| {
            leader
                .exhausted
                .get(offer)
                .is_none_or(|until| now >= *until)
        })
        .count()
}
