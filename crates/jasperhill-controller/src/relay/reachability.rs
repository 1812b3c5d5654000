//! Reachability of peers, zones, the store and the cloud. Records this controller's observations of its
//! links, and exchanges reachability reports with the other controllers.

use crate::{shared::Shared, state::State};
use jasperhill_membership::{
    link::Observation,
    reachability::{self, LinkId, Output},
};
use jasperhill_wire::{
    HostId, Micros, Name, Revision,
    mesh::{LinkState, MeshRequest, MeshResponse, ReachabilityReport},
    record::{REACHABILITY, Role},
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};
use tokio::time::timeout;

/// The longest time between two checks of the links for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two reports to the peers while all links are up.
const REPORT_INTERVAL_ALL_UP: Micros = Micros::from_secs(2);
/// The time between two reports to the peers while any link is not up.
const REPORT_INTERVAL_DEGRADED: Micros = Micros::from_millis(900);
/// The timeout for a peer's answer to a report.
const REPORT_TIMEOUT: Micros = Micros::from_secs(1);

/// Returns a hash that identifies a host among the witnesses of a link failure, that is, the hosts
/// whose calls failed.
fn witness_id(host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

impl Shared {
    /// Returns whether reachability decides the ownership of roles and links are reported to the peers.
    /// Both need every member to support the feature.
    pub fn uses_reachability(&self, state: &State) -> bool {
        state.membership.features.supports(REACHABILITY)
    }

    /// Records an observation of a link: something got through, or failed to.
    pub fn observe_link(&self, link: LinkId, observation: Observation) {
        self.update_reachability(reachability::Input::LinkObserved(link, observation));
    }

    /// Records whether a worker of a zone answered, as an observation of the link for commands to that
    /// zone. A failure is weighed against `host_count` hosts.
    pub fn observe_worker(&self, zone: &Name, host: &HostId, host_count: usize, answered: bool) {
        let observation = if answered {
            Observation::Success
        } else {
            Observation::Failure {
                counterpart: witness_id(host),
                counterpart_count: host_count,
            }
        };
        self.observe_link(LinkId::Commands(zone.clone()), observation);
    }

    /// Applies an input to the reachability view and handles the changes of links that follow. Returns
    /// the zones to probe.
    pub(super) fn update_reachability(&self, input: reachability::Input<'_>) -> Vec<Name> {
        let now = self.now();
        let outputs = {
            let mut state = self.state.borrow_mut();
            state.membership.reachability.apply(input, now)
        };
        let mut zones_to_probe = Vec::new();
        for output in outputs {
            match output {
                Output::Probe(zone) => zones_to_probe.push(zone),
                Output::Changed(link, before, after) => {
                    self.on_link_changed(&link, before, after, now);
                }
            }
        }
        zones_to_probe
    }

    /// Handles a state change of a link: records since when a peer has been silent, logs the change,
    /// and wakes the loops that depend on the link.
    fn on_link_changed(&self, link: &LinkId, before: LinkState, after: LinkState, now: Micros) {
        if let LinkId::Peer(member) = link {
            let silent_since = &mut self.state.borrow_mut().membership.unreachable_since;
            match after {
                LinkState::Down => {
                    silent_since.entry(member.clone()).or_insert(now);
                }
                LinkState::Up => {
                    silent_since.remove(member);
                }
                _ => {}
            }
        }
        if before != LinkState::Down && after != LinkState::Down {
            tracing::debug!(?link, reach = ?after, "link state changed");
        } else {
            tracing::info!(?link, reach = ?after, "link state changed");
            self.wakeups.reachability.notify_one();
            self.wakeups.roles.notify_one();
        }
    }

    /// Checks the links and reports their states to the peers. Runs for as long as the controller.
    pub async fn reachability_loop(self: Rc<Self>) {
        let mut reported_at = Micros::ZERO;
        loop {
            let was_woken = timeout(CHECK_INTERVAL, self.wakeups.reachability.notified())
                .await
                .is_ok();
            self.check_expected_heartbeats();
            let now = self.now();
            let (reports_links, all_links_up) = {
                let state = self.state.borrow();
                (
                    self.uses_reachability(&state),
                    state.membership.reachability.all_links_up(),
                )
            };
            let interval = if all_links_up {
                REPORT_INTERVAL_ALL_UP
            } else {
                REPORT_INTERVAL_DEGRADED
            };
            if reports_links && (was_woken || now - reported_at >= interval) {
                reported_at = now;
                self.send_reachability();
            }
            self.update_isolation();
            self.log_answers_without_store();
        }
    }

    /// Logs the number of heartbeats that were answered while the link to the store was down. Logs once
    /// the link works again, or this controller has lost its authority.
    fn log_answers_without_store(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_store_down =
            state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
        let is_answering_without_store = is_store_down && state.authority.is_valid_at(now);
        if state.heartbeats.answered_without_store > 0 && !is_answering_without_store {
            let heartbeats = std::mem::take(&mut state.heartbeats.answered_without_store);
            tracing::info!(heartbeats, "heartbeats answered without the store");
        }
    }

    /// Builds this controller's reachability report for its peers.
    fn own_report(&self, state: &mut State, now: Micros) -> ReachabilityReport {
        // Without a link to the store, the watch cache is stale and its owners are not reported as
        // current.
        let is_cache_current =
            state.membership.reachability.own_link(&LinkId::Store) == LinkState::Up;
        let owners = if is_cache_current {
            let ownerships = state.cache.ownerships().into_iter();
            ownerships
                .filter(|(_, ownership)| ownership.is_session_live)
                .map(|(role, ownership)| (role, ownership.owner, ownership.version))
                .collect()
        } else {
            Vec::new()
        };
        let own_member = &self.settings.member;
        let relinquished: Vec<(Role, Revision)> = state
            .membership
            .roles
            .relinquished()
            .filter(|(role, version)| {
                let cached = state.cache.roles.get(role);
                cached
                    .is_some_and(|role| role.version == *version && &role.value.owner == own_member)
            })
            .collect();
        state
            .membership
            .reachability
            .report(owners, relinquished, now)
    }

    /// Sends this controller's report to every peer, and applies the peers' own reports, which are
    /// their answers.
    fn send_reachability(self: &Rc<Self>) {
        let now = self.now();
        let report = {
            let mut state = self.state.borrow_mut();
            self.own_report(&mut state, now)
        };
        for peer in &self.settings.peers {
            let (shared, address, report) = (self.clone(), peer.address, report.clone());
            self.clone().spawn(async move {
                let request = MeshRequest::Reachability(Box::new(report));
                let response = shared.mesh_call(address, request, REPORT_TIMEOUT).await;
                if let Some(MeshResponse::Reachability(peer_report)) = response {
                    shared.apply_peer_report(&peer_report);
                }
            });
        }
    }

    /// Applies the report of a peer and returns this controller's own report as the answer. Called by
    /// the mesh server.
    pub fn receive_reachability(
        self: &Rc<Self>,
        peer_report: &ReachabilityReport,
    ) -> ReachabilityReport {
        self.apply_peer_report(peer_report);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        self.own_report(&mut state, now)
    }

    /// Applies the report of a peer to the reachability view, wakes the loops that depend on the report
    /// and updates whether this controller is isolated.
    fn apply_peer_report(&self, peer_report: &ReachabilityReport) {
        self.update_reachability(reachability::Input::PeerReport(peer_report));
        if self.is_role_relinquished() {
            self.wakeups.roles.notify_one();
        }
        // The report may name a new owner for a role that deferred heartbeats are waiting for.
        let has_deferred_heartbeats = {
            let state = self.state.borrow();
            state.relay.slots.has_deferred_heartbeats()
        };
        if has_deferred_heartbeats {
            self.wakeups.ownership_changed.notify_waiters();
        }
        self.update_isolation();
    }

    /// Returns whether the owner of any role has relinquished that role.
    fn is_role_relinquished(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let reachability = &state.membership.reachability;
        state.cache.roles.iter().any(|(role, cached)| {
            reachability.has_relinquished(&cached.value.owner, *role, cached.version, now)
        })
    }
}
