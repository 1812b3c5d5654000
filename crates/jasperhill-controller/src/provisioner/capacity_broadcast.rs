//! Messages about capacity between controllers: owners report what rejected and waiting jobs lack, and
//! the leader reports by how many machines the fleet can still scale out.

use super::state::{LeaderState, SpareCapacity, UnmetDemand};
use crate::{shared::Shared, state::State};
use jasperhill_scheduler::{config::Specs, rental_plan::MachineOffer};
use jasperhill_wire::{
    Micros,
    mesh::{MeshRequest, MissingHosts},
};
use std::rc::Rc;

/// Timeout of a message to another controller.
const MESH_CALL_TIMEOUT: Micros = Micros::from_secs(1);
/// Time for which a rejected job counts as demand after its last submission. Limited because a
/// client that has given up does not submit the job again.
const REJECTED_JOB_RETENTION: Micros = Micros::from_secs(6);
/// Time for which a job must have lacked hosts until that is reported. Shorter waits end by
/// themselves, as when hosts are about to be registered or machines were rented for the demand.
const MISSING_REPORT_DELAY: Micros = Micros::from_secs(3);
/// Divisor of the demand of rejected jobs, because some of them fit without more machines.
const REJECTED_DEMAND_DIVISOR: f64 = 1.5;
/// Number of units of unmet demand per host in messages, which carry thousandths of a host.
const THOUSANDTHS_PER_HOST: f64 = 1e3;
/// Number of hosts in the fleet for each machine that is assumed to be available in an offer that is
/// not known to be exhausted.
const HOSTS_PER_OFFERED_MACHINE: usize = 20;
/// Minimum number of machines that are assumed to be available in an offer that is not known to be
/// exhausted.
const OFFERED_MACHINES_MIN: usize = 3;

impl Shared {
    /// Reports to the other controllers what rejected and waiting jobs lack. Clients submit rejected
    /// jobs again, so the fleet scales out for them as for accepted jobs.
    pub(super) fn broadcast_unmet_demand(self: &Rc<Self>) {
        for message in self.record_unmet_demand() {
            self.broadcast(&message);
        }
    }

    /// Records for each partition of this controller the claims of its waiting jobs and what its jobs
    /// lack. Returns the messages to the other controllers, one for each partition whose jobs lack or
    /// lacked something.
    fn record_unmet_demand(&self) -> Vec<MeshRequest> {
        let now = self.now();
        let mut messages = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let State {
            scheduling,
            provisioning,
            ..
        } = &mut *state_guard;
        provisioning.claims.clear();
        for (partition, owned) in &mut scheduling.partitions {
            let hosts: f64 = scheduling
                .rejected_jobs
                .values()
                .filter(|job| {
                    job.partition == *partition && now - job.last_submitted < REJECTED_JOB_RETENTION
                })
                .map(|job| job.needed_hosts / REJECTED_DEMAND_DIVISOR)
                .sum();
            let claims = owned.capacity_claims(now);
            let missing = claims.missing.iter();
            let is_reported = |entry: &&MissingHosts| entry.missing_for >= MISSING_REPORT_DELAY;
            let demand = UnmetDemand {
                hosts,
                missing: missing.filter(is_reported).cloned().collect(),
                received_at: now,
            };
            provisioning.claims.insert(*partition, claims);
            let is_unmet = !demand.is_empty();
            let message = MeshRequest::UnmetDemand {
                partition: *partition,
                thousandths: (hosts * THOUSANDTHS_PER_HOST) as u32,
                missing: demand.missing.clone(),
            };
            let previous = provisioning.unmet_demand.insert(*partition, demand);
            if is_unmet || previous.is_some_and(|demand| !demand.is_empty()) {
                messages.push(message);
            }
        }
        messages
    }

    /// Records the spare capacity and reports it to the other controllers for their admission tests, if
    /// this controller is the leader.
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

    /// Estimates the machines by which the fleet can still scale out. Returns `None` if this controller
    /// is not the leader or the machine types are unknown.
    fn spare_capacity(&self, state: &State) -> Option<SpareCapacity> {
        let now = self.now();
        let leader = state.provisioning.leader.as_ref()?;
        let specs = state.scheduling.machine_types.as_ref()?;
        let host_count = state.cache.hosts.len();
        // The cloud does not tell how many machines an offer still has: assume a number in
        // proportion to the fleet.
        let machines_per_offer = (host_count / HOSTS_PER_OFFERED_MACHINE).max(OFFERED_MACHINES_MIN);
        // Late machines don't count: the admission test must rely only on machines that come up.
        let booting = leader.booting_supply(specs, host_count, now);
        let boot_time = specs
            .values()
            .flat_map(|spec| spec.zones.iter().map(move |zone| (spec, zone)))
            .map(|(spec, zone)| {
                let boot_times = &leader.boot_times;
                boot_times.usual_boot_time(&spec.machine_type, zone, spec.nominal_boot_time, now)
            })
            .max()
            .unwrap_or_default();
        Some(SpareCapacity {
            machines: (booting.spot + booting.on_demand) as u32
                + (machines_per_offer * count_available_offers(leader, specs, now)) as u32,
            boot_time,
            received_at: now,
        })
    }

    /// Sends a message to every other controller, without waiting for their responses.
    fn broadcast(self: &Rc<Self>, message: &MeshRequest) {
        for peer in &self.settings.peers {
            let (shared, address, message) = (self.clone(), peer.address, message.clone());
            self.clone().spawn(async move {
                shared.mesh_call(address, message, MESH_CALL_TIMEOUT).await;
            });
        }
    }
}

/// Returns the number of offers that are not known to be exhausted.
fn count_available_offers(leader: &LeaderState, specs: &Specs, now: Micros) -> usize {
    let offers = specs
        .values()
        .flat_map(|spec| [false, true].map(|spot| MachineOffer::offers_of_type(spec, spot)));
    offers
        .flatten()
        .filter(|offer| {
            leader
                .exhausted_offers
                .get(offer)
                .is_none_or(|until| now >= *until)
        })
        .count()
}
