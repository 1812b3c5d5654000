//! What this controller knows of the links: its own, and those that others have told it of.
//! Advice only: safety never rests on it. Every change goes through [`Reachability::apply`].

mod queries;

use crate::link::{LinkHealth, Observation, Thresholds};
use jasperhill_wire::{
    Member, Micros, Name, Revision,
    mesh::{LinkState, ReachabilityReport, ZoneLinks},
    record::Role,
};
use std::collections::BTreeMap;

/// What others reported counts for so long.
const PEER_REPORT_VALID: Micros = Micros::from_secs(5);
/// Silence of fewer hosts than this is judged host by host, by their longest pause.
const LARGE_ZONE_HOSTS: u32 = 30;
/// Hosts of a large zone send heartbeats all the time: after this silence some are probed.
const LARGE_ZONE_SILENCE: Micros = Micros::from_millis(1_500);
/// A link without an observation for so long is probed.
const OBSERVATION_MAX_AGE: Micros = Micros::from_secs(8);
/// Younger than this, what a member got through to a zone shows that it still does: less than
/// the time after which a role moves.
const CONTACT_VALID: Micros = Micros::from_millis(2_500);
/// The time between two probes of a zone where something may be wrong ...
const PROBE_INTERVAL: Micros = Micros::from_secs(1);
/// ... and where nothing is.
const PROBE_INTERVAL_IDLE: Micros = Micros::from_secs(4);
/// The part of the probe interval after which a link that is suspect or down is probed again.
const REPROBE_PER_INTERVAL: f64 = 0.5;
/// A worker finds out within so long that a controller does not answer it, and tries the next.
const WORKER_RETRY: Micros = Micros::from_secs(5);
/// A zone whose heartbeats do not come, while commands go out, is given another chance after this:
/// nothing can show that they would come but hosts that are told to.
const SILENCE_FORGOTTEN: Micros = Micros::from_secs(60);
/// The part of the heartbeat interval after which a small zone is silent: the longest pause of
/// one host, and some ...
const SMALL_ZONE_SILENCE_PER_INTERVAL: f64 = 1.25;
/// ... and a large zone: many hosts never pause together.
const LARGE_ZONE_SILENCE_PER_INTERVAL: f64 = 0.75;
/// Added to either, for late timers.
const SILENCE_MARGIN: Micros = Micros::from_secs(1);

/// One link of this controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    /// To the state service.
    Store,
    /// To the cloud.
    Cloud,
    /// To another controller.
    Peer(Member),
    /// Heartbeats of a zone's workers that come in here.
    Heartbeats(Name),
    /// Commands that go out to a zone's workers.
    Commands(Name),
}

/// What changes the view.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Something got through a link, or did not.
    Evidence(LinkId, Observation),
    /// Hosts of a zone should send heartbeats here. Comes at regular intervals.
    ExpectHeartbeats {
        /// The zone.
        zone: &'a Name,
        /// How many of its hosts should.
        hosts: u32,
        /// The time between two heartbeats of a host.
        report: Micros,
    },
    /// Another controller has reported its own links.
    PeerReport(&'a ReachabilityReport),
}

/// What to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A link was in one state and is in another.
    Changed(LinkId, LinkState, LinkState),
    /// Probe some workers of this zone.
    Probe(Name),
}

/// What is known of a zone's workers.
#[derive(Clone, Debug)]
struct Zone {
    last_heartbeat: Micros,
    last_probe: Micros,
    /// When something last got through, in either direction.
    last_success: Micros,
    /// Heartbeats were due here when it was last evaluated.
    expected: bool,
}

/// What another controller has reported, and when that came.
#[derive(Clone, Debug)]
struct PeerReport {
    report: ReachabilityReport,
    received: Micros,
}

/// A zone from which heartbeats are due, as it is evaluated.
struct ZoneEvaluation<'a> {
    zone: &'a Name,
    /// Hosts that should send heartbeats here.
    hosts: u32,
    /// The state of the link by which commands go out.
    commands: LinkState,
    /// How long no heartbeat has come.
    silence: Micros,
    /// How long that may be.
    silence_max: Micros,
    now: Micros,
}

/// What this controller knows of the links. Owned by the controller's membership state.
#[derive(Clone, Debug)]
pub struct Reachability {
    me: Member,
    links: BTreeMap<LinkId, LinkHealth>,
    zones: BTreeMap<Name, Zone>,
    peer_reports: BTreeMap<Member, PeerReport>,
    /// When this process began, by the time of day: orders its reports.
    process_started: Micros,
    /// Counts the reports of this process.
    number: u64,
    peers: Vec<Member>,
}

