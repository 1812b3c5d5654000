//! What this controller knows of the links: its own, and those that others have told it of.
//! Advice only: no rule hangs on it. Every change goes through [`Reachability::apply`].

use crate::link::{LinkHealth, Observation, Thresholds};
use jasperhill_wire::{
    Member, Micros, Name, Revision,
    mesh::{LinkState, ReachabilityReport, ZoneLinks},
    record::Role,
};
use std::collections::BTreeMap;

/// What others said counts for so long.
const FRESH: Micros = Micros::from_secs(5);
/// Silence of fewer hosts than this is judged host by host, by their longest pause.
const MANY: u32 = 30;
/// Hosts among many speak all the time: after this silence some are asked.
const QUIET: Micros = Micros::from_millis(1_500);
/// A link that nobody has fed for so long is asked about.
const UNFED: Micros = Micros::from_secs(8);
/// Younger than this, what a member got through to a zone shows that it still does: less than
/// the time after which a role moves.
const PROVED: Micros = Micros::from_millis(2_500);
const PROBE_AGAIN: Micros = Micros::from_secs(1);
/// A worker finds out within so long that a controller does not answer it, and tries the next.
const FIND_US: Micros = Micros::from_secs(5);
/// A zone whose reports do not come, while commands go out, is given another chance after this:
/// nothing can show that they would come but hosts that are told to.
const FORGOTTEN: Micros = Micros::from_secs(60);
const PROBE_SELDOM: Micros = Micros::from_secs(4);

/// One link of this controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    Store,
    Cloud,
    Peer(Member),
    /// Reports of a zone's workers that come in here.
    Heartbeats(Name),
    /// Commands that go out to a zone's workers.
    Commands(Name),
}

#[derive(Clone, Debug)]
pub enum Input<'a> {
    Evidence(LinkId, Observation),
    /// So many hosts of a zone should report here; `report` is their pause.
    ExpectHeartbeats {
        zone: &'a Name,
        hosts: u32,
        report: Micros,
    },
    /// Another controller told how it stands.
    PeerReport(&'a ReachabilityReport),
}

/// What to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A link stood one way and stands another.
    Changed(LinkId, LinkState, LinkState),
    /// Ask some workers of this zone.
    Probe(Name),
}

#[derive(Clone, Debug)]
struct Zone {
    last_report: Micros,
    probed: Micros,
    /// When something last got through, in either direction.
    proved: Micros,
    /// Reports were due here when it was last looked at.
    expected: bool,
}

#[derive(Clone, Debug)]
pub struct Reachability {
    me: Member,
    links: BTreeMap<LinkId, LinkHealth>,
    zones: BTreeMap<Name, Zone>,
    said: BTreeMap<Member, (ReachabilityReport, Micros)>,
    born: Micros,
    number: u64,
    peers: Vec<Member>,
}

