//! Chooses the routes of heartbeats and commands by the known states of the links.

use super::route::{CommandRoute, HeartbeatRoute};
use crate::{shared::Shared, state::State};
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Member, Name, mesh::LinkState, record::Role, worker::Heartbeat};

impl Shared {
    /// Returns the owner of a role according to the latest known version of the role's record. The
    /// version comes from this controller's watch cache, or from a peer's report if that is newer, as
    /// the cache may be stale.
    pub fn latest_owner(&self, state: &State, role: Role) -> Option<Member> {
        let now = self.now();
        let cached_version = state.cache.roles.get(&role).map(|cached| cached.version);
        match state.membership.reachability.reported_owner(role, now) {
            Some((owner, version))
                if self.uses_reachability(state)
                    && cached_version.is_none_or(|cached| cached < version) =>
            {
                Some(owner.clone())
            }
            _ => state.cache.owner(role).cloned(),
        }
    }

    /// Returns the route of a heartbeat whose partition another controller owns. Returns `None` if the
    /// worker can simply be redirected to the owner: there is no known reason against the redirect, or
    /// no other route is known.
    pub fn heartbeat_route(&self, owner: &Member, heartbeat: &Heartbeat) -> Option<HeartbeatRoute> {
        let now = self.now();
        let state = self.state.borrow();
        let zone = &heartbeat.zone;
        if !self.uses_reachability(&state) {
            return None;
        }
        let reachability = &state.membership.reachability;
        if !reachability.can_communicate_with(owner, now) {
            let peer = reachability.relay_to_owner(owner, zone, now)?.clone();
            let returned_after_redirect = state.relay.was_redirected(&heartbeat.host, now);
            return Some(if returned_after_redirect {
                HeartbeatRoute::Through(peer)
            } else {
                HeartbeatRoute::Redirect(peer)
            });
        }
        let (heartbeats_link, _) = reachability.zone_links(owner, zone, now);
        // The owner may not hear this zone, so a redirect could cost the worker ten seconds, which the
        // leases of its tasks may not have left.
        if matches!(heartbeats_link, LinkState::Down | LinkState::Suspect) {
            return Some(HeartbeatRoute::RelayOnly);
        }
        let is_registered = state.cache.hosts.contains_key(&heartbeat.host);
        is_registered.then_some(HeartbeatRoute::RelayFirst)
    }

    /// Returns the route for commands to the workers of a zone.
    pub fn command_route(&self, zone: &Name) -> CommandRoute {
        let now = self.now();
        let state = self.state.borrow();
        let reachability = &state.membership.reachability;
        let commands_link = reachability.own_link(&LinkId::Commands(zone.clone()));
        if commands_link != LinkState::Down || !self.uses_reachability(&state) {
            return CommandRoute::Direct;
        }
        let peer = reachability.relay_to_zone(zone, now);
        match peer.and_then(|member| self.address_of(member)) {
            Some(address) => CommandRoute::Through(address),
            None => CommandRoute::None,
        }
    }
}
