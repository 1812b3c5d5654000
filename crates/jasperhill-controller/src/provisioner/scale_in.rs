//! Scale-in: returns machines to the cloud that were decommissioned or never became usable.

use super::host_updates::{HeldRole, delete_record};
use crate::{shared::Shared, state::State, store::WriteOutcome, watch_cache::HostEntry};
use jasperhill_http::Method;
use jasperhill_wire::{
    HostId, Micros,
    cloud::HostNames,
    record::{HostAssignment, Role},
};
use std::{collections::BTreeSet, rc::Rc};

/// Maximum number of machines returned by one request.
const MACHINES_PER_RETURN_MAX: usize = 100;
/// Timeout of the deletion of a host's record.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);

impl Shared {
    /// Returns machines to the cloud that were decommissioned or never became usable. Deletes a
    /// host's record only after the cloud has confirmed the return.
    pub(super) async fn return_machines(self: &Rc<Self>) {
        let hosts = machines_to_return(&self.state.borrow());
        if hosts.is_empty() || !self.has_authority() {
            return;
        }
        let names = HostNames { hosts };
        let body = serde_json::to_vec(&names).unwrap_or_default();
        let response = self
            .cloud_call(Method::Post, "/rentals/release", body)
            .await;
        if response.is_none_or(|r| r.status != 200) {
            return;
        }
        for (host, entry) in self.record_returned(names.hosts) {
            self.clone().spawn(self.clone().delete_host(host, entry));
        }
    }

    /// Records that machines were returned to the cloud. Returns those of their records that still
    /// exist, which the caller has to delete.
    fn record_returned(&self, hosts: Vec<HostId>) -> Vec<(HostId, HostEntry)> {
        let now = self.now();
        let mut records = Vec::new();
        let mut state = self.state.borrow_mut();
        for host in hosts {
            tracing::info!(%host, "machine returned to the cloud");
            state.provisioning.machines_to_return.remove(&host);
            if let Some(leader) = state.provisioning.leader.as_mut() {
                leader.returned.insert(host.clone(), now);
            }
            if let Some(entry) = state.cache.hosts.get(&host) {
                records.push((host, entry.clone()));
            }
        }
        records
    }

    /// Deletes the record of a machine that no longer exists, if this controller is the leader.
    pub(super) async fn delete_host(self: Rc<Self>, host: HostId, entry: HostEntry) {
        let since = {
            let state = self.state.borrow();
            let Some(leader) = &state.provisioning.leader else {
                return;
            };
            leader.leader_since_revision
        };
        let holder = HeldRole {
            role: Role::Leader,
            since,
        };
        let update = delete_record(holder, &host, &entry, self.now() + WRITE_TIMEOUT);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            self.state.borrow_mut().host_registry.unassign_block(&host);
        }
    }
}

/// Returns up to `MACHINES_PER_RETURN_MAX` machines to return now: the decommissioned hosts, and the machines
/// marked for return whose record does not exist, is decommissioned or assigns them to a partition.
fn machines_to_return(state: &State) -> Vec<HostId> {
    let hosts = &state.cache.hosts;
    let is_decommissioned =
        |entry: &HostEntry| matches!(entry.value.assignment, HostAssignment::Decommissioned(_));
    let returning = state.provisioning.machines_to_return.iter().filter(|id| {
        hosts
            .get(*id)
            .is_none_or(|entry| is_decommissioned(entry) || entry.value.partition().is_some())
    });
    let by_record = hosts.iter().filter(|(_, entry)| is_decommissioned(entry));
    let hosts_to_return: BTreeSet<&HostId> = returning.chain(by_record.map(|(id, _)| id)).collect();
    hosts_to_return
        .into_iter()
        .take(MACHINES_PER_RETURN_MAX)
        .cloned()
        .collect()
}
