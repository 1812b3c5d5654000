//! Heartbeats that another controller relays here, and finding out when their workers can be reached
//! directly again.

use super::{
    DEFERRAL_LIMIT, PROBES_MAX,
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

/// The part of a worker's wait that the controller that relays its heartbeat has used, at most.
const RELAY_TIME_SHARE: f64 = 0.6;
/// A successful probe counts for so long.
const PROBE_VALID_FOR: Micros = Micros::from_secs(5);
/// A worker is probed no more often than this.
const PROBE_INTERVAL: Micros = Micros::from_secs(4);
/// How long a probe may take.
const PROBE_LIMIT: Micros = Micros::from_secs(1);

impl Shared {
    /// Answers a heartbeat that another controller relays. Once the worker can be reached from here it
    /// is redirected here. Called by the mesh server.
    pub async fn handle_relayed_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let received_at = self.now();
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(refusal) => return refusal,
        };
        let sent_at = received_at - DEFERRAL_LIMIT.scale(RELAY_TIME_SHARE);
        self.register_host(&heartbeat, sent_at).await;
        let reply = match self.answer_heartbeat(&heartbeat) {
            Ok(reply) => reply,
            Err(refusal) => return refusal,
        };
        if reply.owner.is_some() {
            // A 421 that names the owner: the controller that relays may not know it yet.
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

    /// Whether the worker of a relayed heartbeat is to come here directly. Begins to probe it if that is
    /// not known.
    fn is_direct_contact_restored(self: &Rc<Self>, heartbeat: Heartbeat) -> bool {
        let now = self.now();
        if self.must_stay_relayed(&heartbeat, now) {
            return false;
        }
        let host = heartbeat.host;
        let (probe, probes_running) = {
            let state = self.state.borrow();
            let probe = state.relay.probes.get(&host).copied();
            (probe, state.relay.probes_running(PROBE_LIMIT, now))
        };
        match probe {
            Some(DirectProbe { at, answered: true }) if now - at < PROBE_VALID_FOR => {
                let mut state = self.state.borrow_mut();
                let lease = self.settings.lease;
                state.relay.record_sent_to_owner(host, lease, now);
                return true;
            }
            Some(DirectProbe { at, .. }) if now - at < PROBE_INTERVAL => {}
            // A few at a time: one answer shows that the whole zone can be reached.
            _ if probes_running < PROBES_MAX => {
                self.clone().spawn(self.clone().probe_host(host));
            }
            _ => {}
        }
        false
    }

    /// Whether a worker's heartbeats go on being relayed whatever a probe says. Probing each worker would
    /// take as many requests as there are workers: the link is probed as a whole until it is up. And
    /// guards against a link that carries commands but no heartbeats, or heartbeats but no responses to
    /// them: a worker that comes back all the same, or that was answered here a moment ago, is not
    /// redirected.
    fn must_stay_relayed(&self, heartbeat: &Heartbeat, now: Micros) -> bool {
        let state = self.state.borrow();
        let commands_link = LinkId::Commands(heartbeat.zone.clone());
        let is_within_lease =
            |at: Option<&Micros>| at.is_some_and(|at| now - *at < self.settings.lease);
        state.membership.reachability.own_link(&commands_link) == LinkState::Down
            || is_within_lease(state.relay.sent_to_owner.get(&heartbeat.host))
            || is_within_lease(state.heartbeats.answered.get(&heartbeat.host))
    }

    /// Finds out whether a worker can be reached from here.
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
        let answer = self.call(address, request, PROBE_LIMIT).await;
        if answer.is_ok_and(|response| response.status == 200) {
            let at = self.now();
            let answered = DirectProbe { at, answered: true };
            self.state.borrow_mut().relay.probes.insert(host, answered);
        }
    }
}
