//! Handling of heartbeats that workers send directly to this controller: a heartbeat is answered here,
//! redirected or relayed to the owner of its partition, deferred until the partition's role has moved,
//! or answered as a delegate of the owner.

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
    /// Answers a heartbeat that a worker sends directly. Only the owner of the worker's partition
    /// answers with status 200, and only while it has the authority to act on its roles. A worker that
    /// was redirected to its owner and returns can't reach the owner, so its heartbeats are relayed to
    /// the owner and the owner's responses are relayed back. Heartbeats are relayed at once if the
    /// owner is known not to hear the worker's zone. Called by the server of the worker API.
    pub async fn handle_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let deadline = self.heartbeat_deadline();
        self.record_heartbeat_size(body.len());
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(refusal) => return refusal,
        };
        // Only configured zones are observed, so that the number of remembered links stays bounded.
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
                self.record_direct_answer(heartbeat.host);
                reply.response
            }
            // The role has no known owner at the moment.
            None => match self.defer_heartbeat(None, &received).await {
                DeferralOutcome::Answered(response) => response,
                DeferralOutcome::Moved(owner) => {
                    self.route_heartbeat(owner, &received, false).await
                }
                DeferralOutcome::NotDeferred => reply.response,
            },
        }
    }

    /// Records that this controller answered a heartbeat that a worker sent directly.
    fn record_direct_answer(&self, host: HostId) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state
            .heartbeats
            .record_answer(host, self.settings.lease_time, now);
    }

    /// Answers a heartbeat whose partition another controller owns: relays the heartbeat, defers it
    /// until the role has moved, answers it as a delegate, or redirects the worker. `may_defer` is
    /// false if the heartbeat was deferred before.
    async fn route_heartbeat(
        self: &Rc<Self>,
        owner: Member,
        received: &ReceivedHeartbeat<'_>,
        may_defer: bool,
    ) -> Response {
        let heartbeat = received.heartbeat;
        // During a network partition between the two zones, which may outlast the lease, a redirect to
        // the owner would only cost the worker time that its tasks do not have.
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
                let response = self.relay_through_peer(peer, received.body).await;
                return response.unwrap_or_else(unavailable);
            }
            Some(HeartbeatRoute::RelayOnly | HeartbeatRoute::RelayFirst) => {
                if let Some(response) = self.relay_or_answer(owner.clone(), received).await {
                    return response;
                }
                // The network partition may have been detected during the relay attempt. Without this
                // check, the worker could be redirected in circles meanwhile.
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
                // A redirect to the owner that has just been replaced would cost the worker five
                // seconds, which its lease may not have left.
                DeferralOutcome::Moved(next_owner) => {
                    return Box::pin(self.route_heartbeat(next_owner, received, false)).await;
                }
                DeferralOutcome::NotDeferred => {}
            }
        }
        if matches!(route, Some(HeartbeatRoute::RelayOnly)) {
            return unavailable();
        }
        let returned_after_redirect = self.record_redirect(&heartbeat.host);
        if !returned_after_redirect {
            return redirect(Some(&owner));
        }
        let response = self.relay_or_answer(owner, received).await;
        response.unwrap_or_else(unavailable)
    }

    /// Records that a worker is redirected now. Returns true if the worker had already been redirected
    /// recently, and so has returned to this controller.
    fn record_redirect(&self, host: &HostId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.relay.record_redirect(host.clone(), now)
    }

    /// Relays a heartbeat to its owner and returns the owner's response. If the relay fails, returns
    /// this controller's own response if it has become the owner meanwhile: the leader may just have
    /// registered the machine in its partition, or the role may just have moved here. Returns `None` if
    /// neither answers.
    async fn relay_or_answer(
        self: &Rc<Self>,
        owner: Member,
        received: &ReceivedHeartbeat<'_>,
    ) -> Option<Response> {
        let host = &received.heartbeat.host;
        let relay = self.relay_to_owner(owner, host, received.body, received.deadline);
        if let Some(response) = relay.await {
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
