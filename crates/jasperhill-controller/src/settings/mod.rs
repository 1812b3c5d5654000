//! The settings that the platform hands over, checked, and the operators' own.
//!
//! [`Settings::parse`] reads the platform's file in two steps: `file` deserializes it and
//! `check` checks each value. What follows from settings is computed here. Settings never
//! change while a controller runs.

mod check;
mod error;
mod file;

pub use error::SettingsError;

use jasperhill_membership::FreshnessBounds;
use jasperhill_scheduler::{SchedulerConfig, TeamLimits, Tuning};
use jasperhill_wire::{Member, Micros, Name};
use std::{collections::BTreeMap, net::SocketAddr};

/// Another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub member: Member,
    /// The zone it is in, if that is said.
    pub site: Option<Name>,
    /// Where it is reached by mesh.
    pub address: SocketAddr,
}

/// What the operators may set beyond the file handed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// How the scheduler weighs things.
    pub tuning: Tuning,
    /// How long a controller's session outlives its last renewal; derived when absent.
    pub session: Option<Micros>,
    /// Quick ends in a row after which a controller leaves its roles to others; 0: never.
    pub crash_loop_threshold: Option<u32>,
}

/// Quick ends in a row that make a crash loop, unless the operators say otherwise: one or two
/// happen with any upgrade.
const CRASH_LOOP_THRESHOLD: u32 = 3;
/// The part of a worker's lease that a session lasts: a takeover has to come before the workers'
/// leases lapse.
const SESSION_PER_LEASE: f64 = 0.5;
/// A session lasts no shorter than this, or each late answer of the state service would end it ...
const SESSION_MIN: Micros = Micros::from_secs(2);
/// ... and no longer.
const SESSION_MAX: Micros = Micros::from_secs(600);
/// The part of a worker's lease that a delegation lasts, if the time of cancellation allows.
const DELEGATION_PER_LEASE: f64 = 0.6;
/// The part of the time between lease and cancellation that a delegation may last ...
const DELEGATION_PER_SLACK: f64 = 0.5;
/// ... less this, for late timers.
const DELEGATION_MARGIN: Micros = Micros::from_secs(1);

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this controller.
    pub member: Member,
    /// The zone that this controller is in.
    pub site: Name,
    /// Where users and workers reach this controller.
    pub bind: SocketAddr,
    /// Where the other controllers reach this one by mesh.
    pub mesh: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Where the cloud is reached.
    pub cloud: SocketAddr,
    /// Where the state service is reached.
    pub state: SocketAddr,
    /// The number of partitions; at least that of the controllers.
    pub size: u32,
    /// The zones that machines can be in.
    pub zones: Vec<Name>,
    /// The platform's `time_bound_ms`; checked, and used nowhere.
    pub time_bound: Micros,
    /// What each team is guaranteed and limited to.
    pub teams: Vec<TeamLimits>,
    /// The time between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// A worker's tasks end so long after it sent the last heartbeat that was answered.
    pub lease: Micros,
    /// How long workers let the tasks of a gang wait for each other to start; they do so on their
    /// own, the scheduler only carries it.
    pub gang_wait: Micros,
    /// How long workers let a gang go on without one of its tasks; as above.
    pub gang_peer: Micros,
    /// The tasks of a cancelled job are gone so long after its user was told.
    pub cancel: Micros,
    /// How old the knowledge may be that a renewal of a lease rests on.
    pub bounds: FreshnessBounds,
    /// Requests to the state service in a second, of all controllers.
    pub state_rps: f64,
    /// Writes to the state service in a second, of all controllers.
    pub state_write_rps: f64,
    /// What a value in the store may hold in bytes, now and later.
    pub value_bytes: usize,
    /// Guards and changes in a transaction, at most.
    pub txn_ops: usize,
    /// Requests to the cloud in a second.
    pub cloud_rps: f64,
    /// How far the cloud's list of machines may lag behind.
    pub list_lag: Micros,
    /// Connections that this controller may have open.
    pub max_connections: usize,
    /// Classes whose starts are waited for, and how long, by the objectives.
    pub waited_for: BTreeMap<Name, Micros>,
    /// What the operators have set.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads the platform's file. Unknown fields are ignored.
    ///
    /// # Errors
    /// If the file is not TOML, or a field is missing or has a value that is not allowed; the
    /// error names the field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        check::checked(&file::read(text)?)
    }

    /// What the scheduler takes of the settings.
    pub fn scheduler_config(&self) -> SchedulerConfig {
        SchedulerConfig {
            partitions: self.size,
            teams: self.teams.clone(),
            report: self.heartbeat_interval,
            lease: self.lease,
            gang_wait: self.gang_wait,
            gang_peer: self.gang_peer,
            start_within: self.waited_for.clone(),
            tuning: self.operator.tuning.clone(),
        }
    }

    /// How old the watch cache may be while there is authority: a cancellation that is not seen
    /// must stop the renewal of leases soon enough for the tasks to be gone by `cancel_s`.
    pub fn cache_age_max(&self) -> Micros {
        self.bounds.owner()
    }

    /// Quick ends in a row after which a controller leaves its roles to others; 0: never.
    pub fn crash_loop_threshold(&self) -> u32 {
        let set = self.operator.crash_loop_threshold;
        set.unwrap_or(CRASH_LOOP_THRESHOLD)
    }

    /// The session's time: long enough to ride out short outages, short enough for a takeover
    /// before the workers' leases lapse.
    pub fn session(&self) -> Micros {
        let derived = self
            .lease
            .scale(SESSION_PER_LEASE)
            .min(self.cache_age_max());
        let session = self.operator.session.unwrap_or(derived);
        session.clamp(SESSION_MIN, SESSION_MAX)
    }

    /// How long a delegate may answer for an owner, counted from its request: long enough to
    /// bridge the time between requests several times, and no longer than lets cancelled tasks
    /// end in time even if their host is lost to the delegate as well.
    pub fn delegation_time(&self) -> Micros {
        let slack = (self.cancel - self.lease).scale(DELEGATION_PER_SLACK) - DELEGATION_MARGIN;
        self.lease.scale(DELEGATION_PER_LEASE).min(slack)
    }

    /// All controllers in the same order everywhere; a partition's home follows from its index.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.peers.iter().map(|p| p.member.clone()).collect();
        all.push(self.member.clone());
        all.sort();
        all
    }
}
