//! Fetches the machine types from the cloud. A leader writes them to the store if it has none, so that
//! controllers without a link to the cloud know them, too, and so that they outlast all processes.

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
    /// Fetches the machine types. Returns whether they were received.
    pub(super) async fn fetch_machine_types(&self) -> bool {
        let Some(types) = self.request_machine_types().await else {
            return false;
        };
        {
            let mut state = self.state.borrow_mut();
            state.scheduling.machine_types = Some(Rc::new(specs(&types.types)));
            state.provisioning.fetched_types = Some(types);
        }
        self.wakeups.roles.notify_one();
        true
    }

    /// Writes the machine types to the store if this controller is the leader, has fetched them and
    /// the store has none. Called in each round, because a controller fetches the types when it
    /// starts and becomes the leader later.
    pub(super) async fn store_machine_types(&self) {
        let (types, since) = {
            let mut state_guard = self.state.borrow_mut();
            let state = &mut *state_guard;
            let Some(leader) = &state.provisioning.leader else {
                return;
            };
            if !state.cache.is_synced() || state.cache.machine_types().is_some() {
                return;
            }
            let Some(types) = state.provisioning.fetched_types.clone() else {
                return;
            };
            (types, leader.leader_since_revision)
        };
        self.write_machine_types(types, since).await;
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
            // They are tried again once they have been fetched again.
            self.state.borrow_mut().provisioning.fetched_types = None;
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
