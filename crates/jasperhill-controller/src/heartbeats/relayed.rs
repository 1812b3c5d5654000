//! Heartbeats that other controllers relay to this one. Answers relayed heartbeats, and probes their
//! workers to find out when a worker can send its heartbeats directly again.

use super::{
    MAX_CONCURRENT_PROBES, MAX_DEFERRAL,
    response::{parse_heartbeat, redirect, unavailable},
};
use crate::{
    relay::{requests::status_request, state::DirectProbe},
    shared::Shared,
};
use jasperhill_http::Response;
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{HostId, Micros, mesh::LinkState, worker::Heartbeat};
use std::{net::SocketAddr, rc::Rc};

/// The fraction of [`MAX_DEFERRAL`] that the relaying controller has used at most.
const RELAY_TIME_FRACTION: f64 = 0.6;
/// The time for which a successful probe shows that the worker can be reached.
const PROBE_VALIDITY: Micros = Micros::from_secs(5);
/// The shortest time between two probes of the same worker.
const MIN_PROBE_INTERVAL: Micros = Micros::from_secs(4);
/// The timeout for a probe of a worker.
const PROBE_TIMEOUT: Micros = Micros::from_secs(1);

impl Shared {
    /// Answers a heartbeat that another controller relays. Redirects the worker to this controller once
    /// this controller can reach the worker directly. Called by the mesh server.
    pub async fn handle_relayed_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let received_at = self.now();
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(refusal) => return refusal,
        };
        let earliest_sent_at = received_at - MAX_DEFERRAL.scale(RELAY_TIME_FRACTION);
        self.register_host(&heartbeat, earliest_sent_at).await;
        let reply = match self.answer_heartbeat(&heartbeat) {
            Ok(reply) => reply,
            Err(refusal) => return refusal,
        };
        if reply.owner.is_some() {
            // This 421 names the owner, which the relaying controller may not know yet.
            return reply.response;
        }
        if reply.response.status != 200 {
            return unavailable();
        }
        if self.is_direct_contact_restored(heartbeat) {
            return redirect(None);
        }
        reply.response
    }

    /// Returns whether the worker of a relayed heartbeat is to be redirected to this controller. Starts
    /// a probe of the worker if no recent probe exists.
    fn is_direct_contact_restored(self: &Rc<Self>, heartbeat: Heartbeat) -> bool {
        let now = self.now();
        if self.must_stay_relayed(&heartbeat, now) {
            return false;
        }
        let host = heartbeat.host;
        let (probe, running_probe_count) = {
            let state = self.state.borrow();
            let probe = state.relay.probes.get(&host).copied();
            (probe, state.relay.running_probe_count(PROBE_TIMEOUT, now))
        };
        match probe {
            Some(DirectProbe {
                updated_at,
                answered: true,
            }) if now - updated_at < PROBE_VALIDITY => {
                let mut state = self.state.borrow_mut();
                let lease = self.settings.lease_time;
                state.relay.record_redirect_here(host, lease, now);
                return true;
            }
            Some(DirectProbe { updated_at, .. }) if now - updated_at < MIN_PROBE_INTERVAL => {}
            // Few concurrent probes are enough: one answer shows that the whole zone can be reached.
            _ if running_probe_count < MAX_CONCURRENT_PROBES => {
                self.clone().spawn(self.clone().probe_host(host));
            }
            _ => {}
        }
        false
    }

    /// Returns whether a worker's heartbeats must still be relayed, whatever a probe of the worker
    /// shows:
    ///
    /// - The link to the worker's zone is down. Probing each worker would take as many requests as
    ///   there are workers, so the link is probed as a whole until it is up.
    /// - The worker was redirected here within the last lease, and its heartbeat is relayed again. The
    ///   link may carry commands but no heartbeats.
    /// - This controller answered a direct heartbeat of the worker within the last lease, and its
    ///   heartbeat is relayed all the same. The link may carry heartbeats but no responses.
    fn must_stay_relayed(&self, heartbeat: &Heartbeat, now: Micros) -> bool {
        let state = self.state.borrow();
        let commands_link = LinkId::Commands(heartbeat.zone.clone());
        let is_within_lease =
            |at: Option<&Micros>| at.is_some_and(|at| now - *at < self.settings.lease_time);
        state.membership.reachability.own_link(&commands_link) == LinkState::Down
            || is_within_lease(state.relay.redirected_here_at.get(&heartbeat.host))
            || is_within_lease(state.heartbeats.answered_at.get(&heartbeat.host))
    }

    /// Probes whether this controller can reach a worker directly.
    async fn probe_host(self: Rc<Self>, host: HostId) {
        let address = {
            let mut state = self.state.borrow_mut();
            let now = self.now();
            state.relay.record_probe_start(host.clone(), now);
            let record = state.cache.hosts.get(&host);
            record.and_then(|record| record.value.address.parse::<SocketAddr>().ok())
        };
        let Some(address) = address else { return };
        let request = status_request();
        let result = self.call(address, request, PROBE_TIMEOUT).await;
        if result.is_ok_and(|response| response.status == 200) {
            let probe = DirectProbe {
                updated_at: self.now(),
                answered: true,
            };
            self.state.borrow_mut().relay.probes.insert(host, probe);
        }
    }
}
