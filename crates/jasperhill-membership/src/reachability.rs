//! The health of the network links of this controller and, from their reports, of its peers.
//!
//! [`Reachability`] guides the placement of roles and the relaying of messages. It is advisory:
//! safety never depends on it. Every change goes through [`Reachability::apply`].

mod queries;

use crate::link::{LinkHealth, Observation, Thresholds};
use jasperhill_wire::{
    Member, Micros, Name, Revision,
    mesh::{LinkState, ReachabilityReport, ZoneLinks},
    record::Role,
};
use std::collections::BTreeMap;

/// The time for which a report of a peer is valid.
const PEER_REPORT_VALIDITY: Micros = Micros::from_secs(5);
/// The number of hosts from which on a zone is large. Many hosts together send heartbeats almost
/// continuously; in a smaller zone, the longest pause of a single host is decisive.
const LARGE_ZONE_HOSTS: u32 = 30;
/// The time without heartbeats after which some hosts of a large zone are probed. Hosts of a large
/// zone together send heartbeats almost continuously.
const LARGE_ZONE_SILENCE: Micros = Micros::from_millis(1_500);
/// The time without an observation after which a command link is probed.
const OBSERVATION_MAX_AGE: Micros = Micros::from_secs(8);
/// The age up to which a successful contact shows that a member still reaches a zone. Shorter than
/// the time after which a role moves.
const CONTACT_VALIDITY: Micros = Micros::from_millis(2_500);
/// The minimum time between two probes of a zone that shows signs of a failure.
const PROBE_INTERVAL: Micros = Micros::from_secs(1);
/// The minimum time between two probes of a zone without signs of a failure.
const PROBE_INTERVAL_IDLE: Micros = Micros::from_secs(4);
/// The fraction of the probe interval without an observation after which a suspect or down link is
/// probed again.
const REPROBE_INTERVAL_FACTOR: f64 = 0.5;
/// The time within which a worker notices that a controller does not respond and tries the next
/// controller.
const WORKER_FAILOVER_TIME: Micros = Micros::from_secs(5);
/// The silence after which the heartbeat link of a zone without expected heartbeats becomes unknown
/// again. Only hosts that are assigned to this controller could show that the link works, so the
/// link gets another chance.
const SILENCE_RESET_TIME: Micros = Micros::from_secs(60);
/// The permitted silence of a small zone as a multiple of the heartbeat interval: the longest pause
/// of one host and a reserve.
const SMALL_ZONE_SILENCE_FACTOR: f64 = 1.25;
/// The permitted silence of a large zone as a multiple of the heartbeat interval. Below 1, because
/// many hosts never pause at the same time.
const LARGE_ZONE_SILENCE_FACTOR: f64 = 0.75;
/// The allowance for late timers that is added to the permitted silence of a zone.
const SILENCE_TIMER_ALLOWANCE: Micros = Micros::from_secs(1);

/// One link of this controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    /// The link to the state service.
    Store,
    /// The link to the cloud provider.
    Cloud,
    /// The link to another controller.
    Peer(Member),
    /// The inbound link for heartbeats from the workers of a zone.
    Heartbeats(Name),
    /// The outbound link for commands to the workers of a zone.
    Commands(Name),
}

/// An event that changes the known reachability.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// An observation of one of this controller's links.
    LinkObserved(LinkId, Observation),
    /// States how many hosts of a zone should send heartbeats to this controller. Applied at
    /// regular intervals for each zone.
    ExpectHeartbeats {
        /// The zone whose hosts should send heartbeats.
        zone: &'a Name,
        /// The number of hosts that should send heartbeats to this controller; may be zero.
        hosts: u32,
        /// The interval between two heartbeats of a host.
        heartbeat_interval: Micros,
    },
    /// A report of another controller on its own links.
    PeerReport(&'a ReachabilityReport),
}

/// An effect of an [`Input`] that the caller acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The link changed from the first state to the second.
    Changed(LinkId, LinkState, LinkState),
    /// The caller is to probe some workers of this zone.
    Probe(Name),
}

/// Contact times of the workers of one zone.
#[derive(Clone, Debug)]
struct Zone {
    /// The time of the last heartbeat. After heartbeats become due, a time in the future until the
    /// workers have had time to find this controller.
    last_heartbeat: Micros,
    last_probe: Micros,
    /// The time of the last success in either direction.
    last_success: Micros,
    /// Whether heartbeats to this controller were due when the zone was last evaluated.
    heartbeats_expected: bool,
}

