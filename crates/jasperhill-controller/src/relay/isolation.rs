//! Whether this controller is isolated from the store while others are not.

use crate::shared::Shared;
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Micros, mesh::LinkState};

/// A controller that has been isolated from the store for so long counts as isolated until the store
/// answers it again; shorter, it may just be the first to notice an outage.
const STAYS_ISOLATED_AFTER: Micros = Micros::from_secs(4);

impl Shared {
    /// Updates whether users are better served elsewhere: the store answers others, but not this
    /// controller. In an outage that everybody sees, it goes on serving them.
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
        let isolated_since = state.isolation.since;
        let was_isolated_long =
            isolated_since.is_some_and(|since| now - since >= STAYS_ISOLATED_AFTER);
        if is_isolated_now {
            state.isolation.since.get_or_insert(now);
        } else if !(is_store_down && was_isolated_long) {
            state.isolation.since = None;
        }
        // Guards against users who are sent back to a refused controller when all others lose the store
        // as well: after that it answers last.
        state.isolation.isolated = is_store_down && (is_isolated_now || was_isolated_long);
    }
}