/// How soon a link is believed to be down and up: whoever waits for the state service or a peer
/// notices each answer.
fn thresholds(link: &LinkId) -> Thresholds {
    let (down_ms, up_ms) = match link {
        LinkId::Store => (1_200, 0),
        LinkId::Peer(_) => (1_000, 0),
        LinkId::Cloud => (6_000, 0),
        LinkId::Heartbeats(_) => (400, 500),
        LinkId::Commands(_) => (600, 1_000),
    };
    Thresholds {
        down: Micros::from_millis(down_ms),
        up: Micros::from_millis(up_ms),
    }
}

/// How long no heartbeat may come from a zone's hosts, which send one every `interval`.
fn silence_max(hosts: u32, interval: Micros, commands: LinkState) -> Micros {
    if hosts < LARGE_ZONE_HOSTS {
        interval.scale(SMALL_ZONE_SILENCE_PER_INTERVAL) + SILENCE_MARGIN
    } else if matches!(commands, LinkState::Suspect | LinkState::Down) {
        // Both directions agree: it need not be waited for.
        LARGE_ZONE_SILENCE
    } else {
        interval.scale(LARGE_ZONE_SILENCE_PER_INTERVAL) + SILENCE_MARGIN
    }
}

impl Reachability {
    /// That of a process that has just started. `process_started`: by the time of day.
    pub fn new(me: Member, peers: Vec<Member>, process_started: Micros) -> Self {
        Self {
            me,
            links: BTreeMap::new(),
            zones: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            process_started,
            number: 0,
            peers,
        }
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Output> {
        match input {
            Input::Evidence(link, observation) => {
                if observation == Observation::Success {
                    self.note_success(&link, now);
                }
                self.observe(link, observation, now)
            }
            Input::ExpectHeartbeats {
                zone,
                hosts,
                report,
            } => self.expect_heartbeats(zone, hosts, report, now),
            Input::PeerReport(report) => {
                self.receive(report, now);
                Vec::new()
            }
        }
    }

    /// Something got through a link: that shows that a zone is reached.
    fn note_success(&mut self, link: &LinkId, now: Micros) {
        match link {
            LinkId::Heartbeats(zone) => {
                let zone = self.zone(zone, now);
                zone.last_heartbeat = now;
                zone.last_success = now;
            }
            LinkId::Commands(zone) => self.zone(zone, now).last_success = now,
            LinkId::Store | LinkId::Cloud | LinkId::Peer(_) => {}
        }
    }

    /// Keeps the report of another controller, if it is the newest.
    fn receive(&mut self, report: &ReachabilityReport, now: Micros) {
        let from = &report.from;
        let is_peer = *from != self.me && self.peers.contains(from);
        let is_old = self.peer_reports.get(from).is_some_and(|kept| {
            let kept = &kept.report;
            (kept.process_started, kept.number) >= (report.process_started, report.number)
        });
        if is_peer && !is_old {
            let kept = PeerReport {
                report: report.clone(),
                received: now,
            };
            self.peer_reports.insert(from.clone(), kept);
        }
    }

    fn zone(&mut self, zone: &Name, now: Micros) -> &mut Zone {
        self.zones.entry(zone.clone()).or_insert(Zone {
            last_heartbeat: now,
            last_probe: Micros::ZERO,
            last_success: Micros::ZERO,
            expected: false,
        })
    }

    fn observe(&mut self, id: LinkId, observation: Observation, now: Micros) -> Vec<Output> {
        let link = self
            .links
            .entry(id.clone())
            .or_insert_with(|| LinkHealth::new(thresholds(&id)));
        let before = link.state();
        if !link.apply(observation, now) {
            return Vec::new();
        }
        let after = link.state();
        let mut outputs = vec![Output::Changed(id.clone(), before, after)];
        // Both were cut, and one direction is whole again: heartbeats may be as well.
        if let LinkId::Commands(zone) = id
            && (before, after) == (LinkState::Down, LinkState::Up)
        {
            let heartbeats = LinkId::Heartbeats(zone);
            outputs.extend(self.observe(heartbeats, Observation::NoCounterpart, now));
        }
        outputs
    }

    /// Silence where heartbeats are due, and probes where nothing else speaks.
    fn expect_heartbeats(
        &mut self,
        zone: &Name,
        hosts: u32,
        interval: Micros,
        now: Micros,
    ) -> Vec<Output> {
        let commands = self.own_link(&LinkId::Commands(zone.clone()));
        let evaluation = ZoneEvaluation {
            zone,
            hosts,
            commands,
            silence: self.silence(zone, hosts > 0, now),
            silence_max: silence_max(hosts, interval, commands),
            now,
        };
        let probe = self.is_probe_due(&evaluation);
        if probe {
            self.zone(zone, now).last_probe = now;
        }
        let mut outputs = self.observe_silence(&evaluation);
        if probe {
            outputs.push(Output::Probe(zone.clone()));
        }
        outputs
    }

    /// How long no heartbeat of a zone has come.
    fn silence(&mut self, zone: &Name, expected: bool, now: Micros) -> Micros {
        // Guards against a takeover or a restart that looks like a cut: the workers may still
        // be at all the others.
        let all_others = WORKER_RETRY.scale(self.peers.len() as f64);
        let zone = self.zone(zone, now);
        if !std::mem::replace(&mut zone.expected, expected) {
            zone.last_heartbeat = zone.last_heartbeat.max(now + all_others);
        }
        now - zone.last_heartbeat
    }

    fn is_probe_due(&mut self, evaluation: &ZoneEvaluation<'_>) -> bool {
        let ZoneEvaluation {
            zone,
            hosts,
            commands,
            silence,
            silence_max,
            now,
        } = *evaluation;
        let commands_link = self.links.get(&LinkId::Commands(zone.clone()));
        let observed = commands_link.map_or(Micros::ZERO, LinkHealth::last_observation);
        // Whoever does not reach a zone needs to know who does, now and not some time ago.
        let missed = self.is_missed(zone, now);
        let state = self.zone(zone, now);
        let for_others = missed && now - state.last_success >= PROBE_INTERVAL;
        let large = hosts >= LARGE_ZONE_HOSTS;
        let for_this = match commands {
            LinkState::Down | LinkState::Suspect => {
                now - observed >= PROBE_INTERVAL.scale(REPROBE_PER_INTERVAL)
            }
            LinkState::Up | LinkState::Unknown => {
                (large && silence >= LARGE_ZONE_SILENCE)
                    || silence >= silence_max
                    || now - observed >= OBSERVATION_MAX_AGE
            }
        };
        let interval = match commands {
            _ if for_others => PROBE_INTERVAL,
            LinkState::Up | LinkState::Unknown if silence < LARGE_ZONE_SILENCE || !large => {
                PROBE_INTERVAL_IDLE
            }
            _ => PROBE_INTERVAL,
        };
        (for_this || for_others) && now - state.last_probe >= interval
    }

    /// Silence is a failure where heartbeats are due, and is forgotten where none are.
    fn observe_silence(&mut self, evaluation: &ZoneEvaluation<'_>) -> Vec<Output> {
        let ZoneEvaluation {
            hosts,
            silence,
            silence_max,
            now,
            ..
        } = *evaluation;
        let id = LinkId::Heartbeats(evaluation.zone.clone());
        if hosts > 0 && silence >= silence_max {
            let failure = Observation::Failure { by: now.0, of: 1 };
            self.observe(id, failure, now)
        } else if hosts == 0
            && silence > SILENCE_FORGOTTEN
            && self.own_link(&id) != LinkState::Unknown
        {
            self.observe(id, Observation::NoCounterpart, now)
        } else {
            Vec::new()
        }
    }

    /// Some other member does not reach this zone.
    fn is_missed(&self, zone: &Name, now: Micros) -> bool {
        self.peers
            .iter()
            .any(|m| self.reaches(m, zone, now) == LinkState::Down)
    }

    /// What this controller reports to the others: its links, the ownerships that it knows of and
    /// those that it has relinquished.
    pub fn report(
        &mut self,
        owners: Vec<(Role, Member, Revision)>,
        relinquished: Vec<(Role, Revision)>,
        now: Micros,
    ) -> ReachabilityReport {
        self.number += 1;
        let zones = self.zones.iter().map(|(zone, state)| {
            let (heartbeats, commands) = self.zone_links(&self.me, zone, now);
            ZoneLinks {
                zone: zone.clone(),
                heartbeats,
                commands,
                last_success: now - state.last_success,
            }
        });
        ReachabilityReport {
            from: self.me.clone(),
            process_started: self.process_started,
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
            relinquished,
        }
    }
}
