//! Whether other controllers answer this one, and whether a worker is cut off from its owner.

use crate::{
    shared::{Shared, observation_of},
    state::State,
};
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::{Member, Micros, mesh::LinkState};
use std::net::SocketAddr;

/// Before links are reported, a peer's failure to answer counts for so long.
const UNREACHED_FOR: Micros = Micros::from_secs(8);

impl Shared {
    /// Notes whether another controller answered a mesh call. `short`: a call that the peer answers at
    /// once.
    pub fn record_peer_contact(&self, address: SocketAddr, answered: bool, short: bool) {
        let mut peers = self.settings.peers.iter();
        let Some(peer) = peers.find(|peer| peer.address == address) else {
            return;
        };
        // What took too long there is no fault of the link: that is judged by short calls.
        if answered || short {
            let link = LinkId::Peer(peer.member.clone());
            self.observe_link(link, observation_of(answered));
        }
        let now = self.now();
        let unreached_peers = &mut self.state.borrow_mut().delegation.unreached_peers;
        if answered {
            unreached_peers.remove(&peer.member);
        } else {
            unreached_peers.insert(peer.member.clone(), now);
        }
    }

    /// Whether another controller has answered recently, or has not been called.
    pub fn reaches_peer(&self, member: &Member) -> bool {
        !self.is_unreached(&self.state.borrow(), member, self.now())
    }

    /// Whether another controller does not answer, as far as is known here.
    fn is_unreached(&self, state: &State, member: &Member, now: Micros) -> bool {
        if self.uses_reachability(state) {
            // Guards against one lost message that is taken for a partition of the network.
            let link = LinkId::Peer(member.clone());
            return state.membership.reachability.own_link(&link) == LinkState::Down;
        }
        let failed_at = state.delegation.unreached_peers.get(member);
        failed_at.is_some_and(|at| now - *at < UNREACHED_FOR)
    }

    /// Whether a worker of this zone can't reach its owner, as far as can be told from here: it is beside
    /// this controller, the owner is elsewhere and does not answer, and no third zone has a controller
    /// that could relay heartbeats.
    pub fn is_cut_off(&self, zone: &str, owner: &Member) -> bool {
        let state = self.state.borrow();
        let own_zone = self.settings.site.as_str();
        let peers = &self.settings.peers;
        let Some(peer) = peers.iter().find(|peer| &peer.member == owner) else {
            return false;
        };
        let Some(owner_zone) = peer.site.as_ref() else {
            return false;
        };
        let has_third_zone = peers
            .iter()
            .filter_map(|peer| peer.site.as_ref())
            .any(|site| site.as_str() != own_zone && site != owner_zone);
        zone == own_zone
            && owner_zone.as_str() != own_zone
            && !has_third_zone
            && self.is_unreached(&state, owner, self.now())
    }
}
