//! The reachability of peers, zones, the store and the cloud: what is observed here, and the exchange of
//! reports with the other controllers.

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

/// How often links are checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the peers get a report while all links are up.
const REPORT_INTERVAL_UP: Micros = Micros::from_secs(2);
/// How often the peers get a report while any link is not up.
const REPORT_INTERVAL_DOWN: Micros = Micros::from_millis(900);
/// How long a peer may take to answer a report.
const REPORT_LIMIT: Micros = Micros::from_secs(1);

/// A number that tells hosts apart among the witnesses of a failure.
fn witness_number(host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

impl Shared {
    /// Whether roles follow reachability, and links are reported: only when every member understands
    /// that.
    pub fn uses_reachability(&self, state: &State) -> bool {
        state.membership.features.supports(REACHABILITY)
    }

    /// Notes that something got through a link, or did not.
    pub fn observe_link(&self, link: LinkId, observation: Observation) {
        self.update_reachability(reachability::Input::Evidence(link, observation));
    }

    /// Notes that a worker of a zone answered, or did not. `host_count`: how many hosts its failure is
    /// weighed against.
    pub fn observe_worker(&self, zone: &Name, host: &HostId, host_count: usize, answered: bool) {
        let observation = if answered {
            Observation::Success
        } else {
            Observation::Failure {
                by: witness_number(host),
                of: host_count,
            }
        };
        self.observe_link(LinkId::Commands(zone.clone()), observation);
    }

    /// Applies an input to the view of reachability and follows what it changes. The zones to be probed.
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

    /// Follows the change of a link: notes silent peers, logs it and wakes the loops that depend on it.
    fn on_link_changed(&self, link: &LinkId, before: LinkState, after: LinkState, now: Micros) {
        if let LinkId::Peer(member) = link {
            let silent_since = &mut self.state.borrow_mut().membership.silent_since;
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
            tracing::debug!(?link, reach = ?after, "link");
        } else {
            tracing::info!(?link, reach = ?after, "link");
            self.wake.reachability.notify_one();
            self.wake.roles.notify_one();
        }
    }

    /// Checks the links, and reports them to the peers, for as long as the controller lives.
    pub async fn reachability_loop(self: Rc<Self>) {
        let mut reported_at = Micros::ZERO;
        loop {
            let was_woken = timeout(CHECK_INTERVAL, self.wake.reachability.notified())
                .await
                .is_ok();
            self.expect_heartbeats();
            let now = self.now();
            let (reports_links, all_links_up) = {
                let state = self.state.borrow();
                (
                    self.uses_reachability(&state),
                    state.membership.reachability.all_links_up(),
                )
            };
            let interval = if all_links_up {
                REPORT_INTERVAL_UP
            } else {
                REPORT_INTERVAL_DOWN
            };
            if reports_links && (was_woken || now - reported_at >= interval) {
                reported_at = now;
                self.send_reachability();
            }
            self.update_isolation();
            self.log_answers_without_store();
        }
    }

    /// Logs how many heartbeats were answered while the store was silent, once that is over.
    fn log_answers_without_store(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_store_down =
            state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
        let is_answering_without_store = is_store_down && state.authority.holds(now);
        if state.heartbeats.answered_without_store > 0 && !is_answering_without_store {
            let heartbeats = std::mem::take(&mut state.heartbeats.answered_without_store);
            tracing::info!(heartbeats, "heartbeats answered without the store");
        }
    }

    /// This controller's report for its peers.
    fn own_report(&self, state: &mut State, now: Micros) -> ReachabilityReport {
        // What a watch cache shows that is no longer brought up to date is not reported as news.
        let is_cache_current =
            state.membership.reachability.own_link(&LinkId::Store) == LinkState::Up;
        let owners = if is_cache_current {
            let ownerships = state.cache.ownerships().into_iter();
            ownerships
                .filter(|(_, ownership)| ownership.live)
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

    /// Reports the links to every peer; their answers are their own reports.
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
                let answer = shared.mesh_call(address, request, REPORT_LIMIT).await;
                if let Some(MeshResponse::Reachability(peer_report)) = answer {
                    shared.take_peer_report(&peer_report);
                }
            });
        }
    }

    /// Takes in the report of a peer and answers with the own one. Called by the mesh server.
    pub fn receive_reachability(
        self: &Rc<Self>,
        peer_report: &ReachabilityReport,
    ) -> ReachabilityReport {
        self.take_peer_report(peer_report);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        self.own_report(&mut state, now)
    }

    /// Takes in the report of a peer, with what follows from it at once.
    fn take_peer_report(&self, peer_report: &ReachabilityReport) {
        self.update_reachability(reachability::Input::PeerReport(peer_report));
        if self.is_role_relinquished() {
            self.wake.roles.notify_one();
        }
        // A role that heartbeats wait for may have found an owner.
        let has_deferred_heartbeats = {
            let state = self.state.borrow();
            state.relay.slots.has_deferred_heartbeats()
        };
        if has_deferred_heartbeats {
            self.wake.ownership_changed.notify_waiters();
        }
        self.update_isolation();
    }

    /// Whether the owner of any role has given it up.
    fn is_role_relinquished(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let reachability = &state.membership.reachability;
        state.cache.roles.iter().any(|(role, cached)| {
            reachability.has_relinquished(&cached.value.owner, *role, cached.version, now)
        })
    }
}
