//! Deferral of heartbeats: a heartbeat is held back while the ownership of its partition moves from one
//! controller to another.

use super::{MAX_DEFERRAL, ReceivedHeartbeat, response::HeartbeatReply};
use crate::{
    relay::slots::RelaySlot,
    shared::{Shared, to_duration},
    state::State,
};
use jasperhill_http::Response;
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Member, Micros, mesh::LinkState};
use std::rc::Rc;

/// The longest time between a controller's last session renewal and the detection of its silence by
/// this controller.
const SILENCE_DETECTION_DELAY: Micros = Micros::from_millis(2_500);

/// The outcome of deferring a heartbeat.
pub(super) enum DeferralOutcome {
    /// The role moved to this controller, which answers with this response.
    Answered(Response),
    /// The role moved to the named controller.
    Moved(Member),
    /// The heartbeat was not held back, or the role did not move before the deadline.
    NotDeferred,
}

impl Shared {
    /// Holds a heartbeat back while the role of its partition is about to move, until this controller
    /// owns the role and answers, or until another controller is known to own the role. Gives up at the
    /// heartbeat's deadline, when the worker is about to stop waiting.
    ///
    /// Without the deferral, workers would be redirected to an owner that has just died, or to
    /// controllers that they can't reach. A worker that gets no answer from any other controller
    /// returns only after ten seconds, which its lease may not have left.
    pub(super) async fn defer_heartbeat(
        self: &Rc<Self>,
        owner: Option<&Member>,
        received: &ReceivedHeartbeat<'_>,
    ) -> DeferralOutcome {
        let heartbeat = received.heartbeat;
        let Some(_slot) = self.acquire_deferral_slot(owner, received) else {
            return DeferralOutcome::NotDeferred;
        };
        let role_moved = async {
            loop {
                let ownership_changed = self.wakeups.ownership_changed.notified();
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
        // Earlier attempts to route the heartbeat have used a part of the worker's response timeout.
        let time_left = received.deadline - self.now();
        let outcome = tokio::time::timeout(to_duration(time_left), role_moved).await;
        outcome.unwrap_or(DeferralOutcome::NotDeferred)
    }

    /// Returns a slot for a heartbeat whose role is about to move: the role has no owner, or the owner
    /// is silent and its session is ending, and this controller or another has a working link to the
    /// store. Returns `None` if the role is not about to move, or if all slots are taken.
    fn acquire_deferral_slot(
        &self,
        owner: Option<&Member>,
        received: &ReceivedHeartbeat<'_>,
    ) -> Option<RelaySlot> {
        let now = self.now();
        let state = self.state.borrow();
        let reachability = &state.membership.reachability;
        let can_act_here = reachability.own_link(&LinkId::Store) == LinkState::Up
            && state.authority.is_valid_at(now);
        let role_can_move =
            can_act_here || (owner.is_none() && reachability.is_store_reachable_elsewhere(now));
        let is_role_moving = self.uses_reachability(&state)
            && owner.is_none_or(|member| is_session_ending(&state, member, now))
            && role_can_move
            && state.cache.hosts.contains_key(&received.heartbeat.host);
        if !is_role_moving {
            return None;
        }
        state.relay.slots.acquire_deferred_heartbeat()
    }
}

/// Returns whether the session of a silent controller is about to end, or should just have ended.
/// Outside this window heartbeats are not held back: the owner may answer again soon, or only this
/// controller may not hear it, and in both cases workers must not be kept from their owner.
fn is_session_ending(state: &State, member: &Member, now: Micros) -> bool {
    let ttl = state.authority.ttl();
    let silent_since = state.membership.unreachable_since.get(member);
    silent_since.is_some_and(|since| {
        let silence = now - *since;
        silence + MAX_DEFERRAL + SILENCE_DETECTION_DELAY >= ttl
            && silence < ttl + SILENCE_DETECTION_DELAY
    })
}
