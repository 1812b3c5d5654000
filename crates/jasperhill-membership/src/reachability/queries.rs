//! Queries on the known links: which member reaches the state service, a zone or another member,
//! and through which relay.

use super::{CONTACT_VALIDITY, LinkId, PEER_REPORT_VALIDITY, PeerReport, Reachability};
use crate::link::LinkHealth;
use jasperhill_wire::{
    Member, Micros, Name, Revision,
    mesh::{LinkState, ReachabilityReport},
    record::Role,
};

impl Reachability {
    /// Returns whether a peer has recently had contact with a zone's workers. Without this check a
    /// role could move to a member behind the same network partition that has not noticed it yet.
    pub fn has_recent_contact(&self, member: &Member, zone: &Name, now: Micros) -> bool {
        let Some(PeerReport { report, received }) = self.peer_reports.get(member) else {
            return false;
        };
        let zone_links = report.zones.iter().find(|z| &z.zone == zone);
        zone_links.is_some_and(|z| now - (*received - z.last_success) < CONTACT_VALIDITY)
    }

    /// Returns the state of one of this controller's own links.
    pub fn own_link(&self, link: &LinkId) -> LinkState {
        self.links
            .get(link)
            .map_or(LinkState::Unknown, LinkHealth::state)
    }

    /// Returns the latest report of a peer; `None` if there is no valid report.
    pub fn peer_report(&self, member: &Member, now: Micros) -> Option<&ReachabilityReport> {
        let PeerReport { report, received } = self.peer_reports.get(member)?;
        (now - *received < PEER_REPORT_VALIDITY).then_some(report)
    }

    /// Returns the state of the link between a member and the state service.
    pub fn store_link(&self, member: &Member, now: Micros) -> LinkState {
        if *member == self.me {
            return self.own_link(&LinkId::Store);
        }
        self.peer_report(member, now)
            .map_or(LinkState::Unknown, |r| r.store)
    }

    /// Returns whether the state service responds to at least one peer.
    pub fn is_store_reachable_elsewhere(&self, now: Micros) -> bool {
        self.peers
            .iter()
            .any(|m| self.store_link(m, now) == LinkState::Up)
    }

    /// Returns whether this controller is cut off from the state service while the service probably
    /// responds to other members: a peer reports so, or no peer has a valid report. Without the
    /// second case, users would stay connected to a controller that has lost the state service and
    /// all peers, and get no response for as long as that lasts. During an outage of the state
    /// service itself, the peers are heard and report the outage.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let no_peer_heard = !self.peers.is_empty()
            && self
                .peers
                .iter()
                .all(|m| self.peer_report(m, now).is_none());
        self.own_link(&LinkId::Store) == LinkState::Down
            && (no_peer_heard || self.is_store_reachable_elsewhere(now))
    }

    /// Returns the states of the links between a member and a zone's workers: the inbound heartbeat
    /// link, then the outbound command link.
    pub fn zone_links(&self, member: &Member, zone: &Name, now: Micros) -> (LinkState, LinkState) {
        if *member == self.me {
            return (
                self.own_link(&LinkId::Heartbeats(zone.clone())),
                self.own_link(&LinkId::Commands(zone.clone())),
            );
        }
        let report = self.peer_report(member, now);
        report
            .and_then(|r| r.zones.iter().find(|z| &z.zone == zone))
            .map_or((LinkState::Unknown, LinkState::Unknown), |z| {
                (z.heartbeats, z.commands)
            })
    }

    /// Returns the combined state of both directions between a member and a zone's workers. An
    /// unknown direction is ignored if the state of the other direction is known.
    pub fn zone_link_state(&self, member: &Member, zone: &Name, now: Micros) -> LinkState {
        match self.zone_links(member, zone, now) {
            (LinkState::Down, _) | (_, LinkState::Down) => LinkState::Down,
            (LinkState::Suspect, _) | (_, LinkState::Suspect) => LinkState::Suspect,
            (LinkState::Unknown, LinkState::Unknown) => LinkState::Unknown,
            _ => LinkState::Up,
        }
    }

    /// Returns whether the link to a peer is not down and the peer has a valid report.
    pub fn can_communicate_with(&self, member: &Member, now: Micros) -> bool {
        self.own_link(&LinkId::Peer(member.clone())) != LinkState::Down
            && self.peer_report(member, now).is_some()
    }

    /// Returns a peer that can relay commands to a zone's workers.
    pub fn relay_to_zone(&self, zone: &Name, now: Micros) -> Option<&Member> {
        self.peers.iter().find(|m| {
            self.can_communicate_with(m, now)
                && matches!(
                    self.zone_links(m, zone, now),
                    (_, LinkState::Up) | (LinkState::Up, LinkState::Unknown)
                )
        })
    }

    /// Returns a member other than `peer` that can communicate with `peer` and with a zone's
    /// workers.
    pub fn relay_to_owner(&self, peer: &Member, zone: &Name, now: Micros) -> Option<&Member> {
        self.peers.iter().find(|m| {
            *m != peer
                && self.can_communicate_with(m, now)
                && self.peer_report(m, now).is_some_and(|r| r.reachable_peers.contains(peer))
                // A member whose commands get out but that receives no heartbeats cannot be a
                // relay, because the relay has to receive the worker's heartbeats.
                && self.zone_links(m, zone, now).0 == LinkState::Up
                && self.zone_link_state(m, zone, now) == LinkState::Up
        })
    }

    /// Returns the latest ownership of a role that any peer has reported.
    pub fn reported_owner(&self, role: Role, now: Micros) -> Option<(&Member, Revision)> {
        self.peers
            .iter()
            .filter_map(|m| self.peer_report(m, now))
            .flat_map(|r| &r.owners)
            .filter(|(r, ..)| *r == role)
            .map(|(_, owner, version)| (owner, *version))
            .max_by_key(|(_, version)| *version)
    }

    /// Returns whether the owner of a role at this revision has reported that it has permanently
    /// stopped acting on the role.
    pub fn has_relinquished(
        &self,
        owner: &Member,
        role: Role,
        version: Revision,
        now: Micros,
    ) -> bool {
        self.peer_report(owner, now)
            .is_some_and(|r| r.relinquished.contains(&(role, version)))
    }

    /// Returns whether all of this controller's links are up or unknown.
    pub fn all_links_up(&self) -> bool {
        let is_up = |l: &LinkHealth| matches!(l.state(), LinkState::Up | LinkState::Unknown);
        self.links.values().all(is_up)
    }
}
