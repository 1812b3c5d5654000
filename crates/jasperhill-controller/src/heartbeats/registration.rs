//! Registration of machines without a record: the leader gives each a record and a partition when its
//! first heartbeat comes.

use super::PROBES_MAX;
use crate::{
    host_registry::HostUpdate,
    relay::{Worker, requests::status_request},
    shared::{Shared, to_duration},
    store::{WriteOutcome, WritePriority},
};
use jasperhill_wire::{
    Micros,
    record::{HostAssignment, HostRecord, Role},
    worker::Heartbeat,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Machines registered together, at most.
const BATCH_MAX: usize = 500;
/// How long the first machine of a batch waits for more.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// How long the write of a new record is tried.
const WRITE_LIMIT: Micros = Micros::from_secs(3);
/// How long a machine that is not expected may take to answer a probe.
const PROBE_LIMIT: Micros = Micros::from_secs(2);

/// The first record of a machine.
struct Registration {
    /// The block that the record goes to.
    block: u32,
    /// The write of the record.
    update: HostUpdate,
}

impl Shared {
    /// If this controller leads and has no record of a machine, registers it and waits until that is
    /// written, or `deadline`. Guards against a new machine that is redirected to a later time, and beyond a partition
    /// of the network finds no controller for as long as its first lease lasts.
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
                let hosts_changed = self.wake.hosts_changed.notified();
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
        // Guards against a machine that is told to come later while the other controllers are silent: it
        // comes back after ten seconds, and gets tasks meanwhile that its first lease does not last for.
        let time_left = to_duration(deadline - self.now());
        let _ = tokio::time::timeout(time_left, registered).await;
    }

    /// Whether the leader, if that is this controller, expects a machine that has no record; `None` if
    /// this controller is not to register it.
    fn expects_registration(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let now = self.now();
        let state = self.state.borrow();
        if state.cache.hosts.contains_key(&heartbeat.host) || !state.authority.holds(now) {
            return None;
        }
        let leader = state.provisioning.leader.as_ref()?;
        Some(leader.expects(&heartbeat.host))
    }

    /// Registers a machine that is not expected if it answers. Guards against a heartbeat that comes
    /// late, after its machine was released: the record of a machine that is gone counts as capacity, and
    /// is silent, so that its partition gets no other and goes from one owner to the next.
    async fn register_if_reachable(self: Rc<Self>, heartbeat: Heartbeat) {
        let Ok(address) = heartbeat.address.parse::<SocketAddr>() else {
            return;
        };
        let worker = Worker {
            host: &heartbeat.host,
            zone: &heartbeat.zone,
            host_count: PROBES_MAX,
            address,
        };
        let answer = self
            .call_worker(worker, status_request(), PROBE_LIMIT)
            .await;
        let current = answer
            .ok()
            .and_then(|response| Heartbeat::parse(&response.body).ok());
        if current.is_some_and(|current| current.host == heartbeat.host) {
            self.register_in_batch(heartbeat).await;
        }
    }

    /// Gives a machine a record and a partition, together with those that come in the same moment.
    async fn register_in_batch(self: Rc<Self>, heartbeat: Heartbeat) {
        if !self.enqueue_registration(heartbeat) {
            return;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let heartbeats = std::mem::take(&mut self.state.borrow_mut().heartbeats.unregistered);
        let registrations = self.plan_registrations(&heartbeats);
        if registrations.is_empty() {
            let mut state = self.state.borrow_mut();
            for heartbeat in heartbeats {
                state.commands.token_updates.remove(&heartbeat.host);
            }
        }
        for registration in registrations {
            self.clone()
                .spawn(self.clone().write_registration(registration));
        }
    }

    /// Adds a machine to the next batch. True if it is the first of the batch, and so is to start it.
    fn enqueue_registration(&self, heartbeat: Heartbeat) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(machine_types) = &state.scheduling.specs else {
            return false;
        };
        if !machine_types.contains_key(&heartbeat.machine_type)
            || heartbeat.address.parse::<SocketAddr>().is_err()
            || state.heartbeats.unregistered.len() >= BATCH_MAX
            || !state.commands.token_updates.insert(heartbeat.host.clone())
        {
            return false;
        }
        state.heartbeats.unregistered.push(heartbeat);
        state.heartbeats.unregistered.len() == 1
    }

    /// The records of new machines, each in the partition that needs it most; none if this controller no
    /// longer leads.
    fn plan_registrations(&self, heartbeats: &[Heartbeat]) -> Vec<Registration> {
        let mut state_guard = self.state.borrow_mut();
        let mut needs = self.capacity_needs(&state_guard);
        let state = &mut *state_guard;
        let mut registrations = Vec::new();
        let Some(leader) = state.provisioning.leader.as_mut() else {
            return registrations;
        };
        for heartbeat in heartbeats {
            leader.came_up(&heartbeat.host, self.now());
            let partition_id = needs.partition_most_in_need(&heartbeat.zone, heartbeat.spot);
            needs.record_assignment(partition_id, &heartbeat.zone, heartbeat.spot);
            let record = first_record(heartbeat, partition_id);
            let block = state.host_registry.assign_block(
                &state.cache,
                &heartbeat.host,
                &record,
                (partition_id, self.settings.size),
                self.settings.value_bytes,
            );
            let update = HostUpdate {
                priority: WritePriority::Finish,
                role: (Role::Leader, leader.since),
                host: heartbeat.host.clone(),
                expected_version: None,
                new_record: Some(record),
                deadline: self.now() + WRITE_LIMIT,
            };
            registrations.push(Registration { block, update });
        }
        registrations
    }

    /// Writes the first record of a machine.
    async fn write_registration(self: Rc<Self>, registration: Registration) {
        let Registration { block, update } = registration;
        let host = update.host.clone();
        let assignment = update.new_record.as_ref().map(|record| record.assignment);
        if let WriteOutcome::Committed(_) = self.update_host(block, update).await {
            tracing::info!(%host, ?assignment, "host registered");
        }
        let mut state = self.state.borrow_mut();
        state.commands.token_updates.remove(&host);
    }
}

/// The record of a machine that has none yet.
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
