//! Receiving a worker's own heartbeat and finding the way to its owner: answered here, redirected,
//! relayed, deferred until its role has moved, or answered as a delegate.

use super::{
    ReceivedHeartbeat,
    deferral::DeferralOutcome,
    response::{HeartbeatReply, parse_heartbeat, redirect, unavailable},
};
use crate::{relay::HeartbeatRoute, shared::Shared};
use jasperhill_http::Response;
use jasperhill_membership::{link::Observation, reachability::LinkId};
use jasperhill_wire::{HostId, Member};
use std::rc::Rc;

impl Shared {
    /// Answers a worker's own heartbeat. Only the owner of its partition answers 200, and only while
    /// it may act on its roles. A worker that was redirected to its owner and comes back can't reach
    /// it: its heartbeats are then relayed, and the owner's responses back; at once where the owner is
    /// known not to hear the worker's zone. Called by the server of the worker API.
    pub async fn handle_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let deadline = self.heartbeat_deadline();
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(refusal) => return refusal,
        };
        // Guards against remembering, without bound, zones that are not configured.
        if self.settings.zones.contains(&heartbeat.zone) {
            let link = LinkId::Heartbeats(heartbeat.zone.clone());
            self.observe_link(link, Observation::Success);
        }
        self.register_host(&heartbeat, deadline).await;
        let reply = match self.answer_heartbeat(&heartbeat) {
            Ok(reply) => reply,
            Err(refusal) => return refusal,
        };
        let received = ReceivedHeartbeat {
            heartbeat: &heartbeat,
            body,
            deadline,
        };
        match reply.owner {
            Some(owner) => self.route_heartbeat(owner, &received, true).await,
            None if reply.response.status == 200 => {
                self.record_own_answer(heartbeat.host);
                reply.response
            }
            // The role has no owner at this moment.
            None => match self.defer_heartbeat(None, &received).await {
                DeferralOutcome::Answered(response) => response,
                DeferralOutcome::Moved(owner) => {
                    self.route_heartbeat(owner, &received, false).await
                }
                DeferralOutcome::NotDeferred => reply.response,
            },
        }
    }

    /// Notes that a worker's own heartbeat was answered here.
    fn record_own_answer(&self, host: HostId) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state
            .heartbeats
            .record_answer(host, self.settings.lease, now);
    }

    /// Answers a heartbeat whose owner is elsewhere: relayed, deferred until the role has moved, or
    /// redirected. `may_defer`: it has not been deferred yet.
    async fn route_heartbeat(
        self: &Rc<Self>,
        owner: Member,
        received: &ReceivedHeartbeat<'_>,
        may_defer: bool,
    ) -> Response {
        let heartbeat = received.heartbeat;
        // A partition of the network between two zones that outlasts the lease: redirected to its
        // owner, the worker would only lose time that its tasks do not have.
        if self.is_cut_off(heartbeat.zone.as_str(), &owner) {
            let response = self.answer_as_delegate(heartbeat).await;
            return response.unwrap_or_else(|| redirect(Some(&owner)));
        }
        let route = self.heartbeat_route(&owner, heartbeat);
        match &route {
            Some(HeartbeatRoute::Redirect(peer)) => {
                self.record_redirect(&heartbeat.host);
                return redirect(Some(peer));
            }
            Some(HeartbeatRoute::Through(peer)) => {
                let response = self.relay_through(peer, received.body).await;
                return response.unwrap_or_else(unavailable);
            }
            Some(HeartbeatRoute::RelayOnly | HeartbeatRoute::RelayFirst) => {
                if let Some(response) = self.relay_or_answer(owner.clone(), received).await {
                    return response;
                }
                // Guards against a worker that is redirected in circles while the partition of the
                // network is just being detected.
                if self.is_cut_off(heartbeat.zone.as_str(), &owner) {
                    let response = self.answer_as_delegate(heartbeat).await;
                    return response.unwrap_or_else(unavailable);
                }
            }
            None => {}
        }
        if may_defer {
            match self.defer_heartbeat(Some(&owner), received).await {
                DeferralOutcome::Answered(response) => return response,
                // Guards against a worker that is redirected to an owner who has just been replaced:
                // its lease may not have the five seconds that this costs.
                DeferralOutcome::Moved(next_owner) => {
                    return Box::pin(self.route_heartbeat(next_owner, received, false)).await;
                }
                DeferralOutcome::NotDeferred => {}
            }
        }
        if matches!(route, Some(HeartbeatRoute::RelayOnly)) {
            return unavailable();
        }
        let came_back = self.record_redirect(&heartbeat.host);
        if !came_back {
            return redirect(Some(&owner));
        }
        let response = self.relay_or_answer(owner, received).await;
        response.unwrap_or_else(unavailable)
    }

    /// Notes that a worker is redirected now. True if it had been redirected a moment ago already, and
    /// so has come back.
    fn record_redirect(&self, host: &HostId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.relay.record_redirect(host.clone(), now)
    }

    /// The owner's response, or this controller's if it finds that it is the owner by now: of a machine
    /// that the leader has just registered, or by a role that has just moved here.
    async fn relay_or_answer(
        self: &Rc<Self>,
        owner: Member,
        received: &ReceivedHeartbeat<'_>,
    ) -> Option<Response> {
        let host = &received.heartbeat.host;
        let relayed = self.relay_to_owner(owner, host, received.body, received.deadline);
        if let Some(response) = relayed.await {
            return Some(response);
        }
        match self.answer_heartbeat(received.heartbeat) {
            Ok(HeartbeatReply {
                owner: None,
                response,
            }) if response.status == 200 => Some(response),
            _ => None,
        }
    }
}
