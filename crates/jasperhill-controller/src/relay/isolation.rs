//! Detects that this controller is isolated: the store answers other controllers, but not this one.

use crate::shared::Shared;
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Micros, mesh::LinkState};

/// The duration of an isolation after which the controller counts as isolated until the store answers
/// it again. A controller that has been isolated for a shorter time may only be the first to notice an
/// outage.
const STICKY_ISOLATION_AFTER: Micros = Micros::from_secs(4);

impl Shared {
    /// Updates whether this controller is isolated, so that other controllers serve users better. In an
    /// outage of the store for all controllers, this controller is not isolated and goes on serving
    /// users.
    pub(super) fn update_isolation(&self) {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if !self.uses_reachability(state) {
            return;
        }
        let reachability = &state.membership.reachability;
        let is_store_down = reachability.own_link(&LinkId::Store) == LinkState::Down;
        let is_isolated_now = reachability.is_isolated(now);
        let isolated_since = state.isolation.isolated_since;
        let was_isolated_long =
            isolated_since.is_some_and(|since| now - since >= STICKY_ISOLATION_AFTER);
        if is_isolated_now {
            state.isolation.isolated_since.get_or_insert(now);
        } else if !(is_store_down && was_isolated_long) {
            state.isolation.isolated_since = None;
        }
        // A long isolation lasts while the link to the store is down, even if all other controllers lose
        // the store as well. Otherwise users would be sent back to this controller, which the store
        // still refuses and which is the last to answer users after such an outage.
        state.isolation.is_isolated = is_store_down && (is_isolated_now || was_isolated_long);
    }
}
