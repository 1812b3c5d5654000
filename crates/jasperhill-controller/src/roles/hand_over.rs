//! Hands a role over to another member that can serve it better, for example because it reaches
//! more of the role's hosts.

use super::{unload_role, write::RoleWrite};
use crate::{shared::Shared, state::State, store::guard};
use jasperhill_membership::roles;
use jasperhill_scheduler::Host;
use jasperhill_wire::{
    Member, Micros,
    record::{Role, RoleRecord, role_key, session_key},
};
use std::rc::Rc;

/// Timeout of the write of the new owner. No member acts on the role during the write.
const WRITE_TIMEOUT: Micros = Micros::from_secs(2);

impl Shared {
    /// Stops acting on a role, then writes `to` as its owner. If the write fails or its outcome is
    /// unknown, this controller gets the role back only by a new takeover, whose new revision
    /// makes the guards of a late write fail.
    pub(super) async fn hand_over(self: Rc<Self>, role: Role, to: Member, urgent: bool) {
        if let Some(write) = self.prepare_hand_over(role, to, urgent) {
            self.write_role(write, WRITE_TIMEOUT).await;
        }
        self.finish_transition(role);
    }

    /// Stops acting on a role and returns the write of its new owner. Returns `None` and keeps the
    /// role if it can't be handed over yet or `to` has no session.
    fn prepare_hand_over(&self, role: Role, to: Member, urgent: bool) -> Option<RoleWrite> {
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
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

/// Returns whether a role is loaded and can be handed over now. Unless the hand-over is urgent, a
/// partition must have no command to its hosts that is in flight or of unknown outcome.
fn can_hand_over(state: &State, role: Role, urgent: bool) -> bool {
    let has_settled_commands =
        |host: &Host| !host.has_request_in_flight() && !host.awaits_raised_token();
    match role {
        Role::Leader => state.provisioning.leader.is_some(),
        Role::Partition(id) => {
            let partition = state.scheduling.partitions.get(&id);
            partition.is_some_and(|p| urgent || p.hosts.values().all(has_settled_commands))
        }
    }
}
