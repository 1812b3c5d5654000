//! Failover: takes over a role that no member acts on.

use super::write::RoleWrite;
use crate::{shared::Shared, state::State, store::guard};
use jasperhill_wire::{
    Micros, Revision,
    record::{Role, RoleRecord, role_key, session_key},
    store::Guard,
};
use std::rc::Rc;

/// Timeout of the write of the new owner. The next evaluation of the roles retries a failed one.
const WRITE_TIMEOUT: Micros = Micros::from_secs(1);

impl Shared {
    /// Writes this controller as the owner of a role. The controller acts on the role only once the
    /// watch cache shows the new owner.
    pub(super) async fn take_over(self: Rc<Self>, role: Role) {
        if let Some(write) = self.prepare_takeover(role) {
            self.write_role(write, WRITE_TIMEOUT).await;
        }
        self.finish_transition(role);
        self.wakeups.roles.notify_one();
    }

    /// Returns the write of a takeover, or `None` if this controller has no session.
    fn prepare_takeover(&self, role: Role) -> Option<RoleWrite> {
        let state = self.state.borrow();
        let (lease, session) = self.session_guard(&state)?;
        let mut guards = vec![session];
        match state.cache.roles.get(&role) {
            Some(cached) => {
                guards.push(guard(role_key(role), cached.version));
                guards.extend(self.former_owner_guard(&state, role));
            }
            None => guards.push(guard(role_key(role), Revision(0))),
        }
        let owner = self.settings.member.clone();
        Some(RoleWrite::new(role, &RoleRecord { owner, lease }, guards))
    }

    /// Returns the guard that holds only if the former owner has stopped acting on a role. It
    /// requires that the session by which the owner held the role is gone: a session's key is not
    /// deleted before its lease has expired.
    ///
    /// Returns `None` for a role of this controller, and for a role that its owner has reported as
    /// relinquished at this version: the guard on the role's version is enough there.
    fn former_owner_guard(&self, state: &State, role: Role) -> Option<Guard> {
        let cached = state.cache.roles.get(&role)?;
        let owner = &cached.value.owner;
        let relinquished = self.uses_reachability(state)
            && state.membership.reachability.has_relinquished(
                owner,
                role,
                cached.version,
                self.now(),
            );
        if *owner == self.settings.member || relinquished {
            return None;
        }
        let session = state.cache.sessions.get(owner);
        // A newer session of the former owner does not hold the role any more.
        let version = session
            .filter(|s| s.value.lease != cached.value.lease)
            .map_or(Revision(0), |s| s.version);
        Some(guard(session_key(owner), version))
    }
}