/// The latest report of another controller.
#[derive(Clone, Debug)]
struct PeerReport {
    report: ReachabilityReport,
    /// The time at which the report was received.
    received: Micros,
}

/// The inputs for evaluating the silence of a zone and the need to probe it.
struct ZoneEvaluation<'a> {
    zone: &'a Name,
    /// The number of hosts that should send heartbeats to this controller.
    hosts: u32,
    /// The state of the outbound command link to the zone.
    commands: LinkState,
    /// The time since the last heartbeat from the zone.
    silence: Micros,
    /// The silence from which on the heartbeat link counts as failing.
    silence_max: Micros,
    now: Micros,
}

/// The known health of the links of this controller and its peers.
#[derive(Clone, Debug)]
pub struct Reachability {
    me: Member,
    links: BTreeMap<LinkId, LinkHealth>,
    zones: BTreeMap<Name, Zone>,
    peer_reports: BTreeMap<Member, PeerReport>,
    /// The wall-clock start time of this process, which orders the reports of successive processes.
    process_started: Micros,
    /// The number of reports that this process has created; numbers its next report.
    reports_created: u64,
    peers: Vec<Member>,
}

/// Returns the thresholds of a link. Callers that wait for the state service or a peer observe each
/// response, so these links need no minimum time without failures to come up.
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

/// Returns the time without heartbeats after which a zone counts as silent, if each of its `hosts`
/// sends a heartbeat every `interval`.
fn silence_max(hosts: u32, interval: Micros, commands: LinkState) -> Micros {
    if hosts < LARGE_ZONE_HOSTS {
        interval.scale(SMALL_ZONE_SILENCE_FACTOR) + SILENCE_TIMER_ALLOWANCE
    } else if matches!(commands, LinkState::Suspect | LinkState::Down) {
        // Commands fail as well, so the longer silence of one direction alone is not needed.
        LARGE_ZONE_SILENCE
    } else {
        interval.scale(LARGE_ZONE_SILENCE_FACTOR) + SILENCE_TIMER_ALLOWANCE
    }
}

impl Reachability {
    /// Creates the state of a process that has just started. `process_started` is its wall-clock
    /// start time.
    pub fn new(me: Member, peers: Vec<Member>, process_started: Micros) -> Self {
        Self {
            me,
            links: BTreeMap::new(),
            zones: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            process_started,
            reports_created: 0,
            peers,
        }
    }

