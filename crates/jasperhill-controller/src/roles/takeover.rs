//! Failover: taking over a role that nobody acts on.

use super::write::RoleWrite;
use crate::{shared::Shared, state::State, store::guard};
use jasperhill_wire::{
    Micros, Revision,
    record::{Role, RoleRecord, role_key, session_key},
    store::Guard,
};
use std::rc::Rc;

/// How long the write may take: the next evaluation tries again.
const WRITE_TIMEOUT: Micros = Micros::from_secs(1);

impl Shared {
    /// Writes this controller as the owner of a role. It acts on it once the watch cache says so.
    pub(super) async fn take_over(self: Rc<Self>, role: Role) {
        if let Some(write) = self.prepare_takeover(role) {
            self.write_role(write, WRITE_TIMEOUT).await;
        }
        self.finish_transition(role);
        self.wake.roles.notify_one();
    }

    /// The write of a takeover; `None` without a session.
    fn prepare_takeover(&self, role: Role) -> Option<RoleWrite> {
        let state = self.state.borrow();
        let (lease, session) = self.session_guard(&state)?;
        let mut guards = vec![session];
        match state.cache.roles.get(&role) {
            Some(kept) => {
                guards.push(guard(role_key(role), kept.version));
                guards.extend(self.former_owner_guard(&state, role));
            }
            None => guards.push(guard(role_key(role), Revision(0))),
        }
        let owner = self.settings.member.clone();
        Some(RoleWrite::new(role, &RoleRecord { owner, lease }, guards))
    }

    /// The guard that the former owner has stopped. The session's key goes no earlier than its
    /// lease expires. None is needed for a role of this controller, and for one whose owner has
    /// said that it has stopped at this version for good: the guard on the version is enough.
    fn former_owner_guard(&self, state: &State, role: Role) -> Option<Guard> {
        let kept = state.cache.roles.get(&role)?;
        let owner = &kept.value.owner;
        let relinquished = self.uses_reachability(state)
            && state.membership.reachability.has_relinquished(
                owner,
                role,
                kept.version,
                self.now(),
            );
        if *owner == self.settings.member || relinquished {
            return None;
        }
        let session = state.cache.sessions.get(owner);
        // A newer session of the former owner does not own this any more.
        let version = session
            .filter(|s| s.value.lease != kept.value.lease)
            .map_or(Revision(0), |s| s.version);
        Some(guard(session_key(owner), version))
    }
}
