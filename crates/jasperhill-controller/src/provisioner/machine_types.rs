//! Fetches the machine types from the cloud. The first leader writes them to the store, so that
//! controllers without a link to the cloud know them, too.

use crate::{
    shared::Shared,
    store::{WritePriority, guard, put},
};
use jasperhill_http::Method;
use jasperhill_scheduler::config::specs;
use jasperhill_wire::{
    Micros, Revision,
    cloud::MachineTypes,
    record::{Role, role_key, types_key},
};
use std::rc::Rc;

/// Timeout of the write of the machine types to the store.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);

impl Shared {
    /// Fetches the machine types and, as the leader, writes them to the store if it has none. Returns
    /// whether they were received.
    pub(super) async fn fetch_machine_types(&self) -> bool {
        let Some(types) = self.request_machine_types().await else {
            return false;
        };
        let leader_since = {
            let mut state = self.state.borrow_mut();
            state.scheduling.machine_types = Some(Rc::new(specs(&types.types)));
            let stored_types = state.cache.machine_types();
            match (&state.provisioning.leader, stored_types) {
                (Some(leader), None) if state.cache.is_synced() => {
                    Some(leader.leader_since_revision)
                }
                _ => None,
            }
        };
        self.wakeups.roles.notify_one();
        if let Some(since) = leader_since {
            self.write_machine_types(types, since).await;
        }
        true
    }

    /// Requests the machine types from the cloud. Returns `None` without a valid response.
    async fn request_machine_types(&self) -> Option<MachineTypes> {
        let response = self
            .cloud_call(Method::Get, "/machine_types", Vec::new())
            .await?;
        if response.status != 200 {
            return None;
        }
        match serde_json::from_slice(&response.body) {
            Ok(types) => Some(types),
            Err(error) => {
                tracing::warn!(%error, "invalid machine types from the cloud");
                None
            }
        }
    }

    /// Writes the machine types to the store, as the leader since revision `since`.
    async fn write_machine_types(&self, types: MachineTypes, since: Revision) {
        let parts = types.split(self.settings.value_bytes);
        let Some(parts) = parts.filter(|p| p.len() <= self.settings.transaction_ops_max) else {
            tracing::warn!("machine types too long for the store");
            return;
        };
        let guards = vec![
            guard(role_key(Role::Leader), since),
            guard(types_key(0), Revision(0)),
        ];
        let changes = (0..)
            .zip(&parts)
            .map(|(n, part)| put(types_key(n), part))
            .collect();
        self.write(WritePriority::Background, guards, changes, WRITE_TIMEOUT)
            .await;
    }
}
