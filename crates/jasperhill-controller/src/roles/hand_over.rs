//! Handing a role over to another member that is better off with it.

use super::{unload_role, write::RoleWrite};
use crate::{shared::Shared, state::State, store::guard};
use jasperhill_membership::roles;
use jasperhill_scheduler::Host;
use jasperhill_wire::{
    Member, Micros,
    record::{Role, RoleRecord, role_key, session_key},
};
use std::rc::Rc;

/// How long the write may take. Nobody acts on the role meanwhile.
const WRITE_TIMEOUT: Micros = Micros::from_secs(2);

impl Shared {
    /// Stops acting first, then writes the new owner. If that fails or its outcome is unknown,
    /// only a new takeover (at a new revision, which kills the late write) brings it back.
    pub(super) async fn hand_over(self: Rc<Self>, role: Role, to: Member, urgent: bool) {
        if let Some(write) = self.prepare_hand_over(role, to, urgent) {
            self.write_role(write, WRITE_TIMEOUT).await;
        }
        self.finish_transition(role);
    }

    /// Stops acting on a role; the write of its new owner. `None` if it has to wait.
    fn prepare_hand_over(&self, role: Role, to: Member, urgent: bool) -> Option<RoleWrite> {
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let version = state.cache.roles.get(&role)?.version;
        let session = state.cache.sessions.get(&to)?;
        let (lease, session_version) = (session.value.lease, session.version);
        if !can_hand_over(state, role, urgent) {
            return None;
        }
        let relinquished = roles::Input::Relinquished(role, version);
        state.membership.roles.apply(relinquished, self.now());
        tracing::info!(?role, %to, "handing over");
        unload_role(state, role);
        let guards = vec![
            guard(role_key(role), version),
            guard(session_key(&to), session_version),
        ];
        let record = RoleRecord { owner: to, lease };
        Some(RoleWrite::new(role, &record, guards))
    }
}

/// Whether a role is loaded and, unless that is urgent, no command to its hosts is in flight or
/// in doubt.
fn can_hand_over(state: &State, role: Role, urgent: bool) -> bool {
    let settled = |host: &Host| !host.in_flight() && !host.in_doubt();
    match role {
        Role::Leader => state.provisioning.leader.is_some(),
        Role::Partition(id) => {
            let partition = state.scheduling.partitions.get(&id);
            partition.is_some_and(|p| urgent || p.hosts.values().all(settled))
        }
    }
}
