//! Registration of machines that have no record: the leader writes a record and assigns a partition
//! when a machine's first heartbeat arrives. Registrations are written in batches.

use super::MAX_CONCURRENT_PROBES;
use crate::{
    host_registry::HostUpdate,
    relay::{Worker, requests::status_request},
    shared::{Shared, to_duration},
    store::{WriteOutcome, WritePriority},
};
use jasperhill_scheduler::rental_plan::MachineOffer;
use jasperhill_wire::{
    Micros,
    record::{HostAssignment, HostRecord, Role},
    worker::Heartbeat,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// The largest number of machines in a registration batch.
const MAX_BATCH_SIZE: usize = 500;
/// The time for which a batch collects machines after its first one.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The longest time that the write of a new host record may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_secs(3);
/// The timeout for a probe of an unexpected machine.
const PROBE_TIMEOUT: Micros = Micros::from_secs(2);

/// A planned write of a machine's first record.
struct Registration {
    /// The number of the host block that holds the record.
    block: u32,
    /// The write of the record.
    update: HostUpdate,
}

impl Shared {
    /// Registers a machine without a record if this controller is the leader, and waits until the
    /// record is in the watch cache or until `deadline`. Without the wait, a new machine on the far
    /// side of a network partition would be told to come back later and might reach no controller
    /// during its whole first lease.
    pub(super) async fn register_host(self: &Rc<Self>, heartbeat: &Heartbeat, deadline: Micros) {
        let Some(is_expected) = self.expects_registration(heartbeat) else {
            return;
        };
        if is_expected {
            self.clone()
                .spawn(self.clone().register_in_batch(heartbeat.clone()));
        } else {
            self.clone()
                .spawn(self.clone().register_if_reachable(heartbeat.clone()));
        }
        let registered = async {
            loop {
                let hosts_changed = self.wakeups.hosts_changed.notified();
                if self
                    .state
                    .borrow()
                    .cache
                    .hosts
                    .contains_key(&heartbeat.host)
                {
                    return;
                }
                hosts_changed.await;
            }
        };
        // A machine that is told to come back later while the other controllers are silent returns
        // after ten seconds. Meanwhile it is given tasks, and its first lease may end before it
        // returns.
        let time_left = to_duration(deadline - self.now());
        let _ = tokio::time::timeout(time_left, registered).await;
    }

    /// Returns whether this controller, as the leader, expects a machine that has no record. Returns
    /// `None` if this controller must not register the machine: a record exists, or this controller is
    /// not the leader or has lost its authority.
    fn expects_registration(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let now = self.now();
        let state = self.state.borrow();
        if state.cache.hosts.contains_key(&heartbeat.host) || !state.authority.is_valid_at(now) {
            return None;
        }
        let leader = state.provisioning.leader.as_ref()?;
        Some(leader.is_booting(&heartbeat.host))
    }

    /// Registers an unexpected machine if it answers a probe. The probe guards against a heartbeat that
    /// arrives after its machine was released. The record of a released machine would count as
    /// capacity, so its partition would get no other machine; and as the machine stays silent, the
    /// partition would pass from one owner to the next.
    async fn register_if_reachable(self: Rc<Self>, heartbeat: Heartbeat) {
        let Ok(address) = heartbeat.address.parse::<SocketAddr>() else {
            return;
        };
        let worker = Worker {
            host: &heartbeat.host,
            zone: &heartbeat.zone,
            host_count: MAX_CONCURRENT_PROBES,
            address,
        };
        let result = self
            .call_worker(worker, status_request(), PROBE_TIMEOUT)
            .await;
        let status = result
            .ok()
            .and_then(|response| Heartbeat::parse(&response.body).ok());
        if status.is_some_and(|status| status.host == heartbeat.host) {
            self.register_in_batch(heartbeat).await;
        }
    }

    /// Registers a machine in one batch with the other machines that arrive within `BATCH_DELAY`.
    async fn register_in_batch(self: Rc<Self>, heartbeat: Heartbeat) {
        if !self.enqueue_registration(heartbeat) {
            return;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let heartbeats =
            std::mem::take(&mut self.state.borrow_mut().heartbeats.pending_registrations);
        let registrations = self.plan_registrations(&heartbeats);
        if registrations.is_empty() {
            let mut state = self.state.borrow_mut();
            for heartbeat in heartbeats {
                state
                    .commands
                    .hosts_with_record_update
                    .remove(&heartbeat.host);
            }
        }
        for registration in registrations {
            self.clone()
                .spawn(self.clone().write_registration(registration));
        }
    }

    /// Adds a machine to the next batch, unless its heartbeat is invalid, the batch is full or the
    /// machine's record is being written. Returns true if the machine is the first of the batch, so
    /// that the caller has to start the batch.
    fn enqueue_registration(&self, heartbeat: Heartbeat) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(machine_types) = &state.scheduling.machine_types else {
            return false;
        };
        if !machine_types.contains_key(&heartbeat.machine_type)
            || heartbeat.address.parse::<SocketAddr>().is_err()
            || state.heartbeats.pending_registrations.len() >= MAX_BATCH_SIZE
            || !state
                .commands
                .hosts_with_record_update
                .insert(heartbeat.host.clone())
        {
            return false;
        }
        state.heartbeats.pending_registrations.push(heartbeat);
        state.heartbeats.pending_registrations.len() == 1
    }

    /// Plans the records of new machines, each in the partition that most needs its capacity. Returns
    /// an empty list if this controller is no longer the leader.
    fn plan_registrations(&self, heartbeats: &[Heartbeat]) -> Vec<Registration> {
        let mut state_guard = self.state.borrow_mut();
        let mut capacity_needs = self.capacity_needs(&state_guard);
        let state = &mut *state_guard;
        let mut registrations = Vec::new();
        let Some(leader) = state.provisioning.leader.as_mut() else {
            return registrations;
        };
        for heartbeat in heartbeats {
            leader.record_boot_completed(&heartbeat.host, self.now());
            let offer = MachineOffer {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            };
            let partition_id = capacity_needs.partition_most_in_need(&offer);
            capacity_needs.record_assignment(partition_id, &offer);
            leader.record_assignment(partition_id, offer, self.now());
            let record = first_record(heartbeat, partition_id);
            let block = state.host_registry.assign_block(
                &state.cache,
                &heartbeat.host,
                &record,
                (partition_id, self.settings.partition_count),
                self.settings.value_bytes,
            );
            let update = HostUpdate {
                priority: WritePriority::Finish,
                role: (Role::Leader, leader.leader_since_revision),
                host: heartbeat.host.clone(),
                expected_version: None,
                new_record: Some(record),
                deadline: self.now() + WRITE_TIMEOUT,
            };
            registrations.push(Registration { block, update });
        }
        registrations
    }

    /// Writes the first record of a machine to the store.
    async fn write_registration(self: Rc<Self>, registration: Registration) {
        let Registration { block, update } = registration;
        let host = update.host.clone();
        let assignment = update.new_record.as_ref().map(|record| record.assignment);
        if let WriteOutcome::Committed(_) = self.update_host(block, update).await {
            tracing::info!(%host, ?assignment, "host registered");
        }
        let mut state = self.state.borrow_mut();
        state.commands.hosts_with_record_update.remove(&host);
    }
}

/// Builds the first record of a machine from its heartbeat.
fn first_record(heartbeat: &Heartbeat, partition_id: u32) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(partition_id),
        address: heartbeat.address.clone(),
        machine_type: heartbeat.machine_type.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        rewrites: 0,
    }
}
