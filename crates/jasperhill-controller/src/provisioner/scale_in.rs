//! Scaling in: machines that were decommissioned or never came into use go back to the cloud.

use super::host_updates::{HeldRole, delete};
use crate::{shared::Shared, state::State, store::WriteOutcome, watch_cache::HostEntry};
use jasperhill_http::Method;
use jasperhill_wire::{
    HostId, Micros,
    cloud::HostNames,
    record::{HostAssignment, Role},
};
use std::{collections::BTreeSet, rc::Rc};

/// Machines returned by one request, at most.
const RETURNED_MAX: usize = 100;
/// How long the deletion of a record may take.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);

impl Shared {
    /// Returns what was decommissioned or never came into use. The record goes only when the
    /// machine is gone for sure.
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
        for (host, entry) in self.note_returned(names.hosts) {
            self.clone().spawn(self.clone().delete_host(host, entry));
        }
    }

    /// Notes that machines were returned; their records, which are to be deleted.
    fn note_returned(&self, hosts: Vec<HostId>) -> Vec<(HostId, HostEntry)> {
        let now = self.now();
        let mut records = Vec::new();
        let mut state = self.state.borrow_mut();
        for host in hosts {
            tracing::info!(%host, "machine returned to the cloud");
            state.provisioning.returning.remove(&host);
            if let Some(leader) = state.provisioning.leader.as_mut() {
                leader.returned.insert(host.clone(), now);
            }
            if let Some(entry) = state.cache.hosts.get(&host) {
                records.push((host, entry.clone()));
            }
        }
        records
    }

    /// Deletes the record of a machine that is gone.
    pub(super) async fn delete_host(self: Rc<Self>, host: HostId, entry: HostEntry) {
        let since = {
            let state = self.state.borrow();
            let Some(leader) = &state.provisioning.leader else {
                return;
            };
            leader.since
        };
        let holder = HeldRole {
            role: Role::Leader,
            since,
        };
        let update = delete(holder, &host, &entry, self.now() + WRITE_TIMEOUT);
        if let WriteOutcome::Committed(_) = self.update_host(entry.block, update).await {
            self.state.borrow_mut().host_registry.unassign_block(&host);
        }
    }
}

/// The machines that are to be returned now: those decommissioned, and those that are to be
/// returned and have no record, or one that names a partition.
fn machines_to_return(state: &State) -> Vec<HostId> {
    let hosts = &state.cache.hosts;
    let decommissioned =
        |entry: &HostEntry| matches!(entry.value.assignment, HostAssignment::Decommissioned(_));
    let returning = state.provisioning.returning.iter().filter(|id| {
        hosts
            .get(*id)
            .is_none_or(|entry| decommissioned(entry) || entry.value.partition().is_some())
    });
    let by_record = hosts.iter().filter(|(_, entry)| decommissioned(entry));
    let all: BTreeSet<&HostId> = returning.chain(by_record.map(|(id, _)| id)).collect();
    all.into_iter().take(RETURNED_MAX).cloned().collect()
}
