//! Tracks whether other controllers answer this one, and determines whether a worker is cut off from
//! its owner.

use crate::{
    shared::{Shared, link_observation},
    state::State,
};
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Member, Micros, mesh::LinkState};
use std::net::SocketAddr;

/// The time for which a peer counts as unreachable after it failed to answer. Used only while members
/// don't report their links.
const UNREACHABLE_FOR: Micros = Micros::from_secs(8);

impl Shared {
    /// Records whether another controller answered a mesh call. `is_short` is true for calls that a
    /// peer answers at once.
    pub fn record_peer_contact(&self, address: SocketAddr, answered: bool, is_short: bool) {
        let mut peers = self.settings.peers.iter();
        let Some(peer) = peers.find(|peer| peer.address == address) else {
            return;
        };
        // Only the failure of a short call counts against the link: another call may have failed
        // because the peer took too long to process it.
        if answered || is_short {
            let link = LinkId::Peer(peer.member.clone());
            self.observe_link(link, link_observation(answered));
        }
        let now = self.now();
        let last_failure_at = &mut self.state.borrow_mut().delegation.last_failure_at;
        if answered {
            last_failure_at.remove(&peer.member);
        } else {
            last_failure_at.insert(peer.member.clone(), now);
        }
    }

    /// Returns whether another controller counts as reachable: it has answered recently, or there was
    /// no call to it.
    pub fn is_peer_reachable(&self, member: &Member) -> bool {
        !self.is_peer_unreachable(&self.state.borrow(), member, self.now())
    }

    /// Returns whether another controller counts as unreachable, as far as this controller knows.
    fn is_peer_unreachable(&self, state: &State, member: &Member, now: Micros) -> bool {
        if self.uses_reachability(state) {
            // The state of the link decides, so that one lost message is not taken for a network
            // partition.
            let link = LinkId::Peer(member.clone());
            return state.membership.reachability.own_link(&link) == LinkState::Down;
        }
        let failed_at = state.delegation.last_failure_at.get(member);
        failed_at.is_some_and(|at| now - *at < UNREACHABLE_FOR)
    }

    /// Returns whether a worker in `zone` is cut off from its owner, as far as this controller knows:
    /// the worker is in this controller's zone, the owner is in another zone and does not answer, and
    /// no controller in a third zone could relay heartbeats.
    pub fn is_cut_off(&self, zone: &str, owner: &Member) -> bool {
        let state = self.state.borrow();
        let own_zone = self.settings.zone.as_str();
        let peers = &self.settings.peers;
        let Some(peer) = peers.iter().find(|peer| &peer.member == owner) else {
            return false;
        };
        let Some(owner_zone) = peer.zone.as_ref() else {
            return false;
        };
        let has_third_zone = peers
            .iter()
            .filter_map(|peer| peer.zone.as_ref())
            .any(|site| site.as_str() != own_zone && site != owner_zone);
        zone == own_zone
            && owner_zone.as_str() != own_zone
            && !has_third_zone
            && self.is_peer_unreachable(&state, owner, self.now())
    }
}