    /// Applies one input and returns the resulting state changes and probes.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Output> {
        match input {
            Input::LinkObserved(link, observation) => {
                if observation == Observation::Success {
                    self.record_contact(&link, now);
                }
                self.observe(link, observation, now)
            }
            Input::ExpectHeartbeats {
                zone,
                hosts,
                heartbeat_interval,
            } => self.expect_heartbeats(zone, hosts, heartbeat_interval, now),
            Input::PeerReport(report) => {
                self.store_peer_report(report, now);
                Vec::new()
            }
        }
    }

    /// Updates the contact times of a zone after a success on one of its links.
    fn record_contact(&mut self, link: &LinkId, now: Micros) {
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

    /// Stores the report of another controller unless a report at least as new is stored.
    fn store_peer_report(&mut self, report: &ReachabilityReport, now: Micros) {
        let sender = &report.from;
        let is_peer = *sender != self.me && self.peers.contains(sender);
        let is_old = self.peer_reports.get(sender).is_some_and(|stored| {
            let stored = &stored.report;
            (stored.process_started, stored.number) >= (report.process_started, report.number)
        });
        if is_peer && !is_old {
            let peer_report = PeerReport {
                report: report.clone(),
                received: now,
            };
            self.peer_reports.insert(sender.clone(), peer_report);
        }
    }

    /// Returns the contact times of a zone, created on first use.
    fn zone(&mut self, zone: &Name, now: Micros) -> &mut Zone {
        self.zones.entry(zone.clone()).or_insert(Zone {
            last_heartbeat: now,
            last_probe: Micros::ZERO,
            last_success: Micros::ZERO,
            heartbeats_expected: false,
        })
    }

    /// Applies an observation to one of this controller's links and returns the state changes.
    fn observe(&mut self, id: LinkId, observation: Observation, now: Micros) -> Vec<Output> {
        let link = self
            .links
            .entry(id.clone())
            .or_insert_with(|| LinkHealth::new(thresholds(&id)));
        let previous_state = link.state();
        if !link.apply(observation, now) {
            return Vec::new();
        }
        let new_state = link.state();
        let mut outputs = vec![Output::Changed(id.clone(), previous_state, new_state)];
        // Commands get through again after an outage, so heartbeats may as well: the heartbeat link
        // is unknown until the next observation.
        if let LinkId::Commands(zone) = id
            && (previous_state, new_state) == (LinkState::Down, LinkState::Up)
        {
            let heartbeats = LinkId::Heartbeats(zone);
            outputs.extend(self.observe(heartbeats, Observation::NoCounterpart, now));
        }
        outputs
    }

    /// Evaluates the silence of a zone, and requests a probe where other observations are missing.
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
        let probe_due = self.is_probe_due(&evaluation);
        if probe_due {
            self.zone(zone, now).last_probe = now;
        }
        let mut outputs = self.observe_silence(&evaluation);
        if probe_due {
            outputs.push(Output::Probe(zone.clone()));
        }
        outputs
    }

    /// Returns the time since the last heartbeat of a zone. When heartbeats become due, workers
    /// first get the time to try all other controllers.
    fn silence(&mut self, zone: &Name, heartbeats_expected: bool, now: Micros) -> Micros {
        // After a takeover or a restart, workers may try all other controllers first. Without this
        // allowance the silence would count as a network partition.
        let failover_time = WORKER_FAILOVER_TIME.scale(self.peers.len() as f64);
        let zone = self.zone(zone, now);
        if !std::mem::replace(&mut zone.heartbeats_expected, heartbeats_expected) {
            zone.last_heartbeat = zone.last_heartbeat.max(now + failover_time);
        }
        now - zone.last_heartbeat
    }

    /// Returns whether workers of the zone are to be probed now.
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
        let last_observation = commands_link.map_or(Micros::ZERO, LinkHealth::last_observation);
        // A peer that does not reach the zone needs recent information on which members reach it.
        let unreachable_for_peer = self.is_unreachable_for_peer(zone, now);
        let state = self.zone(zone, now);
        let probe_for_peers = unreachable_for_peer && now - state.last_success >= PROBE_INTERVAL;
        let is_large_zone = hosts >= LARGE_ZONE_HOSTS;
        let probe_for_self = match commands {
            LinkState::Down | LinkState::Suspect => {
                now - last_observation >= PROBE_INTERVAL.scale(REPROBE_INTERVAL_FACTOR)
            }
            LinkState::Up | LinkState::Unknown => {
                (is_large_zone && silence >= LARGE_ZONE_SILENCE)
                    || silence >= silence_max
                    || now - last_observation >= OBSERVATION_MAX_AGE
            }
        };
        let interval = match commands {
            _ if probe_for_peers => PROBE_INTERVAL,
            LinkState::Up | LinkState::Unknown
                if silence < LARGE_ZONE_SILENCE || !is_large_zone =>
            {
                PROBE_INTERVAL_IDLE
            }
            _ => PROBE_INTERVAL,
        };
        (probe_for_self || probe_for_peers) && now - state.last_probe >= interval
    }

    /// Records a failure if the zone is silent while heartbeats are due, or resets the heartbeat
    /// link to unknown after a long silence while none are due.
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
            let failure = Observation::Failure {
                counterpart: now.0,
                counterpart_count: 1,
            };
            self.observe(id, failure, now)
        } else if hosts == 0
            && silence > SILENCE_RESET_TIME
            && self.own_link(&id) != LinkState::Unknown
        {
            self.observe(id, Observation::NoCounterpart, now)
        } else {
            Vec::new()
        }
    }

    /// Returns whether a peer cannot reach this zone.
    fn is_unreachable_for_peer(&self, zone: &Name, now: Micros) -> bool {
        self.peers
            .iter()
            .any(|m| self.zone_link_state(m, zone, now) == LinkState::Down)
    }

    /// Creates the next report to the other controllers: this controller's links, the role
    /// ownerships that it knows of (`owners`) and the ownerships that it has `relinquished`.
    pub fn report(
        &mut self,
        owners: Vec<(Role, Member, Revision)>,
        relinquished: Vec<(Role, Revision)>,
        now: Micros,
    ) -> ReachabilityReport {
        self.reports_created += 1;
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
            number: self.reports_created,
            store: self.own_link(&LinkId::Store),
            cloud: self.own_link(&LinkId::Cloud),
            zones: zones.collect(),
            reachable_peers: self
                .peers
                .iter()
                .filter(|m| self.can_communicate_with(m, now))
                .cloned()
                .collect(),
            owners,
            relinquished,
        }
    }
}
