//! Heartbeats that are held back while the role of their owner moves.

use super::{DEFERRAL_LIMIT, ReceivedHeartbeat, response::HeartbeatReply};
use crate::{
    relay::slots::RelaySlot,
    shared::{Shared, to_duration},
    state::State,
};
use jasperhill_http::Response;
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Member, Micros, mesh::LinkState};
use std::rc::Rc;

/// How long a controller has not renewed its session, at most, when its silence is detected here.
const SILENCE_DETECTION_DELAY: Micros = Micros::from_millis(2_500);

/// What came of a deferred heartbeat.
pub(super) enum DeferralOutcome {
    /// The role moved here, and this is the response.
    Answered(Response),
    /// The role moved to another controller.
    Moved(Member),
    /// The heartbeat was not held back, or in vain.
    NotDeferred,
}

impl Shared {
    /// Holds a heartbeat back while its role is about to move: no controller here hears the owner, or
    /// there is none, and the store answers this controller or another. Guards against workers that
    /// are redirected to a dead owner in the seconds before, or on to controllers that they don't
    /// reach, and with all others silent come back only after ten seconds, which their leases may not
    /// have. Gives up when the worker is about to stop waiting.
    pub(super) async fn defer_heartbeat(
        self: &Rc<Self>,
        owner: Option<&Member>,
        received: &ReceivedHeartbeat<'_>,
    ) -> DeferralOutcome {
        let heartbeat = received.heartbeat;
        let Some(_slot) = self.deferral_slot(owner, received) else {
            return DeferralOutcome::NotDeferred;
        };
        let role_moved = async {
            loop {
                let ownership_changed = self.wake.ownership_changed.notified();
                match self.answer_heartbeat(heartbeat) {
                    Ok(HeartbeatReply {
                        owner: None,
                        response,
                    }) if response.status == 200 => return DeferralOutcome::Answered(response),
                    Ok(HeartbeatReply {
                        owner: Some(next_owner),
                        ..
                    }) if Some(&next_owner) != owner => {
                        return DeferralOutcome::Moved(next_owner);
                    }
                    _ => ownership_changed.await,
                }
            }
        };
        // Earlier attempts have used up a part of the time that the worker waits.
        let time_left = received.deadline - self.now();
        let outcome = tokio::time::timeout(to_duration(time_left), role_moved).await;
        outcome.unwrap_or(DeferralOutcome::NotDeferred)
    }

    /// A slot for a heartbeat whose role is about to move; `None` if it is not, or all are taken.
    fn deferral_slot(
        &self,
        owner: Option<&Member>,
        received: &ReceivedHeartbeat<'_>,
    ) -> Option<RelaySlot> {
        let now = self.now();
        let state = self.state.borrow();
        let reachability = &state.membership.reachability;
        let is_served_here =
            reachability.own_link(&LinkId::Store) == LinkState::Up && state.authority.holds(now);
        let role_can_move =
            is_served_here || (owner.is_none() && reachability.is_store_reachable_elsewhere(now));
        let is_role_moving = self.uses_reachability(&state)
            && owner.is_none_or(|member| is_session_ending(&state, member, now))
            && role_can_move
            && state.cache.hosts.contains_key(&received.heartbeat.host);
        if !is_role_moving {
            return None;
        }
        state.relay.slots.deferred_heartbeat()
    }
}

/// Whether the session of a silent controller is about to end, or should just have ended. Guards against
/// workers that are kept from an owner who is back in a moment, or is only not heard here.
fn is_session_ending(state: &State, member: &Member, now: Micros) -> bool {
    let ttl = state.authority.ttl();
    let silent_since = state.membership.silent_since.get(member);
    silent_since.is_some_and(|since| {
        let silence = now - *since;
        silence + DEFERRAL_LIMIT + SILENCE_DETECTION_DELAY >= ttl
            && silence < ttl + SILENCE_DETECTION_DELAY
    })
}
