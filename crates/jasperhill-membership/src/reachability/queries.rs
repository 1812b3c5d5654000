//! What follows from the links that are known: who reaches whom, and by which way.

use super::{CONTACT_VALID, LinkId, PEER_REPORT_VALID, PeerReport, Reachability};
use crate::link::LinkHealth;
use jasperhill_wire::{
    Member, Micros, Name, Revision,
    mesh::{LinkState, ReachabilityReport},
    record::Role,
};

impl Reachability {
    /// Whether a member has shown lately that it reaches a zone's workers. Guards against a role
    /// that goes to somebody beyond the same cut who has not noticed it yet.
    pub fn has_recent_contact(&self, member: &Member, zone: &Name, now: Micros) -> bool {
        let Some(PeerReport { report, received }) = self.peer_reports.get(member) else {
            return false;
        };
        let there = report.zones.iter().find(|z| &z.zone == zone);
        there.is_some_and(|z| now - (*received - z.last_success) < CONTACT_VALID)
    }

    /// The state of this controller's own link.
    pub fn own_link(&self, link: &LinkId) -> LinkState {
        self.links
            .get(link)
            .map_or(LinkState::Unknown, LinkHealth::state)
    }

    /// What a peer has reported, if that is recent.
    pub fn peer_report(&self, member: &Member, now: Micros) -> Option<&ReachabilityReport> {
        let PeerReport { report, received } = self.peer_reports.get(member)?;
        (now - *received < PEER_REPORT_VALID).then_some(report)
    }

    /// Whether the state service answers that member, as far as is known.
    pub fn store_link(&self, member: &Member, now: Micros) -> LinkState {
        if *member == self.me {
            return self.own_link(&LinkId::Store);
        }
        self.peer_report(member, now)
            .map_or(LinkState::Unknown, |r| r.store)
    }

    /// Some other member is answered by the state service.
    pub fn is_store_reachable_elsewhere(&self, now: Micros) -> bool {
        self.peers
            .iter()
            .any(|m| self.store_link(m, now) == LinkState::Up)
    }

    /// The state service does not answer here, and does elsewhere, as far as can be told: somebody
    /// says so, or nobody is heard any more. Guards against users who hold on to a controller that
    /// has lost the state service and all others, and get no answer for as long as that lasts. In an
    /// outage that everybody sees, others are heard and say so.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let nobody = !self.peers.is_empty()
            && self
                .peers
                .iter()
                .all(|m| self.peer_report(m, now).is_none());
        self.own_link(&LinkId::Store) == LinkState::Down
            && (nobody || self.is_store_reachable_elsewhere(now))
    }

    /// The states of the links between a member and a zone's workers: by which heartbeats come
    /// in, and by which commands go out.
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

    /// Whether a member and a zone's workers reach each other. What is not known is no reason
    /// against a direction while the other works.
    pub fn reaches(&self, member: &Member, zone: &Name, now: Micros) -> LinkState {
        match self.zone_links(member, zone, now) {
            (LinkState::Down, _) | (_, LinkState::Down) => LinkState::Down,
            (LinkState::Suspect, _) | (_, LinkState::Suspect) => LinkState::Suspect,
            (LinkState::Unknown, LinkState::Unknown) => LinkState::Unknown,
            _ => LinkState::Up,
        }
    }

    /// Whether that member is reached from here, and has been heard.
    pub fn hears_peer(&self, member: &Member, now: Micros) -> bool {
        self.own_link(&LinkId::Peer(member.clone())) != LinkState::Down
            && self.peer_report(member, now).is_some()
    }

    /// A peer through which commands get to a zone's workers.
    pub fn relay_to_zone(&self, zone: &Name, now: Micros) -> Option<&Member> {
        self.peers.iter().find(|m| {
            self.hears_peer(m, now)
                && matches!(
                    self.zone_links(m, zone, now),
                    (_, LinkState::Up) | (LinkState::Up, LinkState::Unknown)
                )
        })
    }

    /// A third member that hears both a peer and a zone's workers.
    pub fn relay_to_owner(&self, peer: &Member, zone: &Name, now: Micros) -> Option<&Member> {
        self.peers.iter().find(|m| {
            *m != peer
                && self.hears_peer(m, now)
                && self.peer_report(m, now).is_some_and(|r| r.reachable_peers.contains(peer))
                // Guards against one that only commands get out of: it has to hear the worker.
                && self.zone_links(m, zone, now).0 == LinkState::Up
                && self.reaches(m, zone, now) == LinkState::Up
        })
    }

    /// The latest ownership of a role that any peer has reported.
    pub fn owner(&self, role: Role, now: Micros) -> Option<(&Member, Revision)> {
        self.peers
            .iter()
            .filter_map(|m| self.peer_report(m, now))
            .flat_map(|r| &r.owners)
            .filter(|(r, ..)| *r == role)
            .map(|(_, owner, version)| (owner, *version))
            .max_by_key(|(_, version)| *version)
    }

    /// The owner of a role at this revision says that it has stopped acting on it for good.
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

    /// All of this controller's links are up, as far as they are known.
    pub fn all_links_up(&self) -> bool {
        let is_up = |l: &LinkHealth| matches!(l.state(), LinkState::Up | LinkState::Unknown);
        self.links.values().all(is_up)
    }
}