impl Reachability {
    pub fn new(me: Member, peers: Vec<Member>, born: Micros) -> Self {
        Self {
            me,
            links: BTreeMap::new(),
            zones: BTreeMap::new(),
            said: BTreeMap::new(),
            born,
            number: 0,
            peers,
        }
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Output> {
        match input {
            Input::Evidence(link, evidence) => {
                if evidence == Observation::Success {
                    match &link {
                        LinkId::Heartbeats(zone) => {
                            let zone = self.zone(zone, now);
                            (zone.last_report, zone.proved) = (now, now);
                        }
                        LinkId::Commands(zone) => self.zone(zone, now).proved = now,
                        _ => {}
                    }
                }
                self.feed(link, evidence, now)
            }
            Input::ExpectHeartbeats {
                zone,
                hosts,
                report,
            } => self.expect(zone, hosts, report, now),
            Input::PeerReport(report) => {
                let known = report.from != self.me && self.peers.contains(&report.from);
                let older = self.said.get(&report.from).is_some_and(|(r, _)| {
                    (r.process_started, r.number) >= (report.process_started, report.number)
                });
                if known && !older {
                    self.said.insert(report.from.clone(), (report.clone(), now));
                }
                Vec::new()
            }
        }
    }

    fn zone(&mut self, zone: &Name, now: Micros) -> &mut Zone {
        self.zones.entry(zone.clone()).or_insert(Zone {
            last_report: now,
            probed: Micros::ZERO,
            proved: Micros::ZERO,
            expected: false,
        })
    }

    fn feed(&mut self, id: LinkId, evidence: Observation, now: Micros) -> Vec<Output> {
        let patience = match id {
            // Whoever waits for the state service or a peer notices each answer.
            LinkId::Store => Thresholds {
                down: Micros::from_millis(1_200),
                up: Micros::ZERO,
            },
            LinkId::Peer(_) => Thresholds {
                down: Micros::from_secs(1),
                up: Micros::ZERO,
            },
            LinkId::Cloud => Thresholds {
                down: Micros::from_secs(6),
                up: Micros::ZERO,
            },
            LinkId::Heartbeats(_) => Thresholds {
                down: Micros::from_millis(400),
                up: Micros::from_millis(500),
            },
            LinkId::Commands(_) => Thresholds {
                down: Micros::from_millis(600),
                up: Micros::from_secs(1),
            },
        };
        let link = self
            .links
            .entry(id.clone())
            .or_insert_with(|| LinkHealth::new(patience));
        let before = link.reach();
        if link.apply(evidence, now) {
            let after = link.reach();
            let mut out = vec![Output::Changed(id.clone(), before, after)];
            // Both were cut, and one direction is whole again: reports may be as well.
            if let LinkId::Commands(zone) = id
                && (before, after) == (LinkState::Down, LinkState::Up)
            {
                out.extend(self.feed(LinkId::Heartbeats(zone), Observation::NoCounterpart, now));
            }
            out
        } else {
            Vec::new()
        }
    }

    /// Silence where reports are due, and questions where nothing else speaks.
    fn expect(&mut self, zone: &Name, hosts: u32, report: Micros, now: Micros) -> Vec<Output> {
        let orders = self.own_link(&LinkId::Commands(zone.clone()));
        let fed = self
            .links
            .get(&LinkId::Commands(zone.clone()))
            .map_or(Micros::ZERO, LinkHealth::fed);
        let round = FIND_US.scale(self.peers.len() as f64);
        let state = self.zone(zone, now);
        if !std::mem::replace(&mut state.expected, hosts > 0) {
            // Guards against a takeover or a restart that looks like a cut: the workers may
            // still be at all the others.
            state.last_report = state.last_report.max(now + round);
        }
        let quiet = now - state.last_report;
        let allowed = if hosts < MANY {
            report.scale(1.25) + Micros::from_secs(1)
        } else if matches!(orders, LinkState::Suspect | LinkState::Down) {
            // Both directions agree: it need not be waited for.
            QUIET
        } else {
            report.scale(0.75) + Micros::from_secs(1)
        };
        // Whoever does not reach a zone needs to know who does, now and not some time ago.
        let wanted = self.is_missed(zone, now);
        let state = self.zone(zone, now);
        let unproved = wanted && now - state.proved >= PROBE_AGAIN;
        let wants = match orders {
            LinkState::Down | LinkState::Suspect => now - fed >= PROBE_AGAIN.scale(0.5),
            _ => (hosts >= MANY && quiet >= QUIET) || quiet >= allowed || now - fed >= UNFED,
        };
        let pause = match orders {
            _ if unproved => PROBE_AGAIN,
            LinkState::Up | LinkState::Unknown if quiet < QUIET || hosts < MANY => PROBE_SELDOM,
            _ => PROBE_AGAIN,
        };
        let probe = (wants || unproved) && now - state.probed >= pause;
        if probe {
            state.probed = now;
        }
        let mut out = Vec::new();
        let id = LinkId::Heartbeats(zone.clone());
        if hosts > 0 && quiet >= allowed {
            let silence = Observation::Failure { by: now.0, of: 1 };
            out.extend(self.feed(id, silence, now));
        } else if hosts == 0 && quiet > FORGOTTEN && self.own_link(&id) != LinkState::Unknown {
            out.extend(self.feed(id, Observation::NoCounterpart, now));
        }
        if probe {
            out.push(Output::Probe(zone.clone()));
        }
        out
    }

    /// Some other member does not reach this zone.
    fn is_missed(&self, zone: &Name, now: Micros) -> bool {
        self.peers
            .iter()
            .any(|m| self.reaches(m, zone, now) == LinkState::Down)
    }

    /// Whether a member has shown lately that it reaches a zone's workers. Guards against a role
    /// that goes to somebody beyond the same cut who has not noticed it yet.
    pub fn has_recent_contact(&self, member: &Member, zone: &Name, now: Micros) -> bool {
        let Some((report, at)) = self.said.get(member) else {
            return false;
        };
        let there = report.zones.iter().find(|z| &z.zone == zone);
        there.is_some_and(|z| now - (*at - z.last_success) < PROVED)
    }

    /// How this controller's own link stands.
    pub fn own_link(&self, link: &LinkId) -> LinkState {
        self.links
            .get(link)
            .map_or(LinkState::Unknown, LinkHealth::reach)
    }

    /// What a peer said, if that is recent.
    pub fn peer_report(&self, member: &Member, now: Micros) -> Option<&ReachabilityReport> {
        let (report, at) = self.said.get(member)?;
        (now - *at < FRESH).then_some(report)
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

    /// Reports that come in, and commands that go out, between a member and a zone's workers.
    pub fn zone_links(&self, member: &Member, zone: &Name, now: Micros) -> (LinkState, LinkState) {
        if *member == self.me {
            return (
                self.own_link(&LinkId::Heartbeats(zone.clone())),
                self.own_link(&LinkId::Commands(zone.clone())),
            );
        }
        let said = self.peer_report(member, now);
        said.and_then(|r| r.zones.iter().find(|z| &z.zone == zone))
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

    /// The youngest ownership of a role that anybody has told of.
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
        let fine = |l: &LinkHealth| matches!(l.reach(), LinkState::Up | LinkState::Unknown);
        self.links.values().all(fine)
    }

    /// What this controller tells the others.
    pub fn report(
        &mut self,
        owners: Vec<(Role, Member, Revision)>,
        let_go: Vec<(Role, Revision)>,
        now: Micros,
    ) -> ReachabilityReport {
        self.number += 1;
        let zones = self.zones.iter().map(|(zone, state)| {
            let (reports, orders) = self.zone_links(&self.me, zone, now);
            ZoneLinks {
                zone: zone.clone(),
                heartbeats: reports,
                commands: orders,
                last_success: now - state.proved,
            }
        });
        ReachabilityReport {
            from: self.me.clone(),
            process_started: self.born,
            number: self.number,
            store: self.own_link(&LinkId::Store),
            cloud: self.own_link(&LinkId::Cloud),
            zones: zones.collect(),
            reachable_peers: self
                .peers
                .iter()
                .filter(|m| self.hears_peer(m, now))
                .cloned()
                .collect(),
            owners,
            relinquished: let_go,
        }
    }
}
